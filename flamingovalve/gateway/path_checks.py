"""Checks paths to upstreams in the background."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.util import clock
from flamingovalve.util.rates import jittered

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.dialer import UpstreamDialer
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.reachability import Reachability
    from flamingovalve.gateway.upstream_paths import UpstreamPaths
    from flamingovalve.generated.ids import ServiceId, UpstreamId
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.util.tasks import TaskSet

_CHECK_SECONDS: Final = 0.4
# Bypassed paths that are checked at once until one of them works again.
_CHECKS_PER_TURN: Final = 4
_MAX_CONCURRENT_CHECKS: Final = 32
# A path that worked this recently is not checked.
_RECENT_SECONDS: Final = 0.3
# One path is checked at most this often, and so are all.
_PAUSE_SECONDS: Final = 0.5
_PAUSE_OF_ALL_SECONDS: Final = 2.0


class PathChecker:
    """Finds paths that fail, and those that work again.

    :ivar publish: called when the services change that this VM is cut off from
    """

    def __init__(
        self,
        catalogue: Catalogue,
        pool: ConnectionPool,
        paths: UpstreamPaths,
        dialer: UpstreamDialer,
        reachability: Reachability,
        rng: random.Random,
        background: TaskSet,
    ) -> None:
        """Check the paths to the upstreams of ``catalogue``."""
        self.publish: Callable[[], Awaitable[None]] = _ignore
        self._catalogue = catalogue
        self._pool = pool
        self._paths = paths
        self._dialer = dialer
        self._reachability = reachability
        self._rng = rng
        self._background = background
        self._checked_at: dict[UpstreamId, float] = {}
        self._all_checked_at = float('-inf')
        self._own_checked_at = float('-inf')
        self._places = curio.Semaphore(_MAX_CONCURRENT_CHECKS)
        dialer.on_bypass = self.suspect_all

    async def check_forever(self) -> None:
        """Check bypassed paths until they work again."""
        while True:
            await curio.sleep(jittered(self._rng, _CHECK_SECONDS))
            bypassed = self._paths.bypassed()
            count = min(_CHECKS_PER_TURN, len(bypassed))
            for upstream in self._rng.sample(bypassed, count):
                await self.check(upstream)
            await self.update()

    async def check(self, upstream: Upstream) -> None:
        """Start to check the path to an upstream, unless it was just checked."""
        now = clock.now()
        checked_at = self._checked_at.get(upstream.id, float('-inf'))
        if now < checked_at + _PAUSE_SECONDS:
            return
        self._checked_at[upstream.id] = now
        await self._background.spawn(self._check, upstream)

    async def verify_failure(self, upstream: Upstream) -> None:
        """Start to check whether others reach an upstream that failed."""
        await self._background.spawn(self._dialer.verify_failure, upstream)

    def forget_removed(self, is_listed: Callable[[UpstreamId], bool]) -> None:
        """Forget when removed upstreams were checked."""
        for name in list(self._checked_at):
            if not is_listed(name):
                del self._checked_at[name]

    async def suspect_all(self, cause: Upstream) -> None:
        """Check all paths after one was found to be bypassed.

        An idle connection over a path that fails silently would cost the
        request that uses it.
        """
        await self._pool.drop(cause.address)
        now = clock.now()
        if now < self._all_checked_at + _PAUSE_OF_ALL_SECONDS:
            await self.update()
            return
        self._all_checked_at = now
        await self._check_unconfirmed(now - _RECENT_SECONDS)
        await self.update()
        await self._background.spawn(self._check_recent, now)

    async def suspect_own(self) -> None:
        """Check one path of each service, as another VM has lost its own."""
        now = clock.now()
        if now < self._own_checked_at + _PAUSE_OF_ALL_SECONDS:
            return
        self._own_checked_at = now
        by_service: dict[ServiceId, list[Upstream]] = {}
        for upstream in self._unconfirmed(now - _RECENT_SECONDS):
            by_service.setdefault(upstream.service, []).append(upstream)
        for upstreams in by_service.values():
            await self.check(self._rng.choice(upstreams))

    async def update(self) -> None:
        """Announce the services that this VM is cut off from, if they changed."""
        names = self._catalogue.configuration.services_by_name
        services = [one for one in sorted(names) if self._paths.is_cut_off(one)]
        if self._reachability.update_own(services):
            await self.publish()

    async def _check_recent(self, suspected_at: float) -> None:
        """Check the paths that had worked just before they were suspected."""
        await curio.sleep(_RECENT_SECONDS)
        await self._check_unconfirmed(suspected_at)

    async def _check_unconfirmed(self, since: float) -> None:
        for upstream in self._unconfirmed(since):
            await self.check(upstream)

    def _unconfirmed(self, since: float) -> list[Upstream]:
        """Return the upstreams that were not reached after a time.

        :param since: time on the monotonic clock
        """
        return [
            upstream
            for service in self._catalogue.configuration.services_by_name
            for upstream in self._catalogue.upstreams(service)
            if self._paths.worked_at(upstream.id) < since
            and not self._paths.is_bypassed(upstream.id)
        ]

    async def _check(self, upstream: Upstream) -> None:
        async with self._places:
            await self._dialer.check(upstream)
        await self.update()


async def _ignore() -> None:
    """Do nothing; the default until the daemon sets a listener."""
