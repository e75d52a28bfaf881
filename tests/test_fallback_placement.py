"""Tests of places for completions while a group has no owner."""

from __future__ import annotations

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fallback_placement import FallbackPlacement
from flamingovalve.gateway.model import Configuration, UpstreamService
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated.ids import AdapterId, ServiceId
from flamingovalve.generated.messages import PlaceEnd, PlaceOutcome
from tests.rig.engines import TRAITS, ask, report, upstream
from tests.rig.timeline import TimedTestCase

SERVICE = ServiceId('engines')
VMS = 8


class ReportingEngine:
    """An engine that reports its adapters and counts the reports."""

    status = UpstreamStatus()

    def __init__(self, *resident):
        """Hold the adapters ``resident``."""
        self.resident = resident
        self.asked = 0

    async def report(self, patience):
        """Return a report of the adapters."""
        self.asked += 1
        return report(0, *self.resident)


class Request:
    """A request without earlier attempts."""

    id = 'one'
    service = SERVICE

    def __init__(self, refused_by=()):
        """Set the upstreams that refused the request."""
        self.tried = []
        self.refused_by = list(refused_by)

    def send_patience(self):
        """Return half a second."""
        return 0.5


class TestFallbackPlacement(TimedTestCase):
    """Places on two engines without an owner."""

    def setUp(self):
        """Add two engines to the catalogue."""
        super().setUp()
        self.engines = {
            'engine-0': ReportingEngine('a'),
            'engine-1': ReportingEngine('a', 'b'),
        }
        catalogue = Catalogue(lambda document: document)
        service = UpstreamService(SERVICE, TRAITS)
        catalogue.configuration = Configuration(1, {}, {SERVICE: service})
        for name in self.engines:
            catalogue._apply_upstream(upstream(name))
        catalogue._versions[ask().model, AdapterId('new')] = 2
        self.places = FallbackPlacement(
            catalogue, lambda one: self.engines[one.id], lambda: VMS
        )

    def take(self, name, **changes):
        """Take a place for an adapter."""
        return curio.run(self.places.take, Request(**changes), ask(name))

    def test_engine_that_holds_the_adapter_serves_it(self):
        """Guards against waiting for an owner if the adapter is loaded.

        All VMs had just started and none owned the engines. Every completion
        waited until it was late, although most adapters were loaded.
        """
        self.assertEqual(self.take('b').grant.upstream, 'engine-1')
        self.assertIsNone(self.take('elsewhere'))

    def test_places_are_balanced_and_released(self):
        names = [self.take('a').grant.upstream for _place in range(4)]
        self.assertEqual(names.count('engine-0'), 2)
        while (lease := self.take('a')) is not None:
            last = lease
        curio.run(last.end, PlaceEnd(PlaceOutcome.FINISHED, 0.1))
        self.assertIsNotNone(self.take('a'))

    def test_engine_that_refused_is_not_retried(self):
        lease = self.take('a', refused_by=['engine-0'])
        self.assertEqual(lease.grant.upstream, 'engine-1')
        self.assertIsNone(self.take('b', refused_by=['engine-1']))

    def test_reports_are_cached(self):
        for _request in range(10):
            self.take('a')
        self.assertEqual(self.engines['engine-0'].asked, 1)

    def test_older_version_is_not_used(self):
        """An engine still holds the old version after an announced update."""
        self.engines['engine-0'].resident = ('new',)
        self.assertIsNone(self.take('new'))
