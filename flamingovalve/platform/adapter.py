"""The gateway's interface to the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from flamingovalve.generated.ids import DomainId
from flamingovalve.platform import decode, ingress
from flamingovalve.platform.store import PlatformStore
from flamingovalve.platform.upstreams import PlatformEngine, PlatformWire

if TYPE_CHECKING:
    from flamingovalve.errors import ServingError
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Route, Upstream
    from flamingovalve.gateway.upstream_client import UpstreamClient
    from flamingovalve.generated.messages import Document
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.http.messages import Request, Response

_CONFIGURATION_KEY: Final = 'op/config'
_UPSTREAMS_PREFIX: Final = 'servers/'
_VERSIONS_PREFIX: Final = 'op/version/'
_RESOLVE_PATH: Final = '/resolve'


class UsersPlatform:
    """Names, formats and calls of the users' platform."""

    def __init__(self, store_address: str) -> None:
        """Use the store at ``store_address``."""
        self.wire = PlatformWire()
        self._store_address = store_address

    def decode(self, document: Document) -> Any:
        """Decode one published document according to its key."""
        key, content = document.key, document.content
        if key == _CONFIGURATION_KEY:
            return decode.configuration(content)
        if key.startswith(_UPSTREAMS_PREFIX):
            return decode.upstream(key, content)
        if key.startswith(_VERSIONS_PREFIX):
            return decode.adapter_version(content)
        return None

    def store(self, pool: ConnectionPool) -> PlatformStore:
        """Return a client of the platform's store."""
        return PlatformStore(pool, self._store_address)

    def engine(
        self,
        client: UpstreamClient,
        upstream: Upstream,
    ) -> PlatformEngine:
        """Return a client of an engine."""
        return PlatformEngine(client, upstream)

    def host_of(self, request: Request) -> str:
        """Return the host that a request addresses."""
        return ingress.host_of(request)

    def request_id(self, request: Request) -> str:
        """Return the ID that the caller gave a request."""
        return ingress.request_id(request)

    def key_of(self, request: Request) -> bytes:
        """Return the API key of a request, empty if absent."""
        return ingress.key_of(request)

    def inbound(self, request: Request, route: Route) -> InboundRequest:
        """Decode a request that matches ``route``."""
        return ingress.inbound(request, route)

    def asked_domain(self, request: Request) -> DomainId | None:
        """Return the caller's failure domain if it asks for addresses."""
        if request.path != _RESOLVE_PATH:
            return None
        return DomainId(request.query.get('Zone', ''))

    def error_response(self, error: ServingError) -> Response:
        """Build the response that reports an error to a caller."""
        return ingress.error_response(error)

    def addresses_response(
        self,
        addresses: list[str],
        seconds: float,
    ) -> Response:
        """Build the response that lists the addresses to use."""
        return ingress.addresses_response(addresses, seconds)
