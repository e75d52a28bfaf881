"""Completions while no VM gives out places."""

from __future__ import annotations

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fallback_placement import FallbackPlacement
from flamingovalve.gateway.model import Configuration, UpstreamService
from flamingovalve.generated.ids import AdapterId, ServiceId
from flamingovalve.generated.messages import PlaceOutcome
from tests.rig.engines import TRAITS, ask, report, upstream
from tests.rig.timeline import TimedTestCase

SERVICE = ServiceId('engines')
VMS = 8


class ReportingEngine:
    """An engine that says what it holds."""

    def __init__(self, *resident):
        """Hold ``resident``."""
        self.resident = resident
        self.asked = 0

    async def report(self):
        """Say what is held."""
        self.asked += 1
        return report(0, *self.resident)


class Request:
    """A request that was sent nowhere yet."""

    id = 'one'
    service = SERVICE

    def __init__(self, refused_by=()):
        """Note who did not run it."""
        self.tried = []
        self.refused_by = list(refused_by)


class TestUnowned(TimedTestCase):
    """Two engines, one of which holds the adapter."""

    def setUp(self):
        """List the engines."""
        super().setUp()
        self.engines = {
            'engine-0': ReportingEngine('a'),
            'engine-1': ReportingEngine('a', 'b'),
        }
        catalogue = Catalogue(lambda document: document)
        service = UpstreamService(SERVICE, TRAITS)
        catalogue.configuration = Configuration(1, {}, {SERVICE: service})
        for name in self.engines:
            catalogue._take_upstream(upstream(name))
        catalogue._versions[ask().model, AdapterId('new')] = 2
        self.places = FallbackPlacement(
            catalogue, lambda one: self.engines[one.id], lambda: VMS
        )

    def take(self, name, **changes):
        """Take a place for an adapter."""
        return curio.run(self.places.take, Request(**changes), ask(name))

    def test_engine_that_holds_the_adapter_serves_it(self):
        """All VMs have just started, and none owns the engines yet.

        Every completion waited for an owner until it was late, though most
        of the adapters were in place.
        """
        self.assertEqual(self.take('b').grant.upstream, 'engine-1')
        self.assertIsNone(self.take('elsewhere'))

    def test_places_spread_and_end(self):
        names = [self.take('a').grant.upstream for _place in range(4)]
        self.assertEqual(names.count('engine-0'), 2)
        while (lease := self.take('a')) is not None:
            last = lease
        curio.run(last.end, PlaceOutcome.FINISHED, 0.1)
        self.assertIsNotNone(self.take('a'))

    def test_engine_that_refused_is_not_tried_again(self):
        lease = self.take('a', refused_by=['engine-0'])
        self.assertEqual(lease.grant.upstream, 'engine-1')
        self.assertIsNone(self.take('b', refused_by=['engine-1']))

    def test_reports_are_not_asked_for_by_each_request(self):
        for _request in range(10):
            self.take('a')
        self.assertEqual(self.engines['engine-0'].asked, 1)

    def test_older_version_is_not_used(self):
        """A new version was announced, and an engine still has the old one."""
        self.engines['engine-0'].resident = ('new',)
        self.assertIsNone(self.take('new'))
