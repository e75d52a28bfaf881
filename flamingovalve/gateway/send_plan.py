"""Plans the requests of an owner to an engine with a rate limit."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingovalve.gateway.rate_limits import NO_LIMIT, burst_of
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.rate_limits import RateLimit


@dataclass(slots=True)
class SendPlan:
    """When an engine accepts another request after those that have a place.

    The keeper of the limit decides. The plan keeps an owner from granting
    places whose requests the keeper would hold back.

    :ivar status: what the engine announces
    :ivar used_until: when the limit has made up for all planned requests, on
        the monotonic clock
    """

    status: UpstreamStatus = field(default_factory=UpstreamStatus)
    used_until: float = 0

    @property
    def limit(self) -> RateLimit:
        """The rate limit that the engine announces."""
        return self.status.limit

    def is_limited(self) -> bool:
        """Return whether the engine announces a rate limit."""
        return self.limit.rate() != NO_LIMIT

    def wait_seconds(self, requests: int = 1) -> float:
        """Return the seconds until the last of some requests is accepted."""
        if not self.is_limited():
            return 0
        rate = self.limit.rate()
        planned = self.used_until - clock.now()
        wait = max(0, planned) + (requests - burst_of(rate)) / rate
        return max(wait, self.limit.wait_seconds())

    def add(self) -> None:
        """Plan one more request."""
        if self.is_limited():
            used_until = max(self.used_until, clock.now())
            self.used_until = used_until + self.limit.spacing()

    def cancel(self) -> None:
        """Take back one planned request that was not sent."""
        if self.is_limited():
            self.used_until -= self.limit.spacing()

    def hold_back(self, seconds: float) -> None:
        """Plan no request for ``seconds``."""
        rate = self.limit.rate()
        if rate == NO_LIMIT or math.isinf(seconds):
            return
        held_until = clock.now() + seconds + (burst_of(rate) - 1) / rate
        self.used_until = max(self.used_until, held_until)
