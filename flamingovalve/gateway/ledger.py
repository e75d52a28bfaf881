"""The owner's state of an engine: adapters, places, prefill backlog."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.gateway.brittleness import Brittleness
from flamingovalve.gateway.fencing import UNKNOWN_START
from flamingovalve.gateway.learning import KeptAdapters, LoadTimes
from flamingovalve.gateway.prefill import PrefillBacklog, must_yield
from flamingovalve.gateway.prefill_model import (
    PrefillModel,
    PromptSize,
    default_model,
    size_of,
)
from flamingovalve.gateway.prompts import CachedParts
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.gateway.residency.residency import Residency
from flamingovalve.gateway.send_plan import SendPlan
from flamingovalve.gateway.stream_gaps import EngineStreams, StreamGaps
from flamingovalve.gateway.token_memory import TokenMemory
from flamingovalve.util import clock, hashing
from flamingovalve.util.pauses import doubled

if TYPE_CHECKING:
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.gateway.orders import EngineReport, OrderChain
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.gateway.residency.changes import ResidencyChange
    from flamingovalve.generated.ids import AdapterId, ModelId
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings

# Count of orders that no report shows.
NO_ORDER: Final = -1
# Delay before a request retries an adapter that was not loaded yet.
_LATE_LOAD_RETRY_SECONDS: Final = 0.03
# A load needs a free slot, which an unload makes.
_ORDERS_PER_LOAD: Final = 2
# Concurrent adapter loads that an engine supports.
_MAX_CONCURRENT_LOADS: Final = 4
# A queue of this length hardly delays a first event.
_NO_QUEUE_SECONDS: Final = 0.01
# Five consecutive failures bring the failing share above one half.
_FAILING_SMOOTHING_FACTOR: Final = 0.15
# The first pause after a failure is twice this; each further one doubles.
_BASE_PAUSE_SECONDS: Final = 0.25
_MAX_PAUSE_SECONDS: Final = 4.0
# A first event expected sooner measures the network rather than the engine.
_MIN_EXPECTED_SECONDS: Final = 0.1
# One outlier in sixteen requests changes the pace by less than a tenth; an
# engine that is slow by half is detected after a second or two of load.
_PACE_EXPONENT: Final = 0.08
_MAX_RATIO: Final = 3.0
# A pace outside these bounds has causes other than the engine's speed.
_MIN_PACE: Final = 0.7
_MAX_PACE: Final = 4.0
_INITIAL_PACE: Final = 1.25


@dataclass(slots=True)
class Place:
    """The place of one request on an engine.

    :ivar expected: expected seconds from its start to the first event
    :ivar taken_at: when the place was granted, on the monotonic clock
    :ivar is_adopted: whether a previous owner granted it, at an unknown time
    :ivar yields: whether it is prefilled after those that can be in time
    :ivar alone: size of its prompt if it met no queue and no load
    :ivar held: the adapter that it uses
    """

    ask: PlaceAsk
    engine: EngineLedger
    expected: float
    taken_at: float = 0
    is_adopted: bool = False
    yields: bool = False
    alone: PromptSize | None = None
    held: HeldAdapter | None = None


def _loading_seconds(held: HeldAdapter | None) -> float:
    if held is None or held.state is not AdapterState.LOADING:
        return 0
    return max(0, held.ready_at - clock.now())


def _is_loaded(ask: PlaceAsk, held: HeldAdapter | None) -> bool:
    if held is None:
        return not ask.adapter
    return held.state is AdapterState.RESIDENT and held.load is None


def _untaught_streams() -> EngineStreams:
    return EngineStreams(StreamGaps(is_enabled=True))


@dataclass(slots=True)
class EngineLedger:
    """The state of one engine as its owner knows it.

    :ivar residency: adapters that may occupy its slots
    :ivar parts: prompt parts in its prefix cache
    :ivar prefill: estimated prefill work queued on it
    :ivar pace: measured time to a first event, divided by the nominal prefill
        time
    :ivar avoided_until: end of the pause after a failure, on the monotonic
        clock
    :ivar failing: exponentially weighted share of failed requests
    :ivar silent: whether it did not respond to the last request for a report,
        and is excluded from choices until it does
    :ivar lacks_model: whether it refused a request for a base model since its
        last report, and is excluded from choices until the next one
    :ivar model_ready_at: when a base model being loaded should be ready
    :ivar unanswered_model_order: count that the order to load a base model
        named, while it is not known whether the engine has accepted it
    :ivar at_hand: models that it can load without the weight store
    :ivar fetches_model: whether the model being loaded comes from the weight
        store
    :ivar kept: adapters still in its memory after their unload
    :ivar reported_sequence: count of orders in its last report
    :ivar is_busy: whether its last report shows an order in progress
    :ivar sends: when it accepts requests, if it announces a rate limit
    :ivar tokens: tokens of its places
    :ivar prefill_model: prefill times of the group's engines at pace 1
    :ivar streams: its running streams and the prompts that they meet
    :ivar sender: this VM; empty if there is no other one
    :ivar rejections: what it rejected from all VMs, if it is brittle
    """

    upstream: Upstream
    traits: EngineTraits
    settings: GatewaySettings
    chain: OrderChain
    residency: Residency = field(default_factory=Residency)
    models: set[ModelId] = field(default_factory=set)
    places: dict[str, Place] = field(default_factory=dict)
    parts: CachedParts = field(default_factory=CachedParts)
    born: int = UNKNOWN_START
    prefill: PrefillBacklog = field(default_factory=PrefillBacklog)
    pace: float = _INITIAL_PACE
    avoided_until: float = 0
    failures: int = 0
    failing: float = 0
    silent: bool = False
    lacks_model: bool = False
    model_ready_at: float = 0
    unanswered_model_order: int = NO_ORDER
    at_hand: frozenset[ModelId] = frozenset()
    fetches_model: bool = False
    reported_at: float = float('-inf')
    reported_sequence: int = 0
    is_busy: bool = False
    kept: KeptAdapters = field(default_factory=KeptAdapters)
    loads: LoadTimes = field(default_factory=LoadTimes)
    sends: SendPlan = field(default_factory=SendPlan)
    tokens: TokenMemory = field(default_factory=TokenMemory)
    prefill_model: PrefillModel = field(default_factory=default_model)
    streams: EngineStreams = field(default_factory=_untaught_streams)
    rejections: Brittleness = field(default_factory=Brittleness)
    sender: str = ''
    _cached_victim: HeldAdapter | None = None

    @property
    def held(self) -> dict[AdapterId, HeldAdapter]:
        """Return the adapters that may occupy slots, by name."""
        return self.residency.by_name

    def state_dump(self) -> dict[str, Any]:
        """Return the engine's entry in the state dump."""
        return {
            'held': list(self.held),
            'places': len(self.places),
            'tokens': round(self.tokens.used),
            'token_shortages': self.tokens.shortages,
            'sequence': self.chain.sequence,
            'pace': self.pace,
            'failing': self.failing,
            'adapters_kept': self.kept.capacity,
        }

    def may_order(self) -> bool:
        """Return whether an order may be sent to this engine now.

        Without its start time an order has no number, and an engine that does
        not answer may have restarted.
        """
        may_order = self.born != UNKNOWN_START and not self.silent
        may_order = may_order and self.chain.may_order()
        if not self._is_compared() and not self.chain.may_order_uncompared():
            return False
        if self.is_busy and self.residency.has_waiting_unload():
            # The engine refuses other orders until that one is done.
            return False
        return may_order and not self.sends.status.is_closed(0)

    def _is_compared(self) -> bool:
        """Return whether the engine will compare the count of the next order.

        It does for the unload of an adapter that it holds.
        """
        return any(
            held.is_idle() or held.awaits_unload()
            for held in self.held.values()
        )

    def slots(self) -> int:
        """Return the number of adapters that fit beside the models."""
        traits = self.traits
        free_mb = traits.weight_mb
        size = 0.0
        for name in self.models:
            model = traits.models.get(name)
            if model is not None:
                free_mb -= model.weight_mb
                size = max(size, model.adapter_mb)
        by_weight = int(free_mb // size) if size else traits.adapter_slots
        return max(0, min(traits.adapter_slots, by_weight))

    def has_room(self, held: HeldAdapter) -> bool:
        """Return whether the engine is known to have a slot for a load."""
        return self.residency.has_room(held, self.slots())

    def free_slots(self) -> int:
        """Return the number of unoccupied slots."""
        return self.slots() - len(self.held)

    def coming(self) -> int:
        """Return the number of adapters being loaded."""
        return sum(
            entry.state is AdapterState.LOADING for entry in self.held.values()
        )

    def prefill_seconds(self, ask: PlaceAsk) -> float:
        """Return the expected seconds to prefill the prompt of ``ask``.

        Parts in the prefix cache cost nothing. A part is cached if the engine
        processed it for the same adapter after the same preceding parts.
        """
        size = size_of(ask, self.parts.cached_tokens(ask))
        return self.prefill_model.prefill_seconds(size) * self.pace

    def take(self, ask: PlaceAsk) -> Place:
        """Count a request as running here; a repeated call counts once."""
        known = self.places.get(ask.request_id)
        if known is not None:
            self.give_back(known)
        size = size_of(ask, self.parts.cached_tokens(ask))
        seconds = self.prefill_model.prefill_seconds(size) * self.pace
        queued = self.prefill.wait_seconds()
        fixed = self.prefill_model.fixed_seconds
        adapter = self.held.get(ask.adapter)
        yields = must_yield(
            self.settings,
            ask,
            max(queued, _loading_seconds(adapter)) + seconds + fixed,
        )
        if yields:
            queued = self.prefill.total_seconds()
        done = queued + seconds
        expected = done + fixed
        place = Place(ask, self, expected, clock.now(), yields=yields)
        self.places[ask.request_id] = place
        if self.traits.kv_tokens:
            self.tokens.take(ask, expected)
        self.sends.add()
        if yields:
            self.prefill.add_yielding(seconds)
        else:
            self.prefill.add(ask.priority, seconds)
        self.streams.start(ask, seconds, done)
        self.parts.add(ask)
        if adapter is not None:
            adapter.uses += 1
            adapter.used_at = clock.now()
            place.held = adapter
        is_undelayed = queued < _NO_QUEUE_SECONDS and not yields
        if is_undelayed and _is_loaded(ask, adapter):
            place.alone = size
        return place

    def give_back(self, place: Place) -> None:
        """Count a request as ended; a repeated call has no effect."""
        if self.places.pop(place.ask.request_id, None) is None:
            return
        self.tokens.give_back(place.ask.request_id)
        self.streams.end(place.ask)
        adapter = place.held
        if adapter is not None and adapter.uses:
            adapter.uses -= 1
            if not adapter.uses:
                self._cached_victim = None

    def least_valuable(self, popularity: Popularity) -> HeldAdapter | None:
        """Return the idle adapter with the lowest request rate.

        Every choice of an engine needs it, so the result is cached until
        another adapter becomes idle.
        """
        known = self._cached_victim
        if known is not None and self._is_evictable(known):
            return known
        # An engine accepts an unload that waits for requests from any sender,
        # so two VMs should not begin with the unload of one adapter.
        is_holder = self.chain.is_holder() or not self.sender
        idle = [held for held in self.held.values() if held.is_idle()]
        self._cached_victim = min(
            idle,
            key=lambda held: (
                0 if is_holder else hashing.uniform(self.sender, held.name),
                popularity.rank(held.name),
                held.used_at,
            ),
            default=None,
        )
        return self._cached_victim

    def is_full(self) -> bool:
        """Return whether its batch or its memory for tokens is full."""
        if len(self.places) >= self.traits.batch:
            return True
        return self.tokens.is_full(self.traits.kv_tokens)

    def _is_evictable(self, held: HeldAdapter) -> bool:
        return held.is_idle() and self.held.get(held.name) is held

    def can_load_adapter(self, popularity: Popularity) -> bool:
        """Return whether another adapter could be loaded now."""
        if self.is_full() or not self.may_load():
            return False
        if self.free_slots() > 0:
            return True
        return self.least_valuable(popularity) is not None

    def load_seconds(self, name: AdapterId) -> float:
        """Return the expected seconds of a load that begins now."""
        load = self.loads.expected(is_kept=name in self.kept)
        seconds = load.ready_at - clock.now()
        return self.sends.wait_seconds(_ORDERS_PER_LOAD + 1) + seconds

    def record_load_accepted(self, held: HeldAdapter) -> None:
        """Record that the engine has accepted the load of an adapter."""
        held.load = self.loads.expected(is_kept=held.name in self.kept)
        held.ready_at = held.load.ready_at

    def record_adapter_missing(self, name: AdapterId) -> HeldAdapter | None:
        """Record that the engine refused a request without its adapter.

        :returns: the adapter, if its load should still complete
        """
        held = self.held.get(name)
        if held is None or held.state is not AdapterState.RESIDENT:
            return None
        held.state = AdapterState.LOADING
        held.is_confirmed = False
        held.ready_at = clock.now() + _LATE_LOAD_RETRY_SECONDS
        load = held.load
        held.load = None
        if load is not None:
            self.loads.record_miss(load)
            if load.is_kept:
                self.kept.record_dropped(name)
                held.ready_at = max(held.ready_at, load.fetched_at)
        return held

    def record_adapter_present(self, name: AdapterId) -> None:
        """Record that a request found its adapter loaded."""
        held = self.held.get(name)
        if held is None:
            return
        held.is_confirmed = True
        if held.load is None:
            return
        self.loads.record_hit(held.load)
        if held.load.is_kept:
            self.kept.record_kept(name)
        held.load = None

    def may_load(self) -> bool:
        """Return whether the engine accepts another load."""
        return self.may_order() and self.coming() < _MAX_CONCURRENT_LOADS

    def forget(self, name: AdapterId) -> None:
        """Record that an adapter is unloaded and drop its cached prompts."""
        self.residency.remove(name)
        self.kept.record_unload(name)
        self.parts.forget(name)

    def adopt(self, report: EngineReport) -> ResidencyChange | None:
        """Update the state from a report.

        Adapters are updated only if the report includes the last order of
        this owner; an earlier report is older than the ledger.

        :returns: the adapters that it added and removed; None if it does not
            include that order
        """
        self.reported_at = clock.now()
        self.models = set(report.models)
        self.at_hand = report.at_hand
        self.reported_sequence = report.sequence
        self.is_busy = report.is_busy
        if report.sequence != self.chain.sequence:
            return None
        # A report may be older than the latest use.
        oldest_use = clock.now() - self.settings.report_lag_seconds * 2
        change = self.residency.adopt(
            report, clock.now() + self.loads.seconds, oldest_use
        )
        for name in change.forgotten:
            self.forget(name)
        self._cached_victim = None
        if report.sequence == self.unanswered_model_order:
            # The order to load a base model has not arrived.
            self.model_ready_at = 0
        self.unanswered_model_order = NO_ORDER
        return change

    def restart(self, born: int) -> None:
        """Reset the state after a restart of the engine."""
        self.born = born
        self.residency.clear()
        self._cached_victim = None
        self.models.clear()
        self.model_ready_at = 0
        self.unanswered_model_order = NO_ORDER
        self.is_busy = False
        self.parts.clear()
        self.kept.clear()
        self.prefill.clear()
        self.streams.clear_prompts()
        self.failing = 0
        self.chain.restart()

    def is_usable(self) -> bool:
        """Return whether requests may be sent to this engine now."""
        is_paused = self.silent or clock.now() < self.avoided_until
        is_paused = is_paused or self.lacks_model
        if is_paused or self.sends.status.departure.is_known():
            return False
        return not self.rejections.wait_seconds()

    def is_loading_model(self) -> bool:
        """Return whether a base model is being loaded."""
        return not self.models and clock.now() < self.model_ready_at

    def record_failure(self) -> None:
        """Pause the engine, longer with each consecutive failure."""
        self.failures += 1
        pause = doubled(_BASE_PAUSE_SECONDS, self.failures, _MAX_PAUSE_SECONDS)
        self.avoided_until = clock.now() + pause

    def record_lack_of_room(self) -> None:
        """Record that the engine had no room for a request of some VM."""
        told = self.sends.status.brittleness
        self.rejections.record_told(told.bears if told.is_known() else 0)
        self.rejections.record_rejection()

    def record_rejection(self, rest_seconds: float) -> None:
        """Pause an engine that rejects a VM's requests and wants rest.

        Other VMs try it again before the end of the rest, which concerns the
        rejected one only, but less and less often while it rejects them too.
        """
        rested_at = clock.now() + rest_seconds
        self.record_failure()
        self.avoided_until = min(self.avoided_until, rested_at)

    def record_outcome(self, *, failed: bool) -> None:
        """Record whether a request failed.

        An engine that fails some requests still serves the others. If each
        failure paused the engine, engines that all fail some requests would
        serve half of what they could.
        """
        self.failing += (failed - self.failing) * _FAILING_SMOOTHING_FACTOR
        if not failed:
            self.failures = 0

    def record_first_event(self, place: Place, seconds: float) -> None:
        """Update pace and prefill model from one measured time to a first event.

        The expected time was estimated with the pace of that time, so the
        ratio of measured to expected time corrects the pace itself.

        :param seconds: measured time from the start to the first event
        """
        if place.alone is not None:
            self.prefill_model.record(place.alone, self.pace, seconds)
        if place.yields or place.expected < _MIN_EXPECTED_SECONDS:
            # Later requests may go before one that yields.
            return
        ratio = min(max(seconds / place.expected, 1 / _MAX_RATIO), _MAX_RATIO)
        self.pace *= ratio**_PACE_EXPONENT
        self.pace = min(max(self.pace, _MIN_PACE), _MAX_PACE)
