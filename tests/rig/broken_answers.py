"""Upstreams whose answers end with their connection, and may end early."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

import curio
import h11
from curio import socket

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.bodies import Framing
from flamingovalve.http.messages import header_map
from flamingovalve.http.responder import Responder

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.client import UpstreamCall
    from flamingovalve.http.messages import HeaderList, Request, Response
    from standins.base import StandIn
    from tests.rig.network import FaultNetwork

_RESET: Final = struct.pack('ii', 1, 0)
_READ_BYTES: Final = 65536
_PAUSE_SECONDS: Final = 0.001


class Ending(Enum):
    """Where an answer ends; the last four leave something out."""

    WHOLE = 'whole'
    BEFORE_EVENT = 'before the first event'
    INSIDE_FIRST = 'inside the first event'
    INSIDE_LATER = 'inside a later event'
    BETWEEN = 'between two events'


EARLY_ENDINGS: Final = tuple(
    ending for ending in Ending if ending is not Ending.WHOLE
)
_EVENTS_BEFORE: Final = {
    Ending.BEFORE_EVENT: 0,
    Ending.INSIDE_FIRST: 0,
    Ending.INSIDE_LATER: 1,
    Ending.BETWEEN: 2,
}
_INSIDE: Final = frozenset((Ending.INSIDE_FIRST, Ending.INSIDE_LATER))


@dataclass(slots=True)
class Manner:
    """How an upstream answers.

    :ivar is_reset: whether an early end is a reset, not an orderly end
    :ivar framing: how the answer is delimited
    """

    ending: Ending = Ending.WHOLE
    is_reset: bool = False
    framing: Framing = Framing.CONNECTION
    line_end: bytes = b'\n'
    version: str = 'HTTP/1.1'
    seconds: float = 0


@dataclass(slots=True)
class Manners:
    """How the upstreams of a test answer the next requests.

    :ivar following: manners of the next answers, in this order
    :ivar default: manner of all answers after these
    :ivar applies: returns whether a request is answered in this way
    """

    default: Manner = field(default_factory=Manner)
    following: list[Manner] = field(default_factory=list)
    applies: Callable[[Request], bool] = lambda request: (
        request.path
        not in {
            '/report',
            '/order',
            '/health',
        }
    )

    def take(self) -> Manner:
        """Return the manner of the next answer."""
        return self.following.pop(0) if self.following else self.default

    def install(self, *stand_ins: StandIn) -> None:
        """Let stand-ins answer in these manners."""
        for stand_in in stand_ins:
            self._install(stand_in)

    def _install(self, stand_in: StandIn) -> None:
        async def respond(request: Request, responder: Responder) -> None:
            if self.applies(request):
                responder = MannerResponder(responder, self.take())
            await stand_in.respond(request, responder)

        stand_in.server._request_handler = respond


class MannerResponder(Responder):
    """Writes an answer in a given manner, past the framing of the server."""

    def __init__(self, responder: Responder, manner: Manner) -> None:
        """Write to the connection of ``responder``."""
        self._responder = responder
        self._socket = responder._socket
        self._manner = manner
        self._events = 0
        self.started = False
        self.ended = False

    async def send(self, response: Response) -> None:
        """Write an answer that is no stream; half of it for an early end."""
        await curio.sleep(self._manner.seconds)
        body = response.body
        if self._manner.ending is not Ending.WHOLE:
            half = len(body) // 2
            body = body[:half]
            if self._manner.ending is Ending.BEFORE_EVENT:
                body = b''
        if self._manner.framing is not Framing.CONNECTION:
            await self._responder.send(response)
            return
        await self._write_head(response.status, response.headers)
        await self._socket.sendall(body)
        await self._close()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Write the head of a stream."""
        self.started = True
        if self._manner.framing is Framing.CONNECTION:
            await self._write_head(status, headers)
        else:
            await self._responder.start(status, headers)

    async def chunk(self, payload: bytes) -> None:
        """Write one event, or the part of it before an early end."""
        payload = payload.replace(b'\n', self._manner.line_end)
        last = _EVENTS_BEFORE.get(self._manner.ending)
        if self._events == last:
            if self._manner.ending in _INSIDE:
                await self._write(payload[: len(payload) // 2])
            await self._close()
        self._events += 1
        await self._write(payload)

    async def end(self) -> None:
        """End the stream."""
        if self._manner.framing is Framing.CONNECTION:
            await self._close()
        await self._responder.end()

    async def _write(self, payload: bytes) -> None:
        if self._manner.framing is Framing.CONNECTION:
            await self._socket.sendall(payload)
        else:
            await self._responder.chunk(payload)

    async def _write_head(self, status: int, headers: HeaderList) -> None:
        lines = [f'{self._manner.version} {status} Answer']
        lines += [f'{name}: {text}' for name, text in headers]
        await self._socket.sendall('\r\n'.join([*lines, '', '']).encode())

    async def _close(self) -> None:
        is_early = self._manner.ending is not Ending.WHOLE
        if is_early and self._manner.is_reset:
            # Else the reset could overtake what was written.
            await curio.sleep(_PAUSE_SECONDS)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        raise ConnectionLost('the answer has ended')


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller has received.

    :ivar is_complete: whether its HTTP library takes the body for complete
    """

    status: int
    framing: Framing | None
    body: bytes
    is_complete: bool

    def claims_to_be_whole(self) -> bool:
        """Return whether it looks as if nothing could be missing."""
        return self.is_complete and self.framing is not Framing.CONNECTION


_NOTHING: Final = Received(0, None, b'', is_complete=False)


class PlainCaller:
    """A caller that shares no code with the readers of the product."""

    def __init__(self, network: FaultNetwork, version: str = '1.1') -> None:
        """Send on ``network`` with an HTTP version."""
        self._network = network
        self._version = version

    async def ask(
        self, address: str, call: UpstreamCall, seconds: float
    ) -> Received:
        """Send a request on a new connection and read all of its answer."""
        opened = await self._network.connect(address, 1)
        try:
            async with curio.timeout_after(seconds):
                await opened.sendall(self._encode(call))
                return await _read(opened, call.method)
        finally:
            await self._network.discard(opened)

    def _encode(self, call: UpstreamCall) -> bytes:
        lines = [f'{call.method} {call.target} HTTP/{self._version}']
        lines += [f'{name}: {text}' for name, text in call.headers]
        if call.body:
            lines.append(f'Content-Length: {len(call.body)}')
        if call.host is None:
            lines.append('Host: fleet.example')
        return '\r\n'.join([*lines, '', '']).encode() + call.body


async def _read(opened: Any, method: str) -> Received:
    protocol = h11.Connection(our_role=h11.CLIENT)
    protocol.send(h11.Request(method=method, target='/', headers=_HOST))
    protocol.send(h11.EndOfMessage())
    received = _NOTHING
    body = b''
    while True:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await opened.recv(_READ_BYTES))
                continue
        except (OSError, h11.RemoteProtocolError):
            event = None
        if isinstance(event, h11.Response):
            framing = Framing.of_response(
                method, event.status_code, header_map(event.headers)
            )
            received = Received(event.status_code, framing, b'', False)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            is_complete = isinstance(event, h11.EndOfMessage)
            return Received(
                received.status, received.framing, body, is_complete
            )


_HOST: Final = [('host', 'none')]
