"""The options of real sockets."""

from __future__ import annotations

import socket
import unittest

import curio

from flamingovalve.util.network import (
    CALLER_TIMEOUTS,
    LINK_TIMEOUTS,
    Network,
)
from tests.rig.addresses import free_address


def option(opened, name):
    """Return an option of a TCP socket."""
    return opened.getsockopt(socket.IPPROTO_TCP, name)


class TestTimeouts(unittest.TestCase):
    """A connection between two sockets of this process."""

    def connection(self, *timeouts):
        """Open a connection; return both of its ends."""

        async def connect():
            network = Network()
            address = free_address()
            listening = network.listen(address)
            accepting = await curio.spawn(network.accept, listening, *timeouts)
            opened = await network.connect(address, 1)
            accepted = await accepting.join()
            for one in (listening, opened, accepted):
                self.addCleanup(one._socket.close)
            return opened, accepted

        return curio.run(connect)

    def assert_timeouts(self, opened, timeouts):
        """Check the options that the operating system has set."""
        alive = opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        self.assertTrue(alive)
        self.assertEqual(
            option(opened, socket.TCP_USER_TIMEOUT), timeouts.user * 1000
        )
        self.assertEqual(option(opened, socket.TCP_KEEPIDLE), timeouts.idle)
        self.assertEqual(
            option(opened, socket.TCP_KEEPINTVL), timeouts.interval
        )

    def test_callers_and_upstreams(self):
        """Guards against connections that the system never gives up."""
        opened, accepted = self.connection()
        self.assert_timeouts(opened, LINK_TIMEOUTS)
        self.assert_timeouts(accepted, CALLER_TIMEOUTS)

    def test_other_vms(self):
        """Guards against a VM that waits long for one that vanished."""
        _opened, accepted = self.connection(LINK_TIMEOUTS)
        self.assert_timeouts(accepted, LINK_TIMEOUTS)

    def test_probes_outlast_silence(self):
        """Guards against probes that end the silence of a sound upstream."""
        self.assertGreater(LINK_TIMEOUTS.user, 2 + LINK_TIMEOUTS.interval)
        self.assertLess(LINK_TIMEOUTS.idle, LINK_TIMEOUTS.user)
