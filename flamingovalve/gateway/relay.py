"""Forwards requests to upstreams and returns their responses."""

from __future__ import annotations

import functools
from dataclasses import dataclass, replace
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import (
    CallerLost,
    ConnectionLost,
    ErrorKind,
    HeldBack,
    Ran,
    ServingError,
)
from flamingovalve.gateway.announcements import Purpose
from flamingovalve.gateway.answers.bounds import (
    AnswerBounds,
    HeldBody,
    most_events,
)
from flamingovalve.gateway.event_pauses import EventPauses
from flamingovalve.gateway.grace import GracePeriod
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.upstream_client import SilenceWatch
from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.bodies import EventBuffer, last_event_id
from flamingovalve.http.messages import Response, end_to_end
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.announcements import Announcement, SentRequest
    from flamingovalve.gateway.answers.sink import AnswerSink
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.retries import RetryPermit
    from flamingovalve.gateway.upstream_client import UpstreamClient
    from flamingovalve.http.bodies import ReceivedBody
    from flamingovalve.http.client import (
        ResponseHead,
        UpstreamCall,
        UpstreamConnection,
    )
    from flamingovalve.http.messages import HeaderList
    from flamingovalve.http.server import Responder


class Verdict(Enum):
    """Classification of a response head with regard to its request.

    ``NOT_RUN`` is mostly the lack of an adapter, ``REJECTED`` the wish of the
    upstream for rest.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    REJECTED = 'rejected'
    UNSIGNED = 'unsigned'


class Outcome(Enum):
    """Outcome of sending a request to one upstream."""

    DONE = 'done'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    LOST = 'lost'
    UNREACHABLE = 'unreachable'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'
    HELD_BACK = 'held_back'
    REJECTED = 'rejected'
    QUARANTINED = 'quarantined'
    OVER_BUDGET = 'over_budget'
    LEAVING = 'leaving'


NOT_RUN_OUTCOMES: Final = frozenset(
    (
        Outcome.NOT_RUN,
        Outcome.UNREACHABLE,
        Outcome.HELD_BACK,
        Outcome.REJECTED,
        Outcome.QUARANTINED,
        Outcome.OVER_BUDGET,
        Outcome.LEAVING,
    ),
)
# The request was not sent, for a reason that lies with this VM.
WITHHELD_OUTCOMES: Final = frozenset((Outcome.OVER_BUDGET, Outcome.LEAVING))
_FINAL_OUTCOMES: Final = frozenset(
    (
        Outcome.DONE,
        Outcome.TIMED_OUT,
        Outcome.QUARANTINED,
        Outcome.OVER_BUDGET,
        Outcome.LEAVING,
    ),
)
_CONNECTION_UNUSABLE_AFTER: Final = frozenset(
    (Outcome.LOST, Outcome.TIMED_OUT, Outcome.BROKEN),
)


# Outcomes that a failing path can cause.
_PATH_OUTCOMES: Final = frozenset(
    (Outcome.LOST, Outcome.UNREACHABLE, Outcome.TIMED_OUT),
)


@dataclass(slots=True)
class SendResult:
    """Result of sending a request to one upstream.

    :ivar response: response to return to the caller; None if the upstream
        sent none that can be returned, or if it was streamed
    :ivar first_event: seconds from sending to the first event; 0 for none
    :ivar seconds: seconds from sending to the complete response; 0 without
        one, or if it was streamed
    :ivar max_gap: seconds of the longest pause after an event; 0 without one
    :ivar retry_after: seconds until the upstream accepts a request, until the
        keeper expects to grant another attempt, or until the request leaves
        its quarantine; 0 if unknown
    :ivar is_leaving: whether the upstream said that it is leaving
    :ivar bears: rejections per second that the upstream bears; 0 if it is not
        brittle
    :ivar is_acknowledged: whether the upstream has acknowledged what was sent
    :ivar is_rejected: whether it rejected the request for lack of room
    :ivar is_bypassed: whether the path of this VM to the upstream fails, so that
        a failure says nothing about the upstream
    :ivar received: body of the response, as far as it was received; None
        without a head
    :ivar resumed_after: id of the event after which it was to resume the stream;
        empty for a stream from the start
    :ivar is_passed_on: whether the response was passed on as it arrived
    """

    outcome: Outcome
    response: Response | None = None
    first_event: float = 0
    seconds: float = 0
    retry_after: float = 0
    is_leaving: bool = False
    max_gap: float = 0
    is_bypassed: bool = False
    bears: float = 0
    is_rejected: bool = False
    is_acknowledged: bool = True
    received: ReceivedBody | None = None
    resumed_after: str = ''
    is_passed_on: bool = False

    def is_success_of(self, request: InboundRequest) -> bool:
        """Return whether an upstream has answered a request as a whole.

        An upstream that ends may end the connection of a stream in order, and
        nothing shows whether a stream without a length or chunks is complete.
        """
        if self.outcome is not Outcome.DONE:
            return False
        is_stream = request.completion is not None
        received = self.received
        return not (
            is_stream and received is not None and received.is_unproven()
        )

    def is_path_failure(self) -> bool:
        """Return whether it failed without the upstream's fault."""
        return self.is_bypassed and self.outcome in _PATH_OUTCOMES


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Values that the gateway adds to a forwarded request.

    :ivar seconds: time budget of the upstream
    :ivar priority: 0 is the most urgent; None for services that do not batch
    :ivar version: required version of the adapter; 0 for any
    :ivar resume_after: id of the last event that the caller has received;
        empty for a stream from the start
    :ivar patience: longest wait in seconds for an upstream with a rate limit
    :ivar permit: permission to send the request, by the retry budget
    :ivar sink: passes on an answer that is too large to be held; None if it
        may not be passed on
    """

    seconds: float
    priority: int | None = None
    version: int = 0
    resume_after: str = ''
    patience: float = 0
    permit: RetryPermit | None = None
    sink: AnswerSink | None = None


_REFUSALS: Final = {
    Verdict.NOT_RUN: Outcome.NOT_RUN,
    Verdict.REJECTED: Outcome.REJECTED,
}


class Wire(Protocol):
    """Wire format of the calls to upstreams."""

    def call_of(
        self,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> UpstreamCall:
        """Build the upstream call that forwards a request."""

    def verdict(self, head: ResponseHead, request: InboundRequest) -> Verdict:
        """Classify the head of a response to a request."""

    def announcement(
        self, head: ResponseHead, sent: SentRequest
    ) -> Announcement:
        """Decode what the response to ``sent`` announces of its upstream."""

    def keep_alive_seconds(self, head: ResponseHead) -> float | None:
        """Return the announced keep-alive timeout in seconds, if any."""


class Quarantine(Protocol):
    """Keeps requests that crash upstreams from being sent."""

    def refusal_seconds(self, request: InboundRequest) -> float:
        """Return for how long a request is refused; 0 if it is not."""

    async def record_sending(self, request: InboundRequest) -> None:
        """Record that a request is about to be sent."""

    async def record_unanswered(
        self, request: InboundRequest, upstream: Upstream, sent_at: float
    ) -> None:
        """Check an upstream that has read a request and does not answer."""

    async def record_abandoned(
        self, request: InboundRequest, upstream: Upstream
    ) -> None:
        """Check an upstream some time after a request was cancelled there."""


class UpstreamRelay:
    """Sends requests to upstreams over pooled connections.

    :ivar grace: when this VM stops, and what it no longer sends
    """

    def __init__(
        self,
        client: UpstreamClient,
        wire: Wire,
        quarantine: Quarantine,
        bounds: AnswerBounds | None = None,
    ) -> None:
        """Send through ``client`` in the format of ``wire``.

        :param quarantine: consulted before each request is sent
        :param bounds: bounds on answers; those of the default settings if None
        """
        self.grace = GracePeriod()
        self._bounds = bounds or AnswerBounds.from_settings(RelaySettings(), 0)
        self._client = client
        self._wire = wire
        self._quarantine = quarantine

    async def exchange(
        self,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        """Send a request and read its complete response."""
        return await self._with_connection(
            self._exchange, request, upstream, options
        )

    async def stream(
        self,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
        sink: EventSink,
    ) -> SendResult:
        """Send a request and write its events to ``sink`` as they arrive."""
        transfer = functools.partial(self._stream, sink=sink)
        return await self._with_connection(transfer, request, upstream, options)

    async def _with_connection(
        self,
        transfer: Callable[..., Awaitable[SendResult]],
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        try:
            await self._client.admit(upstream, Purpose.SERVE, options.patience)
            sent = await self._send_admitted(
                transfer, request, upstream, options
            )
        except HeldBack as held:
            return SendResult(Outcome.HELD_BACK, retry_after=held.seconds)
        status = self._client.status_of(upstream)
        if sent.outcome is Outcome.REJECTED:
            sent.retry_after = status.rest_seconds()
        sent.is_leaving = status.departure.is_known()
        brittleness = status.brittleness
        sent.bears = brittleness.bears if brittleness.is_known() else 0
        sent.is_bypassed = self._client.is_bypassed(upstream)
        sent.resumed_after = options.resume_after or request.resumed_after
        return sent

    async def _send_admitted(
        self,
        transfer: Callable[..., Awaitable[SendResult]],
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        connection = await self._connect(upstream, options.seconds, request.id)
        if connection is None:
            return SendResult(Outcome.UNREACHABLE)
        refusal = self._quarantine.refusal_seconds(request)
        if refusal:
            await self._client.release(connection)
            return SendResult(Outcome.QUARANTINED, retry_after=refusal)
        try:
            await self._quarantine.record_sending(request)
            sent = await self._send_permitted(
                transfer, connection, request, upstream, options
            )
        except BaseException:
            await connection.close()
            raise
        sent.received = connection.received
        if sent.outcome is not Outcome.DONE:
            connection.record_refused(request.id)
        await self._dispose(connection, sent)
        return sent

    async def _send_permitted(
        self,
        transfer: Callable[..., Awaitable[SendResult]],
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        if not await _is_permitted(options):
            return SendResult(Outcome.OVER_BUDGET)
        if not _should_send(request):
            return SendResult(Outcome.UNREACHABLE)
        if request.is_refused or not self.grace.fits(request):
            return SendResult(Outcome.LEAVING)
        request.awaits_send = False
        # Opening a connection and borrowing credit have taken some of the time.
        options = replace(options, seconds=request.remaining())
        return await self._transfer(
            transfer, connection, request, upstream, options
        )

    async def _connect(
        self,
        upstream: Upstream,
        seconds: float,
        request_id: str,
    ) -> UpstreamConnection | None:
        if seconds <= 0:
            return None
        try:
            return await self._client.acquire(
                upstream, Purpose.SERVE, request_id
            )
        except OSError:
            await self._client.drop(upstream)
            return None

    async def _dispose(
        self,
        connection: UpstreamConnection,
        sent: SendResult,
    ) -> None:
        if sent.outcome in _CONNECTION_UNUSABLE_AFTER:
            await connection.close()
        else:
            await self._client.release(connection)

    async def _exchange_head(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> ResponseHead:
        call = self._wire.call_of(request, upstream, options)
        try:
            sent = await self._client.send(
                connection,
                upstream,
                Purpose.SERVE,
                call,
                request.remaining_timeout(),
                request.id,
            )
        except HeldBack:
            raise
        except BaseException:
            _record_sent(options)
            raise
        _record_sent(options)
        head = await self._client.head(
            connection,
            upstream,
            sent,
            request.remaining_timeout(),
            may_move=_may_move(request),
            watch=SilenceWatch(
                _unusual_seconds(request),
                functools.partial(self._watch_unanswered, request, upstream),
            ),
        )
        keep_alive = self._wire.keep_alive_seconds(head)
        if keep_alive is not None:
            connection.keep_alive_seconds = keep_alive * _KEEP_ALIVE_SHARE
        return head

    async def _exchange(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        started_at = clock.now()
        try:
            head = await self._exchange_head(
                connection, request, upstream, options
            )
            sent = await self._read_answer(
                connection, request, head, options.sink
            )
        except CallerLost:
            # Not a failure of the upstream, and no other upstream can help.
            raise
        except TimeoutError:
            return _unanswered(Outcome.TIMED_OUT, connection)
        except ConnectionLost:
            return _unanswered(Outcome.LOST, connection)
        if not sent.is_passed_on:
            # The rest of the time is that of the caller.
            sent.seconds = clock.now() - started_at
        return sent

    async def _read_answer(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        head: ResponseHead,
        sink: AnswerSink | None,
    ) -> SendResult:
        """Read an answer as a whole, or pass it on if it is too large.

        :raises ConnectionLost: if it is lost, or exceeds its bounds
        :raises TimeoutError: if it was not received in time
        """
        with HeldBody(self._bounds) as held:
            is_whole = await _hold(connection, request, held)
            body = held.take()
        if is_whole:
            return self._classify(
                head, body, request, is_unproven=connection.is_unproven()
            )
        may_pass = self._wire.verdict(head, request) is Verdict.SUCCESS
        if sink is None or not may_pass or not sink.claim():
            _exceed(connection)
            raise ConnectionLost('the answer is too large to be held')
        await sink.begin(
            head.status,
            end_to_end(head.lines),
            ends_with_connection=connection.body_ends_with_connection(),
        )
        await self._pass_on(connection, request, sink, body)
        return SendResult(Outcome.DONE, is_passed_on=True)

    async def _pass_on(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        sink: AnswerSink,
        part: bytes,
    ) -> None:
        """Pass a large answer on as it arrives.

        The time for which the caller keeps it waiting does not count towards
        its time limit.

        :param part: what has arrived
        """
        ends_at = clock.now() + request.remaining_timeout()
        size = 0
        while part:
            size += len(part)
            if size > self._bounds.most_bytes:
                _exceed(connection)
                raise ConnectionLost('the answer exceeds its bound')
            written_at = clock.now()
            await sink.write(part)
            ends_at += clock.now() - written_at
            await self._bounds.pace(len(part))
            part = await connection.chunk(max(ends_at - clock.now(), 0))

    def _classify(
        self,
        head: ResponseHead,
        body: bytes,
        request: InboundRequest,
        *,
        is_unproven: bool,
    ) -> SendResult:
        verdict = self._wire.verdict(head, request)
        response = Response(
            head.status,
            end_to_end(head.lines),
            body,
            ends_with_connection=is_unproven,
        )
        if verdict is Verdict.SUCCESS:
            return SendResult(Outcome.DONE, response)
        refusal = _REFUSALS.get(verdict)
        if refusal is not None:
            is_rejected = head.status == HTTPStatus.SERVICE_UNAVAILABLE
            return SendResult(refusal, is_rejected=is_rejected)
        if verdict is Verdict.FAILURE:
            return SendResult(Outcome.FAILED, response)
        return SendResult(Outcome.BROKEN)

    async def _stream(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
        sink: EventSink,
    ) -> SendResult:
        started_at = clock.now()
        outcome = Outcome.DONE
        try:
            head = await self._exchange_head(
                connection, request, upstream, options
            )
            if self._wire.verdict(head, request) is not Verdict.SUCCESS:
                return await self._read_answer(connection, request, head, None)
            await sink.begin(
                head.status,
                end_to_end(head.lines),
                ends_with_connection=connection.body_ends_with_connection(),
            )
            await self._forward_events(connection, request, upstream, sink)
        except CallerLost:
            # Not a failure of the upstream, and no other upstream can help.
            raise
        except TimeoutError:
            outcome = Outcome.TIMED_OUT
        except ConnectionLost:
            outcome = Outcome.LOST
        first_event = (
            max(0, sink.first_event_at - started_at)
            if sink.first_event_at
            else 0
        )
        sent = _unanswered(outcome, connection)
        sent.first_event = first_event
        sent.max_gap = sink.pauses.longest
        return sent

    async def _transfer(
        self,
        transfer: Callable[..., Awaitable[SendResult]],
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> SendResult:
        """Run a transfer; the quarantine is notified if it is cancelled."""
        durations = self.grace.durations
        run = durations.begin(request.route.name)
        try:
            return await transfer(connection, request, upstream, options)
        except (curio.CancelledError, CallerLost):
            await self._record_abandoned(request, upstream)
            raise
        finally:
            durations.end(request.route.name, run)

    async def _record_abandoned(
        self, request: InboundRequest, upstream: Upstream
    ) -> None:
        if not request.is_answered:
            await curio.spawn(
                self._quarantine.record_abandoned,
                request,
                upstream,
                daemon=True,
            )

    async def _watch_unanswered(
        self, request: InboundRequest, upstream: Upstream, sent_at: float
    ) -> None:
        await curio.spawn(
            self._quarantine.record_unanswered,
            request,
            upstream,
            sent_at,
            daemon=True,
        )

    async def _forward_events(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        sink: EventSink,
    ) -> None:
        try:
            await self._forward_chunks(connection, request, upstream, sink)
        except BaseException:
            sink.pauses.record_end()
            raise
        await sink.finish()

    async def _forward_chunks(
        self,
        connection: UpstreamConnection,
        request: InboundRequest,
        upstream: Upstream,
        sink: EventSink,
    ) -> None:
        may_move = _may_move(request)
        limit = most_events(request)
        size = 0
        chunk_bytes = b'-'
        while chunk_bytes:
            chunk_bytes = await self._client.chunk(
                connection,
                upstream,
                _remaining(request),
                may_move=may_move,
            )
            size += len(chunk_bytes)
            received = connection.received
            events = received.events if received is not None else 0
            if size > self._bounds.most_bytes or events > limit:
                _exceed(connection)
                raise ConnectionLost('the stream exceeds its bounds')
            if chunk_bytes:
                sink.pauses.record_chunk(chunk_bytes)
                await sink.write(chunk_bytes)
                sink.pauses.record_written()


# Share of the announced keep-alive timeout during which a connection is reused.
# A request that is in flight when the upstream closes the idle connection is
# lost; the remaining fifth covers its time in flight.
_KEEP_ALIVE_SHARE: Final = 0.8


async def _ignore_events() -> None:
    """Do nothing; the default of a sink."""


class EventSink:
    """Writes the events of a stream to a caller.

    For a resumable stream, only complete events are written and the id of the
    last one is recorded, so that another upstream can resume after it.

    :ivar last_event_id: id of the last event written; empty for none
    :ivar first_event_at: time of the first data, on the monotonic clock; 0
        for none
    :ivar pauses: pauses between the events of the current upstream
    :ivar listener: called before complete events are written to the caller
    """

    def __init__(self, responder: Responder, *, whole_events: bool) -> None:
        """Write to ``responder``.

        :param whole_events: whether to hold back incomplete events
        """
        self.last_event_id = ''
        self.first_event_at = 0.0
        self.pauses = EventPauses()
        self.listener: Callable[[], Awaitable[None]] = _ignore_events
        self._responder = responder
        self._whole_events = whole_events
        self._events = EventBuffer()

    @property
    def started(self) -> bool:
        """Whether the response head has been sent to the caller."""
        return self._responder.started

    async def begin(
        self, status: int, headers: HeaderList, *, ends_with_connection: bool
    ) -> None:
        """Write the head, unless an earlier run of the stream has.

        :param ends_with_connection: whether the upstream delimits the stream
            by the end of its connection
        """
        self._events = EventBuffer()
        if not self._responder.started:
            await self._responder.start(
                status, headers, ends_with_connection=ends_with_connection
            )

    async def write(self, chunk_bytes: bytes) -> None:
        """Write data received from the upstream."""
        self.first_event_at = self.first_event_at or clock.now()
        if not self._whole_events:
            await self._responder.chunk(chunk_bytes)
            return
        complete = self._events.feed(chunk_bytes)
        if complete:
            await self.listener()
            await self._responder.chunk(complete)
            self.last_event_id = last_event_id(complete) or self.last_event_id

    async def finish(self) -> None:
        """Write what follows the last event of a complete stream."""
        rest = self._events.take_rest()
        if rest:
            await self._responder.chunk(rest)


def _unusual_seconds(request: InboundRequest) -> float:
    """Return the seconds after which a response is unusually late.

    Engines read prompts before they answer.
    """
    return request.route.target_latency if request.route.streams else 0


async def _hold(
    connection: UpstreamConnection, request: InboundRequest, held: HeldBody
) -> bool:
    """Read an answer as long as it may be held; return whether it is whole."""
    part = await connection.chunk(_remaining(request))
    while part and held.add(part):
        part = await connection.chunk(_remaining(request))
    return not part


def _remaining(request: InboundRequest) -> float:
    """Return the time for another part of an answer.

    Without any left, what is ready is still read, within a bound.
    """
    return max(request.remaining(), 0)


def _exceed(connection: UpstreamConnection) -> None:
    if connection.received is not None:
        connection.received.exceed()


def _unanswered(outcome: Outcome, connection: UpstreamConnection) -> SendResult:
    is_acknowledged = (
        not connection.is_direct or not connection.has_unacknowledged_data()
    )
    return SendResult(outcome, is_acknowledged=is_acknowledged)


def _should_send(request: InboundRequest) -> bool:
    """Return whether the deadline of a request has not passed yet.

    A VM that is short of CPU time may read a request long after it arrived,
    when its caller has already disconnected. Forwarding it would take upstream
    capacity from live requests. The symptom is upstreams that start requests
    after their deadline.

    :raises ConnectionLost: if the caller has disconnected
    """
    if request.is_caller_disconnected():
        raise ConnectionLost(
            'the caller disconnected before its request was sent'
        )
    return request.remaining() > 0


def _may_move(request: InboundRequest) -> bool:
    """Return whether a request in progress could be sent to another upstream."""
    if request.route.repeat is RepeatPolicy.ONCE:
        return False
    return len(request.tried) + 1 < request.route.max_upstreams


async def _is_permitted(options: SendOptions) -> bool:
    return options.permit is None or await options.permit.reserve()


def _record_sent(options: SendOptions) -> None:
    if options.permit is not None:
        options.permit.record_sent()


def may_send_again(request: InboundRequest, outcome: Outcome) -> bool:
    """Return whether another upstream may run a request after ``outcome``."""
    if outcome in _FINAL_OUTCOMES:
        return False
    if outcome in NOT_RUN_OUTCOMES:
        return True
    return request.route.repeat is not RepeatPolicy.ONCE


def error_for_outcome(outcome: Outcome) -> ServingError:
    """Return the error to report for an ``outcome`` without a response."""
    if outcome is Outcome.TIMED_OUT:
        return ServingError(
            ErrorKind.DEADLINE_PASSED,
            'the upstream did not respond in time; the request may have run',
            ran=Ran.UNKNOWN,
        )
    if outcome is Outcome.LEAVING:
        return ServingError(
            ErrorKind.LEAVING,
            'this VM is leaving; send the request to another VM',
            retry_after=_RETRY_SECONDS,
        )
    if outcome in NOT_RUN_OUTCOMES:
        return ServingError(
            ErrorKind.OVERLOADED,
            'no upstream accepted the request; it has not run',
            retry_after=_RETRY_SECONDS,
        )
    return ServingError(
        ErrorKind.OUTCOME_UNKNOWN,
        'the connection to the upstream broke; the request may have run',
        ran=Ran.UNKNOWN,
    )


# In this time, a full upstream completes a few of its calls of some 10 ms.
_RETRY_SECONDS: Final = 0.2
