"""Tests of the choice of an engine and of an eviction victim."""

from __future__ import annotations

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.gateway.residency.held import AdapterState
from flamingovalve.generated.ids import AdapterId, ModelId
from tests.rig.engines import MODEL, ask, hold, ledger, report
from tests.rig.timeline import TimedTestCase

SLOTS = 8


class TestChoice(TimedTestCase):
    """Choice of an engine for one request."""

    def setUp(self) -> None:
        """Start without request rates."""
        super().setUp()
        self.popularity = Popularity()

    def choose(self, request, *engines, version=0):
        """Choose among ``engines``."""
        return dispatch.choose(request, engines, self.popularity, version)

    def test_holder_is_preferred(self):
        other, holder = ledger('engine-0'), ledger('engine-1', 'a')
        choice = self.choose(ask('a'), other, holder)
        self.assertIs(choice.engine, holder)
        self.assertFalse(choice.load)

    def test_long_backlog_outweighs_fetch(self):
        holder, other = ledger('engine-0', 'a'), ledger('engine-1')
        holder.prefill.add(0, 3)
        choice = self.choose(ask('a'), holder, other)
        self.assertIs(choice.engine, other)
        self.assertTrue(choice.load)

    def test_kept_adapter_avoids_fetch(self):
        other, previous = ledger('engine-0'), ledger('engine-1', 'a')
        previous.forget(AdapterId('a'))
        choice = self.choose(ask('a'), other, previous)
        self.assertIs(choice.engine, previous)

    def test_long_prompt_of_a_cold_adapter_stays_in_its_group(self):
        """Guards against declining an adapter in every group in turn."""
        request = ask('a', prompt_tokens=9000)
        engine = ledger()
        request.target = engine.prefill_seconds(request)
        self.assertTrue(
            dispatch.is_acceptable(request, self.choose(request, engine))
        )

    def test_queue_of_other_requests_is_a_reason_to_decline(self):
        """Guards against queueing while another group is idle."""
        request = ask('a')
        engine = ledger('engine-0', 'a')
        engine.prefill.add(0, 0.8 * request.target)
        choice = self.choose(request, engine)
        self.assertFalse(dispatch.is_acceptable(request, choice))

    def test_least_requested_idle_adapter_is_evicted(self):
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS)))
        engine.held[AdapterId('a0')].uses = 1
        for number in range(2, SLOTS):
            self.popularity.record(AdapterId(f'a{number}'))
        choice = self.choose(ask('new'), engine)
        self.assertEqual(choice.victim.name, 'a1')

    def test_unconfirmed_adapter_is_not_evicted(self):
        """Guards against the eviction of an adapter that is still loading."""
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS)))
        for held in engine.held.values():
            held.is_confirmed = False
        self.assertIsNone(self.choose(ask('new'), engine))
        engine.record_adapter_present(AdapterId('a3'))
        self.assertEqual(self.choose(ask('new'), engine).victim.name, 'a3')

    def test_adapter_in_use_is_not_evicted(self):
        engine = ledger('engine-0')
        for number in range(SLOTS):
            hold(engine, f'a{number}', uses=1)
        self.assertIsNone(self.choose(ask('new'), engine))

    def test_adapter_is_not_loaded_during_its_unload(self):
        """Guards against loading an adapter while its unload is in progress.

        The end of the unload also removed the new load from the ledger. One
        more load followed, and the engine crashed with all its requests.
        """
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS - 1)))
        hold(engine, 'going', AdapterState.UNLOADING)
        self.assertIsNone(self.choose(ask('going'), engine))

    def test_old_version_is_replaced(self):
        engine = ledger('engine-0', 'a')
        choice = self.choose(ask('a'), engine, version=2)
        self.assertTrue(choice.load)
        self.assertIsNone(choice.victim)

    def test_old_version_in_use_is_not_replaced(self):
        engine = ledger('engine-0', 'a')
        engine.held[AdapterId('a')].uses = 1
        self.assertIsNone(self.choose(ask('a'), engine, version=2))

    def test_engines_with_partial_failures_go_on_serving(self):
        """Guards against pausing engines that fail only some requests.

        While every engine failed four requests in ten, each failure paused an
        engine, longer each time. Half of the requests that could have been
        served were refused because no place was left.
        """
        engines = [ledger(f'engine-{n}', 'a') for n in range(3)]
        served = 0
        for number in range(60):
            choice = self.choose(ask('a', number), *engines)
            self.assertIsNotNone(choice)
            failed = number % 5 < 2
            served += not failed
            choice.engine.record_outcome(failed=failed)
            self.advance(0.05)
        self.assertTrue(all(engine.is_usable() for engine in engines))
        self.assertEqual(served, 36)

    def test_engine_with_fewer_failures_is_preferred(self):
        failing, healthy = ledger('engine-0', 'a'), ledger('engine-1', 'a')
        for _request in range(5):
            failing.record_outcome(failed=True)
        choice = self.choose(ask('a'), failing, healthy)
        self.assertIs(choice.engine, healthy)

    def test_new_engine_is_not_overloaded(self):
        """Guards against assigning all long prompts to a new engine.

        An engine was added while the others had no place left. It got every
        long prompt, and its prefill backlog exceeded every caller's patience.
        """
        fresh = ledger('engine-0')
        granted = 0
        for number in range(12):
            request = ask(
                f'a{number % 8}', number, prompt_tokens=9000, parts=[]
            )
            choice = self.choose(request, fresh)
            if choice is None:
                continue
            granted += 1
            if choice.load:
                hold(fresh, request.adapter)
            fresh.take(request)
            self.assertLess(choice.wait, 0.6 * request.patience)
        self.assertGreater(granted, 3)
        self.assertLess(granted, 9)

    def test_short_prompt_avoids_engine_with_long_prefill(self):
        """Guards against queueing a short prompt after a long prefill.

        An engine finishes a long prefill that it has begun, even of a less
        urgent request. A short urgent request sent there waited for half a
        second while another engine was idle.
        """
        busy, idle = ledger('engine-0', 'a'), ledger('engine-1', 'a')
        busy.take(ask('a', 1, prompt_tokens=30_000, parts=[], priority=2))
        question = ask('a', 2, prompt_tokens=500, parts=[], priority=0)
        self.assertIs(self.choose(question, busy, idle).engine, idle)

    def test_full_batch_takes_no_more(self):
        engine = ledger('engine-0', 'a')
        for number in range(engine.traits.batch):
            engine.take(ask('a', number))
        self.assertIsNone(self.choose(ask('a', 999), engine))

    def test_engine_without_the_model_is_not_chosen(self):
        engine = ledger('engine-0')
        engine.models.clear()
        self.assertIsNone(self.choose(ask(), engine))


