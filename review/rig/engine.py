# flake8: noqa: WPS
"""Stand-in for a runner with an engine, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import json
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from runner import Runner
from wire import Connection, Request, encode_answer, encode_head

if TYPE_CHECKING:
    from store import Store

MODEL = 'base'
MODEL_MB = 65500
WEIGHTS_MB = 67000
ADAPTER_MB = 40
ADAPTER_SLOTS = 8
ADAPTERS = 3000
SLOTS = 64
KV_TOKENS = 232000
_FETCH_SECONDS = 0.25
_KEPT_SECONDS = 0.025
_FULL_SPEED_FETCHES = 8
# Adapters that a runner still has after it has unloaded them.
_KEPT = 16


def engine_traits() -> dict[str, Any]:
    """Return the field `Engine` of a service."""
    return {
        'Slots': SLOTS,
        'WeightsMb': WEIGHTS_MB,
        'AdapterSlots': ADAPTER_SLOTS,
        'KvCapacity': KV_TOKENS,
        'Models': [
            {
                'Name': MODEL,
                'WeightsMb': MODEL_MB,
                'LoadTimeS': 1.9,
                'Adapters': ADAPTERS,
                'AdapterSizeMb': ADAPTER_MB,
            }
        ],
    }


@dataclass
class Fetches:
    """Adapters that are on their way from the weight store to all runners."""

    under_way: int = 0


class Engine(Runner):
    """A runner that loads adapters as ordered and streams events.

    :ivar going: adapters whose unload waits for their runs
    :ivar orders: when each order was accepted, its holder and fence
    :ivar overfull: loads that exceeded the slots for adapters
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        address: str,
        zone: str,
        fetches: Fetches,
    ) -> None:
        """Create an engine that holds the model and no adapter."""
        super().__init__(store, name, service, address, zone)
        self.slots = SLOTS
        self.event_seconds = 0.02
        self.events = 4
        self.resident: set[str] = set()
        self.coming: set[str] = set()
        self.going: set[str] = set()
        self.uses: dict[str, int] = {}
        self.orders: list[tuple[float, str, int]] = []
        self.overfull = 0
        self._kept: OrderedDict[str, None] = OrderedDict()
        self._fetches = fetches

    async def serve(self, request: Request, connection: Connection) -> None:
        """Answer a report or an order, or run a request."""
        if request.path == '/report':
            await connection.send(_json(200, self.report()))
        elif request.path == '/order':
            status = self.order(json.loads(request.body))
            await connection.send(encode_answer(status, []))
        else:
            await self.serve_stream(request, connection)

    def report(self) -> dict[str, Any]:
        """Return its report."""
        adapters = [f'{name}@1' for name in sorted(self.resident)]
        return {
            'Stage': 'both',
            'Models': [{'Name': MODEL, 'Version': 1, 'Adapters': adapters}],
            'Coming': [f'{MODEL}/{name}@1' for name in sorted(self.coming)],
            'Busy': False,
            'Seq': self.sequence,
            'born': self.born,
            'Queued': 0,
            'Active': sum(self.uses.values()),
            'KvUsed': 0,
            'KvTotal': KV_TOKENS,
            'Handles': 0,
        }

    def order(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status of the answer."""
        name = order.get('Adapter', '')
        if order.get('Precondition', self.sequence) != self.sequence:
            return 409
        is_load = order['Op'] == 'load'
        if is_load and (not name or name in self.resident | self.coming):
            return 200
        if not is_load and name not in self.resident:
            return 200
        self.sequence += 1
        self.orders.append(
            (time.monotonic(), order['Holder'], order['FencingToken'])
        )
        if is_load:
            self.coming.add(name)
            if len(self.resident | self.coming) > ADAPTER_SLOTS:
                self.overfull += 1
            asyncio.create_task(self._load(name))
            return 202
        if self.uses.get(name):
            # An unload waits for its runs.
            self.going.add(name)
            return 202
        self._drop(name)
        return 200

    def _drop(self, name: str) -> None:
        self.resident.discard(name)
        self.going.discard(name)
        self._kept[name] = None
        while len(self._kept) > _KEPT:
            self._kept.popitem(last=False)

    async def _load(self, name: str) -> None:
        if name in self._kept:
            await asyncio.sleep(_KEPT_SECONDS)
        else:
            self._fetches.under_way += 1
            share = self._fetches.under_way / _FULL_SPEED_FETCHES
            await asyncio.sleep(_FETCH_SECONDS * max(1, share))
            self._fetches.under_way -= 1
        self._kept.pop(name, None)
        self.coming.discard(name)
        self.resident.add(name)

    async def serve_stream(
        self, request: Request, connection: Connection
    ) -> None:
        """Run a request whose adapter is present."""
        adapter = request.headers['model'].partition('/')[2]
        if adapter in self.going:
            await connection.send(self.encode(request, 503, not_run=True))
            return
        if adapter not in self.resident:
            await connection.send(self.encode(request, 421, not_run=True))
            return
        self.runs.append((time.monotonic(), request.headers['attempt-id']))
        self.uses[adapter] = self.uses.get(adapter, 0) + 1
        try:
            await self._stream(request, connection)
        finally:
            self.uses[adapter] -= 1
            if adapter in self.going and not self.uses[adapter]:
                self._drop(adapter)

    async def _stream(self, request: Request, connection: Connection) -> None:
        head = encode_head(
            200,
            [
                ('Content-Type', 'text/event-stream'),
                ('Attempt-Id', request.headers['attempt-id']),
                ('Response-Seal', f'seal.{self.name}'),
                ('Weight-Versions', '1'),
                ('Transfer-Encoding', 'chunked'),
            ],
        )
        sent = head
        await connection.send_part(head)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            chunk = b'%x\r\n%s\r\n' % (len(event), event)
            sent += chunk
            await connection.send_part(chunk)
        await connection.send_part(b'0\r\n\r\n')
        connection.last_answer = sent + b'0\r\n\r\n'


def _json(status: int, content: object) -> bytes:
    headers = [('Content-Type', 'application/json')]
    return encode_answer(status, headers, json.dumps(content).encode())
