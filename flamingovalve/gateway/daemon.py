"""The gateway daemon of one VM, composed of its components."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Any, Final, Self

import curio

from flamingovalve.gateway.access import AccessControl
from flamingovalve.gateway.attempts import Attempts
from flamingovalve.gateway.call_access import CallAccess
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.completions import CompletionServer
from flamingovalve.gateway.directory import AddressDirectory
from flamingovalve.gateway.fallback_placement import FallbackPlacement
from flamingovalve.gateway.follower import CatalogueFollower
from flamingovalve.gateway.front import Front
from flamingovalve.gateway.gossip_handlers import GossipHandlers
from flamingovalve.gateway.keepers import KeeperClient
from flamingovalve.gateway.metrics import GatewayMetrics
from flamingovalve.gateway.owned import OwnedGroups
from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.gateway.place_finder import PlaceFinder
from flamingovalve.gateway.places import PlaceClient, PlaceServer
from flamingovalve.gateway.quarantine.access import QuarantineAccess
from flamingovalve.gateway.quota_keeper import QuotaKeeper
from flamingovalve.gateway.quotas import QuotaClient
from flamingovalve.gateway.relay import UpstreamRelay
from flamingovalve.gateway.retry_access import RetryAccess
from flamingovalve.gateway.revocation import RevocationGuard
from flamingovalve.gateway.serving import RequestServer
from flamingovalve.gateway.shards import Shards
from flamingovalve.gateway.side_answers import AuxiliaryEndpoints
from flamingovalve.gateway.state import counts_of, gauges_of, state_of
from flamingovalve.gateway.stream_versions import StreamVersions
from flamingovalve.gateway.upstream_access import UpstreamAccess
from flamingovalve.gateway.watchers import Watchers
from flamingovalve.generated import messages
from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.settings import LimitSettings, PublishedVm
from flamingovalve.http.client import ConnectionPool
from flamingovalve.http.server import HttpServer
from flamingovalve.membership.gossip import Dissemination, Gossip
from flamingovalve.membership.members import MemberTable
from flamingovalve.peer.client import PeerPool
from flamingovalve.peer.server import PeerServer
from flamingovalve.util import clock
from flamingovalve.util.listeners import split_address
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from flamingovalve.gateway.adapter import PlatformAdapter
    from flamingovalve.generated.settings import Settings
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

_MICROSECONDS: Final = 1_000_000
# Responses of a leaving VM ask callers to close their connections. Those that
# are still open and idle after this time are closed.
_IDLE_CLOSE_DELAY_SECONDS: Final = 1.0
# A leaving VM accepts connections for this long, until every other VM has
# removed it from its directory responses and callers that hold an older
# response have switched to another VM.
_ACCEPT_WHILE_LEAVING_SECONDS: Final = 2.0
_GRACE_MARGIN_SECONDS: Final = 1.0
_MAX_CLOSE_SECONDS: Final = 0.3
_LEAVE_POLL_SECONDS: Final = 0.1
# Connections queue for at most this long until the first configuration and, if
# there are seeds, another VM are known.
_MAX_ACCEPT_DELAY_SECONDS: Final = 0.2
_ACCEPT_POLL_SECONDS: Final = 0.01
# Claims that are repeated in each probe, for VMs that have missed them.
_REPEATED_CLAIMS_PER_PROBE: Final = 2


class GatewayDaemon:
    """Runs all components of one gateway process."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        platform: PlatformAdapter,
        rng: random.Random,
        incarnation: Incarnation,
        started_at: float | None = None,
    ) -> None:
        """Create the components without starting them.

        :param platform: adapter to the formats of the users' platform
        :param rng: source of random choices
        :param started_at: start of this process on the monotonic clock;
            defaults to the current time
        """
        self.started_at = clock.now() if started_at is None else started_at
        self.settings = settings
        self.network = network
        self.platform = platform
        self.rng = rng
        self.incarnation = incarnation
        self.is_leaving = False
        self.started = curio.Event()
        self.stopped = curio.Event()
        self.background = TaskSet()
        self.members = MemberTable(VmId(settings.vm.peer_address), incarnation)
        self.pool = ConnectionPool(network, settings.relay)
        self.peers = PeerPool(network, settings, incarnation)
        self.gossip = Gossip(network, self.members, settings.fleet, rng)
        self.catalogue = Catalogue(platform.decode)
        self.follower = CatalogueFollower(
            self.catalogue,
            platform.store(self.pool),
            self.members,
            self.peers,
            Watchers(
                self.members,
                settings.platform.watchers_per_domain,
                clock.now(),
            ),
            rng,
        )
        self._build_serving()
        self._build_servers()

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        network: Network,
        platform: PlatformAdapter,
        seed: int | None = None,
        started_at: float | None = None,
    ) -> Self:
        """Create a daemon from its settings.

        :param seed: seed of the random choices; None for a random seed
        :param started_at: start of this process on the monotonic clock;
            defaults to the current time
        """
        settings.vm.id = VmId(settings.vm.peer_address)
        incarnation = Incarnation(int(clock.wall() * _MICROSECONDS))
        rng = random.Random(seed)
        return cls(settings, network, platform, rng, incarnation, started_at)

    def _build_serving(self) -> None:
        settings = self.settings
        domain = DomainId(settings.vm.failure_domain)
        self.keepers = KeeperClient(
            self.members, self.peers, self.gossip.probe_now
        )
        self.upstreams = UpstreamAccess(
            self.network,
            self.pool,
            self.platform.wire,
            self.members,
            self.keepers,
            self.background,
            self.catalogue,
        )
        self.upstreams.connect(
            settings,
            self.peers,
            random.Random(f'paths of {settings.vm.id} {self.incarnation}'),
            lambda: self.is_leaving,
        )
        link_to = functools.partial(self.platform.engine, self.upstreams.client)
        self.claims = GroupClaims(
            self.members,
            clock.now(),
            self.upstreams.reachability.is_replaceable,
        )
        self.shards = Shards(self.catalogue)
        self.owned = OwnedGroups(
            settings.gateway,
            self.members,
            self.claims,
            self.catalogue,
            self.shards,
            self.gossip.probe_now,
            link_to,
            self.started_at,
        )
        self.places = PlaceClient(self.members, self.peers, self.owned.find)
        self.finder = PlaceFinder(
            self.claims,
            self.places,
            self.shards,
            self.gossip.probe_now,
            FallbackPlacement(
                self.catalogue,
                link_to,
                self.members.possible_count,
            ),
            self.upstreams.statuses,
        )
        self.directory = AddressDirectory.from_config(
            self.members,
            settings.gateway,
            self.upstreams.reachability.is_cut_off_from_any,
        )
        self.retries = RetryAccess.from_config(
            settings,
            self.members,
            KeeperClient(self.members, self.peers, self.gossip.probe_now),
            [VmId(seed) for seed in self._seeds()],
            self.started_at,
        )
        self.quarantines = QuarantineAccess.from_config(
            settings,
            self.members,
            self.catalogue,
            self.upstreams,
            KeeperClient(self.members, self.peers, self.gossip.probe_now),
            self.rng,
        )
        self.quarantine = self.quarantines.quarantine
        attempts = Attempts(self.retries.budget, self.quarantine)
        relay = UpstreamRelay(
            self.upstreams.client,
            self.platform.wire,
            self.quarantine,
            self.upstreams.answer_bounds,
        )
        self.grace = relay.grace
        self.calls = CallAccess(
            settings,
            self.rng,
            self.catalogue,
            self.upstreams.statuses,
            KeeperClient(self.members, self.peers, self.gossip.probe_now),
            self.background,
        )
        self.versions = StreamVersions(
            self.members,
            self.peers,
            self.catalogue,
            self.follower,
            self.background,
        )
        self.completions = CompletionServer(
            domain,
            self.catalogue,
            relay,
            attempts,
            self.finder,
            self.places,
            self.versions,
        )
        self.server = RequestServer(
            self.catalogue,
            self.retries.budget,
            self.calls.server(relay, attempts, self.versions),
            self.completions,
            self.quarantine,
            self.upstreams.statuses,
            self.versions,
            self.rng,
        )

    def _build_servers(self) -> None:
        settings = self.settings
        self.metrics = GatewayMetrics(
            functools.partial(counts_of, self),
            functools.partial(gauges_of, self),
        )
        self.guard = RevocationGuard(
            self.follower.confirmation,
            self.follower.renew_confirmation,
            settings.gateway.revoke_seconds,
        )
        self.access = AccessControl(self.platform, self.catalogue, self.guard)
        self.quota_keeper = QuotaKeeper(
            self.catalogue,
            self.members,
            self.started_at,
            settings.gateway.quota_overage,
        )
        self.quotas = QuotaClient(
            self.catalogue, self.keepers, self.quota_keeper
        )
        self.front = Front(
            self.platform,
            self.catalogue,
            self.access,
            self.quotas,
            self.server,
            self.metrics,
            self.follower.seconds_until_configured,
            self.grace,
        )
        self.http = HttpServer.from_config(
            self.network, self.front.answer, settings
        )
        self.http.error_response = self.platform.error_response
        endpoints = AuxiliaryEndpoints(
            self.platform,
            self.directory,
            settings.gateway.address_seconds,
            self.metrics,
            functools.partial(state_of, self),
            lambda: self.is_ready,
        )
        self.side = HttpServer(self.network, endpoints.answer, LimitSettings())
        self.peer_server = PeerServer(self.network, settings, self.incarnation)
        place_server = PlaceServer(self.owned.find)
        on_session = self.peer_server.on_session
        on_session(messages.PlaceAsk, place_server.serve)
        on_session(messages.PlaceHold, place_server.serve_hold)
        self.calls.serve_peers(self.peer_server)
        self.peer_server.on_ask(messages.DocumentsAsk, self.follower.answer)
        self.peer_server.on_ask(messages.CreditAsk, self.quota_keeper.answer)
        self.upstreams.serve_peers(self.peer_server)
        self.retries.serve_peers(self.peer_server)
        self.quarantines.serve_peers(self.peer_server)
        on_session(messages.StreamOriginsNotice, self.versions.accept)
        self.peer_server.on_ask(messages.StreamOriginAsk, self.versions.answer)
        handlers = GossipHandlers(
            self.follower,
            self.quarantine,
            self.claims,
            self.places,
            self.upstreams.limits,
            self._apply_path_rumour,
            self.background,
        )
        self.gossip.rumour_listener = handlers.apply_rumour
        self.gossip.standing_rumours = self._standing_rumours
        self.gossip.late_wakeup_listeners.append(self.owned.record_late_wakeup)
        self.follower.listeners.append(self._on_configuration_change)
        self.follower.publish = self.gossip.push
        self.quarantine.publish = self.gossip.push
        self.quarantine.enqueue = self.gossip.rumours.add
        self.upstreams.limits.publish = self.gossip.push
        self.upstreams.checker.publish = self._announce_paths

    # -- Lifecycle

    async def run(self) -> None:
        """Serve until :meth:`stop` is called or the task is cancelled."""
        settings = self.settings
        self._open_membership()
        self.gossip.open(settings.vm.peer_address)
        try:
            await self._listen()
            await self._start()
            logger.info('VM {} started', settings.vm.id)
            await self.started.set()
            await self.stopped.wait()
        finally:
            await self._close()

    async def _listen(self) -> None:
        settings = self.settings
        spawn = self.background.spawn
        self._front_socket = self.network.listen(settings.vm.http_address)
        self._side_sockets = [
            self.network.listen(address) for address in self._side_addresses()
        ]
        peer_socket = self.network.listen(settings.vm.peer_address)
        await spawn(self.peer_server.serve, peer_socket)

    async def _accept_callers(self) -> None:
        """Accept callers once the fleet is known, or after a short delay.

        Connections queue while this process starts. Before the first
        configuration has been read, requests would be refused, and the
        directory would list no VM but this one.
        """
        async with curio.ignore_after(_MAX_ACCEPT_DELAY_SECONDS):
            while not self._is_fleet_known():
                await curio.sleep(_ACCEPT_POLL_SECONDS)
        spawn = self.background.spawn
        self._accepting = await spawn(self.http.serve, self._front_socket)
        for side_socket in self._side_sockets:
            await spawn(self.side.serve, side_socket)

    def _is_fleet_known(self) -> bool:
        is_alone = not self.settings.fleet.seeds
        return self.catalogue.is_ready and (
            is_alone or self.quarantines.handover.is_done
        )

    async def _start(self) -> None:
        spawn = self.background.spawn
        for work in (
            self.gossip.receive_forever,
            self.gossip.probe_forever,
            self.follower.follow_forever,
            self.directory.delay.measure_forever,
            self.upstreams.checker.check_forever,
            self.versions.maintain_forever,
            self.retries.census.maintain_forever,
            self.quarantines.handover.maintain_forever,
        ):
            await spawn(work)
        await spawn(self.owned.reconcile_forever, self._announce_claim)
        await self._accept_callers()

    async def begin_leaving(self, since: float | None = None) -> None:
        """Announce that this VM leaves the fleet, then drain and stop it.

        Connections are still accepted for a short time. Requests in progress
        may finish within the grace period. A VM that is starting starts
        first: callers that have connected meanwhile are served.

        :param since: when the grace period began, on the monotonic clock;
            defaults to the current time
        """
        if self.is_leaving:
            return
        self.is_leaving = True
        leaving_since = clock.now() if since is None else since
        self.grace.ends_at = (
            leaving_since
            + self.settings.gateway.grace_seconds
            - _GRACE_MARGIN_SECONDS
        )
        await self.started.wait()
        self.retries.census.leave()
        logger.info(
            'this VM is leaving; in_progress={}', self.front.in_progress
        )
        self.http.is_closing = True
        await self.background.spawn(self.grace.refuse_late_forever)
        await self.background.spawn(self._drain_and_stop)
        self.members.leave()
        await self.owned.close()
        await self.gossip.push(self.members.own_rumour())

    async def stop(self) -> None:
        """Stop without waiting for requests in progress."""
        await self.stopped.set()

    async def _drain_and_stop(self) -> None:
        await self._sleep_in_grace(_IDLE_CLOSE_DELAY_SECONDS)
        await self.http.close_idle()
        await self._sleep_in_grace(
            _ACCEPT_WHILE_LEAVING_SECONDS - _IDLE_CLOSE_DELAY_SECONDS
        )
        await self._accepting.cancel()
        await self._complete_work(self.grace.ends_at - self.http.refuse_seconds)
        await self.http.refuse_incomplete()
        await self._complete_work(self.grace.ends_at)
        logger.info(
            'this VM is stopping; in_progress={}', self.front.in_progress
        )
        await self.stop()

    async def _sleep_in_grace(self, seconds: float) -> None:
        """Sleep, at most until the end of the grace period.

        It may have begun long before, while this process started.
        """
        left = self.grace.ends_at - clock.now()
        await curio.sleep(max(min(seconds, left), 0))

    async def _complete_work(self, until: float) -> None:
        """Wait until no request is in progress, or until a time."""
        while self._has_work() and clock.now() < until:
            await self.http.close_idle()
            await curio.sleep(_LEAVE_POLL_SECONDS)

    def _has_work(self) -> bool:
        return bool(
            self.front.in_progress or self.upstreams.forwarded.open_count
        )

    async def _close(self) -> None:
        async with curio.ignore_after(_MAX_CLOSE_SECONDS):
            await self._close_all()

    async def _close_all(self) -> None:
        await self.background.cancel()
        await self.http.close()
        await self.side.close()
        await self.peer_server.close()
        await self.gossip.close()
        await self.peers.close()
        await self.pool.close()

    def _open_membership(self) -> None:
        settings = self.settings
        own_vm = PublishedVm(
            self.members.own_id,
            DomainId(settings.vm.failure_domain),
            settings.vm.http_address,
            settings.vm.peer_address,
        )
        self.members.open(
            own_vm,
            self._seeds(),
            settings.vm.cpu_share * settings.vm.cpu_speed,
            settings.vm.link_mbps,
        )

    def _seeds(self) -> list[str]:
        fleet = self.settings.fleet
        return [_with_port(seed, fleet.seed_port) for seed in fleet.seeds]

    def _side_addresses(self) -> list[str]:
        platform = self.settings.platform
        addresses = [
            platform.ready_address,
            platform.directory_address,
            platform.metrics_address,
        ]
        return list(dict.fromkeys(filter(None, addresses)))

    # -- Callers

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this VM."""
        return self.catalogue.is_ready and not self.is_leaving

    # -- Configuration changes and rumours

    async def _on_configuration_change(self) -> None:
        limits = self.catalogue.configuration.limits
        server_limits = self.settings.limits
        server_limits.header_bytes = limits.header_bytes
        server_limits.body_bytes = limits.body_bytes
        server_limits.idle_seconds = limits.idle_seconds
        self.upstreams.forget_removed()
        await self.versions.update()
        await self.owned.reconcile(self._announce_claim)
        await self.gossip.push(self.follower.own_rumour())

    async def _announce_paths(self) -> None:
        """Release groups that this VM has no path to, then announce it.

        Other VMs send orders once they know.
        """
        await self.owned.reconcile(self._announce_claim)
        for rumour in self.upstreams.reachability.own_rumours():
            await self.gossip.push(rumour)

    async def _apply_path_rumour(
        self, rumour: messages.PathRumour
    ) -> Dissemination:
        dissemination = self.upstreams.reachability.apply_rumour(rumour)
        if dissemination is not Dissemination.NONE:
            spawn = self.background.spawn
            await spawn(self.owned.reconcile, self._announce_claim)
            if rumour.services:
                await spawn(self.upstreams.checker.suspect_own)
        return dissemination

    async def _announce_claim(self, rumour: messages.OwnerRumour) -> None:
        await self.gossip.push(rumour)
        await self.places.notify_new_owner(rumour.group, rumour.vm)

    def _standing_rumours(self) -> list[Any]:
        claims = list(self.claims.by_group.values())
        count = min(_REPEATED_CLAIMS_PER_PROBE, len(claims))
        return [
            self.follower.own_rumour(),
            *self.rng.sample(claims, count),
            *self.upstreams.limits.standing_rumours(self.rng),
            *self.upstreams.reachability.own_rumours(),
            *self.quarantine.reports.standing_rumours(),
        ]


def _with_port(seed: str, port: int) -> str:
    host, own_port = split_address(seed)
    return f'{host}:{port or own_port}'
