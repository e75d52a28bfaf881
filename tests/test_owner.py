"""What an owner does while more requests wait than its engines can serve."""

from __future__ import annotations

import curio

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fencing import Fences
from flamingovalve.gateway.ledger import Holding
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.gateway.places import PlaceServer
from flamingovalve.generated.ids import GroupId, VmId
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.generated.settings import GatewaySettings
from tests.rig.engines import MODEL, TRAITS, ask, hold, upstream
from tests.rig.timeline import TimedTestCase

GROUP = GroupId('engines')
VM = VmId('127.0.0.1:1')
LONG = 1000.0


class StillEngine:
    """An engine that never answers."""

    async def report(self):
        """Wait for ever."""
        await curio.sleep(LONG)

    async def order(self, _order):
        """Wait for ever."""
        await curio.sleep(LONG)


async def no_revision():
    """Give no revision."""


class OwnerTestCase(TimedTestCase):
    """An owner of some engines, each with eight slots."""

    engine_count = 2

    async def own(self):
        """Own engines that hold the base model and nothing else."""
        catalogue = Catalogue(lambda document: document)
        owner = GroupOwner(
            GatewaySettings(),
            GROUP,
            VM,
            Fences(VM, no_revision, 1),
            catalogue,
            lambda _upstream: StillEngine(),
        )
        listed = [upstream(f'engine-{n}') for n in range(self.engine_count)]
        for one in listed:
            catalogue._take_upstream(one)
        await owner.replace_engines(listed, TRAITS)
        for engine in owner.engines.ledgers():
            engine.models.add(MODEL)
            engine.chain.sequence = 0
            engine.fence = 1
        return owner

    async def fill(self, owner):
        """Let a request run on each adapter of each engine."""
        places = []
        for engine in owner.engines.ledgers():
            for number in range(TRAITS.adapter_slots):
                name = f'{engine.upstream.id}-{number}'
                hold(engine, name)
                places.append(engine.take(ask(name, len(places))))
        return places


class TestWaiting(OwnerTestCase):
    """Hundreds wait for a slot."""

    def choices_of_one_request(self, waiting):
        """Count how often an engine is chosen from asking to giving back."""
        chosen = []
        choose = dispatch.choose

        def counting(*arguments):
            chosen.append(1)
            return choose(*arguments)

        async def scenario():
            owner = await self.own()
            await self.fill(owner)
            for number in range(waiting):
                request = ask(f'cold-{number}', 100 + number, patience=LONG)
                await curio.spawn(owner.place, request, daemon=True)
            await curio.sleep(0)
            dispatch.choose = counting
            request = ask('engine-0-1', 99, patience=LONG)
            place = await owner.place(request)
            await owner.end(place, PlaceOutcome.FINISHED, 0)

        try:
            curio.run(scenario)
        finally:
            dispatch.choose = choose
        return len(chosen)

    def test_a_place_costs_no_more_while_many_wait(self):
        """A burst leaves hundreds of requests that wait for a slot.

        Each place that was given or ended had the owner look at all of them.
        It came late to every caller, those asked again, and it never
        recovered while the load lasted.
        """
        at_rest = self.choices_of_one_request(0)
        for waiting in (20, 200):
            self.assertLessEqual(
                self.choices_of_one_request(waiting), at_rest + 3
            )

    def test_first_who_waits_after_a_quiet_time_is_not_late(self):
        """The engines were idle for a while, then all slots are taken.

        The first request that had to wait was put behind all others, as the
        quiet time looked as if no place had come free for as long.
        """

        async def scenario():
            owner = await self.own()
            self.advance(30)
            await self.fill(owner)
            request = ask('cold', 100, target=10)
            await curio.spawn(owner.place, request, daemon=True)
            await curio.sleep(0)
            waiting = owner._queue._waiting
            self.assertEqual((len(waiting), waiting.late_count), (1, 0))

        curio.run(scenario)

    def test_slot_that_comes_free_goes_to_the_first(self):
        async def scenario():
            owner = await self.own()
            places = await self.fill(owner)
            waiting = [ask(f'cold-{n}', 100 + n, patience=LONG) for n in (0, 1)]
            for request in waiting:
                await curio.spawn(owner.place, request, daemon=True)
                await curio.sleep(0)
                self.advance(0.01)
            await owner.end(places[0], PlaceOutcome.FINISHED, 0)
            engine = owner.engines.engines_by_id['engine-0'].ledger
            self.assertIs(engine.held['cold-0'].state, Holding.COMING)
            self.assertNotIn('cold-1', engine.held)

        curio.run(scenario)

    def test_those_who_wait_for_one_adapter_go_on_together(self):
        """Several requests wait for the same adapter.

        One slot serves all of them, whatever their turn.
        """

        async def scenario():
            owner = await self.own()
            places = await self.fill(owner)
            for number, name in enumerate(('cold', 'other', 'cold')):
                request = ask(name, 100 + number, patience=LONG)
                await curio.spawn(owner.place, request, daemon=True)
                await curio.sleep(0)
                self.advance(0.01)
            await owner.end(places[0], PlaceOutcome.FINISHED, 0)
            engine = owner.engines.engines_by_id['engine-0'].ledger
            self.assertEqual(engine.held['cold'].uses, 2)

        curio.run(scenario)

    def test_urgent_request_goes_first_but_starves_nobody(self):
        """Urgent requests alone exceed what the engines serve.

        With strict ranks the others would never get a place.
        """

        async def scenario():
            owner = await self.own()
            places = await self.fill(owner)
            later = ask('patient', 100, patience=LONG, priority=2)
            await curio.spawn(owner.place, later, daemon=True)
            await curio.sleep(0)
            self.advance(0.1)
            for number in range(50):
                urgent = ask(
                    f'urgent-{number}', 101 + number, patience=LONG, priority=0
                )
                await curio.spawn(owner.place, urgent, daemon=True)
                await curio.sleep(0)
                self.advance(0.1)
            order = []
            engine = owner.engines.engines_by_id['engine-0'].ledger
            for place in places[:8]:
                before = set(engine.held)
                await owner.end(place, PlaceOutcome.FINISHED, 0)
                order.extend(set(engine.held) - before)
                for held in engine.held.values():
                    held.state = Holding.RESIDENT
            self.assertTrue(order[0].startswith('urgent'))
            self.assertIn('patient', [*order, *engine.held])

        curio.run(scenario)


class UnreadConnection:
    """A connection whose other end closed before its ask was read."""

    def __init__(self, opened):
        """Speak over ``opened``."""
        self.socket = opened
        self.sent = []

    async def send(self, message):
        """Remember what is sent."""
        self.sent.append(message)


class TestWithdrawal(OwnerTestCase):
    """Callers who stop waiting for the owner."""

    def test_ask_that_nobody_waits_for_is_not_worked_on(self):
        """An owner is late, and the VM that asked has given up meanwhile.

        A place given now would be missing to those who still wait, and the
        work for it would make the owner later still.
        """

        async def scenario():
            owner = await self.own()
            ours, theirs = curio.socket.socketpair()
            await theirs.close()
            server = PlaceServer(lambda _group: owner)
            connection = UnreadConnection(ours)
            await server.serve(ask('cold', 1), connection)
            self.assertEqual(owner.counts.asked, 0)
            self.assertEqual(owner.counts.withdrawn, 1)
            self.assertFalse(connection.sent)
            await ours.close()

        curio.run(scenario)
