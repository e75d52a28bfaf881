"""Each caller gets the whole answer to its own request, or a clear failure."""

from __future__ import annotations

import json
import unittest

from tests.rig.fleet import (
    Fleet,
    Shape,
    completion_call,
    error_type,
    outcome_of,
    ran,
)
from tests.test_serving import expected_text, streamed_text, text_of

OK = 200


class RelayCase(unittest.TestCase):
    """Sends requests and looks at the engines."""

    shape = Shape(vms=3, engines=2)

    def setUp(self):
        """Start a fleet that has run for a while."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(10)

    def start(self, model, prompt, vm_id='vm-0', **options):
        """Send a completion and do not wait."""
        address = self.fleet.vms_by_id[vm_id].http_address
        call = completion_call(model, prompt, **options)
        return self.fleet.caller.start(address, call)

    def finish(self, *tasks, seconds=120):
        """Wait for requests and give their answers."""
        done = self.fleet.world.run_until(
            lambda: all(task.terminated for task in tasks),
            seconds,
        )
        self.assertTrue(done)
        return [outcome_of(task) for task in tasks]

    def serving_engine(self):
        """Give the engine that runs a request now."""
        return next(
            engine
            for engine in self.fleet.engines_by_id.values()
            if +engine.running
        )

    def owner_of(self, engine):
        """Give the VM that owns an engine."""
        return self.fleet.owners()[engine.name][0]

    def total(self, name):
        """Add up a figure of all engines."""
        return sum(
            getattr(engine.counted, name)
            for engine in self.fleet.engines_by_id.values()
        )


class RelayTest(RelayCase):
    """Answers that go wrong between the engine and the caller."""

    def test_answer_of_another_adapter_is_never_passed_on(self):
        """An engine answers in the name of another adapter, once.

        The answer is discarded and the request tried again; the caller
        notices nothing but the time.
        """
        for stream in (False, True):
            for engine in self.fleet.engines_by_id.values():
                engine.mislabel = 1
            response = self.fleet.complete('vm-0', 'adapter-1', stream=stream)
            self.assertNotIn(b'somebody-else', response.body)
            if response.status == OK:
                reader = streamed_text if stream else text_of
                expected = expected_text('adapter-1@2', 'hello')
                self.assertEqual(reader(response.body), expected)

    def test_wrong_answers_without_end_fail_visibly(self):
        """Every answer is somebody else's; the caller gets a typed error."""
        for engine in self.fleet.engines_by_id.values():
            engine.mislabel = 10_000
        response = self.fleet.complete('vm-0', 'adapter-1')
        self.assertEqual(error_type(response), 'wrong_answer')

    def test_cut_stream_is_resumed(self):
        """The connection breaks in the middle of an event.

        The stream goes on from the next event on a new connection, and the
        caller gets every event once.
        """
        for engine in self.fleet.engines_by_id.values():
            engine.cut_streams = 1
        response = self.fleet.complete('vm-0', 'adapter-1', stream=True)
        expected = expected_text('adapter-1@2', 'hello')
        self.assertEqual(streamed_text(response.body), expected)
        self.assertEqual(self.total('runs'), 1)

    def test_silent_connection_is_replaced(self):
        """Connections to the engine go silent while an answer streams.

        Something between lost track of them; the engine is well. The relay
        notices by the missing chunks and resumes on a new connection.
        """
        task = self.start('adapter-1', 'long', stream=True, max_tokens=100)
        self.fleet.world.advance(1.2)
        engine = self.serving_engine()
        network = self.fleet.vms_by_id[self.owner_of(engine)].node.network
        self.assertGreater(network.silence(engine.name), 0)
        (response,) = self.finish(task)
        text = streamed_text(response.body)
        self.assertEqual(text.count('adapter-1@2'), 100)
        self.assertEqual(self.total('runs'), 1)

    def test_silent_pooled_connections(self):
        """Idle connections to engines went silent; new ones work.

        The next requests may lose the time to notice, and are answered.
        """
        for index in range(4):
            self.fleet.complete('vm-0', f'adapter-{index}')
        for vm in self.fleet.vms_by_id.values():
            for name in self.fleet.engines_by_id:
                vm.node.network.silence(name)
        tasks = [self.start(f'adapter-{index}', 'again') for index in range(4)]
        for response in self.finish(*tasks):
            self.assertEqual(response.status, OK)

    def test_silent_peer_connections(self):
        """Idle connections between VMs went silent; new ones work."""
        for vm_id in self.fleet.vms_by_id:
            for index in range(4):
                self.fleet.complete(vm_id, f'adapter-{index}')
        for vm in self.fleet.vms_by_id.values():
            for other in self.fleet.vms_by_id:
                vm.node.network.silence(other)
        for vm_id in self.fleet.vms_by_id:
            response = self.fleet.complete(vm_id, 'adapter-1', 'again')
            self.assertEqual(response.status, OK)

    def test_engine_crash_in_a_stream_aborts_it(self):
        """The engine dies while it streams; nobody can resume it.

        The caller's body ends without its end marker and its connection
        breaks, so it cannot take the fragment for the answer.
        """
        task = self.start('adapter-1', 'long', stream=True, max_tokens=100)
        self.fleet.world.advance(1.2)
        engine = self.serving_engine()
        self.fleet.node_named(engine.name).spawn(engine.crash)
        (outcome,) = self.finish(task)
        self.assertIsInstance(outcome, Exception)

    def test_engine_crash_before_the_answer_is_retried(self):
        """The engine dies while it works on a whole answer.

        The request is idempotent, so it is run again elsewhere.
        """
        task = self.start('adapter-1', 'long', max_tokens=100)
        self.fleet.world.advance(1.2)
        engine = self.serving_engine()
        self.fleet.node_named(engine.name).spawn(engine.crash)
        (response,) = self.finish(task)
        self.assertEqual(response.status, OK)
        self.assertEqual(text_of(response.body).count('adapter-1@2'), 100)

    def test_owner_dies_in_a_stream(self):
        """The VM that relays a stream dies; the entry VM goes on.

        The engine still has the stream. The new owner resumes it, and the
        caller of another VM gets every event once.
        """
        task = self.start('adapter-1', 'x', stream=True, max_tokens=1500)
        self.fleet.world.advance(1.2)
        engine = self.serving_engine()
        owner = self.owner_of(engine)
        if owner == 'vm-0':
            self.finish(task)
            task = self.start(
                'adapter-1',
                'y',
                'vm-1',
                stream=True,
                max_tokens=1500,
            )
            self.fleet.world.advance(1.2)
        runs = self.total('runs')
        self.fleet.kill(owner)
        (response,) = self.finish(task)
        text = streamed_text(response.body)
        self.assertEqual(text.count('adapter-1@2'), 1500)
        self.assertEqual(self.total('runs'), runs)

    def test_caller_hangs_up(self):
        """The caller closes its connection; the engine's work is cancelled."""
        self.start('adapter-1', 'long', stream=True, max_tokens=1000)
        self.start('adapter-2', 'long', max_tokens=1000)
        self.fleet.world.advance(2)
        self.fleet.caller.network.hang_up()
        self.fleet.world.advance(5)
        self.assertEqual(self.total('cancelled'), 2)
        for daemon in self.fleet.daemons():
            self.assertEqual(daemon.in_progress, 0)
            for owner in daemon.engines.owners():
                self.assertEqual(owner.scheduler.running, 0)
                pins = [
                    resident.pins
                    for resident in owner.scheduler.residents.by_name.values()
                ]
                self.assertEqual(sum(pins), 0)

    def test_deadline_in_the_answer(self):
        """The answer takes longer than the caller allows.

        The caller is told at its deadline, and the engine stops working.
        """
        started = self.fleet.world.moment
        response = self.fleet.complete(
            'vm-0',
            'adapter-1',
            max_tokens=1000,
            deadline=2,
        )
        self.assertEqual(error_type(response), 'deadline_passed')
        self.assertEqual(ran(response), 'unknown')
        self.assertLess(self.fleet.world.moment - started, 3)
        self.fleet.world.advance(3)
        self.assertEqual(self.total('cancelled'), 1)

    def test_failed_loads_are_tried_elsewhere(self):
        """The weight store fails loads of one engine.

        Requests go to the next engine of their adapter.
        """
        first = self.fleet.engines_by_id['engine-0']
        first.fail_loads = 1000
        for index in range(6):
            response = self.fleet.complete('vm-0', f'adapter-{index}')
            self.assertEqual(response.status, OK)

    def test_all_loads_fail(self):
        """The weight store is down: a typed error, at once, not run."""
        for engine in self.fleet.engines_by_id.values():
            engine.fail_loads = 1000
        started = self.fleet.world.moment
        response = self.fleet.complete('vm-0', 'adapter-1')
        self.assertEqual(error_type(response), 'load_failed')
        self.assertEqual(ran(response), 'no')
        self.assertIsNotNone(response.header('retry-after'))
        self.assertLess(self.fleet.world.moment - started, 30)

    def test_engine_lost_its_adapters(self):
        """An engine restarts between two reports, with empty slots.

        The request finds its adapter missing, loads it and is answered.
        """
        self.assertEqual(
            self.fleet.complete('vm-0', 'adapter-1').status,
            OK,
        )
        for engine in self.fleet.engines_by_id.values():
            engine.resident.clear()
        response = self.fleet.complete('vm-0', 'adapter-1')
        self.assertEqual(response.status, OK)

    def test_retry_budget_bounds_the_load(self):
        """Every engine answers wrongly: retries are a share of successes.

        Without the budget each request would be tried many times and the
        engines would work only on what fails.
        """
        for engine in self.fleet.engines_by_id.values():
            engine.mislabel = 100_000
        for index in range(60):
            self.fleet.complete('vm-0', 'adapter-1', f'{index}')
        self.assertLessEqual(self.total('runs'), 60 + 10 + 3)

    def test_engine_error_of_the_caller_is_passed_on(self):
        """An engine refuses the caller's parameters: that is the answer."""
        response = self.fleet.complete('vm-0', 'adapter-1', max_tokens=4)
        self.assertEqual(
            json.loads(response.body)['usage']['completion_tokens'],
            4,
        )


