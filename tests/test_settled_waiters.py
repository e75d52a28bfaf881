"""Tests of requests that wait for a load whose owner stops to care for it."""

from __future__ import annotations

import sys
import unittest
from unittest import mock

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.orders import OrderOutcome
from flamingovalve.util.tasks import TaskSet
from tests.rig.engines import ask, report
from tests.rig.holder_faults import HolderFaults
from tests.rig.release_faults import ReleasingSite
from tests.rig.site import Site
from tests.test_owner import LONG, OwnerTestCase

TIMEOUT_SECONDS = 2.0
LATE_SECONDS = 0.5
STEPS = 16
SEEDS = (1, 2, 3)


class TestSite(unittest.TestCase):
    """Whole daemons whose engines take long to load."""

    def setUp(self):
        """Begin requests that wait for a load at a VM that is no owner."""
        self.site = Site.started(4, engines=2, slots=4)
        self.addCleanup(self.site.close)
        for engine in self.site.engines:
            engine.load_seconds = 0.8
        routes = [
            self.site._route(
                {
                    'Name': 'chats',
                    'PathPrefix': '/chats/',
                    'Kind': 'streaming',
                    'Service': 'engines',
                    'MaxAttempts': 1,
                    'TimeoutMs': int(TIMEOUT_SECONDS * 1000),
                }
            )
        ]
        self.site.publish(Routes=routes)
        self.site.world.advance(2)
        self.owner = self.site.owner()
        self.others = self.site.others()
        self.tasks = [
            self.site.begin(vm_id, self.site.chat(f'rare-{vm_id}'))
            for vm_id in self.others
        ]
        self.assertTrue(self.site.world.run_until(self.waits, 2))

    def daemon(self):
        """Return the daemon of the owner."""
        return self.site.vms_by_id[self.owner].daemon

    def waits(self):
        """Return whether the requests wait for loads."""
        owner = self.daemon().owned.find('engines')
        engines = owner.engines.engines_by_id.values()
        waiting = [one for engine in engines for one in engine.waiting]
        return len(waiting) == len(self.tasks)

    def assert_answered(self, *, is_served):
        """Check that all requests are answered in time."""
        self.site.world.advance(TIMEOUT_SECONDS + LATE_SECONDS)
        self.assertTrue(all(task.terminated for task in self.tasks))
        statuses = [getattr(task.result, 'status', None) for task in self.tasks]
        allowed = {200} if is_served else {200, 503}
        self.assertLessEqual(set(statuses), allowed, statuses)

    def test_owner_leaves(self):
        """Its requests hang until the process ends, seconds later."""
        daemon = self.daemon()
        self.site.vms_by_id[self.owner].node.spawn(daemon.begin_leaving)
        self.assert_answered(is_served=True)

    def test_owner_releases_its_groups(self):
        """The process lives on and sends heartbeats for ever."""
        daemon = self.daemon()
        self.site.vms_by_id[self.owner].node.spawn(daemon.owned.close)
        self.assert_answered(is_served=False)

    def test_owner_ends(self):
        """Guards against requests that wait for a VM that is gone."""
        self.site.kill(self.owner)
        self.assert_answered(is_served=False)

    def test_owner_is_paused(self):
        """Guards against requests that wait for a frozen VM."""
        self.site.vms_by_id[self.owner].node.paused = True
        self.assert_answered(is_served=False)
        self.site.vms_by_id[self.owner].node.paused = False

    def test_owner_is_cut_off(self):
        """Guards against requests that wait behind a partition."""
        self.site.links.partition([self.owner], self.others)
        self.assert_answered(is_served=False)

    def test_load_that_never_ends(self):
        """The owner lives, and the load makes no progress."""
        owner = self.daemon().owned.find('engines')
        for engine in owner.engines.engines_by_id.values():
            for held in engine.ledger.held.values():
                held.ready_at += LONG
            engine._order_lock = curio.Lock()
        with mock.patch.object(
            type(next(iter(owner.engines.engines_by_id.values()))),
            'await_load',
            _never,
        ):
            self.tasks = [
                self.site.begin(vm_id, self.site.chat(f'rarer-{vm_id}'))
                for vm_id in self.others
            ]
            self.assert_answered(is_served=False)


async def _never(_engine, _held):
    """Wait without end."""
    await curio.sleep(LONG)


