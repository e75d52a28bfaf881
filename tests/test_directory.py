"""Tests which addresses callers are given."""

from __future__ import annotations

from collections import Counter

from flamingovalve.gateway.directory import AddressDirectory
from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.messages import MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.members import MemberTable
from flamingovalve.util import hashing
from tests.rig.timeline import TimedTestCase

EAST, WEST = DomainId('east'), DomainId('west')
OWN = VmId('10.0.0.0:7000')
MAX_NEAR = 6


class TestAddresses(TimedTestCase):
    """Tests of the directory of one VM of a fleet."""

    def fleet(self, count, large=0):
        """Return the directory of a fleet with ``count`` VMs in the east.

        :param large: number of VMs with 2.15 cores instead of 0.36
        """
        self.members = MemberTable(OWN, Incarnation(1))
        own = PublishedVm(OWN, EAST, 'front-0', OWN)
        self.members.open(own, [], 0.36)
        for number in range(1, count):
            cores = 2.15 if number <= large else 0.36
            self.apply_state(number, MemberState.ALIVE, EAST, cores)
        return AddressDirectory(self.members, MAX_NEAR)

    def apply_state(self, number, state, domain=EAST, cores=0.36, counter=0):
        """Apply a rumour with the state of another VM."""
        vm = VmId(f'10.0.0.{number}:7000')
        rumour = MemberRumour(
            vm,
            Incarnation(1),
            counter,
            state,
            domain,
            f'front-{number}',
            cores,
        )
        self.members.apply(rumour)

    def test_all_of_a_small_domain_are_returned(self):
        self.assertEqual(len(self.fleet(4).addresses(EAST)), 4)

    def test_few_of_a_large_domain_are_returned(self):
        """A failure domain has 35 VMs.

        If callers used all of them, a VM would rarely have an open connection
        to the engine of a request. A new one costs the request up to 15 ms
        and the engine a slot.
        """
        self.assertEqual(len(self.fleet(35).addresses(EAST)), MAX_NEAR)

    def test_large_vms_are_returned(self):
        addresses_returned = self.fleet(35, large=2).addresses(EAST)
        self.assertTrue({'front-1', 'front-2'} <= set(addresses_returned))

    def test_answer_changes_by_one_when_a_vm_leaves(self):
        """A VM that callers use leaves.

        Callers close connections to addresses that a new answer lacks, so
        the other addresses must stay.
        """
        directory = self.fleet(35)
        before = directory.addresses(EAST)
        removed = next(name for name in before if name != 'front-0')
        number = int(removed.partition('-')[2])
        self.apply_state(number, MemberState.LEAVING, counter=1)
        after = directory.addresses(EAST)
        self.assertNotIn(removed, after)
        self.assertEqual(len(set(before) & set(after)), MAX_NEAR - 1)

    def test_caller_without_near_vms_gets_others(self):
        self.assertEqual(len(self.fleet(5).addresses(WEST)), 5)


class TestWeightedOrder(TimedTestCase):
    """Tests of weighted rendezvous hashing."""

    def test_twice_the_weight_ranks_first_twice_as_often(self):
        sizes = {'a': 2.0, 'b': 1.0, 'c': 1.0}
        first_counts = Counter(
            hashing.weighted_rank(f'key {n}', sizes)[0] for n in range(4000)
        )
        self.assertAlmostEqual(first_counts['a'] / 4000, 0.5, delta=0.03)
        self.assertAlmostEqual(first_counts['b'] / 4000, 0.25, delta=0.03)
