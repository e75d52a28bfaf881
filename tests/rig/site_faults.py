"""Injects random faults into a small site and checks for violations."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from typing import TYPE_CHECKING, ClassVar, Final

from tests.rig.site import Site

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import curio

    from standins.platform_runner import PlatformEngineStandIn

LEASE_SECONDS: Final = 3.0
_SETTLE_SECONDS: Final = 12
_MAX_STEP_SECONDS: Final = 2.5
_HEARTBEAT_SECONDS: Final = 0.25
_ADAPTERS: Final = 12
_VMS: Final = 4


class FaultySite:
    """A site with random faults from one seed.

    :cvar vm_count: number of VMs
    :cvar engine_count: number of engines
    """

    vm_count: ClassVar[int] = _VMS
    engine_count: ClassVar[int] = 2

    def __init__(self, seed: int) -> None:
        """Start the site."""
        self.rng = random.Random(seed)
        self.site = Site.started(
            self.vm_count, engines=self.engine_count, slots=3
        )
        self.steps: Counter[str] = Counter()
        self.parts: tuple[list[str], list[str]] = ([], [])
        self.answers: list[tuple[str, curio.Task]] = []
        self._paused: set[str] = set()

    def close(self) -> None:
        """Close the site."""
        self.site.close()

    def play(self, steps: int) -> None:
        """Inject faults and send requests in random order, then settle."""
        faults = self.faults()
        for _step in range(steps):
            for _request in range(self.rng.randrange(5)):
                self.ask()
            fault = self.rng.choice(faults)
            self.steps[fault.__name__] += 1
            fault()
            self.advance(self.rng.uniform(0, _MAX_STEP_SECONDS))
        self.settle()

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults that :meth:`play` chooses from."""
        return [
            self.cut_vms,
            self.cut_store,
            self.heal,
            self.kill,
            self.start,
            self.pause,
            self.wake,
            self.lose_orders,
            self.slow_orders,
        ]

    def advance(self, seconds: float) -> None:
        """Advance the time while upstreams write their entries."""
        end = self.site.world.monotonic() + seconds
        while self.site.world.monotonic() < end:
            self.write_entries()
            left = end - self.site.world.monotonic()
            self.site.world.advance(min(left, _HEARTBEAT_SECONDS))

    def write_entries(self) -> None:
        """Let an engine write its entry, which raises the store's revision."""
        self.site.register(self.site.engines[0])

    # -- Requests and faults

    def running(self) -> list[str]:
        """Return the ids of the VMs whose process runs."""
        return [
            vm.id
            for vm in self.site.vms_by_id.values()
            if vm.node is not None and vm.id not in self._paused
        ]

    def ask(self) -> None:
        """Send a completion or an order through a random VM."""
        if not self.running():
            return
        vm_id = self.rng.choice(self.running())
        if self.rng.random() < 1 / 3:
            call = self.site.call('/orders/1')
        else:
            adapter = self.rng.randrange(_ADAPTERS)
            call = self.site.chat(f'a{adapter}')
        name = dict(call.headers)['Attempt-Id']
        self.steps['ask'] += 1
        self.answers.append((name, self.site.begin(vm_id, call)))

    def cut_vms(self) -> None:
        """Partition the fleet into two parts."""
        names = list(self.site.vms_by_id)
        self.rng.shuffle(names)
        count = self.rng.randrange(1, len(names))
        self.parts = (names[:count], names[count:])
        self.site.links.partition(*self.parts)

    def cut_store(self) -> None:
        """Partition one VM from the store."""
        vm_id = self.rng.choice(list(self.site.vms_by_id))
        self.site.links.partition([vm_id], ['store'])

    def heal(self) -> None:
        """Heal all partitions."""
        self.parts = ([], [])
        self.site.links.heal()

    def kill(self) -> None:
        """Kill the process of a VM."""
        if len(self.running()) > 1:
            self.site.kill(self.rng.choice(self.running()))

    def disturb(self, vm_ids: Iterable[str]) -> None:
        """Record that a fault concerns these VMs."""

    def start(self) -> None:
        """Start the processes that were killed."""
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self.site.start(vm.id)

    def pause(self) -> None:
        """Pause a process as SIGSTOP does."""
        if len(self.running()) > 1:
            vm_id = self.rng.choice(self.running())
            self.site.vms_by_id[vm_id].node.paused = True
            self._paused.add(vm_id)

    def wake(self) -> None:
        """Resume the paused processes."""
        for vm_id in self._paused:
            node = self.site.vms_by_id[vm_id].node
            if node is not None:
                node.paused = False
        self._paused.clear()

    def lose_orders(self) -> None:
        """Drop the next orders to an engine."""
        engine = self.rng.choice(self.site.engines)
        engine.dropped_orders = self.rng.randrange(3)

    def slow_orders(self) -> None:
        """Delay the answers of an engine to orders."""
        engine = self.rng.choice(self.site.engines)
        engine.order_seconds = self.rng.choice((0.0, 0.1, 0.3))

    def settle(self) -> None:
        """End all faults and wait for the site to recover."""
        self.heal()
        self.wake()
        self.start()
        for engine in self.site.engines:
            engine.dropped_orders = 0
            engine.order_seconds = 0
        self.advance(_SETTLE_SECONDS)

    # -- Checks

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        broken = []
        for engine in self.site.engines:
            broken += _engine_violations(engine)
        return [*broken, *self._run_violations(), *self._unserved_violations()]

    def _run_violations(self) -> list[str]:
        runs: Counter[str] = Counter()
        for app in self.site.apps:
            runs.update(app.runs_by_request)
        broken = [f'{name} ran twice' for name, n in runs.items() if n > 1]
        for name, task in self.answers:
            response = task.result if _has_answer(task) else None
            refused = response is not None and response.status in {429, 503}
            if refused and runs[name]:
                broken.append(f'{name} ran and was called not run')
        return broken

    def _unserved_violations(self) -> list[str]:
        answers = {
            vm_id: self.site.send(vm_id, self.site.chat(f'new-{vm_id}')).status
            for vm_id in self.site.vms_by_id
        }
        return [
            f'{vm_id} answers {status} after it has settled'
            for vm_id, status in answers.items()
            if status != 200
        ]


def _has_answer(task: curio.Task) -> bool:
    if not task.terminated or task.exception is not None:
        return False
    return hasattr(task.result, 'status')


def _engine_violations(engine: PlatformEngineStandIn) -> list[str]:
    broken = []
    if engine.crashes:
        broken.append(f'{engine.name} was ordered to hold too much')
    orders = engine.accepted
    for earlier, later in pairwise(orders):
        if later.fence < earlier.fence:
            broken.append(f'{engine.name} saw a lower fence at {later.at:.2f}')
    last_by_holder: dict[str, int] = {}
    for place, order in enumerate(orders):
        last = last_by_holder.get(order.holder)
        last_by_holder[order.holder] = place
        if last is None or last == place - 1:
            continue
        if order.at - orders[last].at < LEASE_SECONDS:
            broken.append(f'{engine.name} saw turns at {order.at:.2f}')
    return broken
