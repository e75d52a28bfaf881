"""Owning the engines of a group: who gets a place, and who has to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch
from flamingovalve.gateway.admission import Admission
from flamingovalve.gateway.engine import OwnedEngine, OwnerCounts, Waiter
from flamingovalve.gateway.ledger import (
    EngineLedger,
    HeldAdapter,
    Holding,
    Place,
    Popularity,
)
from flamingovalve.gateway.orders import OrderChain, OrderOutcome
from flamingovalve.generated.ids import ModelId
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink
    from flamingovalve.gateway.fencing import Fences
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.generated.ids import GroupId, UpstreamId, VmId
    from flamingovalve.generated.messages import PlaceAsk, PlaceHold
    from flamingovalve.generated.settings import GatewaySettings

logger = get_logger(__name__)

_PUMP_SECONDS: Final = 0.05
# A load that was refused as not there yet is tried again after this.
_LATE_LOAD_SECONDS: Final = 0.03
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
        self.group = group
        self.vm = vm
        self.fences = fences
        self.counts = OwnerCounts()
        self.predecessor_ended = False
        self._is_new = True
        self.orders_after = 0.0
        self.engines_by_id: dict[UpstreamId, OwnedEngine] = {}
        self.popularity = Popularity()
        self._settings = settings
        self._catalogue = catalogue
        self._link_to = link_to
        self._admission = Admission()
        self._waiting: list[Waiter] = []
        self._asked_by_model: dict[ModelId, int] = {}
        self._tasks = TaskSet()
        self._followers: dict[UpstreamId, curio.Task] = {}

    async def start(self) -> None:
        """Begin to look after waiting requests."""
        await self._tasks.spawn(self._pump_forever)

    async def close(self) -> None:
        """Stop ordering; refuse whoever still waits."""
        for waiter in list(self._waiting):
            await self._refuse(waiter, _not_owner())
        await self._tasks.cancel()

    def hold_orders(self, seconds: float) -> None:
        """Order nothing for a while, nor let new engines be ordered."""
        until = clock.now() + seconds
        self.orders_after = max(self.orders_after, until)
        for engine in self.engines_by_id.values():
            chain = engine.ledger.chain
            chain.stands_down_until = max(chain.stands_down_until, until)

    async def replace_engines(
        self,
        upstreams: Iterable[Upstream],
        traits: EngineTraits,
    ) -> None:
        """Own exactly ``upstreams`` from now on."""
        wanted = {upstream.id: upstream for upstream in upstreams}
        for name in list(self.engines_by_id):
            if name not in wanted:
                await self._release(name)
        for name, upstream in wanted.items():
            known = self.engines_by_id.get(name)
            if known is None:
                await self._adopt(upstream, traits)
            else:
                known.ledger.upstream = upstream
                known.ledger.traits = traits
        # Said of whoever owned the group before us; an engine that comes
        # later may come from a group whose owner lives.
        self.predecessor_ended = False
        self._is_new = False

    async def _adopt(self, upstream: Upstream, traits: EngineTraits) -> None:
        settings = self._settings
        chain = OrderChain(
            settings.lease_seconds,
            settings.report_lag_seconds,
            self.orders_after,
            predecessor_ended=self.predecessor_ended,
        )
        ledger = EngineLedger(upstream, traits, settings, chain)
        if self._is_new:
            # The claim exceeds those of whoever owned the group before.
            ledger.fence = self.fences.claimed
        engine = OwnedEngine(self, ledger, self._link_to(upstream))
        self.engines_by_id[upstream.id] = engine
        task = await self._tasks.spawn(engine.follow)
        self._followers[upstream.id] = task

    async def _release(self, name: UpstreamId) -> None:
        engine = self.engines_by_id.pop(name)
        await self._followers.pop(name).cancel()
        for waiters in engine.waiting.values():
            await self.requeue(waiters)
        engine.waiting.clear()

    # -- Places

    async def place(self, ask: PlaceAsk) -> Place:
        """Wait for a place for ``ask``.

        :raises ServingError: when there will be none in time, or none that
            is good where another group can be asked
        """
        self.counts.asked += 1
        if ask.may_decline:
            self._decline_unless_good(ask)
        if ask.model in self._models():
            asked = self._asked_by_model.get(ask.model, 0)
            self._asked_by_model[ask.model] = asked + 1
        if ask.adapter:
            self.popularity.note(ask.adapter)
        waiter = Waiter(ask, clock.now(), clock.now())
        self._waiting.append(waiter)
        try:
            await self.pump()
            await waiter.settled.wait()
        except curio.CancelledError:
            self._forget(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.place is not None
        self.counts.granted += 1
        return waiter.place

    def _decline_unless_good(self, ask: PlaceAsk) -> None:
        """Send a request to another group that would be late in this one."""
        choice = self._choose(ask)
        if choice is not None and dispatch.is_good(ask, choice):
            return
        self.counts.declined += 1
        if choice is None:
            ahead = len(self._waiting)
            engines = self._candidates(ask)
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
        raise ServingError(
            ErrorKind.NO_GOOD_PLACE,
            f'group {self.group} has no good place; ask another group',
            retry_after=wait,
        )

    def adopt_place(self, hold: PlaceHold) -> Place | None:
        """Count a place that a former owner gave."""
        engine = self.engines_by_id.get(hold.upstream)
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
        place.engine.give_back(place)
        if outcome is PlaceOutcome.REFUSED:
            self._note_not_run(place)
        elif outcome is not PlaceOutcome.ABANDONED:
            failed = outcome is not PlaceOutcome.FINISHED
            place.engine.note_verdict(failed=failed)
        if first_event:
            place.engine.note_first_event(place, first_event)
        if outcome is PlaceOutcome.LOST:
            await self._look_again(place)
        await self.pump()

    async def _look_again(self, place: Place) -> None:
        """See at once whether an engine that broke a connection still answers.

        Until the next report it would be given requests that all fail.
        """
        engine = self.engines_by_id.get(place.engine.upstream.id)
        if engine is not None:
            await engine.hurry.set()

    def _note_not_run(self, place: Place) -> None:
        held = place.engine.held.get(place.ask.adapter)
        if held is not None and held.state is Holding.RESIDENT:
            held.ready_at = clock.now() + _LATE_LOAD_SECONDS

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
                self._waiting.append(waiter)

    def _forget(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.place is not None:
            waiter.place.engine.give_back(waiter.place)
        # A load that fails later must not queue it again: nobody would give
        # the place back, and its adapter could never be unloaded.
        waiter.is_gone = True

    async def pump(self) -> None:
        """Give places to those who wait, the most urgent first."""
        for waiter in sorted(self._waiting, key=_turn):
            waiter.age()
            choice = self._choose(waiter.ask)
            if choice is not None:
                await self._grant(waiter, choice)
        await self._refuse_hopeless()

    def _choose(self, ask: PlaceAsk) -> dispatch.Choice | None:
        return dispatch.choose(
            ask,
            self._candidates(ask),
            self.popularity,
            self._version(ask),
        )

    async def _pump_forever(self) -> None:
        while True:
            await curio.sleep(_PUMP_SECONDS)
            if self._waiting:
                await self.pump()

    async def _refuse_hopeless(self) -> None:
        ahead = 0
        for waiter in sorted(self._waiting, key=_turn):
            refusal = self._admission.judge(
                waiter.ask,
                ahead,
                self._candidates(waiter.ask),
            )
            if refusal is None:
                ahead += 1
            else:
                await self._refuse(waiter, refusal)

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
        owned = self.engines_by_id[ledger.upstream.id]
        if choice.load:
            await self._begin_load(owned, waiter.ask, choice.victim)
        held = ledger.held.get(waiter.ask.adapter)
        waiter.place = ledger.take(waiter.ask)
        note(
            logger,
            'place',
            id=waiter.ask.request_id,
            upstream=ledger.upstream.id,
            adapter=waiter.ask.adapter,
            load=choice.load,
            expected=round(choice.wait, 3),
            waited=round(clock.now() - waiter.asked_at, 3),
            report_age=round(clock.now() - ledger.reported_at, 2),
        )
        if held is None or held.state is Holding.RESIDENT:
            await waiter.settled.set()
            return
        owned.waiting.setdefault(held.name, []).append(waiter)

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
            self._version(ask),
            Holding.COMING,
            ready_at=clock.now()
            + dispatch.load_seconds(ask.adapter, owned.ledger),
            replaces=owned.ledger.held.get(ask.adapter),
            is_ordered=False,
        )
        owned.ledger.held[ask.adapter] = held
        await self._tasks.spawn(owned.load, held, victim)

    # -- What choices rest on

    def store_slowness(self) -> float:
        """Give how much longer a load takes because of others."""
        coming = sum(ledger.coming() for ledger in self._ledgers())
        return max(1.0, coming / dispatch.FULL_SPEED_LOADS)

    def model_of(self, ledger: EngineLedger) -> ModelId:
        """Give the base model that adapters of an engine extend."""
        return next(iter(ledger.models), ModelId(''))

    def missing_model(self, engine: EngineLedger) -> ModelId:
        """Give the model that an empty engine should load; empty for none."""
        ledgers = self._ledgers()
        model = dispatch.model_in_demand(ledgers, self._asked_by_model)
        if model in engine.at_hand or not dispatch.is_fetching(ledgers):
            return model
        return ModelId('')

    def _models(self) -> set[ModelId]:
        ledgers = self._ledgers()
        return {name for ledger in ledgers for name in ledger.traits.models}

    def _ledgers(self) -> list[EngineLedger]:
        return [engine.ledger for engine in self.engines_by_id.values()]

    def _candidates(self, ask: PlaceAsk) -> list[EngineLedger]:
        return [
            ledger
            for ledger in self._ledgers()
            if ledger.is_usable()
            and ledger.upstream.id not in ask.avoided
            and self._catalogue.takes_requests(ledger.upstream)
        ]

    def _version(self, ask: PlaceAsk) -> int:
        return self._catalogue.wanted_version(ask.model, ask.adapter)


def _turn(waiter: Waiter) -> tuple[int, float]:
    return (waiter.ask.priority, waiter.asked_at)


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
