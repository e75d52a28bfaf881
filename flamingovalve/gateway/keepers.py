"""Finds and asks the VMs that keep a rate for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.generated.messages import MemberState
from flamingovalve.membership.members import largest
from flamingovalve.peer.client import UNANSWERED
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.generated.ids import VmId
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.peer.client import PeerPool

logger = get_logger(__name__)

_ASK_SECONDS: Final = 0.25
# Number of keepers that are asked before the local share is used.
_MAX_KEEPERS_ASKED: Final = 2
# A keeper that did not respond is skipped for this long.
_SKIP_SECONDS: Final = 1.0


class KeeperClient:
    """Asks the keepers of rates, which may be this VM.

    The keeper of a rate is the first of the large reachable VMs in rendezvous
    order of its name.
    """

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        probe: Callable[[VmId | None], Awaitable[None]],
    ) -> None:
        """Ask remote keepers through ``peers``.

        :param probe: probes a VM immediately
        """
        self._members = members
        self._peers = peers
        self._probe = probe
        self._skipped_until: dict[VmId, float] = {}

    def vm_count(self) -> int:
        """Return the number of VMs that share a rate without a keeper.

        Counts silent ones, which may still use their share.
        """
        return max(self._members.possible_count(), 1)

    def is_here(self, vm: VmId) -> bool:
        """Return whether a keeper is this VM."""
        return vm == self._members.own_id

    def keepers(self, name: str) -> list[VmId]:
        """Return the VMs to ask for the rate ``name``, in this order."""
        vm_ids = [member.vm.id for member in largest(self.reachable())]
        return hashing.first(name, vm_ids, _MAX_KEEPERS_ASKED)

    def reachable(self) -> list[Member]:
        """Return the VMs that can be asked, including this one."""
        return [
            member
            for member in self._members.present()
            if self._is_reachable(member)
        ]

    def skipped_count(self) -> int:
        """Return the number of keepers that are skipped at present."""
        now = clock.now()
        return sum(until > now for until in self._skipped_until.values())

    async def ask(
        self,
        vm: VmId,
        message: Any,
        seconds: float = _ASK_SECONDS,
    ) -> Any:
        """Ask a remote keeper.

        :param seconds: time limit of the exchange
        :returns: its reply; None if there was none in time
        """
        keeper = self._members.by_id[vm].vm
        try:
            async with curio.timeout_after(seconds):
                _remote, reply = await self._peers.ask(
                    keeper.peer_address,
                    vm,
                    message,
                    seconds,
                )
        except UNANSWERED as error:
            logger.info('VM {} did not answer: {!r}', vm, error)
            self._skipped_until[vm] = clock.now() + _SKIP_SECONDS
            await self._probe(vm)
            return None
        return reply

    async def notify(self, vm: VmId, message: Any) -> None:
        """Send a remote keeper a message that has no reply."""
        member = self._members.by_id.get(vm)
        if member is None:
            return
        try:
            async with curio.timeout_after(_ASK_SECONDS):
                await self._peers.notify(member.vm.peer_address, vm, message)
        except UNANSWERED as error:
            logger.debug('VM {} was not notified: {!r}', vm, error)

    def _is_reachable(self, member: Member) -> bool:
        if self.is_here(member.vm.id):
            return True
        if clock.now() < self._skipped_until.get(member.vm.id, 0):
            return False
        return member.direct and member.state is MemberState.ALIVE
