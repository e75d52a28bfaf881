"""Grants the places of a group's engines and queues requests for them."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch
from flamingovalve.gateway.admission import Admission, QueuePosition
from flamingovalve.gateway.announcements import Purpose
from flamingovalve.gateway.fair_shares import FairShares
from flamingovalve.gateway.group import EngineGroup
from flamingovalve.gateway.orders import OrderOutcome
from flamingovalve.gateway.place_queue import PlaceQueue
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.gateway.returns import Returns
from flamingovalve.gateway.stream_gaps import paused_too_long
from flamingovalve.gateway.waiting import Waiter
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink, OwnedEngine
    from flamingovalve.gateway.fencing import ClaimStatus
    from flamingovalve.gateway.ledger import EngineLedger, Place
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.generated.messages import PlaceAsk, PlaceEnd, PlaceHold
    from flamingovalve.generated.settings import GatewaySettings

logger = get_logger(__name__)

_OWNER_CHANGE_RETRY_SECONDS: Final = 0.2
_REFUSED_LOAD_RETRY_SECONDS: Final = 1.0
# Engines complete many responses in this time, from which their length is
# learnt.
_LARGE_OUTPUT_RETRY_SECONDS: Final = 2.0
# Upper limit of the wait reported while no engine can serve the request.
_MAX_WAIT_SECONDS: Final = 60.0


class GroupOwner:
    """Grants requests places on the engines of one group."""

    def __init__(
        self,
        settings: GatewaySettings,
        group: GroupId,
        vm: VmId,
        claim_status: Callable[[], ClaimStatus],
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
    ) -> None:
        """Create an owner without engines.

        :param claim_status: returns what is known of the group's ownership
        :param link_to: creates the connection to an engine
        """
        self._tasks = TaskSet()
        self._is_closed = False
        self.group = group
        self.claim_status = claim_status
        shares = FairShares.from_settings(settings)
        admission = Admission(Returns() if shares.is_enabled else None)
        self.engines = EngineGroup(
            settings,
            vm,
            claim_status,
            catalogue,
            link_to,
            self._tasks,
            admission.holds,
        )
        self.counts = self.engines.counts
        self._queue = PlaceQueue(self.engines, self._grant, shares, admission)

    async def start(self) -> None:
        """Start the periodic check of queued requests."""
        await self._tasks.spawn(self._queue.sweep_forever)

    async def close(self) -> None:
        """Stop sending orders and refuse every request that waits.

        Requests with a place may wait for a load, which is cancelled.
        """
        self._is_closed = True
        await self._queue.refuse_all(_not_owner_error())
        await self._tasks.cancel()
        for engine in self.engines.engines_by_id.values():
            await engine.requeue_waiting()

    async def replace_engines(
        self,
        upstreams: Iterable[Upstream],
        traits: EngineTraits,
    ) -> None:
        """Replace the set of owned engines by ``upstreams``."""
        await self.engines.replace(upstreams, traits, self)

    def state_dump(self) -> dict[str, Any]:
        """Return counts, learnt durations and ledgers as JSON values."""
        return {
            'counts': asdict(self.counts),
            'claim': asdict(self.claim_status()),
            'waiting': len(self._queue),
            **self._queue.state_dump(),
            'learnt': {
                'hold_seconds': self._queue.admission.holds.mean,
                'first_event_seconds': self._queue.admission.first_events.mean,
                'load_seconds': self.engines.loads.seconds,
                'full_speed_loads': self.engines.loads.full_speed,
                'output_share': self.engines.outputs.estimate,
                'prefill': self.engines.prefill_model.state_dump(),
                'stream_gaps': self.engines.gaps.state_dump(),
            },
            'engines': {
                name: engine.ledger.state_dump()
                for name, engine in self.engines.engines_by_id.items()
            },
        }

    # -- Places

    async def place(self, ask: PlaceAsk) -> Place:
        """Wait for a place for ``ask``.

        :raises ServingError: if none becomes available in time, or if the
            request may be declined and should try another group
        """
        immediate = self.place_immediately(ask)
        if immediate is not None:
            return immediate
        return await self.place_queued(ask)

    def place_immediately(self, ask: PlaceAsk) -> Place | None:
        """Return a place on an engine that holds the adapter, if there is one.

        Most requests ask for a resident adapter. They bypass the queue and
        need no task: queued requests wait for a slot, so none of them could
        make better use of the place. While engines are full, others may wait
        for the same adapter; those whose workspace is behind go first.

        :raises ServingError: if the request should try another group, or if
            it is too large for the engines
        """
        self.counts.asked += 1
        self._check_size(ask)
        self.engines.record_request(ask)
        if self.engines.budget is not None and not ask.may_decline:
            self.engines.budget.forget_declined(ask.adapter)
        choice = self.engines.choose(ask)
        if ask.may_decline and self._should_decline(ask, choice):
            raise self._declined_error(ask, choice)
        if choice is None or not choice.is_ready():
            return None
        if self._queue.must_queue(ask):
            return None
        self._queue.record_immediate(ask)
        place = choice.engine.take(ask)
        self.counts.granted += 1
        self._log_place(ask, choice, 0)
        return place

    async def place_queued(self, ask: PlaceAsk) -> Place:
        """Queue ``ask`` and wait until it is granted a place.

        :raises ServingError: if no place becomes available in time
        """
        if self._is_closed:
            raise _not_owner_error()
        waiter = Waiter(ask, clock.now(), clock.now())
        self._queue.enqueue(waiter)
        try:
            await self._queue.grant_same_adapter(ask.adapter)
            await self._queue.serve_waiting()
            await self._queue.refuse_if_too_late(waiter)
            await waiter.settled.wait()
        except curio.CancelledError:
            self._abandon(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.place is not None
        self.counts.granted += 1
        return waiter.place

    def _check_size(self, ask: PlaceAsk) -> None:
        """Check that an idle engine has memory for a request.

        :raises ServingError: if it would wait in vain
        """
        capacity = self.engines.memory_exceeded_by(ask)
        if not capacity:
            return
        self.counts.too_large += 1
        note(
            logger,
            'refused, too large for the engines',
            id=ask.request_id,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.output_tokens,
            memory_tokens=capacity,
        )
        if ask.prompt_tokens < capacity:
            raise _output_too_large_error(capacity)
        raise ServingError(
            ErrorKind.REQUEST_TOO_LARGE,
            f'{ask.prompt_tokens} tokens of the prompt exceed the memory of '
            f'the engines ({capacity} tokens); send a shorter prompt',
        )

    def _should_decline(
        self, ask: PlaceAsk, choice: dispatch.Choice | None
    ) -> bool:
        budget = self.engines.budget
        is_good = choice is not None and dispatch.is_acceptable(ask, choice)
        if budget is None:
            return not is_good
        if choice is None and self._is_starting():
            # The owners of other groups start too. The requests for one
            # adapter wait in one group, so that it is fetched once.
            return False
        wait = 0 if is_good else self._expected_wait(ask, choice)
        return budget.should_decline(ask, wait, self.engines.candidates(ask))

    def _is_starting(self) -> bool:
        cold_start = self.engines.cold_start
        if cold_start.is_active():
            return True
        return cold_start.awaits_reports(self.engines.ledgers())

    def _expected_wait(
        self, ask: PlaceAsk, choice: dispatch.Choice | None
    ) -> float:
        """Return the expected seconds until a first event in this group."""
        if choice is not None:
            return choice.wait
        waiting = len(self._queue)
        queue = QueuePosition(waiting, has_waiters=waiting > 0)
        engines = self.engines.candidates(ask)
        wait = self._queue.admission.expected_wait(ask, queue, engines)
        return min(wait, _MAX_WAIT_SECONDS)

    def _declined_error(
        self,
        ask: PlaceAsk,
        choice: dispatch.Choice | None,
    ) -> ServingError:
        """Return the error that sends a request to another group.

        Its expected wait in this group is too long.
        """
        self.counts.declined += 1
        wait = self._expected_wait(ask, choice)
        if self.engines.budget is not None:
            self.engines.budget.record_declined(ask.adapter)
        note(
            logger,
            'declined',
            id=ask.request_id,
            group=self.group,
            adapter=ask.adapter,
            expected=round(wait, 3),
            waiting=len(self._queue),
        )
        return ServingError(
            ErrorKind.NO_GOOD_PLACE,
            f'group {self.group} would delay the request; ask another group',
            retry_after=wait,
        )

    def adopt_place(self, hold: PlaceHold) -> Place | None:
        """Record a place that a previous owner granted."""
        engine = self.engines.engines_by_id.get(hold.upstream)
        if engine is None:
            return None
        ledger = engine.ledger
        name = hold.ask.adapter
        if name and name not in ledger.held:
            # It may still be loading there.
            ledger.held[name] = HeldAdapter(
                name, 0, AdapterState.RESIDENT, is_confirmed=False
            )
        place = ledger.take(hold.ask)
        place.is_adopted = True
        place.alone = None
        self._queue.shares.adopt(hold.ask)
        return place

    async def end(
        self,
        place: Place,
        end: PlaceEnd,
    ) -> None:
        """Release a place and record how its request ended."""
        engine = place.engine
        was_full = engine.is_full() or engine.tokens.is_short
        self._record_pauses(place, end)
        engine.give_back(place)
        await self._record_end(place, end)
        if end.leaving:
            self._record_leaving(engine)
        if end.outcome is PlaceOutcome.FINISHED:
            self._queue.admission.holds.record(clock.now() - place.taken_at)
            self._record_output(place, end.first_event)
        if end.first_event:
            self._queue.admission.first_events.record(end.first_event)
            engine.record_adapter_present(place.ask.adapter)
            engine.record_first_event(place, end.first_event)
        if was_full:
            await self._queue.fill(engine)
        await self._queue.serve_copies(engine)
        await self.serve_waiting()

    def _record_output(self, place: Place, first_event: float) -> None:
        """Learn the length of a response from the time that it took."""
        if first_event and not place.is_adopted:
            seconds = clock.now() - place.taken_at - first_event
            self.engines.outputs.record(place.ask.output_tokens, seconds)

    def _record_pauses(self, place: Place, end: PlaceEnd) -> None:
        """Learn from the pauses of a stream.

        Which prompts the stream of an adopted place met is not known.
        """
        self.counts.streams_paused += paused_too_long(place.ask, end)
        if not place.is_adopted:
            seconds = clock.now() - place.taken_at
            place.engine.streams.record_end(place.ask, end, seconds)

    def _record_leaving(self, engine: EngineLedger) -> None:
        """Grant no place on an engine that told another VM that it leaves."""
        departure = engine.sends.status.departure
        if not departure.is_known():
            note(
                logger,
                'upstream is leaving',
                upstream=engine.upstream.id,
                source='peer',
            )
        departure.record_told(Purpose.SERVE)

    async def _record_end(self, place: Place, end: PlaceEnd) -> None:
        """Record what the end of a request says about its engine."""
        engine = place.engine
        if end.rejected:
            engine.record_lack_of_room()
        match end.outcome:
            case PlaceOutcome.ABANDONED:
                return
            case PlaceOutcome.REFUSED if place.ask.adapter:
                await self._mark_adapter_missing(place)
            case PlaceOutcome.REFUSED:
                await self._mark_model_missing(place, end)
            case PlaceOutcome.DEFERRED:
                engine.sends.hold_back(end.retry_after)
            case PlaceOutcome.REJECTED:
                engine.record_rejection(end.retry_after)
            case PlaceOutcome.LOST:
                engine.record_outcome(failed=True)
                await self._request_report(place)
            case _:
                failed = end.outcome is not PlaceOutcome.FINISHED
                engine.record_outcome(failed=failed)

    async def _request_report(self, place: Place) -> None:
        """Request a report from an engine at once after a lost connection.

        If it has crashed, every request sent to it before the next periodic
        report would fail.
        """
        engine = self.engines.engines_by_id.get(place.engine.upstream.id)
        if engine is not None:
            await engine.report_now.set()

    async def _mark_model_missing(self, place: Place, end: PlaceEnd) -> None:
        """Send no requests to an engine that lacks its base model.

        Its next report says which models it has.
        """
        if not end.rejected:
            place.engine.lacks_model = True
            await self._request_report(place)

    async def _mark_adapter_missing(self, place: Place) -> None:
        """Send no requests for an adapter to an engine that lacks it."""
        engine = self.engines.engines_by_id.get(place.engine.upstream.id)
        held = place.engine.record_adapter_missing(place.ask.adapter)
        if engine is not None and held is not None:
            await self._tasks.spawn(engine.await_load, held)

    async def load_failed(
        self,
        waiters: list[Waiter],
        outcome: OrderOutcome,
    ) -> None:
        """Requeue requests, or refuse them if the engine refused the load.

        An engine refuses to load an adapter that its model does not have.
        Retrying such a load would send it hundreds of orders per second.
        """
        await self.requeue(waiters)
        if outcome is OrderOutcome.REFUSED:
            connected = [one for one in waiters if not one.is_disconnected]
            for waiter in connected:
                await self._queue.refuse(
                    waiter, _load_refused_error(waiter.ask.adapter)
                )

    async def requeue(self, waiters: list[Waiter]) -> None:
        """Put requests whose load failed back into the queue."""
        for waiter in waiters:
            if waiter.place is not None:
                waiter.place.engine.give_back(waiter.place)
            waiter.place = None
            if not waiter.is_disconnected:
                self._queue.enqueue(waiter)
        if self._is_closed:
            await self._queue.refuse_all(_not_owner_error())

    async def serve_waiting(self) -> None:
        """Grant places to queued requests that can be served now."""
        await self._queue.serve_waiting()

    def _abandon(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        if waiter.place is not None:
            waiter.place.engine.give_back(waiter.place)
        # A load that fails later must not requeue this request: its place
        # would never be released, and its adapter never unloaded.
        waiter.is_disconnected = True

    async def _grant(self, waiter: Waiter, choice: dispatch.Choice) -> None:
        """Grant a place; settle the waiter once the adapter is resident."""
        if self._is_closed:
            await self._queue.refuse(waiter, _not_owner_error())
            return
        ledger = choice.engine
        owned = self.engines.engines_by_id[ledger.upstream.id]
        source = ''
        if choice.load:
            source = self.engines.count_load(waiter.ask.adapter, ledger).value
            await self._start_load(owned, waiter.ask, choice.victim)
        held = ledger.held.get(waiter.ask.adapter)
        waiter.place = ledger.take(waiter.ask)
        waited = clock.now() - waiter.asked_at
        self._log_place(waiter.ask, choice, waited, source)
        if held is None or held.state is AdapterState.RESIDENT:
            await waiter.settled.set()
            return
        owned.waiting.setdefault(held.name, []).append(waiter)

    def _log_place(
        self,
        ask: PlaceAsk,
        choice: dispatch.Choice,
        waited: float,
        source: str = '',
    ) -> None:
        ledger = choice.engine
        note(
            logger,
            'place',
            id=ask.request_id,
            upstream=ledger.upstream.id,
            adapter=ask.adapter,
            workspace=ask.workspace,
            load=choice.load,
            source=source,
            expected=round(choice.wait, 3),
            waited=round(waited, 3),
            waiting=len(self._queue),
            report_age=round(clock.now() - ledger.reported_at, 2),
        )

    async def _start_load(
        self,
        owned: OwnedEngine,
        ask: PlaceAsk,
        victim: HeldAdapter | None,
    ) -> None:
        residency = owned.ledger.residency
        if victim is not None:
            residency.begin_unload(victim)
        held = HeldAdapter(
            ask.adapter,
            self.engines.version(ask),
            AdapterState.LOADING,
            ready_at=clock.now() + owned.ledger.load_seconds(ask.adapter),
            replaces=owned.ledger.held.get(ask.adapter),
            is_confirmed=False,
        )
        residency.begin_load(held)
        await self._tasks.spawn(owned.load, held, victim)


def _not_owner_error() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'another VM owns this group of engines now; ask that VM',
        retry_after=_OWNER_CHANGE_RETRY_SECONDS,
    )


def _output_too_large_error(capacity: int) -> ServingError:
    """Return the refusal of a request whose prompt alone would fit.

    It may fit later, as the expected length of responses is learnt.
    """
    return ServingError(
        ErrorKind.OVERLOADED,
        'the prompt and the expected response exceed the memory of the '
        f'engines ({capacity} tokens); ask for a shorter response, or retry '
        f'in {_LARGE_OUTPUT_RETRY_SECONDS} s',
        retry_after=_LARGE_OUTPUT_RETRY_SECONDS,
    )


def _load_refused_error(adapter: str) -> ServingError:
    return ServingError(
        ErrorKind.LOAD_FAILED,
        f'no engine can load adapter {adapter!r}; check that it exists',
        retry_after=_REFUSED_LOAD_RETRY_SECONDS,
    )
