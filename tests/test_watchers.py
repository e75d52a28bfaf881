"""Which VMs watch the store, and what they pass on."""

from __future__ import annotations

import random

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.follower import CatalogueFollower
from flamingovalve.gateway.model import Upstream, UpstreamState
from flamingovalve.gateway.packing import packed, unpacked
from flamingovalve.gateway.watchers import LOSS_SECONDS, Watchers
from flamingovalve.generated.ids import (
    DomainId,
    Incarnation,
    ServiceId,
    UpstreamId,
    VmId,
)
from flamingovalve.generated.messages import (
    CatalogueRumour,
    Document,
    MemberRumour,
    MemberState,
)
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.membership.gossip import News
from flamingovalve.membership.members import SETTLE_SECONDS, MemberTable
from flamingovalve.util import clock
from tests.rig.timeline import TimedTestCase

DOMAINS = ('east', 'west', 'north', 'south')


def fleet_of(count: int, domains: int) -> list[Watchers]:
    """Give the watchers as each VM of a fleet sees them."""
    named = [
        (VmId(f'10.0.{n}.1:7000'), DomainId(DOMAINS[n % domains]))
        for n in range(count)
    ]
    started_at = clock.now() - SETTLE_SECONDS
    return [
        Watchers(_table_of(vm, named), 1, started_at) for vm, _domain in named
    ]


def _table_of(
    own: VmId,
    named: list[tuple[VmId, DomainId]],
) -> MemberTable:
    members = MemberTable(own, Incarnation(1))
    for vm, domain in named:
        if vm == own:
            members.open(PublishedVm(vm, domain, vm, vm), [])
    for vm, domain in named:
        alive = MemberState.ALIVE
        rumour = MemberRumour(vm, Incarnation(1), 0, alive, domain, vm)
        if vm != own:
            members.apply(rumour)
    return members


class TestWatchers(TimedTestCase):
    """A fleet whose VMs all know each other."""

    def watching(self, fleet):
        """Give those that watch."""
        return [one for one in fleet if one.should_watch()]

    def lose(self, fleet, lost):
        """Let some VMs say that the store does not answer them."""
        rumours = [one.own_change(lost=True) for one in lost]
        for one in fleet:
            for rumour in rumours:
                one.hear(rumour)

    def test_one_of_each_domain_watches(self):
        fleet = fleet_of(140, 4)
        domains = {
            one._members.by_id[one._members.own_id].vm.failure_domain
            for one in self.watching(fleet)
        }
        self.assertEqual(len(self.watching(fleet)), 4)
        self.assertEqual(domains, set(DOMAINS))

    def test_large_vms_watch(self):
        """Most VMs have small links and a few have large ones.

        What a small one reads it passes on slowly, and everybody waits.
        """
        fleet = fleet_of(140, 4)
        large = [one._members.own_id for one in fleet[:8]]
        for one in fleet:
            for member in one._members.by_id.values():
                member.cores = 2.15 if member.vm.id in large else 0.36
        names = [one._members.own_id for one in self.watching(fleet)]
        self.assertEqual(len(names), 4)
        self.assertTrue(set(names) <= set(large))

    def test_fleet_of_one_domain_has_three(self):
        self.assertEqual(len(self.watching(fleet_of(9, 1))), 3)

    def test_vm_alone_watches(self):
        self.assertEqual(len(self.watching(fleet_of(1, 1))), 1)

    def test_others_take_over_from_those_turned_away(self):
        """The store turns the watchers away and serves the others.

        Nobody else would look, so routes that were taken away went on being
        served.
        """
        fleet = fleet_of(12, 4)
        first = self.watching(fleet)
        self.lose(fleet, first)
        second = self.watching(fleet)
        self.assertEqual(len(second), 4)
        self.assertFalse(set(map(id, first)) & set(map(id, second)))

    def test_loss_is_forgotten(self):
        fleet = fleet_of(12, 4)
        first = self.watching(fleet)
        self.lose(fleet, first)
        self.advance(LOSS_SECONDS + 0.1)
        self.assertEqual(self.watching(fleet), first)

    def test_somebody_goes_on_trying_a_store_that_answers_nobody(self):
        fleet = fleet_of(8, 4)
        self.lose(fleet, fleet)
        self.assertEqual(len(self.watching(fleet)), 4)

    def test_news_of_a_store_that_is_back_outdates_its_loss(self):
        fleet = fleet_of(12, 4)
        teller, hearer = fleet[1], fleet[0]
        lost = teller.own_change(lost=True)
        back = teller.own_change(lost=False)
        self.assertIs(hearer.hear(back), News.URGENT)
        self.assertIs(hearer.hear(lost), News.NONE)


def entry(name: str, state: UpstreamState = UpstreamState.READY) -> Upstream:
    """Give what an upstream says of itself."""
    return Upstream(
        UpstreamId(name),
        ServiceId('engines'),
        'address',
        DomainId('east'),
        state,
        8,
    )


