"""The retry budget of the fleet, of which each VM has a share.

When upstreams fail for all VMs, each retry adds load to an overloaded service.
VMs that do not see each other spend independently, so each draws on the
requests that it has counted itself and on its share of the slack.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.gateway.retry_ledger import RetryLedger
from flamingovalve.gateway.retry_loans import (
    LOAN_SECONDS,
    ROUNDING_ERROR,
    Loan,
    total,
)
from flamingovalve.generated.messages import RetryLoanReply
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.fleet_census import FleetCensus
    from flamingovalve.gateway.retry_loans import RetryLoans
    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.generated.messages import Hello, RetryLoanAsk
    from flamingovalve.generated.settings import GatewaySettings

logger = get_logger(__name__)


@dataclass(slots=True)
class RetryCounts:
    """Counters of requests and of the sends that repeat them.

    :ivar granted: repeats that the budget allowed
    :ivar refused: repeats that exceeded the budget
    :ivar exempt: sends after attempts that have not reached an upstream,
        which draw on no budget
    :ivar lent: credit lent to other VMs, in retries
    """

    requests: int = 0
    granted: int = 0
    refused: int = 0
    exempt: int = 0
    lent: float = 0


@dataclass(frozen=True, slots=True)
class BudgetState:
    """The budget of a service at this VM.

    :ivar requests: requests in the window
    :ivar spent: credit spent in the window or reserved, in retries
    :ivar allowed: repeats that this VM may send in the window
    :ivar vms: VMs among which the slack is divided
    :ivar has_share: whether this VM has its share of the slack
    """

    requests: int
    spent: float
    allowed: float
    vms: int
    has_share: bool


class RetryPermit:
    """Permission to send a request once.

    Its credit is reserved until the request is sent, and then spent.

    :ivar is_spent: whether the request has been sent
    """

    def __init__(
        self,
        ledger: RetryLedger,
        lenders: RetryLoans,
        service: ServiceId,
        share: Callable[[], float],
        cost: int = 1,
    ) -> None:
        """Create a permit that has reserved no credit.

        :param share: returns the share of this VM in the slack of all VMs
        :param cost: 0 for the first send of a request, which is no repeat
        """
        self.is_spent = False
        self._ledger = ledger
        self._lenders = lenders
        self._service = service
        self._share = share
        self._cost = cost
        self._own = 0.0
        self._loans: list[Loan] = []

    async def reserve(self) -> bool:
        """Reserve the credit; return whether there is enough.

        Called again right before the request is sent: less may be allowed by
        then, as requests wait for a place and VMs pause.
        """
        if not self._cost:
            return True
        self._return_own()
        available = max(self._ledger.available(self._share()), 0)
        self._own = min(available, max(self._cost - total(self._loans), 0))
        self._ledger.reserved += self._own
        try:
            await self._borrow_missing()
        except BaseException:
            self.release()
            raise
        if self._missing() <= ROUNDING_ERROR:
            return True
        self.release()
        return False

    def record_sent(self) -> None:
        """Spend the credit, as the request has been sent."""
        own = self._own
        self._return_own()
        if own:
            self._ledger.spend(own)
        self.is_spent = True

    def release(self) -> None:
        """Return credit of this VM that was not spent; loans expire."""
        self._return_own()
        self._loans = []

    async def _borrow_missing(self) -> None:
        missing = self._missing()
        if missing > ROUNDING_ERROR:
            self._loans += await self._lenders.borrow(self._service, missing)

    def _missing(self) -> float:
        return self._cost - self._own - total(self._loans)

    def _return_own(self) -> None:
        self._ledger.reserved -= self._own
        self._own = 0.0


class FleetRetryBudget:
    """Limits the repeats to each service within a sliding window."""

    def __init__(
        self,
        settings: GatewaySettings,
        census: FleetCensus,
        lenders: RetryLoans,
    ) -> None:
        """Spend the share of ``census`` and what ``lenders`` lend."""
        self.counts = RetryCounts()
        self._settings = settings
        self._census = census
        self._lenders = lenders
        self._ledger_by_service: dict[ServiceId, RetryLedger] = {}

    def record_request(self, service: ServiceId) -> None:
        """Count a request for a service."""
        self.counts.requests += 1
        self._ledger(service).record_request()

    def first_permit(self, service: ServiceId) -> RetryPermit:
        """Return the permit for the first send of a request."""
        return self._permit(service, cost=0)

    async def reserve(self, service: ServiceId) -> RetryPermit | None:
        """Reserve one repeat; None if it exceeds the budget."""
        permit = self._permit(service)
        is_granted = await permit.reserve()
        self.counts.granted += is_granted
        self.counts.refused += not is_granted
        return permit if is_granted else None

    def state(self, service: ServiceId) -> BudgetState:
        """Return the budget of a service at this VM."""
        ledger = self._ledger(service)
        return BudgetState(
            ledger.request_count(),
            ledger.spent() + ledger.reserved,
            ledger.allowed(self._census.share()),
            self._census.count(),
            self._census.has_share,
        )

    async def lend(self, ask: RetryLoanAsk, remote: Hello) -> RetryLoanReply:
        """Lend another VM the credit that it lacks, as far as there is any."""
        ledger = self._ledger(ask.service)
        available = max(ledger.available(self._census.share()), 0)
        granted = min(available, ask.wanted) if available >= ask.least else 0
        if granted:
            ledger.spend(granted, LOAN_SECONDS)
            self.counts.lent += granted
        note(
            logger,
            'loan of retry credit',
            service=ask.service,
            vm=remote.vm,
            wanted=round(ask.wanted, 3),
            available=round(available, 3),
            granted=round(granted, 3),
        )
        return RetryLoanReply(granted, available - granted)

    def _permit(self, service: ServiceId, cost: int = 1) -> RetryPermit:
        ledger = self._ledger(service)
        share = self._census.share
        return RetryPermit(ledger, self._lenders, service, share, cost)

    def _ledger(self, service: ServiceId) -> RetryLedger:
        ledger = self._ledger_by_service.get(service)
        if ledger is None:
            ledger = RetryLedger(self._settings)
            self._ledger_by_service[service] = ledger
        return ledger