class RestartTest(RelayCase):
    """An engine restarts between two looks of its owner."""

    shape = Shape(
        vms=1,
        engines=1,
        slots=1,
        tune=lambda settings: setattr(
            settings.scheduling,
            'report_seconds',
            3,
        ),
    )

    def test_adapter_stays_after_a_restart_nobody_noticed(self):
        """A request reaches an engine that has just restarted.

        Its owner still knows the old start of the engine. When the stream
        breaks, that must not be taken for proof that nothing runs: the
        adapter would be evicted under the request. (Found by the fuzzer.)
        """
        engine = self.fleet.engines_by_id['engine-0']
        engine.restart_seconds = 0.1
        owner = self.fleet.daemon('vm-0').engines.find('engine-0')
        before = owner._lease_until
        self.fleet.world.run_until(lambda: owner._lease_until > before, 10)
        self.fleet.node_named('engine-0').spawn(engine.crash)
        self.fleet.world.advance(0.2)
        engine.cut_streams = 1
        first = self.start('adapter-1', 'x', stream=True, max_tokens=200)
        self.fleet.world.advance(0.05)
        second = self.start('adapter-2', 'y')
        self.finish(first, second)
        self.assertGreater(engine.counted.runs, 0)
        self.assertEqual(self.total('evicted_in_use'), 0)


