"""Chooses the engine for a request and the adapter load that it needs.

There are far more adapters than adapter slots. A few adapters receive most of
the requests; the others are requested once and need a slot for a second or
two.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.prefill import must_yield
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.generated.ids import ModelId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.load_budget import LoadBudget
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.generated.messages import PlaceAsk

# Cost terms, as shares of the value of a timely response: for a late response,
# for each second of waiting, for each request already in the batch.
_LATE_COST: Final = 0.6
_WAIT_COST_PER_SECOND: Final = 0.06
_BATCHED_REQUEST_COST: Final = 0.0015
_OTHER_DOMAIN_COST: Final = 0.001
# Cost of evicting an adapter that is requested once a second.
_EVICTION_COST: Final = 0.05
# Requests go to engines without a rate limit first.
_LIMITED_COST: Final = 0.05
# A fetch takes weight store capacity from other loads; used without a budget.
_FETCH_COST: Final = 0.15
# If the first event is expected later than this share of the caller's
# patience, the caller has often disconnected by then, and the prefill delays
# other requests. Without this bound a newly added engine would be assigned all
# waiting requests.
_MAX_PATIENCE_SHARE: Final = 0.55
# Leaves a margin for estimation errors and for asking another group.
_ACCEPTABLE_TARGET_SHARE: Final = 0.6
# A queue of up to this share of the target is no reason to decline.
_SHORT_QUEUE_SHARE: Final = 0.1
# Divisor that ranks a requested model without engines above those with engines.
_NO_HOLDER_DIVISOR: Final = 0.01
_MAX_EXPONENT: Final = 30.0
_WAIT_SCATTER_SHARE: Final = 0.15
# A request whose expected wait is this share of the target is as likely to be
# late as in time.
_EVEN_ODDS_SHARE: Final = 0.8


@dataclass(slots=True)
class Choice:
    """An engine chosen for a request.

    :ivar wait: expected seconds until the first event
    :ivar queued: part of ``wait`` in seconds that other requests cause
    :ivar prefill: part of ``wait`` in seconds that its own prompt takes
    :ivar load: whether the adapter has to be loaded first
    :ivar victim: adapter to evict for the load
    :ivar held: the adapter's entry, if the engine holds or loads it
    """

    engine: EngineLedger
    wait: float
    queued: float = 0
    load: bool = False
    victim: HeldAdapter | None = None
    held: HeldAdapter | None = None
    prefill: float = 0

    def is_ready(self) -> bool:
        """Return whether the engine can run the request without a load."""
        if self.load:
            return False
        return self.held is None or self.held.state is AdapterState.RESIDENT

    def is_fetch(self, ask: PlaceAsk) -> bool:
        """Return whether the adapter has to come from the weight store."""
        return self.load and ask.adapter not in self.engine.kept


def choose(
    ask: PlaceAsk,
    engines: Sequence[EngineLedger],
    popularity: Popularity,
    wanted_version: int,
    budget: LoadBudget | None = None,
) -> Choice | None:
    """Return the engine with the lowest expected cost.

    :param wanted_version: minimum version of the adapter; 0 for any
    :param budget: prices fetches; each has a fixed cost without it
    :returns: the choice, or ``None`` if no engine can take the request now
        or if it should wait for an engine that has the adapter
    """
    choices = list(_possible(ask, engines, popularity, wanted_version))
    fetch_cost = _FETCH_COST
    if budget is not None and any(one.is_fetch(ask) for one in choices):
        fetch_cost = budget.price(ask.adapter, engines)
    loss_of = partial(
        expected_loss, ask, popularity=popularity, fetch_cost=fetch_cost
    )
    best = min(choices, key=loss_of, default=None)
    if budget is None or best is None or not best.is_fetch(ask):
        return best
    holder = budget.nearest_holder(ask, engines, wanted_version)
    if holder is None:
        return best
    later = Choice(
        holder.engine,
        holder.wait,
        prefill=holder.engine.prefill_seconds(ask),
    )
    if loss_of(best) <= loss_of(later):
        return best
    budget.record_waiting(ask.adapter, holder.engine)
    return None


def _possible(
    ask: PlaceAsk,
    engines: Sequence[EngineLedger],
    popularity: Popularity,
    wanted_version: int,
) -> Iterator[Choice]:
    """Yield the choices that are expected within the caller's patience."""
    for engine in engines:
        choice = _evaluate(ask, engine, popularity, wanted_version)
        if choice is None or choice.wait > ask.patience * _MAX_PATIENCE_SHARE:
            continue
        yield choice


