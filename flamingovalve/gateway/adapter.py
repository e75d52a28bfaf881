"""Interface between the gateway and the platform that it runs on."""

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
    from flamingovalve.gateway.upstream_client import UpstreamClient
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.http.messages import Request, Response


class PlatformAdapter(Protocol):
    """Translates between the gateway and a platform; contains no policy."""

    wire: Wire
    decode: Decoder

    def store(self, pool: ConnectionPool) -> Store:
        """Create a client of the platform's store."""

    def engine(self, client: UpstreamClient, upstream: Upstream) -> EngineLink:
        """Create a link to an engine."""

    def host_of(self, request: Request) -> str:
        """Return the host that a request is addressed to."""

    def request_id(self, request: Request) -> str:
        """Return the id that the caller assigned to a request."""

    def key_of(self, request: Request) -> bytes:
        """Return the API key of a request; empty if absent."""

    def inbound(self, request: Request, route: Route) -> InboundRequest:
        """Decode a request of ``route``."""

    def asked_domain(self, request: Request) -> DomainId | None:
        """Return the failure domain of a caller that asks for addresses.

        :returns: ``None`` for any other request
        """

    def error_response(self, error: ServingError) -> Response:
        """Build the response that reports an error to a caller."""

    def addresses_response(
        self,
        addresses: list[str],
        seconds: float,
    ) -> Response:
        """Build the directory response.

        :param seconds: time for which callers may use the addresses
        """
