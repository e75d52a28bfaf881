"""Streams go on at the software version that began them, or not at all."""

from __future__ import annotations

import sys
import unittest

from tests.rig.version_play import VersionFaults, VersionSite

STREAMS = 60
STEPS = 20
# Twice the time-out of the routes.
MEMORY_SECONDS = 10
SEEDS = (1, 2, 3, 4)
TWO = ('v1', 'v1', 'v1.1', 'v1.1')
THREE = (*TWO, 'v1.2', 'v1.2')


class VersionsTestCase(unittest.TestCase):
    """Plays streams on engines of several versions."""

    def start(self, versions=TWO, **options):
        """Start a site."""
        self.site = VersionSite(versions, **options)
        self.addCleanup(self.site.close)
        return self.site

    def run_streams(self, meanwhile=lambda _number: None, count=STREAMS):
        """Begin streams one after another, and run something after each."""
        for number in range(count):
            self.site.begin_stream()
            meanwhile(number)
            self.site.advance(0.05)
        self.site.finish()

    def check(self, *, least_resumed=10):
        """Check that no stream is mixed, and that those that can go on."""
        self.assertEqual(self.site.misordered(), [])
        mixed = [one.versions() for one in self.site.mixed()]
        self.assertEqual(mixed, [])
        gone_on, taken_up = self.site.share_gone_on()
        begun, asked = self.site.share_begun()
        self.assertGreaterEqual(taken_up, least_resumed)
        self.assertGreaterEqual(
            gone_on * asked, begun * taken_up, (gone_on, taken_up, begun, asked)
        )


class TestVersions(VersionsTestCase):
    """Streams that break while several versions serve."""

    def test_two_versions(self):
        """Guards against a stream that goes on at another version."""
        self.start()
        self.run_streams()
        self.check()

    def test_three_versions(self):
        """Guards against versions that are told apart as old and new only."""
        self.start(THREE)
        self.run_streams()
        self.check()

    def test_one_version(self):
        """Guards against streams that are refused though one version serves."""
        self.start(('v1', 'v1', 'v1'))
        self.run_streams()
        self.check()

    def test_one_version_costs_nothing(self):
        """Guards against messages about streams where one version serves."""
        site = self.start(('v1', 'v1'), breaks=0)
        site.advance(MEMORY_SECONDS)
        before = self.told()
        self.run_streams(count=20)
        self.assertEqual(self.told(), before)
        site.breaks = 0.5
        self.run_streams()
        self.assertEqual(self.told(), before)
        self.check()

    def told(self):
        """Return how many messages told of streams."""
        return sum(
            vm.daemon.versions.counts.notified
            for vm in self.site.vms_by_id.values()
        )

    def test_unknown_versions(self):
        """Guards against engines without a version that take up no stream."""
        self.start(('', '', ''))
        self.run_streams()
        self.check()

    def test_killed_vms(self):
        """Guards against a version that is forgotten with one VM."""
        site = self.start(vms=6)

        def kill_in_turn(number):
            vm_id = f'vm-{number // 20}'
            if number % 20 == 10:
                site.kill(vm_id)
                site.disturb(vm_id)
            if number % 20 == 13:
                site.start(vm_id)
                site.disturb(vm_id)

        self.run_streams(kill_in_turn, 100)
        self.check(least_resumed=5)

    def test_vm_cut_off_from_the_others(self):
        """Guards against a guess where nobody can be asked."""
        site = self.start()
        others = [vm_id for vm_id in site.vms_by_id if vm_id != 'vm-0']

        def cut(number):
            if number == 5:
                site.links.partition(['vm-0'], others)

        self.run_streams(cut)
        self.assertEqual(site.mixed(), [])
        self.assertEqual(site.misordered(), [])

    def test_version_that_comes(self):
        """Guards against streams of the time when one version served."""
        site = self.start(('v1', 'v1', 'v1'))

        def come(number):
            if number in {20, 21}:
                site.add_engine('v1.1')

        self.run_streams(come)
        self.check()

    def test_version_that_leaves(self):
        """Guards against a version that is replaced for the streams in progress."""
        site = self.start()

        def leave(number):
            if number == 30:
                for engine in list(site.engines):
                    if engine.software == 'v1':
                        site.drain(engine)

        self.run_streams(leave)
        self.check(least_resumed=5)

    def test_version_that_is_rolled_out(self):
        """Guards against a stream that moves on with the roll-out."""
        site = self.start(('v1', 'v1', 'v1', 'v1'))

        def roll(number):
            if number in {10, 15, 20, 25}:
                site.add_engine('v1.1')
                site.drain(site.engines[0])

        self.run_streams(roll)
        self.check(least_resumed=5)

    def replace_engines(self, *, same_id):
        """Replace engines at their address by others of another version."""
        site = self.start(seed=3)

        def replace(number):
            if number % 10 == 5:
                engine = site.engines[0]
                other = 'v1.1' if engine.software == 'v1' else 'v1'
                site.crash(engine, other, same_id=same_id)

        self.run_streams(replace)
        self.assertEqual(site.mixed(), [])
        self.assertEqual(site.misordered(), [])

    def test_engine_replaced_at_its_address(self):
        """Guards against an address that is taken for its former engine."""
        self.replace_engines(same_id=False)

    def test_engine_restarted_under_its_id(self):
        """Guards against an entry that names the version before a restart."""
        self.replace_engines(same_id=True)

    def test_all_vms_restart(self):
        """Guards against a guess after the loss of all that VMs knew."""
        site = self.start()

        def restart(number):
            if number == 30:
                for vm_id in site.vms_by_id:
                    site.kill(vm_id)
                    site.start(vm_id)
                    site.disturb(vm_id)

        self.run_streams(restart, 100)
        self.assertEqual(site.mixed(), [])
        self.assertEqual(site.misordered(), [])


