"""Whole daemons under more load than the engines serve."""

from __future__ import annotations

import unittest

from tests.rig.site import Site

# Each request asks for an adapter of its own, so each needs a slot for the
# time of a load and of its answer: some ten a second with four slots.
PEAK_A_SECOND = 12
SECONDS = 6
OVERLOADS = (2, 5, 10)
GOODPUT_SHARE = 0.9
BACK_SECONDS = 2
TARGET_SECONDS = 1.0


class TestOverload(unittest.TestCase):
    """A load that exceeds the engines for seconds and is taken away."""

    def setUp(self) -> None:
        """Start three VMs before two engines of two slots each."""
        self.site = Site.started()
        self.addCleanup(self.site.close)
        self.asked = 0

    def play(self, a_second):
        """Ask as often for some seconds; count what came in time."""
        tasks = []
        for _request in range(a_second * SECONDS):
            self.asked += 1
            call = self.site.chat(f'a{self.asked}')
            tasks.append(self.site.begin(f'vm-{self.asked % 3}', call))
            self.site.world.advance(1 / a_second)
        answers = [self.site.wait(task) for task in tasks]
        self.assertEqual({one.status for one in answers} - {200, 503}, set())
        return sum(one.status == 200 for one in answers)

    def test_goodput_holds(self):
        """Twice, five and ten times as many requests come as can be served.

        Those who could wait for a place must not push out those who get
        one: as many are to be served as at the peak, and the next request
        after the load finds the engines as before. What deciding costs the
        processor stands still on this clock; test_owner counts that.
        """
        peak = self.play(PEAK_A_SECOND)
        self.assertGreater(peak, 0)
        for times in OVERLOADS:
            served = self.play(times * PEAK_A_SECOND)
            self.assertGreaterEqual(served, GOODPUT_SHARE * peak, times)
            self.site.world.advance(BACK_SECONDS)
            after = self.site.send('vm-0', self.site.chat(f'after-{times}'))
            self.assertEqual(after.status, 200)

    def test_refusals_come_at_once_and_say_when(self):
        """Most of a burst cannot be served.

        Its callers hear so at once, with a time after which to come back, so
        that nobody waits in vain.
        """
        tasks = [
            self.site.begin(f'vm-{n % 3}', self.site.chat(f'a{n}'))
            for n in range(120)
        ]
        self.site.world.advance(TARGET_SECONDS)
        refused = [
            task.result
            for task in tasks
            if task.terminated and task.result.status == 503
        ]
        self.assertGreater(len(refused), 90)
        for answer in refused:
            pause = dict(answer.headers)['retry-after']
            self.assertGreater(float(pause), 0)
