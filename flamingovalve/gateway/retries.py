"""One budget of repeats for the whole fleet, a share for each VM.

When upstreams fail for everybody, each request that is sent again adds load
where there is too much already. No VM knows what the others repeat, so each
takes its part of the allowance by the number of VMs.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.generated.settings import GatewaySettings

# A part of the fleet that cannot see the rest takes too large a share; half
# of the allowance keeps two equal parts within the whole.
_SAFETY_SHARE: Final = 0.5


class FleetRetryBudget:
    """Allows repeats to each service within a sliding window."""

    def __init__(
        self,
        settings: GatewaySettings,
        vms: Callable[[], int],
    ) -> None:
        """Share with as many VMs as ``vms`` says."""
        self.refused = 0
        self._settings = settings
        self._vms = vms
        self._first: dict[ServiceId, deque[float]] = {}
        self._repeats: dict[ServiceId, deque[float]] = {}

    def note_request(self, service: ServiceId) -> None:
        """Count a request for a service."""
        self._within(self._first, service).append(clock.now())

    def take(self, service: ServiceId) -> bool:
        """Take one repeat, if there is one."""
        settings = self._settings
        repeats = self._within(self._repeats, service)
        requests = len(self._within(self._first, service))
        slack = settings.retry_slack / max(1, self._vms())
        allowed = (slack + settings.retry_ratio * requests) * _SAFETY_SHARE
        if len(repeats) + 1 > max(1, allowed):
            self.refused += 1
            return False
        repeats.append(clock.now())
        return True

    def _within(
        self,
        times_by_service: dict[ServiceId, deque[float]],
        service: ServiceId,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        oldest = clock.now() - self._settings.retry_window_seconds
        while times and times[0] < oldest:
            times.popleft()
        return times
