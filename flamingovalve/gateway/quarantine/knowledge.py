"""How much this VM knows of the ends of upstreams, for its log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.quarantine.suspects import Suspects

# VMs may hold different ends for the time that rumours take to reach them all.
_REPORT_SECONDS: Final = 2.0
_CHECK_SECONDS: Final = 0.25


class Knowledge:
    """What this VM has heard of ends since it started.

    :ivar since: from when on it knows all ends, on the monotonic clock
    """

    def __init__(
        self,
        suspects: Suspects,
        heard_from: Callable[[], int],
        sees_majority: Callable[[], bool],
    ) -> None:
        """Start without any report.

        :param suspects: the ends that this VM holds
        :param sees_majority: returns whether this VM sees most others
        :param heard_from: returns the number of VMs that a datagram has
            arrived from
        """
        self._suspects = suspects
        self._heard_from = heard_from
        self._sees_majority = sees_majority
        self._started_at = clock.now()
        self.since = self._started_at
        self._checked_at = float('-inf')
        self._known_elsewhere = 0
        self._reported_at = float('-inf')

    def covered(self) -> float:
        """Return for how many seconds this VM has known all ends.

        Without a majority it may miss any of them.
        """
        now = clock.now()
        if now >= self._checked_at + _CHECK_SECONDS:
            self._checked_at = now
            if not self._sees_majority():
                self.since = now
        return now - self.since

    def record_cover(self, seconds: float) -> None:
        """Record that ends of the last ``seconds`` were taken over."""
        if self._sees_majority():
            self.since = min(self.since, clock.now() - seconds)

    def record_report(self, known: int) -> None:
        """Record how many ends another VM holds."""
        is_old = clock.now() >= self._reported_at + _REPORT_SECONDS
        if is_old or known >= self._known_elsewhere:
            self._known_elsewhere = known
            self._reported_at = clock.now()

    def log_fields(self) -> dict[str, float]:
        """Return how well this VM is informed.

        :returns: seconds since its start, seconds for which it knows all ends,
            VMs heard from, ends that it holds, and ends that another VM held
            and has not sent
        """
        held = len(self._suspects)
        return {
            'up': round(clock.now() - self._started_at, 3),
            'covered': round(self.covered(), 3),
            'heard_from': self._heard_from(),
            'ends': held,
            'ends_withheld': max(self._known_elsewhere - held, 0),
        }
