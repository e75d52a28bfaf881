"""What owners learn of engines, whatever the first guess was."""

from __future__ import annotations

from flamingovalve.gateway.learning import (
    KeptAdapters,
    LoadTimes,
    MeanSeconds,
    PlaceInterval,
)
from flamingovalve.generated.ids import AdapterId
from tests.rig.engines import hold, ledger
from tests.rig.timeline import TimedTestCase


class TestKeptAdapters(TimedTestCase):
    """An engine that keeps some adapters at hand after their unload."""

    def play(self, kept, capacity):
        """Load adapters in turn from an engine that keeps ``capacity``."""
        memory = []
        for number in range(4000):
            name = AdapterId(f'a{number * 7 % 300}')
            presumed = name in kept
            if presumed and name in memory[-capacity:]:
                kept.record_kept(name)
            elif presumed:
                kept.record_dropped(name)
            if name in memory:
                memory.remove(name)
            memory.append(name)
            kept.record_unload(name)
            if number % 3 == 0:
                again = memory[-1 - number % min(200, len(memory))]
                if again in kept:
                    found = again in memory[-capacity:]
                    note = kept.record_kept if found else kept.record_dropped
                    note(again)

    def test_size_of_the_memory_is_found_out(self):
        for capacity in (10, 108):
            kept = KeptAdapters()
            self.play(kept, capacity)
            self.assertGreater(kept.capacity, 0.7 * capacity)
            self.assertLess(kept.capacity, 1.3 * capacity)

    def test_request_refused_for_want_of_its_adapter_waits_for_the_fetch(self):
        """An engine has dropped an adapter that it was thought to keep.

        The request was sent again and again within a tenth of the time that
        the fetch takes, and failed after the last try.
        """
        engine = ledger()
        engine.kept.record_unload(AdapterId('a'))
        held = hold(engine, 'a')
        engine.record_load_accepted(held)
        self.assertLess(held.ready_at - self.moment, 0.1)
        self.advance(0.03)
        engine.note_adapter_missing(AdapterId('a'))
        self.assertGreater(held.ready_at - self.moment, 0.2)


class TestHold(TimedTestCase):
    """Services whose requests take very different times."""

    def test_time_is_learnt_within_a_fifth(self):
        for seconds in (0.05, 0.4, 5.0):
            holds = MeanSeconds(1)
            for _request in range(40):
                holds.note(seconds)
            self.assertAlmostEqual(holds.mean, seconds, delta=seconds / 5)


class TestTurnover(TimedTestCase):
    """How soon those who wait get a place."""

    def test_rate_is_learnt(self):
        turnover = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            turnover.record_place()
        each = turnover.expected_seconds(1, has_waiting_requests=True)
        self.assertAlmostEqual(each, 0.02, delta=0.004)

    def test_standstill_shows(self):
        """No place has come free for seconds.

        Going by what was seen before, requests were let wait in vain.
        """
        turnover = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            turnover.record_place()
        self.advance(5)
        each = turnover.expected_seconds(1, has_waiting_requests=True)
        self.assertGreater(each, 3)

    def test_idle_time_is_no_standstill(self):
        """Nobody has waited for a while, then a request finds all taken.

        Taken for a standstill, the quiet time had the first of a burst count
        as late, and a group that was idle look slower than a busy one.
        """
        turnover = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            turnover.record_place()
        self.advance(30)
        self.assertLess(
            turnover.expected_seconds(1, has_waiting_requests=False), 0.1
        )
        turnover.restart()
        self.assertLess(
            turnover.expected_seconds(1, has_waiting_requests=True), 0.1
        )


class TestLoadTimes(TimedTestCase):
    """Weight stores of different speeds."""

    def play(self, seconds, full_speed, under_way):
        """Load from a store for a while; give what is then expected."""
        loads = LoadTimes()
        missed = 0
        for _load in range(400):
            loads.under_way = under_way - 1
            load = loads.expected(is_kept=False)
            taken = seconds * max(1, under_way / full_speed)
            if load.ready_at - self.moment >= taken:
                loads.record_hit(load)
            else:
                loads.record_miss(load)
                missed += 1
        loads.under_way = under_way - 1
        load = loads.expected(is_kept=False)
        return load.ready_at - self.moment, missed

    def test_store_that_serves_many_at_once(self):
        """A store serves three times as many loads at full speed as guessed.

        Each load was waited for three times as long as it took, and as an
        engine takes four at once, its idle slots stayed empty meanwhile.
        """
        expected, missed = self.play(0.25, 24, 24)
        self.assertLess(expected, 0.25 * 1.2)
        self.assertLess(missed, 40)

    def test_store_that_is_slower_than_guessed(self):
        expected, _missed = self.play(1.0, 24, 2)
        self.assertAlmostEqual(expected, 1.0, delta=0.2)

    def test_store_that_serves_few_at_once(self):
        expected, missed = self.play(0.25, 4, 20)
        self.assertAlmostEqual(expected, 1.25, delta=0.25)
        self.assertLess(missed, 60)
