"""Orders of two VMs to one engine never take turns within a lease."""

from __future__ import annotations

from flamingovalve.gateway.orders import OrderChain
from tests.rig.engines import report
from tests.rig.timeline import TimedTestCase

LEASE, LAG = 3.0, 0.3


class TestOrderChain(TimedTestCase):
    """What one VM may order, by what it knows."""

    def setUp(self) -> None:
        """Start with a chain that knows nothing."""
        super().setUp()
        self.chain = OrderChain(LEASE, LAG, stands_down_until=0)

    def test_nothing_before_a_report(self):
        self.assertFalse(self.chain.may_order())

    def test_engine_that_obeyed_nobody(self):
        self.chain.note_report(report(0))
        self.assertTrue(self.chain.may_order())

    def test_quiet_lease_before_takeover(self):
        self.chain.note_report(report(7))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE + LAG + 0.1)
        self.assertTrue(self.chain.may_order())

    def test_ended_predecessor_is_not_waited_for(self):
        self.chain.predecessor_ended = True
        self.chain.note_report(report(7))
        self.assertTrue(self.chain.may_order())

    def test_last_order_of_an_ended_predecessor_is_not_another_owners(self):
        """The owner is killed right after an order; its successor looks.

        The report does not show that order yet. When it did, the successor
        took it for a living owner's, and the engine's callers got no load
        for more than a lease.
        """
        self.chain.predecessor_ended = True
        self.chain.note_report(report(7))
        self.chain.note_conflict()
        self.advance(2 * LAG + 0.01)
        self.assertFalse(self.chain.note_report(report(8)))
        self.assertTrue(self.chain.may_order())

    def test_orders_that_go_on_are_another_owners(self):
        """An owner that was thought to have ended goes on ordering."""
        self.chain.predecessor_ended = True
        self.chain.note_report(report(7))
        self.advance(2)
        self.chain.note_report(report(8))
        self.assertFalse(self.chain.may_order())

    def test_order_that_was_none_to_the_engine(self):
        """Guards against an owner that is refused every order for good."""
        self.chain.note_report(report(7))
        self.advance(LEASE + LAG + 0.1)
        self.chain.note_accepted()
        self.chain.note_accepted()
        self.chain.note_conflict()
        self.advance(2)
        self.assertFalse(self.chain.note_report(report(8)))
        self.assertEqual(self.chain.sequence, 8)
        self.assertTrue(self.chain.may_order())
        self.assertFalse(self.chain.note_report(report(8)))

    def test_late_report_does_not_correct_the_count(self):
        """Guards against our own last order taken for another owner's."""
        self.chain.note_report(report(7))
        self.advance(LEASE + LAG + 0.1)
        self.chain.note_accepted()
        self.advance(0.2)
        self.chain.note_report(report(7))
        self.assertEqual(self.chain.sequence, 8)
        self.assertFalse(self.chain.note_report(report(8)))
        self.assertTrue(self.chain.ordered)

    def test_own_orders_are_counted(self):
        self.chain.note_report(report(0))
        self.chain.note_accepted()
        self.assertFalse(self.chain.note_report(report(1)))
        self.assertTrue(self.chain.may_order())

    def test_late_report_is_no_foreign_order(self):
        self.chain.note_report(report(0))
        self.chain.note_accepted()
        self.chain.note_accepted()
        self.assertFalse(self.chain.note_report(report(1)))
        self.assertEqual(self.chain.sequence, 2)

    def test_foreign_order_stands_down_for_more_than_a_lease(self):
        """Another VM took the engine over while this one could not be heard.

        If both went on, each would undo the other's loads, and the engine
        would count two holders that take turns.
        """
        self.chain.note_report(report(0))
        self.chain.note_accepted()
        self.assertTrue(self.chain.note_report(report(2)))
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE)
        self.assertFalse(self.chain.may_order())
        self.advance(LEASE)
        self.assertTrue(self.chain.may_order())

    def test_unanswered_order_that_was_taken(self):
        """The answer to an order was lost on its way.

        Counting it as refused, the next order would name the wrong count and
        the owner would stand down for seconds because of its own order.
        """
        self.chain.note_report(report(0))
        self.chain.note_accepted()
        self.chain.note_unanswered()
        self.assertFalse(self.chain.may_order())
        self.advance(2 * LAG + 0.1)
        self.assertFalse(self.chain.note_report(report(2)))
        self.assertTrue(self.chain.may_order())
        self.assertEqual(self.chain.sequence, 2)

    def test_unanswered_order_that_was_not_taken(self):
        self.chain.note_report(report(0))
        self.chain.note_unanswered()
        self.advance(2 * LAG + 0.1)
        self.assertFalse(self.chain.note_report(report(0)))
        self.assertTrue(self.chain.may_order())
        self.assertEqual(self.chain.sequence, 0)

    def test_conflict_pauses_until_a_report(self):
        self.chain.note_report(report(0))
        self.chain.note_conflict()
        self.assertFalse(self.chain.may_order())
        self.advance(2 * LAG + 0.1)
        self.chain.note_report(report(0))
        self.assertTrue(self.chain.may_order())

    def test_restarted_engine_begins_anew(self):
        self.chain.note_report(report(5))
        self.chain.restart()
        self.chain.note_report(report(0))
        self.assertTrue(self.chain.may_order())
