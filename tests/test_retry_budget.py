"""The retry budget of all VMs, counted at the upstreams.

``python -m tests.test_retry_budget 1 40`` plays seeds of random faults, and
``python -m tests.test_retry_budget vms 135`` the same traffic on many VMs.
"""

from __future__ import annotations

import sys
import unittest
from typing import TYPE_CHECKING

from tests.rig.budget_faults import BudgetFaults
from tests.rig.budget_play import READS, REVIEWS, BudgetSite, Trouble
from tests.rig.retry_rule import Allowance

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = (1, 2, 3, 4)
STEPS = 14
# The budget is halved, as requests may move from VM to VM between two windows.
USED_SHARE = 0.4


class BudgetTest(unittest.TestCase):
    """Plays clients at VMs whose upstreams make requests fail."""

    def site(self, **options) -> BudgetSite:
        """Return a site that is closed after the test."""
        site = BudgetSite(**options)
        self.addCleanup(site.close)
        return site

    def check(self, site: BudgetSite) -> None:
        """Check that no window has more retries than are allowed."""
        site.settle()
        history = site.history()
        self.assertTrue(history.requests)
        self.assertLessEqual(history.worst().excess(), 0, history.worst())

    def check_each(self, play: Callable[[BudgetSite], None], **options) -> None:
        """Check a play with rejected calls and lost streams."""
        for route, trouble in (
            (READS, Trouble.REJECTS),
            (REVIEWS, Trouble.LOSES),
        ):
            with self.subTest(route=route):
                site = self.site(route=route, trouble=trouble, **options)
                try:
                    play(site)
                    self.check(site)
                finally:
                    self.doCleanups()

    def check_use(self, site: BudgetSite) -> None:
        """Check that the retries use what VMs in touch may use."""
        self.check(site)
        busiest = site.history().busiest()
        self.assertGreaterEqual(
            busiest.retries, USED_SHARE * busiest.allowed, busiest
        )


class TestPartitions(BudgetTest):
    """VMs that do not reach each other."""

    def test_vms_that_reach_no_other(self):
        """Guards against VMs that each spend the budget of the fleet."""

        def play(site: BudgetSite) -> None:
            site.isolate_all()
            site.play(16)

        self.check_each(play)

    def test_vms_that_lose_each_other_later(self):
        """Guards against a budget that grows when other VMs fall silent."""

        def play(site: BudgetSite) -> None:
            site.play(8)
            site.isolate_all()
            site.play(14)

        self.check_each(play)

    def test_thirds(self):
        """Guards against three groups that each spend half of the budget."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        site.split(3)
        site.play(25)
        self.check(site)

    def test_thirds_that_restart(self):
        """Guards against groups that forget how many VMs there are."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        site.play(5)
        site.split(3)
        site.restart(site.vms_by_id)
        site.play(25)
        self.check(site)

    def test_restarts_within_a_partition(self):
        """Guards against restarted VMs that do not count those out of touch."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        site.play(8)
        names = list(site.vms_by_id)
        site.separate(names[:5], names[5:])
        site.play(3)
        for vm_id in names[:5]:
            site.restart([vm_id])
            site.play(2)
        site.play(16)
        self.check(site)


class TestStarts(BudgetTest):
    """VMs that have just started."""

    def test_restarted_vms_that_reach_no_other(self):
        """Guards against the budget of a VM that knows itself only."""

        def play(site: BudgetSite) -> None:
            site.play(6)
            site.isolate_all()
            site.restart(site.vms_by_id)
            site.play(3)
            site.links.heal()
            site.play(12)

        self.check_each(play)

    def test_repeated_restarts(self):
        """Guards against processes that spend what others have spent before."""

        def play(site: BudgetSite) -> None:
            site.play(4)
            for _round in range(5):
                site.restart(site.vms_by_id)
                site.play(1.5)
            site.play(5)

        self.check_each(play)

    def test_slow_starts(self):
        """Guards against the budget of VMs that see the others late."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        site.play(6)
        site.restart(site.vms_by_id)
        for vm_id in site.vms_by_id:
            site.pause(vm_id)
        for vm_id in site.vms_by_id:
            site.play(0.5)
            site.pause(vm_id, paused=False)
        site.play(12)
        self.check(site)


class TestSmallBudgets(BudgetTest):
    """Budgets of less than one retry for each VM."""

    def test_slack_below_the_number_of_vms(self):
        """Guards against one free retry for each VM and window."""
        for route in (READS, REVIEWS):
            with self.subTest(route=route):
                allowance = Allowance(slack=2)
                site = self.site(allowance=allowance, route=route)
                try:
                    site.play(20, 2)
                    self.check(site)
                finally:
                    self.doCleanups()

    def test_no_slack(self):
        """Guards against retries of a service that is seldom used."""
        site = self.site(allowance=Allowance(slack=0))
        site.play(20, 2)
        self.check(site)


class TestUse(BudgetTest):
    """Budgets of VMs that are in touch."""

    def test_even_traffic(self):
        """Guards against a bound that leaves the budget unused."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        site.play(30)
        self.check_use(site)

    def test_traffic_of_one_vm(self):
        """Guards against a VM that refuses while others leave theirs unused."""
        site = self.site(route=REVIEWS, trouble=Trouble.REJECTS)
        for vm_id in list(site.vms_by_id)[1:]:
            site.weights_by_vm[vm_id] = 0
        site.play(30)
        self.check_use(site)

    def test_fewer_retries_than_vms(self):
        """Guards against shares of the budget that are too small to use."""
        allowance = Allowance(slack=10)
        site = self.site(
            vms=20,
            route=REVIEWS,
            trouble=Trouble.REJECTS,
            allowance=allowance,
        )
        site.play(30, 5)
        self.check_use(site)


class TestRandomFaults(BudgetTest):
    """Random faults of VMs, links and upstreams."""

    def test_retries_stay_within_the_budget(self):
        """Guards against faults in combinations that no other test has."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                excess, report = play_seed(seed)
                self.assertLessEqual(excess, 0, report)


def play_seed(seed: int) -> tuple[float, str]:
    """Play one seed of random faults.

    :returns: the highest excess of retries over what is allowed, and a report
    """
    faults = BudgetFaults(seed)
    try:
        faults.play(STEPS)
    finally:
        faults.site.close()
    history = faults.site.history()
    worst = history.worst()
    report = (
        f'worst {worst}; {len(history.requests)} requests, '
        f'{len(history.retries)} retries; {dict(faults.steps)}'
    )
    return worst.excess(), report


def play_many(vms: int) -> None:
    """Play calm, uneven and isolated traffic on many VMs and print it."""
    for name in ('calm', 'uneven', 'isolated'):
        site = BudgetSite(
            vms,
            allowance=Allowance(slack=129),
            trouble=Trouble.REJECTS,
            route=REVIEWS,
            upstreams=8,
        )
        if name == 'uneven':
            for vm_id in list(site.vms_by_id)[1:]:
                site.weights_by_vm[vm_id] = 0
        if name == 'isolated':
            site.isolate_all()
        site.play(25, 60)
        site.settle()
        history = site.history()
        print(name, history.worst(), '; busiest', history.busiest(), flush=True)
        site.close()


def main() -> int:
    """Play what the command line names; return the number of failed seeds."""
    if sys.argv[1] == 'vms':
        play_many(int(sys.argv[2]))
        return 0
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        excess, report = play_seed(seed)
        failed += excess > 0
        print(seed, 'BROKEN' if excess > 0 else 'ok', report, flush=True)
    print(f'{failed} failed')
    return failed


if __name__ == '__main__':
    sys.exit(main())
