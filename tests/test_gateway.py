"""Complete gateway daemons on stand-ins of the users' platform."""

from __future__ import annotations

import json
import unittest
from itertools import pairwise

from tests.rig.site import Site


def events_of(body: bytes) -> list[str]:
    """Return the data of each event of a stream."""
    lines = body.decode().split('\n')
    return [line.removeprefix('data: ') for line in lines if 'data' in line]


class SiteTest(unittest.TestCase):
    """A site with three VMs, two engines and two plain upstreams."""

    def setUp(self) -> None:
        """Start the site."""
        self.site = Site.started()
        self.addCleanup(self.site.close)


class TestCalls(SiteTest):
    """Calls of plain services."""

    def test_complete_response_is_returned(self):
        response = self.site.send('vm-0', self.site.call('/reads/7?x=1'))
        self.assertEqual(response.status, 200)
        self.assertIn(b'ran /reads/7?x=1', response.body)
        self.assertTrue(response.header('response-seal'))

    def test_reserved_headers_of_callers_are_dropped(self):
        """A caller sends the header that reserves engine memory.

        If it were forwarded, the caller would use the place of another
        request.
        """
        call = self.site.call('/reads/1', Hold='h1', Request_Priority='0')
        self.site.send('vm-0', call)
        seen = [h for app in self.site.apps for h in app.headers_seen]
        self.assertNotIn('hold', seen[0])
        self.assertNotIn('request-priority', seen[0])
        self.assertLessEqual(int(seen[0]['time-budget-ms']), 5000)

    def test_unknown_path(self):
        response = self.site.send('vm-0', self.site.call('/nothing/1'))
        self.assertEqual(response.status, 404)

    def test_repeatable_call_goes_to_another_upstream(self):
        for app in self.site.apps:
            app.lose_answers = 1
        self.site.apps[1].lose_answers = 0
        statuses = {
            self.site.send('vm-0', self.site.call('/reads/1')).status
            for _call in range(4)
        }
        self.assertEqual(statuses, {200})

    def test_order_whose_response_is_lost_runs_once(self):
        """An upstream runs a non-idempotent order and its response is lost.

        Guards against a retry by the gateway, and against a response that
        claims that the order did not run, after which the caller would
        retry. A second run would ruin the engraved bottle.
        """
        for app in self.site.apps:
            app.lose_answers = 1
        call = self.site.call('/orders/1')
        response = self.site.send('vm-0', call)
        self.assertEqual(response.status, 502)
        runs = sum(sum(a.runs_by_request.values()) for a in self.site.apps)
        self.assertEqual(runs, 1)

    def test_order_refused_by_all_upstreams_has_not_run(self):
        for app in self.site.apps:
            app.full = True
        response = self.site.send('vm-0', self.site.call('/orders/1'))
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header('retry-after')), 0)
        self.assertFalse(any(a.runs_by_request for a in self.site.apps))

    def test_failure_response_of_upstream_is_returned(self):
        for app in self.site.apps:
            app.failures = 5
        response = self.site.send('vm-0', self.site.call('/orders/1'))
        self.assertEqual(response.status, 500)
        self.assertTrue(response.header('response-seal'))


