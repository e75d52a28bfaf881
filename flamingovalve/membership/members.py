"""What this VM believes of the others."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.messages import MemberRumour
from flamingovalve.generated.messages import MemberState as State
from flamingovalve.generated.settings import PublishedVm, VmState
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from flamingovalve.generated.settings import VmList

logger = get_logger(__name__)

# By then VMs that started together have found each other. Whoever ranks
# itself among the others before that ranks itself among few.
SETTLE_SECONDS: Final = 0.7
# A VM that keeps dying and coming back would move ownership at each turn.
# Each return within the memory below doubles the wait before it counts again.
_FLAP_MEMORY_SECONDS = 120
_FIRST_HOLD_SECONDS = 0.5
_LONGEST_HOLD_SECONDS = 60
_ENDED_KEPT = 4
# VMs of one size are never told apart by what their settings round.
_LARGE_SHARE = 0.5

_SEVERITY = {
    State.ALIVE: 0,
    State.SUSPECT: 1,
    State.LEAVING: 2,
    State.DEAD: 3,
}


@dataclass(slots=True)
class Member:
    """One VM of the published list, as this VM sees it.

    :ivar incarnation: number of the process last heard of; 0 before that
    :ivar counter: raised by the VM itself to refute a suspicion
    :ivar changed_at: when the state last changed, on our clock
    :ivar heard_at: when a datagram last came straight from it
    :ivar direct: whether the direct path to it works
    :ivar held_until: when it counts as present again after it flapped
    :ivar process_since: when its present process was first heard of
    :ivar ended: processes of it that are provably gone, the latest last
    :ivar cores: processor time that it may use; 0 where it is not known
    """

    vm: PublishedVm
    incarnation: Incarnation = Incarnation(0)
    counter: int = 0
    state: State = State.ALIVE
    changed_at: float = 0
    heard_at: float = -1
    direct: bool = True
    returns: list[float] = field(default_factory=list)
    held_until: float = 0
    process_since: float = float('-inf')
    ended: list[Incarnation] = field(default_factory=list)
    cores: float = 0

    def note_end(self, incarnation: Incarnation) -> None:
        """Remember that a process is provably gone."""
        if incarnation and incarnation not in self.ended:
            self.ended = [*self.ended[1 - _ENDED_KEPT :], incarnation]

    def is_known_to_have_ended(self) -> bool:
        """Tell whether its latest process is provably gone or has left."""
        gone = self.state in {State.DEAD, State.LEAVING}
        return gone and (
            self.incarnation in self.ended or self.state is State.LEAVING
        )

    def is_present(self) -> bool:
        """Tell whether it takes part in the division of work."""
        if self.vm.state is VmState.LEAVING:
            return False
        if self.state not in {State.ALIVE, State.SUSPECT}:
            return False
        return clock.now() >= self.held_until


class MemberTable:
    """All VMs of the published list with what gossip says of them."""

    def __init__(self, own_id: VmId, own_incarnation: Incarnation) -> None:
        """Start with no member but ourselves, known by the list alone."""
        self.own_id = own_id
        self.own_incarnation = own_incarnation
        self.own_counter = 0
        self.own_state = State.ALIVE
        self.by_id: dict[VmId, Member] = {}
        self.epoch = 0
        self.own_vm: PublishedVm | None = None
        self.own_cores = 0.0
        self._rumours_by_id: dict[VmId, MemberRumour] = {}
        self._present: list[Member] | None = None
        self._present_until = 0.0

    def replace_list(self, published: VmList) -> None:
        """Take a new published list; keep what gossip said of each VM."""
        previous = self.by_id
        self.by_id = {}
        for vm in published.vms:
            member = previous.get(vm.id) or Member(vm, changed_at=clock.now())
            member.vm = vm
            self.by_id[vm.id] = member
        self._touch()
        for vm_id, rumour in list(self._rumours_by_id.items()):
            # A VM can be heard of before the lagging list names it.
            if vm_id in self.by_id:
                del self._rumours_by_id[vm_id]
                self.apply(rumour)

    def open(
        self,
        own: PublishedVm,
        seeds: list[str],
        cores: float = 0,
    ) -> None:
        """Let VMs join by rumours, where nobody publishes a list of them.

        In such a fleet the id of a VM is its peer address, so a seed can be
        asked before anything else is known of it.

        :param cores: processor time that this VM may use
        """
        self.own_vm = own
        self.own_cores = cores
        member = Member(own, self.own_incarnation, cores=cores)
        member.process_since = clock.now()
        self.by_id[self.own_id] = member
        for seed in seeds:
            if seed != self.own_id:
                vm = PublishedVm(VmId(seed), peer_address=seed)
                self.by_id[vm.id] = Member(vm, changed_at=clock.now())
        self._touch()

    def others(self) -> list[Member]:
        """Give every member but ourselves."""
        return [
            member
            for vm_id, member in self.by_id.items()
            if vm_id != self.own_id
        ]

    def present(self) -> list[Member]:
        """Give the members that share the work, ourselves included."""
        if self._present is None or clock.now() >= self._present_until:
            self._present = [
                member for member in self.by_id.values() if self._counts(member)
            ]
            self._present_until = self._next_release()
        return self._present

    def present_ids(self) -> list[VmId]:
        """Give the ids of :meth:`present`."""
        return [member.vm.id for member in self.present()]

    def has_quorum(self) -> bool:
        """Tell whether we see more than half of the VMs that may be alive.

        Two parts of a split fleet cannot both do so. VMs whose process is
        provably gone do not count; silent ones do. Of two equal halves, the
        one with the first VM of the list in it wins.
        """
        possible = self._possibly_alive_ids()
        seen = possible.intersection(self.present_ids())
        if 2 * len(seen) == len(possible):
            return min(possible, default='') in seen
        return 2 * len(seen) > len(possible)

    def visible_share(self) -> float:
        """Give the share of the possibly live VMs that we see.

        The shares of disjoint partitions add up to at most one.
        """
        possible = self._possibly_alive_ids()
        seen = possible.intersection(self.present_ids())
        return len(seen) / max(len(possible), 1)

    def _possibly_alive_ids(self) -> set[VmId]:
        return {
            vm_id
            for vm_id, member in self.by_id.items()
            if not member.is_known_to_have_ended()
        }

    def is_present(self, vm_id: VmId) -> bool:
        """Tell whether a VM shares the work."""
        member = self.by_id.get(vm_id)
        return member is not None and self._counts(member)

    def apply(self, rumour: MemberRumour) -> bool:
        """Take a rumour about another VM.

        :returns: whether it was news
        """
        member = self.by_id.get(rumour.vm)
        if member is None and self.own_vm is not None:
            member = self._join(rumour)
        if member is None:
            self._remember(rumour)
            return False
        has_new_details = self._update_details(member, rumour)
        if not _is_newer(member, rumour):
            return has_new_details
        if rumour.incarnation != member.incarnation:
            self._replaced(member)
            member.process_since = clock.now()
        member.incarnation = rumour.incarnation
        member.counter = rumour.counter
        self.change(member, rumour.state)
        return True

    def _update_details(self, member: Member, rumour: MemberRumour) -> bool:
        """Update the size, failure domain and address of a VM from a rumour.

        The first datagram of a seed's process can make its incarnation known
        before these details. VMs that miss the size rank the seed differently.

        :returns: whether any of them was news
        """
        if rumour.incarnation < member.incarnation:
            return False
        is_new = False
        if rumour.domain and not member.vm.failure_domain:
            member.vm.failure_domain = rumour.domain
            member.vm.http_address = rumour.http_address
            is_new = True
        if rumour.cores and rumour.cores != member.cores:
            member.cores = rumour.cores
            is_new = True
        if is_new:
            self._touch()
        return is_new

    def change(self, member: Member, state: State) -> None:
        """Move a member to ``state``."""
        if member.state is state:
            return
        if member.state is State.DEAD:
            self._hold(member)
        logger.info(
            'VM {} was {} and is {}',
            member.vm.id,
            member.state.value,
            state.value,
        )
        member.state = state
        member.changed_at = clock.now()
        self._touch()

    def ended_processes(self) -> list[tuple[VmId, Incarnation]]:
        """Give the processes that are provably gone."""
        return [
            (vm_id, incarnation)
            for vm_id, member in self.by_id.items()
            for incarnation in member.ended
        ]

    def rumour_of(self, member: Member) -> MemberRumour:
        """Give the rumour that states what we believe of a member."""
        return MemberRumour(
            member.vm.id,
            member.incarnation,
            member.counter,
            member.state,
            *self._contact(member.vm),
            member.cores,
        )

    def some_rumours(
        self,
        chance: random.Random,
        count: int,
    ) -> list[MemberRumour]:
        """Give rumours of a few members, for VMs that missed their joining.

        After three of four VMs were restarted together, each of the three
        knew only the fourth until one of the others changed its state.
        """
        alive = [
            member for member in self.others() if member.state is State.ALIVE
        ]
        chosen = chance.sample(alive, min(count, len(alive)))
        return [self.rumour_of(member) for member in chosen]

    def own_rumour(self) -> MemberRumour:
        """Give the rumour that states how we are."""
        return MemberRumour(
            self.own_id,
            self.own_incarnation,
            self.own_counter,
            self.own_state,
            *self._contact(self.own_vm),
            self.own_cores,
        )

    def leave(self) -> None:
        """Count ourselves as leaving."""
        self.own_state = State.LEAVING
        self.own_counter += 1
        self._touch()

    def refute(self, rumour: MemberRumour) -> bool:
        """Answer a rumour that says we are suspected or dead.

        An accusation that we have refuted before can come again from a VM
        that missed the refutation, as after a partition. It would go on
        believing that we are dead unless it is told once more.

        :returns: whether our own state has to be told
        """
        if rumour.incarnation > self.own_incarnation:
            # Our clock was set back before this process started, so the
            # others take it for one that has long been replaced and drop
            # all that it says. Only a higher number is heard again.
            self.own_incarnation = Incarnation(rumour.incarnation + 1)
            return True
        if rumour.incarnation != self.own_incarnation:
            return False
        if rumour.state is self.own_state:
            return False
        self.own_counter = max(self.own_counter, rumour.counter + 1)
        return True

    def _join(self, rumour: MemberRumour) -> Member | None:
        if not rumour.domain or rumour.state is State.DEAD:
            return None
        vm = PublishedVm(
            rumour.vm,
            DomainId(rumour.domain),
            rumour.http_address,
            rumour.vm,
        )
        member = Member(vm, changed_at=clock.now())
        self.by_id[vm.id] = member
        logger.info('VM {} joined', vm.id)
        self._touch()
        return member

    def _contact(self, vm: PublishedVm | None) -> tuple[DomainId, str]:
        if self.own_vm is None or vm is None:
            return DomainId(''), ''
        return vm.failure_domain, vm.http_address

    def _counts(self, member: Member) -> bool:
        if member.vm.id == self.own_id:
            published = member.vm.state is VmState.LIVE
            return published and self.own_state is State.ALIVE
        return member.is_present()

    def _next_release(self) -> float:
        moment = clock.now()
        releases = [
            member.held_until
            for member in self.by_id.values()
            if member.held_until > moment
        ]
        return min(releases, default=float('inf'))

    def _replaced(self, member: Member) -> None:
        # A new process at a known name shares nothing with the old one:
        # whoever divides work by these members must notice the change.
        if member.incarnation:
            logger.info('VM {} runs a new process', member.vm.id)
        # Two processes cannot listen at one address.
        member.note_end(member.incarnation)
        member.direct = True
        self._touch()

    def _hold(self, member: Member) -> None:
        moment = clock.now()
        recent = [
            at for at in member.returns if moment - at < _FLAP_MEMORY_SECONDS
        ]
        wait = _FIRST_HOLD_SECONDS * 2 ** len(recent) if recent else 0
        member.held_until = moment + min(wait, _LONGEST_HOLD_SECONDS)
        member.returns = [*recent, moment]

    def _remember(self, rumour: MemberRumour) -> None:
        known = self._rumours_by_id.get(rumour.vm)
        if known is None or rumour.incarnation >= known.incarnation:
            self._rumours_by_id[rumour.vm] = rumour

    def forget_present(self) -> None:
        """Work out :meth:`present` anew when it is asked for next."""
        self._present = None

    def _touch(self) -> None:
        self.epoch += 1
        self.forget_present()


def largest(members: list[Member]) -> list[Member]:
    """Give those with at least half the processor time of the largest."""
    most = max((member.cores for member in members), default=0)
    return [member for member in members if member.cores >= most * _LARGE_SHARE]


def _is_newer(member: Member, rumour: MemberRumour) -> bool:
    if rumour.incarnation != member.incarnation:
        return rumour.incarnation > member.incarnation
    if rumour.counter != member.counter:
        return rumour.counter > member.counter
    return _SEVERITY[rumour.state] > _SEVERITY[member.state]
