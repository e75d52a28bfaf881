"""Upstreams that fall over when they have to reject too many requests."""

from __future__ import annotations

import dataclasses
import random
import unittest

from flamingovalve.gateway.announcements import (
    Announcement,
    Purpose,
    SentRequest,
)
from flamingovalve.gateway.brittleness import Brittleness
from standins.slotted_runner import SlottedRunnerStandIn
from tests.rig.engines import upstream
from tests.rig.site import Site
from tests.rig.timeline import TimedTestCase

BEARS = 5
VMS = 6
APPS = 3
ENGINES = 2
# In one time, they may fall over so often, and a tenth of their number.
ALLOWED_FALLS = 2
CONTACT_SECONDS = 3
BURST_SECONDS = 4
CALL_SECONDS = 0.05
USUAL_INTERVAL = 0.02
BURST_INTERVAL = 0.0025
CHAT_INTERVAL = 0.005
SERVED_SHARE = 0.5


class BrittleSite(Site):
    """A site whose plain upstreams have few slots and a queue."""

    app_kind = SlottedRunnerStandIn


class TestBrittleness(TimedTestCase):
    """What one VM knows of a brittle upstream."""

    def setUp(self) -> None:
        """Announce that it bears few rejections."""
        super().setUp()
        self.brittleness = Brittleness()
        self.record(bears=BEARS)

    def record(self, **announced):
        """Record a response that announces something."""
        sent = SentRequest(upstream('one').id, Purpose.SERVE, self.current_time)
        self.brittleness.record(sent, Announcement(**announced))

    def test_rejections_stay_below_what_it_bears(self):
        """Guards against a rejection too many in any second."""
        sent = 0
        for _step in range(100):
            if not self.brittleness.wait_seconds():
                self.brittleness.record_rejection()
                sent += 1
            self.advance(0.1)
        self.assertLessEqual(sent, 10 * BEARS / 2)
        self.assertGreater(sent, 10)

    def test_no_queue_after_a_rejection(self):
        """Guards against requests that wait where others were rejected."""
        self.assertEqual(self.brittleness.room_beyond_slots(), BEARS // 2)
        self.brittleness.record_rejection()
        self.assertEqual(self.brittleness.room_beyond_slots(), 0)

    def test_end_of_brittleness(self):
        """Guards against bounds that outlast their announcement."""
        self.advance(1)
        self.record()
        self.assertFalse(self.brittleness.is_known())
        self.assertEqual(self.brittleness.wait_seconds(), 0)


class TestFalls(unittest.TestCase):
    """Brittle upstreams under several times their load."""

    def start(self, *, shares_calls=True):
        """Start a site."""
        self.site = BrittleSite(VMS, ENGINES, apps=APPS)
        self.addCleanup(self.site.close)
        self.site.shares_calls = shares_calls
        for vm_id in self.site.vms_by_id:
            self.site.start(vm_id)
        self.site.world.advance(6)
        self.rng = random.Random(1)
        self.tasks = []
        for app in self.site.apps:
            app.run_seconds = CALL_SECONDS

    def announce(self, upstreams):
        """Let upstreams announce that they are brittle."""
        for one in upstreams:
            one.history.announced = dataclasses.replace(
                one.history.announced, bears=BEARS
            )

    def load(self, seconds, interval, path):
        """Send requests through random VMs."""
        end = self.site.world.monotonic() + seconds
        while self.site.world.monotonic() < end:
            vm_id = self.rng.choice(list(self.site.vms_by_id))
            if path == '/chats/1':
                call = self.site.chat()
            else:
                call = self.site.call(path, 1000)
            self.tasks.append(self.site.begin(vm_id, call))
            self.site.world.advance(interval)

    def assert_stands(self, upstreams):
        """Check that upstreams hardly fell over, and that callers are served."""
        self.site.world.advance(5)
        falls = sum(one.falls for one in upstreams)
        self.assertLessEqual(falls, ALLOWED_FALLS + len(upstreams) / 10)
        self.tasks.clear()
        self.load(1, USUAL_INTERVAL, self.path)
        self.site.world.advance(2)
        served = sum(
            getattr(task.result, 'status', 0) == 200 for task in self.tasks
        )
        self.assertGreater(served, SERVED_SHARE * len(self.tasks))

    def overload_calls(self):
        """Announce, shorten the queues, and send a burst of calls."""
        self.path = '/reads/1'
        self.announce(self.site.apps)
        self.load(CONTACT_SECONDS, USUAL_INTERVAL, self.path)
        for app in self.site.apps:
            app.queue = 0
        self.load(BURST_SECONDS, BURST_INTERVAL, self.path)
        self.assert_stands(self.site.apps)

    def test_plain_upstreams(self):
        """Guards against plain upstreams that fall over in a burst."""
        self.start()
        self.overload_calls()

    def test_plain_upstreams_without_keeper(self):
        """Guards against VMs that each send what all may send."""
        self.start(shares_calls=False)
        self.overload_calls()

    def test_engines(self):
        """Guards against engines that fall over after a change of owner."""
        self.start()
        self.path = '/chats/1'
        self.announce(self.site.engines)
        self.load(CONTACT_SECONDS, USUAL_INTERVAL, self.path)
        for engine in self.site.engines:
            engine.most_active = 6
        self.load(BURST_SECONDS / 2, CHAT_INTERVAL, self.path)
        self.site.kill(self.site.owner())
        self.load(BURST_SECONDS / 2, CHAT_INTERVAL, self.path)
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self.site.start(vm.id)
        self.assert_stands(self.site.engines)
