"""Mutation tests: the history checker detects each removed safeguard.

Each test runs a scenario twice. With the safeguard, the history has no
violations; without it, the checker must find at least one.
"""

from __future__ import annotations

import unittest
from unittest import mock

from flamingovalve.claims.executor import CallExecutor
from flamingovalve.claims.permit import parse_permit
from flamingovalve.claims.runner import ClaimRunner
from flamingovalve.claims.table import ClaimTable
from flamingovalve.engines.owner import EngineOwner
from flamingovalve.errors import ConnectionLost
from flamingovalve.http.client import ConnectionPool, UpstreamConnection
from flamingovalve.relay.completion import Attempt
from flamingovalve.relay.events import AnswerCheck
from flamingovalve.relay.services import ServiceRelay
from tests.rig.fleet import Fleet, Shape, outcome_of
from tests.rig.history import History


class MutationTest(unittest.TestCase):
    """Runs scenarios with and without a safeguard."""

    shape = Shape(vms=5, engines=1, slots=1)

    def check_caught(self, scenario, *mutations, shape=None):
        """Check that a scenario has violations only when it is mutated."""
        self.assertEqual(self.violations(scenario, shape), [])
        for mutation in mutations:
            mutation.start()
        try:
            found = self.violations(scenario, shape)
        finally:
            for mutation in mutations:
                mutation.stop()
        self.assertNotEqual(found, [], 'the checker did not notice')
        return found

    def violations(self, scenario, shape):
        """Return the violations of a scenario that runs on a new fleet."""
        fleet = Fleet.started(shape or self.shape)
        try:
            fleet.world.advance(10)
            history = History(fleet)
            scenario(fleet, history)
            history.finish()
            return history.check()
        finally:
            fleet.close()

    def test_skip_the_witness(self):
        """Without the witness, a payment reported as "not run" still runs.

        The executor is paused before the run. A resend makes the witness
        seal the key and answer "not run"; the executor then resumes and runs
        the payment.
        """

        async def collect_nothing(_runner, _record, _claim):
            return True

        def scenario(fleet, history):
            permit = fleet.permit('vm-0')
            parsed = parse_permit(permit).ok
            history.pay(parsed.executor, permit, 'one')
            fleet.pause(parsed.executor)
            fleet.world.advance(1)
            other = next(
                vm_id
                for vm_id in fleet.vms_by_id
                if vm_id not in {parsed.executor, parsed.witness}
            )
            resent = history.pay(other, permit, 'one')
            fleet.world.run_until(lambda: resent.task.terminated, 20)
            fleet.wake(parsed.executor)
            fleet.world.advance(10)

        found = self.check_caught(
            scenario,
            mock.patch.object(ClaimRunner, '_collect', collect_nothing),
        )
        self.assertIn('called "not run" and ran', found[0])

    def test_drop_the_incarnation(self):
        """Without the incarnation check, a new executor repeats a payment.

        The new process at the executor's address accepts the permit as its
        own, but has no record of the run.
        """

        async def run_anyway(executor, claim, _permit, *, ended):
            return await executor._run_or_join(claim)

        def scenario(fleet, history):
            permit = fleet.permit('vm-0')
            first = history.pay('vm-0', permit, 'one')
            fleet.world.run_until(lambda: first.task.terminated, 20)
            witness = parse_permit(permit).ok.witness
            for vm_id in ('vm-0', witness):
                fleet.kill(vm_id)
                fleet.world.advance(1)
                fleet.start(vm_id)
            fleet.world.advance(20)
            history.pay('vm-0', permit, 'one')

        def acknowledge_any(table, ask, own):
            ask.holder = 0
            return acknowledge(table, ask, own)

        acknowledge = ClaimTable.acknowledge
        found = self.check_caught(
            scenario,
            mock.patch.object(CallExecutor, '_ask_witness', run_anyway),
            mock.patch.object(ClaimTable, 'acknowledge', acknowledge_any),
        )
        self.assertIn('ran 2 times', found[0])

    def test_retry_a_payment_whose_connection_broke(self):
        """A retry after a lost response runs the payment twice."""

        async def run_again(relay, connection, request):
            try:
                return await run_on(relay, connection, request)
            except ConnectionLost:
                new_connection = await relay._pool.connect(connection.address)
                return await run_on(relay, new_connection, request)

        def scenario(fleet, history):
            fleet.services_by_id['orders'].drop_after_run = 1
            history.pay('vm-0', fleet.permit('vm-0'), 'one')
            fleet.world.advance(5)

        run_on = ServiceRelay.run_on
        found = self.check_caught(
            scenario,
            mock.patch.object(ServiceRelay, 'run_on', run_again),
        )
        self.assertIn('ran 2 times', found[0])

    def test_reuse_the_pool(self):
        """A payment sent on a pooled connection that went silent is lost.

        The service is healthy but never receives the request, so its caller
        gets no response.
        """

        async def reuse_idle(pool, address):
            idle = pool._idle_by_address.get(address)
            return idle.pop() if idle else await connect(pool, address)

        def scenario(fleet, history):
            warm = history.pay('vm-0', fleet.permit('vm-0'), 'warm')
            fleet.world.run_until(lambda: warm.task.terminated, 20)
            fleet.vms_by_id['vm-0'].node.network.silence('orders')
            payment = history.pay('vm-0', fleet.permit('vm-0'), 'one')
            fleet.world.run_until(lambda: payment.task.terminated, 60)
            if outcome_of(payment.task).status != 200:
                history.violations.append('a healthy service did not answer')

        connect = ConnectionPool.connect
        self.check_caught(
            scenario,
            mock.patch.object(ConnectionPool, 'connect', reuse_idle),
        )

    def test_trust_an_unmarked_end(self):
        """A broken connection that counts as the end truncates the stream."""

        async def end_early(connection, seconds):
            try:
                return await chunk(connection, seconds)
            except ConnectionLost:
                return b''

        async def end_anyway(attempt, connection):
            attempt._splitter.complete = True
            received = await connection.chunk(5)
            while received:
                events = attempt._splitter.feed(received)
                if events:
                    await attempt._forward_events(events)
                received = await connection.chunk(5)
            await attempt._sink.chunk(b'data: [DONE]\n\n')
            await attempt._sink.end()

        def scenario(fleet, history):
            fleet.engines_by_id['engine-0'].cut_streams = 1
            history.complete('vm-0', 'adapter-1@1', 'one', stream=True)
            fleet.world.advance(10)

        chunk = UpstreamConnection.chunk
        found = self.check_caught(
            scenario,
            mock.patch.object(UpstreamConnection, 'chunk', end_early),
            mock.patch.object(Attempt, '_stream', end_anyway),
        )
        self.assertIn('wrong or partial', found[0])

    def test_trust_any_answer(self):
        """Responses forwarded unchecked reach the callers of other requests."""

        def scenario(fleet, history):
            first = history.complete(
                'vm-0',
                'adapter-1@1',
                'one',
                stream=False,
            )
            fleet.world.run_until(lambda: first.task.terminated, 20)
            cross_answers(fleet.engines_by_id['engine-0'])
            for index in range(4):
                history.complete(
                    'vm-0',
                    'adapter-1@1',
                    f'crossed {index}',
                    stream=False,
                )
            fleet.world.advance(30)

        def accept(_check, *_arguments):
            return None

        found = self.check_caught(
            scenario,
            mock.patch.object(AnswerCheck, 'check_headers', accept),
            mock.patch.object(AnswerCheck, 'check_object', accept),
        )
        self.assertIn('wrong or partial', found[0])

    def test_evict_what_is_in_use(self):
        """Without pins, the scheduler evicts an adapter that is in use."""

        def scenario(fleet, history):
            for index in range(4):
                history.complete(
                    'vm-0',
                    f'adapter-{index}@1',
                    f'{index}',
                    stream=False,
                )
                fleet.world.advance(0.3)
            fleet.world.advance(20)

        def unpinned(resident):
            resident.used_at = 0

        found = self.check_caught(
            scenario,
            mock.patch(
                'flamingovalve.engines.residents.Resident.pin',
                unpinned,
            ),
        )
        self.assertIn('in use', found[0])

    def test_evict_before_the_old_owner_has_stopped(self):
        """A new owner must not evict adapters that the old one still uses.

        The fleet is partitioned: both owners reach the engine, and each
        learns of the other only by the fencing number.
        """

        def scenario(fleet, history):
            owner = fleet.owners()['engine-0'][0]
            others = [vm for vm in fleet.vms_by_id if vm != owner]
            history.complete(
                owner,
                'adapter-1@1',
                'long',
                stream=False,
                max_tokens=700,
            )
            fleet.world.advance(1)
            fleet.links.partition([owner], others)
            for index in range(8):
                history.complete(
                    others[0],
                    f'adapter-{2 + index % 2}@1',
                    f'{index}',
                    stream=False,
                )
                fleet.world.advance(1)
            fleet.world.advance(30)
            # The checker expects the default length, so the longer response
            # is left out.
            history.completions.pop(0)

        def may_always_evict(_owner, _victim):
            return True

        found = self.check_caught(
            scenario,
            mock.patch.object(EngineOwner, '_may_evict', may_always_evict),
        )
        self.assertIn('in use', found[0])


def cross_answers(engine):
    """Make an engine send each response to the next request."""
    generations = []
    send_whole = type(engine)._full_response

    def crossed(generation):
        generations.append(generation)
        return send_whole(
            engine, generations[-2] if len(generations) > 1 else generation
        )

    engine._full_response = crossed
