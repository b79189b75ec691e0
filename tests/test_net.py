"""Codecs and the core, without a socket."""

import base64
import json
import math
import random
from unittest.mock import Mock

import pytest
from helpers import SETTINGS

from otterrudder.admission.commands import CloseConnections, ScheduleTick
from otterrudder.admission.factory import create_controller, gauge_names, request_classes_of
from otterrudder.admission.interface import Outcome
from otterrudder.net import jsonrpc, lines, records_codec, runtime_codec
from otterrudder.net.buffer import Buffer, ProtocolError
from otterrudder.net.core import RequestCore
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.messages import (
    CancelCall,
    DeliverReply,
    Destination,
    HealthStatus,
    Message,
    Outgoing,
    RequestCompleted,
    RequestFailed,
    RequestRejected,
    SendCall,
    StartRun,
)
from otterrudder.net.requests import RequestFields


def fed(pieces: list[bytes], read, room: int = 4096) -> list:
    buffer, got = Buffer(room), []
    for piece in pieces:
        buffer.put(piece)
        got += read(buffer)
    assert buffer.start == buffer.end
    return got


GATEWAY = b'{"jsonrpc":"2.0","id":7,"method":"look","params":{"call":"00000000000000aa"}}\n{"x"}\n\r\n[1]\n'
RUNTIME = (
    b"ready hot 3600000.5\r\nend 1 9b1f03aa5c7e2d41 complete 12 8\r\nre\r\nsult\r\n"
    b"info 2 all is well\r\nwants 3 9b1f03aa5c7e2d41 0\r\n\r\n"
    b"end 4 9b1f03aa5c7e2d41 cancelled 3 0\r\n\r\nload t 0.5 3 0.1 9\r\n"
)
RECORDS = b"9b1f03aa5c7e2d41 DONE 5\r\nDONE \r\n9b1f03aa5c7e2d41 WAIT\r\n"
READERS = {
    GATEWAY: lambda b: [m if isinstance(m, tuple) else m.code for m in jsonrpc.read_messages(b)],
    RUNTIME: lambda b: list(lines.read_messages(b, runtime_codec.has_body)),
    RECORDS: lambda b: list(lines.read_messages(b, records_codec.has_body)),
}  # fmt: skip


@pytest.mark.parametrize("data", READERS, ids=["gateway", "runtime", "records"])
def test_every_split_of_a_stream_gives_the_same_messages(data: bytes) -> None:
    whole = fed([data], READERS[data])
    assert len(whole) == {GATEWAY: 3, RUNTIME: 6, RECORDS: 2}[data]
    for at in range(len(data)):
        assert fed([data[:at], data[at:]], READERS[data]) == whole, at
    assert fed([data[n : n + 1] for n in range(len(data))], READERS[data]) == whole


def test_a_buffer_begins_small_and_grows_to_its_room_and_no_further() -> None:
    line = b'{"jsonrpc":"2.0","id":7,"method":"look","params":{"x":"%s"}}\n' % (b"y" * 9000)
    assert fed([line[:5000], line[5000:]], READERS[GATEWAY], 16384)[0][2] == {"x": "y" * 9000}
    buffer = Buffer(16384)
    assert len(buffer.data) == 4096
    with pytest.raises(ProtocolError):
        buffer.put(b"z" * 20000)
    assert len(buffer.data) == 16384


def test_messages_are_what_was_said() -> None:
    assert fed([GATEWAY], READERS[GATEWAY])[0] == (7, "look", {"call": "00000000000000aa"})
    said = fed([RUNTIME], READERS[RUNTIME])
    assert said[1] == (["end", "1", "9b1f03aa5c7e2d41", "complete", "12", "8"], b"re\r\nsult")
    assert said[3] == (["wants", "3", "9b1f03aa5c7e2d41", "0"], b"")
    assert fed([RECORDS], READERS[RECORDS])[0] == (["9b1f03aa5c7e2d41", "DONE", "5"], b"DONE ")


