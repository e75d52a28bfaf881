"""Answers which address a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from flamingovalve.generated.ids import VmId

if TYPE_CHECKING:
    from flamingovalve.config.inventory import Inventory, Target
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.routing.ownership import Ownership
    from flamingovalve.routing.placement import Placement

_ADDRESSES: Final = 4


class EntryAnswers:
    """Ranks entry addresses so that the usual path takes one hop."""

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        placement: Placement,
        ownership: Ownership,
    ) -> None:
        """Rank the present ``members``."""
        self._own_id = settings.vm.id
        self._seconds = settings.fleet.entry_seconds
        self._members = members
        self._placement = placement
        self._ownership = ownership

    def for_target(
        self,
        target: Target,
        inventory: Inventory,
    ) -> dict[str, Any]:
        """Give the answer for a completion on ``target``."""
        names: list[VmId] = []
        order = self._placement.order(target.name, target.model)
        for engine_id in order[: self._placement.spread(target.name)]:
            engine = inventory.engines_by_id[engine_id]
            names.extend(self._ownership.order(engine)[:2])
        return {
            'adapter': target.adapter,
            'version': target.version,
            **self._answer(names),
        }

    def for_call(self, service: str, call: str) -> dict[str, Any]:
        """Give the answer for a call of a plain service: this VM first."""
        answer = self._answer([VmId(self._own_id)])
        return {'service': service, 'call': call, **answer}

    def _answer(self, names: list[VmId]) -> dict[str, Any]:
        ranked = list(dict.fromkeys(names))
        ranked.extend(member.vm.id for member in self._neighbours(set(ranked)))
        present = [
            self._members.by_id[name].vm
            for name in ranked
            if self._members.is_present(name)
        ]
        addresses = [vm.http_address for vm in present]
        return {
            'addresses': addresses[:_ADDRESSES],
            'ttl_seconds': self._seconds,
        }

    def _neighbours(self, taken: set[VmId]) -> list[Member]:
        # Those we cannot reach ourselves may well answer the caller, but
        # others that we can reach come first.
        rest = [
            member
            for member in self._members.present()
            if member.vm.id not in taken
        ]
        return sorted(rest, key=lambda member: not member.direct)
