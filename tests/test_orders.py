"""Tests that two VMs never alternate in orders to an engine in a lease."""

from __future__ import annotations

from flamingovalve.gateway.orders import OrderChain
from tests.rig.engines import report
from tests.rig.timeline import TimedTestCase

LEASE, LAG = 3.0, 0.3


class TestOrderChain(TimedTestCase):
    """Tests when a VM may send an order, given the reports that it has read."""

    def setUp(self) -> None:
        """Create a chain that has read no report."""
        super().setUp()
        self.chain = OrderChain(LEASE, LAG, paused_until=0)

    def test_no_order_before_a_report(self):
        self.assertFalse(self.chain.may_order())

    def test_engine_without_accepted_orders(self):
        self.chain.record_report(report(0))
        self.assertTrue(self.chain.may_order())

    def test_takeover_after_a_lease_without_orders(self):
        self.chain.record_report(report(7))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE + LAG + 0.1)
        self.assertTrue(self.chain.may_order())

    def test_takeover_after_an_ended_predecessor(self):
        self.chain.predecessor_ended = True
        self.chain.record_report(report(7))
        self.assertTrue(self.chain.may_order())

    def test_last_order_of_an_ended_predecessor_is_not_foreign(self):
        """The owner is killed right after an order.

        The first report that its successor reads does not show that order
        yet. When a later one does, the successor must not take it for an
        order of a live owner, or the engine's callers would get no load for
        more than a lease.
        """
        self.chain.predecessor_ended = True
        self.chain.record_report(report(7))
        self.chain.record_conflict()
        self.advance(2 * LAG + 0.01)
        self.assertFalse(self.chain.record_report(report(8)))
        self.assertTrue(self.chain.may_order())

    def test_continued_orders_are_those_of_another_owner(self):
        """An owner that was considered ended continues to send orders."""
        self.chain.predecessor_ended = True
        self.chain.record_report(report(7))
        self.advance(2)
        self.chain.record_report(report(8))
        self.assertFalse(self.chain.may_order())

    def test_order_that_the_engine_did_not_count(self):
        """An order that the engine did not count is removed from the count.

        Otherwise the engine would refuse every later order of the owner.
        """
        self.chain.record_report(report(7))
        self.advance(LEASE + LAG + 0.1)
        self.chain.record_accepted()
        self.chain.record_accepted()
        self.chain.record_conflict()
        self.advance(2)
        self.assertFalse(self.chain.record_report(report(8)))
        self.assertEqual(self.chain.sequence, 8)
        self.assertTrue(self.chain.may_order())
        self.assertFalse(self.chain.record_report(report(8)))

    def test_late_report_does_not_correct_the_count(self):
        """A report that precedes the last order must not correct the count.

        Otherwise the VM would take its own order for another owner's.
        """
        self.chain.record_report(report(7))
        self.advance(LEASE + LAG + 0.1)
        self.chain.record_accepted()
        self.advance(0.2)
        self.chain.record_report(report(7))
        self.assertEqual(self.chain.sequence, 8)
        self.assertFalse(self.chain.record_report(report(8)))
        self.assertTrue(self.chain.ordered)

    def test_own_orders_are_counted(self):
        self.chain.record_report(report(0))
        self.chain.record_accepted()
        self.assertFalse(self.chain.record_report(report(1)))
        self.assertTrue(self.chain.may_order())

    def test_late_report_is_not_a_foreign_order(self):
        self.chain.record_report(report(0))
        self.chain.record_accepted()
        self.chain.record_accepted()
        self.assertFalse(self.chain.record_report(report(1)))
        self.assertEqual(self.chain.sequence, 2)

    def test_foreign_order_pauses_for_more_than_a_lease(self):
        """Another VM took over the engine while this one was partitioned.

        If both sent orders, each would undo the other's loads, and the engine
        would see two holders alternate.
        """
        self.chain.record_report(report(0))
        self.chain.record_accepted()
        self.assertTrue(self.chain.record_report(report(2)))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE)
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE)
        self.assertTrue(self.chain.may_order())

    def test_unanswered_order_that_was_accepted(self):
        """The answer to an accepted order is lost.

        If the order counted as refused, the next one would name a wrong
        count, and the owner would pause for seconds due to its own order.
        """
        self.chain.record_report(report(0))
        self.chain.record_accepted()
        self.chain.record_sent()
        self.chain.record_unanswered()
        self.assertFalse(self.chain.may_order())
        self.advance(2 * LAG + 0.1)
        self.assertFalse(self.chain.record_report(report(2)))
        self.assertTrue(self.chain.may_order())
        self.assertEqual(self.chain.sequence, 2)

    def test_unanswered_order_that_was_not_accepted(self):
        self.chain.record_report(report(0))
        self.chain.record_unanswered()
        self.advance(2 * LAG + 0.1)
        self.assertFalse(self.chain.record_report(report(0)))
        self.assertTrue(self.chain.may_order())
        self.assertEqual(self.chain.sequence, 0)

    def test_conflict_pauses_until_a_report(self):
        self.chain.record_report(report(0))
        self.chain.record_conflict()
        self.assertFalse(self.chain.may_order())
        self.advance(2 * LAG + 0.1)
        self.chain.record_report(report(0))
        self.assertTrue(self.chain.may_order())

    def test_restarted_engine_resets_the_chain(self):
        self.chain.record_report(report(5))
        self.chain.restart()
        self.chain.record_report(report(0))
        self.assertTrue(self.chain.may_order())

    def test_unanswered_order_of_a_vm_that_was_not_the_holder(self):
        """Guards against another VM's order that is taken for the own one."""
        self.chain.is_established = bool
        self.chain.record_report(report(7))
        self.advance(LEASE + LAG + 0.1)
        self.chain.record_sent()
        self.chain.record_unanswered()
        self.advance(2 * LAG + 0.1)
        self.chain.record_report(report(8))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE + LAG + 0.1)
        self.assertTrue(self.chain.may_order())

    def test_holder_for_a_lease(self):
        """Guards against a holder of long ago that takes itself for one."""
        self.chain.record_report(report(0))
        self.chain.record_sent()
        self.chain.record_accepted()
        self.advance(LEASE - LAG - 0.1)
        self.assertTrue(self.chain.is_holder())
        self.advance(0.2)
        self.assertFalse(self.chain.is_holder())
        self.assertTrue(self.chain.may_order())

    def test_first_order_of_one_of_several_owners(self):
        """Guards against two VMs that both begin with a count of zero."""
        self.chain.is_established = bool
        self.chain.unsure_seconds = LEASE
        self.chain.record_report(report(0))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE + LAG + 0.1)
        self.assertTrue(self.chain.may_order())
        self.assertFalse(self.chain.may_order_uncompared())
        self.advance(LEASE)
        self.assertTrue(self.chain.may_order_uncompared())

    def test_ended_predecessor_of_an_earlier_start(self):
        """Guards against orders without a wait after an engine's restart."""
        self.chain.predecessor_ended = True
        self.chain.record_report(report(5))
        self.chain.restart()
        self.chain.record_report(report(1))
        self.assertFalse(self.chain.may_order())
