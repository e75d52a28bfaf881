"""The components that choose upstreams for the calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from flamingovalve.gateway.balancer import Balancer
from flamingovalve.gateway.call_client import CallClient
from flamingovalve.gateway.call_keeper import CallKeeper
from flamingovalve.gateway.calls import CallServer
from flamingovalve.generated.ids import DomainId
from flamingovalve.generated.messages import CallAsk, CallEnd

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.relay import UpstreamRelay
    from flamingovalve.gateway.stream_versions import StreamVersions
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.settings import Settings
    from flamingovalve.peer.server import PeerServer
    from flamingovalve.util.tasks import TaskSet


class CallAccess:
    """The server of calls, the keeper of this VM and its client of keepers."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        catalogue: Catalogue,
        statuses: UpstreamStatuses,
        keepers: KeeperClient,
        background: TaskSet,
    ) -> None:
        """Create the components.

        :param keepers: a client for calls alone, as it skips keepers that are
            too slow for calls
        """
        domain = DomainId(settings.vm.failure_domain)
        self.keeper = CallKeeper(catalogue.upstreams, statuses)
        self._catalogue = catalogue
        self._balancer = Balancer(domain, rng, statuses)
        self.client = CallClient(
            domain,
            self._balancer,
            keepers,
            self.keeper,
            background,
            is_shared=settings.gateway.shared_calls,
        )

    def server(
        self,
        relay: UpstreamRelay,
        attempts: Attempts,
        versions: StreamVersions,
    ) -> CallServer:
        """Return a server that sends calls through ``relay``."""
        return CallServer(
            self._catalogue,
            self._balancer,
            relay,
            attempts,
            self.client,
            versions,
        )

    def serve_peers(self, server: PeerServer) -> None:
        """Answer the messages of other VMs about calls."""
        server.on_session(CallAsk, self.keeper.serve_ask)
        server.on_session(CallEnd, self.keeper.serve_end)

    def counts(self) -> dict[str, Any]:
        """Return the counts of each component by name."""
        return {'calls': self.client.counts, 'call_keeper': self.keeper.counts}
