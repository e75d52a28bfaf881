"""The platform's settings template renders to valid settings."""

from __future__ import annotations

import unittest

from flamingovalve.config.settings import parse_settings
from tests.rig.settings_template import render

# Fields that the platform fills in, under their documented names.
FIELDS = {
    'Node': 'entry-1',
    'Ip': '10.1.0.38',
    'Zone': 'east',
    'Listen.Front': '10.1.0.38:8149',
    'Listen.Ready': '10.1.0.38:8141',
    'Listen.Directory': '10.1.0.38:8143',
    'PortRange.0': '7380',
    'Seeds': '10.1.0.38:8144,10.2.0.40:8144',
    'Platform.Addr': '10.200.1.7:8142',
    'Bounds.LeaseMs': '3000',
    'Bounds.GraceS': '8',
    'Bounds.RetryWindowS': '10',
    'Bounds.RetryRatio': '0.2',
    'Bounds.RetrySlack': '104',
}


class TestTemplate(unittest.TestCase):
    """Settings rendered from the deployment template."""

    def test_settings_are_valid(self):
        outcome = parse_settings(render(FIELDS), 'template')
        self.assertTrue(outcome.is_ok(), outcome)
        settings = outcome.ok
        self.assertEqual(settings.gateway.lease_seconds, 3)
        self.assertEqual(settings.gateway.retry_slack, 104)
        self.assertEqual(len(settings.fleet.seeds), 2)

    def test_fields_of_bounds_that_are_not_set(self):
        """Guards against a setting without a value.

        A deployment may leave bounds unset; an empty value would be a fault
        that prevents the daemon from starting.
        """
        fields = {k: v for k, v in FIELDS.items() if 'Bounds' not in k}
        outcome = parse_settings(render(fields), 'template')
        self.assertTrue(outcome.is_ok(), outcome)
        self.assertEqual(outcome.ok.gateway.retry_slack, 0)
