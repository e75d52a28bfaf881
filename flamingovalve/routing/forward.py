"""Forwards requests to other VMs and relays the responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.claims.executor import ForwardFailed
from flamingovalve.errors import (
    ConnectionLost,
    ErrorKind,
    ServingError,
    WrongPeer,
)
from flamingovalve.generated import ids
from flamingovalve.generated.messages import (
    Chunk,
    ForwardCall,
    Header,
    Refusal,
    ResponseEnd,
    ResponseHead,
)
from flamingovalve.http.messages import Response
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.peer.connection import SILENCE_SECONDS
from flamingovalve.peer.server import error_of

if TYPE_CHECKING:
    from flamingovalve.generated.ids import EngineId, VmId
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection
    from flamingovalve.peer.server import Sink
    from flamingovalve.relay.services import ServiceRequest
    from flamingovalve.relay.work import CompletionWork

_EVENT_END = b'\n\n'
_END_MARKER = b'data: [DONE]'


@dataclass
class ForwardCounts:
    """Requests forwarded since this process started."""

    completions: int = 0
    calls: int = 0
    lost: int = 0


class VmLost(Exception):
    """The VM that ran a forwarded request ended or stopped responding."""


class Forwarder:
    """Forwards requests to other VMs over the peer protocol."""

    def __init__(self, members: MemberTable, peers: PeerPool) -> None:
        """Forward to ``members`` over connections of ``peers``."""
        self.counts = ForwardCounts()
        self._members = members
        self._peers = peers

    async def completion(
        self,
        vm: VmId,
        engine: EngineId,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        """Have another VM run a completion; write its response to ``sink``.

        :raises VmLost: if that VM cannot be reached or the connection fails
        :raises ServingError: if that VM refuses the request
        """
        self.counts.completions += 1
        try:
            connection, address = await self._connect(vm)
        except PeerUnreachable as unreachable:
            raise VmLost(str(unreachable)) from unreachable
        try:
            await connection.send(work.to_forward(engine))
            await self._relay(connection, work, sink)
        except (ConnectionLost, WrongPeer) as lost:
            self.counts.lost += 1
            await connection.close()
            raise VmLost(str(lost)) from lost
        except ServingError:
            self._peers.release(connection, address)
            raise
        except BaseException:
            await connection.close()
            raise
        self._peers.release(connection, address)

    async def call(self, vm: VmId, request: ServiceRequest) -> Response:
        """Have another VM run a call of a plain service.

        :raises ForwardFailed: if that VM cannot be reached, the connection
            fails or the request's deadline passes
        :raises ServingError: if that VM refuses the request
        """
        self.counts.calls += 1
        try:
            connection, address = await self._connect(vm)
        except PeerUnreachable as unreachable:
            raise ForwardFailed(
                str(unreachable),
                ended=unreachable.ended,
            ) from unreachable
        try:
            async with curio.timeout_after(max(request.remaining(), 0)):
                await connection.send(_forward_call(request))
                response = await _receive_response(connection)
        except (ConnectionLost, WrongPeer, curio.TaskTimeout) as lost:
            self.counts.lost += 1
            await connection.close()
            raise ForwardFailed(str(lost), ended=False) from lost
        except ServingError:
            self._peers.release(connection, address)
            raise
        except BaseException:
            await connection.close()
            raise
        self._peers.release(connection, address)
        return response

    async def _connect(self, vm: VmId) -> tuple[PeerConnection, str]:
        member = self._members.by_id.get(vm)
        if member is None:
            raise PeerUnreachable(f'{vm} is not a known member', ended=False)
        address = member.vm.peer_address
        return await self._peers.acquire_live(address, vm), address

    async def _relay(
        self,
        connection: PeerConnection,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        head = await _receive(connection, ResponseHead)
        headers = _header_list(head.headers)
        streamed = work.stream and _is_stream(headers)
        if not streamed:
            await sink.send(await _receive_rest(connection, head))
            return
        if not sink.started:
            await sink.start(head.status, headers)
        message = await connection.receive(SILENCE_SECONDS)
        while isinstance(message, Chunk):
            await sink.chunk(message.payload)
            work.offset += _count_events(message.payload)
            message = await connection.receive(SILENCE_SECONDS)
        _check_end(message)
        await sink.end()


def _forward_call(request: ServiceRequest) -> ForwardCall:
    return ForwardCall(
        ids.RequestId(request.request_id),
        ids.ApplicationId(request.application),
        ids.ServiceId(request.service),
        ids.CallId(request.call),
        request.content_type,
        request.body,
        request.key,
        request.key_time,
        request.remaining(),
        request.hops + 1,
    )


async def _receive_response(connection: PeerConnection) -> Response:
    head = await _receive(connection, ResponseHead)
    return await _receive_rest(connection, head)


async def _receive_rest(
    connection: PeerConnection, head: ResponseHead
) -> Response:
    return Response(
        head.status,
        _header_list(head.headers),
        await _receive_body(connection),
        ends_with_connection=head.ends_with_connection,
    )


async def _receive_body(connection: PeerConnection) -> bytes:
    parts = []
    message = await connection.receive(SILENCE_SECONDS)
    while isinstance(message, Chunk):
        parts.append(message.payload)
        message = await connection.receive(SILENCE_SECONDS)
    _check_end(message)
    return b''.join(parts)


async def _receive(connection: PeerConnection, kind: type) -> Any:
    message = await connection.receive(SILENCE_SECONDS)
    if isinstance(message, Refusal):
        raise error_of(message)
    if not isinstance(message, kind):
        raise WrongPeer(f'{type(message).__name__} is not expected here')
    return message


def _check_end(message: Any) -> None:
    if not isinstance(message, ResponseEnd):
        raise WrongPeer(f'{type(message).__name__} is not expected here')


def _header_list(headers: list[Header]) -> list[tuple[str, str]]:
    return [(header.name, header.text) for header in headers]


def _is_stream(headers: list[tuple[str, str]]) -> bool:
    texts_by_name = dict(headers)
    return texts_by_name.get('content-type', '').startswith('text/event-stream')


def _count_events(payload: bytes) -> int:
    """Return the number of events in a chunk, without the end marker.

    The owner sends complete events only, so each separator ends one.
    """
    ended = payload.count(_EVENT_END)
    return ended - payload.endswith(_END_MARKER + _EVENT_END)


def owner_unreachable() -> ServingError:
    """Return the error for a request whose owner cannot be reached."""
    return ServingError(
        ErrorKind.NO_UPSTREAM,
        'the VM that owns the engine cannot be reached; ask /v1/entry again',
        retry_after=1,
    )
