"""Tests of estimates that converge from any initial estimate."""

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
    """An engine that keeps some adapters in memory after their unload."""

    def simulate(self, kept, capacity):
        """Simulate loads on an engine that keeps ``capacity`` adapters."""
        memory = []
        for number in range(4000):
            name = AdapterId(f'a{number * 7 % 300}')
            is_expected = name in kept
            if is_expected and name in memory[-capacity:]:
                kept.record_kept(name)
            elif is_expected:
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

    def test_capacity_is_estimated(self):
        for capacity in (10, 108):
            kept = KeptAdapters()
            self.simulate(kept, capacity)
            self.assertGreater(kept.capacity, 0.7 * capacity)
            self.assertLess(kept.capacity, 1.3 * capacity)

    def test_missing_adapter_is_awaited_for_a_fetch(self):
        """Guards against retries that end before a fetch can complete.

        An engine had dropped an adapter that was assumed to be kept. The
        request used all its attempts within a tenth of the fetch time and
        failed.
        """
        engine = ledger()
        engine.kept.record_unload(AdapterId('a'))
        held = hold(engine, 'a')
        engine.record_load_accepted(held)
        self.assertLess(held.ready_at - self.current_time, 0.1)
        self.advance(0.03)
        engine.record_adapter_missing(AdapterId('a'))
        self.assertGreater(held.ready_at - self.current_time, 0.2)


class TestMeanSeconds(TimedTestCase):
    """Services with requests of very different durations."""

    def test_mean_converges_within_a_fifth(self):
        for seconds in (0.05, 0.4, 5.0):
            holds = MeanSeconds(1)
            for _request in range(40):
                holds.record(seconds)
            self.assertAlmostEqual(holds.mean, seconds, delta=seconds / 5)


class TestPlaceInterval(TimedTestCase):
    """Interval between places granted to waiting requests."""

    def test_interval_is_estimated(self):
        place_interval = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            place_interval.record_place()
        interval = place_interval.expected_seconds(1, has_waiting_requests=True)
        self.assertAlmostEqual(interval, 0.02, delta=0.004)

    def test_stall_extends_the_interval(self):
        """Guards against estimates that ignore a current stall.

        No place came free for seconds. Judged by earlier intervals, requests
        were left to wait in vain.
        """
        place_interval = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            place_interval.record_place()
        self.advance(5)
        interval = place_interval.expected_seconds(1, has_waiting_requests=True)
        self.assertGreater(interval, 3)

    def test_idle_time_is_not_a_stall(self):
        """Guards against counting idle time as a stall.

        After a time without waiting requests, the first of a burst counted as
        late, and an idle group looked slower than a busy one.
        """
        place_interval = PlaceInterval()
        for _place in range(40):
            self.advance(0.02)
            place_interval.record_place()
        self.advance(30)
        self.assertLess(
            place_interval.expected_seconds(1, has_waiting_requests=False), 0.1
        )
        place_interval.restart()
        self.assertLess(
            place_interval.expected_seconds(1, has_waiting_requests=True), 0.1
        )


class TestLoadTimes(TimedTestCase):
    """Load times of weight stores of different speeds."""

    def simulate(self, seconds, full_speed, under_way):
        """Simulate loads from a store.

        :returns: expected seconds of the next load, and the late loads
        """
        loads = LoadTimes()
        missed = 0
        for _load in range(400):
            loads.under_way = under_way - 1
            load = loads.expected(is_kept=False)
            load_seconds = seconds * max(1, under_way / full_speed)
            if load.ready_at - self.current_time >= load_seconds:
                loads.record_hit(load)
            else:
                loads.record_miss(load)
                missed += 1
        loads.under_way = under_way - 1
        load = loads.expected(is_kept=False)
        return load.ready_at - self.current_time, missed

    def test_store_with_more_full_speed_loads(self):
        """Guards against an estimate that stays below the store's capacity.

        A store served three times as many loads at full speed as initially
        estimated. Requests waited three times as long as a load took. As an
        engine allows four concurrent loads, its free slots stayed empty.
        """
        expected, missed = self.simulate(0.25, 24, 24)
        self.assertLess(expected, 0.25 * 1.2)
        self.assertLess(missed, 40)

    def test_store_slower_than_initial_estimate(self):
        expected, _missed = self.simulate(1.0, 24, 2)
        self.assertAlmostEqual(expected, 1.0, delta=0.2)

    def test_store_with_fewer_full_speed_loads(self):
        expected, missed = self.simulate(0.25, 4, 20)
        self.assertAlmostEqual(expected, 1.25, delta=0.25)
        self.assertLess(missed, 60)
