"""Every short history of two VMs that restart, against rules of first orders.

A new process orders nothing for a lease after its start. The histories show
what that wait guards against: up to what a restart takes, no shorter one is safe.
"""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass, field

# Ticks of half a second.
LEASE = 6
LENGTH = 14
LAST_KILL = 8
DARK = (1, 2)
VMS = (0, 1)


@dataclass
class Vm:
    """One VM: when it is down, and what its process of the moment knows."""

    name: int
    down: frozenset[int]
    since: int = 0
    owner: int | None = None
    orders: list[int] = field(default_factory=list)

    def lives(self, tick: int) -> bool:
        """Tell whether its process runs."""
        return tick not in self.down


def schedules() -> list[frozenset[int]]:
    """Give every way in which one VM is down at most twice."""
    spans = [
        frozenset(range(begin, begin + dark))
        for begin in range(1, LAST_KILL)
        for dark in DARK
    ]
    pairs = itertools.combinations(spans, 2)
    return [frozenset(), *spans, *(one | other for one, other in pairs)]


def play(schedule, wait):
    """Give the VMs that ordered, by tick, in one history.

    A claim stays with its VM while that lives. A survivor follows an owner
    that has ended at once; where none is left, the heaviest VM follows.

    :param wait: ticks without orders after the start of a process
    """
    vms = [Vm(name, down) for name, down in zip(VMS, schedule, strict=True)]
    orders = []
    for tick in range(LENGTH):
        present = [vm for vm in vms if vm.lives(tick)]
        for vm in present:
            if not vm.lives(tick - 1):
                vm.since = tick
                vm.owner = None
        known = {vm.owner for vm in present} - {None}
        living = {vm.name for vm in present}
        owner = min(known & living or living, default=None)
        for vm in present:
            vm.owner = owner
            started = vm.since > 0
            may_order = not started or tick >= vm.since + wait
            if vm.name == owner and may_order:
                orders.append((tick, vm.name))
    return orders


def takes_turns(orders):
    """Tell whether a VM orders again within a lease behind another one."""
    for (first, vm), (_between, other), (last, again) in itertools.combinations(
        orders, 3
    ):
        if vm == again != other and last - first < LEASE:
            return True
    return False


def broken(wait):
    """Give the histories in which two VMs take turns."""
    every = itertools.product(schedules(), repeat=len(VMS))
    return [one for one in every if takes_turns(play(one, wait))]


class TestLeaseHistories(unittest.TestCase):
    """Two VMs, each down at most twice, one engine."""

    def test_lease_from_the_start_of_the_process_is_safe(self):
        """Guards against two holders that take turns after restarts."""
        self.assertEqual(broken(LEASE), [])

    def test_no_shorter_wait_is(self):
        """Guards against a shorter wait that looks safe in most histories."""
        for wait in range(LEASE // 2 + 1):
            self.assertNotEqual(broken(wait), [], wait)

    def test_loss_of_all_soon_after_a_takeover_breaks_a_shorter_wait(self):
        """Guards against first orders at once where all VMs began anew."""
        ended_first = frozenset({3, 5})
        ended_then = frozenset({5})
        orders = play((ended_first, ended_then), 0)
        self.assertTrue(takes_turns(orders), orders)
        self.assertFalse(takes_turns(play((ended_first, ended_then), LEASE)))
