"""Which VMs remember a key, and asking them."""

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
_MICROSECONDS = 1_000_000


@dataclass(slots=True)
class HolderReply:
    """What asking a holder gave.

    :ivar reply: its answer, if there was one
    :ivar incarnation: the process that answered
    """

    reply: Any = None
    incarnation: Incarnation = Incarnation(0)


@dataclass(slots=True)
class Quorum:
    """Whose acknowledgements a run needs.

    :ivar names: the holders in the order to ask
    :ivar needed: holders without which it must not run
    :ivar count: how many are needed in all
    :ivar since: Unix time; a holder that started later does not count, for
        it does not know what its predecessor acknowledged
    """

    names: list[VmId]
    needed: set[VmId]
    count: int
    since: float

    def is_met(self, acknowledged: dict[VmId, Incarnation]) -> bool:
        """Tell whether enough holders that are old enough acknowledged."""
        old = {
            name
            for name, incarnation in acknowledged.items()
            if incarnation / _MICROSECONDS <= self.since
        }
        return len(old) >= self.count and self.needed <= old


class Holders:
    """Finds and asks the holders of keys."""

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        settings: ClaimSettings,
    ) -> None:
        """Ask over ``peers``."""
        self._members = members
        self._peers = peers
        self._settings = settings
        self._lists: list[tuple[float, list[VmId]]] = []

    def note_list(self, published: VmList) -> None:
        """Remember a published list for as long as keys made under it live."""
        moment = clock.wall()
        horizon = moment - self._settings.key_seconds
        horizon -= self._settings.skew_seconds
        horizon -= self._settings.list_lag_seconds
        names = [vm.id for vm in published.vms]
        self._lists.append((moment, names))
        while len(self._lists) > 1 and self._lists[1][0] <= horizon:
            self._lists.pop(0)

    def of_key(self, key: str) -> list[VmId]:
        """Give the holders of a caller's own key, in the order to ask.

        They come from the published list and not from who looks live: in
        two parts of a split fleet the live VMs differ, the list does not.
        """
        names = list(self._members.by_id)
        return _holders(key, names)

    def quorum(self, key: str, made_at: float) -> Quorum:
        """Give whose acknowledgements a run under a caller's own key needs.

        A majority of the holders, so that any two runs ask a holder in
        common. If the list has changed around the key's making, an earlier
        run may have had a majority of other holders; then every holder that
        both have in common is needed, and two are too few.

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

    def _holders_since(self, key: str, moment: float) -> list[set[VmId]]:
        starts = [at for at, _names in self._lists]
        found = []
        for index, (_at, names) in enumerate(self._lists):
            ended_at = starts[index + 1] if index + 1 < len(starts) else None
            if ended_at is None or ended_at >= moment:
                found.append(set(_holders(key, names)))
        return found

    def witness_for(self, own: Member) -> Member | None:
        """Choose who shall witness our next permit.

        A VM of another failure domain, so that one switch cannot take both.
        """
        candidates = [
            member
            for member in self._members.present()
            if member.vm.id != own.vm.id and member.incarnation
        ]
        away = [
            member
            for member in candidates
            if member.vm.failure_domain != own.vm.failure_domain
        ]
        chosen = away or candidates
        if not chosen:
            return None
        latest = max(member.heard_at for member in chosen)
        fresh = [member for member in chosen if member.heard_at > latest - 5]
        spread = f'{own.vm.id}:{int(clock.wall())}'
        name = hashing.heaviest(spread, [member.vm.id for member in fresh])
        return self._members.by_id.get(name) if name else None

    async def ask(
        self,
        vm: VmId,
        message: Any,
    ) -> HolderReply:
        """Ask one holder."""
        member = self._members.by_id.get(vm)
        if member is None:
            return HolderReply()
        seconds = self._settings.acknowledge_seconds
        try:
            answered, reply = await self._peers.ask(
                member.vm.peer_address,
                vm,
                message,
                seconds,
            )
        except (PeerUnreachable, ConnectionLost, WrongPeer):
            return HolderReply()
        return HolderReply(reply, answered)


def _holders(key: str, names: list[VmId]) -> list[VmId]:
    return hashing.rank(key, names)[:HOLDERS_PER_KEY]  # type: ignore[return-value]
