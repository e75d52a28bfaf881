"""Requests that must no longer be sent to an upstream."""

from __future__ import annotations

from unittest.mock import AsyncMock, Mock

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.gateway.announcements import Purpose
from flamingovalve.gateway.inbound import InboundRequest
from flamingovalve.gateway.model import RepeatPolicy, Route
from flamingovalve.gateway.relay import Outcome, SendOptions, UpstreamRelay
from flamingovalve.gateway.upstream_client import UpstreamClient
from flamingovalve.gateway.upstream_paths import UpstreamPaths
from flamingovalve.gateway.upstream_status import UpstreamStatuses
from flamingovalve.generated.ids import RequestId
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase


class UnusedConnection:
    """A connection that fails the test if a request is sent on it."""

    received = None

    def record_refused(self, _request_id):
        """Do nothing, as it is not used again."""

    async def send(self, _call, _seconds):
        """Fail, as no caller waits for the request."""
        raise AssertionError('a request was sent that no caller waits for')

    async def close(self):
        """Do nothing."""


class SlowDialer:
    """A dialer whose connections take a given time to open."""

    def __init__(self, case, seconds):
        """Advance the clock of ``case`` by ``seconds`` per connection."""
        self.case = case
        self.seconds = seconds

    async def connect(self, _upstream, _request_id):
        """Advance the clock and return a connection."""
        self.case.advance(self.seconds)
        return UnusedConnection()

    async def release(self, _connection):
        """Accept a returned connection."""


class AnnouncingDialer(SlowDialer):
    """A dialer where another response announces something meanwhile."""

    def __init__(self, case, announce):
        """Call ``announce`` before each connection is open."""
        super().__init__(case, 0.01)
        self.announce = announce

    async def connect(self, upstream, request_id):
        """Let the announcement arrive and return a connection."""
        self.announce()
        return await super().connect(upstream, request_id)


class OpenLimits:
    """Limits that admit every request."""

    async def admit_at_brittle(self, _upstream, _patience):
        """Admit a request at once."""

    async def admit(self, _upstream, _patience):
        """Admit a request at once."""


class EmptyWire:
    """A wire format without calls."""

    def call_of(self, _request, _upstream, options):
        """Record the options; return no call."""
        self.options = options


class TestSending(TimedTestCase):
    """Requests whose caller may have given up before they are sent."""

    def setUp(self) -> None:
        """Start with a quarantine that refuses nothing."""
        super().setUp()
        self.quarantine = AsyncMock()
        self.quarantine.refusal_seconds = Mock(return_value=0)

    def request(self, **changes):
        """Return a request with a deadline in one second."""
        route = Route(
            'status',
            'host',
            '/',
            RepeatPolicy.ANY,
            1,
            0.1,
            0,
            (),
            2,
            streams=False,
        )
        inbound = InboundRequest(
            RequestId('one'),
            'GET',
            '/',
            [],
            b'',
            route,
            self.current_time,
            self.current_time + 1,
            1,
        )
        for name, content in changes.items():
            setattr(inbound, name, content)
        return inbound

    def send(self, request, seconds):
        """Send a request over a connection that takes ``seconds`` to open."""
        return self.send_through(
            SlowDialer(self, seconds), UpstreamStatuses(), request
        )

    def send_through(self, dialer, statuses, request):
        """Send a request over a connection of ``dialer``."""
        client = UpstreamClient(
            lambda _head, _sent: None,
            statuses,
            OpenLimits(),
            UpstreamPaths(lambda _service: []),
            dialer,
            checker=None,
        )
        self.wire = EmptyWire()
        relay = UpstreamRelay(client, self.wire, self.quarantine)
        return curio.run(
            relay.exchange,
            request,
            upstream('one'),
            SendOptions(request.remaining()),
        )

    def test_deadline_that_passes_while_a_connection_opens(self):
        """An upstream accepts the connection after the deadline.

        Guards against sending the request, which would take capacity from
        live requests.
        """
        sent = self.send(self.request(), 1.5)
        self.assertIs(sent.outcome, Outcome.UNREACHABLE)

    def test_time_that_a_connection_takes_is_gone(self):
        """Guards against upstreams that are given more time than is left."""
        with self.assertRaises(AssertionError):
            self.send(self.request(), 0.3)
        self.assertAlmostEqual(self.wire.options.seconds, 0.7)

    def test_caller_that_disconnected_before_its_request_was_read(self):
        """A VM is short of CPU time and reads a request late.

        Its caller has closed the connection. Guards against sending the
        request to an upstream, which happened two seconds after the caller
        had disconnected.
        """
        request = self.request(is_caller_disconnected=lambda: True)
        with self.assertRaises(ConnectionLost):
            self.send(request, 0)

    def test_rest_that_begins_after_admission(self):
        """Another request is rejected while a connection opens.

        Guards against sending during the rest: only the check of
        ``UpstreamClient.send`` itself follows the admission.
        """
        statuses = UpstreamStatuses()
        status = statuses.of('one')
        pool = AnnouncingDialer(self, lambda: status.record_rest(2))
        sent = self.send_through(pool, statuses, self.request())
        self.assertIs(sent.outcome, Outcome.HELD_BACK)
        self.assertGreater(sent.retry_after, 1.9)
        self.assertEqual(statuses.counts.serve, 0)

    def test_quarantine_that_begins_after_admission(self):
        """Guards against a request sent after others found that it crashes."""
        self.quarantine.refusal_seconds.return_value = 9.0
        sent = self.send(self.request(), 0.3)
        self.assertIs(sent.outcome, Outcome.QUARANTINED)
        self.assertEqual(sent.retry_after, 9)

    def test_departure_that_becomes_known_after_admission(self):
        """Another response says that the upstream is leaving meanwhile.

        Guards against a request that an upstream drops when it ends.
        """
        statuses = UpstreamStatuses()
        departure = statuses.of('one').departure
        pool = AnnouncingDialer(
            self, lambda: departure.record_told(Purpose.SERVE)
        )
        sent = self.send_through(pool, statuses, self.request())
        self.assertIs(sent.outcome, Outcome.HELD_BACK)
        self.assertEqual(sent.retry_after, float('inf'))
        self.assertEqual(statuses.counts.serve, 0)
