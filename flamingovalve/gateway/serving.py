"""Serves one request of a published route by the service that it goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway.attempts import no_upstream

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.calls import CallServer
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.completions import CompletionServer
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import UpstreamService
    from flamingovalve.gateway.quarantine import CrashQuarantine
    from flamingovalve.gateway.retries import FleetRetryBudget
    from flamingovalve.http.server import Responder


class RequestServer:
    """Divides the requests of a route among its services."""

    def __init__(
        self,
        catalogue: Catalogue,
        budget: FleetRetryBudget,
        calls: CallServer,
        completions: CompletionServer,
        quarantine: CrashQuarantine,
        chance: random.Random,
    ) -> None:
        """Serve by ``calls`` and ``completions``."""
        self._catalogue = catalogue
        self._budget = budget
        self._calls = calls
        self._completions = completions
        self._quarantine = quarantine
        self._chance = chance

    async def serve(
        self,
        request: InboundRequest,
        responder: Responder,
    ) -> None:
        """Serve one request.

        :raises ServingError: when it cannot be served
        """
        self._quarantine.check(request)
        service = self._service_of(request)
        request.service = service.name
        self._budget.note_request(service.name)
        completion = request.completion
        if service.engine is not None and completion is not None:
            await self._completions.serve(request, completion, responder)
        else:
            await self._calls.serve(request, responder)

    def _service_of(self, request: InboundRequest) -> UpstreamService:
        shares = request.route.services
        names = [share.service for share in shares]
        weights = [share.weight for share in shares]
        name = self._chance.choices(names, weights)[0]
        service = self._catalogue.configuration.services_by_name.get(name)
        if service is None:
            raise no_upstream(name)
        return service
