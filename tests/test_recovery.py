"""Tests how soon a site serves again after all of its VMs ended together."""

from __future__ import annotations

import unittest

from tests.rig.site import Site

# Required recovery time after the VMs are back.
RECOVERY_SECONDS = 12.0
# A new process sends no orders for a lease of three seconds, as the previous
# one may have sent some just before it ended. Discovery and claims come first.
LOADS_SECONDS = 5.0
OK = 200
DOWN_SECONDS = (0.1, 0.5, 1.0, 2.0, 5.0)


class TestRecovery(unittest.TestCase):
    """Tests in which all processes are killed and later restarted."""

    def recovery_seconds(self, down_seconds: float) -> tuple[float, float]:
        """Return the seconds until a held and a new adapter are served.

        :param down_seconds: time between the end and the start of the VMs
        """
        site = Site.started(4, engines=2, slots=3)
        try:
            for name in ('a', 'b'):
                site.send('vm-0', site.chat(name))
            for vm_id in site.vms_by_id:
                site.kill(vm_id)
            site.world.advance(down_seconds)
            for vm_id in site.vms_by_id:
                site.start(vm_id)
            began = site.world.monotonic()
            return (
                self.until_served(site, 'a') - began,
                self.until_served(site, 'new') - began,
            )
        finally:
            site.close()

    def until_served(self, site: Site, adapter: str) -> float:
        """Retry until a request succeeds; return the time of its response."""
        for _try in range(100):
            # A process that has just been started may not listen yet.
            answer = site.wait(site.begin('vm-1', site.chat(adapter)))
            if getattr(answer, 'status', 0) == OK:
                break
            site.world.advance(0.1)
        return site.world.monotonic()

    def test_site_serves_again_in_time(self):
        """All VMs of a site lose power at once and return together.

        They have no persistent state, so the documents, the members and the
        claims have to be established again while callers wait.
        """
        for down_seconds in DOWN_SECONDS:
            held, new = self.recovery_seconds(down_seconds)
            self.assertLess(held, LOADS_SECONDS, f'dark for {down_seconds} s')
            self.assertLess(
                new, LOADS_SECONDS + 1, f'dark for {down_seconds} s'
            )
            self.assertLess(new, RECOVERY_SECONDS)
            print(
                f'\ndark {down_seconds} s: held {held:.2f} s, new {new:.2f} s',
                end='',
            )

    def test_retries_at_a_site_without_its_store_are_spread(self):
        """Guards against retries before the store can be reachable again."""
        site = Site.started(2, engines=1)
        self.addCleanup(site.close)
        for vm_id in site.vms_by_id:
            site.kill(vm_id)
        site.store.refusal = 503
        for vm_id in site.vms_by_id:
            site.start(vm_id)
        site.world.advance(0.5)
        answers = [site.send('vm-1', site.chat('a')) for _caller in range(8)]
        waits = [float(one.header('retry-after')) for one in answers]
        self.assertEqual({one.status for one in answers}, {503})
        self.assertGreater(min(waits), 1)
        self.assertGreater(max(waits) - min(waits), 0.1)
        self.assertLess(max(waits), 3)

    def test_first_requests_after_a_start_are_served(self):
        """Guards against a refusal shortly before the first read completes."""
        site = Site.started(2, engines=1)
        self.addCleanup(site.close)
        site.links.partition(site.vms_by_id, ['store'])
        for vm_id in site.vms_by_id:
            site.kill(vm_id)
            site.start(vm_id)
        site.world.advance(0.001)
        request = site.begin('vm-1', site.call('/reads/1'))
        site.world.advance(0.05)
        site.links.heal()
        self.assertEqual(site.wait(request).status, OK)
