"""Callers of VMs that have lost their paths to upstreams."""

from __future__ import annotations

import sys
import unittest

from tests.rig.partition_faults import Mode, PartitionedSite

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
