"""Passes a large answer of a plain call on as it arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.http.messages import HeaderList
    from flamingovalve.http.responder import Responder

# Held for a caller that reads slowly, before its upstream has to wait.
_HELD_FOR_CALLER_BYTES: Final = 2 * 1024**2


class AnswerSink:
    """Writes one answer to a caller, of whichever send is the first to ask.

    A call may be sent to two upstreams at a time.

    :ivar is_claimed: whether a send has begun to pass its answer on
    """

    def __init__(self, responder: Responder) -> None:
        """Write to ``responder``."""
        self.is_claimed = False
        self._responder = responder

    @property
    def started(self) -> bool:
        """Whether the head has been sent to the caller."""
        return self._responder.started

    def claim(self) -> bool:
        """Return whether the answer of this send is passed on."""
        if self.is_claimed:
            return False
        self.is_claimed = True
        return True

    async def begin(
        self, status: int, headers: HeaderList, *, ends_with_connection: bool
    ) -> None:
        """Write the head.

        :param ends_with_connection: whether the upstream delimits the answer
            by the end of its connection
        :raises CallerLost: if the caller has gone
        """
        await self._responder.start(
            status, headers, ends_with_connection=ends_with_connection
        )

    async def write(self, part: bytes) -> None:
        """Write a part; wait while much is held for the caller.

        :raises CallerLost: if the caller has gone or reads no data
        """
        await self._responder.chunk(part)
        await self._responder.flush_above(_HELD_FOR_CALLER_BYTES)
