"""Orders of gateways that run as processes on loopback."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

import curio

from standins.platform_runner import AcceptedOrder
from tests.rig import order_rules
from tests.rig.linked_processes import ROOT
from tests.rig.order_processes import OrderProcesses

SECONDS = 40
CI_SECONDS = 25
# A seed that finds fencing numbers made from one revision of the store.
CI_SEED = 1
FEWEST_ORDERS = 50


def play(seed: int, seconds: float, root: Path = ROOT) -> OrderProcesses:
    """Play the faults of one seed."""
    processes = OrderProcesses(seed, root=root)
    curio.run(processes.play, seconds)
    return processes


class TestRules(unittest.TestCase):
    """The checks of the orders of one engine."""

    def check(self, expected: list[str], *orders: tuple[float, str, int]):
        """Check which rules are violated by orders."""
        accepted = [AcceptedOrder(*order) for order in orders]
        violations = order_rules.find_violations(accepted)
        self.assertEqual(
            [one.partition(':')[0] for one in violations], expected
        )

    def test_sound_orders(self):
        """Guards against checks that call a sound succession a violation."""
        self.check([], (0, 'a', 1), (1, 'a', 1), (2, 'b', 2), (3.1, 'b', 3))
        self.check([], (0, 'a', 1), (1, 'b', 2), (3.5, 'a', 3))

    def test_lower_fence(self):
        """Guards against a check that misses a lower fence after a lease."""
        self.check(['lower fence'], (0, 'a', 2), (9, 'b', 1))

    def test_shared_fence(self):
        """Guards against a check that misses a fence of two holders."""
        self.check(['shared fence'], (0, 'a', 2), (9, 'b', 2))

    def test_turns(self):
        """Guards against a check that misses turns with growing fences."""
        self.check(['turns'], (0, 'a', 1), (1, 'b', 2), (2.9, 'a', 3))


class TestProcesses(unittest.TestCase):
    """Five VMs under faults of the last holder and of the store."""

    def test_lower_number_after_a_higher_one(self):
        """Guards against VMs that number or time orders as if alone."""
        played = play(CI_SEED, CI_SECONDS)
        accepted = sum(len(engine.accepted) for engine in played.engines)
        self.assertGreater(accepted, FEWEST_ORDERS)
        self.assertEqual(played.find_violations(), [])


def main() -> int:
    """Play the seeds of a range; a third argument names another checkout."""
    first, last = (int(text) for text in sys.argv[1:3])
    root = Path(*sys.argv[3:4] or [ROOT]).resolve()
    failed = 0
    for seed in range(first, last + 1):
        played = play(seed, SECONDS, root)
        violations = played.find_violations()
        failed += bool(violations)
        accepted = [len(engine.accepted) for engine in played.engines]
        print(seed, 'orders', sum(accepted), 'holders', len(played.holders()))
        print('  ', dict(played.steps), dict(played.answers))
        print('  ', '\n   '.join(violations) or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
