"""Which VM owns each group of engines, by claims that are gossiped."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import VmId
from flamingovalve.generated.messages import MemberState, OwnerRumour
from flamingovalve.membership.gossip import News
from flamingovalve.membership.members import SETTLE_SECONDS, largest
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.generated.ids import GroupId
    from flamingovalve.membership.members import MemberTable

logger = get_logger(__name__)

# Views of who lives can differ for seconds. A claim holds this long unless
# its process has provably ended, so two VMs that each miss the other cannot
# take an engine from each other within a lease of three seconds.
_HELD_SECONDS: Final = 4.0
# A lease, and what news of a start takes to spread.
_SEASONED_SECONDS: Final = 4.0


class GroupClaims:
    """The claims that hold, by group.

    A claim stays with its VM while that lives, so a VM that comes back does
    not move what works; without one the heaviest live VM claims.
    """

    def __init__(self, members: MemberTable, started_at: float) -> None:
        """Start without claims.

        :param started_at: when this process started, on our clock
        """
        self.members = members
        self.started_at = started_at
        self.by_group: dict[GroupId, OwnerRumour] = {}
        self._heard_at: dict[GroupId, float] = {}

    def owner(self, group: GroupId) -> VmId | None:
        """Give the VM whose claim holds, if it lives."""
        claim = self.by_group.get(group)
        if claim is None or not self._lives(claim):
            return None
        return claim.vm

    def predecessor_ended(self, group: GroupId) -> bool:
        """Tell whether the last owner has provably stopped ordering."""
        claim = self.by_group.get(group)
        if claim is None:
            return self._all_began_anew()
        if claim.vm == self.members.own_id:
            return False
        return self._has_ended(claim)

    def should_claim(self, group: GroupId) -> bool:
        """Tell whether this VM is the one to claim ``group`` now."""
        if clock.now() < self.started_at + SETTLE_SECONDS:
            return False
        if self.members.own_state is not MemberState.ALIVE:
            return False
        if self.owner(group) is not None and not self._may_confirm(group):
            return False
        return self.candidate(group) == self.members.own_id

    def candidate(self, group: GroupId) -> VmId | None:
        """Give the VM that should claim a group without an owner.

        A process that has just started orders nothing for a lease, since the
        one before it may have ordered a moment ago. One that has run for
        longer can go on at once, so it goes first. Of those the large ones
        go first, as owning takes processor time.
        """
        oldest = clock.now() - _SEASONED_SECONDS
        present = self.members.present()
        seasoned = [
            member for member in present if member.process_since <= oldest
        ]
        names = [member.vm.id for member in largest(seasoned or present)]
        return VmId(hashing.heaviest(group, names) or '') or None

    def claim(self, group: GroupId, revision: int) -> OwnerRumour:
        """Claim ``group``.

        The epoch exceeds every one that was heard of, also of other groups:
        an engine that came from one of them must not see a lower fencing
        number after a higher one. The store's revision only grows, so it
        also exceeds those that all VMs have forgotten after they ended
        together.
        """
        known = self.by_group.get(group)
        provisional = not self.members.has_quorum()
        highest = max((one.epoch for one in self.by_group.values()), default=0)
        epoch = max(revision, highest + 1)
        if provisional and known is not None:
            # Cut off from most VMs, this one cannot know that they have no
            # owner. If it outbid theirs, ownership would change hands when
            # the cut heals, and engines get no loads for a lease.
            epoch = known.epoch
        rumour = OwnerRumour(
            group,
            self.members.own_id,
            self.members.own_incarnation,
            epoch,
            provisional,
        )
        self.by_group[group] = rumour
        self._heard_at[group] = clock.now()
        note(
            logger,
            'this VM claims a group',
            group=group,
            epoch=epoch,
            provisional=provisional,
            members=len(self.members.present()),
        )
        return rumour

    def hear(self, rumour: OwnerRumour) -> News:
        """Take another VM's claim if it is newer than the one known."""
        known = self.by_group.get(rumour.group)
        if known is not None and _rank(known) >= _rank(rumour):
            return News.NONE
        self.by_group[rumour.group] = rumour
        self._heard_at[rumour.group] = clock.now()
        note(
            logger,
            'another VM owns a group',
            group=rumour.group,
            vm=rumour.vm,
            epoch=rumour.epoch,
            provisional=rumour.provisional,
        )
        return News.URGENT

    def raise_epoch(self, group: GroupId, epoch: int) -> OwnerRumour | None:
        """Let our claim carry a number that its owner found meanwhile.

        Untold, the next owner's number could fall short of it, and an engine
        would see a lower one after a higher one.

        :returns: what to tell; nothing where all know already
        """
        claim = self.by_group.get(group)
        if claim is None or claim.vm != self.members.own_id:
            return None
        if claim.epoch >= epoch:
            return None
        raised = dataclasses.replace(claim, epoch=epoch)
        self.by_group[group] = raised
        return raised

    def _all_began_anew(self) -> bool:
        """Tell whether all VMs that are known have just started.

        After a loss of all, nobody is left who could go on ordering. Without
        this the engines get no load for one more lease.
        """
        oldest = clock.now() - _SEASONED_SECONDS
        return self.members.has_quorum() and all(
            member.process_since > oldest for member in self.members.present()
        )

    def _may_confirm(self, group: GroupId) -> bool:
        """Tell whether our provisional claim can be made a full one."""
        claim = self.by_group[group]
        ours = claim.vm == self.members.own_id and claim.provisional
        return ours and self.members.has_quorum()

    def _lives(self, claim: OwnerRumour) -> bool:
        members = self.members
        if claim.vm == members.own_id:
            return (
                claim.incarnation == members.own_incarnation
                and members.own_state is MemberState.ALIVE
            )
        if self._has_ended(claim):
            return False
        if clock.now() < self._heard_at[claim.group] + _HELD_SECONDS:
            return True
        member = members.by_id.get(claim.vm)
        return member is not None and member.is_present()

    def _has_ended(self, claim: OwnerRumour) -> bool:
        member = self.members.by_id.get(claim.vm)
        if member is None:
            return False
        if member.state is MemberState.LEAVING:
            return True
        replaced = member.incarnation > claim.incarnation
        return replaced or claim.incarnation in member.ended


def _rank(claim: OwnerRumour) -> tuple[int, bool, str, int]:
    return (
        claim.epoch,
        not claim.provisional,
        claim.vm,
        claim.incarnation,
    )
