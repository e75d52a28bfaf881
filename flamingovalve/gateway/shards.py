"""Divides the engines of a service into groups that have an owner each.

Answers services of more engines than one owner can look after: each place
takes its owner processor time, and a small VM's is used up by the requests of
some dozens of engines. An owner that is late makes all of them late.
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

# Small groups pack adapters badly, large ones load their owner. The count is
# the power of two that comes nearest, so 51 to 101 engines make eight groups
# and neither a lost failure domain nor a scale-out changes the division.
_ENGINES_PER_GROUP: Final = 9
# A new division is used once the list has said so for this long. Lists reach
# all VMs within about a second; a division that some use and others do not
# would give an engine two owners.
_SETTLED_SECONDS: Final = 3.0


def group_count(engines: int) -> int:
    """Give the number of groups for as many engines."""
    if engines <= _ENGINES_PER_GROUP:
        return 1
    return 1 << round(math.log2(engines / _ENGINES_PER_GROUP))


def group_of(upstream: Upstream, count: int) -> GroupId:
    """Give the group that an engine belongs to.

    With twice as many groups, half of the engines of each stay in it.
    """
    digest = hashing.weight('group', upstream.id)
    return _named(upstream.service, digest % count)


def groups_of(service: ServiceId, count: int) -> list[GroupId]:
    """Give all groups of a service."""
    return [_named(service, index) for index in range(count)]


def _named(service: ServiceId, index: int) -> GroupId:
    return GroupId(f'{service}/{index}' if index else service)


@dataclass(slots=True)
class _Division:
    """How many groups a service has.

    :ivar wanted: what the list says now
    :ivar since: since when it has said so
    """

    count: int
    wanted: int
    since: float


class Shards:
    """The division of each service, as this VM uses it."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Divide by the upstreams that ``catalogue`` lists."""
        self._catalogue = catalogue
        self._by_service: dict[ServiceId, _Division] = {}

    def count(self, service: ServiceId) -> int:
        """Give the number of groups of a service."""
        wanted = group_count(len(self._catalogue.upstreams(service)))
        moment = clock.now()
        known = self._by_service.get(service)
        if known is None:
            known = _Division(wanted, wanted, moment)
            self._by_service[service] = known
        if known.wanted != wanted:
            known.wanted = wanted
            known.since = moment
        settled = moment >= known.since + _SETTLED_SECONDS
        if settled and known.count != wanted:
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
        """Give the groups of a service."""
        return groups_of(service, self.count(service))

    def engines(self, service: ServiceId) -> dict[GroupId, list[Upstream]]:
        """Give the engines of each group of a service."""
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
        """Give the group of an engine that is listed."""
        for group, upstreams in self.engines(service).items():
            if any(upstream.id == engine for upstream in upstreams):
                return group
        return None

    def preference(self, service: ServiceId, ask: PlaceAsk) -> list[GroupId]:
        """Order the groups for a request, the likeliest holder first.

        An adapter has the same first group everywhere, so it is loaded on
        few engines and the parts of its prompts are kept there. Requests
        for the base model are spread by the part that others share.
        """
        key: str = ask.adapter
        if not key and ask.parts:
            key = ask.parts[0].id
        groups = self.groups(service)
        ranked = hashing.rank(f'{ask.model}/{key}', groups)
        return [GroupId(name) for name in ranked]
