"""Tests of a group owner whose engines are saturated."""

from __future__ import annotations

import curio

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fencing import ClaimStatus
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.gateway.places import PlaceServer
from flamingovalve.gateway.residency.held import AdapterState
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated.ids import GroupId, VmId
from flamingovalve.generated.messages import PlaceEnd, PlaceOutcome
from flamingovalve.generated.settings import GatewaySettings
from tests.rig.engines import MODEL, TRAITS, ask, hold, upstream
from tests.rig.timeline import TimedTestCase

GROUP = GroupId('engines')
VM = VmId('127.0.0.1:1')
LONG = 1000.0


class SilentEngine:
    """An engine that never answers."""

    status = UpstreamStatus()

    async def report(self, patience):
        """Wait for ever."""
        await curio.sleep(LONG)

    async def order(self, _order):
        """Wait for ever."""
        await curio.sleep(LONG)


class OwnerTestCase(TimedTestCase):
    """Provides an owner of two engines with eight slots each."""

    engine_count = 2

    async def owner_of_engines(self):
        """Return an owner of engines that hold the base model only."""
        catalogue = Catalogue(lambda document: document)
        owner = GroupOwner(
            GatewaySettings(),
            GROUP,
            VM,
            ClaimStatus,
            catalogue,
            lambda _upstream: SilentEngine(),
        )
        listed = [upstream(f'engine-{n}') for n in range(self.engine_count)]
        for one in listed:
            catalogue._apply_upstream(one)
        await owner.replace_engines(listed, TRAITS)
        for engine in owner.engines.ledgers():
            engine.models.add(MODEL)
            engine.chain.sequence = 0
            engine.born = 1
        return owner

    async def fill(self, owner):
        """Fill each slot with an adapter that is in use by one request."""
        places = []
        for engine in owner.engines.ledgers():
            for number in range(TRAITS.adapter_slots):
                name = f'{engine.upstream.id}-{number}'
                hold(engine, name)
                places.append(engine.take(ask(name, len(places))))
        return places


class TestWaiting(OwnerTestCase):
    """Tests of requests that are queued for a slot."""

    def count_choices_of_one_request(self, waiting):
        """Count the choices of an engine from the request to its end.

        :param waiting: number of requests that are queued beforehand
        """
        chosen = []
        choose = dispatch.choose

        def counting(*arguments):
            chosen.append(1)
            return choose(*arguments)

        async def scenario():
            owner = await self.owner_of_engines()
            await self.fill(owner)
            for number in range(waiting):
                request = ask(f'cold-{number}', 100 + number, patience=LONG)
                await curio.spawn(owner.place, request, daemon=True)
            await curio.sleep(0)
            dispatch.choose = counting
            request = ask('engine-0-1', 99, patience=LONG)
            place = await owner.place(request)
            await owner.end(place, PlaceEnd(PlaceOutcome.FINISHED))

        try:
            curio.run(scenario)
        finally:
            dispatch.choose = choose
        return len(chosen)

    def test_cost_of_a_place_is_independent_of_queue_length(self):
        """The cost of a place must not grow with the length of the queue.

        If each grant or release of a place scanned hundreds of queued
        requests, the owner would answer late, callers would retry, and the
        owner would not recover while the load lasts.
        """
        at_rest = self.count_choices_of_one_request(0)
        for waiting in (20, 200):
            self.assertLessEqual(
                self.count_choices_of_one_request(waiting), at_rest + 3
            )

    def test_first_queued_request_after_an_idle_period_is_not_late(self):
        """An idle period must not count as a time without released places.

        Otherwise, once all slots are taken, the first queued request would be
        considered late and ranked last.
        """

        async def scenario():
            owner = await self.owner_of_engines()
            self.advance(30)
            await self.fill(owner)
            request = ask('cold', 100, target=10)
            await curio.spawn(owner.place, request, daemon=True)
            await curio.sleep(0)
            waiting = owner._queue._waiting
            self.assertEqual((len(waiting), waiting.late_count), (1, 0))

        curio.run(scenario)

    def test_released_slot_goes_to_the_first_in_the_queue(self):
        async def scenario():
            owner = await self.owner_of_engines()
            places = await self.fill(owner)
            waiting = [ask(f'cold-{n}', 100 + n, patience=LONG) for n in (0, 1)]
            for request in waiting:
                await curio.spawn(owner.place, request, daemon=True)
                await curio.sleep(0)
                self.advance(0.01)
            await owner.end(places[0], PlaceEnd(PlaceOutcome.FINISHED))
            engine = owner.engines.engines_by_id['engine-0'].ledger
            self.assertIs(engine.held['cold-0'].state, AdapterState.LOADING)
            self.assertNotIn('cold-1', engine.held)

        curio.run(scenario)

    def test_requests_for_the_same_adapter_are_granted_together(self):
        """One released slot serves all requests for the same adapter.

        This holds whatever their positions in the queue.
        """

        async def scenario():
            owner = await self.owner_of_engines()
            places = await self.fill(owner)
            for number, name in enumerate(('cold', 'other', 'cold')):
                request = ask(name, 100 + number, patience=LONG)
                await curio.spawn(owner.place, request, daemon=True)
                await curio.sleep(0)
                self.advance(0.01)
            await owner.end(places[0], PlaceEnd(PlaceOutcome.FINISHED))
            engine = owner.engines.engines_by_id['engine-0'].ledger
            self.assertEqual(engine.held['cold'].uses, 2)

        curio.run(scenario)

    def test_urgent_request_is_first_without_starving_others(self):
        """Urgent requests alone exceed the capacity of the engines.

        With strict priorities the other requests would starve.
        """

        async def scenario():
            owner = await self.owner_of_engines()
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
                await owner.end(place, PlaceEnd(PlaceOutcome.FINISHED))
                order.extend(set(engine.held) - before)
                for held in engine.held.values():
                    held.state = AdapterState.RESIDENT
            self.assertTrue(order[0].startswith('urgent'))
            self.assertIn('patient', [*order, *engine.held])

        curio.run(scenario)


class UnreadConnection:
    """A connection whose peer closed it before its request was read."""

    def __init__(self, opened):
        """Use the socket ``opened``."""
        self.socket = opened
        self.sent = []

    async def send(self, message):
        """Record a sent message."""
        self.sent.append(message)


class TestWithdrawal(OwnerTestCase):
    """Tests of callers that disconnect while they wait for the owner."""

    def test_ask_of_a_disconnected_vm_is_dropped(self):
        """The asking VM disconnects before an overloaded owner reads its ask.

        Granting a place then would take it from queued requests, and the work
        would delay the owner further.
        """

        async def scenario():
            owner = await self.owner_of_engines()
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
