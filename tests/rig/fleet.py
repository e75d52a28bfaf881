"""A simulated fleet of daemons, stand-ins and callers."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from flamingovalve.daemon import Daemon
from flamingovalve.errors import ConnectionLost
from flamingovalve.generated.ids import Incarnation, VmId
from flamingovalve.generated.settings import RelaySettings, Settings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from standins.configuration_service import ConfigurationServiceStandIn
from standins.engine import EngineStandIn
from standins.plain_service import PlainServiceStandIn
from standins.weight_store import StoreModel, WeightStore
from tests.rig.addresses import free_address
from tests.rig.network import FaultNetwork, Links
from tests.rig.world import Node, World

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import curio

    from flamingovalve.http.messages import Response

MODEL = 'base'
APPLICATION = 'studio'
OTHER_APPLICATION = 'shop'
_MICROSECONDS = 1_000_000


@dataclass
class Shape:
    """Size and options of a fleet.

    :ivar domains: failure domains; VMs and engines are assigned to them in
        rotation
    :ivar slots: adapters that each engine can hold
    :ivar batch: requests that each engine runs at a time
    :ivar tune: changes the settings of each daemon before it starts
    :ivar extra: further content of the inventory
    """

    vms: int = 3
    engines: int = 2
    adapters: int = 12
    domains: tuple[str, ...] = ('east', 'west', 'north')
    slots: int = 4
    batch: int = 8
    fencing: bool = True
    seed: int = 1
    store: StoreModel = StoreModel.PARALLEL
    tune: Callable[[Settings], None] = lambda _settings: None
    services: tuple[str, ...] = ('orders',)
    extra: dict[str, list[Any]] = field(default_factory=dict)


@dataclass
class Vm:
    """One VM of the fleet and the process that runs on it, if any."""

    id: str
    domain: str
    http_address: str
    peer_address: str
    node: Node | None = None
    daemon: Daemon | None = None
    starts: int = 0
    state: str = 'live'


class Caller:
    """Sends requests on behalf of an application."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        """Add a node of its own for the caller."""
        self.network = FaultNetwork(fleet.links, name)
        self.node = fleet.world.add(name, self.network)
        self._fleet = fleet

    def send(
        self,
        address: str,
        call: UpstreamCall,
        seconds: float = 120,
    ) -> Response:
        """Send one request and wait for the complete response."""
        return self._fleet.world.ask(
            self.node,
            self.exchange,
            address,
            call,
            seconds,
            seconds=seconds + 10,
        )

    def start(
        self,
        address: str,
        call: UpstreamCall,
        seconds: float = 120,
    ) -> curio.Task:
        """Send one request without waiting for the response."""
        return self.node.spawn(self._attempt, address, call, seconds)

    async def _attempt(
        self,
        address: str,
        call: UpstreamCall,
        seconds: float,
    ) -> Response | Exception:
        try:
            return await self.exchange(address, call, seconds)
        except (OSError, ConnectionLost) as lost:
            return lost

    async def exchange(
        self,
        address: str,
        call: UpstreamCall,
        seconds: float,
    ) -> Response:
        """Send one request on a new connection."""
        pool = ConnectionPool(self.network, RelaySettings())
        response = await pool.exchange(address, call, seconds, fresh=True)
        await pool.close()
        return response


class Fleet:
    """The daemons, stand-ins, links and callers of one test."""

    def __init__(self, shape: Shape) -> None:
        """Start the stand-ins and publish the inventory; start no daemon."""
        self.shape = shape
        self.world = World()
        self.links = Links(shape.seed, self.world.traffic)
        self.store = WeightStore(shape.store)
        self.version = 0
        self.list_revision = 0
        self.vms_by_id = {
            vm.id: vm
            for vm in (
                Vm(
                    f'vm-{index}',
                    shape.domains[index % len(shape.domains)],
                    free_address(),
                    free_address(),
                )
                for index in range(shape.vms)
            )
        }
        self.configuration = self._stand_in(
            'configuration',
            ConfigurationServiceStandIn,
        )
        self.engines_by_id = {
            name: self._engine(name)
            for name in (f'engine-{index}' for index in range(shape.engines))
        }
        self.services_by_id = {
            name: self._stand_in(name, PlainServiceStandIn)
            for name in shape.services
        }
        self.caller = Caller(self, 'caller')
        self.publish()
        self.publish_list()

    @classmethod
    def started(cls, shape: Shape | None = None) -> Fleet:
        """Return a fleet whose daemons are ready."""
        fleet = cls(shape or Shape())
        for vm_id in fleet.vms_by_id:
            fleet.start(vm_id)
        fleet.wait_ready()
        return fleet

    # -- Processes

    def start(self, vm_id: str) -> Daemon:
        """Start a process on a VM, the first one or after a kill."""
        vm = self.vms_by_id[vm_id]
        vm.starts += 1
        network = FaultNetwork(self.links, vm_id)
        vm.node = self.world.add(vm_id, network)
        settings = self.settings(vm)
        seed = hash((self.shape.seed, int(vm_id.split('-')[1]), vm.starts))
        incarnation = Incarnation(int(self.world.wall() * _MICROSECONDS))
        vm.daemon = Daemon(
            settings,
            network,
            random.Random(seed),
            incarnation,
        )
        vm.node.spawn(vm.daemon.run)
        return vm.daemon

    def settings(self, vm: Vm) -> Settings:
        """Return the settings of one VM."""
        settings = Settings()
        settings.vm.id = VmId(vm.id)
        settings.vm.failure_domain = vm.domain  # type: ignore[assignment]
        settings.vm.http_address = vm.http_address
        settings.vm.peer_address = vm.peer_address
        settings.configuration.address = self.configuration.address
        settings.operators.secret = 'operator'
        settings.fleet.seeds = [
            other.peer_address for other in self.vms_by_id.values()
        ]
        self.shape.tune(settings)
        return settings

    def kill(self, vm_id: str) -> None:
        """Kill the process of a VM, as SIGKILL does."""
        vm = self.vms_by_id[vm_id]
        if vm.node is not None:
            self.world.kill(vm.node)
        vm.node = None
        vm.daemon = None

    def pause(self, vm_id: str) -> None:
        """Pause the process of a VM, as SIGSTOP does."""
        self._node(vm_id).paused = True

    def wake(self, vm_id: str) -> None:
        """Resume the paused process of a VM, as SIGCONT does."""
        self._node(vm_id).paused = False

    def daemon(self, vm_id: str) -> Daemon:
        """Return the process that runs on a VM."""
        daemon = self.vms_by_id[vm_id].daemon
        assert daemon is not None, f'{vm_id} is not running'
        return daemon

    def daemons(self) -> list[Daemon]:
        """Return the processes of all VMs that run one."""
        return [
            vm.daemon for vm in self.vms_by_id.values() if vm.daemon is not None
        ]

    def wait_ready(self, seconds: float = 60) -> None:
        """Wait until every engine has one owner that may dispatch."""
        ready = self.world.run_until(self.is_settled, seconds)
        assert ready, 'the fleet did not settle'

    def is_settled(self) -> bool:
        """Return whether one VM, and no other, may dispatch to each engine."""
        owners = self.owners()
        return all(
            len(owners[engine_id]) == 1 for engine_id in self.engines_by_id
        )

    def owners(self) -> dict[str, list[str]]:
        """Return the VMs that may dispatch to each engine."""
        found: dict[str, list[str]] = {
            engine_id: [] for engine_id in self.engines_by_id
        }
        for daemon in self.daemons():
            for owner in daemon.engines.owners():
                if owner.may_dispatch():
                    found[owner.engine.id].append(daemon.settings.vm.id)
        return found

    def close(self) -> None:
        """Stop all nodes of the fleet."""
        self.world.close()

    # -- Configuration

    def publish(self, **changes: list[Any]) -> int:
        """Publish the next version of the inventory."""
        self.version += 1
        page = {**self.page(), **self.shape.extra, **changes}
        self.configuration.publish(self.version, page)
        self.announce()
        return self.version

    def announce(self) -> None:
        """Notify the watchers of the configuration service."""
        node = self.node_named('configuration')
        node.spawn(self.configuration.announce)

    def node_named(self, name: str) -> Node:
        """Return the node of a stand-in or a VM."""
        return next(node for node in self.world.nodes if node.name == name)

    def publish_list(self, without: Iterable[str] = ()) -> None:
        """Publish the next revision of the list of VMs."""
        self.list_revision += 1
        vms = [
            {
                'id': vm.id,
                'failure_domain': vm.domain,
                'http_address': vm.http_address,
                'peer_address': vm.peer_address,
                'state': vm.state,
            }
            for vm in self.vms_by_id.values()
            if vm.id not in set(without)
        ]
        self.configuration.put(
            'fleet/vms',
            {'revision': self.list_revision, 'vms': vms},
        )
        self.announce()

    def page(self) -> dict[str, list[Any]]:
        """Return the content of the inventory."""
        shape = self.shape
        allowed = [APPLICATION, OTHER_APPLICATION, 'urgent', 'brand']
        return {
            'applications': [
                {'id': APPLICATION},
                {'id': OTHER_APPLICATION},
                {'id': 'urgent', 'priority': 'urgent'},
                {'id': 'brand', 'priority': 'priority'},
                {'id': 'stranger'},
            ],
            'adapters': [
                {
                    'id': f'adapter-{index}',
                    'model': MODEL,
                    'versions': ['1', '2'],
                    'current': '2',
                    'applications': allowed,
                }
                for index in range(shape.adapters)
            ],
            'engines': [
                {
                    'id': name,
                    'model': MODEL,
                    'address': engine.address,
                    'failure_domain': shape.domains[index % len(shape.domains)],
                    'slots': shape.slots,
                    'batch': shape.batch,
                    'fencing': shape.fencing,
                }
                for index, (name, engine) in enumerate(
                    self.engines_by_id.items(),
                )
            ],
            'services': [
                {
                    'id': name,
                    'addresses': [service.address],
                    'calls': [
                        {'id': 'pay', 'idempotent': False},
                        {'id': 'status', 'idempotent': True},
                    ],
                    'applications': [APPLICATION],
                }
                for name, service in self.services_by_id.items()
            ],
        }

    # -- Requests

    def complete(
        self,
        vm_id: str,
        model: str,
        prompt: str = 'hello',
        **options: Any,
    ) -> Response:
        """Send a completion to a VM and wait for the response."""
        return self.caller.send(
            self.vms_by_id[vm_id].http_address,
            completion_call(model, prompt, **options),
        )

    def pay(self, vm_id: str, key: str, order: str = 'one') -> Response:
        """Send a non-idempotent call to a VM and wait for the response."""
        return self.caller.send(
            self.vms_by_id[vm_id].http_address,
            pay_call(key, order),
        )

    def permit(self, vm_id: str) -> str:
        """Request a permit for a non-idempotent call from a VM."""
        target = f'/v1/entry?service=orders&call=pay&application={APPLICATION}'
        response = self.caller.send(
            self.vms_by_id[vm_id].http_address,
            UpstreamCall('GET', target, []),
        )
        return json.loads(response.body)['permit']

    def _node(self, vm_id: str) -> Node:
        node = self.vms_by_id[vm_id].node
        assert node is not None, f'{vm_id} is not running'
        return node

    def _stand_in(self, name: str, kind: Any) -> Any:
        network = FaultNetwork(self.links, name)
        node = self.world.add(name, network)
        stand_in = kind(network, free_address())
        node.spawn(stand_in.run)
        return stand_in

    def _engine(self, name: str) -> EngineStandIn:
        shape = self.shape
        network = FaultNetwork(self.links, name)
        node = self.world.add(name, network)

        async def load(_adapter: str) -> None:
            await self.store.load()

        engine = EngineStandIn(network, free_address(), name, load)
        engine.configure(shape.slots, shape.batch, fencing=shape.fencing)
        node.spawn(engine.run)
        return engine


def completion_call(
    model: str,
    prompt: str = 'hello',
    application: str = APPLICATION,
    **options: Any,
) -> UpstreamCall:
    """Return the request for a completion."""
    headers = [('authorization', f'Bearer {application}')]
    deadline = options.pop('deadline', None)
    if deadline is not None:
        headers.append(('x-deadline-seconds', str(deadline)))
    content = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        **options,
    }
    return UpstreamCall.from_json(
        'POST',
        '/v1/chat/completions',
        content,
        headers,
    )


def pay_call(key: str, order: str = 'one') -> UpstreamCall:
    """Return the request for a non-idempotent call."""
    headers = [('authorization', f'Bearer {APPLICATION}')]
    if key:
        headers.append(('idempotency-key', key))
    return UpstreamCall.from_json(
        'POST',
        '/v1/services/orders/pay',
        {'order': order},
        headers,
    )


def outcome_of(task: curio.Task) -> Response | Exception | None:
    """Return the response or the error of a started request.

    None if the request has not ended.
    """
    if not task.terminated:
        return None
    return task.result


def error_type(response: Response) -> str:
    """Return the error type in a response."""
    return json.loads(response.body)['error']['type']


def ran(response: Response) -> str:
    """Return the ``ran`` field of a refusal."""
    return json.loads(response.body)['error']['ran']
