"""Answers callers which addresses to use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import MemberState
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.membership.members import Member, MemberTable

# An answer that callers accept holds at most this many.
_MOST_ADDRESSES: Final = 64
# With fewer than this in its failure domain, a caller that has lost one
# address would have nowhere to go before its answer expires.
_FEWEST_NEAR: Final = 3
# A VM whose processor time is not known counts as this many cores.
_USUAL_CORES: Final = 1.0


class AddressDirectory:
    """Names VMs that answer and are not leaving, near ones first.

    Of many in a failure domain it names a few, large ones more often. Each
    VM keeps connections of its own to the upstreams, so the fewer VMs serve
    callers, the more requests find an open one.
    """

    def __init__(self, members: MemberTable, most_near: int) -> None:
        """Name those of ``members`` that are alive.

        :param most_near: VMs that are named of one failure domain
        """
        self._members = members
        self._most_near = most_near

    def addresses(self, domain: DomainId) -> list[str]:
        """Give the addresses for a caller in ``domain``."""
        alive = [
            member
            for member in self._members.present()
            if self._answers(member)
        ]
        near = [
            member for member in alive if member.vm.failure_domain == domain
        ]
        if len(near) >= _FEWEST_NEAR:
            return self._largest(domain, near)
        named = [member.vm.http_address for member in alive]
        return named[:_MOST_ADDRESSES]

    def _largest(self, domain: DomainId, near: list[Member]) -> list[str]:
        sizes = {
            member.vm.http_address: member.cores or _USUAL_CORES
            for member in near
        }
        most = min(self._most_near, _MOST_ADDRESSES)
        return hashing.weighted(f'callers {domain}', sizes)[:most]

    def _answers(self, member: Member) -> bool:
        if not member.vm.http_address:
            return False
        if member.vm.id == self._members.own_id:
            return True
        return member.direct and member.state is MemberState.ALIVE