@pytest.mark.parametrize(
    "data",
    [
        b"end 1 a complete 1 3\r\nabcdef",
        b"end 1 a complete 1 99999999\r\n",
        b"end 1 a complete 1 -4\r\n",
        b"\xff\r\n",
        b"x" * 600,
        b"x" * 600 + b"\r\n",
    ],
)
def test_lines_that_can_not_be_followed_break_the_link(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        fed([data], READERS[RUNTIME])


def test_answers_are_json_with_their_bodies_unchanged() -> None:
    body = bytes(range(256))
    told = [
        json.loads(b"".join(parts))
        for parts in (
            jsonrpc.encode(RequestCompleted(1, body, 0.25)),
            jsonrpc.encode(RequestCompleted(2, b"", None)),
            jsonrpc.encode(RequestRejected(3, True, 12.1, 3.0)),
            jsonrpc.encode(RequestRejected(4, False, 0.0, None)),
            jsonrpc.encode(RequestRejected(5, False, 0.0, 0.0)),
            jsonrpc.encode_error(None, jsonrpc.PARSE_ERROR, 'a "why"'),
            jsonrpc.encode(HealthStatus(6, True, 1.5)),
            jsonrpc.GOAWAY,
        )
    ]
    assert base64.b64decode(told[0]["result"]["blob"]) == body and told[0]["result"]["load"] == 0.25
    assert told[1]["result"] == {"blob": ""}
    assert [t["error"].get("data") for t in told[2:5]] == [
        {"stop": 1, "pushback": 13, "load": 3.0}, {}, {"load": 0.0}]  # fmt: skip
    assert told[5]["id"] is None and told[5]["error"]["message"] == 'a "why"'
    assert told[6]["result"] == {"pass": True, "load": 1.5} and told[7]["method"] == "noMore"


def fields_of(
    request_id: str,
    received_at: float,
    ttl_ms: float | None = 9000.0,
    idempotency_key: str = "",
) -> RequestFields:
    return RequestFields(
        request_id=request_id,
        received_at=received_at,
        ttl_ms=ttl_ms,
        size_kb=20.0,
        tenant_index=0,
        session_key=0,
        is_retry=False,
        idempotency_key=idempotency_key,
        body=b"b",
    )


class Bench:
    """A core with the messages it sent; answers are counted by their request."""

    def __init__(self, settings: dict = SETTINGS, **told: object) -> None:
        self.core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, settings, **told),
            request_classes_of(settings),
            gauge_names(settings),
        )
        self.now = 1000.0
        self.answers: dict[int, list[Message]] = {}
        self.sent: list[Message] = []
        self.step(self.core.handle_runtime_ready, True, 1.0)
        self.step(self.core.handle_link_established)

    def step(self, act, *args: object, ms: float = 0.0) -> list[Outgoing]:
        self.now += ms
        self.core.advance_to(self.now + 1e12, self.now)
        act(*args)
        out = self.core.take_messages()
        for destination, message in out:
            if destination == "connection":
                self.answers.setdefault(message.rpc_id, []).append(message)
        self.sent += [message for _, message in out]
        return out

    def arrive(
        self,
        rpc: int,
        product: int = 0,
        mark: str = "",
        age: float = 0.0,
        ttl: float | None = 9000.0,
        ms: float = 0.0,
    ) -> list[Outgoing]:
        fields = fields_of(f"{rpc:016x}", self.now + ms + 1e12 - age, ttl, mark)
        return self.step(self.core.handle_arrival, "connection", rpc, product, fields, ms=ms)

    def sent_of(self, kind: type) -> list:
        return [message for message in self.sent if isinstance(message, kind)]

    @property
    def load(self) -> float | None:
        return self.core.requests.advertised_load


def test_two_tries_in_one_batch_are_linked() -> None:
    bench = Bench()
    for rpc in (1, 2):
        bench.core.handle_arrival(
            "connection", rpc, 1, fields_of(f"{rpc:016x}", bench.now + 1e12, idempotency_key="m")
        )
    bench.step(lambda: None)
    assert len(bench.sent_of(StartRun)) == 1
    bench.step(bench.core.handle_run_ended, f"{1:016x}", Outcome.OK, b"r")
    assert bench.answers == {n: [RequestCompleted(n, b"r", bench.load)] for n in (1, 2)}
    assert all(isinstance(answer, RequestCompleted) for (answer,) in bench.answers.values())


