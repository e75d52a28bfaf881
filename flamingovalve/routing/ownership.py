"""Which VM owns which engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.generated.ids import VmId
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import EngineId
    from flamingovalve.generated.settings import Engine
    from flamingovalve.membership.members import MemberTable


class Ownership:
    """Rendezvous of engines over the VMs that are present.

    VMs in the engine's failure domain come first: the usual path then
    crosses no domain, and the loss of a domain takes owners and engines
    together instead of the owners of engines elsewhere.
    """

    def __init__(self, members: MemberTable) -> None:
        """Divide engines over ``members``."""
        self._members = members
        self._order_by_id: dict[EngineId, list[VmId]] = {}
        self._present: list[VmId] = []

    def order(self, engine: Engine) -> list[VmId]:
        """Give the present VMs in the order in which they own ``engine``."""
        present = self._members.present_ids()
        if present != self._present:
            self._present = list(present)
            self._order_by_id.clear()
        order = self._order_by_id.get(engine.id)
        if order is None:
            order = self._compute(engine)
            self._order_by_id[engine.id] = order
        return order

    def owner(self, engine: Engine) -> VmId | None:
        """Give the VM that owns ``engine``; none if no VM is present."""
        order = self.order(engine)
        return order[0] if order else None

    def deputy(self, engine: Engine) -> VmId | None:
        """Give the VM that would own ``engine`` next."""
        order = self.order(engine)
        return order[1] if len(order) > 1 else None

    def _compute(self, engine: Engine) -> list[VmId]:
        near = []
        far = []
        for member in self._members.present():
            same = member.vm.failure_domain == engine.failure_domain
            (near if same else far).append(member.vm.id)
        ranked = [
            *hashing.rank(engine.id, near),
            *hashing.rank(engine.id, far),
        ]
        return [VmId(name) for name in ranked]
