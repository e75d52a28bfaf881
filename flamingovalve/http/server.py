"""HTTP server that runs one task for each connection."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol, Self

import curio
import h11
from curio import socket

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.http.bodies import Framing
from flamingovalve.http.caller_writer import resume
from flamingovalve.http.held_data import HeldData
from flamingovalve.http.messages import (
    Request,
    Response,
    header_list,
    header_map,
)
from flamingovalve.http.responder import Responder
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.generated.settings import LimitSettings, Settings
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

_READ_BYTES = 65536
_REFUSE_SECONDS = 0.2
_REFUSE_POLL_SECONDS = 0.01


class RequestHandler(Protocol):
    """Callable that handles the requests read by a server."""

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Handle ``request`` and write the response to ``responder``."""


@dataclass
class ServerCounts:
    """Counters of a server since it started."""

    connections: int = 0
    open_connections: int = 0
    requests: int = 0
    refused_connections: int = 0
    malformed: int = 0
    slow_callers: int = 0
    stalled_callers: int = 0
    callers_gone: int = 0


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    :cvar refuse_seconds: time in which incomplete requests are refused
    """

    refuse_seconds: ClassVar[float] = _REFUSE_SECONDS

    def __init__(
        self,
        network: Network,
        request_handler: RequestHandler,
        limits: LimitSettings,
        held: HeldData | None = None,
    ) -> None:
        """Handle requests with ``request_handler`` within ``limits``.

        :param held: bounds the data held for callers; None for no bound
        """
        self.network = network
        self.held = held or HeldData()
        self._request_handler = request_handler
        self._limits = limits
        self._tasks = TaskSet()
        self._idle: dict[ServerConnection, Socket] = {}
        self._reading: dict[ServerConnection, Socket] = {}
        self.counts = ServerCounts()
        self.is_closing = False
        self.is_stopping = False
        self.error_response = Response.from_error

    @classmethod
    def from_config(
        cls,
        network: Network,
        request_handler: RequestHandler,
        settings: Settings,
    ) -> Self:
        """Create the server for callers of a VM with ``settings``."""
        held = HeldData.from_config(
            settings.vm.memory_mb, settings.gateway.held_share
        )
        return cls(network, request_handler, settings.limits, held)

    def record_idle(
        self, connection: ServerConnection, connection_socket: Socket
    ) -> None:
        """Record that a connection neither reads nor handles a request."""
        self._idle[connection] = connection_socket

    def record_reading(
        self, connection: ServerConnection, connection_socket: Socket
    ) -> None:
        """Record that a request has begun to arrive on a connection."""
        self._idle.pop(connection, None)
        self._reading[connection] = connection_socket

    def record_busy(self, connection: ServerConnection) -> None:
        """Record that a connection neither waits for nor reads a request."""
        self._idle.pop(connection, None)
        self._reading.pop(connection, None)

    async def close_idle(self) -> None:
        """Shut down the connections on which no request has begun.

        Otherwise a caller that keeps an idle connection to a VM that shuts
        down would send its next request into a closed socket.
        """
        for connection_socket in list(self._idle.values()):
            with contextlib.suppress(OSError):
                await connection_socket.shutdown(socket.SHUT_RDWR)

    async def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely.

        What has arrived is still read. The server reads no others.
        """
        self.is_stopping = True
        for connection_socket in list(self._reading.values()):
            with contextlib.suppress(OSError):
                await connection_socket.shutdown(socket.SHUT_RD)
        async with curio.ignore_after(self.refuse_seconds):
            while self._reading:
                await curio.sleep(_REFUSE_POLL_SECONDS)

    async def serve(self, listening: Socket) -> None:
        """Accept connections until cancelled."""
        try:
            while True:
                await self._accept(listening)
        finally:
            await self.network.discard(listening)

    async def close(self) -> None:
        """Close every open connection."""
        await self._tasks.cancel()

    async def _accept(self, listening: Socket) -> None:
        try:
            connection_socket = await self.network.accept(listening)
        except OSError as error:
            # The process may be out of file descriptors: without a pause,
            # this loop would retry at once and starve the requests whose end
            # would free some.
            logger.warning('cannot accept a connection: {}', error)
            await curio.sleep(0.1)
            return
        self.counts.connections += 1
        await self._tasks.spawn(self._serve_connection, connection_socket)

    async def _serve_connection(self, connection_socket: Socket) -> None:
        self.counts.open_connections += 1
        connection = ServerConnection(self, connection_socket)
        try:
            await connection.run(self._is_full())
        except (OSError, ConnectionLost):
            self.counts.callers_gone += 1
        finally:
            await self._close_connection(connection, connection_socket)

    async def _close_connection(
        self, connection: ServerConnection, connection_socket: Socket
    ) -> None:
        self.record_busy(connection)
        self.counts.open_connections -= 1
        await self.network.discard(connection_socket)

    def _is_full(self) -> bool:
        return self.counts.open_connections > self._limits.connections

    @property
    def limits(self) -> LimitSettings:
        """Limits on connections and requests."""
        return self._limits

    @property
    def request_handler(self) -> RequestHandler:
        """Callable that handles the requests."""
        return self._request_handler


