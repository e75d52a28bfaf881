"""Stand-ins of the platform's upstreams: plain ones and engines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Request, Response
from flamingovalve.util import clock
from standins.base import StandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

_EVENT_SECONDS = 0.05
_EVENTS = 4


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """An order that an engine did not refuse.

    :ivar at: when it came, on the world's clock
    """

    at: float
    holder: str
    fence: int


class PlatformRunnerStandIn(StandIn):
    """A plain upstream that counts how often each request ran.

    :ivar runs_by_request: runs by the caller's name of the request
    :ivar failures: status with which that many next requests fail
    :ivar lose_answers: run that many next requests, then break off
    :ivar full: refuse everything as not run
    """

    def __init__(self, network: Network, address: str, name: str) -> None:
        """Start without any run."""
        super().__init__(network, address)
        self.name = name
        self.runs_by_request: Counter[str] = Counter()
        self.headers_seen: list[dict[str, str]] = []
        self.run_seconds = 0.02
        self.failures = 0
        self.lose_answers = 0
        self.full = False

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run one request, unless it is for somebody else."""
        meant = request.headers.get('expect-instance', self.name)
        if meant != self.name:
            headers = [('Instance', self.name)]
            await responder.send(Response(421, headers))
        elif self.full:
            await responder.send(Response(503, [('Not-Executed', '1')]))
        else:
            await self.run_request(request, responder)

    async def run_request(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Run one request and answer it whole."""
        self.note_run(request)
        await curio.sleep(self.run_seconds)
        if self.lose_answers:
            self.lose_answers -= 1
            raise ConnectionLost('the answer is lost')
        status = 200
        if self.failures:
            self.failures -= 1
            status = 500
        body = f'{self.name} ran {request.target}'.encode()
        await responder.send(Response(status, self.signed(request), body))

    def note_run(self, request: Request) -> None:
        """Count one run."""
        self.headers_seen.append(request.headers)
        self.runs_by_request[request.headers.get('attempt-id', '')] += 1

    def signed(self, request: Request) -> list[tuple[str, str]]:
        """Give the headers that mark an answer as this upstream's."""
        return [
            ('Attempt-Id', request.headers.get('attempt-id', '')),
            ('Response-Seal', f'seal-of-{self.name}'),
        ]


class PlatformEngineStandIn(PlatformRunnerStandIn):
    """An engine that obeys orders and streams events.

    :ivar orders: every order that was carried out: holder, fence, what
    :ivar accepted: every order that was not refused, also one for an
        adapter that was on its way already
    :ivar refused_orders: orders for adapters that the model does not have
    :ivar refuses_versions: refuse orders that name a version
    :ivar order_seconds: what an order takes to be answered
    :ivar dropped_orders: lose that many next orders
    :ivar crashes: times that it was ordered to hold too much
    :ivar break_after: break the next run after that many events; 0 never
    """

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        slots: int = 2,
    ) -> None:
        """Start with the base model and no adapter."""
        super().__init__(network, address, name)
        self.slots = slots
        self.models = ['base']
        self.resident: dict[str, int] = {}
        self.coming: dict[str, int] = {}
        self.newest = 1
        self.sequence = 0
        self.orders: list[tuple[str, int, str]] = []
        self.accepted: list[AcceptedOrder] = []
        self.crashes = 0
        self.refused_orders = 0
        self.refuses_versions = False
        self.order_seconds = 0.0
        self.dropped_orders = 0
        self.break_after = 0
        self.load_seconds = 0.25

    async def answer(self, request: Request, responder: Responder) -> None:
        """Report, obey, or run."""
        if request.path == '/report':
            await responder.send(Response.from_json(self.report()))
        elif request.path == '/order':
            await curio.sleep(self.order_seconds)
            if self.dropped_orders:
                self.dropped_orders -= 1
                raise ConnectionLost('the order is lost')
            status = await self.obey(request.json_object())
            await responder.send(Response(status))
        else:
            await super().answer(request, responder)

    def report(self) -> dict[str, Any]:
        """Give what the engine holds."""
        adapters = [f'{name}@{held}' for name, held in self.resident.items()]
        models = [{'Name': name, 'Adapters': adapters} for name in self.models]
        return {
            'Models': models,
            'Seq': self.sequence,
            'Coming': [
                f'base/{name}@{due}' for name, due in self.coming.items()
            ],
            'born': 1,
        }

    async def obey(self, order: dict[str, Any]) -> int:
        """Carry out an order; give the status that answers it."""
        name = order.get('Adapter', '')
        if name in self.coming:
            self._note_accepted(order)
            return 202
        if order.get('Precondition') != self.sequence:
            return 409
        odd = self.refuses_versions and 'Version' in order
        if odd or name.startswith('unknown'):
            self.refused_orders += 1
            return 400
        self.sequence += 1
        self._note_accepted(order)
        what = f'{order["Op"]} {name or order["Model"]}'
        self.orders.append((order['Holder'], order['FencingToken'], what))
        if order['Op'] == 'unload':
            self.resident.pop(name, None)
            return 200
        if not name:
            await curio.spawn(self._load_model, order['Model'], daemon=True)
            return 202
        if len({*self.resident, *self.coming, name}) > self.slots:
            self.crashes += 1
        self.coming[name] = order.get('Version', self.newest)
        await curio.spawn(self._load, name, daemon=True)
        return 202

    def _note_accepted(self, order: dict[str, Any]) -> None:
        holder, fence = order['Holder'], order['FencingToken']
        self.accepted.append(AcceptedOrder(clock.now(), holder, fence))

    async def _load(self, name: str) -> None:
        await curio.sleep(self.load_seconds)
        self.resident[name] = self.coming.pop(name)

    async def _load_model(self, name: str) -> None:
        await curio.sleep(self.load_seconds)
        self.models.append(name)

    async def run_request(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Stream some events, if the adapter is there."""
        _model, _slash, adapter = request.headers['model'].partition('/')
        wanted = int(request.headers.get('expect-version', 0))
        held = self.resident.get(adapter, 0)
        if adapter and (not held or wanted not in {0, held}):
            await responder.send(Response(421, [('Not-Executed', '1')]))
            return
        self.note_run(request)
        await responder.start(200, self.signed(request))
        first = int(request.headers.get('last-event-id', 0))
        for number in range(first + 1, _EVENTS + 1):
            await curio.sleep(_EVENT_SECONDS)
            if self.break_after and number > first + self.break_after:
                self.break_after = 0
                raise ConnectionLost('broken off')
            event = f'id: {number}\ndata: {adapter} {number}\n\n'
            await responder.chunk(event.encode())
        await responder.end()
