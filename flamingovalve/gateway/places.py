"""Requests places from the owners of groups, and grants places to other VMs."""

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
from flamingovalve.peer.server import PeerHeartbeats, error_of, refusal_of
from flamingovalve.util.logs import get_logger
from flamingovalve.util.network import is_closed_by_peer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.ledger import Place
    from flamingovalve.gateway.owner import GroupOwner
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection

logger = get_logger(__name__)

# Interval of the heartbeats that an owner sends while a place is not yet free.
_HEARTBEAT_SECONDS: Final = 0.15
# An owner is considered failed after this silence: two heartbeat intervals plus
# a lost packet.
_OWNER_TIMEOUT_SECONDS: Final = 0.5
# A place is freed this long after the deadline of its request.
_END_GRACE_SECONDS: Final = 1.0
_NOT_OWNER_RETRY_SECONDS: Final = 0.2


class PlaceLease:
    """A place that is held until it is released.

    A place of another VM is held as long as its connection is open. If this
    process ends, the connection closes and the owner frees the place without
    a message.

    :ivar holder: how the place is held; None if released or unknown to owners
    """

    def __init__(self, ask: PlaceAsk, grant: PlaceGrant) -> None:
        """Hold the place that ``grant`` describes."""
        self.ask = ask
        self.grant = grant
        self.is_ended = False
        self.holder: LocalHolder | RemoteHolder | None = None

    async def end(self, end: PlaceEnd) -> None:
        """Release the place."""
        self.is_ended = True
        holder = self.holder
        self.holder = None
        if holder is not None:
            await holder.end(end)


class LocalHolder:
    """Holds a place on an engine that this VM owns."""

    def __init__(self, owner: GroupOwner, place: Place) -> None:
        """Hold ``place``, granted by ``owner``."""
        self._owner = owner
        self._place = place

    async def end(self, end: PlaceEnd) -> None:
        """Release the place."""
        await self._owner.end(self._place, end)


class RemoteHolder:
    """Holds a place granted by another VM through an open connection."""

    def __init__(
        self,
        peers: PeerPool,
        connection: PeerConnection,
        address: str,
    ) -> None:
        """Hold the place that was granted over ``connection``."""
        self._peers = peers
        self._connection = connection
        self._address = address

    async def end(self, end: PlaceEnd) -> None:
        """Release the place and return the connection to the pool."""
        try:
            await self._connection.send(end)
        except ConnectionLost:
            # The owner is unreachable. PlaceClient.notify_new_owner reports
            # the place to its successor.
            await self._connection.close()
            return
        self._peers.release(self._connection, self._address)


class OwnerUnavailable(Exception):
    """The owner of a group cannot be reached or is not ready."""