class TestCompletions(SiteTest):
    """Completions on the engines."""

    def test_adapter_is_loaded_by_the_owner(self):
        for vm_id in self.site.vms_by_id:
            response = self.site.send(vm_id, self.site.chat(f'a-{vm_id}'))
            self.assertEqual(response.status, 200)
            self.assertEqual(len(events_of(response.body)), 4)
        holders = {h for e in self.site.engines for h, _f, _w in e.orders}
        self.assertEqual(len(holders), 1)

    def test_many_adapters_never_overfill_an_engine(self):
        tasks = [
            self.site.begin(f'vm-{n % 3}', self.site.chat(f'a{n}'))
            for n in range(12)
        ]
        answers = [self.site.wait(task) for task in tasks]
        served = [a for a in answers if a.status == 200]
        self.assertGreaterEqual(len(served), 8)
        self.assertEqual([e.crashes for e in self.site.engines], [0, 0])

    def test_broken_chat_is_reported_as_broken(self):
        """The connection to an engine breaks during a stream.

        If the stream to the caller ended cleanly, the fragment would look
        like a complete response.
        """
        for engine in self.site.engines:
            engine.break_after = 2
        lost = self.site.wait(self.site.begin('vm-0', self.site.chat('a')))
        self.assertIsInstance(lost, Exception)

    def test_broken_review_resumes_after_its_last_event(self):
        self.site.engines[0].break_after = 2
        self.site.engines[1].break_after = 2
        call = self.site.chat('a', '/reviews/1')
        response = self.site.send('vm-0', call)
        self.assertEqual(
            events_of(response.body), [f'a {n}' for n in (1, 2, 3, 4)]
        )

    def test_new_version_is_served(self):
        self.site.send('vm-0', self.site.chat('a'))
        announced = {'Model': 'base', 'Adapter': 'a', 'Version': 2}
        self.site.store.put('op/version/base.a', announced)
        self.site.world.advance(2)
        self.assertEqual(
            self.site.send('vm-1', self.site.chat('a')).status, 200
        )
        newest = [e.resident.get('a') for e in self.site.engines]
        self.assertIn(2, newest)

    def test_replacement_that_fails_keeps_its_slot(self):
        """The load of a newer adapter version fails.

        Guards against forgetting the old version, which still occupies its
        slot, so that the next load would overfill the engine.
        """
        for name in ('a', 'b', 'c', 'd'):
            self.site.send('vm-0', self.site.chat(name))
        announced = {'Model': 'base', 'Adapter': 'a', 'Version': 2}
        self.site.store.put('op/version/base.a', announced)
        self.site.world.advance(1)
        for engine in self.site.engines:
            engine.newest = 2
            engine.refuses_versions = True
        self.site.send('vm-0', self.site.chat('a'))
        for name in ('e', 'f', 'g'):
            self.site.send('vm-1', self.site.chat(name))
        self.assertEqual([e.crashes for e in self.site.engines], [0, 0])

    def test_caller_that_disconnects_while_a_load_fails_holds_no_place(self):
        """A caller disconnects while the load of its adapter fails.

        Guards against queueing its request again, which then got a place
        that was never released.
        """
        for engine in self.site.engines:
            engine.order_seconds = 0.3
            engine.dropped_orders = 1
        task = self.site.begin('vm-0', self.site.chat('a'))
        self.site.world.advance(0.1)
        self.site.caller.network.shut_down_connections()
        self.site.world.advance(8)
        self.assertTrue(task.terminated)
        owner = self.site.vms_by_id[self.site.owner()].daemon
        for engine in owner.owned.find(
            'engines'
        ).engines.engines_by_id.values():
            self.assertFalse(engine.ledger.places)

    def test_unknown_adapter_is_refused_at_once(self):
        """A caller names an adapter that does not exist.

        Guards against an owner that repeats the load order until the caller
        disconnects.
        """
        started_at = self.site.world.monotonic()
        response = self.site.send('vm-0', self.site.chat('unknown'))
        self.assertEqual(response.status, 503)
        self.assertLess(self.site.world.monotonic() - started_at, 0.5)
        refused = sum(e.refused_orders for e in self.site.engines)
        self.assertLessEqual(refused, 2)

    def test_engine_without_a_model_gets_one(self):
        self.site.engines[0].models.clear()
        self.site.world.advance(3)
        self.assertEqual(self.site.engines[0].models, ['base'])


