"""Parts of prompts and adapters that end each engine that runs them."""

from __future__ import annotations

import sys
import unittest

from tests.rig.cause_faults import CauseFaults
from tests.rig.cause_play import DEADLY, FIRST_PART, CausePlay, Prompt
from tests.rig.crash_play import Ending
from tests.rig.upstream_rules import Disturbance

CALM_SECONDS = 6
SECONDS = 12
SOUND_PER_SECOND = 16
DEADLY_PER_SECOND = 2
MIDDLE = Prompt((FIRST_PART, DEADLY))
STEPS = 12
SEEDS = (1, 2, 3)
SILENT_SEED = 143
MANY_VMS = 135


def play_seed(seed: int, loses_vms: bool = True) -> list[str]:
    """Run the faults of one seed and return the violations."""
    faulty = CauseFaults(seed, loses_vms)
    try:
        faulty.play(STEPS)
        return faulty.find_violations()
    finally:
        faulty.close()


class CauseTestCase(unittest.TestCase):
    """Plays requests with a deadly cause beside sound ones."""

    def start(self, ending=Ending.CLOSED, **shape):
        """Start a site, its sound traffic and some calm seconds."""
        self.play = CausePlay.started(ending, **shape)
        self.site = self.play.site
        self.addCleanup(self.site.close)
        self.site.events_before_end = 3
        self.play.add_sound(SOUND_PER_SECOND)

    def play_deadly(
        self, prompt=MIDDLE, rate=DEADLY_PER_SECOND, path='/chats/1'
    ):
        """Send deadly requests, after some calm seconds."""
        self.play.advance(CALM_SECONDS)
        self.play.add_deadly(rate, prompt, path)
        self.play.advance(SECONDS)

    def check(self):
        """Check the rules, and the aims beyond them."""
        self.play.settle()
        self.assertGreater(len(self.site.ends), 2)
        self.assertEqual(self.play.violations(), [])
        self.assertEqual(self.play.aim_violations(), [])

    def check_rules(self):
        """Check the rules, where the aims are out of reach."""
        self.play.settle()
        self.assertGreater(len(self.site.ends), 2)
        self.assertEqual(self.play.violations(), [])
        self.assertEqual(self.play.refused_as_deadly(), [])


class TestPlaceOfThePart(CauseTestCase):
    """Where in a prompt the deadly part stands."""

    def play_prompt(self, *parts):
        """Play prompts with these shared parts."""
        self.start()
        self.play_deadly(Prompt(parts))
        self.check()

    def test_part_in_the_middle(self):
        """Guards against requests that differ in all but one deadly part."""
        self.play_prompt(FIRST_PART, DEADLY)

    def test_part_before_a_sound_one(self):
        """Guards against the last shared part alone taken for the cause."""
        self.play_prompt(DEADLY, FIRST_PART)

    def test_part_alone(self):
        """Guards against prompts that share nothing but the deadly part."""
        self.play_prompt(DEADLY)

    def test_first_part_of_many_prompts(self):
        """Guards against a part taken for sound as it was so before."""
        self.start()
        self.play.advance(CALM_SECONDS)
        self.site.deadly_parts = {'c1'}
        self.play_deadly(Prompt(('c1', 's1')))
        self.play.settle()
        self.assertEqual(self.play.violations(), [])


class TestEndings(CauseTestCase):
    """How and when engines end, and how they return."""

    def play_ending(self, ending, events_before_end=3, path='/chats/1'):
        """Play a way to end."""
        self.start(ending)
        self.site.events_before_end = events_before_end
        self.play_deadly(path=path)

    def test_engines_that_are_back_at_once(self):
        """Guards against ends that nobody sees, as the port is open again."""
        self.play_ending(Ending.BACK)
        self.check()

    def test_engines_that_are_back_under_their_id(self):
        """Guards against a new process taken for the one that ended."""
        self.play_ending(Ending.SAME_ID)
        self.check()

    def test_engines_that_fall_silent(self):
        """Guards against ends that show in no broken connection."""
        self.play_ending(Ending.SILENT)
        self.check_rules()

    def test_ends_before_the_first_event(self):
        """Guards against ends counted only for streams that have begun."""
        self.play_ending(Ending.CLOSED, 0)
        self.check()

    def test_ends_after_many_events(self):
        """Guards against a part cleared by the events of a stream."""
        self.play_ending(Ending.CLOSED, 5)
        self.check()

    def test_streams_that_end_in_order(self):
        """Guards against a part cleared by a stream that only seems whole."""
        self.start()
        self.site.ends_in_order = True
        self.play_deadly()
        self.check()

    def test_streams_that_are_resumed(self):
        """Guards against requests that end one engine after the other."""
        self.play_ending(Ending.CLOSED, path='/reviews/1')
        self.check()


