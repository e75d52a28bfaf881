"""One engine that this VM owns: its reports, orders and loads."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import HeldBack
from flamingovalve.gateway.fencing import UNKNOWN_START, OrderNumbers
from flamingovalve.gateway.ledger import NO_ORDER
from flamingovalve.gateway.orders import Action, Order, OrderOutcome
from flamingovalve.gateway.residency.changes import logged_names
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.gateway.residency.residency import SlotProof
from flamingovalve.generated.ids import AdapterId, ModelId
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.fencing import ClaimStatus, NumberSource
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.orders import EngineReport
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.gateway.upstream_status import UpstreamStatus
    from flamingovalve.gateway.waiting import Waiter
    from flamingovalve.generated.ids import VmId

logger = get_logger(__name__)

# Frequent enough to detect a restart within the lag of a report. The owner
# counts its own orders, so it needs no report for these.
_REPORT_SECONDS: Final = 0.7
_EAGER_REPORT_SECONDS: Final = 0.3
# Share of the requests of an engine with a rate limit that are reports.
_REPORT_SHARE: Final = 0.15
# A report waits for its turn among the requests of callers.
_REPORT_PATIENCE_SECONDS: Final = 1.5
_LOAD_OUTCOMES: Final = frozenset((OrderOutcome.ACCEPTED, OrderOutcome.HOLDS))
# An engine that reports no model after this time is ordered to load it again.
_MODEL_LOAD_TIMEOUT_SECONDS: Final = 6.0


@dataclass(frozen=True, slots=True)
class _Answer:
    """The outcome of an order.

    :ivar named: count of orders that it named
    """

    outcome: OrderOutcome
    named: int


_NOT_SENT: Final = _Answer(OrderOutcome.HELD_BACK, NO_ORDER)


class _SentOrder:
    """An order, and what its sender knew of the engine when it was sent."""

    def __init__(
        self,
        order: Order,
        ledger: EngineLedger,
        source: NumberSource,
        claim: ClaimStatus,
    ) -> None:
        """Record the state of ``ledger`` as ``order`` is sent.

        :param source: what the fencing number of ``order`` was made from
        """
        self._order = order
        self._source = source
        self._claim = claim
        self._born = ledger.born
        self._is_holder = ledger.chain.is_holder()
        self._quiet = clock.now() - ledger.chain.quiet_since
        self._upstream = ledger.upstream.id
        self._sent_at = clock.now()
        self._held = len(ledger.held)
        self._free = ledger.free_slots()
        self._reported = ledger.reported_sequence
        self._report_age = clock.now() - ledger.reported_at
        self._is_busy = ledger.is_busy

    def log(self, outcome: OrderOutcome) -> None:
        """Log the order with its outcome."""
        order = self._order
        note(
            logger,
            'order',
            upstream=self._upstream,
            action=order.action.value,
            model=order.model,
            adapter=order.adapter,
            sequence=order.sequence,
            fence=order.fence,
            outcome=outcome.value,
            held=self._held,
            free=self._free,
            reported=self._reported,
            report_age=round(self._report_age, 3),
            busy=self._is_busy,
            seconds=round(clock.now() - self._sent_at, 3),
            source=self._source.value,
            born=self._born,
            holder=self._is_holder,
            quiet=round(self._quiet, 3),
            **asdict(self._claim),
        )


class EngineLink(Protocol):
    """Requests reports from one engine and sends it orders."""

    status: UpstreamStatus

    async def report(self, patience: float) -> EngineReport | None:
        """Return the engine's report, or ``None`` if it does not answer.

        :param patience: longest wait in seconds for an engine with a limit
        :raises HeldBack: if it accepts no request within ``patience``
        """

    async def order(self, order: Order) -> OrderOutcome:
        """Send one order and return its outcome."""


@dataclass
class OwnerCounts:
    """Counters of what the owner of a group did.

    :ivar granted_by_share: places granted while several workspaces waited
    :ivar returned: refused requests that returned in time
    """

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
    too_large: int = 0
    streams_paused: int = 0
    granted_by_share: int = 0
    first_fetches: int = 0
    further_fetches: int = 0
    kept_loads: int = 0
    returned: int = 0

    def add(self, other: OwnerCounts) -> None:
        """Add the counts of another owner."""
        for entry in fields(self):
            total = getattr(self, entry.name) + getattr(other, entry.name)
            setattr(self, entry.name, total)


class EngineListener(Protocol):
    """Receives events of engines that concern waiting requests."""

    async def serve_waiting(self) -> None:
        """Serve the waiting requests that can be served now."""

    async def requeue(self, waiters: list[Waiter]) -> None:
        """Return requests to the queue after the loss of their engine."""

    async def load_failed(
        self,
        waiters: list[Waiter],
        outcome: OrderOutcome,
    ) -> None:
        """Handle the requests that waited for a failed load."""


@dataclass(frozen=True, slots=True)
class EngineContext:
    """The owner's state that all of its engines share.

    :ivar claim_status: returns what is known of the group's ownership
    :ivar choose_model: returns the model that an empty engine should load
    """

    vm: VmId
    claim_status: Callable[[], ClaimStatus]
    counts: OwnerCounts
    popularity: Popularity
    choose_model: Callable[[EngineLedger], ModelId]
    listener: EngineListener


class OwnedEngine:
    """One engine of the group: its ledger, link and serialised orders.

    :ivar waiting: requests that wait for a load, by adapter
    :ivar report_now: set to read a report without delay
    """

    def __init__(
        self,
        context: EngineContext,
        ledger: EngineLedger,
        link: EngineLink,
    ) -> None:
        """Keep ``ledger`` up to date through ``link``."""
        self.ledger = ledger
        self._context = context
        self._link = link
        self._order_lock = curio.Lock()
        self._numbers = OrderNumbers(context.vm)
        self.waiting: dict[str, list[Waiter]] = {}
        self.report_now = curio.Event()

    async def follow(self) -> None:
        """Read reports until cancelled."""
        while True:
            try:
                await self._poll_report()
            except HeldBack as held:
                logger.debug('no report: {}', held)
            delay = self._report_delay()
            async with curio.ignore_after(delay):
                await self.report_now.wait()
            self.report_now.clear()

    def _report_delay(self) -> float:
        """Return the seconds until the next report is read."""
        chain = self.ledger.chain
        ledger = self.ledger
        is_uncertain = any(
            (
                chain.sequence is None,
                chain.awaits_report(),
                ledger.silent,
                not ledger.models,
                ledger.born == UNKNOWN_START,
                self._has_foreign_load(),
                ledger.residency.has_waiting_unload(),
            )
        )
        delay = _EAGER_REPORT_SECONDS if is_uncertain else _REPORT_SECONDS
        delay = max(delay, self._limited_interval(is_uncertain=is_uncertain))
        pause = chain.paused_until - clock.now()
        return min(delay, pause) if pause > 0 else delay

    def _has_foreign_load(self) -> bool:
        """Return whether a load of a former owner is in progress.

        Only a report shows when it ends.
        """
        return any(
            held.state is AdapterState.LOADING and held.is_confirmed
            for held in self.ledger.held.values()
        )

    def _limited_interval(self, *, is_uncertain: bool) -> float:
        """Return the interval of reports that leaves most requests to callers.

        :param is_uncertain: whether the engine can't be used without a report
        :returns: seconds; 0 without a rate limit
        """
        spacing = self.ledger.sends.limit.spacing()
        return spacing if is_uncertain else spacing / _REPORT_SHARE

    async def load(self, held: HeldAdapter, victim: HeldAdapter | None) -> None:
        """Load an adapter, then resume the requests that wait for it.

        :param victim: adapter to unload first, if a slot is needed
        """
        try:
            async with self._order_lock:
                outcome = await self._load(held, victim)
        except BaseException:
            self._record_interrupted(held)
            raise
        if outcome not in _LOAD_OUTCOMES:
            waiters = self.waiting.pop(held.name, [])
            await self._context.listener.load_failed(waiters, outcome)
            return
        await self._await_accepted_load(held)

    def _record_interrupted(self, held: HeldAdapter) -> None:
        """Keep the slot of a load that ended without an outcome."""
        named = self.ledger.chain.sequence or 0
        self.ledger.residency.record_load(held, OrderOutcome.UNKNOWN, named)

    async def _await_accepted_load(self, held: HeldAdapter) -> None:
        """Wait for a load and count it as in progress if it is a fetch."""
        loads = self.ledger.loads
        fetches = held.load is not None and not held.load.is_kept
        loads.under_way += fetches
        try:
            await self.await_load(held)
        finally:
            loads.under_way -= fetches

    async def await_load(self, held: HeldAdapter) -> None:
        """Wait until an adapter should be loaded, then resume its requests."""
        await curio.sleep(max(0, held.ready_at - clock.now()))
        held.replaces = None
        if held.state is AdapterState.LOADING:
            held.state = AdapterState.RESIDENT
        for waiter in self.waiting.pop(held.name, []):
            await waiter.settled.set()
        await self._context.listener.serve_waiting()

    async def _load(
        self,
        held: HeldAdapter,
        victim: HeldAdapter | None,
    ) -> OrderOutcome:
        victim = victim or self._victim_of_first_order(held)
        answer = _NOT_SENT
        if victim is None or await self._unload(victim):
            answer = await self._order_load(held)
        ledger = self.ledger
        proof = ledger.residency.record_load(held, answer.outcome, answer.named)
        if proof is SlotProof.FREE:
            ledger.forget(held.name)
        self._context.counts.loads += answer is not _NOT_SENT
        if answer.outcome is OrderOutcome.ACCEPTED:
            self._record_accepted_load(held, answer.named)
        elif answer.outcome is OrderOutcome.HOLDS:
            # The owner did not know that the engine holds the adapter.
            held.ready_at = clock.now()
            ledger.chain.record_acknowledged()
        else:
            self._record_refusal(answer.outcome)
        return answer.outcome

    async def _order_load(self, held: HeldAdapter) -> _Answer:
        """Order a load if the engine is known to have a slot for it."""
        if self.ledger.has_room(held):
            return await self._order_adapter(Action.LOAD, held)
        note(
            logger,
            'load held back, no slot is known to be free',
            upstream=self.ledger.upstream.id,
            adapter=held.name,
            is_current=self.ledger.residency.holds(held),
            held=len(self.ledger.held),
            slots=self.ledger.slots(),
        )
        return _NOT_SENT

    def _record_accepted_load(self, held: HeldAdapter, named: int) -> None:
        replaced = held.replaces
        self.ledger.record_load_accepted(held)
        chain = self.ledger.chain
        is_repeated = replaced is not None and replaced.may_be_in_progress()
        if is_repeated or not chain.was_holder:
            # The engine does not count a load that is in progress, be it by
            # an earlier order or by one of another VM.
            chain.record_acknowledged()
        else:
            chain.record_accepted(named)

    def _victim_of_first_order(self, held: HeldAdapter) -> HeldAdapter | None:
        """Return an adapter to unload before the first load of a new owner.

        An engine accepts a load of an adapter that is already being loaded
        from any sender, whatever sequence number the order has. So two VMs that
        both believe to own the engine could each load the same popular
        adapter. Of two unloads the engine accepts only the first. The same
        holds for an owner that has sent no order for a lease.
        """
        if not self._needs_compared_order():
            return None
        popularity = self._context.popularity
        victim = self.ledger.least_valuable(popularity)
        if victim is not None:
            self.ledger.residency.begin_unload(victim)
        return victim

    def _needs_compared_order(self) -> bool:
        """Return whether the engine has to compare the count of the next order.

        A VM that has ordered last and misses no other VM need not evict an
        adapter for that while slots are free.
        """
        chain = self.ledger.chain
        if chain.is_holder():
            return False
        is_alone = chain.ordered and chain.sees_all()
        return not (is_alone and self.ledger.free_slots() >= 0)

    async def _unload(self, victim: HeldAdapter) -> bool:
        """Unload an adapter; return whether its slot is free."""
        residency = self.ledger.residency
        if not residency.holds(victim):
            return True
        answer = await self._order_adapter(Action.UNLOAD, victim)
        self._context.counts.unloads += 1
        proof = residency.record_unload(victim, answer.outcome)
        if proof is SlotProof.FREE:
            self.ledger.chain.record_accepted(answer.named)
            if residency.holds(victim):
                self.ledger.forget(victim.name)
            return True
        if answer.outcome is OrderOutcome.ACCEPTED:
            # A request still uses the adapter. The engine unloads it when
            # that request ends; a report shows when.
            self.ledger.chain.record_acknowledged()
        else:
            self._record_refusal(answer.outcome)
        return False

    async def _order_adapter(
        self,
        action: Action,
        held: HeldAdapter,
    ) -> _Answer:
        model = next(iter(self.ledger.models), ModelId(''))
        version = held.version if action is Action.LOAD else 0
        return await self._send(action, model, held.name, version)

    async def _send(
        self,
        action: Action,
        model: ModelId,
        adapter: AdapterId,
        version: int,
    ) -> _Answer:
        chain = self.ledger.chain
        if not self.ledger.may_order():
            return _NOT_SENT
        count = chain.sequence or 0
        order = Order(
            action,
            model,
            adapter,
            count,
            self._context.vm,
            self._numbers.number(
                self.ledger.born, count, is_tenant=chain.ordered
            ),
            version,
        )
        self.ledger.sends.add()
        claim = self._context.claim_status()
        sent = _SentOrder(order, self.ledger, self._numbers.source, claim)
        starts = chain.starts
        chain.record_sent()
        chain.in_flight = True
        try:
            outcome = await self._link.order(order)
        finally:
            chain.in_flight = False
        sent.log(outcome)
        if chain.starts != starts:
            # The answer concerns an earlier start of the engine.
            return _NOT_SENT
        return _Answer(outcome, order.sequence)

    def _record_refusal(self, outcome: OrderOutcome) -> None:
        chain = self.ledger.chain
        if outcome is OrderOutcome.UNKNOWN:
            chain.record_unanswered()
        elif outcome is OrderOutcome.CONFLICT:
            self._context.counts.conflicts += 1
            chain.record_conflict()
        elif outcome is OrderOutcome.OUTBID:
            chain.record_conflict()
            self._numbers.raise_above()
        elif outcome is OrderOutcome.GONE:
            self.ledger.record_failure()

    async def _poll_report(self) -> None:
        ledger = self.ledger
        report = await self._link.report(_REPORT_PATIENCE_SECONDS)
        self.ledger.sends.add()
        if report is None:
            # Otherwise an unreachable engine would be assigned requests until
            # its entry expires some four seconds later, and each would wait
            # in vain.
            ledger.silent = True
            return
        ledger.silent = False
        ledger.lacks_model = False
        if ledger.born and report.born != ledger.born:
            self._context.counts.restarts += 1
            logger.warning('upstream {} restarted', ledger.upstream.id)
            ledger.restart(report.born)
            await self.requeue_waiting()
        ledger.born = report.born
        counted = ledger.chain.sequence or 0
        was_unanswered = ledger.chain.awaits_report()
        if ledger.chain.record_report(report):
            self._context.counts.foreign += 1
            logger.warning(
                'upstream {} accepts orders from another sender; sequence={}',
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
        if was_unanswered and not ledger.chain.awaits_report():
            note(
                logger,
                'unanswered order settled',
                upstream=ledger.upstream.id,
                named=counted,
                reported=report.sequence,
                report_age=round(report.age_seconds(), 3),
            )
        self._adopt(report)
        await self._settle_loaded()
        is_idle = not ledger.is_busy and not ledger.is_loading_model()
        if not ledger.models and is_idle:
            await self.load_model()
        await self._context.listener.serve_waiting()

    def _adopt(self, report: EngineReport) -> None:
        ledger = self.ledger
        change = ledger.adopt(report)
        if not change:
            return
        note(
            logger,
            'report changes the ledger',
            upstream=ledger.upstream.id,
            sequence=report.sequence,
            busy=report.is_busy,
            report_age=round(report.age_seconds(), 3),
            adopted=logged_names(change.adopted),
            forgotten=logged_names(change.forgotten),
            held=len(ledger.held),
            free=ledger.free_slots(),
        )

    async def release(self) -> None:
        """Send no more orders, and return waiting requests to the queue."""
        self.ledger.chain.stop()
        await self.requeue_waiting()

    async def requeue_waiting(self) -> None:
        """Return all requests that wait for a load to the queue."""
        for name in list(self.waiting):
            await self._context.listener.requeue(self.waiting.pop(name, []))

    async def _settle_loaded(self) -> None:
        """Resume requests whose load a report shows as ended.

        No task waits for a load that the previous owner ordered.
        """
        for name in list(self.waiting):
            held = self.ledger.held.get(AdapterId(name))
            if held is None:
                waiters = self.waiting.pop(name, [])
                await self._context.listener.requeue(waiters)
            elif held.state is AdapterState.RESIDENT:
                for waiter in self.waiting.pop(name, []):
                    await waiter.settled.set()

    async def load_model(self) -> None:
        """Load a base model into an engine that has none.

        An engine that was added or restarted holds no model. Without this,
        replacing one of five engines leaves a fifth of their capacity idle.
        """
        if not self.ledger.chain.shows_last_order():
            # The predecessor may have ordered it already.
            return
        model = self._context.choose_model(self.ledger)
        if not model or not self.ledger.may_order():
            return
        self.ledger.fetches_model = model not in self.ledger.at_hand
        self.ledger.model_ready_at = clock.now() + _MODEL_LOAD_TIMEOUT_SECONDS
        async with self._order_lock:
            answer = await self._send(Action.LOAD, model, AdapterId(''), 0)
        if answer.outcome in _LOAD_OUTCOMES:
            # The engine does not count it if it is loading the model already.
            self.ledger.chain.record_acknowledged()
            self._context.counts.model_loads += 1
        elif answer.outcome is OrderOutcome.UNKNOWN:
            self.ledger.unanswered_model_order = answer.named
            self._record_refusal(answer.outcome)
        else:
            self.ledger.model_ready_at = 0
            self._record_refusal(answer.outcome)
