"""Tests of the tokens of an engine's places against its memory."""

from __future__ import annotations

import heapq
import random
import unittest
from dataclasses import replace
from unittest import mock

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.gateway.token_memory import OutputShare, TokenMemory
from flamingovalve.generated.messages import PromptPart
from flamingovalve.platform import decode
from flamingovalve.platform.fields import Fields
from tests.rig.engines import ask, ledger
from tests.rig.site import Site
from tests.rig.timeline import TimedTestCase

MEMORY = 182_795
LONG_PARTS = [PromptPart('document', 6300), PromptPart('own', 2900)]
TOKEN_SECONDS = 0.025
BATCH = 96


def long_ask(number, **changes):
    """Return a request with a long prompt for one of three adapters."""
    return ask(
        f'a{number % 3}',
        number,
        **{'prompt_tokens': 9200, 'parts': LONG_PARTS, **changes},
    )


class TestTokens(TimedTestCase):
    """Counting of the places of one engine."""

    def setUp(self) -> None:
        """Start with an engine of a known memory."""
        super().setUp()
        self.tokens = TokenMemory()

    def test_prompt_and_output_are_counted_and_given_back(self):
        self.tokens.take(ask(number=1), 0)
        self.assertEqual(self.tokens.used, 1100)
        self.tokens.give_back(ask(number=1).request_id)
        self.tokens.give_back(ask(number=1).request_id)
        self.assertEqual(self.tokens.used, 0)

    def test_shared_parts_count_once_and_stay_until_their_last_use(self):
        for number in (1, 2, 3):
            self.tokens.take(ask(number=number), 0)
        self.assertEqual(self.tokens.used, 800 + 3 * 300)
        self.tokens.give_back(ask(number=1).request_id)
        self.assertEqual(self.tokens.used, 800 + 2 * 300)

    def test_parts_of_other_adapters_are_not_shared(self):
        """An engine reuses a part only for the same adapter."""
        self.tokens.take(ask('a', 1), 0)
        self.tokens.take(ask('b', 2), 0)
        self.assertEqual(self.tokens.used, 2 * 1100)

    def test_part_is_not_shared_before_it_is_processed(self):
        """Requests that begin together each process the part."""
        self.tokens.take(ask(number=1), 0.5)
        self.tokens.take(ask(number=2), 0.5)
        self.assertEqual(self.tokens.used, 2 * 1100)
        self.advance(0.6)
        self.tokens.take(ask(number=3), 0.5)
        self.assertEqual(self.tokens.used, 2 * 1100 + 300)

    def test_deadline_bounds_the_output(self):
        """Callers that state no useful limit would fill the memory."""
        request = ask(output_tokens=100_000, remaining=5.0)
        self.tokens.take(request, 0)
        self.assertEqual(self.tokens.used, 1000 + 500)

    def test_request_beyond_the_free_memory_does_not_fit(self):
        for number in range(19):
            request = ask(number=number, prompt_tokens=9200, parts=[])
            self.assertTrue(self.tokens.fits(request, MEMORY))
            self.tokens.take(request, 0)
        self.assertFalse(self.tokens.fits(request, MEMORY))
        self.assertTrue(self.tokens.fits(request, 0))
        self.assertEqual(self.tokens.shortages, 1)


class TestDispatch(TimedTestCase):
    """Engines without memory for a request."""

    def engine(self, name, memory=MEMORY):
        """Return an engine with an adapter and a memory in tokens."""
        made = ledger(name, 'a0', 'a1', 'a2')
        made.traits = replace(made.traits, kv_tokens=memory)
        return made

    def test_engine_without_memory_gets_no_place(self):
        """Guards against the crash of an engine with too many tokens."""
        engine = self.engine('engine-0')
        number = 0
        while dispatch.choose(self.request(number), [engine], Popularity(), 0):
            engine.take(self.request(number))
            number += 1
        self.assertEqual(number, 19)
        self.assertFalse(engine.is_full())
        self.advance(60)
        self.assertTrue(
            dispatch.choose(ask('a0', 99), [engine], Popularity(), 0)
        )

    def request(self, number):
        """Return a long request that shares nothing, with a long patience."""
        return ask(
            'a0',
            number,
            prompt_tokens=9200,
            parts=[],
            target=60,
            patience=60,
        )

    def test_capacity_is_decoded_and_absent_means_no_bound(self):
        raw = {'Slots': 8, 'WeightsMb': 10, 'Models': []}
        decoded = decode._engine(Fields({**raw, 'KvCapacity': 182795}))
        self.assertEqual(decoded.kv_tokens, 182_795)
        self.assertEqual(decode._engine(Fields(raw)).kv_tokens, 0)


