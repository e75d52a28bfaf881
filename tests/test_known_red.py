"""Tests of the list of known failures."""

from __future__ import annotations

import unittest

from tests.rig.known_red import KnownRedPlugin, listed_tests


class _Event:
    def __init__(self, name: str, outcome: str) -> None:
        self.test = unittest.FunctionTestCase(lambda: None)
        self.test.id = lambda: name
        self.outcome = outcome
        self.expected = False


class TestKnownRed(unittest.TestCase):
    """What is passed over, and what is not."""

    def setUp(self) -> None:
        """List one test."""
        self.plugin = KnownRedPlugin()
        self.plugin.listed = frozenset(('tests.listed',))

    def outcome(self, name, outcome):
        """Return whether an outcome is expected."""
        event = _Event(name, outcome)
        self.plugin.setTestOutcome(event)
        return event.expected

    def test_other_failures_count(self):
        """Guards against a list that hides failures it does not name."""
        self.assertFalse(self.outcome('tests.other', 'failed'))
        self.assertFalse(self.outcome('tests.other', 'error'))
        self.assertTrue(self.outcome('tests.listed', 'failed'))

    def test_listed_tests_exist(self):
        """Guards against entries that outlive or misspell their test."""
        load = unittest.defaultTestLoader.loadTestsFromName
        counts = {name: load(name).countTestCases() for name in listed_tests()}
        self.assertEqual(counts, dict.fromkeys(counts, 1))
