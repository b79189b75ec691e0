"""The request core with several events in one batch, as the event loop hands them over."""

import pytest
from core_harness import CoreHarness, make_request_fields

from otterrudder.admission.interface import Outcome
from otterrudder.net.messages import RequestCompleted, RequestFailed, RequestRejected, StartRun

PAY = 1  # index of the class with idempotency keys


def arrive(bench: CoreHarness, number: int, key: str = "", ttl_ms: float = 9000.0) -> None:
    """Handles an arrival without ending the batch."""
    fields = make_request_fields(f"{number:016x}", bench.now + 1e12, ttl_ms, key)
    bench.core.handle_arrival("connection", number, PAY if key else 0, fields)


def fill_cores(bench: CoreHarness) -> None:
    """Starts runs until a request is queued."""
    while len(bench.sent_messages(StartRun)) == len(bench.core.requests):
        bench.arrive(900 + len(bench.core.requests))


def finish_runs(bench: CoreHarness) -> list[int]:
    """Finishes runs until none is left. Returns the numbers of all requests that were started."""
    while running := bench.core.requests.running():
        bench.step(bench.core.handle_run_ended, running[0].request_id, Outcome.OK, b"r")
    return [int(message.request_id, 16) for message in bench.sent_messages(StartRun)]


def end_by_disconnect(bench: CoreHarness) -> None:
    bench.core.handle_disconnect("connection", f"{1:016x}")


def end_by_timer(bench: CoreHarness) -> None:
    bench.core.advance_to(bench.now + 1e12, bench.now)  # the deadline of the first attempt is over


@pytest.mark.parametrize("end_first_attempt", [end_by_disconnect, end_by_timer])
def test_retry_in_the_batch_that_replaces_its_first_attempt_does_not_run_beside_the_successor(
    end_first_attempt,
) -> None:
    # review/1: the retry named the attempt that had just been replaced, and ran beside its successor.
    bench = CoreHarness()
    fill_cores(bench)
    bench.arrive(1, PAY, "m", ttl=400.0)
    bench.arrive(2, PAY, "m")
    bench.wait(500.0)
    end_first_attempt(bench)
    arrive(bench, 3, "m")
    bench.step(lambda: None)
    started = finish_runs(bench)
    assert 2 in started and 3 not in started and 1 not in started
    assert [type(answer) for answer in bench.answers[2] + bench.answers[3]] == [RequestCompleted] * 2


def test_retries_in_the_batch_that_rejects_their_first_attempt_share_a_run() -> None:
    # Both retries named the rejected attempt, and both ran.
    bench = CoreHarness()
    arrive(bench, 1, "m", ttl_ms=0.0)
    arrive(bench, 2, "m")
    arrive(bench, 3, "m")
    bench.step(lambda: None)
    assert [type(answer) for answer in bench.answers[1]] == [RequestRejected]
    assert finish_runs(bench) == [2]
    assert bench.answers[2] + bench.answers[3] == [RequestCompleted(n, b"r", bench.load) for n in (2, 3)]


def queue_first_attempt(bench: CoreHarness) -> None:
    """Queues attempt 1 with the key `m`, with time until the end of the runs."""
    fill_cores(bench)
    bench.arrive(1, PAY, "m")
    assert bench.core.controller.queued_count > 0 and len(bench.core.idempotency) == 1


def assert_retry_runs(bench: CoreHarness, number: int) -> None:
    """Checks that nothing is kept of the key `m`, and that a retry on the idle server runs."""
    assert not len(bench.core.idempotency)
    finish_runs(bench)
    bench.step(bench.core.tick, ms=300.0)
    bench.arrive(number, PAY, "m")
    assert finish_runs(bench)[-1] == number
    assert bench.answers[number] == [RequestCompleted(number, b"r", bench.load)]


