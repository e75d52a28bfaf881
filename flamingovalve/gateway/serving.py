"""Dispatches requests of published routes to one of their services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway.attempts import no_upstream, not_accepted

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.calls import CallServer
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.completions import CompletionServer
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import UpstreamService
    from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
    from flamingovalve.gateway.retries import FleetRetryBudget
    from flamingovalve.gateway.stream_versions import StreamVersions
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.http.server import Responder


class RequestServer:
    """Distributes the requests of a route over its services by weight."""

    def __init__(
        self,
        catalogue: Catalogue,
        budget: FleetRetryBudget,
        calls: CallServer,
        completions: CompletionServer,
        quarantine: CrashQuarantine,
        statuses: UpstreamStatuses,
        versions: StreamVersions,
        rng: random.Random,
    ) -> None:
        """Serve through ``calls`` or ``completions``, by service type.

        :param statuses: what upstreams announce
        :param versions: finds what began the streams that callers resume
        """
        self._catalogue = catalogue
        self._budget = budget
        self._calls = calls
        self._completions = completions
        self._quarantine = quarantine
        self._statuses = statuses
        self._versions = versions
        self._rng = rng

    async def serve(
        self,
        request: InboundRequest,
        responder: Responder,
    ) -> None:
        """Serve one request.

        :raises ServingError: if it cannot be served or is quarantined
        """
        self._quarantine.admit(request)
        await self._versions.resolve(request)
        service = self._choose_service(request)
        request.service = service.name
        self._check_accepted(request)
        self._budget.record_request(service.name)
        completion = request.completion
        if service.engine is not None and completion is not None:
            await self._completions.serve(request, completion, responder)
        else:
            await self._calls.serve(request, responder)

    def _check_accepted(self, request: InboundRequest) -> None:
        """Check that an upstream accepts a request in time.

        :raises ServingError: if none does
        """
        upstreams = self._catalogue.upstreams(request.service)
        wait = self._statuses.wait_seconds(upstreams)
        if wait > request.send_patience():
            raise not_accepted(request, wait)

    def _choose_service(self, request: InboundRequest) -> UpstreamService:
        weighted_services = request.route.services
        origin = request.origin
        if origin is not None:
            return self._service_named(origin.service)
        names = [share.service for share in weighted_services]
        weights = [share.weight for share in weighted_services]
        return self._service_named(self._rng.choices(names, weights)[0])

    def _service_named(self, name: ServiceId) -> UpstreamService:
        service = self._catalogue.configuration.services_by_name.get(name)
        if service is None:
            raise no_upstream(name)
        return service
