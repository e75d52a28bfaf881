"""Runs the stateful fuzzer at length: ``python -m tests.fuzz --seed 3``."""

from __future__ import annotations

import argparse
import sys
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.rig.machine import EXECUTED, OUTCOMES, FleetMachine


def main() -> int:
    """Execute the requested runs and print their statistics."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=100)
    parser.add_argument('--steps', type=int, default=60)
    parser.add_argument('--shrink', action='store_true')
    arguments = parser.parse_args()
    phases = [Phase.generate]
    if arguments.shrink:
        phases.append(Phase.shrink)
    fuzz_settings = settings(
        max_examples=arguments.runs,
        stateful_step_count=arguments.steps,
        phases=phases,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    started_at = time.monotonic()
    try:
        run_state_machine_as_test(
            seed(arguments.seed)(FleetMachine),
            settings=fuzz_settings,
        )
    finally:
        print('steps and faults:', dict(sorted(EXECUTED.items())))
        print('payments told:', dict(sorted(OUTCOMES.items())))
        print(f'{time.monotonic() - started_at:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main())
