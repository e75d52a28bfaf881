"""Tests of changes that are published while VMs read the store in pages."""

from __future__ import annotations

import random
import sys
import unittest

import curio

from flamingovalve.errors import StoreUnavailable
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.follower import CatalogueFollower
from flamingovalve.generated.ids import Incarnation, VmId
from flamingovalve.generated.messages import Document, MemberRumour, MemberState
from flamingovalve.generated.settings import PublishedVm
from flamingovalve.http.messages import Response
from flamingovalve.membership.members import MemberTable
from flamingovalve.platform.store import PlatformStore, Reading
from tests.rig.paged_faults import PagedSite
from tests.rig.site import ROUTES, Site
from tests.rig.timeline import TimedTestCase

PAGE_ITEMS = 3
STEPS = 14
# Seed 108 has an entry that lapses around an outage of the store.
SEEDS = (1, 2, 3, 108)
SLOW_SECONDS = 0.25


def without(name: str) -> list[dict]:
    """Return the routes without the one named."""
    return [
        {
            'Host': 'site.example',
            'TimeoutMs': 5000,
            'TargetLatencyMs': 1000,
            'GapTargetMs': 250,
            **route,
        }
        for route in ROUTES
        if route['Name'] != name
    ]


class TestTotalLoss(unittest.TestCase):
    """All VMs restart and read a slow store in pages."""

    def setUp(self):
        """Start a site whose store sends pages."""
        self.site = Site.started(vms=4)
        self.addCleanup(self.site.close)
        self.site.store.page_items = PAGE_ITEMS
        self.site.publish(Tenants=[self.tenant('kept', 'revoked')])
        self.site.world.advance(3)

    def tenant(self, *keys):
        """Return a workspace with API keys."""
        return {'Name': 'ours', 'ApiKeys': list(keys)}

    def restart(self, change):
        """Restart all VMs; apply a change once all have read a page."""
        for vm_id in self.site.vms_by_id:
            self.site.kill(vm_id)
        self.site.store.answer_seconds = SLOW_SECONDS
        self.site.store.first_pages = 0
        for vm_id in self.site.vms_by_id:
            self.site.start(vm_id)
        self.site.world.run_until(
            lambda: self.site.store.first_pages == len(self.site.vms_by_id), 2
        )
        self.site.world.advance(SLOW_SECONDS + 0.05)
        change()
        for runner in (*self.site.engines, *self.site.apps):
            if f'servers/{runner.name}' in self.site.store.items_by_key:
                self.site.register(runner)
        self.site.world.advance(4)
        self.site.store.answer_seconds = 0.0
        self.site.world.advance(5)

    def statuses(self, path, **headers):
        """Return the status that each VM answers."""
        return {
            self.site.send(vm_id, self.site.call(path, **headers)).status
            for vm_id in self.site.vms_by_id
        }

    def test_dropped_route_is_refused(self):
        """A configuration written after its page was read stays unknown."""
        tenants = [self.tenant('kept')]
        self.restart(
            lambda: self.site.publish(Routes=without('reads'), Tenants=tenants)
        )
        self.assertEqual(self.statuses('/reads/1', Api_Key='kept'), {404})

    def test_revoked_key_is_refused(self):
        """A key that such a configuration revokes goes on working."""
        self.restart(lambda: self.site.publish(Tenants=[self.tenant('kept')]))
        self.assertEqual(self.statuses('/reads/1', Api_Key='revoked'), {401})
        self.assertEqual(self.statuses('/reads/1', Api_Key='kept'), {200})

    def test_adapter_version_is_required(self):
        """A version of an adapter that is declared meanwhile stays unknown."""
        key = 'op/version/base.a1'
        entry = {'Model': 'base', 'Adapter': 'a1', 'Version': 2}
        self.restart(lambda: self.site.store.put(key, entry))
        wanted = {
            vm.daemon.catalogue.wanted_version('base', 'a1')
            for vm in self.site.vms_by_id.values()
        }
        self.assertEqual(wanted, {2})

    def test_removed_upstream_is_not_used(self):
        """An upstream removed after its page was read goes on being used."""
        removed = self.site.apps[0]
        self.restart(lambda: self.site.store.delete(f'servers/{removed.name}'))
        listed = {
            vm.daemon.catalogue.lists(removed.name)
            for vm in self.site.vms_by_id.values()
        }
        self.assertEqual(listed, {False})


class PagedStore:
    """Documents of a store that is read in pages."""

    def __init__(self, readings):
        """Return ``readings`` one after the other."""
        self.readings = list(readings)
        self.watched_after = []

    async def read_all(self, _prefix):
        """Return the next reading."""
        return self.readings.pop(0)

    async def watch(self, _prefix, after, _seconds):
        """Return the next reading."""
        self.watched_after.append(after)
        return self.readings.pop(0)


