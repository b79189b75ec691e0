"""Tests the validation poll of servers by their fingerprint, and the cache of results."""

import math

from otterrudder.fleet.cell.validation_poll import (
    MAX_CACHED_RESULTS,
    OVERDUE_MS,
    REQUEST_RETRY_MS,
    Candidate,
    ValidationCache,
    ValidationPoll,
)


def test_another_server_is_asked_after_a_timeout() -> None:
    servers = [Candidate(1, "old", "s1"), Candidate(2, "old", "s2")]
    poll = ValidationPoll("d", ValidationCache())
    assert poll.next_requests(0.0, servers) == [1] and poll.due() == REQUEST_RETRY_MS
    assert poll.next_requests(REQUEST_RETRY_MS, servers) == [2]
    assert poll.next_requests(2 * REQUEST_RETRY_MS, servers) == [1]
    assert not poll.is_overdue(OVERDUE_MS - 1, "old") and poll.is_overdue(OVERDUE_MS, "old")
    poll.handle_result("old", "s2", "")
    assert not poll.is_overdue(OVERDUE_MS, "old")


def test_rejection_names_the_server_once() -> None:
    poll = ValidationPoll("d", ValidationCache())
    servers = [Candidate(1, "old", "s1")]
    poll.handle_result("old", "s1", "values.look: no product")
    assert poll.result(servers) == "s1: values.look: no product"
    again = ValidationPoll("d", poll.cache)
    assert again.result([Candidate(2, "old", "s2")]) == "s2: values.look: no product"


def test_result_cache_is_bounded() -> None:
    cache = ValidationCache()
    for number in range(MAX_CACHED_RESULTS + 1):
        cache.put("k", str(number), "")
    assert cache.get("k", "0") is None and cache.get("k", "1") == ""


def test_each_fingerprint_is_asked_once_and_its_result_is_cached() -> None:
    cache = ValidationCache()
    servers = [Candidate(1, "old", "s1"), Candidate(2, "old", "s2"), Candidate(3, "new", "s3")]
    poll = ValidationPoll("d", cache)
    assert poll.next_requests(0.0, servers) == [1, 3] and poll.next_requests(1.0, servers) == []
    poll.handle_result("old", "s1", "")
    assert poll.result(servers) is None
    poll.handle_result("new", "s3", "")
    assert poll.result(servers) == "" and poll.due() == math.inf
    again = ValidationPoll("d", cache)
    assert again.next_requests(9.0, servers) == [] and again.result(servers) == ""


def test_no_request_is_due_for_an_answered_or_removed_fingerprint() -> None:
    poll = ValidationPoll("d", ValidationCache())
    answered, removed, asked = Candidate(1, "x", "s1"), Candidate(2, "y", "s2"), Candidate(3, "z", "s3")
    poll.next_requests(0.0, [answered, removed, asked])
    poll.handle_result("x", "s1", "")
    poll.next_requests(REQUEST_RETRY_MS, [answered, asked])
    assert poll.due() == 2 * REQUEST_RETRY_MS
