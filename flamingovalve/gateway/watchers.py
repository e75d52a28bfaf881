"""Selects the VMs that watch the store of published documents for the fleet.

The request rate that the store supports grows more slowly than the fleet. So
only a few VMs of each failure domain watch. The others learn of changes by
rumours, and take over from watchers that can no longer reach the store.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import WatchRumour
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.membership.members import SETTLE_SECONDS, largest
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId
    from flamingovalve.membership.members import Member, MemberTable

# Time for which a reported loss disqualifies a VM. Two calls that time out fit
# in, so only one or two VMs of a domain at a time try a store that is down.
LOSS_SECONDS: Final = 3.0
# With fewer, a fleet of one failure domain would receive no changes as soon as
# the store rejects two of its VMs.
_MIN_WATCHERS: Final = 3


@dataclass(slots=True)
class _Received:
    rumour: WatchRumour
    received_at: float


class Watchers:
    """Ranks the VMs of each failure domain; the first available ones watch.

    All VMs compute the same ranking, so no assignment is sent. A VM that can
    no longer reach the store announces it, and the next in rank takes over.
    """

    def __init__(
        self,
        members: MemberTable,
        per_domain: int,
        started_at: float,
    ) -> None:
        """Select ``per_domain`` VMs of each failure domain.

        :param started_at: when this VM began to discover the others, on the
            monotonic clock
        """
        self._members = members
        self._started_at = started_at
        self._per_domain = per_domain
        self._received_by_vm: dict[VmId, _Received] = {}
        self._sequence = 0

    def own_store_rumour(self, *, lost: bool) -> WatchRumour:
        """Return a rumour on whether this VM reaches the store."""
        self._sequence += 1
        rumour = WatchRumour(
            self._members.own_id,
            self._members.own_incarnation,
            self._sequence,
            lost,
        )
        self._received_by_vm[rumour.vm] = _Received(rumour, clock.now())
        return rumour

    def apply_rumour(self, rumour: WatchRumour) -> Dissemination:
        """Record a newer rumour on whether another VM reaches the store."""
        known = self._received_by_vm.get(rumour.vm)
        if known is not None and _recency(known.rumour) >= _recency(rumour):
            return Dissemination.NONE
        self._received_by_vm[rumour.vm] = _Received(rumour, clock.now())
        return Dissemination.URGENT

    def should_watch(self) -> bool:
        """Return whether this VM should watch the store now."""
        if clock.now() < self._started_at + SETTLE_SECONDS:
            # In a fleet that starts together nearly every VM would watch, as
            # it knows hardly any of the others yet.
            return False
        own_id = self._members.own_id
        if not self._members.is_present(own_id):
            # This VM is not a present member, for instance while leaving;
            # requests in progress use the documents that other VMs read.
            return False
        by_domain = self._by_domain()
        own = self._members.by_id[own_id].vm
        domain = own.failure_domain
        count = self._count(len(by_domain))
        chosen = self._chosen(domain, by_domain[domain], count)
        return own_id in {member.vm.id for member in chosen}

    def other_watchers(self) -> list[VmId]:
        """Return the other VMs that should watch the store now.

        VMs that have not reported the store as unreachable come first, and
        among these the VMs of the local failure domain.
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
            -(-_MIN_WATCHERS // max(domains, 1)),
        )

    def _chosen(
        self,
        domain: str,
        members: list[Member],
        count: int,
    ) -> list[Member]:
        available = [one for one in members if not self._has_lost(one.vm.id)]
        candidates = available or members
        # Large VMs have fast links and pass on documents sooner.
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
        received = self._received_by_vm.get(vm)
        if received is None or not received.rumour.lost:
            return False
        return clock.now() < received.received_at + LOSS_SECONDS


def _ranked(domain: str, members: list[Member]) -> list[Member]:
    return sorted(
        members,
        key=lambda member: hashing.weight(f'watch {domain}', member.vm.id),
        reverse=True,
    )


def _recency(rumour: WatchRumour) -> tuple[int, int]:
    return rumour.incarnation, rumour.sequence
