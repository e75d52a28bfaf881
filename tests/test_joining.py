"""Fleets without a published list: VMs that join by way of others."""

from __future__ import annotations

import random

import curio

from flamingovalve.generated.ids import DomainId, Incarnation, VmId
from flamingovalve.generated.messages import (
    Datagram,
    MemberRumour,
    MemberState,
    Ping,
)
from flamingovalve.generated.settings import FleetSettings, PublishedVm
from flamingovalve.membership.gossip import Gossip
from flamingovalve.membership.members import MemberTable
from tests.rig.timeline import TimedTestCase

OWN, OTHER, THIRD = (VmId(f'10.0.0.{n}:7000') for n in (1, 2, 3))


def rumour(vm: VmId, incarnation: int, **changes: object) -> MemberRumour:
    """Give the rumour that a VM lives."""
    made = MemberRumour(
        vm,
        Incarnation(incarnation),
        0,
        MemberState.ALIVE,
        DomainId('east'),
        f'{vm}-front',
    )
    for name, content in changes.items():
        setattr(made, name, content)
    return made


class TestJoining(TimedTestCase):
    """One VM and those that it hears of."""

    def setUp(self) -> None:
        """Start a VM that knows a seed by its address alone."""
        super().setUp()
        self.members = MemberTable(OWN, Incarnation(5))
        own = PublishedVm(OWN, DomainId('east'), 'front', OWN)
        self.members.open(own, [OWN, OTHER])
        settings = FleetSettings()
        self.gossip = Gossip(None, self.members, settings, random.Random(1))
        self.told: list[tuple[VmId, VmId]] = []
        self.gossip._send = self._note

    async def _note(self, target, _content, more=()):
        """Note who is told of whom."""
        self.told.extend((target.vm.id, entry.vm) for entry in more)

    def test_details_of_a_seed_that_was_heard_directly_first(self):
        """VMs that miss the size or failure domain of a seed rank it differently."""
        self.members.apply(rumour(OTHER, 7, domain='', http_address=''))
        complete = rumour(OTHER, 7, cores=2.0)
        self.assertTrue(self.members.apply(complete))
        self.assertFalse(self.members.apply(complete))
        seed = self.members.by_id[OTHER]
        self.assertEqual(seed.cores, 2)
        self.assertEqual(seed.vm.failure_domain, 'east')
        self.assertEqual(seed.vm.http_address, f'{OTHER}-front')

    def test_details_of_an_earlier_process_are_not_taken(self):
        self.members.apply(rumour(OTHER, 7, cores=2.0))
        self.assertFalse(self.members.apply(rumour(OTHER, 6, cores=1.0)))
        self.assertEqual(self.members.by_id[OTHER].cores, 2)

    def hear(self, *rumours: MemberRumour) -> None:
        """Let the VM hear rumours."""

        async def take():
            for entry in rumours:
                await self.gossip._take_member(entry)

        curio.run(take)

    def test_seed_is_a_member_before_it_answers(self):
        self.assertIn(OTHER, self.members.by_id)

    def test_vm_joins_by_a_rumour(self):
        self.hear(rumour(THIRD, 1))
        self.assertEqual(self.members.by_id[THIRD].vm.failure_domain, 'east')

    def test_rumour_of_a_dead_stranger_is_left_out(self):
        self.hear(rumour(THIRD, 1, state=MemberState.DEAD))
        self.assertNotIn(THIRD, self.members.by_id)

    def test_newcomer_is_told_of_the_others(self):
        self.hear(rumour(OTHER, 1), rumour(THIRD, 1))
        self.assertIn((THIRD, OTHER), self.told)

    def test_restarted_vm_is_told_of_the_others(self):
        """A VM is restarted at its old address.

        Nobody told it who else there is, so it knew a quarter of the fleet
        for seconds, took itself for the owner of the engines, and the two
        owners ordered in turns.
        """
        self.hear(rumour(OTHER, 1), rumour(THIRD, 1))
        self.told.clear()
        self.hear(rumour(THIRD, 2))
        self.assertIn((THIRD, OTHER), self.told)

    def test_restarted_vm_that_speaks_itself_is_told_of_the_others(self):
        """Three of four VMs are restarted together and speak to the fourth.

        It noted that they run anew and told nobody, so they never heard of
        each other, and each could own what another one owned.
        """
        self.hear(rumour(OTHER, 1), rumour(THIRD, 1))
        self.told.clear()
        ping = Ping(OWN, THIRD, 0)
        datagram = Datagram(THIRD, Incarnation(2), 1, [], ping)
        curio.run(self.gossip._heard, datagram)
        self.assertIn((THIRD, OTHER), self.told)
        self.assertTrue(
            any(
                entry.vm == THIRD and entry.incarnation == 2
                for entry in self.gossip.rumours.take(8, 3)
            ),
        )

    def test_process_whose_clock_was_set_back_is_heard_again(self):
        """The clock was set back before this process started.

        Its number is lower than that of the process before it, so all that
        it said was dropped as old, and nobody sent callers to it.
        """
        self.hear(rumour(OWN, 9))
        self.assertGreater(self.members.own_incarnation, 9)


class TestManyJoin(TimedTestCase):
    """A fleet of 140 that starts together, as one of its VMs sees it."""

    def setUp(self) -> None:
        """Start a VM that knows nobody."""
        super().setUp()
        self.members = MemberTable(OWN, Incarnation(5))
        own = PublishedVm(OWN, DomainId('east'), 'front', OWN)
        self.members.open(own, [])
        settings = FleetSettings()
        self.gossip = Gossip(None, self.members, settings, random.Random(1))
        self.datagrams = 0
        self.gossip._send = self._count

    async def _count(self, _target, _content, _more=()):
        """Count what is sent."""
        self.datagrams += 1

    def test_news_of_joins_is_told_in_few_datagrams(self):
        """All VMs of a large fleet start within a moment.

        Each pushed every join to four others and told every newcomer of all
        the rest. The fleet sent 670,000 datagrams, and its small VMs took
        four seconds before they could serve.
        """

        async def hear_all():
            for number in range(140):
                vm = VmId(f'10.0.1.{number}:7000')
                await self.gossip._take_member(rumour(vm, 1))
                self.advance(0.002)

        curio.run(hear_all)
        self.assertLess(self.datagrams, 200)
