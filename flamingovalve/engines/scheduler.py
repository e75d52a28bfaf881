"""Decides what one engine runs next, loads next and evicts next.

One scheduler runs at the owner of each engine. All requests for the engine
pass through it, so it knows exactly which adapters are in use.
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

_LOAD_GUESS_SECONDS: Final = 0.25
_SERVICE_GUESS_SECONDS: Final = 1.0
_FAIR_TURNS: Final = 4


@dataclass
class SchedulerCounts:
    """What a scheduler did since it started.

    ``busy_seat_seconds`` over ``wanted_seat_seconds`` is the batch
    efficiency: seats used over seats that could have been used while work
    was waiting.
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

    :ivar victim: the adapter that gives up its slot; none if one is free
    """

    name: str
    victim: str | None


class EngineScheduler:
    """Queue, slots and batch of one engine."""

    def __init__(
        self,
        engine: Engine,
        scheduling: SchedulingSettings,
        limits: LimitSettings,
        store: StoreShare,
        start_load: Callable[[LoadOrder], Awaitable[object]],
    ) -> None:
        """Schedule ``engine``; carry out loads by ``start_load``."""
        self.engine = engine
        self.counts = SchedulerCounts()
        self.queue = TicketQueue(scheduling.starvation_seconds)
        self.residents = Residents(engine.slots, scheduling.eviction)
        self.running = 0
        self.loads = SmoothedSeconds(_LOAD_GUESS_SECONDS)
        self.services = SmoothedSeconds(_SERVICE_GUESS_SECONDS)
        self.may_dispatch: Callable[[], bool] = _always
        self.may_evict: Callable[[Resident], bool] = _always_evict
        self.refusal: Callable[[], ServingError | None] = _no_refusal
        self.dispatch_listener: Callable[[Ticket], None] = _no_listener
        self._settings = scheduling
        self._limits = limits
        self._store = store
        self._start_load = start_load
        self._isolated = False
        self._draining: set[str] = set()
        self._backoffs = LoadBackoffs()
        self._accounted_at = clock.now()

    async def enter(self, ticket: Ticket) -> None:
        """Wait until the request may be sent to the engine.

        :raises ServingError: when it is refused; it has not run then
        """
        self._check_admission(ticket)
        self.residents.popularity.add(ticket.name)
        self._account()
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
        """Give back the seat of a dispatched request and its pin.

        :param served: the request ended well; its duration is typical
        """
        self._account()
        self.running -= 1
        if ticket.isolated:
            self._isolated = False
        if ticket.resident is not None:
            ticket.resident.unpin()
        if served:
            self.services.add(clock.now() - ticket.granted_at)
        await self.pump()

    async def pump(self) -> None:
        """Dispatch what can be dispatched and load what is waited for."""
        await self._dispatch_all()
        before = self._draining
        await self._start_loads()
        if before - self._draining:
            await self._dispatch_all()

    async def load_ended(
        self,
        order: LoadOrder,
        error: ServingError | None,
        seconds: float,
    ) -> None:
        """Take the outcome of a load that was started."""
        self._store.ended(seconds if error is None else None)
        if order.name in self.residents.by_name:
            await self._place(order, error, seconds)
        await self.pump()

    async def evict_all(self) -> None:
        """Forget every adapter: the engine restarted with empty slots."""
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
        wait = self._wait_of(ticket)
        if wait + self.services.low() > remaining:
            # Work that cannot be done in time would only delay the rest.
            self.counts.refused += 1
            raise _cannot_meet_deadline(wait, remaining)

    def _check_backoff(self, name: str) -> None:
        # A load that has just failed is not tried yet; whoever asks for it
        # meanwhile had better try another engine than wait here.
        pause = self._backoffs.remaining(name)
        if pause > 0 and name not in self.residents.by_name:
            self.counts.refused += 1
            raise _load_failed(name, pause)

    def _wait_of(self, ticket: Ticket) -> float:
        ticket.entered_at = clock.now()
        seats = max(self.engine.batch, 1)
        ahead = self.queue.ahead_of(ticket)
        if self.running < seats and not ahead:
            return 0
        return ahead / seats * self.services.mean

    async def _wait_for_seat(self, ticket: Ticket) -> None:
        remaining = max(ticket.deadline - clock.now(), 0)
        try:
            async with curio.timeout_after(remaining):
                await self.pump()
                await ticket.called.wait()
        except curio.TaskTimeout as late:
            raise _deadline_passed() from late

    async def _withdraw(self, ticket: Ticket) -> None:
        self._account()
        if not self.queue.remove(ticket) and ticket.granted_at >= 0:
            await self.leave(ticket, served=False)

    async def _refuse(self, ticket: Ticket, error: ServingError) -> None:
        if self.queue.remove(ticket):
            ticket.refused = error
            await ticket.called.set()

    async def _dispatch_all(self) -> None:
        while await self._dispatch_one():
            self._account()

    async def _dispatch_one(self) -> bool:
        if self.running >= self.engine.batch or self._isolated:
            return False
        if not self.may_dispatch():
            return False
        ticket = self._next_ticket()
        if ticket is None:
            return False
        if ticket.deadline - clock.now() < self.services.low():
            # It would take a seat and be cut off at its deadline: under an
            # overload all seats would end up working for nobody.
            await self._refuse(ticket, _deadline_passed())
            return True
        if ticket.isolated and self.running:
            # It waits until the engine is empty; nothing overtakes it, or
            # a busy engine would never be empty.
            return False
        await self._dispatch(ticket)
        return True

    def _next_ticket(self) -> Ticket | None:
        # Without a turn of their own now and then, a steady stream of
        # priority requests would leave ordinary ones waiting for good. If
        # they were simply promoted, an overload would undo all priorities.
        if self.counts.dispatched % _FAIR_TURNS == 0:
            starved = self.queue.starved(self._is_ready)
            if starved is not None:
                return starved
        return self.queue.first(self._is_ready)

    def _is_ready(self, name: str) -> bool:
        ready = self.residents.ready(name) is not None
        return ready and name not in self._draining

    async def _dispatch(self, ticket: Ticket) -> None:
        self._account()
        self.queue.remove(ticket)
        ticket.resident = self.residents.by_name[ticket.name]
        ticket.resident.pin()
        ticket.granted_at = clock.now()
        self.running += 1
        self._isolated = ticket.isolated
        self.counts.dispatched += 1
        if ticket.stalled:
            self.counts.stalled += 1
            self.counts.stall_seconds += ticket.stall_seconds
        self.dispatch_listener(ticket)
        await ticket.called.set()

    async def _start_loads(self) -> None:
        wanted = self._wanted_loads()
        slotless = []
        started = 0
        for name in wanted:
            if not self.may_dispatch():
                break
            victim = self._choose_victim()
            if victim is None and not self.residents.has_free_slot():
                slotless.append(name)
            elif self._store.start():
                await self._load(name, victim)
                started += 1
        self._store.waiting(self, len(wanted) - started)
        # Only for want of a slot: to hold requests back while it is the
        # store that keeps a load waiting would idle the engine for nothing.
        self._drain_for(slotless)

    def _drain_for(self, stuck: list[str]) -> None:
        """Stop feeding adapters whose slots more urgent ones wait for.

        While every slot is in use, an adapter that always has another
        request waiting would keep its slot for good, and an urgent request
        for an adapter without one would wait behind ordinary ones.
        """
        before = self._draining
        self._draining = set()
        if not self._settings.preemption:
            return
        for name in stuck:
            chosen = self._next_to_drain(name, before)
            if chosen is not None:
                self._draining.add(chosen.name)

    def _next_to_drain(self, name: str, before: set[str]) -> Resident | None:
        key = self._slot_urgency(name)
        candidates = [
            resident
            for resident in self.residents.by_name.values()
            if resident.state is ResidentState.READY
            and resident.name not in self._draining
            and self._gives_way(resident, key)
        ]
        return min(
            candidates,
            key=lambda resident: (
                resident.name not in before,
                resident.pins,
                self.residents.worth(resident),
            ),
            default=None,
        )

    def _gives_way(
        self,
        resident: Resident,
        key: tuple[int, float],
    ) -> bool:
        if not self.queue.waiting(resident.name):
            return True
        # Among equals it is not worth the load and the seats that empty
        # meanwhile: trials lost 3 to 5 % of the batch and gained no time.
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
            name for name in missing if not self._backoffs.remaining(name)
        ]
        ordered = sorted(wanted, key=self._slot_urgency)
        if self.counts.loads % _FAIR_TURNS == 0:
            starved = self.queue.starved(wanted.__contains__)
            if starved is not None:
                ordered.remove(starved.name)
                ordered.insert(0, starved.name)
        return ordered

    def _slot_urgency(self, name: str) -> tuple[int, float]:
        """Give the sort key of a claim to a slot; smaller goes first.

        One load serves everyone who waits for that adapter. Each further
        request counts like some seconds of waiting, so that a slot goes to
        the adapter that fills most seats.
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
        """Give the adapter to evict; none if a slot is free or none may go."""
        if self.residents.has_free_slot():
            return None
        kept = [
            name for name in self.queue.names() if name not in self._draining
        ]
        return self.residents.victim(kept, self.may_evict)

    async def _place(
        self,
        order: LoadOrder,
        error: ServingError | None,
        seconds: float,
    ) -> None:
        if error is None:
            self.loads.add(seconds)
            self._backoffs.clear(order.name)
            self.residents.by_name[order.name].become_ready()
            for ticket in self.queue.waiting(order.name):
                ticket.stall_seconds = clock.now() - ticket.entered_at
            return
        self.residents.remove(order.name)
        self.counts.failed_loads += 1
        self._backoffs.failed(order.name)
        for ticket in list(self.queue.waiting(order.name)):
            await self._refuse(ticket, error)

    def _account(self) -> None:
        moment = clock.now()
        elapsed = moment - self._accounted_at
        self._accounted_at = moment
        busy = min(self.running, self.engine.batch)
        wanted = min(self.running + len(self.queue), self.engine.batch)
        self.counts.busy_seat_seconds += busy * elapsed
        self.counts.wanted_seat_seconds += wanted * elapsed


def _always() -> bool:
    return True


def _no_listener(_ticket: Ticket) -> None:
    """Stand for a listener until there is one."""


def _no_refusal() -> None:
    """Take every request."""


def _always_evict(_resident: Resident) -> bool:
    return True


def _load_failed(name: str, pause: float) -> ServingError:
    return ServingError(
        ErrorKind.LOAD_FAILED,
        f'adapter {name!r} did not load and is tried again soon; see whether '
        'the weight store has it',
        retry_after=pause,
    )


def _queue_full(engine: str, seconds: float) -> ServingError:
    return ServingError(
        ErrorKind.OVERLOADED,
        f'too many requests wait for engine {engine!r}; come back later',
        retry_after=seconds,
    )


def _cannot_meet_deadline(wait: float, remaining: float) -> ServingError:
    return ServingError(
        ErrorKind.DEADLINE_TOO_SHORT,
        f'the wait is about {wait:.1f} s and the deadline is in '
        f'{remaining:.1f} s; come back later or allow more time',
        retry_after=wait,
    )


def _deadline_passed() -> ServingError:
    return ServingError(
        ErrorKind.DEADLINE_PASSED,
        'the deadline passed while the request waited; it was not run',
        retry_after=1,
    )