class TestRefusals(VersionsTestCase):
    """What callers get whose stream can't go on."""

    def take_up(self, vm_id, resumed, after='2'):
        """Return the answer to a client that takes up a stream."""
        call = self.site.chat(path=self.site.route)
        call.headers += [('Resumes', resumed), ('Last-Event-Id', after)]
        address = self.site.vms_by_id[vm_id].front
        started_at = self.site.world.monotonic()
        received = self.site.world.ask(
            self.site.caller.node,
            self.site.plain_caller.ask,
            address,
            call,
            5,
        )
        self.seconds = self.site.world.monotonic() - started_at
        name = dict(call.headers)['Attempt-Id']
        self.runs = sum(one.runs_by_request[name] for one in self.site.engines)
        return received

    def test_unknown_attempt(self):
        """Guards against a guess, and a wait, for a stream nobody knows."""
        self.start(breaks=0)
        for vm_id in self.site.vms_by_id:
            received = self.take_up(vm_id, 'never-seen')
            self.assertEqual(received.status, 503)
            self.assertEqual(self.runs, 0)
            self.assertLess(self.seconds, 0.5)

    def test_vms_that_agree_on_an_old_version(self):
        """Guards against VMs that agree, as all of them are cut off."""
        site = self.start(('v1', 'v1'), vms=6, breaks=0)
        site.advance(MEMORY_SECONDS)
        behind = ['vm-0', 'vm-1']
        ahead = [vm_id for vm_id in site.vms_by_id if vm_id not in behind]
        site.links.partition(behind, ['store', *ahead])
        site.advance(3)
        for _engine in range(2):
            site.add_engine('v1.1')
        site.advance(3)
        for engine in site.engines:
            engine.full = engine.software == 'v1'
        call = site.chat(path=site.route)
        self.assertIn(b'v1.1', site.send(ahead[0], call).body)
        began = dict(call.headers)['Attempt-Id']
        for engine in site.engines:
            engine.full = False
        for vm_id in behind:
            self.assertEqual(self.take_up(vm_id, began).status, 503)
            self.assertEqual(self.runs, 0)
        for vm_id in ahead:
            self.assertEqual(self.take_up(vm_id, began).status, 200)

    def test_many_unknown_attempts(self):
        """Guards against callers whose returns flood all VMs with questions."""
        self.start(breaks=0, vms=6)
        for number in range(100):
            self.assertEqual(self.take_up('vm-0', f'any-{number}').status, 503)
        counts = self.site.vms_by_id['vm-0'].daemon.versions.counts
        self.assertGreater(counts.not_asked, 40)
        known = self.site.begin_stream()
        self.site.advance(1)
        self.assertEqual(self.take_up('vm-0', known.began).status, 200)

    def test_stream_of_a_plain_service(self):
        """Guards against a version that only engines are held to."""
        site = self.start(breaks=0)
        other = site.add_app('v1.1')
        route = {
            'Name': 'events',
            'PathPrefix': '/events/',
            'Kind': 'streaming',
            'Service': 'app',
            'MaxAttempts': 2,
            'Resumable': True,
        }
        site.publish(Routes=[site._route(route)])
        site.advance(2)
        for path in range(8):
            call = site.call(f'/events/{path}')
            began = dict(call.headers)['Attempt-Id']
            body = site.send('vm-0', call).body
            again = site.call(f'/events/{path}')
            again.headers += [('Resumes', began), ('Last-Event-Id', '1')]
            self.assertEqual(site.send('vm-1', again).body, body)
        self.assertTrue(other.runs_by_request)

    def test_version_that_is_gone(self):
        """Guards against a wait for a version that has left."""
        site = self.start(breaks=0)
        streams = [site.begin_stream() for _number in range(8)]
        site.finish()
        began = next(one.began for one in streams if one.versions() == ['v1'])
        for engine in list(site.engines):
            if engine.software == 'v1':
                site.drain(engine)
        site.advance(4)
        for vm_id in site.vms_by_id:
            received = self.take_up(vm_id, began)
            self.assertEqual(received.status, 503)
            self.assertEqual(self.runs, 0)
            self.assertLess(self.seconds, 0.5)

    def test_every_vm_knows(self):
        """Guards against a VM that refuses a stream that another one began."""
        site = self.start(breaks=0)
        streams = [site.begin_stream() for _number in range(4)]
        site.advance(1)
        for stream in streams:
            for vm_id in site.vms_by_id:
                received = self.take_up(vm_id, stream.began)
                self.assertEqual(received.status, 200)
                version = stream.versions()[0].encode()
                self.assertEqual(received.body.count(version + b' '), 4)

    def test_stream_that_may_not_be_resumed(self):
        """Guards against a refusal where no stream is resumed."""
        site = self.start(breaks=0)
        site.route = '/chats/1'
        received = self.take_up('vm-0', 'never-seen', '')
        self.assertEqual(received.status, 200)


