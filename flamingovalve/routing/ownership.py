"""Assignment of engines to the VMs that own them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.generated.ids import VmId
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import EngineId
    from flamingovalve.generated.settings import Engine
    from flamingovalve.membership.members import MemberTable


class Ownership:
    """Assigns engines to the present VMs by rendezvous hashing.

    VMs in the engine's failure domain come first. Requests then usually
    cross no domain, and the loss of a domain affects no owners of engines
    in other domains.
    """

    def __init__(self, members: MemberTable) -> None:
        """Assign engines to ``members``."""
        self._members = members
        self._order_by_id: dict[EngineId, list[VmId]] = {}
        self._present: list[VmId] = []

    def order(self, engine: Engine) -> list[VmId]:
        """Return the present VMs in the order of precedence for ``engine``."""
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
        """Return the VM that owns ``engine``; None if no VM is present."""
        order = self.order(engine)
        return order[0] if order else None

    def deputy(self, engine: Engine) -> VmId | None:
        """Return the VM that takes over next; None if there is none."""
        order = self.order(engine)
        return order[1] if len(order) > 1 else None

    def _compute(self, engine: Engine) -> list[VmId]:
        same_domain = []
        other_domains = []
        for member in self._members.present():
            is_same_domain = member.vm.failure_domain == engine.failure_domain
            (same_domain if is_same_domain else other_domains).append(
                member.vm.id
            )
        ranked = [
            *hashing.rank(engine.id, same_domain),
            *hashing.rank(engine.id, other_domains),
        ]
        return [VmId(name) for name in ranked]
