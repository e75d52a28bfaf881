"""The HTTP server on single connections."""

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
    """A caller that keeps its connection and reads nothing."""

    def setUp(self) -> None:
        """Start a server that waits for a twentieth of a second."""
        limits = LimitSettings()
        limits.idle_seconds = 0.05
        self.server = HttpServer(Network(), self._answer, limits)

    async def _answer(self, _request, _responder):
        """Answer nothing."""

    def test_writes_give_up(self):
        """A caller's program hangs in the middle of its answer.

        The request held its engine's place and adapter until that program
        was ended, and others were refused for want of places.
        """

        async def scenario():
            ours, theirs = socket.socketpair()
            protocol = h11.Connection(our_role=h11.SERVER)
            protocol.receive_data(REQUEST)
            protocol.next_event()
            responder = Responder(ours, protocol, self.server)
            await responder.start(200, [])
            with self.assertRaises(ConnectionLost):
                for _chunk in range(1000):
                    await responder.chunk(b'x' * 65536)
            await ours.close()
            await theirs.close()

        curio.run(scenario)
        self.assertEqual(self.server.counts.stalled_callers, 1)


class TestClosingServer(unittest.TestCase):
    """Connection reuse after the server starts closing."""

    def test_no_request_is_read_after_the_response_in_progress(self):
        """A request accepted late would be cut off when shutdown ends."""
        requests = []

        async def answer(request, responder):
            requests.append(request)
            await responder.start(200, [])
            server.is_closing = True
            await responder.chunk(b'x')
            await responder.end()

        async def scenario():
            ours, theirs = socket.socketpair()
            await theirs.sendall(REQUEST + REQUEST)
            async with curio.timeout_after(5):
                await ServerConnection(server, ours).run(full=False)
            await ours.close()
            await theirs.close()

        server = HttpServer(Network(), answer, LimitSettings())
        curio.run(scenario)
        self.assertEqual(len(requests), 1)
