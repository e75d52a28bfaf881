"""Ownership of engines settles after VMs fail, pause or are partitioned."""

from __future__ import annotations

import unittest

from tests.rig.fleet import (
    Fleet,
    Shape,
    completion_call,
    error_type,
    outcome_of,
    ran,
)

OK = 200


class SettlingCase(unittest.TestCase):
    """A fleet of many VMs over four failure domains."""

    shape = Shape(
        vms=12,
        engines=6,
        adapters=24,
        domains=('korangi', 'site-area', 'landhi', 'port-qasim'),
    )

    def setUp(self):
        """Start a fleet and let it run for 20 s."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(20)

    def settle(self, seconds):
        """Wait until every engine has one owner; return the seconds it took."""
        started = self.fleet.world.current_time
        settled = self.fleet.world.run_until(self.fleet.is_settled, seconds)
        self.assertTrue(settled, self.fleet.owners())
        return self.fleet.world.current_time - started

    def owner(self, engine='engine-0'):
        """Return the VM that owns an engine."""
        return self.fleet.owners()[engine][0]

    def other_than(self, *excluded):
        """Return a running VM that is not among ``excluded``."""
        return next(
            vm_id
            for vm_id, vm in self.fleet.vms_by_id.items()
            if vm.node is not None and vm_id not in excluded
        )

    def serve_all(self, vm_id):
        """Check that requests for every adapter succeed through a VM."""
        for index in range(self.shape.adapters):
            response = self.fleet.complete(vm_id, f'adapter-{index}')
            self.assertEqual(response.status, OK, response.body)

    def evicted_in_use(self):
        """Return the number of adapters evicted while in use."""
        return sum(
            engine.counted.evicted_in_use
            for engine in self.fleet.engines_by_id.values()
        )


class LostVmTest(SettlingCase):
    """VMs are killed, paused, resumed or replaced."""

    def test_owner_is_killed(self):
        """The VM that owns an engine is killed.

        Within a few seconds its engines, and no others, get new owners. A
        request sent before that is delayed but succeeds.
        """
        before = self.fleet.owners()
        owner = self.owner()
        self.fleet.kill(owner)
        response = self.fleet.complete(self.other_than(owner), 'adapter-1')
        self.assertEqual(response.status, OK)
        self.settle(10)
        moved = {
            engine
            for engine, owners in self.fleet.owners().items()
            if owners != before[engine]
        }
        lost = {
            engine for engine, owners in before.items() if owners == [owner]
        }
        self.assertEqual(moved, lost)
        self.serve_all(self.other_than(owner))

    def test_full_engine_evicts_after_its_owner_is_killed(self):
        """The engine of a killed owner has no free slot.

        The new owner knows that the previous process has ended, so it
        evicts at once instead of waiting until the lease expires.
        """
        placement = self.fleet.daemon('vm-0').placement
        names_by_engine = {engine: [] for engine in self.fleet.engines_by_id}
        for index in range(self.shape.adapters):
            for version in (1, 2):
                name = f'adapter-{index}@{version}'
                first = placement.order(name, 'base')[0]
                names_by_engine[first].append(name)
        engine, mine = max(
            names_by_engine.items(),
            key=lambda entry: len(entry[1]),
        )
        owner = self.owner(engine)
        for name in mine:
            self.fleet.complete(owner, name)
        resident = self.fleet.engines_by_id[engine].resident
        absent = [name for name in mine if name not in resident]
        self.assertEqual(len(resident), self.shape.slots)
        started = self.fleet.world.current_time
        self.fleet.kill(owner)
        response = self.fleet.complete(self.other_than(owner), absent[0])
        self.assertEqual(response.status, OK)
        self.assertLess(self.fleet.world.current_time - started, 4.5)

    def test_failure_domain_is_killed(self):
        """All VMs of one failure domain are killed at once.

        Its engines keep running and get owners in other domains.
        """
        lost = [
            vm.id
            for vm in self.fleet.vms_by_id.values()
            if vm.domain == 'korangi'
        ]
        for vm_id in lost:
            self.fleet.kill(vm_id)
        self.settle(15)
        self.serve_all(self.other_than(*lost))

    def test_replaced_vm_takes_over(self):
        """The process of a VM is replaced at the same address within 1 s.

        The new process takes over the engines of the previous one.
        """
        owner = self.owner()
        self.fleet.kill(owner)
        self.fleet.world.advance(1)
        self.fleet.start(owner)
        self.fleet.world.advance(15)
        self.settle(15)
        self.assertEqual(self.owner(), owner)
        self.serve_all(owner)

    def test_paused_owner_resumes_after_a_takeover(self):
        """The owner of an engine is paused for a minute and resumes.

        Another VM has taken over the engine by then. The old owner must
        detect that before it dispatches or evicts anything.
        """
        owner = self.owner()
        self.fleet.pause(owner)
        self.fleet.world.advance(60)
        other = self.other_than(owner)
        self.serve_all(other)
        self.fleet.wake(owner)
        self.serve_all(owner)
        self.fleet.world.advance(10)
        self.settle(20)
        self.assertEqual(self.evicted_in_use(), 0)
        late = self.fleet.daemon(owner).gossip.counts.late_wakeups
        self.assertEqual(late, 1)

    def test_flapping_vm_does_not_move_ownership_each_time(self):
        """A VM is paused and resumed repeatedly.

        After each return the VM waits longer before it is present again, so
        its engines do not change owners each time.
        """
        owner = self.owner()
        claims = 0
        for _turn in range(6):
            self.fleet.pause(owner)
            self.fleet.world.advance(8)
            self.fleet.wake(owner)
            self.fleet.world.advance(4)
        claims = sum(
            entry.counts.claims
            for daemon in self.fleet.daemons()
            for entry in daemon.engines.owners()
            if entry.engine.id == 'engine-0'
        )
        self.assertLessEqual(claims, 6)
        self.fleet.world.advance(70)
        self.settle(20)
        self.assertEqual(self.owner(), owner)


class LinkTest(SettlingCase):
    """Links between VMs are cut, in one or both directions."""

    def test_partition_and_healing(self):
        """The fleet is partitioned in two for a while; both parts serve.

        During the partition an engine accepts orders of one owner only, and
        no adapter in use is evicted. After it heals, each engine has one
        owner again.
        """
        ids = list(self.fleet.vms_by_id)
        self.fleet.links.partition(ids[:5], ids[5:])
        self.fleet.world.advance(30)
        answered = 0
        for vm_id in (ids[0], ids[-1]):
            for index in range(12):
                response = self.fleet.complete(vm_id, f'adapter-{index}')
                answered += response.status == OK
        self.assertGreaterEqual(answered, 12)
        self.fleet.links.heal()
        self.fleet.world.advance(30)
        self.settle(60)
        self.assertEqual(self.evicted_in_use(), 0)
        self.serve_all(ids[0])

    def test_one_way_link_changes_no_owner(self):
        """Messages pass between two VMs in one direction only.

        Other VMs confirm that both are alive, so neither is declared dead
        and no engine changes owners. Requests avoid the broken link.
        """
        before = self.fleet.owners()
        owner = self.owner()
        other = self.other_than(owner)
        self.fleet.links.cut(other, owner)
        self.fleet.world.advance(60)
        self.assertEqual(self.fleet.owners(), before)
        response = self.fleet.complete(other, 'adapter-1')
        self.assertEqual(response.status, OK)

    def test_loss_of_datagrams(self):
        """One datagram in twenty is lost for ten minutes.

        Suspicions are raised and refuted; ownership does not change.
        """
        before = self.fleet.owners()
        self.fleet.links.loss = 0.05
        self.fleet.world.advance(600)
        self.assertEqual(self.fleet.owners(), before)

    def test_owner_is_cut_off_from_its_engine(self):
        """A VM cannot reach an engine that it owns; all other links work.

        Requests for it are served by other engines.
        """
        owner = self.owner()
        self.fleet.links.partition([owner], ['engine-0'])
        other = self.other_than(owner)
        self.serve_all(other)


class FencingTest(SettlingCase):
    """Two VMs consider themselves owners of the same engine."""

    def split(self):
        """Partition the owner of engine-0 from all other VMs."""
        owner = self.owner()
        others = [vm for vm in self.fleet.vms_by_id if vm != owner]
        self.fleet.links.partition([owner], others)
        return owner, others[0]

    def test_old_owner_stops_after_a_takeover(self):
        """The engine checks fencing numbers.

        After the new owner's claim, the engine refuses every order of the
        old owner, which detects that and stops.
        """
        owner = self.owner()
        mine = self.fleet.daemon(owner).engines.find('engine-0')
        old_number = mine._fencing_number
        self.split()
        engine = self.fleet.engines_by_id['engine-0']
        self.fleet.world.advance(15)
        self.assertGreater(engine.number, old_number)
        refused = engine.counted.refused_orders
        outcome = self.fleet.world.ask(
            self.fleet.vms_by_id[owner].node,
            mine.api.load,
            'adapter-9@1',
            old_number,
        )
        self.assertTrue(outcome.is_error())
        self.assertEqual(engine.counted.refused_orders, refused + 1)
        self.assertNotIn('adapter-9@1', engine.resident)
        holding = [
            daemon.settings.vm.id
            for daemon in self.fleet.daemons()
            if (entry := daemon.engines.find('engine-0')) is not None
            and entry._fencing_number == engine.number
        ]
        self.assertEqual(len(holding), 1)

    def test_long_request_of_the_old_owner_survives(self):
        """A long request runs at the old owner while a new one takes over.

        The new owner's requests need slots; it must not evict the adapter
        that the long request uses.
        """
        owner = self.owner()
        names = [f'adapter-{index}' for index in range(24)]
        placement = self.fleet.daemon(owner).placement
        mine = [
            name
            for name in names
            if placement.order(f'{name}@2', 'base')[0] == 'engine-0'
        ]
        address = self.fleet.vms_by_id[owner].http_address
        long_request = self.fleet.caller.start(
            address,
            completion_call(mine[0], 'review', max_tokens=2500),
        )
        self.fleet.world.advance(2)
        _owner, other = self.split()
        for turn in range(30):
            name = mine[1 + turn % (len(mine) - 1)]
            self.fleet.complete(other, name, f'{turn}')
            self.fleet.world.advance(0.5)
        self.fleet.world.run_until(lambda: long_request.terminated, 100)
        self.assertEqual(
            outcome_of(long_request).status, OK, outcome_of(long_request)
        )
        self.assertEqual(self.evicted_in_use(), 0)


class NoFencingTest(FencingTest):
    """Runs the fencing tests on engines that ignore fencing numbers."""

    shape = Shape(
        vms=12,
        engines=6,
        adapters=24,
        domains=('korangi', 'site-area', 'landhi', 'port-qasim'),
        fencing=False,
    )

    def test_old_owner_stops_after_a_takeover(self):
        """The engine is owned by the part of the fleet with a quorum.

        The old owner, partitioned from the others, stops dispatching before
        the new one evicts anything.
        """
        owner, other = self.split()
        self.fleet.world.advance(15)
        self.assertNotIn(owner, self.fleet.owners()['engine-0'])
        self.assertEqual(len(self.fleet.owners()['engine-0']), 1)
        for turn in range(10):
            self.fleet.complete(owner, f'adapter-{turn}', 'a')
            self.fleet.complete(other, f'adapter-{turn + 10}', 'b')
        self.assertEqual(self.evicted_in_use(), 0)


class LeavingTest(SettlingCase):
    """VMs and engines are taken out of service in an orderly way."""

    shape = Shape(
        vms=20,
        engines=6,
        adapters=24,
        domains=('korangi', 'site-area', 'landhi', 'port-qasim'),
    )

    def leave(self, vm_id):
        """Make a VM begin to leave."""
        self.fleet.world.ask(
            self.fleet.vms_by_id[vm_id].node,
            self.fleet.daemon(vm_id).begin_leaving,
        )

    def test_leaving_vm_finishes_its_requests(self):
        """A VM leaves while it runs a request; the published list lags 30 s.

        After a few seconds no VM counts it as present, and it refuses new
        requests as not run. It finishes its requests before it ends.
        """
        owner = self.owner()
        address = self.fleet.vms_by_id[owner].http_address
        long_task = self.fleet.caller.start(
            address,
            completion_call('adapter-1', 'long', max_tokens=600),
        )
        self.fleet.world.advance(1)
        self.leave(owner)
        self.fleet.world.advance(3.1)
        for daemon in self.fleet.daemons():
            self.assertNotIn(owner, daemon.members.present_ids())
        refused = self.fleet.complete(owner, 'adapter-2')
        self.assertEqual(error_type(refused), 'leaving')
        self.assertEqual(ran(refused), 'no')
        self.fleet.world.run_until(lambda: long_task.terminated, 60)
        self.assertEqual(outcome_of(long_task).status, OK)
        daemon = self.fleet.daemon(owner)
        self.assertTrue(
            self.fleet.world.run_until(daemon.stopped.is_set, 10),
        )
        self.settle(15)

    def test_leaving_engine_gets_no_new_work(self):
        """The inventory marks an engine as leaving.

        The engine finishes its requests; new ones go to other engines
        within seconds.
        """
        first = self.fleet.caller.start(
            self.fleet.vms_by_id['vm-0'].http_address,
            completion_call('adapter-1', 'long', max_tokens=600),
        )
        self.fleet.world.advance(2)
        page = self.fleet.page()
        busy = next(
            name
            for name, engine in self.fleet.engines_by_id.items()
            if +engine.running
        )
        for engine in page['engines']:
            engine['leaving'] = engine['id'] == busy
        self.fleet.publish(engines=page['engines'])
        self.fleet.world.advance(4)
        runs = self.fleet.engines_by_id[busy].counted.runs
        self.serve_all('vm-3')
        self.assertEqual(self.fleet.engines_by_id[busy].counted.runs, runs)
        self.fleet.world.run_until(lambda: first.terminated, 60)
        self.assertEqual(outcome_of(first).status, OK)
