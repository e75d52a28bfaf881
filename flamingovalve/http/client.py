"""HTTP calls to upstreams, and the pool of open connections."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, ClassVar, Self

import curio
import h11

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.bodies import BodyKind, Framing, ReceivedBody
from flamingovalve.http.messages import (
    JSON_TYPE,
    HeaderList,
    Response,
    header_list,
    header_map,
)
from flamingovalve.util import clock
from flamingovalve.util.network import is_quiet
from flamingovalve.util.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from curio.io import Socket

    from flamingovalve.generated.settings import RelaySettings
    from flamingovalve.util.network import Network

_READ_BYTES = 65536
# Bound on the body of a call that the VM makes for itself.
MAX_CONTROL_BYTES = 16777216
_MAX_INFORMATIONAL = 8
# Parts that are ready when their time is over are still read, up to this many.
_MAX_LATE_PARTS = 64
_LATE_SECONDS = 0.001
# Time of a whole body in waits for a part.
_WAITS_PER_BODY = 2

# Ids of refused requests that a connection keeps before it is closed.
_MAX_REFUSED_IDS = 256

# Never sent: advances the state of h11 past a request that was already sent.
_PLACEHOLDER_REQUEST = h11.Request(
    method='GET', target='/', headers=[('host', 'none')]
)


@dataclass(slots=True)
class UpstreamCall:
    """One HTTP request to an upstream.

    :ivar host: value of the ``Host`` header if ``headers`` holds one; None
        adds the upstream's address as ``Host``
    :ivar expected: kind of the body of a success
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes = b''
    host: str | None = None
    expected: BodyKind = BodyKind.OPAQUE

    @classmethod
    def from_json(
        cls,
        method: str,
        target: str,
        content: object,
        headers: HeaderList | None = None,
    ) -> Self:
        """Build a call whose body is ``content`` as JSON."""
        return cls(
            method,
            target,
            [('content-type', JSON_TYPE), *(headers or [])],
            json.dumps(content).encode(),
        )


