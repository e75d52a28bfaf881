"""Sends all requests of this VM to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from flamingovalve.errors import HeldBack
from flamingovalve.gateway.announcements import SentRequest
from flamingovalve.gateway.upstream_paths import failure_of
from flamingovalve.http.messages import Response
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.announcements import Announcement, Purpose
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.send_limits import SendLimits
    from flamingovalve.gateway.upstream_paths import UpstreamPaths
    from flamingovalve.gateway.upstream_status import (
        UpstreamStatus,
        UpstreamStatuses,
    )
    from flamingovalve.http.client import (
        ConnectionPool,
        ResponseHead,
        UpstreamCall,
        UpstreamConnection,
    )


class UpstreamClient:
    """Sends requests to upstreams and reads what they announce.

    Completions, calls, reports and orders all pass through here, so that no
    path can miss an announcement.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        announcement_of: Callable[[ResponseHead, SentRequest], Announcement],
        statuses: UpstreamStatuses,
        limits: SendLimits,
        paths: UpstreamPaths,
    ) -> None:
        """Send over connections of ``pool``.

        :param announcement_of: decodes the announcement of the response to a
            request
        :param statuses: records requests and announcements
        :param limits: admits requests within announced rate limits
        :param paths: records which upstreams were reached
        """
        self._pool = pool
        self._announcement_of = announcement_of
        self._statuses = statuses
        self._limits = limits
        self._paths = paths

    def status_of(self, upstream: Upstream) -> UpstreamStatus:
        """Return the status of an upstream."""
        return self._statuses.of(upstream.id)

    async def admit(
        self, upstream: Upstream, purpose: Purpose, patience: float
    ) -> None:
        """Wait until an upstream accepts a request.

        :param patience: longest wait in seconds
        :raises HeldBack: if it accepts none within ``patience``
        """
        status = self.status_of(upstream)
        try:
            status.check(purpose, patience)
            await curio.sleep(status.rest_seconds())
            await self._limits.admit(upstream.id, patience)
        except HeldBack:
            self._statuses.counts.held_back += 1
            raise

    async def acquire(self, upstream: Upstream) -> UpstreamConnection:
        """Return a connection to an upstream.

        :raises OSError: if it cannot be reached in time
        """
        idle = await self._pool.take_idle(upstream.address)
        if idle is not None:
            return idle
        try:
            connection = await self._pool.connect(upstream.address)
        except OSError as error:
            self._paths.record_failure(upstream, failure_of(error))
            raise
        self._paths.record_success(upstream)
        return connection

    async def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its request."""
        await self._pool.release(connection)

    async def drop(self, upstream: Upstream) -> None:
        """Close the idle connections to an upstream."""
        await self._pool.drop(upstream.address)

    async def send(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        purpose: Purpose,
        call: UpstreamCall,
        seconds: float,
        request_id: str = '',
    ) -> SentRequest:
        """Send a request over a connection.

        :param request_id: id that its response repeats
        :raises HeldBack: if the upstream has asked for rest, or is leaving,
            since the request was admitted
        :raises ConnectionLost: if the connection broke
        :raises TimeoutError: if sending took longer than ``seconds``
        """
        self.status_of(upstream).check(purpose)
        sent = SentRequest(upstream.id, purpose, clock.now(), request_id)
        self._statuses.record_sent(sent)
        await connection.send(call, seconds)
        return sent

    async def head(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        sent: SentRequest,
        seconds: float,
    ) -> ResponseHead:
        """Wait for the head of the response to ``sent``.

        :raises ConnectionLost: if the connection broke
        :raises TimeoutError: if nothing was received for ``seconds``
        """
        head = await connection.head(seconds)
        self._paths.record_success(upstream)
        if self._statuses.record(sent, self._announcement_of(head, sent)):
            await self._limits.announce(sent.upstream)
        return head

    async def exchange(
        self,
        upstream: Upstream,
        purpose: Purpose,
        call: UpstreamCall,
        seconds: float,
        patience: float,
    ) -> Response:
        """Send a request and return the complete response.

        :param seconds: time limit of each wait
        :param patience: longest wait until the upstream accepts it
        :raises HeldBack: if it accepts none within ``patience``
        :raises OSError: if the upstream cannot be reached in time
        :raises ConnectionLost: if the connection broke
        :raises TimeoutError: if one of the waits exceeded ``seconds``
        """
        await self.admit(upstream, purpose, patience)
        connection = await self.acquire(upstream)
        try:
            sent = await self.send(connection, upstream, purpose, call, seconds)
            head = await self.head(connection, upstream, sent, seconds)
            body = await connection.body(seconds)
        except BaseException:
            await connection.close()
            raise
        await self.release(connection)
        return Response(head.status, list(head.headers.items()), body)
