"""Which VMs watch the store of published documents for the others.

Answers fleets whose store is small: its rate grows more slowly than they do.
A few VMs of each failure domain watch; what they read reaches the others by
rumours, and others step in where it does not.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import WatchRumour
from flamingovalve.membership.gossip import News
from flamingovalve.membership.members import SETTLE_SECONDS, largest
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId
    from flamingovalve.membership.members import Member, MemberTable

# A loss counts for this long. Two calls that time out fit in, so a store
# that answers nobody is tried by one or two VMs of a domain at a time.
LOSS_SECONDS: Final = 3.0
# Fewer would leave a fleet of one failure domain without news as soon as two
# of its VMs are turned away.
_FEWEST_WATCHERS: Final = 3


@dataclass(slots=True)
class _Heard:
    rumour: WatchRumour
    at: float


class Watchers:
    """Ranks the VMs of each failure domain; the first that can, watch.

    All VMs rank alike, so nobody has to be told; a VM whose store is lost
    says so, and the next in rank takes its turn.
    """

    def __init__(
        self,
        members: MemberTable,
        per_domain: int,
        started_at: float,
    ) -> None:
        """Let ``per_domain`` VMs of each failure domain watch.

        :param started_at: when this VM began to look for the others, on our
            clock
        """
        self._members = members
        self._started_at = started_at
        self._per_domain = per_domain
        self._heard_by_vm: dict[VmId, _Heard] = {}
        self._sequence = 0

    def own_change(self, *, lost: bool) -> WatchRumour:
        """Give the rumour that our store is lost, or is back."""
        self._sequence += 1
        rumour = WatchRumour(
            self._members.own_id,
            self._members.own_incarnation,
            self._sequence,
            lost,
        )
        self._heard_by_vm[rumour.vm] = _Heard(rumour, clock.now())
        return rumour

    def hear(self, rumour: WatchRumour) -> News:
        """Take what another VM says of its store."""
        known = self._heard_by_vm.get(rumour.vm)
        if known is not None and _age(known.rumour) >= _age(rumour):
            return News.NONE
        self._heard_by_vm[rumour.vm] = _Heard(rumour, clock.now())
        return News.URGENT

    def should_watch(self) -> bool:
        """Tell whether this VM is to watch the store now."""
        if clock.now() < self._started_at + SETTLE_SECONDS:
            # In a fleet that starts together nearly every VM would take its
            # turn, as it knows hardly any of the others.
            return False
        own_id = self._members.own_id
        if not self._members.is_present(own_id):
            # We take no part in the fleet, as while leaving; what is still
            # in progress here goes by what others read.
            return False
        by_domain = self._by_domain()
        own = self._members.by_id[own_id].vm
        domain = own.failure_domain
        count = self._count(len(by_domain))
        chosen = self._chosen(domain, by_domain[domain], count)
        return own_id in {member.vm.id for member in chosen}

    def other_watchers(self) -> list[VmId]:
        """Give the other VMs that should watch the store now.

        Those that report no loss of the store come first, and among these
        the VMs of our own failure domain.
        """
        by_domain = self._by_domain()
        count = self._count(len(by_domain))
        own_id = self._members.own_id
        own = self._members.by_id[own_id].vm
        own_domain = own.failure_domain
        domains = sorted(by_domain, key=lambda name: name != own_domain)
        chosen = [
            member.vm.id
            for domain in domains
            for member in self._chosen(domain, by_domain[domain], count)
            if member.vm.id != own_id
        ]
        return sorted(chosen, key=self._has_lost)

    def _count(self, domains: int) -> int:
        return max(
            self._per_domain,
            -(-_FEWEST_WATCHERS // max(domains, 1)),
        )

    def _chosen(
        self,
        domain: str,
        members: list[Member],
        count: int,
    ) -> list[Member]:
        able = [one for one in members if not self._has_lost(one.vm.id)]
        candidates = able or members
        # Large VMs have large links, and pass on what they read sooner.
        large = largest(candidates)
        if len(large) < count:
            large = candidates
        return _ranked(domain, large)[:count]

    def _by_domain(self) -> dict[str, list[Member]]:
        by_domain: dict[str, list[Member]] = {}
        for member in self._members.present():
            by_domain.setdefault(member.vm.failure_domain, []).append(member)
        return by_domain

    def _has_lost(self, vm: VmId) -> bool:
        heard = self._heard_by_vm.get(vm)
        if heard is None or not heard.rumour.lost:
            return False
        return clock.now() < heard.at + LOSS_SECONDS


def _ranked(domain: str, members: list[Member]) -> list[Member]:
    return sorted(
        members,
        key=lambda member: hashing.weight(f'watch {domain}', member.vm.id),
        reverse=True,
    )


def _age(rumour: WatchRumour) -> tuple[int, int]:
    return rumour.incarnation, rumour.sequence
