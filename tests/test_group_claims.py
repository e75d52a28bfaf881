"""Tests which VM owns a group of engines."""

from __future__ import annotations

from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.generated.ids import (
    DomainId,
    GroupId,
    Incarnation,
    VmId,
)
from flamingovalve.generated.messages import MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.membership.members import MemberTable
from tests.rig.timeline import TimedTestCase

GROUP = GroupId('engines')
VMS = [VmId(f'10.1.0.{number}:7000') for number in range(1, 6)]


def table_of(own: VmId) -> MemberTable:
    """Return the member table of one VM in a fleet of five."""
    members = MemberTable(own, Incarnation(1))
    members.open(PublishedVm(own, DomainId('east'), own, own), [])
    for vm in VMS:
        if vm != own:
            members.apply(rumour_of(vm, MemberState.ALIVE))
    return members


def rumour_of(vm: VmId, state: MemberState) -> MemberRumour:
    """Return a rumour with the state of a VM."""
    return MemberRumour(vm, Incarnation(1), 0, state, DomainId('east'), vm)


def never(_vm, _group):
    """Return that no VM is cut off from a group."""
    return False


class TestClaims(TimedTestCase):
    """Tests of the claims that VMs of a fleet of five make and receive."""

    def setUp(self) -> None:
        """Find the VM that should claim the group."""
        super().setUp()
        claims = [
            GroupClaims(table_of(vm), self.current_time, never) for vm in VMS
        ]
        self.advance(10)
        self.claimer = next(c for c in claims if c.should_claim(GROUP))
        self.others = [c for c in claims if c is not self.claimer]

    def mark_dead(self, claims, *vms):
        """Mark VMs as dead in one VM's view, without proof that they ended."""
        for vm in vms:
            claims.members.apply(rumour_of(vm, MemberState.DEAD))

    def test_one_claims(self):
        self.assertFalse(any(c.should_claim(GROUP) for c in self.others))

    def test_process_that_has_just_started_ranks_last(self):
        """The owner is killed and restarted within a second.

        A new process sends no orders for a lease, so with it as owner the
        group would get no loads for three seconds.
        """
        ended = self.claimer.members.own_id
        for other in self.others:
            restarted = rumour_of(ended, MemberState.ALIVE)
            restarted.incarnation = Incarnation(2)
            other.members.apply(restarted)
        chosen = {other.candidate(GROUP) for other in self.others}
        self.assertEqual(len(chosen), 1)
        self.assertNotIn(ended, chosen)

    def test_claim_is_applied_once(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        self.assertIs(other.apply_rumour(claim), Dissemination.URGENT)
        self.assertIs(other.apply_rumour(claim), Dissemination.NONE)
        self.assertEqual(other.owner(GROUP), self.claimer.members.own_id)

    def test_next_claim_exceeds_every_known_epoch(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.apply_rumour(claim)
        self.assertEqual(other.claim(GROUP, 3).epoch, 8)
        self.assertEqual(other.claim(GROUP, 90).epoch, 90)

    def test_next_claim_exceeds_the_epochs_of_other_groups(self):
        """Guards against claims that are older than one of another group."""
        other = self.others[0]
        other.apply_rumour(self.claimer.claim(GroupId('engines/1'), 90))
        self.assertGreater(other.claim(GROUP, 7).epoch, 90)

    def test_large_vms_own(self):
        """Most VMs are small and a few are six times as large.

        An owner on a small VM has no processor time left for its callers.
        """
        large = self.others[0].members.own_id
        for one in self.others:
            for vm in VMS:
                restarted = rumour_of(vm, MemberState.ALIVE)
                restarted.incarnation = Incarnation(2)
                restarted.cores = 2.15 if vm == large else 0.36
                one.members.apply(restarted)
            one.members.by_id[one.members.own_id].cores = 0.36
        chosen = {
            one.candidate(GROUP)
            for one in self.others
            if one.members.own_id != large
        }
        self.assertEqual(chosen, {large})

    def test_restarted_owner_owns_nothing(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.apply_rumour(claim)
        restarted = MemberRumour(claim.vm, Incarnation(2), 0, MemberState.ALIVE)
        other.members.apply(restarted)
        self.assertIsNone(other.owner(GROUP))

    def test_partitioned_vm_does_not_outbid_the_rest(self):
        """A VM is partitioned from all others, which keep their owner.

        With a higher epoch its claim would win when the partition heals, and
        the engines would get no loads for a lease after every partition.
        """
        claim = self.claimer.claim(GROUP, 7)
        partitioned = self.others[0]
        partitioned.apply_rumour(claim)
        self.advance(5)
        self.mark_dead(
            partitioned, *(vm for vm in VMS if vm != partitioned.members.own_id)
        )
        self.assertTrue(partitioned.should_claim(GROUP))
        provisional = partitioned.claim(GROUP, 50)
        self.assertTrue(provisional.provisional)
        self.assertIs(
            self.claimer.apply_rumour(provisional), Dissemination.NONE
        )
        self.assertIs(partitioned.apply_rumour(claim), Dissemination.URGENT)

    def test_claim_of_an_unknown_vm_holds_for_a_lease(self):
        """A VM that has just restarted knows only a quarter of the others.

        If it took an unknown owner for dead, it would claim the group and the
        owner would claim it back. Engines would see two holders alternate.
        """
        claim = self.claimer.claim(GROUP, 7)
        fresh = GroupClaims(table_of(VMS[0]), self.current_time, never)
        del fresh.members.by_id[claim.vm]
        fresh.members.invalidate_present()
        fresh.apply_rumour(claim)
        self.advance(3)
        self.assertEqual(fresh.owner(GROUP), claim.vm)
        self.advance(2)
        self.assertIsNone(fresh.owner(GROUP))

    def test_claim_of_an_ended_owner_is_void(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.apply_rumour(claim)
        other.members.by_id[claim.vm].record_end(claim.incarnation)
        self.assertIsNone(other.owner(GROUP))

    def test_provisional_claim_is_confirmed(self):
        alone = self.claimer
        others = [vm for vm in VMS if vm != alone.members.own_id]
        self.mark_dead(alone, *others)
        self.assertTrue(alone.claim(GROUP, 7).provisional)
        for vm in others:
            alone.members.apply(
                MemberRumour(vm, Incarnation(2), 0, MemberState.ALIVE)
            )
        self.advance(2)
        self.assertTrue(alone.should_claim(GROUP))
        self.assertFalse(alone.claim(GROUP, 9).provisional)

    def test_leaving_predecessor_has_ended(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.apply_rumour(claim)
        self.assertFalse(other.predecessor_ended(GROUP))
        other.members.apply(
            MemberRumour(claim.vm, Incarnation(1), 1, MemberState.LEAVING)
        )
        self.assertTrue(other.predecessor_ended(GROUP))
        self.assertIsNone(other.owner(GROUP))

    def test_restarted_vm_takes_no_other_for_just_started(self):
        """Guards against a new process that orders beside the owner."""
        restarted = GroupClaims(table_of(VMS[0]), self.current_time, never)
        self.assertTrue(restarted.predecessor_ended(GROUP))
        restarted.members.own_incarnation = Incarnation(60_000_000)
        self.assertFalse(restarted.predecessor_ended(GROUP))

    def test_vm_that_sees_no_other_may_be_cut_off(self):
        """Guards against a new process that takes itself for the fleet."""
        members = MemberTable(VMS[0], Incarnation(1))
        vm = PublishedVm(VMS[0], DomainId('east'), VMS[0], VMS[0])
        members.open(vm, [])
        alone = GroupClaims(members, self.current_time, never)
        self.assertFalse(alone.predecessor_ended(GROUP))
