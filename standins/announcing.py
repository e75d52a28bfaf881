"""What a stand-in upstream announces, and a history of what it was sent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingovalve.http.server import Responder
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.messages import HeaderList, Request, Response

_STATUS_UNAVAILABLE = 503
_CONTROL_PATHS = frozenset(('/report', '/order'))
_ID_HEADER = 'Attempt-Id'


@dataclass(frozen=True, slots=True)
class Announced:
    """What the responses of an upstream announce.

    :ivar rate_limit: requests per second from all VMs; None for no limit
    :ivar rest_seconds: seconds without requests that each rejection asks for;
        0 to reject nothing
    :ivar bears: rejections per second after which it falls over; 0 if it is
        not brittle
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    rest_seconds: float = 0
    bears: float = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the upstream.

    :ivar sender: VM that sent it
    :ivar request_id: attempt id; empty for a report or an order
    :ivar echoed_id: attempt id that the response repeats
    """

    at: float
    sender: str
    path: str
    request_id: str
    echoed_id: str = ''


@dataclass(frozen=True, slots=True)
class Answer:
    """The head of a response that the upstream has sent."""

    at: float
    sender: str
    path: str
    announced: Announced


@dataclass
class History:
    """Arrivals and answers of one upstream, in the order of their times.

    :ivar announced: what responses announce from now on
    :ivar rejects_all: whether reports and orders are rejected too
    :ivar silent_paths: paths whose responses announce nothing
    :ivar name_sender: returns the VM that a remote address belongs to
    """

    announced: Announced = Announced()
    rejects_all: bool = False
    silent_paths: frozenset[str] = frozenset()
    arrivals: list[Arrival] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    name_sender: Callable[[tuple[str, int]], str] = str

    def record_arrival(self, request: Request, responder: Responder) -> Arrival:
        """Record a request that has arrived."""
        echoed_id = request.headers.get('attempt-id', '')
        arrival = Arrival(
            clock.now(),
            self.name_sender(responder.remote_address()),
            request.path,
            '' if request.path in _CONTROL_PATHS else echoed_id,
            echoed_id,
        )
        self.arrivals.append(arrival)
        return arrival

    def announce(self, arrival: Arrival, status: int) -> HeaderList:
        """Return the headers of a response and record it."""
        announced = self.announced
        if arrival.path in self.silent_paths:
            announced = Announced()
        rejects = status == _STATUS_UNAVAILABLE
        answer = Answer(
            clock.now(),
            arrival.sender,
            arrival.path,
            Announced(
                announced.rate_limit,
                announced.is_leaving,
                announced.rest_seconds if rejects else 0,
                announced.bears,
            ),
        )
        self.answers.append(answer)
        return _headers_of(answer.announced)


class AnnouncingResponder(Responder):
    """Adds the announcement of an upstream to a response."""

    def __init__(
        self,
        responder: Responder,
        history: History,
        arrival: Arrival,
    ) -> None:
        """Write through ``responder``."""
        self._responder = responder
        self._history = history
        self._arrival = arrival
        self.started = False
        self.ended = False

    def remote_address(self) -> tuple[str, int]:
        """Return the host and port of the sender."""
        return self._responder.remote_address()

    async def send(self, response: Response) -> None:
        """Write a complete response."""
        headers = self._history.announce(self._arrival, response.status)
        response.headers = [*response.headers, *headers]
        echoed_id = self._arrival.echoed_id
        if echoed_id and response.header(_ID_HEADER) is None:
            response.headers.append((_ID_HEADER, echoed_id))
        await self._responder.send(response)

    async def start(
        self,
        status: int,
        headers: HeaderList,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Write the head of a response whose body is sent in parts.

        :param ends_with_connection: whether its connection delimits the body
        """
        announced = self._history.announce(self._arrival, status)
        options = {'ends_with_connection': True} if ends_with_connection else {}
        await self._responder.start(status, [*headers, *announced], **options)

    def complete_connection(self) -> None:
        """Let the connection end in order."""
        self._responder.complete_connection()

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""
        await self._responder.chunk(payload)

    async def end(self) -> None:
        """Write the end of the body."""
        await self._responder.end()


def _headers_of(announced: Announced) -> HeaderList:
    headers: HeaderList = []
    if announced.rate_limit is not None:
        headers.append(('Server-Limit', f'{announced.rate_limit:g}'))
    if announced.is_leaving:
        headers.append(('Server-Leaving', '1'))
    if announced.bears:
        headers.append(('Server-Brittle', f'{announced.bears:g}'))
    if announced.rest_seconds:
        headers.append(('Retry-After', f'{announced.rest_seconds:g}'))
    return headers
