"""An accepted configuration reaches every VM and is never reverted."""

from __future__ import annotations

import json
import unittest

from tests.rig.fleet import Fleet, Shape

OK = 200


class ConfigurationTest(unittest.TestCase):
    """Updates during failures of the configuration service."""

    shape = Shape(vms=12, engines=2, domains=('a', 'b', 'c', 'd'))

    def setUp(self):
        """Start a fleet in four failure domains."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(10)

    def versions(self):
        """Return the inventory version that each VM holds."""
        return {
            daemon.settings.vm.id: daemon.inventory().version
            for daemon in self.fleet.daemons()
        }

    def all_hold(self, version):
        """Return whether every VM holds ``version``."""
        return set(self.versions().values()) == {version}

    def assert_accepted(self, version, seconds=4):
        """Check that every VM accepts ``version`` within ``seconds``."""
        accepted = self.fleet.world.run_until(
            lambda: self.all_hold(version),
            seconds,
        )
        self.assertTrue(accepted, self.versions())

    def test_change_is_in_force_everywhere(self):
        """A published version reaches every VM.

        Only two VMs of each domain watch the service, which bounds its load.
        """
        before = self.fleet.configuration.calls
        self.assert_accepted(self.fleet.publish())
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
        """The fleet keeps its configuration while the service is down.

        A VM that restarts during the outage gets the configuration from its
        peers.
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
        self.assert_accepted(self.fleet.publish(), seconds=30)

    def test_restart_with_a_stale_service(self):
        """A restarted VM does not revert to the service's older version.

        The service lost its newest version. The VM asks its peers before
        the service, so it still gets the newest one.
        """
        self.fleet.configuration.freeze()
        frozen = self.fleet.version
        self.fleet.configuration.thaw()
        old = dict(self.fleet.configuration.values_by_key)
        version = self.fleet.publish()
        self.assert_accepted(version)
        self.fleet.configuration.values_by_key = old
        self.fleet.kill('vm-5')
        self.fleet.world.advance(2)
        self.fleet.start('vm-5')
        self.fleet.world.advance(10)
        self.assertGreater(version, frozen)
        self.assertTrue(self.all_hold(version), self.versions())

    def test_lower_version_is_ignored(self):
        """VMs ignore a manifest older than the one they hold."""
        version = self.fleet.publish()
        self.assert_accepted(version)
        self.fleet.configuration.publish(1, self.fleet.page())
        self.fleet.announce()
        self.fleet.world.advance(30)
        self.assertTrue(self.all_hold(version))
        older = sum(
            daemon.keeper.counts.older for daemon in self.fleet.daemons()
        )
        self.assertGreater(older, 0)

    def test_invalid_version_is_refused_whole(self):
        """A faulty version is rejected; the state dump lists the faults."""
        version = self.fleet.version
        page = self.fleet.page()
        page['adapters'][0]['current'] = '9'
        page['adapters'][1]['model'] = 'nobody'
        self.fleet.publish(adapters=page['adapters'])
        self.fleet.world.advance(10)
        self.assertTrue(self.all_hold(version))
        faults = [
            daemon.state_dump()['configuration']['faults']
            for daemon in self.fleet.daemons()
            if daemon.keeper.faults
        ]
        self.assertGreater(len(faults), 0)
        self.assertIn("adapter 'adapter-0'", faults[0][0])
        self.assertEqual(len(faults[0]), 2)
        self.assert_accepted(self.fleet.publish())

    def test_missing_page(self):
        """A manifest is accepted only once all its pages are published.

        Here the manifest is published before one of its pages.
        """
        held = self.fleet.version
        version = held + 1
        configuration = self.fleet.configuration
        configuration.publish(version, self.fleet.page())
        key = f'inventory/{version}/base'
        page = configuration.values_by_key.pop(key)
        self.fleet.announce()
        self.fleet.world.advance(5)
        self.assertTrue(self.all_hold(held))
        configuration.values_by_key[key] = page
        self.assert_accepted(version, seconds=6)

    def test_page_with_another_digest(self):
        """A page that does not match its digest prevents acceptance.

        The page was changed in place. The version is accepted once the
        original page is restored.
        """
        held = self.fleet.version
        version = held + 1
        configuration = self.fleet.configuration
        configuration.publish(version, self.fleet.page())
        key = f'inventory/{version}/base'
        original = configuration.values_by_key[key].content
        changed = json.loads(original)
        changed['applications'].append({'id': 'smuggled'})
        configuration.put(key, changed)
        self.fleet.announce()
        self.fleet.world.advance(10)
        self.assertTrue(self.all_hold(held))
        configuration.put(key, original)
        self.assert_accepted(version, seconds=6)

    def test_malformed_and_slow_answers(self):
        """Malformed answers change nothing; slow answers are still accepted."""
        held = self.fleet.version
        self.fleet.configuration.sends_invalid_json = True
        self.fleet.announce()
        self.fleet.world.advance(60)
        self.assertTrue(self.all_hold(held))
        self.fleet.configuration.sends_invalid_json = False
        self.fleet.configuration.slow_seconds = 1
        self.assert_accepted(self.fleet.publish(), seconds=10)

    def test_cold_start_of_the_whole_fleet(self):
        """All VMs restart at once, so only the service has a configuration."""
        for vm_id in self.fleet.vms_by_id:
            self.fleet.kill(vm_id)
        for vm_id in self.fleet.vms_by_id:
            self.fleet.start(vm_id)
        self.fleet.wait_ready()
        self.assertEqual(self.fleet.complete('vm-7', 'adapter-1').status, OK)

    def test_watchers_are_cut_off(self):
        """Updates reach a domain whose watchers cannot reach the service.

        Watchers of other domains receive the update, and peers distribute it.
        """
        watchers = [
            daemon.settings.vm.id
            for daemon in self.fleet.daemons()
            if daemon.keeper.is_watcher()
            and daemon.settings.vm.failure_domain == 'a'
        ]
        self.fleet.links.partition(watchers, ['configuration'])
        self.fleet.world.advance(30)
        self.assert_accepted(self.fleet.publish())