class TestLostModels(VersionsTestCase):
    """Engines that no longer hold what their last report says."""

    def test_other_engine_serves(self):
        """Guards against an engine that is granted again while it refuses."""
        site = self.start(('v1', 'v1'), breaks=0)
        for _request in range(4):
            site.send('vm-0', site.chat(path=site.route))
        # It has read the prompt, so that it is preferred.
        engine = max(site.engines, key=lambda one: len(one.headers_seen))
        site.advance(1)
        engine.models.clear()
        call = site.chat(path=site.route)
        name = dict(call.headers)['Attempt-Id']
        self.assertEqual(site.send('vm-0', call).status, 200)
        arrivals = [one.request_id for one in engine.history.arrivals]
        self.assertEqual(arrivals.count(name), 1)


def play(seed):
    """Play the faults of one seed; return violations and the site."""
    faults = VersionFaults(seed)
    try:
        faults.play(STEPS)
        site = faults.site
        violations = [f'mixed {one.versions()}' for one in site.mixed()]
        violations += ['misordered' for _one in site.misordered()]
        gone_on, taken_up = site.share_gone_on()
        begun, asked = site.share_begun()
        if taken_up >= 12 and 2 * gone_on * asked < begun * taken_up:
            violations.append(f'{gone_on} of {taken_up} went on')
        return violations, (gone_on, taken_up, begun, asked)
    finally:
        faults.site.close()


class TestRandomFaults(unittest.TestCase):
    """Faults of VMs, the store and engines while streams break."""

    def test_streams_of_one_version(self):
        """Guards against streams of two versions under any faults."""
        violations = {seed: play(seed)[0] for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


def main() -> int:
    """Run the seeds of a range given on the command line."""
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    totals = [0, 0, 0, 0]
    for seed in range(first, last + 1):
        violations, shares = play(seed)
        totals = [one + two for one, two in zip(totals, shares, strict=True)]
        failed += bool(violations)
        print(seed, violations or 'ok', shares, flush=True)
    print('went on {} of {}, began {} of {}'.format(*totals))
    return failed


if __name__ == '__main__':
    sys.exit(main())
