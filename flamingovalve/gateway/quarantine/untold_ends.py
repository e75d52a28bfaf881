"""Counts upstreams that ended before this VM, or out of its sight.

A fleet that has lost all its VMs has lost what they knew. The start times of
upstreams still tell how many of a service have ended lately, so no request can
have ended more of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.quarantine.knowledge import Knowledge
    from flamingovalve.generated.ids import ServiceId

# Upstreams that start within this time of the first one are its first ones.
_FIRST_STARTS_SECONDS: Final = 3.0
# An upstream that ended before a time has started again this long after it.
_RETURN_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000
_LOOK_SECONDS: Final = 0.25


class UntoldEnds:
    """Ends that nobody in touch can have told this VM.

    The first start is remembered, as all of the first upstreams may have ended.
    """

    def __init__(
        self,
        upstreams: Callable[[], Iterable[Upstream]],
        knowledge: Knowledge,
        seconds: float,
    ) -> None:
        """Count starts of the last ``seconds``.

        :param upstreams: returns the upstreams of all services
        """
        self._upstreams = upstreams
        self._knowledge = knowledge
        self._seconds = seconds
        self._first_born = float('inf')
        self._looked_at = float('-inf')

    def look(self) -> None:
        """Remember the first start of an upstream that is registered."""
        now = clock.now()
        if now < self._looked_at + _LOOK_SECONDS:
            return
        self._looked_at = now
        births = (one.born for one in self._upstreams() if one.born)
        self._first_born = min(self._first_born, *births, float('inf'))

    def count(self, service: ServiceId) -> int:
        """Return how many upstreams may have ended under one request.

        Counts starts before the time since when this VM knows all ends.
        """
        if self._knowledge.covered() >= self._seconds:
            return 0
        self.look()
        youngest = self._knowledge.covered() - _RETURN_SECONDS
        oldest = _age(self._first_born) - _FIRST_STARTS_SECONDS
        oldest = min(oldest, self._seconds)
        return sum(
            youngest <= _age(one.born) < oldest
            for one in self._upstreams()
            if one.born and one.service == service
        )


def _age(born: float) -> float:
    """Return the seconds since an upstream started, by its own clock.

    :param born: when it started, in milliseconds
    """
    return clock.wall() - born / _MS_PER_SECOND
