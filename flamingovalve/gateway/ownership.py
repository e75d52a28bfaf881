"""Determines the owner of each group of engines from gossiped claims."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import VmId
from flamingovalve.generated.messages import MemberState, OwnerRumour
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.membership.members import SETTLE_SECONDS, largest
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import GroupId
    from flamingovalve.membership.members import MemberTable

    IsReplaceable = Callable[[VmId, GroupId], bool]

logger = get_logger(__name__)

# Membership views can differ for seconds. A claim stays in force this long
# unless its process has provably ended, so two VMs that each consider the
# other dead cannot take over an engine from each other within a lease of
# three seconds.
_CLAIM_HOLD_SECONDS: Final = 4.0
# A lease plus the time that gossip of a process start takes to spread.
_ESTABLISHED_SECONDS: Final = 4.0
# An incarnation is the start of its process in microseconds.
_ESTABLISHED_INCARNATIONS: Final = 4_000_000


class GroupClaims:
    """The newest known claim of each group.

    A claim remains with its VM while that VM is alive, so a VM that returns
    does not move a working group. A group without a valid claim is claimed
    by the live VM that ranks first in rendezvous hashing.

    :ivar sees_all: whether this VM sees all VMs that may be alive
    :ivar highest_of_others: the claim of another VM with the highest epoch
        that was announced to this VM, in force or not
    """

    def __init__(
        self,
        members: MemberTable,
        started_at: float,
        is_replaceable: IsReplaceable,
    ) -> None:
        """Start without claims.

        :param started_at: start of this process, on the monotonic clock
        :param is_replaceable: returns whether a VM has announced that it
            cannot reach the engines of a group, and another VM can
        """
        self.members = members
        self.started_at = started_at
        self._is_replaceable = is_replaceable
        self.by_group: dict[GroupId, OwnerRumour] = {}
        self._received_at: dict[GroupId, float] = {}
        self._quorum_since = float('inf')
        self.sees_all = False
        self.highest_of_others: OwnerRumour | None = None

    def owner(self, group: GroupId) -> VmId | None:
        """Return the VM whose claim is in force, if any."""
        claim = self.by_group.get(group)
        if claim is None or not self._is_in_force(claim):
            return None
        return claim.vm

    def predecessor_ended(self, group: GroupId) -> bool:
        """Return whether the last owner has provably stopped sending orders."""
        claim = self.by_group.get(group)
        if claim is None:
            return self._all_just_started()
        if claim.vm == self.members.own_id:
            return False
        return self._has_ended(claim) or self._is_replaceable(claim.vm, group)

    def should_claim(self, group: GroupId) -> bool:
        """Return whether this VM should claim ``group`` now."""
        if clock.now() < self.started_at + SETTLE_SECONDS:
            return False
        if self.members.own_state is not MemberState.ALIVE:
            return False
        if self.owner(group) is not None and not self._may_confirm(group):
            return False
        return self.candidate(group) == self.members.own_id

    def candidate(self, group: GroupId) -> VmId | None:
        """Return the VM that should claim a group without an owner.

        A process that has just started sends no orders for a lease, since
        the previous process of its VM may have sent some just before it
        ended. Processes that have run longer can send orders immediately and
        are preferred. Among these, large VMs are preferred, as owning a group
        takes processor time.
        """
        latest_start = clock.now() - _ESTABLISHED_SECONDS
        present = [
            member
            for member in self.members.present()
            if not self._is_replaceable(member.vm.id, group)
        ]
        established = [
            member for member in present if member.process_since <= latest_start
        ]
        names = [member.vm.id for member in largest(established or present)]
        return VmId(hashing.heaviest(group, names) or '') or None

    def claim(self, group: GroupId, revision: int) -> OwnerRumour:
        """Claim ``group``.

        The epoch exceeds every known one, so that other VMs give the claim
        precedence. The store's revision only grows, so the epoch also exceeds
        those that were lost when all VMs ended together.
        """
        known = self.by_group.get(group)
        provisional = not self.members.has_quorum()
        highest = max((one.epoch for one in self.by_group.values()), default=0)
        epoch = max(revision, highest + 1)
        if provisional and known is not None:
            # Partitioned from most VMs, this one cannot know whether they
            # have an owner. If it outbid that owner, ownership would change
            # when the partition heals, and engines get no loads for a lease.
            epoch = known.epoch
        other = self.highest_of_others
        rumour = OwnerRumour(
            group,
            self.members.own_id,
            self.members.own_incarnation,
            epoch,
            provisional,
        )
        self.by_group[group] = rumour
        self._received_at[group] = clock.now()
        note(
            logger,
            'this VM claims a group',
            group=group,
            epoch=epoch,
            provisional=provisional,
            members=len(self.members.present()),
            revision=revision,
            known_epoch=other.epoch if other else 0,
            known_vm=other.vm if other else '',
        )
        return rumour

    def apply_rumour(self, rumour: OwnerRumour) -> Dissemination:
        """Apply another VM's claim if it has precedence over the known one."""
        self._record_epoch(rumour)
        known = self.by_group.get(rumour.group)
        if known is not None and _precedence(known) >= _precedence(rumour):
            return Dissemination.NONE
        self.by_group[rumour.group] = rumour
        self._received_at[rumour.group] = clock.now()
        note(
            logger,
            'another VM owns a group',
            group=rumour.group,
            vm=rumour.vm,
            epoch=rumour.epoch,
            provisional=rumour.provisional,
        )
        return Dissemination.URGENT

    def _record_epoch(self, rumour: OwnerRumour) -> None:
        highest = self.highest_of_others
        if rumour.vm == self.members.own_id:
            return
        if highest is None or rumour.epoch >= highest.epoch:
            self.highest_of_others = rumour

    def is_established(self, group: GroupId) -> bool:
        """Return whether this VM can be the only one that owns ``group``.

        Its claim is confirmed, and it has seen most VMs for longer than
        gossip of another claim takes.
        """
        claim = self.by_group.get(group)
        if claim is None or claim.vm != self.members.own_id:
            return False
        if claim.provisional:
            return False
        latest = clock.now() - _ESTABLISHED_SECONDS
        return max(self._quorum_since, self._received_at[group]) <= latest

    def watch_quorum(self) -> None:
        """Record since when this VM sees most VMs, and whether all."""
        self.sees_all = self.members.visible_share() >= 1
        if self.members.has_quorum():
            self._quorum_since = min(self._quorum_since, clock.now())
        else:
            self._quorum_since = float('inf')

    def _all_just_started(self) -> bool:
        """Return whether all known VMs have just started.

        If all VMs ended together, no previous owner can still send orders.
        Without this check the engines would get no loads for another lease.
        A VM that has just started learns of all others now, whenever these
        started, and of none while it is cut off.
        """
        present = self.members.present()
        if len(present) < 2 or not self.members.has_quorum():
            return False
        latest_start = clock.now() - _ESTABLISHED_SECONDS
        oldest = self.members.own_incarnation - _ESTABLISHED_INCARNATIONS
        return all(
            member.process_since > latest_start and member.incarnation >= oldest
            for member in present
        )

    def _may_confirm(self, group: GroupId) -> bool:
        """Return whether this VM's provisional claim can be confirmed."""
        claim = self.by_group[group]
        is_own = claim.vm == self.members.own_id and claim.provisional
        return is_own and self.members.has_quorum()

    def _is_in_force(self, claim: OwnerRumour) -> bool:
        members = self.members
        if self._is_replaceable(claim.vm, claim.group):
            return False
        if claim.vm == members.own_id:
            return (
                claim.incarnation == members.own_incarnation
                and members.own_state is MemberState.ALIVE
            )
        if self._has_ended(claim):
            return False
        if clock.now() < self._received_at[claim.group] + _CLAIM_HOLD_SECONDS:
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


def _precedence(claim: OwnerRumour) -> tuple[int, bool, str, int]:
    return (
        claim.epoch,
        not claim.provisional,
        claim.vm,
        claim.incarnation,
    )
