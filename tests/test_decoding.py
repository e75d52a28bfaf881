"""Tests of the decoders with any JSON, and of their bounds."""

from __future__ import annotations

import json
import math
import os
import types
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flamingovalve.errors import StoreUnavailable, Undecodable
from flamingovalve.gateway.announcements import Purpose, SentRequest
from flamingovalve.platform import decode, reports, store
from flamingovalve.platform.fields import Fields
from flamingovalve.platform.upstreams import PlatformWire
from flamingovalve.util.lines import LineWriter
from tests.test_odd_entries import HUGE, SURROGATE

EXAMPLES = 100
ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from((HUGE, -HUGE, 10**30, 2**53, 2**32, 2**31, 2**41, -1, 0)),
    st.floats(),
    st.text(),
    st.sampled_from((SURROGATE, f'a{SURROGATE}', 'x' * 9000, 'é', 'a\r\nb')),
)
JSON = st.recursive(
    ODD,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def altered(good):
    """Return documents like ``good``, in which any value may be any JSON."""
    if isinstance(good, dict):
        return st.one_of(
            st.just(good),
            st.fixed_dictionaries({key: altered(good[key]) for key in good}),
            JSON,
        )
    if isinstance(good, list):
        return st.one_of(st.tuples(*map(altered, good)).map(list), JSON)
    return st.one_of(*[st.just(good)] * 6, JSON)


ENTRY = {
    'Service': 'app',
    'Addr': '127.0.0.1:9',
    'Zone': 'east',
    'Slots': 8,
    'State': 'ready',
    'born': 1,
    'Version': 'v1',
}
ANNOUNCEMENT = {'Model': 'base', 'Adapter': 'a1', 'Version': 2}
REPORT = {
    'Seq': 2,
    'born': 1,
    'Models': [{'Name': 'base', 'Adapters': ['a1@2', 'a2']}],
    'Coming': ['base/a3@1'],
    'AtHand': {'InMemory': ['base'], 'OnDisk': ['base']},
    'Busy': False,
}
CONFIGURATION = {
    'Version': 5,
    'Routes': [
        {
            'Name': 'reads',
            'Host': 'site.example',
            'PathPrefix': '/reads/',
            'Kind': 'idempotent',
            'TimeoutMs': 5000,
            'TargetLatencyMs': 1000,
            'GapTargetMs': 250,
            'Priority': 1,
            'MaxAttempts': 2,
            'TrafficSplit': [{'Service': 'app', 'Weight': 0.5}],
        }
    ],
    'Services': [
        {
            'Name': 'engines',
            'HealthPath': '/health',
            'Engine': {
                'Slots': 8,
                'KvCapacity': 1000,
                'WeightsMb': 10.5,
                'AdapterSlots': 3,
                'Models': [{'Name': 'm', 'WeightsMb': 5, 'AdapterSizeMb': 1}],
            },
        }
    ],
    'Limits': {'MaxBodyBytes': 1000, 'IdleTimeoutMs': 15000},
    'Tenants': [
        {
            'Name': 'w',
            'ApiKeys': ['k'],
            'RatePerS': 5,
            'Burst': 1,
            'Priority': 1,
        }
    ],
}
ITEMS = {
    'items': [{'Key': 'op/config', 'Revision': 3, 'Value': 'e30='}],
    'StoreRevision': 4,
}


def values_of(decoded):
    """Return the numbers and texts that a decoded value holds."""
    if isinstance(decoded, int | float | str):
        return [decoded]
    if isinstance(decoded, dict):
        parts = [*decoded, *decoded.values()]
    elif isinstance(decoded, list | tuple | frozenset):
        parts = [*decoded]
    else:
        parts = [
            getattr(decoded, name)
            for name in getattr(decoded, '__dataclass_fields__', ())
        ]
    return [value for part in parts for value in values_of(part)]


class TestAnyJson(unittest.TestCase):
    """Documents in which any value may be any JSON."""

    def assert_bounded(self, decoded):
        """Check that messages, hashes and floats can hold what is decoded."""
        for value in values_of(decoded):
            if isinstance(value, str):
                self.assertLessEqual(len(value.encode()), 8192)
            else:
                self.assertTrue(math.isfinite(value))
                self.assertTrue(0 <= value < 2**53, value)

    def decoded(self, decoder, document, *others):
        """Return what a document is decoded to; None if it is refused."""
        try:
            found = decoder(*others, json.dumps(document).encode())
        except Undecodable as refused:
            self.assertLess(len(str(refused)), 300)
            return None
        self.assert_bounded(found)
        return found

    def test_samples_are_decoded(self):
        self.assertTrue(self.decoded(decode.configuration, CONFIGURATION))
        self.assertTrue(self.decoded(decode.upstream, ENTRY, 'servers/x'))
        self.assertTrue(self.decoded(decode.adapter_version, ANNOUNCEMENT))
        self.assertTrue(reports.report(Fields(REPORT), 0))

    @settings(max_examples=EXAMPLES)
    @given(altered(CONFIGURATION))
    def test_configuration(self, document):
        """A value out of bounds fails where requests are served."""
        self.decoded(decode.configuration, document)

    @settings(max_examples=EXAMPLES)
    @given(st.text() | st.just('x'), altered(ENTRY))
    def test_entry(self, name, document):
        """A value out of bounds fails where an upstream is chosen."""
        found = self.decoded(decode.upstream, document, f'servers/{name}')
        if found is not None:
            self.assertTrue(found.id.isascii() and found.id.isprintable())

    @settings(max_examples=EXAMPLES)
    @given(altered(ANNOUNCEMENT))
    def test_announcement(self, document):
        """A version that no message between VMs can hold."""
        found = self.decoded(decode.adapter_version, document)
        if found is not None:
            self.assertLess(found.version, 2**32)

    @settings(max_examples=EXAMPLES)
    @given(altered(REPORT))
    def test_report(self, document):
        """A start or a count from which no fencing number can be made."""

        def read(content):
            return reports.report(Fields.of(content), 0)

        found = self.decoded(read, document)
        if found is not None:
            numbers = (found.born, found.sequence)
            self.assertEqual([type(number) for number in numbers], [int, int])
            self.assertLess(sum(numbers) << 12, 2**53)

    @settings(max_examples=EXAMPLES)
    @given(altered(ITEMS))
    def test_list_of_the_store(self, document):
        """One item ends the task that follows the store."""
        try:
            fields = Fields.of(json.dumps(document).encode())
            found = store._parse_documents(fields, 'items')
            store._parse_revision(fields)
        except (Undecodable, StoreUnavailable):
            return
        for item in found:
            self.assertLessEqual(len(item.key.encode()), 1024)
            self.assertLess(item.revision, 2**53)

    @settings(max_examples=EXAMPLES)
    @given(st.binary())
    def test_bytes(self, content):
        """Bytes that are no JSON end the task that decodes them."""
        with self.assertRaises(Undecodable):
            decode.upstream('servers/x', content)


class TestStoreList(unittest.TestCase):
    """Lists of the store with an item that cannot be read."""

    def test_other_items_are_read(self):
        """One item without a usable key costs the whole list."""
        for odd in ({}, 7, {'Key': SURROGATE, 'Revision': 1}, {'Key': 'x'}):
            page = Fields({'items': [odd, *ITEMS['items']]})
            [found] = store._parse_documents(page, 'items')
            self.assertEqual(found.key, 'op/config')

    def test_item_without_usable_content_is_not_deleted(self):
        """A list without it deletes what is known under its key."""
        page = Fields({'items': [{'Key': 'x', 'Revision': 1, 'Value': 'é'}]})
        [found] = store._parse_documents(page, 'items')
        self.assertFalse(found.deleted)


class TestHeaders(unittest.TestCase):
    """Headers of answers of upstreams."""

    @settings(max_examples=EXAMPLES)
    @given(
        st.text(st.characters(max_codepoint=255))
        | st.sampled_from(('²', '9' * 400, '1e999', 'nan', '-1'))
    )
    def test_numbers_in_headers(self, text):
        """A number that is none ends the request that was answered."""
        headers = {
            'keep-alive': f'timeout={text}',
            'server-limit': text,
            'server-brittle': text,
            'retry-after': text,
        }
        head = types.SimpleNamespace(headers=headers, status=503)
        wire = PlatformWire()
        sent = SentRequest('x', Purpose.SERVE, 0)
        announced = wire.announcement(head, sent)
        for number in (
            wire.keep_alive_seconds(head) or 0,
            announced.rate_limit or 0,
            announced.rest_seconds,
            announced.bears,
        ):
            self.assertTrue(0 <= number < 10**9, number)


class TestLogLines(unittest.TestCase):
    """Lines of the log."""

    def test_text_without_an_encoding_is_escaped(self):
        """The task that logs it ends."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        LineWriter(writing).write(f'key {SURROGATE}\n')
        self.assertEqual(os.read(reading, 100), b'key \\ud800\n')


if __name__ == '__main__':
    unittest.main()
