"""The retry budget of the fleet, divided among its VMs.

When upstreams fail for all VMs, each retry adds load to an overloaded service.
No VM knows how often the others retry, so each uses a share of the budget
according to the number of VMs.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.generated.settings import GatewaySettings

# In a network partition each side counts too few VMs and takes too large a
# share; half of the budget keeps two equal sides within the whole.
_PARTITION_SAFETY_SHARE: Final = 0.5


class FleetRetryBudget:
    """Limits the retries of each service within a sliding window.

    :ivar refused: number of retries that exceeded the budget
    """

    def __init__(
        self,
        settings: GatewaySettings,
        vm_count: Callable[[], int],
    ) -> None:
        """Divide the budget by the number of VMs that ``vm_count`` returns."""
        self.refused = 0
        self._settings = settings
        self._vm_count = vm_count
        self._request_times_by_service: dict[ServiceId, deque[float]] = {}
        self._retry_times_by_service: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId) -> None:
        """Count a request for a service."""
        self._recent(self._request_times_by_service, service).append(
            clock.now()
        )

    def take(self, service: ServiceId) -> bool:
        """Use one retry of the budget; return whether it was available."""
        settings = self._settings
        retry_times = self._recent(self._retry_times_by_service, service)
        requests = len(self._recent(self._request_times_by_service, service))
        slack = settings.retry_slack / max(1, self._vm_count())
        allowed = (
            slack + settings.retry_ratio * requests
        ) * _PARTITION_SAFETY_SHARE
        if len(retry_times) + 1 > max(1, allowed):
            self.refused += 1
            return False
        retry_times.append(clock.now())
        return True

    def _recent(
        self,
        times_by_service: dict[ServiceId, deque[float]],
        service: ServiceId,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        oldest = clock.now() - self._settings.retry_window_seconds
        while times and times[0] < oldest:
            times.popleft()
        return times
