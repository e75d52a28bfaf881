"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import heapq
import math
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_CACHE_ENTRIES = 65536
_HASH_BITS = 64


@lru_cache(maxsize=_CACHE_ENTRIES)
def weight(key: str, candidate: str) -> int:
    """Return the weight of ``candidate`` for ``key``, a 64-bit integer."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Sort ``candidates`` by their weight for ``key``, heaviest first.

    Removing a candidate keeps the order of the others, so that only the keys
    for which it ranked first move, each to its second candidate.
    """
    return sorted(
        candidates,
        key=lambda candidate: (weight(key, candidate), candidate),
        reverse=True,
    )


def first(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Return the first ``count`` of :func:`rank`.

    Does not use the cache: the entries of thousands of candidates would evict
    those of short lists that are ranked often.
    """
    prefix = f'{key}\0'
    weighed = [
        (xxhash.xxh3_64_intdigest((prefix + candidate).encode()), candidate)
        for candidate in candidates
    ]
    return [name for _weight, name in heapq.nlargest(count, weighed)]


def heaviest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the first of :func:`rank` without sorting the rest."""
    return max(
        candidates,
        key=lambda candidate: (weight(key, candidate), candidate),
        default=None,
    )


def weighted_rank(key: str, sizes: Mapping[str, float]) -> list[str]:
    """Rank candidates for ``key`` by weighted rendezvous hashing.

    A candidate of twice the size ranks first twice as often. As with
    :func:`rank`, removing a candidate keeps the order of the others.
    """
    return sorted(
        sizes,
        key=lambda name: (_sized_weight(key, name, sizes[name]), name),
        reverse=True,
    )


def _sized_weight(key: str, name: str, size: float) -> float:
    return -size / math.log(uniform(key, name))


def uniform(key: str, candidate: str) -> float:
    """Return the hash as a uniform value strictly between 0 and 1."""
    return math.ldexp(weight(key, candidate) + 0.5, -_HASH_BITS)


def fingerprint(*parts: str | bytes) -> int:
    """Return a 64-bit digest of ``parts``, each prefixed by its length."""
    digest = xxhash.xxh3_64()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return digest.intdigest()
