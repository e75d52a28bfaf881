"""The retry budget of gateway daemons that run as processes on loopback."""

from __future__ import annotations

import unittest

from tests.rig.budget_processes import BudgetProcesses
from tests.rig.retry_rule import Allowance

_ALLOWANCE = Allowance(slack=40)


class TestProcesses(unittest.TestCase):
    """Ten VMs before upstreams that reject every request."""

    def check(self, fleet: BudgetProcesses) -> None:
        """Check that no window has more retries than are allowed."""
        fleet.settle()
        history = fleet.history()
        self.assertGreater(len(history.requests), 100)
        self.assertLessEqual(history.worst().excess(), 0, history.worst())

    def test_processes_that_know_no_other(self):
        """Guards against VMs that each spend the budget of the fleet."""
        with BudgetProcesses(10, _ALLOWANCE, seeds=0) as fleet:
            fleet.wait_reachable()
            fleet.play(15)
            self.check(fleet)

    def test_processes_that_are_killed_and_started_again(self):
        """Guards against processes that spend what others have spent before."""
        with BudgetProcesses(10, _ALLOWANCE) as fleet:
            fleet.wait_reachable()
            for _round in range(4):
                fleet.play(3.5)
                fleet.restart(fleet.vms)
            fleet.play(6)
            self.check(fleet)