_NO_CALL = UpstreamCall('GET', '/', [])


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    :ivar headers: header values by lower-case name
    :ivar lines: headers in the order and spelling received, with duplicates
    """

    status: int
    headers: dict[str, str]
    lines: HeaderList = field(default_factory=list)


class UpstreamConnection:
    """Connection to an upstream that carries one call at a time.

    :cvar is_direct: whether it does not run through another VM
    :ivar opened_at: when it was opened, on the monotonic clock
    :ivar keep_alive_seconds: time that the upstream keeps it open while idle
    :ivar received: body of the response to the last call; None before its head
    :ivar refused_ids: requests that were sent over it and may be sent again
    """

    is_direct: ClassVar[bool] = True

    def __init__(self, network: Network, address: str, opened: Socket) -> None:
        """Use the socket ``opened``, which is connected to ``address``."""
        self.address = address
        self.opened_at = clock.now()
        self.idle_since = clock.now()
        self.keep_alive_seconds = float('inf')
        self._network = network
        self._socket = opened
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        self._call = _NO_CALL
        self.received: ReceivedBody | None = None
        self.refused_ids: set[str] = set()
        self._turns = Turns()
        self._late_parts = 0

    async def send(self, call: UpstreamCall, seconds: float) -> None:
        """Send the request with its body.

        :raises ConnectionLost: if the connection broke; part of the request
            may have reached the upstream
        :raises TimeoutError: if sending took longer than ``seconds``; part
            of the request may have reached the upstream
        """
        self._call = call
        self.received = None
        self._late_parts = 0
        headers = list(call.headers)
        if call.host is None:
            headers.append(('host', self.address))
        if call.body or call.method != 'GET':
            headers.append(('content-length', str(len(call.body))))
        head = h11.Request(
            method=call.method,
            target=call.target,
            headers=headers,
        )
        encoded = self._protocol.send(head) or b''
        if call.body:
            encoded += self._protocol.send(h11.Data(data=call.body)) or b''
        encoded += self._protocol.send(h11.EndOfMessage()) or b''
        try:
            async with curio.timeout_after(seconds):
                await self._socket.sendall(encoded)
        except curio.TaskTimeout as timeout:
            raise TimeoutError(f'{self.address} accepts no data') from timeout
        except OSError as error:
            raise ConnectionLost(str(error)) from error

    async def head(self, seconds: float) -> ResponseHead:
        """Wait for the status line and the headers.

        :param seconds: time limit of the whole head
        :raises TimeoutError: if it was not received in time
        :raises ConnectionLost: if the connection ended first
        """
        ends_at = clock.now() + seconds
        event = await self._next_event(ends_at)
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > _MAX_INFORMATIONAL:
                raise ConnectionLost('too many informational responses')
            event = await self._next_event(ends_at)
        if not isinstance(event, h11.Response):
            raise ConnectionLost(
                'the upstream closed the connection before it answered'
            )
        headers = header_map(event.headers)
        self.received = ReceivedBody.of_response(
            self._call.method, event.status_code, headers, self._call.expected
        )
        return ResponseHead(
            event.status_code,
            headers,
            header_list(event.headers.raw_items()),
        )

    async def chunk(self, seconds: float) -> bytes:
        """Wait for the next part of the body.

        :param seconds: time limit of the whole part
        :returns: the part, empty once the body is complete
        :raises TimeoutError: if it was not received in time
        :raises ConnectionLost: if the connection ended before the end of the
            body, or the bytes show that the body is incomplete
        """
        received = self._body_in_progress()
        try:
            event = await self._next_event(clock.now() + seconds)
        except ConnectionLost:
            received.lose()
            raise
        if isinstance(event, h11.Data):
            payload = bytes(event.data)
            self._feed(received, payload)
            return payload
        if isinstance(event, h11.EndOfMessage):
            received.finish()
            return b''
        received.lose()
        raise ConnectionLost(
            'the upstream closed the connection in the middle of its response',
        )

    async def body(
        self,
        seconds: float,
        most_bytes: int,
        part_seconds: float | None = None,
    ) -> bytes:
        """Wait for the complete body.

        :param seconds: time limit of the whole body
        :param most_bytes: bound on its size
        :param part_seconds: time limit of each part; None for no other one
        :raises TimeoutError: if it was not received in time
        :raises ConnectionLost: if the connection ended before its end, or it
            is larger
        """
        parts: list[bytes] = []
        await self._read_parts(
            seconds, most_bytes, part_seconds or seconds, parts.append
        )
        return b''.join(parts)

    async def discard_body(self, seconds: float, most_bytes: int) -> None:
        """Read the body of a response to another call, whatever it holds.

        :param seconds: time limit of the whole body
        :param most_bytes: bound on its size
        :raises TimeoutError: if it was not received in time
        :raises ConnectionLost: if the connection ended before its end, or it
            is larger
        """
        framing = self._body_in_progress().framing
        self.received = ReceivedBody(framing, BodyKind.OPAQUE)
        await self._read_parts(seconds, most_bytes, seconds, _discard_part)

    async def _read_parts(
        self,
        seconds: float,
        most_bytes: int,
        part_seconds: float,
        receive: Callable[[bytes], None],
    ) -> None:
        ends_at = clock.now() + seconds
        size = 0
        part = await self.chunk(min(seconds, part_seconds))
        while part:
            size += len(part)
            if size > most_bytes:
                self._body_in_progress().exceed()
                raise ConnectionLost(f'a body exceeds {most_bytes} bytes')
            receive(part)
            left = max(ends_at - clock.now(), 0)
            part = await self.chunk(min(left, part_seconds))

    def body_ends_with_connection(self) -> bool:
        """Return whether the last body is delimited by the connection's end."""
        received = self.received
        return received is not None and received.framing is Framing.CONNECTION

    def is_unproven(self) -> bool:
        """Return whether nothing shows that the last body is complete."""
        return self.received is not None and self.received.is_unproven()

    def record_refused(self, request_id: str) -> None:
        """Record that a request was sent over it and may be sent again.

        An upstream may repeat its response late, and nothing tells the copy
        from the response to the next send of the same request.
        """
        self.refused_ids.add(request_id)

    def is_reusable(self) -> bool:
        """Prepare for another call; return whether one can be made."""
        if not self._has_completed_cycle():
            return False
        if len(self.refused_ids) >= _MAX_REFUSED_IDS:
            return False
        if self._protocol.trailing_data[0]:
            # Bytes after a complete response belong to no request; the next
            # request would read them as its own response.
            return False
        self._protocol.start_next_cycle()
        self.idle_since = clock.now()
        return True

    def is_quiet(self) -> bool:
        """Return whether nothing was received since the last response.

        Otherwise the upstream has closed the connection or has sent an extra
        response, which the next request would read as its own.
        """
        return is_quiet(self._socket)

    def has_unacknowledged_data(self) -> bool:
        """Return whether the upstream has not acknowledged what was sent."""
        return self._network.unacknowledged(self._socket) > 0

    async def send_bytes(self, payload: bytes) -> None:
        """Send bytes of another VM's request, without reading them.

        :raises ConnectionLost: if the connection broke
        """
        try:
            await self._socket.sendall(payload)
        except OSError as error:
            raise ConnectionLost(str(error)) from error

    async def receive_bytes(self) -> bytes:
        """Return bytes for another VM; empty after an orderly end.

        :raises OSError: if the connection broke
        """
        return await self._socket.recv(_READ_BYTES)

    def expect_extra_response(self) -> None:
        """Prepare to read a second response to the call that was sent.

        The response already read belonged to an earlier call.

        :raises ConnectionLost: if the connection ends with it
        """
        if not self._has_completed_cycle():
            raise ConnectionLost('the connection ends with an extra response')
        self._protocol.start_next_cycle()
        self._protocol.send(_PLACEHOLDER_REQUEST)
        self._protocol.send(h11.EndOfMessage())

    async def close(self) -> None:
        """Close the connection; ignore errors of its socket."""
        await self._network.discard(self._socket)

    def _has_completed_cycle(self) -> bool:
        states = self._protocol.states
        return all(state is h11.DONE for state in states.values())

    def _body_in_progress(self) -> ReceivedBody:
        assert self.received is not None, 'the head has not been read'
        return self.received

    def _feed(self, received: ReceivedBody, payload: bytes) -> None:
        try:
            received.feed(payload)
        except ConnectionLost:
            received.exceed()
            raise

    async def _next_event(self, ends_at: float) -> Any:
        """Return the next event of the protocol.

        :param ends_at: time limit on the monotonic clock; what is ready then
            is still read, within a bound
        """
        await self._turns.record()
        self._check_time(ends_at)
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                received = await self._receive(ends_at)
                # Before the task may be cancelled.
                self._protocol.receive_data(received)
                await self._turns.record(len(received))
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionLost(f'malformed response: {error}') from error
        return event

    async def _receive(self, ends_at: float) -> bytes:
        self._check_time(ends_at)
        seconds = max(ends_at - clock.now(), _LATE_SECONDS)
        try:
            async with curio.timeout_after(seconds):
                return await self._socket.recv(_READ_BYTES)
        except curio.TaskTimeout as timeout:
            raise TimeoutError(
                f'{self.address} sent no complete data in time',
            ) from timeout
        except OSError as error:
            raise ConnectionLost(str(error)) from error

    def _check_time(self, ends_at: float) -> None:
        if clock.now() < ends_at:
            return
        self._late_parts += 1
        if self._late_parts > _MAX_LATE_PARTS:
            raise TimeoutError(f'{self.address} sends beyond its time')


