"""Upstreams whose answers never end, and random faults beside them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

import curio

from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.messages import Request
    from flamingovalve.http.responder import Responder
    from standins.base import StandIn

_DROP_SECONDS: Final = 0.1
_QUICK_BYTES: Final = 16384
_CHUNKED: Final = 'Transfer-Encoding: chunked\r\n'


class Place(Enum):
    """Where an answer has no end."""

    HEAD = 'head'
    INFORMATIONAL = 'informational'
    BODY = 'body'
    UNDELIMITED = 'undelimited'
    TINY_CHUNKS = 'tiny chunks'
    EVENT = 'event'
    EVENTS = 'events'
    OTHERS = 'answers to other requests'


_HEADLESS: Final = frozenset((Place.INFORMATIONAL, Place.OTHERS))
_PIECES: Final = {
    Place.HEAD: b'A: b\r\n',
    Place.INFORMATIONAL: b'HTTP/1.1 103 Early\r\nA: b\r\n\r\n',
    Place.BODY: b'%x\r\n%s\r\n' % (1000, b'x' * 1000),
    Place.UNDELIMITED: b'x' * 1000,
    Place.TINY_CHUNKS: b'1\r\nx\r\n',
    Place.EVENT: b'7\r\ndata: x\r\n',
    Place.EVENTS: b'9\r\ndata: x\n\n\r\n',
    Place.OTHERS: (
        b'HTTP/1.1 200 Answer\r\nAttempt-Id: other\r\n'
        b'Content-Length: 1\r\n\r\nx'
    ),
}


@dataclass
class Endless:
    """Lets a stand-in answer without end.

    :ivar status: status of the answers; refusals say that nothing has run
    :ivar is_quick: whether bytes come as fast as they are read
    :ivar applies: returns whether a request is answered in this way
    :ivar answers: number of such answers so far
    """

    place: Place
    status: int = 200
    is_quick: bool = True
    applies: Callable[[Request], bool] = lambda request: (
        request.path not in {'/report', '/order', '/health'}
    )
    answers: int = 0
    is_on: bool = True

    def install(self, stand_in: StandIn) -> None:
        """Let a stand-in answer like that."""
        respond_soundly = stand_in.server._request_handler

        async def respond(request: Request, responder: Responder) -> None:
            if self.is_on and self.applies(request):
                self.answers += 1
                await self._answer(request, responder._socket)
            else:
                await respond_soundly(request, responder)

        stand_in.server._request_handler = respond

    async def _answer(self, request: Request, opened: Any) -> None:
        await opened.sendall(self._head(request))
        piece = _PIECES[self.place]
        if self.is_quick:
            piece *= max(_QUICK_BYTES // len(piece), 1)
        while self.is_on:
            await opened.sendall(piece)
            await curio.sleep(0 if self.is_quick else _DROP_SECONDS)

    def _head(self, request: Request) -> bytes:
        if self.place in _HEADLESS:
            return b''
        claim = 'Response-Seal: seal'
        if self.status in {421, 503}:
            claim = 'Not-Executed: 1'
        head = (
            f'HTTP/1.1 {self.status} Answer\r\n{claim}\r\n'
            f'Attempt-Id: {request.headers.get("attempt-id", "")}\r\n'
        )
        if self.place is Place.HEAD:
            return head.encode()
        if self.place in {Place.EVENT, Place.EVENTS}:
            head += 'Content-Type: text/event-stream\r\n'
        if self.place is not Place.UNDELIMITED:
            head += _CHUNKED
        return f'{head}\r\n'.encode()


class EndlessSite(FaultySite):
    """A site on which single upstreams answer without end for a while."""

    def __init__(self, seed: int, sources: int = 1) -> None:
        """Start the site.

        :param sources: stand-ins that answer without end at the same time;
            above one, the store is among those that may
        """
        super().__init__(seed)
        self._sources = sources
        self._endless: list[Endless] = []

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults; endless answers have four times the weight."""
        return [*super().faults(), *[self.begin_endless] * 4, self.end_endless]

    def begin_endless(self) -> None:
        """Let an upstream answer some of its requests without end."""
        if self._active() >= self._sources:
            self.end_endless()
        endless = Endless(
            self.rng.choice(list(Place)),
            self.rng.choice((200, 200, 500, 503)),
            self.rng.random() < 1 / 2,
        )
        if endless.place is Place.TINY_CHUNKS:
            # No time passes while a VM reads millions of them, so that no
            # deadline ends it on the virtual clock.
            endless.is_quick = False
        path = self.rng.choice(('/report', '/order', '/health', '', '', ''))
        if path:
            endless.applies = lambda request: request.path == path
        stand_ins = [*self.site.engines, *self.site.apps]
        if self._sources > 1:
            stand_ins += [self.site.store] * 2
        endless.install(self.rng.choice(stand_ins))
        self._endless.append(endless)
        for _request in range(4):
            self.ask()

    def _active(self) -> int:
        return sum(endless.is_on for endless in self._endless)

    def end_endless(self) -> None:
        """Let all upstreams answer as they should."""
        for endless in self._endless:
            endless.is_on = False

    def settle(self) -> None:
        """End all faults."""
        self.end_endless()
        super().settle()
