"""Random faults of VMs and links while upstreams make requests fail."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Final

from tests.rig.budget_play import READS, REVIEWS, BudgetSite, Trouble
from tests.rig.retry_rule import Allowance

if TYPE_CHECKING:
    from collections.abc import Callable

_VM_COUNTS: Final = (4, 8, 12)
_SLACKS: Final = (0, 2, 10, 40, 129)
_RATES: Final = (2, 10, 25)
_LONGEST_STEP_SECONDS: Final = 3.0
_MANY_REPEATS: Final = 3


class BudgetFaults:
    """Random faults of one seed.

    :ivar steps: how often each fault was injected
    """

    def __init__(self, seed: int) -> None:
        """Start a site of random size and budget."""
        self.rng = random.Random(f'budget faults {seed}')
        choose = self.rng.choice
        allowance = Allowance(choose((0.1, 0.2)), choose(_SLACKS))
        self.site = BudgetSite(
            choose(_VM_COUNTS),
            seed,
            allowance,
            choose(list(Trouble)),
            choose((READS, REVIEWS)),
        )
        self.rate = choose(_RATES)
        self.steps: Counter[str] = Counter()
        self._paused: set[str] = set()

    def play(self, steps: int) -> None:
        """Send requests and inject a fault at each step."""
        faults: list[Callable[[], None]] = [
            self.isolate_all,
            self.isolate_one,
            self.split,
            self.heal,
            self.heal,
            self.kill,
            self.start,
            self.restart_all,
            self.restart_some,
            self.start_slowly,
            self.pause,
            self.wake,
            self.lose_datagrams,
            self.change_trouble,
            self.shift_traffic,
            self.change_repeats,
        ]
        for _step in range(steps):
            fault = self.rng.choice(faults)
            self.steps[fault.__name__] += 1
            fault()
            seconds = self.rng.uniform(0.2, _LONGEST_STEP_SECONDS)
            self.site.play(seconds, self.rate)
        self.heal()
        for vm_id in list(self._paused):
            self._wake(vm_id)
        self.site.settle()

    def isolate_all(self) -> None:
        """Cut all links between VMs."""
        self.site.isolate_all()

    def isolate_one(self) -> None:
        """Cut one VM off from the others."""
        names = list(self.site.vms_by_id)
        one = self.rng.choice(names)
        self.site.separate([one], set(names) - {one})

    def split(self) -> None:
        """Cut the VMs into groups."""
        self.site.split(self.rng.randint(2, 4))

    def heal(self) -> None:
        """Restore all links."""
        self.site.links.heal()
        self.site.links.loss = 0

    def kill(self) -> None:
        """Kill some VMs."""
        for vm_id in self._some():
            self._paused.discard(vm_id)
            self.site.kill(vm_id)

    def start(self) -> None:
        """Start the VMs that are not running."""
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self.site.start(vm.id)

    def restart_all(self) -> None:
        """Kill and start all VMs at once."""
        self._paused.clear()
        self.site.restart(self.site.vms_by_id)

    def restart_some(self) -> None:
        """Kill and start some VMs at once."""
        chosen = self._some()
        self._paused.difference_update(chosen)
        self.site.restart(chosen)

    def start_slowly(self) -> None:
        """Kill and start some VMs, which do not run for a while."""
        chosen = self._some()
        self.site.restart(chosen)
        for vm_id in chosen:
            self._pause(vm_id)

    def pause(self) -> None:
        """Pause some VMs."""
        for vm_id in self._some():
            self._pause(vm_id)

    def wake(self) -> None:
        """Resume all paused VMs."""
        for vm_id in list(self._paused):
            self._wake(vm_id)

    def lose_datagrams(self) -> None:
        """Lose some of the gossip."""
        self.site.links.loss = self.rng.uniform(0.1, 0.7)

    def change_trouble(self) -> None:
        """Let upstreams fail in another way, or fewer requests fail."""
        self.site.trouble = self.rng.choice(list(Trouble))
        self.site.share = self.rng.choice((0.3, 0.7, 1.0))

    def shift_traffic(self) -> None:
        """Let clients prefer some VMs, or all alike."""
        is_even = self.rng.random() < 0.3
        for vm_id in self.site.weights_by_vm:
            weight = 1.0 if is_even else self.rng.random() ** 4
            self.site.weights_by_vm[vm_id] = weight

    def change_repeats(self) -> None:
        """Let clients repeat failed requests at once, or not."""
        self.site.repeats = self.rng.choice((0, 0, _MANY_REPEATS))

    def _some(self) -> list[str]:
        names = list(self.site.vms_by_id)
        return self.rng.sample(names, self.rng.randint(1, len(names)))

    def _pause(self, vm_id: str) -> None:
        self.site.pause(vm_id)
        self._paused.add(vm_id)

    def _wake(self, vm_id: str) -> None:
        self.site.pause(vm_id, paused=False)
        self._paused.discard(vm_id)
