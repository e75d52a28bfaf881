"""Choosing the VMs that record a key, and sending them requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.generated.ids import Incarnation
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.settings import ClaimSettings, VmList
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.peer.client import PeerPool

HOLDERS_PER_KEY = 3
_MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(slots=True)
class HolderReply:
    """The result of a request to a holder.

    :ivar reply: its reply; None if there was none
    :ivar incarnation: the process that replied
    """

    reply: Any = None
    incarnation: Incarnation = Incarnation(0)


@dataclass(slots=True)
class Quorum:
    """The holders whose acknowledgements a run needs.

    :ivar names: the holders, in the order in which they are asked
    :ivar needed: holders each of which must acknowledge the run
    :ivar count: minimum number of acknowledgements
    :ivar since: Unix time; a holder that started later does not count, since
        it does not know what its predecessor acknowledged
    """

    names: list[VmId]
    needed: set[VmId]
    count: int
    since: float

    def is_met(self, acknowledged: dict[VmId, Incarnation]) -> bool:
        """Return whether enough holders that are old enough acknowledged."""
        counted = {
            name
            for name, incarnation in acknowledged.items()
            if incarnation / _MICROSECONDS_PER_SECOND <= self.since
        }
        return len(counted) >= self.count and self.needed <= counted


class Holders:
    """Chooses the holders of keys and sends them requests."""

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        settings: ClaimSettings,
    ) -> None:
        """Send requests over ``peers``."""
        self._members = members
        self._peers = peers
        self._settings = settings
        self._published_lists: list[tuple[float, list[VmId]]] = []

    def record_list(self, published: VmList) -> None:
        """Keep a published list until keys made under it have expired."""
        now = clock.wall()
        horizon = now - self._settings.key_seconds
        horizon -= self._settings.skew_seconds
        horizon -= self._settings.list_lag_seconds
        names = [vm.id for vm in published.vms]
        self._published_lists.append((now, names))
        while (
            len(self._published_lists) > 1
            and self._published_lists[1][0] <= horizon
        ):
            self._published_lists.pop(0)

    def of_key(self, key: str) -> list[VmId]:
        """Return the holders of a caller's own key, in the order to ask.

        They are chosen from the published list and not from the VMs that are
        present: on the two sides of a partition the present VMs differ, but
        the list is the same.
        """
        names = list(self._members.by_id)
        return _choose_holders(key, names)

    def quorum(self, key: str, made_at: float) -> Quorum:
        """Return the acknowledgements that a run under a caller's key needs.

        A majority of the holders, so that any two runs ask a common holder.
        If the list has changed since shortly before the key was made, an
        earlier run may have had a majority of other holders. Then every
        holder common to all these lists is needed. If these are fewer than a
        majority, the quorum cannot be met.

        :param made_at: Unix time at which the key was made
        """
        names = self.of_key(key)
        since = made_at - self._settings.skew_seconds
        earlier = self._holders_since(
            key,
            since - self._settings.list_lag_seconds,
        )
        common = set(names).intersection(*earlier)
        majority = len(names) // 2 + 1
        if len(common) == len(names):
            return Quorum(names, set(), majority, since)
        if len(common) < majority:
            return Quorum(names, set(names), len(names) + 1, since)
        return Quorum(names, common, majority, since)

    def _holders_since(self, key: str, since: float) -> list[set[VmId]]:
        starts = [started_at for started_at, _names in self._published_lists]
        found = []
        for index, (_started_at, names) in enumerate(self._published_lists):
            ended_at = starts[index + 1] if index + 1 < len(starts) else None
            if ended_at is None or ended_at >= since:
                found.append(set(_choose_holders(key, names)))
        return found

    def witness_for(self, own: Member) -> Member | None:
        """Choose the witness of the next permit of this VM.

        A VM of another failure domain is preferred, so that the failure of
        one switch cannot disconnect both.
        """
        candidates = [
            member
            for member in self._members.present()
            if member.vm.id != own.vm.id and member.incarnation
        ]
        in_other_domains = [
            member
            for member in candidates
            if member.vm.failure_domain != own.vm.failure_domain
        ]
        preferred = in_other_domains or candidates
        if not preferred:
            return None
        latest = max(member.heard_at for member in preferred)
        recent = [
            member for member in preferred if member.heard_at > latest - 5
        ]
        spread_key = f'{own.vm.id}:{int(clock.wall())}'
        name = hashing.heaviest(spread_key, [member.vm.id for member in recent])
        return self._members.by_id.get(name) if name else None

    async def ask(
        self,
        vm: VmId,
        message: Any,
    ) -> HolderReply:
        """Send a request to one holder."""
        member = self._members.by_id.get(vm)
        if member is None:
            return HolderReply()
        seconds = self._settings.acknowledge_seconds
        try:
            incarnation, reply = await self._peers.ask(
                member.vm.peer_address,
                vm,
                message,
                seconds,
            )
        except (PeerUnreachable, ConnectionLost, WrongPeer):
            return HolderReply()
        return HolderReply(reply, incarnation)


def _choose_holders(key: str, names: list[VmId]) -> list[VmId]:
    return hashing.rank(key, names)[:HOLDERS_PER_KEY]  # type: ignore[return-value]