class TestOrdinaryLoad(TimedTestCase):
    """Ordinary mixes on one engine, of which none may be turned away."""

    def turned_away(self, factor, short_rate=2.5, parts=LONG_PARTS):
        """Play two minutes; return the share of requests that did not fit.

        :param factor: limit of the output divided by what is generated
        """
        rng = random.Random(7)
        outputs = OutputShare()
        tokens = TokenMemory(outputs)
        ends = []
        refused = 0
        count = int(120 * (1.5 + short_rate))
        for number in range(count):
            self.advance(rng.expovariate(1.5 + short_rate))
            while ends and ends[0][0] <= self.current_time:
                _end, ended, seconds = heapq.heappop(ends)
                tokens.give_back(ended.request_id)
                outputs.record(ended.output_tokens, seconds)
            generated = rng.randint(60, 440)
            request = ask(f'a{rng.randrange(7)}', number, prompt_tokens=830)
            if rng.random() < 1.5 / (1.5 + short_rate):
                request = long_ask(number, parts=parts)
            request.output_tokens = int(generated * factor)
            request.remaining = 15.0
            if len(ends) < BATCH and not tokens.fits(request, MEMORY):
                refused += 1
            elif len(ends) < BATCH:
                tokens.take(request, 0.3)
                seconds = generated * TOKEN_SECONDS
                end = self.current_time + 0.3 + seconds
                heapq.heappush(ends, (end, request, seconds))
        return refused / count

    def test_nothing_is_turned_away(self):
        """With exact limits, and with limits eight times too high."""
        self.assertEqual(self.turned_away(1), 0)
        self.assertEqual(self.turned_away(8), 0)

    def test_full_batch_with_limits_far_too_high(self):
        """Batches are full and long prompts share nothing.

        Counted in full, the limits turn away a sixth of these requests, of
        which the engine could take all.
        """
        share = self.turned_away(16, short_rate=14, parts=[])
        self.assertLess(share, 0.05)
        with mock.patch.object(OutputShare, 'estimate', 1.0):
            full = self.turned_away(16, short_rate=14, parts=[])
        self.assertGreater(full, 3 * share)

    def test_share_of_the_limit_is_learnt_and_not_below_the_truth(self):
        outputs = OutputShare()
        rng = random.Random(3)
        in_progress = 0.0
        total = 0.0
        for _sample in range(500):
            generated = rng.randint(60, 440)
            outputs.record(4000, generated * TOKEN_SECONDS)
            in_progress += generated * generated
            total += generated
        truth = in_progress / total / 4000
        self.assertGreater(outputs.estimate, truth)
        self.assertLess(outputs.estimate, 4 * truth)

    def test_exact_limits_count_in_full(self):
        outputs = OutputShare()
        for _sample in range(500):
            outputs.record(300, 300 * TOKEN_SECONDS)
        self.assertEqual(outputs.estimate, 1)


class TestTooLarge(unittest.TestCase):
    """Requests that no engine of a site has memory for."""

    def test_is_refused_at_once(self):
        """It would wait for its whole patience, or crash an engine.

        Whether a response fits depends on lengths that are learnt, so only
        the prompt alone may be too large for good.
        """
        site = Site.started()
        self.addCleanup(site.close)
        started_at = site.world.current_time
        for counts, status in (
            ('100000,1500', 413),
            ('99900,1500', 503),
            ('9900,1500', 200),
        ):
            call = site.call('/chats/1', Model='base', Token_Counts=counts)
            answer = site.send('vm-0', call)
            self.assertEqual(answer.status, status, answer.body)
            if status != 200:
                self.assertIn(b'100000 tokens', answer.body)
                self.assertLess(site.world.current_time, started_at + 0.1)
        owner = site.vms_by_id[site.owner()].daemon.owned
        self.assertEqual(owner.total_counts().too_large, 2)
