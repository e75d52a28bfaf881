"""The server side of the peer protocol: one task per connection."""

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
from flamingovalve.util.network import LINK_TIMEOUTS
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
    """Where a response is written: to a caller or back to a peer.

    :ivar started: whether the head of the response was written
    :ivar ended: whether the response is complete
    """

    started: bool
    ended: bool

    async def send(self, response: Response) -> None:
        """Write one whole response."""

    async def start(
        self,
        status: int,
        headers: HeaderList,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Write the head of a response whose body comes in chunks.

        :param ends_with_connection: whether nothing shows that it is complete
        """

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""

    async def end(self) -> None:
        """Mark the body as complete."""


@dataclass
class PeerServerCounts:
    """Counters of the server side of the peer protocol."""

    connections: int = 0
    messages: int = 0
    rejected: int = 0


class PeerSink:
    """Writes a response back to the VM that forwarded the request."""

    def __init__(self, connection: PeerConnection) -> None:
        """Write to ``connection``."""
        self.started = False
        self.ended = False
        self._connection = connection

    async def send(self, response: Response) -> None:
        """Write one whole response."""
        await self.start(
            response.status,
            response.headers,
            ends_with_connection=response.ends_with_connection,
        )
        await self.chunk(response.body)
        await self.end()

    async def start(
        self,
        status: int,
        headers: HeaderList,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Write the head of a response whose body comes in chunks."""
        self.started = True
        wire_headers = [Header(name, text) for name, text in headers]
        head = ResponseHead(int(status), wire_headers, ends_with_connection)
        await self._connection.send(head)

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""
        await self._connection.send(Chunk(payload))

    async def end(self) -> None:
        """Mark the body as complete."""
        await self._connection.send(ResponseEnd())
        self.ended = True


class PeerHeartbeats:
    """Sends heartbeats while a request is processed.

    Without heartbeats the forwarding VM could not distinguish a request that
    waits for its adapter from a broken connection. When the forwarding VM
    closes the connection, the task that processes the request is cancelled.
    """

    def __init__(
        self,
        connection: PeerConnection,
        seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        """Send a heartbeat over ``connection`` every ``seconds``."""
        self._connection = connection
        self._seconds = seconds
        self._task: curio.Task | None = None

    async def __aenter__(self) -> None:
        """Start the heartbeats; the current task is the one to cancel."""
        worker = await curio.current_task()
        self._task = await curio.spawn(
            self._send_heartbeats, worker, daemon=True
        )

    async def __aexit__(self, *_details: object) -> None:
        """Stop the heartbeats."""
        if self._task is not None:
            await self._task.cancel()

    async def _send_heartbeats(self, worker: curio.Task) -> None:
        heartbeats = 0
        try:
            while not await self._is_closed():
                heartbeats += 1
                # A partly sent frame would corrupt the response after it.
                async with curio.disable_cancellation():
                    await self._connection.send(Heartbeat(heartbeats))
        except (OSError, ConnectionLost):
            logger.debug('a forwarding peer disconnected')
        await worker.cancel(blocking=False)

    async def _is_closed(self) -> bool:
        """Wait for one interval, and return whether the peer has closed."""
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
        """Identify as the VM of ``settings``."""
        self.counts = PeerServerCounts()
        self._network = network
        self._settings = settings
        self._incarnation = incarnation
        self._keyring = Keyring.from_settings(settings.fleet)
        self._tasks = TaskSet()
        self._responders_by_kind: dict[type, Callable[..., Awaitable[Any]]] = {}
        self._response_writers_by_kind: dict[
            type, Callable[..., Awaitable[None]]
        ] = {}
        self._session_servers_by_kind: dict[
            type, Callable[..., Awaitable[None]]
        ] = {}

    def on_session(
        self,
        kind: type,
        serve_session: Callable[..., Awaitable[None]],
    ) -> None:
        """Hand over the connection after a message of ``kind``.

        :param serve_session: called with the message and the connection
        """
        self._session_servers_by_kind[kind] = serve_session

    def on_ask(
        self,
        kind: type,
        respond: Callable[..., Awaitable[Any]],
    ) -> None:
        """Reply to messages of ``kind`` with the result of ``respond``.

        :param respond: called with the message and the Hello of the peer
        """
        self._responders_by_kind[kind] = respond

    def on_work(
        self,
        kind: type,
        write_response: Callable[..., Awaitable[None]],
    ) -> None:
        """Reply to messages of ``kind`` with a streamed response.

        :param write_response: called with the message and a
            :class:`PeerSink`
        """
        self._response_writers_by_kind[kind] = write_response

    async def serve(self, listening: Socket) -> None:
        """Accept connections until cancelled."""
        try:
            while True:
                await self._accept(listening)
        finally:
            await self._network.discard(listening)

    async def close(self) -> None:
        """Close every open connection."""
        await self._tasks.cancel()

    async def _accept(self, listening: Socket) -> None:
        try:
            opened = await self._network.accept(listening, LINK_TIMEOUTS)
        except OSError as failed:
            logger.warning('cannot accept a peer connection: {}', failed)
            await curio.sleep(0.1)
            return
        self.counts.connections += 1
        await self._tasks.spawn(self._serve_connection, opened)

    async def _serve_connection(self, opened: Socket) -> None:
        connection = PeerConnection(self._network, opened)
        own = own_hello(self._settings.vm.id, self._incarnation)
        try:
            await connection.accept_handshake(self._keyring, own)
            while True:
                message = await connection.receive()
                self.counts.messages += 1
                await self._dispatch(message, connection)
        except WrongPeer as rejected:
            self.counts.rejected += 1
            logger.debug('a peer connection was rejected: {}', rejected)
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
        respond = self._responders_by_kind.get(kind)
        serve_session = self._session_servers_by_kind.get(kind)
        if respond is not None:
            await connection.send(await respond(message, connection.remote))
        elif serve_session is not None:
            await serve_session(message, connection)
        elif kind in self._response_writers_by_kind:
            await self._serve_forwarded(message, connection)
        else:
            raise WrongPeer(f'no handler for messages of type {kind.__name__}')

    async def _serve_forwarded(
        self, message: Any, connection: PeerConnection
    ) -> None:
        sink = PeerSink(connection)
        try:
            async with PeerHeartbeats(connection):
                await self._response_writers_by_kind[type(message)](
                    message, sink
                )
        except ServingError as refused:
            if sink.started:
                raise ConnectionLost(refused.message) from refused
            await connection.send(refusal_of(refused))
        except (OSError, ConnectionLost):
            raise
        except Exception as fault:
            logger.error('a forwarded request raised {!r}', fault)
            raise ConnectionLost('internal error in the executor') from fault


def refusal_of(error: ServingError) -> Refusal:
    """Return the message that carries ``error`` to another VM."""
    return Refusal(
        error.kind.label,
        error.message,
        error.ran.value,
        error.retry_after or 0,
    )


def error_of(refusal: Refusal) -> ServingError:
    """Return the error that ``refusal`` carries."""
    return ServingError(
        BY_LABEL[refusal.kind],
        refusal.message,
        ran=Ran(refusal.ran),
        retry_after=refusal.retry_after or None,
    )
