"""Random faults beside requests that end the upstreams that run them."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Final

from tests.rig.crash_play import CrashPlay, CrashSite, Ending
from tests.rig.site_faults import FaultySite
from tests.rig.upstream_rules import Disturbance

if TYPE_CHECKING:
    from collections.abc import Callable

_SETTLE_SECONDS: Final = 6
_READS_PER_SECOND: Final = 6
_CHATS_PER_SECOND: Final = 4
_REPEAT_SECONDS: Final = (0.1, 1.5)
_RESTART_SECONDS: Final = 0.5


class CrashFaults(FaultySite):
    """A site with random faults whose upstreams end under some requests."""

    def __init__(self, seed: int, loses_vms: bool = True) -> None:
        """Start the site, its harmless traffic and its deadly requests.

        :param loses_vms: whether all VMs may end, or lose sight of each other
        """
        self.loses_vms = loses_vms
        self.rng = random.Random(seed)
        self.traffic = self._start_play(seed)
        self.site = self.traffic.site
        self.steps = Counter()
        self.parts = ([], [])
        self.answers = []
        self._paused: set[str] = set()
        self._open: dict[str, float] = {}
        self._cut_from_store: set[str] = set()
        self._add_traffic()

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults that :meth:`play` chooses from."""
        losses = [self.cut_all, self.kill_all, self.restart_in_turn]
        return [
            *(losses if self.loses_vms else ()),
            self.cut_one,
            self.cut_store,
            self.heal,
            self.kill,
            self.start,
            self.pause,
            self.wake,
            self.change_ending,
            self.end_one,
            self.fail_some,
            self.succeed,
        ]

    def advance(self, seconds: float) -> None:
        """Advance the time while callers send requests."""
        self.traffic.running = self.running  # type: ignore[method-assign]
        self.traffic.advance(seconds)

    def ask(self) -> None:
        """Send nothing; :meth:`advance` sends requests all the time."""

    def settle(self) -> None:
        """End all faults, then all traffic."""
        self.heal()
        self.wake()
        self.start()
        self.advance(_SETTLE_SECONDS)
        self.traffic.settle()

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        return self.traffic.violations()

    # -- Faults

    def cut_one(self) -> None:
        """Partition one VM from the others, which keeps it in touch."""
        vm_id = self.rng.choice(list(self.site.vms_by_id))
        others = [name for name in self.site.vms_by_id if name != vm_id]
        self.site.links.partition([vm_id], others)

    def cut_all(self) -> None:
        """Partition all VMs from each other."""
        names = list(self.site.vms_by_id)
        for number, name in enumerate(names):
            self.site.links.partition([name], names[number + 1 :])

    def cut_store(self) -> None:
        """Partition one VM from the store."""
        vm_id = self.rng.choice(list(self.site.vms_by_id))
        self.site.links.partition([vm_id], ['store'])
        self._cut_from_store.add(vm_id)
        self._begin(vm_id)

    def heal(self) -> None:
        """Heal all partitions but those of silent upstreams."""
        names = [*self.site.vms_by_id, 'store']
        self.site.links.heal_between(names, names)
        self._cut_from_store.clear()
        for name in list(self._open):
            if name in self.running():
                self._finish(name)

    def kill(self) -> None:
        """Kill the process of a VM."""
        if len(self.running()) > 1:
            vm_id = self.rng.choice(self.running())
            self.site.kill(vm_id)
            self._begin(vm_id)

    def kill_all(self) -> None:
        """Kill the processes of all VMs, and start them again."""
        for vm_id in self.running():
            self.site.kill(vm_id)
            self._begin(vm_id)
        self.advance(_RESTART_SECONDS)
        self.start()

    def restart_in_turn(self) -> None:
        """Kill and start one VM after the other."""
        for vm_id in self.running():
            self.site.kill(vm_id)
            self._begin(vm_id)
            self.advance(_RESTART_SECONDS)
            self.start()

    def start(self) -> None:
        """Start the processes that were killed."""
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self.site.start(vm.id)
                self._finish(vm.id)

    def pause(self) -> None:
        """Pause a process as SIGSTOP does."""
        before = set(self._paused)
        super().pause()
        for vm_id in self._paused - before:
            self._begin(vm_id)

    def wake(self) -> None:
        """Resume the paused processes."""
        paused = set(self._paused)
        super().wake()
        for vm_id in paused:
            self._finish(vm_id)

    def change_ending(self) -> None:
        """Let upstreams end in another way from now on."""
        self.site.ending = self.rng.choice(list(Ending))

    def end_one(self) -> None:
        """End an upstream that did nothing wrong."""
        runners = (*self.site.apps, *self.site.engines)
        if len(runners) > 4:
            self.site.end(self.rng.choice(runners))

    def fail_some(self) -> None:
        """Let a share of all runs fail with an error."""
        self.site.failing = self.rng.choice((0.1, 0.3))

    def succeed(self) -> None:
        """Let runs fail no more."""
        self.site.failing = 0.0

    def _start_play(self, seed: int) -> CrashPlay:
        ending = self.rng.choice(list(Ending))
        return CrashPlay(CrashSite(ending, engines=5, seed=seed), seed)

    def _add_traffic(self) -> None:
        site, traffic = self.site, self.traffic
        traffic.add_reads(_READS_PER_SECOND)
        traffic.add_reads(_READS_PER_SECOND, '/reads/popular')
        traffic.add(
            lambda: site.completion('/reviews/1'), 1 / _CHATS_PER_SECOND
        )
        makers = {
            'read': lambda: site.read('/reads/deadly', 'read'),
            'read-2': lambda: site.read('/reads/deadly-2', 'read-2'),
            'write': lambda: site.write('/reads/deadly', 'write'),
            'order': lambda: site.write('/orders/deadly', 'order'),
            'review': lambda: site.completion('/reviews/1', 'review'),
            'chat': lambda: site.completion('/chats/1', 'chat'),
        }
        count = self.rng.randint(1, len(makers))
        for key in self.rng.sample(sorted(makers), count):
            interval = self.rng.uniform(*_REPEAT_SECONDS)
            traffic.repeat(makers[key], key, 2 * interval)
            traffic.add(makers[key], 2 * interval, key, traffic.other_caller)

    def _begin(self, vm_id: str) -> None:
        self._open.setdefault(vm_id, self.site.now())
        self._record(vm_id, float('inf'))

    def _finish(self, vm_id: str) -> None:
        if vm_id in self._open and vm_id not in self._cut_from_store:
            self._record(vm_id, self.site.now())
            del self._open[vm_id]

    def _record(self, vm_id: str, ends: float) -> None:
        begins = self._open[vm_id]
        entries = self.traffic.disturbances.entries
        entries[:] = [
            one for one in entries if (one.vm, one.begins) != (vm_id, begins)
        ]
        entries.append(Disturbance(vm_id, begins, ends))
