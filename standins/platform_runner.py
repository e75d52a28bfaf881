"""Stand-ins for the upstreams of the platform: plain ones and engines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Request, Response
from flamingovalve.util import clock
from standins.announcing import AnnouncingResponder, History
from standins.base import StandIn

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

HEALTH_PATH = '/health'
_EVENT_INTERVAL_SECONDS = 0.05
_EVENT_COUNT = 4
_DOWN_SECONDS = 3.0
_MOST_LOADS = 4
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """An order that an engine did not refuse.

    :ivar at: time of receipt, on the virtual clock
    :ivar fence: fencing number of the order
    """

    at: float
    holder: str
    fence: int


def _milliseconds() -> int:
    return int(clock.wall() * _MS_PER_SECOND)


class PlatformRunnerStandIn(StandIn):
    """A plain upstream that counts the runs of each request.

    :ivar runs_by_request: number of runs by attempt id
    :ivar failures: number of next requests that fail with status 500
    :ivar lose_answers: number of next requests that run, but whose
        connection is dropped before the response
    :ivar full: whether to refuse every request as not executed
    :ivar closes_every: closes the connection after one in so many responses;
        0 for never
    :ivar falls: how often it fell over, as it had to reject too much
    :ivar down_until: when it is back, on the virtual clock
    :ivar history: requests that arrived and what their responses announced;
        its ``announced`` is added to each response
    """

    def __init__(self, network: Network, address: str, name: str) -> None:
        """Create an upstream that has run nothing."""
        super().__init__(network, address)
        self.name = name
        self.runs_by_request: Counter[str] = Counter()
        self.headers_seen: list[dict[str, str]] = []
        self.run_seconds = 0.02
        self.failures = 0
        self.lose_answers = 0
        self.full = False
        self.history = History()
        self.closes_every = 0
        self._responses = 0
        self.falls = 0
        self.down_until = 0.0
        self._rejected_at: list[float] = []

    async def respond(self, request: Request, responder: Responder) -> None:
        """Record the arrival of a request and announce in the response."""
        if clock.now() < self.down_until:
            raise ConnectionLost('the upstream has fallen over')
        arrival = self.history.record_arrival(request, responder)
        announcing = AnnouncingResponder(responder, self.history, arrival)
        if self.history.rejects_all:
            await announcing.send(Response(503, [('Not-Executed', '1')]))
            return
        await super().respond(request, announcing)

    async def reject(self, responder: Responder) -> None:
        """Reject a request for lack of room; fall over after too many."""
        await responder.send(Response(503, [('Not-Executed', '1')]))
        now = clock.now()
        self._rejected_at = [at for at in self._rejected_at if at > now - 1]
        self._rejected_at.append(now)
        bears = self.history.announced.bears
        if bears and len(self._rejected_at) > bears:
            self.falls += 1
            self.down_until = now + _DOWN_SECONDS
            self._rejected_at.clear()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run one request, unless it expects another instance."""
        expected_instance = request.headers.get('expect-instance', self.name)
        instance = [('Instance', self.name)]
        if expected_instance != self.name:
            await responder.send(Response(421, instance))
        elif request.path == HEALTH_PATH:
            await responder.send(Response(200, instance))
        elif self.full or self.history.announced.rest_seconds:
            await responder.send(Response(503, [('Not-Executed', '1')]))
        else:
            await self.run_request(request, responder)

    async def run_request(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Run one request and send a complete response."""
        self.record_run(request)
        await curio.sleep(self.run_seconds)
        if self.lose_answers:
            self.lose_answers -= 1
            raise ConnectionLost('the response is lost')
        status = 200
        if self.failures:
            self.failures -= 1
            status = 500
        body = f'{self.name} ran {request.target}'.encode()
        await responder.send(
            Response(status, self.identity_headers(request), body)
        )

    def record_run(self, request: Request) -> None:
        """Count one run."""
        self.headers_seen.append(request.headers)
        self.runs_by_request[request.headers.get('attempt-id', '')] += 1

    def identity_headers(self, request: Request) -> list[tuple[str, str]]:
        """Return the headers that identify a response as this upstream's."""
        headers = [
            ('Attempt-Id', request.headers.get('attempt-id', '')),
            ('Response-Seal', f'seal-of-{self.name}'),
        ]
        self._responses += 1
        if self.closes_every and not self._responses % self.closes_every:
            headers.append(('Connection', 'close'))
        return headers


class PlatformEngineStandIn(PlatformRunnerStandIn):
    """An engine that executes load and unload orders and streams events.

    Orders and reports follow the platform's page on upstreams; what that
    leaves open follows the answers of its engines:

    * An order that is already being carried out is 202 whatever count it
      names, and one that already holds is 200; neither is counted. An unload
      of an adapter that is being loaded holds, and the load goes on.
    * An unload and a replacement wait for the runs of their adapter. Until
      then the engine is busy, shows the adapter and refuses other orders; it
      refuses requests for the adapter as not executed.
    * It loads a few adapters concurrently, which does not make it busy.
    * It restarts without models and adapters.

    :ivar orders: every executed order: holder, fencing number, description
    :ivar accepted: every order that was not refused, including those that
        were not counted
    :ivar refused_orders: number of orders refused because the adapter is
        unknown, or because they name a version and ``refuses_versions`` is
        set
    :ivar refuses_versions: whether to refuse orders that name a version
    :ivar order_seconds: delay before an order is executed
    :ivar dropped_orders: number of next orders to drop
    :ivar lost_order_answers: number of next orders to execute without an
        answer
    :ivar late_orders: number of next orders that arrive ``late_seconds`` after
        their connection was lost
    :ivar crashes: number of load orders that exceeded the adapter slots
    :ivar most_active: requests that it has room for; 0 for no limit
    :ivar break_after: number of events after which the next run is broken
        off; 0 for never
    :ivar starts: number of its start
    :ivar born: time of its start in milliseconds, which it reports
    :ivar misses: number of next requests for an adapter that are refused, as
        it is not ready yet
    :ivar event_count: number of events of a stream
    :ivar event_seconds: interval between two events
    :ivar report_lag_seconds: age of the state that a report shows
    :ivar report_seconds: delay of a report after its state was read
    :ivar linger_seconds: time for which a run outlasts its connection
    :ivar on_load: called with each load of an adapter before it begins
    """

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        slots: int = 2,
    ) -> None:
        """Create an engine that holds the base model and no adapter."""
        super().__init__(network, address, name)
        self.slots = slots
        self.starts = 1
        self.born = _milliseconds()
        self.models = ['base']
        self.resident: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.newest = 1
        self.sequence = 0
        self.orders: list[tuple[str, int, str]] = []
        self.accepted: list[AcceptedOrder] = []
        self.crashes = 0
        self.refused_orders = 0
        self.refuses_versions = False
        self.order_seconds = 0.0
        self.dropped_orders = 0
        self.lost_order_answers = 0
        self.late_orders = 0
        self.late_seconds = 0.0
        self.break_after = 0
        self.misses = 0
        self.event_count = _EVENT_COUNT
        self.event_seconds = _EVENT_INTERVAL_SECONDS
        self.load_seconds = 0.25
        self.most_active = 0
        self.active = 0
        self.report_lag_seconds = 0.0
        self.report_seconds = 0.0
        self.linger_seconds = 0.0
        self.on_load: Callable[[dict[str, Any]], None] | None = None
        self._loading_model = ''
        self._waiting: dict[str, Any] | None = None
        self._runs_by_adapter: Counter[str] = Counter()
        self._states: list[tuple[float, dict[str, Any]]] = []

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a report or an order, or run a request."""
        if request.path == '/report':
            shown = self._report_as_of(clock.now() - self.report_lag_seconds)
            await curio.sleep(self.report_seconds)
            await responder.send(Response.from_json(shown))
        elif request.path == '/order':
            await self._answer_order(request, responder)
        else:
            await super().answer(request, responder)

    async def _answer_order(
        self, request: Request, responder: Responder
    ) -> None:
        await curio.sleep(self.order_seconds)
        order = request.json_object()
        if self.dropped_orders:
            self.dropped_orders -= 1
            raise ConnectionLost('the order is lost')
        if self.late_orders:
            self.late_orders -= 1
            await curio.spawn(
                self._execute_late, order, self.late_seconds, daemon=True
            )
            raise ConnectionLost('the order is late')
        status = await self.execute_order(order)
        if self.lost_order_answers:
            self.lost_order_answers -= 1
            raise ConnectionLost('the answer is lost')
        await responder.send(Response(status))

    async def _execute_late(
        self, order: dict[str, Any], seconds: float
    ) -> None:
        starts = self.starts
        await curio.sleep(seconds)
        if starts == self.starts:
            await self.execute_order(order)

    def restart(self) -> None:
        """Forget what was loaded and ordered, as after a crash."""
        self.starts += 1
        self.born = max(_milliseconds(), self.born + 1)
        self.models.clear()
        self.resident.clear()
        self.loading.clear()
        self.sequence = 0
        self._loading_model = ''
        self._waiting = None
        self._runs_by_adapter.clear()
        self._states.clear()

    def report(self) -> dict[str, Any]:
        """Return the load report of the engine as of now."""
        adapters = [
            f'{name}@{resident_version}'
            for name, resident_version in self.resident.items()
        ]
        models = [{'Name': name, 'Adapters': adapters} for name in self.models]
        return {
            'Models': models,
            'Seq': self.sequence,
            'Busy': self.is_busy(),
            'Coming': [
                f'base/{name}@{version}'
                for name, version in self.loading.items()
            ],
            'born': self.born,
        }

    def occupying(self) -> set[str]:
        """Return the adapters that occupy its slots."""
        return {*self.resident, *self.loading}

    def is_busy(self) -> bool:
        """Return whether an order other than loads of adapters is executed."""
        return bool(self._loading_model) or self._waiting is not None

    def _report_as_of(self, at: float) -> dict[str, Any]:
        """Return the load report as of a time, on the virtual clock."""
        if not self.report_lag_seconds:
            return self.report()
        shown = self._states[0][1] if self._states else self.report()
        for recorded_at, state in self._states:
            if recorded_at <= at:
                shown = state
        return shown

    def _record_state(self) -> None:
        if not self.report_lag_seconds:
            return
        oldest = clock.now() - self.report_lag_seconds
        while len(self._states) > 1 and self._states[1][0] <= oldest:
            self._states.pop(0)
        self._states.append((clock.now(), self.report()))

    async def execute_order(self, order: dict[str, Any]) -> int:
        """Execute an order and return the HTTP status of its response."""
        if not self._states:
            self._record_state()
        if self._is_in_progress(order):
            self._record_accepted(order)
            return 202
        if order.get('Precondition') != self.sequence or self.is_busy():
            return 409
        name = order.get('Adapter', '')
        is_unsupported = self.refuses_versions and 'Version' in order
        lacks_model = bool(name) and not self.models
        if lacks_model and order['Op'] == 'load':
            is_unsupported = True
        if is_unsupported or name.startswith('unknown'):
            self.refused_orders += 1
            return 400
        if self._holds(order):
            self._record_accepted(order)
            return 200
        if order['Op'] == 'load' and len(self.loading) >= _MOST_LOADS:
            return 409
        return await self._begin_order(order)

    def _is_in_progress(self, order: dict[str, Any]) -> bool:
        name = order.get('Adapter', '')
        if order['Op'] == 'load':
            is_model = not name and order['Model'] == self._loading_model
            return is_model or name in self.loading
        waiting = self._waiting or {}
        return bool(name) and (
            waiting.get('Op') == 'unload' and waiting['Adapter'] == name
        )

    def _holds(self, order: dict[str, Any]) -> bool:
        name = order.get('Adapter', '')
        if order['Op'] == 'unload':
            return name not in self.resident or name in self.loading
        if not name:
            return order['Model'] in self.models
        wanted = order.get('Version', self.newest)
        return self.resident.get(name) == wanted

    async def _begin_order(self, order: dict[str, Any]) -> int:
        name = order.get('Adapter', '')
        self.sequence += 1
        self._record_accepted(order)
        description = f'{order["Op"]} {name or order["Model"]}'
        self.orders.append(
            (order['Holder'], order['FencingToken'], description)
        )
        if not name:
            self._loading_model = order['Model']
            self._record_state()
            await curio.spawn(self._load_model, order['Model'], daemon=True)
            return 202
        if self._runs_by_adapter[name]:
            self._waiting = order
            self._record_state()
            return 202
        if order['Op'] == 'unload':
            self._drop(name)
            return 200
        await self._begin_load(order)
        return 202

    def _drop(self, name: str) -> None:
        self.resident.pop(name, None)
        self._record_state()

    async def _begin_load(self, order: dict[str, Any]) -> None:
        name = order['Adapter']
        if self.on_load is not None:
            self.on_load(order)
        if len(self.occupying() | {name}) > self.slots:
            self.crashes += 1
        self.loading[name] = order.get('Version', self.newest)
        self._record_state()
        await curio.spawn(self._load, name, daemon=True)

    def _record_accepted(self, order: dict[str, Any]) -> None:
        holder, fence = order['Holder'], order['FencingToken']
        self.accepted.append(AcceptedOrder(clock.now(), holder, fence))

    async def _load(self, name: str) -> None:
        starts = self.starts
        await curio.sleep(self.load_seconds)
        if starts == self.starts:
            self.resident[name] = self.loading.pop(name)
            self._record_state()

    async def _load_model(self, name: str) -> None:
        starts = self.starts
        await curio.sleep(self.load_seconds)
        if starts == self.starts:
            self._loading_model = ''
            self.models.append(name)
            self._record_state()

    async def run_request(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Stream events, if the expected adapter version is resident."""
        _model, _slash, adapter = request.headers['model'].partition('/')
        if self._waiting is not None and self._waiting['Adapter'] == adapter:
            await responder.send(Response(503, [('Not-Executed', '1')]))
            return
        expected_version = int(request.headers.get('expect-version', 0))
        resident_version = self.resident.get(adapter, 0)
        is_missing = adapter and (
            not resident_version
            or expected_version not in {0, resident_version}
        )
        if is_missing or not self.models:
            await responder.send(Response(421, [('Not-Executed', '1')]))
            return
        if adapter and self.misses:
            self.misses -= 1
            await responder.send(Response(421, [('Not-Executed', '1')]))
            return
        if self.most_active and self.active >= self.most_active:
            await self.reject(responder)
            return
        await self._run(request, responder, adapter)

    async def _run(
        self, request: Request, responder: Responder, adapter: str
    ) -> None:
        starts = self.starts
        self.active += 1
        self._runs_by_adapter[adapter] += 1
        is_complete = False
        try:
            await self._stream(request, responder, adapter)
            is_complete = True
        finally:
            self.active -= 1
            if self.linger_seconds and not is_complete:
                await curio.spawn(self._end_late, adapter, starts, daemon=True)
            else:
                await self._end_run(adapter, starts)

    async def _end_late(self, adapter: str, starts: int) -> None:
        await curio.sleep(self.linger_seconds)
        await self._end_run(adapter, starts)

    async def _end_run(self, adapter: str, starts: int) -> None:
        if starts != self.starts:
            return
        self._runs_by_adapter[adapter] -= 1
        waiting = self._waiting
        is_awaited = waiting is not None and waiting['Adapter'] == adapter
        if not is_awaited or self._runs_by_adapter[adapter]:
            return
        self._waiting = None
        if waiting['Op'] == 'unload':
            self._drop(adapter)
        else:
            await self._begin_load(waiting)

    async def _stream(
        self, request: Request, responder: Responder, adapter: str
    ) -> None:
        self.record_run(request)
        await responder.start(200, self.identity_headers(request))
        last_event_id = int(request.headers.get('last-event-id', 0))
        for number in range(last_event_id + 1, self.event_count + 1):
            await curio.sleep(self.event_seconds)
            if self.break_after and number > last_event_id + self.break_after:
                self.break_after = 0
                raise ConnectionLost('broken off')
            event = f'id: {number}\ndata: {adapter} {number}\n\n'
            await responder.chunk(event.encode())
        await responder.end()
