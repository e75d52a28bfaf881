"""Tests which addresses callers are given."""

from __future__ import annotations

from collections import Counter

from flamingovalve.gateway.directory import AddressDirectory
from flamingovalve.gateway.loop_delay import LoopDelay
from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.messages import MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.members import MemberTable
from flamingovalve.util import hashing
from tests.rig.timeline import TimedTestCase

EAST, WEST = DomainId('east'), DomainId('west')
OWN = VmId('10.0.0.0:7000')
MAX_NEAR = 6
FEWEST = 3
LARGE, SMALL = 2.15, 0.36


class TestAddresses(TimedTestCase):
    """Tests of the directory of one VM of a fleet."""

    def fleet(self, count, large=0, own_cores=SMALL):
        """Return the directory of a fleet with ``count`` VMs in the east.

        :param large: number of VMs with 2.15 cores instead of 0.36
        """
        self.members = MemberTable(OWN, Incarnation(1))
        self.cut_off = set()
        own = PublishedVm(OWN, EAST, 'front-0', OWN)
        self.members.open(own, [], own_cores)
        for number in range(1, count):
            cores = LARGE if number <= large else SMALL
            self.apply_state(number, MemberState.ALIVE, EAST, cores)
        return AddressDirectory(
            self.members, MAX_NEAR, FEWEST, self.cut_off.__contains__
        )

    def test_vms_that_are_cut_off_are_left_out(self):
        """Guards against callers led to VMs without paths to upstreams."""
        directory = self.fleet(6)
        self.cut_off.update(('10.0.0.1:7000', '10.0.0.2:7000'))
        listed = directory.addresses(EAST)
        self.assertEqual(len(listed), 4)
        self.assertNotIn('front-1', listed)
        self.cut_off.update(self.members.by_id)
        self.assertEqual(len(directory.addresses(EAST)), MAX_NEAR)

    def apply_state(
        self, number, state, domain=EAST, cores=SMALL, counter=0, link=0
    ):
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
            link,
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

    def test_large_vms_are_first(self):
        """A small VM gets as many streams as a large one of the same list."""
        addresses = self.fleet(35, large=5).addresses(EAST)
        large = {f'front-{number}' for number in range(1, 6)}
        self.assertEqual(set(addresses[:5]), large)

    def test_link_counts_if_it_is_scarcer_than_the_processor(self):
        """Guards against streams through a VM with a link of 5 Mbit/s."""
        directory = self.fleet(8)
        for number in range(1, 8):
            link = 100 if number <= 4 else 5
            self.apply_state(number, MemberState.ALIVE, cores=2, link=link)
        fast = {'front-1', 'front-2', 'front-3', 'front-4'}
        self.assertEqual(set(directory.addresses(EAST)[:4]), fast)

    def test_overloaded_vm_leaves_its_list_and_returns(self):
        directory = self.fleet(8, own_cores=LARGE)
        self.assertIn('front-0', directory.addresses(EAST))
        for _wakeup in range(20):
            directory.delay.record(0.2)
        self.assertNotIn('front-0', directory.addresses(EAST))
        self.assertEqual(len(directory.addresses(EAST)), MAX_NEAR)
        for _wakeup in range(20):
            directory.delay.record(0)
        self.assertIn('front-0', directory.addresses(EAST))

    def test_overloaded_vm_stays_in_a_list_that_has_no_other(self):
        for count, listed in ((FEWEST, FEWEST), (FEWEST + 1, FEWEST)):
            directory = self.fleet(count)
            for _wakeup in range(20):
                directory.delay.record(0.2)
            self.assertEqual(len(directory.addresses(EAST)), listed)

    def test_caller_without_near_vms_gets_others(self):
        self.assertEqual(len(self.fleet(5).addresses(WEST)), 5)


class TestLoopDelay(TimedTestCase):
    """When a VM counts as overloaded."""

    def test_single_pause_is_no_overload(self):
        delay = LoopDelay()
        delay.record(0.5)
        self.assertFalse(delay.is_late)


class TestWeightedOrder(TimedTestCase):
    """Tests of weighted rendezvous hashing."""

    def test_twice_the_weight_ranks_first_twice_as_often(self):
        sizes = {'a': 2.0, 'b': 1.0, 'c': 1.0}
        first_counts = Counter(
            hashing.weighted_rank(f'key {n}', sizes)[0] for n in range(4000)
        )
        self.assertAlmostEqual(first_counts['a'] / 4000, 0.5, delta=0.03)
        self.assertAlmostEqual(first_counts['b'] / 4000, 0.25, delta=0.03)
