"""Tests of the token bucket of a tenant."""

import pytest

from otterrudder.admission.tenant_quotas import BURST_MS, MIN_BURST, QUOTA_TOLERANCE, TokenBucket

QUOTA_PER_MS = 0.01


def test_requests_take_tokens_and_the_bucket_refills_over_time() -> None:
    bucket = TokenBucket(MIN_BURST, 0.0)
    for _ in range(3):
        bucket.take(0.0, QUOTA_PER_MS)
    assert bucket.available(0.0, QUOTA_PER_MS) == 0.0
    assert bucket.available(100.0, QUOTA_PER_MS) == pytest.approx(100.0 * QUOTA_PER_MS * QUOTA_TOLERANCE)


def test_a_bucket_fills_up_to_its_burst_or_the_minimum() -> None:
    bucket = TokenBucket(MIN_BURST, 0.0)
    burst = BURST_MS * QUOTA_PER_MS * QUOTA_TOLERANCE
    assert bucket.available(1e9, QUOTA_PER_MS) == pytest.approx(burst)
    assert bucket.available(1e9, QUOTA_PER_MS / 1e6) == MIN_BURST


def test_available_tokens_never_fall_below_zero() -> None:
    bucket = TokenBucket(0.5, 0.0)
    bucket.take(0.0, QUOTA_PER_MS)
    assert bucket.available(0.0, QUOTA_PER_MS) == 0.0