class LateNoticeTest(RelayCase):
    """A restart is noticed while a request runs that came after it."""

    shape = Shape(
        vms=1,
        engines=1,
        slots=1,
        fencing=False,
        tune=lambda settings: setattr(
            settings.scheduling,
            'report_seconds',
            3,
        ),
    )

    def test_pin_outlives_the_notice(self):
        """The owner counts all adapters as lost, one of them in use.

        The next request for it loads it again, at once, since the engine
        has it; the first one's pin must count still. (Found by the fuzzer.)
        """
        engine = self.fleet.engines_by_id['engine-0']
        engine.restart_seconds = 0.1
        engine.token_seconds = 0.1
        owner = self.fleet.daemon('vm-0').engines.find('engine-0')
        before = owner._lease_until
        self.fleet.world.run_until(lambda: owner._lease_until > before, 10)
        self.fleet.node_named('engine-0').spawn(engine.crash)
        self.fleet.world.advance(0.2)
        first = self.start('adapter-1', 'x', max_tokens=60)
        self.fleet.world.advance(3.5)
        second = self.start('adapter-1', 'y', max_tokens=2)
        third = self.start('adapter-2', 'z', max_tokens=2)
        self.finish(first, second, third)
        self.assertGreater(owner.counts.crashes, 0)
        self.assertEqual(self.total('evicted_in_use'), 0)


class QuarantineTest(RelayCase):
    """A request that crashes every engine that runs it."""

    shape = Shape(vms=4, engines=4, batch=8)

    def crashes(self):
        """Give how many engines have crashed."""
        return self.total('crashes')

    def test_poison_is_refused_after_two_crashes(self):
        """A caller sends a request that crashes engines, 20 times over.

        Two engines crash; after that it is refused by every VM, while
        those that ran beside it are answered.
        """
        vm_ids = list(self.fleet.vms_by_id)
        innocents = [
            self.start(
                f'adapter-{index % 6}',
                f'innocent {index}',
                vm_ids[index % len(vm_ids)],
                max_tokens=60,
            )
            for index in range(16)
        ]
        self.fleet.world.advance(0.8)
        for index in range(20):
            response = self.fleet.complete(
                vm_ids[index % len(vm_ids)],
                'adapter-1',
                'poison',
            )
            self.assertNotEqual(response.status, OK)
            self.fleet.world.advance(3)
        self.assertEqual(error_type(response), 'poison_request')
        self.assertLessEqual(self.crashes(), 2)
        for outcome in self.finish(*innocents):
            self.assertEqual(outcome.status, OK)

    def test_innocents_are_cleared(self):
        """An engine crashes for reasons of its own.

        Requests that ran there are tried apart, succeed, and are no longer
        suspects.
        """
        tasks = [
            self.start('adapter-1', f'{index}', max_tokens=60)
            for index in range(4)
        ]
        self.fleet.world.advance(1.2)
        engine = self.serving_engine()
        self.fleet.node_named(engine.name).spawn(engine.crash)
        for outcome in self.finish(*tasks):
            self.assertEqual(outcome.status, OK)
        cleared = sum(
            daemon.quarantine.counts.cleared for daemon in self.fleet.daemons()
        )
        self.assertGreater(cleared, 0)
        again = self.start('adapter-1', '0', max_tokens=60)
        (outcome,) = self.finish(again)
        self.assertEqual(outcome.status, OK)

    def test_quarantine_expires(self):
        """The engines were mended; after a while the request runs again."""
        for _index in range(4):
            self.fleet.complete('vm-0', 'adapter-1', 'poison')
            self.fleet.world.advance(3)
        before = self.crashes()
        self.fleet.world.advance(700)
        self.fleet.complete('vm-0', 'adapter-1', 'poison')
        self.assertGreater(self.crashes(), before)
