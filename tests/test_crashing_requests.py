"""Requests that end each upstream that runs them, and those beside them."""

from __future__ import annotations

import sys
import unittest

from tests.rig.crash_faults import CrashFaults
from tests.rig.crash_play import CrashPlay, CrashSite, Ending
from tests.rig.upstream_rules import Disturbance

CALM_SECONDS = 2
SECONDS = 12
READS_PER_SECOND = 20
CHATS_PER_SECOND = 10
KEY = 'deadly'
STEPS = 12
SEEDS = (1, 2, 3)


def play_seed(seed: int) -> list[str]:
    """Run the faults of one seed and return the violations."""
    faulty = CrashFaults(seed)
    try:
        faulty.play(STEPS)
        return faulty.find_violations()
    finally:
        faulty.close()


class CrashTestCase(unittest.TestCase):
    """Plays deadly requests on a small site."""

    def start(self, ending, shares_calls=True, **shape):
        """Start a site and some harmless traffic."""
        self.site = CrashSite(ending, **shape)
        self.addCleanup(self.site.close)
        self.site.shares_calls = shares_calls
        self.play = CrashPlay(self.site)

    def repeat(self, make, interval=0.8):
        """Repeat a deadly request, after some calm seconds."""
        self.play.advance(CALM_SECONDS)
        self.play.repeat(make, KEY, interval)
        self.play.advance(SECONDS)

    def check(self):
        """Check the rule, and the aims beyond it."""
        self.play.settle()
        self.assertGreater(len(self.site.ends_of(KEY)), 2)
        self.assertEqual(self.play.violations(), [])
        self.assertEqual(self.play.aim_violations(), [])

    def deadly_read(self):
        """Return a deadly request without a body."""
        return self.site.read('/reads/deadly', KEY)

    def play_read(self, ending, **shape):
        """Play a deadly request without a body beside reads."""
        self.start(ending, **shape)
        self.play.add_reads(READS_PER_SECOND)
        self.repeat(self.deadly_read)
        self.check()

    def play_write(self, ending, path):
        """Play a deadly request with a body beside reads."""
        self.start(ending)
        self.play.add_reads(READS_PER_SECOND)
        self.repeat(lambda: self.site.write(path, KEY))
        self.check()

    def play_completion(self, ending, path, events_before_end=0):
        """Play a deadly completion beside others."""
        self.start(ending, engines=6, apps=2)
        self.site.events_before_end = events_before_end
        self.play.add(
            lambda: self.site.completion('/reviews/1'), 1 / CHATS_PER_SECOND
        )
        self.repeat(lambda: self.site.completion(path, KEY))
        self.check()


class TestRequestsWithoutBody(CrashTestCase):
    """A GET that ends each upstream."""

    def test_upstreams_that_refuse_connections(self):
        """Guards against repeats of a GET that end all upstreams."""
        self.play_read(Ending.CLOSED)

    def test_upstreams_that_fall_silent(self):
        """Guards against ends that show in no broken connection."""
        self.play_read(Ending.SILENT)

    def test_upstreams_that_are_back_at_once(self):
        """Guards against ends that nobody sees, as the port is open again."""
        self.play_read(Ending.BACK)

    def test_upstreams_that_are_back_under_their_id(self):
        """Guards against a new process taken for the one that ended."""
        self.play_read(Ending.SAME_ID)

    def test_addresses_that_others_take(self):
        """Guards against another service's upstream taken for a live one."""
        self.play_read(Ending.REUSED)

    def test_calls_without_a_keeper(self):
        """Guards against repeats that VMs send by their own choice."""
        self.play_read(Ending.CLOSED, shares_calls=False)

    def test_quick_repeats(self):
        """Guards against repeats that arrive before the end is confirmed."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        self.repeat(self.deadly_read, 0.15)
        self.check()

    def test_upstreams_that_fail_part_of_their_runs(self):
        """Guards against an error of a failing upstream taken for harmless."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        self.site.failing = 0.3
        self.repeat(self.deadly_read, 0.4)
        self.play.settle()
        self.assertGreater(len(self.site.ends_of(KEY)), 2)
        self.assertEqual(self.play.violations(), [])
        self.assertLessEqual(len(self.site.ends_of(KEY)), 4)

    def test_callers_that_leave(self):
        """Guards against ends after the caller has left, which count nothing."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        self.play.advance(CALM_SECONDS)
        self.play.repeat(self.deadly_read, KEY).patience = 0.015
        self.play.advance(SECONDS)
        self.check()


class TestRequestsWithBody(CrashTestCase):
    """Orders, writes and completions that end each upstream."""

    def test_writes_to_silent_upstreams(self):
        """Guards against writes that end upstreams without a reset."""
        self.play_write(Ending.SILENT, '/reads/deadly')

    def test_writes_to_upstreams_that_are_back_at_once(self):
        """Guards against writes whose upstreams accept connections again."""
        self.play_write(Ending.BACK, '/reads/deadly')

    def test_orders_to_silent_upstreams(self):
        """Guards against requests that run once and time out."""
        self.play_write(Ending.SILENT, '/orders/deadly')

    def test_orders_without_a_body(self):
        """Guards against requests that run once and have no body."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        self.repeat(lambda: self.site.read('/orders/deadly', KEY))
        self.check()

    def test_completions_that_are_resumed(self):
        """Guards against completions that end two engines per attempt."""
        self.play_completion(Ending.CLOSED, '/reviews/1')

    def test_streams_that_break_after_an_event(self):
        """Guards against streams that are resumed on engine after engine."""
        self.play_completion(Ending.CLOSED, '/reviews/1', events_before_end=1)

    def test_completions_on_engines_that_are_back_at_once(self):
        """Guards against engines that return before anybody looks."""
        self.play_completion(Ending.BACK, '/chats/1')

    def test_completions_on_silent_engines(self):
        """Guards against engines that end without a broken connection."""
        self.play_completion(Ending.SILENT, '/chats/1')


