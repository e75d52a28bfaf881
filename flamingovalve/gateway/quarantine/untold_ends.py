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


class UntoldEnds:
    """Ends that nobody in touch can have told this VM."""

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

    def count(self, service: ServiceId) -> int:
        """Return how many upstreams may have ended under one request.

        Counts starts before the time since when this VM knows all ends.
        """
        if self._knowledge.covered() >= self._seconds:
            return 0
        started = [one for one in self._upstreams() if one.born]
        ages = list(map(_age_of, started))
        youngest = self._knowledge.covered() - _RETURN_SECONDS
        oldest = max(ages, default=0) - _FIRST_STARTS_SECONDS
        oldest = min(oldest, self._seconds)
        return sum(
            youngest <= age < oldest and one.service == service
            for one, age in zip(started, ages, strict=True)
        )


def _age_of(upstream: Upstream) -> float:
    """Return the seconds since an upstream started, by its own clock."""
    return clock.wall() - upstream.born / _MS_PER_SECOND
