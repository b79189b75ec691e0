"""The request core over drawn orders of events: each request has one answer, and nothing runs twice."""

import math
import random

import pytest
from core_harness import CoreHarness
from helpers import SETTINGS

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.interface import Outcome
from otterrudder.net.core import RequestCore
from otterrudder.net.messages import (
    CancelCall,
    DeliverReply,
    Outgoing,
    RequestCompleted,
    SendCall,
    StartRun,
)

REQUESTS = 900
KEYS = 60
MIN_APART_MS = (
    15_000.0  # between two runs with one key: retention is 20 s from `recv`, less the time to arrive
)
GAUGES = [0.5, 2.0, 0.1, 5.0]
RUN_OUTCOMES = [Outcome.OK] * 5 + [Outcome.ERROR, Outcome.NEVER_STARTED, Outcome.CANCELLED]
CALL_OUTCOMES = [Outcome.OK, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET, Outcome.NEVER_STARTED]


class RandomEvents:
    """Retries, late and lost replies, links that break, callers that disconnect, in a drawn order."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.bench = CoreHarness(max_idempotency_entries=40)
        self.core = self.bench.core
        self.running: dict[str, str] = {}  # methods by request id
        self.at_calls: set[str] = set()  # requests whose run waits at a call
        self.calls_out: set[str] = set()
        self.disconnected: set[int] = set()
        self.last_effects: dict[str, float] = {}  # when a key's effect last happened

    def arrive(self, number: int) -> list[Outgoing]:
        class_index = self.chance.randrange(2)
        key = f"m{self.chance.randrange(KEYS)}"
        ttl = self.chance.choice([300, 3000])
        age = self.chance.choice([0.0, 0.0, 250.0])
        self.bench.wait(self.chance.expovariate(0.05))
        return self.bench.arrive(number, class_index, key, age=age, ttl=ttl)

    def receive(self, out: list[Outgoing]) -> None:
        """What the runtime and the records service are told."""
        for _, message in out:
            if isinstance(message, StartRun):
                self._start(message)
            elif isinstance(message, SendCall):
                call = message.request_id
                assert call not in self.calls_out  # one at a time, whatever came of the one before
                self.at_calls.add(call)
                self.calls_out.add(call)
            elif isinstance(message, CancelCall | DeliverReply):
                self.at_calls.discard(message.request_id)
                self.calls_out.discard(message.request_id)

    def next_event(self, number: int) -> list[Outgoing]:
        """What the core sends after it; `number`: the last request that arrived."""
        event = self.chance.randrange(14)
        if event < 6 and self.running:
            return self._end_run()
        if event == 6 and (busy := sorted(set(self.running) - self.at_calls)):
            return self.bench.step(self.core.handle_call_needed, self.chance.choice(busy), b"?")
        if event < 10 and self.at_calls:
            return self._end_call()
        if event == 10:
            self.disconnected.add(self.chance.randrange(1, number + 1))
            return self.bench.step(self.core.handle_disconnect, f"{max(self.disconnected):016x}")
        if event == 11:
            self.bench.step(self.core.handle_link_lost)
            return self.bench.step(self.core.handle_link_established, ms=self.chance.choice([1.0, 50.0]))
        return self._gauges_or_tick(event)

    def _gauges_or_tick(self, event: int) -> list[Outgoing]:
        if event == 12:
            self.bench.step(self.core.query_gauges)
            return self.bench.step(self.core.handle_gauges, self.core.delivery.last_query, GAUGES)
        if event == 13:
            return self.bench.step(self.core.tick, ms=40.0)
        return []

    def _start(self, message: StartRun) -> None:
        call = message.request_id
        if message.method == "pay" and call not in self.running:
            key = self._key_of(call)
            assert self.bench.now - self.last_effects.get(key, -1e9) > MIN_APART_MS
            self.last_effects[key] = self.bench.now
        self.running[call] = message.method

    def _end_run(self) -> list[Outgoing]:
        call = self.chance.choice(sorted(self.running))
        del self.running[call]
        self.at_calls.discard(call)
        outcome = self.chance.choice(RUN_OUTCOMES)
        if outcome is Outcome.NEVER_STARTED:  # nothing was started
            self.last_effects.pop(self._key_of(call), None)
        return self.bench.step(self.core.handle_run_ended, call, outcome, b"r")

    def _end_call(self) -> list[Outgoing]:
        outcome = self.chance.choice(CALL_OUTCOMES)
        call = self.chance.choice(sorted(self.at_calls))
        self.calls_out.discard(call)
        return self.bench.step(self.core.handle_call_ended, call, outcome, b"!")

    def _key_of(self, call: str) -> str:
        return self.core.requests.by_id[call].idempotency_key

    def drain(self) -> None:
        """A graceful shutdown, until all is over."""
        self.bench.step(self.core.begin_graceful_shutdown, 1500.0)
        self.bench.step(lambda: None, ms=1500.0)
        assert self.bench.sent_messages(CloseConnections) and not self.core.requests.unanswered_count()
        for call in [request.request_id for request in self.core.requests.running()]:
            self.bench.step(self.core.handle_run_ended, call, Outcome.CANCELLED, b"")
        self.bench.step(lambda: None, ms=60_000.0)


@pytest.mark.parametrize("seed", range(12))
def test_whatever_comes_each_request_has_one_answer_and_nothing_is_left_over(seed: int) -> None:
    events = RandomEvents(seed)
    bench = events.bench
    for number in range(1, REQUESTS):
        out = events.arrive(number)
        while out:
            events.receive(out)
            out = events.next_event(number)
        fields = bench.core.log_fields()
        assert fields["in_flight"] == fields["runs"]  # the controller's count and the wire's agree
    events.drain()
    assert all(len(bench.answers.get(n, [])) == 1 or n in events.disconnected for n in range(1, REQUESTS))
    assert max(map(len, bench.answers.values())) == 1
    assert_nothing_left(bench.core)


def assert_nothing_left(core: RequestCore) -> None:
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
    assert abs(controller.memory_budget.requests_kb) < 1e-6
    assert controller.downstream_calls.quota.outstanding == 0


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("window", "expiry"), [(1000.0, 3000.0), (2000.0, 6000.0), (9000.0, 3000.0)])
def test_a_retention_shorter_than_a_run_a_deadline_or_a_wait_lets_nothing_run_twice(
    seed: int, window: float, expiry: float
) -> None:
    """Books of their own: who was started, and when its try was written; runs last up to twice the window."""
    pay = SETTINGS["classes"][1] | {
        "windowUs": window * 1e3,
        "hardLimitUs": expiry * 1e3,
        "promiseUs": expiry * 0.7e3,
    }
    bench = CoreHarness(SETTINGS | {"classes": [SETTINGS["classes"][0], pay]}, max_idempotency_entries=30)
    chance, marks, written, ran, running = random.Random(seed), {}, {}, {}, {}
    for n in range(1, 1500):
        mark, age = f"m{chance.randrange(25)}", chance.choice([0.0, 0.0, 5.0, 0.9 * expiry])
        ms = chance.choice([0.0, 1.0, chance.expovariate(0.02), window / 7])
        if near := [ends for ends, _, _ in ran.values() if ends > bench.now]:
            ms = min(near) - bench.now + chance.choice([-1.0, 0.0, 1.0]) if chance.random() < 0.2 else ms
        ms = max(ms, 0.0)
        marks[f"{n:016x}"], written[f"{n:016x}"] = mark, bench.now + ms - age
        bench.wait(ms)
        out = bench.arrive(n, 1, mark, age=age, ttl=expiry)
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
    assert len(bench.sent_messages(StartRun)) > 50 and len(bench.core.idempotency.entries) <= 25
