"""Writes the responses of a server and watches their callers."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

import curio
import h11
from curio import socket

from flamingovalve.errors import CallerLost
from flamingovalve.http.bodies import Framing
from flamingovalve.http.caller_writer import CallerWriter
from flamingovalve.util.network import is_closed_by_peer

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.http.messages import HeaderList, Response
    from flamingovalve.http.server import HttpServer

_CHUNKED = ('transfer-encoding', 'chunked')
_UNCHUNKED_VERSION = b'1.0'
_LINGER: Final = struct.Struct('ii')


def _protocol_without_chunks() -> h11.Connection:
    """Return a protocol whose next body ends with its connection.

    The library frames bodies like that only for callers of HTTP/1.0.
    """
    protocol = h11.Connection(our_role=h11.SERVER)
    protocol.receive_data(b'GET / HTTP/1.0\r\n\r\n')
    protocol.next_event()
    protocol.next_event()
    return protocol


class Responder:
    """Writes the response to one request.

    :ivar framing: how the caller finds the end of the body; None before a
        response
    """

    def __init__(
        self,
        connection_socket: Socket,
        protocol: h11.Connection,
        server: HttpServer,
    ) -> None:
        """Write to ``connection_socket`` as ``protocol`` frames it."""
        self._socket = connection_socket
        self._protocol = protocol
        self._server = server
        self._writer: CallerWriter | None = None
        if server.held.bound:
            self._writer = CallerWriter(
                server.network,
                connection_socket,
                server.held,
                server.limits,
            )
        self.started = False
        self.ended = False
        self.framing: Framing | None = None

    async def send(self, response: Response) -> None:
        """Write a whole response."""
        if response.ends_with_connection:
            await self.start(
                response.status, response.headers, ends_with_connection=True
            )
            await self.chunk(response.body)
            await self.end()
            return
        headers = [
            *response.headers,
            ('content-length', str(len(response.body))),
        ]
        self.started = True
        self.framing = Framing.LENGTH
        await self._write(
            self._response_head(response.status, headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        await self.flush()
        self.ended = True

    async def start(
        self,
        status: int,
        headers: HeaderList,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Write the head of a response whose body is sent in parts.

        :param ends_with_connection: whether the body is delimited by the end
            of the connection, as its source may end without saying so
        :raises CallerLost: if the caller has gone
        """
        self.started = True
        if ends_with_connection:
            self._protocol = _protocol_without_chunks()
        self.framing = self._stream_framing()
        if self.framing is Framing.CONNECTION:
            self._reset_on_close(is_on=True)
        else:
            headers = [*headers, _CHUNKED]
        await self._write(self._response_head(status, headers))

    async def chunk(self, payload: bytes) -> None:
        """Write one chunk of the body."""
        await self._write(h11.Data(data=payload))

    async def end(self) -> None:
        """Write the end of the body."""
        await self._write(h11.EndOfMessage())
        await self.flush()
        self.ended = True

    def complete_connection(self) -> None:
        """Let the connection end in order after a complete response.

        :raises CallerLost: if the caller has gone
        """
        self._reset_on_close(is_on=False)

    async def flush(self) -> None:
        """Wait until the caller has been sent all that was written.

        :raises CallerLost: if the caller has gone or reads no data
        """
        if self._writer is not None:
            await self._writer.flush()

    async def flush_above(self, size: int) -> None:
        """Wait until the caller has been sent all, if much is held for it.

        :param size: bytes that may be held without a wait
        :raises CallerLost: if the caller has gone or reads no data
        """
        if self._writer is not None and self._writer.held_bytes > size:
            await self._writer.flush()

    async def close(self) -> None:
        """Release the data that is still held for the caller."""
        if self._writer is not None:
            await self._writer.close()
            self._server.counts.stalled_callers += self._writer.idle_ends

    def is_caller_disconnected(self) -> bool:
        """Return, without waiting, whether the caller has disconnected."""
        return is_closed_by_peer(self._socket)

    def remote_address(self) -> tuple[str, int]:
        """Return the host and port of the caller.

        :raises OSError: if the connection is closed
        """
        host, port = self._socket.getpeername()
        return host, port

    def remote_host(self) -> str:
        """Return the host of the caller; empty if the connection is closed."""
        try:
            return self.remote_address()[0]
        except OSError:
            return ''

    def watch_caller(self) -> CallerWatch:
        """Return a context that cancels the current task on disconnection.

        Otherwise the disconnection of a caller whose request waits would be
        noticed only when the response is written, and an engine would run
        the request in vain.
        """
        return CallerWatch(self._socket)

    def _reset_on_close(self, *, is_on: bool) -> None:
        """Choose how the connection ends when its socket is closed.

        The operating system also closes the sockets of a killed process.
        """
        try:
            self._socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER.pack(is_on, 0),
            )
        except OSError as error:
            raise CallerLost(str(error)) from error

    def _stream_framing(self) -> Framing:
        if self._protocol.their_http_version == _UNCHUNKED_VERSION:
            return Framing.CONNECTION
        return Framing.CHUNKED

    def _response_head(self, status: int, headers: HeaderList) -> h11.Response:
        if self._server.is_closing:
            headers = [*headers, ('connection', 'close')]
        return h11.Response(status_code=status, headers=headers)

    async def _write(self, *events: h11.Event) -> None:
        parts = [self._protocol.send(event) for event in events]
        encoded = b''.join(part for part in parts if part)
        if not encoded:
            return
        if self._writer is None:
            await self._send_all(encoded)
        else:
            await self._writer.write(encoded)

    async def _send_all(self, encoded: bytes) -> None:
        """Write ``encoded`` within the idle timeout.

        A caller that stops reading keeps its connection open with full
        buffers. Without a time limit, its request would hold its place on an
        engine and the adapter there until the caller's process ended.
        """
        timeout_seconds = self._server.limits.idle_seconds
        try:
            async with curio.timeout_after(timeout_seconds):
                await self._socket.sendall(encoded)
        except curio.TaskTimeout as timeout:
            self._server.counts.stalled_callers += 1
            raise CallerLost(
                f'the caller read no data for {timeout_seconds:g} s',
            ) from timeout
        except OSError as error:
            raise CallerLost(str(error)) from error


class CallerWatch:
    """Detects that a caller disconnects while its request is handled."""

    def __init__(self, connection_socket: Socket) -> None:
        """Watch the socket ``connection_socket``."""
        self._socket = connection_socket
        self._task: curio.Task | None = None

    async def __aenter__(self) -> None:
        """Start watching; cancel the current task on disconnection."""
        handling = await curio.current_task()
        self._task = await curio.spawn(self._watch, handling, daemon=True)

    async def __aexit__(self, *_details: object) -> None:
        """Stop watching."""
        if self._task is not None:
            await self._task.cancel()

    async def _watch(self, handling: curio.Task) -> None:
        try:
            peeked = await self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            peeked = b''
        if not peeked:
            await handling.cancel(blocking=False)
