"""Bounds on the answers that a VM reads from upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

import curio

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.generated.settings import RelaySettings

_BYTES_PER_MB: Final = 1_000_000
_HELD_SHARE_OF_MEMORY: Final = 0.1
_MIN_HELD_BYTES: Final = 16384
# Bytes a second that all large answers of a VM may take together, so that
# other requests get their share of its processor.
_LARGE_BYTES_PER_SECOND: Final = 48_000_000
_MIN_PAUSE_SECONDS: Final = 0.002
# An event holds a token or more; the first and last ones may hold none.
_EVENTS_PER_TOKEN: Final = 2
_EXTRA_EVENTS: Final = 64


@dataclass(slots=True)
class AnswerBounds:
    """Bounds on single answers, and on all that are held at a time.

    :ivar most_bytes: maximum size of an answer
    :ivar held_bytes: size up to which an answer is read as a whole
    :ivar most_held: bytes that all answers may hold before they are complete
    :ivar held: bytes that they hold
    """

    most_bytes: int
    held_bytes: int
    most_held: float = float('inf')
    held: int = 0
    _free_at: float = 0

    @classmethod
    def from_settings(cls, settings: RelaySettings, memory_mb: float) -> Self:
        """Create the bounds of a process.

        :param memory_mb: memory of the process; 0 if unknown
        """
        most_held = memory_mb * _BYTES_PER_MB * _HELD_SHARE_OF_MEMORY
        return cls(
            settings.answer_bytes,
            settings.held_answer_bytes,
            most_held or float('inf'),
        )

    def may_hold(self, size: int) -> bool:
        """Return whether an answer of which ``size`` bytes arrived is held.

        Small ones are always, so that large ones do not affect them.
        """
        if size <= _MIN_HELD_BYTES:
            return True
        return size <= self.held_bytes and self.held <= self.most_held

    async def pace(self, size: int) -> None:
        """Wait for the turn of ``size`` bytes of a large answer."""
        now = clock.now()
        free_at = max(self._free_at, now)
        self._free_at = free_at + size / _LARGE_BYTES_PER_SECOND
        if free_at > now + _MIN_PAUSE_SECONDS:
            await curio.sleep(free_at - now)


class HeldBody:
    """The beginning of an answer that is read as a whole.

    A context that releases what it holds.

    :ivar size: bytes that arrived
    """

    def __init__(self, bounds: AnswerBounds) -> None:
        """Hold nothing."""
        self.size = 0
        self._bounds = bounds
        self._parts: list[bytes] = []

    def __enter__(self) -> Self:
        """Return the body."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Release what is held."""
        self.take()

    def add(self, part: bytes) -> bool:
        """Add a part; return whether more may be held."""
        self._parts.append(part)
        self.size += len(part)
        self._bounds.held += len(part)
        return self._bounds.may_hold(self.size)

    def take(self) -> bytes:
        """Return what is held, and release it."""
        held = b''.join(self._parts)
        self._bounds.held -= len(held)
        self._parts.clear()
        return held


def most_events(request: InboundRequest) -> float:
    """Return the bound on the events of a stream; infinite if unknown."""
    completion = request.completion
    if completion is None or completion.output_tokens <= 0:
        return float('inf')
    return completion.output_tokens * _EVENTS_PER_TOKEN + _EXTRA_EVENTS
