"""The stateful fuzzer with fixed seeds: the same verdict every time."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.rig.machine import EXECUTED, OUTCOMES, FleetMachine

RUNS = 30
STEPS = 40

FIXED = settings(
    max_examples=RUNS,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class FuzzTest(unittest.TestCase):
    """Every promise under random requests and faults."""

    def test_promises_hold(self):
        """Faults of every kind come at any moment, alone and together.

        Whatever they do, nothing runs twice, nothing that ran is called
        "not run", no answer is partial or somebody else's, no adapter in
        use is evicted, no version reverts, and the fleet settles again.
        """
        run_state_machine_as_test(FleetMachine, settings=FIXED)
        self.assertGreater(EXECUTED['pay'], RUNS)
        self.assertGreater(EXECUTED['kill'], 0)
        print('\nfuzz steps:', dict(sorted(EXECUTED.items())))
        print('payments told:', dict(sorted(OUTCOMES.items())))