class TestPopularPath(CrashTestCase):
    """A path that many callers request."""

    def test_popular_path_beside_a_deadly_request(self):
        """Guards against a popular path refused for ends under another one."""
        self.start(Ending.CLOSED)
        self.play.add_reads(90, '/reads/popular')
        self.repeat(self.deadly_read)
        self.play.advance(SECONDS)
        self.assertGreater(len(self.play.harmless()), 2000)
        self.check()

    def test_deadly_request_on_a_popular_path(self):
        """Guards against a caller's repeats excused by others' responses."""
        self.start(Ending.CLOSED)
        path = '/reads/popular'
        self.play.add_reads(READS_PER_SECOND, path)
        self.play.advance(CALM_SECONDS)
        self.play.add(
            lambda: self.site.read(path, KEY),
            0.8,
            KEY,
            self.play.other_caller,
        )
        self.play.advance(SECONDS)
        self.check()

    def test_popular_path_on_upstreams_that_crash(self):
        """Guards against a popular path refused for ends by chance."""
        self.start(Ending.BACK)
        self.site.chance = 0.05
        self.play.add_reads(30, '/reads/popular')
        self.play.add(
            lambda: self.site.write('/reads/popular'), 1 / READS_PER_SECOND
        )
        self.play.advance(SECONDS)
        self.play.settle()
        self.assertGreater(len(self.site.ends), 10)
        self.assertEqual(self.play.violations(), [])


class TestVms(CrashTestCase):
    """VMs that were restarted or partitioned meanwhile."""

    def test_vms_that_restart(self):
        """Guards against VMs that do not know what others have counted."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        self.repeat(self.deadly_read)
        for vm_id in self.site.vms_by_id:
            self.site.kill(vm_id)
            self.play.advance(1)
            self.site.start(vm_id)
            self.play.advance(4)
        self.play.settle()
        self.assertEqual(self.play.violations(), [])
        self.assertLessEqual(len(self.site.ends_of(KEY)), 4)

    def test_vm_cut_off_from_the_others(self):
        """Guards against a count that a VM never learns after a partition."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        others = [vm for vm in self.site.vms_by_id if vm != 'vm-3']
        self.site.links.partition(['vm-3'], others)
        self.play.advance(CALM_SECONDS)
        self.play.repeat(self.deadly_read, KEY)
        front = self.play.running
        self.play.running = lambda: others
        self.play.advance(SECONDS)
        self.site.links.heal_between(['vm-3'], others)
        self.play.advance(3)
        ended = len(self.site.ends_of(KEY))
        self.play.running = front
        self.play.advance(SECONDS)
        self.play.settle()
        self.assertEqual(self.play.violations(), [])
        self.assertEqual(len(self.site.ends_of(KEY)), ended)

    def test_vm_without_paths_to_upstreams(self):
        """Guards against ends at the far side of a tunnel."""
        self.start(Ending.CLOSED)
        self.play.add_reads(READS_PER_SECOND)
        runners = [*self.site.engines, *self.site.apps]
        names = [runner.name for runner in runners]
        self.site.links.partition(['vm-1'], names)
        self.play.advance(CALM_SECONDS)
        self.play.repeat(self.deadly_read, KEY)
        self.play.running = lambda: ['vm-1']
        self.play.advance(SECONDS)
        self.play.settle()
        self.assertGreater(len(self.site.ends_of(KEY)), 2)
        self.assertEqual(self.play.violations(), [])
        self.assertLessEqual(len(self.site.ends_of(KEY)), 4)


