"""Upstreams that say in their responses that they are leaving."""

from __future__ import annotations

from standins.announcing import Announced
from tests.rig.upstream_rules import Disturbances, leaving_violations
from tests.test_upstream_limits import LimitTest

LEAVING = Announced(is_leaving=True)


class LeavingTest(LimitTest):
    """A site whose upstreams leave without saying so to the store."""

    def setUp(self):
        """Start the site and record when requests are sent."""
        super().setUp()
        self.sent_at = {}

    def chat(self, number):
        """Return a completion whose time of sending is recorded."""
        return self.record(super().chat(number))

    def read(self, number):
        """Return a call whose time of sending is recorded."""
        return self.record(super().read(number))

    def record(self, call):
        """Record that a request is sent now."""
        name = dict(call.headers)['Attempt-Id']
        self.sent_at[name] = self.site.world.monotonic()
        return call

    def violations(self, upstreams):
        """Return the requests that arrived too late."""
        return [
            violation
            for upstream in upstreams
            for violation in leaving_violations(
                upstream.name,
                upstream.history,
                Disturbances(),
                self.sent_at,
            )
        ]


class TestLeavingUpstreams(LeavingTest):
    """New requests go to the upstreams that stay."""

    def test_leaving_engine_gets_new_requests(self):
        """Guards against an engine that is used until its entry changes."""
        self.offer(2, 0.1, self.chat)
        self.site.engines[0].history.announced = LEAVING
        self.tasks.clear()
        self.offer(6, 0.1, self.chat)
        self.assertEqual(self.violations(self.site.engines), [])
        statuses = {answer.status for answer in self.answers()}
        self.assertEqual(statuses, {200})

    def test_leaving_plain_upstream_gets_new_calls(self):
        """Guards against a balancer that knows the store's entries only."""
        self.offer(1, 0.05, self.read)
        self.site.apps[0].history.announced = LEAVING
        self.tasks.clear()
        self.offer(5, 0.05, self.read)
        self.assertEqual(self.violations(self.site.apps), [])
        statuses = {answer.status for answer in self.answers()}
        self.assertEqual(statuses, {200})

    def test_partitioned_vm_uses_a_leaving_engine(self):
        """Guards against an excuse: responses need neither store nor owner."""
        self.offer(2, 0.1, self.chat)
        others = [vm for vm in self.site.vms_by_id if vm != 'vm-3']
        self.site.links.partition(['vm-3'], [*others, 'store'])
        for engine in self.site.engines[:2]:
            engine.history.announced = LEAVING
        self.offer(8, 0.1, self.chat)
        self.assertEqual(self.violations(self.site.engines), [])

    def test_upstream_that_has_restarted_is_used_again(self):
        """Guards against an upstream that is left alone for ever."""
        for app in self.site.apps:
            app.history.announced = LEAVING
        self.offer(1, 0.1, self.read)
        for app in self.site.apps:
            app.history.announced = Announced()
            self.site.store.delete(f'servers/{app.name}')
        self.site.world.advance(8)
        for app in self.site.apps:
            self.site.register(app)
        self.site.world.advance(2)
        self.tasks.clear()
        self.offer(2, 0.1, self.read)
        statuses = {answer.status for answer in self.answers()}
        self.assertEqual(statuses, {200})
