"""The request core over drawn orders of events: each request has one answer, and nothing runs twice."""

import math
import random

import pytest
from core_harness import CoreBench
from helpers import SETTINGS

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.interface import Outcome
from otterrudder.net.messages import (
    CancelCall,
    DeliverReply,
    RequestCompleted,
    SendCall,
    StartRun,
)


@pytest.mark.parametrize("seed", range(12))
def test_whatever_comes_each_txn_has_one_answer_and_nothing_is_left_over(seed: int) -> None:
    """Random days: repeats, late and lost replies, links that break, callers that leave, a drain."""
    chance, bench = random.Random(seed), CoreBench(max_idempotency_entries=40)
    core, running, at_calls, out_below, gone, effects = bench.core, {}, set(), set(), set(), {}
    for n in range(1, 900):
        out = bench.arrive(
            n,
            chance.randrange(2),
            f"m{chance.randrange(60)}",
            ttl=chance.choice([300, 3000]),
            age=chance.choice([0.0, 0.0, 250.0]),
            ms=chance.expovariate(0.05),
        )
        while out:
            news = []
            for _, message in out:
                if isinstance(message, StartRun):
                    call = message.request_id
                    if message.method == "pay" and call not in running:
                        mark = bench.core.requests.by_id[call].idempotency_key
                        assert bench.now - effects.get(mark, -1e9) > 15_000  # windows are 20 s from `recv`
                        effects[mark] = bench.now
                    running[call] = message.method
                elif isinstance(message, SendCall):
                    call = message.request_id
                    assert call not in out_below  # one at a time, whatever came of the one before
                    at_calls.add(call), out_below.add(call)
                elif isinstance(message, CancelCall | DeliverReply):
                    at_calls.discard(message.request_id), out_below.discard(message.request_id)
            what = chance.randrange(14)
            if what < 6 and running:
                call = chance.choice(sorted(running))
                del running[call]
                at_calls.discard(call)
                how = chance.choice(
                    [Outcome.OK] * 5 + [Outcome.ERROR, Outcome.NEVER_STARTED, Outcome.CANCELLED]
                )
                if how is Outcome.NEVER_STARTED:  # nothing was started
                    effects.pop(core.requests.by_id[call].idempotency_key, None)
                news = bench.step(core.handle_run_ended, call, how, b"r")
            elif what == 6 and (calm := sorted(set(running) - at_calls)):
                news = bench.step(core.handle_call_needed, chance.choice(calm), b"?")
            elif what < 10 and at_calls:
                how = chance.choice(
                    [Outcome.OK, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET, Outcome.NEVER_STARTED]
                )
                out_below.discard(call := chance.choice(sorted(at_calls)))
                news = bench.step(core.handle_call_ended, call, how, b"!")
            elif what == 10:
                gone.add(chance.randrange(1, n + 1))
                news = bench.step(core.handle_disconnect, f"{max(gone):016x}")
            elif what == 11:
                bench.step(core.handle_link_lost)
                news = bench.step(core.handle_link_established, ms=chance.choice([1.0, 50.0]))
            elif what == 12:
                bench.step(core.query_gauges)
                news = bench.step(core.handle_gauges, core.delivery.last_query, [0.5, 2.0, 0.1, 5.0])
            elif what == 13:
                news = bench.step(core.tick, ms=40.0)
            out = news
        told = core.log_fields()
        assert told["in_flight"] == told["runs"]  # the module's count and the wire's agree
    bench.step(core.begin_graceful_shutdown, 1500.0)
    bench.step(lambda: None, ms=1500.0)
    assert bench.sent_of(CloseConnections) and not core.requests.unanswered_count()
    for call in [request.request_id for request in core.requests.running()]:
        bench.step(core.handle_run_ended, call, Outcome.CANCELLED, b"")
    bench.step(lambda: None, ms=60_000.0)
    assert all(len(bench.answers.get(n, [])) == 1 or n in gone for n in range(1, 900))
    assert max(map(len, bench.answers.values())) == 1
    controller = core.controller
    left = (
        core.requests.by_number,
        core.requests.by_id,
        core.idempotency.entries,
        core.idempotency.expirations,
        controller.requests,
        controller.deduplication.entries,
    )
    assert not any(left), left
    assert (controller.limiter.running, controller.limiter.in_flight, controller.queues.count) == (0, 0, 0)
    assert (
        abs(controller.memory_budget.requests_kb) < 1e-6
        and controller.downstream_calls.quota.outstanding == 0
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("window", "expiry"), [(1000.0, 3000.0), (2000.0, 6000.0), (9000.0, 3000.0)])
def test_a_window_shorter_than_a_run_a_deadline_or_a_wait_lets_nothing_run_twice(
    seed: int, window: float, expiry: float
) -> None:
    """Books of their own: who was started, and when its try was written; runs last up to twice the window."""
    pay = SETTINGS["classes"][1] | {
        "windowUs": window * 1e3,
        "hardLimitUs": expiry * 1e3,
        "promiseUs": expiry * 0.7e3,
    }
    bench = CoreBench(SETTINGS | {"classes": [SETTINGS["classes"][0], pay]}, max_idempotency_entries=30)
    chance, marks, written, ran, running = random.Random(seed), {}, {}, {}, {}
    for n in range(1, 1500):
        mark, age = f"m{chance.randrange(25)}", chance.choice([0.0, 0.0, 5.0, 0.9 * expiry])
        ms = chance.choice([0.0, 1.0, chance.expovariate(0.02), window / 7])
        if near := [ends for ends, _, _ in ran.values() if ends > bench.now]:
            ms = min(near) - bench.now + chance.choice([-1.0, 0.0, 1.0]) if chance.random() < 0.2 else ms
        ms = max(ms, 0.0)
        marks[f"{n:016x}"], written[f"{n:016x}"] = mark, bench.now + ms - age
        out = bench.arrive(n, 1, mark, age=age, ttl=expiry, ms=ms)
        while out:
            for _, message in out:
                if not isinstance(message, StartRun):
                    continue
                call = message.request_id
                mark = marks[call]
                until, _, first = ran.get(mark, (-math.inf, 0.0, ""))
                assert written[call] > until, f"{call} was written in the window of {first}, which ran"
                ran[mark] = (written[call] + window, bench.now, call)
                running[call] = bench.now + chance.uniform(0.0, 2 * window)
            over = [call for call, ends in running.items() if ends <= bench.now]
            if not over:
                break
            del running[over[0]]
            how = chance.choice([Outcome.OK] * 4 + [Outcome.ERROR, Outcome.NEVER_STARTED])
            if how is Outcome.NEVER_STARTED:  # nothing was started, so nothing ran
                del ran[marks[over[0]]]
            out = bench.step(bench.core.handle_run_ended, over[0], how, over[0].encode())
    for n, (answer, *more) in bench.answers.items():
        assert not more
        if isinstance(answer, RequestCompleted):  # nobody else's response
            assert marks[answer.body.decode()] == marks[f"{n:016x}"]
    assert len(bench.sent_of(StartRun)) > 50 and len(bench.core.idempotency.entries) <= 25
