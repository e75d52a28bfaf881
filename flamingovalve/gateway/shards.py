"""Divides the engines of a service into groups that have an owner each.

Supports services with more engines than one owner can manage: each place
costs its owner processor time, and the requests of some dozens of engines
saturate a small VM. An overloaded owner delays the requests of all its engines.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import GroupId
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import ServiceId, UpstreamId
    from flamingovalve.generated.messages import PlaceAsk

logger = get_logger(__name__)

# Small groups pack adapters badly, large ones overload their owner. The count
# is the nearest power of two, so 51 to 101 engines form eight groups, and
# neither a lost failure domain nor a scale-out changes the division.
_ENGINES_PER_GROUP: Final = 9
# A new group count takes effect after the list of engines has implied it for
# this long. Lists reach all VMs within about a second; if only some VMs used a
# new division, an engine would have two owners.
_CHANGE_DELAY_SECONDS: Final = 3.0


def group_count(engines: int) -> int:
    """Return the number of groups for ``engines`` engines."""
    if engines <= _ENGINES_PER_GROUP:
        return 1
    return 1 << round(math.log2(engines / _ENGINES_PER_GROUP))


def group_of(upstream: Upstream, count: int) -> GroupId:
    """Return the group that an engine belongs to.

    When the count doubles, half of the engines of each group stay in it.
    """
    digest = hashing.weight('group', upstream.id)
    return _group_id(upstream.service, digest % count)


def groups_of(service: ServiceId, count: int) -> list[GroupId]:
    """Return all groups of a service."""
    return [_group_id(service, index) for index in range(count)]


def _group_id(service: ServiceId, index: int) -> GroupId:
    return GroupId(f'{service}/{index}' if index else service)


@dataclass(slots=True)
class _Division:
    """The number of groups of a service.

    :ivar count: number in use
    :ivar wanted: number that the current list of engines implies
    :ivar wanted_since: when ``wanted`` last changed, on the monotonic clock
    """

    count: int
    wanted: int
    wanted_since: float


class Shards:
    """The division of each service into groups that this VM uses."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Divide the upstreams that ``catalogue`` lists."""
        self._catalogue = catalogue
        self._by_service: dict[ServiceId, _Division] = {}

    def count(self, service: ServiceId) -> int:
        """Return the number of groups of a service."""
        wanted = group_count(len(self._catalogue.upstreams(service)))
        now = clock.now()
        known = self._by_service.get(service)
        if known is None:
            known = _Division(wanted, wanted, now)
            self._by_service[service] = known
        if known.wanted != wanted:
            known.wanted = wanted
            known.wanted_since = now
        is_stable = now >= known.wanted_since + _CHANGE_DELAY_SECONDS
        if is_stable and known.count != wanted:
            known.count = wanted
            note(
                logger,
                'engines are divided anew',
                service=service,
                groups=wanted,
                engines=len(self._catalogue.upstreams(service)),
            )
        return known.count

    def groups(self, service: ServiceId) -> list[GroupId]:
        """Return the groups of a service."""
        return groups_of(service, self.count(service))

    def engines(self, service: ServiceId) -> dict[GroupId, list[Upstream]]:
        """Return the engines of each group of a service."""
        count = self.count(service)
        by_group: dict[GroupId, list[Upstream]] = {
            group: [] for group in groups_of(service, count)
        }
        for upstream in self._catalogue.upstreams(service):
            by_group[group_of(upstream, count)].append(upstream)
        return by_group

    def group_holding(
        self,
        service: ServiceId,
        engine: UpstreamId,
    ) -> GroupId | None:
        """Return the group of a listed engine, or None if it is not listed."""
        for group, upstreams in self.engines(service).items():
            if any(upstream.id == engine for upstream in upstreams):
                return group
        return None

    def preference(self, service: ServiceId, ask: PlaceAsk) -> list[GroupId]:
        """Return the groups for a request in order of preference.

        An adapter has the same first group on all VMs, so it is loaded on few
        engines, and these cache its prompt prefixes. Requests for the base
        model are distributed by their first prompt part, which other requests
        share.
        """
        key: str = ask.adapter
        if not key and ask.parts:
            key = ask.parts[0].id
        groups = self.groups(service)
        ranked = hashing.rank(f'{ask.model}/{key}', groups)
        return [GroupId(name) for name in ranked]