class TestOwners(SiteTest):
    """The owner of the engines is killed, leaves or is partitioned."""

    def serve_all(self):
        """Send one request to each running VM."""
        running = [v.id for v in self.site.vms_by_id.values() if v.daemon]
        return [
            self.site.send(vm_id, self.site.chat(f'new-{vm_id}')).status
            for vm_id in running
        ]

    def test_owner_is_killed(self):
        self.site.kill(self.site.owner())
        self.site.world.advance(1.5)
        self.assertEqual(self.serve_all(), [200, 200])

    def test_owner_leaves(self):
        owner = self.site.owner()
        vm = self.site.vms_by_id[owner]
        stream = self.site.begin(owner, self.site.chat('a'))
        self.site.world.advance(0.4)
        vm.node.spawn(vm.daemon.begin_leaving)
        self.assertEqual(self.site.wait(stream).status, 200)
        self.site.world.advance(1)
        others = self.site.others()
        addresses = self.site.ask_directory(others[0]).body
        self.assertNotIn(vm.front, json.loads(addresses)['Addrs'])
        answer = self.site.send(others[0], self.site.chat('b'))
        self.assertEqual(answer.status, 200)

    def test_orders_of_two_owners_do_not_alternate(self):
        """The owner is partitioned from the other VMs, not from the engines.

        Both partitions claim the engines. Alternating orders of two holders
        would violate the lease, and each holder would undo the loads of the
        other.
        """
        owner = self.site.owner()
        others = self.site.others()
        self.site.links.partition([owner], others)
        for number in range(8):
            self.site.begin(owner, self.site.chat(f'x{number}'))
            self.site.begin(others[0], self.site.chat(f'y{number}'))
            self.site.world.advance(1)
        self.site.links.heal()
        self.site.world.advance(8)
        for engine in self.site.engines:
            turns = [holder for holder, _fence, _what in engine.orders]
            changes = sum(a != b for a, b in pairwise(turns))
            self.assertLessEqual(changes, 1)
        self.assertTrue(self.site.owner())


class TestPublished(SiteTest):
    """Published entries change, expire or are malformed."""

    def test_malformed_entries_are_ignored(self):
        self.site.store.put_bytes('servers/odd', b'\xff{')
        self.site.store.put('servers/bare', {'Service': 'app'})
        self.site.store.put_bytes('op/config', b'not json')
        self.site.world.advance(2)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 200)

    def test_draining_upstream_gets_no_new_requests(self):
        self.site.register(self.site.apps[0], 'draining')
        self.site.world.advance(1.5)
        before = sum(self.site.apps[0].runs_by_request.values())
        for _call in range(6):
            self.site.send('vm-1', self.site.call('/reads/1'))
        after = sum(self.site.apps[0].runs_by_request.values())
        self.assertEqual(after, before)

    def test_vm_without_the_store_learns_changes_from_other_vms(self):
        """One VM cannot reach the store while the others can.

        Guards against a VM that keeps using old routes and upstreams that
        have been removed.
        """
        self.site.links.partition(['vm-2'], ['store'])
        self.site.publish(Routes=[])
        self.site.world.advance(3)
        answer = self.site.send('vm-2', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 404)

    def test_older_configuration_is_ignored(self):
        self.site.store.put(
            'op/config',
            {'Version': 1, 'Routes': [], 'Services': []},
        )
        self.site.world.advance(2)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 200)

    def test_store_that_dropped_history_is_read_again(self):
        self.site.links.partition(['vm-0', 'vm-1', 'vm-2'], ['store'])
        self.site.world.advance(6)
        self.site.register(self.site.apps[0], 'draining')
        self.site.store.delete('servers/app-0')
        self.site.store.tombstones_by_key.clear()
        self.site.store.oldest = self.site.store.revision
        self.site.links.heal()
        self.site.world.advance(6)
        upstreams = self.site.vms_by_id['vm-0'].daemon.catalogue.upstreams(
            'app'
        )
        self.assertEqual([one.id for one in upstreams], ['app-1'])

    def test_entries_that_expire_during_an_outage_are_kept_for_a_time(self):
        """Entries of running upstreams expire during a store outage.

        Guards against removing the upstreams immediately: no request could
        be served until they register again, up to two seconds later.
        """
        self.site.store.refusal = 503
        self.site.world.advance(5)
        for app in self.site.apps:
            self.site.store.delete(f'servers/{app.name}')
        self.site.store.refusal = 0
        self.site.world.advance(1.2)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 200)
        self.site.world.advance(5)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 503)


class TestStart(unittest.TestCase):
    """Start of VMs without a known configuration."""

    def test_fleet_that_starts_together_does_not_overload_the_store(self):
        """Guards against a store watch by each VM that knows no other yet."""
        vms = 12
        site = Site(vms)
        self.addCleanup(site.close)
        for vm_id in site.vms_by_id:
            site.start(vm_id)
        site.world.advance(0.5)
        self.assertLessEqual(site.store.calls, vms)

    def test_no_configuration_yet(self):
        site = Site()
        self.addCleanup(site.close)
        site.store.refusal = 503
        site.start('vm-0')
        site.world.advance(1)
        answer = site.send('vm-0', site.call('/reads/1'))
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.header('retry-after')), 0)
