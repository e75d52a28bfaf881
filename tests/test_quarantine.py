"""Quarantine of requests that crash upstreams."""

from __future__ import annotations

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.inbound import InboundRequest
from flamingovalve.gateway.model import RepeatPolicy, Route
from flamingovalve.gateway.quarantine import CrashQuarantine
from flamingovalve.gateway.relay import Outcome
from flamingovalve.generated.ids import RequestId
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase

SECONDS = 600.0
ROUTE = Route('r', 'host', '/r/', RepeatPolicy.RESUMABLE, 5, 1, 0, (), 2, True)


def request(number: int = 0, body: bytes = b'deadly') -> InboundRequest:
    """Return one attempt of a request."""
    return InboundRequest(
        RequestId(f'try-{number}'),
        'POST',
        '/r/1',
        [],
        body,
        ROUTE,
        received_at=0,
        deadline=5,
        patience=5,
    )


class TestCrashes(TimedTestCase):
    """Two VMs that exchange rumours."""

    def setUp(self) -> None:
        """Start with upstreams that have crashed if their connection breaks."""
        super().setUp()
        self.has_crashed = True
        self.vms = [CrashQuarantine(SECONDS, self._refuses) for _vm in range(2)]
        for vm in self.vms:
            vm.publish = self._publish

    async def _refuses(self, _address):
        """Return whether the upstream has crashed."""
        return self.has_crashed

    async def _publish(self, rumour):
        """Deliver a rumour to both VMs."""
        for vm in self.vms:
            vm.apply_rumour(rumour)

    def send(self, vm, outcome, body=b'deadly'):
        """Check a request on a VM and record the outcome of sending it."""
        attempt = request(body=body)
        vm.check(attempt)
        curio.run(vm.record, attempt, upstream('engine-0'), outcome)

    def test_fourth_upstream_does_not_get_the_request(self):
        """A caller retries a request that crashes upstreams through any VM.

        Guards against the loss of one more engine, with all requests on it,
        per attempt, until none is left.
        """
        for number in range(3):
            self.send(self.vms[number % 2], Outcome.LOST)
        for vm in self.vms:
            with self.assertRaises(ServingError) as caught:
                self.send(vm, Outcome.LOST)
            self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)

    def test_answer_clears_a_request(self):
        """Engines crash while they run a harmless request.

        Guards against a quarantine of that request, whose caller would never
        be served.
        """
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE)
        self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.LOST)

    def test_reset_connection_is_not_a_crash(self):
        self.has_crashed = False
        for _reset in range(5):
            self.send(self.vms[0], Outcome.LOST)
        self.assertEqual(self.vms[0].counts.crashes, 0)

    def test_request_without_a_body_is_exempt(self):
        for _crash in range(5):
            self.send(self.vms[0], Outcome.LOST, b'')

    def test_other_requests_are_not_quarantined(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE, b'harmless')

    def test_crash_count_expires(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.advance(SECONDS + 1)
        self.send(self.vms[0], Outcome.LOST)
