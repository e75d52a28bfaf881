"""Decides what one engine runs, loads and evicts next.

One scheduler runs at the owner of each engine. All requests for the engine
pass through it, so it knows exactly which adapters are in use. A slot holds
one adapter; a seat is one position of the engine's batch.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.engines.backoff import LoadBackoffs
from flamingovalve.engines.queue import Ticket, TicketQueue
from flamingovalve.engines.residents import Resident, Residents, ResidentState
from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.util import clock
from flamingovalve.util.rates import SmoothedSeconds

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.engines.store import StoreShare
    from flamingovalve.generated.settings import (
        Engine,
        LimitSettings,
        SchedulingSettings,
    )

_INITIAL_LOAD_SECONDS: Final = 0.25
_INITIAL_SERVICE_SECONDS: Final = 1.0
_STARVATION_CHECK_INTERVAL: Final = 4


@dataclass
class SchedulerCounts:
    """Counters of a scheduler since it started.

    ``busy_seat_seconds`` over ``wanted_seat_seconds`` is the batch
    efficiency: seats used over seats that the running and waiting requests
    could have used.
    """

    dispatched: int = 0
    refused: int = 0
    stalled: int = 0
    stall_seconds: float = 0
    loads: int = 0
    failed_loads: int = 0
    evictions: int = 0
    busy_seat_seconds: float = 0
    wanted_seat_seconds: float = 0


@dataclass(slots=True)
class LoadOrder:
    """A decision to load an adapter.

    :ivar name: the adapter to load
    :ivar victim: the adapter to evict first; None if a slot is free
    """

    name: str
    victim: str | None


class EngineScheduler:
    """Schedules the queue, the slots and the batch of one engine."""

    def __init__(
        self,
        engine: Engine,
        scheduling: SchedulingSettings,
        limits: LimitSettings,
        store: StoreShare,
        start_load: Callable[[LoadOrder], Awaitable[object]],
    ) -> None:
        """Schedule ``engine``; start loads with ``start_load``."""
        self.engine = engine
        self.counts = SchedulerCounts()
        self.queue = TicketQueue(scheduling.starvation_seconds)
        self.residents = Residents(engine.slots, scheduling.eviction)
        self.running = 0
        self.loads = SmoothedSeconds(_INITIAL_LOAD_SECONDS)
        self.services = SmoothedSeconds(_INITIAL_SERVICE_SECONDS)
        self.may_dispatch: Callable[[], bool] = _always_dispatch
        self.may_evict: Callable[[Resident], bool] = _always_evict
        self.refusal: Callable[[], ServingError | None] = _no_refusal
        self.dispatch_listener: Callable[[Ticket], None] = _ignore_dispatch
        self._settings = scheduling
        self._limits = limits
        self._store = store
        self._start_load = start_load
        self._isolated = False
        self._draining: set[str] = set()
        self._backoffs = LoadBackoffs()
        self._seat_seconds_updated_at = clock.now()

    async def enter(self, ticket: Ticket) -> None:
        """Queue a request and wait until it may be sent to the engine.

        :raises ServingError: if it is refused; it has not run then
        """
        self._check_admission(ticket)
        self.residents.popularity.add(ticket.name)
        self._update_seat_seconds()
        self.queue.add(ticket)
        try:
            await self._wait_for_seat(ticket)
        except BaseException:
            await self._withdraw(ticket)
            raise
        if ticket.refused is not None:
            self.counts.refused += 1
            raise ticket.refused

    async def leave(self, ticket: Ticket, *, served: bool) -> None:
        """Release the seat and the pin of a dispatched request.

        :param served: whether the request succeeded, so that its duration
            counts for the mean service time
        """
        self._update_seat_seconds()
        self.running -= 1
        if ticket.isolated:
            self._isolated = False
        if ticket.resident is not None:
            ticket.resident.unpin()
        if served:
            self.services.add(clock.now() - ticket.dispatched_at)
        await self.schedule()

    async def schedule(self) -> None:
        """Dispatch ready requests and start the loads that others wait for."""
        await self._dispatch_all()
        previously_draining = self._draining
        await self._start_loads()
        if previously_draining - self._draining:
            await self._dispatch_all()

    async def load_ended(
        self,
        order: LoadOrder,
        error: ServingError | None,
        seconds: float,
    ) -> None:
        """Record the outcome of a load that was started."""
        self._store.ended(seconds if error is None else None)
        if order.name in self.residents.by_name:
            await self._apply_load_outcome(order, error, seconds)
        await self.schedule()

    async def evict_all(self) -> None:
        """Remove the adapters that the engine lost when it restarted.

        Adapters whose load is in progress stay until the load has ended.
        """
        for resident in list(self.residents.by_name.values()):
            if resident.state is not ResidentState.LOADING:
                self.residents.remove(resident.name)

    async def refuse_all(self, error: ServingError) -> None:
        """Refuse every waiting request."""
        for ticket in list(self.queue):
            await self._refuse(ticket, error)

    def _check_admission(self, ticket: Ticket) -> None:
        if len(self.queue) >= self._limits.queue_requests:
            self.counts.refused += 1
            raise _queue_full(self.engine.id, self.services.mean)
        refusal = self.refusal()
        if refusal is not None:
            raise refusal
        self._check_backoff(ticket.name)
        remaining = ticket.deadline - clock.now()
        wait = self._estimate_wait(ticket)
        if wait + self.services.low() > remaining:
            # A request that cannot meet its deadline would only delay others.
            self.counts.refused += 1
            raise _cannot_meet_deadline(wait, remaining)

    def _check_backoff(self, name: str) -> None:
        # During the pause after a failed load the adapter is not loaded, so
        # requests for it are refused and can be retried on another engine.
        pause = self._backoffs.remaining_seconds(name)
        if pause > 0 and name not in self.residents.by_name:
            self.counts.refused += 1
            raise _load_failed(name, pause)

    def _estimate_wait(self, ticket: Ticket) -> float:
        ticket.entered_at = clock.now()
        seat_count = max(self.engine.batch, 1)
        requests_before = self.queue.count_before(ticket)
        if self.running < seat_count and not requests_before:
            return 0
        return requests_before / seat_count * self.services.mean

    async def _wait_for_seat(self, ticket: Ticket) -> None:
        remaining = max(ticket.deadline - clock.now(), 0)
        try:
            async with curio.timeout_after(remaining):
                await self.schedule()
                await ticket.decided.wait()
        except curio.TaskTimeout as timeout:
            raise _deadline_passed() from timeout

    async def _withdraw(self, ticket: Ticket) -> None:
        self._update_seat_seconds()
        if not self.queue.remove(ticket) and ticket.dispatched_at >= 0:
            await self.leave(ticket, served=False)

    async def _refuse(self, ticket: Ticket, error: ServingError) -> None:
        if self.queue.remove(ticket):
            ticket.refused = error
            await ticket.decided.set()

    async def _dispatch_all(self) -> None:
        while await self._dispatch_one():
            self._update_seat_seconds()

    async def _dispatch_one(self) -> bool:
        if self.running >= self.engine.batch or self._isolated:
            return False
        if not self.may_dispatch():
            return False
        ticket = self._next_ticket()
        if ticket is None:
            return False
        if ticket.deadline - clock.now() < self.services.low():
            # The request would be cut off at its deadline. Under overload,
            # all seats could end up with requests that cannot complete.
            await self._refuse(ticket, _deadline_passed())
            return True
        if ticket.isolated and self.running:
            # An isolated request waits until no other request runs. Nothing
            # is dispatched before it, or a busy engine would never be idle.
            return False
        await self._dispatch(ticket)
        return True

    def _next_ticket(self) -> Ticket | None:
        # Every few dispatches, a starved request goes first; otherwise a
        # steady stream of priority requests would block ordinary ones
        # forever. Raising the priority of starved requests instead would
        # cancel all priorities under overload.
        if self.counts.dispatched % _STARVATION_CHECK_INTERVAL == 0:
            starved = self.queue.starved(self._is_ready)
            if starved is not None:
                return starved
        return self.queue.first(self._is_ready)

    def _is_ready(self, name: str) -> bool:
        ready = self.residents.ready(name) is not None
        return ready and name not in self._draining

    async def _dispatch(self, ticket: Ticket) -> None:
        self._update_seat_seconds()
        self.queue.remove(ticket)
        ticket.resident = self.residents.by_name[ticket.name]
        ticket.resident.pin()
        ticket.dispatched_at = clock.now()
        self.running += 1
        self._isolated = ticket.isolated
        self.counts.dispatched += 1
        if ticket.stalled:
            self.counts.stalled += 1
            self.counts.stall_seconds += ticket.stall_seconds
        self.dispatch_listener(ticket)
        await ticket.decided.set()

    async def _start_loads(self) -> None:
        wanted = self._wanted_loads()
        blocked_names = []
        started = 0
        for name in wanted:
            if not self.may_dispatch():
                break
            victim = self._choose_victim()
            if victim is None and not self.residents.has_free_slot():
                blocked_names.append(name)
            elif self._store.start():
                await self._load(name, victim)
                started += 1
        self._store.record_waiting(self, len(wanted) - started)
        # Drain only for loads that lack a slot. Holding requests back for a
        # load that waits for the store would idle the engine.
        self._drain_for(blocked_names)

    def _drain_for(self, blocked_names: list[str]) -> None:
        """Stop dispatching to adapters whose slots more urgent ones need.

        While every slot is in use, an adapter that always has another
        request queued would keep its slot forever, and an urgent request
        for an adapter without a slot would wait for ordinary requests.

        :param blocked_names: adapters to load for which there is no slot,
            the most urgent first
        """
        previously_draining = self._draining
        self._draining = set()
        if not self._settings.preemption:
            return
        for name in blocked_names:
            chosen = self._next_to_drain(name, previously_draining)
            if chosen is not None:
                self._draining.add(chosen.name)

    def _next_to_drain(
        self, name: str, previously_draining: set[str]
    ) -> Resident | None:
        key = self._slot_urgency(name)
        candidates = [
            resident
            for resident in self.residents.by_name.values()
            if resident.state is ResidentState.READY
            and resident.name not in self._draining
            and self._may_be_drained(resident, key)
        ]
        return min(
            candidates,
            key=lambda resident: (
                resident.name not in previously_draining,
                resident.pins,
                self.residents.retention_value(resident),
            ),
            default=None,
        )

    def _may_be_drained(
        self,
        resident: Resident,
        key: tuple[int, float],
    ) -> bool:
        if not self.queue.waiting(resident.name):
            return True
        # Draining for an adapter of the same priority costs a load and
        # leaves seats empty while the slot is drained: it lost 3 to 5 % of
        # the batch and reduced no waiting time.
        return self._slot_urgency(resident.name)[0] > key[0]

    def _wanted_loads(self) -> list[str]:
        missing = [
            name
            for name in self.queue.names()
            if name not in self.residents.by_name
        ]
        for name in missing:
            self.queue.mark_stalled(name)
        wanted = [
            name
            for name in missing
            if not self._backoffs.remaining_seconds(name)
        ]
        ordered = sorted(wanted, key=self._slot_urgency)
        if self.counts.loads % _STARVATION_CHECK_INTERVAL == 0:
            starved = self.queue.starved(wanted.__contains__)
            if starved is not None:
                ordered.remove(starved.name)
                ordered.insert(0, starved.name)
        return ordered

    def _slot_urgency(self, name: str) -> tuple[int, float]:
        """Return the sort key of an adapter's need of a slot.

        The smallest key goes first. One load serves all requests that wait
        for the adapter. Each further request counts as additional seconds
        of waiting, so that a slot goes to the adapter that fills most seats.
        """
        rank, entered_at = self.queue.urgency(self.queue.head(name))
        others = len(self.queue.waiting(name)) - 1
        return rank, entered_at - self._settings.group_seconds * others

    async def _load(self, name: str, victim: Resident | None) -> None:
        if victim is not None:
            victim.state = ResidentState.UNLOADING
            self.counts.evictions += 1
        self.residents.add(name, ResidentState.LOADING)
        self.counts.loads += 1
        order = LoadOrder(name, victim.name if victim else None)
        await self._start_load(order)

    def _choose_victim(self) -> Resident | None:
        """Return the adapter to evict.

        None if a slot is free or no adapter may be evicted.
        """
        if self.residents.has_free_slot():
            return None
        excluded = [
            name for name in self.queue.names() if name not in self._draining
        ]
        return self.residents.victim(excluded, self.may_evict)

    async def _apply_load_outcome(
        self,
        order: LoadOrder,
        error: ServingError | None,
        seconds: float,
    ) -> None:
        if error is None:
            self.loads.add(seconds)
            self._backoffs.clear(order.name)
            self.residents.by_name[order.name].mark_ready()
            for ticket in self.queue.waiting(order.name):
                ticket.stall_seconds = clock.now() - ticket.entered_at
            return
        self.residents.remove(order.name)
        self.counts.failed_loads += 1
        self._backoffs.record_failure(order.name)
        for ticket in list(self.queue.waiting(order.name)):
            await self._refuse(ticket, error)

    def _update_seat_seconds(self) -> None:
        now = clock.now()
        elapsed = now - self._seat_seconds_updated_at
        self._seat_seconds_updated_at = now
        busy = min(self.running, self.engine.batch)
        wanted = min(self.running + len(self.queue), self.engine.batch)
        self.counts.busy_seat_seconds += busy * elapsed
        self.counts.wanted_seat_seconds += wanted * elapsed


def _always_dispatch() -> bool:
    return True


def _ignore_dispatch(_ticket: Ticket) -> None:
    """Do nothing: default listener."""


def _no_refusal() -> None:
    """Refuse no request."""


def _always_evict(_resident: Resident) -> bool:
    return True


def _load_failed(name: str, pause: float) -> ServingError:
    return ServingError(
        ErrorKind.LOAD_FAILED,
        f'adapter {name!r} failed to load and is retried soon; check that '
        'the weight store has it',
        retry_after=pause,
    )


def _queue_full(engine: str, seconds: float) -> ServingError:
    return ServingError(
        ErrorKind.OVERLOADED,
        f'too many requests wait for engine {engine!r}; retry later',
        retry_after=seconds,
    )


def _cannot_meet_deadline(wait: float, remaining: float) -> ServingError:
    return ServingError(
        ErrorKind.DEADLINE_TOO_SHORT,
        f'the estimated wait is {wait:.1f} s and the deadline is in '
        f'{remaining:.1f} s; retry later or set a later deadline',
        retry_after=wait,
    )


def _deadline_passed() -> ServingError:
    return ServingError(
        ErrorKind.DEADLINE_PASSED,
        'the deadline passed while the request was queued; it was not run',
        retry_after=1,
    )
