"""Connections to upstreams that run through another VM."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.generated import messages
from flamingovalve.generated.ids import VmId
from flamingovalve.http.client import UpstreamConnection
from flamingovalve.membership.members import largest
from flamingovalve.peer.client import UNANSWERED
from flamingovalve.peer.connection import SILENCE_SECONDS
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.staggered import first_opened
from flamingovalve.util.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.announcements import Announcement
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.reachability import Reachability
    from flamingovalve.generated.ids import DomainId, UpstreamId
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection
    from flamingovalve.util.network import Network
    from flamingovalve.util.tasks import TaskSet

logger = get_logger(__name__)

# VMs that are asked for one connection.
_MAX_VMS_ASKED: Final = 3
# Several exchanges between failure domains, with those that open connections.
_NEXT_VM_SECONDS: Final = 0.08
_OPEN_SECONDS: Final = 0.5
_END_SECONDS: Final = 1.0
# Bytes of a message that is passed over.
_READ_BYTES: Final = 65536
# A VM that has refused a connection to a service is asked last for this long.
_REFUSED_SECONDS: Final = 1.0


@dataclass
class TunnelCounts:
    """Counters of connections that other VMs were asked for.

    :ivar failed: VMs that refused, or did not answer in time
    """

    opened: int = 0
    failed: int = 0


class Tunnel:
    """The socket of a connection that runs through another VM."""

    def __init__(self, connection: PeerConnection, vm: VmId) -> None:
        """Exchange bytes over ``connection`` with the VM ``vm``."""
        self.vm = vm
        self._connection = connection

    async def sendall(self, payload: bytes) -> None:
        """Send bytes to the upstream.

        :raises ConnectionLost: if the connection to the other VM broke
        """
        await self._connection.send(messages.TunnelData(payload))

    async def recv(self, _max_size: int) -> bytes:
        """Return bytes from the upstream; empty after its orderly end.

        :raises ConnectionLost: if the connection was reset, or the one to the
            other VM broke or fell silent
        """
        message = await self._connection.receive(SILENCE_SECONDS)
        if isinstance(message, messages.TunnelData):
            return message.payload
        if isinstance(message, messages.TunnelClosed) and message.clean:
            return b''
        raise ConnectionLost('the connection through another VM was reset')

    async def notify(self, notice: messages.TunnelNotice) -> None:
        """Notify the other VM of what a response has announced."""
        await self._connection.send(notice)

    async def end(self, end: messages.TunnelEnd) -> PeerConnection:
        """End the tunnel in order.

        :returns: the connection to the other VM, for other exchanges
        :raises ConnectionLost: if that connection broke or fell silent
        """
        ends_at = clock.now() + _END_SECONDS
        turns = Turns()
        await self._connection.send(end)
        message = await self._connection.receive(_END_SECONDS)
        while not isinstance(message, messages.TunnelEnded):
            # What the upstream sent after its response belongs to no request.
            if clock.now() > ends_at:
                raise ConnectionLost('the connection does not become quiet')
            await turns.record(_READ_BYTES)
            message = await self._connection.receive(_END_SECONDS)
        return self._connection

    async def close(self) -> None:
        """Close the tunnel, whatever its state."""
        await self._connection.close()


class TunnelledConnection(UpstreamConnection):
    """A connection to an upstream through another VM."""

    is_direct = False

    def __init__(self, network: Network, address: str, tunnel: Tunnel) -> None:
        """Exchange requests over ``tunnel``."""
        super().__init__(network, address, tunnel)  # type: ignore[arg-type]
        self.tunnel = tunnel

    async def record(self, announcement: Announcement) -> None:
        """Pass on what concerns the VM that the upstream sees.

        :raises ConnectionLost: if the connection to the other VM broke
        """
        if announcement.rest_seconds or announcement.is_leaving:
            notice = messages.TunnelNotice(
                announcement.rest_seconds, announcement.is_leaving
            )
            await self.tunnel.notify(notice)


class TunnelClient:
    """Opens connections to upstreams through other VMs."""

    def __init__(
        self,
        network: Network,
        domain: DomainId,
        members: MemberTable,
        peers: PeerPool,
        reachability: Reachability,
        background: TaskSet,
    ) -> None:
        """Ask ``members`` that reach the upstreams of a service.

        :param domain: failure domain of this VM
        :param background: runs the orderly ends of tunnels
        """
        self.counts = TunnelCounts()
        self._network = network
        self._domain = domain
        self._members = members
        self._peers = peers
        self._reachability = reachability
        self._background = background
        self._last_by_upstream: dict[UpstreamId, VmId] = {}
        self._refused_until: dict[tuple[VmId, str], float] = {}

    async def open(
        self, upstream: Upstream, *, is_fresh: bool
    ) -> TunnelledConnection | None:
        """Open a connection to an upstream.

        :param is_fresh: whether the other VM has to open a new one, which
            proves that it reaches the upstream
        :returns: None if no VM opens one in time
        """
        starts = [
            functools.partial(
                self._open_through,
                vm,
                messages.TunnelAsk(upstream.id, upstream.service, is_fresh),
                upstream,
            )
            for vm in self._candidates(upstream)
        ]
        return await first_opened(
            starts, _NEXT_VM_SECONDS, UpstreamConnection.close
        )

    async def release(self, connection: TunnelledConnection) -> None:
        """End a tunnel after a request; the other VM keeps the connection.

        It does not know which requests were refused on it.
        """
        is_reusable = connection.is_reusable() and not connection.refused_ids
        end = messages.TunnelEnd(is_reusable, connection.keep_alive_seconds)
        await self._background.spawn(self._end, connection.tunnel, end)

    async def _end(self, tunnel: Tunnel, end: messages.TunnelEnd) -> None:
        member = self._members.by_id.get(tunnel.vm)
        try:
            connection = await tunnel.end(end)
        except UNANSWERED:
            await tunnel.close()
            return
        if member is None:
            await connection.close()
        else:
            self._peers.release(connection, member.vm.peer_address)

    def forget_removed(self, is_listed: Callable[[UpstreamId], bool]) -> None:
        """Forget removed upstreams, and refusals of the past."""
        for name in list(self._last_by_upstream):
            if not is_listed(name):
                del self._last_by_upstream[name]
        now = clock.now()
        self._refused_until = {
            key: until
            for key, until in self._refused_until.items()
            if until > now
        }

    def _candidates(self, upstream: Upstream) -> list[VmId]:
        """Return the VMs to ask, in this order.

        One in the failure domain of this VM or of the upstream adds no
        transfer between failure domains. Different VMs and upstreams have
        different orders, which spreads the load.
        """
        members = largest(
            [
                one
                for one in self._members.present()
                if self._reaches(one, upstream)
            ]
        )
        domains = {self._domain, upstream.domain}
        near = [one for one in members if one.vm.failure_domain in domains]
        far = [one for one in members if one.vm.failure_domain not in domains]
        key = f'tunnel {self._members.own_id} {upstream.id}'
        ranked = [
            *hashing.first(key, [one.vm.id for one in near], _MAX_VMS_ASKED),
            *hashing.first(key, [one.vm.id for one in far], _MAX_VMS_ASKED),
        ]
        last = self._last_by_upstream.get(upstream.id)
        ranked.sort(key=lambda vm: (self._refuses(vm, upstream), vm != last))
        return [VmId(vm) for vm in ranked[:_MAX_VMS_ASKED]]

    def _reaches(self, member: Member, upstream: Upstream) -> bool:
        vm = member.vm.id
        if vm == self._members.own_id or not member.direct:
            return False
        if member.state is not messages.MemberState.ALIVE:
            return False
        return not self._reachability.is_cut_off(vm, upstream.service)

    def _refuses(self, vm: str, upstream: Upstream) -> bool:
        until = self._refused_until.get((VmId(vm), upstream.service), 0)
        return clock.now() < until

    async def _open_through(
        self, vm: VmId, ask: messages.TunnelAsk, upstream: Upstream
    ) -> TunnelledConnection | None:
        reason = ''
        try:
            async with curio.timeout_after(_OPEN_SECONDS):
                connection = await self._ask(vm, ask)
        except UNANSWERED as error:
            reason = repr(error)
        except _Refused as refused:
            reason = str(refused)
        else:
            self.counts.opened += 1
            self._last_by_upstream[upstream.id] = vm
            tunnel = Tunnel(connection, vm)
            return TunnelledConnection(self._network, upstream.address, tunnel)
        self.counts.failed += 1
        self._refused_until[vm, upstream.service] = (
            clock.now() + _REFUSED_SECONDS
        )
        note(
            logger,
            'no connection through another VM',
            vm=vm,
            upstream=upstream.id,
            reason=reason,
        )
        return None

    async def _ask(self, vm: VmId, ask: messages.TunnelAsk) -> PeerConnection:
        member = self._members.by_id[vm]
        address = member.vm.peer_address
        connection = await self._peers.acquire_live(address, vm)
        try:
            await connection.send(ask)
            reply = await connection.receive(SILENCE_SECONDS)
        except BaseException:
            await connection.close()
            raise
        if isinstance(reply, messages.TunnelOpened):
            return connection
        if isinstance(reply, messages.Refusal):
            self._peers.release(connection, address)
            raise _Refused(reply.message)
        await connection.close()
        raise ConnectionLost('unexpected reply')


class _Refused(Exception):
    """Another VM refused to open a connection."""
