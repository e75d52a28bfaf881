"""Asks other VMs, over connections that are kept for a while."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.peer.connection import PeerConnection, own_hello
from flamingovalve.util import clock
from flamingovalve.util.authentication import Keyring
from flamingovalve.util.network import has_ended

if TYPE_CHECKING:
    from flamingovalve.generated.ids import Incarnation, VmId
    from flamingovalve.generated.settings import Settings
    from flamingovalve.util.network import Network

_IDLE_SECONDS = 10


@dataclass
class PeerCounts:
    """What the client side of the peer protocol has seen."""

    exchanges: int = 0
    opened: int = 0
    failures: int = 0


class PeerUnreachable(Exception):
    """A VM could not be reached at all.

    :ivar ended: its address refused the connection, so the process that
        listened there is gone; mere silence proves nothing
    """

    def __init__(self, message: str, *, ended: bool) -> None:
        """State why."""
        super().__init__(message)
        self.ended = ended


class PeerPool:
    """Connections to other VMs, by their address."""

    def __init__(
        self,
        network: Network,
        settings: Settings,
        incarnation: Incarnation,
    ) -> None:
        """Speak as the VM of ``settings``."""
        self.counts = PeerCounts()
        self._network = network
        self._settings = settings
        self._incarnation = incarnation
        self._keyring = Keyring.from_settings(settings.fleet)
        self._idle_by_address: dict[str, list[PeerConnection]] = {}

    async def take(self, address: str, vm: VmId) -> PeerConnection:
        """Give a connection to the VM at ``address``.

        A pooled connection may have been forgotten by something between the
        two VMs; it is used only shortly after its last exchange.

        :raises PeerUnreachable: when there is none to be had
        """
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if clock.now() - connection.idle_since < _IDLE_SECONDS:
                return connection
            await connection.close()
        return await self.fresh(address, vm)

    async def fresh(self, address: str, vm: VmId) -> PeerConnection:
        """Open a new connection to the VM at ``address``.

        :param vm: who should answer; empty for anyone
        :raises PeerUnreachable: when it cannot be opened
        """
        try:
            connection = await self._open(address)
        except ConnectionRefusedError as refused:
            raise PeerUnreachable(str(refused), ended=True) from refused
        except (OSError, ConnectionLost, WrongPeer) as failed:
            self.counts.failures += 1
            raise PeerUnreachable(str(failed), ended=False) from failed
        if vm and connection.remote.vm != vm:
            await connection.close()
            message = f'{address} is {connection.remote.vm}, not {vm}'
            raise PeerUnreachable(message, ended=True)
        return connection

    def give(self, connection: PeerConnection, address: str) -> None:
        """Take back a connection whose exchange is complete."""
        connection.idle_since = clock.now()
        self._idle_by_address.setdefault(address, []).append(connection)

    async def ask(
        self,
        address: str,
        vm: VmId,
        message: Any,
        seconds: float,
    ) -> tuple[Incarnation, Any]:
        """Send one message and give the incarnation and reply of the VM.

        :raises PeerUnreachable: when no connection could be opened
        :raises ConnectionLost: when no reply came in ``seconds``; the
            message may have been taken all the same
        """
        self.counts.exchanges += 1
        connection = await self.fresh_enough(address, vm)
        try:
            async with curio.timeout_after(seconds):
                await connection.send(message)
                reply = await connection.receive(seconds)
        except curio.TaskTimeout as late:
            await connection.close()
            raise ConnectionLost(f'{vm} gave no reply in time') from late
        except BaseException:
            await connection.close()
            raise
        self.give(connection, address)
        return connection.remote.incarnation, reply

    async def fresh_enough(self, address: str, vm: VmId) -> PeerConnection:
        """Give a connection whose other end has just proved to be there.

        A pooled connection whose VM has ended shows it at once: the socket
        is readable and at its end. Such a one is replaced.
        """
        connection = await self.take(address, vm)
        if not has_ended(connection.socket):
            return connection
        await connection.close()
        return await self.fresh(address, vm)

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                await connection.close()
        self._idle_by_address.clear()

    async def _open(self, address: str) -> PeerConnection:
        self.counts.opened += 1
        seconds = self._settings.relay.connect_seconds
        opened = await self._network.connect(address, seconds)
        connection = PeerConnection(self._network, opened)
        own = own_hello(self._settings.vm.id, self._incarnation)
        try:
            await connection.greet(self._keyring, own)
        except BaseException:
            await connection.close()
            raise
        return connection
