"""Opens connections to upstreams, directly or through another VM."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.gateway.upstream_paths import PathFailure, failure_of
from flamingovalve.util import clock
from flamingovalve.util.staggered import first_opened

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.tunnel_client import TunnelClient
    from flamingovalve.gateway.upstream_paths import UpstreamPaths
    from flamingovalve.generated.ids import UpstreamId, VmId
    from flamingovalve.generated.messages import TunnelEnd
    from flamingovalve.http.client import ConnectionPool, UpstreamConnection
    from flamingovalve.util.tasks import TaskSet

# A tunnel is tried beside a connection that takes this many times as long to
# open as usual, within bounds in seconds.
_SLOWNESS: Final = 6.0
_MIN_TUNNEL_DELAY_SECONDS: Final = 0.03
_MAX_TUNNEL_DELAY_SECONDS: Final = 0.2
_INITIAL_OPEN_SECONDS: Final = 0.01
_OPEN_TIME_SMOOTHING: Final = 0.1
_RECENT_SECONDS: Final = 1.0
_DELAYS_TO_CONFIRM: Final = 2.0
_TUNNEL_SECONDS: Final = 0.3
# Other VMs are asked again after this time.
_DOWN_SECONDS: Final = 0.5


class UpstreamDialer:
    """Opens connections to upstreams.

    A connection that takes unusually long to open, or fails, is opened through
    another VM as well; the first to be open is used. If the other VM is first,
    later connections are opened through it at once.

    :ivar on_bypass: called when a path begins to be bypassed
    """

    def __init__(
        self,
        pool: ConnectionPool,
        paths: UpstreamPaths,
        tunnels: TunnelClient,
        background: TaskSet,
    ) -> None:
        """Connect over ``pool`` or through ``tunnels``.

        :param background: runs what no request waits for
        """
        self.on_bypass: Callable[[Upstream], Awaitable[None]] = _ignore
        self._pool = pool
        self._paths = paths
        self._tunnels = tunnels
        self._background = background
        self._confirming: set[UpstreamId] = set()
        self._down_since: dict[UpstreamId, float] = {}
        self._usual_open_seconds = _INITIAL_OPEN_SECONDS

    async def connect(
        self, upstream: Upstream, request_id: str
    ) -> UpstreamConnection:
        """Return a connection to an upstream, by whatever path.

        :param request_id: request that must not have been refused on it
        :raises OSError: if it cannot be reached in time
        """
        if self._paths.is_bypassed(upstream.id):
            tunnelled = await self._tunnels.open(upstream, is_fresh=False)
            if tunnelled is not None:
                return tunnelled
        idle = await self._pool.take_idle(upstream.address, request_id)
        if idle is not None:
            return idle
        opened = await self._open(upstream)
        if opened is None:
            raise ConnectionError(f'no path to upstream {upstream.id}')
        return opened

    async def connect_directly(self, upstream: Upstream) -> UpstreamConnection:
        """Return a connection that does not run through another VM.

        :raises OSError: if the upstream cannot be reached in time
        """
        idle = await self._pool.take_idle(upstream.address)
        return idle or await self._open_directly(upstream)

    async def connect_for(
        self, upstream: Upstream, *, is_fresh: bool
    ) -> UpstreamConnection:
        """Return a connection for another VM.

        An idle one proves nothing where the path has not worked lately.

        :param is_fresh: whether it has to be new
        :raises OSError: if the upstream cannot be reached in time
        """
        worked_lately = clock.now() - _RECENT_SECONDS
        if is_fresh or self._paths.worked_at(upstream.id) < worked_lately:
            return await self._open_directly(upstream)
        return await self.connect_directly(upstream)

    async def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for other requests, if it can carry any."""
        if connection.is_direct:
            await self._pool.release(connection)
        else:
            await self._tunnels.release(connection)

    async def drop(self, upstream: Upstream) -> None:
        """Close the idle connections to an upstream."""
        await self._pool.drop(upstream.address)

    async def put_back(
        self, connection: UpstreamConnection, end: TunnelEnd
    ) -> None:
        """Keep the connection of a tunnel that has ended."""
        if end.reusable and connection.is_quiet():
            connection.keep_alive_seconds = end.keep_alive_seconds
            self._pool.put_back(connection)
        else:
            await connection.close()

    async def check(self, upstream: Upstream) -> None:
        """Find out whether the path to an upstream works.

        If it does not, and another VM reaches the upstream, it is bypassed. One
        that is bypassed already is only tried directly.
        """
        if self._paths.is_bypassed(upstream.id):
            opened = await self._try_directly(upstream)
        else:
            opened = await self._open(upstream)
        if opened is not None:
            await self.keep(opened)

    async def keep(self, unused: UpstreamConnection) -> None:
        """Keep a connection that carried no request."""
        if unused.is_direct:
            self._pool.put_back(unused)
        else:
            await self._tunnels.release(unused)

    async def verify_failure(self, upstream: Upstream) -> None:
        """Bypass a path that has failed if another VM reaches the upstream."""
        if self._paths.is_bypassed(upstream.id):
            return
        tunnelled = await self._try_tunnel(upstream)
        if tunnelled is not None:
            await self._tunnels.release(tunnelled)

    async def connect_freshly(
        self, upstream: Upstream
    ) -> UpstreamConnection | None:
        """Return a new connection, directly or through another VM.

        :returns: None if no VM reaches the upstream
        """
        return await self._open(upstream)

    async def _open(self, upstream: Upstream) -> UpstreamConnection | None:
        """Open a connection by the path that is first to be open."""
        if self._is_down(upstream):
            return await self._try_directly(upstream)
        return await first_opened(
            [
                functools.partial(self._try_directly, upstream),
                functools.partial(self._try_tunnel, upstream),
            ],
            self._tunnel_delay(),
            _close,
        )

    def _tunnel_delay(self) -> float:
        delay = self._usual_open_seconds * _SLOWNESS
        delay = max(delay, _MIN_TUNNEL_DELAY_SECONDS)
        return min(delay, _MAX_TUNNEL_DELAY_SECONDS)

    async def _open_directly(self, upstream: Upstream) -> UpstreamConnection:
        started_at = clock.now()
        try:
            connection = await self._pool.connect(upstream.address)
        except OSError as error:
            self._paths.record_failure(upstream, failure_of(error))
            raise
        seconds = clock.now() - started_at
        self._usual_open_seconds += _OPEN_TIME_SMOOTHING * (
            seconds - self._usual_open_seconds
        )
        self._paths.record_success(upstream, clock.now())
        return connection

    async def _try_directly(
        self, upstream: Upstream
    ) -> UpstreamConnection | None:
        try:
            return await self._open_directly(upstream)
        except OSError:
            return None

    async def _try_tunnel(
        self, upstream: Upstream
    ) -> UpstreamConnection | None:
        """Open a tunnel beside a direct connection that is not open yet.

        No longer than a direct connection may take: if the upstream is down,
        its requests have to go elsewhere.
        """
        async with curio.ignore_after(_TUNNEL_SECONDS):
            tunnelled = await self._tunnels.open(upstream, is_fresh=True)
            if tunnelled is None:
                self._down_since[upstream.id] = clock.now()
                return None
            await self._background.spawn(
                self._confirm_bypass, upstream, tunnelled.tunnel.vm
            )
            return tunnelled
        return None

    def _is_down(self, upstream: Upstream) -> bool:
        """Return whether other VMs have just failed to reach it as well."""
        since = self._down_since.get(upstream.id, float('-inf'))
        if clock.now() < since + _DOWN_SECONDS:
            return self._paths.is_failing(upstream.id)
        self._down_since.pop(upstream.id, None)
        return False

    async def _confirm_bypass(self, upstream: Upstream, vm: VmId) -> None:
        """Bypass a path if it fails right after another VM reached its end.

        An upstream that was silent may have answered that VM first.
        """
        if upstream.id in self._confirming:
            return
        self._confirming.add(upstream.id)
        try:
            opened = await self._try_briefly(upstream)
        finally:
            self._confirming.discard(upstream.id)
        if opened is not None:
            self._pool.put_back(opened)
        elif not self._paths.is_bypassed(upstream.id):
            self._paths.record_bypass(upstream, vm)
            await self.on_bypass(upstream)

    async def _try_briefly(
        self, upstream: Upstream
    ) -> UpstreamConnection | None:
        async with curio.ignore_after(
            _DELAYS_TO_CONFIRM * self._tunnel_delay()
        ):
            return await self._try_directly(upstream)
        self._paths.record_failure(upstream, PathFailure.SILENT)
        return None


async def _close(connection: UpstreamConnection) -> None:
    await connection.close()


async def _ignore(_upstream: Upstream) -> None:
    """Do nothing; the default until the daemon sets a listener."""
