"""Counters of the quarantine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class CrashCounts:
    """Counters of causes that were lost with upstreams that ended.

    :ivar crashes: ends of upstreams under requests of this VM
    :ivar cleared: ends of which a success here has exonerated a cause
    :ivar convicted: causes that this VM began to refuse
    :ivar acquitted: causes that this VM ceased to refuse after a success
    :ivar probes: requests that were sent to try a convicted cause
    :ivar refused: requests that were refused
    """

    crashes: int = 0
    cleared: int = 0
    convicted: int = 0
    acquitted: int = 0
    probes: int = 0
    refused: int = 0
