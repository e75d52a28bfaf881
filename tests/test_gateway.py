"""Whole gateway daemons on a small stand-in of the users' platform."""

from __future__ import annotations

import json
import unittest
from itertools import pairwise

from tests.rig.site import Site


def events_of(body: bytes) -> list[str]:
    """Give the data of a stream's events."""
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

    def test_answer_is_passed_back_whole(self):
        response = self.site.send('vm-0', self.site.call('/reads/7?x=1'))
        self.assertEqual(response.status, 200)
        self.assertIn(b'ran /reads/7?x=1', response.body)
        self.assertTrue(response.header('response-seal'))

    def test_what_is_ours_to_set_is_not_the_callers(self):
        """A caller sends a header by which only this system reserves memory.

        Passed on, it would give the caller another request's place.
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

    def test_order_whose_answer_is_lost_runs_once(self):
        """An upstream runs a laser order and its answer is lost.

        Sent again, it would ruin a bottle; called not run, its caller would
        send it again.
        """
        for app in self.site.apps:
            app.lose_answers = 1
        call = self.site.call('/orders/1')
        response = self.site.send('vm-0', call)
        self.assertEqual(response.status, 502)
        runs = sum(sum(a.runs_by_request.values()) for a in self.site.apps)
        self.assertEqual(runs, 1)

    def test_order_that_nobody_takes_has_not_run(self):
        for app in self.site.apps:
            app.full = True
        response = self.site.send('vm-0', self.site.call('/orders/1'))
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header('retry-after')), 0)
        self.assertFalse(any(a.runs_by_request for a in self.site.apps))

    def test_upstreams_own_failure_is_passed_back(self):
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

    def test_broken_chat_is_broken_visibly(self):
        """An engine's connection breaks within a stream.

        Ended cleanly, the fragment would pass for the whole answer.
        """
        for engine in self.site.engines:
            engine.break_after = 2
        lost = self.site.wait(self.site.begin('vm-0', self.site.chat('a')))
        self.assertIsInstance(lost, Exception)

    def test_broken_review_goes_on_behind_its_last_event(self):
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
        """The load of a newer version is lost on its way.

        The old version was forgotten while it still took a slot, and the
        next load overfilled the engine.
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

    def test_caller_that_leaves_while_a_load_fails_holds_no_place(self):
        """A caller leaves while its adapter is being loaded, in vain.

        Its request was queued again and got a place that nobody gave back.
        """
        for engine in self.site.engines:
            engine.order_seconds = 0.3
            engine.dropped_orders = 1
        task = self.site.begin('vm-0', self.site.chat('a'))
        self.site.world.advance(0.1)
        self.site.caller.network.hang_up()
        self.site.world.advance(8)
        self.assertTrue(task.terminated)
        owner = self.site.vms_by_id[self.site.owner()].daemon
        for engine in owner.owned.find(
            'engines'
        ).engines.engines_by_id.values():
            self.assertFalse(engine.ledger.places)

    def test_unknown_adapter_is_refused_at_once(self):
        """A caller names an adapter that does not exist.

        The owner ordered its load again and again until the caller left.
        """
        began = self.site.world.monotonic()
        response = self.site.send('vm-0', self.site.chat('unknown'))
        self.assertEqual(response.status, 503)
        self.assertLess(self.site.world.monotonic() - began, 0.5)
        refused = sum(e.refused_orders for e in self.site.engines)
        self.assertLessEqual(refused, 2)

    def test_engine_without_a_model_gets_one(self):
        self.site.engines[0].models.clear()
        self.site.world.advance(3)
        self.assertEqual(self.site.engines[0].models, ['base'])


class TestOwners(SiteTest):
    """The owner of the engines ends, leaves or falls silent."""

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

    def test_two_owners_never_take_turns(self):
        """The owner is cut off from the other VMs, not from the engines.

        Both parts claim the engines. Orders of two holders in turns would
        count as a broken lease, and each would undo the other's loads.
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
    """What is published changes, lapses or is rubbish."""

    def test_foreign_entries_change_nothing(self):
        self.site.store.put_bytes('servers/odd', b'\xff{')
        self.site.store.put('servers/bare', {'Service': 'app'})
        self.site.store.put_bytes('op/config', b'not json')
        self.site.world.advance(2)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 200)

    def test_draining_upstream_gets_nothing_new(self):
        self.site.register(self.site.apps[0], 'draining')
        self.site.world.advance(1.5)
        before = sum(self.site.apps[0].runs_by_request.values())
        for _call in range(6):
            self.site.send('vm-1', self.site.call('/reads/1'))
        after = sum(self.site.apps[0].runs_by_request.values())
        self.assertEqual(after, before)

    def test_vm_that_the_store_turns_away_learns_from_others(self):
        """The store refuses one VM while it serves the rest.

        It would go on with old routes and send to upstreams that have left.
        """
        self.site.links.partition(['vm-2'], ['store'])
        self.site.publish(Routes=[])
        self.site.world.advance(3)
        answer = self.site.send('vm-2', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 404)

    def test_older_configuration_is_not_taken_back(self):
        self.site.store.put(
            'op/config',
            {'Version': 1, 'Routes': [], 'Services': []},
        )
        self.site.world.advance(2)
        answer = self.site.send('vm-0', self.site.call('/reads/1'))
        self.assertEqual(answer.status, 200)

    def test_store_that_dropped_history_is_read_anew(self):
        self.site.links.partition(['vm-0', 'vm-1', 'vm-2'], ['store'])
        self.site.world.advance(6)
        self.site.register(self.site.apps[0], 'draining')
        self.site.store.delete('servers/app-0')
        self.site.store.tombstones_by_key.clear()
        self.site.store.oldest = self.site.store.revision
        self.site.links.heal()
        self.site.world.advance(6)
        known = self.site.vms_by_id['vm-0'].daemon.catalogue.upstreams('app')
        self.assertEqual([one.id for one in known], ['app-1'])

    def test_entries_that_lapse_beside_an_outage_come_back(self):
        """Entries of living upstreams lapse while the store is away.

        Taken for gone at once, nobody could be served until they register
        again, up to two seconds later.
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
    """A VM that knows nothing yet."""

    def test_fleet_that_starts_together_leaves_the_store_alone(self):
        """Guards against a watch by each VM that knows no other yet."""
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
