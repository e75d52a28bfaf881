"""How soon a site serves again after all of its VMs ended together."""

from __future__ import annotations

import unittest

from tests.rig.site import Site

# What the users allow from the return of the VMs.
RECOVERY_SECONDS = 12.0
# A new process orders nothing for a lease of three seconds, as the one before
# it may have ordered a moment ago; finding each other and claiming comes first.
LOADS_SECONDS = 5.0
OK = 200
DARK_SECONDS = (0.1, 0.5, 1.0, 2.0, 5.0)


class TestRecovery(unittest.TestCase):
    """All processes are killed, and started again a while later."""

    def play(self, dark: float) -> tuple[float, float]:
        """Give the seconds until a held and a new adapter are served."""
        site = Site.started(4, engines=2, slots=3)
        try:
            for name in ('a', 'b'):
                site.send('vm-0', site.chat(name))
            for vm_id in site.vms_by_id:
                site.kill(vm_id)
            site.world.advance(dark)
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
        """Ask again and again; give the moment of the first whole answer."""
        for _try in range(100):
            # A process that has just been started does not listen yet.
            answer = site.wait(site.begin('vm-1', site.chat(adapter)))
            if getattr(answer, 'status', 0) == OK:
                break
            site.world.advance(0.1)
        return site.world.monotonic()

    def test_site_serves_again_in_time(self):
        """All VMs of a site lose power at once and come back together.

        Nothing of theirs lasts, so all that they serve by has to be read,
        agreed on and claimed anew while callers wait.
        """
        for dark in DARK_SECONDS:
            held, new = self.play(dark)
            self.assertLess(held, LOADS_SECONDS, f'dark for {dark} s')
            self.assertLess(new, LOADS_SECONDS + 1, f'dark for {dark} s')
            self.assertLess(new, RECOVERY_SECONDS)
            print(
                f'\ndark {dark} s: held {held:.2f} s, new {new:.2f} s', end=''
            )

    def test_callers_of_a_site_without_its_store_come_back_spread(self):
        """Guards against a return before the store can have come back."""
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
        """Guards against a refusal a moment before the first reading."""
        site = Site.started(2, engines=1)
        self.addCleanup(site.close)
        site.links.partition(site.vms_by_id, ['store'])
        for vm_id in site.vms_by_id:
            site.kill(vm_id)
            site.start(vm_id)
        site.world.advance(0.001)
        begun = site.begin('vm-1', site.call('/reads/1'))
        site.world.advance(0.05)
        site.links.heal()
        self.assertEqual(site.wait(begun).status, OK)
