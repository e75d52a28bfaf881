"""When refused callers should come back, so that they don't come together.

Answers the return of callers that were refused at the same moment: told the
same time, they would come back as the same burst.
"""

from __future__ import annotations

from typing import Final

from flamingovalve.util import hashing

# Callers that are refused together come back over this share of their wait.
_SPREAD_SHARE: Final = 0.3


def spread(seconds: float, request_id: str) -> float:
    """Lengthen a wait by a share that differs by request."""
    own = hashing.uniform('return', request_id)
    return seconds * (1 + _SPREAD_SHARE * own)
