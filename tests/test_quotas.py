"""Quotas of workspaces over all VMs, with complete gateway daemons."""

from __future__ import annotations

import unittest

from tests.rig.site import Site

RATE = 20.0
BURST = 10.0
VMS = 4


def workspace(rate=RATE, burst=BURST, **more):
    """Return a workspace in its published form."""
    return {
        'Name': 'ours',
        'ApiKeys': ['key'],
        'RatePerS': rate,
        'Burst': burst,
        **more,
    }


class QuotaTest(unittest.TestCase):
    """A site of four VMs and one workspace with a quota."""

    def setUp(self) -> None:
        """Start the site and publish the quota."""
        self.site = Site.started(VMS)
        self.addCleanup(self.site.close)
        self.site.publish(Tenants=[workspace()])
        self.site.world.advance(3)
        self.tasks = []

    def vms(self):
        """Return the ids of the running VMs."""
        return [vm.id for vm in self.site.vms_by_id.values() if vm.daemon]

    def flood(self, seconds, interval=0.01, vms=None, path='/reads/1'):
        """Send a request every ``interval`` seconds, to the VMs in turn."""
        vms = vms or self.vms()
        for number in range(round(seconds / interval)):
            call = self.site.call(path, Api_Key='key')
            self.tasks.append(self.site.begin(vms[number % len(vms)], call))
            self.site.world.advance(interval)
        self.site.world.advance(1)

    def run_count(self):
        """Return the number of requests that ran."""
        return sum(sum(app.runs_by_request.values()) for app in self.site.apps)

    def keeper(self):
        """Return the id of the VM that keeps the quota."""
        daemon = self.site.vms_by_id['vm-0'].daemon
        first = daemon.keepers.keepers('quota ours')[0]
        return next(
            vm.id for vm in self.site.vms_by_id.values() if vm.peer == first
        )


class TestQuotas(QuotaTest):
    """Requests above and below the quota."""

    def test_flood_over_all_vms_is_limited_to_the_quota(self):
        self.flood(4)
        self.assertLessEqual(self.run_count(), RATE * 5 + BURST + 2)
        self.assertGreaterEqual(self.run_count(), RATE * 4 + BURST - 2)

    def test_refusal_has_a_retry_after(self):
        self.flood(1)
        answers = [self.site.wait(task) for task in self.tasks]
        refused = [answer for answer in answers if answer.status != 200]
        self.assertEqual({answer.status for answer in refused}, {429})
        waits = [float(answer.header('retry-after')) for answer in refused]
        self.assertGreater(min(waits), 0)
        self.assertLess(max(waits), 7)

    def test_requests_below_the_quota_are_admitted(self):
        self.flood(5, interval=1 / (RATE * 0.9))
        statuses = {self.site.wait(task).status for task in self.tasks}
        self.assertEqual(statuses, {200})

    def test_demand_that_moves_to_another_vm_is_admitted(self):
        self.flood(2, interval=1 / (RATE * 0.9), vms=['vm-0'])
        self.flood(2, interval=1 / (RATE * 0.9), vms=['vm-3'])
        statuses = {self.site.wait(task).status for task in self.tasks}
        self.assertEqual(statuses, {200})

    def test_tokens_are_counted(self):
        limited = workspace(1000, 3000, Unit='token_count', PlainTokens=200)
        self.site.publish(Tenants=[limited])
        self.site.world.advance(2)
        statuses = []
        for _chat in range(5):
            call = self.site.chat('a')
            call.headers.append(('Api-Key', 'key'))
            statuses.append(self.site.send('vm-1', call).status)
        self.assertEqual(statuses[:3], [200, 200, 200])
        self.assertIn(429, statuses)

    def test_request_that_did_not_run_costs_nothing(self):
        """Otherwise refusals by full upstreams would use up the quota."""
        self.site.publish(Tenants=[workspace(2, 10)])
        self.site.world.advance(6)
        for app in self.site.apps:
            app.full = True
        self.flood(2)
        self.assertEqual(self.run_count(), 0)
        for app in self.site.apps:
            app.full = False
        self.tasks.clear()
        for vm_id in self.vms():
            call = self.site.call('/reads/1', Api_Key='key')
            self.assertEqual(self.site.send(vm_id, call).status, 200)

    def test_lowered_quota_applies(self):
        self.site.publish(Tenants=[workspace(2, 2)])
        self.site.world.advance(2)
        self.flood(4)
        self.assertLessEqual(self.run_count(), 2 * 5 + 2 + 2)

    def test_workspace_without_a_quota_is_not_limited(self):
        self.site.publish(Tenants=[{'Name': 'ours', 'ApiKeys': ['key']}])
        self.site.world.advance(2)
        self.flood(2)
        self.assertEqual(self.run_count(), 200)


class TestFaults(QuotaTest):
    """Quotas during failures of VMs and links."""

    def test_keeper_that_is_killed_is_replaced(self):
        """Without a handover, the successor would grant the burst again."""
        self.site.publish(Tenants=[workspace(RATE, 3 * RATE)])
        self.site.world.advance(2)
        keeper = self.keeper()
        others = [name for name in self.vms() if name != keeper]
        self.flood(5, vms=others)
        before = self.run_count()
        self.site.kill(keeper)
        self.flood(4, vms=others)
        served = self.run_count() - before
        self.assertLessEqual(served, RATE * 5 + 2 + VMS)
        self.assertGreaterEqual(served, RATE * 3)

    def test_partitioned_fleet_keeps_within_the_quota(self):
        self.flood(2)
        before = self.run_count()
        self.site.links.partition(['vm-0', 'vm-1'], ['vm-2', 'vm-3'])
        self.flood(8)
        served = self.run_count() - before
        self.assertLessEqual(served, (RATE * 9 + BURST) * 1.25 + VMS)
        self.assertGreaterEqual(served, RATE * 4)

    def test_isolated_vm_keeps_to_its_share(self):
        for isolated in self.vms():
            self.flood(1)
            others = [name for name in self.vms() if name != isolated]
            before = self.run_count()
            self.site.links.partition([isolated], [*others, 'store'])
            self.flood(8)
            served = self.run_count() - before
            self.assertLessEqual(
                served, (RATE * 9 + BURST) * 1.25 + VMS, isolated
            )
            self.site.links.heal()
            self.site.world.advance(8)

    def test_restarted_fleet_grants_no_second_burst(self):
        self.flood(2)
        before = self.run_count()
        names = list(self.site.vms_by_id)
        for vm_id in names:
            self.site.kill(vm_id)
        for vm_id in names:
            self.site.start(vm_id)
        self.flood(4, vms=names)
        self.assertLessEqual(
            self.run_count() - before, (RATE * 5 + BURST) * 1.25
        )

    def test_paused_keeper_causes_few_refusals(self):
        keeper = self.keeper()
        others = [name for name in self.vms() if name != keeper]
        self.site.vms_by_id[keeper].node.paused = True
        self.flood(6, interval=1 / (RATE * 0.8), vms=others)
        refused = [
            task for task in self.tasks if self.site.wait(task).status != 200
        ]
        self.assertLess(len(refused), len(self.tasks) / 4)


if __name__ == '__main__':
    unittest.main()
