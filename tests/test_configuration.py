"""An accepted configuration takes effect everywhere and never reverts."""

from __future__ import annotations

import json
import unittest

from tests.rig.fleet import Fleet, Shape

OK = 200


class ConfigurationTest(unittest.TestCase):
    """The configuration service fails in every way it can."""

    shape = Shape(vms=12, engines=2, domains=('a', 'b', 'c', 'd'))

    def setUp(self):
        """Start a fleet."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(10)

    def versions(self):
        """Give the version that each VM holds."""
        return {
            daemon.settings.vm.id: daemon.inventory().version
            for daemon in self.fleet.daemons()
        }

    def all_at(self, version):
        """Tell whether every VM holds a version."""
        return set(self.versions().values()) == {version}

    def spread(self, version, seconds=4):
        """Check that a version is in force everywhere in time."""
        arrived = self.fleet.world.run_until(
            lambda: self.all_at(version),
            seconds,
        )
        self.assertTrue(arrived, self.versions())

    def test_change_is_in_force_everywhere(self):
        """Operators publish; two VMs of each domain watch the service."""
        before = self.fleet.configuration.calls
        self.spread(self.fleet.publish())
        watchers = [
            daemon
            for daemon in self.fleet.daemons()
            if daemon.keeper.is_watcher()
        ]
        self.assertEqual(len(watchers), 8)
        self.fleet.world.advance(60)
        calls = self.fleet.configuration.calls - before
        self.assertLess(calls / 60, 8)

    def test_service_down_for_an_hour(self):
        """The service is down; the fleet goes on with what it has.

        A VM that starts meanwhile gets its configuration from the others.
        """
        self.fleet.configuration.down = True
        self.fleet.world.advance(3600)
        self.fleet.kill('vm-3')
        self.fleet.world.advance(5)
        self.fleet.start('vm-3')
        self.fleet.world.advance(20)
        self.assertTrue(self.fleet.daemon('vm-3').is_ready)
        self.assertEqual(self.fleet.complete('vm-3', 'adapter-1').status, OK)
        self.fleet.configuration.down = False
        self.spread(self.fleet.publish(), seconds=30)

    def test_restart_with_a_stale_service(self):
        """The service went back to an old version, and a VM restarts.

        It asks the others first, so the restart does not revert it.
        """
        self.fleet.configuration.freeze()
        frozen = self.fleet.version
        self.fleet.configuration.thaw()
        old = dict(self.fleet.configuration.values_by_key)
        version = self.fleet.publish()
        self.spread(version)
        self.fleet.configuration.values_by_key = old
        self.fleet.kill('vm-5')
        self.fleet.world.advance(2)
        self.fleet.start('vm-5')
        self.fleet.world.advance(10)
        self.assertGreater(version, frozen)
        self.assertTrue(self.all_at(version), self.versions())

    def test_lower_version_is_ignored(self):
        """The service serves an older manifest again: nobody steps back."""
        version = self.fleet.publish()
        self.spread(version)
        self.fleet.configuration.publish(1, self.fleet.page())
        self.fleet.announce()
        self.fleet.world.advance(30)
        self.assertTrue(self.all_at(version))
        older = sum(
            daemon.keeper.counts.older for daemon in self.fleet.daemons()
        )
        self.assertGreater(older, 0)

    def test_invalid_version_is_refused_whole(self):
        """The export has faults: state and metrics say which and where."""
        version = self.fleet.version
        page = self.fleet.page()
        page['adapters'][0]['current'] = '9'
        page['adapters'][1]['model'] = 'nobody'
        self.fleet.publish(adapters=page['adapters'])
        self.fleet.world.advance(10)
        self.assertTrue(self.all_at(version))
        faults = [
            daemon.state_dump()['configuration']['faults']
            for daemon in self.fleet.daemons()
            if daemon.keeper.faults
        ]
        self.assertGreater(len(faults), 0)
        self.assertIn("adapter 'adapter-0'", faults[0][0])
        self.assertEqual(len(faults[0]), 2)
        self.spread(self.fleet.publish())

    def test_missing_page(self):
        """The manifest is published before one of its pages.

        It is not accepted until the page is there, and then it is.
        """
        held = self.fleet.version
        version = held + 1
        configuration = self.fleet.configuration
        configuration.publish(version, self.fleet.page())
        key = f'inventory/{version}/base'
        page = configuration.values_by_key.pop(key)
        self.fleet.announce()
        self.fleet.world.advance(5)
        self.assertTrue(self.all_at(held))
        configuration.values_by_key[key] = page
        self.spread(version, seconds=6)

    def test_page_with_another_digest(self):
        """A page was changed in place: the version is refused as it is."""
        held = self.fleet.version
        version = held + 1
        configuration = self.fleet.configuration
        configuration.publish(version, self.fleet.page())
        key = f'inventory/{version}/base'
        good = configuration.values_by_key[key].content
        changed = json.loads(good)
        changed['applications'].append({'id': 'smuggled'})
        configuration.put(key, changed)
        self.fleet.announce()
        self.fleet.world.advance(10)
        self.assertTrue(self.all_at(held))
        configuration.put(key, good)
        self.spread(version, seconds=6)

    def test_rubbish_and_slowness(self):
        """The service answers rubbish, then slowly: nothing changes."""
        held = self.fleet.version
        self.fleet.configuration.rubbish = True
        self.fleet.announce()
        self.fleet.world.advance(60)
        self.assertTrue(self.all_at(held))
        self.fleet.configuration.rubbish = False
        self.fleet.configuration.slow_seconds = 1
        self.spread(self.fleet.publish(), seconds=10)

    def test_cold_start_of_the_whole_fleet(self):
        """Every VM restarts at once; only the service knows anything."""
        for vm_id in self.fleet.vms_by_id:
            self.fleet.kill(vm_id)
        for vm_id in self.fleet.vms_by_id:
            self.fleet.start(vm_id)
        self.fleet.wait_ready()
        self.assertEqual(self.fleet.complete('vm-7', 'adapter-1').status, OK)

    def test_watchers_are_cut_off(self):
        """The VMs that watch for a domain cannot reach the service.

        Others of the fleet can, and the news reaches everybody.
        """
        watchers = [
            daemon.settings.vm.id
            for daemon in self.fleet.daemons()
            if daemon.keeper.is_watcher()
            and daemon.settings.vm.failure_domain == 'a'
        ]
        self.fleet.links.partition(watchers, ['configuration'])
        self.fleet.world.advance(30)
        self.spread(self.fleet.publish())
