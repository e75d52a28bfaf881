"""Chooses an upstream of a plain service, by what this VM sees of each.

Answers services of a few slots that shed when they are full: each VM sends
where it has least under way, and away from those that fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import DomainId, UpstreamId

# A service that fails one call in seven by itself stays well below this.
_FAILING_SHARE: Final = 0.35
_FADE: Final = 0.15
# Two of a failing upstream's pauses fit into the target of a call.
_FIRST_PAUSE_SECONDS: Final = 0.5
_LONGEST_PAUSE_SECONDS: Final = 2.0
_OTHER_DOMAIN_COST: Final = 0.2
_FAILURE_COST: Final = 6.0


@dataclass(slots=True)
class Seen:
    """What this VM has seen of one upstream.

    :ivar failing: share of its answers that failed, newer ones first
    """

    under_way: int = 0
    failing: float = 0
    unreachable: int = 0
    avoided_until: float = 0


class Balancer:
    """Spreads calls over the upstreams of a service."""

    def __init__(self, domain: DomainId, chance: random.Random) -> None:
        """Prefer upstreams of ``domain`` where all else is equal."""
        self._domain = domain
        self._chance = chance
        self._seen_by_id: dict[UpstreamId, Seen] = {}

    def seen(self, upstream: UpstreamId) -> Seen:
        """Give what was seen of an upstream."""
        return self._seen_by_id.setdefault(upstream, Seen())

    def choose(
        self,
        upstreams: list[Upstream],
        avoided: Collection[str],
    ) -> Upstream | None:
        """Give the upstream with the least expected trouble."""
        fresh = [one for one in upstreams if one.id not in avoided]
        if not fresh:
            return None
        usable = [one for one in fresh if self._is_usable(one)] or fresh
        return min(usable, key=self._cost)

    def started(self, upstream: UpstreamId) -> None:
        """Count a call as under way."""
        self.seen(upstream).under_way += 1

    def succeeded(self, upstream: UpstreamId) -> None:
        """Count a call as answered well."""
        seen = self._ended(upstream)
        seen.failing -= seen.failing * _FADE
        seen.unreachable = 0

    def failed(self, upstream: UpstreamId, *, unreachable: bool) -> None:
        """Count a call as failed; a silent upstream is left alone a while."""
        seen = self._ended(upstream)
        seen.failing += (1 - seen.failing) * _FADE
        if unreachable:
            pause = _FIRST_PAUSE_SECONDS * 2**seen.unreachable
            seen.unreachable += 1
            pause = min(pause, _LONGEST_PAUSE_SECONDS)
            seen.avoided_until = clock.now() + pause

    def abandoned(self, upstream: UpstreamId) -> None:
        """Count a call as ended without a verdict."""
        self._ended(upstream)

    def _ended(self, upstream: UpstreamId) -> Seen:
        seen = self.seen(upstream)
        seen.under_way = max(0, seen.under_way - 1)
        return seen

    def _is_usable(self, upstream: Upstream) -> bool:
        return clock.now() >= self.seen(upstream.id).avoided_until

    def _cost(self, upstream: Upstream) -> float:
        seen = self.seen(upstream.id)
        cost = seen.under_way + self._chance.random() * _OTHER_DOMAIN_COST
        if upstream.domain != self._domain:
            cost += _OTHER_DOMAIN_COST
        return cost + max(0, seen.failing - _FAILING_SHARE / 2) * _FAILURE_COST
