"""Serves addresses, readiness, metrics and the state of the process."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.http.messages import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.adapter import PlatformAdapter
    from flamingovalve.gateway.directory import AddressDirectory
    from flamingovalve.gateway.metrics import GatewayMetrics
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder

_TEXT: Final = [('content-type', 'text/plain; version=0.0.4; charset=utf-8')]


class AuxiliaryEndpoints:
    """Handles requests other than those to published routes."""

    def __init__(
        self,
        platform: PlatformAdapter,
        directory: AddressDirectory,
        address_seconds: float,
        metrics: GatewayMetrics,
        state: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
    ) -> None:
        """Create a handler that uses the given components.

        :param address_seconds: time to live of returned addresses, in seconds
        :param state: returns the state of this process as JSON values
        :param is_ready: returns whether this VM should receive requests
        """
        self._platform = platform
        self._directory = directory
        self._address_seconds = address_seconds
        self._metrics = metrics
        self._state = state
        self._is_ready = is_ready

    async def answer(self, request: Request, responder: Responder) -> None:
        """Serve one request."""
        domain = self._platform.asked_domain(request)
        if domain is not None:
            response = self._addresses(domain)
        elif request.path == '/metrics':
            body = self._metrics.exposition()
            response = Response(HTTPStatus.OK, _TEXT, body)
        elif request.path == '/state':
            response = Response.from_json(self._state())
        else:
            response = Response(self._readiness())
        await responder.send(response)

    def _readiness(self) -> HTTPStatus:
        if self._is_ready():
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE

    def _addresses(self, domain: DomainId) -> Response:
        return self._platform.addresses_response(
            self._directory.addresses(domain),
            self._address_seconds,
        )
