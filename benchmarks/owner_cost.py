"""Processor time of one place: ``python -m benchmarks.owner_cost``.

Plays the owner of a group alone, without a network: asks for a place on an
adapter that is held and gives it back, while others wait for a slot.
"""

from __future__ import annotations

import itertools
import random
import time
from typing import Final

import curio
import logbook

from flamingovalve.cmd.tables import table
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fencing import Fences
from flamingovalve.gateway.ledger import AdapterState, HeldAdapter
from flamingovalve.gateway.model import (
    EngineTraits,
    ModelTraits,
    Upstream,
    UpstreamState,
)
from flamingovalve.gateway.orders import Order, OrderOutcome
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.generated.ids import (
    AdapterId,
    DomainId,
    GroupId,
    ModelId,
    RequestId,
    ServiceId,
    UpstreamId,
    VmId,
)
from flamingovalve.generated.messages import PlaceAsk, PlaceOutcome, PromptPart
from flamingovalve.generated.settings import GatewaySettings

_MODEL: Final = ModelId('base')
_SERVICE: Final = ServiceId('engines')
_LONG_SECONDS: Final = 1000.0
_ROUNDS: Final = 2000
# Adapters beyond those that engines hold, which who waits asks for.
_COLD: Final = 3000
_BATCH: Final = 64
_ADAPTER_MB: Final = 40.0
_MODEL_MB: Final = 40_000.0


class StillLink:
    """An engine that says nothing; the owner knows what it holds."""

    async def report(self) -> None:
        """Say nothing."""
        await curio.sleep(_LONG_SECONDS)

    async def order(self, _order: Order) -> OrderOutcome:
        """Refuse."""
        return OrderOutcome.REFUSED


def main() -> None:
    """Measure and print the table; log lines are made, but go nowhere."""
    logbook.NullHandler().push_application()
    rows = [
        (
            str(engines),
            str(slots),
            str(waiting),
            f'{curio.run(_measure, engines, slots, waiting):.0f}',
        )
        for engines, slots, waiting in (
            (6, 18, 0),
            (6, 18, 50),
            (6, 18, 200),
            (6, 18, 500),
            (12, 18, 0),
            (24, 18, 0),
            (24, 18, 200),
            (6, 108, 0),
        )
    ]
    head = ('ENGINES', 'SLOTS', 'WAITING', 'MICROSECONDS A PLACE')
    print(table(head, rows))


async def _measure(engines: int, slots: int, waiting: int) -> float:
    """Give the microseconds to ask for one place and give it back."""
    chance = random.Random(1)
    owner, held = await _owner(engines, slots)
    serial = itertools.count()
    for name in held:
        # A request on each adapter for good: none can make room.
        await owner.place(_ask(next(serial), name))
    for _waiter in range(waiting):
        cold = AdapterId(f'cold-{chance.randrange(_COLD)}')
        await curio.spawn(owner.place, _ask(next(serial), cold), daemon=True)
    await curio.sleep(0)
    began = time.process_time()
    for _round in range(_ROUNDS):
        ask = _ask(next(serial), chance.choice(held))
        place = await owner.place(ask)
        await owner.end(place, PlaceOutcome.FINISHED, 0)
    spent = time.process_time() - began
    return spent / _ROUNDS * 1e6


async def _owner(
    engines: int,
    slots: int,
) -> tuple[GroupOwner, list[AdapterId]]:
    catalogue = Catalogue(lambda document: document)
    traits = EngineTraits(
        batch=_BATCH * slots,
        adapter_slots=slots,
        weight_mb=_MODEL_MB + _ADAPTER_MB * slots,
        models={_MODEL: ModelTraits(_MODEL, _MODEL_MB, _ADAPTER_MB, _COLD)},
    )
    vm = VmId('127.0.0.1:1')
    owner = GroupOwner(
        GatewaySettings(),
        GroupId(_SERVICE),
        vm,
        Fences(vm, _no_revision, 1),
        catalogue,
        lambda _upstream: StillLink(),
    )
    upstreams = [_upstream(number) for number in range(engines)]
    for upstream in upstreams:
        catalogue._apply_upstream(upstream)
    await owner.replace_engines(upstreams, traits)
    names = []
    for owned in owner.engines.engines_by_id.values():
        ledger = owned.ledger
        ledger.models.add(_MODEL)
        ledger.chain.sequence = 0
        ledger.fence = 1
        for _slot in range(slots):
            name = AdapterId(f'a{len(names)}')
            names.append(name)
            ledger.held[name] = HeldAdapter(name, 1, AdapterState.RESIDENT)
    return owner, names


async def _no_revision() -> None:
    """Give no revision."""


def _upstream(number: int) -> Upstream:
    return Upstream(
        UpstreamId(f'engine-{number}'),
        _SERVICE,
        f'engine-{number}:1',
        DomainId('east'),
        UpstreamState.READY,
        _BATCH,
    )


def _ask(number: int, adapter: AdapterId) -> PlaceAsk:
    return PlaceAsk(
        RequestId(f'request-{number}'),
        GroupId(_SERVICE),
        _MODEL,
        adapter,
        prompt_tokens=4,
        output_tokens=70,
        parts=[
            PromptPart('a', 1),
            PromptPart('b', 1),
            PromptPart(f'own-{number}', 2),
        ],
        target=_LONG_SECONDS,
        remaining=_LONG_SECONDS,
        patience=_LONG_SECONDS,
        domain=DomainId('east'),
    )


if __name__ == '__main__':
    main()
