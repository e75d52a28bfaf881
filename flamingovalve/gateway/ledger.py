"""What the owner of an engine knows of it: adapters, places, backlog."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.gateway.fencing import NO_FENCE
from flamingovalve.gateway.learning import ExpectedLoad, KeptAdapters, LoadTimes
from flamingovalve.gateway.prefill import PrefillBacklog
from flamingovalve.gateway.prompts import ReadParts
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.gateway.orders import EngineReport, OrderChain
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.generated.ids import AdapterId, ModelId
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings

# A load that was refused as not there yet is tried again after this.
_LATE_LOAD_SECONDS: Final = 0.03
# An engine carries this many adapters on their way at once.
_MOST_COMING: Final = 4
# Reading a long prompt costs more than its tokens: attention grows with the
# square of its length.
_SECONDS_PER_TOKEN_PAIR: Final = 0.737e-9
# Of five requests in a row that fail, an engine is known to fail most.
_FAILING_STEP: Final = 0.15
# An engine that failed a request is left alone for twice this, then longer.
_FIRST_PAUSE_SECONDS: Final = 0.25
_LONGEST_PAUSE_SECONDS: Final = 4.0
# First events sooner than this tell of the network, not of the engine.
_SHORTEST_EXPECTATION_SECONDS: Final = 0.1
# One odd request in sixteen moves the pace by less than a tenth; an engine
# that is slow by half is known after a second or two of load.
_PACE_STEP: Final = 0.08
_MOST_RATIO: Final = 3.0
# Beyond these a pace tells of something else than the engine's speed.
_LEAST_PACE: Final = 0.7
_MOST_PACE: Final = 4.0
_FIRST_PACE: Final = 1.25


class Holding(Enum):
    """Where an adapter is on its way into or out of an engine."""

    COMING = 'coming'
    RESIDENT = 'resident'
    GOING = 'going'


@dataclass(slots=True)
class HeldAdapter:
    """One adapter that takes a slot.

    :ivar uses: places in use on it
    :ivar ready_at: when its load should be complete, on our clock
    :ivar replaces: the version that stays if the load does not come about
    :ivar is_ordered: false while its load still waits for its turn or for an
        answer; no report can show it before
    :ivar load: what was expected of its load, until a request shows whether
        it was there
    :ivar is_seen: whether a report or a request has shown it on the engine
    """

    name: AdapterId
    version: int
    state: Holding
    uses: int = 0
    ready_at: float = 0
    used_at: float = 0
    replaces: HeldAdapter | None = None
    is_ordered: bool = True
    load: ExpectedLoad | None = None
    is_seen: bool = True

    def is_idle(self) -> bool:
        """Tell whether it could give up its slot.

        One that should be there by now may still be on its way, and an
        engine has nothing to unload then.
        """
        if self.state is not Holding.RESIDENT or not self.is_seen:
            return False
        return not self.uses


@dataclass(slots=True)
class Place:
    """One request that an engine was chosen for.

    :ivar expected: seconds from its start to the first event, as expected
    :ivar taken_at: when it was given, on our clock
    """

    ask: PlaceAsk
    engine: EngineLedger
    expected: float
    taken_at: float = 0


@dataclass(slots=True)
class EngineLedger:
    """One engine as its owner knows it.

    :ivar parts: parts of prompts that it has read and keeps
    :ivar prefill: prompts given to it that should not be read yet
    :ivar pace: measured time to a first event over what prompts alone take
    :ivar avoided_until: not chosen before this moment after a failure
    :ivar failing: share of its requests that failed lately
    :ivar silent: whether it did not answer when it was last asked
    :ivar model_ready_at: when a base model on its way should be there
    :ivar at_hand: models that it can load without the weight store
    :ivar fence: fencing number of our next order; none until it was found
    :ivar fetches_model: whether the model on its way comes from that store
    """

    upstream: Upstream
    traits: EngineTraits
    settings: GatewaySettings
    chain: OrderChain
    held: dict[AdapterId, HeldAdapter] = field(default_factory=dict)
    models: set[ModelId] = field(default_factory=set)
    places: dict[str, Place] = field(default_factory=dict)
    parts: ReadParts = field(default_factory=ReadParts)
    born: int = 0
    prefill: PrefillBacklog = field(default_factory=PrefillBacklog)
    pace: float = _FIRST_PACE
    avoided_until: float = 0
    failures: int = 0
    failing: float = 0
    silent: bool = False
    model_ready_at: float = 0
    at_hand: frozenset[ModelId] = frozenset()
    fence: int = NO_FENCE
    fetches_model: bool = False
    reported_at: float = float('-inf')
    kept: KeptAdapters = field(default_factory=KeptAdapters)
    loads: LoadTimes = field(default_factory=LoadTimes)
    _victim: HeldAdapter | None = None

    def state_dump(self) -> dict[str, Any]:
        """Give what is known of the engine."""
        return {
            'held': list(self.held),
            'places': len(self.places),
            'sequence': self.chain.sequence,
            'pace': self.pace,
            'failing': self.failing,
            'adapters_kept': self.kept.capacity,
        }

    def may_order(self) -> bool:
        """Tell whether this engine may be given an order now."""
        return self.fence != NO_FENCE and self.chain.may_order()

    def slots(self) -> int:
        """Give the number of adapters that fit beside the models."""
        traits = self.traits
        room = traits.weight_mb
        size = 0.0
        for name in self.models:
            model = traits.models.get(name)
            if model is not None:
                room -= model.weight_mb
                size = max(size, model.adapter_mb)
        by_weight = int(room // size) if size else traits.adapter_slots
        return max(0, min(traits.adapter_slots, by_weight))

    def free_slots(self) -> int:
        """Give the slots that no adapter takes."""
        return self.slots() - len(self.held)

    def coming(self) -> int:
        """Count the adapters on their way."""
        return sum(
            entry.state is Holding.COMING for entry in self.held.values()
        )

    def prefill_seconds(self, ask: PlaceAsk) -> float:
        """Give what reading the prompt of ``ask`` should take here.

        Parts that this engine has read for the same adapter, all parts
        before them included, are kept and cost nothing.
        """
        unread = max(0, ask.prompt_tokens - self.parts.tokens_of(ask))
        pairs = unread * ask.prompt_tokens
        rate = self.settings.prefill_tokens_per_second
        return (unread / rate + pairs * _SECONDS_PER_TOKEN_PAIR) * self.pace

    def take(self, ask: PlaceAsk) -> Place:
        """Count a request as running here, once however often it is told."""
        known = self.places.get(ask.request_id)
        if known is not None:
            self.give_back(known)
        seconds = self.prefill_seconds(ask)
        expected = self.prefill.ahead() + seconds
        place = Place(ask, self, expected, clock.now())
        self.places[ask.request_id] = place
        self.prefill.add(ask.priority, seconds)
        self.parts.add(ask)
        adapter = self.held.get(ask.adapter)
        if adapter is not None:
            adapter.uses += 1
            adapter.used_at = clock.now()
        return place

    def give_back(self, place: Place) -> None:
        """Count a request as ended."""
        if self.places.pop(place.ask.request_id, None) is None:
            return
        adapter = self.held.get(place.ask.adapter)
        if adapter is not None and adapter.uses:
            adapter.uses -= 1
            if not adapter.uses:
                self._victim = None

    def least_valuable(self, popularity: Popularity) -> HeldAdapter | None:
        """Give the idle adapter that is asked for most rarely.

        Every choice asks for it, so the last answer is kept until one more
        adapter is idle.
        """
        known = self._victim
        if known is not None and self._could_give_way(known):
            return known
        idle = [held for held in self.held.values() if held.is_idle()]
        self._victim = min(
            idle,
            key=lambda held: (popularity.rank(held.name), held.used_at),
            default=None,
        )
        return self._victim

    def is_full(self) -> bool:
        """Tell whether its batch takes no more requests."""
        return len(self.places) >= self.traits.batch

    def _could_give_way(self, held: HeldAdapter) -> bool:
        return held.is_idle() and self.held.get(held.name) is held

    def has_opening(self, popularity: Popularity) -> bool:
        """Tell whether an adapter that is not here could be loaded now."""
        if self.is_full() or not self.may_load():
            return False
        if self.free_slots() > 0:
            return True
        return self.least_valuable(popularity) is not None

    def load_seconds(self, name: AdapterId) -> float:
        """Give what loading an adapter should take if it began now."""
        load = self.loads.expected(is_kept=name in self.kept)
        return load.ready_at - clock.now()

    def note_load_begun(self, held: HeldAdapter) -> None:
        """Expect an adapter whose load the engine has just accepted."""
        held.load = self.loads.expected(is_kept=held.name in self.kept)
        held.ready_at = held.load.ready_at

    def note_adapter_missing(self, name: AdapterId) -> HeldAdapter | None:
        """Note that the engine refused a request for want of its adapter.

        :returns: the adapter, if it should come yet
        """
        held = self.held.get(name)
        if held is None or held.state is not Holding.RESIDENT:
            return None
        held.state = Holding.COMING
        held.ready_at = clock.now() + _LATE_LOAD_SECONDS
        load = held.load
        held.load = None
        if load is not None:
            self.loads.note_miss(load)
            if load.is_kept:
                self.kept.note_missed(name)
                held.ready_at = max(held.ready_at, load.fetched_at)
        return held

    def note_adapter_present(self, name: AdapterId) -> None:
        """Note that a request found its adapter loaded."""
        held = self.held.get(name)
        if held is None:
            return
        held.is_seen = True
        if held.load is None:
            return
        self.loads.note_hit(held.load)
        if held.load.is_kept:
            self.kept.note_found(name)
        held.load = None

    def may_load(self) -> bool:
        """Tell whether the engine takes one more load."""
        return self.may_order() and self.coming() < _MOST_COMING

    def forget(self, name: AdapterId) -> None:
        """Count an adapter as gone, with what was kept for it."""
        gone = self.held.pop(name, None)
        if gone is not None:
            gone.state = Holding.GOING
        self.kept.note_left(name)
        self.parts.forget(name)

    def adopt(self, report: EngineReport) -> None:
        """Take over what a report shows, where our own orders say nothing.

        Only a report that knows of our last order is as new as what we know.
        """
        self.reported_at = clock.now()
        self.models = set(report.models)
        self.at_hand = report.at_hand
        if report.sequence != self.chain.sequence:
            return
        for name, version in report.resident.items():
            self._adopt_resident(name, version)
        for name in report.coming:
            if name not in self.held:
                held = HeldAdapter(name, 0, Holding.COMING)
                held.ready_at = clock.now() + self.loads.seconds
                self.held[name] = held
        self._forget_missing({*report.resident, *report.coming})
        self._victim = None

    def _adopt_resident(self, name: AdapterId, version: int) -> None:
        known = self.held.get(name)
        if known is None:
            self.held[name] = HeldAdapter(name, version, Holding.RESIDENT)
            return
        if version < known.version:
            # A report that is older than the load of this version.
            return
        known.version = version
        known.is_seen = True
        if known.state is Holding.COMING:
            known.state = Holding.RESIDENT

    def _forget_missing(self, shown: set[AdapterId]) -> None:
        # A report may be older than what was ordered a moment ago.
        oldest = clock.now() - self.settings.report_lag_seconds * 2
        missing = [
            held.name
            for held in self.held.values()
            if held.name not in shown
            and held.is_ordered
            and held.used_at < oldest
        ]
        for name in missing:
            self.forget(name)

    def restart(self, born: int) -> None:
        """Count everything as lost: the engine began anew."""
        self.born = born
        self.held.clear()
        self._victim = None
        self.models.clear()
        self.model_ready_at = 0
        self.parts.clear()
        self.kept.clear()
        self.prefill.clear()
        self.failing = 0
        self.chain.restart()

    def is_usable(self) -> bool:
        """Tell whether requests may be sent here at the moment."""
        return not self.silent and clock.now() >= self.avoided_until

    def is_loading_model(self) -> bool:
        """Tell whether a base model is on its way here."""
        return not self.models and clock.now() < self.model_ready_at

    def note_answer(self) -> None:
        """Note that the engine answers when it is asked."""
        self.silent = False

    def note_silence(self) -> None:
        """Choose the engine no more until it answers again."""
        self.silent = True

    def note_failure(self) -> None:
        """Avoid the engine for a while, longer with each failure in a row."""
        self.failures += 1
        pause = _FIRST_PAUSE_SECONDS * 2**self.failures
        pause = min(pause, _LONGEST_PAUSE_SECONDS)
        self.avoided_until = clock.now() + pause

    def note_verdict(self, *, failed: bool) -> None:
        """Learn from the end of one request.

        An engine that fails some of its requests still serves the others.
        Left alone for a while after each failure, engines that all fail in
        part would serve half of what they could.
        """
        self.failing += (failed - self.failing) * _FAILING_STEP
        if not failed:
            self.failures = 0

    def note_first_event(self, place: Place, seconds: float) -> None:
        """Learn how fast the engine is from one measured first event.

        What waits was estimated with the pace of its time, so the ratio of
        measured to expected corrects the pace itself.
        """
        if place.expected < _SHORTEST_EXPECTATION_SECONDS:
            return
        ratio = min(max(seconds / place.expected, 1 / _MOST_RATIO), _MOST_RATIO)
        self.pace *= ratio**_PACE_STEP
        self.pace = min(max(self.pace, _LEAST_PACE), _MOST_PACE)
