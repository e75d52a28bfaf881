"""Passes requests on to upstreams and their answers back."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, Protocol

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.gateway.model import Repeat
from flamingovalve.http.messages import Response, end_to_end
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.http.client import (
        ConnectionPool,
        ResponseHead,
        UpstreamCall,
        UpstreamConnection,
    )
    from flamingovalve.http.messages import HeaderList
    from flamingovalve.http.server import Responder

_EVENT_END: Final = b'\n\n'


class Verdict(Enum):
    """What the head of an upstream's answer says of the request."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    OTHER_REQUEST = 'other_request'
    UNSIGNED = 'unsigned'


class Outcome(Enum):
    """How sending a request to one upstream ended."""

    DONE = 'done'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    LOST = 'lost'
    UNREACHABLE = 'unreachable'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'


_CONNECTION_SPOILT: Final = frozenset(
    (Outcome.LOST, Outcome.TIMED_OUT, Outcome.BROKEN),
)


@dataclass(slots=True)
class Sent:
    """What came of one send.

    :ivar response: the upstream's own answer, where it is a failure that
        can be passed on
    :ivar first_event: seconds from sending to the first event; 0 for none
    """

    outcome: Outcome
    response: Response | None = None
    first_event: float = 0


@dataclass(frozen=True, slots=True)
class Sending:
    """What this system adds to a request that it passes on.

    :ivar seconds: time that the upstream may take
    :ivar priority: 0 is the most urgent; none where nothing is batched
    :ivar version: version that the adapter must have; 0 for any
    :ivar resume_after: number of the last event that the caller has
    """

    seconds: float
    priority: int | None = None
    version: int = 0
    resume_after: str = ''


class Wire(Protocol):
    """How upstreams are spoken to."""

    def call_of(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
    ) -> UpstreamCall:
        """Build the call that passes a request on."""

    def verdict(self, head: ResponseHead, request: InboundRequest) -> Verdict:
        """Tell what the head of an answer says of a request."""

    def kept_seconds(self, head: ResponseHead) -> float | None:
        """Give how long an idle connection is kept, where it is said."""


class UpstreamRelay:
    """Sends one request to one upstream."""

    def __init__(self, pool: ConnectionPool, wire: Wire) -> None:
        """Send over connections of ``pool``."""
        self._pool = pool
        self._wire = wire

    async def whole(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
    ) -> Sent:
        """Send a request and read its whole answer."""
        return await self._over_connection(
            self._whole, request, upstream, sending
        )

    async def stream(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
        sink: EventSink,
    ) -> Sent:
        """Send a request and pass its events on as they come."""
        talk = functools.partial(self._stream, sink=sink)
        return await self._over_connection(talk, request, upstream, sending)

    async def _over_connection(
        self,
        talk: Callable[..., Awaitable[Sent]],
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
    ) -> Sent:
        connection = await self._open(upstream, sending.seconds)
        if connection is None:
            return Sent(Outcome.UNREACHABLE)
        try:
            sent = Sent(Outcome.UNREACHABLE)
            if _is_wanted(request):
                sent = await talk(connection, request, upstream, sending)
        except BaseException:
            await connection.close()
            raise
        await self._finish(connection, sent)
        return sent

    async def _open(
        self,
        upstream: Upstream,
        seconds: float,
    ) -> UpstreamConnection | None:
        if seconds <= 0:
            return None
        try:
            return await self._pool.take(upstream.address)
        except OSError:
            await self._pool.drop(upstream.address)
            return None

    async def _finish(
        self,
        connection: UpstreamConnection,
        sent: Sent,
    ) -> None:
        if sent.outcome in _CONNECTION_SPOILT:
            await connection.close()
        else:
            await self._pool.give(connection)

    async def _head(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
    ) -> ResponseHead:
        call = self._wire.call_of(request, upstream, sending)
        await connection.send(call, request.time_left())
        head = await connection.head(request.time_left())
        while self._wire.verdict(head, request) is Verdict.OTHER_REQUEST:
            # A second answer to an earlier call may come late; ours follows.
            await connection.body(request.time_left())
            connection.expect_another()
            head = await connection.head(request.time_left())
        kept = self._wire.kept_seconds(head)
        if kept is not None:
            connection.kept_seconds = kept * _KEPT_SHARE
        return head

    async def _whole(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
    ) -> Sent:
        try:
            head = await self._head(connection, request, upstream, sending)
            body = await connection.body(request.time_left())
        except TimeoutError:
            return Sent(Outcome.TIMED_OUT)
        except ConnectionLost:
            return Sent(Outcome.LOST)
        return self._judge(head, body, request)

    def _judge(
        self,
        head: ResponseHead,
        body: bytes,
        request: InboundRequest,
    ) -> Sent:
        verdict = self._wire.verdict(head, request)
        response = Response(head.status, end_to_end(head.lines), body)
        if verdict is Verdict.SUCCESS:
            return Sent(Outcome.DONE, response)
        if verdict is Verdict.NOT_RUN:
            return Sent(Outcome.NOT_RUN)
        if verdict is Verdict.FAILURE:
            return Sent(Outcome.FAILED, response)
        return Sent(Outcome.BROKEN)

    async def _stream(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        sending: Sending,
        sink: EventSink,
    ) -> Sent:
        began = clock.now()
        outcome = Outcome.DONE
        try:
            head = await self._head(connection, request, upstream, sending)
            if self._wire.verdict(head, request) is not Verdict.SUCCESS:
                body = await connection.body(request.time_left())
                return self._judge(head, body, request)
            await sink.begin(head.status, end_to_end(head.lines))
            await self._pass_on(connection, request, sink)
        except TimeoutError:
            outcome = Outcome.TIMED_OUT
        except ConnectionLost:
            outcome = Outcome.LOST
        first = max(0, sink.first_at - began) if sink.first_at else 0
        return Sent(outcome, first_event=first)

    async def _pass_on(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        sink: EventSink,
    ) -> None:
        part = await connection.chunk(request.time_left())
        while part:
            await sink.write(part)
            part = await connection.chunk(request.time_left())
        if sink.holds_fragment():
            raise ConnectionLost('the stream ended within an event')


