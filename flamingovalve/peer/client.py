"""The client side of the peer protocol, with a connection pool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.peer.connection import PeerConnection, own_hello
from flamingovalve.util import clock
from flamingovalve.util.authentication import Keyring
from flamingovalve.util.network import is_closed_by_peer

if TYPE_CHECKING:
    from flamingovalve.generated.ids import Incarnation, VmId
    from flamingovalve.generated.settings import Settings
    from flamingovalve.util.network import Network

_IDLE_SECONDS = 10


@dataclass
class PeerCounts:
    """Counters of the client side of the peer protocol."""

    exchanges: int = 0
    opened: int = 0
    failures: int = 0


class PeerUnreachable(Exception):
    """No connection to a VM could be opened.

    :ivar ended: whether the process that listened there has provably ended,
        because its address refuses connections or another VM answers there;
        silence alone is no proof
    """

    def __init__(self, message: str, *, ended: bool) -> None:
        """Create the error with its reason."""
        super().__init__(message)
        self.ended = ended


# How an exchange with another VM fails.
UNANSWERED: Final = (
    curio.TaskTimeout,
    PeerUnreachable,
    ConnectionLost,
    WrongPeer,
)


class PeerPool:
    """A pool of connections to other VMs, by their address."""

    def __init__(
        self,
        network: Network,
        settings: Settings,
        incarnation: Incarnation,
    ) -> None:
        """Identify as the VM of ``settings``."""
        self.counts = PeerCounts()
        self._network = network
        self._settings = settings
        self._incarnation = incarnation
        self._keyring = Keyring.from_settings(settings.fleet)
        self._idle_by_address: dict[str, list[PeerConnection]] = {}

    async def acquire(self, address: str, vm: VmId) -> PeerConnection:
        """Return a pooled or new connection to the VM at ``address``.

        A network device between the two VMs may drop its state of an idle
        connection. A pooled connection is therefore used only shortly after
        its last exchange.

        :raises PeerUnreachable: if no connection could be opened
        """
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if clock.now() - connection.idle_since < _IDLE_SECONDS:
                return connection
            await connection.close()
        return await self.connect(address, vm)

    async def connect(self, address: str, vm: VmId) -> PeerConnection:
        """Open a new connection to the VM at ``address``.

        :param vm: id of the VM that must answer; empty for any
        :raises PeerUnreachable: if it cannot be opened
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

    def release(self, connection: PeerConnection, address: str) -> None:
        """Return a connection to the pool after a complete exchange."""
        connection.idle_since = clock.now()
        self._idle_by_address.setdefault(address, []).append(connection)

    async def ask(
        self,
        address: str,
        vm: VmId,
        message: Any,
        seconds: float,
    ) -> tuple[Incarnation, Any]:
        """Send one message and return the incarnation and reply of the VM.

        :param seconds: time limit for the exchange
        :raises PeerUnreachable: if no connection could be opened
        :raises ConnectionLost: if no reply arrived within ``seconds``; the
            VM may have processed the message nevertheless
        """
        self.counts.exchanges += 1
        connection = await self.acquire_live(address, vm)
        try:
            async with curio.timeout_after(seconds):
                await connection.send(message)
                reply = await connection.receive(seconds)
        except curio.TaskTimeout as timed_out:
            await connection.close()
            raise ConnectionLost(f'{vm} did not reply in time') from timed_out
        except BaseException:
            await connection.close()
            raise
        self.release(connection, address)
        return connection.remote.incarnation, reply

    async def notify(self, address: str, vm: VmId, message: Any) -> None:
        """Send one message that has no reply.

        :raises PeerUnreachable: if no connection could be opened
        :raises ConnectionLost: if the connection broke
        """
        connection = await self.acquire_live(address, vm)
        try:
            await connection.send(message)
        except BaseException:
            await connection.close()
            raise
        self.release(connection, address)

    async def acquire_live(self, address: str, vm: VmId) -> PeerConnection:
        """Return a connection that the other VM has not closed.

        When the process of a VM ends, the sockets of its pooled connections
        become readable and report end of file. Such a connection is replaced.

        :raises PeerUnreachable: if no connection could be opened
        """
        connection = await self.acquire(address, vm)
        if not is_closed_by_peer(connection.socket):
            return connection
        await connection.close()
        return await self.connect(address, vm)

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
            await connection.open_handshake(self._keyring, own)
        except BaseException:
            await connection.close()
            raise
        return connection
