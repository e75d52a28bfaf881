"""Tests that a slot is free only if the engine is known to have freed it."""

from __future__ import annotations

import unittest

import curio

from flamingovalve.gateway.orders import Action, OrderOutcome
from flamingovalve.gateway.residency.held import AdapterState
from flamingovalve.generated.ids import AdapterId, UpstreamId
from flamingovalve.generated.messages import (
    PlaceEnd,
    PlaceHold,
    PlaceOutcome,
)
from flamingovalve.http.messages import Response
from flamingovalve.platform.upstreams import _order_outcome
from tests.rig.direct_engine import SLOTS, DirectOwner
from tests.rig.engines import MODEL, TRAITS, ask, hold

NAMES = tuple(f'a{number}' for number in range(SLOTS))


class ResidencyTestCase(unittest.TestCase):
    """Provides an owner of one engine with three slots."""

    def setUp(self) -> None:
        """Start the owner."""
        self.rig = DirectOwner()
        self.addCleanup(self.rig.close)
        self.engine, self.link = self.rig.engine, self.rig.link
        self.number = 0

    def request(self, name):
        """Return a new request for an adapter."""
        self.number += 1
        return ask(name, self.number)

    def begin(self, name):
        """Ask for a place without waiting for it."""
        task = self.rig.begin(self.rig.owner.place, self.request(name))
        self.rig.world.advance(0.01)
        return task

    def end(self, place, outcome=PlaceOutcome.FINISHED):
        """Release a place."""
        first_event = 0.1 if outcome is PlaceOutcome.FINISHED else 0
        end = PlaceEnd(outcome, first_event)
        self.rig.run(self.rig.owner.end, place, end)

    def fill(self, *names):
        """Load adapters whose requests end."""
        for name in names:
            place = self.rig.run(self.rig.owner.place, self.request(name))
            self.end(place)
        self.rig.world.advance(1.5)

    def hold_back(self, seconds=0.0, outcome=None, **wanted):
        """Delay or replace the answer to orders with the ``wanted`` fields."""

        async def after(order):
            if all(getattr(order, key) == wanted[key] for key in wanted):
                await curio.sleep(seconds)
                return outcome
            return None

        self.link.after = after

    def lose_next_load(self):
        """Return a list that takes the next load, which has no answer."""
        lost = []

        async def lose(order):
            if lost or order.action is not Action.LOAD:
                return None
            lost.append(order)
            return OrderOutcome.UNKNOWN

        self.link.before = lose
        return lost


