"""Tests of entries whose address cannot be used."""

from __future__ import annotations

import unittest

import curio

from flamingovalve.errors import Undecodable
from flamingovalve.platform import decode
from flamingovalve.util.staggered import first_opened
from tests.rig.site import Site

UNUSABLE = (
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:x',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999999999',
    'name.example:80',
    '999.0.0.1:80',
    ':80',
    '',
    '127.0.0.1:²',
)


def entry(address):
    """Return the entry of an upstream."""
    return {
        'Service': 'app',
        'Addr': address,
        'Zone': 'east',
        'Slots': 8,
        'State': 'ready',
    }


class TestDecoding(unittest.TestCase):
    """Decoding of entries."""

    def test_entry_with_an_unusable_address_is_ignored(self):
        """Each connection to it would fail, or crash its task."""
        for address in UNUSABLE:
            content = str(entry(address)).replace("'", '"').encode()
            with self.assertRaises(Undecodable, msg=address):
                decode.upstream('servers/x', content)


class TestSite(unittest.TestCase):
    """A site with such an entry of another writer."""

    def test_orders_are_answered(self):
        """The task that connects crashes, and the caller waits for it."""
        site = Site.started(3)
        self.addCleanup(site.close)
        site.store.put('servers/foreign', entry('127.0.0.1'))
        site.world.advance(3)
        tasks = [
            site.begin(f'vm-{number % 3}', site.call('/orders/1', 2000))
            for number in range(24)
        ]
        site.world.advance(2.5)
        self.assertTrue(all(task.terminated for task in tasks))
        self.assertEqual({task.result.status for task in tasks}, {200})


class TestAlternatives(unittest.TestCase):
    """Alternatives of which one raises an error."""

    def test_error_counts_as_a_failure(self):
        """The wait for its result would last for an hour."""

        async def crash():
            raise ValueError('an error that nobody expects')

        async def succeed():
            await curio.sleep(0)
            return 'opened'

        async def play(*starts):
            async with curio.timeout_after(2):
                return await first_opened(starts, 0.01, _discard)

        self.assertIsNone(curio.run(play, crash))
        self.assertEqual(curio.run(play, crash, succeed), 'opened')
        self.assertEqual(curio.run(play, succeed, crash), 'opened')


async def _discard(_opened):
    """Do nothing."""
