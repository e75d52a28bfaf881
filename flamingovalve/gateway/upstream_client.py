"""Sends all requests of this VM to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ConnectionLost, HeldBack
from flamingovalve.gateway.announcements import Purpose, SentRequest
from flamingovalve.http.messages import Response
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.announcements import Announcement
    from flamingovalve.gateway.dialer import UpstreamDialer
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.path_checks import PathChecker
    from flamingovalve.gateway.send_limits import SendLimits
    from flamingovalve.gateway.upstream_paths import UpstreamPaths
    from flamingovalve.gateway.upstream_status import (
        UpstreamStatus,
        UpstreamStatuses,
    )
    from flamingovalve.http.client import (
        ResponseHead,
        UpstreamCall,
        UpstreamConnection,
    )

# Many round trips; upstreams acknowledge what they receive at once.
_UNACKNOWLEDGED_SECONDS: Final = 0.25
# Time in which another VM opens a connection where this one cannot.
_CHECK_SECONDS: Final = 0.4
# An upstream repeats a response once.
_MAX_EXTRA_RESPONSES: Final = 4
_MAX_EXTRA_BYTES: Final = 1024**2
# Reports of engines and answers to orders are a few KB.
_MAX_REPORT_BYTES: Final = 4 * 1024**2
# Engines pause for less while they read prompts.
_SILENT_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class SilenceWatch:
    """Is told of an upstream that has read a request and does not answer.

    :ivar seconds: time since sending that is unusually long
    :ivar listener: called then with the time of sending, on the monotonic clock
    """

    seconds: float
    listener: Callable[[float], Awaitable[None]]


class UpstreamClient:
    """Sends requests to upstreams and reads what they announce.

    Completions, calls, reports and orders all pass through here, so that no
    path can miss an announcement.
    """

    def __init__(
        self,
        announcement_of: Callable[[ResponseHead, SentRequest], Announcement],
        statuses: UpstreamStatuses,
        limits: SendLimits,
        paths: UpstreamPaths,
        dialer: UpstreamDialer,
        checker: PathChecker,
    ) -> None:
        """Send over connections of ``dialer``.

        :param announcement_of: decodes the announcement of the response to a
            request
        :param statuses: records requests and announcements
        :param limits: admits requests within announced rate limits
        :param paths: records which upstreams were reached
        """
        self._announcement_of = announcement_of
        self._statuses = statuses
        self._limits = limits
        self._paths = paths
        self._dialer = dialer
        self._checker = checker

    def status_of(self, upstream: Upstream) -> UpstreamStatus:
        """Return the status of an upstream."""
        return self._statuses.of(upstream.id)

    def is_bypassed(self, upstream: Upstream) -> bool:
        """Return whether only other VMs reach an upstream."""
        return self._paths.is_bypassed(upstream.id)

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
            if purpose is Purpose.SERVE:
                await self._limits.admit_at_brittle(upstream.id, patience)
            await self._limits.admit(upstream.id, patience)
        except HeldBack:
            self._statuses.counts.held_back += 1
            raise

    async def acquire(
        self, upstream: Upstream, purpose: Purpose, request_id: str = ''
    ) -> UpstreamConnection:
        """Return a connection to an upstream.

        Orders and reports never run through another VM: an engine would see
        the orders of one owner come from two VMs.

        :param request_id: request that must not have been refused on it
        :raises OSError: if it cannot be reached in time
        """
        if purpose is Purpose.SERVE:
            return await self._dialer.connect(upstream, request_id)
        try:
            return await self._dialer.connect_directly(upstream)
        except OSError:
            await self._checker.verify_failure(upstream)
            raise

    async def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its request."""
        await self._dialer.release(connection)

    async def drop(self, upstream: Upstream) -> None:
        """Close the idle connections to an upstream."""
        await self._dialer.drop(upstream)

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
        *,
        may_move: bool = False,
        watch: SilenceWatch | None = None,
    ) -> ResponseHead:
        """Wait for the head of the response to ``sent``.

        Responses to earlier requests on the connection are passed over.

        :param may_move: whether to give up the connection if its path fails
        :param watch: told if the upstream has read the request and does not
            answer for long
        :raises ConnectionLost: if the connection broke
        :raises TimeoutError: if nothing was received for ``seconds``
        """
        ends_at = clock.now() + seconds
        for _extra in range(_MAX_EXTRA_RESPONSES):
            head = await self._next_head(
                connection, upstream, sent, watch, ends_at, may_move
            )
            announcement = self._announcement_of(head, sent)
            if connection.is_direct:
                self._paths.record_success(upstream, connection.opened_at)
            if announcement.is_own:
                await self._record(connection, sent, announcement)
                return head
            # The response to this request follows.
            await connection.discard_body(
                max(ends_at - clock.now(), 0), _MAX_EXTRA_BYTES
            )
            connection.expect_extra_response()
        raise ConnectionLost('the upstream answers other requests only')

    async def _record(
        self,
        connection: UpstreamConnection,
        sent: SentRequest,
        announcement: Announcement,
    ) -> None:
        if not connection.is_direct:
            await connection.record(announcement)
        if self._statuses.record(sent, announcement):
            await self._limits.announce(sent.upstream)

    async def _next_head(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        sent: SentRequest,
        watch: SilenceWatch | None,
        ends_at: float,
        may_move: bool,
    ) -> ResponseHead:
        """Return the head of the next response, of whatever request."""
        head = None
        # A read of a tunnel that is cancelled may lose part of a message.
        if connection.is_direct:
            left = max(ends_at - clock.now(), 0)
            head = await self._early_head(
                connection, min(left, _UNACKNOWLEDGED_SECONDS)
            )
            if head is None:
                head = await self._late_head(
                    connection, upstream, sent, watch, ends_at, may_move
                )
        if head is None:
            head = await connection.head(max(ends_at - clock.now(), 0))
        return head

    async def _early_head(
        self, connection: UpstreamConnection, seconds: float
    ) -> ResponseHead | None:
        """Return the head of a response; None if it takes longer."""
        async with curio.ignore_after(seconds):
            return await connection.head(seconds + _UNACKNOWLEDGED_SECONDS)
        return None

    async def _late_head(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        sent: SentRequest,
        watch: SilenceWatch | None,
        ends_at: float,
        may_move: bool,
    ) -> ResponseHead | None:
        """Return the head of a late response; None if it takes longer.

        Checks the path if nothing gets through, and tells ``watch`` if the
        upstream has read the request.
        """
        if connection.has_unacknowledged_data():
            await self._check_path(connection, upstream, may_move=may_move)
            return None
        if watch is None:
            return None
        longest = sent.sent_at + watch.seconds
        left = min(longest, ends_at) - clock.now()
        head = await self._early_head(connection, max(left, 0))
        if head is None:
            await watch.listener(sent.sent_at)
        return head

    async def _check_path(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        *,
        may_move: bool,
    ) -> None:
        """Check a path on which a request was not acknowledged.

        :raises ConnectionLost: if it fails and the request may move to another
            connection
        """
        await self._checker.check(upstream)
        if not may_move:
            return
        await curio.sleep(_CHECK_SECONDS)
        is_silent = self._paths.is_silent(upstream.id)
        if is_silent and connection.has_unacknowledged_data():
            raise ConnectionLost('the path to the upstream fails')

    async def chunk(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        seconds: float,
        *,
        may_move: bool,
    ) -> bytes:
        """Wait for the next part of a body; empty once it is complete.

        :param may_move: whether to give up the connection if its path fails
        :raises ConnectionLost: if the connection broke or is given up
        :raises TimeoutError: if nothing was received for ``seconds``
        """
        if not may_move or not connection.is_direct:
            return await connection.chunk(seconds)
        ends_at = clock.now() + seconds
        while clock.now() + _SILENT_SECONDS < ends_at:
            async with curio.ignore_after(_SILENT_SECONDS):
                return await connection.chunk(seconds)
            if self._paths.is_silent(upstream.id):
                raise ConnectionLost('the path to the upstream fails')
        return await connection.chunk(max(ends_at - clock.now(), 0))

    async def identify(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        call: UpstreamCall,
        seconds: float,
        patience: float,
    ) -> ResponseHead:
        """Ask which instance answers at the address of an upstream.

        What the response announces may be of another upstream.

        :param seconds: time limit of each wait
        :param patience: longest wait until the upstream accepts it
        :raises HeldBack: if it accepts none within ``patience``
        :raises ConnectionLost: if the connection broke
        :raises TimeoutError: if one of the waits exceeded ``seconds``
        """
        await self.admit(upstream, Purpose.REPORT, patience)
        sent = SentRequest(upstream.id, Purpose.REPORT, clock.now())
        self._statuses.record_sent(sent)
        await connection.send(call, seconds)
        head = await connection.head(seconds)
        await connection.body(seconds, _MAX_REPORT_BYTES)
        return head

    async def exchange(
        self,
        upstream: Upstream,
        purpose: Purpose,
        call: UpstreamCall,
        seconds: float,
        patience: float,
        request_id: str,
    ) -> Response:
        """Send a request and return the complete response.

        :param seconds: time limit of sending, of the head and of the body
        :param patience: longest wait until the upstream accepts it
        :param request_id: id that its response repeats
        :raises HeldBack: if it accepts none within ``patience``
        :raises OSError: if the upstream cannot be reached in time
        :raises ConnectionLost: if the connection broke, or the body is too
            large
        :raises TimeoutError: if one of the time limits was exceeded
        """
        await self.admit(upstream, purpose, patience)
        connection = await self.acquire(upstream, purpose)
        try:
            sent = await self.send(
                connection, upstream, purpose, call, seconds, request_id
            )
            head = await self.head(connection, upstream, sent, seconds)
            body = await connection.body(seconds, _MAX_REPORT_BYTES)
        except BaseException:
            await connection.close()
            raise
        await self.release(connection)
        return Response(head.status, list(head.headers.items()), body)