class TestUnloads(ResidencyTestCase):
    """What the answer to an unload proves."""

    def test_adapter_that_is_still_loading_keeps_its_slot(self):
        """Guards against an unload that holds, while its load goes on."""
        self.engine.loading['a0'] = 1
        self.rig.owner.adopt_place(
            PlaceHold(self.request('a0'), UpstreamId('engine-0'))
        )
        ledger = self.rig.owned.ledger
        self.end(next(iter(ledger.places.values())), PlaceOutcome.ABANDONED)
        self.fill('a1', 'a2')
        self.begin('a3')
        self.assertEqual(self.rig.unknown(), set())

    def test_unload_frees_only_its_own_entry(self):
        """Guards against a late answer that frees the slot of a new load."""
        self.fill('a0')
        ledger = self.rig.owned.ledger
        self.hold_back(0.2, action=Action.UNLOAD)
        victim = ledger.held[AdapterId('a0')]
        victim.state = AdapterState.UNLOADING
        unload = self.rig.begin(self.rig.owned._unload, victim)
        ledger.forget(victim.name)
        load = hold(ledger, 'a0', AdapterState.LOADING)
        load.is_ordered = False
        self.rig.world.run_until(lambda: unload.terminated, 1)
        self.assertIs(ledger.held.get(victim.name), load)

    def test_adapter_in_use_is_not_forgotten(self):
        """Guards against reports that free the slot of a running request."""
        self.fill('a0', 'a1')
        place = self.rig.run(self.rig.owner.place, self.request('a0'))
        self.engine.resident.pop('a0')
        self.rig.world.advance(2)
        self.assertIn(AdapterId('a0'), self.rig.owned.ledger.held)
        self.end(place)
        self.rig.world.advance(3)
        self.assertNotIn(AdapterId('a0'), self.rig.owned.ledger.held)

    def test_busy_engine_frees_no_slot_by_a_report(self):
        """Guards against reports that hide an adapter whose unload waits."""
        self.fill('a0')
        self.engine.resident.pop('a0')
        self.engine._waiting = {'Op': 'unload', 'Adapter': 'a0'}
        self.rig.world.advance(2)
        self.assertIn(AdapterId('a0'), self.rig.owned.ledger.held)
        self.engine._waiting = None
        self.rig.world.advance(2)
        self.assertNotIn(AdapterId('a0'), self.rig.owned.ledger.held)

    def test_adapter_that_the_engine_refused_is_not_evicted(self):
        """Guards against unloads of adapters that a late unload has dropped."""
        self.fill('a0')
        place = self.rig.run(self.rig.owner.place, self.request('a0'))
        self.engine.resident.pop('a0')
        self.end(place, PlaceOutcome.REFUSED)
        self.rig.world.advance(0.1)
        held = self.rig.owned.ledger.held[AdapterId('a0')]
        self.assertFalse(held.is_idle())

    def test_adapter_of_a_busy_engine_is_not_evicted(self):
        """Guards against evicting what an unload of before is to drop."""
        self.fill('a0')
        self.engine._waiting = {'Op': 'unload', 'Adapter': 'a0'}
        self.rig.world.advance(1)
        held = self.rig.owned.ledger.held[AdapterId('a0')]
        self.assertFalse(held.is_idle())
        self.engine._waiting = None
        self.rig.world.advance(1)
        self.assertTrue(held.is_idle())


class TestLoads(ResidencyTestCase):
    """Which loads occupy a slot."""

    def test_load_without_an_answer_keeps_its_slot(self):
        """Guards against giving the slot of a late load to another one."""
        self.fill('a0', 'a1')
        self.hold_back(outcome=OrderOutcome.UNKNOWN, action=Action.LOAD)
        self.link.report_seconds = 0.4
        self.begin('a2')
        self.assertEqual(self.rig.unknown(), set())

    def test_late_load_keeps_its_slot_until_it_is_excluded(self):
        """Guards against a load that arrives after a report without it."""
        self.fill('a0', 'a1')
        late = self.lose_next_load()
        self.rig.run(self.begin('a2').cancel)
        self.rig.world.advance(1.5)
        self.assertIn(AdapterId('a2'), self.rig.owned.ledger.held)
        self.rig.run(self.link.order, late[0])
        self.rig.world.advance(3)
        self.assertEqual(self.rig.unknown(), set())

    def test_load_without_an_answer_is_ordered_again(self):
        """Guards against requests that wait for a load that never came."""
        self.lose_next_load()
        waiter = self.begin('a0')
        self.rig.world.advance(1.2)
        self.assertTrue(waiter.terminated)

    def test_loads_after_a_pause(self):
        """Guards against an owner that takes its order for another VM's."""
        self.rig.run(self.begin('a0').join)
        self.rig.world.advance(10)
        self.begin('a1')
        self.rig.world.advance(1)
        self.begin('a2')
        self.rig.world.advance(1)
        self.assertLessEqual({'a1', 'a2'}, self.engine.occupying())

    def test_late_load_at_a_count_that_the_engine_reaches_later(self):
        """Guards against an unload that holds and is counted nevertheless."""
        self.fill(*NAMES)
        places = [
            self.rig.run(self.rig.owner.place, self.request(name))
            for name in NAMES[1:]
        ]
        self.engine.resident.pop('a0')
        late = self.lose_next_load()
        self.rig.run(self.begin('a3').cancel)
        self.rig.world.advance(3)
        for place in places:
            self.end(place)
        self.rig.run(self.rig.owner.place, self.request('a4'))
        self.rig.run(self.link.order, late[0])
        self.assertEqual(self.engine.crashes, 0)

    def test_replacement_of_a_load_that_fails(self):
        """Guards against a slot that was only expected from a failed unload."""
        self.fill(*NAMES)
        answers = [OrderOutcome.REFUSED]

        async def refuse(order):
            if order.action is not Action.UNLOAD or not answers:
                return None
            await curio.sleep(0.3)
            return answers.pop()

        self.link.before = refuse
        waiter = self.begin('a3')
        self.rig.run(waiter.cancel)
        self.rig.catalogue._versions[MODEL, 'a3'] = 2
        self.begin('a3')
        self.rig.world.advance(2)
        self.assertEqual(self.engine.crashes, 0)

    def test_queued_load_of_a_released_engine(self):
        """Guards against loads that the next owner of an engine lacks."""
        self.fill('a0')
        self.hold_back(0.3, adapter='a1')
        self.begin('a1')
        self.begin('a2')
        self.rig.run(self.rig.owner.replace_engines, [], TRAITS)
        self.rig.world.advance(1)
        self.assertEqual(self.engine.occupying(), {'a0', 'a1'})

    def test_unexpected_status_of_an_order(self):
        """Guards against statuses that do not say whether it is executed."""
        outcomes = [
            _order_outcome(Response(400)),
            _order_outcome(Response(503, [('not-executed', '1')])),
            _order_outcome(Response(503)),
            _order_outcome(Response(500)),
        ]
        refused, unknown = OrderOutcome.REFUSED, OrderOutcome.UNKNOWN
        self.assertEqual(outcomes, [refused, refused, unknown, unknown])


