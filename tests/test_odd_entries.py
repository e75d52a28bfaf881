"""Tests of entries of other writers that no runner writes."""

from __future__ import annotations

import json
import unittest

import logbook

from tests.rig.site import Site
from tests.test_unusable_addresses import entry

HUGE = 10**4000
SURROGATE = '\ud800'
ODD_NUMBERS = (HUGE, 10**30, -1, True, 0.5, 1e308, float('inf'), float('nan'))
ODD_TEXTS = (SURROGATE, 'x' * 100_000, 7, ['a'], {'a': 1})

ODD_FIELDS = (
    *(('Slots', number) for number in ODD_NUMBERS),
    *(('born', number) for number in ODD_NUMBERS),
    *(('Service', text) for text in ODD_TEXTS),
    *(('Zone', text) for text in ODD_TEXTS),
    *(('Version', text) for text in ODD_TEXTS),
    *(('State', text) for text in (*ODD_TEXTS, 'asleep')),
    *(('Addr', f'127.0.0.1:{port}') for port in (0, 70000, HUGE, SURROGATE)),
)
ODD_KEYS = (
    f'servers/{SURROGATE}',
    f'{SURROGATE}/x',
    f'servers/{"x" * 100_000}',
    'servers/',
    'servers/a b',
    'servers/a\r\nb: c',
    'servers/é',
    'servers/a\0b',
    'servers/other/x',
    'others/x',
    '',
)


def odd_fields(service):
    """Return entries of a service of which one field is odd."""
    good = {**entry('127.0.0.1:9'), 'Service': service}
    return {
        f'servers/odd-{number}': json.dumps({**good, name: odd}).encode()
        for number, (name, odd) in enumerate(ODD_FIELDS)
    }


def odd_bytes():
    """Return entries that are no JSON, nested or with too many digits."""
    contents = [b'\xff\xfe', b'', b'[]', b'{"Slots":%b}' % (b'9' * 100_000)]
    for depth in (300, 1000, 100_000):
        nested = b'[' * depth + b']' * depth
        contents += [nested, b'{"Slots":%b}' % nested]
    return {
        f'servers/bytes-{number}': content
        for number, content in enumerate(contents)
    }


class TestSite(unittest.TestCase):
    """A site in whose store another writer leaves entries."""

    def setUp(self):
        """Start the site."""
        self.site = Site.started(3)
        self.addCleanup(self.site.close)

    def assert_serves(self):
        """Check that each VM serves and applies a new entry."""
        site = self.site
        added = f'servers/new-{site.store.revision}'
        site.store.put(added, {**entry('127.0.0.1:9'), 'State': 'draining'})
        site.world.advance(2)
        crashes = site.world.crash_log.crashes
        self.assertFalse(crashes, crashes and crashes[0][-400:])
        for vm in site.vms_by_id.values():
            catalogue = vm.daemon.catalogue
            self.assertTrue(catalogue.lists(added.partition('/')[2]), vm.id)
            for call in (site.call('/reads/1'), site.chat('a1')):
                self.assertEqual(site.send(vm.id, call).status, 200, vm.id)

    def assert_each_holds(self, documents):
        """Put each document into the store and check the VMs."""
        for key, content in documents.items():
            with self.subTest(key[:40], content=content[-80:]):
                self.site.store.put_bytes(key, content)
                self.assert_serves()

    def test_odd_fields_of_a_plain_service(self):
        """A task ends with the entry, and each VM does so again and again."""
        self.assert_each_holds(odd_fields('app'))

    def test_odd_fields_of_an_engine(self):
        """The owner of the engines ends with the entry."""
        self.assert_each_holds(odd_fields('engines'))

    def test_odd_keys(self):
        """Hashes and messages hold the id, and end with it."""
        content = json.dumps(entry('127.0.0.1:9')).encode()
        self.assert_each_holds(dict.fromkeys(ODD_KEYS, content))

    def test_odd_bytes(self):
        """The parser ends with the entry."""
        self.assert_each_holds(odd_bytes())

    def test_odd_announcement_of_an_adapter(self):
        """Each request for the adapter ends with the announced version."""
        good = {'Model': 'base', 'Adapter': 'a1', 'Version': 1}
        odd = [{**good, 'Version': number} for number in ODD_NUMBERS]
        odd += [{**good, 'Model': text} for text in ODD_TEXTS]
        odd += [{**good, 'Adapter': text} for text in ODD_TEXTS]
        self.assert_each_holds(
            {
                f'op/version/odd-{number}': json.dumps(content).encode()
                for number, content in enumerate(odd)
            }
        )

    def test_log_says_once_what_is_ignored(self):
        """Each heartbeat of the writer would be logged at each VM."""
        odd = {**entry('127.0.0.1:9'), 'Slots': HUGE}
        with logbook.TestHandler().applicationbound() as log:
            for _heartbeat in range(3):
                self.site.store.put('servers/odd', odd)
                self.site.world.advance(2)
        lines = [one for one in log.formatted_records if 'ignoring' in one]
        self.assertEqual(len(lines), len(self.site.vms_by_id))
        for line in lines:
            self.assertIn('servers/odd of revision', line)
            self.assertIn('Slots is not an integer from 0 to 1000000', line)

    def test_key_of_another_prefix_removes_no_upstream(self):
        """The end of a key names an upstream, whatever stands before it."""
        foreign = ('notes/app-0', 'servers/notes/app-1')
        for key in foreign:
            self.site.store.put(key, entry('127.0.0.1:9'))
        self.site.world.advance(2)
        for key in foreign:
            self.site.store.delete(key)
        self.site.world.advance(2)
        for vm in self.site.vms_by_id.values():
            for app in self.site.apps:
                found = vm.daemon.catalogue.find_upstream(app.name)
                self.assertEqual(found.address, app.address)
