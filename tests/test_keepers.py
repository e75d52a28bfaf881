"""Shares of a rate that VMs use without its keeper."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from flamingovalve.gateway.keepers import KeeperClient
from flamingovalve.generated.messages import MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.members import MemberTable


class TestShares(unittest.TestCase):
    """The number of VMs that share a rate."""

    def setUp(self) -> None:
        """Know two other VMs."""
        self.members = MemberTable('vm-0', 5)
        self.members.open(PublishedVm('vm-0', 'east', 'vm-0', 'vm-0'), [])
        self.keepers = KeeperClient(self.members, Mock(), Mock())
        for name in ('vm-1', 'vm-2'):
            self.apply(name, MemberState.ALIVE, 0)

    def apply(self, name: str, state: MemberState, counter: int) -> None:
        """Apply a rumour about a VM."""
        self.members.apply(MemberRumour(name, 1, counter, state, 'east', name))

    def test_silent_vm(self):
        """Guards against the share of a VM that is out of touch being reused."""
        self.apply('vm-2', MemberState.DEAD, 1)
        self.assertEqual(len(self.members.present()), 2)
        self.assertEqual(self.keepers.vm_count(), 3)

    def test_vm_that_leaves(self):
        """Guards against shares that nobody uses."""
        self.apply('vm-2', MemberState.LEAVING, 1)
        self.assertEqual(self.keepers.vm_count(), 2)
