"""Relays completions to engines and their responses to callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.engines.queue import Ticket
from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.http.bodies import EVENT_STREAM_TYPE
from flamingovalve.http.client import UpstreamCall
from flamingovalve.http.messages import (
    JSON_TYPE,
    Response,
)
from flamingovalve.relay.events import (
    AnswerCheck,
    EventSplitter,
    fragment_error,
)
from flamingovalve.relay.quarantine import Verdict, poison_request
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from expression import Result

    from flamingovalve.engines.api import FencingState
    from flamingovalve.engines.owner import EngineOwner
    from flamingovalve.generated.settings import RelaySettings
    from flamingovalve.http.client import (
        ConnectionPool,
        ResponseHead,
        UpstreamConnection,
    )
    from flamingovalve.peer.server import Sink
    from flamingovalve.relay.quarantine import Quarantine
    from flamingovalve.relay.work import CompletionWork
    from flamingovalve.util.tasks import TaskSet

logger = get_logger(__name__)

_MAX_RESUMES: Final = 3


class CompletionRelay:
    """Runs completions on the engines that this VM owns."""

    def __init__(
        self,
        pool: ConnectionPool,
        settings: RelaySettings,
        quarantine: Quarantine,
        background: TaskSet,
    ) -> None:
        """Call engines over ``pool``; cancel failed work in ``background``."""
        self._pool = pool
        self._settings = settings
        self._quarantine = quarantine
        self._background = background

    async def run(
        self,
        owner: EngineOwner,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        """Wait for a place in the batch, run the work and respond to ``sink``.

        :raises ServingError: if there is no complete response; if the sink
            has been started, it holds an incomplete response
        """
        ticket = await self._enter(owner, work)
        attempt = Attempt(self, owner, work, sink)
        engine = owner.engine.id
        self._quarantine.started(
            engine,
            work.request_id,
            work.fingerprint,
        )
        try:
            await attempt.run()
        except BaseException:
            await self._background.spawn(self._clean_up, attempt, ticket)
            raise
        self._quarantine.ended(engine, work.request_id)
        if work.isolated:
            self._quarantine.cleared(work.fingerprint)
        await owner.scheduler.leave(ticket, served=True)

    async def _enter(self, owner: EngineOwner, work: CompletionWork) -> Ticket:
        """Wait for a place in the batch, alone for a suspect.

        A request may become a suspect, or be convicted, while it waits.

        :raises ServingError: if it is refused; it has not run here then
        """
        while True:
            ticket = Ticket(
                work.target.name,
                work.priority,
                work.deadline,
                work.isolated,
            )
            await owner.scheduler.enter(ticket)
            verdict = self._quarantine.verdict(work.fingerprint)
            if verdict is Verdict.CLEAR:
                return ticket
            if verdict is Verdict.SUSPECT and work.isolated:
                return ticket
            await owner.scheduler.leave(ticket, served=False)
            if verdict is Verdict.REFUSED:
                raise poison_request(Ran.UNKNOWN)
            work.isolated = True

    async def _clean_up(self, attempt: Attempt, ticket: Ticket) -> None:
        """Cancel the request if it may run, then free its place."""
        owner, work = attempt.owner, attempt.work
        try:
            if attempt.may_run:
                await owner.cancel_upstream(work.request_id)
        finally:
            self._quarantine.ended(owner.engine.id, work.request_id)
            await owner.scheduler.leave(ticket, served=False)

    @property
    def pool(self) -> ConnectionPool:
        """Pool of connections to upstreams."""
        return self._pool

    @property
    def settings(self) -> RelaySettings:
        """Settings for calls to upstreams."""
        return self._settings

    @property
    def quarantine(self) -> Quarantine:
        """Quarantine of requests that crash engines."""
        return self._quarantine


class Attempt:
    """One run of a completion on one engine.

    :ivar may_run: whether the engine may still be running the request
    """

    def __init__(
        self,
        relay: CompletionRelay,
        owner: EngineOwner,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        """Run ``work`` on the engine of ``owner``."""
        self.owner = owner
        self.work = work
        self.may_run = False
        self._relay = relay
        self._sink = sink
        self._settings = relay.settings
        self._check = AnswerCheck(work.target.name, work.request_id)
        self._splitter = EventSplitter(self._check, work.offset)
        self._boot = owner.boot
        self._resuming = False

    async def run(self) -> None:
        """Run the work until the response is complete.

        :raises ServingError: if there is no complete response
        """
        remaining = max(self.work.remaining(), 0)
        try:
            async with curio.timeout_after(remaining):
                await self._run()
        except curio.TaskTimeout as timeout:
            raise _deadline_error() from timeout

    async def _run(self) -> None:
        if self.work.offset:
            await self._resume(
                ConnectionLost('the VM that relayed it was lost')
            )
            return
        try:
            await self._start()
        except (ConnectionLost, TimeoutError) as lost:
            await self._recover(lost)
        except ServingError as error:
            if not self._sink.started:
                raise
            await self._resume(error)

    async def _start(self) -> None:
        connection = await self._connect()
        self.may_run = True
        await self._perform_call(connection, self._build_call())

    def _build_call(self) -> UpstreamCall:
        headers = [
            ('content-type', JSON_TYPE),
            ('x-request-id', self.work.request_id),
            ('x-priority', self.work.priority.value),
        ]
        return UpstreamCall('POST', self.work.path, headers, self.work.body)

    async def _connect(self) -> UpstreamConnection:
        address = self.owner.engine.address
        try:
            return await self._relay.pool.acquire(address)
        except OSError as error:
            raise _unreachable_error(self.owner.engine.id, error) from error

    async def _perform_call(
        self,
        connection: UpstreamConnection,
        call: UpstreamCall,
    ) -> None:
        """Make a call on ``connection``; close it if the call fails."""
        seconds = self._settings.first_byte_seconds
        try:
            await connection.send(call, seconds)
            head = await connection.head(seconds)
            await self._handle_response(connection, head)
        except BaseException:
            await connection.close()
            raise
        self.may_run = False
        await self._relay.pool.release(connection)

    async def _handle_response(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
    ) -> None:
        if head.status != HTTPStatus.OK:
            await self._handle_error_status(connection, head)
            return
        self._check.check_headers(head.headers)
        content_type = head.headers.get('content-type', '')
        if content_type.startswith(EVENT_STREAM_TYPE):
            await self._stream(connection)
        else:
            await self._relay_body(connection)

    async def _relay_body(self, connection: UpstreamConnection) -> None:
        body = await self._body(connection)
        self._check.check_whole(body)
        headers = [('content-type', JSON_TYPE), *self._response_headers()]
        await self._sink.send(Response(HTTPStatus.OK, headers, body))

    async def _body(self, connection: UpstreamConnection) -> bytes:
        settings = self._settings
        return await connection.body(
            settings.first_byte_seconds,
            settings.answer_bytes,
            settings.chunk_seconds,
        )

    async def _stream(self, connection: UpstreamConnection) -> None:
        seconds = self._settings.chunk_seconds
        received = await connection.chunk(seconds)
        while received:
            events = self._splitter.feed(received)
            if events:
                await self._forward_events(events)
            received = await connection.chunk(seconds)
        if not self._splitter.complete:
            raise ConnectionLost('the stream ended without an end marker')
        await self._sink.end()

    async def _forward_events(self, events: bytes) -> None:
        # The response head is held back until the first event is checked:
        # until then the caller has received nothing and the request can be
        # retried on another engine.
        if not self._sink.started:
            headers = [
                ('content-type', EVENT_STREAM_TYPE),
                *self._response_headers(),
            ]
            await self._sink.start(HTTPStatus.OK, headers)
        await self._sink.chunk(events)
        self.work.offset = self._splitter.passed

    def _response_headers(self) -> list[tuple[str, str]]:
        return [
            ('x-adapter', self.work.target.name),
            ('x-request-id', self.work.request_id),
            ('x-engine', self.owner.engine.id),
        ]

    async def _handle_error_status(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
    ) -> None:
        body = await self._body(connection)
        self.may_run = False
        if head.status == HTTPStatus.NOT_FOUND and self._resuming:
            raise fragment_error('the engine does not know the stream any more')
        if head.status == HTTPStatus.NOT_FOUND:
            # The engine lost the adapter, for example by a restart that no
            # report has revealed yet.
            self.owner.scheduler.residents.remove(self.work.target.name)
            raise _adapter_missing_error(self.owner.engine.id)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise _upstream_failed_error(self.owner.engine.id, f'{head.status}')
        headers = [('content-type', JSON_TYPE), *self._response_headers()]
        response = Response(
            head.status,
            headers,
            body,
            ends_with_connection=connection.is_unproven(),
        )
        await self._sink.send(response)

    # -- Recovery

    async def _recover(self, lost: Exception) -> None:
        """Check the state of the engine and resume if it still runs."""
        # The cause of the lost connection may affect the idle ones as well.
        await self._relay.pool.drop(self.owner.engine.address)
        state = await self.owner.api.fencing()
        if self._has_ended(state):
            # This does not prove that the request has ended: the engine may
            # have restarted before the request reached it, while this VM
            # knew only the earlier boot. The adapter stays pinned until the
            # engine confirms that the request has ended.
            raise self._record_crash(lost)
        unstarted = self.work.stream and not self._sink.started
        if unstarted or state.is_error():
            raise _upstream_failed_error(self.owner.engine.id, str(lost))
        if self.work.stream:
            await self._resume(lost)
        else:
            await self._await_body()

    async def _await_body(self) -> None:
        """Wait for a response that is not streamed, over new connections.

        Such a response sends nothing until it is complete, which may take
        minutes; a connection that a middlebox has dropped is silent too.
        After each timeout the engine is asked whether it has crashed. If not,
        the response is requested over a new connection, and the request is
        not run again. The deadline of the request ends the wait.
        """
        complete = False
        while not complete:
            try:
                await self._resume_once()
                complete = True
            except TimeoutError as timeout:
                await self._check_engine_alive(timeout)
            except ConnectionLost as lost:
                engine = self.owner.engine.id
                raise _upstream_failed_error(engine, str(lost)) from lost

    async def _check_engine_alive(self, timeout: TimeoutError) -> None:
        state = await self.owner.api.fencing()
        if self._has_ended(state):
            raise self._record_crash(timeout)

    def _has_ended(self, state: Result[FencingState, ServingError]) -> bool:
        if state.is_ok():
            return state.ok.boot != self._boot
        return state.error.kind is ErrorKind.UPSTREAM_UNREACHABLE

    def _record_crash(self, lost: object) -> ServingError:
        engine = self.owner.engine.id
        self._relay.quarantine.crashed(engine, self._boot)
        if self._sink.started:
            return fragment_error(f'engine {engine!r} crashed')
        return ServingError(
            ErrorKind.UPSTREAM_CRASHED,
            f'engine {engine!r} crashed while it ran the request ({lost}); '
            'the request is retried in isolation from others',
            ran=Ran.UNKNOWN,
            retry_after=1,
        )

    async def _resume(self, lost: Exception) -> None:
        """Resume the response after the last event that was forwarded."""
        for _attempt in range(_MAX_RESUMES):
            self._splitter.restart(self.work.offset)
            try:
                await self._resume_once()
            except (ConnectionLost, TimeoutError, ServingError) as error:
                lost = error
            else:
                return
        raise fragment_error(f'it could not be resumed ({lost})')

    async def _resume_once(self) -> None:
        self._resuming = True
        path = f'/v1/streams/{self.work.request_id}?offset={self.work.offset}'
        address = self.owner.engine.address
        try:
            connection = await self._relay.pool.connect(address)
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        self.may_run = True
        await self._perform_call(connection, UpstreamCall('GET', path, []))


def _deadline_error() -> ServingError:
    return ServingError(
        ErrorKind.DEADLINE_PASSED,
        'the deadline passed before the response was complete; allow more time',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )


def _unreachable_error(engine: str, error: OSError) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_UNREACHABLE,
        f'engine {engine!r} cannot be reached ({error}); retry shortly',
        retry_after=1,
    )


def _upstream_failed_error(engine: str, reason: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_FAILED,
        f'engine {engine!r} returned no response ({reason}); send the '
        'request again',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )


def _adapter_missing_error(engine: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_REFUSED,
        f'engine {engine!r} no longer holds the adapter; it is loaded again',
        retry_after=1,
    )
