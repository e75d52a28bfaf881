"""Asks the owner of a group for places, and serves those who ask us."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import (
    ConnectionLost,
    ErrorKind,
    ServingError,
    WrongPeer,
)
from flamingovalve.generated.messages import (
    Heartbeat,
    PlaceAsk,
    PlaceEnd,
    PlaceGrant,
    PlaceHold,
    PlaceOutcome,
    Refusal,
)
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.peer.server import PeerWatch, error_of, refusal_of
from flamingovalve.util.logs import get_logger
from flamingovalve.util.network import has_ended

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.ledger import Place
    from flamingovalve.gateway.owner import GroupOwner
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection

logger = get_logger(__name__)

# An owner that waits for a load says so this often; one that is silent for
# longer than two beats and a lost packet is taken for gone.
_BEAT_SECONDS: Final = 0.15
_SILENCE_SECONDS: Final = 0.5
# A place counts as ended this long after its request's deadline.
_LATEST_END_SECONDS: Final = 1.0
_OWNER_CHANGE_SECONDS: Final = 0.2


class PlaceLease:
    """A place that is held until it is given back.

    A place of another VM is held as long as its connection is open. If this
    process ends, the connection does too, and the owner counts the place as
    free without having to be told.
    """

    def __init__(self, ask: PlaceAsk, grant: PlaceGrant) -> None:
        """Hold the place that ``grant`` names."""
        self.ask = ask
        self.grant = grant
        self.is_ended = False
        self.holder: LocalHolder | RemoteHolder | None = None

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back."""
        self.is_ended = True
        holder = self.holder
        self.holder = None
        if holder is not None:
            await holder.end(outcome, first_event)


class LocalHolder:
    """Holds a place that this VM gave to itself."""

    def __init__(self, owner: GroupOwner, place: Place) -> None:
        """Hold ``place`` of ``owner``."""
        self._owner = owner
        self._place = place

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back."""
        await self._owner.end(self._place, outcome, first_event)


class RemoteHolder:
    """Holds a place of another VM by an open connection."""

    def __init__(
        self,
        peers: PeerPool,
        connection: PeerConnection,
        address: str,
    ) -> None:
        """Hold the place that was given over ``connection``."""
        self._peers = peers
        self._connection = connection
        self._address = address

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back, and the connection to the pool."""
        try:
            await self._connection.send(PlaceEnd(outcome, first_event))
        except ConnectionLost:
            # The owner has gone; whoever follows it was told of the place.
            await self._connection.close()
            return
        self._peers.give(self._connection, self._address)


class OwnerSilent(Exception):
    """The owner of a group cannot be asked at the moment."""