class TestAskingOthers(TimedTestCase):
    """A VM hears that others hold newer documents."""

    def setUp(self) -> None:
        """Start with nothing known, and note who is asked."""
        super().setUp()
        self.asked: list[VmId] = []
        self.follower = CatalogueFollower(
            Catalogue(lambda document: document),
            None,
            None,
            None,
            None,
            random.Random(1),
        )
        self.follower._ask = self._ask

    async def _ask(self, vm):
        """Note who is asked; no answer comes."""
        self.asked.append(vm)

    def hear(self, *names, revision=5):
        """Let the VM hear from others."""

        async def hear_all():
            for name in names:
                await self.follower.hear(CatalogueRumour(VmId(name), revision))
            await curio.sleep(0)

        curio.run(hear_all)

    def test_one_is_asked_for_one_piece_of_news(self):
        self.hear('a', 'b', 'c')
        self.assertEqual(self.asked, ['a'])

    def test_another_is_asked_where_the_first_is_silent(self):
        """The VM that is asked for a new configuration has just gone dark.

        Nobody else was asked until it had not answered for two seconds, and
        callers got answers by the old routes meanwhile.
        """
        self.hear('a')
        self.advance(0.5)
        self.hear('b')
        self.assertEqual(self.asked, ['a', 'b'])

    def test_newer_news_is_asked_for_at_once(self):
        self.hear('a')
        self.hear('b', revision=6)
        self.assertEqual(self.asked, ['a', 'b'])


class TestPacking(TimedTestCase):
    """Documents on their way between VMs."""

    def test_large_document_comes_back_whole(self):
        """A configuration of 1,000 routes goes over links of 5 Mbit/s.

        At its full size some VMs had not got it after three seconds.
        """
        content = b'{"Name": "route", "TimeoutMs": 5000}' * 9000
        document = Document('op/config', 7, content, deleted=False)
        sent = packed(document)
        self.assertLess(len(sent.content), len(content) / 5)
        self.assertEqual(unpacked(sent), document)

    def test_small_document_is_left_alone(self):
        document = Document('servers/a', 7, b'{}', deleted=False)
        self.assertIs(packed(document), document)
        self.assertIs(unpacked(document), document)


class TestUnchangedDocuments(TimedTestCase):
    """Entries that are written again and say the same."""

    def setUp(self) -> None:
        """Start with one upstream."""
        super().setUp()
        self.says = {b'ready': entry('a')}
        self.says[b'draining'] = entry('a', UpstreamState.DRAINING)
        self.catalogue = Catalogue(lambda document: self.decode(document))
        self.put(10, b'ready')

    def decode(self, document):
        """Give what a document says, whatever else stands in it."""
        return self.says.get(document.content.partition(b' ')[0])

    def put(self, revision, content, *, in_sequence=True):
        """Let a document come."""
        document = Document('servers/a', revision, content, deleted=False)
        return self.catalogue.apply(document, in_sequence=in_sequence)

    def test_heartbeat_is_no_news(self):
        self.assertFalse(self.put(11, b'ready 2'))
        self.assertEqual(self.catalogue.news_revision, 10)
        self.assertEqual(self.catalogue.revision, 11)
        self.assertEqual(self.catalogue.after(10), [])

    def test_older_change_behind_a_heartbeat_is_not_taken(self):
        """Another VM passes on a change that was undone meanwhile.

        The heartbeat that undid it said nothing new here, so its revision
        has to be remembered all the same.
        """
        self.put(12, b'ready 2')
        self.assertFalse(self.put(11, b'draining', in_sequence=False))
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)

    def test_change_that_may_have_been_missed_is_passed_on(self):
        """A VM reads the store anew and finds an entry as it was before.

        In between it may have said something else, which other VMs believe
        until they are told.
        """
        self.assertTrue(self.put(12, b'ready 2', in_sequence=False))
        self.assertEqual(len(self.catalogue.after(10)), 1)

    def test_entry_that_lapsed_beside_an_outage_is_gone_in_time(self):
        """An entry lapses while the store is away, and its upstream is gone.

        The list of upstreams is kept between requests; it must not keep one
        that has lapsed meanwhile.
        """
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)
        self.catalogue.note_store_away()
        gone = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.read(gone, in_sequence=True)
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)
        self.advance(1.6)
        self.assertEqual(self.catalogue.upstreams(ServiceId('engines')), [])

    def test_deletion_that_another_vm_read_holds_at_once(self):
        """One VM is cut off from the store, and an upstream leaves.

        All VMs took the deleted entry for one that had lapsed beside an
        outage, and the upstream got requests for 1.5 s more.
        """
        self.catalogue.note_store_away()
        gone = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.apply(gone)
        self.assertEqual(self.catalogue.upstreams(ServiceId('engines')), [])

    def test_deletion_beside_an_outage_is_passed_on_as_such(self):
        self.catalogue.note_store_away()
        gone = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.read(gone, in_sequence=True)
        (told,) = self.catalogue.after(10)
        other = Catalogue(lambda document: self.decode(document))
        other.apply(Document('servers/a', 10, b'ready', deleted=False))
        other.apply(told)
        self.assertEqual(len(other.upstreams(ServiceId('engines'))), 1)
        self.advance(1.6)
        self.assertEqual(other.upstreams(ServiceId('engines')), [])

    def test_change_is_news(self):
        self.assertTrue(self.put(11, b'draining'))
        self.assertEqual(self.catalogue.news_revision, 11)
