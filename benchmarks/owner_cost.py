"""Processor time of one place: ``python -m benchmarks.owner_cost``.

Runs the owner of a group without a network: requests a place on a resident
adapter and ends it, while other requests wait for an adapter slot. Requests
of several workspaces are served in fair shares.
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
from flamingovalve.gateway.fencing import ClaimStatus
from flamingovalve.gateway.model import (
    EngineTraits,
    ModelTraits,
    Upstream,
    UpstreamState,
)
from flamingovalve.gateway.orders import Order, OrderOutcome
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated import ids
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
from flamingovalve.generated.messages import (
    PlaceAsk,
    PlaceEnd,
    PlaceOutcome,
    PromptPart,
)
from flamingovalve.generated.settings import GatewaySettings

_MODEL: Final = ModelId('base')
_SERVICE: Final = ServiceId('engines')
_UNLIMITED_SECONDS: Final = 1000.0
_MAX_EVENT_GAP: Final = 0.5
_ROUNDS: Final = 2000
# Number of non-resident adapters that the waiting requests ask for.
_COLD_ADAPTERS: Final = 3000
_BATCH: Final = 64
_ADAPTER_MB: Final = 40.0
_MODEL_MB: Final = 40_000.0


class IdleEngineLink:
    """Link to an engine that sends no reports and refuses orders.

    The state of the engine is written to the ledger of the owner directly.
    """

    status = UpstreamStatus()

    async def report(self, _patience: float) -> None:
        """Wait without receiving a report."""
        await curio.sleep(_UNLIMITED_SECONDS)

    async def order(self, _order: Order) -> OrderOutcome:
        """Refuse every order."""
        return OrderOutcome.REFUSED


def main() -> None:
    """Measure and print the table; log lines are formatted, but discarded."""
    logbook.NullHandler().push_application()
    rows = [
        (
            str(engines),
            str(slots),
            str(waiting),
            str(workspaces),
            f'{curio.run(_measure, engines, slots, waiting, workspaces):.0f}',
        )
        for engines, slots, waiting, workspaces in (
            (6, 18, 0, 1),
            (6, 18, 50, 1),
            (6, 18, 200, 1),
            (6, 18, 500, 1),
            (12, 18, 0, 1),
            (24, 18, 0, 1),
            (24, 18, 200, 1),
            (6, 108, 0, 1),
            (6, 18, 50, 16),
            (6, 18, 500, 16),
            (6, 18, 500, 400),
        )
    ]
    headings = (
        'ENGINES',
        'SLOTS',
        'WAITING',
        'WORKSPACES',
        'MICROSECONDS A PLACE',
    )
    print(table(headings, rows))


async def _measure(
    engines: int,
    slots: int,
    waiting: int,
    workspaces: int,
) -> float:
    """Return the microseconds to request one place and end it."""
    rng = random.Random(1)
    owner, held = await _build_owner(engines, slots)
    request_numbers = itertools.count()
    for name in held:
        # A request stays on each adapter, so that none can be evicted.
        await owner.place(_build_ask(next(request_numbers), name))
    for number in range(waiting):
        cold_adapter = AdapterId(f'cold-{rng.randrange(_COLD_ADAPTERS)}')
        await curio.spawn(
            owner.place,
            _build_ask(
                next(request_numbers), cold_adapter, number % workspaces
            ),
            daemon=True,
        )
    await curio.sleep(0)
    started_at = time.process_time()
    for _round in range(_ROUNDS):
        number = next(request_numbers)
        ask = _build_ask(number, rng.choice(held), number % workspaces)
        place = await owner.place(ask)
        await owner.end(place, PlaceEnd(PlaceOutcome.FINISHED))
    elapsed = time.process_time() - started_at
    return elapsed / _ROUNDS * 1e6


async def _build_owner(
    engines: int,
    slots: int,
) -> tuple[GroupOwner, list[AdapterId]]:
    catalogue = Catalogue(lambda document: document)
    traits = EngineTraits(
        batch=_BATCH * slots,
        adapter_slots=slots,
        weight_mb=_MODEL_MB + _ADAPTER_MB * slots,
        models={
            _MODEL: ModelTraits(_MODEL, _MODEL_MB, _ADAPTER_MB, _COLD_ADAPTERS)
        },
    )
    vm = VmId('127.0.0.1:1')
    owner = GroupOwner(
        GatewaySettings(),
        GroupId(_SERVICE),
        vm,
        ClaimStatus,
        catalogue,
        lambda _upstream: IdleEngineLink(),
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
        ledger.born = 1
        for _slot in range(slots):
            name = AdapterId(f'a{len(names)}')
            names.append(name)
            ledger.held[name] = HeldAdapter(name, 1, AdapterState.RESIDENT)
    return owner, names


def _upstream(number: int) -> Upstream:
    return Upstream(
        UpstreamId(f'engine-{number}'),
        _SERVICE,
        f'engine-{number}:1',
        DomainId('east'),
        UpstreamState.READY,
        _BATCH,
    )


def _build_ask(
    number: int,
    adapter: AdapterId,
    workspace: int = 0,
) -> PlaceAsk:
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
        target=_UNLIMITED_SECONDS,
        max_event_gap=_MAX_EVENT_GAP,
        remaining=_UNLIMITED_SECONDS,
        patience=_UNLIMITED_SECONDS,
        domain=DomainId('east'),
        workspace=ids.WorkspaceId(f'w{workspace}'),
    )


if __name__ == '__main__':
    main()
