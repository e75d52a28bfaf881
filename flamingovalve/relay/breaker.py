"""Circuit breakers, one for each upstream, and the retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from flamingovalve.generated.settings import RelaySettings

logger = get_logger(__name__)


@dataclass(slots=True)
class Breaker:
    """State of the circuit breaker of one upstream.

    :ivar failures: consecutive failures since the last success
    :ivar open_until: time on the monotonic clock before which calls are
        refused; 0 while the breaker is closed
    """

    failures: int = 0
    open_until: float = 0


class BreakerSet:
    """Refuses calls to upstreams that keep failing.

    Each request to a dead upstream waits for a connect timeout, which slows
    down requests of every caller. While the breaker is open, requests go to
    other upstreams immediately; one call after the pause probes whether the
    upstream has recovered.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Take the thresholds of all breakers from ``settings``."""
        self.opened = 0
        self._settings = settings
        self._by_address: dict[str, Breaker] = {}

    def allows(self, address: str) -> bool:
        """Return whether a call to ``address`` may be made."""
        breaker = self._by_address.get(address)
        if breaker is None or not breaker.open_until:
            return True
        if clock.now() < breaker.open_until:
            return False
        # Half open: one probe call is allowed; the breaker stays open to
        # all other calls until the probe succeeds or the pause ends.
        breaker.open_until = clock.now() + self._settings.breaker_seconds
        return True

    def succeeded(self, address: str) -> None:
        """Record a successful call to ``address``."""
        breaker = self._by_address.get(address)
        if breaker is None:
            return
        if breaker.open_until:
            logger.info('circuit breaker closed: upstream {} answers', address)
        breaker.failures = 0
        breaker.open_until = 0

    def failed(self, address: str) -> None:
        """Record a failed call to ``address``."""
        breaker = self._by_address.setdefault(address, Breaker())
        breaker.failures += 1
        if breaker.failures < self._settings.breaker_failures:
            return
        if not breaker.open_until:
            self.opened += 1
            logger.warning(
                'circuit breaker opened: upstream {} keeps failing', address
            )
        breaker.open_until = clock.now() + self._settings.breaker_seconds

    def open_addresses(self) -> list[str]:
        """Return the addresses of upstreams whose breaker is open."""
        return [
            address
            for address, breaker in self._by_address.items()
            if breaker.open_until
        ]


class RetryBudget:
    """Token bucket that limits retries to a share of the successful calls.

    When upstreams fail for all callers, retries add load to an overload.
    The budget bounds that additional load.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Fill the budget up to the reserve in ``settings``."""
        self.spent = 0
        self.refused = 0
        self._ratio = settings.retry_ratio
        self._limit = float(settings.retry_reserve)
        self._tokens = self._limit

    def succeeded(self) -> None:
        """Add the configured fraction of a retry for a successful call."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def acquire(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
