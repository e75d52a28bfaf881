"""What the gateway needs of the platform that it stands on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from flamingovalve.errors import ServingError
    from flamingovalve.gateway.catalogue import Decoder
    from flamingovalve.gateway.engine import EngineLink
    from flamingovalve.gateway.follower import Store
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Route, Upstream
    from flamingovalve.gateway.relay import Wire
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.http.messages import Request, Response


class PlatformAdapter(Protocol):
    """Names, formats and calls of a platform; it decides nothing."""

    wire: Wire
    decode: Decoder

    def store(self, pool: ConnectionPool) -> Store:
        """Open the platform's store."""

    def engine(self, pool: ConnectionPool, upstream: Upstream) -> EngineLink:
        """Open the way to an engine."""

    def host_of(self, request: Request) -> str:
        """Give the host that a request is for."""

    def request_id(self, request: Request) -> str:
        """Give the caller's name for a request."""

    def key_of(self, request: Request) -> bytes:
        """Give the API key of a request, empty if absent."""

    def inbound(self, request: Request, route: Route) -> InboundRequest:
        """Decode a request that takes ``route``."""

    def asked_domain(self, request: Request) -> DomainId | None:
        """Give a caller's failure domain where it asks for addresses."""

    def error_response(self, error: ServingError) -> Response:
        """Build the answer that reports an error to a caller."""

    def addresses_response(
        self,
        addresses: list[str],
        seconds: float,
    ) -> Response:
        """Build the answer to which address to use."""
