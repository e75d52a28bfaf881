"""Calls of plain services whose upstream one VM chooses for all VMs."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest.mock import AsyncMock, Mock, patch

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.attempts import final_error
from flamingovalve.gateway.balancer import Balancer
from flamingovalve.gateway.call_client import (
    CallChoice,
    CallCounts,
    _outcome_of,
)
from flamingovalve.gateway.calls import CallServer
from flamingovalve.gateway.hedges import Hedges
from flamingovalve.gateway.relay import Outcome, SendResult
from flamingovalve.gateway.upstream_status import UpstreamStatuses
from flamingovalve.generated.messages import CallAsk, CallOutcome
from tests.rig.engines import upstream
from tests.rig.site import ROUTES, Site

RUN_SECONDS = 0.02
# An ask that is not answered, and the work around it.
ASK_SECONDS = 0.03


class SharedTest(unittest.TestCase):
    """A site of four VMs and two plain upstreams."""

    def setUp(self) -> None:
        """Start the site."""
        self.site = Site.started(4)
        self.addCleanup(self.site.close)

    def daemon(self, vm_id):
        """Return the daemon of a VM."""
        return self.site.vms_by_id[vm_id].daemon

    def keepers(self):
        """Return the ids of the first two keepers of the service."""
        ranked = self.daemon('vm-0').keepers.keepers('calls app')
        ids_by_peer = {vm.peer: vm.id for vm in self.site.vms_by_id.values()}
        return [ids_by_peer[vm] for vm in ranked]

    def others(self):
        """Return the ids of the VMs that are not the keeper."""
        return [
            name for name in self.site.vms_by_id if name != self.keepers()[0]
        ]

    def counts(self, vm_id):
        """Return the counts of the calls through a VM."""
        return self.daemon(vm_id).calls.client.counts

    def read(self, vm_id, **headers):
        """Send a call; return its response and its time."""
        began = self.site.world.monotonic()
        response = self.site.send(vm_id, self.site.call('/reads/1', **headers))
        return response, self.site.world.monotonic() - began

    def check_prompt_service(self, vm_ids, calls=12):
        """Check that all calls are served and few wait for a keeper.

        :returns: how many were slower than a call without a keeper
        """
        slow = 0
        for number in range(calls):
            response, seconds = self.read(vm_ids[number % len(vm_ids)])
            self.assertEqual(response.status, 200)
            self.assertLess(seconds, RUN_SECONDS + ASK_SECONDS + 0.01)
            slow += seconds > RUN_SECONDS + 0.01
        return slow


class TestKeeper(SharedTest):
    """A keeper that can be reached."""

    def test_calls_of_all_vms_are_granted_and_ended(self):
        """Guards against calls that stay in progress at the keeper."""
        self.check_prompt_service(list(self.site.vms_by_id))
        for vm_id in self.site.vms_by_id:
            self.assertEqual(self.counts(vm_id).granted, 3)
            self.assertEqual(self.counts(vm_id).local, 0)
        self.site.world.advance(0.1)
        keeper = self.daemon(self.keepers()[0]).calls.keeper
        self.assertEqual(keeper.counts.granted, 12)
        self.assertEqual(keeper.counts.expired, 0)
        states = keeper.state_dump()['app'].values()
        self.assertEqual([state['in_progress'] for state in states], [0, 0])

    def test_calls_at_once_through_different_vms_are_spread(self):
        """Guards against VMs that choose the same idle upstream."""
        self.check_prompt_service(list(self.site.vms_by_id))
        before = [sum(a.runs_by_request.values()) for a in self.site.apps]
        for app in self.site.apps:
            app.run_seconds = 0.2
        tasks = [
            self.site.begin(vm_id, self.site.call('/reads/1'))
            for vm_id in (*self.site.vms_by_id, *self.site.vms_by_id)
        ]
        for task in tasks:
            self.site.wait(task)
        after = [sum(a.runs_by_request.values()) for a in self.site.apps]
        runs = [new - old for new, old in zip(after, before, strict=True)]
        self.assertLessEqual(abs(runs[0] - runs[1]), 2)

    def test_call_without_a_chance_is_refused_at_once(self):
        """Guards against a wait that ends with the deadline."""
        for app in self.site.apps:
            app.run_seconds = 0.5
        for _call in range(6):
            self.read('vm-0')
        response, seconds = self.read('vm-1', Time_Budget_Ms='150')
        self.assertEqual(response.status, 503)
        self.assertLess(seconds, 0.02)
        self.assertGreater(float(response.header('retry-after')), 0.1)
        self.assertEqual(self.counts('vm-1').refused, 1)

    def test_upstream_out_of_reach_of_one_vm(self):
        """Guards against a keeper that overrules what a VM has observed."""
        cut_off, other = self.others()[:2]
        self.check_prompt_service(list(self.site.vms_by_id))
        self.site.links.partition([cut_off], ['app-0'])
        slow = 0
        for _call in range(20):
            response, seconds = self.read(cut_off)
            self.assertEqual(response.status, 200)
            slow += seconds > 0.1
        self.assertLessEqual(slow, 3)
        paths = self.daemon(cut_off).upstreams.paths
        self.assertTrue(paths.is_bypassed('app-0'))
        self.site.world.advance(2)
        before = sum(self.site.apps[0].runs_by_request.values())
        self.check_prompt_service([other])
        self.assertGreater(
            sum(self.site.apps[0].runs_by_request.values()), before + 2
        )

    def test_counts_are_exported(self):
        """Guards against counts that no operator can see."""
        self.read('vm-0')
        text = self.daemon('vm-0').metrics.exposition().decode()
        self.assertIn('flamingovalve_calls_granted_total 1.0', text)
        self.assertIn('flamingovalve_call_keeper_stalls_total 0.0', text)

    def test_failed_call_is_retried_at_another_upstream(self):
        """Guards against a keeper that repeats its choice."""
        self.check_prompt_service(['vm-0'])
        for app in self.site.apps:
            app.full = app is self.site.apps[0]
        for _call in range(8):
            self.assertEqual(self.read('vm-1')[0].status, 200)


class TestLostKeepers(SharedTest):
    """Keepers that do not answer."""

    def test_ended_keeper(self):
        """Guards against calls that fail with the process of the keeper."""
        keeper = self.keepers()[0]
        others = self.others()
        self.check_prompt_service(others)
        self.site.kill(keeper)
        self.check_prompt_service(others)
        self.site.world.advance(3)
        self.assertEqual(self.check_prompt_service(others), 0)
        last = [self.counts(vm_id).local for vm_id in others]
        self.assertEqual(self.check_prompt_service(others), 0)
        self.assertEqual([self.counts(one).local for one in others], last)

    def test_paused_keeper(self):
        """Guards against a wait for each call until the pause is noticed."""
        others = self.others()
        self.check_prompt_service(others)
        self.site.vms_by_id[self.keepers()[0]].node.paused = True
        slow = self.check_prompt_service(others, 24)
        self.assertLessEqual(slow, 2 * len(others))

    def test_grants_while_paused_do_not_count(self):
        """A keeper that was paused reads requests of VMs that have given up.

        Guards against grants that nobody uses.
        """
        others = self.others()
        keeper = self.keepers()[0]
        self.check_prompt_service(others)
        self.site.vms_by_id[keeper].node.paused = True
        self.check_prompt_service(others, 6)
        self.site.vms_by_id[keeper].node.paused = False
        self.site.world.advance(0.1)
        states = self.daemon(keeper).calls.keeper.state_dump()['app'].values()
        self.assertEqual([state['in_progress'] for state in states], [0, 0])

    def test_partitioned_keeper(self):
        """Guards against calls that depend on the link to the keeper."""
        others = self.others()
        self.check_prompt_service(others)
        self.site.links.partition([self.keepers()[0]], others)
        slow = self.check_prompt_service(others, 24)
        self.assertLessEqual(slow, 2 * len(others))

    def test_vm_without_any_link(self):
        """Guards against asking one keeper after the other, in vain."""
        self.check_prompt_service(['vm-0'])
        alone = self.others()[0]
        rest = [name for name in self.site.vms_by_id if name != alone]
        self.site.links.partition([alone], rest)
        self.assertLessEqual(self.check_prompt_service([alone], 24), 2)

    def test_older_version(self):
        """Guards against failed calls while VMs are replaced one by one."""
        for vm_id in self.site.vms_by_id:
            server = self.daemon(vm_id).peer_server
            del server._session_servers_by_kind[CallAsk]
        others = self.others()
        self.assertLessEqual(self.check_prompt_service(others, 24), 0)
        self.assertGreater(self.counts(others[0]).unanswered, 0)
        self.assertGreater(self.counts(others[0]).local, 6)


class TestHedges(SharedTest):
    """Calls that take longer than nearly all calls."""

    def slow_down(self):
        """Teach the usual pace, then leave one upstream nearly silent."""
        self.check_prompt_service(['vm-0'], 24)
        self.site.apps[0].run_seconds = 2

    def hedged(self):
        """Return the number of hedged calls through the first VM."""
        return self.counts('vm-0').hedged

    def runs_by_request(self):
        """Return the number of upstreams that ran each request."""
        return sum((app.runs_by_request for app in self.site.apps), Counter())

    def test_idempotent_call_is_sent_to_a_second_upstream(self):
        """Guards against waiting for an upstream that has stalled."""
        self.slow_down()
        client = self.daemon('vm-0').calls.client
        with patch.object(client, '_report', wraps=client._report) as report:
            times = [self.read('vm-0')[1] for _call in range(4)]
        self.assertTrue(all(told.args[1].seconds for told in report.mock_calls))
        self.assertLess(max(times), 0.3)
        self.assertGreater(self.hedged(), 0)
        self.assertEqual(max(self.runs_by_request().values()), 2)
        daemon = self.daemon(self.keepers()[0])
        self.site.world.advance(0.1)
        states = daemon.calls.keeper.state_dump()['app'].values()
        self.assertEqual([state['in_progress'] for state in states], [0, 0])

    def test_call_that_is_not_idempotent_is_sent_once(self):
        """Guards against two runs of one order."""
        self.check_prompt_service(['vm-0'], 24)
        for app in self.site.apps:
            app.run_seconds = 1
        for _call in range(3):
            self.site.send('vm-0', self.site.call('/orders/1'))
        self.assertEqual(self.hedged(), 0)
        self.assertEqual(max(self.runs_by_request().values()), 1)

    def test_hedges_stay_within_the_retry_budget(self):
        """Guards against doubling the calls to a slow service."""
        for vm_id in self.site.vms_by_id:
            settings = self.daemon(vm_id).settings.gateway
            settings.retry_ratio = 0
            settings.retry_slack = 0
        self.check_prompt_service(['vm-0'], 24)
        for app in self.site.apps:
            app.run_seconds = 0.3
        for _call in range(8):
            self.read('vm-0')
        self.assertEqual(self.hedged(), 0)

    def test_hedges_stay_within_the_attempts_of_the_route(self):
        """Guards against more runs than the operator allows."""
        routes = [self.site._route(route) for route in ROUTES]
        for route in routes:
            route['MaxAttempts'] = 1
        self.site.publish(Routes=routes)
        self.site.world.advance(3)
        self.slow_down()
        for _call in range(4):
            self.read('vm-0')
        self.assertEqual(self.hedged(), 0)
        self.assertEqual(max(self.runs_by_request().values()), 1)


class TestHedgeRace(unittest.TestCase):
    """A response that arrives while the keeper is asked for a hedge."""

    def test_late_grant_is_given_back(self):
        """Guards against a hedge of a call that has its response."""
        asked, done = curio.Event(), curio.Event()
        client, attempts = Mock(counts=CallCounts(), end=AsyncMock()), Mock()
        client.delays.delay.return_value = 0.001
        second = CallChoice(upstream('up-0'), 'vm-0', 1)

        async def send(*_call):
            await asked.wait()
            await done.set()
            return SendResult(Outcome.DONE)

        async def ask(*_call):
            await asked.set()
            await done.wait()
            return second

        client.ask = ask
        hedges = Hedges(Mock(), client, attempts, send)
        request = Mock(id='call', service='app', tried=[], refused_by=[])
        request.remaining.return_value = 1
        curio.run(hedges.send, request, CallChoice(upstream('up-0'), 'vm-0', 1))
        attempts.reserve_hedge.assert_not_called()
        client.end.assert_awaited_once_with(request, second)


class TestEnds(unittest.TestCase):
    """What a VM does at the end of a call."""

    def test_count_of_calls_in_progress(self):
        """Guards against a count that stays after the keeper is not told."""
        balancer = Balancer('east', random.Random(1), UpstreamStatuses())
        relay = Mock(
            exchange=AsyncMock(return_value=SendResult(Outcome.DONE)),
        )
        client = Mock(end=AsyncMock(side_effect=curio.TaskCancelled()))
        server = CallServer(Mock(), balancer, relay, Mock(), client, Mock())
        choice = CallChoice(upstream('up-0'), 'vm-0', 1)
        with self.assertRaises(curio.TaskCancelled):
            server._send_once(Mock(), choice).send(None)
        self.assertEqual(balancer.stats('up-0').under_way, 0)

    def test_refused_retry_names_its_time(self):
        """Guards against callers that return before the keeper expects room."""
        refusal = ServingError(ErrorKind.OVERLOADED, 'full', retry_after=3)
        client = Mock(choose=AsyncMock(side_effect=refusal))
        server = CallServer(Mock(), Mock(), Mock(), Mock(), client, Mock())
        request, last = Mock(tried=[]), SendResult(Outcome.NOT_RUN)
        with self.assertRaises(StopIteration):
            server._choose(request, last).send(None)
        self.assertEqual(final_error(request, last).retry_after, 3)

    def test_rest_of_one_vm_is_no_failure(self):
        """Guards against a stall for all VMs as one VM is to rest."""
        choice = CallChoice(upstream('up-0'), 'vm-0', 1)
        outcome = _outcome_of(Mock(), choice, SendResult(Outcome.REJECTED))
        self.assertIs(outcome, CallOutcome.ABANDONED)


class TestSwitch(unittest.TestCase):
    """The setting ``shared_calls``."""

    def test_no_keeper_is_asked_when_switched_off(self):
        """Guards against a switch without effect."""
        site = Site(2)
        self.addCleanup(site.close)
        default = site._settings
        site._settings = lambda vm: _without_sharing(default(vm))
        for vm_id in site.vms_by_id:
            site.start(vm_id)
        site.world.advance(6)
        for vm_id in site.vms_by_id:
            site.send(vm_id, site.call('/reads/1'))
            counts = site.vms_by_id[vm_id].daemon.calls.client.counts
            self.assertEqual((counts.granted, counts.local), (0, 1))


def _without_sharing(settings):
    settings.gateway.shared_calls = False
    return settings
