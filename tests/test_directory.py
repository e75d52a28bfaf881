"""Which addresses callers are told to use."""

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
MOST = 6


class TestAddresses(TimedTestCase):
    """One VM of a fleet that answers callers."""

    def fleet(self, count, large=0):
        """Start with ``count`` VMs in the east, some of them large."""
        self.members = MemberTable(OWN, Incarnation(1))
        own = PublishedVm(OWN, EAST, 'front-0', OWN)
        self.members.open(own, [], 0.36)
        for number in range(1, count):
            cores = 2.15 if number <= large else 0.36
            self.tell(number, MemberState.ALIVE, EAST, cores)
        return AddressDirectory(self.members, MOST)

    def tell(self, number, state, domain=EAST, cores=0.36, counter=0):
        """Let the VM hear how another one is."""
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

    def test_small_domain_is_named_whole(self):
        self.assertEqual(len(self.fleet(4).addresses(EAST)), 4)

    def test_few_of_a_large_domain_are_named(self):
        """Callers use all 35 VMs of a failure domain in turn.

        Hardly any VM had a connection to the engine that it needed, and a
        new one costs a request up to 15 ms and the engine a slot.
        """
        self.assertEqual(len(self.fleet(35).addresses(EAST)), MOST)

    def test_large_vms_are_named(self):
        named = self.fleet(35, large=2).addresses(EAST)
        self.assertTrue({'front-1', 'front-2'} <= set(named))

    def test_answer_changes_by_one_when_a_vm_leaves(self):
        """A VM that callers use leaves.

        Callers drop connections to addresses that a new answer lacks, so
        the other addresses have to stay.
        """
        directory = self.fleet(35)
        before = directory.addresses(EAST)
        gone = next(name for name in before if name != 'front-0')
        number = int(gone.partition('-')[2])
        self.tell(number, MemberState.LEAVING, counter=1)
        after = directory.addresses(EAST)
        self.assertNotIn(gone, after)
        self.assertEqual(len(set(before) & set(after)), MOST - 1)

    def test_caller_without_vms_near_gets_others(self):
        self.assertEqual(len(self.fleet(5).addresses(WEST)), 5)


class TestWeightedOrder(TimedTestCase):
    """Rendezvous hashing by size."""

    def test_twice_the_size_leads_twice_as_often(self):
        sizes = {'a': 2.0, 'b': 1.0, 'c': 1.0}
        leads = Counter(
            hashing.weighted(f'key {n}', sizes)[0] for n in range(4000)
        )
        self.assertAlmostEqual(leads['a'] / 4000, 0.5, delta=0.03)
        self.assertAlmostEqual(leads['b'] / 4000, 0.25, delta=0.03)
