"""Rate limits that upstreams announce, kept by all VMs together."""

from __future__ import annotations

import unittest

from standins.announcing import Announced
from tests.rig.site import Site
from tests.rig.upstream_rules import Disturbances, limit_violations


class LimitTest(unittest.TestCase):
    """A site of four VMs and three engines."""

    engines = 3

    def setUp(self) -> None:
        """Start the site."""
        self.site = Site.started(4, engines=self.engines, slots=4)
        self.addCleanup(self.site.close)
        self.tasks = []

    def offer(self, seconds, interval, new_call):
        """Send a request every ``interval`` seconds, to the VMs in turn."""
        vms = list(self.site.vms_by_id)
        for number in range(round(seconds / interval)):
            vm_id = vms[number % len(vms)]
            self.tasks.append(self.site.begin(vm_id, new_call(number)))
            self.site.world.advance(interval)

    def chat(self, number):
        """Return a completion of one of a few adapters, or of the model."""
        return self.site.chat(f'a{number % 7}' if number % 3 else '')

    def read(self, number):
        """Return a call of a plain service."""
        return self.site.call(f'/reads/{number}')

    def answers(self):
        """Wait for all responses and return them."""
        return [self.site.wait(task) for task in self.tasks]

    def violations(self, upstreams):
        """Return the excess over the limits of the upstreams."""
        return [
            violation
            for upstream in upstreams
            for violation in limit_violations(
                upstream.name, upstream.history, Disturbances()
            )
        ]


class TestEngines(LimitTest):
    """Engines that announce a limit while requests keep coming."""

    def test_limited_engines_get_more_requests_than_they_accept(self):
        """Guards against places, reports and orders beyond a rate limit."""
        self.offer(3, 0.1, self.chat)
        for engine in self.site.engines[:2]:
            engine.history.announced = Announced(rate_limit=1)
        self.offer(15, 0.1, self.chat)
        self.assertEqual(self.violations(self.site.engines), [])

    def test_requests_are_refused_while_an_engine_has_no_limit(self):
        """Guards against keeping work at limited engines."""
        self.offer(3, 0.1, self.chat)
        for engine in self.site.engines[:2]:
            engine.history.announced = Announced(rate_limit=1)
        self.tasks.clear()
        self.offer(10, 0.1, self.chat)
        statuses = [answer.status for answer in self.answers()]
        self.assertGreaterEqual(statuses.count(200), 0.95 * len(statuses))


class TestPlainServices(LimitTest):
    """Plain services have no owner that counts their calls."""

    def test_limited_plain_upstream_gets_more_calls_than_it_accepts(self):
        """Guards against a limit that each VM keeps alone."""
        self.offer(2, 0.02, self.read)
        self.site.apps[0].history.announced = Announced(rate_limit=2)
        self.tasks.clear()
        self.offer(12, 0.02, self.read)
        self.assertEqual(self.violations(self.site.apps), [])
        statuses = [answer.status for answer in self.answers()]
        self.assertGreaterEqual(statuses.count(200), 0.95 * len(statuses))

    def test_callers_wait_while_all_upstreams_are_limited(self):
        """Guards against waiting in vain, and against a dishonest time."""
        for app in self.site.apps:
            app.history.announced = Announced(rate_limit=2)
        self.offer(2, 0.05, self.read)
        self.tasks.clear()
        self.offer(10, 0.05, self.read)
        self.assertEqual(self.violations(self.site.apps), [])
        answers = self.answers()
        served = [one for one in answers if one.status == 200]
        self.assertGreaterEqual(len(served), 10 * 2 * 2 * 0.75)
        refused = [one for one in answers if one.status != 200]
        self.assertEqual({one.status for one in refused}, {503})
        waits = [float(one.header('retry-after')) for one in refused]
        self.assertGreater(min(waits), 0)
        self.assertLess(max(waits), 10)
