"""Tests when a VM may send orders to the engines of a group it acquires."""

from __future__ import annotations

import json

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fencing import OrderNumbers
from flamingovalve.gateway.model import Configuration, UpstreamService
from flamingovalve.gateway.orders import Action, OrderOutcome
from flamingovalve.gateway.owned import OwnedGroups
from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.gateway.shards import Shards
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated.ids import AdapterId, GroupId, ServiceId
from flamingovalve.generated.messages import MemberState, OwnerRumour
from flamingovalve.generated.settings import GatewaySettings
from tests.rig.engines import MODEL, TRAITS, report, upstream
from tests.rig.timeline import TimedTestCase
from tests.test_group_claims import VMS, rumour_of, table_of

GROUP = GroupId('engines')
LEASE = 3.0


def never(_vm, _group):
    """Return that no VM is cut off from a group."""
    return False


class OrderedEngine:
    """An engine that has accepted orders of other VMs."""

    status = UpstreamStatus()

    def __init__(self):
        """Start without orders of this VM."""
        self.orders = []

    async def order(self, order):
        """Accept an order."""
        self.orders.append(order)
        return OrderOutcome.ACCEPTED

    async def report(self, patience):
        """Return a report with seven accepted orders."""
        return report(7)


class StartlessEngine(OrderedEngine):
    """An engine that does not say when it started."""

    async def report(self, patience):
        """Return a report without a start time."""
        return report(7, born=0)


class RestartedEngine(OrderedEngine):
    """An engine that has just started and accepted no order."""

    async def report(self, patience):
        """Return a report of a new start."""
        return report(0, born=2)


class TestAcquisition(TimedTestCase):
    """Tests of a VM that claims, loses or reacquires a group."""

    def setUp(self) -> None:
        """Create the VM that should claim the group."""
        super().setUp()
        self.catalogue = Catalogue(lambda document: document)
        service = UpstreamService(ServiceId('engines'), TRAITS)
        self.catalogue.configuration = Configuration(
            1, {}, {service.name: service}
        )
        self.catalogue._apply_upstream(upstream('engine-0'))
        self.claims = self._claims_of_candidate()
        self.owned = OwnedGroups(
            GatewaySettings(),
            self.claims.members,
            self.claims,
            self.catalogue,
            Shards(self.catalogue),
            self._probe,
            lambda _upstream: OrderedEngine(),
            self.current_time,
        )

    async def _probe(self, _vm):
        """Do nothing."""

    def _claims_of_candidate(self):
        tables = [table_of(vm) for vm in VMS]
        all_claims = [
            GroupClaims(members, self.current_time, never) for members in tables
        ]
        self.advance(2)
        return next(one for one in all_claims if one.should_claim(GROUP))

    async def reconcile(self):
        """Let the VM reconcile its groups."""
        await self.owned.reconcile(self._discard)

    async def _discard(self, _rumour):
        """Discard a rumour."""

    def seconds_until_orders(self):
        """Return the seconds until the VM may send orders."""
        engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
        return engine.ledger.chain.paused_until - self.current_time

    def test_no_orders_within_a_lease_of_losing_the_group(self):
        """Another VM claims the group and ends, so this VM acquires it again.

        If it sent orders immediately, the engine would see the two VMs
        alternate within a lease.
        """

        async def scenario():
            self.advance(10)
            await self.reconcile()
            self.assertLessEqual(self.seconds_until_orders(), 0)
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.claims.apply_rumour(OwnerRumour(GROUP, other, 1, 99))
            await self.reconcile()
            self.assertIsNone(self.owned.find(GROUP))
            self.advance(0.5)
            self.claims.members.by_id[other].record_end(1)
            await self.reconcile()
            self.assertGreater(self.seconds_until_orders(), LEASE - 0.5)
            await self.owned.close()

        curio.run(scenario)

    def test_orders_need_no_store(self):
        """Guards against owners that can't order while the store is away."""

        async def scenario():
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            await engine._poll_report()
            self.advance(10)
            await engine._poll_report()
            self.assertTrue(engine.ledger.may_order())
            await self.owned.close()

        curio.run(scenario)

    def test_planned_handover(self):
        """Guards against a successor that waits though the owner has left."""

        async def scenario():
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.claims.apply_rumour(OwnerRumour(GROUP, other, 1, 99))
            self.claims.members.apply(rumour_of(other, MemberState.LEAVING))
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            await engine._poll_report()
            self.assertTrue(engine.ledger.may_order())
            before = OrderNumbers(other).number(1, 6, is_tenant=False)
            await engine._send(Action.LOAD, MODEL, AdapterId('a1'), 0)
            self.assertGreater(engine._link.orders[0].fence, before)
            await self.owned.close()

        curio.run(scenario)

    def test_engine_of_another_group_sees_a_higher_number(self):
        """Guards against an engine that moves here after newer orders."""

        async def scenario():
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.advance(10)
            await self.reconcile()
            self.catalogue._apply_upstream(upstream('engine-1'))
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-1']
            await engine._poll_report()
            self.assertFalse(engine.ledger.may_order())
            self.advance(2 * LEASE)
            before = OrderNumbers(other).number(1, 6, is_tenant=False)
            await engine._send(Action.LOAD, MODEL, AdapterId('a1'), 0)
            self.assertGreater(engine._link.orders[0].fence, before)
            await self.owned.close()

        curio.run(scenario)

    def test_no_orders_to_an_engine_without_a_start_time(self):
        """Guards against numbers that a restart of the engine would lower."""

        async def scenario():
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            engine._link = StartlessEngine()
            await engine._poll_report()
            self.advance(10)
            await engine._poll_report()
            self.assertFalse(engine.ledger.may_order())
            await self.owned.close()

        curio.run(scenario)

    def test_owner_without_a_majority_leaves_an_empty_engine_to_others(self):
        """Guards against two VMs that load one model into a restarted engine."""

        async def scenario():
            members = self.claims.members
            for vm in VMS:
                if vm != members.own_id:
                    members.apply(rumour_of(vm, MemberState.DEAD))
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            engine._link = RestartedEngine()
            await engine._poll_report()
            self.assertFalse(engine.ledger.may_order())
            self.advance(2 * LEASE)
            self.assertFalse(engine.ledger.may_order())
            self.advance(2 * LEASE)
            self.assertTrue(engine.ledger.may_order())
            await self.owned.close()

        curio.run(scenario)

    def test_state_shows_what_was_learnt(self):
        async def scenario():
            self.advance(10)
            await self.reconcile()
            state = self.owned.state_dump()[GROUP]
            self.assertEqual(state['learnt']['load_seconds'], 0.25)
            self.assertIn('adapters_kept', state['engines']['engine-0'])
            json.dumps(state)
            await self.owned.close()

        curio.run(scenario)

    def test_groups_of_an_older_division_are_released(self):
        async def scenario():
            self.advance(10)
            await self.reconcile()
            self.owned._owners[GroupId('engines/7')] = self.owned.find(GROUP)
            del self.owned._owners[GROUP]
            await self.reconcile()
            self.assertIsNone(self.owned.find(GroupId('engines/7')))
            await self.owned.close()

        curio.run(scenario)