def test_key_of_an_attempt_that_left_before_it_ran_is_evicted() -> None:
    # The command to evict the key came after the attempt had left the table of requests, and was skipped.
    bench = CoreHarness()
    queue_first_attempt(bench)
    bench.step(bench.core.handle_disconnect, "connection", f"{1:016x}")
    assert_retry_runs(bench, 2)


def test_key_of_an_attempt_that_was_rejected_in_the_queue_is_evicted() -> None:
    bench = CoreHarness()
    fill_cores(bench)
    bench.arrive(1, PAY, "m", ttl=400.0)
    assert len(bench.core.idempotency) == 1
    bench.step(lambda: None, ms=500.0)
    assert [type(answer) for answer in bench.answers[1]] == [RequestRejected]
    assert_retry_runs(bench, 2)


def test_key_is_evicted_if_attempt_and_successor_leave_in_one_batch() -> None:
    bench = CoreHarness()
    queue_first_attempt(bench)
    bench.arrive(2, PAY, "m")
    bench.core.handle_disconnect("connection", f"{1:016x}")
    bench.step(bench.core.handle_disconnect, "connection", f"{2:016x}")
    assert_retry_runs(bench, 3)


def test_id_is_free_again_in_the_batch_in_which_its_request_ended() -> None:
    bench = CoreHarness()
    queue_first_attempt(bench)
    bench.core.handle_disconnect("connection", f"{1:016x}")
    arrive(bench, 1, "other")
    bench.step(lambda: None)
    finish_runs(bench)
    assert bench.answers[1] == [RequestCompleted(1, b"r", bench.load)]
    assert not bench.core.requests


def test_attempt_that_waits_for_a_run_that_never_starts_fails_at_once() -> None:
    # Attempt 1 is started in the batch in which its caller leaves, after attempt 2 was told to wait for it.
    bench = CoreHarness()
    queue_first_attempt(bench)
    bench.arrive(2, PAY, "m")
    for running in bench.core.requests.running():
        bench.core.handle_run_ended(running.request_id, Outcome.OK, b"r")
    bench.step(bench.core.handle_disconnect, "connection", f"{1:016x}")
    assert [type(answer) for answer in bench.answers[2]] == [RequestFailed]
    assert_retry_runs(bench, 3)


def test_key_of_an_attempt_that_proves_never_started_after_its_answer_is_evicted() -> None:
    # The start was lost with the link, and the attempt was answered before the next link. The retry waited
    # for an attempt that had ended.
    bench = CoreHarness()
    bench.step(bench.core.handle_link_lost)
    bench.arrive(1, PAY, "m", ttl=400.0)
    bench.step(lambda: None, ms=500.0)
    assert [type(answer) for answer in bench.answers[1]] == [RequestFailed]
    bench.core.handle_link_established()
    arrive(bench, 2, "m")
    bench.step(lambda: None)
    assert bench.core.controller.deduplication.entry_count == 1  # that of the retry
    assert finish_runs(bench) == [2]
    assert bench.answers[2] == [RequestCompleted(2, b"r", bench.load)]


def test_many_waiting_attempts_are_all_answered_if_none_may_run() -> None:
    # Each rejected successor was replaced within the call that rejected it, until the stack was full.
    bench = CoreHarness()
    queue_first_attempt(bench)
    numbers = range(2, 500)
    for number in numbers:
        bench.arrive(number, PAY, "m")
    bench.core.set_suspended(True)
    bench.step(bench.core.handle_disconnect, "connection", f"{1:016x}")
    assert [type(bench.answers[number][0]) for number in numbers] == [RequestRejected] * len(numbers)
    assert not len(bench.core.idempotency)


def test_waiting_attempt_is_not_kept_after_its_answer() -> None:
    bench = CoreHarness()
    queue_first_attempt(bench)
    record = next(iter(bench.core.controller.deduplication.records.values()))
    for number in range(2, 50):
        bench.arrive(number, PAY, "m", ttl=20.0)
        bench.step(lambda: None, ms=21.0)
        assert number in bench.answers
    assert not record.followers
