"""Chooses the engine for a request, and what has to be loaded for it.

Answers the load of very many adapters before few places: a few hold most of
the requests, the rest come once and need a place for a second or two.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.ledger import HeldAdapter, Holding
from flamingovalve.generated.ids import ModelId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.gateway.ledger import EngineLedger, Popularity
    from flamingovalve.generated.messages import PlaceAsk

# An engine carries this many adapters on their way at once.
MOST_COMING: Final = 4
# An adapter that an engine held lately loads ten times as fast.
RECENT_SHARE: Final = 0.1
# Loads from the weight store that run at full speed over all engines.
FULL_SPEED_LOADS: Final = 8
# Low bits of a fencing number that name its VM.
FENCE_BITS: Final = 24
# What one more running request adds to the others' pauses, in seconds of
# wait: step time grows by about 0.2 ms a request on the users' engines.
_CROWD_SECONDS: Final = 0.004
_OTHER_DOMAIN_SECONDS: Final = 0.003


@dataclass(slots=True)
class Choice:
    """An engine for a request.

    :ivar wait: seconds until the first event, as expected
    :ivar load: whether the adapter has to be loaded first
    :ivar victim: adapter that makes room for it
    """

    engine: EngineLedger
    wait: float
    load: bool = False
    victim: HeldAdapter | None = None


def choose(
    ask: PlaceAsk,
    engines: Iterable[EngineLedger],
    popularity: Popularity,
    wanted_version: int,
) -> Choice | None:
    """Give the engine with the shortest wait for the first event.

    :param wanted_version: the version that the adapter must have; 0 for any
    :returns: nothing while no engine has a place for the adapter
    """
    best: Choice | None = None
    best_cost = float('inf')
    for engine in engines:
        choice = _consider(ask, engine, popularity, wanted_version)
        if choice is None:
            continue
        cost = choice.wait + _extra_cost(ask, choice, popularity)
        if cost < best_cost:
            best, best_cost = choice, cost
    return best


def _consider(
    ask: PlaceAsk,
    engine: EngineLedger,
    popularity: Popularity,
    wanted_version: int,
) -> Choice | None:
    if len(engine.places) >= engine.traits.batch:
        return None
    if ask.model not in engine.models:
        return None
    reading = engine.reading_seconds(ask)
    backlog = engine.backlog_seconds()
    if not ask.adapter:
        return Choice(engine, backlog + reading)
    held = engine.held.get(ask.adapter)
    if held is not None and held.state is not Holding.GOING:
        if not wanted_version or held.version >= wanted_version:
            loading = max(0, held.ready_at - clock.now())
            return Choice(engine, max(backlog, loading) + reading)
        if held.uses:
            return None
    loading = load_seconds(ask, engine)
    wait = max(backlog, loading) + reading
    if not _may_load(engine):
        return None
    if held is not None:
        # Another version of it: the load replaces the one that is there.
        return Choice(engine, wait, load=True)
    if engine.free_slots() > 0:
        return Choice(engine, wait, load=True)
    victim = least_valuable(engine, popularity)
    if victim is None:
        return None
    return Choice(engine, wait, load=True, victim=victim)


def model_in_demand(
    engines: list[EngineLedger],
    asked_by_model: dict[ModelId, int],
) -> ModelId:
    """Give the model whose engines have most to do; empty for none.

    Answers engines that begin empty. A model that no engine holds goes
    first, then the one with most requests for each engine that holds it.
    """
    names = {name for engine in engines for name in engine.traits.models}

    def need(name: ModelId) -> tuple[float, str]:
        holders = sum(name in engine.models for engine in engines)
        return ((asked_by_model.get(name, 0) + 1) / (holders + 0.01), name)

    return max(names, key=need, default=ModelId(''))


def load_seconds(ask: PlaceAsk, engine: EngineLedger) -> float:
    """Give what loading the adapter of ``ask`` should take."""
    seconds = engine.settings.adapter_load_seconds
    if ask.adapter in engine.recent:
        return seconds * RECENT_SHARE
    return seconds


def least_valuable(
    engine: EngineLedger,
    popularity: Popularity,
) -> HeldAdapter | None:
    """Give the idle adapter that is asked for most rarely."""
    idle = [
        held
        for held in engine.held.values()
        if held.state is Holding.RESIDENT and not held.uses
    ]
    if not idle:
        return None
    return min(
        idle,
        key=lambda held: (popularity.per_second(held.name), held.used_at),
    )


def _may_load(engine: EngineLedger) -> bool:
    return engine.chain.may_order() and engine.coming() < MOST_COMING


def _extra_cost(
    ask: PlaceAsk,
    choice: Choice,
    popularity: Popularity,
) -> float:
    """Give what a choice costs the requests that come after this one."""
    engine = choice.engine
    cost = len(engine.places) * _CROWD_SECONDS
    if engine.upstream.domain != ask.domain:
        cost += _OTHER_DOMAIN_SECONDS
    if choice.victim is not None:
        # It will be missed as often as it is asked for.
        rate = popularity.per_second(choice.victim.name)
        cost += min(rate, 1) * engine.settings.adapter_load_seconds
    if choice.load:
        cost += 0.5 * engine.settings.adapter_load_seconds
    return cost
