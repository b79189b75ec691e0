"""Downstream calls: the pool of connections to the records service, and what may go wrong on one."""

import contextlib
import random
import re
import socket
import struct

import anyio
import pytest
from line_connection import listen
from net_harness import InProcessServer, run_in_process, wait_until
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess, complete_request

from otterrudder.admission.interface import Outcome
from otterrudder.net.messages import (
    CancelCall,
    SendCall,
)
from otterrudder.net.records import RecordsPool

pytestmark = pytest.mark.exclusive


def test_calls_are_made_retried_cancelled_and_late_replies_dropped(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    rpc = gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY)
    runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"row?")
    records = server.accept_records()
    op, call, wait, size = records.read_line().decode().split()
    assert (op, call, records.read_body(int(size))) == ("OP", A, b"row?") and 0 < int(wait) <= 15000
    records.send(f"{A} WAIT")  # proves that nothing ran, so it may go again, effect or not
    records = server.accept_call(A, b"row?")
    records.send(f"{A} DONE", b"row!")
    assert runtime.expect_command("give", A)[1] == b"row!"
    runtime.send_notice(f"wants {A}", b"more?")
    old, records = records, server.accept_call(A, b"more?")
    old.send(f"{A} DONE", b"row!")  # a second copy is no reply to the next call, and ends its connection
    assert old.read_line() == b"" and not runtime.answer_gauges()
    gateway.send_message("interrupt", call=A)
    assert records.read_line() == b""  # its close gives up its only call; a late reply meets nobody
    runtime.end_run(A, b"", how="cancelled")
    gateway.send_request(B)
    assert runtime.read_command()[0][:2] == ["start", B]  # no `give` of the late reply before it
    runtime.end_run(B)
    assert gateway.read_answer()["id"] == rpc + 2


def test_a_broken_records_link_proves_nothing_and_a_refused_one_that_nothing_ran(
    server: ServerProcess,
) -> None:
    runtime, gateway = server.connect_all()
    links = {}
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), gateway.send_request(B, "look")
    for call in (A, B):
        runtime.expect_command("start", call)
        runtime.send_notice(f"wants {call}", b"?")
        links[call] = server.accept_call(call, b"?")
    links[A].close()
    assert gateway.read_answer()["error"]["code"] not in (-32014,)  # the effect may have happened: voided
    links[B].close()
    records = server.accept_call(B, b"?")  # inquiry-like: again, on a new connection
    server.records.close()
    records.close()  # the next tries are refused: B waits on and tries again until somebody listens
    runtime.answer_gauges(20)
    server.wait_for_log("cannot connect to the records service")
    complete_request(runtime, gateway, C)


MALFORMED_REPLIES = [
    b"%s DONE many\r\n",
    b"%s DONE 3000000000\r\nab",
    b"%s WHAT\r\n",
    b"\xff%s\r\n",
    b"x" * 600 + b"%s",
    b"%s DONE 1\r\nabc\r\n",
    b"%s DONE 50\r\nabc\r\n",
]


def test_a_malformed_reply_costs_its_call_and_no_other(server: ServerProcess) -> None:
    # One connection for all calls lost all of them with each malformed reply.
    runtime, gateway = server.connect_all()
    gateway.send_request(B), runtime.expect_command("start", B)
    runtime.send_notice(f"wants {B}", b"?")
    good = server.accept_call(B, b"?")
    gateway.send_request(A), runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"?")
    for malformed in MALFORMED_REPLIES:
        records = server.accept_call(A, b"?")
        records.sock.sendall(malformed.replace(b"%s", A.encode()))
        assert records.read_line() == b""  # left at once, or when the rest does not come
    server.accept_call(A, b"?").send(f"{C} DONE 1\r\n?\r\n{A} DONE", b"yes")  # a stranger's comes first
    assert runtime.expect_command("give", A)[1] == b"yes"
    good.send(f"{B} DONE", b"row!")
    assert runtime.expect_command("give", B)[1] == b"row!"