class ServerConnection:
    """Reads requests from one connection and handles them in order."""

    def __init__(self, server: HttpServer, connection_socket: Socket) -> None:
        """Serve the socket ``connection_socket`` on behalf of ``server``."""
        self._server = server
        self._socket = connection_socket
        self._protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._body_bytes = 0
        # An earlier send with the same key may have run through another VM.
        self._is_keyed = False

    async def run(self, full: bool) -> None:
        """Serve until either side ends the connection.

        :param full: the server has too many connections; refuse the first
            request on this one and close it
        """
        is_reusable = True
        while is_reusable:
            responder = Responder(self._socket, self._protocol, self._server)
            try:
                is_reusable = await self._serve_request(responder, full)
            finally:
                # Closing can be cancelled, releasing cannot.
                await self._release_body()
                await responder.close()

    async def _serve_request(self, responder: Responder, full: bool) -> bool:
        """Serve one request; return whether another one may follow."""
        try:
            request = await self._read_request()
        except ServingError as error:
            self._server.counts.malformed += (
                error.kind is not ErrorKind.OVERLOADED
            )
            await self._refuse(responder, error)
            return False
        if request is None:
            return False
        if full:
            self._server.counts.refused_connections += 1
            await self._refuse(
                responder,
                _overloaded_error(request, 'has too many connections'),
            )
            return False
        await self._handle_request(request, responder)
        if responder.ended and responder.framing is Framing.CONNECTION:
            responder.complete_connection()
            await self._drain_input()
            return False
        return self._prepare_next_request(responder)

    def _limits(self) -> LimitSettings:
        return self._server.limits

    def _prepare_next_request(self, responder: Responder) -> bool:
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

    async def _handle_request(
        self, request: Request, responder: Responder
    ) -> None:
        self._server.counts.requests += 1
        try:
            await self._server.request_handler(request, responder)
        except ServingError as error:
            await self._send_error(responder, error)
        except (OSError, ConnectionLost):
            # The events that arrived before the stream broke are delivered.
            await responder.flush()
            raise
        except Exception as fault:
            logger.error(
                'unhandled exception in a request to {}: {!r}',
                request.path,
                fault,
            )
            await self._send_error(responder, _internal_error(fault))

    async def _send_error(
        self,
        responder: Responder,
        error: ServingError,
    ) -> None:
        # A response whose head is sent cannot become an error. Ending its
        # body normally would make an incomplete response look complete, so
        # the connection is closed in the middle of the chunked body and the
        # caller's HTTP library raises an error.
        if responder.started:
            await responder.flush()
            raise ConnectionLost(error.message)
        await responder.send(self._server.error_response(error))

    async def _refuse(
        self,
        responder: Responder,
        error: ServingError,
    ) -> None:
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = self._server.error_response(error)
        response.headers.append(('connection', 'close'))
        await responder.send(response)
        await self._drain_input()

    async def _drain_input(self) -> None:
        # If the socket is closed while the caller still sends, the kernel
        # sends a reset, which can discard the refusal before the caller has
        # read it.
        await self._socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(1):
            received = await self._socket.recv(_READ_BYTES)
            while received:
                received = await self._socket.recv(_READ_BYTES)

    async def _read_request(self) -> Request | None:
        if not self._protocol.trailing_data[0]:
            self._server.record_idle(self, self._socket)
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            self._server.record_busy(self)
            return None
        self._server.record_reading(self, self._socket)
        request = Request(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            header_map(head.headers),
            header_lines=header_list(head.headers.raw_items()),
        )
        self._is_keyed = 'idempotency-key' in request.headers
        self._check_length(request.headers.get('content-length', '0'))
        request.body = await self._read_body(request)
        self._server.record_busy(self)
        return request

    async def _read_body(self, request: Request) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._socket.sendall(self._protocol.send(proceed))
        parts: list[bytes] = []
        length = 0
        event = await self._next_event()
        while isinstance(event, h11.Data):
            length += len(event.data)
            self._check_length(length)
            self._hold_body(len(event.data), request)
            parts.append(bytes(event.data))
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionLost(
                'the caller disconnected in the middle of a request',
            )
        return b''.join(parts)

    def _hold_body(self, size: int, request: Request) -> None:
        held = self._server.held
        if not held.may_add_body(size):
            held.counts.refused_bodies += 1
            raise _overloaded_error(request, 'holds too many request bodies')
        held.add_body(size)
        self._body_bytes += size

    async def _release_body(self) -> None:
        released = self._body_bytes
        self._body_bytes = 0
        if released:
            await resume(self._server.held.remove_body(released))

    def _check_length(self, length: str | int) -> None:
        if int(length) > self._limits().body_bytes:
            raise ServingError(
                ErrorKind.REQUEST_TOO_LARGE,
                f'the body exceeds {self._limits().body_bytes} bytes; send a '
                'shorter body or ask an operator to raise limits.body_bytes',
            )

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(await self._receive())
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _malformed_request_error(
                error, self._limits().header_bytes
            ) from error
        return event

    async def _receive(self) -> bytes:
        idle_seconds = self._limits().idle_seconds
        try:
            async with curio.timeout_after(idle_seconds):
                received = await self._socket.recv(_READ_BYTES)
        except curio.TaskTimeout as timeout:
            self._server.counts.slow_callers += 1
            buffered, _closed = self._protocol.trailing_data
            reading = self._protocol.their_state is h11.SEND_BODY
            if not buffered and not reading:
                raise ConnectionLost(
                    'the connection was idle too long'
                ) from timeout
            raise ServingError(
                ErrorKind.CALLER_TOO_SLOW,
                f'no data of the request arrived for {idle_seconds:g} s; send '
                'it again',
            ) from timeout
        if not received and self._server.is_stopping:
            raise _stopping_error(is_keyed=self._is_keyed)
        return received


