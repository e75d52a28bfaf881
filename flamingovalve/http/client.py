"""HTTP calls to upstreams, and the pool of open connections."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Self

import curio
import h11

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import (
    JSON_TYPE,
    HeaderList,
    Response,
    header_list,
    header_map,
)
from flamingovalve.util import clock
from flamingovalve.util.network import is_quiet

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.generated.settings import RelaySettings
    from flamingovalve.util.network import Network

_READ_BYTES = 65536

# Never written: only moves the library's state past a call that was sent.
_STAND_IN = h11.Request(method='GET', target='/', headers=[('host', 'none')])


@dataclass(slots=True)
class UpstreamCall:
    """One request to an upstream.

    :ivar host: the host header among ``headers``, if there is one
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes = b''
    host: str | None = None

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


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, the latter by lower-case name.

    :ivar lines: the headers as they came, repeats included
    """

    status: int
    headers: dict[str, str]
    lines: HeaderList = field(default_factory=list)


class UpstreamConnection:
    """One connection to an upstream; carries one call at a time.

    :ivar kept_seconds: how long the upstream keeps it open while idle
    """

    def __init__(self, network: Network, address: str, opened: Socket) -> None:
        """Speak over ``opened``, which leads to ``address``."""
        self.address = address
        self.idle_since = clock.now()
        self.kept_seconds = float('inf')
        self._network = network
        self._socket = opened
        self._protocol = h11.Connection(our_role=h11.CLIENT)

    async def send(self, call: UpstreamCall, seconds: float) -> None:
        """Write the whole call.

        :raises ConnectionLost: when the connection broke; part of the call
            may have reached the upstream
        :raises TimeoutError: when it took over ``seconds``; likewise
        """
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
        except curio.TaskTimeout as late:
            raise TimeoutError(f'{self.address} takes no data') from late
        except OSError as broken:
            raise ConnectionLost(str(broken)) from broken

    async def head(self, seconds: float) -> ResponseHead:
        """Wait for status and headers.

        :raises TimeoutError: when nothing came for ``seconds``
        :raises ConnectionLost: when the connection ended first
        """
        event = await self._next_event(seconds)
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event(seconds)
        if not isinstance(event, h11.Response):
            raise ConnectionLost('the upstream closed before it answered')
        return ResponseHead(
            event.status_code,
            header_map(event.headers),
            header_list(event.headers.raw_items()),
        )

    async def chunk(self, seconds: float) -> bytes:
        """Wait for the next part of the body.

        :returns: the part, empty once the body is complete
        :raises TimeoutError: when nothing came for ``seconds``
        :raises ConnectionLost: when the connection ended within the body
        """
        event = await self._next_event(seconds)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ConnectionLost('the upstream closed within its answer')

    async def body(self, seconds: float) -> bytes:
        """Wait for the whole body, each part within ``seconds``."""
        parts: list[bytes] = []
        part = await self.chunk(seconds)
        while part:
            parts.append(part)
            part = await self.chunk(seconds)
        return b''.join(parts)

    def is_reusable(self) -> bool:
        """Prepare for another call; tell whether one can be carried."""
        states = self._protocol.states
        if any(state is not h11.DONE for state in states.values()):
            return False
        if self._protocol.trailing_data[0]:
            # Bytes behind a complete answer belong to no request; the next
            # one would take them for its own.
            return False
        self._protocol.start_next_cycle()
        self.idle_since = clock.now()
        return True

    def is_quiet(self) -> bool:
        """Tell whether nothing has come since the last answer.

        The upstream may have closed the connection, or sent one answer too
        many, which the next request would take for its own.
        """
        return is_quiet(self._socket)

    def expect_another(self) -> None:
        """Read one more answer for the call that was sent.

        The answer before it belonged to an earlier call that was given up.
        """
        self._protocol.start_next_cycle()
        self._protocol.send(_STAND_IN)
        self._protocol.send(h11.EndOfMessage())

    async def close(self) -> None:
        """Give up the connection."""
        await self._network.discard(self._socket)

    async def _next_event(self, seconds: float) -> Any:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(await self._receive(seconds))
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as bad:
            raise ConnectionLost(f'broken answer: {bad}') from bad
        return event

    async def _receive(self, seconds: float) -> bytes:
        try:
            async with curio.timeout_after(seconds):
                return await self._socket.recv(_READ_BYTES)
        except curio.TaskTimeout as late:
            raise TimeoutError(
                f'{self.address} was silent for {seconds:g} s',
            ) from late
        except OSError as broken:
            raise ConnectionLost(str(broken)) from broken


class ConnectionPool:
    """Keeps idle connections to upstreams for a while.

    Something between the two ends can lose track of an idle connection:
    writes then vanish without an error. Idle connections are therefore
    dropped early, and a call that must not be repeated never takes one.
    """

    def __init__(self, network: Network, settings: RelaySettings) -> None:
        """Open connections on ``network``."""
        self._network = network
        self._settings = settings
        self._idle_by_address: dict[str, list[UpstreamConnection]] = {}

    async def take(self, address: str) -> UpstreamConnection:
        """Give an idle connection to ``address``, or a fresh one."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            age = clock.now() - connection.idle_since
            longest = min(
                self._settings.idle_pool_seconds,
                connection.kept_seconds,
            )
            young = age < longest
            if young and connection.is_quiet():
                return connection
            await connection.close()
        return await self.fresh(address)

    async def fresh(self, address: str) -> UpstreamConnection:
        """Open a connection to ``address``.

        :raises ConnectionRefusedError: when nothing listens there
        :raises OSError: when it cannot be reached in time
        """
        opened = await self._network.connect(
            address,
            self._settings.connect_seconds,
        )
        return UpstreamConnection(self._network, address, opened)

    async def give(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose call is complete."""
        if connection.is_reusable():
            idle = self._idle_by_address.setdefault(connection.address, [])
            idle.append(connection)
        else:
            await connection.close()

    async def drop(self, address: str) -> None:
        """Close the idle connections to ``address``.

        Called when one of them turned out silent or broken: the others
        went through the same path and are suspect too.
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
    ) -> Response:
        """Make one call and give the whole response.

        :raises OSError: when the upstream cannot be reached in time
        :raises ConnectionLost: when the connection broke meanwhile
        :raises TimeoutError: when the answer did not come in ``seconds``
        """
        opener = self.fresh if fresh else self.take
        connection = await opener(address)
        try:
            response = await self._whole(connection, call, seconds)
        except BaseException:
            await connection.close()
            raise
        await self.give(connection)
        return response

    async def _whole(
        self,
        connection: UpstreamConnection,
        call: UpstreamCall,
        seconds: float,
    ) -> Response:
        await connection.send(call, seconds)
        head = await connection.head(seconds)
        body = await connection.body(seconds)
        return Response(head.status, list(head.headers.items()), body)