class LoopbackPeers:
    """Passes asks between followers."""

    def __init__(self):
        """Create an empty fleet."""
        self.followers_by_vm = {}
        self.asked = []

    async def ask(self, _address, vm, ask, _seconds):
        """Return the answer of a follower."""
        self.asked.append((vm, ask))
        return None, await self.followers_by_vm[vm].answer(ask, None)


class NoWatchers:
    """Stands for a fleet in which no other VM watches the store."""

    def __init__(self, watchers=()):
        """Name the VMs that watch."""
        self.watchers = list(watchers)

    def other_watchers(self):
        """Return the VMs that watch."""
        return self.watchers


def document(key, revision, content=b'x', *, deleted=False):
    """Return a document."""
    return Document(key, revision, content, deleted)


class TestExchange(TimedTestCase):
    """Documents that VMs exchange."""

    names = ('a', 'b', 'c')

    def setUp(self):
        """Create VMs that know each other."""
        super().setUp()
        self.peers = LoopbackPeers()
        self.stores = {}
        for name in self.names:
            self.add(name)

    def add(self, name, watchers=()):
        """Create a VM."""
        members = MemberTable(VmId(name), Incarnation(1))
        members.open(PublishedVm(VmId(name), 'east', name, name), [])
        for other in self.names:
            if other != name:
                members.apply(
                    MemberRumour(
                        VmId(other),
                        Incarnation(1),
                        0,
                        MemberState.ALIVE,
                        'east',
                        other,
                    )
                )
        self.stores[name] = PagedStore([])
        self.peers.followers_by_vm[name] = CatalogueFollower(
            Catalogue(lambda document: None if document.deleted else document),
            self.stores[name],
            members,
            self.peers,
            NoWatchers(watchers),
            random.Random(1),
        )

    def read(self, name, revision, *documents):
        """Let a VM read the whole store."""
        self.stores[name].readings.append(Reading(list(documents), revision))
        curio.run(self.peers.followers_by_vm[name]._follow, 1)

    def watch(self, name, revision, *documents):
        """Let a VM watch the store."""
        self.read(name, revision, *documents)
        return self.stores[name].watched_after[-1]

    def announce(self, sender, receiver):
        """Let a VM announce to another one what it knows."""

        async def apply():
            rumour = self.peers.followers_by_vm[sender].own_rumour()
            await self.peers.followers_by_vm[receiver].apply_rumour(rumour)
            await curio.sleep(0)
            await curio.sleep(0)

        curio.run(apply)

    def keys(self, name):
        """Return the keys that a VM lists."""
        known = self.peers.followers_by_vm[name]._catalogue._known_by_key
        return {key for key, one in known.items() if not one.document.deleted}

    def test_watch_begins_where_the_first_page_was_read(self):
        """A later page holds a newer document than the first one."""
        self.read('a', 10, document('k1', 9), document('k9', 15))
        after = self.watch('a', 16, document('k1', 12, b'new'))
        self.assertEqual(after, 10)

    def test_watch_goes_on_where_the_store_said(self):
        self.read('a', 10, document('k1', 9))
        self.watch('a', 16, document('k1', 12))
        self.assertEqual(self.watch('a', 17), 16)

    def test_newer_documents_of_others_do_not_end_the_gap(self):
        """Another VM has seen a newer document and lacks an older one."""
        self.read('a', 10, document('k1', 9), document('k9', 15))
        self.read('b', 9, document('k1', 9))
        self.announce('a', 'b')
        after = self.watch('b', 16, document('k1', 12, b'new'))
        self.assertLessEqual(after, 10)

    def test_vm_that_lacks_a_change_asks_for_it(self):
        """A VM has seen a newer document than the change that it lacks."""
        self.read('a', 10, document('k1', 9), document('k9', 15))
        self.read('b', 10, document('k1', 9), document('k9', 15))
        self.watch('a', 16, document('k1', 12, b'new'))
        self.announce('a', 'b')
        (known,) = self.peers.followers_by_vm['b']._catalogue.after(11)[:1]
        self.assertEqual((known.key, known.revision), ('k1', 12))

    def test_removal_before_the_first_reading_of_another_vm(self):
        """A VM that starts knows no tombstone of what was removed before."""
        self.read('b', 10, document('k1', 9), document('k2', 8))
        self.read('a', 13, document('k1', 9), document('k3', 13))
        self.announce('a', 'b')
        if 'k2' in self.keys('b'):
            after = self.watch('b', 14, document('k2', 12, deleted=True))
            self.assertLess(after, 12)
        self.assertNotIn('k2', self.keys('b'))

    def test_removal_while_no_vm_keeps_its_tombstone(self):
        """All VMs restart at different times and watch nothing yet."""
        self.read('b', 10, document('k1', 9), document('k2', 8))
        self.read('a', 13, document('k1', 9))
        self.read('c', 14, document('k1', 9), document('k3', 14))
        for _second in range(4):
            self.announce('a', 'b')
            self.announce('c', 'b')
            self.advance(1)
        self.assertEqual(self.keys('b'), {'k1', 'k3'})

    def test_removal_is_not_taken_from_a_vm_that_knows_less(self):
        """A VM that read the store earlier lacks what was added since."""
        self.read('a', 10, document('k1', 9))
        self.read('b', 14, document('k1', 9), document('k2', 12))
        for _second in range(3):
            self.announce('a', 'b')
            self.advance(1)
        self.assertEqual(self.keys('b'), {'k1', 'k2'})

    def test_watcher_is_asked_in_place_of_a_vm_without_tombstones(self):
        """Each VM that starts would make all others list their keys."""
        self.add('b', watchers=['c'])
        self.read('b', 10, document('k1', 9), document('k2', 8))
        self.read('c', 9, document('k1', 9), document('k2', 8))
        self.watch('c', 14, document('k2', 12, deleted=True))
        self.read('a', 13, document('k1', 9))
        self.announce('a', 'b')
        self.assertEqual([vm for vm, _ask in self.peers.asked], ['c'])
        self.assertEqual(self.keys('b'), {'k1'})

    def test_vm_without_tombstones_is_asked_if_no_watcher_keeps_up(self):
        """The VMs that watch are cut off from the store."""
        self.add('b', watchers=['c'])
        self.read('b', 10, document('k1', 9), document('k2', 8))
        self.read('c', 9, document('k1', 9), document('k2', 8))
        self.read('a', 13, document('k1', 9))
        for _second in range(3):
            self.announce('a', 'b')
            self.advance(1)
        self.assertEqual(self.keys('b'), {'k1'})

    def test_vms_that_know_the_same_ask_nothing(self):
        """Heartbeats of entries cause no calls between VMs."""
        for name in self.names:
            self.read(name, 10, document('k1', 9), document('k9', 15))
            self.watch(name, 16)
        for sender in self.names:
            for receiver in self.names:
                self.announce(sender, receiver)
        self.assertEqual(self.peers.asked, [])


