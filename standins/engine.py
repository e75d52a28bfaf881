"""Stand-in of a model engine that serves LoRA adapters."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import (
    EVENT_STREAM_TYPE,
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

_KEPT_SECONDS = 30
_REPORTS_KEPT = 200
_REPORT_SECONDS = 0.25
_DIGEST_LENGTH = 12


@dataclass(eq=False)
class Generation:
    """One request that the engine runs or ran."""

    request_id: str
    name: str
    chat: bool
    stream: bool
    tokens: list[str]
    events: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    grew: curio.Event = field(default_factory=curio.Event)


@dataclass
class EngineFigures:
    """What the engine has counted."""

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
    """Slots, a batch, orders with or without fencing, streams, crashes.

    :ivar fencing: refuse orders below the highest number seen
    :ivar token_seconds: time of one step of the batch
    :ivar report_lag: age of the load report
    :ivar fail_loads: fail that many next loads
    :ivar mislabel: name the wrong adapter in that many next answers
    :ivar cut_streams: break that many next streams in their middle
    """

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        """Load adapters by ``load``."""
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
        self.counted = EngineFigures()
        self.boot = f'{name}-1'
        self.number = 0
        self.is_up = True
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.running: Counter[str] = Counter()
        self.generations: dict[str, Generation] = {}
        self.runs_by_order: Counter[str] = Counter()
        self._load = load
        self._seats = curio.Semaphore(self.batch)
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._tasks = TaskSet()

    def configure(self, slots: int, batch: int, *, fencing: bool) -> None:
        """Set the sizes before the engine is run."""
        self.slots = slots
        self.batch = batch
        self.fencing = fencing
        self._seats = curio.Semaphore(batch)

    async def run(self) -> None:
        """Serve until stopped."""
        reporting = await curio.spawn(self._report_forever, daemon=True)
        try:
            await super().run()
        finally:
            await reporting.cancel()
            await self._tasks.cancel()

    def figures(self) -> dict[str, Any]:
        """Give what the engine has counted."""
        return asdict(self.counted)

    async def control(self, order: dict[str, Any]) -> dict[str, Any]:
        """Set attributes, or crash."""
        if order.pop('crash', False):
            await curio.spawn(self.crash, daemon=True)
        return await super().control(order)

    async def crash(self) -> None:
        """Lose everything, and come back with empty slots."""
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
        self._seats = curio.Semaphore(self.batch)
        self.number = 0
        await self.shut()
        await curio.sleep(self.restart_seconds)
        await self.open()
        self.boot = f'{self.name}-{self.counted.crashes + 1}'
        self.is_up = True

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one call of the engine's protocol."""
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
            await self._streams(request, responder)
            return
        await routes[request.path](request, responder)

    # -- Reports and orders

    async def _report_forever(self) -> None:
        while True:
            self._reports.append((clock.now(), self._snapshot()))
            del self._reports[:-_REPORTS_KEPT]
            await curio.sleep(_REPORT_SECONDS)

    def _snapshot(self) -> dict[str, Any]:
        return {
            'boot': self.boot,
            'resident': sorted(self.resident),
            'running': dict(+self.running),
        }

    async def _report(self, _request: Request, responder: Responder) -> None:
        moment = clock.now()
        known = [
            report
            for report in self._reports
            if report[0] <= moment - self.report_lag
        ]
        taken_at, report = known[-1] if known else (moment, self._snapshot())
        content = {**report, 'age_seconds': moment - taken_at}
        await responder.send(Response.from_json(content))

    async def _fence(self, request: Request, responder: Responder) -> None:
        ordered = request.method == 'POST'
        if ordered and not await self._obeys(request, responder):
            return
        await responder.send(Response.from_json(self._fencing_state()))

    def _fencing_state(self) -> dict[str, Any]:
        state: dict[str, Any] = {'boot': self.boot}
        if self.fencing:
            state['fencing_number'] = self.number
        return state

    async def _obeys(self, request: Request, responder: Responder) -> bool:
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
        if not await self._obeys(request, responder):
            return
        name = request.json_object()['lora_name']
        if name in self.resident:
            await responder.send(Response.from_json({'loaded': name}))
            return
        if len(self.resident | self.loading) >= self.slots:
            await _refuse(responder, 'no free slot')
            return
        self.loading.add(name)
        try:
            await self._load(name)
        finally:
            self.loading.discard(name)
        if self.fail_loads:
            self.fail_loads -= 1
            await _refuse(responder, 'the store failed')
            return
        self.counted.loads += 1
        self.resident.add(name)
        await responder.send(Response.from_json({'loaded': name}))

    async def _unload_adapter(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        if not await self._obeys(request, responder):
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
            await _refuse(
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
            await curio.spawn(self._poisoned, daemon=True)
        await self._send(generation, 0, responder)

    async def _poisoned(self) -> None:
        await curio.sleep(self.token_seconds)
        if self.is_up:
            await self.crash()

    async def _generate(self, generation: Generation) -> None:
        self.counted.runs += 1
        self.running[generation.name] += 1
        seats = self._seats
        try:
            async with seats:
                await self._steps(generation)
        finally:
            self.running[generation.name] -= 1
        await curio.sleep(_KEPT_SECONDS)
        self.generations.pop(generation.request_id, None)

    async def _steps(self, generation: Generation) -> None:
        last = len(generation.tokens) - 1
        for index, token in enumerate(generation.tokens):
            await curio.sleep(self.token_seconds)
            if generation.cancelled:
                self.counted.cancelled += 1
                break
            self.counted.tokens += 1
            event = self._event(generation, token, final=index == last)
            generation.events.append(event)
            await self._grow(generation)
        generation.ended = True
        await self._grow(generation)

    async def _grow(self, generation: Generation) -> None:
        await generation.grew.set()
        generation.grew = curio.Event()

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
            await generation.grew.wait()
        await responder.send(self._whole(generation))

    async def _stream(
        self,
        generation: Generation,
        offset: int,
        responder: Responder,
    ) -> None:
        headers = [('content-type', EVENT_STREAM_TYPE), *_names(generation)]
        await responder.start(HTTPStatus.OK, headers)
        cut = self.cut_streams > 0 and offset == 0
        if cut:
            self.cut_streams -= 1
        ended = False
        while not ended:
            grew = generation.grew
            ended = generation.ended
            for event in generation.events[offset:]:
                offset += 1
                if cut and offset > 2:
                    await responder.chunk(event[: len(event) // 2])
                    raise ConnectionLost('the stream was cut')
                await responder.chunk(event)
            if not ended:
                await grew.wait()
        if generation.cancelled:
            raise ConnectionLost('the request was cancelled')
        await responder.chunk(b'data: [DONE]\n\n')
        await responder.end()

    async def _streams(self, request: Request, responder: Responder) -> None:
        request_id = request.path.removeprefix('/v1/streams/')
        generation = self.generations.get(request_id)
        if request.method == 'DELETE':
            if generation is not None:
                generation.cancelled = True
                while not generation.ended:
                    await generation.grew.wait()
            await responder.send(Response.from_json({'cancelled': True}))
            return
        if generation is None:
            await _refuse(responder, 'no such stream', HTTPStatus.NOT_FOUND)
            return
        offset = int(request.query.get('offset', '0'))
        await self._send(generation, offset, responder)

    def _label(self, generation: Generation) -> str:
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
        content = self._object(generation, kind, choice)
        return f'data: {json.dumps(content)}\n\n'.encode()

    def _whole(self, generation: Generation) -> Response:
        text = ''.join(generation.tokens)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if generation.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion' if generation.chat else 'text_completion'
        content = self._object(generation, kind, choice)
        count = len(generation.tokens)
        content['usage'] = {
            'prompt_tokens': 1,
            'completion_tokens': count,
            'total_tokens': count + 1,
        }
        return Response.from_json(content, HTTPStatus.OK, _names(generation))

    def _object(
        self,
        generation: Generation,
        kind: str,
        choice: dict[str, Any],
    ) -> dict[str, Any]:
        return {
            'id': f'cmpl-{generation.request_id}',
            'object': kind,
            'created': 0,
            'model': self._label(generation),
            'choices': [choice],
        }


def tokens_of(name: str, content: dict[str, Any]) -> list[str]:
    """Give the tokens that an adapter answers to a request.

    They depend on adapter, version and prompt, so that a checker can tell
    whether an answer is whole and whose it is.
    """
    prompt = json.dumps(content.get('messages') or content.get('prompt'))
    digest = hashlib.sha256(f'{name}\0{prompt}'.encode()).hexdigest()[
        :_DIGEST_LENGTH
    ]
    count = int(content.get('max_tokens') or DEFAULT_TOKENS)
    return [f'{name}/{digest}/{index} ' for index in range(count)]


def _names(generation: Generation) -> list[tuple[str, str]]:
    return [
        ('x-adapter', generation.name),
        ('x-request-id', generation.request_id),
    ]


async def _refuse(
    responder: Responder,
    reason: str,
    status: int = HTTPStatus.SERVICE_UNAVAILABLE,
) -> None:
    content = {'error': {'message': reason}}
    await responder.send(Response.from_json(content, status))