def test_an_idle_records_connection_is_used_again_while_fresh(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    calls = (A, B)
    for call in calls:
        gateway.send_request(call), runtime.expect_command("start", call)
        runtime.send_notice(f"wants {call}", b"?")
        if call == calls[0]:
            records = server.accept_call(call, b"?")
        else:
            assert records.read_line().startswith(f"OP {call} ".encode()) and records.read_body(1)
        records.send(f"{call} DONE", b"!")
        runtime.expect_command("give", call)
    # Unused, it is closed: the service forgets such ones and resets the next call.
    assert records.read_line() == b""


def pool_of(group: anyio.abc.TaskGroup, address: tuple[str, int]) -> tuple[RecordsPool, list[tuple]]:
    """The pool of connections below, and what it tells the core."""
    reported: list[tuple] = []

    class RecordingDispatcher:
        core = type("Core", (), {"handle_call_ended": "handle_call_ended"})

        def post(
            self, act: object, call: str, outcome: Outcome, body: bytes = b"", request_id: str = ""
        ) -> None:
            reported.append((call, outcome, body))

    pool = RecordsPool(RecordingDispatcher(), address, 256)  # type: ignore[arg-type]
    pool.group = group
    return pool, reported


def test_a_call_never_goes_out_on_a_connection_that_the_service_has_ended() -> None:
    async def play(server: InProcessServer) -> None:
        service = listen()
        pool, reported = pool_of(server.group, service.getsockname())
        pool.send(SendCall(A, 500.0, b"?"))
        first = await anyio.to_thread.run_sync(lambda: service.accept()[0])
        await wait_until(lambda: pool.connections and next(iter(pool.connections)).stream)
        await anyio.to_thread.run_sync(lambda: first.recv(100))
        first.sendall(f"{A} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported.pop() == (A, Outcome.OK, b"!") and pool.idle
        first.close()  # its end lies unread, for the loop does not run
        pool.send(SendCall(B, 500.0, b"?"))
        second = await anyio.to_thread.run_sync(lambda: service.accept()[0])
        second.sendall(f"{B} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported == [(B, Outcome.OK, b"!")]
        service.close(), second.close()

    run_in_process(play)


def test_the_end_of_an_earlier_calls_connection_is_not_that_of_the_call_now_out() -> None:
    async def play(server: InProcessServer) -> None:
        service = listen()
        pool, reported = pool_of(server.group, service.getsockname())
        ends = []
        for _ in range(2):
            pool.send(SendCall(A, 500.0, b"?"))
            ends.append(await anyio.to_thread.run_sync(lambda: service.accept()[0]))
        ends[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        ends[0].close()
        await anyio.sleep(0.05)
        assert not reported  # the first was given up by the second
        ends[1].sendall(f"{A} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported == [(A, Outcome.OK, b"!")] and not pool.connection_of
        service.close(), ends[1].close()

    run_in_process(play)


CALL = re.compile(r"OP (\w{16}) \d+ 16\r\n(\d{16})\r\n")  # a body names the call, so its reply does


class RandomService:
    """Replies, copies, strangers', halves, closes, resets, moves and cancelled calls in drawn orders."""

    def __init__(self, group: anyio.abc.TaskGroup, seed: int) -> None:
        self.chance = random.Random(seed)
        self.listeners = [listen(), listen()]
        self.pool, self.reported = pool_of(group, self.listeners[0].getsockname())
        self.pool.max_connections = 3  # so that calls share connections too
        for listener in self.listeners:
            listener.setblocking(False)
        self.connections: list[socket.socket] = []
        self.calls: dict[str, bytes] = {}  # bodies by request id; a request's next call has the same id
        self.last_replies: dict[socket.socket, bytes] = {}
        self.ended = 0

    def check_reports(self) -> None:
        for call, outcome, body in self.reported:
            assert call in self.calls, f"{call} ended after it was over"
            assert body == self.calls.pop(call) or outcome is not Outcome.OK
            self.ended += 1
        self.reported.clear()

    def accept(self) -> None:
        for listener in self.listeners:
            with contextlib.suppress(BlockingIOError):
                self.connections.append(listener.accept()[0])
                self.connections[-1].setblocking(False)

    def next_event(self, number: int) -> None:
        event = self.chance.randrange(10)
        if event < 4:
            self._start_call(number)
        elif event == 4 and self.calls:
            call = self.chance.choice(sorted(self.calls))
            self.pool.send(CancelCall(call))
            del self.calls[call]
        elif event == 5 and self.chance.random() < 0.3:
            self.pool.change_address(self.chance.choice(self.listeners).getsockname())
        elif self.connections:
            self._serve(self.chance.choice(self.connections))

    def _start_call(self, number: int) -> None:
        if (call := f"{self.chance.randrange(12):016x}") not in self.calls:
            self.calls[call] = b"%016d" % number
            self.pool.send(SendCall(call, 500.0, self.calls[call]))

    def _serve(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536).decode()
        except OSError:
            data = ""
        try:
            self._reply(sock, data)
            if self.chance.random() < 0.2:
                self._end(sock)
        except OSError:
            self.connections.remove(sock)
            sock.close()

    def _reply(self, sock: socket.socket, data: str) -> None:
        for call, body in CALL.findall(data):
            reply = f"{call} DONE 16\r\n{body}\r\n".encode()
            times = self.chance.choice([1, 1, 1, 2])
            sock.sendall(reply[: self.chance.choice([len(reply)] * 4 + [20])] * times)
            self.last_replies[sock] = reply
        if not data and sock in self.last_replies and self.chance.random() < 0.5:
            sock.sendall(self.last_replies[sock])  # a late copy, of whatever is out by now
        if self.chance.random() < 0.1:
            sock.sendall(f"{'f' * 16} DONE 1\r\n?\r\n".encode())

    def _end(self, sock: socket.socket) -> None:
        if self.chance.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connections.remove(sock)
        sock.close()

    async def close(self) -> None:
        """Ends everything, and waits for the calls that are out."""
        for sock in [*self.connections, *self.listeners]:
            sock.close()
        while self.calls:
            await anyio.sleep(0.01)
            self.check_reports()


@pytest.mark.parametrize("seed", range(8))
def test_whatever_the_service_does_each_call_ends_once_and_with_its_own_reply(seed: int) -> None:
    async def play(server: InProcessServer) -> None:
        service = RandomService(server.group, seed)
        server.group.start_soon(service.pool.run)
        for number in range(500):
            service.check_reports()
            service.accept()
            service.next_event(number)
            for _ in range(service.chance.randrange(4)):
                await anyio.sleep(0)
        await service.close()
        assert not service.pool.connection_of and service.ended > 30

    run_in_process(play)
