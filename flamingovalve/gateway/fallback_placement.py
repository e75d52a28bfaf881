"""Places for completions while no VM gives any out.

Answers the second or two in which a group has no owner: its VM ended or fell
silent, or all VMs have just started. Engines go on serving what they hold, and
say what that is. A request whose adapter is there is sent by what the engine
last said; one that guesses wrong is refused by the engine and has not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.gateway.places import PlaceLease
from flamingovalve.generated.messages import PlaceGrant
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.gateway.orders import EngineReport
    from flamingovalve.generated.ids import ServiceId, UpstreamId
    from flamingovalve.generated.messages import PlaceAsk

logger = get_logger(__name__)

# Without an owner nothing is loaded, so reports change little.
_REPORT_SECONDS: Final = 0.4
# Places of a batch that VMs take together while none of them sees the others'.
_BATCH_SHARE: Final = 0.5
_FEWEST_PLACES: Final = 2


class FallbackPlacement:
    """Takes places by what engines say of themselves."""

    def __init__(
        self,
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
        vms: Callable[[], int],
    ) -> None:
        """Know of no engine yet.

        :param link_to: opens the way to an engine
        :param vms: counts the VMs that share the engines
        """
        self._catalogue = catalogue
        self._link_to = link_to
        self._vms = vms
        self._reports_by_id: dict[UpstreamId, EngineReport] = {}
        self._read_at = float('-inf')
        self._reading = curio.Lock()
        self._leases: set[PlaceLease] = set()

    async def take(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        """Take a place on an engine that holds the adapter, if there is one."""
        await self._read(request.service)
        upstream = self._least_used(request, ask)
        if upstream is None:
            return None
        version = self._reports_by_id[upstream.id].resident.get(ask.adapter, 0)
        grant = PlaceGrant(upstream.id, upstream.address, version)
        lease = PlaceLease(ask, grant)
        self._leases.add(lease)
        note(
            logger,
            'place without an owner',
            id=request.id,
            upstream=upstream.id,
            adapter=ask.adapter,
            report_age=round(clock.now() - self._read_at, 2),
        )
        return lease

    def _least_used(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> Upstream | None:
        self._leases = {one for one in self._leases if not one.is_ended}
        used = [lease.grant.upstream for lease in self._leases]
        service = self._catalogue.configuration.services_by_name.get(
            request.service,
        )
        if service is None or service.engine is None:
            return None
        most = self._most_places(service.engine)
        fitting = [
            upstream
            for upstream in self._catalogue.upstreams(request.service)
            if self._holds(upstream, request, ask)
            and used.count(upstream.id) < most
        ]
        return min(fitting, key=lambda one: used.count(one.id), default=None)

    def _most_places(self, traits: EngineTraits) -> int:
        share = traits.batch * _BATCH_SHARE / max(1, self._vms())
        return max(_FEWEST_PLACES, int(share))

    def _holds(
        self,
        upstream: Upstream,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> bool:
        report = self._reports_by_id.get(upstream.id)
        if report is None or ask.model not in report.models:
            return False
        if upstream.id in request.tried or upstream.id in request.refused_by:
            return False
        if not ask.adapter:
            return True
        wanted = self._catalogue.wanted_version(ask.model, ask.adapter)
        return report.resident.get(ask.adapter, -1) >= wanted

    async def _read(self, service: ServiceId) -> None:
        async with self._reading:
            if clock.now() < self._read_at + _REPORT_SECONDS:
                return
            upstreams = self._catalogue.upstreams(service)
            async with curio.TaskGroup() as tasks:
                for upstream in upstreams:
                    await tasks.spawn(self._read_one, upstream)
            listed = {upstream.id for upstream in upstreams}
            for name in set(self._reports_by_id) - listed:
                del self._reports_by_id[name]
            self._read_at = clock.now()

    async def _read_one(self, upstream: Upstream) -> None:
        report = await self._link_to(upstream).report()
        if report is None:
            self._reports_by_id.pop(upstream.id, None)
        else:
            self._reports_by_id[upstream.id] = report
