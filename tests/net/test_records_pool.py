"""Downstream calls: the pool of connections to the records service, and failures of connections and calls."""

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


def test_calls_are_retried_and_cancelled_and_late_replies_dropped(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    rpc = gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY)
    runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"row?")
    records = server.accept_records()
    op, call, wait, size = records.read_line().decode().split()
    assert (op, call, records.read_body(int(size))) == ("OP", A, b"row?") and 0 < int(wait) <= 15000
    records.send(f"{A} WAIT")  # nothing ran, so the call may be retried even if it has an effect
    records = server.accept_call(A, b"row?")
    records.send(f"{A} DONE", b"row!")
    assert runtime.expect_command("give", A)[1] == b"row!"
    runtime.send_notice(f"wants {A}", b"more?")
    old, records = records, server.accept_call(A, b"more?")
    old.send(f"{A} DONE", b"row!")  # a copy of the earlier reply is not accepted for the next call
    assert old.read_line() == b"" and not runtime.answer_gauges()
    gateway.send_message("interrupt", call=A)
    assert records.read_line() == b""  # closing the connection cancels its only call
    runtime.end_run(A, b"", outcome="cancelled")
    gateway.send_request(B)
    assert runtime.read_command()[0][:2] == ["start", B]  # the reply to the cancelled call was dropped
    runtime.end_run(B)
    assert gateway.read_answer()["id"] == rpc + 2


def test_lost_connection_fails_request_with_effect_and_refused_one_retries(
    server: ServerProcess,
) -> None:
    runtime, gateway = server.connect_all()
    connections = {}
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), gateway.send_request(B, "look")
    for call in (A, B):
        runtime.expect_command("start", call)
        runtime.send_notice(f"wants {call}", b"?")
        connections[call] = server.accept_call(call, b"?")
    connections[A].close()
    assert gateway.read_answer()["error"]["code"] not in (-32014,)  # the effect may have happened
    connections[B].close()
    records = server.accept_call(B, b"?")  # a safe request is retried on a new connection
    server.records.close()
    records.close()  # further connections are refused, and B is retried until the service listens
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


def test_malformed_reply_fails_only_its_own_call(server: ServerProcess) -> None:
    # With a single connection for all calls, each malformed reply would fail all of them.
    runtime, gateway = server.connect_all()
    gateway.send_request(B), runtime.expect_command("start", B)
    runtime.send_notice(f"wants {B}", b"?")
    good = server.accept_call(B, b"?")
    gateway.send_request(A), runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"?")
    for malformed in MALFORMED_REPLIES:
        records = server.accept_call(A, b"?")
        records.sock.sendall(malformed.replace(b"%s", A.encode()))
        assert records.read_line() == b""  # closed at once, or when the rest does not arrive
    # The reply follows a reply to an unknown call.
    server.accept_call(A, b"?").send(f"{C} DONE 1\r\n?\r\n{A} DONE", b"yes")
    assert runtime.expect_command("give", A)[1] == b"yes"
    good.send(f"{B} DONE", b"row!")
    assert runtime.expect_command("give", B)[1] == b"row!"


def test_recently_used_idle_connection_is_reused(server: ServerProcess) -> None:
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
    # Later the idle connection is closed, because the service may drop it and reset the next call.
    assert records.read_line() == b""


def pool_of(group: anyio.abc.TaskGroup, address: tuple[str, int]) -> tuple[RecordsPool, list[tuple]]:
    """Returns a pool of connections, and a list of the ends of calls that it reports to the core."""
    reported: list[tuple] = []

    class RecordingDispatcher:
        core = type("Core", (), {"handle_call_ended": "handle_call_ended"})

        def post(
            self, handler: object, call: str, outcome: Outcome, body: bytes = b"", request_id: str = ""
        ) -> None:
            reported.append((call, outcome, body))

    pool = RecordsPool(RecordingDispatcher(), address, 256)  # type: ignore[arg-type]
    pool.group = group
    return pool, reported