class TestOwner(OwnerTestCase):
    """An owner with requests that wait for loads."""

    engine_count = 1

    def play(self, scenario):
        """Run a scenario with an owner and a request that waits for a load."""

        async def play():
            owner = await self.owner_of_engines()
            request = ask('rare', 1, patience=LONG)
            waiting = await curio.spawn(_place, owner, request, daemon=True)
            await curio.sleep(0)
            (engine,) = owner.engines.engines_by_id.values()
            self.assertEqual(list(engine.waiting), ['rare'])
            await scenario(owner, engine, waiting)

        curio.run(play)

    def test_requests_of_a_closed_owner_are_refused(self):
        """They have a place already and are in no queue."""

        async def close(owner, engine, waiting):
            await owner.close()
            async with curio.timeout_after(1):
                refusal = await waiting.join()
            self.assertIs(refusal.kind, ErrorKind.NOT_OWNER)
            self.assertEqual(engine.ledger.places, {})

        self.play(close)

    def test_closed_owner_takes_no_requests(self):
        """A VM asked just before the owner was closed."""

        async def close(owner, _engine, _waiting):
            await owner.close()
            async with curio.timeout_after(1):
                refusal = await _place(owner, ask('other', 2, patience=LONG))
            self.assertIs(refusal.kind, ErrorKind.NOT_OWNER)

        self.play(close)

    def test_load_that_fails_while_the_owner_closes(self):
        """Its requests return to a queue that nobody serves any more."""

        async def close(owner, engine, waiting):
            await owner.close()
            waiters = engine.waiting.pop('rare', [])
            await owner.load_failed(waiters, OrderOutcome.UNKNOWN)
            self.assertTrue(waiting.terminated or not waiters)

        self.play(close)

    def test_engine_that_restarts(self):
        """It has forgotten the load, and no task waits for a foreign one."""

        async def restart(owner, engine, waiting):
            await owner._tasks.cancel()
            engine.ledger.born = 1
            engine._link = mock.AsyncMock()
            engine._link.report.return_value = report(0, born=2)
            await engine._poll_report()
            waits = len(owner._queue) or 'rare' in engine.ledger.held
            self.assertTrue(waits or waiting.terminated)

        self.play(restart)

    def test_foreign_load_that_vanishes(self):
        """The load of a former owner has failed, and reports show it no more."""

        async def vanish(owner, engine, _waiting):
            await owner._tasks.cancel()
            engine.ledger.forget('rare')
            await engine._settle_loaded()
            self.assertNotIn('rare', engine.waiting)
            self.assertEqual(len(owner._queue), 1)

        self.play(vanish)


async def _place(owner, request):
    """Return the place of a request, or why it gets none."""
    try:
        return await owner.place(request)
    except ServingError as refusal:
        return refusal


class TestTasks(unittest.TestCase):
    """Tasks that are cancelled together."""

    def test_task_that_has_not_begun_is_cancelled(self):
        """An order would be sent after its group was released."""
        begun = []

        async def work():
            await curio.sleep(0)
            begun.append(1)

        async def play():
            tasks = TaskSet()
            await tasks.spawn(work)
            await tasks.cancel()
            await curio.sleep(0.01)
            self.assertEqual(len(tasks), 0)

        curio.run(play)
        self.assertEqual(begun, [])


class HolderReleases(HolderFaults, ReleasingSite):
    """Owners that release their groups, and faults of the last holder."""


def play(seed: int, kind: type[ReleasingSite] = ReleasingSite) -> list[str]:
    """Run the faults of one seed and return the violations."""
    faulty = kind(seed)
    try:
        faulty.play(STEPS)
        return faulty.find_violations()
    finally:
        faulty.close()


class TestRandomFaults(unittest.TestCase):
    """Owners that change while loads run."""

    def test_all_requests_are_answered(self):
        """Guards against requests that wait for what has ended."""
        violations = {seed: play(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


def main() -> int:
    """Run the seeds of a range; ``holder`` adds faults of the last holder."""
    first, last = (int(text) for text in sys.argv[1:3])
    kind = HolderReleases if 'holder' in sys.argv[3:] else ReleasingSite
    failed = 0
    for seed in range(first, last + 1):
        violations = play(seed, kind)
        failed += bool(violations)
        print(seed, violations or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
