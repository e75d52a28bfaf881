"""Choice of the addresses that ``/v1/entry`` returns to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from flamingovalve.generated.ids import VmId

if TYPE_CHECKING:
    from flamingovalve.config.inventory import Inventory, Target
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.routing.ownership import Ownership
    from flamingovalve.routing.placement import Placement

_MAX_ADDRESSES: Final = 4


class EntryAnswers:
    """Ranks entry addresses so that most requests take one hop."""

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        placement: Placement,
        ownership: Ownership,
    ) -> None:
        """Rank the addresses of the ``members`` that are present."""
        self._own_id = settings.vm.id
        self._ttl_seconds = settings.fleet.entry_seconds
        self._members = members
        self._placement = placement
        self._ownership = ownership

    def for_target(
        self,
        target: Target,
        inventory: Inventory,
    ) -> dict[str, Any]:
        """Return the response content for a completion on ``target``."""
        names: list[VmId] = []
        order = self._placement.order(target.name, target.model)
        for engine_id in order[: self._placement.spread(target.name)]:
            engine = inventory.engines_by_id[engine_id]
            names.extend(self._ownership.order(engine)[:2])
        return {
            'adapter': target.adapter,
            'version': target.version,
            **self._address_content(names),
        }

    def for_call(self, service: str, call: str) -> dict[str, Any]:
        """Return the response content for a call of a plain service.

        The address of this VM comes first.
        """
        content = self._address_content([VmId(self._own_id)])
        return {'service': service, 'call': call, **content}

    def _address_content(self, names: list[VmId]) -> dict[str, Any]:
        ranked = list(dict.fromkeys(names))
        ranked.extend(
            member.vm.id for member in self._other_members(set(ranked))
        )
        present = [
            self._members.by_id[name].vm
            for name in ranked
            if self._members.is_present(name)
        ]
        addresses = [vm.http_address for vm in present]
        return {
            'addresses': addresses[:_MAX_ADDRESSES],
            'ttl_seconds': self._ttl_seconds,
        }

    def _other_members(self, excluded: set[VmId]) -> list[Member]:
        # Members that this VM cannot reach directly may still be reachable
        # for the caller, but rank after those that it can reach.
        others = [
            member
            for member in self._members.present()
            if member.vm.id not in excluded
        ]
        return sorted(others, key=lambda member: not member.direct)
