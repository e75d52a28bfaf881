"""Answers other VMs: one task for each of their connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import curio
from curio import socket

from flamingovalve.errors import (
    BY_LABEL,
    ConnectionLost,
    Ran,
    ServingError,
    WrongPeer,
)
from flamingovalve.generated.messages import (
    Chunk,
    Header,
    Heartbeat,
    Refusal,
    ResponseEnd,
    ResponseHead,
)
from flamingovalve.peer.connection import (
    HEARTBEAT_SECONDS,
    PeerConnection,
    own_hello,
)
from flamingovalve.util.authentication import Keyring
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from flamingovalve.generated.ids import Incarnation
    from flamingovalve.generated.settings import Settings
    from flamingovalve.http.messages import HeaderList, Response
    from flamingovalve.util.network import Network

logger = get_logger(__name__)


class Sink(Protocol):
    """Where an answer is written: to a caller or back to a peer."""

    started: bool
    ended: bool

    async def send(self, response: Response) -> None:
        """Write one whole response."""

    async def start(self, status: int, headers: HeaderList) -> None:
        """Write the head of a response whose body comes in chunks."""

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""

    async def end(self) -> None:
        """Mark the body as complete."""


@dataclass
class PeerServerCounts:
    """What the server side of the peer protocol has seen."""

    connections: int = 0
    messages: int = 0
    rejected: int = 0


class PeerSink:
    """Writes an answer back to the VM that forwarded the request."""

    def __init__(self, connection: PeerConnection) -> None:
        """Write to ``connection``."""
        self.started = False
        self.ended = False
        self._connection = connection

    async def send(self, response: Response) -> None:
        """Write one whole response."""
        await self.start(response.status, response.headers)
        await self.chunk(response.body)
        await self.end()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Write the head of a response whose body comes in chunks."""
        self.started = True
        listed = [Header(name, text) for name, text in headers]
        await self._connection.send(ResponseHead(int(status), listed))

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""
        await self._connection.send(Chunk(payload))

    async def end(self) -> None:
        """Mark the body as complete."""
        await self._connection.send(ResponseEnd())
        self.ended = True


class PeerWatch:
    """Sends heartbeats while a request is worked on, and notices the end.

    Without heartbeats the forwarding VM could not tell a request that waits
    for its adapter from a connection that went silent for good.
    """

    def __init__(
        self,
        connection: PeerConnection,
        seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        """Watch ``connection`` and beat every ``seconds``."""
        self._connection = connection
        self._seconds = seconds
        self._task: curio.Task | None = None

    async def __aenter__(self) -> None:
        """Start to watch on behalf of the current task."""
        waiting = await curio.current_task()
        self._task = await curio.spawn(self._watch, waiting, daemon=True)

    async def __aexit__(self, *_details: object) -> None:
        """Stop watching."""
        if self._task is not None:
            await self._task.cancel()

    async def _watch(self, waiting: curio.Task) -> None:
        beats = 0
        try:
            while not await self._ended():
                beats += 1
                # Half a frame would garble the answer that follows it.
                async with curio.disable_cancellation():
                    await self._connection.send(Heartbeat(beats))
        except (OSError, ConnectionLost):
            logger.debug('a forwarding peer went away')
        await waiting.cancel(blocking=False)

    async def _ended(self) -> bool:
        async with curio.ignore_after(self._seconds):
            opened = self._connection.socket
            peeked = await opened.recv(1, socket.MSG_PEEK)
            if not peeked:
                return True
            await curio.sleep(self._seconds)
        return False


class PeerServer:
    """Accepts connections from other VMs and dispatches their messages."""

    def __init__(
        self,
        network: Network,
        settings: Settings,
        incarnation: Incarnation,
    ) -> None:
        """Speak as the VM of ``settings``."""
        self.counts = PeerServerCounts()
        self._network = network
        self._settings = settings
        self._incarnation = incarnation
        self._keyring = Keyring.from_settings(settings.fleet)
        self._tasks = TaskSet()
        self._askers: dict[type, Callable[..., Awaitable[Any]]] = {}
        self._workers: dict[type, Callable[..., Awaitable[None]]] = {}
        self._sessions: dict[type, Callable[..., Awaitable[None]]] = {}

    def on_session(
        self,
        kind: type,
        server: Callable[..., Awaitable[None]],
    ) -> None:
        """Let ``server`` talk on the connection after a message of ``kind``.

        :param server: takes the message and the connection
        """
        self._sessions[kind] = server

    def on_ask(
        self,
        kind: type,
        answerer: Callable[..., Awaitable[Any]],
    ) -> None:
        """Answer messages of ``kind`` by the one message ``answerer`` gives."""
        self._askers[kind] = answerer

    def on_work(
        self,
        kind: type,
        answerer: Callable[..., Awaitable[None]],
    ) -> None:
        """Answer messages of ``kind`` by what ``answerer`` writes to a sink."""
        self._workers[kind] = answerer

    async def serve(self, listening: Socket) -> None:
        """Accept connections until cancelled."""
        try:
            while True:
                await self._accept(listening)
        finally:
            await self._network.discard(listening)

    async def close(self) -> None:
        """End every open connection."""
        await self._tasks.cancel()

    async def _accept(self, listening: Socket) -> None:
        try:
            opened = await self._network.accept(listening)
        except OSError as failed:
            logger.warning('cannot accept a peer: {}', failed)
            await curio.sleep(0.1)
            return
        self.counts.connections += 1
        await self._tasks.spawn(self._connection, opened)

    async def _connection(self, opened: Socket) -> None:
        connection = PeerConnection(self._network, opened)
        own = own_hello(self._settings.vm.id, self._incarnation)
        try:
            await connection.welcome(self._keyring, own)
            while True:
                message = await connection.receive()
                self.counts.messages += 1
                await self._dispatch(message, connection)
        except WrongPeer as wrong:
            self.counts.rejected += 1
            logger.debug('a peer was rejected: {}', wrong)
        except (OSError, ConnectionLost):
            logger.debug('a peer connection ended')
        finally:
            await connection.close()

    async def _dispatch(
        self,
        message: Any,
        connection: PeerConnection,
    ) -> None:
        kind = type(message)
        asker = self._askers.get(kind)
        session = self._sessions.get(kind)
        if asker is not None:
            await connection.send(await asker(message, connection.remote))
        elif session is not None:
            await session(message, connection)
        elif kind in self._workers:
            await self._work(message, connection)
        else:
            raise WrongPeer(f'{kind.__name__} is not asked on its own')

    async def _work(self, message: Any, connection: PeerConnection) -> None:
        sink = PeerSink(connection)
        try:
            async with PeerWatch(connection):
                await self._workers[type(message)](message, sink)
        except ServingError as refused:
            if sink.started:
                raise ConnectionLost(refused.message) from refused
            await connection.send(refusal_of(refused))
        except (OSError, ConnectionLost):
            raise
        except Exception as fault:
            logger.error('a forwarded request crashed: {!r}', fault)
            raise ConnectionLost('fault in the executor') from fault


def refusal_of(error: ServingError) -> Refusal:
    """Give the message that carries ``error`` to another VM."""
    return Refusal(
        error.kind.label,
        error.message,
        error.ran.value,
        error.retry_after or 0,
    )


def error_of(refusal: Refusal) -> ServingError:
    """Give the error that ``refusal`` carries."""
    return ServingError(
        BY_LABEL[refusal.kind],
        refusal.message,
        ran=Ran(refusal.ran),
        retry_after=refusal.retry_after or None,
    )
