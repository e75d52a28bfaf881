"""Which waiting requests are refused, and when they should come back."""

from __future__ import annotations

from flamingovalve.gateway.admission import Admission, Line
from flamingovalve.gateway.waiting import Waiter
from tests.rig.engines import ask, hold, ledger
from tests.rig.timeline import TimedTestCase

LEASE = 3.0


class TestAdmission(TimedTestCase):
    """One request that waits, some engines."""

    def setUp(self) -> None:
        """Start with an engine whose places are all taken."""
        super().setUp()
        self.engine = ledger('engine-0')
        for number in range(8):
            hold(self.engine, f'a{number}', uses=1)

    def find_refusal(self, request, ahead=0):
        """Judge one request."""
        return Admission().find_refusal(request, Line(ahead), [self.engine])

    def test_short_queue_is_waited_for(self):
        self.assertIsNone(self.find_refusal(ask('new')))

    def test_long_queue_is_not(self):
        refusal = self.find_refusal(ask('new'), ahead=40)
        self.assertGreater(refusal.retry_after, 1)

    def test_engine_with_too_much_to_read(self):
        self.engine.prefill.add(0, 10)
        refusal = self.find_refusal(ask('new'))
        self.assertGreater(refusal.retry_after, 5)

    def test_no_engine_at_all(self):
        refusal = Admission().find_refusal(ask('new'), Line(0), [])
        self.assertGreater(refusal.retry_after, 0)

    def test_model_that_no_engine_holds(self):
        """Guards against a caller that is told to come back in inf seconds."""
        self.engine.models.clear()
        refusal = self.find_refusal(ask('new'))
        self.assertTrue(0 < refusal.retry_after < 10, refusal)

    def test_owner_that_may_not_load_yet_says_when(self):
        """All processes ended, and the new owner orders nothing for a lease.

        Callers of adapters that no engine holds waited for it until they
        left, and were not told when to come back.
        """
        self.engine.chain.stands_down_until = self.moment + LEASE
        refusal = self.find_refusal(ask('new'))
        self.assertGreaterEqual(refusal.retry_after, LEASE)
        self.assertIsNone(self.find_refusal(ask('a1')))

    def test_waiting_uses_up_patience(self):
        """A caller has waited for two seconds when a place comes free.

        It got the place and left before its first event.
        """
        waiter = Waiter(ask('new', patience=2.1), self.moment, self.moment)
        self.advance(2)
        waiter.update_times()
        self.assertAlmostEqual(waiter.ask.patience, 0.1)
        self.assertIsNotNone(self.find_refusal(waiter.ask))

    def test_pause_of_loads_is_no_slow_queue(self):
        """Guards against refusing who could wait until loads begin again."""
        admission = Admission()
        engines = [self.engine]
        self.engine.chain.stands_down_until = self.moment + 1
        for _look in range(9):
            self.advance(0.1)
            line = Line(2, is_late=True)
            refusal = admission.find_refusal(
                ask('new', patience=2), line, engines
            )
            self.assertIsNone(refusal)
        self.advance(0.15)
        line = Line(2, is_late=True)
        self.assertIsNone(admission.find_refusal(ask('new'), line, engines))
