"""Which VMs reach the upstreams of a service only through other VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.generated.ids import ServiceId
from flamingovalve.generated.messages import PathRumour
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.membership.members import MemberTable

logger = get_logger(__name__)

# What a VM has announced is forgotten after this time without a repetition.
_EXPIRY_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class _Heard:
    rumour: PathRumour
    at: float


class Reachability:
    """What VMs announce about their paths to upstreams, this VM included.

    A VM is *cut off* from a service if it bypasses most of its upstreams.
    """

    def __init__(self, members: MemberTable) -> None:
        """Start with VMs that reach everything."""
        self._members = members
        self._own = PathRumour(members.own_id, members.own_incarnation, 0, [])
        self._heard_by_vm: dict[VmId, _Heard] = {}

    def is_cut_off(self, vm: VmId, service: ServiceId) -> bool:
        """Return whether a VM has announced that it is cut off."""
        return service in self._rumour_of(vm).services

    def is_cut_off_from_any(self, vm: VmId) -> bool:
        """Return whether a VM is cut off from some service."""
        return bool(self._rumour_of(vm).services)

    def is_replaceable(self, vm: VmId, group: GroupId) -> bool:
        """Return whether a VM is cut off from a group and another one isn't."""
        service = service_of(group)
        return self.is_cut_off(vm, service) and any(
            not self.is_cut_off(member.vm.id, service)
            for member in self._members.present()
        )

    def update_own(self, services: list[ServiceId]) -> bool:
        """Set the services that this VM is cut off from.

        :returns: whether they changed
        """
        if services == self._own.services:
            return False
        note(
            logger,
            'this VM is cut off from services'
            if services
            else 'this VM reaches all services again',
            services=services,
            before=self._own.services,
        )
        self._own = PathRumour(
            self._members.own_id,
            self._members.own_incarnation,
            self._own.sequence + 1,
            services,
        )
        return True

    def own_rumours(self) -> list[PathRumour]:
        """Return the rumour of this VM once it has had a reason for one."""
        return [self._own] if self._own.sequence else []

    def apply_rumour(self, rumour: PathRumour) -> Dissemination:
        """Apply the announcement of another VM if it is newer."""
        if rumour.vm == self._members.own_id:
            return Dissemination.NONE
        heard = self._heard_by_vm.get(rumour.vm)
        now = clock.now()
        if heard is not None and _order(rumour) <= _order(heard.rumour):
            if _order(rumour) == _order(heard.rumour):
                self._heard_by_vm[rumour.vm] = _Heard(rumour, now)
            return Dissemination.NONE
        self._heard_by_vm[rumour.vm] = _Heard(rumour, now)
        note(
            logger,
            'another VM changed the services that it reaches',
            vm=rumour.vm,
            cut_off=rumour.services,
        )
        return Dissemination.URGENT

    def state_dump(self) -> dict[str, Any]:
        """Return the VMs that are cut off and from which services."""
        rumours = [
            self._own,
            *(one.rumour for one in self._heard_by_vm.values()),
        ]
        return {one.vm: list(one.services) for one in rumours if one.services}

    def _rumour_of(self, vm: VmId) -> PathRumour:
        if vm == self._members.own_id:
            return self._own
        heard = self._heard_by_vm.get(vm)
        if heard is None:
            return _REACHES_ALL
        member = self._members.by_id.get(vm)
        is_replaced = (
            member is not None and member.incarnation > heard.rumour.incarnation
        )
        if is_replaced or clock.now() > heard.at + _EXPIRY_SECONDS:
            del self._heard_by_vm[vm]
            return _REACHES_ALL
        return heard.rumour


_REACHES_ALL: Final = PathRumour()


def service_of(group: GroupId) -> ServiceId:
    """Return the service whose engines form a group."""
    return ServiceId(group.partition('/')[0])


def _order(rumour: PathRumour) -> tuple[int, int]:
    return rumour.incarnation, rumour.sequence
