"""When a VM may order the engines of a group that it has taken up again."""

from __future__ import annotations

import json

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.model import Configuration, UpstreamService
from flamingovalve.gateway.owned import OwnedGroups
from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.gateway.shards import Shards
from flamingovalve.generated.ids import GroupId, ServiceId
from flamingovalve.generated.messages import MemberState, OwnerRumour
from flamingovalve.generated.settings import GatewaySettings
from tests.rig.engines import TRAITS, report, upstream
from tests.rig.timeline import TimedTestCase
from tests.test_group_claims import VMS, rumour_of, table_of

GROUP = GroupId('engines')
LEASE = 3.0


class StillEngine:
    """An engine that others have ordered before."""

    async def report(self):
        """Show seven orders."""
        return report(7)


class TestTakingUpAgain(TimedTestCase):
    """One VM that loses a group and gets it back."""

    def setUp(self) -> None:
        """Start as the VM whose turn it is to claim."""
        super().setUp()
        self.revision = 7
        self.catalogue = Catalogue(lambda document: document)
        service = UpstreamService(ServiceId('engines'), TRAITS)
        self.catalogue.configuration = Configuration(
            1, {}, {service.name: service}
        )
        self.catalogue._take_upstream(upstream('engine-0'))
        self.claims = self._claims_of_claimer()
        self.owned = OwnedGroups(
            GatewaySettings(),
            self.claims.members,
            self.claims,
            self.catalogue,
            Shards(self.catalogue),
            self._revision,
            self._probe,
            lambda _upstream: StillEngine(),
            self.moment,
        )

    async def _revision(self):
        """Give the revision that the store has now, if it answers."""
        return self.revision

    async def _probe(self, _vm):
        """Learn nothing new of a VM."""

    def _claims_of_claimer(self):
        tables = [table_of(vm) for vm in VMS]
        every = [GroupClaims(members, self.moment) for members in tables]
        self.advance(2)
        return next(one for one in every if one.should_claim(GROUP))

    async def reconcile(self):
        """Let the VM look at its groups."""
        await self.owned.reconcile(self._tell)

    async def _tell(self, _rumour):
        """Tell nobody."""

    def orders_after(self):
        """Give the seconds until the VM may order."""
        engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
        return engine.ledger.chain.stands_down_until - self.moment

    def test_nothing_is_ordered_within_a_lease_of_losing_it(self):
        """Another VM claims the group, then ends, and this one is next.

        Ordering at once, the two would have taken turns within a lease.
        """

        async def scenario():
            self.advance(10)
            await self.reconcile()
            self.assertLessEqual(self.orders_after(), 0)
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.claims.hear(OwnerRumour(GROUP, other, 1, 99))
            await self.reconcile()
            self.assertIsNone(self.owned.find(GROUP))
            self.advance(0.5)
            self.claims.members.by_id[other].note_end(1)
            await self.reconcile()
            self.assertGreater(self.orders_after(), LEASE - 0.5)
            await self.owned.close()

        curio.run(scenario)

    def test_engine_that_comes_later_sees_a_higher_fence(self):
        """An engine comes from a group whose claim is newer than ours.

        With the number of our claim it would see a lower fencing number
        after a higher one.
        """

        async def scenario():
            self.advance(10)
            await self.reconcile()
            claimed = self.owned.find(GROUP).fences.claimed
            self.catalogue._take_upstream(upstream('engine-1'))
            self.revision = 90
            await self.reconcile()
            await curio.sleep(0)
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-1']
            await engine._poll_report()
            self.assertGreater(engine.ledger.fence, claimed)
            self.assertEqual(engine.ledger.fence >> 24, 90)
            await self.owned.close()

        curio.run(scenario)

    def test_claim_without_the_store_orders_nothing_yet(self):
        """The store is away for a VM that takes over a group.

        The owner before had taken a number from the store and told nobody,
        so an order with the number of the new claim was lower.
        """

        async def scenario():
            self.revision = None
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            await engine._poll_report()
            self.advance(10)
            await engine._poll_report()
            self.assertFalse(engine.ledger.may_order())
            await self.owned.close()

        curio.run(scenario)

    def test_planned_handover_while_the_store_is_away(self):
        """The owner leaves for a new release, and the store is silent.

        Its successor did not know whether a higher fencing number had been
        taken from the store, and ordered nothing until that came back. Every
        request for an adapter that was not loaded yet was refused meanwhile.
        """

        async def scenario():
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.claims.hear(OwnerRumour(GROUP, other, 1, 99))
            self.claims.members.apply(rumour_of(other, MemberState.LEAVING))
            self.revision = None
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            await engine._poll_report()
            self.assertTrue(engine.ledger.may_order())
            self.assertGreater(engine.ledger.fence >> 24, 99)
            await self.owned.close()

        curio.run(scenario)

    def test_number_that_was_found_after_the_claim_is_told(self):
        """An owner takes a fencing number from the store and leaves.

        Nobody else knew of it. While the store is away its successor cannot
        look there, and an engine would see a lower number.
        """

        async def scenario():
            told = []

            async def tell(rumour):
                told.append(rumour.epoch)

            self.advance(10)
            await self.owned.reconcile(tell)
            self.revision = 300
            self.advance(1)
            await self.owned.find(GROUP).fences.found_after(self.moment - 1)
            await self.owned.announce_raised_epochs(tell)
            self.assertEqual(told[-1], 300)
            self.assertEqual(self.claims.by_group[GROUP].epoch, 300)
            await self.owned.close()

        curio.run(scenario)

    def test_claim_that_came_while_the_store_was_asked_holds(self):
        """Two VMs find a group without an owner within milliseconds.

        Both asked the store for its revision; the second then outbid the
        first, and the group changed its owner once more.
        """

        async def scenario():
            other = next(v for v in VMS if v != self.claims.members.own_id)

            async def hear_a_claim():
                self.claims.hear(OwnerRumour(GROUP, other, 1, 50))
                return 60

            self.owned._fresh_revision = hear_a_claim
            self.advance(10)
            await self.reconcile()
            self.assertEqual(self.claims.owner(GROUP), other)
            self.assertIsNone(self.owned.find(GROUP))

        curio.run(scenario)

    def test_nothing_is_ordered_while_the_fence_is_unknown(self):
        """A VM cut off from all others and from the store claims the engines.

        It may not know of an owner with a higher fencing number.
        """

        async def scenario():
            members = self.claims.members
            for vm in VMS:
                if vm != members.own_id:
                    members.apply(rumour_of(vm, MemberState.DEAD))
            self.revision = None
            self.advance(10)
            await self.reconcile()
            engine = self.owned.find(GROUP).engines.engines_by_id['engine-0']
            await engine._poll_report()
            self.advance(10)
            await engine._poll_report()
            self.assertFalse(engine.ledger.may_order())
            self.revision = 90
            self.advance(1)
            await engine._poll_report()
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

    def test_groups_of_an_older_division_are_given_up(self):
        async def scenario():
            self.advance(10)
            await self.reconcile()
            self.owned._owners[GroupId('engines/7')] = self.owned.find(GROUP)
            del self.owned._owners[GROUP]
            await self.reconcile()
            self.assertIsNone(self.owned.find(GroupId('engines/7')))
            await self.owned.close()

        curio.run(scenario)
