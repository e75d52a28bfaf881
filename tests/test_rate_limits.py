"""What one VM believes of the rate limit of an upstream."""

from __future__ import annotations

from flamingovalve.gateway.announcements import (
    Announcement,
    Purpose,
    SentRequest,
)
from flamingovalve.gateway.rate_limits import NO_LIMIT, RateLimit
from flamingovalve.gateway.upstream_status import UpstreamStatuses
from flamingovalve.generated.ids import UpstreamId
from tests.rig.timeline import TimedTestCase

ENGINE = UpstreamId('engine')


class TestRateLimit(TimedTestCase):
    """Responses and rumours in any order."""

    def setUp(self):
        """Start without a limit."""
        super().setUp()
        self.limit = RateLimit()

    def tell(self, rate, purpose=Purpose.SERVE, sent_ago=0.1, **changes):
        """Record a response to a request that was sent ``sent_ago``."""
        sent = SentRequest(ENGINE, purpose, self.current_time - sent_ago)
        self.limit.record(sent, Announcement(rate, **changes))

    def test_limit_ends_with_a_response_that_names_none(self):
        self.tell(2)
        self.advance(1)
        self.tell(None)
        self.assertEqual(self.limit.rate(), NO_LIMIT)

    def test_response_to_an_earlier_request_does_not_end_it(self):
        """Guards against an older response that arrives last."""
        self.tell(2)
        self.tell(None, sent_ago=0.5)
        self.assertEqual(self.limit.rate(), 2)

    def test_report_without_a_limit_does_not_end_it(self):
        """Guards against upstreams that name it to requests only."""
        self.tell(2)
        self.advance(1)
        self.tell(None, Purpose.REPORT)
        self.assertEqual(self.limit.rate(), 2)

    def test_failure_without_a_limit_does_not_end_it(self):
        self.tell(2)
        self.advance(1)
        self.tell(None, is_success=False)
        self.assertEqual(self.limit.rate(), 2)

    def test_limit_of_zero_leaves_a_request_that_finds_its_end(self):
        """Guards against an upstream that is never asked again."""
        self.tell(0)
        self.assertGreater(self.limit.rate(), 0)

    def test_rumour_lapses(self):
        self.limit.record_rumour(2)
        self.assertEqual(self.limit.rate(), 2)
        self.advance(11)
        self.assertEqual(self.limit.rate(), NO_LIMIT)

    def test_rumour_of_a_limit_that_ended_is_ignored(self):
        self.tell(2)
        self.advance(1)
        self.tell(None)
        self.limit.record_rumour(2)
        self.assertEqual(self.limit.rate(), NO_LIMIT)

    def test_limit_that_varies_a_little_is_no_news(self):
        """Guards against rumours with each response of such an upstream."""
        statuses = UpstreamStatuses()
        sent = SentRequest(ENGINE, Purpose.SERVE, self.current_time)
        news = [
            statuses.record(sent, Announcement(rate))
            for rate in (2, 2.1, 1.9, 2.2, 4)
        ]
        self.assertEqual(news, [True, False, False, False, True])

    def test_rumours_do_not_replace_each_other_for_ever(self):
        """Guards against two rumours that each VM passes on in turn."""
        statuses = UpstreamStatuses()
        news = [
            statuses.record_rumour(ENGINE, rate) for rate in (2, 1, 2, 1, 2, 1)
        ]
        self.assertEqual(news, [True, True, False, False, False, False])
