"""Owning the engines of a group: who gets a place, and who has to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch
from flamingovalve.gateway.admission import Admission, Line
from flamingovalve.gateway.group import EngineGroup
from flamingovalve.gateway.ledger import HeldAdapter, Holding
from flamingovalve.gateway.orders import OrderOutcome
from flamingovalve.gateway.waiting import Waiter, WaitingRequests
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink, OwnedEngine
    from flamingovalve.gateway.fencing import Fences
    from flamingovalve.gateway.ledger import EngineLedger, Place
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.generated.ids import AdapterId, GroupId, VmId
    from flamingovalve.generated.messages import PlaceAsk, PlaceHold
    from flamingovalve.generated.settings import GatewaySettings

logger = get_logger(__name__)

_SWEEP_SECONDS: Final = 0.05
# Waiting requests that are tried after each event. One that cannot be served
# is mostly followed by others that cannot either.
_MOST_TRIED: Final = 3
# Those that a sweep tries, from the first on, and judges, from the last on.
_MOST_SWEPT: Final = 12
_OWNER_CHANGE_SECONDS: Final = 0.2
_REFUSED_LOAD_SECONDS: Final = 1.0


class GroupOwner:
    """Gives out the places of a group's engines."""

    def __init__(
        self,
        settings: GatewaySettings,
        group: GroupId,
        vm: VmId,
        fences: Fences,
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
    ) -> None:
        """Own nothing yet.

        :param fences: finds the fencing numbers of orders
        :param link_to: opens the way to an engine
        """
        self._tasks = TaskSet()
        self.group = group
        self.fences = fences
        self.engines = EngineGroup(
            settings, vm, fences, catalogue, link_to, self._tasks
        )
        self.counts = self.engines.counts
        self._admission = Admission()
        self._waiting = WaitingRequests()

    async def start(self) -> None:
        """Begin to look after waiting requests."""
        await self._tasks.spawn(self._sweep_forever)

    async def close(self) -> None:
        """Stop ordering; refuse whoever still waits."""
        for waiter in list(self._waiting):
            await self._refuse(waiter, _not_owner())
        await self._tasks.cancel()

    async def replace_engines(
        self,
        upstreams: Iterable[Upstream],
        traits: EngineTraits,
    ) -> None:
        """Own exactly ``upstreams`` from now on."""
        await self.engines.replace(upstreams, traits, self)

    # -- Places

    async def place(self, ask: PlaceAsk) -> Place:
        """Wait for a place for ``ask``.

        :raises ServingError: when there will be none in time, or none that
            is good where another group can be asked
        """
        at_once = self.place_at_once(ask)
        if at_once is not None:
            return at_once
        return await self.place_in_turn(ask)

    def place_at_once(self, ask: PlaceAsk) -> Place | None:
        """Give a place on an engine that holds the adapter, if there is one.

        Most requests ask for what is there. They need no task and no turn:
        none of those who wait could use the place better, as they wait for
        a slot.

        :raises ServingError: when another group should be asked
        """
        self.counts.asked += 1
        self.engines.note_asked(ask)
        choice = self.engines.choose(ask)
        if ask.may_decline and not _is_good(ask, choice):
            raise self._declined(ask, choice)
        if choice is None or not choice.is_ready():
            return None
        place = choice.engine.take(ask)
        self.counts.granted += 1
        self._note_place(ask, choice, 0)
        return place

    async def place_in_turn(self, ask: PlaceAsk) -> Place:
        """Wait for a place among the others who do.

        :raises ServingError: when there will be none in time
        """
        waiter = Waiter(ask, clock.now(), clock.now())
        self._enqueue(waiter)
        try:
            await self._let_join(ask.adapter)
            await self.pump()
            await self._refuse_if_hopeless(waiter)
            await waiter.settled.wait()
        except curio.CancelledError:
            self._forget(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.place is not None
        self.counts.granted += 1
        return waiter.place

    def _enqueue(self, waiter: Waiter) -> None:
        ask = waiter.ask
        waiting = self._waiting
        waiter.in_time_until = self._admission.in_time_until(
            ask,
            waiting.in_time_count(),
            self.engines.candidates(ask),
        )
        if not waiting.in_time_count():
            self._admission.in_time.note_first()
        if not waiting.late_count:
            self._admission.late.note_first()
        waiting.add(waiter)

    def _declined(
        self,
        ask: PlaceAsk,
        choice: dispatch.Choice | None,
    ) -> ServingError:
        """Send a request to another group that would be late in this one."""
        self.counts.declined += 1
        if choice is None:
            ahead = Line(len(self._waiting))
            engines = self.engines.candidates(ask)
            wait = self._admission.expected_wait(ask, ahead, engines)
        else:
            wait = choice.wait
        note(
            logger,
            'declined',
            id=ask.request_id,
            group=self.group,
            adapter=ask.adapter,
            expected=round(wait, 3),
            waiting=len(self._waiting),
        )
        return ServingError(
            ErrorKind.NO_GOOD_PLACE,
            f'group {self.group} has no good place; ask another group',
            retry_after=wait,
        )

    def adopt_place(self, hold: PlaceHold) -> Place | None:
        """Count a place that a former owner gave."""
        engine = self.engines.engines_by_id.get(hold.upstream)
        if engine is None:
            return None
        ledger = engine.ledger
        name = hold.ask.adapter
        if name and name not in ledger.held:
            ledger.held[name] = HeldAdapter(name, 0, Holding.RESIDENT)
        return ledger.take(hold.ask)

    async def end(
        self,
        place: Place,
        outcome: PlaceOutcome,
        first_event: float,
    ) -> None:
        """Take back a place."""
        engine = place.engine
        was_full = engine.is_full()
        engine.give_back(place)
        if outcome is PlaceOutcome.REFUSED:
            await self._await_adapter(place)
        elif outcome is not PlaceOutcome.ABANDONED:
            failed = outcome is not PlaceOutcome.FINISHED
            engine.note_verdict(failed=failed)
        if outcome is PlaceOutcome.FINISHED:
            self._admission.holds.note(clock.now() - place.taken_at)
        if first_event:
            self._admission.first_events.note(first_event)
            engine.note_there(place.ask.adapter)
            engine.note_first_event(place, first_event)
        if outcome is PlaceOutcome.LOST:
            await self._look_again(place)
        if was_full:
            await self._fill(engine)
        await self.pump()

    async def _look_again(self, place: Place) -> None:
        """See at once whether an engine that broke a connection still answers.

        Until the next report it would be given requests that all fail.
        """
        engine = self.engines.engines_by_id.get(place.engine.upstream.id)
        if engine is not None:
            await engine.hurry.set()

    async def _await_adapter(self, place: Place) -> None:
        """Send nobody to an engine whose adapter turned out not to be there."""
        engine = self.engines.engines_by_id.get(place.engine.upstream.id)
        held = place.engine.note_not_there(place.ask.adapter)
        if engine is not None and held is not None:
            await self._tasks.spawn(engine.arrive, held)

    async def load_failed(
        self,
        waiters: list[Waiter],
        outcome: OrderOutcome,
    ) -> None:
        """Let requests wait again, or refuse those that can never be served.

        An engine refuses to load an adapter that its model does not have.
        Ordered again and again, it would get hundreds of orders a second.
        """
        await self.requeue(waiters)
        if outcome is OrderOutcome.REFUSED:
            still_here = [one for one in waiters if not one.is_gone]
            for waiter in still_here:
                await self._refuse(waiter, _load_refused(waiter.ask.adapter))

    async def requeue(self, waiters: list[Waiter]) -> None:
        """Let requests wait again whose load did not come about."""
        for waiter in waiters:
            if waiter.place is not None:
                waiter.place.engine.give_back(waiter.place)
            waiter.place = None
            if not waiter.is_gone:
                self._enqueue(waiter)

    def _forget(self, waiter: Waiter) -> None:
        self._waiting.remove(waiter)
        if waiter.place is not None:
            waiter.place.engine.give_back(waiter.place)
        # A load that fails later must not queue it again: nobody would give
        # the place back, and its adapter could never be unloaded.
        waiter.is_gone = True

    async def pump(self) -> None:
        """Give places to those who wait for a slot, as far as there are any.

        Every ask, end and load comes here, so it looks at no more of those
        who wait than could be served: the rest costs nothing.
        """
        for waiter in self._waiting.put_back_late():
            await self._refuse_if_hopeless(waiter)
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
        return self.engines.has_openings()

    async def _try(self, waiter: Waiter) -> bool:
        """Give a place to one request, and to those of the same adapter."""
        waiter.age()
        choice = self.engines.choose(waiter.ask)
        if choice is None:
            return False
        await self._grant(waiter, choice)
        if choice.load:
            await self._let_join(waiter.ask.adapter)
        return True

    async def _let_join(self, adapter: AdapterId) -> None:
        """Let those go on who wait for an adapter that has come in."""
        for waiter in self._waiting.of_adapter(adapter):
            waiter.age()
            choice = self.engines.choose(waiter.ask)
            if choice is None or choice.load:
                return
            await self._grant(waiter, choice)

    async def _fill(self, engine: EngineLedger) -> None:
        """Serve who waits for an engine that was full to its last place."""
        for name in list(engine.held):
            if engine.is_full():
                return
            await self._let_join(name)

    async def _sweep_forever(self) -> None:
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
            await self._refuse_if_hopeless(waiter)
        for waiter in self._waiting.last(_MOST_SWEPT):
            await self._refuse_if_hopeless(waiter)

    async def _refuse_if_hopeless(self, waiter: Waiter) -> None:
        if waiter not in self._waiting:
            return
        waiter.age()
        refusal = self._admission.judge(
            waiter.ask,
            self._line_before(waiter),
            self.engines.candidates(waiter.ask),
        )
        if refusal is not None:
            await self._refuse(waiter, refusal)

    def _line_before(self, waiter: Waiter) -> Line:
        ahead = self._waiting.ahead_of(waiter)
        if waiter.turn.is_late:
            ahead -= self._waiting.in_time_count()
        return Line(ahead, waiter.turn.is_late)

    async def _refuse(self, waiter: Waiter, refusal: ServingError) -> None:
        self._waiting.remove(waiter)
        self.counts.refused += 1
        note(
            logger,
            'refused',
            id=waiter.ask.request_id,
            adapter=waiter.ask.adapter,
            reason=refusal.message,
            waited=round(clock.now() - waiter.asked_at, 3),
        )
        waiter.refusal = refusal
        await waiter.settled.set()

    async def _grant(self, waiter: Waiter, choice: dispatch.Choice) -> None:
        self._waiting.remove(waiter)
        ledger = choice.engine
        owned = self.engines.engines_by_id[ledger.upstream.id]
        if choice.load:
            await self._begin_load(owned, waiter.ask, choice.victim)
        held = ledger.held.get(waiter.ask.adapter)
        waiter.place = ledger.take(waiter.ask)
        turnover = self._admission.in_time
        if waiter.turn.is_late:
            turnover = self._admission.late
        turnover.note_place()
        self._note_place(waiter.ask, choice, clock.now() - waiter.asked_at)
        if held is None or held.state is Holding.RESIDENT:
            await waiter.settled.set()
            return
        owned.waiting.setdefault(held.name, []).append(waiter)

    def _note_place(
        self,
        ask: PlaceAsk,
        choice: dispatch.Choice,
        waited: float,
    ) -> None:
        ledger = choice.engine
        note(
            logger,
            'place',
            id=ask.request_id,
            upstream=ledger.upstream.id,
            adapter=ask.adapter,
            load=choice.load,
            expected=round(choice.wait, 3),
            waited=round(waited, 3),
            waiting=len(self._waiting),
            report_age=round(clock.now() - ledger.reported_at, 2),
        )

    async def _begin_load(
        self,
        owned: OwnedEngine,
        ask: PlaceAsk,
        victim: HeldAdapter | None,
    ) -> None:
        if victim is not None:
            victim.state = Holding.GOING
        held = HeldAdapter(
            ask.adapter,
            self.engines.version(ask),
            Holding.COMING,
            ready_at=clock.now() + owned.ledger.load_seconds(ask.adapter),
            replaces=owned.ledger.held.get(ask.adapter),
            is_ordered=False,
        )
        owned.ledger.held[ask.adapter] = held
        await self._tasks.spawn(owned.load, held, victim)


def _is_good(ask: PlaceAsk, choice: dispatch.Choice | None) -> bool:
    return choice is not None and dispatch.is_good(ask, choice)


def _not_owner() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'another VM owns these engines now; ask it',
        retry_after=_OWNER_CHANGE_SECONDS,
    )


def _load_refused(adapter: str) -> ServingError:
    return ServingError(
        ErrorKind.LOAD_FAILED,
        f'no engine can load adapter {adapter!r}; see whether it exists',
        retry_after=_REFUSED_LOAD_SECONDS,
    )
