"""Keeps a request that crashes upstreams from crashing more of them.

Answers a request that crashes whatever begins to run it, and whose caller
sends it again, to any VM. Each VM sees a part of what an upstream runs, so
nobody can tell which of its requests was to blame. But an innocent request
is served at its next try, while this one ends in a crash each time.

A request is known again by its path and body. One without a body is left
out: many callers ask for the same path, and crashes that each of them met
by chance would add up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.relay import Outcome
from flamingovalve.generated.ids import Fingerprint
from flamingovalve.generated.messages import PoisonRumour
from flamingovalve.membership.gossip import News
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream

    Refuses = Callable[[str], Awaitable[bool]]
    Tell = Callable[[PoisonRumour], Awaitable[None]]

logger = get_logger(__name__)

# Two crashes in a row happen to innocent requests on days when a third of
# the upstreams crash; three without a single answer between did not.
_CONVICTION: Final = 3
# Fingerprints under suspicion: 100 bytes each, and more than ever run on the
# upstreams that crash within a minute.
_MOST_SUSPECTS: Final = 2000


@dataclass
class CrashCounts:
    """What the quarantine has seen since this process started."""

    crashes: int = 0
    cleared: int = 0
    refused: int = 0


@dataclass(slots=True)
class _Suspect:
    crashes: int
    expires_at: float


class CrashQuarantine:
    """Counts the crashes of each request until an answer clears it."""

    def __init__(self, seconds: float, refuses: Refuses) -> None:
        """Suspect a request for ``seconds`` after a crash.

        :param refuses: tells whether nothing listens at an address
        """
        self.counts = CrashCounts()
        self.publish: Tell = _publish_nowhere
        self._seconds = seconds
        self._refuses = refuses
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def check(self, request: InboundRequest) -> None:
        """Let a request pass that may be run.

        :raises ServingError: when it has crashed too many upstreams
        """
        if not self._suspects or not request.body:
            return
        fingerprint = fingerprint_of(request)
        if self._crashes(fingerprint) < _CONVICTION:
            return
        self.counts.refused += 1
        left = self._suspects[fingerprint].expires_at - clock.now()
        raise ServingError(
            ErrorKind.QUARANTINED,
            'this request crashed several upstreams; change it before it is '
            'sent again',
            retry_after=max(left, 0),
        )

    async def note(
        self,
        request: InboundRequest,
        upstream: Upstream,
        outcome: Outcome,
    ) -> None:
        """Learn how sending a request ended."""
        if not request.body:
            return
        if outcome in {Outcome.DONE, Outcome.FAILED}:
            self._clear(request)
        elif outcome is Outcome.LOST and await self._has_ended(upstream):
            await self._note_crash(request, upstream)

    def hear(self, rumour: PoisonRumour) -> News:
        """Take another VM's count if it is higher."""
        if self._crashes(rumour.fingerprint) >= rumour.crashes:
            return News.NONE
        self._suspect(rumour.fingerprint, rumour.crashes, rumour.remaining)
        return News.ORDINARY

    async def _has_ended(self, upstream: Upstream) -> bool:
        """Tell a crash from a connection that broke for another reason."""
        return await self._refuses(upstream.address)

    def _clear(self, request: InboundRequest) -> None:
        if not self._suspects:
            return
        known = self._suspects.pop(fingerprint_of(request), None)
        self.counts.cleared += known is not None

    async def _note_crash(
        self,
        request: InboundRequest,
        upstream: Upstream,
    ) -> None:
        self.counts.crashes += 1
        fingerprint = fingerprint_of(request)
        crashes = self._crashes(fingerprint) + 1
        self._suspect(fingerprint, crashes, self._seconds)
        note(
            logger,
            'upstream ended while it ran a request',
            id=request.id,
            upstream=upstream.id,
            fingerprint=f'{fingerprint:016x}',
            crashes=crashes,
            convicted=crashes >= _CONVICTION,
        )
        await self.publish(PoisonRumour(fingerprint, crashes, self._seconds))

    def _suspect(
        self,
        fingerprint: Fingerprint,
        crashes: int,
        seconds: float,
    ) -> None:
        expires_at = clock.now() + seconds
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = _Suspect(crashes, expires_at)
        while len(self._suspects) > _MOST_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def _crashes(self, fingerprint: Fingerprint) -> int:
        known = self._suspects.get(fingerprint)
        if known is None:
            return 0
        if clock.now() >= known.expires_at:
            del self._suspects[fingerprint]
            return 0
        return known.crashes


def fingerprint_of(request: InboundRequest) -> Fingerprint:
    """Give what a request has in common with its repeats."""
    completion = request.completion
    adapter = completion.adapter if completion else ''
    return Fingerprint(
        hashing.fingerprint(
            request.route.host,
            request.method,
            request.target,
            adapter,
            request.body,
        ),
    )


async def _publish_nowhere(_rumour: PoisonRumour) -> None:
    """Drop a rumour: this VM is alone."""