class PageServer:
    """Answers lists with given pages, the last one again and again."""

    def __init__(self, *pages):
        """Answer with ``pages``."""
        self.pages = list(pages)

    async def exchange(self, _address, _call, _seconds, **_options):
        """Return the next page."""
        page = self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]
        return Response.from_json(page)

    async def drop(self, _address):
        """Do nothing."""


class TestIncompleteLists(unittest.TestCase):
    """Lists that end although the store has more."""

    def read(self, *pages):
        """Read the pages of a store."""
        return curio.run(PlatformStore(PageServer(*pages), 'x').read_all, '')

    def page(self, *names, more=True):
        """Return a page of items."""
        return {
            'items': [
                {'Key': name, 'Revision': 3, 'Value': ''} for name in names
            ],
            'MorePages': more,
            'StoreRevision': 5,
        }

    def test_all_pages_are_read(self):
        reading = self.read(self.page('a'), self.page('b', more=False))
        self.assertEqual([one.key for one in reading.documents], ['a', 'b'])

    def test_list_that_never_ends_is_not_complete(self):
        """Items beyond the bound would be taken for removed ones."""
        with self.assertRaises(StoreUnavailable):
            self.read(self.page('a'))

    def test_empty_page_that_promises_more_is_not_complete(self):
        """What the next pages hold would be taken for removed."""
        with self.assertRaises(StoreUnavailable):
            self.read(self.page())


def play(seed: int) -> list[str]:
    """Run the faults of one seed and return the violations."""
    faulty = PagedSite(seed)
    try:
        faulty.play(STEPS)
        return faulty.find_violations()
    finally:
        faulty.close()


class TestRandomFaults(unittest.TestCase):
    """Total losses while documents change and the store is slow."""

    def test_all_vms_know_what_is_published(self):
        """Guards against changes that are missed for good."""
        violations = {seed: play(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


def main() -> int:
    """Run the seeds of a range given on the command line."""
    first, last = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        violations = play(seed)
        failed += bool(violations)
        print(seed, violations or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
