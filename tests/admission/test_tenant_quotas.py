"""A tenant's token bucket."""

import pytest

from otterrudder.admission.tenant_quotas import BURST_MS, MIN_BURST, QUOTA_TOLERANCE, TokenBucket

QUOTA_PER_MS = 0.01


def test_each_request_takes_a_token_and_time_brings_them_back() -> None:
    bucket = TokenBucket(MIN_BURST, 0.0)
    for _ in range(3):
        bucket.take(0.0, QUOTA_PER_MS)
    assert bucket.available(0.0, QUOTA_PER_MS) == 0.0
    assert bucket.available(100.0, QUOTA_PER_MS) == pytest.approx(100.0 * QUOTA_PER_MS * QUOTA_TOLERANCE)


def test_a_tenant_saves_up_a_burst_and_no_more() -> None:
    bucket = TokenBucket(MIN_BURST, 0.0)
    largest = BURST_MS * QUOTA_PER_MS * QUOTA_TOLERANCE
    assert bucket.available(1e9, QUOTA_PER_MS) == pytest.approx(largest)
    assert bucket.available(1e9, QUOTA_PER_MS / 1e6) == MIN_BURST


def test_a_bucket_is_never_below_empty() -> None:
    bucket = TokenBucket(0.5, 0.0)
    bucket.take(0.0, QUOTA_PER_MS)
    assert bucket.available(0.0, QUOTA_PER_MS) == 0.0
