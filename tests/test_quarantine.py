"""Requests that crash whatever runs them."""

from __future__ import annotations

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.inbound import InboundRequest
from flamingovalve.gateway.model import Repeat, Route
from flamingovalve.gateway.quarantine import CrashQuarantine
from flamingovalve.gateway.relay import Outcome
from flamingovalve.generated.ids import RequestId
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase

SECONDS = 600.0
ROUTE = Route('r', 'host', '/r/', Repeat.RESUMABLE, 5, 1, 0, (), 2, True)


def request(number: int = 0, body: bytes = b'deadly') -> InboundRequest:
    """Give one try of a request."""
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
    """Two VMs that hear each other."""

    def setUp(self) -> None:
        """Start with upstreams that end when their connections break."""
        super().setUp()
        self.has_ended = True
        self.vms = [CrashQuarantine(SECONDS, self._refuses) for _vm in range(2)]
        for vm in self.vms:
            vm.publish = self._publish

    async def _refuses(self, _address):
        """Tell whether the upstream ended."""
        return self.has_ended

    async def _publish(self, rumour):
        """Let both VMs hear."""
        for vm in self.vms:
            vm.hear(rumour)

    def send(self, vm, outcome, body=b'deadly'):
        """Let a VM send the request once."""
        one = request(body=body)
        vm.check(one)
        curio.run(vm.note, one, upstream('engine-0'), outcome)

    def test_fourth_upstream_is_spared(self):
        """A caller sends a deadly request again and again, to any VM.

        Each try took one more engine with all that it ran, until none was
        left for anybody.
        """
        for number in range(3):
            self.send(self.vms[number % 2], Outcome.LOST)
        for vm in self.vms:
            with self.assertRaises(ServingError) as caught:
                self.send(vm, Outcome.LOST)
            self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)

    def test_answer_clears_a_request(self):
        """Engines crash under a request that did them no harm.

        Refused for that, its caller would never be served.
        """
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE)
        self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.LOST)

    def test_reset_connection_is_no_crash(self):
        self.has_ended = False
        for _reset in range(5):
            self.send(self.vms[0], Outcome.LOST)
        self.assertEqual(self.vms[0].counts.crashes, 0)

    def test_request_without_a_body_is_left_out(self):
        for _crash in range(5):
            self.send(self.vms[0], Outcome.LOST, b'')

    def test_other_requests_pass(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE, b'harmless')

    def test_suspicion_ends(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.advance(SECONDS + 1)
        self.send(self.vms[0], Outcome.LOST)
