"""Checks the orders that one engine has accepted, in their sequence."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.platform_runner import AcceptedOrder

LEASE_SECONDS: Final = 3.0


def find_violations(orders: Sequence[AcceptedOrder]) -> list[str]:
    """Return a description of each violation."""
    return [*_lower_fences(orders), *_shared_fences(orders), *_turns(orders)]


def _lower_fences(orders: Sequence[AcceptedOrder]) -> list[str]:
    return [
        f'lower fence: {_text(earlier)}, then {_text(later)}'
        for earlier, later in pairwise(orders)
        if later.fence < earlier.fence
    ]


def _shared_fences(orders: Sequence[AcceptedOrder]) -> list[str]:
    first_by_fence: dict[int, AcceptedOrder] = {}
    broken = []
    for order in orders:
        first = first_by_fence.setdefault(order.fence, order)
        if first.holder != order.holder:
            broken.append(f'shared fence: {_text(first)} and {_text(order)}')
    return broken


def _turns(orders: Sequence[AcceptedOrder]) -> list[str]:
    last_by_holder: dict[str, AcceptedOrder] = {}
    broken = []
    for earlier, later in pairwise(orders):
        last_by_holder[earlier.holder] = earlier
        last = last_by_holder.get(later.holder)
        if last is None or earlier.holder == later.holder:
            continue
        if later.at - last.at < LEASE_SECONDS:
            broken.append(
                f'turns: {_text(last)}, {_text(earlier)}, {_text(later)}'
            )
    return broken


def _text(order: AcceptedOrder) -> str:
    return f'{order.holder} with {order.fence} at {order.at:.2f}'
