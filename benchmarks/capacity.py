"""Measures the slopes in docs/CAPACITY.md: ``make capacity``.

Prints, for each figure on that page, what is measured, the range of sizes,
the fitted line with its error, and the value at the target size.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from benchmarks.control import SIZES, Fit, idle_cost, print_costs
from flamingovalve.claims.table import ClaimTable
from flamingovalve.cmd.tables import table
from flamingovalve.config.adapters import AdapterTableBuilder
from flamingovalve.engines.residents import Popularity
from flamingovalve.generated import messages
from flamingovalve.generated.ids import (
    AdapterId,
    ClaimKey,
    Incarnation,
    ModelId,
    VersionId,
    VmId,
)
from flamingovalve.generated.messages import ClaimState, MemberState
from flamingovalve.generated.settings import (
    Adapter,
    ClaimSettings,
    PublishedVm,
    VmList,
)
from flamingovalve.membership.members import MemberTable
from flamingovalve.membership.rumours import RumourQueue
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 760
ENGINES = 2600
ADAPTERS = 100_000
MODELS = 3

_REPEATS = 200


def main() -> None:
    """Run all measurements and print their tables."""
    _print_memory()
    _print_times()
    print_costs([idle_cost(size) for size in SIZES])


def _print_memory() -> None:
    rows = []
    for name, build, sizes, target in (
        ('adapter table', _adapters, (10_000, 30_000, 100_000), ADAPTERS),
        ('member table', _members, (50, 200, 760), NODES),
        ('claim records', _claims, (1000, 5000, 20_000), 20_000),
        ('popularity of adapters in use', _popularity, (500, 2000, 8000), 8000),
    ):
        points = [
            (float(size), _allocated_bytes(build, size)) for size in sizes
        ]
        fit = Fit.through(points)
        rows.append(
            (
                name,
                f'{sizes[0]} to {sizes[-1]}',
                f'{fit.slope:.0f}',
                f'{fit.error:.0%}',
                f'{fit.at(target) / 1e6:.2f}',
            ),
        )
    headings = ('MEMORY', 'RANGE', 'BYTES EACH', 'WORST MISS', 'MB AT TARGET')
    print(table(headings, rows))
    print()


def _allocated_bytes(build: Callable[[int], Any], size: int) -> float:
    tracemalloc.start()
    structure = build(size)
    allocated_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del structure
    return float(allocated_bytes)


def _adapters(size: int) -> Any:
    builder = AdapterTableBuilder()
    for index in range(size):
        builder.add(
            Adapter(
                AdapterId(f'customer-{index:06d}'),
                ModelId(f'model-{index % MODELS}'),
                ['1', '2'],
                VersionId('2'),
                [f'application-{index % 40}'],
            ),
        )
    return builder.build()


def _members(size: int) -> Any:
    members = MemberTable(VmId('vm-0'), Incarnation(1))
    members.replace_list(VmList(1, _published(size)))
    return members


def _published(size: int) -> list[PublishedVm]:
    return [
        PublishedVm(
            VmId(f'vm-{index}'),
            f'domain-{index % 20}',  # type: ignore[arg-type]
            f'10.0.{index // 250}.{index % 250}:8080',
            f'10.0.{index // 250}.{index % 250}:7946',
        )
        for index in range(size)
    ]


def _claims(size: int) -> Any:
    claims = ClaimTable(ClaimSettings())
    for index in range(size):
        record = claims.add(
            ClaimKey(f'permit.{index:0180d}'),
            ClaimState.FINISHED,
            (VmId('vm-1'), Incarnation(1)),
            index.to_bytes(32, 'big'),
        )
        if record is not None:
            record.record_answer(200, 'application/json', b'x' * 200)
    return claims


def _popularity(size: int) -> Any:
    popularity = Popularity()
    for index in range(size):
        popularity.add(f'customer-{index:06d}@2')
    return popularity


def _print_times() -> None:
    engines = [f'engine-{index}' for index in range(ENGINES // MODELS)]
    nodes = [f'vm-{index}' for index in range(NODES)]
    members = _members(NODES)
    queue = _rumour_queue()
    adapters = _adapters(ADAPTERS)
    rng = random.Random(1)
    datagram = messages.Datagram(
        VmId('vm-1'),
        Incarnation(1),
        1,
        queue.take(8, NODES),
        messages.Ping(VmId('vm-2'), VmId('vm-1'), 1),
    )
    encoded = messages.encode_datagram(datagram)
    rows = [
        _timed(
            f'first 8 of {len(engines)} engines, not cached',
            lambda: hashing.first(f'a{rng.random()}', engines, 8),
        ),
        _timed(
            f'order of {NODES} VMs for an engine, weights cached',
            lambda: hashing.rank('engine-1', nodes),
        ),
        _timed(
            f'look-up among {ADAPTERS} adapters',
            lambda: adapters.find(f'customer-{rng.randrange(ADAPTERS):06d}'),
        ),
        _timed(
            'present VMs of 760, after a change',
            lambda: _recompute_present(members),
        ),
        _timed(
            'rumours for a datagram, 400 waiting', lambda: queue.take(8, NODES)
        ),
        _timed(
            'encode a datagram of 8 rumours',
            lambda: messages.encode_datagram(datagram),
        ),
        _timed(
            'decode a datagram of 8 rumours',
            lambda: messages.decode_datagram(encoded),
        ),
    ]
    print(table(('PROCESSOR TIME', 'US'), rows))
    print()


def _recompute_present(members: MemberTable) -> Any:
    members.epoch += 1
    members.invalidate_present()
    return members.present_ids()


def _rumour_queue() -> RumourQueue:
    queue = RumourQueue()
    for index in range(400):
        queue.add(
            messages.MemberRumour(
                VmId(f'vm-{index}'),
                Incarnation(1_750_000_000_000_000),
                index,
                MemberState.SUSPECT,
            ),
        )
    return queue


def _timed(name: str, operation: Callable[[], Any]) -> tuple[str, str]:
    operation()
    started_at = time.process_time()
    for _repeat in range(_REPEATS):
        operation()
    mean_seconds = (time.process_time() - started_at) / _REPEATS
    return name, f'{mean_seconds * 1e6:.1f}'


if __name__ == '__main__':
    main()