class TestRates(CauseTestCase):
    """How often deadly requests come, and beside what."""

    def test_one_request_in_two_seconds(self):
        """Guards against causes forgotten between their requests."""
        self.start()
        self.play_deadly(rate=0.5)
        self.play.advance(SECONDS)
        self.check()

    def test_eight_requests_a_second(self):
        """Guards against engines that all end before any is recognized."""
        self.start()
        self.play_deadly(rate=8)
        self.play.advance(SECONDS)
        self.check_rules()

    def test_several_parts_at_once(self):
        """Guards against a sound part that explains the ends of several."""
        self.start()
        self.site.deadly_parts = {'deadly-1', 'deadly-2'}
        self.play.advance(CALM_SECONDS)
        for name in sorted(self.site.deadly_parts):
            self.play.add_deadly(1, Prompt((FIRST_PART, name)), key=name)
        self.play.advance(SECONDS)
        self.check()

    def test_crashes_by_chance(self):
        """Guards against sound parts refused where engines crash by chance."""
        self.start(Ending.BACK)
        self.site.chance = 0.01
        self.play.add_sound(SOUND_PER_SECOND, '/reviews/1')
        self.play.advance(SECONDS + SECONDS)
        self.play.settle()
        self.assertGreater(len(self.site.ends), 2)
        self.assertEqual(self.play.refused_as_deadly(), [])

    def test_requests_that_wait_for_a_place(self):
        """Guards against requests admitted before others were lost."""
        self.start(engines=3)
        self.play_deadly(rate=4)
        self.check_rules()


class TestOtherCauses(CauseTestCase):
    """Causes other than parts of prompts."""

    def test_adapter(self):
        """Guards against an adapter that ends each engine that applies it."""
        self.start()
        self.site.deadly_adapters = {DEADLY}
        self.play_deadly(Prompt((FIRST_PART, 's1'), DEADLY))
        self.check()


class TestVms(CauseTestCase):
    """VMs that start, were restarted, cut off or paused meanwhile."""

    def test_vms_that_restart(self):
        """Guards against VMs that do not know what others have counted."""
        self.start()
        self.play_deadly()
        for vm_id in self.site.vms_by_id:
            self.site.kill(vm_id)
            self.play.advance(1)
            self.site.start(vm_id)
            self.play.advance(3)
        self.check_rules()

    def test_vm_that_starts_late(self):
        """Guards against a new VM that sends before it is notified."""
        self.start()
        self.site.kill('vm-5')
        self.play_deadly()
        self.site.start('vm-5')
        self.play.running = lambda: ['vm-5']
        self.play.advance(SECONDS)
        self.check_rules()

    def test_vm_cut_off_from_the_others(self):
        """Guards against a count that a VM never learns after a partition."""
        self.start()
        others = [vm for vm in self.site.vms_by_id if vm != 'vm-5']
        self.play.advance(CALM_SECONDS)
        begins = self.site.now()
        self.site.links.partition(['vm-5'], others)
        self.play_deadly()
        self.site.links.heal_between(['vm-5'], others)
        self.play.disturbances.entries.append(
            Disturbance('vm-5', begins, self.site.now(), is_partition=True)
        )
        self.play.advance(SECONDS)
        self.check_rules()

    def test_vm_that_is_paused(self):
        """Guards against requests that a VM sends when it wakes up."""
        self.start()
        self.play.advance(CALM_SECONDS)
        self.play.add_deadly(DEADLY_PER_SECOND, MIDDLE)
        self.play.advance(1)
        node = self.site.vms_by_id['vm-5'].node
        begins = self.site.now()
        node.paused = True
        self.play.advance(4)
        node.paused = False
        self.play.disturbances.entries.append(
            Disturbance('vm-5', begins, self.site.now())
        )
        self.play.advance(SECONDS)
        self.check_rules()


class TestFaults(unittest.TestCase):
    """Random faults beside requests that end engines."""

    def test_random_faults(self):
        """Guards against deadly requests sent beside other faults."""
        violations = {seed: play_seed(seed) for seed in SEEDS}
        self.assertEqual(violations, {seed: [] for seed in SEEDS})

    def test_silent_engines(self):
        """Guards against ends that count only when their requests time out."""
        self.assertEqual(play_seed(SILENT_SEED, loses_vms=False), [])


def play_many_vms(count: int) -> None:
    """Play deadly requests among many VMs and print the violations."""
    play = CausePlay.started(vms=count, engines=24)
    play.site.events_before_end = 3
    play.add_sound(2 * SOUND_PER_SECOND)
    play.advance(CALM_SECONDS)
    play.add_deadly(DEADLY_PER_SECOND, MIDDLE)
    play.advance(SECONDS)
    play.settle()
    print(f'{len(play.site.ends)} ends, shares {play.shares()}')
    print(play.violations(), play.aim_violations())
    play.site.close()


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
    if sys.argv[1] == 'vms':
        play_many_vms(int(sys.argv[2]))
    else:
        main(int(sys.argv[1]), int(sys.argv[2]))