# An upstream closes an idle connection after the whole seconds that it names;
# a request that crosses the close is lost. A fifth covers its way there.
_KEPT_SHARE: Final = 0.8


class EventSink:
    """Writes events to a caller.

    Where a stream can be resumed, only whole events are written and the last
    one's number is remembered, so that another run can go on behind it.
    """

    def __init__(self, responder: Responder, *, whole_events: bool) -> None:
        """Write to ``responder``."""
        self.last_event = ''
        self.first_at = 0.0
        self._responder = responder
        self._whole_events = whole_events
        self._buffer = b''

    @property
    def started(self) -> bool:
        """Tell whether the caller has got the head of an answer."""
        return self._responder.started

    async def begin(self, status: int, headers: HeaderList) -> None:
        """Write the head, once; a resumed stream keeps its first one."""
        self._buffer = b''
        if not self._responder.started:
            await self._responder.start(status, headers)

    async def write(self, part: bytes) -> None:
        """Write what came."""
        self.first_at = self.first_at or clock.now()
        if not self._whole_events:
            await self._responder.chunk(part)
            return
        complete, end, rest = (self._buffer + part).rpartition(_EVENT_END)
        self._buffer = rest
        if not end:
            return
        await self._responder.chunk(complete + end)
        self._note_last(complete)

    def holds_fragment(self) -> bool:
        """Tell whether the stream ended within an event."""
        return bool(self._buffer)

    def _note_last(self, events: bytes) -> None:
        for line in events.split(b'\n'):
            if line.startswith(b'id:'):
                self.last_event = line[3:].strip().decode('latin-1')


def _is_wanted(request: InboundRequest) -> bool:
    """Tell whether somebody still waits for an answer.

    A VM that is short of processor time reads a request long after it came
    in. Its caller has left by then; sent on, it would take an upstream's time
    from those who wait. One sees requests that begin after their deadline.

    :raises ConnectionLost: when its caller has left
    """
    if request.has_caller_left():
        raise ConnectionLost('the caller left before its request was sent')
    return request.remaining() > 0


def may_send_again(request: InboundRequest, outcome: Outcome) -> bool:
    """Tell whether a request may go to another upstream after ``outcome``."""
    if outcome in {Outcome.NOT_RUN, Outcome.UNREACHABLE}:
        return True
    if outcome in {Outcome.DONE, Outcome.TIMED_OUT}:
        return False
    return request.route.repeat is not Repeat.ONCE


def failure(outcome: Outcome) -> ServingError:
    """Give the error for a request that nobody will answer."""
    if outcome is Outcome.TIMED_OUT:
        return ServingError(
            ErrorKind.DEADLINE_PASSED,
            'the upstream did not answer in time; it may have run',
            ran=Ran.UNKNOWN,
        )
    if outcome in {Outcome.NOT_RUN, Outcome.UNREACHABLE}:
        return ServingError(
            ErrorKind.OVERLOADED,
            'no upstream took the request; it has not run',
            retry_after=_RETRY_SECONDS,
        )
    return ServingError(
        ErrorKind.OUTCOME_UNKNOWN,
        'the connection to the upstream broke; the request may have run',
        ran=Ran.UNKNOWN,
    )


# By then a full upstream has ended a few of its calls of some ten ms.
_RETRY_SECONDS: Final = 0.2
