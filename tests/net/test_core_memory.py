"""What the request core keeps of a request after its answer, however wild the figures of the request."""

import gc

import pytest
from core_harness import CoreHarness, make_request_fields

from otterrudder.admission.interface import Outcome
from otterrudder.admission.requests import IdempotencyRecord, Request
from otterrudder.net.idempotency import IdempotencyEntry
from otterrudder.net.messages import RequestRejected
from otterrudder.net.requests import PendingRequest

REQUESTS = 2000
ARRIVAL_INTERVAL_MS = 20.0
MAX_KEPT = 100  # objects of a kind besides those of open requests: those of the last two tick periods
DAY_MS = 86_400e3
KEYED = 1  # index of the class with idempotency keys


def kept_objects() -> dict[str, int]:
    """Returns the number of live objects by type."""
    gc.collect()
    objects = gc.get_objects()
    kinds = (Request, PendingRequest, IdempotencyEntry)
    return {kind.__name__: sum(isinstance(found, kind) for found in objects) for kind in kinds}


@pytest.mark.parametrize("ttl", [400.0, 9000.0, DAY_MS])
@pytest.mark.parametrize("class_index", [0, KEYED])
def test_nothing_is_kept_of_rejected_requests(class_index: int, ttl: float) -> None:
    # review/3: the timer of each deadline kept its request until it was due, up to a day after the answer.
    # Of a request with a key, the expiry of the evicted key was kept too, in the controller and in the core.
    bench = CoreHarness()
    before = kept_objects()
    for number in range(1, REQUESTS + 1):
        fields = make_request_fields(f"{number:016x}", bench.now + 1e12, ttl, f"m{number}")
        bench.step(
            bench.core.handle_arrival, "connection", number, class_index, fields, ms=ARRIVAL_INTERVAL_MS
        )
        if number % 2 == 0:
            bench.step(bench.core.tick)
    rejected = [answer for (answer,) in bench.answers.values() if isinstance(answer, RequestRejected)]
    assert len(rejected) > REQUESTS / 2
    after = kept_objects()
    max_kept = len(bench.core.requests) + MAX_KEPT
    assert {kind: after[kind] - before[kind] for kind in after if after[kind] - before[kind] > max_kept} == {}
    assert len(bench.core.controller.context.timers) <= 4 * max_kept  # two for each open one, half cancelled
    assert len(bench.core.idempotency.expirations) <= 2 * max_kept


def count_records() -> int:
    """Returns the number of live requests and records of keys, without a collection."""
    return sum(isinstance(found, Request | IdempotencyRecord) for found in gc.get_objects())


def test_expired_key_leaves_no_reference_cycle() -> None:
    # Cycles wait for the garbage collector, so memory would grow between its runs.
    gc.collect()
    before = count_records()
    bench = CoreHarness()
    for number in range(1, 100):
        bench.arrive(number, KEYED, f"m{number}")
        bench.step(bench.core.handle_run_ended, f"{number:016x}", Outcome.OK, b"r")
    gc.collect()
    gc.disable()
    try:
        bench.step(lambda: None, ms=60_000.0)
        for _ in range(2):
            bench.step(bench.core.tick, ms=40.0)
        kept = count_records() - before
    finally:
        gc.enable()
    assert kept == 0
