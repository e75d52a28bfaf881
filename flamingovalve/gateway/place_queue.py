"""Decides who of those that wait gets the next place, and who gets none."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.gateway.admission import Admission, Line
from flamingovalve.gateway.waiting import Waiter, WaitingRequests
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.errors import ServingError
    from flamingovalve.gateway.dispatch import Choice
    from flamingovalve.gateway.group import EngineGroup
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.generated.ids import AdapterId

    Grant = Callable[[Waiter, Choice], Awaitable[None]]

logger = get_logger(__name__)

_SWEEP_SECONDS: Final = 0.05
# Waiting requests that are tried after each event. One that cannot be served
# is mostly followed by others that cannot either.
_MOST_TRIED: Final = 3
# Those that a sweep tries, from the first on, and judges, from the last on.
_MOST_SWEPT: Final = 12


class PlaceQueue:
    """The requests that wait for a place of one group.

    Answers bursts over what the engines hold: what an event costs does not
    grow with the number of those who wait.
    """

    def __init__(self, engines: EngineGroup, grant: Grant) -> None:
        """Start with nobody waiting.

        :param grant: gives a place to a request that waits no more
        """
        self.admission = Admission()
        self._engines = engines
        self._grant_place = grant
        self._waiting = WaitingRequests()

    def __len__(self) -> int:
        """Count who waits."""
        return len(self._waiting)

    def remove(self, waiter: Waiter) -> None:
        """Let a request wait no more."""
        self._waiting.remove(waiter)

    async def refuse_all(self, refusal: ServingError) -> None:
        """Refuse whoever waits."""
        for waiter in list(self._waiting):
            await self.refuse(waiter, refusal)

    def enqueue(self, waiter: Waiter) -> None:
        """Let a request wait for its turn."""
        ask = waiter.ask
        waiting = self._waiting
        waiter.in_time_until = self.admission.in_time_until(
            ask,
            waiting.in_time_count(),
            self._engines.candidates(ask),
        )
        if not waiting.in_time_count():
            self.admission.in_time.restart()
        if not waiting.late_count:
            self.admission.late.restart()
        waiting.add(waiter)

    async def serve_waiting(self) -> None:
        """Give places to those who wait for a slot, as far as there are any.

        Every ask, end and load comes here, so it looks at no more of those
        who wait than could be served: the rest costs nothing.
        """
        for waiter in self._waiting.demote_late():
            await self.refuse_if_hopeless(waiter)
        failures = 0
        while failures < _MOST_TRIED and self._may_serve_more():
            waiters = self._waiting.first(failures + 1)
            if len(waiters) <= failures:
                return
            if not await self._try(waiters[failures]):
                failures += 1

    def _may_serve_more(self) -> bool:
        if not self._waiting:
            return False
        return self._engines.has_openings()

    async def _try(self, waiter: Waiter) -> bool:
        """Give a place to one request, and to those of the same adapter."""
        waiter.age()
        choice = self._engines.choose(waiter.ask)
        if choice is None:
            return False
        await self._grant(waiter, choice)
        if choice.load:
            await self.grant_same_adapter(waiter.ask.adapter)
        return True

    async def grant_same_adapter(self, adapter: AdapterId) -> None:
        """Let those go on who wait for an adapter that has come in."""
        for waiter in self._waiting.of_adapter(adapter):
            waiter.age()
            choice = self._engines.choose(waiter.ask)
            if choice is None or choice.load:
                return
            await self._grant(waiter, choice)

    async def fill(self, engine: EngineLedger) -> None:
        """Serve who waits for an engine that was full to its last place."""
        for name in list(engine.held):
            if engine.is_full():
                return
            await self.grant_same_adapter(name)

    async def sweep_forever(self) -> None:
        """Look after those who wait until cancelled."""
        while True:
            await curio.sleep(_SWEEP_SECONDS)
            if self._waiting:
                await self._sweep()

    async def _sweep(self) -> None:
        """Try and judge some of those who wait, whatever happened.

        Nobody tells when a backlog has been read, when an engine's pause is
        over, or when an engine with which others reckoned is lost.
        """
        for waiter in self._waiting.first(_MOST_SWEPT):
            if waiter in self._waiting:
                await self._try(waiter)
        for waiter in self._waiting.first(_MOST_SWEPT):
            await self.refuse_if_hopeless(waiter)
        for waiter in self._waiting.last(_MOST_SWEPT):
            await self.refuse_if_hopeless(waiter)

    async def refuse_if_hopeless(self, waiter: Waiter) -> None:
        """Refuse a request that should get no place in time."""
        if waiter not in self._waiting:
            return
        waiter.age()
        refusal = self.admission.judge(
            waiter.ask,
            self._line_before(waiter),
            self._engines.candidates(waiter.ask),
        )
        if refusal is not None:
            await self.refuse(waiter, refusal)

    def _line_before(self, waiter: Waiter) -> Line:
        ahead = self._waiting.ahead_of(waiter)
        if waiter.turn.is_late:
            ahead -= self._waiting.in_time_count()
        return Line(ahead, waiter.turn.is_late)

    async def refuse(self, waiter: Waiter, refusal: ServingError) -> None:
        """Refuse a request, whether it waits or its load has failed."""
        ahead = self._waiting.ahead_of(waiter)
        self._waiting.remove(waiter)
        self._engines.counts.refused += 1
        note(
            logger,
            'refused',
            id=waiter.ask.request_id,
            adapter=waiter.ask.adapter,
            reason=refusal.message,
            ahead=ahead,
            late=waiter.turn.is_late,
            waiting=len(self),
            patience=round(waiter.ask.patience, 3),
            waited=round(clock.now() - waiter.asked_at, 3),
        )
        waiter.refusal = refusal
        await waiter.settled.set()

    async def _grant(self, waiter: Waiter, choice: Choice) -> None:
        if not self._waiting.remove(waiter):
            return
        turnover = self.admission.in_time
        if waiter.turn.is_late:
            turnover = self.admission.late
        turnover.note_place()
        await self._grant_place(waiter, choice)