class PlaceClient:
    """Obtains places from their owners, which may be this VM."""

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        owned: Callable[[GroupId], GroupOwner | None],
    ) -> None:
        """Ask remote owners through ``peers``.

        :param owned: returns the owner of a group on this VM, if there is one
        """
        self._members = members
        self._peers = peers
        self._find_owner = owned
        self._open_leases: set[PlaceLease] = set()

    async def take(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        """Wait for a place on an engine that ``vm`` owns.

        :raises ServingError: if the owner refuses
        :raises OwnerUnavailable: if the owner does not respond
        """
        if vm == self._members.own_id:
            lease = await self._take_local(ask)
        else:
            lease = await self._take_remote(vm, ask)
        self._open_leases.add(lease)
        return lease

    async def end(self, lease: PlaceLease, end: PlaceEnd) -> None:
        """Release a place."""
        self._open_leases.discard(lease)
        await lease.end(end)

    def record_open_lease(self, lease: PlaceLease) -> None:
        """Record a place without an owner, to report it to the next owner."""
        self._open_leases.add(lease)

    async def notify_new_owner(self, group: GroupId, vm: VmId) -> None:
        """Report the places of a group that this VM holds to its new owner.

        A new owner knows only the reports of engines, which do not say which
        adapters are in use. Without this report it could order an adapter in
        use to be unloaded, and the engine would refuse requests for that
        adapter until its last request has ended.
        """
        for lease in list(self._open_leases):
            if lease.ask.group == group and not lease.is_ended:
                await self._report_place(vm, lease)

    async def _report_place(self, vm: VmId, lease: PlaceLease) -> None:
        hold = PlaceHold(lease.ask, lease.grant.upstream)
        if vm == self._members.own_id:
            owner = self._find_owner(lease.ask.group)
            place = owner.adopt_place(hold) if owner is not None else None
            if owner is not None and place is not None:
                lease.holder = LocalHolder(owner, place)
            return
        member = self._members.by_id.get(vm)
        if member is None:
            return
        address = member.vm.peer_address
        try:
            connection = await self._peers.acquire_live(address, vm)
            await connection.send(hold)
        except (PeerUnreachable, ConnectionLost) as error:
            logger.info('place not reported to VM {}: {}', vm, error)
            return
        if lease.is_ended:
            await connection.close()
        else:
            lease.holder = RemoteHolder(self._peers, connection, address)

    async def _take_local(self, ask: PlaceAsk) -> PlaceLease:
        owner = self._find_owner(ask.group)
        if owner is None:
            raise OwnerUnavailable('this VM does not own the group yet')
        place = await owner.place(ask)
        lease = PlaceLease(ask, grant_of(place))
        lease.holder = LocalHolder(owner, place)
        return lease

    async def _take_remote(self, vm: VmId, ask: PlaceAsk) -> PlaceLease:
        address, connection = await self._connect(vm)
        try:
            await connection.send(ask)
            reply = await connection.receive(_OWNER_TIMEOUT_SECONDS)
        except (ConnectionLost, WrongPeer) as error:
            await connection.close()
            raise OwnerUnavailable(str(error)) from error
        except BaseException:
            await connection.close()
            raise
        if isinstance(reply, Refusal):
            self._peers.release(connection, address)
            raise error_of(reply)
        lease = PlaceLease(ask, reply)
        lease.holder = RemoteHolder(self._peers, connection, address)
        return lease

    async def _connect(self, vm: VmId) -> tuple[str, PeerConnection]:
        member = self._members.by_id.get(vm)
        if member is None:
            # A process that has just started knows few members, so a claim can
            # arrive before the member entry of its VM.
            raise OwnerUnavailable(f'VM {vm} is not a known member yet')
        address = member.vm.peer_address
        try:
            return address, await self._peers.acquire_live(address, vm)
        except PeerUnreachable as error:
            raise OwnerUnavailable(str(error)) from error


class PlaceServer:
    """Grants places to other VMs."""

    def __init__(
        self,
        owned: Callable[[GroupId], GroupOwner | None],
    ) -> None:
        """Grant places of the groups that this VM owns.

        :param owned: returns the owner of a group on this VM, if there is one
        """
        self._find_owner = owned

    async def serve(self, ask: PlaceAsk, connection: PeerConnection) -> None:
        """Grant one place and wait until it is released."""
        owner = self._find_owner(ask.group)
        try:
            if owner is None:
                raise _not_owner_error(ask.group)
            await self._serve(owner, ask, connection)
        except ServingError as refusal_error:
            await connection.send(refusal_of(refusal_error))

    async def _serve(
        self,
        owner: GroupOwner,
        ask: PlaceAsk,
        connection: PeerConnection,
    ) -> None:
        if is_closed_by_peer(connection.socket):
            # The asking VM gave up before its message was read. Work for it
            # would take capacity from requests that are still waiting.
            owner.counts.withdrawn += 1
            return
        place = owner.place_immediately(ask)
        if place is None:
            place = await self._wait_for_place(owner, ask, connection)
        end_message = PlaceEnd(PlaceOutcome.ABANDONED, 0)
        try:
            await connection.send(grant_of(place))
            end_message = await self._wait_for_end(connection, ask)
        finally:
            await owner.end(place, end_message)

    async def _wait_for_place(
        self,
        owner: GroupOwner,
        ask: PlaceAsk,
        connection: PeerConnection,
    ) -> Place:
        """Wait for a place while sending heartbeats to the asking VM."""
        await connection.send(Heartbeat(0))
        async with PeerHeartbeats(connection, _HEARTBEAT_SECONDS):
            return await owner.place_queued(ask)

    async def _wait_for_end(
        self,
        connection: PeerConnection,
        ask: PlaceAsk,
    ) -> PlaceEnd:
        message = await connection.receive(ask.remaining + _END_GRACE_SECONDS)
        if isinstance(message, PlaceEnd):
            return message
        return PlaceEnd(PlaceOutcome.ABANDONED, 0)

    async def serve_hold(
        self,
        hold: PlaceHold,
        connection: PeerConnection,
    ) -> None:
        """Adopt a place of a former owner and wait until it is released."""
        owner = self._find_owner(hold.ask.group)
        place = owner.adopt_place(hold) if owner is not None else None
        end_message = PlaceEnd(PlaceOutcome.ABANDONED, 0)
        try:
            end_message = await self._wait_for_end(connection, hold.ask)
        finally:
            if place is not None and owner is not None:
                end_message.first_event = 0
                end_message.max_gap = 0
                await owner.end(place, end_message)


def grant_of(place: Place) -> PlaceGrant:
    """Return the message that grants a place."""
    upstream = place.engine.upstream
    held = place.engine.held.get(place.ask.adapter)
    version = held.version if held is not None else 0
    return PlaceGrant(
        upstream.id,
        upstream.address,
        version,
        place.yields,
        place.engine.born,
    )


def _not_owner_error(group: GroupId) -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        f'group {group} is owned by another VM; ask that VM',
        retry_after=_NOT_OWNER_RETRY_SECONDS,
    )
