"""Adds jitter to the times after which refused callers should retry.

Callers that are refused together with the same retry time would return as the
same burst.
"""

from __future__ import annotations

from typing import Final

from flamingovalve.util import hashing

# Largest extension of a wait, as a share of it.
_MAX_JITTER_SHARE: Final = 0.3


def add_jitter(seconds: float, request_id: str) -> float:
    """Return ``seconds`` extended by a share derived from the request id."""
    fraction = hashing.uniform('return', request_id)
    return seconds * (1 + _MAX_JITTER_SHARE * fraction)
