"""Key revocation and quotas on complete gateway daemons under random faults."""

from __future__ import annotations

import sys
import unittest
from unittest import mock

from flamingovalve.gateway.confirmation import Confirmation
from tests.rig.workspace_faults import FaultyWorkspaceSite

STEPS = 8
SEEDS = (1, 2, 3)


def run_seed(seed: int) -> list[str]:
    """Run the faults of one seed and return the violations."""
    site = FaultyWorkspaceSite(seed)
    try:
        site.play(STEPS)
        return site.find_violations()
    finally:
        site.close()


class TestWorkspaceFaults(unittest.TestCase):
    """Partitions, kills and pauses during key revocations and excess load."""

    def test_no_revoked_key_runs_and_no_window_exceeds_the_quota(self):
        violations = {seed: run_seed(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


class TestMutations(unittest.TestCase):
    """Checks that a disabled safeguard causes a violation."""

    def test_confirmation_that_never_expires(self):
        with mock.patch.object(Confirmation, 'age', lambda _: 0):
            violations = [
                violation for seed in SEEDS for violation in run_seed(seed)
            ]
        self.assertTrue(
            any('revocation' in text for text in violations), violations
        )


def main() -> int:
    """Run an inclusive range of seeds given on the command line."""
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        violations = run_seed(seed)
        failed += bool(violations)
        print(seed, violations[:3] or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
