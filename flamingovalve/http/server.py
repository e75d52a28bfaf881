"""An HTTP server: one task for each caller's connection."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import curio
import h11
from curio import socket

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.http.messages import (
    HeaderList,
    Request,
    Response,
    header_list,
    header_map,
)
from flamingovalve.util.logs import get_logger
from flamingovalve.util.network import has_ended
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.generated.settings import LimitSettings
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

_READ_BYTES = 65536
_CHUNKED = ('transfer-encoding', 'chunked')


class Answerer(Protocol):
    """Answers the requests that a server reads."""

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Answer ``request`` through ``responder``."""


@dataclass
class ServerCounts:
    """What a server has seen since it started."""

    connections: int = 0
    open_connections: int = 0
    requests: int = 0
    refused_connections: int = 0
    malformed: int = 0
    slow_callers: int = 0
    stalled_callers: int = 0
    callers_gone: int = 0


class Responder:
    """Writes the response to one request."""

    def __init__(
        self,
        opened: Socket,
        protocol: h11.Connection,
        server: HttpServer,
    ) -> None:
        """Write to ``opened`` in the framing of ``protocol``."""
        self._socket = opened
        self._protocol = protocol
        self._server = server
        self.started = False
        self.ended = False

    async def send(self, response: Response) -> None:
        """Write one whole response."""
        headers = [
            *response.headers,
            ('content-length', str(len(response.body))),
        ]
        self.started = True
        await self._write(
            self._event(response.status, headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        self.ended = True

    async def start(self, status: int, headers: HeaderList) -> None:
        """Write the head of a response whose body comes in chunks."""
        self.started = True
        await self._write(self._event(status, [*headers, _CHUNKED]))

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""
        await self._write(h11.Data(data=payload))

    async def end(self) -> None:
        """Mark the body as complete."""
        await self._write(h11.EndOfMessage())
        self.ended = True

    def has_caller_left(self) -> bool:
        """Tell, without waiting, whether the caller closed its connection."""
        return has_ended(self._socket)

    def watch_caller(self) -> CallerWatch:
        """Cancel the current task once the caller closes its connection.

        Without this, a caller that hangs up while its request waits would
        go unnoticed until the answer is written, and an engine would work
        for nobody.
        """
        return CallerWatch(self._socket)

    def _event(self, status: int, headers: HeaderList) -> h11.Response:
        if self._server.is_closing:
            headers = [*headers, ('connection', 'close')]
        return h11.Response(status_code=status, headers=headers)

    async def _write(self, *events: h11.Event) -> None:
        parts = [self._protocol.send(event) for event in events]
        encoded = b''.join(part for part in parts if part)
        if encoded:
            await self._send_all(encoded)

    async def _send_all(self, encoded: bytes) -> None:
        """Write to a caller that reads.

        One that reads nothing keeps its connection open and its buffers
        full. Without a limit its request held its place on an engine, and
        the adapter there, until the caller's process ended.
        """
        longest = self._server.limits.idle_seconds
        try:
            async with curio.timeout_after(longest):
                await self._socket.sendall(encoded)
        except curio.TaskTimeout as late:
            self._server.counts.stalled_callers += 1
            raise ConnectionLost(
                f'the caller read nothing for {longest:g} s',
            ) from late


class CallerWatch:
    """Notices the end of a caller's connection while its request waits."""

    def __init__(self, opened: Socket) -> None:
        """Watch ``opened``."""
        self._socket = opened
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
        try:
            peeked = await self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            peeked = b''
        if not peeked:
            await waiting.cancel(blocking=False)


class HttpServer:
    """Accepts connections and hands their requests to a answerer."""

    def __init__(
        self,
        network: Network,
        answerer: Answerer,
        limits: LimitSettings,
    ) -> None:
        """Answer with ``answerer`` within ``limits``."""
        self._network = network
        self._answerer = answerer
        self._limits = limits
        self._tasks = TaskSet()
        self._idle: dict[ServerConnection, Socket] = {}
        self.counts = ServerCounts()
        self.is_closing = False
        self.error_response = Response.from_error

    def note_idle(self, connection: ServerConnection, opened: Socket) -> None:
        """Remember that no request is being read or answered."""
        self._idle[connection] = opened

    def note_busy(self, connection: ServerConnection) -> None:
        """Remember that a request has begun to come in."""
        self._idle.pop(connection, None)

    async def close_idle(self) -> None:
        """End the connections on which no request has begun.

        A caller that keeps an idle connection to a leaving VM would send
        its next request into a closed socket.
        """
        for opened in list(self._idle.values()):
            with contextlib.suppress(OSError):
                await opened.shutdown(socket.SHUT_RDWR)

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
            # Out of descriptors: without a pause this loop would spin on
            # the same error and starve the requests that could free some.
            logger.warning('cannot accept a connection: {}', failed)
            await curio.sleep(0.1)
            return
        self.counts.connections += 1
        await self._tasks.spawn(self._connection, opened)

    async def _connection(self, opened: Socket) -> None:
        self.counts.open_connections += 1
        connection = ServerConnection(self, opened)
        try:
            await connection.run(self._is_full())
        except (OSError, ConnectionLost):
            self.counts.callers_gone += 1
        finally:
            await self._end(connection, opened)

    async def _end(self, connection: ServerConnection, opened: Socket) -> None:
        self.note_busy(connection)
        self.counts.open_connections -= 1
        await self._network.discard(opened)

    def _is_full(self) -> bool:
        return self.counts.open_connections > self._limits.connections

    @property
    def limits(self) -> LimitSettings:
        """Give the bounds on what callers send."""
        return self._limits

    @property
    def answerer(self) -> Answerer:
        """Give what answers the requests."""
        return self._answerer


class ServerConnection:
    """Reads requests from one connection and has them answered in turn."""

    def __init__(self, server: HttpServer, opened: Socket) -> None:
        """Serve ``opened`` for ``server``."""
        self._server = server
        self._socket = opened
        self._protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )

    async def run(self, full: bool) -> None:
        """Serve until either side ends the connection.

        :param full: the server has too many connections; refuse this one
        """
        while True:
            responder = Responder(self._socket, self._protocol, self._server)
            try:
                request = await self._read_request()
            except ServingError as refused:
                self._server.counts.malformed += 1
                await self._refuse(responder, refused)
                return
            if request is None:
                return
            if full:
                self._server.counts.refused_connections += 1
                await self._refuse(responder, _too_many_connections(request))
                return
            await self._answer(request, responder)
            if not self._next_request(responder):
                return

    def _limits(self) -> LimitSettings:
        return self._server.limits

    def _next_request(self, responder: Responder) -> bool:
        states = self._protocol.states
        done = all(state is h11.DONE for state in states.values())
        if not responder.ended or not done:
            return False
        if self._server.is_closing:
            # The response may have started before shutdown began, without
            # `Connection: close`, so the caller may send another request.
            return False
        self._protocol.start_next_cycle()
        return True

    async def _answer(self, request: Request, responder: Responder) -> None:
        self._server.counts.requests += 1
        try:
            await self._server.answerer(request, responder)
        except ServingError as refused:
            await self._report(responder, refused)
        except (OSError, ConnectionLost):
            raise
        except Exception as fault:
            logger.error('request to {} crashed: {!r}', request.path, fault)
            await self._report(responder, _internal(fault))

    async def _report(
        self,
        responder: Responder,
        refused: ServingError,
    ) -> None:
        # A started body cannot turn into an error. Ending it cleanly would
        # pass a fragment off as a whole answer, so the connection is broken
        # in the middle of the chunked body and the caller's library raises.
        if responder.started:
            raise ConnectionLost(refused.message)
        await responder.send(self._server.error_response(refused))

    async def _refuse(
        self,
        responder: Responder,
        refused: ServingError,
    ) -> None:
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = self._server.error_response(refused)
        response.headers.append(('connection', 'close'))
        await responder.send(response)
        await self._drain_input()

    async def _drain_input(self) -> None:
        # Closing while the caller still sends makes the kernel answer with
        # a reset, which can destroy the refusal before the caller reads it.
        await self._socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(1):
            received = await self._socket.recv(_READ_BYTES)
            while received:
                received = await self._socket.recv(_READ_BYTES)

    async def _read_request(self) -> Request | None:
        if not self._protocol.trailing_data[0]:
            self._server.note_idle(self, self._socket)
        head = await self._next_event()
        self._server.note_busy(self)
        if not isinstance(head, h11.Request):
            return None
        request = Request(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            header_map(head.headers),
            header_lines=header_list(head.headers.raw_items()),
        )
        self._check_length(request.headers.get('content-length', '0'))
        request.body = await self._read_body()
        return request

    async def _read_body(self) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._socket.sendall(self._protocol.send(proceed))
        parts: list[bytes] = []
        length = 0
        event = await self._next_event()
        while isinstance(event, h11.Data):
            length += len(event.data)
            self._check_length(length)
            parts.append(bytes(event.data))
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionLost('the caller left in the middle of a request')
        return b''.join(parts)

    def _check_length(self, length: str | int) -> None:
        if int(length) > self._limits().body_bytes:
            raise ServingError(
                ErrorKind.REQUEST_TOO_LARGE,
                f'the body is over {self._limits().body_bytes} bytes; send a '
                'shorter one or have limits.body_bytes raised',
            )

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(await self._receive())
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as bad:
            raise _malformed(bad, self._limits().header_bytes) from bad
        return event

    async def _receive(self) -> bytes:
        idle = self._limits().idle_seconds
        try:
            async with curio.timeout_after(idle):
                return await self._socket.recv(_READ_BYTES)
        except curio.TaskTimeout as late:
            self._server.counts.slow_callers += 1
            buffered, _closed = self._protocol.trailing_data
            reading = self._protocol.their_state is h11.SEND_BODY
            if not buffered and not reading:
                raise ConnectionLost('idle connection') from late
            raise ServingError(
                ErrorKind.CALLER_TOO_SLOW,
                f'no byte of the request came for {idle:g} s; send it again',
            ) from late


def _too_many_connections(request: Request) -> ServingError:
    # Under a key, an earlier send may have run through another VM.
    keyed = 'idempotency-key' in request.headers
    return ServingError(
        ErrorKind.OVERLOADED,
        'this VM has too many connections; ask another one',
        ran=Ran.UNKNOWN if keyed else Ran.NOT,
        retry_after=1,
    )


def _internal(fault: Exception) -> ServingError:
    return ServingError(
        ErrorKind.INTERNAL,
        f'a fault in flamingovalve ({type(fault).__name__}); report it with '
        "the daemon's log",
        ran=Ran.UNKNOWN,
    )


def _malformed(bad: h11.RemoteProtocolError, limit: int) -> ServingError:
    headers_too_large = ErrorKind.HEADERS_TOO_LARGE
    if bad.error_status_hint == headers_too_large.status:
        return ServingError(
            headers_too_large,
            f'the request head is over {limit} bytes; send fewer headers',
        )
    return ServingError(
        ErrorKind.MALFORMED_REQUEST,
        f'not HTTP/1.1 ({bad}); check the client or what stands between',
    )
