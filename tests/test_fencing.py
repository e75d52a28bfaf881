"""Tests of the fencing numbers of orders."""

from __future__ import annotations

import unittest

from flamingovalve.gateway.fencing import OrderNumbers
from flamingovalve.generated.ids import VmId

LOWEST, HIGHEST = VmId('10.0.0.1:1'), VmId('10.0.15.254:1')
START = 1_796_450_000_000


class TestOrderNumbers(unittest.TestCase):
    """Numbers of VMs that know nothing of each other."""

    def setUp(self) -> None:
        """Create the numbers of two VMs."""
        self.low = OrderNumbers(LOWEST)
        self.high = OrderNumbers(HIGHEST)

    def test_later_count_is_higher(self):
        """Guards against VMs whose address decides between their numbers."""
        self.assertGreater(
            self.low.number(START, 8), self.high.number(START, 7)
        )

    def test_later_start_is_higher(self):
        """Guards against lower numbers after an engine has lost its count."""
        self.assertGreater(
            self.low.number(START + 5000, 0), self.high.number(START, 4000)
        )

    def test_two_vms_never_share_one(self):
        """Guards against two holders with one number."""
        self.assertNotEqual(
            self.low.number(START, 7), self.high.number(START, 7)
        )

    def test_numbers_are_exact_in_any_parser(self):
        """Guards against numbers that a parser of doubles would round."""
        self.assertLess(self.high.number(START, 1_000_000), 2**53)

    def test_raised_number(self):
        """Guards against an owner that an engine refuses for good."""
        before = self.low.number(START, 7)
        self.low.raise_above()
        raised = self.low.number(START, 7)
        self.low.raise_above()
        self.assertGreater(raised, before)
        self.assertGreater(self.low.number(START, 7), raised)
