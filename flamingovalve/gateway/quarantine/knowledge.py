"""How much this VM knows of the ends of upstreams, for its log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.quarantine.suspects import Suspects

# VMs may hold different ends for the time that rumours take to reach them all.
_REPORT_SECONDS: Final = 2.0


class Knowledge:
    """What this VM has heard of ends since it started."""

    def __init__(
        self, suspects: Suspects, heard_from: Callable[[], int]
    ) -> None:
        """Start without any report.

        :param suspects: the ends that this VM holds
        :param heard_from: returns the number of VMs that a datagram has
            arrived from
        """
        self._suspects = suspects
        self._heard_from = heard_from
        self._started_at = clock.now()
        self._known_elsewhere = 0
        self._reported_at = float('-inf')

    def record_report(self, known: int) -> None:
        """Record how many ends another VM holds."""
        is_old = clock.now() >= self._reported_at + _REPORT_SECONDS
        if is_old or known >= self._known_elsewhere:
            self._known_elsewhere = known
            self._reported_at = clock.now()

    def log_fields(self) -> dict[str, float]:
        """Return how well this VM is informed.

        :returns: seconds since its start, VMs heard from, ends that it holds,
            and ends that another VM held and has not sent
        """
        held = len(self._suspects)
        return {
            'up': round(clock.now() - self._started_at, 3),
            'heard_from': self._heard_from(),
            'ends': held,
            'ends_withheld': max(self._known_elsewhere - held, 0),
        }
