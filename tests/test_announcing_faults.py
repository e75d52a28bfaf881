"""What upstreams announce, kept by whole daemons under random faults."""

from __future__ import annotations

import sys
import unittest
from unittest import mock

from flamingovalve.gateway.departures import Departure
from flamingovalve.gateway.send_keeper import SendKeeper
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated.messages import SendReply
from tests.rig.announcing_faults import AnnouncingSite

STEPS = 14
SEEDS = (1, 2, 3, 4)
MUTATION_SEEDS = 60


def play(seed: int) -> list[str]:
    """Run the faults of one seed and return the violations."""
    site = AnnouncingSite(seed)
    try:
        site.play(STEPS)
        return site.find_violations()
    finally:
        site.close()


class TestAnnouncingFaults(unittest.TestCase):
    """Limits, rests and departures begin and end while VMs fail."""

    def test_no_upstream_gets_what_it_does_not_accept(self):
        violations = {seed: play(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


class TestMutations(unittest.TestCase):
    """Checks that a disabled safeguard causes a violation."""

    def assert_noticed(self, mutation, expected):
        """Check that a seed notices ``mutation`` by a violation.

        :param expected: text in the violation
        """
        mutation.start()
        self.addCleanup(mutation.stop)
        violations = []
        for seed in range(1, MUTATION_SEEDS + 1):
            violations = play(seed)
            if any(expected in one for one in violations):
                return
        self.fail(f'no seed notices the mutation; last: {violations}')

    def test_keeper_that_books_every_request_at_once(self):
        book_all = mock.patch.object(
            SendKeeper, 'book', lambda _keeper, _ask: SendReply(0, 0)
        )
        self.assert_noticed(book_all, 'in 4 s')

    def test_departure_that_is_forgotten(self):
        forget = mock.patch.object(Departure, 'is_known', lambda _: False)
        self.assert_noticed(forget, 'its leaving')

    def test_rest_that_is_forgotten(self):
        forget = mock.patch.object(
            UpstreamStatus, 'rest_seconds', lambda _status: 0
        )
        self.assert_noticed(forget, 'in its rest')


def main() -> int:
    """Run an inclusive range of seeds given on the command line."""
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        violations = play(seed)
        failed += bool(violations)
        print(seed, violations[:3] or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
