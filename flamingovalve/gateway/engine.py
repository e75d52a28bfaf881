"""One engine that this VM owns: reports, orders in turn, loads."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.gateway.fencing import NO_FENCE
from flamingovalve.gateway.ledger import HeldAdapter, Holding
from flamingovalve.gateway.orders import Action, Order, OrderOutcome
from flamingovalve.generated.ids import AdapterId, ModelId
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.fencing import Fences
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.orders import EngineReport
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.gateway.waiting import Waiter
    from flamingovalve.generated.ids import VmId

logger = get_logger(__name__)

# Frequent enough to notice a restart within the lag of a report;
# orders are counted by ourselves.
_REPORT_SECONDS: Final = 0.7
_EAGER_REPORT_SECONDS: Final = 0.3
_LOADING: Final = frozenset((OrderOutcome.ACCEPTED, OrderOutcome.HOLDS))
# After this an engine that still shows no model is ordered to load it again.
_MODEL_LOAD_SECONDS: Final = 6.0


class EngineLink(Protocol):
    """Speaks with one engine."""

    async def report(self) -> EngineReport | None:
        """Give what the engine says of itself, or nothing."""

    async def order(self, order: Order) -> OrderOutcome:
        """Send one order."""


@dataclass
class OwnerCounts:
    """What the owner of a group did."""

    asked: int = 0
    granted: int = 0
    declined: int = 0
    refused: int = 0
    withdrawn: int = 0
    loads: int = 0
    unloads: int = 0
    model_loads: int = 0
    conflicts: int = 0
    foreign: int = 0
    restarts: int = 0

    def add(self, other: OwnerCounts) -> None:
        """Add the counts of another owner."""
        for entry in fields(self):
            total = getattr(self, entry.name) + getattr(other, entry.name)
            setattr(self, entry.name, total)


class EngineListener(Protocol):
    """Is told what happens on engines to those who wait for them."""

    async def serve_waiting(self) -> None:
        """Look whether somebody who waits can be served now."""

    async def requeue(self, waiters: list[Waiter]) -> None:
        """Let requests wait again whose engine has gone."""

    async def load_failed(
        self,
        waiters: list[Waiter],
        outcome: OrderOutcome,
    ) -> None:
        """Hear that an adapter will not come."""


@dataclass(frozen=True, slots=True)
class EngineContext:
    """What an engine's orders need to know beyond the engine itself.

    :ivar missing_model: gives the model that an empty engine should load
    """

    vm: VmId
    fences: Fences
    counts: OwnerCounts
    popularity: Popularity
    missing_model: Callable[[EngineLedger], ModelId]
    listener: EngineListener


class OwnedEngine:
    """One engine of the group: its ledger, its link, its orders in turn."""

    def __init__(
        self,
        context: EngineContext,
        ledger: EngineLedger,
        link: EngineLink,
    ) -> None:
        """Keep ``ledger`` up to date by ``link``."""
        self.ledger = ledger
        self._context = context
        self._link = link
        self._ordering = curio.Lock()
        self.waiting: dict[str, list[Waiter]] = {}
        self.report_now = curio.Event()

    async def follow(self) -> None:
        """Read reports until cancelled."""
        while True:
            await self._poll_report()
            chain = self.ledger.chain
            unsure = chain.sequence is None or chain.unanswered
            unsure = unsure or self.ledger.silent or not self.ledger.models
            unsure = unsure or self.ledger.fence == NO_FENCE
            waits = _EAGER_REPORT_SECONDS if unsure else _REPORT_SECONDS
            paused = chain.stands_down_until - clock.now()
            if 0 < paused < waits:
                waits = paused
            async with curio.ignore_after(waits):
                await self.report_now.wait()
            self.report_now.clear()

    async def load(self, held: HeldAdapter, victim: HeldAdapter | None) -> None:
        """Make room and load an adapter; then let those who wait go on."""
        outcome = OrderOutcome.UNKNOWN
        try:
            async with self._ordering:
                outcome = await self._load(held, victim)
        finally:
            held.is_ordered = True
            if outcome not in _LOADING:
                self._drop(held)
        if outcome not in _LOADING:
            waiters = self.waiting.pop(held.name, [])
            await self._context.listener.load_failed(waiters, outcome)
            return
        await self._fetch(held)

    async def _fetch(self, held: HeldAdapter) -> None:
        """Wait for an adapter while others count it as under way."""
        loads = self.ledger.loads
        fetches = held.load is not None and not held.load.is_kept
        loads.under_way += fetches
        try:
            await self.arrive(held)
        finally:
            loads.under_way -= fetches

    async def arrive(self, held: HeldAdapter) -> None:
        """Wait until an adapter should be there; let go on who waits for it."""
        await curio.sleep(max(0, held.ready_at - clock.now()))
        held.replaces = None
        if held.state is Holding.COMING:
            held.state = Holding.RESIDENT
        for waiter in self.waiting.pop(held.name, []):
            await waiter.settled.set()
        await self._context.listener.serve_waiting()

    async def _load(
        self,
        held: HeldAdapter,
        victim: HeldAdapter | None,
    ) -> OrderOutcome:
        victim = victim or self._victim_of_first_order(held)
        if victim is not None and not await self._unload(victim):
            return OrderOutcome.HELD_BACK
        outcome = await self._order_adapter(Action.LOAD, held)
        self._context.counts.loads += 1
        if outcome is OrderOutcome.ACCEPTED:
            self.ledger.chain.note_accepted()
            self.ledger.note_load_begun(held)
        elif outcome is OrderOutcome.HOLDS:
            held.ready_at = clock.now()
        else:
            self._note_refusal(outcome)
        return outcome

    def _victim_of_first_order(self, held: HeldAdapter) -> HeldAdapter | None:
        """Give an adapter to unload before the first load of a new owner.

        An engine takes the load of an adapter that is on its way already
        from anybody, whatever count the order names. So two VMs that both
        believe to own it could each load the adapter that callers on both
        sides ask for. Of two unloads it takes only the first one's.
        """
        chain = self.ledger.chain
        if chain.ordered or not chain.sequence or held.replaces is not None:
            return None
        popularity = self._context.popularity
        victim = self.ledger.least_valuable(popularity)
        if victim is not None:
            victim.state = Holding.GOING
        return victim

    async def _unload(self, victim: HeldAdapter) -> bool:
        outcome = await self._order_adapter(Action.UNLOAD, victim)
        self._context.counts.unloads += 1
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
        model = next(iter(self.ledger.models), ModelId(''))
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
        if not self.ledger.may_order():
            return OrderOutcome.HELD_BACK
        order = Order(
            action,
            model,
            adapter,
            chain.sequence or 0,
            self._context.vm,
            self.ledger.fence,
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
            self._context.counts.conflicts += 1
            chain.note_conflict()
        elif outcome is OrderOutcome.OUTBID:
            chain.note_conflict()
            self._context.fences.outbid()
            self.ledger.fence = self._context.fences.claimed
        elif outcome is OrderOutcome.GONE:
            self.ledger.note_failure()

    def _drop(self, held: HeldAdapter) -> None:
        if self.ledger.held.get(held.name) is not held:
            return
        if held.replaces is None:
            self.ledger.forget(held.name)
        else:
            # The version before it still takes the slot.
            self.ledger.held[held.name] = held.replaces

    async def _poll_report(self) -> None:
        report = await self._link.report()
        ledger = self.ledger
        if report is None:
            # A dark engine would take requests until its entry lapses, some
            # four seconds later, and each of them would wait in vain.
            ledger.note_silence()
            return
        ledger.note_answer()
        if ledger.born and report.born != ledger.born:
            self._context.counts.restarts += 1
            logger.warning('upstream {} restarted', ledger.upstream.id)
            ledger.restart(report.born)
        ledger.born = report.born
        foreign = ledger.chain.foreign
        counted = ledger.chain.sequence or 0
        if ledger.chain.note_report(report):
            self._context.counts.foreign += 1
            logger.warning(
                'upstream {} obeys somebody else; sequence={}',
                ledger.upstream.id,
                report.sequence,
            )
        if (ledger.chain.sequence or 0) < counted:
            note(
                logger,
                'order count corrected',
                upstream=ledger.upstream.id,
                counted=counted,
                reported=report.sequence,
            )
        if ledger.chain.foreign != foreign:
            ledger.fence = NO_FENCE
        await self._find_fence()
        ledger.adopt(report)
        if not ledger.models and not ledger.is_loading_model():
            await self.load_model()
        await self._context.listener.serve_waiting()

    async def _find_fence(self) -> None:
        """Find a fencing number that exceeds those of all earlier orders."""
        ledger = self.ledger
        if ledger.fence != NO_FENCE:
            return
        fences = self._context.fences
        ledger.fence = await fences.found_after(ledger.chain.quiet_since)
        if ledger.fence == NO_FENCE and not ledger.chain.foreign:
            # The store is away. Nobody else was seen to order, and our claim
            # exceeds all that were heard of while it was made.
            ledger.fence = fences.claimed

    async def load_model(self) -> None:
        """Load a base model into an engine that began without one.

        An engine that was added, or that restarted, holds nothing. Without
        this a fifth of the capacity of five engines stays idle after each
        of them was replaced.
        """
        model = self._context.missing_model(self.ledger)
        if not model or not self.ledger.may_order():
            return
        self.ledger.fetches_model = model not in self.ledger.at_hand
        self.ledger.model_ready_at = clock.now() + _MODEL_LOAD_SECONDS
        async with self._ordering:
            outcome = await self._send(Action.LOAD, model, AdapterId(''), 0)
        if outcome in _LOADING:
            self.ledger.chain.note_accepted()
            self._context.counts.model_loads += 1
            return
        self.ledger.model_ready_at = 0
        self._note_refusal(outcome)
