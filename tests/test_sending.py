"""What is no longer sent to an upstream."""

from __future__ import annotations

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.gateway.inbound import InboundRequest
from flamingovalve.gateway.model import Repeat, Route
from flamingovalve.gateway.relay import Outcome, Sending, UpstreamRelay
from flamingovalve.generated.ids import RequestId
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase


class WatchedConnection:
    """A connection on which nothing must be sent."""

    async def send(self, _call, _seconds):
        """Fail: a request that nobody waits for was sent."""
        raise AssertionError('a request was sent that nobody waits for')

    async def close(self):
        """End."""


class SlowPool:
    """Opens a connection after a while."""

    def __init__(self, case, seconds):
        """Let ``seconds`` pass on the clock of ``case``."""
        self.case = case
        self.seconds = seconds

    async def take(self, _address):
        """Give a connection late."""
        self.case.advance(self.seconds)
        return WatchedConnection()

    async def give(self, _connection):
        """Take it back."""


class PlainWire:
    """Builds calls of nothing."""

    def call_of(self, _request, _upstream, _sending):
        """Give nothing."""


class TestSending(TimedTestCase):
    """A request whose caller may have left before it is sent."""

    def request(self, **changes):
        """Give a request with a second left."""
        route = Route(
            'status', 'host', '/', Repeat.ANY, 1, 0.1, 0, (), 2, streams=False
        )
        made = InboundRequest(
            RequestId('one'),
            'GET',
            '/',
            [],
            b'',
            route,
            self.moment,
            self.moment + 1,
            1,
        )
        for name, content in changes.items():
            setattr(made, name, content)
        return made

    def send(self, request, seconds):
        """Send over a connection that takes ``seconds`` to open."""
        relay = UpstreamRelay(SlowPool(self, seconds), PlainWire())
        return curio.run(
            relay.exchange,
            request,
            upstream('one'),
            Sending(request.remaining()),
        )

    def test_deadline_that_passes_while_a_connection_opens(self):
        """An upstream takes its connection late, after the deadline.

        The request was sent on for nobody, and took a place from others.
        """
        sent = self.send(self.request(), 1.5)
        self.assertIs(sent.outcome, Outcome.UNREACHABLE)

    def test_caller_that_left_before_its_request_was_read(self):
        """A VM was short of processor time and read a request late.

        Its caller had closed the connection. The request still went to an
        upstream, two seconds after the caller had left.
        """
        request = self.request(has_caller_left=lambda: True)
        with self.assertRaises(ConnectionLost):
            self.send(request, 0)