def _evaluate(
    ask: PlaceAsk,
    engine: EngineLedger,
    popularity: Popularity,
    wanted_version: int,
) -> Choice | None:
    may_run = not engine.is_full() and ask.model in engine.models
    if not may_run or not engine.tokens.fits(ask, engine.traits.kv_tokens):
        return None
    if not ask.adapter:
        return _estimate(ask, engine, 0)
    held = engine.held.get(ask.adapter)
    if held is None:
        return _with_load(ask, engine, popularity)
    if held.state is AdapterState.UNLOADING:
        # An unload is in progress. Its completion would also remove a load
        # ordered now from the ledger, and the engine crashes when it is
        # ordered to hold more adapters than it has slots.
        return None
    if held.state is AdapterState.UNPROVEN or held.version < wanted_version:
        return _with_replacement(ask, engine, held)
    loading = max(0, held.ready_at - clock.now())
    choice = _estimate(ask, engine, loading)
    choice.held = held
    return choice


def _with_replacement(
    ask: PlaceAsk,
    engine: EngineLedger,
    held: HeldAdapter,
) -> Choice | None:
    """Return a choice that loads the adapter again into the same slot."""
    if held.uses or not engine.may_load():
        return None
    choice = _estimate(ask, engine, engine.load_seconds(ask.adapter))
    choice.load = True
    return choice


def _with_load(
    ask: PlaceAsk,
    engine: EngineLedger,
    popularity: Popularity,
) -> Choice | None:
    if not engine.may_load():
        return None
    choice = _estimate(ask, engine, engine.load_seconds(ask.adapter))
    choice.load = True
    if engine.free_slots() > 0:
        return choice
    choice.victim = engine.least_valuable(popularity)
    return None if choice.victim is None else choice


def _estimate(ask: PlaceAsk, engine: EngineLedger, loading: float) -> Choice:
    """Estimate the first event; the load overlaps queued prefills.

    :param loading: seconds until the adapter is loaded
    """
    send_wait = max(0, engine.sends.wait_seconds() - loading)
    prefills = engine.prefill.wait_seconds() - loading - send_wait
    queued = send_wait + max(0, prefills)
    prefill = engine.prefill_seconds(ask)
    alone = loading + prefill + engine.prefill_model.fixed_seconds
    if must_yield(engine.settings, ask, alone + queued):
        prefills = engine.prefill.total_seconds() - loading - send_wait
        queued = send_wait + max(0, prefills)
    return Choice(engine, alone + queued, queued, prefill=prefill)


def is_acceptable(ask: PlaceAsk, choice: Choice) -> bool:
    """Return whether a choice should be in time with some margin.

    An adapter may be requested more often than one group of engines can
    serve. A request that would be late in this group is better served by
    another group, even if that costs one more load. A load and a long prompt
    take as long in any group, so a wait for these alone is no reason to
    decline: adapters would be loaded in all groups and stay in none.
    """
    if choice.queued <= ask.target * _SHORT_QUEUE_SHARE:
        return True
    return choice.wait <= ask.target * _ACCEPTABLE_TARGET_SHARE


def min_first_event_seconds(
    ask: PlaceAsk, engines: Iterable[EngineLedger]
) -> float:
    """Return the shortest wait for a first event, ignoring places.

    :returns: seconds; infinite if no engine holds the model
    """
    waits = [
        engine.prefill.wait_seconds()
        + engine.prefill_seconds(ask)
        + engine.prefill_model.fixed_seconds
        for engine in engines
        if ask.model in engine.models
    ]
    return min(waits, default=float('inf'))


def load_wait_seconds(ask: PlaceAsk, engines: Iterable[EngineLedger]) -> float:
    """Return the seconds until some engine holds or may load the adapter.

    A new owner sends no orders for the duration of one lease.
    """
    waits = [
        0.0
        if not ask.adapter or ask.adapter in engine.held
        else max(0, engine.chain.paused_until - clock.now())
        for engine in engines
    ]
    return min(waits, default=0.0)


