"""Token bucket that enforces the quota of one workspace.

The bucket holds credit in units of the quota, which are requests or LLM
tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.model import Quota

# Bounds the wait that is reported to a refused request.
_MAX_WAIT_SECONDS: Final = 5.0
_MAX_BOOKING_WAIT_SECONDS: Final = 60.0


class CreditBucket:
    """Token bucket, refilled at the rate of a quota.

    A request is admitted if the balance covers its cost. One that costs more
    than the burst overdraws a full bucket, as the balance can never cover it.
    The overdraft is refilled before the next request is admitted.
    """

    def __init__(self, quota: Quota, accrues_from: float) -> None:
        """Start with the credit accrued since ``accrues_from``.

        :param accrues_from: start of the accrual, on the monotonic clock
        """
        self._quota = quota
        self._balance = 0.0
        self._refilled_at = accrues_from
        self._retry_backlog = 0.0

    @property
    def balance(self) -> float:
        """Credit as of the last update; negative if overdrawn."""
        return self._balance

    def update_quota(self, quota: Quota) -> None:
        """Apply a changed quota from the next operation on."""
        self._quota = quota

    def take(
        self,
        cost: float,
        share: float = 1,
        *,
        may_overdraw: bool = True,
    ) -> float:
        """Take credit for one request.

        :param share: fraction of the quota's rate at which credit accrues
        :param may_overdraw: whether a cost beyond the burst is admitted
        :returns: 0 if it was taken, else the estimated seconds until a retry
            can succeed
        """
        self._refill(share)
        required = min(cost, self._quota.burst) if may_overdraw else cost
        if self._balance >= required:
            self._balance -= cost
            return 0
        # Staggers the waits, so that refused requests do not retry together.
        rate = self._quota.rate * max(share, 0)
        shortfall = required + self._retry_backlog - self._balance
        self._retry_backlog += cost
        if shortfall >= rate * _MAX_WAIT_SECONDS:
            return _MAX_WAIT_SECONDS
        return shortfall / rate

    def book(self, patience: float, share: float = 1) -> float:
        """Take the credit of one unit, also in advance.

        :param patience: longest wait in seconds for which to take it
        :param share: fraction of the quota's rate at which credit accrues
        :returns: seconds until the unit may be used; it was taken if they are
            within ``patience``
        """
        wait = self.next_wait(share)
        if wait <= patience:
            self._balance -= 1
        return wait

    def next_wait(self, share: float = 1) -> float:
        """Return the seconds until the credit of one unit is available."""
        self._refill(share)
        shortfall = max(0, 1 - self._balance)
        rate = self._quota.rate * share
        if shortfall >= rate * _MAX_BOOKING_WAIT_SECONDS:
            return _MAX_BOOKING_WAIT_SECONDS
        return shortfall / rate

    def give_back(self, unused: float) -> None:
        """Return unused credit, up to the burst."""
        self._balance = min(self._balance + unused, self._quota.burst)

    def cap(self, ceiling: float) -> None:
        """Reduce the balance to ``ceiling`` if it is higher."""
        self._balance = min(self._balance, ceiling)

    def _refill(self, share: float) -> None:
        now = clock.now()
        accrued = (now - self._refilled_at) * self._quota.rate * share
        self._refilled_at = now
        self._balance = min(self._balance + accrued, self._quota.burst)
        self._retry_backlog = max(self._retry_backlog - accrued, 0)
