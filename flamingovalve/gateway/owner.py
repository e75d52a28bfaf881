"""Owning the engines of a group: places, loads, and who waits for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch
from flamingovalve.gateway.admission import Admission
from flamingovalve.gateway.ledger import (
    EngineLedger,
    HeldAdapter,
    Holding,
    Place,
    Popularity,
)
from flamingovalve.gateway.orders import (
    Action,
    Order,
    OrderChain,
    OrderOutcome,
)
from flamingovalve.generated.ids import AdapterId, ModelId
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.gateway.orders import EngineReport
    from flamingovalve.generated.ids import GroupId, UpstreamId, VmId
    from flamingovalve.generated.messages import PlaceAsk, PlaceHold
    from flamingovalve.generated.settings import GatewaySettings

logger = get_logger(__name__)

# Reports are priced; one a second notices a restart within its lag, and
# orders are counted by ourselves.
_REPORT_SECONDS: Final = 0.7
# After this an engine that still shows no model is ordered to load it again.
_MODEL_LOAD_SECONDS: Final = 6.0
# The weight store runs one load at full speed; two more cost the first ones
# little and bring a group back sooner after it restarted as a whole.
_MOST_MODEL_LOADS: Final = 3
_EAGER_REPORT_SECONDS: Final = 0.3
_PUMP_SECONDS: Final = 0.05
# A load that was refused as not there yet is tried again after this.
_LATE_LOAD_SECONDS: Final = 0.03


class EngineLink(Protocol):
    """Speaks with one engine."""

    async def report(self) -> EngineReport | None:
        """Give what the engine says of itself, or nothing."""

    async def order(self, order: Order) -> OrderOutcome:
        """Send one order."""


@dataclass(eq=False)
class Waiter:
    """One request that waits for a place.

    :ivar place: the place, once an engine was chosen
    :ivar refusal: why there will be none
    """

    ask: PlaceAsk
    asked_at: float
    settled: curio.Event = field(default_factory=curio.Event)
    place: Place | None = None
    refusal: ServingError | None = None


@dataclass
class OwnerCounts:
    """What the owner of a group did."""

    asked: int = 0
    granted: int = 0
    refused: int = 0
    loads: int = 0
    unloads: int = 0
    model_loads: int = 0
    conflicts: int = 0
    foreign: int = 0
    restarts: int = 0


class OwnedEngine:
    """One engine of the group: its ledger, its link, its orders in turn."""

    def __init__(
        self,
        owner: GroupOwner,
        ledger: EngineLedger,
        link: EngineLink,
    ) -> None:
        """Keep ``ledger`` up to date by ``link``."""
        self.ledger = ledger
        self._owner = owner
        self._link = link
        self._ordering = curio.Lock()
        self.waiting: dict[str, list[Waiter]] = {}

    async def follow(self) -> None:
        """Read reports until cancelled."""
        while True:
            await self._look()
            chain = self.ledger.chain
            unsure = chain.sequence is None or chain.unanswered
            unsure = unsure or self.ledger.silent
            waits = _EAGER_REPORT_SECONDS if unsure else _REPORT_SECONDS
            paused = chain.stands_down_until - clock.now()
            if 0 < paused < waits:
                waits = paused
            await curio.sleep(waits)

    async def load(self, held: HeldAdapter, victim: HeldAdapter | None) -> None:
        """Make room and load an adapter; then let those who wait go on."""
        done = False
        try:
            async with self._ordering:
                done = await self._load(held, victim)
        finally:
            if not done:
                self._drop(held)
        if not done:
            await self._owner.requeue(self.waiting.pop(held.name, []))
            return
        await curio.sleep(max(0, held.ready_at - clock.now()))
        if held.state is Holding.COMING:
            held.state = Holding.RESIDENT
        for waiter in self.waiting.pop(held.name, []):
            await waiter.settled.set()

    async def _load(
        self,
        held: HeldAdapter,
        victim: HeldAdapter | None,
    ) -> bool:
        if victim is not None and not await self._unload(victim):
            return False
        outcome = await self._order_adapter(Action.LOAD, held)
        self._owner.counts.loads += 1
        if outcome is OrderOutcome.ACCEPTED:
            self.ledger.chain.note_accepted()
            held.ready_at = clock.now() + self._load_seconds(held)
            return True
        if outcome is OrderOutcome.HOLDS:
            held.ready_at = clock.now()
            return True
        self._note_refusal(outcome)
        return False

    def _load_seconds(self, held: HeldAdapter) -> float:
        seconds = self.ledger.settings.adapter_load_seconds
        if held.name in self.ledger.recent:
            return seconds * dispatch.RECENT_SHARE
        return seconds * self._owner.store_slowness()

    async def _unload(self, victim: HeldAdapter) -> bool:
        outcome = await self._order_adapter(Action.UNLOAD, victim)
        self._owner.counts.unloads += 1
        if outcome is OrderOutcome.HOLDS:
            self.ledger.chain.note_accepted()
            self.ledger.forget(victim.name)
            return True
        if outcome is OrderOutcome.ACCEPTED:
            # Somebody's request still runs on it. It goes when that ends;
            # reports show when.
            self.ledger.chain.note_accepted()
            return False
        victim.state = Holding.RESIDENT
        self._note_refusal(outcome)
        return False

    async def _order_adapter(
        self,
        action: Action,
        held: HeldAdapter,
    ) -> OrderOutcome:
        model = self._owner.model_of(self.ledger)
        version = held.version if action is Action.LOAD else 0
        return await self._send(action, model, held.name, version)

    async def _send(
        self,
        action: Action,
        model: ModelId,
        adapter: AdapterId,
        version: int,
    ) -> OrderOutcome:
        chain = self.ledger.chain
        if not chain.may_order():
            return OrderOutcome.REFUSED
        order = Order(
            action,
            model,
            adapter,
            chain.sequence or 0,
            self._owner.vm,
            self._owner.fence,
            version,
        )
        outcome = await self._link.order(order)
        note(
            logger,
            'order',
            upstream=self.ledger.upstream.id,
            action=action.value,
            model=model,
            adapter=adapter,
            sequence=order.sequence,
            fence=order.fence,
            outcome=outcome.value,
        )
        return outcome

    def _note_refusal(self, outcome: OrderOutcome) -> None:
        chain = self.ledger.chain
        if outcome is OrderOutcome.UNKNOWN:
            chain.note_unanswered()
        elif outcome is OrderOutcome.CONFLICT:
            self._owner.counts.conflicts += 1
            chain.note_conflict()
        elif outcome is OrderOutcome.OUTBID:
            chain.note_conflict()
            self._owner.raise_fence()
        elif outcome is OrderOutcome.GONE:
            self.ledger.note_failure()

    def _drop(self, held: HeldAdapter) -> None:
        if self.ledger.held.get(held.name) is held:
            self.ledger.forget(held.name)

    async def _look(self) -> None:
        report = await self._link.report()
        ledger = self.ledger
        if report is None:
            # A dark engine would take requests until its entry lapses, some
            # four seconds later, and each of them would wait in vain.
            ledger.note_silence()
            return
        ledger.note_answer()
        if ledger.born and report.born != ledger.born:
            self._owner.counts.restarts += 1
            logger.warning('upstream {} restarted', ledger.upstream.id)
            ledger.restart(report.born)
        ledger.born = report.born
        if ledger.chain.note_report(report):
            self._owner.counts.foreign += 1
            logger.warning(
                'upstream {} obeys somebody else; sequence={}',
                ledger.upstream.id,
                report.sequence,
            )
        ledger.adopt(report)
        if not ledger.models and not ledger.is_loading_model():
            await self.load_model()
        await self._owner.pump()

    async def load_model(self) -> None:
        """Load a base model into an engine that began without one.

        An engine that was added, or that restarted, holds nothing. Without
        this a fifth of the capacity of five engines stays idle after each
        of them was replaced.
        """
        model = self._owner.missing_model()
        if not model or not self.ledger.chain.may_order():
            return
        self.ledger.model_ready_at = clock.now() + _MODEL_LOAD_SECONDS
        async with self._ordering:
            outcome = await self._send(Action.LOAD, model, AdapterId(''), 0)
        if outcome in {OrderOutcome.ACCEPTED, OrderOutcome.HOLDS}:
            self.ledger.chain.note_accepted()
            self._owner.counts.model_loads += 1
            return
        self.ledger.model_ready_at = 0
        self._note_refusal(outcome)


class GroupOwner:
    """Gives out the places of a group's engines."""

    def __init__(
        self,
        settings: GatewaySettings,
        group: GroupId,
        vm: VmId,
        fence: int,
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
    ) -> None:
        """Own nothing yet.

        :param fence: fencing number that every order carries
        :param link_to: opens the way to an engine
        """
        self.group = group
        self.vm = vm
        self.fence = fence
        self.counts = OwnerCounts()
        self.predecessor_ended = False
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

    async def _adopt(self, upstream: Upstream, traits: EngineTraits) -> None:
        settings = self._settings
        chain = OrderChain(
            settings.lease_seconds,
            settings.report_lag_seconds,
            self.orders_after,
            predecessor_ended=self.predecessor_ended,
        )
        ledger = EngineLedger(upstream, traits, settings, chain)
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

        :raises ServingError: when there will be none in time
        """
        self.counts.asked += 1
        asked = self._asked_by_model.get(ask.model, 0)
        self._asked_by_model[ask.model] = asked + 1
        if ask.adapter:
            self.popularity.note(ask.adapter)
        waiter = Waiter(ask, clock.now())
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
        waiter.place.began_at = clock.now()
        return waiter.place

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
        elif outcome is PlaceOutcome.FAILED:
            place.engine.note_failure()
        elif first_event:
            place.engine.note_first_event(place, first_event)
        await self.pump()

    def _note_not_run(self, place: Place) -> None:
        held = place.engine.held.get(place.ask.adapter)
        if held is not None and held.state is Holding.RESIDENT:
            held.ready_at = clock.now() + _LATE_LOAD_SECONDS

    async def requeue(self, waiters: list[Waiter]) -> None:
        """Let requests wait again whose load did not come about."""
        for waiter in waiters:
            if waiter.place is not None:
                waiter.place.engine.give_back(waiter.place)
            waiter.place = None
            self._waiting.append(waiter)

    def _forget(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.place is not None:
            waiter.place.engine.give_back(waiter.place)
        waiter.settled = curio.Event()

    async def pump(self) -> None:
        """Give places to those who wait, the most urgent first."""
        for waiter in sorted(self._waiting, key=_turn):
            choice = dispatch.choose(
                waiter.ask,
                self._candidates(waiter.ask),
                self.popularity,
                self._version(waiter.ask),
            )
            if choice is not None:
                await self._grant(waiter, choice)
        await self._refuse_hopeless()

    async def _pump_forever(self) -> None:
        while True:
            await curio.sleep(_PUMP_SECONDS)
            if self._waiting:
                await self.pump()

    async def _refuse_hopeless(self) -> None:
        ahead = 0
        for waiter in sorted(self._waiting, key=_turn):
            waited = clock.now() - waiter.asked_at
            refusal = self._admission.judge(
                waiter.ask,
                waited,
                ahead,
                self._ledgers(),
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
            ready_at=clock.now() + dispatch.load_seconds(ask, owned.ledger),
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

    def missing_model(self) -> ModelId:
        """Give the model that an empty engine should load; empty for none."""
        ledgers = self._ledgers()
        loading = sum(ledger.is_loading_model() for ledger in ledgers)
        if loading >= _MOST_MODEL_LOADS:
            return ModelId('')
        return dispatch.model_in_demand(ledgers, self._asked_by_model)

    def raise_fence(self) -> None:
        """Order with a higher number: the engine has seen one."""
        self.fence += 1 << dispatch.FENCE_BITS

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
        retry_after=0.2,
    )