def _discard_part(_part: bytes) -> None:
    """Do nothing with a part of a body."""


class ConnectionPool:
    """Pool of idle connections to upstreams.

    A middlebox can drop the state of an idle connection; data written to it
    is then lost without an error. Idle connections are therefore closed
    early, and a call that must not be repeated uses a new connection.
    """

    def __init__(self, network: Network, settings: RelaySettings) -> None:
        """Open connections on ``network``."""
        self._network = network
        self._settings = settings
        self._idle_by_address: dict[str, list[UpstreamConnection]] = {}

    async def acquire(self, address: str) -> UpstreamConnection:
        """Return an idle connection to ``address``, or open a new one.

        :raises OSError: if it cannot be reached in time
        """
        idle = await self.take_idle(address)
        return idle or await self.connect(address)

    async def take_idle(
        self, address: str, request_id: str = ''
    ) -> UpstreamConnection | None:
        """Return an idle connection to ``address``, if there is one.

        :param request_id: request that must not have been refused on it
        """
        idle = self._idle_by_address.get(address, [])
        passed_over = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not self._is_usable(connection):
                await connection.close()
            elif request_id in connection.refused_ids:
                passed_over.append(connection)
            else:
                found = connection
        self._idle_by_address.setdefault(address, []).extend(passed_over)
        return found

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a new connection to ``address``.

        :raises ConnectionRefusedError: if nothing listens at ``address``
        :raises OSError: if it cannot be reached in time
        """
        opened = await self._network.connect(
            address,
            self._settings.connect_seconds,
        )
        return UpstreamConnection(self._network, address, opened)

    async def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its call."""
        if connection.is_reusable():
            idle = self._idle_by_address.setdefault(connection.address, [])
            idle.append(connection)
        else:
            await connection.close()

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        age = clock.now() - connection.idle_since
        max_age = min(
            self._settings.idle_pool_seconds,
            connection.keep_alive_seconds,
        )
        return age < max_age and connection.is_quiet()

    def put_back(self, connection: UpstreamConnection) -> None:
        """Keep an unused connection, or one that another VM has used."""
        connection.idle_since = clock.now()
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)

    async def drop(self, address: str) -> None:
        """Close the idle connections to ``address``.

        Called after one of them proved to be silent or broken: the others
        share its network path and may be affected too.
        """
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.drop(address)

    async def exchange(
        self,
        address: str,
        call: UpstreamCall,
        seconds: float,
        *,
        fresh: bool = False,
        most_bytes: int = MAX_CONTROL_BYTES,
    ) -> Response:
        """Make one call and return the complete response.

        :param seconds: time limit for sending the call, for the head and for
            each part of the body; the whole body may take twice as long
        :param fresh: use a new connection instead of an idle one
        :param most_bytes: bound on the size of the body
        :raises OSError: if the upstream cannot be reached in time
        :raises ConnectionLost: if the connection broke during the call, or
            the body is larger
        :raises TimeoutError: if one of the time limits was exceeded
        """
        opener = self.connect if fresh else self.acquire
        connection = await opener(address)
        try:
            response = await self._exchange_on(
                connection, call, seconds, most_bytes
            )
        except BaseException:
            await connection.close()
            raise
        await self.release(connection)
        return response

    async def _exchange_on(
        self,
        connection: UpstreamConnection,
        call: UpstreamCall,
        seconds: float,
        most_bytes: int,
    ) -> Response:
        await connection.send(call, seconds)
        head = await connection.head(seconds)
        body = await connection.body(
            seconds * _WAITS_PER_BODY, most_bytes, seconds
        )
        return Response(
            head.status,
            list(head.headers.items()),
            body,
            ends_with_connection=connection.is_unproven(),
        )
