"""The announcements in the headers of the platform's upstreams."""

from __future__ import annotations

import unittest

from flamingovalve.gateway.announcements import (
    Announcement,
    Purpose,
    SentRequest,
)
from flamingovalve.generated.ids import UpstreamId
from flamingovalve.http.client import ResponseHead
from flamingovalve.platform.upstreams import PlatformWire

SENT = SentRequest(UpstreamId('engine'), Purpose.SERVE, 0, 'one')


class TestAnnouncements(unittest.TestCase):
    """Headers that are present, missing or malformed."""

    def decode(self, status=200, **headers):
        """Decode a response head to the request ``one``."""
        by_name = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        head = ResponseHead(status, {'attempt-id': 'one', **by_name})
        return PlatformWire().announcement(head, SENT)

    def test_response_that_announces_nothing(self):
        self.assertEqual(self.decode(), Announcement())

    def test_rate_limit_is_a_decimal_number(self):
        for text, rate in (('2', 2), ('0.25', 0.25), (' 3.0 ', 3)):
            limit = self.decode(server_limit=text).rate_limit
            self.assertEqual(limit, rate)

    def test_malformed_rate_limit_is_no_limit(self):
        for text in ('', '-1', 'nan', 'inf', '1e9', '1_0', '1,5', 'fast'):
            self.assertIsNone(self.decode(server_limit=text).rate_limit)

    def test_rest_is_asked_for_by_rejections_only(self):
        rested = self.decode(503, retry_after='2.5')
        self.assertEqual(rested.rest_seconds, 2.5)
        self.assertEqual(self.decode(429, retry_after='2').rest_seconds, 0)
        self.assertEqual(self.decode(503, retry_after='soon').rest_seconds, 0)

    def test_leaving(self):
        self.assertTrue(self.decode(server_leaving='1').is_leaving)
        self.assertFalse(self.decode(server_leaving='0').is_leaving)

    def test_response_to_an_earlier_request_ends_nothing(self):
        """Guards against a late response without a limit that still holds."""
        self.assertFalse(self.decode(**{'attempt-id': 'zero'}).is_success)
        self.assertTrue(self.decode().is_success)
