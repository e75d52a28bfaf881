"""Callers of VMs that have lost their paths to upstreams."""

from __future__ import annotations

import sys
import unittest
from collections import Counter

from flamingovalve.gateway.state import counts_of
from tests.rig.partition_faults import Mode, PartitionedSite
from tests.rig.site import Site

STEPS = 10
SEEDS = (1, 2, 3, 4)
PARTITION_SECONDS = 9
CALM_SECONDS = 4


def play(seed: int) -> list[str]:
    """Run the faults of one seed and return the violations."""
    site = PartitionedSite(seed)
    try:
        site.play(STEPS)
        return site.find_violations()
    finally:
        site.close()


class TestPartitionedVms(unittest.TestCase):
    """VMs without a path to any upstream, which callers still use."""

    def setUp(self) -> None:
        """Start a site and let it settle under load."""
        self.faulty = PartitionedSite(1)
        self.addCleanup(self.faulty.close)
        self.faulty.advance(CALM_SECONDS)

    def assert_served(self, vms, mode, upstreams=None):
        """Check that callers of all VMs are served during a partition."""
        partition = self.faulty.cut(vms, mode, upstreams)
        self.faulty.advance(PARTITION_SECONDS)
        self.faulty.heal_paths()
        self.faulty.settle()
        violations = self.faulty.find_violations()
        violations += self.faulty.aim_violations(partition)
        self.assertEqual(violations, [])

    def domain(self, name):
        """Return the VMs of a failure domain."""
        vms = self.faulty.site.vms_by_id.values()
        return [vm.id for vm in vms if vm.domain == name]

    def test_connections_that_hang(self):
        """Guards against callers that are not served while paths hang."""
        self.assert_served(self.faulty.site.others()[:3], Mode.HANG)

    def test_connections_that_are_reset(self):
        """Guards against callers that are not served after resets."""
        self.assert_served(self.faulty.site.others()[:3], Mode.RESET)

    def test_new_connections_that_are_refused(self):
        """Guards against callers that are served by old connections only."""
        self.assert_served(self.faulty.site.others()[:3], Mode.REFUSE)

    def test_owner_without_paths(self):
        """Guards against a group whose owner cannot give it orders."""
        self.assert_served([self.faulty.site.owner()], Mode.HANG)

    def test_owner_whose_connections_are_reset(self):
        """Guards against an owner that keeps its group after resets."""
        self.assert_served([self.faulty.site.owner()], Mode.RESET)

    def test_failure_domain_without_paths(self):
        """Guards against a failure domain whose callers are not served."""
        self.assert_served(self.domain('east'), Mode.HANG)

    def test_one_service_without_paths(self):
        """Guards against VMs that lose the paths to a single service."""
        apps = [app.name for app in self.faulty.site.apps]
        self.assert_served(self.faulty.site.others()[:3], Mode.HANG, apps)


class TestSilence(unittest.TestCase):
    """A sound upstream that is silent for a second."""

    def setUp(self) -> None:
        """Start a site whose engines hold the base model."""
        self.site = Site.started(4, engines=2)
        self.addCleanup(self.site.close)
        for vm_id in self.site.vms_by_id:
            self.assertEqual(
                self.site.send(vm_id, self.site.chat()).status, 200
            )
        self.owner = self.site.owner()

    def begin_requests(self):
        """Begin a stream, an order and a read at each VM."""
        calls = [
            (vm_id, call)
            for vm_id in self.site.vms_by_id
            for call in (
                self.site.chat(),
                self.site.call('/orders/1'),
                self.site.call('/reads/1'),
            )
        ]
        self.names = [dict(call.headers)['Attempt-Id'] for _vm, call in calls]
        tasks = [self.site.begin(vm_id, call) for vm_id, call in calls]
        self.site.world.advance(0.015)
        return tasks

    def assert_kept(self, tasks):
        """Check that all requests were answered, and nothing was given up."""
        statuses = [self.site.wait(task).status for task in tasks]
        self.assertEqual(statuses, [200] * len(tasks))
        self.site.world.advance(3)
        for vm in self.site.vms_by_id.values():
            counts = counts_of(vm.daemon)
            self.assertEqual(counts['upstream_paths'].bypassed, 0, vm.id)
        self.assertEqual(self.site.owner(), self.owner)
        runs = Counter()
        for runner in (*self.site.engines, *self.site.apps):
            runs.update(runner.runs_by_request)
        streams = [name for name in self.names if runs[name] != 1]
        # Reads may run twice, as hedges.
        self.assertLessEqual(len(streams), len(tasks) // 3)
        app_runs = [runs[name] for name in self.names[1::3]]
        self.assertEqual(app_runs, [1] * len(app_runs))

    def test_frozen_upstreams(self):
        """Guards against requests given up while upstreams stand still."""
        tasks = self.begin_requests()
        nodes = [
            node
            for node in self.site.world.nodes
            if node.name.startswith(('engine', 'app'))
        ]
        for node in nodes:
            node.paused = True
        self.site.world.advance(1)
        for node in nodes:
            node.paused = False
        self.assert_kept(tasks)

    def test_silent_links(self):
        """Guards against one upstream's silence taken for a partition."""
        tasks = self.begin_requests()
        vms = list(self.site.vms_by_id)
        silent = [self.site.engines[0].name, self.site.apps[0].name]
        self.site.links.partition(vms, silent)
        self.site.world.advance(1)
        self.site.links.heal_between(vms, silent)
        self.assert_kept(tasks)


class TestRandomFaults(unittest.TestCase):
    """Partitions beside kills, silence and lost orders."""

    def test_callers_of_partitioned_vms_are_served(self):
        """Guards against partitions in unlucky moments."""
        violations = {seed: play(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


def main() -> int:
    """Run the seeds of a range given on the command line."""
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        violations = play(seed)
        failed += bool(violations)
        print(seed, violations or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
