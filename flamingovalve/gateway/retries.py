"""The retry budget of the fleet, divided among its VMs.

When upstreams fail for all VMs, each retry adds load to an overloaded service.
No VM knows how often the others retry, so each uses a share of the budget
according to the number of VMs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.generated.settings import GatewaySettings

# In a network partition each side counts too few VMs and takes too large a
# share; half of the budget keeps two equal sides within the whole.
_PARTITION_SAFETY_SHARE: Final = 0.5


@dataclass(slots=True)
class RetryCounts:
    """Counters of requests and of the sends that repeat them.

    :ivar granted: repeats that the budget allowed
    :ivar refused: repeats that exceeded the budget
    :ivar exempt: sends after attempts that have not reached an upstream,
        which draw on no budget
    """

    requests: int = 0
    granted: int = 0
    refused: int = 0
    exempt: int = 0


@dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Whether a repeat is within the budget, with what led to it.

    :ivar requests: requests for the service in the window, at this VM
    :ivar retries: repeats in the window before this one, at this VM
    :ivar allowed: repeats that this VM may send in the window
    :ivar vms: VMs among which the slack is divided
    """

    granted: bool
    requests: int
    retries: int
    allowed: float
    vms: int


class FleetRetryBudget:
    """Limits the retries of each service within a sliding window."""

    def __init__(
        self,
        settings: GatewaySettings,
        vm_count: Callable[[], int],
    ) -> None:
        """Divide the budget by the number of VMs that ``vm_count`` returns."""
        self.counts = RetryCounts()
        self._settings = settings
        self._vm_count = vm_count
        self._request_times_by_service: dict[ServiceId, deque[float]] = {}
        self._retry_times_by_service: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId) -> None:
        """Count a request for a service."""
        self.counts.requests += 1
        self._recent(self._request_times_by_service, service).append(
            clock.now()
        )

    def take(self, service: ServiceId) -> BudgetDecision:
        """Use one retry of the budget if it is available."""
        settings = self._settings
        retry_times = self._recent(self._retry_times_by_service, service)
        requests = len(self._recent(self._request_times_by_service, service))
        vms = max(1, self._vm_count())
        slack = settings.retry_slack / vms
        allowed = (
            slack + settings.retry_ratio * requests
        ) * _PARTITION_SAFETY_SHARE
        decision = BudgetDecision(
            len(retry_times) + 1 <= max(1, allowed),
            requests,
            len(retry_times),
            allowed,
            vms,
        )
        if decision.granted:
            retry_times.append(clock.now())
        self.counts.granted += decision.granted
        self.counts.refused += not decision.granted
        return decision

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
