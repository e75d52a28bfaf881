"""Decides whether a fetch from the weight store is worth its cost.

Written for services with far more adapters than slots, where most requests
name an adapter that is requested once in several seconds. A copy on a second
engine is mostly evicted unused, while the store slows down for all engines
and the copy takes a slot that another adapter needs.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.gateway.residency.held import AdapterState
from flamingovalve.util import clock
from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingovalve.gateway.learning import LoadTimes, MeanSeconds
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.generated.ids import AdapterId, UpstreamId
    from flamingovalve.generated.messages import PlaceAsk

# Cost of a fetch that runs at full speed, as a share of a request's value.
_FETCH_COST: Final = 0.15
# Bounds the price while the store is much slower than learned.
_MAX_CONTENTION: Final = 4.0
# Load rates of a shorter period vary by more than a third.
_LOAD_HALF_LIFE_SECONDS: Final = 5.0
# Without recent loads an adapter stays for an unknown, long time.
_MAX_STAY_SECONDS: Final = 30.0
# Duration of an unload, by which a slot or an adapter is unavailable.
_UNLOAD_SECONDS: Final = 0.05
# A group whose queue is this short, as a share of the target, does not
# decline; see ``dispatch.is_acceptable``.
_ACCEPTABLE_SHARE: Final = 0.6
# A fetch that takes a longer share of the patience is mostly abandoned.
_MAX_PATIENCE_SHARE: Final = 0.7
_MIN_RETRY_SECONDS: Final = 0.3
# Requests that wait for a slot look for one at least this often.
_SLOT_WAIT_SECONDS: Final = 1.0
# Declined adapters that are remembered; callers choose names freely.
_MAX_DECLINED_ADAPTERS: Final = 512


class LoadSource(Enum):
    """Where a load finds its adapter.

    ``STORE`` and ``COPY`` are fetches from the weight store; with ``COPY``,
    another engine of the group has the adapter.
    """

    STORE = 'store'
    COPY = 'copy'
    MEMORY = 'memory'


class Holder(NamedTuple):
    """An engine that holds, loads or keeps the adapter of a request.

    :ivar wait: expected seconds until the first event there
    """

    engine: EngineLedger
    wait: float


class LoadBudget:
    """Prices fetches of one group and delays those that can be avoided.

    :ivar holds: mean seconds for which a request keeps its place
    """

    def __init__(
        self,
        popularity: Popularity,
        loads: LoadTimes,
        holds: MeanSeconds,
    ) -> None:
        """Start without loads.

        :param popularity: request rates of adapters
        :param loads: learned load times and fetches in progress
        """
        self.holds = holds
        self._popularity = popularity
        self._loads = loads
        self._load_rate = DecayingRate(_LOAD_HALF_LIFE_SECONDS)
        self._waiting_by_engine: dict[UpstreamId, dict[AdapterId, float]] = {}
        self._declined_at: dict[AdapterId, float] = {}

    def record_load(self) -> None:
        """Count a load, which takes a slot from another adapter."""
        self._load_rate.add()

    def stay_seconds(self, engines: Sequence[EngineLedger]) -> float:
        """Return the mean seconds for which an adapter stays in a slot."""
        held = sum(len(engine.held) for engine in engines)
        rate = self._load_rate.per_second()
        if rate * _MAX_STAY_SECONDS <= held:
            return _MAX_STAY_SECONDS
        return held / rate

    def uses(
        self, adapter: AdapterId, engines: Sequence[EngineLedger]
    ) -> float:
        """Return the expected requests that use one more copy; at least 1."""
        copies = sum(has_copy(engine, adapter) for engine in engines)
        rate = self._popularity.per_second(adapter) / (copies + 1)
        return max(1, rate * self.stay_seconds(engines))

    def price(
        self, adapter: AdapterId, engines: Sequence[EngineLedger]
    ) -> float:
        """Return the cost of a fetch, as a share of a request's value.

        A load from the engine's memory has no price beyond its time.
        """
        contention = (self._loads.under_way + 1) / self._loads.full_speed
        contention = min(max(contention, 1), _MAX_CONTENTION)
        return _FETCH_COST * contention / self.uses(adapter, engines)

    # -- Copies that can be avoided

    def nearest_holder(
        self,
        ask: PlaceAsk,
        engines: Sequence[EngineLedger],
        wanted_version: int,
    ) -> Holder | None:
        """Return the engine with a copy that can serve a request first.

        Without this a request for an adapter in an engine's memory caused a
        fetch whenever the slots of that engine were all in use.

        :returns: None if no engine with a copy can ever serve it
        """
        holders = [
            Holder(engine, self._wait_at(ask, engine))
            for engine in engines
            if has_copy(engine, ask.adapter, wanted_version)
            and not engine.tokens.is_too_large(ask, engine.traits.kv_tokens)
        ]
        return min(holders, key=lambda one: one.wait, default=None)

    def record_waiting(self, adapter: AdapterId, engine: EngineLedger) -> None:
        """Record that requests wait for the slot of an engine with a copy.

        Entries are kept in the order in which they expire.
        """
        waiting = self._waiting_by_engine.setdefault(engine.upstream.id, {})
        waiting.pop(adapter, None)
        waiting[adapter] = clock.now()

    def is_awaited(self, engine: EngineLedger) -> bool:
        """Return whether requests wait for a slot of an engine."""
        return bool(self._awaited(engine))

    def take_waiting(self, engine: EngineLedger) -> AdapterId | None:
        """Remove and return an adapter that waits for a slot of an engine."""
        waiting = self._awaited(engine)
        if not waiting:
            return None
        name = next(iter(waiting))
        del waiting[name]
        return name

    def forget_engine(self, engine: UpstreamId) -> None:
        """Forget what waits for an engine that has left the group."""
        self._waiting_by_engine.pop(engine, None)

    def _awaited(self, engine: EngineLedger) -> dict[AdapterId, float]:
        """Return the adapters that wait for a slot, without expired ones."""
        waiting = self._waiting_by_engine.get(engine.upstream.id, {})
        expired_at = clock.now() - _SLOT_WAIT_SECONDS
        while waiting:
            name = next(iter(waiting))
            if waiting[name] > expired_at:
                break
            del waiting[name]
        return waiting

    def _wait_at(self, ask: PlaceAsk, engine: EngineLedger) -> float:
        """Return the expected seconds to a first event on a holder."""
        held = engine.held.get(ask.adapter)
        if held is None or held.state is AdapterState.UNPROVEN:
            wait = self._slot_wait(engine) + engine.load_seconds(ask.adapter)
        elif held.state is AdapterState.UNLOADING:
            wait = _UNLOAD_SECONDS + self._slot_wait(engine)
        else:
            wait = max(0, held.ready_at - clock.now())
        wait += self._place_wait(ask, engine)
        # A rate limit may delay the request longer than its adapter does.
        wait = max(
            wait,
            engine.prefill.wait_seconds(),
            engine.sends.wait_seconds(),
        )
        fixed_seconds = engine.prefill_model.fixed_seconds
        return wait + engine.prefill_seconds(ask) + fixed_seconds

    def _place_wait(self, ask: PlaceAsk, engine: EngineLedger) -> float:
        """Return the expected seconds until an engine has a place.

        One that ends frees a place, but rarely the memory of a long prompt.
        """
        fits = engine.tokens.fits(ask, engine.traits.kv_tokens)
        if fits and not engine.is_full():
            return 0
        others = self._awaited(engine).keys() - {ask.adapter}
        interval = self.holds.mean / max(len(engine.places), 1)
        first = interval if fits else self.holds.mean
        return first + len(others) * interval

    def _slot_wait(self, engine: EngineLedger) -> float:
        """Return the expected seconds until an engine can load an adapter.

        An adapter that many requests use becomes idle later.
        """
        if not engine.may_order():
            return math.inf
        if engine.free_slots() > 0:
            return 0
        rate = sum(
            1 / (1 + math.log(max(1, held.uses)))
            for held in engine.held.values()
        )
        return (len(self._awaited(engine)) + 1) * self.holds.mean / max(rate, 1)

    # -- Requests for other groups

    def should_decline(
        self,
        ask: PlaceAsk,
        wait: float,
        engines: Sequence[EngineLedger],
    ) -> bool:
        """Return whether another group should serve a request.

        Another group would have to fetch an adapter of this one. An adapter
        that this group declined is probably on another one for a while.

        :param wait: expected seconds until the first event in this group
        """
        late = ask.target * _ACCEPTABLE_SHARE
        if ask.adapter and _has_any_copy(engines, ask.adapter):
            allowed = ask.target + self._loads.seconds - late
            return wait > late + allowed / self.uses(ask.adapter, engines)
        declined_at = self._declined_at.get(ask.adapter, -math.inf)
        is_elsewhere = clock.now() < declined_at + self.stay_seconds(engines)
        return wait > late or is_elsewhere

    def record_declined(self, adapter: AdapterId) -> None:
        """Record that another group was asked to serve an adapter."""
        if not adapter:
            return
        self._declined_at.pop(adapter, None)
        self._declined_at[adapter] = clock.now()
        while len(self._declined_at) > _MAX_DECLINED_ADAPTERS:
            self._declined_at.pop(next(iter(self._declined_at)))

    def forget_declined(self, adapter: AdapterId) -> None:
        """Record that no other group serves an adapter better."""
        self._declined_at.pop(adapter, None)

    def find_refusal(
        self, ask: PlaceAsk, engines: Sequence[EngineLedger]
    ) -> ServingError | None:
        """Return a refusal if a fetch cannot be ready within the patience."""
        if not ask.adapter or _has_any_copy(engines, ask.adapter):
            return None
        fetch = min(
            (engine.load_seconds(ask.adapter) for engine in engines),
            default=0.0,
        )
        allowed = ask.patience * _MAX_PATIENCE_SHARE
        if fetch <= allowed:
            return None
        pause = max(fetch - allowed, _MIN_RETRY_SECONDS)
        pause = return_times.add_jitter(pause, ask.request_id)
        return ServingError(
            ErrorKind.OVERLOADED,
            f'adapters load too slowly; retry in {pause:.1f} s',
            retry_after=pause,
        )


def has_copy(
    engine: EngineLedger, adapter: AdapterId, version: int = 0
) -> bool:
    """Return whether an engine holds, loads or keeps an adapter."""
    held = engine.held.get(adapter)
    if held is not None and held.state is not AdapterState.UNPROVEN:
        return held.version >= version
    return adapter in engine.kept


def _has_any_copy(engines: Sequence[EngineLedger], adapter: AdapterId) -> bool:
    return any(has_copy(engine, adapter) for engine in engines)