class PlaceClient:
    """Takes places wherever their owner is."""

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        owned: Callable[[GroupId], GroupOwner | None],
    ) -> None:
        """Ask other VMs by ``peers``, and ourselves by ``owned``."""
        self._members = members
        self._peers = peers
        self._owned = owned
        self._open: set[PlaceLease] = set()

    async def take(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        """Wait for a place.

        :raises ServingError: when the owner refuses
        :raises OwnerSilent: when it does not answer
        """
        if vm == self._members.own_id:
            lease = await self._take_here(ask)
        else:
            lease = await self._ask(vm, ask)
        self._open.add(lease)
        return lease

    async def end(
        self,
        lease: PlaceLease,
        outcome: PlaceOutcome,
        first_event: float,
    ) -> None:
        """Give a place back."""
        self._open.discard(lease)
        await lease.end(outcome, first_event)

    def note_open(self, lease: PlaceLease) -> None:
        """Tell the next owner of a place that no owner has given."""
        self._open.add(lease)

    async def notify_new_owner(self, group: GroupId, vm: VmId) -> None:
        """Tell the new owner of a group which places are held here.

        It knows only what engines report, and they do not say which adapters
        are in use. It would order one of them out, and the engine would
        refuse requests for it until the last one on it has ended.
        """
        for lease in list(self._open):
            if lease.ask.group == group and not lease.is_ended:
                await self._tell(vm, lease)

    async def _tell(self, vm: VmId, lease: PlaceLease) -> None:
        hold = PlaceHold(lease.ask, lease.grant.upstream)
        if vm == self._members.own_id:
            owner = self._owned(lease.ask.group)
            place = owner.adopt_place(hold) if owner is not None else None
            if owner is not None and place is not None:
                lease.holder = LocalHolder(owner, place)
            return
        member = self._members.by_id.get(vm)
        if member is None:
            return
        address = member.vm.peer_address
        try:
            connection = await self._peers.fresh_enough(address, vm)
            await connection.send(hold)
        except (PeerUnreachable, ConnectionLost) as failed:
            logger.info('VM {} not told of a place: {}', vm, failed)
            return
        if lease.is_ended:
            await connection.close()
        else:
            lease.holder = RemoteHolder(self._peers, connection, address)

    async def _take_here(self, ask: PlaceAsk) -> PlaceLease:
        owner = self._owned(ask.group)
        if owner is None:
            raise OwnerSilent('this VM is about to own the group')
        place = await owner.place(ask)
        lease = PlaceLease(ask, grant_of(place))
        lease.holder = LocalHolder(owner, place)
        return lease

    async def _ask(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        address, connection = await self._connect(vm)
        try:
            await connection.send(ask)
            reply = await connection.receive(_SILENCE_SECONDS)
        except (ConnectionLost, WrongPeer) as failed:
            await connection.close()
            raise OwnerSilent(str(failed)) from failed
        except BaseException:
            await connection.close()
            raise
        if isinstance(reply, Refusal):
            self._peers.give(connection, address)
            raise error_of(reply)
        lease = PlaceLease(ask, reply)
        lease.holder = RemoteHolder(self._peers, connection, address)
        return lease

    async def _connect(self, vm: VmId) -> tuple[str, PeerConnection]:
        member = self._members.by_id.get(vm)
        if member is None:
            # A claim can be heard before its VM is: a process that has just
            # started knows few others.
            raise OwnerSilent(f'VM {vm} is not known here yet')
        address = member.vm.peer_address
        try:
            return address, await self._peers.fresh_enough(address, vm)
        except PeerUnreachable as failed:
            raise OwnerSilent(str(failed)) from failed


class PlaceServer:
    """Gives places to the VMs that ask for them."""

    def __init__(
        self,
        owned: Callable[[GroupId], GroupOwner | None],
    ) -> None:
        """Give those of the groups that ``owned`` finds."""
        self._owned = owned

    async def serve(self, ask: PlaceAsk, connection: PeerConnection) -> None:
        """Give one place and wait until it is given back."""
        owner = self._owned(ask.group)
        try:
            if owner is None:
                raise _not_owned(ask.group)
            await self._serve(owner, ask, connection)
        except ServingError as refused:
            await connection.send(refusal_of(refused))

    async def _serve(
        self,
        owner: GroupOwner,
        ask: PlaceAsk,
        connection: PeerConnection,
    ) -> None:
        if has_ended(connection.socket):
            # Its caller stopped waiting before we came to read this. Whatever
            # was done for it would be missing to those who still wait.
            owner.counts.withdrawn += 1
            return
        place = owner.place_at_once(ask)
        if place is None:
            place = await self._wait(owner, ask, connection)
        ended = PlaceEnd(PlaceOutcome.ABANDONED, 0)
        try:
            await connection.send(grant_of(place))
            ended = await self._until_ended(connection, ask)
        finally:
            await owner.end(place, ended.outcome, ended.first_event)

    async def _wait(
        self,
        owner: GroupOwner,
        ask: PlaceAsk,
        connection: PeerConnection,
    ) -> Place:
        """Wait for a place while heartbeats tell that we do."""
        await connection.send(Heartbeat(0))
        async with PeerWatch(connection, _BEAT_SECONDS):
            return await owner.place_in_turn(ask)

    async def _until_ended(
        self,
        connection: PeerConnection,
        ask: PlaceAsk,
    ) -> PlaceEnd:
        message = await connection.receive(ask.remaining + _LATEST_END_SECONDS)
        if isinstance(message, PlaceEnd):
            return message
        return PlaceEnd(PlaceOutcome.ABANDONED, 0)

    async def serve_hold(
        self,
        hold: PlaceHold,
        connection: PeerConnection,
    ) -> None:
        """Count a place that a former owner gave until it is given back."""
        owner = self._owned(hold.ask.group)
        place = owner.adopt_place(hold) if owner is not None else None
        ended = PlaceEnd(PlaceOutcome.ABANDONED, 0)
        try:
            ended = await self._until_ended(connection, hold.ask)
        finally:
            if place is not None and owner is not None:
                await owner.end(place, ended.outcome, 0)


def grant_of(place: Place) -> PlaceGrant:
    """Give the message that names a place."""
    upstream = place.engine.upstream
    held = place.engine.held.get(place.ask.adapter)
    version = held.version if held is not None else 0
    return PlaceGrant(upstream.id, upstream.address, version)


def _not_owned(group: GroupId) -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        f'group {group} belongs to another VM; ask that one',
        retry_after=_OWNER_CHANGE_SECONDS,
    )
