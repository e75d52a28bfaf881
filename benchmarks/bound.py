"""Lower bound of load stalls: Belady's offline-optimal eviction.

All slots of a model form one pool, no adapter is pinned, batches are
unlimited, and the victim is the adapter whose next request is furthest in the
future. Only the load time of the store remains. No policy on the real system
does better unless it loads adapters before they are requested.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.workload import Arrival

LOAD_SECONDS = 0.25
_NEVER = float('inf')


@dataclass
class Bound:
    """Loads and stalls of the clairvoyant policy.

    :ivar stalled: number of requests that waited for a load
    """

    loads: int = 0
    stalled: int = 0
    stall_seconds: float = 0


def clairvoyant(load: list[Arrival], slots: int) -> Bound:
    """Run Belady's policy over ``load`` with ``slots`` slots in total."""
    uses_by_adapter: dict[int, list[float]] = defaultdict(list)
    for arrival in reversed(load):
        uses_by_adapter[arrival.adapter].append(arrival.at)
    ready_at: dict[int, float] = {}
    next_uses: list[tuple[float, int]] = []
    bound = Bound()
    for arrival in load:
        adapter = arrival.adapter
        uses_by_adapter[adapter].pop()
        if adapter not in ready_at:
            if len(ready_at) >= slots:
                _evict(ready_at, next_uses, uses_by_adapter)
            ready_at[adapter] = arrival.at + LOAD_SECONDS
            bound.loads += 1
        wait = ready_at[adapter] - arrival.at
        if wait > 0:
            bound.stalled += 1
            bound.stall_seconds += wait
        next_use = (
            uses_by_adapter[adapter][-1] if uses_by_adapter[adapter] else _NEVER
        )
        heapq.heappush(next_uses, (-next_use, adapter))
    return bound


def _evict(
    ready_at: dict[int, float],
    next_uses: list[tuple[float, int]],
    uses_by_adapter: dict[int, list[float]],
) -> None:
    while next_uses:
        next_use, adapter = heapq.heappop(next_uses)
        current_next_use = (
            uses_by_adapter[adapter][-1] if uses_by_adapter[adapter] else _NEVER
        )
        if adapter in ready_at and -next_use == current_next_use:
            del ready_at[adapter]
            return