def test_call_is_not_sent_on_connection_closed_by_service() -> None:
    async def scenario(server: InProcessServer) -> None:
        service = listen()
        pool, reported = pool_of(server.group, service.getsockname())
        pool.send(SendCall(A, 500.0, b"?"))
        first = await anyio.to_thread.run_sync(lambda: service.accept()[0])
        await wait_until(lambda: pool.connections and next(iter(pool.connections)).stream)
        await anyio.to_thread.run_sync(lambda: first.recv(100))
        first.sendall(f"{A} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported.pop() == (A, Outcome.OK, b"!") and pool.idle
        first.close()  # unread, because the event loop does not run
        pool.send(SendCall(B, 500.0, b"?"))
        second = await anyio.to_thread.run_sync(lambda: service.accept()[0])
        second.sendall(f"{B} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported == [(B, Outcome.OK, b"!")]
        service.close(), second.close()

    run_in_process(scenario)


def test_end_of_earlier_connection_does_not_end_current_call() -> None:
    async def scenario(server: InProcessServer) -> None:
        service = listen()
        pool, reported = pool_of(server.group, service.getsockname())
        accepted = []
        for _ in range(2):
            pool.send(SendCall(A, 500.0, b"?"))
            accepted.append(await anyio.to_thread.run_sync(lambda: service.accept()[0]))
        accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        accepted[0].close()
        await anyio.sleep(0.05)
        assert not reported  # the second call has cancelled the first
        accepted[1].sendall(f"{A} DONE 1\r\n!\r\n".encode())
        await wait_until(lambda: reported)
        assert reported == [(A, Outcome.OK, b"!")] and not pool.connection_of
        service.close(), accepted[1].close()

    run_in_process(scenario)


CALL = re.compile(r"OP (\w{16}) \d+ 16\r\n(\d{16})\r\n")  # the reply repeats the unique body of its call


class RandomService:
    """A records service with correct, duplicate, misdirected and partial replies, closes, resets, address
    changes and cancelled calls, in a random order."""

    def __init__(self, group: anyio.abc.TaskGroup, seed: int) -> None:
        self.rng = random.Random(seed)
        self.listeners = [listen(), listen()]
        self.pool, self.reported = pool_of(group, self.listeners[0].getsockname())
        self.pool.max_connections = 3  # few, so that calls also share connections
        for listener in self.listeners:
            listener.setblocking(False)
        self.connections: list[socket.socket] = []
        self.calls: dict[str, bytes] = {}  # bodies by request id; a request's next call has the same id
        self.last_replies: dict[socket.socket, bytes] = {}
        self.ended = 0

    def check_reports(self) -> None:
        for call, outcome, body in self.reported:
            assert call in self.calls, f"{call} ended twice or after its cancellation"
            assert body == self.calls.pop(call) or outcome is not Outcome.OK
            self.ended += 1
        self.reported.clear()

    def accept(self) -> None:
        for listener in self.listeners:
            with contextlib.suppress(BlockingIOError):
                self.connections.append(listener.accept()[0])
                self.connections[-1].setblocking(False)

    def next_event(self, number: int) -> None:
        event = self.rng.randrange(10)
        if event < 4:
            self._start_call(number)
        elif event == 4 and self.calls:
            call = self.rng.choice(sorted(self.calls))
            self.pool.send(CancelCall(call))
            del self.calls[call]
        elif event == 5 and self.rng.random() < 0.3:
            self.pool.change_address(self.rng.choice(self.listeners).getsockname())
        elif self.connections:
            self._serve(self.rng.choice(self.connections))

    def _start_call(self, number: int) -> None:
        if (call := f"{self.rng.randrange(12):016x}") not in self.calls:
            self.calls[call] = b"%016d" % number
            self.pool.send(SendCall(call, 500.0, self.calls[call]))

    def _serve(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536).decode()
        except OSError:
            data = ""
        try:
            self._reply(sock, data)
            if self.rng.random() < 0.2:
                self._end(sock)
        except OSError:
            self.connections.remove(sock)
            sock.close()

    def _reply(self, sock: socket.socket, data: str) -> None:
        for call, body in CALL.findall(data):
            reply = f"{call} DONE 16\r\n{body}\r\n".encode()
            times = self.rng.choice([1, 1, 1, 2])
            sock.sendall(reply[: self.rng.choice([len(reply)] * 4 + [20])] * times)
            self.last_replies[sock] = reply
        if not data and sock in self.last_replies and self.rng.random() < 0.5:
            sock.sendall(self.last_replies[sock])  # a late copy of an earlier reply
        if self.rng.random() < 0.1:
            sock.sendall(f"{'f' * 16} DONE 1\r\n?\r\n".encode())

    def _end(self, sock: socket.socket) -> None:
        if self.rng.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connections.remove(sock)
        sock.close()

    async def close(self) -> None:
        """Closes all sockets, and waits for the end of the outstanding calls."""
        for sock in [*self.connections, *self.listeners]:
            sock.close()
        while self.calls:
            await anyio.sleep(0.01)
            self.check_reports()


@pytest.mark.parametrize("seed", range(8))
def test_each_call_ends_once_and_with_its_own_reply(seed: int) -> None:
    async def scenario(server: InProcessServer) -> None:
        service = RandomService(server.group, seed)
        server.group.start_soon(service.pool.run)
        for number in range(500):
            service.check_reports()
            service.accept()
            service.next_event(number)
            for _ in range(service.rng.randrange(4)):
                await anyio.sleep(0)
        await service.close()
        assert not service.pool.connection_of and service.ended > 30

    run_in_process(scenario)
