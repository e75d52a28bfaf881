"""Tests of the fencing numbers of orders."""

from __future__ import annotations

import unittest

from flamingovalve.gateway.fencing import OrderNumbers
from flamingovalve.generated.ids import VmId

LOWEST, HIGHEST = VmId('10.0.0.1:1'), VmId('10.255.255.255:1')
START = 1_796_450_000_000


class TestOrderNumbers(unittest.TestCase):
    """Numbers of VMs that know nothing of each other."""

    def setUp(self) -> None:
        """Create the numbers of two VMs."""
        self.low = OrderNumbers(LOWEST)
        self.high = OrderNumbers(HIGHEST)

    def first(self, numbers, count, start=START):
        """Return the number of the first order of a tenure."""
        return numbers.number(start, count, is_tenant=False)

    def test_next_holder_is_higher(self):
        """Guards against VMs whose address decides between their numbers."""
        for one, other in ((self.low, self.high), (self.high, self.low)):
            self.assertGreater(self.first(one, 8), self.first(other, 7))

    def test_late_order_of_the_holder_is_not_lower(self):
        """Guards against a holder's late order after its later ones."""
        first = self.first(self.low, 7)
        later = self.low.number(START, 9, is_tenant=True)
        self.assertEqual(later, first)
        self.assertGreater(self.first(self.high, 8), later)

    def test_later_start_is_higher(self):
        """Guards against lower numbers after an engine has lost its count."""
        before = self.first(self.high, 4000)
        after = self.low.number(START + 5000, 0, is_tenant=True)
        self.assertGreater(after, before)

    def test_two_vms_never_share_one(self):
        """Guards against two holders with one number."""
        hosts = [
            f'10.{zone}.{block}.{host}:7420'
            for zone in range(4)
            for block in (0, 16, 255)
            for host in (1, 2, 19)
        ]
        shared = {self.first(OrderNumbers(VmId(host)), 7) for host in hosts}
        self.assertEqual(len(shared), len(hosts))

    def test_parser_of_doubles_tells_vms_apart(self):
        """Guards against holders whose numbers differ in the last bits only."""
        hosts = [f'10.{zone}.0.{n}:1' for zone in range(4) for n in range(40)]
        rounded = {
            float(self.first(OrderNumbers(VmId(host)), 7)) for host in hosts
        }
        self.assertEqual(len(rounded), len(hosts))

    def test_numbers_are_64_bit_integers(self):
        """Guards against numbers that an engine cannot represent."""
        self.assertLess(self.first(self.high, 1_000_000), 2**63)

    def test_raised_number(self):
        """Guards against an owner that an engine refuses for good."""
        before = self.first(self.low, 7)
        self.low.raise_above()
        raised = self.first(self.low, 7)
        self.low.raise_above()
        self.assertGreater(raised, before)
        self.assertGreater(self.first(self.low, 7), raised)
