"""Idempotency keys as callers make them."""

from __future__ import annotations

import itertools
import uuid

_COUNTER = itertools.count(1)
_VERSION = 7
_VARIANT = 2


def uuid7(seconds: float) -> str:
    """Give a UUIDv7 made at the Unix time ``seconds``."""
    made = int(seconds * 1000) << 80
    random_part = next(_COUNTER)
    bits = made | _VERSION << 76 | _VARIANT << 62 | random_part
    return str(uuid.UUID(int=bits))
