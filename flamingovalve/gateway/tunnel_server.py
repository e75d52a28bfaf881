"""Passes the bytes of other VMs on to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.errors import (
    ConnectionLost,
    ErrorKind,
    HeldBack,
    ServingError,
    WrongPeer,
)
from flamingovalve.gateway.announcements import (
    Announcement,
    Purpose,
    SentRequest,
)
from flamingovalve.gateway.attempts import no_upstream
from flamingovalve.generated.messages import (
    Heartbeat,
    TunnelClosed,
    TunnelData,
    TunnelEnd,
    TunnelEnded,
    TunnelNotice,
    TunnelOpened,
)
from flamingovalve.peer.connection import HEARTBEAT_SECONDS
from flamingovalve.peer.server import refusal_of
from flamingovalve.util import clock
from flamingovalve.util.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.dialer import UpstreamDialer
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.messages import TunnelAsk
    from flamingovalve.http.client import UpstreamConnection
    from flamingovalve.peer.connection import PeerConnection

# Tunnels take at most this share of the connections that a VM accepts.
_MAX_SHARE_OF_CONNECTIONS: Final = 0.25
_RETRY_SECONDS: Final = 0.5


@dataclass
class TunnelServerCounts:
    """Counters of the connections that other VMs asked for.

    :ivar unreached: upstreams that this VM did not reach either
    """

    opened: int = 0
    refused: int = 0
    unreached: int = 0


class TunnelServer:
    """Opens connections to upstreams for other VMs.

    It passes bytes on without reading them, and never asks another VM.

    :ivar open_count: tunnels that are open
    """

    def __init__(
        self,
        catalogue: Catalogue,
        dialer: UpstreamDialer,
        statuses: UpstreamStatuses,
        is_leaving: Callable[[], bool],
        connections: int,
    ) -> None:
        """Connect to upstreams of ``catalogue`` with ``dialer``.

        :param connections: connections of callers that this VM accepts
        """
        self.counts = TunnelServerCounts()
        self.open_count = 0
        self._catalogue = catalogue
        self._dialer = dialer
        self._statuses = statuses
        self._is_leaving = is_leaving
        self._most = connections * _MAX_SHARE_OF_CONNECTIONS

    async def serve(self, ask: TunnelAsk, connection: PeerConnection) -> None:
        """Open a connection for another VM and pass its bytes on.

        :raises ConnectionLost: if the connection to the other VM broke
        """
        asked_at = clock.now()
        try:
            upstream = self._admitted(ask)
            opened = await self._dialer.connect_for(
                upstream, is_fresh=ask.fresh
            )
        except ServingError as refused:
            self.counts.refused += 1
            await connection.send(refusal_of(refused))
            return
        except OSError:
            self.counts.unreached += 1
            await connection.send(refusal_of(_unreached()))
            return
        self.counts.opened += 1
        self.open_count += 1
        try:
            await self._pass_on(upstream, opened, connection, asked_at)
        finally:
            self.open_count -= 1

    def _admitted(self, ask: TunnelAsk) -> Upstream:
        """Return the upstream of a request that is accepted.

        :raises ServingError: if it is refused
        """
        if self._is_leaving():
            raise _refused('this VM is leaving')
        if self.open_count >= self._most:
            raise _refused('this VM forwards as many connections as it may')
        for upstream in self._catalogue.upstreams(ask.service):
            if upstream.id == ask.upstream:
                break
        else:
            raise no_upstream(ask.service)
        try:
            self._statuses.of(upstream.id).check(Purpose.SERVE)
        except HeldBack as held:
            raise _refused(str(held)) from held
        return upstream

    async def _pass_on(
        self,
        upstream: Upstream,
        opened: UpstreamConnection,
        connection: PeerConnection,
        asked_at: float,
    ) -> None:
        try:
            await connection.send(TunnelOpened(opened.opened_at < asked_at))
            end = await self._exchange(upstream, opened, connection)
        except BaseException:
            await opened.close()
            raise
        await self._dialer.put_back(opened, end)
        await connection.send(TunnelEnded())

    async def _exchange(
        self,
        upstream: Upstream,
        opened: UpstreamConnection,
        connection: PeerConnection,
    ) -> TunnelEnd:
        """Pass bytes on in both directions until the tunnel ends."""
        responses = await curio.spawn(
            _send_responses, opened, connection, daemon=True
        )
        try:
            return await self._send_requests(upstream, opened, connection)
        finally:
            await responses.cancel()

    async def _send_requests(
        self,
        upstream: Upstream,
        opened: UpstreamConnection,
        connection: PeerConnection,
    ) -> TunnelEnd:
        """Send requests to the upstream until the tunnel ends."""
        message = await connection.receive()
        while not isinstance(message, TunnelEnd):
            if isinstance(message, TunnelData):
                await opened.send_bytes(message.payload)
            elif isinstance(message, TunnelNotice):
                self._record(upstream, message)
            else:
                raise WrongPeer('unexpected message in a tunnel')
            message = await connection.receive()
        return message

    def _record(self, upstream: Upstream, notice: TunnelNotice) -> None:
        """Record an announcement, which concerns this VM as the sender."""
        self._statuses.record(
            SentRequest(upstream.id, Purpose.SERVE, clock.now()),
            Announcement(
                is_leaving=notice.leaving,
                rest_seconds=notice.rest_seconds,
                is_success=False,
            ),
        )


async def _send_responses(
    opened: UpstreamConnection, connection: PeerConnection
) -> None:
    """Send what the upstream sends to the other VM until either ends."""
    heartbeats = 0
    turns = Turns()
    payload: bytes | None = None
    try:
        while payload != b'':
            payload = await _next_bytes(opened)
            if payload is None:
                heartbeats += 1
                message = Heartbeat(heartbeats)
            else:
                message = TunnelData(payload) if payload else TunnelClosed(True)
            await _send_whole(connection, message)
            await turns.record(len(payload or b''))
    except OSError:
        await _send_whole(connection, TunnelClosed(False))


async def _next_bytes(opened: UpstreamConnection) -> bytes | None:
    """Return the next bytes; None after a time without any."""
    async with curio.ignore_after(HEARTBEAT_SECONDS):
        return await opened.receive_bytes()
    return None


async def _send_whole(connection: PeerConnection, message: Any) -> None:
    """Send a message, or nothing if the connection broke.

    A partly sent frame would corrupt those after it.
    """
    async with curio.disable_cancellation():
        try:
            await connection.send(message)
        except ConnectionLost:
            # The task that receives from the other VM ends the tunnel.
            return


def _refused(reason: str) -> ServingError:
    return ServingError(
        ErrorKind.OVERLOADED, reason, retry_after=_RETRY_SECONDS
    )


def _unreached() -> ServingError:
    return _refused('this VM does not reach the upstream either')
