"""Orders of gateways that run as processes, under faults of the last holder.

The store and the engines run in the process of the play.
"""

from __future__ import annotations

import itertools
import random
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.util.network import Network
from standins.platform_runner import HEALTH_PATH, PlatformEngineStandIn
from standins.platform_store import PlatformStoreStandIn
from tests.rig import order_rules
from tests.rig.addresses import free_address
from tests.rig.linked_processes import (
    ROOT,
    STORE,
    LinkedProcesses,
    LinkedVm,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from curio.io import Socket

    from standins.platform_runner import AcceptedOrder

HOST: Final = 'site.example'
_GROUPS: Final = 3
_ENGINES_PER_GROUP: Final = 2
_ADAPTERS: Final = 10
_SLOTS: Final = 3
_REQUESTS_PER_SECOND: Final = 24
_BEATS_SECONDS: Final = (0.25, 0.5, 1.0, 2.0)
_STILL_SECONDS: Final = 1000.0
_TICK_SECONDS: Final = 0.05
_MAX_STEP_SECONDS: Final = 2.5
_APART_SECONDS: Final = (2.0, 14.0)
# Time for a lease to pass and a successor to send orders.
_SUCCESSION_SECONDS: Final = (4.0, 6.0)
_CLOSING_SECONDS: Final = 0.5
_READY_SECONDS: Final = 30
_FIRST_ORDER_SECONDS: Final = 6
_CLIENT_SECONDS: Final = 4.0
_MOMENT_SECONDS: Final = 0.15
_THAW_SECONDS: Final = 0.3
_READ_BYTES: Final = 65536


class OrderProcesses:
    """VMs, engines and a store under random faults from one seed.

    The faults and their times depend on the seed alone; what the VMs do
    meanwhile also depends on the machine.

    :ivar steps: how often each fault occurred
    :ivar answers: number of answers to callers by status; 0 for none
    """

    def __init__(self, seed: int, vms: int = 5, root: Path = ROOT) -> None:
        """Describe the play.

        :param root: checkout whose gateway is run
        """
        self.steps: Counter[str] = Counter()
        self.answers: Counter[int] = Counter()
        self._rng = random.Random(f'orders {seed}')
        self._caller_rng = random.Random(f'callers {seed}')
        self._beat_seconds = _BEATS_SECONDS[seed % len(_BEATS_SECONDS)]
        self._steady_beat_seconds = self._beat_seconds
        self._numbers = itertools.count()
        self._tasks: curio.TaskGroup
        network = Network()
        self._store = PlatformStoreStandIn(network, free_address())
        self.engines = [
            PlatformEngineStandIn(
                network, free_address(), f'engine-{index}', _SLOTS
            )
            for index in range(_GROUPS * _ENGINES_PER_GROUP)
        ]
        self.processes = LinkedProcesses(vms, self._store.address, root)
        self._names = list(self.processes.vms)

    async def play(self, seconds: float) -> None:
        """Inject faults while callers send requests.

        :raises TimeoutError: if a VM does not get ready
        """
        try:
            async with curio.TaskGroup(wait=None) as stand_ins:
                await self._serve(stand_ins)
                async with curio.TaskGroup(wait=None) as self._tasks:
                    await self._play(seconds)
                # An upstream may begin an order when a run is broken off.
                self.processes.close()
                await curio.sleep(_CLOSING_SECONDS)
        finally:
            self.processes.close()

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        return [
            f'{engine.name}: {broken}'
            for engine in self.engines
            for broken in order_rules.find_violations(self.counted(engine))
        ]

    def counted(self, engine: PlatformEngineStandIn) -> list[AcceptedOrder]:
        """Return the orders of senders that were not disturbed just before."""
        return [
            order for order in engine.accepted if not self._is_disturbed(order)
        ]

    def holders(self) -> set[str]:
        """Return the VMs that sent orders."""
        return {
            order.holder for engine in self.engines for order in engine.accepted
        }

    # -- Deployment

    async def _serve(self, stand_ins: curio.TaskGroup) -> None:
        self._publish()
        for index, runner in enumerate(self.engines):
            runner.report_lag_seconds = 0.1
            self._register(index)
            await stand_ins.spawn(runner.run)
        await stand_ins.spawn(self._store.run)

    def _publish(self) -> None:
        engine = {
            'Slots': 8,
            'KvCapacity': 100000,
            'WeightsMb': 1000,
            'AdapterSlots': _SLOTS,
            'Models': [{'Name': 'base', 'WeightsMb': 500, 'AdapterSizeMb': 1}],
        }
        groups = range(_GROUPS)
        configuration = {
            'Version': 5,
            'Routes': [_route(group) for group in groups],
            'Services': [
                {
                    'Name': f'llm-{group}',
                    'HealthPath': HEALTH_PATH,
                    'Engine': engine,
                }
                for group in groups
            ],
        }
        self._store.put('op/config', configuration)

    def _register(self, index: int) -> None:
        entry = {
            'Service': f'llm-{index % _GROUPS}',
            'Addr': self.engines[index].address,
            'Zone': 'east',
            'Slots': 8,
            'State': 'ready',
        }
        self._store.put(f'servers/{self.engines[index].name}', entry)

    async def _beat_forever(self) -> None:
        """Let engines write their entries, which raises the revision."""
        written_at = time.monotonic()
        for index in itertools.cycle(range(len(self.engines))):
            while time.monotonic() < written_at + self._beat_seconds:
                await curio.sleep(_TICK_SECONDS)
            written_at = time.monotonic()
            self._register(index)

    async def _wait_ready(self) -> None:
        end = time.monotonic() + _READY_SECONDS
        for vm in self.processes.vms.values():
            while await _ask(vm.ready, 'GET /ready HTTP/1.1\r\n') != 200:
                if time.monotonic() > end:
                    log = self.processes.log(vm)[-500:]
                    raise TimeoutError(f'{vm.name} does not get ready: {log}')
                await curio.sleep(_TICK_SECONDS)

    # -- Callers

    async def _send_forever(self) -> None:
        while True:
            pause = self._caller_rng.expovariate(_REQUESTS_PER_SECOND)
            await curio.sleep(pause)
            running = self.processes.running()
            if running:
                vm = self._caller_rng.choice(running)
                await self._tasks.spawn(self._send, vm)

    async def _send(self, vm: LinkedVm) -> None:
        adapter = self._caller_rng.randrange(_ADAPTERS)
        group = self._caller_rng.randrange(_GROUPS)
        status = await _ask(
            vm.front,
            f'POST /chats-{group}/1 HTTP/1.1\r\n'
            f'Attempt-Id: attempt-{next(self._numbers)}\r\n'
            f'Time-Budget-Ms: {int(_CLIENT_SECONDS * 1000)}\r\n'
            f'Model: base/a{adapter}\r\nToken-Counts: 100,10\r\n'
            'Prompt-Prefix: ab:80,cd:20\r\nContent-Length: 0\r\n',
        )
        self.answers[status] += 1

    # -- Faults

    async def _play(self, seconds: float) -> None:
        await self._tasks.spawn(self._beat_forever)
        for vm in self.processes.vms.values():
            self.processes.start(vm)
        await self._wait_ready()
        await self._tasks.spawn(self._send_forever)
        await curio.sleep(_FIRST_ORDER_SECONDS)
        async with curio.ignore_after(seconds):
            await self._inject()

    async def _inject(self) -> None:
        aimed = [
            self._kill_holder,
            self._pause_holder,
            self._cut_holder,
            self._lose_parted_holders,
        ]
        faults = [
            *aimed,
            *aimed,
            self._part_vms,
            self._part_all,
            self._cut_some_from_store,
            self._cut_all_from_store,
            self._refuse_reads,
            self._show_store_for_a_moment,
            self._stop_writes,
        ]
        while True:
            fault = self._rng.choice(faults)
            self.steps[fault.__name__.strip('_')] += 1
            await fault()
            await curio.sleep(self._rng.uniform(0, _MAX_STEP_SECONDS))

    async def _later(
        self, low: float, high: float, act: Callable[[], None]
    ) -> None:
        async def act_later() -> None:
            await curio.sleep(seconds)
            act()

        seconds = self._rng.uniform(low, high)
        await self._tasks.spawn(act_later)

    async def _kill_holder(self) -> None:
        """Kill the VM that sent the last order, and start it again."""
        holder = self._last_holder()
        if len(self.processes.running()) > 1:
            self.processes.kill(holder)
        await self._later(0.3, 4, partial(self.processes.start, holder))

    async def _pause_holder(self) -> None:
        """Stop the VM that sent the last order for some seconds."""
        holder = self._last_holder()
        self.processes.pause(holder)
        await self._later(2, 6, partial(self.processes.resume, holder))

    async def _cut_holder(self) -> None:
        """Cut the VM that sent the last order off from most others."""
        await self._part([self._last_holder().name])

    async def _lose_parted_holders(self) -> None:
        """Kill holders in turn while VMs are apart and no revision is new."""
        self._stop_writing()
        await curio.sleep(self._rng.uniform(0, _MAX_STEP_SECONDS))
        part = self._rng.choice((self._part_all, self._part_vms))
        await part()
        for _kill in range(self._rng.randint(1, 3)):
            await curio.sleep(self._rng.uniform(*_SUCCESSION_SECONDS))
            await self._kill_holder()
        await curio.sleep(_SUCCESSION_SECONDS[0])
        self._write_again()

    async def _part_vms(self) -> None:
        """Part the fleet in two at random."""
        await self._part([self._rng.choice(self._names)])

    async def _part_all(self) -> None:
        """Cut each VM off from all others."""
        for name in self._names:
            self.processes.cut([name], self._others([name]))
        await self._later(
            *_APART_SECONDS,
            partial(self.processes.heal, self._names, self._names),
        )

    async def _cut_some_from_store(self) -> None:
        """Cut some VMs off from the store."""
        await self._cut_from_store(
            self._rng.sample(self._names, self._rng.randint(1, 2))
        )

    async def _cut_all_from_store(self) -> None:
        """Cut all VMs off from the store."""
        await self._cut_from_store(self._names)

    async def _refuse_reads(self) -> None:
        """Let the store refuse all calls."""
        self._store.refusal = 503
        await self._later(0.5, 6, self._answer_reads)

    async def _show_store_for_a_moment(self) -> None:
        """Let VMs that are cut off from the store reach it for a moment."""
        await self._cut_from_store(self._names)
        await curio.sleep(self._rng.uniform(1, 4))
        self._answer_reads()
        self.processes.heal(self._names, [STORE])
        await curio.sleep(_MOMENT_SECONDS)
        await self._cut_from_store(self._names)

    async def _stop_writes(self) -> None:
        """Let the revision of the store stand still."""
        self._stop_writing()
        await self._later(3, 12, self._write_again)

    async def _part(self, names: list[str]) -> None:
        """Part VMs, and perhaps another with them, from the others."""
        others = self._others(names)
        joined = [*names, *self._rng.sample(others, self._rng.randint(0, 1))]
        others = self._others(joined)
        self.processes.cut(joined, others)
        await self._later(
            *_APART_SECONDS, partial(self.processes.heal, joined, others)
        )

    async def _cut_from_store(self, names: list[str]) -> None:
        self.processes.cut(names, [STORE])
        await self._later(1, 8, partial(self.processes.heal, names, [STORE]))

    def _others(self, names: list[str]) -> list[str]:
        return [name for name in self._names if name not in names]

    def _answer_reads(self) -> None:
        self._store.refusal = 0

    def _stop_writing(self) -> None:
        self._beat_seconds = _STILL_SECONDS

    def _write_again(self) -> None:
        self._beat_seconds = self._steady_beat_seconds

    def _last_holder(self) -> LinkedVm:
        """Return the VM that sent the last order, or another if it is lost."""
        running = self.processes.running() or list(self.processes.vms.values())
        fallback = running[int(self._rng.random() * len(running))]
        orders = [
            engine.accepted[-1] for engine in self.engines if engine.accepted
        ]
        holder = max(orders, key=_accepted_at).holder if orders else ''
        return next((vm for vm in running if vm.peer == holder), fallback)

    def _is_disturbed(self, order: AcceptedOrder) -> bool:
        return any(
            0 <= order.at - at < _THAW_SECONDS
            for vm in self.processes.vms.values()
            if vm.peer == order.holder
            for at in vm.disturbed_at
        )


def _route(group: int) -> dict[str, Any]:
    return {
        'Name': f'chats-{group}',
        'PathPrefix': f'/chats-{group}/',
        'Kind': 'streaming',
        'Service': f'llm-{group}',
        'MaxAttempts': 1,
        'Host': HOST,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 1000,
        'GapTargetMs': 250,
    }


async def _ask(address: str, head: str) -> int:
    """Send a request without a body; return its status, 0 without one."""
    host, port = address.split(':')
    request = f'{head}Host: {HOST}\r\nConnection: close\r\n\r\n'
    answer = b''
    try:
        async with curio.timeout_after(_CLIENT_SECONDS):
            opened = await curio.open_connection(host, int(port))
            async with opened:
                await opened.sendall(request.encode())
                answer = await _read_all(opened)
    except (OSError, curio.TaskTimeout):
        return 0
    return int(answer.split(b' ', 2)[1]) if answer else 0


async def _read_all(opened: Socket) -> bytes:
    parts = []
    while part := await opened.recv(_READ_BYTES):
        parts.append(part)
    return b''.join(parts)


def _accepted_at(order: AcceptedOrder) -> float:
    return order.at
