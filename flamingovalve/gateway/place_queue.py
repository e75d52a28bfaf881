"""Decides which waiting requests get a place and which are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.errors import ErrorKind
from flamingovalve.gateway.admission import QueuePosition
from flamingovalve.gateway.waiting import Waiter, WaitingRequests
from flamingovalve.generated.ids import AdapterId
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.errors import ServingError
    from flamingovalve.gateway.admission import Admission
    from flamingovalve.gateway.dispatch import Choice
    from flamingovalve.gateway.fair_shares import FairShares
    from flamingovalve.gateway.group import EngineGroup
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.generated.messages import PlaceAsk

    Grant = Callable[[Waiter, Choice], Awaitable[None]]

logger = get_logger(__name__)

_SWEEP_SECONDS: Final = 0.05
# Failed attempts after which serving stops. A request that cannot be served
# is mostly followed by others that cannot be served either.
_MAX_FAILED_ATTEMPTS: Final = 3
_NO_ADAPTER: Final = AdapterId('')
# Requests at either end of the queue that one sweep examines.
_MAX_SWEPT_REQUESTS: Final = 12


class PlaceQueue:
    """The requests that wait for a place of one group.

    The cost of an event does not grow with the number of waiting requests, so
    bursts beyond the engines' capacity don't slow the owner down.
    """

    def __init__(
        self,
        engines: EngineGroup,
        grant: Grant,
        shares: FairShares,
        admission: Admission,
    ) -> None:
        """Start without waiting requests.

        :param grant: called to give a place to a request that was removed
            from the queue
        :param shares: order of service while several workspaces wait
        :param admission: estimates waits
        """
        self.shares = shares
        self.admission = admission
        self.returns = admission.returns
        self._engines = engines
        self._grant_place = grant
        self._waiting = WaitingRequests(shares)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def state_dump(self) -> dict[str, Any]:
        """Return the shares and what refused callers were told."""
        returns = self.returns
        return {
            'leads': self.shares.state_dump(),
            'refused_callers': 0 if returns is None else len(returns),
            'return_share': 0 if returns is None else returns.return_share,
        }

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        self._waiting.remove(waiter)

    async def refuse_all(self, refusal: ServingError) -> None:
        """Refuse every waiting request."""
        for waiter in list(self._waiting):
            await self.refuse(waiter, refusal)

    def enqueue(self, waiter: Waiter) -> None:
        """Add a request to the queue."""
        ask = waiter.ask
        waiting = self._waiting
        self._recognise_return(waiter)
        waiter.place_deadline = self.admission.place_deadline(
            ask,
            self._position_of_new(waiter),
            self._engines.candidates(ask),
        )
        if not waiting.in_time_count():
            self.admission.in_time.restart()
        if not waiting.late_count:
            self.admission.late.restart()
        waiting.add(waiter)

    async def serve_waiting(self) -> None:
        """Give the available places to waiting requests, in turn.

        Runs after every ask, end of a request and load, so it examines no
        more waiting requests than it can serve, plus a few failures.
        """
        for waiter in self._waiting.demote_overdue():
            await self.refuse_if_too_late(waiter)
        if self._engines.cold_start.is_active():
            await self._serve_most_wanted()
            return
        failures = 0
        while failures < _MAX_FAILED_ATTEMPTS and self._may_serve_more():
            waiters = self._waiting.first(failures + 1)
            if len(waiters) <= failures:
                return
            if not await self._try_to_grant(waiters[failures]):
                failures += 1

    async def _serve_most_wanted(self) -> None:
        """Load the adapters that most requests wait for, in the first seconds.

        Requests whose adapter an engine holds are served first; no load is
        needed for them.
        """
        for engine in self._engines.usable():
            await self.fill(engine)
        failures = 0
        for name in self._rank_adapters():
            if failures >= _MAX_FAILED_ATTEMPTS or not self._may_serve_more():
                return
            waiters = self._waiting.of_adapter(name)
            if waiters and not await self._try_to_grant(waiters[0]):
                failures += 1

    def _rank_adapters(self) -> list[AdapterId]:
        cold_start = self._engines.cold_start
        self.admission.assumed_interval = cold_start.load_interval()
        return cold_start.ranked(
            self._waiting,
            self._engines.ledgers(),
            self.shares.request_values(),
        )

    def _may_serve_more(self) -> bool:
        if not self._waiting:
            return False
        return self._engines.has_openings()

    async def _try_to_grant(self, waiter: Waiter) -> bool:
        """Give a place to one request and to others of the adapter it loads."""
        waiter.update_times()
        choice = self._engines.choose(waiter.ask)
        if choice is None:
            return False
        await self._grant(waiter, choice)
        if choice.load:
            await self.grant_same_adapter(waiter.ask.adapter)
        return True

    async def grant_same_adapter(self, adapter: AdapterId) -> None:
        """Give places to the requests that wait for an available adapter."""
        if self.shares.is_active():
            await self._grant_by_share({adapter})
            return
        for waiter in self._waiting.of_adapter(adapter):
            waiter.update_times()
            choice = self._engines.choose(waiter.ask)
            if choice is None and waiter.ask.pins_software:
                # Other requests may use engines of other versions.
                continue
            if choice is None or choice.load:
                return
            await self._grant(waiter, choice)

    async def fill(self, engine: EngineLedger) -> None:
        """Serve waiting requests after a full engine has a place again."""
        if self.shares.is_active():
            await self._grant_by_share({*engine.held, _NO_ADAPTER}, engine)
            return
        for name in list(engine.held):
            if engine.is_full():
                return
            await self.grant_same_adapter(name)

    async def _grant_by_share(
        self,
        adapters: set[AdapterId],
        engine: EngineLedger | None = None,
    ) -> None:
        """Give places to requests for available adapters in fair shares.

        :param adapters: adapters to serve; those without a place are removed
        :param engine: stop once it is full
        """
        while engine is None or not engine.is_full():
            waiter = self.shares.first_of(adapters)
            if waiter is None:
                return
            waiter.update_times()
            choice = self._engines.choose(waiter.ask)
            if choice is None or choice.load:
                adapters.discard(waiter.ask.adapter)
            else:
                await self._grant(waiter, choice)

    def must_queue(self, ask: PlaceAsk) -> bool:
        """Return whether a waiting request should get the place of a new one.

        A request waits for a resident adapter if every engine that holds it
        was full or its prefill backlog too long. The place is left to it only
        if it can use it now, so that no place stays free.
        """
        first = self.shares.first_before(ask) if self._waiting else None
        if first is None:
            return False
        first.update_times()
        choice = self._engines.choose(first.ask)
        return choice is not None and choice.is_ready()

    async def serve_copies(self, engine: EngineLedger) -> None:
        """Serve requests that wait for the slot of an engine with a copy.

        Not while several workspaces wait: most of these requests are of the
        workspace that sends most, which would get more than its share of the
        slots.
        """
        budget = self._engines.budget
        if budget is None or not budget.is_awaited(engine):
            return
        if self.shares.is_active():
            return
        for _load in range(_MAX_FAILED_ATTEMPTS):
            if not engine.can_load_adapter(self._engines.popularity):
                return
            name = budget.take_waiting(engine)
            if name is None:
                return
            waiter = self._waiting.first_of_adapter(name)
            if waiter is not None:
                await self._try_to_grant(waiter)

    def record_immediate(self, ask: PlaceAsk) -> None:
        """Record that a request got a place without waiting."""
        if self._waiting:
            self.shares.charge(ask)
        if self.returns:
            returned = self.returns.arrival_of(ask) is not None
            self._engines.counts.returned += returned

    async def sweep_forever(self) -> None:
        """Sweep the queue periodically until cancelled."""
        while True:
            await curio.sleep(_SWEEP_SECONDS)
            if self._waiting:
                await self._sweep()

    async def _sweep(self) -> None:
        """Serve or refuse some waiting requests without a triggering event.

        No event reports that a prefill backlog is empty, that an engine's
        pause is over, or that an engine counted in estimates is lost.
        """
        self.admission.assumed_interval = 0
        if self._engines.cold_start.is_active():
            await self.serve_waiting()
        for waiter in self._waiting.first(_MAX_SWEPT_REQUESTS):
            if waiter in self._waiting:
                await self._try_to_grant(waiter)
        for waiter in self._waiting.first(_MAX_SWEPT_REQUESTS):
            await self.refuse_if_too_late(waiter)
        for waiter in self._waiting.last(_MAX_SWEPT_REQUESTS):
            await self.refuse_if_too_late(waiter)

    async def refuse_if_too_late(self, waiter: Waiter) -> None:
        """Refuse a waiting request that is not expected to be in time."""
        if waiter not in self._waiting:
            return
        waiter.update_times()
        engines = self._engines.candidates(waiter.ask)
        if self._engines.cold_start.awaits_reports(engines):
            return
        refusal = self.admission.find_refusal(
            waiter.ask, self._position_of(waiter), engines
        )
        if refusal is None and self._engines.budget is not None:
            refusal = self._engines.budget.find_refusal(waiter.ask, engines)
        if refusal is not None:
            await self.refuse(waiter, refusal)

    def _position_of(self, waiter: Waiter) -> QueuePosition:
        if self._engines.cold_start.is_active():
            self._rank_adapters()
            rank = self._engines.cold_start.rank_of(waiter.ask.adapter)
            return QueuePosition(rank)
        ahead = self._waiting.ahead_of(waiter)
        if waiter.turn.is_late:
            ahead -= self._waiting.in_time_count()
        own_wait = 0.0
        if self.shares.is_active():
            own_wait = self.shares.own_wait(waiter)
        return QueuePosition(
            ahead,
            waiter.turn.is_late,
            own_wait=own_wait,
            own_interval=self.shares.own_interval(waiter.ask),
        )

    def _position_of_new(self, waiter: Waiter) -> QueuePosition:
        """Return the position of a request among those still in time."""
        ask = waiter.ask
        due_at = waiter.due_at()
        ahead = self.shares.ahead_of_new(ask, due_at)
        if ahead is None:
            return QueuePosition(self._waiting.in_time_count())
        own_wait = self.shares.own_wait_of_new(ask, due_at)
        return QueuePosition(ahead, own_wait=own_wait)

    def _recognise_return(self, waiter: Waiter) -> None:
        """Let a refused request that returns keep its first arrival time.

        The order of arrival stays as it is if only one workspace waits.
        """
        if self.returns is None:
            return
        if not self._waiting:
            self.returns.forget_promises()
        arrived_at = self.returns.arrival_of(waiter.ask)
        if arrived_at is None:
            return
        self._engines.counts.returned += 1
        if self.shares.ahead_of_new(waiter.ask, 0) is not None:
            waiter.arrived_at = arrived_at

    async def refuse(self, waiter: Waiter, refusal: ServingError) -> None:
        """Refuse a request that waits or whose load has failed."""
        ahead = self._waiting.ahead_of(waiter)
        self._waiting.remove(waiter)
        self._engines.counts.refused += 1
        note(
            logger,
            'refused',
            id=waiter.ask.request_id,
            adapter=waiter.ask.adapter,
            workspace=waiter.ask.workspace,
            reason=refusal.message,
            ahead=ahead,
            late=waiter.turn.is_late,
            waiting=len(self),
            patience=round(waiter.ask.patience, 3),
            waited=round(clock.now() - waiter.asked_at, 3),
            retry_after=round(refusal.retry_after or 0, 3),
            returned=waiter.arrived_at is not None,
        )
        self._remember(waiter, refusal)
        waiter.refusal = refusal
        await waiter.settled.set()

    def _remember(self, waiter: Waiter, refusal: ServingError) -> None:
        if self.returns is None or refusal.kind is not ErrorKind.OVERLOADED:
            return
        arrived_at = waiter.arrived_at
        if arrived_at is None:
            arrived_at = waiter.asked_at
        self.returns.remember(waiter.ask, arrived_at, refusal.retry_after or 0)

    async def _grant(self, waiter: Waiter, choice: Choice) -> None:
        by_share = self.shares.is_active()
        if not self._waiting.remove(waiter):
            return
        self._engines.counts.granted_by_share += by_share
        place_interval = self.admission.in_time
        if waiter.turn.is_late:
            place_interval = self.admission.late
        place_interval.record_place()
        self.shares.record_grant(waiter, is_load=choice.load)
        await self._grant_place(waiter, choice)
