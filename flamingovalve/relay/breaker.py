"""Circuit breakers by upstream, and the retry budget."""

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
    """What one upstream did lately.

    :ivar failures: failures since the last success
    :ivar open_until: calls are refused before this moment, on our clock
    """

    failures: int = 0
    open_until: float = 0


class BreakerSet:
    """Refuses calls to upstreams that keep failing.

    A dead upstream costs each request a connect timeout, which shows as
    slow answers everywhere. While its breaker is open, requests go
    elsewhere at once; one call after the pause finds out whether it is back.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Open and close as ``settings`` say."""
        self.opened = 0
        self._settings = settings
        self._by_address: dict[str, Breaker] = {}

    def allows(self, address: str) -> bool:
        """Tell whether a call to ``address`` may be tried."""
        breaker = self._by_address.get(address)
        if breaker is None or not breaker.open_until:
            return True
        if clock.now() < breaker.open_until:
            return False
        # Half open: one call goes through, the next ones wait for it.
        breaker.open_until = clock.now() + self._settings.breaker_seconds
        return True

    def succeeded(self, address: str) -> None:
        """Count a success of ``address``."""
        breaker = self._by_address.get(address)
        if breaker is None:
            return
        if breaker.open_until:
            logger.info('upstream {} answers again', address)
        breaker.failures = 0
        breaker.open_until = 0

    def failed(self, address: str) -> None:
        """Count a failure of ``address``."""
        breaker = self._by_address.setdefault(address, Breaker())
        breaker.failures += 1
        if breaker.failures < self._settings.breaker_failures:
            return
        if not breaker.open_until:
            self.opened += 1
            logger.warning('upstream {} keeps failing', address)
        breaker.open_until = clock.now() + self._settings.breaker_seconds

    def open_addresses(self) -> list[str]:
        """Give the upstreams whose breaker is open."""
        return [
            address
            for address, breaker in self._by_address.items()
            if breaker.open_until
        ]


class RetryBudget:
    """Allows retries as a share of the successes.

    When upstreams fail for everybody, each request that retries adds load
    where there is too much already. The budget caps that addition.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Start with the reserve."""
        self.spent = 0
        self.refused = 0
        self._ratio = settings.retry_ratio
        self._limit = float(settings.retry_reserve)
        self._tokens = self._limit

    def succeeded(self) -> None:
        """Earn a share of one retry."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry, if there is one."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
