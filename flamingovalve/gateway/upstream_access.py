"""The components through which a VM sends requests to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from flamingovalve.gateway.answers.bounds import AnswerBounds
from flamingovalve.gateway.dialer import UpstreamDialer
from flamingovalve.gateway.path_checks import PathChecker
from flamingovalve.gateway.quarantine.upstream_ends import UpstreamEnds
from flamingovalve.gateway.reachability import Reachability
from flamingovalve.gateway.send_keeper import SendKeeper
from flamingovalve.gateway.send_limits import SendLimits
from flamingovalve.gateway.tunnel_client import TunnelClient
from flamingovalve.gateway.tunnel_server import TunnelServer
from flamingovalve.gateway.upstream_client import UpstreamClient
from flamingovalve.gateway.upstream_paths import UpstreamPaths
from flamingovalve.gateway.upstream_status import UpstreamStatuses
from flamingovalve.generated.ids import DomainId
from flamingovalve.generated.messages import SendAsk, TunnelAsk

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.relay import Wire
    from flamingovalve.generated.settings import Settings
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.server import PeerServer
    from flamingovalve.util.network import Network
    from flamingovalve.util.tasks import TaskSet


class UpstreamAccess:
    """The client of upstreams, its paths, and what it keeps of announcements."""

    def __init__(
        self,
        network: Network,
        pool: ConnectionPool,
        wire: Wire,
        members: MemberTable,
        keepers: KeeperClient,
        background: TaskSet,
        catalogue: Catalogue,
    ) -> None:
        """Create the parts that send over connections of ``pool``.

        :param keepers: asks other VMs that keep rate limits
        """
        self.statuses = UpstreamStatuses()
        self.paths = UpstreamPaths(catalogue.upstreams)
        self.keeper = SendKeeper(members, self.statuses)
        self.limits = SendLimits(
            self.statuses, keepers, self.keeper, background
        )
        self.reachability = Reachability(members)
        self._network = network
        self._pool = pool
        self._wire = wire
        self._members = members
        self._background = background
        self._catalogue = catalogue

    def connect(
        self,
        settings: Settings,
        peers: PeerPool,
        rng: random.Random,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Create the parts that open connections.

        :param peers: connections to VMs that forward connections
        :param is_leaving: returns whether this VM leaves the fleet
        """
        self.tunnels = TunnelClient(
            self._network,
            DomainId(settings.vm.failure_domain),
            self._members,
            peers,
            self.reachability,
            self._background,
        )
        self.dialer = UpstreamDialer(
            self._pool, self.paths, self.tunnels, self._background
        )
        self.checker = PathChecker(
            self._catalogue,
            self._pool,
            self.paths,
            self.dialer,
            self.reachability,
            rng,
            self._background,
        )
        self.forwarded = TunnelServer(
            self._catalogue,
            self.dialer,
            self.statuses,
            is_leaving,
            settings.limits.connections,
        )
        self.answer_bounds = AnswerBounds.from_settings(
            settings.relay, settings.vm.memory_mb
        )
        self.client = UpstreamClient(
            self._wire.announcement,
            self.statuses,
            self.limits,
            self.paths,
            self.dialer,
            self.checker,
        )
        self.ends = UpstreamEnds(
            self._catalogue,
            self.client,
            self.dialer,
            self.paths,
            self._wire,
        )

    def serve_peers(self, server: PeerServer) -> None:
        """Answer the messages of other VMs about upstreams."""
        server.on_session(TunnelAsk, self.forwarded.serve)
        server.on_ask(SendAsk, self.keeper.answer)

    def forget_removed(self) -> None:
        """Forget what is known of removed upstreams."""
        is_listed = self._catalogue.lists
        self.statuses.forget_removed(is_listed)
        self.paths.forget_removed()
        self.tunnels.forget_removed(is_listed)
        self.checker.forget_removed(is_listed)

    def counts(self) -> dict[str, Any]:
        """Return the counts of each component by name."""
        return {
            'upstream_requests': self.statuses.counts,
            'upstream_paths': self.paths.counts,
            'tunnels': self.tunnels.counts,
            'tunnels_served': self.forwarded.counts,
        }
