"""Which VM owns a group of engines, as claims come and go."""

from __future__ import annotations

from flamingovalve.gateway.fencing import fence_of
from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.generated.ids import (
    DomainId,
    GroupId,
    Incarnation,
    VmId,
)
from flamingovalve.generated.messages import MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.gossip import News
from flamingovalve.membership.members import MemberTable
from tests.rig.timeline import TimedTestCase

GROUP = GroupId('engines')
VMS = [VmId(f'10.1.0.{number}:7000') for number in range(1, 6)]


def table_of(own: VmId) -> MemberTable:
    """Give the members of a fleet of five as one of them sees it."""
    members = MemberTable(own, Incarnation(1))
    members.open(PublishedVm(own, DomainId('east'), own, own), [])
    for vm in VMS:
        if vm != own:
            members.apply(rumour_of(vm, MemberState.ALIVE))
    return members


def rumour_of(vm: VmId, state: MemberState) -> MemberRumour:
    """Give the rumour that states how a VM is."""
    return MemberRumour(vm, Incarnation(1), 0, state, DomainId('east'), vm)


class TestClaims(TimedTestCase):
    """One VM of five and what it hears."""

    def setUp(self) -> None:
        """Start as the VM that is to claim."""
        super().setUp()
        claims = [GroupClaims(table_of(vm), self.moment) for vm in VMS]
        self.advance(10)
        self.claimer = next(c for c in claims if c.should_claim(GROUP))
        self.others = [c for c in claims if c is not self.claimer]

    def silence(self, claims, *vms):
        """Let a VM believe others to be dead, without any proof."""
        for vm in vms:
            claims.members.apply(rumour_of(vm, MemberState.DEAD))

    def test_one_claims(self):
        self.assertFalse(any(c.should_claim(GROUP) for c in self.others))

    def test_process_that_has_just_started_goes_last(self):
        """The owner and others are killed and back within a second.

        A fresh process orders nothing for a lease, so with one of them as
        owner the group got no loads for three seconds.
        """
        ended = self.claimer.members.own_id
        for other in self.others:
            again = rumour_of(ended, MemberState.ALIVE)
            again.incarnation = Incarnation(2)
            other.members.apply(again)
        chosen = {other.candidate(GROUP) for other in self.others}
        self.assertEqual(len(chosen), 1)
        self.assertNotIn(ended, chosen)

    def test_claim_is_heard_once(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        self.assertIs(other.hear(claim), News.URGENT)
        self.assertIs(other.hear(claim), News.NONE)
        self.assertEqual(other.owner(GROUP), self.claimer.members.own_id)

    def test_next_claim_exceeds_every_epoch_heard_of(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.hear(claim)
        self.assertEqual(other.claim(GROUP, 3).epoch, 8)
        self.assertEqual(other.claim(GROUP, 90).epoch, 90)

    def test_next_claim_exceeds_the_epochs_of_other_groups(self):
        """An engine moves to a group whose claim is older than its last one.

        With the fencing number of that claim its orders would follow higher
        ones, and an engine that checks them would refuse them all.
        """
        other = self.others[0]
        other.hear(self.claimer.claim(GroupId('engines/1'), 90))
        self.assertGreater(other.claim(GROUP, 7).epoch, 90)

    def test_large_vms_own(self):
        """Most VMs are small and a few are six times as large.

        An owner on a small one has no time left for its own callers.
        """
        large = self.others[0].members.own_id
        for one in self.others:
            for vm in VMS:
                again = rumour_of(vm, MemberState.ALIVE)
                again.incarnation = Incarnation(2)
                again.cores = 2.15 if vm == large else 0.36
                one.members.apply(again)
            one.members.by_id[one.members.own_id].cores = 0.36
        chosen = {
            one.candidate(GROUP)
            for one in self.others
            if one.members.own_id != large
        }
        self.assertEqual(chosen, {large})

    def test_owner_that_came_back_owns_nothing(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.hear(claim)
        again = MemberRumour(claim.vm, Incarnation(2), 0, MemberState.ALIVE)
        other.members.apply(again)
        self.assertIsNone(other.owner(GROUP))

    def test_cut_off_vm_does_not_outbid_the_rest(self):
        """A VM is cut off from all others, which keep their owner.

        With a higher epoch its claim would win when the cut heals, and the
        engines would get no loads for a lease after every cut.
        """
        claim = self.claimer.claim(GROUP, 7)
        cut = self.others[0]
        cut.hear(claim)
        self.advance(5)
        self.silence(cut, *(vm for vm in VMS if vm != cut.members.own_id))
        self.assertTrue(cut.should_claim(GROUP))
        provisional = cut.claim(GROUP, 50)
        self.assertTrue(provisional.provisional)
        self.assertIs(self.claimer.hear(provisional), News.NONE)
        self.assertIs(cut.hear(claim), News.URGENT)

    def test_claim_of_an_unknown_vm_holds_for_a_lease(self):
        """A VM that was just restarted knows a quarter of the others.

        It took the owner, which it did not know, for gone, and claimed; the
        owner claimed back. Engines saw two holders take turns.
        """
        claim = self.claimer.claim(GROUP, 7)
        fresh = GroupClaims(table_of(VMS[0]), self.moment)
        del fresh.members.by_id[claim.vm]
        fresh.members.forget_present()
        fresh.hear(claim)
        self.advance(3)
        self.assertEqual(fresh.owner(GROUP), claim.vm)
        self.advance(2)
        self.assertIsNone(fresh.owner(GROUP))

    def test_owner_that_provably_ended_holds_nothing(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.hear(claim)
        other.members.by_id[claim.vm].note_end(claim.incarnation)
        self.assertIsNone(other.owner(GROUP))

    def test_provisional_claim_is_confirmed(self):
        alone = self.claimer
        others = [vm for vm in VMS if vm != alone.members.own_id]
        self.silence(alone, *others)
        self.assertTrue(alone.claim(GROUP, 7).provisional)
        for vm in others:
            alone.members.apply(
                MemberRumour(vm, Incarnation(2), 0, MemberState.ALIVE)
            )
        self.advance(2)
        self.assertTrue(alone.should_claim(GROUP))
        self.assertFalse(alone.claim(GROUP, 9).provisional)

    def test_leaving_predecessor_is_not_waited_for(self):
        claim = self.claimer.claim(GROUP, 7)
        other = self.others[0]
        other.hear(claim)
        self.assertFalse(other.predecessor_ended(GROUP))
        other.members.apply(
            MemberRumour(claim.vm, Incarnation(1), 1, MemberState.LEAVING)
        )
        self.assertTrue(other.predecessor_ended(GROUP))
        self.assertIsNone(other.owner(GROUP))


class TestFences(TimedTestCase):
    """Fencing numbers of claims."""

    def test_two_vms_never_share_one(self):
        fences = {fence_of(vm, 7) for vm in VMS}
        self.assertEqual(len(fences), len(VMS))

    def test_later_epoch_is_higher(self):
        lowest, highest = VmId('10.0.0.1:1'), VmId('10.255.255.255:1')
        self.assertGreater(fence_of(lowest, 8), fence_of(highest, 7))
