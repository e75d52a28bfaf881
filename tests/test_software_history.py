"""Since when a service has had one software version."""

from __future__ import annotations

import dataclasses

from flamingovalve.gateway.software_history import SoftwareHistory
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase

SERVICE = upstream('any').service


def versioned(name, software):
    """Return an upstream of a software version."""
    return dataclasses.replace(upstream(name), software=software)


class TestSoftwareHistory(TimedTestCase):
    """Upstreams that come, leave and change."""

    def setUp(self):
        """List two upstreams of one version."""
        super().setUp()
        self.history = SoftwareHistory()
        self.first = versioned('a', 'v1')
        self.second = versioned('b', 'v1')
        self.history.add(self.first)
        self.history.add(self.second)

    def test_one_version(self):
        """Guards against a time that starts again with each upstream."""
        self.advance(5)
        self.history.add(versioned('c', 'v1'))
        self.history.remove(self.first)
        sole = self.history.sole(SERVICE)
        self.assertEqual((sole.software, sole.seconds), ('v1', 5))

    def test_second_version(self):
        """Guards against a version that is forgotten with its upstreams."""
        other = versioned('c', 'v2')
        self.advance(5)
        self.history.add(other)
        self.assertIsNone(self.history.sole(SERVICE))
        self.history.remove(other)
        self.advance(1)
        self.assertEqual(self.history.sole(SERVICE).seconds, 1)

    def test_upstream_that_changes(self):
        """Guards against a new version that takes over an old one's time."""
        self.history.remove(self.second)
        self.advance(5)
        self.history.add(versioned('a', 'v2'))
        self.history.remove(self.first)
        sole = self.history.sole(SERVICE)
        self.assertEqual((sole.software, sole.seconds), ('v2', 0))

    def test_service_without_upstreams(self):
        """Guards against a version of no upstream."""
        self.assertIsNone(self.history.sole('other'))
        for one in (self.first, self.second):
            self.history.remove(one)
        self.assertIsNone(self.history.sole(SERVICE))
