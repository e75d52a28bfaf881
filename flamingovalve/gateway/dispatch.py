"""Chooses the engine for a request, and what has to be loaded for it.

Answers the load of very many adapters before few places: a few hold most of
the requests, the rest come once and need a place for a second or two.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.ledger import HeldAdapter, Holding
from flamingovalve.generated.ids import ModelId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.popularity import Popularity
    from flamingovalve.generated.messages import PlaceAsk

# Shares of what an answer in time is worth to its caller: lost by a late one,
# by each second of waiting, by each request that the batch holds already.
_LATE_SHARE: Final = 0.6
_WAIT_SHARE: Final = 0.06
_CROWD_SHARE: Final = 0.0015
_OTHER_DOMAIN_SHARE: Final = 0.001
# Lost by evicting an adapter that is asked for once a second.
_MISSED_SHARE: Final = 0.05
# Lost by others through a fetch, which takes capacity of the weight store.
_FETCH_SHARE: Final = 0.15
# A first event that is expected later than this share of its caller's
# patience often comes when the caller has left, and reading the prompt delays
# the others. An engine that has just come in would be given all that wait.
_USEFUL_SHARE: Final = 0.55
# Leaves room for what was guessed wrong, and for the ask of another group.
_GOOD_SHARE: Final = 0.6
# A queue this short, against the target, is no reason to ask another group.
_SHORT_QUEUE_SHARE: Final = 0.1
# Weighs a model that no engine holds before any that one does.
_NO_HOLDER: Final = 0.01
_LARGEST_EXPONENT: Final = 30.0
_SCATTER_SHARE: Final = 0.15
_SAFE_SHARE: Final = 0.8


@dataclass(slots=True)
class Choice:
    """An engine for a request.

    :ivar wait: seconds until the first event, as expected
    :ivar queued: how many of them are due to other requests
    :ivar load: whether the adapter has to be loaded first
    :ivar victim: adapter that makes room for it
    :ivar held: the adapter, where the engine holds it or is about to
    """

    engine: EngineLedger
    wait: float
    queued: float = 0
    load: bool = False
    victim: HeldAdapter | None = None
    held: HeldAdapter | None = None

    def is_ready(self) -> bool:
        """Tell whether the engine can take the request as it is."""
        if self.load:
            return False
        return self.held is None or self.held.state is Holding.RESIDENT


def choose(
    ask: PlaceAsk,
    engines: Iterable[EngineLedger],
    popularity: Popularity,
    wanted_version: int,
) -> Choice | None:
    """Give the engine where the least should be lost.

    :param wanted_version: the version that the adapter must have; 0 for any
    :returns: nothing while no engine has a place for the adapter
    """
    best: Choice | None = None
    best_cost = float('inf')
    for engine in engines:
        choice = _consider(ask, engine, popularity, wanted_version)
        if choice is None or choice.wait > ask.patience * _USEFUL_SHARE:
            continue
        cost = expected_loss(ask, choice, popularity)
        if cost < best_cost:
            best, best_cost = choice, cost
    return best


def _consider(
    ask: PlaceAsk,
    engine: EngineLedger,
    popularity: Popularity,
    wanted_version: int,
) -> Choice | None:
    if engine.is_full() or ask.model not in engine.models:
        return None
    if not ask.adapter:
        return _choice(ask, engine, 0)
    held = engine.held.get(ask.adapter)
    if held is None:
        return _with_load(ask, engine, popularity)
    if held.state is Holding.GOING:
        # Its unload is on the way. A load beside it would be forgotten with
        # it, and the engine crashes when it is ordered to hold one too many.
        return None
    if held.version < wanted_version:
        return _with_replacement(ask, engine, held)
    loading = max(0, held.ready_at - clock.now())
    choice = _choice(ask, engine, loading)
    choice.held = held
    return choice


def _with_replacement(
    ask: PlaceAsk,
    engine: EngineLedger,
    held: HeldAdapter,
) -> Choice | None:
    """Load another version in the place of the one that is there."""
    if held.uses or not engine.may_load():
        return None
    choice = _choice(ask, engine, engine.load_seconds(ask.adapter))
    choice.load = True
    return choice


def _with_load(
    ask: PlaceAsk,
    engine: EngineLedger,
    popularity: Popularity,
) -> Choice | None:
    if not engine.may_load():
        return None
    choice = _choice(ask, engine, engine.load_seconds(ask.adapter))
    choice.load = True
    if engine.free_slots() > 0:
        return choice
    choice.victim = engine.least_valuable(popularity)
    return None if choice.victim is None else choice


def _choice(ask: PlaceAsk, engine: EngineLedger, loading: float) -> Choice:
    """Expect a first event; loading overlaps the prompts ahead."""
    queued = max(0, engine.prefill.ahead() - loading)
    return Choice(
        engine, loading + queued + engine.prefill_seconds(ask), queued
    )


def is_good(ask: PlaceAsk, choice: Choice) -> bool:
    """Tell whether a choice should be in time, with some to spare.

    Answers adapters that are asked for more often than one group of engines
    can serve: whoever would be late here is better off in another group,
    also at the price of one more load. A load and a long prompt take as long
    anywhere else, so a wait for these alone is no reason to decline: adapters
    would be loaded all over the fleet and kept nowhere.
    """
    if choice.queued <= ask.target * _SHORT_QUEUE_SHARE:
        return True
    return choice.wait <= ask.target * _GOOD_SHARE


def soonest(ask: PlaceAsk, engines: Iterable[EngineLedger]) -> float:
    """Give the wait for a first event where it is shortest, places aside."""
    waits = [
        engine.prefill.ahead() + engine.prefill_seconds(ask)
        for engine in engines
        if ask.model in engine.models
    ]
    return min(waits, default=float('inf'))


def until_loads(ask: PlaceAsk, engines: Iterable[EngineLedger]) -> float:
    """Give the seconds until some engine holds or may load the adapter.

    An owner that has just started orders nothing for a lease.
    """
    waits = [
        0.0
        if not ask.adapter or ask.adapter in engine.held
        else max(0, engine.chain.stands_down_until - clock.now())
        for engine in engines
    ]
    return min(waits, default=0.0)


def model_in_demand(
    engines: list[EngineLedger],
    asked_by_model: dict[ModelId, int],
) -> ModelId:
    """Give the model whose engines have most to do; empty for none.

    Answers engines that begin empty. A model that no engine holds goes
    first, then the one with most requests for each engine that holds it.
    """
    names = sorted(
        {name for engine in engines for name in engine.traits.models}
    )
    needs = [
        asked_by_model.get(name, 0) / max(_holders(name, engines), _NO_HOLDER)
        for name in names
    ]
    if not names:
        return ModelId('')
    return names[needs.index(max(needs))]


def is_fetching(engines: list[EngineLedger]) -> bool:
    """Tell whether a base model is on its way from the weight store.

    Answers engines that are replaced together. A store that runs one load at
    full speed takes twice as long for each of two; in turn the first engine
    serves twice as soon and the second no later.
    """
    return any(
        engine.is_loading_model() and engine.fetches_model for engine in engines
    )


def openings(
    engines: Iterable[EngineLedger],
    popularity: Popularity,
) -> bool:
    """Tell whether some engine could load an adapter for who waits."""
    return any(engine.has_opening(popularity) for engine in engines)


def _holders(name: ModelId, engines: list[EngineLedger]) -> int:
    return sum(name in engine.models for engine in engines)


def expected_loss(
    ask: PlaceAsk,
    choice: Choice,
    popularity: Popularity,
) -> float:
    """Give what a choice should cost, as a share of a request's worth.

    The request itself loses by being late; those after it by what is
    fetched from the weight store or pushed out of the engine.
    """
    engine = choice.engine
    loss = _LATE_SHARE * _late_probability(choice.wait, ask.target)
    loss += choice.wait * _WAIT_SHARE + len(engine.places) * _CROWD_SHARE
    loss += engine.failing
    if engine.upstream.domain != ask.domain:
        loss += _OTHER_DOMAIN_SHARE
    if choice.victim is not None:
        rate = popularity.per_second(choice.victim.name)
        loss += min(rate, 1) * _MISSED_SHARE
    if choice.load and ask.adapter not in engine.kept:
        loss += _FETCH_SHARE
    return loss


def _late_probability(wait: float, target: float) -> float:
    """Give how likely a first event is late that should take ``wait``.

    Waits are guesses, and true ones scatter about them.
    """
    if target <= 0:
        return 1.0
    scatter = _SCATTER_SHARE * target
    exponent = (wait - _SAFE_SHARE * target) / scatter
    return 1 / (1 + math.exp(-_bounded(exponent)))


def _bounded(exponent: float) -> float:
    return max(-_LARGEST_EXPONENT, min(_LARGEST_EXPONENT, exponent))