def _overloaded_error(request: Request, reason: str) -> ServingError:
    # An earlier send with the same idempotency key may have run through
    # another VM.
    keyed = 'idempotency-key' in request.headers
    return ServingError(
        ErrorKind.OVERLOADED,
        f'this VM {reason}; retry on another VM',
        ran=Ran.UNKNOWN if keyed else Ran.NOT,
        retry_after=1,
    )


def _stopping_error(*, is_keyed: bool) -> ServingError:
    return ServingError(
        ErrorKind.LEAVING,
        'this VM stops before the request has arrived; send it to another VM',
        ran=Ran.UNKNOWN if is_keyed else Ran.NOT,
        retry_after=0,
    )


def _internal_error(fault: Exception) -> ServingError:
    return ServingError(
        ErrorKind.INTERNAL,
        f'internal error in flamingovalve ({type(fault).__name__}); report '
        "it with the daemon's log",
        ran=Ran.UNKNOWN,
    )


def _malformed_request_error(
    error: h11.RemoteProtocolError, limit: int
) -> ServingError:
    headers_too_large = ErrorKind.HEADERS_TOO_LARGE
    if error.error_status_hint == headers_too_large.status:
        return ServingError(
            headers_too_large,
            f'the request head exceeds {limit} bytes; send fewer headers',
        )
    return ServingError(
        ErrorKind.MALFORMED_REQUEST,
        f'not valid HTTP/1.1 ({error}); check the client and any proxy',
    )
