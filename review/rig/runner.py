# flake8: noqa: WPS
"""Stand-ins for runners, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from wire import Connection, Request, Server, encode_answer

if TYPE_CHECKING:
    from store import Store

HEARTBEAT_SECONDS = 1.2
_HEALTH_PATH = '/health'


class Runner:
    """A sound plain runner that registers itself in the store.

    :ivar runs: when each request began to run, and its id
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        address: str,
        zone: str,
        work_seconds: float = 0.0225,
    ) -> None:
        """Create a runner that is not started."""
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work_seconds = work_seconds
        self.state = 'ready'
        self.slots = 6
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        self._store = store
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f'servers/{self.name}'

    async def start(self) -> None:
        """Listen and register."""
        await self._server.open(self.address)
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Exit."""
        self.stop_beats()
        await self._server.close()

    def stop_beats(self) -> None:
        """Write no entry any more."""
        if self._beats is not None:
            self._beats.cancel()

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def register(self) -> None:
        """Write its entry."""
        self._store.put(
            self.key,
            {
                'Service': self.service,
                'Addr': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': self.state,
                'ColdLeftMs': 0,
                'Seq': self.sequence,
                'born': self.born,
            },
        )

    async def _handle(self, request: Request, connection: Connection) -> None:
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            await connection.send(self.encode(request, 421, not_run=True))
        elif request.path == _HEALTH_PATH:
            await connection.send(encode_answer(200, [('Instance', self.name)]))
        else:
            await self.serve(request, connection)

    async def serve(self, request: Request, connection: Connection) -> None:
        """Run one request."""
        self.runs.append((time.monotonic(), request.headers['attempt-id']))
        await asyncio.sleep(self.work_seconds)
        body = f'{self.name} ran {request.target}'.encode()
        await connection.send(self.encode(request, 200, body))

    def encode(
        self,
        request: Request,
        status: int,
        body: bytes = b'',
        *,
        not_run: bool = False,
    ) -> bytes:
        """Encode an answer with the id of the request."""
        headers = [('Attempt-Id', request.headers.get('attempt-id', ''))]
        if not_run:
            headers.append(('Not-Executed', '1'))
        else:
            headers.append(('Response-Seal', f'seal.{self.name}'))
        return encode_answer(status, headers, body)
