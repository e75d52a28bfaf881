"""Which engine a request gets, and what makes room for its adapter."""

from __future__ import annotations

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.ledger import Holding
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.generated.ids import AdapterId, ModelId
from tests.rig.engines import MODEL, ask, hold, ledger, report
from tests.rig.timeline import TimedTestCase

SLOTS = 8


class TestChoice(TimedTestCase):
    """One request, some engines."""

    def setUp(self) -> None:
        """Start with nothing asked for."""
        super().setUp()
        self.popularity = Popularity()

    def choose(self, request, *engines, version=0):
        """Choose among ``engines``."""
        return dispatch.choose(request, engines, self.popularity, version)

    def test_holder_goes_first(self):
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

    def test_kept_copy_spares_fetch(self):
        other, before = ledger('engine-0'), ledger('engine-1', 'a')
        before.forget(AdapterId('a'))
        choice = self.choose(ask('a'), other, before)
        self.assertIs(choice.engine, before)

    def test_long_prompt_of_a_cold_adapter_stays_in_its_group(self):
        """Guards against adapters that are loaded in every group in turn."""
        request = ask('a', prompt_tokens=9000)
        engine = ledger()
        request.target = engine.prefill_seconds(request)
        self.assertTrue(dispatch.is_good(request, self.choose(request, engine)))

    def test_queue_of_others_is_a_reason_to_decline(self):
        """Guards against waiting behind others beside an idle group."""
        request = ask('a')
        engine = ledger('engine-0', 'a')
        engine.prefill.add(0, 0.8 * request.target)
        choice = self.choose(request, engine)
        self.assertFalse(dispatch.is_good(request, choice))

    def test_rarest_idle_adapter_makes_room(self):
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS)))
        engine.held[AdapterId('a0')].uses = 1
        for number in range(2, SLOTS):
            self.popularity.note(AdapterId(f'a{number}'))
        choice = self.choose(ask('new'), engine)
        self.assertEqual(choice.victim.name, 'a1')

    def test_adapter_that_nobody_has_seen_yet_stays(self):
        """Guards against the unload of an adapter that is on its way."""
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS)))
        for held in engine.held.values():
            held.is_seen = False
        self.assertIsNone(self.choose(ask('new'), engine))
        engine.note_adapter_present(AdapterId('a3'))
        self.assertEqual(self.choose(ask('new'), engine).victim.name, 'a3')

    def test_adapter_in_use_stays(self):
        engine = ledger('engine-0')
        for number in range(SLOTS):
            hold(engine, f'a{number}', uses=1)
        self.assertIsNone(self.choose(ask('new'), engine))

    def test_leaving_adapter_is_not_loaded_beside_its_unload(self):
        """An adapter's unload is under way when a request asks for it.

        A load ordered now was forgotten together with the unload, one more
        load followed, and the engine crashed with all that it ran.
        """
        engine = ledger('engine-0', *(f'a{n}' for n in range(SLOTS - 1)))
        hold(engine, 'going', Holding.GOING)
        self.assertIsNone(self.choose(ask('going'), engine))

    def test_old_version_is_replaced(self):
        engine = ledger('engine-0', 'a')
        choice = self.choose(ask('a'), engine, version=2)
        self.assertTrue(choice.load)
        self.assertIsNone(choice.victim)

    def test_old_version_in_use_is_waited_for(self):
        engine = ledger('engine-0', 'a')
        engine.held[AdapterId('a')].uses = 1
        self.assertIsNone(self.choose(ask('a'), engine, version=2))

    def test_engines_that_all_fail_in_part_go_on_serving(self):
        """Every engine fails four requests in ten for some seconds.

        Each was left alone after a failure, longer each time, so half of the
        requests that would have been served were refused for want of places.
        """
        engines = [ledger(f'engine-{n}', 'a') for n in range(3)]
        served = 0
        for number in range(60):
            choice = self.choose(ask('a', number), *engines)
            self.assertIsNotNone(choice)
            failed = number % 5 < 2
            served += not failed
            choice.engine.note_verdict(failed=failed)
            self.advance(0.05)
        self.assertTrue(all(engine.is_usable() for engine in engines))
        self.assertEqual(served, 36)

    def test_engine_that_fails_more_gets_less(self):
        poor, good = ledger('engine-0', 'a'), ledger('engine-1', 'a')
        for _request in range(5):
            poor.note_verdict(failed=True)
        choice = self.choose(ask('a'), poor, good)
        self.assertIs(choice.engine, good)

    def test_fresh_engine_is_not_flooded(self):
        """An engine comes in while the others have no place left.

        It was given every review that came, and had so much to read that no
        caller waited for its first event.
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

    def test_question_avoids_the_engine_that_reads_a_long_document(self):
        """An engine has begun to read a long prompt of a less urgent kind.

        It finishes that first. A short urgent question sent there waited
        behind it for half a second, while another engine was free.
        """
        reads, free = ledger('engine-0', 'a'), ledger('engine-1', 'a')
        reads.take(ask('a', 1, prompt_tokens=30_000, parts=[], priority=2))
        question = ask('a', 2, prompt_tokens=500, parts=[], priority=0)
        self.assertIs(self.choose(question, reads, free).engine, free)

    def test_full_batch_takes_no_more(self):
        engine = ledger('engine-0', 'a')
        for number in range(engine.traits.batch):
            engine.take(ask('a', number))
        self.assertIsNone(self.choose(ask('a', 999), engine))

    def test_engine_without_the_model_is_left_out(self):
        engine = ledger('engine-0')
        engine.models.clear()
        self.assertIsNone(self.choose(ask(), engine))


class TestModels(TimedTestCase):
    """Which model an empty engine loads."""

    def test_only_model(self):
        empty = ledger('engine-0')
        empty.models.clear()
        chosen = dispatch.model_in_demand([empty, ledger('engine-1')], {})
        self.assertEqual(chosen, 'base')

    def test_one_model_is_fetched_at_a_time(self):
        """Two engines are replaced together and begin empty.

        Both fetched the model from the store at once, so neither served for
        twice as long as one fetch takes.
        """
        first, second = ledger('engine-0'), ledger('engine-1')
        for engine in (first, second):
            engine.models.clear()
        self.assertFalse(dispatch.is_fetching([first, second]))
        first.fetches_model = True
        first.model_ready_at = self.moment + 2
        self.assertTrue(dispatch.is_fetching([first, second]))
        first.models.add(MODEL)
        self.assertFalse(dispatch.is_fetching([first, second]))

    def test_model_from_disk_holds_up_nobody(self):
        engine = ledger('engine-0')
        engine.models.clear()
        engine.model_ready_at = self.moment + 2
        self.assertFalse(dispatch.is_fetching([engine]))

    def test_no_engine(self):
        self.assertEqual(dispatch.model_in_demand([], {}), ModelId(''))


class TestLedger(TimedTestCase):
    """What an owner believes of an engine."""

    def test_shared_parts_are_read_once(self):
        engine = ledger('engine-0', 'a')
        first = engine.prefill_seconds(ask('a'))
        engine.take(ask('a'))
        self.assertLess(engine.prefill_seconds(ask('a', 1)), first / 2)
        self.assertEqual(engine.prefill_seconds(ask('b', 2)), first)

    def test_place_is_given_back_once(self):
        engine = ledger('engine-0', 'a')
        place = engine.take(ask('a'))
        engine.give_back(place)
        engine.give_back(place)
        self.assertEqual(engine.held[AdapterId('a')].uses, 0)

    def test_old_report_is_not_taken_for_the_new_version(self):
        """A report shows the version that is just being replaced.

        Taken for the new one, requests named the old version and the engine
        refused them.
        """
        engine = ledger('engine-0')
        coming = hold(engine, 'a', Holding.COMING)
        coming.version = 2
        engine.adopt(report(0, 'a'))
        self.assertIs(coming.state, Holding.COMING)
        self.assertEqual(coming.version, 2)

    def test_place_that_is_told_twice_counts_once(self):
        """A VM tells a new owner of one place twice.

        Given back once, its adapter counted as in use for ever.
        """
        engine = ledger('engine-0', 'a')
        first = engine.take(ask('a'))
        second = engine.take(ask('a'))
        engine.give_back(first)
        engine.give_back(second)
        self.assertEqual(engine.held[AdapterId('a')].uses, 0)
        self.assertFalse(engine.places)

    def test_load_that_waits_for_its_turn_keeps_its_slot(self):
        """Orders to an engine take long, and a load waits behind others.

        Reports do not show it yet. Forgotten for that, its slot was given
        to one more adapter, and the engine crashed when both had come.
        """
        engine = ledger('engine-0')
        waiting = hold(engine, 'a', Holding.COMING)
        waiting.is_ordered = False
        self.advance(5)
        engine.adopt(report(0))
        self.assertIn(AdapterId('a'), engine.held)
        waiting.is_ordered = True
        engine.adopt(report(0))
        self.assertNotIn(AdapterId('a'), engine.held)

    def test_slots_leave_room_for_weights(self):
        engine = ledger('engine-0')
        self.assertEqual(engine.slots(), SLOTS)
        engine.models.clear()
        self.assertEqual(engine.slots(), SLOTS)
