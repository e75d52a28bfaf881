"""Tests which VMs watch the store and which changes they pass on."""

from __future__ import annotations

import random

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.follower import CatalogueFollower
from flamingovalve.gateway.model import Upstream, UpstreamState
from flamingovalve.gateway.packing import compressed, decompressed
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
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.membership.members import SETTLE_SECONDS, MemberTable
from flamingovalve.util import clock
from tests.rig.timeline import TimedTestCase

DOMAINS = ('east', 'west', 'north', 'south')


def fleet_of(count: int, domains: int) -> list[Watchers]:
    """Return the ``Watchers`` of each VM of a fleet."""
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
    """Tests of a fleet whose VMs all know each other."""

    def watching(self, fleet):
        """Return the ``Watchers`` of the VMs that watch."""
        return [one for one in fleet if one.should_watch()]

    def report_loss(self, fleet, lost):
        """Let the VMs of ``lost`` report to all that they lost the store."""
        rumours = [one.own_store_rumour(lost=True) for one in lost]
        for one in fleet:
            for rumour in rumours:
                one.apply_rumour(rumour)

    def test_one_of_each_domain_watches(self):
        fleet = fleet_of(140, 4)
        domains = {
            one._members.by_id[one._members.own_id].vm.failure_domain
            for one in self.watching(fleet)
        }
        self.assertEqual(len(self.watching(fleet)), 4)
        self.assertEqual(domains, set(DOMAINS))

    def test_large_vms_watch(self):
        """Most VMs have slow links and a few have fast ones.

        A VM with a slow link passes on changes slowly and delays all others.
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

    def test_single_vm_watches(self):
        self.assertEqual(len(self.watching(fleet_of(1, 1))), 1)

    def test_others_take_over_from_rejected_watchers(self):
        """The store rejects the watchers and serves the others.

        If no other VM took over, removed routes would still be served.
        """
        fleet = fleet_of(12, 4)
        first = self.watching(fleet)
        self.report_loss(fleet, first)
        second = self.watching(fleet)
        self.assertEqual(len(second), 4)
        self.assertFalse(set(map(id, first)) & set(map(id, second)))

    def test_reported_loss_expires(self):
        fleet = fleet_of(12, 4)
        first = self.watching(fleet)
        self.report_loss(fleet, first)
        self.advance(LOSS_SECONDS + 0.1)
        self.assertEqual(self.watching(fleet), first)

    def test_store_that_answers_no_vm_is_still_tried(self):
        fleet = fleet_of(8, 4)
        self.report_loss(fleet, fleet)
        self.assertEqual(len(self.watching(fleet)), 4)

    def test_report_of_recovery_supersedes_report_of_loss(self):
        fleet = fleet_of(12, 4)
        sender, receiver = fleet[1], fleet[0]
        lost = sender.own_store_rumour(lost=True)
        back = sender.own_store_rumour(lost=False)
        self.assertIs(receiver.apply_rumour(back), Dissemination.URGENT)
        self.assertIs(receiver.apply_rumour(lost), Dissemination.NONE)


def entry(name: str, state: UpstreamState = UpstreamState.READY) -> Upstream:
    """Return the entry of an upstream."""
    return Upstream(
        UpstreamId(name),
        ServiceId('engines'),
        'address',
        DomainId('east'),
        state,
        8,
    )


class TestFetching(TimedTestCase):
    """Tests of a VM that receives rumours of newer documents."""

    def setUp(self) -> None:
        """Create a follower and record which VMs it asks."""
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
        self.follower._fetch = self._fetch

    async def _fetch(self, vm):
        """Record which VM is asked; it does not answer."""
        self.asked.append(vm)

    def announce(self, *names, revision=5):
        """Let other VMs announce a revision."""

        async def apply_all():
            for name in names:
                await self.follower.apply_rumour(
                    CatalogueRumour(VmId(name), revision)
                )
            await curio.sleep(0)

        curio.run(apply_all)

    def test_one_vm_is_asked_for_one_revision(self):
        self.announce('a', 'b', 'c')
        self.assertEqual(self.asked, ['a'])

    def test_another_vm_is_asked_if_the_first_is_silent(self):
        """The VM that is asked for a new configuration has just deletion down.

        If no other VM were asked before the timeout of two seconds, callers
        would be served by the old routes for as long.
        """
        self.announce('a')
        self.advance(0.5)
        self.announce('b')
        self.assertEqual(self.asked, ['a', 'b'])

    def test_newer_revision_is_fetched_immediately(self):
        self.announce('a')
        self.announce('b', revision=6)
        self.assertEqual(self.asked, ['a', 'b'])


class TestPacking(TimedTestCase):
    """Tests of the compression of documents sent between VMs."""

    def test_large_document_is_restored(self):
        """A configuration of 1,000 routes is sent over links of 5 Mbit/s.

        Uncompressed, it would take more than three seconds to reach some VMs.
        """
        content = b'{"Name": "route", "TimeoutMs": 5000}' * 9000
        document = Document('op/config', 7, content, deleted=False)
        sent = compressed(document)
        self.assertLess(len(sent.content), len(content) / 5)
        self.assertEqual(decompressed(sent), document)

    def test_small_document_is_not_compressed(self):
        document = Document('servers/a', 7, b'{}', deleted=False)
        self.assertIs(compressed(document), document)
        self.assertIs(decompressed(document), document)


class TestUnchangedDocuments(TimedTestCase):
    """Tests of entries that are rewritten with equal content."""

    def setUp(self) -> None:
        """Create a catalogue with one upstream."""
        super().setUp()
        self.values = {b'ready': entry('a')}
        self.values[b'draining'] = entry('a', UpstreamState.DRAINING)
        self.catalogue = Catalogue(lambda document: self.decode(document))
        self.put(10, b'ready')

    def decode(self, document):
        """Return the value for the first word of a document."""
        return self.values.get(document.content.partition(b' ')[0])

    def put(self, revision, content, *, in_sequence=True):
        """Apply a document with ``content``."""
        document = Document('servers/a', revision, content, deleted=False)
        return self.catalogue.apply(document, in_sequence=in_sequence)

    def test_heartbeat_is_not_a_change(self):
        self.assertFalse(self.put(11, b'ready 2'))
        self.assertEqual(self.catalogue.changed_revision, 10)
        self.assertEqual(self.catalogue.revision, 11)
        self.assertEqual(self.catalogue.after(10), [])

    def test_older_change_after_a_heartbeat_is_ignored(self):
        """Another VM passes on a change that has since been undone.

        The heartbeat that undid it is no change here, but its revision must
        be remembered so that the older change is ignored.
        """
        self.put(12, b'ready 2')
        self.assertFalse(self.put(11, b'draining', in_sequence=False))
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)

    def test_change_that_may_have_been_missed_is_passed_on(self):
        """A VM reads the whole store and finds an entry unchanged.

        In between the entry may have had other content, which other VMs keep
        until they receive the present one.
        """
        self.assertTrue(self.put(12, b'ready 2', in_sequence=False))
        self.assertEqual(len(self.catalogue.after(10)), 1)

    def test_entry_that_lapsed_during_an_outage_expires(self):
        """An entry lapses during an outage, and its upstream has ended.

        The list of upstreams is cached between requests; the cache must not
        keep an upstream whose grace period has expired.
        """
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)
        self.catalogue.record_store_unreachable()
        deletion = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.apply_from_store(deletion, in_sequence=True)
        self.assertEqual(len(self.catalogue.upstreams(ServiceId('engines'))), 1)
        self.advance(1.6)
        self.assertEqual(self.catalogue.upstreams(ServiceId('engines')), [])

    def test_deletion_read_by_another_vm_applies_immediately(self):
        """One VM is partitioned from the store, and an upstream leaves.

        If the VM took the deletion for a lapse during an outage, the upstream
        would get requests for another 1.5 s.
        """
        self.catalogue.record_store_unreachable()
        deletion = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.apply(deletion)
        self.assertEqual(self.catalogue.upstreams(ServiceId('engines')), [])

    def test_deletion_during_an_outage_is_passed_on_as_lapse(self):
        self.catalogue.record_store_unreachable()
        deletion = Document('servers/a', 11, b'', deleted=True)
        self.catalogue.apply_from_store(deletion, in_sequence=True)
        (passed_on,) = self.catalogue.after(10)
        other = Catalogue(lambda document: self.decode(document))
        other.apply(Document('servers/a', 10, b'ready', deleted=False))
        other.apply(passed_on)
        self.assertEqual(len(other.upstreams(ServiceId('engines'))), 1)
        self.advance(1.6)
        self.assertEqual(other.upstreams(ServiceId('engines')), [])

    def test_change_is_applied(self):
        self.assertTrue(self.put(11, b'draining'))
        self.assertEqual(self.catalogue.changed_revision, 11)
