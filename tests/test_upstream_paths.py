"""What a VM logs and counts of its paths to upstreams."""

from __future__ import annotations

import logbook

from flamingovalve.gateway.state import counts_of, gauges_of, state_of
from flamingovalve.gateway.upstream_paths import (
    PathFailure,
    UpstreamPaths,
    failure_of,
)
from tests.rig.engines import upstream
from tests.rig.partition_faults import Mode, PartitionedSite
from tests.rig.timeline import TimedTestCase


class TestPaths(TimedTestCase):
    """The paths to two upstreams of one service."""

    def setUp(self) -> None:
        """Start without observations."""
        super().setUp()
        self.upstreams = [upstream('one'), upstream('two')]
        self.paths = UpstreamPaths(lambda _service: self.upstreams)
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)

    def events(self):
        """Return the messages logged so far."""
        return [record.message for record in self.handler.records]

    def fail(self, number, failure=PathFailure.TIMED_OUT):
        """Record a failed attempt to reach an upstream."""
        self.paths.record_failure(self.upstreams[number], failure)

    def succeed(self, number, age=0):
        """Record data on a connection that was opened ``age`` seconds ago."""
        self.paths.record_success(
            self.upstreams[number], self.current_time - age
        )

    def test_old_connections_prove_nothing(self):
        """Guards against a path that seems to work while it refuses."""
        self.fail(0, PathFailure.REFUSED)
        self.advance(1)
        self.succeed(0, age=2)
        self.assertEqual(len(self.paths.failing()), 1)
        self.succeed(0)
        self.assertEqual(self.paths.failing(), [])

    def test_one_line_for_each_change(self):
        """Guards against a line for each failure."""
        for _attempt in range(5):
            self.fail(0)
        self.succeed(0)
        self.succeed(0)
        self.assertEqual(
            self.events(),
            ['path to an upstream fails', 'path to an upstream works again'],
        )
        self.assertEqual(self.paths.counts.failures, 5)

    def test_last_path_of_a_service(self):
        """Guards against a partition that looks like a dead upstream."""
        self.fail(0)
        self.assertEqual(self.paths.unreachable_services(), [])
        self.fail(1, PathFailure.REFUSED)
        service = self.upstreams[0].service
        self.assertEqual(self.paths.unreachable_services(), [service])
        self.succeed(1)
        self.assertEqual(self.paths.unreachable_services(), [])
        self.assertEqual(
            [event for event in self.events() if 'service' in event],
            [
                'this VM reaches no upstream of a service',
                'this VM reaches upstreams of a service again',
            ],
        )

    def test_kinds_of_failure(self):
        """Guards against resets that are logged as refusals."""
        self.assertIs(failure_of(TimeoutError()), PathFailure.TIMED_OUT)
        self.assertIs(failure_of(ConnectionRefusedError()), PathFailure.REFUSED)
        self.assertIs(failure_of(ConnectionResetError()), PathFailure.RESET)


class TestPartitionedVm(TimedTestCase):
    """A VM that reaches no upstream any more."""

    def test_partition_shows(self):
        """Guards against a partition that no metric shows."""
        faulty = PartitionedSite(1)
        self.addCleanup(faulty.close)
        faulty.advance(1)
        vm_id = faulty.site.others()[0]
        faulty.cut([vm_id], Mode.RESET)
        faulty.advance(4)
        daemon = faulty.site.vms_by_id[vm_id].daemon
        self.assertEqual(gauges_of(daemon)['services_unreachable'], 2)
        self.assertEqual(gauges_of(daemon)['upstreams_unreachable'], 5)
        self.assertGreaterEqual(counts_of(daemon)['upstream_paths'].fails, 5)
        self.assertEqual(len(state_of(daemon)['unreachable']), 5)
        faulty.heal_paths()
        faulty.advance(4)
        self.assertEqual(gauges_of(daemon)['services_unreachable'], 0)
