"""The state of every VM of the fleet, as this VM knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.messages import MemberRumour
from flamingovalve.generated.messages import MemberState as State
from flamingovalve.generated.settings import PublishedVm, VmState
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from flamingovalve.generated.settings import VmList

logger = get_logger(__name__)

# Time in which VMs that start together find each other. A ranking of the
# members that is computed earlier covers only a few of them.
SETTLE_SECONDS: Final = 0.7
# A VM that is declared dead and returns again and again would move ownership
# each time. Each return within the flap memory doubles the time before it is
# present again.
_FLAP_MEMORY_SECONDS = 120
_BASE_HOLD_SECONDS = 0.5
_MAX_HOLD_SECONDS = 60
_MAX_ENDED_PROCESSES = 4
# Half, so that VMs of one size count as equal although their settings round
# the processor time differently.
_MIN_LARGE_SHARE = 0.5

_SEVERITY = {
    State.ALIVE: 0,
    State.SUSPECT: 1,
    State.LEAVING: 2,
    State.DEAD: 3,
}


@dataclass(slots=True)
class Member:
    """One VM of the fleet, as this VM sees it.

    :ivar incarnation: incarnation of its latest known process; 0 if unknown
    :ivar counter: raised by the VM itself to refute a suspicion
    :ivar changed_at: when the state last changed, on the monotonic clock
    :ivar heard_at: when a datagram last arrived from the VM itself
    :ivar direct: whether the direct path to it works
    :ivar returns: when it returned after it was dead, within the flap memory
    :ivar held_until: when it counts as present again after it flapped
    :ivar process_since: when its current process first became known
    :ivar ended: its processes that have provably ended, the latest last
    :ivar cores: processor time that it may use, in cores; 0 if unknown
    :ivar link_mbps: bandwidth of its link in Mbit/s; 0 if unknown
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
    link_mbps: float = 0

    def record_end(self, incarnation: Incarnation) -> None:
        """Record that a process has provably ended."""
        if incarnation and incarnation not in self.ended:
            self.ended = [*self.ended[1 - _MAX_ENDED_PROCESSES :], incarnation]

    def is_known_to_have_ended(self) -> bool:
        """Return whether its latest process provably ended or is leaving."""
        is_absent = self.state in {State.DEAD, State.LEAVING}
        return is_absent and (
            self.incarnation in self.ended or self.state is State.LEAVING
        )

    def is_present(self) -> bool:
        """Return whether it takes part in the division of work."""
        if self.vm.state is VmState.LEAVING:
            return False
        if self.state not in {State.ALIVE, State.SUSPECT}:
            return False
        return clock.now() >= self.held_until


