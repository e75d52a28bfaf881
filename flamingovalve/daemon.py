"""The daemon of one entry VM, assembled from its components."""

from __future__ import annotations

import math
import random
import secrets
from typing import TYPE_CHECKING, Any, Final, Self

import curio

from flamingovalve.api import Api, leaving_error
from flamingovalve.claims.executor import CallExecutor
from flamingovalve.claims.holders import Holders
from flamingovalve.config.inventory import MANIFEST_KEY, VM_LIST_KEY, Target
from flamingovalve.config.keeper import ConfigurationKeeper
from flamingovalve.config.service import ConfigurationService
from flamingovalve.engines.store import StoreShare
from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.generated import messages
from flamingovalve.generated.ids import Incarnation, VmId
from flamingovalve.gossip_handlers import GossipHandlers
from flamingovalve.http.client import ConnectionPool
from flamingovalve.http.server import HttpServer
from flamingovalve.membership.gossip import Gossip
from flamingovalve.membership.members import MemberTable
from flamingovalve.metrics import DaemonMetrics
from flamingovalve.peer.client import PeerPool
from flamingovalve.peer.server import PeerServer
from flamingovalve.relay.breaker import BreakerSet, RetryBudget
from flamingovalve.relay.completion import CompletionRelay
from flamingovalve.relay.quarantine import Quarantine
from flamingovalve.relay.services import ServiceRelay, ServiceRequest
from flamingovalve.relay.work import CompletionWork
from flamingovalve.routing.engines import OwnedEngines
from flamingovalve.routing.entry import EntryAnswers
from flamingovalve.routing.forward import Forwarder
from flamingovalve.routing.hot_adapters import HotAdapters
from flamingovalve.routing.ownership import Ownership
from flamingovalve.routing.placement import Placement
from flamingovalve.routing.router import Router
from flamingovalve.state import state_of
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from flamingovalve.config.inventory import Inventory
    from flamingovalve.generated.settings import (
        Service,
        ServiceCall,
        Settings,
    )
    from flamingovalve.http.messages import Response
    from flamingovalve.peer.server import Sink
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

_DRAIN_POLL_SECONDS: Final = 0.25
_MICROSECONDS: Final = 1_000_000


