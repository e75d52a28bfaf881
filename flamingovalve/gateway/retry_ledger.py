"""What one VM has received and spent of the retry budget of a service."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.settings import GatewaySettings

# Retries of a window may draw on requests of the window before, at another
# VM. Half of the budget keeps them within that of the busier window.
_USABLE_SHARE: Final = 0.5
# Time in which a request that was sent reaches its upstream.
_TRANSIT_SECONDS: Final = 0.1


class RetryLedger:
    """Requests for a service, and the credit for repeats, in one window.

    Times are those of the clock that counts suspensions of the VM.

    :ivar reserved: credit of repeats that have not been sent yet
    """

    def __init__(self, settings: GatewaySettings) -> None:
        """Start with neither requests nor spent credit."""
        self.reserved = 0.0
        self._settings = settings
        self._request_times: deque[float] = deque()
        self._spendings: list[tuple[float, float]] = []
        self._spent = 0.0

    def record_request(self) -> None:
        """Count a request."""
        self._request_times.append(clock.boot())

    def request_count(self) -> int:
        """Return the number of requests in the window."""
        oldest = clock.boot() - self._settings.retry_window_seconds
        while self._request_times and self._request_times[0] < oldest:
            self._request_times.popleft()
        return len(self._request_times)

    def spend(self, amount: float, delay: float = 0) -> None:
        """Record credit that is spent.

        :param delay: seconds within which it will be used
        """
        heapq.heappush(self._spendings, (clock.boot() + delay, amount))
        self._spent += amount

    def spent(self) -> float:
        """Return the credit spent in the window."""
        oldest = clock.boot() - settle_seconds(self._settings)
        while self._spendings and self._spendings[0][0] < oldest:
            self._spent -= heapq.heappop(self._spendings)[1]
        if not self._spendings:
            self._spent = 0.0
        return self._spent

    def allowed(self, share: float) -> float:
        """Return the repeats that this VM may send in the window.

        :param share: share of this VM in the slack of all VMs
        """
        settings = self._settings
        earned = settings.retry_ratio * self.request_count()
        return _USABLE_SHARE * (earned + settings.retry_slack * share)

    def available(self, share: float) -> float:
        """Return the unused credit; negative if less is allowed than before.

        :param share: share of this VM in the slack of all VMs
        """
        return self.allowed(share) - self.spent() - self.reserved


def settle_seconds(settings: GatewaySettings) -> float:
    """Return the seconds after which spent credit is available again."""
    return settings.retry_window_seconds + _TRANSIT_SECONDS
