"""Selects the VM addresses that callers should use."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final, Self

from flamingovalve.gateway.loop_delay import LoopDelay
from flamingovalve.generated.messages import MemberState
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import DomainId, VmId
    from flamingovalve.generated.settings import GatewaySettings
    from flamingovalve.membership.members import Member, MemberTable

# Callers accept at most this many addresses in a response.
_MAX_ADDRESSES: Final = 64
# With fewer VMs in its failure domain, a caller that has lost one address could
# have no alternative until its response expires.
_MIN_NEAR: Final = 3
# Assumed number of cores of a VM that has not announced it.
_DEFAULT_CORES: Final = 1.0
# VMs with at least this share of the largest weight are listed before others.
_MIN_LARGE_SHARE: Final = 0.5


class AddressDirectory:
    """Returns addresses of live VMs, preferably in the caller's failure domain.

    From a large failure domain it selects a few VMs, the largest first. Each
    VM has its own connections to the upstreams, so the fewer VMs serve
    callers, the more requests find an open connection.

    :ivar delay: delay of this process, which does not list itself while late
    """

    def __init__(
        self,
        members: MemberTable,
        max_near: int,
        fewest: int,
        is_cut_off: Callable[[VmId], bool],
    ) -> None:
        """Select from those ``members`` that are alive.

        :param max_near: maximum number of VMs of one failure domain
        :param fewest: number below which this VM lists itself though it is
            late
        :param is_cut_off: returns whether a VM reaches the upstreams of a
            service only through other VMs
        """
        self._members = members
        self._is_cut_off = is_cut_off
        self._max_near = min(max_near, _MAX_ADDRESSES)
        self._fewest = min(fewest, self._max_near)
        self.delay = LoopDelay()

    @classmethod
    def from_config(
        cls,
        members: MemberTable,
        settings: GatewaySettings,
        is_cut_off: Callable[[VmId], bool],
    ) -> Self:
        """Create the directory of a VM with ``settings``."""
        return cls(
            members,
            settings.addresses_per_domain,
            settings.fewest_addresses_per_domain,
            is_cut_off,
        )

    def addresses(self, domain: DomainId) -> list[str]:
        """Return the addresses for a caller in ``domain``.

        If that domain has too few live VMs, those of all domains are returned.
        VMs that are cut off from upstreams are left out while others remain.
        """
        reachable = [
            member
            for member in self._members.present()
            if self._is_reachable(member)
        ]
        alive = [
            member for member in reachable if not self._is_cut_off(member.vm.id)
        ] or reachable
        near = [
            member for member in alive if member.vm.failure_domain == domain
        ]
        if len(near) >= _MIN_NEAR:
            return self._selection(domain, near, _weights(alive))
        listed = [member.vm.http_address for member in alive]
        return listed[:_MAX_ADDRESSES]

    def _selection(
        self,
        domain: DomainId,
        near: list[Member],
        weights: dict[str, float],
    ) -> list[str]:
        members = {member.vm.http_address: member for member in near}
        ranked = _ranked(domain, {name: weights[name] for name in members})
        own = self._own_address(members)
        if self.delay.is_late and own in ranked and len(ranked) > self._fewest:
            ranked.remove(own)
        return ranked[: self._max_near]

    def _own_address(self, members: dict[str, Member]) -> str:
        for address, member in members.items():
            if member.vm.id == self._members.own_id:
                return address
        return ''

    def _is_reachable(self, member: Member) -> bool:
        if not member.vm.http_address:
            return False
        if member.vm.id == self._members.own_id:
            return True
        return member.direct and member.state is MemberState.ALIVE


def _weights(members: list[Member]) -> dict[str, float]:
    """Return the weight of each VM by its address.

    It is the scarcer of processor time and bandwidth, each relative to the
    median of the fleet. A bandwidth that is not known counts as sufficient.
    """
    cores = [member.cores or _DEFAULT_CORES for member in members]
    links = [member.link_mbps for member in members if member.link_mbps]
    median_cores = statistics.median(cores)
    median_link = statistics.median(links) if links else 0
    weights = {}
    for member, own_cores in zip(members, cores, strict=True):
        weight = own_cores / median_cores
        if member.link_mbps:
            weight = min(weight, member.link_mbps / median_link)
        weights[member.vm.http_address] = weight
    return weights


def _ranked(domain: DomainId, weights: dict[str, float]) -> list[str]:
    """Return the addresses in the order of lists, large VMs first."""
    least = _MIN_LARGE_SHARE * max(weights.values())
    ranked = hashing.weighted_rank(f'callers {domain}', weights)
    return sorted(ranked, key=lambda name: weights[name] < least)
