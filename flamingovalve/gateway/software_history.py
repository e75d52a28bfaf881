"""Since when services have upstreams of one software version only."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import ServiceId


@dataclass(frozen=True, slots=True)
class SoleSoftware:
    """The only software version of a service.

    :ivar seconds: for how long no other one has been listed
    """

    software: str
    seconds: float


class SoftwareHistory:
    """The software versions of the listed upstreams, leaving ones included."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self._counts_by_service: dict[ServiceId, Counter[str]] = {}
        self._sole_since: dict[ServiceId, float] = {}

    def add(self, upstream: Upstream) -> None:
        """Record that an upstream is listed."""
        counts = self._counts_by_service.setdefault(upstream.service, Counter())
        counts[upstream.software] += 1
        self._update(upstream.service)

    def remove(self, upstream: Upstream) -> None:
        """Record that an upstream is not listed any more."""
        counts = self._counts_by_service[upstream.service]
        counts[upstream.software] -= 1
        if not counts[upstream.software]:
            del counts[upstream.software]
        self._update(upstream.service)

    def sole(self, service: ServiceId) -> SoleSoftware | None:
        """Return the only version of a service; None if there are several."""
        since = self._sole_since.get(service)
        if since is None:
            return None
        software = next(iter(self._counts_by_service[service]))
        return SoleSoftware(software, clock.now() - since)

    def _update(self, service: ServiceId) -> None:
        if len(self._counts_by_service[service]) == 1:
            self._sole_since.setdefault(service, clock.now())
        else:
            self._sole_since.pop(service, None)
