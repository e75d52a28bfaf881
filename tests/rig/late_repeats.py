"""Upstreams that repeat an answer when the next request arrives."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from flamingovalve.http.responder import Responder

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.messages import Request, Response
    from standins.base import StandIn

REFUSALS = frozenset((421, 429, 503))


@dataclass
class LateRepeats:
    """Repeats answers on their connections, each before the next answer.

    :ivar applies: returns whether an answer of a status is repeated
    :ivar headers: added to the copies
    :ivar repeated: number of copies that were sent
    """

    applies: Callable[[Request, int], bool] = lambda _request, status: (
        status in REFUSALS
    )
    headers: tuple[tuple[str, str], ...] = ()
    repeated: int = 0
    _copies_by_socket: dict[Any, bytes] = field(default_factory=dict)

    def install(self, *stand_ins: StandIn) -> None:
        """Let stand-ins repeat their answers."""
        for stand_in in stand_ins:
            self._install(stand_in)

    def keep(self, request: Request, response: Response, opened: Any) -> None:
        """Keep a copy of an answer that is to be repeated."""
        if not self.applies(request, response.status):
            return
        lines = [f'HTTP/1.1 {response.status} Answer']
        headers = [*response.headers, *self.headers]
        headers.append(('Content-Length', str(len(response.body))))
        lines += [f'{name}: {text}' for name, text in headers]
        head = '\r\n'.join([*lines, '', '']).encode()
        self._copies_by_socket[opened] = head + response.body

    def _install(self, stand_in: StandIn) -> None:
        async def respond(request: Request, responder: Responder) -> None:
            copy = self._copies_by_socket.pop(responder._socket, b'')
            if copy:
                self.repeated += 1
                await responder._socket.sendall(copy)
            await stand_in.respond(
                request, _RepeatedResponder(responder, request, self)
            )

        stand_in.server._request_handler = respond


class _RepeatedResponder(Responder):
    """Passes an answer on and lets it be repeated."""

    def __init__(
        self, responder: Responder, request: Request, repeats: LateRepeats
    ) -> None:
        """Write to the connection of ``responder``."""
        self._responder = responder
        self._socket = responder._socket
        self._request = request
        self._repeats = repeats
        self.started = False
        self.ended = False

    async def send(self, response: Response) -> None:
        """Write a complete answer."""
        self._repeats.keep(self._request, response, self._socket)
        await self._responder.send(response)

    async def start(self, status: int, headers: Any, **options: Any) -> None:
        """Write the head of a stream."""
        await self._responder.start(status, headers, **options)

    async def chunk(self, payload: bytes) -> None:
        """Write a part of a stream."""
        await self._responder.chunk(payload)

    async def end(self) -> None:
        """End a stream."""
        await self._responder.end()
