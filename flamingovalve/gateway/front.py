"""Entry point for the requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.access import AccessControl
    from flamingovalve.gateway.adapter import PlatformAdapter
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.grace import GracePeriod
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.metrics import GatewayMetrics
    from flamingovalve.gateway.quotas import QuotaClient
    from flamingovalve.gateway.serving import RequestServer
    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder

logger = get_logger(__name__)


class Front:
    """Serves requests of published routes and records their outcomes."""

    def __init__(
        self,
        platform: PlatformAdapter,
        catalogue: Catalogue,
        access: AccessControl,
        quotas: QuotaClient,
        server: RequestServer,
        metrics: GatewayMetrics,
        seconds_until_configured: Callable[[], float],
        grace: GracePeriod,
    ) -> None:
        """Serve the requests that ``access`` admits through ``server``.

        :param grace: refuses requests that would outlast this VM
        :param seconds_until_configured: returns the estimated seconds until
            the first configuration has been read
        """
        self._until_configured = seconds_until_configured
        self._grace = grace
        self.in_progress = 0
        self._platform = platform
        self._catalogue = catalogue
        self._access = access
        self._quotas = quotas
        self._server = server
        self._metrics = metrics

    async def answer(self, request: Request, responder: Responder) -> None:
        """Serve a caller's request and record its outcome.

        :raises ServingError: if the request is refused or cannot be served
        :raises ConnectionLost: if the connection broke during the response
        """
        self.in_progress += 1
        started_at = clock.now()
        outcome = 'answered'
        try:
            await self._serve(request, responder)
        except ServingError as error:
            outcome = error.kind.label
            raise
        except ConnectionLost:
            outcome = 'broken'
            raise
        except curio.CancelledError:
            outcome = 'abandoned'
            raise
        finally:
            self._record_outcome(request, responder, outcome, started_at)

    def _record_outcome(
        self,
        request: Request,
        responder: Responder,
        outcome: str,
        started_at: float,
    ) -> None:
        self.in_progress -= 1
        self._metrics.record_request(outcome, clock.now() - started_at)
        note(
            logger,
            'request',
            id=self._platform.request_id(request),
            path=request.path,
            outcome=outcome,
            framing=responder.framing and responder.framing.value,
            seconds=round(clock.now() - started_at, 3),
            version=self._catalogue.configuration.version,
        )

    async def _serve(self, request: Request, responder: Responder) -> None:
        if not self._catalogue.is_ready:
            raise self._not_ready_error(request)
        inbound = await self._access.admit(request)
        inbound.caller = responder.remote_host()
        inbound.is_caller_disconnected = responder.is_caller_disconnected
        async with responder.watch_caller():
            await self._serve_within_quota(inbound, responder)

    async def _serve_within_quota(
        self,
        inbound: InboundRequest,
        responder: Responder,
    ) -> None:
        await self._quotas.take(inbound)
        try:
            async with self._grace.guard(inbound):
                await self._server.serve(inbound, responder)
        except ServingError as error:
            if error.ran is Ran.NOT and not inbound.tried:
                self._quotas.give_back(inbound)
            raise

    def _not_ready_error(self, request: Request) -> ServingError:
        return ServingError(
            ErrorKind.NOT_READY,
            'this VM has no configuration yet; try another one',
            retry_after=return_times.add_jitter(
                self._until_configured(),
                self._platform.request_id(request),
            ),
        )
