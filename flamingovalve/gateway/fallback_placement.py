"""Places for completions while a group has no owner.

A group has no owner for a second or two after its VM ended or became
unreachable, or after all VMs started. Engines continue to serve the adapters
that they hold and report them. A request whose adapter is in an engine's last
report is sent there; if the report is outdated, the engine refuses the request
without running it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import HeldBack
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
# Share of a batch that all VMs use together, as none sees the others' places.
_BATCH_SHARE: Final = 0.5
_MIN_PLACES: Final = 2


class FallbackPlacement:
    """Grants places according to the engines' own reports."""

    def __init__(
        self,
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
        vm_count: Callable[[], int],
    ) -> None:
        """Start without reports.

        :param link_to: returns the link to an engine
        :param vm_count: returns the number of VMs that share the engines
        """
        self._catalogue = catalogue
        self._link_to = link_to
        self._vm_count = vm_count
        self._reports_by_id: dict[UpstreamId, EngineReport] = {}
        self._refreshed_at = float('-inf')
        self._refresh_lock = curio.Lock()
        self._leases: set[PlaceLease] = set()

    async def take(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        """Take a place on an engine that holds the adapter.

        :returns: ``None`` if no such engine has a free place
        """
        await self._refresh_reports(request.service)
        upstream = self._least_used(request, ask)
        if upstream is None:
            return None
        report = self._reports_by_id[upstream.id]
        version = report.resident.get(ask.adapter, 0)
        grant = PlaceGrant(
            upstream.id, upstream.address, version, born=report.born
        )
        lease = PlaceLease(ask, grant)
        self._leases.add(lease)
        note(
            logger,
            'place without an owner',
            id=request.id,
            upstream=upstream.id,
            adapter=ask.adapter,
            report_age=round(clock.now() - self._refreshed_at, 2),
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
        limit = self._max_places(service.engine)
        candidates = [
            upstream
            for upstream in self._catalogue.upstreams(request.service)
            if self._holds(upstream, request, ask)
            and self._wait_of(upstream) <= request.send_patience()
            and used.count(upstream.id) < limit
        ]
        return min(
            candidates,
            key=lambda one: (self._wait_of(one), used.count(one.id)),
            default=None,
        )

    def _wait_of(self, upstream: Upstream) -> float:
        return self._link_to(upstream).status.wait_seconds()

    def _max_places(self, traits: EngineTraits) -> int:
        share = traits.batch * _BATCH_SHARE / max(1, self._vm_count())
        return max(_MIN_PLACES, int(share))

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
        if ask.pins_software and not (
            upstream.software == ask.software
            and upstream.is_process(report.born)
        ):
            return False
        if not ask.adapter:
            return True
        wanted = self._catalogue.wanted_version(ask.model, ask.adapter)
        return report.resident.get(ask.adapter, -1) >= wanted

    async def _refresh_reports(self, service: ServiceId) -> None:
        async with self._refresh_lock:
            if clock.now() < self._refreshed_at + _REPORT_SECONDS:
                return
            upstreams = self._catalogue.upstreams(service)
            async with curio.TaskGroup() as tasks:
                for upstream in upstreams:
                    await tasks.spawn(self._refresh_report, upstream)
            listed = {upstream.id for upstream in upstreams}
            for name in set(self._reports_by_id) - listed:
                del self._reports_by_id[name]
            self._refreshed_at = clock.now()

    async def _refresh_report(self, upstream: Upstream) -> None:
        try:
            report = await self._link_to(upstream).report(patience=0)
        except HeldBack as held:
            # The previous report stays in use.
            logger.debug('no report: {}', held)
            return
        if report is None:
            self._reports_by_id.pop(upstream.id, None)
        else:
            self._reports_by_id[upstream.id] = report
