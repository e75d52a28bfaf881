"""Generates idempotency keys as callers do."""

from __future__ import annotations

import itertools
import uuid

_COUNTER = itertools.count(1)
_VERSION = 7
_VARIANT = 2


def uuid7(seconds: float) -> str:
    """Return a UUIDv7 with the Unix timestamp ``seconds``."""
    timestamp = int(seconds * 1000) << 80
    random_part = next(_COUNTER)
    bits = timestamp | _VERSION << 76 | _VARIANT << 62 | random_part
    return str(uuid.UUID(int=bits))
