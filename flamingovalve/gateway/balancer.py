"""Chooses an upstream of a plain service by this VM's own observations.

Upstreams of such services have few slots and refuse calls when they are full.
Each VM prefers the upstream with the fewest of its own calls in progress and
avoids failing ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.rate_limits import NO_LIMIT
from flamingovalve.util import clock
from flamingovalve.util.pauses import doubled

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import DomainId, UpstreamId

# An upstream that normally fails one call in seven stays well below this. A
# failing share of up to half of it costs nothing.
_FAILING_SHARE: Final = 0.35
_SMOOTHING_FACTOR: Final = 0.15
# Two pauses of an unreachable upstream fit into the target of a call.
_INITIAL_PAUSE_SECONDS: Final = 0.5
_MAX_PAUSE_SECONDS: Final = 2.0
_OVERDUE_OF_PAUSE: Final = 2
# The unit of costs is one call in progress.
_OTHER_DOMAIN_COST: Final = 0.2
_FAILURE_COST: Final = 6.0
_LIMITED_COST: Final = 3.0
_WAIT_COST_PER_SECOND: Final = 50.0


@dataclass(slots=True)
class UpstreamStats:
    """What this VM has observed of one upstream.

    :ivar under_way: calls in progress from this VM
    :ivar failing: exponentially weighted share of failed calls
    :ivar unreachable: connection failures and timeouts since the last success
    :ivar avoided_until: end of the pause after the last of these, on the
        monotonic clock
    :ivar overdue: hedged calls since the last success that another upstream
        answered
    """

    under_way: int = 0
    failing: float = 0
    unreachable: int = 0
    avoided_until: float = 0
    overdue: int = 0


class Balancer:
    """Distributes calls over the upstreams of a service."""

    def __init__(
        self,
        domain: DomainId,
        rng: random.Random,
        statuses: UpstreamStatuses,
    ) -> None:
        """Prefer upstreams of ``domain`` if the other costs are about equal.

        :param statuses: what upstreams announce
        """
        self._domain = domain
        self._rng = rng
        self._statuses = statuses
        self._stats_by_id: dict[UpstreamId, UpstreamStats] = {}

    def stats(self, upstream: UpstreamId) -> UpstreamStats:
        """Return the observations of an upstream."""
        return self._stats_by_id.setdefault(upstream, UpstreamStats())

    def choose(
        self,
        upstreams: list[Upstream],
        avoided: Collection[str],
    ) -> Upstream | None:
        """Return the upstream with the lowest cost.

        Upstreams in a pause are chosen only if there are no others.

        :param avoided: ids of upstreams that must not be chosen
        """
        usable = self._usable(upstreams, avoided)
        return min(usable, key=self._cost) if usable else None

    def accepting(
        self,
        upstreams: list[Upstream],
        avoided: Collection[str],
    ) -> list[Upstream]:
        """Return the upstreams that accept a call of this VM the earliest.

        Those in a pause are returned only if there are no others.

        :param avoided: ids of upstreams that must not be chosen
        """
        waits_by_id = {
            one.id: self._statuses.of(one.id).wait_seconds()
            for one in self._usable(upstreams, avoided)
        }
        shortest = min(waits_by_id.values(), default=0)
        return [one for one in upstreams if waits_by_id.get(one.id) == shortest]

    def has_room(self, upstream: Upstream, vm_count: int) -> bool:
        """Return whether a call may be sent without its keeper's grant.

        :param vm_count: VMs that share the slots of a brittle upstream
        """
        brittleness = self._statuses.of(upstream.id).brittleness
        if not brittleness.is_known():
            return True
        share = max(1, upstream.slots // vm_count)
        is_full = self.stats(upstream.id).under_way >= share
        return not is_full and not brittleness.wait_seconds(vm_count)

    def started(self, upstream: UpstreamId) -> None:
        """Count a call as in progress."""
        self.stats(upstream).under_way += 1

    def succeeded(self, upstream: UpstreamId) -> None:
        """Record that a call succeeded."""
        stats = self._finish_call(upstream)
        stats.failing -= stats.failing * _SMOOTHING_FACTOR
        stats.unreachable = 0
        stats.overdue = 0

    def failed(self, upstream: UpstreamId, *, unreachable: bool) -> None:
        """Record that a call failed; pause an unresponsive upstream.

        :param unreachable: whether connecting failed or the response timed out
        """
        stats = self._finish_call(upstream)
        stats.failing += (1 - stats.failing) * _SMOOTHING_FACTOR
        if unreachable:
            pause = doubled(
                _INITIAL_PAUSE_SECONDS, stats.unreachable, _MAX_PAUSE_SECONDS
            )
            stats.unreachable += 1
            stats.avoided_until = clock.now() + pause

    def abandoned(self, upstream: UpstreamId) -> None:
        """Record that a call ended without success or failure."""
        self._finish_call(upstream)

    def overdue(self, upstream: UpstreamId) -> None:
        """Record that another upstream answered a call that was sent here.

        From the second one without a success in between, the link of this VM
        may be broken, which hedges would hide.
        """
        self.stats(upstream).overdue += 1
        if self.stats(upstream).overdue < _OVERDUE_OF_PAUSE:
            self.abandoned(upstream)
        else:
            self.failed(upstream, unreachable=True)

    def _finish_call(self, upstream: UpstreamId) -> UpstreamStats:
        stats = self.stats(upstream)
        stats.under_way = max(0, stats.under_way - 1)
        return stats

    def _usable(
        self,
        upstreams: list[Upstream],
        avoided: Collection[str],
    ) -> list[Upstream]:
        candidates = [
            one
            for one in upstreams
            if one.id not in avoided and not self._is_leaving(one)
        ]
        return [one for one in candidates if self._is_usable(one)] or candidates

    def _is_usable(self, upstream: Upstream) -> bool:
        return clock.now() >= self.stats(upstream.id).avoided_until

    def _is_leaving(self, upstream: Upstream) -> bool:
        return self._statuses.of(upstream.id).departure.is_known()

    def _cost(self, upstream: Upstream) -> float:
        stats = self.stats(upstream.id)
        cost = stats.under_way + self._rng.random() * _OTHER_DOMAIN_COST
        if upstream.domain != self._domain:
            cost += _OTHER_DOMAIN_COST
        cost += self._announced_cost(upstream)
        return cost + max(0, stats.failing - _FAILING_SHARE / 2) * _FAILURE_COST

    def _announced_cost(self, upstream: Upstream) -> float:
        status = self._statuses.of(upstream.id)
        cost = status.wait_seconds() * _WAIT_COST_PER_SECOND
        return cost + _LIMITED_COST * (status.limit.rate() != NO_LIMIT)
