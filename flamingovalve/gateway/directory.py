"""Selects the VM addresses that callers should use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import MemberState
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.membership.members import Member, MemberTable

# Callers accept at most this many addresses in a response.
_MAX_ADDRESSES: Final = 64
# With fewer VMs in its failure domain, a caller that has lost one address could
# have no alternative until its response expires.
_MIN_NEAR: Final = 3
# Assumed number of cores of a VM that has not announced it.
_DEFAULT_CORES: Final = 1.0


class AddressDirectory:
    """Returns addresses of live VMs, preferably in the caller's failure domain.

    From a large failure domain it selects a few VMs, weighted by size. Each
    VM has its own connections to the upstreams, so the fewer VMs serve
    callers, the more requests find an open connection.
    """

    def __init__(self, members: MemberTable, max_near: int) -> None:
        """Select from those ``members`` that are alive.

        :param max_near: maximum number of VMs of one failure domain
        """
        self._members = members
        self._max_near = max_near

    def addresses(self, domain: DomainId) -> list[str]:
        """Return the addresses for a caller in ``domain``.

        If that domain has too few live VMs, those of all domains are returned.
        """
        alive = [
            member
            for member in self._members.present()
            if self._is_reachable(member)
        ]
        near = [
            member for member in alive if member.vm.failure_domain == domain
        ]
        if len(near) >= _MIN_NEAR:
            return self._weighted_selection(domain, near)
        listed = [member.vm.http_address for member in alive]
        return listed[:_MAX_ADDRESSES]

    def _weighted_selection(
        self, domain: DomainId, near: list[Member]
    ) -> list[str]:
        sizes = {
            member.vm.http_address: member.cores or _DEFAULT_CORES
            for member in near
        }
        count = min(self._max_near, _MAX_ADDRESSES)
        return hashing.weighted_rank(f'callers {domain}', sizes)[:count]

    def _is_reachable(self, member: Member) -> bool:
        if not member.vm.http_address:
            return False
        if member.vm.id == self._members.own_id:
            return True
        return member.direct and member.state is MemberState.ALIVE
