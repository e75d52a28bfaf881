"""Scheduling of one engine under load and faults."""

from __future__ import annotations

import json
import unittest

from flamingovalve.engines.store import StoreShare
from flamingovalve.generated.settings import SchedulingSettings
from tests.rig.fleet import (
    Fleet,
    Shape,
    completion_call,
    error_type,
    outcome_of,
    ran,
)

OK = 200


class SchedulingCase(unittest.TestCase):
    """One engine owned by one VM."""

    shape = Shape(vms=1, engines=1, adapters=40, slots=4, batch=8)

    def setUp(self):
        """Start a fleet and let it run for 8 s."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(8)
        self.engine = self.fleet.engines_by_id['engine-0']

    def start(self, adapter, application='studio', **options):
        """Send a completion without waiting for the response."""
        address = self.fleet.vms_by_id['vm-0'].http_address
        call = completion_call(
            f'adapter-{adapter}',
            'hello',
            application,
            **options,
        )
        return self.fleet.caller.start(address, call, 119)

    def seconds_of(self, task):
        """Wait for a request; return the seconds that it took from now."""
        started = self.fleet.world.current_time
        done = self.fleet.world.run_until(lambda: task.terminated, 120)
        self.assertTrue(done)
        self.assertEqual(outcome_of(task).status, OK)
        return self.fleet.world.current_time - started

    def scheduler(self):
        """Return the scheduler of the engine."""
        owner = self.fleet.daemon('vm-0').engines.find('engine-0')
        return owner.scheduler


class SlotsTest(SchedulingCase):
    """More adapters are requested than the engine has slots."""

    def flood(self, adapters, seconds, rate):
        """Send ordinary requests for some adapters at a constant rate."""
        tasks = []
        for turn in range(int(seconds * rate)):
            tasks.append(self.start(turn % adapters, max_tokens=40))
            self.fleet.world.advance(1 / rate)
        return tasks

    def test_urgent_request_gets_a_slot_in_a_flood(self):
        """Every slot holds an adapter that always has a request queued.

        An urgent request for another adapter must not wait until the flood
        is over; such requests once waited 17 s at the 99th percentile.
        """
        self.flood(4, seconds=6, rate=20)
        self.start(30, 'urgent', max_tokens=5)
        urgent = self.start(31, 'urgent', max_tokens=5)
        self.flood(4, seconds=4, rate=20)
        self.assertTrue(urgent.terminated)
        self.assertEqual(outcome_of(urgent).status, OK)

    def test_ordinary_requests_are_not_starved(self):
        """Urgent requests alone would use all seats of the engine.

        An ordinary request is dispatched after the starvation time.
        """
        ordinary = None
        for turn in range(600):
            self.start(turn % 3, 'urgent', max_tokens=40)
            if turn == 100:
                ordinary = self.start(9, max_tokens=5)
            self.fleet.world.advance(0.05)
        self.assertTrue(ordinary.terminated)
        self.assertEqual(outcome_of(ordinary).status, OK)

    def test_each_adapter_is_loaded_once_while_it_fits(self):
        """A report that was taken before a load ended lacks the adapter.

        It must not make the scheduler load the adapter a second time.
        """
        for _turn in range(20):
            for adapter in range(4):
                self.start(adapter, max_tokens=3)
            self.fleet.world.advance(0.4)
        self.fleet.world.advance(10)
        self.assertEqual(self.scheduler().counts.loads, 4)

    def test_rare_adapter_is_evicted_before_frequent_ones(self):
        """Three adapters are requested all the time, others once each.

        Those requested once are evicted; the frequent ones stay loaded.
        """
        for turn in range(30):
            for adapter in range(3):
                self.start(adapter, max_tokens=2)
            if turn % 3 == 0:
                self.start(10 + turn, max_tokens=2)
            self.fleet.world.advance(0.7)
        self.fleet.world.advance(20)
        self.assertLessEqual(self.scheduler().counts.loads, 3 + 10 + 2)


class StoreTest(SchedulingCase):
    """Loads are limited by the weight store."""

    shape = Shape(vms=1, engines=1, adapters=60, slots=40, batch=8)

    def test_slow_store_does_not_idle_ready_adapters(self):
        """Many adapters wait for the store while slots are free.

        Requests for ready adapters must still be dispatched. They were held
        back when loads that wait for the store counted as lacking a slot.
        """
        self.seconds_of(self.start(0))
        self.fleet.store.slowdown = 20
        for adapter in range(10, 40):
            self.start(adapter, 'urgent')
        self.fleet.world.advance(1)
        self.assertLess(self.seconds_of(self.start(0, max_tokens=5)), 2)

    def test_uniformly_slow_store_does_not_shrink_the_share(self):
        """Every load takes three times as long, however few are running.

        Starting fewer loads would not make them faster, so the share
        recovers.
        """
        share = StoreShare('vm-0', SchedulingSettings())
        for _load in range(60):
            share.start()
            share.ended(0.75)
        for _load in range(8):
            self.assertTrue(share.start())
        self.assertFalse(share.start())

    def test_store_that_slows_under_load_gets_fewer_loads(self):
        """Loads take longer the more are running, so fewer are started."""
        share = StoreShare('vm-0', SchedulingSettings())
        for _load in range(10):
            share.start()
            share.ended(0.25)
            share.start()
            share.ended(2.0)
        share.record_waiting(self, 20)
        started = sum(share.start() for _load in range(20))
        self.assertLess(started, 8)

    def test_failed_and_instant_loads_are_not_measured(self):
        """An engine that already holds the adapter answers at once.

        If such a load counted as the store's speed, every real load would
        look slow from then on, and the share would stay too small.
        """
        share = StoreShare('vm-0', SchedulingSettings())
        for seconds in (0.0, None, 0.25, 0.25, 0.25):
            share.start()
            share.ended(seconds)
        share.record_waiting(self, 20)
        self.assertEqual(sum(share.start() for _load in range(20)), 8)


class ColdStartTest(SchedulingCase):
    """Every engine restarts at once."""

    shape = Shape(vms=3, engines=4, adapters=60, slots=12, batch=8)

    def test_every_request_is_answered(self):
        """All engines restart empty while requests keep arriving."""
        for engine in self.fleet.engines_by_id.values():
            self.fleet.node_named(engine.name).spawn(engine.crash)
        tasks = []
        for turn in range(80):
            tasks.append(self.start(turn % 40, max_tokens=4))
            self.fleet.world.advance(0.1)
        done = self.fleet.world.run_until(
            lambda: all(task.terminated for task in tasks),
            60,
        )
        self.assertTrue(done)
        answered = [outcome_of(task).status for task in tasks]
        self.assertGreaterEqual(answered.count(OK), 78)
        self.assertLessEqual(self.fleet.store.most_loading, 16)


class OverloadTest(SchedulingCase):
    """More requests than the engine can serve."""

    shape = Shape(vms=1, engines=1, adapters=4, slots=4, batch=4)

    def test_overload_is_refused_at_once_with_retry_after(self):
        """Requests arrive at five times the capacity for ten seconds.

        Those that can meet their deadline are served. The others are refused
        at once, as not run and with Retry-After, instead of being refused
        after a wait.
        """
        tasks = []
        for turn in range(400):
            sent_at = self.fleet.world.current_time
            task = self.start(turn % 4, max_tokens=50, deadline=4)
            self.fleet.world.advance(0.025)
            tasks.append((sent_at, task))
        self.fleet.world.advance(10)
        outcomes = [outcome_of(task) for _sent_at, task in tasks]
        answered = [answer for answer in outcomes if answer.status == OK]
        refused = [answer for answer in outcomes if answer.status == 503]
        self.assertGreaterEqual(len(answered), 34)
        self.assertGreater(len(refused), 200)
        for answer in refused:
            self.assertEqual(error_type(answer), 'deadline_too_short')
            self.assertEqual(ran(answer), 'no')
            self.assertGreaterEqual(int(answer.header('retry-after')), 1)

    def test_queue_is_bounded(self):
        """Requests over the limit of an engine's queue are refused."""
        self.seconds_of(self.start(0))
        self.fleet.daemon('vm-0').settings.limits.queue_requests = 5
        tasks = [self.start(0, max_tokens=100) for _turn in range(12)]
        self.fleet.world.advance(1)
        refused = [outcome_of(task) for task in tasks if task.terminated]
        self.assertEqual(len(refused), 3)
        kinds = {json.loads(answer.body)['error']['type'] for answer in refused}
        self.assertEqual(kinds, {'overloaded'})
