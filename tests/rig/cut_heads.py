"""Upstreams whose answers end within or just after their heads."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import curio
from curio import socket

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.responder import Responder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingovalve.http.messages import HeaderList, Request, Response
    from standins.base import StandIn

LENGTH: Final = [('Content-Length', '25')]
CHUNKED: Final = [('Transfer-Encoding', 'chunked')]
CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
EARLY_HINTS: Final = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_RESET: Final = struct.pack('ii', 1, 0)
_PAUSE_SECONDS: Final = 0.001
_OWN_PATHS: Final = frozenset(('/report', '/order', '/health'))


@dataclass(slots=True)
class Cut:
    """Where an answer ends.

    :ivar left_out: bytes at the end of the head that are not sent
    :ivar is_reset: whether the connection is reset, not closed
    :ivar interim: informational responses before it
    :ivar framing: headers that delimit the body; none of it is sent
    :ivar framing_first: whether these precede all other headers
    """

    left_out: int
    is_reset: bool = False
    interim: bytes = b''
    framing: HeaderList = field(default_factory=list)
    framing_first: bool = False

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> bytes:
        """Return the whole head of an answer."""
        lines = [*headers, *self.framing]
        if self.framing_first:
            lines = [*self.framing, *headers]
        written = [f'HTTP/1.1 {status} OK']
        written += [f'{name}: {text}' for name, text in lines]
        return '\r\n'.join([*written, '', '']).encode()

    def written(self, head: bytes) -> bytes:
        """Return what is sent of an answer."""
        return self.interim + head[: max(len(head) - self.left_out, 0)]


class HeadCutter:
    """Cuts the answers of upstreams while a cut is set.

    :ivar cut: how to cut answers; None to answer in full
    :ivar sizes: sizes of the heads that were cut
    :ivar reused: cut answers on connections that carried an answer before
    """

    def __init__(self, *stand_ins: StandIn) -> None:
        """Cut the answers of stand-ins."""
        self.cut: Cut | None = None
        self.sizes: list[int] = []
        self.reused = 0
        self._sockets: list[Any] = []
        for stand_in in stand_ins:
            self._install(stand_in)

    def _install(self, stand_in: StandIn) -> None:
        async def respond(request: Request, responder: Responder) -> None:
            if request.path not in _OWN_PATHS and self.cut is not None:
                responder = _CutResponder(responder, self, self.cut)
            elif request.path not in _OWN_PATHS:
                self._sockets.append(responder._socket)
            await stand_in.respond(request, responder)

        stand_in.server._request_handler = respond

    def record(self, opened: Any, size: int) -> None:
        """Record that an answer is cut."""
        self.sizes.append(size)
        self.reused += any(opened is one for one in self._sockets)


class _CutResponder(Responder):
    """Writes part of a head, and ends the connection."""

    def __init__(
        self, responder: Responder, cutter: HeadCutter, cut: Cut
    ) -> None:
        self._socket = responder._socket
        self._cutter = cutter
        self._cut = cut
        self.started = False
        self.ended = False

    async def send(self, response: Response) -> None:
        """Write part of the head of an answer that is no stream."""
        await self._write(response.status, response.headers)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Write part of the head of a stream."""
        await self._write(status, headers)

    async def _write(self, status: int, headers: HeaderList) -> None:
        self.started = True
        head = self._cut.head(status, headers)
        self._cutter.record(self._socket, len(head))
        await self._socket.sendall(self._cut.written(head))
        if self._cut.is_reset:
            # Else the reset could overtake what was written.
            await curio.sleep(_PAUSE_SECONDS)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        raise ConnectionLost('the answer has ended')
