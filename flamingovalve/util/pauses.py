"""Pauses that double with each failure in succession."""

from __future__ import annotations

from typing import Final

# Far beyond every limit of a pause; 2**1024 does not fit into a float.
_MAX_DOUBLINGS: Final = 30


def doubled(first: float, doublings: int, longest: float) -> float:
    """Return ``first`` seconds, doubled some times, at most ``longest``."""
    return min(first * 2 ** min(doublings, _MAX_DOUBLINGS), longest)