class MemberTable:
    """All known VMs, from the published list and from rumours.

    :ivar own_counter: raised to refute rumours about this VM
    :ivar epoch: raised whenever the division of work may change
    :ivar own_vm: this VM, where no list is published; otherwise None
    """

    def __init__(self, own_id: VmId, own_incarnation: Incarnation) -> None:
        """Start without members, in a fleet with a published list."""
        self.own_id = own_id
        self.own_incarnation = own_incarnation
        self.own_counter = 0
        self.own_state = State.ALIVE
        self.by_id: dict[VmId, Member] = {}
        self.epoch = 0
        self.own_vm: PublishedVm | None = None
        self.own_cores = 0.0
        self.own_link_mbps = 0.0
        self._rumours_by_id: dict[VmId, MemberRumour] = {}
        self._present: list[Member] | None = None
        self._present_until = 0.0

    def replace_list(self, published: VmList) -> None:
        """Apply a new published list; keep the gossiped state of each VM."""
        previous = self.by_id
        self.by_id = {}
        for vm in published.vms:
            member = previous.get(vm.id) or Member(vm, changed_at=clock.now())
            member.vm = vm
            self.by_id[vm.id] = member
        self._advance_epoch()
        for vm_id, rumour in list(self._rumours_by_id.items()):
            # Rumours of a VM can arrive before the list that names it.
            if vm_id in self.by_id:
                del self._rumours_by_id[vm_id]
                self.apply(rumour)

    def open(
        self,
        own: PublishedVm,
        seeds: list[str],
        cores: float = 0,
        link_mbps: float = 0,
    ) -> None:
        """Let VMs join by rumours, in a fleet without a published list.

        In such a fleet the id of a VM is its peer address, so a seed can be
        probed before anything else is known of it.

        :param cores: processor time that this VM may use, in cores
        :param link_mbps: bandwidth of its link in Mbit/s; 0 if unknown
        """
        self.own_vm = own
        self.own_cores = cores
        self.own_link_mbps = link_mbps
        member = Member(
            own, self.own_incarnation, cores=cores, link_mbps=link_mbps
        )
        member.process_since = clock.now()
        self.by_id[self.own_id] = member
        for seed in seeds:
            if seed != self.own_id:
                vm = PublishedVm(VmId(seed), peer_address=seed)
                self.by_id[vm.id] = Member(vm, changed_at=clock.now())
        self._advance_epoch()

    def others(self) -> list[Member]:
        """Return every member but this VM."""
        return [
            member
            for vm_id, member in self.by_id.items()
            if vm_id != self.own_id
        ]

    def present(self) -> list[Member]:
        """Return the members that share the work, including this VM."""
        if self._present is None or clock.now() >= self._present_until:
            self._present = [
                member
                for member in self.by_id.values()
                if self._shares_work(member)
            ]
            self._present_until = self._next_hold_end()
        return self._present

    def present_ids(self) -> list[VmId]:
        """Return the ids of :meth:`present`."""
        return [member.vm.id for member in self.present()]

    def ranks_first(self, key: str) -> bool:
        """Return whether this VM is the first present one for ``key``."""
        return hashing.heaviest(key, self.present_ids()) == self.own_id

    def has_quorum(self) -> bool:
        """Return whether this VM sees a majority of the possibly live VMs.

        At most one side of a partition has a majority. VMs whose process has
        provably ended do not count; silent ones do. Of two equal halves, the
        one that contains the VM with the lowest id has the quorum.
        """
        possible = self._possibly_alive_ids()
        visible = possible.intersection(self.present_ids())
        if 2 * len(visible) == len(possible):
            return min(possible, default='') in visible
        return 2 * len(visible) > len(possible)

    def visible_share(self) -> float:
        """Return the share of the possibly live VMs that this VM sees.

        The shares of disjoint partitions add up to at most one.
        """
        possible = self._possibly_alive_ids()
        visible = possible.intersection(self.present_ids())
        return len(visible) / max(len(possible), 1)

    def possible_count(self) -> int:
        """Return the number of VMs that may be alive, seen or not."""
        return len(self._possibly_alive_ids())

    def _possibly_alive_ids(self) -> set[VmId]:
        return {
            vm_id
            for vm_id, member in self.by_id.items()
            if not member.is_known_to_have_ended()
        }

    def is_present(self, vm_id: VmId) -> bool:
        """Return whether a VM shares the work."""
        member = self.by_id.get(vm_id)
        return member is not None and self._shares_work(member)

    def apply(self, rumour: MemberRumour) -> bool:
        """Apply a rumour about another VM.

        :returns: whether it changed what is known of that VM
        """
        member = self.by_id.get(rumour.vm)
        if member is None and self.own_vm is not None:
            member = self._add_member(rumour)
        if member is None:
            self._keep_rumour(rumour)
            return False
        has_changed_details = self._update_details(member, rumour)
        if not _is_newer(member, rumour):
            return has_changed_details
        if rumour.incarnation != member.incarnation:
            self._record_replacement(member)
            member.process_since = clock.now()
        member.incarnation = rumour.incarnation
        member.counter = rumour.counter
        self.change(member, rumour.state)
        return True

    def _update_details(self, member: Member, rumour: MemberRumour) -> bool:
        """Update the size, failure domain and address of a VM from a rumour.

        The first datagram of a seed's process can make its incarnation known
        before these details. VMs that miss the size rank the seed differently.

        :returns: whether any of them changed
        """
        if rumour.incarnation < member.incarnation:
            return False
        is_changed = False
        if rumour.domain and not member.vm.failure_domain:
            member.vm.failure_domain = rumour.domain
            member.vm.http_address = rumour.http_address
            is_changed = True
        if rumour.cores and rumour.cores != member.cores:
            member.cores = rumour.cores
            is_changed = True
        if rumour.link_mbps and rumour.link_mbps != member.link_mbps:
            member.link_mbps = rumour.link_mbps
            is_changed = True
        if is_changed:
            self._advance_epoch()
        return is_changed

    def change(self, member: Member, state: State) -> None:
        """Set the state of a member."""
        if member.state is state:
            return
        if member.state is State.DEAD:
            self._delay_return(member)
        logger.info(
            'VM {} changed from {} to {}',
            member.vm.id,
            member.state.value,
            state.value,
        )
        member.state = state
        member.changed_at = clock.now()
        self._advance_epoch()

    def ended_processes(self) -> list[tuple[VmId, Incarnation]]:
        """Return the processes that have provably ended."""
        return [
            (vm_id, incarnation)
            for vm_id, member in self.by_id.items()
            for incarnation in member.ended
        ]

    def rumour_of(self, member: Member) -> MemberRumour:
        """Return the rumour of what this VM knows of a member."""
        return MemberRumour(
            member.vm.id,
            member.incarnation,
            member.counter,
            member.state,
            *self._contact_details(member.vm),
            member.cores,
            member.link_mbps,
        )

    def sample_rumours(
        self,
        rng: random.Random,
        count: int,
    ) -> list[MemberRumour]:
        """Return rumours of random members, for VMs that missed their join.

        Without them, when three of four VMs are restarted together, each of
        the three knows only the fourth until another one changes its state.
        """
        alive = [
            member for member in self.others() if member.state is State.ALIVE
        ]
        chosen = rng.sample(alive, min(count, len(alive)))
        return [self.rumour_of(member) for member in chosen]

    def own_rumour(self) -> MemberRumour:
        """Return the rumour of the state of this VM."""
        return MemberRumour(
            self.own_id,
            self.own_incarnation,
            self.own_counter,
            self.own_state,
            *self._contact_details(self.own_vm),
            self.own_cores,
            self.own_link_mbps,
        )

    def leave(self) -> None:
        """Mark this VM as leaving."""
        self.own_state = State.LEAVING
        self.own_counter += 1
        self._advance_epoch()

    def refute(self, rumour: MemberRumour) -> bool:
        """Refute a rumour that this VM is suspected or dead.

        A rumour that was refuted before can come again from a VM that missed
        the refutation, as after a partition. That VM would regard this one as
        dead for good unless the refutation is repeated.

        :returns: whether the state of this VM has to be disseminated
        """
        if rumour.incarnation > self.own_incarnation:
            # The clock was set back before this process started, so the
            # other VMs take this process for one that was replaced and drop
            # its messages. They accept it only with a higher incarnation.
            self.own_incarnation = Incarnation(rumour.incarnation + 1)
            return True
        if rumour.incarnation != self.own_incarnation:
            return False
        if rumour.state is self.own_state:
            return False
        self.own_counter = max(self.own_counter, rumour.counter + 1)
        return True

    def _add_member(self, rumour: MemberRumour) -> Member | None:
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
        logger.info('VM {} joined the fleet', vm.id)
        self._advance_epoch()
        return member

    def _contact_details(self, vm: PublishedVm | None) -> tuple[DomainId, str]:
        if self.own_vm is None or vm is None:
            return DomainId(''), ''
        return vm.failure_domain, vm.http_address

    def _shares_work(self, member: Member) -> bool:
        if member.vm.id == self.own_id:
            is_live = member.vm.state is VmState.LIVE
            return is_live and self.own_state is State.ALIVE
        return member.is_present()

    def _next_hold_end(self) -> float:
        """Return when the next member held back counts as present again."""
        now = clock.now()
        hold_ends = [
            member.held_until
            for member in self.by_id.values()
            if member.held_until > now
        ]
        return min(hold_ends, default=float('inf'))

    def _record_replacement(self, member: Member) -> None:
        # A new process of a known VM shares no state with the previous one,
        # so the work must be divided again.
        if member.incarnation:
            logger.info('VM {} runs a new process', member.vm.id)
        # Two processes cannot listen at one address, so the old one has ended.
        member.record_end(member.incarnation)
        member.direct = True
        self._advance_epoch()

    def _delay_return(self, member: Member) -> None:
        """Delay the presence of a member that returns repeatedly."""
        now = clock.now()
        recent = [
            returned_at
            for returned_at in member.returns
            if now - returned_at < _FLAP_MEMORY_SECONDS
        ]
        delay = _BASE_HOLD_SECONDS * 2 ** len(recent) if recent else 0
        member.held_until = now + min(delay, _MAX_HOLD_SECONDS)
        member.returns = [*recent, now]

    def _keep_rumour(self, rumour: MemberRumour) -> None:
        known = self._rumours_by_id.get(rumour.vm)
        if known is None or rumour.incarnation >= known.incarnation:
            self._rumours_by_id[rumour.vm] = rumour

    def invalidate_present(self) -> None:
        """Make the next call of :meth:`present` compute it again."""
        self._present = None

    def _advance_epoch(self) -> None:
        self.epoch += 1
        self.invalidate_present()


def largest(members: list[Member]) -> list[Member]:
    """Return those with at least half the processor time of the largest."""
    max_cores = max((member.cores for member in members), default=0)
    return [
        member
        for member in members
        if member.cores >= max_cores * _MIN_LARGE_SHARE
    ]


def _is_newer(member: Member, rumour: MemberRumour) -> bool:
    if rumour.incarnation != member.incarnation:
        return rumour.incarnation > member.incarnation
    if rumour.counter != member.counter:
        return rumour.counter > member.counter
    return _SEVERITY[rumour.state] > _SEVERITY[member.state]


def sees_majority(members: MemberTable) -> bool:
    """Return whether this VM sees a majority of all VMs.

    VMs that have ended count too, as they may run again unseen.
    """
    return 2 * len(members.present()) > len(members.by_id)


def heard_count(members: MemberTable) -> int:
    """Return the number of VMs that a datagram has arrived from."""
    return sum(member.heard_at >= 0 for member in members.others())
