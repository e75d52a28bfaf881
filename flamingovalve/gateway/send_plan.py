"""Plans the requests of an owner to an engine with a rate limit."""

from __future__ import annotations

from dataclasses import dataclass, field

from flamingovalve.gateway.rate_limits import NO_LIMIT, RateLimit
from flamingovalve.util import clock


@dataclass(slots=True)
class SendPlan:
    """When an engine accepts another request after those that have a place.

    The keeper of the limit decides. The plan keeps an owner from granting
    places whose requests the keeper would hold back.

    :ivar limit: the limit that the engine announces
    :ivar next_at: earliest time of another request, on the monotonic clock
    """

    limit: RateLimit = field(default_factory=RateLimit)
    next_at: float = 0

    def is_limited(self) -> bool:
        """Return whether the engine announces a rate limit."""
        return self.limit.rate() != NO_LIMIT

    def wait_seconds(self) -> float:
        """Return the seconds until the engine accepts another request."""
        if not self.is_limited():
            return 0
        opens_at = max(self.limit.opens_at, self.next_at)
        return max(0, opens_at - clock.now())

    def seconds_of(self, requests: int) -> float:
        """Return the seconds that the engine needs to accept requests."""
        return self.wait_seconds() + requests * self.limit.spacing()

    def add(self) -> None:
        """Plan one more request."""
        if self.is_limited():
            self.next_at = clock.now() + self.seconds_of(1)

    def hold_back(self, seconds: float) -> None:
        """Plan no request for ``seconds``."""
        self.next_at = max(self.next_at, clock.now() + seconds)
