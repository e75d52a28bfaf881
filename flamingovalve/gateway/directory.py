"""Answers callers which addresses to use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import MemberState

if TYPE_CHECKING:
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.membership.members import Member, MemberTable

# An answer that callers accept holds at most this many.
_MOST_ADDRESSES: Final = 64
# With fewer than this in its failure domain, a caller that has lost one
# address would have nowhere to go before its answer expires.
_FEWEST_NEAR: Final = 3


class AddressDirectory:
    """Names VMs that answer and are not leaving, near ones first."""

    def __init__(self, members: MemberTable) -> None:
        """Name those of ``members`` that are alive."""
        self._members = members

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
        chosen = near if len(near) >= _FEWEST_NEAR else alive
        named = [member.vm.http_address for member in chosen]
        return named[:_MOST_ADDRESSES]

    def _answers(self, member: Member) -> bool:
        if not member.vm.http_address:
            return False
        if member.vm.id == self._members.own_id:
            return True
        return member.direct and member.state is MemberState.ALIVE