class TestManyDeadlyRequests(CrashTestCase):
    """Several deadly requests of several kinds, each from several callers."""

    def test_repeats_of_several_callers(self):
        """Guards against ends of one caller's call that excuse the others."""
        self.start(Ending.CLOSED, engines=9, apps=3)
        self.play.add_reads(READS_PER_SECOND)
        self.play.advance(CALM_SECONDS)
        source = self.play.repeat(self.deadly_read, KEY)
        self.play.advance(2 * CALM_SECONDS)
        self.play.sources.remove(source)
        self.assertEqual(len(self.site.ends_of(KEY)), 3)
        self.play.add(self.deadly_read, 0.8, KEY, self.play.other_caller)
        self.play.advance(2 * SECONDS)
        self.play.settle()
        self.assertEqual(len(self.site.ends_of(KEY)), 3)

    def test_several_kinds_at_once(self):
        """Guards against several runs of a suspect before the first one ends."""
        self.start(Ending.CLOSED, vms=6, engines=9, apps=3)
        self.site.events_before_end = 2
        self.play.add_reads(READS_PER_SECOND)
        self.play.add(
            lambda: self.site.completion('/reviews/1'), 1 / CHATS_PER_SECOND
        )
        self.play.advance(CALM_SECONDS)
        makers = {
            'read': lambda: self.site.read('/reads/deadly', 'read'),
            'review': lambda: self.site.completion('/reviews/1', 'review'),
            'chat': lambda: self.site.completion('/chats/1', 'chat'),
            'review-2': lambda: self.site.completion('/reviews/1', 'review-2'),
        }
        for key, make in makers.items():
            self.play.repeat(make, key, 0.6)
            self.play.add(make, 0.9, key, self.play.other_caller)
        self.play.advance(2 * SECONDS)
        self.check_ends(makers)

    def check_ends(self, keys):
        """Check the rule, and the ends under each deadly request."""
        self.play.settle()
        self.assertEqual(self.play.violations(), [])
        ends = {key: len(self.site.ends_of(key)) for key in keys}
        self.assertLessEqual(max(ends.values()), 4, ends)


class TestLostVms(CrashTestCase):
    """VMs that end with what they know."""

    def restart(self, vm_ids, seconds):
        """Kill VMs and start them again; their first sends are excused."""
        now = self.site.now()
        for vm_id in vm_ids:
            self.site.kill(vm_id)
        self.play.advance(0.5)
        for vm_id in vm_ids:
            self.site.start(vm_id)
            disturbance = Disturbance(vm_id, now, self.site.now())
            self.play.disturbances.entries.append(disturbance)
        self.play.advance(seconds)

    def start_with_deadly(self, interval, count=1):
        """Start a site of six VMs and repeat deadly requests."""
        self.start(Ending.CLOSED, vms=6, engines=9, apps=9)
        self.play.add_reads(READS_PER_SECOND)
        self.play.add(
            lambda: self.site.completion('/reviews/1'), 1 / CHATS_PER_SECOND
        )
        self.play.advance(CALM_SECONDS)
        self.keys = [f'deadly-{number}' for number in range(count)]
        for key in self.keys:
            self.play.repeat(
                lambda key=key: self.site.completion('/reviews/1', key),
                key,
                interval,
            )
        self.play.advance(SECONDS)

    def check_rule(self):
        """Check the rule, after all traffic has ended."""
        self.play.settle()
        self.assertEqual(self.play.violations(), [])

    def test_all_vms_restart_again_and_again(self):
        """Guards against a count that ends with all VMs that know it."""
        self.start_with_deadly(2.5, 2)
        for _restart in range(4):
            self.restart(list(self.site.vms_by_id), SECONDS)
        self.check_rule()

    def test_vms_restart_in_turn_beside_many_requests(self):
        """Guards against a VM that is told a part of what others know."""
        self.start_with_deadly(0.8, 10)
        for _round in range(2):
            for vm_id in self.site.vms_by_id:
                self.restart([vm_id], 0.3)
        self.play.advance(SECONDS)
        self.check_rule()
        late = [len(self.site.ends_of(key)) for key in self.keys]
        self.assertLessEqual(max(late), 4, late)

    def test_vms_that_do_not_reach_each_other(self):
        """Guards against VMs that each count alone."""
        self.start_with_deadly(0.8)
        names = list(self.site.vms_by_id)
        for number, name in enumerate(names):
            self.site.links.partition([name], names[number + 1 :])
        self.play.add_reads(READS_PER_SECOND)
        self.play.repeat(
            lambda: self.site.completion('/reviews/1', 'later'), 'later', 0.8
        )
        self.play.advance(2 * SECONDS)
        self.check_rule()


class TestFaults(unittest.TestCase):
    """Random faults beside requests that end upstreams."""

    def test_random_faults(self):
        """Guards against repeats that get through beside other faults."""
        violations = {seed: play_seed(seed) for seed in SEEDS}
        self.assertEqual(violations, {seed: [] for seed in SEEDS})


def main(first: int, last: int) -> None:
    """Play a range of seeds and print the violations of each."""
    failed = 0
    for seed in range(first, last + 1):
        try:
            violations = play_seed(seed)
        except AssertionError as error:
            violations = [str(error)]
        failed += bool(violations)
        if violations:
            print(seed, violations, flush=True)
    print(f'{last + 1 - first} seeds, {failed} with violations')


if __name__ == '__main__':
    main(int(sys.argv[1]), int(sys.argv[2]))
