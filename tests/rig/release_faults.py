"""Owners that stop to own their groups, in any way, while loads run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import curio

TIMEOUT_SECONDS: Final = 2.0
LATE_SECONDS: Final = 0.5
CONTACT_SECONDS: Final = 3.0
_GRACE_SECONDS: Final = 10.0
_POLL_SECONDS: Final = 0.1
_MAX_LOAD_SECONDS: Final = 1.5
_BURST: Final = 6
_ADAPTERS: Final = 40


@dataclass(slots=True)
class _Sent:
    """A request and the VM that it was sent to."""

    name: str
    vm_id: str
    sent_at: float
    task: curio.Task
    is_late: bool = False


class ReleasingSite(FaultySite):
    """A site with slow loads, whose owners change for many reasons.

    All requests have one timeout; those at VMs that were not disturbed have
    an answer half a second after it.
    """

    engine_count = 2

    def __init__(self, seed: int) -> None:
        """Start the site."""
        self._sent: list[_Sent] = []
        self._disturbed_at: dict[str, float] = {}
        super().__init__(seed)
        routes = [
            self.site._route(
                {
                    'Name': 'chats',
                    'PathPrefix': '/chats/',
                    'Kind': 'streaming',
                    'Service': 'engines',
                    'MaxAttempts': 1,
                    'TimeoutMs': int(TIMEOUT_SECONDS * 1000),
                }
            )
        ]
        self.site.publish(Routes=routes)
        self.advance(2)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults."""
        return [
            self.leave,
            self.release,
            self.release,
            self.kill,
            self.start,
            self.start,
            self.pause,
            self.wake,
            self.cut_vms,
            self.cut_store,
            self.heal,
            self.restart_engine,
            self.slow_loads,
            self.lose_orders,
        ]

    def play(self, steps: int) -> None:
        """Keep requests waiting for loads while faults happen."""
        for _step in range(steps):
            for _request in range(_BURST):
                self.ask()
            self.advance(self.rng.uniform(0, 1))
            fault = self.rng.choice(self.faults())
            self.steps[fault.__name__] += 1
            fault()
            self.advance(self.rng.uniform(0, 1))
        self.settle()

    def ask(self) -> None:
        """Send a request for a rarely used adapter."""
        if not self.running():
            return
        vm_id = self.rng.choice(self.running())
        adapter = self.rng.randrange(_ADAPTERS)
        call = self.site.chat(f'a{adapter}')
        name = dict(call.headers)['Attempt-Id']
        now = self.site.world.monotonic()
        task = self.site.begin(vm_id, call)
        self._sent.append(_Sent(name, vm_id, now, task))

    def leave(self) -> None:
        """Let a VM leave in order; its process ends by itself."""
        running = [
            vm_id
            for vm_id in self.running()
            if not self.site.vms_by_id[vm_id].daemon.is_leaving
        ]
        if len(running) < 2:
            return
        vm = self.site.vms_by_id[self.rng.choice(running)]
        self._disturb(vm.id)
        vm.node.spawn(vm.daemon.begin_leaving)

    def release(self) -> None:
        """Let a VM release its groups and live on."""
        for vm_id in self.running():
            vm = self.site.vms_by_id[vm_id]
            vm.node.spawn(vm.daemon.owned.close)

    def kill(self) -> None:
        """Kill the process of a VM."""
        before = set(self.running())
        super().kill()
        for vm_id in before - set(self.running()):
            self._disturb(vm_id)

    def start(self) -> None:
        """Start the processes that were killed or have left."""
        for vm in self.site.vms_by_id.values():
            if vm.daemon is not None and vm.daemon.stopped.is_set():
                self.site.kill(vm.id)
            if vm.node is None:
                self._disturb(vm.id)
        super().start()

    def pause(self) -> None:
        """Pause a process."""
        super().pause()
        for vm_id in self._paused:
            self._disturb(vm_id)

    def wake(self) -> None:
        """Resume the paused processes."""
        for vm_id in self._paused:
            self._disturb(vm_id)
        super().wake()

    def cut_vms(self) -> None:
        """Partition the fleet; all VMs are disturbed."""
        super().cut_vms()
        for vm_id in self.site.vms_by_id:
            self._disturb(vm_id)

    def restart_engine(self) -> None:
        """Let an engine forget all that it held and was ordered."""
        engine = self.rng.choice(self.site.engines)
        engine.restart()

    def slow_loads(self) -> None:
        """Change the time that loads take."""
        for engine in self.site.engines:
            engine.load_seconds = self.rng.uniform(0, _MAX_LOAD_SECONDS)

    def settle(self) -> None:
        """End all faults and loads."""
        for engine in self.site.engines:
            engine.load_seconds = 0.25
        self.heal()
        self.wake()
        # VMs that leave have ended by then.
        self.advance(_GRACE_SECONDS)
        super().settle()

    def advance(self, seconds: float) -> None:
        """Advance the time and find requests that are late."""
        end = self.site.world.monotonic() + seconds
        while self.site.world.monotonic() < end:
            left = end - self.site.world.monotonic()
            super().advance(min(left, _POLL_SECONDS))
            self._find_late()

    def find_violations(self) -> list[str]:
        """Describe each violation, late requests among them."""
        late = [
            f'{sent.name} at {sent.vm_id}, sent {sent.sent_at:.2f}, is late'
            for sent in self._sent
            if sent.is_late
        ]
        return [*late, *super().find_violations()]

    def _find_late(self) -> None:
        now = self.site.world.monotonic()
        for sent in self._sent:
            due_at = sent.sent_at + TIMEOUT_SECONDS + LATE_SECONDS
            if sent.task.terminated or sent.is_late or now < due_at:
                continue
            disturbed_at = self._disturbed_at.get(sent.vm_id, float('-inf'))
            sent.is_late = disturbed_at < sent.sent_at - CONTACT_SECONDS

    def disturb(self, vm_ids: Iterable[str]) -> None:
        """Excuse late answers of VMs for the contact time."""
        for vm_id in vm_ids:
            self._disturb(vm_id)

    def _disturb(self, vm_id: str) -> None:
        self._disturbed_at[vm_id] = self.site.world.monotonic()
