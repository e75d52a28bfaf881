"""Books requests to the upstreams whose rate limit this VM keeps."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.gateway.model import Quota
from flamingovalve.gateway.quota_keeper import rate_share
from flamingovalve.gateway.rate_limits import burst_of
from flamingovalve.generated.messages import SendReply
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import UpstreamId
    from flamingovalve.generated.messages import Hello, SendAsk
    from flamingovalve.membership.members import MemberTable

# A limit that nobody has asked for this long starts anew.
_IDLE_SECONDS: Final = 10.0
# Fraction of a limit that all partitions without a majority may use together.
_PARTITION_OVERAGE: Final = 0.25
# Requests sent before a limit was known are made up for beyond this many, and
# for at most so long.
_FREE_SECONDS: Final = 2.0
_FREE_REQUESTS: Final = 4.0
_MAX_DEBT_SECONDS: Final = 3.0


@dataclass(slots=True)
class _Account:
    """The bookings of one upstream.

    :ivar free: requests sent before the limit was known that need not be made
        up for
    :ivar debt_left: further ones that will be made up for; the rest is waived
    :ivar asked_at: when it was last asked, on the monotonic clock
    """

    bucket: CreditBucket
    free: float
    debt_left: float
    asked_at: float


class SendKeeper:
    """Books requests so that all VMs together stay within a rate limit.

    An account starts empty, so that a new keeper grants nothing on top of what
    its predecessor has granted.
    """

    def __init__(
        self,
        members: MemberTable,
        statuses: UpstreamStatuses,
    ) -> None:
        """Apply the lower of a limit as asked and as known in ``statuses``."""
        self._members = members
        self._statuses = statuses
        self._accounts_by_id: dict[UpstreamId, _Account] = {}

    async def answer(self, ask: SendAsk, _remote: Hello) -> SendReply:
        """Answer a request of another VM."""
        return self.book(ask)

    def book(self, ask: SendAsk) -> SendReply:
        """Book a request if it may be sent within the patience of ``ask``."""
        rate = min(ask.rate, self._statuses.of(ask.upstream).limit.rate())
        quota = Quota(rate, burst_of(rate))
        account = self._account_of(ask.upstream, quota)
        account.bucket.update_quota(quota)
        _charge(account, ask.uncounted)
        share = rate_share(self._members, _PARTITION_OVERAGE)
        wait = account.bucket.book(ask.patience, share)
        return SendReply(wait, account.bucket.next_wait(share))

    def _account_of(self, upstream: UpstreamId, quota: Quota) -> _Account:
        now = clock.now()
        account = self._accounts_by_id.get(upstream)
        if account is None or now > account.asked_at + _IDLE_SECONDS:
            self._forget_idle()
            account = _Account(
                CreditBucket(quota, now),
                quota.rate * _FREE_SECONDS + _FREE_REQUESTS,
                quota.rate * _MAX_DEBT_SECONDS,
                now,
            )
            self._accounts_by_id[upstream] = account
        account.asked_at = now
        return account

    def _forget_idle(self) -> None:
        oldest = clock.now() - _IDLE_SECONDS
        self._accounts_by_id = {
            name: account
            for name, account in self._accounts_by_id.items()
            if account.asked_at >= oldest
        }


def _charge(account: _Account, uncounted: int) -> None:
    """Make up for requests that were sent before their limit was known."""
    if not uncounted:
        return
    free = min(uncounted, account.free)
    account.free -= free
    debt = min(uncounted - free, account.debt_left)
    account.debt_left -= debt
    account.bucket.give_back(-debt)
