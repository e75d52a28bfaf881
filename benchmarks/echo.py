"""The least that a relay of these libraries costs: no checks, no queue.

Reads a request with h11 on curio, sends it to one upstream and passes the
answer on chunk by chunk. ``GET /echo`` is answered at once.
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

SECONDS = 60


class BareRelay:
    """Passes everything to one upstream."""

    def __init__(self, network: Network, upstream: str) -> None:
        """Pass to ``upstream``."""
        self._pool = ConnectionPool(network, RelaySettings())
        self._upstream = upstream

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Pass one request."""
        if request.path == '/echo':
            await responder.send(Response(200, [], b'{}'))
            return
        connection = await self._pool.take(self._upstream)
        passed = ('content-type', 'x-request-id')
        headers = [
            (name, request.headers[name])
            for name in passed
            if name in request.headers
        ]
        call = UpstreamCall(
            request.method, request.target, headers, request.body
        )
        await connection.send(call, SECONDS)
        head = await connection.head(SECONDS)
        await responder.start(head.status, [])
        received = await connection.chunk(SECONDS)
        while received:
            await responder.chunk(received)
            received = await connection.chunk(SECONDS)
        await responder.end()
        await self._pool.give(connection)


def echo_call(_index: int) -> UpstreamCall:
    """Give the request that is answered at once."""
    return UpstreamCall('GET', '/echo', [])


async def serve(address: str, upstream: str) -> None:
    """Serve at ``address`` for good."""
    network = Network()
    server = HttpServer(network, BareRelay(network, upstream), LimitSettings())
    await server.serve(network.listen(address))


if __name__ == '__main__':
    curio.run(serve, *sys.argv[1:])
