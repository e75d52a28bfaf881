"""Tests of the HTTP server on single connections."""

from __future__ import annotations

import unittest

import curio
import h11
from curio import socket

from flamingovalve.errors import ConnectionLost
from flamingovalve.generated.settings import LimitSettings
from flamingovalve.http.server import HttpServer, Responder, ServerConnection
from flamingovalve.util.network import Network

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'


class TestStalledCaller(unittest.TestCase):
    """A caller that keeps its connection open but stops reading."""

    def setUp(self) -> None:
        """Create a server with a short idle timeout."""
        limits = LimitSettings()
        limits.idle_seconds = 0.05
        self.server = HttpServer(Network(), self._answer, limits)

    async def _answer(self, _request, _responder):
        """Send no response."""

    def test_writes_time_out(self):
        """Writes to a caller that hangs in the middle of a response time out.

        Otherwise the request holds its place and adapter on the engine until
        the caller's process ends, and other requests are refused because no
        place is free.
        """

        async def scenario():
            server_socket, caller_socket = socket.socketpair()
            protocol = h11.Connection(our_role=h11.SERVER)
            protocol.receive_data(REQUEST)
            protocol.next_event()
            responder = Responder(server_socket, protocol, self.server)
            await responder.start(200, [])
            with self.assertRaises(ConnectionLost):
                for _chunk in range(1000):
                    await responder.chunk(b'x' * 65536)
            await server_socket.close()
            await caller_socket.close()

        curio.run(scenario)
        self.assertEqual(self.server.counts.stalled_callers, 1)


class TestClosingServer(unittest.TestCase):
    """Connection reuse after the server has started to close."""

    def test_no_request_is_read_after_the_response_in_progress(self):
        """A request read during shutdown would be cut off at its end."""
        requests = []

        async def answer(request, responder):
            requests.append(request)
            await responder.start(200, [])
            server.is_closing = True
            await responder.chunk(b'x')
            await responder.end()

        async def scenario():
            server_socket, caller_socket = socket.socketpair()
            await caller_socket.sendall(REQUEST + REQUEST)
            async with curio.timeout_after(5):
                await ServerConnection(server, server_socket).run(full=False)
            await server_socket.close()
            await caller_socket.close()

        server = HttpServer(Network(), answer, LimitSettings())
        curio.run(scenario)
        self.assertEqual(len(requests), 1)
