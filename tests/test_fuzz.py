"""Runs the stateful fuzzer with fixed seeds, for reproducible results."""

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
    """Guarantees of the fleet under random requests and faults."""

    def test_promises_hold(self):
        """Faults of every kind occur at any time, alone and combined.

        Guards against non-idempotent requests that run twice, requests
        reported as not run although they ran, partial responses, responses
        of another request, eviction of an adapter in use, version rollback,
        and a fleet that does not settle after the faults.
        """
        run_state_machine_as_test(FleetMachine, settings=FIXED)
        self.assertGreater(EXECUTED['pay'], RUNS)
        self.assertGreater(EXECUTED['kill'], 0)
        print('\nfuzz steps:', dict(sorted(EXECUTED.items())))
        print('payments told:', dict(sorted(OUTCOMES.items())))
