"""A bound: the same arrivals with the future known.

All slots of a model are one pool, nothing is pinned, seats are unlimited and
the victim is the adapter whose next request is furthest away (Belady). Only
the store's time for a load remains. No policy on the real system does better
without loading before a request asks.
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
    """What the clairvoyant policy reaches."""

    loads: int = 0
    stalled: int = 0
    stall_seconds: float = 0


def clairvoyant(load: list[Arrival], slots: int) -> Bound:
    """Run Belady's policy over ``load`` with ``slots`` in all."""
    uses: dict[int, list[float]] = defaultdict(list)
    for arrival in reversed(load):
        uses[arrival.adapter].append(arrival.at)
    ready_at: dict[int, float] = {}
    furthest: list[tuple[float, int]] = []
    bound = Bound()
    for arrival in load:
        adapter = arrival.adapter
        uses[adapter].pop()
        if adapter not in ready_at:
            if len(ready_at) >= slots:
                _evict(ready_at, furthest, uses)
            ready_at[adapter] = arrival.at + LOAD_SECONDS
            bound.loads += 1
        wait = ready_at[adapter] - arrival.at
        if wait > 0:
            bound.stalled += 1
            bound.stall_seconds += wait
        following = uses[adapter][-1] if uses[adapter] else _NEVER
        heapq.heappush(furthest, (-following, adapter))
    return bound


def _evict(
    ready_at: dict[int, float],
    furthest: list[tuple[float, int]],
    uses: dict[int, list[float]],
) -> None:
    while furthest:
        following, adapter = heapq.heappop(furthest)
        current = uses[adapter][-1] if uses[adapter] else _NEVER
        if adapter in ready_at and -following == current:
            del ready_at[adapter]
            return
