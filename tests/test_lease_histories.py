"""Tests the wait before first orders in all short histories of two VMs.

A new process sends no orders for a lease after its start. The histories show
what that wait guards against: among waits up to the duration of a restart, none
is safe.
"""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass, field

# All times are in ticks of half a second.
LEASE = 6
LENGTH = 14
LAST_KILL = 8
DOWN_TICKS = (1, 2)
VMS = (0, 1)


@dataclass
class Vm:
    """One VM: when it is down, and the state of its current process."""

    name: int
    down: frozenset[int]
    since: int = 0
    owner: int | None = None
    orders: list[int] = field(default_factory=list)

    def is_running(self, tick: int) -> bool:
        """Return whether the process of the VM runs."""
        return tick not in self.down


def schedules() -> list[frozenset[int]]:
    """Return all schedules in which one VM is down at most twice."""
    spans = [
        frozenset(range(begin, begin + down_ticks))
        for begin in range(1, LAST_KILL)
        for down_ticks in DOWN_TICKS
    ]
    pairs = itertools.combinations(spans, 2)
    return [frozenset(), *spans, *(one | other for one, other in pairs)]


def simulate(schedule, wait):
    """Return the orders of one history as pairs of tick and VM.

    A claim remains with its VM while that VM is alive. When the owner ends, a
    survivor takes over immediately; without a known live owner, the first VM
    in rank does.

    :param wait: ticks without orders after the start of a process
    """
    vms = [Vm(name, down) for name, down in zip(VMS, schedule, strict=True)]
    orders = []
    for tick in range(LENGTH):
        present = [vm for vm in vms if vm.is_running(tick)]
        for vm in present:
            if not vm.is_running(tick - 1):
                vm.since = tick
                vm.owner = None
        known = {vm.owner for vm in present} - {None}
        running_names = {vm.name for vm in present}
        owner = min(known & running_names or running_names, default=None)
        for vm in present:
            vm.owner = owner
            started = vm.since > 0
            may_order = not started or tick >= vm.since + wait
            if vm.name == owner and may_order:
                orders.append((tick, vm.name))
    return orders


def holders_alternate(orders):
    """Return whether two VMs alternate in orders within a lease."""
    for (first, vm), (_between, other), (last, again) in itertools.combinations(
        orders, 3
    ):
        if vm == again != other and last - first < LEASE:
            return True
    return False


def unsafe_histories(wait):
    """Return the histories in which two VMs alternate within a lease."""
    histories = itertools.product(schedules(), repeat=len(VMS))
    return [one for one in histories if holders_alternate(simulate(one, wait))]


class TestLeaseHistories(unittest.TestCase):
    """Tests of two VMs, each down at most twice, and one engine."""

    def test_lease_from_the_start_of_the_process_is_safe(self):
        """Guards against two holders that alternate after restarts."""
        self.assertEqual(unsafe_histories(LEASE), [])

    def test_no_shorter_wait_is_safe(self):
        """Guards against a shorter wait that looks safe in most histories."""
        for wait in range(LEASE // 2 + 1):
            self.assertNotEqual(unsafe_histories(wait), [], wait)

    def test_loss_of_all_vms_after_a_takeover_needs_a_wait(self):
        """Guards against immediate first orders after all VMs restarted."""
        ended_first = frozenset({3, 5})
        ended_then = frozenset({5})
        orders = simulate((ended_first, ended_then), 0)
        self.assertTrue(holders_alternate(orders), orders)
        self.assertFalse(
            holders_alternate(simulate((ended_first, ended_then), LEASE))
        )