class TestCounts(ResidencyTestCase):
    """Which answers and reports change the count of orders."""

    def test_answer_slower_than_a_report(self):
        """Guards against counting an order of one's own twice."""
        self.fill('a0')
        self.hold_back(0.9, adapter='a1')
        self.begin('a1')
        self.rig.world.advance(1)
        self.assertEqual(self.rig.owned.ledger.chain.sequence, 2)
        self.assertEqual(self.rig.owner.counts.foreign, 0)

    def test_report_of_before_a_pause(self):
        """Guards against a process that was frozen and reads an old report."""
        self.fill('a0')
        self.link.report_seconds = 2.5
        self.rig.world.advance(0.8)
        self.link.report_seconds = 0
        self.fill('a1')
        for _poll in range(20):
            self.rig.world.advance(0.1)
            self.assertEqual(self.rig.unknown(), set())

    def test_answer_of_before_a_restart(self):
        """Guards against counting an order of an engine's earlier start."""
        self.fill('a0')
        self.hold_back(0.9, adapter='a1')
        self.begin('a1')
        self.engine.restart()
        self.engine.models.append('base')
        self.rig.world.advance(0.95)
        chain = self.rig.owned.ledger.chain
        self.assertLessEqual(chain.sequence, self.engine.sequence)

    def test_conflict_needs_a_report(self):
        """Guards against further orders at a count that the engine refused."""
        self.fill('a0')
        self.link.report_seconds = 2.5
        self.rig.world.advance(0.8)
        self.engine.sequence += 1
        self.begin('a1')
        self.rig.world.advance(0.8)
        self.begin('a2')
        self.assertEqual(self.rig.owner.counts.conflicts, 1)


class TestModels(ResidencyTestCase):
    """Which base models may be on their way to an engine."""

    def test_loads_after_a_restart_wait_for_no_lease(self):
        """Guards against an owner that does not know its own model order."""
        self.rig.owned.ledger.chain.predecessor_ended = False
        self.engine.restart()
        self.rig.world.advance(2)
        self.assertIn('load base', [done[2] for done in self.engine.orders])
        self.begin('a0')
        self.assertIn('a0', self.engine.occupying())

    def test_model_whose_order_has_no_answer_may_be_loading(self):
        """Guards against fetching a base model beside one without answer."""
        self.engine.restart()
        self.engine.load_seconds = 3.0
        self.hold_back(outcome=OrderOutcome.UNKNOWN, adapter='')
        self.rig.world.advance(1)
        self.assertEqual(self.engine.sequence, 1)
        self.assertTrue(self.rig.owned.ledger.is_loading_model())