class Daemon:
    """One flamingovalved process: components, servers and tasks."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: random.Random,
        incarnation: Incarnation,
    ) -> None:
        """Create and connect the components without starting them."""
        self.settings = settings
        self.incarnation = incarnation
        self.network = network
        self.rng = rng
        self.in_progress = 0
        self.is_leaving = False
        self.refuses_work = False
        self.drains_until = math.inf
        self.started = curio.Event()
        self.stopped = curio.Event()
        own_id = VmId(settings.vm.id)
        self.members = MemberTable(own_id, incarnation)
        self.pool = ConnectionPool(network, settings.relay)
        self.peers = PeerPool(network, settings, incarnation)
        self.gossip = Gossip(network, self.members, settings.fleet, rng)
        self.service = ConfigurationService(self.pool, settings.configuration)
        self.keeper = ConfigurationKeeper(
            settings,
            self.service,
            self.peers,
            self.members,
            rng,
        )
        self.background = TaskSet()
        self._build_serving(own_id)
        self._build_servers()

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        network: Network,
        seed: int | None = None,
    ) -> Self:
        """Build the daemon of ``settings``.

        :param seed: seed of all random choices; ``None`` for an unpredictable
            one
        """
        incarnation = Incarnation(int(clock.wall() * _MICROSECONDS))
        return cls(settings, network, random.Random(seed), incarnation)

    def _build_serving(self, own_id: VmId) -> None:
        settings, rng = self.settings, self.rng
        scheduling = settings.scheduling
        self.breakers = BreakerSet(settings.relay)
        self.budget = RetryBudget(settings.relay)
        self.quarantine = Quarantine(settings.relay)
        self.store = StoreShare(own_id, scheduling)
        self.placement = Placement(scheduling.placement, rng)
        self.ownership = Ownership(self.members)
        self.forwarder = Forwarder(self.members, self.peers)
        self.engines = OwnedEngines(
            settings,
            self.incarnation,
            self.members,
            self.ownership,
            self.pool,
            self.peers,
            self.store,
            self.quarantine,
            rng,
        )
        self.entry_answers = EntryAnswers(
            settings,
            self.members,
            self.placement,
            self.ownership,
        )
        self.hot_adapters = HotAdapters(
            self.engines, self.placement, scheduling
        )
        self.relay = CompletionRelay(
            self.pool,
            settings.relay,
            self.quarantine,
            self.background,
        )
        self.router = Router(
            own_id,
            self.placement,
            self.ownership,
            self.engines,
            self.relay,
            self.forwarder,
            self.breakers,
            self.budget,
            rng,
        )
        self.router.inventory = self.inventory
        self.services = ServiceRelay(
            self.pool,
            self.breakers,
            self.budget,
            settings.relay,
            rng,
        )
        self.holders = Holders(self.members, self.peers, settings.claims)
        self.executor = CallExecutor(
            settings,
            self.incarnation,
            self.members,
            self.holders,
            self.services,
            self.forwarder.call,
        )

    def _build_servers(self) -> None:
        settings = self.settings
        self.http = HttpServer(self.network, Api(self), settings.limits)
        self.peer_server = PeerServer(
            self.network,
            settings,
            self.incarnation,
        )
        self.metrics = DaemonMetrics(self)
        server = self.peer_server
        server.on_ask(
            messages.ClaimAsk,
            self._acknowledge,
        )
        server.on_ask(messages.ClaimTell, self._record_outcome)
        server.on_ask(
            messages.SealAsk,
            self._seal,
        )
        server.on_ask(messages.ConfigurationAsk, self._answer_configuration)
        server.on_ask(messages.TakeoverAsk, self.engines.answer_takeover)
        server.on_work(
            messages.ForwardCompletion, self._serve_forwarded_completion
        )
        server.on_work(messages.ForwardCall, self._execute_forwarded_call)
        self.gossip_handlers = GossipHandlers(self)
        self.gossip.rumour_listener = self.gossip_handlers.apply_rumour
        self.gossip.standing_rumours = self.gossip_handlers.standing_rumours
        self.gossip.late_wakeup_listeners.append(self.engines.invalidate_leases)
        self.keeper.accepted_listeners.append(self._apply_configuration)

    # -- Lifecycle

    async def run(self) -> None:
        """Serve until :meth:`stop`, or until cancelled."""
        settings = self.settings
        http = self.network.listen(settings.vm.http_address)
        peer = self.network.listen(settings.vm.peer_address)
        self.gossip.open(settings.vm.peer_address)
        spawn = self.background.spawn
        try:
            await spawn(self.http.serve, http)
            await spawn(self.peer_server.serve, peer)
            await spawn(self._start)
            await self.started.set()
            await self.stopped.wait()
        finally:
            await self._close()

    async def begin_leaving(self, since: float | None = None) -> None:
        """Announce that this VM leaves; drain and stop in the background.

        :param since: when the drain began, on the monotonic clock; defaults
            to the current time
        """
        if self.is_leaving:
            return
        logger.info('this VM is leaving')
        self.is_leaving = True
        leaving_since = clock.now() if since is None else since
        fleet = self.settings.fleet
        self.drains_until = (
            leaving_since + fleet.leave_seconds + fleet.drain_seconds
        )
        self.executor.drains_until = self.drains_until
        await self.started.wait()
        await self.background.spawn(self._leave)
        self.members.leave()
        await self.gossip.push(self.members.own_rumour())

    async def stop(self) -> None:
        """Stop without draining."""
        await self.stopped.set()

    async def _start(self) -> None:
        spawn = self.background.spawn
        await self.keeper.start()
        await spawn(self.gossip.receive_forever)
        await spawn(self.gossip.probe_forever)
        await spawn(self.engines.follow_forever)
        await spawn(self.keeper.watch_forever, MANIFEST_KEY)
        await spawn(self.keeper.watch_forever, VM_LIST_KEY)
        await spawn(self.gossip_handlers.publish_forever)
        logger.info('VM {} is ready', self.settings.vm.id)

    async def _leave(self) -> None:
        await curio.sleep(self.settings.fleet.leave_seconds)
        self.refuses_work = True
        self.executor.refuses_new_calls = True
        await self.engines.close()
        while self._is_busy() and clock.now() < self.drains_until:
            await curio.sleep(_DRAIN_POLL_SECONDS)
        await self.http.refuse_incomplete()
        logger.info('draining has ended')
        await self.stop()

    def _is_busy(self) -> bool:
        return self.in_progress > 0 or len(self.executor.runner.tasks) > 0

    async def _close(self) -> None:
        await self.engines.close()
        await self.background.cancel()
        await self.executor.runner.tasks.cancel()
        await self.http.close()
        await self.peer_server.close()
        await self.gossip.close()
        await self.peers.close()
        await self.pool.close()

    # -- Serving

    def inventory(self) -> Inventory:
        """Return the current inventory.

        :raises ServingError: before the first configuration is accepted
        """
        if not self.keeper.is_ready:
            raise ServingError(
                ErrorKind.NOT_READY,
                'this VM has no configuration yet; try another VM',
                retry_after=1,
            )
        return self.keeper.inventory

    async def serve(self, work: CompletionWork, sink: Sink) -> None:
        """Serve a completion request of a caller."""
        started_at = clock.now()
        self.in_progress += 1
        try:
            await self.router.serve(work, sink)
        finally:
            self.in_progress -= 1
        self.metrics.answer_seconds.observe(clock.now() - started_at)

    async def call(
        self,
        request: ServiceRequest,
        service: Service,
        call: ServiceCall,
    ) -> Response:
        """Call a plain service for a caller or another VM."""
        self.in_progress += 1
        try:
            if call.idempotent:
                return await self.services.call_idempotent(
                    request,
                    service.addresses,
                )
            return await self.executor.execute(request, service.addresses)
        finally:
            self.in_progress -= 1

    def new_request_id(self) -> str:
        """Return a new random request ID."""
        return secrets.token_hex(8)

    async def _serve_forwarded_completion(
        self,
        message: messages.ForwardCompletion,
        sink: Sink,
    ) -> None:
        target = Target(message.adapter, message.version, message.model)
        work = CompletionWork.from_forward(message, target)
        if work.deadline > self.drains_until:
            raise leaving_error()
        self.in_progress += 1
        try:
            await self.router.serve_forwarded(work, message.engine, sink)
        finally:
            self.in_progress -= 1

    async def _execute_forwarded_call(
        self,
        message: messages.ForwardCall,
        sink: Sink,
    ) -> None:
        service = self.keeper.inventory.services_by_id.get(message.service)
        if service is None:
            raise ServingError(
                ErrorKind.NOT_READY,
                f'this VM does not know service {message.service!r} yet; '
                'retry the call with the same key',
                ran=Ran.UNKNOWN,
                retry_after=1,
            )
        request = ServiceRequest(
            message.request_id,
            message.application,
            message.service,
            message.call,
            message.content_type,
            message.body,
            clock.now() + message.remaining,
            message.key,
            message.key_time,
            message.hops,
        )
        self.in_progress += 1
        try:
            response = await self.executor.execute(request, service.addresses)
        finally:
            self.in_progress -= 1
        await sink.send(response)

    # -- Requests of other VMs

    async def _acknowledge(
        self,
        ask: messages.ClaimAsk,
        _remote: messages.Hello,
    ) -> messages.ClaimReply:
        return self.executor.table.acknowledge(ask, self.incarnation)

    async def _record_outcome(
        self,
        outcome: messages.ClaimTell,
        _remote: messages.Hello,
    ) -> messages.ClaimReply:
        return await self.executor.table.record_outcome(outcome)

    async def _seal(
        self,
        ask: messages.SealAsk,
        _remote: messages.Hello,
    ) -> messages.ClaimReply:
        return await self.executor.table.seal(ask, self.incarnation)

    async def _answer_configuration(
        self,
        ask: messages.ConfigurationAsk,
        _remote: messages.Hello,
    ) -> messages.ConfigurationReply:
        return self.keeper.answer(ask)

    # -- Configuration changes

    async def _apply_configuration(self) -> None:
        keeper = self.keeper
        if keeper.vm_list is not None:
            self.members.replace_list(keeper.vm_list)
            self.holders.record_list(keeper.vm_list)
        self.placement.replace_inventory(keeper.inventory)
        self.engines.inventory = keeper.inventory
        await self.gossip.push(keeper.own_rumour())

    # -- Status

    @property
    def is_ready(self) -> bool:
        """Whether this VM has accepted a configuration."""
        return self.keeper.is_ready

    def state_dump(self) -> dict[str, Any]:
        """Return the state of this process as JSON values."""
        return state_of(self)

    def all_counts(self) -> dict[str, Any]:
        """Return the counts of every component by its name."""
        return {
            'http': self.http.counts,
            'gossip': self.gossip.counts,
            'peer': self.peers.counts,
            'peer_server': self.peer_server.counts,
            'router': self.router.counts,
            'forward': self.forwarder.counts,
            'configuration': self.keeper.counts,
            'claims': self.executor.counts,
            'quarantine': self.quarantine.counts,
        }

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        members = self.members
        return {
            'ready': self.is_ready,
            'leaving': self.is_leaving,
            'requests_in_progress': self.in_progress,
            'configuration_version': self.keeper.inventory.version,
            'configuration_faults': len(self.keeper.faults),
            'configuration_service_calls': self.service.calls,
            'members_present': len(members.present()),
            'members_indirect': sum(
                not member.direct for member in members.others()
            ),
            'engines_owned': len(self.engines),
            'claims_records': len(self.executor.table),
            'breakers_open': len(self.breakers.open_addresses()),
            'quarantined': len(self.quarantine),
            'store_loading': self.store.loading,
            'store_share': self.store.share,
        }
