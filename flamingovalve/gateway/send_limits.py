"""Admits requests to upstreams within the rate limits that these announce."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import HeldBack
from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.gateway.model import Quota
from flamingovalve.gateway.rate_limits import NO_LIMIT
from flamingovalve.generated.messages import LimitRumour, SendAsk
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.util import clock

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.rate_limits import RateLimit
    from flamingovalve.gateway.send_keeper import SendKeeper
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import UpstreamId
    from flamingovalve.generated.messages import SendReply
    from flamingovalve.util.tasks import TaskSet

_NO_BOOKING: Final = -1.0
_SHARE_IDLE_SECONDS: Final = 2.0
# Limits that are repeated in each probe, for VMs that have missed them.
_REPEATED_LIMITS_PER_PROBE: Final = 2


@dataclass(slots=True)
class _Share:
    """The share of a limit that a VM uses when no keeper answers."""

    bucket: CreditBucket
    asked_at: float


class SendLimits:
    """Books each request to an upstream with a rate limit at its keeper.

    One VM keeps the limit of an upstream, as the sum over all VMs counts. A
    share for each VM would allow none of them a request in time where the
    limit is below the number of VMs. If no keeper answers, a VM has only its
    share.
    """

    def __init__(
        self,
        statuses: UpstreamStatuses,
        keepers: KeeperClient,
        keeper: SendKeeper,
        background: TaskSet,
    ) -> None:
        """Ask remote keepers through ``keepers``, the local one directly."""
        self.publish: Callable[[LimitRumour], Awaitable[None]] = _discard
        self._statuses = statuses
        self._keepers = keepers
        self._keeper = keeper
        self._background = background
        self._shares_by_id: dict[UpstreamId, _Share] = {}

    async def admit(self, upstream: UpstreamId, patience: float) -> None:
        """Wait until a request may be sent to an upstream.

        :param patience: longest wait in seconds
        :raises HeldBack: if it may not be sent within ``patience``
        """
        limit = self._statuses.of(upstream).limit
        if limit.rate() == NO_LIMIT:
            return
        known_wait = limit.wait_seconds()
        if known_wait > patience:
            raise _held_back(upstream, known_wait)
        wait = await self._book(upstream, limit, patience)
        if wait > patience:
            raise _held_back(upstream, wait)
        await curio.sleep(wait)

    async def admit_at_brittle(
        self, upstream: UpstreamId, patience: float
    ) -> None:
        """Wait until a caller's request may be rejected by an upstream.

        Owners and keepers know the rejections of all VMs and grant no more
        than an upstream bears. This bounds what is sent without them.

        :param patience: longest wait in seconds
        :raises HeldBack: if a rejection would be too many for longer
        """
        brittleness = self._statuses.of(upstream).brittleness
        wait = brittleness.wait_seconds(self._keepers.vm_count())
        if wait > patience:
            raise _held_back(upstream, wait)
        await curio.sleep(wait)

    async def announce(self, upstream: UpstreamId) -> None:
        """Tell other VMs a limit that is new to this VM."""
        rate = self._statuses.of(upstream).limit.rate()
        await self.publish(LimitRumour(upstream, rate))
        await self._report_uncounted(upstream)

    async def apply_rumour(self, rumour: LimitRumour) -> Dissemination:
        """Apply a limit that another VM was told."""
        if not self._statuses.record_rumour(rumour.upstream, rumour.rate):
            return Dissemination.NONE
        await self._report_uncounted(rumour.upstream)
        return Dissemination.URGENT

    def standing_rumours(self, rng: random.Random) -> list[LimitRumour]:
        """Return some of the limits of which this VM was told recently."""
        rumours = [
            LimitRumour(name, limit.rate())
            for name, limit in self._statuses.limited()
            if limit.is_confirmed()
        ]
        count = min(len(rumours), _REPEATED_LIMITS_PER_PROBE)
        return rng.sample(rumours, count)

    async def _report_uncounted(self, upstream: UpstreamId) -> None:
        limit = self._statuses.of(upstream).limit
        if limit.uncounted:
            await self._background.spawn(
                self._book, upstream, limit, _NO_BOOKING
            )

    async def _book(
        self,
        upstream: UpstreamId,
        limit: RateLimit,
        patience: float,
    ) -> float:
        """Book a request; return the seconds until it may be sent."""
        ask = SendAsk(upstream, limit.rate(), patience, limit.uncounted)
        limit.uncounted = 0
        for vm in self._keepers.keepers(f'upstream {upstream}'):
            reply: SendReply | None
            if self._keepers.is_here(vm):
                reply = self._keeper.book(ask)
            else:
                reply = await self._keepers.ask(vm, ask)
            if reply is not None:
                limit.opens_at = clock.now() + reply.next_seconds
                return reply.wait_seconds
        self._statuses.counts.unanswered += 1
        return self._book_share(upstream, limit.rate(), patience)

    def _book_share(
        self,
        upstream: UpstreamId,
        rate: float,
        patience: float,
    ) -> float:
        """Book a request within this VM's share of the limit."""
        now = clock.now()
        rate /= self._keepers.vm_count()
        quota = Quota(rate, max(1, rate))
        share = self._shares_by_id.get(upstream)
        if share is None or now > share.asked_at + _SHARE_IDLE_SECONDS:
            # It starts empty, as keepers granted the whole rate until now.
            share = _Share(CreditBucket(quota, now), now)
            self._shares_by_id[upstream] = share
        share.asked_at = now
        share.bucket.update_quota(quota)
        return share.bucket.book(patience)


def _held_back(upstream: UpstreamId, seconds: float) -> HeldBack:
    return HeldBack(
        f'upstream {upstream} accepts the next request in {seconds:.1f} s',
        seconds,
    )


async def _discard(_rumour: LimitRumour) -> None:
    """Discard a rumour; the default until the daemon sets a publisher."""
