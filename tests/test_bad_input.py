"""Bad input gets a typed error and does not stop the daemon."""

from __future__ import annotations

import json
import unittest

import curio

from tests.rig.fleet import Fleet, Shape


def set_low_limits(settings):
    """Set limits low enough for a test to exceed."""
    settings.limits.header_bytes = 2048
    settings.limits.body_bytes = 4096
    settings.limits.connections = 4
    settings.limits.idle_seconds = 2


class BadInputTest(unittest.TestCase):
    """Input from a broken or hostile client."""

    def setUp(self):
        """Start a fleet with low limits."""
        self.fleet = Fleet.started(Shape(vms=1, engines=1, tune=set_low_limits))
        self.addCleanup(self.fleet.close)
        self.address = self.fleet.vms_by_id['vm-0'].http_address

    def send_raw(self, *parts, seconds=10):
        """Send raw bytes and return everything received."""
        return self.fleet.world.ask(
            self.fleet.caller.node,
            self._exchange,
            parts,
            seconds,
        )

    async def _exchange(self, parts, seconds):
        opened = await self.fleet.caller.network.connect(self.address, 1)
        received = b''
        async with curio.ignore_after(seconds):
            for part in parts:
                await opened.sendall(part)
            while True:
                got = await opened.recv(65536)
                if not got:
                    break
                received += got
        await opened.close()
        return received

    def assert_error(self, received, status, kind):
        """Check the error and that the daemon still serves requests."""
        head, _separator, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 %d' % status), head)
        self.assertEqual(json.loads(body)['error']['type'], kind)
        self.assertEqual(self.fleet.complete('vm-0', 'adapter-1').status, 200)

    def test_bytes_that_are_not_http(self):
        self.assert_error(
            self.send_raw(b'\x16\x03\x01 not http\r\n\r\n'),
            400,
            'malformed_request',
        )

    def test_headers_too_large(self):
        head = b'GET /healthz HTTP/1.1\r\nhost: x\r\nx-long: '
        self.assert_error(
            self.send_raw(head + b'a' * 5000),
            431,
            'headers_too_large',
        )

    def test_body_too_large(self):
        head = b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
        announced = b'content-length: 999999\r\n\r\n'
        self.assert_error(
            self.send_raw(head + announced), 413, 'request_too_large'
        )

    def test_chunked_body_too_large(self):
        head = b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
        chunked = b'transfer-encoding: chunked\r\n\r\n'
        chunk = b'1000\r\n' + b'a' * 0x1000 + b'\r\n'
        self.assert_error(
            self.send_raw(head + chunked, chunk, chunk),
            413,
            'request_too_large',
        )

    def test_invalid_json(self):
        for body in (b'{', b'[]', b'{"model": 3}', b'{}'):
            head = (
                b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                b'authorization: Bearer studio\r\nconnection: close\r\n'
                b'content-length: %d\r\n\r\n' % len(body)
            )
            self.assert_error(
                self.send_raw(head + body), 400, 'malformed_request'
            )

    def test_deeply_nested_json(self):
        body = b'[' * 4000
        head = (
            b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
            b'authorization: Bearer studio\r\nconnection: close\r\n'
            b'content-length: %d\r\n\r\n' % len(body)
        )
        self.assert_error(self.send_raw(head + body), 400, 'malformed_request')

    def test_caller_stalls_in_the_body(self):
        head = b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
        received = self.send_raw(head + b'content-length: 10\r\n\r\nabc')
        self.assert_error(received, 408, 'caller_too_slow')

    def test_malformed_pipelined_request(self):
        good = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
        received = self.send_raw(good + b'\x00\x01\x02 what\r\n\r\n')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'))
        second = received.partition(b'HTTP/1.1 400')[2]
        self.assertIn(b'malformed_request', second)
        self.assertEqual(self.fleet.complete('vm-0', 'adapter-1').status, 200)

    def test_pipelined_requests_are_all_answered(self):
        one = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
        received = self.send_raw(one * 3)
        self.assertEqual(received.count(b'HTTP/1.1 200'), 3)

    def test_too_many_connections(self):
        opened = [
            self.fleet.world.ask(
                self.fleet.caller.node,
                self.fleet.caller.network.connect,
                self.address,
                1,
            )
            for _index in range(4)
        ]
        self.fleet.world.advance(0.1)
        good = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
        received = self.send_raw(good)
        self.assertIn(b'HTTP/1.1 503', received)
        self.assertIn(b'overloaded', received)
        for connection in opened:
            self.fleet.world.ask(self.fleet.caller.node, connection.close)
        self.fleet.world.advance(0.1)
        self.assertEqual(self.fleet.complete('vm-0', 'adapter-1').status, 200)

    def test_rate_limit_sets_retry_after(self):
        daemon = self.fleet.daemon('vm-0')
        daemon.settings.limits.application_rate = 1
        daemon.settings.limits.application_burst = 1
        self.assertEqual(self.fleet.complete('vm-0', 'adapter-1').status, 200)
        response = self.fleet.complete('vm-0', 'adapter-1')
        self.assertEqual(response.status, 429)
        self.assertGreaterEqual(int(response.header('retry-after')), 1)
