"""Baseline relay on the same libraries, without checks or queues.

Reads a request with h11 on curio, sends it to one upstream and forwards the
response chunk by chunk. ``GET /echo`` is answered directly.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import curio

from flamingovalve.generated.settings import LimitSettings, RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.http.messages import Request, Response
from flamingovalve.http.server import HttpServer
from flamingovalve.util.network import Network

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder

TIMEOUT_SECONDS = 60


class BareRelay:
    """Forwards every request to one upstream."""

    def __init__(self, network: Network, upstream: str) -> None:
        """Create a relay to ``upstream``."""
        self._pool = ConnectionPool(network, RelaySettings())
        self._upstream = upstream

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Forward one request."""
        if request.path == '/echo':
            await responder.send(Response(200, [], b'{}'))
            return
        connection = await self._pool.acquire(self._upstream)
        forwarded_names = ('content-type', 'x-request-id')
        headers = [
            (name, request.headers[name])
            for name in forwarded_names
            if name in request.headers
        ]
        call = UpstreamCall(
            request.method, request.target, headers, request.body
        )
        await connection.send(call, TIMEOUT_SECONDS)
        head = await connection.head(TIMEOUT_SECONDS)
        await responder.start(head.status, [])
        chunk_bytes = await connection.chunk(TIMEOUT_SECONDS)
        while chunk_bytes:
            await responder.chunk(chunk_bytes)
            chunk_bytes = await connection.chunk(TIMEOUT_SECONDS)
        await responder.end()
        await self._pool.release(connection)


def echo_call(_index: int) -> UpstreamCall:
    """Return a request that the relay answers itself."""
    return UpstreamCall('GET', '/echo', [])


async def serve(address: str, upstream: str) -> None:
    """Serve at ``address`` until the process is terminated."""
    network = Network()
    server = HttpServer(network, BareRelay(network, upstream), LimitSettings())
    await server.serve(network.listen(address))


if __name__ == '__main__':
    curio.run(serve, *sys.argv[1:])
