# flake8: noqa: WPS
"""HTTP/1.1 for the stand-ins and clients of the review, on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_REASON = 'Answer'


@dataclass
class Request:
    """One request that a stand-in has read.

    :ivar headers: header values by lower-case name
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        parsed = parse_qs(urlsplit(self.target).query)
        return {name: texts[-1] for name, texts in parsed.items()}


@dataclass
class Connection:
    """A connection that a server has accepted.

    :ivar last_answer: the last complete answer that was sent on it
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    last_answer: bytes = b''
    state: dict[str, object] = field(default_factory=dict)

    async def send(self, answer: bytes) -> None:
        """Send a complete answer."""
        self.writer.write(answer)
        await self.writer.drain()
        self.last_answer = answer

    async def send_part(self, part: bytes) -> None:
        """Send a part of an answer."""
        self.writer.write(part)
        await self.writer.drain()


def encode_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Encode the head of an answer."""
    lines = [f'HTTP/1.1 {status} {_REASON}']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def encode_answer(
    status: int, headers: list[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Encode an answer with a length."""
    length = ('Content-Length', str(len(body)))
    return encode_head(status, [*headers, length]) + body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _colon, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    parts = []
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])


class Server:
    """An HTTP server that handles the requests of a connection in turn."""

    def __init__(
        self, handler: Callable[[Request, Connection], Awaitable[None]]
    ) -> None:
        """Handle requests with ``handler``."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: str) -> None:
        """Listen at an address."""
        host, port = address.split(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self._writers.add(writer)
        try:
            await self._serve_requests(connection)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            head = await read_head(connection.reader)
            if head is None:
                return
            first, headers = head
            method, target, _version = first.split(' ')
            body = await read_body(connection.reader, headers)
            request = Request(method, target, headers, body)
            await self._handler(request, connection)


@dataclass
class Answer:
    """What a client got; ``status`` is 0 without a complete answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    problem: str = ''


async def ask(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
    seconds: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read the answer."""
    try:
        async with asyncio.timeout(seconds):
            return await _ask(address, method, target, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as failed:
        return Answer(problem=repr(failed))


async def _ask(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> Answer:
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        if not any(name == 'Host' for name, _text in headers):
            headers = [('Host', address), *headers]
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('utf-8') + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer(problem='the connection ended without an answer')
        status = int(head[0].split(' ')[1])
        received = await read_body(reader, head[1])
        return Answer(status, head[1], received)
    finally:
        writer.close()