class TestModels(TimedTestCase):
    """Choice of the model that an empty engine loads."""

    def test_only_model_is_chosen(self):
        empty = ledger('engine-0')
        empty.models.clear()
        chosen = dispatch.model_in_demand([empty, ledger('engine-1')], {})
        self.assertEqual(chosen, 'base')

    def test_one_model_is_fetched_at_a_time(self):
        """Guards against concurrent model fetches by replaced engines.

        Two engines that were replaced together fetched the model from the
        store at once, so neither served for twice the time of one fetch.
        """
        first, second = ledger('engine-0'), ledger('engine-1')
        for engine in (first, second):
            engine.models.clear()
        self.assertFalse(dispatch.is_fetching([first, second]))
        first.fetches_model = True
        first.model_ready_at = self.current_time + 2
        self.assertTrue(dispatch.is_fetching([first, second]))
        first.models.add(MODEL)
        self.assertFalse(dispatch.is_fetching([first, second]))

    def test_model_from_disk_does_not_count_as_fetch(self):
        engine = ledger('engine-0')
        engine.models.clear()
        engine.model_ready_at = self.current_time + 2
        self.assertFalse(dispatch.is_fetching([engine]))

    def test_no_engine_needs_no_model(self):
        self.assertEqual(dispatch.model_in_demand([], {}), ModelId(''))


class TestLedger(TimedTestCase):
    """The state of an engine that its owner keeps."""

    def test_shared_parts_are_prefilled_once(self):
        engine = ledger('engine-0', 'a')
        first = engine.prefill_seconds(ask('a'))
        engine.take(ask('a'))
        self.assertLess(engine.prefill_seconds(ask('a', 1)), first / 2)
        self.assertEqual(engine.prefill_seconds(ask('b', 2)), first)

    def test_repeated_release_counts_once(self):
        engine = ledger('engine-0', 'a')
        place = engine.take(ask('a'))
        engine.give_back(place)
        engine.give_back(place)
        self.assertEqual(engine.held[AdapterId('a')].uses, 0)

    def test_report_of_old_version_does_not_complete_the_load(self):
        """Guards against mistaking the replaced version for the new one.

        A report showed the version that was being replaced. Requests then
        named the old version and the engine refused them.
        """
        engine = ledger('engine-0')
        loading = hold(engine, 'a', AdapterState.LOADING)
        loading.version = 2
        engine.adopt(report(0, 'a'))
        self.assertIs(loading.state, AdapterState.LOADING)
        self.assertEqual(loading.version, 2)

    def test_place_reported_twice_counts_once(self):
        """Guards against counting a place that is reported twice as two.

        A VM reported one place twice to a new owner. After its release the
        adapter still counted as in use.
        """
        engine = ledger('engine-0', 'a')
        first = engine.take(ask('a'))
        second = engine.take(ask('a'))
        engine.give_back(first)
        engine.give_back(second)
        self.assertEqual(engine.held[AdapterId('a')].uses, 0)
        self.assertFalse(engine.places)

    def test_queued_load_keeps_its_slot(self):
        """Guards against forgetting a load whose order is still queued.

        Orders to an engine can be slow, and reports do not show a queued load.
        Its slot was given to one more adapter, and the engine crashed when
        both were loaded.
        """
        engine = ledger('engine-0')
        waiting = hold(engine, 'a', AdapterState.LOADING)
        waiting.is_ordered = False
        self.advance(5)
        engine.adopt(report(0))
        self.assertIn(AdapterId('a'), engine.held)
        waiting.is_ordered = True
        engine.adopt(report(0))
        self.assertNotIn(AdapterId('a'), engine.held)

    def test_slots_fit_beside_model_weights(self):
        engine = ledger('engine-0')
        self.assertEqual(engine.slots(), SLOTS)
        engine.models.clear()
        self.assertEqual(engine.slots(), SLOTS)
