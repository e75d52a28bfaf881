"""Obtains credit for requests from the VM that keeps the quota."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.generated.messages import CreditAsk, CreditReply
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.model import Quota
    from flamingovalve.gateway.quota_keeper import QuotaKeeper
    from flamingovalve.generated.ids import VmId, WorkspaceId

logger = get_logger(__name__)

# Unused credit expires after this long.
_UNUSED_LIFETIME_SECONDS: Final = 0.5
_MIN_RETRY_SECONDS: Final = 0.1
_NO_KEEPER_RETRY_SECONDS: Final = 0.3


@dataclass(slots=True)
class QuotaCounts:
    """Requests subject to a quota, by outcome."""

    granted: int = 0
    refused: int = 0
    given_back: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class _WorkspaceCredit:
    """Credit state of a workspace on this VM.

    :ivar unused: credit granted for requests that did not run
    :ivar unused_at: when credit was last returned
    :ivar keeper_balance: balance in the last reply of a keeper
    :ivar keeper_balance_at: when that reply arrived
    :ivar local_bucket: this VM's share of the quota, for when no keeper
        responds
    """

    unused: float = 0
    unused_at: float = 0
    keeper_balance: float = float('inf')
    keeper_balance_at: float = 0
    local_bucket: CreditBucket | None = None


class QuotaClient:
    """Admits requests within the quota of their workspace.

    If no keeper responds, for example before a failure is detected, a VM
    grants credit from its own share of the quota.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        keepers: KeeperClient,
        keeper: QuotaKeeper,
    ) -> None:
        """Ask remote keepers through ``keepers`` and the local one directly."""
        self.counts = QuotaCounts()
        self._catalogue = catalogue
        self._keepers = keepers
        self._keeper = keeper
        self._credit_by_workspace: dict[WorkspaceId, _WorkspaceCredit] = {}

    async def take(self, request: InboundRequest) -> None:
        """Take credit for a request.

        :raises ServingError: if the quota is exceeded, or no keeper responds
            and the local share is used up
        """
        quota = self._catalogue.configuration.quota_of(request.workspace)
        if quota is None:
            return
        credit = self._credit_of(request.workspace)
        wait = await self._take_credit(request, quota, credit)
        if wait > 0:
            raise self._over_quota_error(request, quota, credit, wait)
        self.counts.granted += 1

    def give_back(self, request: InboundRequest) -> None:
        """Return the credit of a request that did not run."""
        quota = self._catalogue.configuration.quota_of(request.workspace)
        if quota is None:
            return
        credit = self._credit_of(request.workspace)
        credit.unused = _reusable_credit(credit) + quota.cost_of(request.tokens)
        credit.unused_at = clock.now()
        self.counts.given_back += 1

    def _credit_of(self, workspace: WorkspaceId) -> _WorkspaceCredit:
        return self._credit_by_workspace.setdefault(
            workspace, _WorkspaceCredit()
        )

    async def _take_credit(
        self,
        request: InboundRequest,
        quota: Quota,
        credit: _WorkspaceCredit,
    ) -> float:
        """Take credit; return 0, or the seconds to wait if it was refused."""
        cost = quota.cost_of(request.tokens)
        unused = _reusable_credit(credit)
        if unused >= cost:
            credit.unused = unused - cost
            return 0
        credit.unused = 0
        ask = CreditAsk(
            request.workspace,
            cost,
            unused,
            _max_balance(credit, quota),
        )
        for vm in self._keepers.keepers(f'quota {request.workspace}'):
            reply = await self._ask(vm, ask)
            if reply is not None:
                credit.keeper_balance = reply.left
                credit.keeper_balance_at = clock.now()
                return reply.wait_seconds
        self.counts.unanswered += 1
        if self._take_local_share(quota, credit, cost):
            return 0
        raise self._no_keeper_error(request)

    async def _ask(self, vm: VmId, ask: CreditAsk) -> CreditReply | None:
        if self._keepers.is_here(vm):
            reply = self._keeper.take(ask)
        else:
            reply = await self._keepers.ask(vm, ask)
        if reply is None or reply.wait_seconds == float('inf'):
            return None
        return reply

    def _take_local_share(
        self,
        quota: Quota,
        credit: _WorkspaceCredit,
        cost: float,
    ) -> bool:
        """Take credit from this VM's share of the quota.

        Overdraft is not allowed: in a large fleet most requests exceed the
        share of a VM, and the overdrafts would add up to more than the quota.
        """
        vms = self._keepers.vm_count()
        share = dataclasses.replace(
            quota,
            rate=quota.rate / vms,
            burst=quota.burst / vms,
        )
        if credit.local_bucket is None:
            credit.local_bucket = CreditBucket(share, clock.now())
        credit.local_bucket.update_quota(share)
        return credit.local_bucket.take(cost, may_overdraw=False) == 0

    def _no_keeper_error(self, request: InboundRequest) -> ServingError:
        self.counts.refused += 1
        note(
            logger,
            'refused, no quota keeper answers',
            id=request.id,
            workspace=request.workspace,
        )
        return ServingError(
            ErrorKind.QUOTA_UNAVAILABLE,
            'no keeper of the quota responds; use another address',
            retry_after=return_times.add_jitter(
                _NO_KEEPER_RETRY_SECONDS, request.id
            ),
        )

    def _over_quota_error(
        self,
        request: InboundRequest,
        quota: Quota,
        credit: _WorkspaceCredit,
        wait: float,
    ) -> ServingError:
        self.counts.refused += 1
        retry_after_seconds = max(wait, _MIN_RETRY_SECONDS)
        retry_after_seconds = return_times.add_jitter(
            retry_after_seconds, request.id
        )
        note(
            logger,
            'refused, the quota is exceeded',
            id=request.id,
            workspace=request.workspace,
            cost=quota.cost_of(request.tokens),
            left=round(credit.keeper_balance),
            age=round(clock.now() - credit.keeper_balance_at, 3),
            rate=quota.rate,
            version=self._catalogue.configuration.version,
        )
        return ServingError(
            ErrorKind.RATE_LIMITED,
            f'the quota of workspace {request.workspace} is exceeded; '
            f'retry after {retry_after_seconds:.1f} s',
            retry_after=retry_after_seconds,
        )


def _reusable_credit(credit: _WorkspaceCredit) -> float:
    is_recent = clock.now() <= credit.unused_at + _UNUSED_LIFETIME_SECONDS
    return credit.unused if is_recent else 0


def _max_balance(credit: _WorkspaceCredit, quota: Quota) -> float:
    accrued = (clock.now() - credit.keeper_balance_at) * quota.rate
    return min(credit.keeper_balance + accrued, quota.burst)
