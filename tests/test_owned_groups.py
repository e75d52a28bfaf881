"""When a VM may order the engines of a group that it has taken up again."""

from __future__ import annotations

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.model import Configuration, UpstreamService
from flamingovalve.gateway.owned import OwnedGroups
from flamingovalve.gateway.ownership import GroupClaims
from flamingovalve.gateway.shards import Shards
from flamingovalve.generated.ids import GroupId, ServiceId
from flamingovalve.generated.messages import OwnerRumour
from flamingovalve.generated.settings import GatewaySettings
from tests.rig.engines import TRAITS, report, upstream
from tests.rig.timeline import TimedTestCase
from tests.test_group_claims import VMS, table_of

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
            lambda _upstream: StillEngine(),
        )

    def _claims_of_claimer(self):
        tables = [table_of(vm) for vm in VMS]
        every = [GroupClaims(members, self.moment) for members in tables]
        self.advance(2)
        return next(one for one in every if one.should_claim(GROUP))

    async def tend(self):
        """Let the VM look at its groups."""
        await self.owned.tend(self._tell)

    async def _tell(self, _rumour):
        """Tell nobody."""

    def orders_after(self):
        """Give the seconds until the VM may order."""
        engine = self.owned.find(GROUP).engines_by_id['engine-0']
        return engine.ledger.chain.stands_down_until - self.moment

    def test_nothing_is_ordered_within_a_lease_of_losing_it(self):
        """Another VM claims the group, then ends, and this one is next.

        Ordering at once, the two would have taken turns within a lease.
        """

        async def scenario():
            self.advance(10)
            await self.tend()
            self.assertLessEqual(self.orders_after(), 0)
            other = next(v for v in VMS if v != self.claims.members.own_id)
            self.claims.hear(OwnerRumour(GROUP, other, 1, 99))
            await self.tend()
            self.assertIsNone(self.owned.find(GROUP))
            self.advance(0.5)
            self.claims.members.by_id[other].note_end(1)
            await self.tend()
            self.assertGreater(self.orders_after(), LEASE - 0.5)
            await self.owned.close()

        curio.run(scenario)

    def test_new_division_raises_every_fence(self):
        """Engines are added, and the service is divided among more owners.

        An engine that moves back later would see a lower fencing number
        after a higher one.
        """

        async def scenario():
            self.advance(10)
            await self.tend()
            before = self.owned.find(GROUP).fence
            for number in range(1, 40):
                self.catalogue._take_upstream(upstream(f'engine-{number}'))
            await self.tend()
            self.advance(4)
            await self.tend()
            owner = self.owned.find(GROUP)
            self.assertLess(len(owner.engines_by_id), 40)
            self.assertGreater(owner.fence, before)
            await self.owned.close()

        curio.run(scenario)

    def test_groups_of_an_older_division_are_given_up(self):
        async def scenario():
            self.advance(10)
            await self.tend()
            self.owned._owners[GroupId('engines/7')] = self.owned.find(GROUP)
            del self.owned._owners[GROUP]
            await self.tend()
            self.assertIsNone(self.owned.find(GroupId('engines/7')))
            await self.owned.close()

        curio.run(scenario)
