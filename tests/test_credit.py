"""Credit buckets and the cost of requests, without a network."""

from __future__ import annotations

import random
import unittest

from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.gateway.model import Quota, QuotaUnit
from tests.rig.timeline import TimedTestCase

RATE = 100.0
BURST = 50.0
QUOTA = Quota(RATE, BURST)
MAX_COST = 40.0


class TestCreditBucket(TimedTestCase):
    """Grants, refusals and returns of a bucket."""

    def test_burst_then_rate(self):
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        taken = sum(bucket.take(1) == 0 for _ask in range(200))
        self.assertEqual(taken, 50)
        self.advance(0.5)
        taken = sum(bucket.take(1) == 0 for _ask in range(200))
        self.assertEqual(taken, 50)

    def test_request_larger_than_the_burst_overdraws(self):
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        self.assertEqual(bucket.take(150), 0)
        self.assertAlmostEqual(bucket.take(1), 1.01)
        self.advance(1.02)
        self.assertEqual(bucket.take(1), 0)

    def test_concurrent_refusals_get_staggered_waits(self):
        """With equal waits, requests would retry and be refused together."""
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        bucket.take(60)
        waits = [bucket.take(20) for _ask in range(4)]
        self.assertEqual(
            [round(wait, 3) for wait in waits], [0.3, 0.5, 0.7, 0.9]
        )
        self.assertLessEqual(max(bucket.take(1e9) for _ask in range(3)), 5)

    def test_large_request_does_not_hold_small_ones_back(self):
        """A large request that overdrew the bucket would block small ones."""
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        bucket.take(30)
        self.assertGreater(bucket.take(40), 0)
        self.assertEqual(sum(bucket.take(1) == 0 for _ask in range(30)), 20)

    def test_unused_credit_is_given_back(self):
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        bucket.take(60)
        bucket.give_back(60)
        self.assertEqual(bucket.take(50), 0)

    def test_credit_given_back_does_not_exceed_the_burst(self):
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        bucket.take(1)
        bucket.give_back(1000)
        self.assertLessEqual(bucket.balance, BURST)

    def test_lowered_quota_applies_at_once(self):
        bucket = CreditBucket(QUOTA, self.current_time - 10)
        bucket.take(1)
        bucket.update_quota(Quota(1.0, 2.0))
        taken = sum(bucket.take(1) == 0 for _ask in range(100))
        self.assertEqual(taken, 2)

    def test_no_window_exceeds_the_quota(self):
        """Random sizes and times, with the credit of some requests returned."""
        for seed in range(40):
            rng = random.Random(seed)
            bucket = CreditBucket(QUOTA, self.current_time)
            served = []
            for _step in range(400):
                self.advance(rng.choice((0, 0.001, 0.05, 2)))
                size = rng.uniform(1, MAX_COST)
                if bucket.take(size) == 0:
                    if rng.random() < 0.2:
                        bucket.give_back(size)
                    else:
                        served.append((self.current_time, size))
            self.assertLessEqual(worst_excess(served), 1e-6, seed)

    def test_partitions_together_keep_within_the_quota(self):
        buckets = [
            (CreditBucket(QUOTA, self.current_time), share)
            for share in (0.35, 0.65)
        ]
        served = []
        for _step in range(2000):
            self.advance(0.01)
            for bucket, share in buckets:
                if bucket.take(5, share) == 0:
                    served.append((self.current_time, 5))
        self.assertLessEqual(worst_excess(served), BURST + 1e-6)

    def test_share_of_zero_accrues_nothing(self):
        bucket = CreditBucket(QUOTA, self.current_time)
        bucket.take(1, 0)
        self.advance(100)
        self.assertGreater(bucket.take(1, 0), 0)


class TestQuota(unittest.TestCase):
    """Cost of a request in each unit."""

    def test_tokens(self):
        quota = Quota(1, 1, QuotaUnit.TOKENS, 200)
        self.assertEqual(quota.cost_of(1540), 1540)
        self.assertEqual(quota.cost_of(0), 0)
        self.assertEqual(quota.cost_of(None), 200)

    def test_requests(self):
        self.assertEqual(QUOTA.cost_of(1540), 1)
        self.assertEqual(QUOTA.cost_of(None), 1)


def worst_excess(served):
    """Return the largest excess of any window over its allowance."""
    max_excess = level = 0.0
    previous = served[0][0] if served else 0.0
    for taken_at, size in served:
        level = max(level - (taken_at - previous) * RATE, 0) + size
        previous = taken_at
        max_excess = max(max_excess, level - BURST)
    return max_excess


if __name__ == '__main__':
    unittest.main()