@pytest.mark.parametrize("age", [0.0, 10_000.0])
def test_a_reference_outlives_its_window_by_what_may_still_be_unread(age: float) -> None:
    bench = Bench()
    bench.arrive(1, 1, "m", age=age, ttl=16_000.0)
    bench.step(bench.core.handle_run_ended, f"{1:016x}", Outcome.OK, b"r", ms=100.0)
    # Written just within the window (20 s from the first `recv`), read seconds later: never run.
    bench.arrive(2, 1, "m", age=5000.0, ttl=8000.0, ms=24_800.0 - age)
    assert bench.answers[2] == [RequestCompleted(2, b"r", bench.load)] and len(bench.sent_of(StartRun)) == 1
    bench.step(lambda: None, ms=40_000.0)
    assert not bench.core.idempotency.entries and not bench.core.idempotency.expirations
    bench.arrive(3, 1, "m")
    assert len(bench.sent_of(StartRun)) == 2


@pytest.mark.parametrize("product", [0, 1])
def test_a_txn_taken_back_in_its_batch_leaves_no_slot_taken(product: int) -> None:
    # Hundreds of them once filled the module's count of what is in hand for good.
    bench = Bench()
    bench.core.handle_arrival("connection", 1, product, fields_of("c", bench.now + 1e12, idempotency_key="m"))
    bench.step(bench.core.handle_disconnect, "c")
    limiter = bench.core.controller.limiter
    assert (limiter.in_flight, limiter.running, bench.core.controller.memory_budget.requests_kb) == (
        0,
        0,
        0.0,
    )
    assert not bench.core.requests and not bench.core.controller.requests and not bench.sent_of(StartRun)


def test_none_left_is_not_unknown() -> None:
    bench = Bench()
    bench.arrive(1, age=300.0, ttl=300.0)
    bench.arrive(2, age=300.0, ttl=0.0)
    assert [type(bench.answers[n][0]) for n in (1, 2)] == [RequestRejected] * 2 and not bench.sent_of(
        StartRun
    )
    bench.arrive(3, age=300.0, ttl=None)
    assert len(bench.sent_of(StartRun)) == 1


def test_gauges_that_are_no_numbers_are_missing() -> None:
    bench = Bench()
    bench.step(bench.core.query_gauges)
    bench.step(
        bench.core.handle_gauges, bench.core.delivery.last_query, [float("nan"), float("inf"), 0.0, 0.0]
    )
    limit = bench.core.controller.limiter.limit
    bench.step(bench.core.tick, ms=40.0)
    assert bench.core.controller.limiter.busy_share == 1.0 and bench.core.controller.limiter.limit == limit


def test_a_ring_that_fails_is_not_the_last() -> None:
    bench = Bench()
    dispatcher = Dispatcher(bench.core)
    dispatcher.recipients |= {Destination.GATEWAYS: Mock(), Destination.RUNTIME: Mock()}
    dispatcher.send(ScheduleTick(40.0))
    dispatcher.tick_at = dispatcher.gauge_query_at = 0.0
    bench.core.controller.queues = None  # the module is broken: whatever it is asked fails
    dispatcher.run_batch()
    assert 0.0 < dispatcher.tick_at < float("inf")


def test_a_runtime_that_came_anew_has_lost_its_runs() -> None:
    bench = Bench()
    bench.arrive(1), bench.arrive(2, 1, "m")
    bench.step(bench.core.handle_link_lost)
    bench.step(bench.core.handle_runtime_restart)
    bench.step(bench.core.handle_link_established)
    assert [type(bench.answers[n][0]) for n in (1, 2)] == [RequestFailed] * 2 and not bench.core.requests