def limit_wait_seconds(ahead: int, engines: list[EngineLedger]) -> float:
    """Return the seconds until an engine accepts a waiting request.

    :param ahead: number of requests that are sent before it
    :returns: 0 if an engine has no rate limit
    """
    if not engines or not all(engine.sends.is_limited() for engine in engines):
        return 0
    rate = sum(engine.sends.limit.rate() for engine in engines)
    return min(engine.sends.wait_seconds() for engine in engines) + ahead / rate


def model_in_demand(
    engines: list[EngineLedger],
    asked_by_model: dict[ModelId, int],
) -> ModelId:
    """Return the model with the highest demand; empty if there is none.

    Used for engines that start without a model. A requested model that no
    engine holds ranks highest, then the one with most requests per engine that
    holds it.

    :param asked_by_model: number of requests for each model
    """
    names = sorted(
        {name for engine in engines for name in engine.traits.models}
    )
    needs = [
        asked_by_model.get(name, 0)
        / max(_holders(name, engines), _NO_HOLDER_DIVISOR)
        for name in names
    ]
    if not names:
        return ModelId('')
    return names[needs.index(max(needs))]


def is_fetching(engines: list[EngineLedger]) -> bool:
    """Return whether a base model is being fetched from the weight store.

    Engines that are replaced together fetch their models one after another.
    A store that serves one load at full speed takes twice as long for each of
    two concurrent loads; in sequence the first engine is ready in half that
    time and the second no later.
    """
    return any(
        engine.is_loading_model() and engine.fetches_model for engine in engines
    )


def any_can_load_adapter(
    engines: Iterable[EngineLedger],
    popularity: Popularity,
) -> bool:
    """Return whether some engine could load another adapter now."""
    return any(engine.can_load_adapter(popularity) for engine in engines)


def _holders(name: ModelId, engines: list[EngineLedger]) -> int:
    return sum(name in engine.models for engine in engines)


def expected_loss(
    ask: PlaceAsk,
    choice: Choice,
    popularity: Popularity,
    fetch_cost: float = _FETCH_COST,
) -> float:
    """Return the expected cost of a choice, as a share of a request's value.

    Lateness costs the request itself; a fetch from the weight store and an
    eviction cost later requests.

    :param fetch_cost: cost of a fetch, as a share of a request's value
    """
    engine = choice.engine
    late = _late_probability(choice.wait, ask.target)
    loss = _LATE_COST * late
    loss += (
        choice.wait * _WAIT_COST_PER_SECOND
        + len(engine.places) * _BATCHED_REQUEST_COST
    )
    loss += engine.failing
    if engine.sends.is_limited():
        loss += _LIMITED_COST
    if engine.upstream.domain != ask.domain:
        loss += _OTHER_DOMAIN_COST
    if choice.victim is not None:
        rate = popularity.per_second(choice.victim.name)
        loss += min(rate, 1) * _EVICTION_COST
    if choice.is_fetch(ask):
        loss += fetch_cost
    if engine.streams.have_cost():
        loss += _LATE_COST * _late_by_pauses(ask, choice, late)
    return loss


def _late_by_pauses(ask: PlaceAsk, choice: Choice, late: float) -> float:
    """Return the expected responses that pauses of the engine make late."""
    streams = choice.engine.streams
    responses = streams.risk() if ask.max_event_gap > 0 else 0
    if streams.are_delayed_by(choice.prefill):
        alone = _late_probability(choice.wait - choice.queued, ask.target)
        responses += streams.late_responses(choice.prefill, late - alone)
    return responses


def _late_probability(wait: float, target: float) -> float:
    """Return the probability that the first event misses the target.

    Actual waits scatter around the estimate; a logistic curve models this.

    :param wait: expected seconds until the first event
    """
    if target <= 0:
        return 1.0
    scatter = _WAIT_SCATTER_SHARE * target
    exponent = (wait - _EVEN_ODDS_SHARE * target) / scatter
    return 1 / (1 + math.exp(-_clamp(exponent)))


def _clamp(exponent: float) -> float:
    return max(-_MAX_EXPONENT, min(_MAX_EXPONENT, exponent))
