"""Rests that upstreams ask for when they reject requests."""

from __future__ import annotations

from standins.announcing import Announced
from tests.rig.upstream_rules import Disturbances, rest_violations
from tests.test_upstream_limits import LimitTest


class RestTest(LimitTest):
    """A site whose upstreams reject requests and ask for rest."""

    def violations(self, upstreams):
        """Return the rests that the upstreams did not get."""
        return [
            violation
            for upstream in upstreams
            for violation in rest_violations(
                upstream.name, upstream.history, Disturbances()
            )
        ]

    def served_share(self):
        """Return the share of requests that were served."""
        statuses = [answer.status for answer in self.answers()]
        return statuses.count(200) / len(statuses)


class TestEngines(RestTest):
    """Engines that reject every request."""

    def test_engines_get_requests_in_the_rest_that_they_asked_for(self):
        """Guards against retries, reports and orders during a rest."""
        self.offer(2, 0.1, self.chat)
        for engine in self.site.engines[:2]:
            engine.history.announced = Announced(rest_seconds=3)
        self.offer(10, 0.1, self.chat)
        self.assertEqual(self.violations(self.site.engines), [])

    def test_requests_are_refused_while_an_engine_rejects_nothing(self):
        """Guards against retrying a request at the engine that rejected it."""
        self.offer(2, 0.1, self.chat)
        for engine in self.site.engines[:2]:
            engine.history.announced = Announced(rest_seconds=3)
        self.tasks.clear()
        self.offer(10, 0.1, self.chat)
        self.assertGreaterEqual(self.served_share(), 0.95)

    def test_engines_are_used_again_after_their_rest(self):
        """Guards against a rest that never ends."""
        for engine in self.site.engines:
            engine.history.announced = Announced(rest_seconds=2)
        self.offer(1, 0.1, self.chat)
        for engine in self.site.engines:
            engine.history.announced = Announced()
        self.site.world.advance(3)
        self.tasks.clear()
        self.offer(3, 0.1, self.chat)
        self.assertEqual(self.served_share(), 1)


class TestPlainServices(RestTest):
    """Plain upstreams that reject every call."""

    def test_plain_upstream_gets_calls_in_the_rest_that_it_asked_for(self):
        """Guards against a balancer that forgets a rejection."""
        self.site.apps[0].history.announced = Announced(rest_seconds=2.5)
        self.offer(8, 0.02, self.read)
        self.assertEqual(self.violations(self.site.apps), [])
        self.assertGreaterEqual(self.served_share(), 0.95)

    def test_callers_learn_when_all_upstreams_rest(self):
        """Guards against a retry time within the rest."""
        for app in self.site.apps:
            app.history.announced = Announced(rest_seconds=2)
        self.offer(1, 0.1, self.read)
        answers = self.answers()
        self.assertEqual({one.status for one in answers}, {503})
        wait = float(answers[-1].header('retry-after'))
        self.assertGreater(wait, 0.8)
        self.assertLess(wait, 2.7)
        self.assertEqual(self.violations(self.site.apps), [])