def test_a_start_in_doubt_stays_so_over_further_links() -> None:
    bench = Bench()
    bench.arrive(1, 1, "m")
    for _ in range(2):  # gauges answered on the second link say nothing of a start sent on the first
        bench.step(bench.core.handle_link_lost)
        bench.step(bench.core.handle_link_established)
        bench.step(bench.core.query_gauges)
        bench.step(bench.core.handle_gauges, bench.core.delivery.last_query, [0.5, 1.0, 0.1, 5.0])
    assert len(bench.sent_of(StartRun)) == 1
    bench.step(bench.core.handle_link_lost)
    bench.step(bench.core.handle_disconnect, f"{1:016x}")
    bench.step(bench.core.handle_link_established)
    assert len(bench.sent_of(StartRun)) == 2  # it is over, so this only asks how it stands
    bench.step(bench.core.handle_run_ended, f"{1:016x}", Outcome.NEVER_STARTED, b"")
    assert not bench.core.requests and bench.core.controller.limiter.in_flight == 0


def test_a_failing_event_voids_its_txn_and_no_other() -> None:
    bench = Bench()
    bench.arrive(1), bench.arrive(2)
    bench.step(bench.core.fail_request, f"{1:016x}")
    bench.step(bench.core.handle_run_ended, f"{2:016x}", Outcome.OK, b"r")
    bench.step(bench.core.handle_run_ended, f"{1:016x}", Outcome.OK, b"late")
    assert bench.answers == {
        1: [RequestFailed(1, "given up", bench.load)],
        2: [RequestCompleted(2, b"r", bench.load)],
    }
    assert not bench.core.requests and bench.core.controller.limiter.in_flight == 0


@pytest.mark.parametrize("seed", range(12))
def test_whatever_comes_each_txn_has_one_answer_and_nothing_is_left_over(seed: int) -> None:
    """Random days: repeats, late and lost replies, links that break, callers that leave, a drain."""
    chance, bench = random.Random(seed), Bench(max_idempotency_entries=40)
    the_core, running, at_calls, out_below, gone, effects = bench.core, {}, set(), set(), set(), {}
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
                    effects.pop(the_core.requests.by_id[call].idempotency_key, None)
                news = bench.step(the_core.handle_run_ended, call, how, b"r")
            elif what == 6 and (calm := sorted(set(running) - at_calls)):
                news = bench.step(the_core.handle_call_needed, chance.choice(calm), b"?")
            elif what < 10 and at_calls:
                how = chance.choice(
                    [Outcome.OK, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET, Outcome.NEVER_STARTED]
                )
                out_below.discard(call := chance.choice(sorted(at_calls)))
                news = bench.step(the_core.handle_call_ended, call, how, b"!")
            elif what == 10:
                gone.add(chance.randrange(1, n + 1))
                news = bench.step(the_core.handle_disconnect, f"{max(gone):016x}")
            elif what == 11:
                bench.step(the_core.handle_link_lost)
                news = bench.step(the_core.handle_link_established, ms=chance.choice([1.0, 50.0]))
            elif what == 12:
                bench.step(the_core.query_gauges)
                news = bench.step(the_core.handle_gauges, the_core.delivery.last_query, [0.5, 2.0, 0.1, 5.0])
            elif what == 13:
                news = bench.step(the_core.tick, ms=40.0)
            out = news
        told = the_core.log_fields()
        assert told["in_flight"] == told["runs"]  # the module's count and the wire's agree
    bench.step(the_core.begin_graceful_shutdown, 1500.0)
    bench.step(lambda: None, ms=1500.0)
    assert bench.sent_of(CloseConnections) and not the_core.requests.unanswered_count()
    for call in [request.request_id for request in the_core.requests.running()]:
        bench.step(the_core.handle_run_ended, call, Outcome.CANCELLED, b"")
    bench.step(lambda: None, ms=60_000.0)
    assert all(len(bench.answers.get(n, [])) == 1 or n in gone for n in range(1, 900))
    assert max(map(len, bench.answers.values())) == 1
    controller = the_core.controller
    left = (
        the_core.requests.by_number,
        the_core.requests.by_id,
        the_core.idempotency.entries,
        the_core.idempotency.expirations,
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
    bench = Bench(SETTINGS | {"classes": [SETTINGS["classes"][0], pay]}, max_idempotency_entries=30)
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
