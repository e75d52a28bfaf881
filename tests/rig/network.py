"""Loopback sockets whose links can be cut, silenced or made to lose."""

from __future__ import annotations

import random
import socket as plain
from typing import TYPE_CHECKING, Any

import curio
from curio.io import Socket
from curio.traps import _read_wait

from flamingovalve.util.listeners import split_address
from flamingovalve.util.network import Network
from tests.rig.addresses import own_host

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.rig.world import Traffic

_POLL_SECONDS = 0.05


class Links:
    """Which node reaches which, for all nodes of a world."""

    def __init__(self, seed: int, traffic: Traffic) -> None:
        """Start with every link whole."""
        self.traffic = traffic
        self.loss = 0.0
        self.chance = random.Random(seed)
        self.node_by_address: dict[tuple[str, int], str] = {}
        self._cut: set[tuple[str, str]] = set()

    def cut(self, origin: str, target: str) -> None:
        """Lose everything that ``origin`` sends to ``target``."""
        self._cut.add((origin, target))

    def partition(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut both directions between two groups of nodes."""
        others = list(right)
        for origin in left:
            for target in others:
                self.cut(origin, target)
                self.cut(target, origin)

    def heal(self) -> None:
        """Make every link whole again."""
        self._cut.clear()

    def passes(self, origin: str, target: str) -> bool:
        """Tell whether what ``origin`` sends reaches ``target``."""
        return (origin, target) not in self._cut

    def loses_datagram(self) -> bool:
        """Draw whether a datagram is lost."""
        return self.loss > 0 and self.chance.random() < self.loss


class FaultSocket(Socket):
    """A connection that a cut link delays and a silenced one never resumes."""

    def __init__(self, raw: Any, network: FaultNetwork, remote: str) -> None:
        """Wrap ``raw``, which leads to the node ``remote``."""
        super().__init__(raw)
        self.remote = remote
        self.silent = False
        self._network = network
        self._held = b''

    async def recv(self, maxsize: int, flags: int = 0) -> bytes:
        """Receive once the link lets something through."""
        while True:
            if not self._arrives():
                await curio.sleep(_POLL_SECONDS)
                continue
            await self._flush()
            try:
                return self._socket_recv(maxsize, flags)
            except BlockingIOError:
                await _read_wait(self._fileno)

    async def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send, or hold what is sent while the link is cut."""
        if self.silent:
            return
        if not self._leaves():
            self._held += bytes(data)
            return
        await self._flush()
        self._network.links.traffic.moved = True
        await super().sendall(data, flags)

    async def _flush(self) -> None:
        if self._held and self._leaves() and not self.silent:
            held, self._held = self._held, b''
            await super().sendall(held)

    def _leaves(self) -> bool:
        links = self._network.links
        return links.passes(self._network.node, self.remote)

    def _arrives(self) -> bool:
        links = self._network.links
        return not self.silent and links.passes(
            self.remote,
            self._network.node,
        )


class FaultDatagrams(Socket):
    """A datagram socket whose datagrams are lost on cut links."""

    def __init__(self, raw: Any, network: FaultNetwork) -> None:
        """Wrap ``raw``."""
        super().__init__(raw)
        self._network = network

    async def sendto(self, data: bytes, address: Any) -> int:
        """Send, unless the link loses it."""
        links = self._network.links
        target = links.node_by_address.get(address, '')
        passes = links.passes(self._network.node, target)
        if not passes or links.loses_datagram():
            return len(data)
        links.traffic.moved = True
        return await super().sendto(data, address)


class FaultNetwork(Network):
    """The network as one node sees it."""

    def __init__(self, links: Links, node: str) -> None:
        """Open sockets of the node ``node``."""
        super().__init__()
        self.links = links
        self.node = node
        self.open_sockets: list[Any] = []
        self.connections: list[FaultSocket] = []

    async def connect(self, address: str, seconds: float) -> Socket:
        """Connect, or hang while the link is cut."""
        target = split_address(address)
        remote = self.links.node_by_address.get(target, '')
        opened = self._wrap(plain.socket(), remote)
        try:
            async with curio.timeout_after(seconds):
                while not self._both_ways(remote):
                    await curio.sleep(_POLL_SECONDS)
                opened.bind((own_host(), 0))
                self.links.node_by_address[opened.getsockname()] = self.node
                await self._finish_connect(opened, target)
        except curio.TaskTimeout as late:
            await opened.close()
            raise TimeoutError(f'no answer from {address}') from late
        except BaseException:
            await opened.close()
            raise
        opened.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        return opened

    async def _finish_connect(
        self,
        opened: FaultSocket,
        target: tuple[str, int],
    ) -> None:
        traffic = self.links.traffic
        traffic.connecting[self.node] += 1
        try:
            await opened.connect(target)
        finally:
            traffic.connecting[self.node] -= 1

    def listen(self, address: str) -> Socket:
        """Accept connections at ``address``."""
        opened = super().listen(address)
        self._track(opened._socket)
        self.links.node_by_address[split_address(address)] = self.node
        return opened

    def datagrams(self, address: str) -> Socket:
        """Send and receive datagrams at ``address``."""
        opened = super().datagrams(address)
        self._track(opened._socket)
        self.links.node_by_address[split_address(address)] = self.node
        return FaultDatagrams(opened._socket, self)

    async def accept(self, listening: Socket) -> Socket:
        """Wait for the next connection."""
        accepted, origin = await listening.accept()
        remote = self.links.node_by_address.get(origin, '')
        wrapped = self._wrap(accepted._socket, remote)
        wrapped.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        return wrapped

    def silence(self, remote: str) -> int:
        """Silence the open connections to ``remote`` for good.

        :returns: how many there were
        """
        silenced = [
            connection
            for connection in self.connections
            if connection.remote == remote and connection.fileno() >= 0
        ]
        for connection in silenced:
            connection.silent = True
        return len(silenced)

    def hang_up(self) -> None:
        """End every open connection the way an application does."""
        for connection in self.connections:
            if connection.fileno() >= 0:
                connection._socket.shutdown(plain.SHUT_RDWR)

    def close_all(self) -> None:
        """Close every socket at once, as the end of a process does."""
        for raw in self.open_sockets:
            raw.close()
        self.open_sockets.clear()
        self.connections.clear()

    def _both_ways(self, remote: str) -> bool:
        there = self.links.passes(self.node, remote)
        return there and self.links.passes(remote, self.node)

    def _track(self, raw: Any) -> None:
        self.open_sockets = [
            known for known in self.open_sockets if known.fileno() >= 0
        ]
        self.open_sockets.append(raw)

    def _wrap(self, raw: Any, remote: str) -> FaultSocket:
        self._track(raw)
        wrapped = FaultSocket(raw, self, remote)
        self.connections = [
            known for known in self.connections if known.fileno() >= 0
        ]
        self.connections.append(wrapped)
        return wrapped
