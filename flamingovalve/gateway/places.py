"""Asks the owner of a group for places, and serves those who ask us."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

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
    PlaceOutcome,
    Refusal,
)
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.peer.server import PeerWatch, error_of, refusal_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.ledger import Place
    from flamingovalve.gateway.owner import GroupOwner
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection

# An owner that waits for a load says so this often; one that is silent for
# longer than two beats and a lost packet is taken for gone.
_BEAT_SECONDS: Final = 0.15
_SILENCE_SECONDS: Final = 0.5


class PlaceLease(Protocol):
    """A place that is held until it is given back."""

    grant: PlaceGrant

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back."""


class LocalLease:
    """A place that this VM gave to itself."""

    def __init__(self, owner: GroupOwner, place: Place) -> None:
        """Hold ``place`` of ``owner``."""
        self.grant = grant_of(place)
        self._owner = owner
        self._place = place

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back."""
        await self._owner.end(self._place, outcome, first_event)


class RemoteLease:
    """A place of another VM, held as long as its connection is open.

    If this process ends, the connection does too, and the owner counts the
    place as free without having to be told.
    """

    def __init__(
        self,
        peers: PeerPool,
        connection: PeerConnection,
        address: str,
        grant: PlaceGrant,
    ) -> None:
        """Hold the place that ``grant`` names."""
        self.grant = grant
        self._peers = peers
        self._connection = connection
        self._address = address

    async def end(self, outcome: PlaceOutcome, first_event: float) -> None:
        """Give the place back, and the connection to the pool."""
        try:
            await self._connection.send(PlaceEnd(outcome, first_event))
        except ConnectionLost:
            # The owner has gone; whoever follows it starts from reports.
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

    async def take(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        """Wait for a place.

        :raises ServingError: when the owner refuses
        :raises OwnerSilent: when it does not answer
        """
        if vm == self._members.own_id:
            owner = self._owned(ask.group)
            if owner is None:
                raise OwnerSilent('this VM is about to own the group')
            return LocalLease(owner, await owner.place(ask))
        return await self._ask(vm, ask)

    async def _ask(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        address = self._members.by_id[vm].vm.peer_address
        try:
            connection = await self._peers.fresh_enough(address, vm)
        except PeerUnreachable as failed:
            raise OwnerSilent(str(failed)) from failed
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
        return RemoteLease(self._peers, connection, address, reply)


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
        place: Place | None = None
        ended = PlaceEnd(PlaceOutcome.ABANDONED, 0)
        owner = self._owned(ask.group)
        try:
            if owner is None:
                raise _not_owned(ask.group)
            await connection.send(Heartbeat(0))
            async with PeerWatch(connection, _BEAT_SECONDS):
                place = await owner.place(ask)
            await connection.send(grant_of(place))
            message = await connection.receive(ask.remaining + 1)
            if isinstance(message, PlaceEnd):
                ended = message
        except ServingError as refused:
            await connection.send(refusal_of(refused))
        finally:
            if place is not None and owner is not None:
                await owner.end(place, ended.outcome, ended.first_event)


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
        retry_after=0.2,
    )
