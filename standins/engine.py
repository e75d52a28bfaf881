"""Stand-in for a model engine that serves LoRA adapters."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.bodies import EVENT_STREAM_TYPE
from flamingovalve.http.messages import (
    Request,
    Response,
)
from flamingovalve.util import clock
from flamingovalve.util.tasks import TaskSet
from standins.base import StandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

FENCING_HEADER = 'x-fencing-number'
POISON = 'poison'
DEFAULT_TOKENS = 8

_RETENTION_SECONDS = 30
_MAX_REPORTS = 200
_REPORT_INTERVAL_SECONDS = 0.25
_DIGEST_LENGTH = 12


@dataclass(eq=False)
class Generation:
    """A request that the engine is running or has run.

    :ivar progressed: set, and replaced by a new event, whenever an event
        is added or the generation ends
    """

    request_id: str
    name: str
    chat: bool
    stream: bool
    tokens: list[str]
    events: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    progressed: curio.Event = field(default_factory=curio.Event)


@dataclass
class EngineStatistics:
    """Counters of the engine."""

    runs: int = 0
    loads: int = 0
    unloads: int = 0
    refused_orders: int = 0
    evicted_in_use: int = 0
    missing_adapter: int = 0
    crashes: int = 0
    cancelled: int = 0
    tokens: int = 0


class EngineStandIn(StandIn):
    """An engine with adapter slots, a batch, streams and injected faults.

    :ivar fencing: whether to refuse orders with a fencing number below the
        highest one received
    :ivar token_seconds: duration of one decoding step
    :ivar report_lag: minimum age of the load report, in seconds
    :ivar fail_loads: number of next loads to fail
    :ivar mislabel: number of next responses that name the wrong adapter
    :ivar cut_streams: number of next streams to break off midway
    """

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        """Create an engine that reads adapter weights with ``load``."""
        super().__init__(network, address)
        self.name = name
        self.slots = 4
        self.batch = 8
        self.fencing = True
        self.token_seconds = 0.02
        self.report_lag = 0.5
        self.restart_seconds = 2.0
        self.fail_loads = 0
        self.mislabel = 0
        self.cut_streams = 0
        self.counted = EngineStatistics()
        self.boot = f'{name}-1'
        self.number = 0
        self.is_up = True
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.running: Counter[str] = Counter()
        self.generations: dict[str, Generation] = {}
        self.runs_by_order: Counter[str] = Counter()
        self._load = load
        self._batch_slots = curio.Semaphore(self.batch)
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._tasks = TaskSet()

    def configure(self, slots: int, batch: int, *, fencing: bool) -> None:
        """Set the capacity; call it before the engine is run."""
        self.slots = slots
        self.batch = batch
        self.fencing = fencing
        self._batch_slots = curio.Semaphore(batch)

    async def run(self) -> None:
        """Serve and record load reports until stopped."""
        reporting = await curio.spawn(self._report_forever, daemon=True)
        try:
            await super().run()
        finally:
            await reporting.cancel()
            await self._tasks.cancel()

    def statistics(self) -> dict[str, Any]:
        """Return the counters of the engine."""
        return asdict(self.counted)

    async def control(self, attributes: dict[str, Any]) -> dict[str, Any]:
        """Set attributes, and crash if the command says so."""
        if attributes.pop('crash', False):
            await curio.spawn(self.crash, daemon=True)
        return await super().control(attributes)

    async def crash(self) -> None:
        """Drop all state, then restart with empty slots and a new boot id."""
        if not self.is_up:
            return
        self.counted.crashes += 1
        self.is_up = False
        await self._tasks.cancel()
        self.resident.clear()
        self.loading.clear()
        self.running.clear()
        self.generations.clear()
        self._reports.clear()
        self._batch_slots = curio.Semaphore(self.batch)
        self.number = 0
        await self.close()
        await curio.sleep(self.restart_seconds)
        await self.open()
        self.boot = f'{self.name}-{self.counted.crashes + 1}'
        self.is_up = True

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one call in the protocol of the engine."""
        if not self.is_up:
            raise ConnectionLost('the engine is down')
        routes = {
            '/v1/load-report': self._report,
            '/v1/fencing': self._fence,
            '/v1/load_lora_adapter': self._load_adapter,
            '/v1/unload_lora_adapter': self._unload_adapter,
            '/v1/chat/completions': self._complete,
            '/v1/completions': self._complete,
        }
        if request.path.startswith('/v1/streams/'):
            await self._handle_stream(request, responder)
            return
        await routes[request.path](request, responder)

    # -- Load reports and orders

    async def _report_forever(self) -> None:
        while True:
            self._reports.append((clock.now(), self._snapshot()))
            del self._reports[:-_MAX_REPORTS]
            await curio.sleep(_REPORT_INTERVAL_SECONDS)

    def _snapshot(self) -> dict[str, Any]:
        return {
            'boot': self.boot,
            'resident': sorted(self.resident),
            'running': dict(+self.running),
        }

    async def _report(self, _request: Request, responder: Responder) -> None:
        requested_at = clock.now()
        old_enough = [
            report
            for report in self._reports
            if report[0] <= requested_at - self.report_lag
        ]
        taken_at, report = (
            old_enough[-1] if old_enough else (requested_at, self._snapshot())
        )
        content = {**report, 'age_seconds': requested_at - taken_at}
        await responder.send(Response.from_json(content))

    async def _fence(self, request: Request, responder: Responder) -> None:
        sets_number = request.method == 'POST'
        if sets_number and not await self._accepts_fencing_number(
            request, responder
        ):
            return
        await responder.send(Response.from_json(self._fencing_state()))

    def _fencing_state(self) -> dict[str, Any]:
        state: dict[str, Any] = {'boot': self.boot}
        if self.fencing:
            state['fencing_number'] = self.number
        return state

    async def _accepts_fencing_number(
        self, request: Request, responder: Responder
    ) -> bool:
        if not self.fencing:
            return True
        number = int(request.headers.get(FENCING_HEADER, '0'))
        if number < self.number:
            self.counted.refused_orders += 1
            state = self._fencing_state()
            await responder.send(Response.from_json(state, HTTPStatus.CONFLICT))
            return False
        self.number = number
        return True

    async def _load_adapter(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        if not await self._accepts_fencing_number(request, responder):
            return
        name = request.json_object()['lora_name']
        if name in self.resident:
            await responder.send(Response.from_json({'loaded': name}))
            return
        if len(self.resident | self.loading) >= self.slots:
            await _send_error(responder, 'no free slot')
            return
        self.loading.add(name)
        try:
            await self._load(name)
        finally:
            self.loading.discard(name)
        if self.fail_loads:
            self.fail_loads -= 1
            await _send_error(responder, 'the store failed')
            return
        self.counted.loads += 1
        self.resident.add(name)
        await responder.send(Response.from_json({'loaded': name}))

    async def _unload_adapter(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        if not await self._accepts_fencing_number(request, responder):
            return
        name = request.json_object()['lora_name']
        if self.running[name]:
            self.counted.evicted_in_use += 1
        self.counted.unloads += 1
        self.resident.discard(name)
        await responder.send(Response.from_json({'unloaded': name}))

    # -- Completions

    async def _complete(self, request: Request, responder: Responder) -> None:
        content = request.json_object()
        name = content['model']
        if name not in self.resident:
            self.counted.missing_adapter += 1
            await _send_error(
                responder, f'{name} is not loaded', HTTPStatus.NOT_FOUND
            )
            return
        generation = Generation(
            request.headers.get('x-request-id', ''),
            name,
            request.path.endswith('chat/completions'),
            content.get('stream') is True,
            tokens_of(name, content),
        )
        self.runs_by_order[str(content.get('user', ''))] += 1
        self.generations[generation.request_id] = generation
        await self._tasks.spawn(self._generate, generation)
        if POISON in request.body.decode('utf-8', 'replace'):
            await curio.spawn(self._crash_after_one_step, daemon=True)
        await self._send(generation, 0, responder)

    async def _crash_after_one_step(self) -> None:
        await curio.sleep(self.token_seconds)
        if self.is_up:
            await self.crash()

    async def _generate(self, generation: Generation) -> None:
        self.counted.runs += 1
        self.running[generation.name] += 1
        batch_slots = self._batch_slots
        try:
            async with batch_slots:
                await self._generate_tokens(generation)
        finally:
            self.running[generation.name] -= 1
        await curio.sleep(_RETENTION_SECONDS)
        self.generations.pop(generation.request_id, None)

    async def _generate_tokens(self, generation: Generation) -> None:
        last = len(generation.tokens) - 1
        for index, token in enumerate(generation.tokens):
            await curio.sleep(self.token_seconds)
            if generation.cancelled:
                self.counted.cancelled += 1
                break
            self.counted.tokens += 1
            event = self._event(generation, token, final=index == last)
            generation.events.append(event)
            await self._notify_progress(generation)
        generation.ended = True
        await self._notify_progress(generation)

    async def _notify_progress(self, generation: Generation) -> None:
        await generation.progressed.set()
        generation.progressed = curio.Event()

    async def _send(
        self,
        generation: Generation,
        offset: int,
        responder: Responder,
    ) -> None:
        if generation.stream:
            await self._stream(generation, offset, responder)
            return
        while not generation.ended:
            await generation.progressed.wait()
        await responder.send(self._full_response(generation))

    async def _stream(
        self,
        generation: Generation,
        offset: int,
        responder: Responder,
    ) -> None:
        headers = [
            ('content-type', EVENT_STREAM_TYPE),
            *_identity_headers(generation),
        ]
        await responder.start(HTTPStatus.OK, headers)
        breaks_off = self.cut_streams > 0 and offset == 0
        if breaks_off:
            self.cut_streams -= 1
        ended = False
        while not ended:
            progressed = generation.progressed
            ended = generation.ended
            for event in generation.events[offset:]:
                offset += 1
                if breaks_off and offset > 2:
                    await responder.chunk(event[: len(event) // 2])
                    raise ConnectionLost('the stream was cut')
                await responder.chunk(event)
            if not ended:
                await progressed.wait()
        if generation.cancelled:
            raise ConnectionLost('the request was cancelled')
        await responder.chunk(b'data: [DONE]\n\n')
        await responder.end()

    async def _handle_stream(
        self, request: Request, responder: Responder
    ) -> None:
        request_id = request.path.removeprefix('/v1/streams/')
        generation = self.generations.get(request_id)
        if request.method == 'DELETE':
            if generation is not None:
                generation.cancelled = True
                while not generation.ended:
                    await generation.progressed.wait()
            await responder.send(Response.from_json({'cancelled': True}))
            return
        if generation is None:
            await _send_error(responder, 'no such stream', HTTPStatus.NOT_FOUND)
            return
        offset = int(request.query.get('offset', '0'))
        await self._send(generation, offset, responder)

    def _model_label(self, generation: Generation) -> str:
        if self.mislabel:
            self.mislabel -= 1
            return 'somebody-else@1'
        return generation.name

    def _event(
        self,
        generation: Generation,
        token: str,
        *,
        final: bool,
    ) -> bytes:
        finish = 'stop' if final else None
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
        if generation.chat:
            choice['delta'] = {'content': token}
        else:
            choice['text'] = token
        kind = 'chat.completion.chunk' if generation.chat else 'text_completion'
        content = self._completion_object(generation, kind, choice)
        return f'data: {json.dumps(content)}\n\n'.encode()

    def _full_response(self, generation: Generation) -> Response:
        text = ''.join(generation.tokens)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if generation.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion' if generation.chat else 'text_completion'
        content = self._completion_object(generation, kind, choice)
        count = len(generation.tokens)
        content['usage'] = {
            'prompt_tokens': 1,
            'completion_tokens': count,
            'total_tokens': count + 1,
        }
        return Response.from_json(
            content, HTTPStatus.OK, _identity_headers(generation)
        )

    def _completion_object(
        self,
        generation: Generation,
        kind: str,
        choice: dict[str, Any],
    ) -> dict[str, Any]:
        return {
            'id': f'cmpl-{generation.request_id}',
            'object': kind,
            'created': 0,
            'model': self._model_label(generation),
            'choices': [choice],
        }


def tokens_of(name: str, content: dict[str, Any]) -> list[str]:
    """Return the tokens that an adapter generates for a request.

    They depend on the adapter, its version and the prompt, so that a test
    can check that a response is complete and belongs to its request.
    """
    prompt = json.dumps(content.get('messages') or content.get('prompt'))
    digest = hashlib.sha256(f'{name}\0{prompt}'.encode()).hexdigest()[
        :_DIGEST_LENGTH
    ]
    count = int(content.get('max_tokens') or DEFAULT_TOKENS)
    return [f'{name}/{digest}/{index} ' for index in range(count)]


def _identity_headers(generation: Generation) -> list[tuple[str, str]]:
    return [
        ('x-adapter', generation.name),
        ('x-request-id', generation.request_id),
    ]


async def _send_error(
    responder: Responder,
    reason: str,
    status: int = HTTPStatus.SERVICE_UNAVAILABLE,
) -> None:
    content = {'error': {'message': reason}}
    await responder.send(Response.from_json(content, status))
