"""Requests that a leaving VM cannot complete within its grace period."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

import curio

from flamingovalve.gateway.grace import GracePeriod
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.run_durations import RunDurations
from flamingovalve.util import clock
from tests.rig.fleet import Fleet, Shape, error_type
from tests.rig.site import HOST, Site

GRACE_SECONDS = 8.0
# The VM stops a second before it would be killed.
STOP_SECONDS = 7.0


class RunDurationsTest(unittest.TestCase):
    """Durations of runs on a clock that the test advances."""

    def setUp(self) -> None:
        """Stop the clock."""
        self.now = 1000.0
        clock.replace_source(lambda: self.now, lambda: self.now)
        self.addCleanup(clock.restore_source)
        self.durations = RunDurations()

    def run_for(self, seconds: float) -> None:
        """Record a run of a length."""
        number = self.durations.begin('orders')
        self.now += seconds
        self.durations.end('orders', number)

    def test_mean_and_longest(self):
        self.assertIsNone(self.durations.longest('orders'))
        self.run_for(1)
        self.run_for(3)
        self.assertEqual(self.durations.mean('orders'), 2)
        self.assertEqual(self.durations.longest('orders'), 3)
        self.assertIsNone(self.durations.mean('reads'))

    def test_run_in_progress(self):
        """Guards against runs that are slow now and were quick before."""
        self.run_for(1)
        self.durations.begin('orders')
        self.now += 5
        self.assertEqual(self.durations.longest('orders'), 5)

    def test_old_runs_are_forgotten(self):
        """Guards against one slow run that counts for ever."""
        self.run_for(9)
        for _run in range(70):
            self.run_for(1)
        self.assertEqual(self.durations.longest('orders'), 1)
        self.now += 100
        self.assertIsNone(self.durations.longest('orders'))


class GracePeriodTest(unittest.TestCase):
    """The rule, on a clock that stands still."""

    def setUp(self) -> None:
        """Stop the clock."""
        clock.replace_source(lambda: 1000.0, lambda: 1000.0)
        self.addCleanup(clock.restore_source)
        self.grace = GracePeriod()
        self.request = Mock()
        self.request.remaining.return_value = 6.0
        self.request.route.repeat = RepeatPolicy.ONCE
        self.request.route.name = 'orders'

    def fits(self, left: float, longest: float | None, mean: float = 0) -> bool:
        """Return whether the request fits into what is left."""
        self.grace.ends_at = 1000.0 + left
        self.grace.durations = Mock()
        self.grace.durations.longest.return_value = longest
        self.grace.durations.mean.return_value = mean
        return self.grace.fits(self.request)

    def test_vm_that_does_not_leave(self):
        self.assertTrue(self.grace.fits(self.request))

    def test_deadline_within_the_grace_period(self):
        self.assertTrue(self.fits(6.0, None))
        self.assertFalse(self.fits(5.9, None))

    def test_longest_run_counts_for_what_may_run_once(self):
        """Guards against an order that is cut because most were quicker."""
        self.assertTrue(self.fits(2.0, 1.0, 0.1))
        self.assertFalse(self.fits(2.0, 1.5, 0.1))

    def test_mean_counts_for_what_may_be_repeated(self):
        """Guards against refusals of reads for one slow run."""
        self.request.route.repeat = RepeatPolicy.ANY
        self.assertTrue(self.fits(2.0, 5.0, 0.1))


class SiteTest(unittest.TestCase):
    """A site whose first VM is asked to leave."""

    def setUp(self) -> None:
        """Start the site."""
        self.site = Site.started()
        self.addCleanup(self.site.close)
        self.vm = self.site.vms_by_id['vm-0']

    def leave(self) -> None:
        """Ask the VM to leave."""
        self.left_at = self.site.world.monotonic()
        self.vm.node.spawn(self.vm.daemon.begin_leaving)

    def advance_to(self, seconds: float) -> None:
        """Advance to a time after the VM was asked to leave."""
        self.site.world.advance(
            self.left_at + seconds - self.site.world.monotonic()
        )

    def runs(self) -> int:
        """Return how many requests the plain upstreams have run."""
        return sum(sum(app.runs_by_request.values()) for app in self.site.apps)

    def slow_down(self, seconds: float) -> None:
        """Let all plain upstreams take some time, and show it once."""
        for app in self.site.apps:
            app.run_seconds = seconds
        self.site.send('vm-0', self.site.call('/orders/0'))

    def keep_busy(self, seconds: float) -> None:
        """Keep a request in progress at the VM."""
        for app in self.site.apps:
            app.run_seconds = seconds
        self.site.begin('vm-0', self.site.call('/orders/busy', 20000))
        self.site.world.advance(0.2)

    def begin_body(self) -> RawRequest:
        """Send the first half of an order to the VM."""
        return RawRequest(self.site, self.vm.front)


class RawRequest:
    """An order whose body arrives in two parts."""

    def __init__(self, site: Site, address: str) -> None:
        """Send the head and the first half of the body."""
        self._site = site
        self._address = address
        self.received = b''
        self.is_closed = False
        self._rest_at = 0.0
        site.caller.node.spawn(self._exchange)
        site.world.advance(0.1)

    def send_rest(self) -> None:
        """Send the second half."""
        self._rest_at = self._site.world.monotonic()

    async def _exchange(self) -> None:
        network = self._site.caller.network
        opened = await network.connect(self._address, 1)
        head = (
            f'POST /orders/late HTTP/1.1\r\nHost: {HOST}\r\n'
            'Attempt-Id: late\r\nTime-Budget-Ms: 6000\r\n'
            'Content-Length: 200\r\n\r\n'
        )
        try:
            await opened.sendall(head.encode() + b'a' * 100)
            reading = await curio.spawn(self._read, opened, daemon=True)
            while not self._rest_at and not self.is_closed:
                await curio.sleep(0.01)
            if self._rest_at:
                await opened.sendall(b'b' * 100)
            await reading.join()
        except OSError:
            self.is_closed = True

    async def _read(self, opened) -> None:
        try:
            while part := await opened.recv(65536):
                self.received += part
        except OSError:
            pass
        self.is_closed = True

    def status(self) -> int:
        """Return the status of the answer; 0 if there is none."""
        if not self.received:
            return 0
        return int(self.received.split(b' ', 2)[1])


class TestLateBodies(SiteTest):
    """Orders whose body ends at some time of the grace period."""

    def check(self, ends_at: float) -> None:
        """Let an order end late; it is answered, and true to its status."""
        self.slow_down(2.5)
        self.keep_busy(6.8)
        for app in self.site.apps:
            app.run_seconds = 2.5
        raw = self.begin_body()
        self.leave()
        self.advance_to(ends_at)
        raw.send_rest()
        self.advance_to(GRACE_SECONDS)
        ran = sum(app.runs_by_request['late'] for app in self.site.apps)
        self.assertEqual(raw.status(), 200 if ran else 503, raw.received)

    def test_body_that_ends_early(self):
        """Guards against a rule that refuses what can end in time."""
        self.check(0.5)
        ran = sum(app.runs_by_request['late'] for app in self.site.apps)
        self.assertEqual(ran, 1)

    def test_body_that_ends_within_a_run_of_the_end(self):
        """Guards against orders that are sent and cut without an answer."""
        self.check(5.0)

    def test_body_that_ends_as_the_vm_stops(self):
        """Guards against orders that are read and not answered."""
        self.check(6.95)


class TestWaysIn(SiteTest):
    """Requests that come late in the grace period, by each way."""

    def test_body_that_never_ends(self):
        """Guards against a half request that is closed without an answer."""
        raw = self.begin_body()
        self.leave()
        self.advance_to(GRACE_SECONDS)
        self.assertEqual(raw.status(), 503)
        self.assertTrue(raw.is_closed)

    def test_grace_period_that_is_nearly_over(self):
        """Guards against a VM that started slowly and is killed as it leaves."""
        since = self.site.world.monotonic() - STOP_SECONDS + 0.5
        self.vm.node.spawn(self.vm.daemon.begin_leaving, since)
        self.site.world.advance(0.9)
        self.assertTrue(self.vm.daemon.stopped.is_set())

    def test_wait_for_a_place(self):
        """Guards against completions that wait until the VM stops."""
        for engine in self.site.engines:
            engine.load_seconds = 60
        vms = {'vm-0', *self.site.others()}
        waiting = [self.site.begin('vm-0', self.chat_for(20000)) for _vm in vms]
        self.site.world.advance(0.5)
        self.leave()
        self.advance_to(STOP_SECONDS - 0.1)
        for task in waiting:
            self.assertTrue(task.terminated)
            self.assertEqual(task.result.status, 503, task.result)

    def chat_for(self, budget_ms: int):
        """Return a completion for an adapter that must be loaded."""
        return self.site.call(
            '/chats/1',
            budget_ms,
            Model='base/cold',
            Token_Counts='1000,100',
            Prompt_Prefix='ab:800,cd:200',
        )

    def test_refused_at_once(self):
        """Guards against late requests that are held until the VM stops."""
        self.slow_down(4)
        self.keep_busy(6.8)
        raw = self.begin_body()
        self.leave()
        self.advance_to(4)
        raw.send_rest()
        self.site.world.advance(0.1)
        self.assertEqual(raw.status(), 503)
        self.assertIn(b'retry-after', raw.received.lower())

    def test_repeat_late_in_the_grace_period(self):
        """Guards against a read that is sent again and then cut."""
        for app in self.site.apps:
            app.run_seconds = 2.0
            app.lose_answers = 2
        task = self.site.begin('vm-0', self.site.call('/reads/1'))
        self.site.world.advance(1.8)
        before = self.runs()
        self.vm.daemon.grace.ends_at = self.site.world.monotonic() + 0.5
        self.site.world.advance(3)
        self.assertEqual(self.runs(), before)
        self.assertEqual(getattr(task.result, 'status', 0), 502, task.result)

    def test_through_another_vm(self):
        """Guards against orders that are cut behind another VM."""
        for app in self.site.apps:
            self.site.links.partition(['vm-0'], [app.name])
        self.site.world.advance(4)
        self.check_body_through_another_vm()

    def check_body_through_another_vm(self) -> None:
        """Let an order end late at a VM that sends through another one."""
        self.slow_down(2.5)
        raw = self.begin_body()
        self.keep_busy(6.8)
        for app in self.site.apps:
            app.run_seconds = 2.5
        before = self.runs()
        self.leave()
        self.advance_to(5)
        raw.send_rest()
        self.advance_to(GRACE_SECONDS)
        self.assertEqual((self.runs(), raw.status()), (before, 503))

    def test_stream_late_in_the_grace_period(self):
        """Guards against streams that begin late and are cut."""
        for engine in self.site.engines:
            engine.event_count = 50
            engine.event_seconds = 0.05
        first = self.site.begin('vm-0', self.site.chat())
        self.assertEqual(self.site.wait(first).status, 200)
        self.vm.daemon.grace.ends_at = self.site.world.monotonic() + 2
        late = self.site.begin('vm-0', self.site.chat())
        self.assertEqual(self.site.wait(late).status, 503)


class TestOwnInterface(unittest.TestCase):
    """Requests to a daemon that drains for a shorter time than they take."""

    def setUp(self) -> None:
        """Ask the first VM to leave."""
        self.fleet = Fleet.started(Shape(tune=_drain_quickly))
        self.addCleanup(self.fleet.close)
        self.permit = self.fleet.permit('vm-0')
        node = self.fleet.vms_by_id['vm-0'].node
        node.spawn(self.fleet.daemon('vm-0').begin_leaving)
        self.fleet.world.advance(0.5)

    def test_completion_that_outlasts_the_drain(self):
        """Guards against completions that are cut when the daemon stops."""
        refused = self.fleet.complete('vm-0', 'adapter-1', deadline=30)
        self.assertEqual(error_type(refused), 'leaving')
        served = self.fleet.complete('vm-0', 'adapter-1', deadline=5)
        self.assertEqual(served.status, 200)

    def test_payment_that_outlasts_the_drain(self):
        """Guards against payments that are cut when the daemon stops."""
        refused = self.fleet.pay('vm-0', self.permit)
        self.assertEqual(error_type(refused), 'leaving')
        service = self.fleet.services_by_id['orders']
        self.assertEqual(service.runs_by_order['one'], 0)


def _drain_quickly(settings) -> None:
    settings.fleet.drain_seconds = 8.0
