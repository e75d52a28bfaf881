"""Tests of the refusal of waiting requests and of their retry times."""

from __future__ import annotations

from flamingovalve.gateway.admission import Admission, QueuePosition
from flamingovalve.gateway.waiting import Waiter
from tests.rig.engines import ask, hold, ledger
from tests.rig.timeline import TimedTestCase

LEASE = 3.0


class TestAdmission(TimedTestCase):
    """Refusal of one waiting request."""

    def setUp(self) -> None:
        """Start with an engine whose adapters are all in use."""
        super().setUp()
        self.engine = ledger('engine-0')
        for number in range(8):
            hold(self.engine, f'a{number}', uses=1)

    def find_refusal(self, request, ahead=0):
        """Return the refusal of one request, if any."""
        return Admission().find_refusal(
            request, QueuePosition(ahead), [self.engine]
        )

    def test_short_queue_is_accepted(self):
        self.assertIsNone(self.find_refusal(ask('new')))

    def test_long_queue_is_refused(self):
        refusal = self.find_refusal(ask('new'), ahead=40)
        self.assertGreater(refusal.retry_after, 1)

    def test_long_prefill_backlog_is_refused(self):
        self.engine.prefill.add(0, 10)
        refusal = self.find_refusal(ask('new'))
        self.assertGreater(refusal.retry_after, 5)

    def test_group_without_engines_is_refused(self):
        refusal = Admission().find_refusal(ask('new'), QueuePosition(0), [])
        self.assertGreater(refusal.retry_after, 0)

    def test_model_without_engine_has_finite_retry_time(self):
        """Guards against an infinite retry time."""
        self.engine.models.clear()
        refusal = self.find_refusal(ask('new'))
        self.assertTrue(0 < refusal.retry_after < 10, refusal)

    def test_retry_time_covers_pause_of_orders(self):
        """Guards against waiting for an owner that may not order loads yet.

        A new owner sends no orders for one lease. Callers of adapters that no
        engine holds waited until they disconnected, without a retry time.
        """
        self.engine.chain.paused_until = self.current_time + LEASE
        refusal = self.find_refusal(ask('new'))
        self.assertGreaterEqual(refusal.retry_after, LEASE)
        self.assertIsNone(self.find_refusal(ask('a1')))

    def test_waiting_reduces_patience(self):
        """Guards against ignoring the time that a request has waited.

        A request got a place after two seconds, and its caller disconnected
        before the first event.
        """
        waiter = Waiter(
            ask('new', patience=2.1), self.current_time, self.current_time
        )
        self.advance(2)
        waiter.update_times()
        self.assertAlmostEqual(waiter.ask.patience, 0.1)
        self.assertIsNotNone(self.find_refusal(waiter.ask))

    def test_pause_of_loads_is_not_a_slow_queue(self):
        """Guards against refusals while loads are only paused."""
        admission = Admission()
        engines = [self.engine]
        self.engine.chain.paused_until = self.current_time + 1
        for _check in range(9):
            self.advance(0.1)
            position = QueuePosition(2, is_late=True)
            refusal = admission.find_refusal(
                ask('new', patience=2), position, engines
            )
            self.assertIsNone(refusal)
        self.advance(0.15)
        position = QueuePosition(2, is_late=True)
        self.assertIsNone(admission.find_refusal(ask('new'), position, engines))
