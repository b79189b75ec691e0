"""A relay's streams and a server's client on loopback: bounds, bad input, and who is ended by it."""

import asyncio
import contextlib
import subprocess
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import grpc
import pytest
from engine import Engine

from otterrudder import clock
from otterrudder.fleet.cell.agent import CellAgent
from otterrudder.fleet.cell.descriptors import (
    SPARE_DESCRIPTORS,
    SPARE_STREAMS,
    DescriptorLimitError,
    check_descriptors,
)
from otterrudder.fleet.cell.effects import ValidateText
from otterrudder.fleet.cell.messages import (
    Endorsement,
    EndorsementRequest,
    LeaseRefusal,
    LeaseRenewal,
    PolicyUpdate,
    RefusalReason,
    Registration,
    decode_from_peer,
    decode_from_relay,
    encode,
)
from otterrudder.fleet.cell.service import RelayService
from otterrudder.fleet.cell.streams import MAX_MESSAGES_PER_S, MessageEncoder
from otterrudder.fleet.cell.wire import ENDORSE_METHOD, SESSION_METHOD, open_channel
from otterrudder.fleet.change import coordination_keys, propose
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import Fleet, read_fleet
from otterrudder.fleet.records import MAX_TEXT_BYTES, FleetSnapshot, Keys
from otterrudder.fleet.server_control import ServerControl
from otterrudder.fleet.state_file import open_state_directory
from otterrudder.lab.processes.link import Link, LinkFault, free_port

pytestmark = pytest.mark.exclusive

WAIT_S = 8.0
FINGERPRINT = "k"


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[Engine]:
    engine = Engine(tmp_path)
    yield engine
    engine.stop()


async def until(is_so: Callable[[], object]) -> None:
    with anyio.fail_after(WAIT_S):
        while not is_so():
            await anyio.sleep(0.01)


class Cells:
    """Relays and servers in the test's own process, each cell of one relay with a folder."""

    def __init__(self, engine: Engine, more: str = "") -> None:
        self.engine, self.more = engine, more
        self.addresses: list[str] = []

    def file(self, name: str, text: str) -> Fleet:
        path = self.engine.folder / f"{name}.toml"
        store = f'store = ["127.0.0.1:{self.engine.port}"]'
        path.write_text(f'version = 1\nfleet = "f"\n{store}\nbound_ms = 3000\n{text}\n{self.more}')
        return read_fleet(path)

    @contextlib.asynccontextmanager
    async def relay(self, cell: str, max_sessions: int = 20) -> AsyncIterator[RelayService]:
        """Once it leads, until the end of the block."""
        address = f"127.0.0.1:{free_port()}"
        own = f'[relay]\ncell = "{cell}"\naddress = "{address}"\nfolder = "state-{cell}"\n'
        fleet = self.file(cell, f"{own}sessions_most = {max_sessions}")
        assert fleet.relay
        folder, record = open_state_directory(fleet, cell)
        service = RelayService(fleet, fleet.relay, Client(fleet), folder, record)
        service.listen()
        self.addresses.append(address)
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            await until(lambda: service.relay.authority_until(clock.monotonic()) > clock.monotonic())
            yield service
            service.stop()

    def server(self, name: str, validate: Callable[[str], str] = lambda text: "") -> CellAgent:
        fleet = self.file(name, f"relays = {self.addresses}".replace("'", '"'))
        return CellAgent(
            fleet, name, FINGERPRINT, validate, ServerControl(lambda text: None, lambda is_aside: None)
        )


@contextlib.asynccontextmanager
async def running(*agents: CellAgent) -> AsyncIterator[None]:
    """Once all admit, until the end of the block."""
    async with anyio.create_task_group() as group:
        for agent in agents:
            group.start_soon(agent.run)
        for agent in agents:
            await until(lambda agent=agent: admits(agent))
        yield
        group.cancel_scope.cancel()


def admits(agent: CellAgent) -> bool:
    return agent.participant.admits(clock.monotonic()) is not None


@contextlib.asynccontextmanager
async def raw_stream(service: RelayService) -> AsyncIterator[Any]:
    """A stream on which the test sends what it likes."""
    channel = open_channel(service.fleet, service.role.address)
    try:
        yield channel.stream_stream(SESSION_METHOD)()
    finally:
        await channel.close(None)


def register(sequence: int = 1, **other: Any) -> Registration:
    fields = dict(fleet="f", name="x", incarnation="e", fingerprint=FINGERPRINT) | other
    return Registration(sequence, **fields)


async def next_of(stream: Any) -> Any:
    with anyio.fail_after(WAIT_S):
        return decode_from_relay(await stream.read())


async def put_in_force(engine: Engine, text: str) -> None:
    keys, client = Keys("f"), engine.client()
    commit = propose(
        FleetSnapshot(keys, await client.read(coordination_keys(keys), 1000.0)),
        "c",
        text,
        "",
        "",
        0.0,
        5000.0,
    )
    assert (await client.commit(commit.compares, commit.writes, 1000.0)).succeeded
    await client.close()


def test_a_full_relay_refuses_and_the_server_goes_to_the_next(engine: Engine) -> None:
    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a", max_sessions=1) as first, cells.relay("b") as second:
            one, other = cells.server("one"), cells.server("other")
            async with running(one), running(other):
                assert (one.participant.relay, other.participant.relay) == tuple(cells.addresses)
                assert first.control_status()["refused"] == {"full": 1}
                assert (first.control_status()["sessions"], second.control_status()["sessions"]) == (1, 1)
            async with raw_stream(first) as stream:
                await until(lambda: not first.relay.sessions)
                async with running(cells.server("again")):
                    await stream.write(encode(register()))
                    answer = await next_of(stream)
                    assert isinstance(answer, LeaseRefusal) and answer.reason is RefusalReason.FULL
                    assert answer.detail == f"{cells.addresses[0]} has its 1 sessions"

    anyio.run(play)


def test_what_is_no_message_ends_its_stream_alone_with_a_reason(engine: Engine) -> None:
    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service:
            agent = cells.server("one")
            async with running(agent):
                for garbage in (
                    b"",
                    b"\xc1" * 50,
                    encode(Endorsement(1, "x", 1.0)),
                    encode(register(name="x" * 200)),
                ):
                    async with raw_stream(service) as stream:
                        await stream.write(garbage)
                        with anyio.fail_after(WAIT_S):
                            assert await stream.code() is grpc.StatusCode.INVALID_ARGUMENT
                            assert await stream.details()
                async with raw_stream(service) as stream:  # more than any message of a server has
                    await stream.write(bytes(100_000))
                    with anyio.fail_after(WAIT_S):
                        assert await stream.code() is not grpc.StatusCode.OK
                assert admits(agent) and agent.counts["ended"] == 0
                assert service.control_status()["streams_failed"] == {"invalid_argument": 4}
                await until(lambda: len(service.relay.sessions) == service.control_status()["streams"] == 1)

    anyio.run(play)


def test_a_distant_server_connects(engine: Engine) -> None:
    """An attempt to connect was given up after 100 ms: a relay beyond that, or a busy one, was lost."""

    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service, anyio.create_task_group() as group:
            link = Link(service.role.endpoint)
            link.set_fault(LinkFault(delay_ms=150.0))
            group.start_soon(link.run)
            cells.addresses = ["{}:{}".format(*link.address)]
            agent = cells.server("s", lambda text: "")
            async with running(agent):
                assert agent.counts["ended"] == 0
            group.cancel_scope.cancel()

    anyio.run(play)


def test_a_server_outlives_attempts_to_connect_that_it_gives_up(engine: Engine) -> None:
    """Its part in the fleet ended silently as one was cancelled, and it was suspended for good."""

    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service, anyio.create_task_group() as group:
            links = [Link(service.role.endpoint) for _ in range(3)]
            cells.addresses = ["{}:{}".format(*link.address) for link in links]
            for link in links:
                group.start_soon(link.run)
            agent = cells.server("s", lambda text: "")
            async with running(agent):
                for fault in (
                    LinkFault(blocks_backward=True),
                    LinkFault(delay_ms=900.0),
                    LinkFault(blocks_forward=True),
                ):
                    for link in links:
                        link.set_fault(fault)
                    await anyio.sleep(5.0)
                    for link in links:
                        link.set_fault(LinkFault())
                    await until(lambda: admits(agent))
            group.cancel_scope.cancel()

    anyio.run(play)


def test_an_unknown_protocol_another_fleet_and_a_renewal_before_all_are_refused(engine: Engine) -> None:
    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service:
            for message, reason in (
                (register(protocol=99), RefusalReason.PROTOCOL),
                (register(fleet="g"), RefusalReason.WRONG_FLEET),
                (LeaseRenewal(1, 0), RefusalReason.PROTOCOL),
            ):
                async with raw_stream(service) as stream:
                    await stream.write(encode(message))
                    answer = await next_of(stream)
                    assert isinstance(answer, LeaseRefusal) and answer.reason is reason
                    with anyio.fail_after(WAIT_S):
                        assert await stream.read() is grpc.aio.EOF
                        assert await stream.code() is grpc.StatusCode.OK

    anyio.run(play)


def test_a_server_that_floods_or_sends_nothing_is_disconnected(
    engine: Engine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("otterrudder.fleet.cell.streams.REGISTRATION_TIMEOUT_S", 0.2)

    async def play() -> None:
        async with Cells(engine).relay("a") as service:
            async with raw_stream(service) as stream:
                with anyio.fail_after(WAIT_S):
                    assert await stream.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            async with raw_stream(service) as stream:
                with anyio.fail_after(WAIT_S), contextlib.suppress(grpc.RpcError):
                    await stream.write(encode(register()))
                    for number in range(3 * MAX_MESSAGES_PER_S):
                        await stream.write(encode(LeaseRenewal(number + 2, 0)))
                        if number % 8 == 0:
                            await stream.read()
                with anyio.fail_after(WAIT_S):  # its own writes may fail before the status is read
                    assert await stream.code() is not grpc.StatusCode.OK
            assert service.control_status()["streams_failed"] == {
                "deadline_exceeded": 1,
                "resource_exhausted": 1,
            }

    anyio.run(play)


def test_a_slow_reader_is_disconnected_and_its_queue_is_dropped(engine: Engine) -> None:
    """It does not read; texts of the largest size are sent to it until its queue is full."""

    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service:
            agent = cells.server("one")
            async with running(agent), raw_stream(service) as stream:
                await stream.write(encode(register()))
                await until(lambda: len(service.relay.sessions) == 2)
                slow = max(service._streams)
                data = encode(PolicyUpdate(1, "c", "d", "x" * MAX_TEXT_BYTES))
                for _ in range(200):
                    if found := service._streams.get(slow):
                        found.send(data)
                        assert found._outgoing.qsize() <= 16
                    await anyio.sleep(0)
                await until(lambda: slow not in service._streams)
                assert service.control_status()["streams_failed"] == {"resource_exhausted": 1}
                assert len(service.relay.sessions) == 1 and admits(agent)

    anyio.run(play)


def test_a_text_goes_to_all_servers_and_is_encoded_once(engine: Engine) -> None:
    async def play() -> None:
        cells = Cells(engine)
        text = "version = 1\n#" + "x" * (MAX_TEXT_BYTES - 20)
        async with cells.relay("a") as service:
            agents = [cells.server(f"n{number}") for number in range(3)]
            async with running(*agents):
                await put_in_force(engine, text)
                await until(lambda: all(agent.participant.known.text == text for agent in agents))
                assert all(admits(agent) for agent in agents)
                # one server of the fingerprint was asked, and each validated the text that it switched to
                assert sum(agent.counts["checked"] for agent in agents) == 3
                assert service.control_status()["versions"]

    anyio.run(play)
    encoder = MessageEncoder()
    first = encoder.encode(PolicyUpdate(1, "c", "d", "text"))
    assert encoder.encode(PolicyUpdate(1, "c", "d", "text")) is first


def test_a_frozen_server_is_suspended_in_its_first_batch_and_a_slow_validation_blocks_nothing(
    engine: Engine,
) -> None:
    async def play() -> None:
        cells = Cells(engine)
        orders: list[object] = []

        def validate(text: str) -> str:
            time.sleep(1.0)
            return ""

        async with cells.relay("a"):
            agent = cells.server("one", validate)
            agent.control_sender.control = ServerControl(orders.append, orders.append)
            async with running(agent):
                agent.update_server(clock.monotonic())
                agent.update_server(clock.monotonic() + 60_000.0)
                agent.update_server(clock.monotonic())
                assert orders == ["", False, True, False]
                await put_in_force(engine, "version = 1")
                await until(lambda: agent.participant.validation.task)
                worst, before = 0.0, clock.monotonic()
                while not agent.counts["checked"]:
                    await anyio.sleep(0.005)
                    now = clock.monotonic()
                    worst, before = max(worst, now - before), now
                assert worst < 400.0
                await until(lambda: agent.participant.known.version == 1)
                agent.participant._effects.append(ValidateText("d", "another text"))
                agent._wakeup.set()
                await until(lambda: agent.counts["checks_begun"] == 2)
                began = clock.monotonic()
            assert clock.monotonic() - began < 900.0  # it ends without the thread that checks

    anyio.run(play)


def test_endorsements_are_requested_by_name_and_garbage_is_no_request(engine: Engine) -> None:
    async def play() -> None:
        async with Cells(engine).relay("a") as service:
            channel = open_channel(service.fleet, service.role.address)
            call = channel.unary_unary(ENDORSE_METHOD)
            ask = EndorsementRequest(7, "f", "a", "somebody:1", ("somebody:1", service.role.address))
            answer = decode_from_peer(await call(encode(ask), timeout=WAIT_S))
            assert isinstance(answer, Endorsement) and answer.sequence == 7 and not answer.span_ms
            assert answer.reason == f"this relay knows other relays of the cell: {service.role.address}"
            for garbage in (b"garbage", encode(answer)):
                with pytest.raises(grpc.aio.AioRpcError) as failed:
                    await call(garbage, timeout=WAIT_S)
                assert failed.value.code() is grpc.StatusCode.INVALID_ARGUMENT
            with pytest.raises(grpc.aio.AioRpcError) as failed:
                await channel.unary_unary("/otterrudder.fleet.Relay/Nothing")(b"", timeout=WAIT_S)
            assert failed.value.code() is grpc.StatusCode.UNIMPLEMENTED
            await channel.close(None)

    anyio.run(play)


def test_with_certificates_both_sides_show_one(engine: Engine) -> None:
    """The store's stand-in speaks no TLS, so the relay leads nothing here: what is seen is its refusal."""
    make = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 1".split()
    names = ["-subj", "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1"]
    files = ["-keyout", str(engine.folder / "key"), "-out", str(engine.folder / "cert")]
    subprocess.run([*make, *names, *files], check=True, capture_output=True)
    tls = '[tls]\nca = "cert"\ncert = "cert"\nkey = "key"\n'

    async def answer_of(service: RelayService, fleet: Fleet) -> Any:
        channel = open_channel(fleet, service.role.address)
        try:
            stream = channel.stream_stream(SESSION_METHOD)()
            await stream.write(encode(register()))
            return await next_of(stream)
        finally:
            await channel.close(None)

    async def play() -> None:
        cells = Cells(engine, tls)
        address = f"127.0.0.1:{free_port()}"
        fleet = cells.file("a", f'[relay]\ncell = "a"\naddress = "{address}"\nfolder = "state"\n')
        assert fleet.relay
        service = RelayService(fleet, fleet.relay, Client(fleet), *open_state_directory(fleet, "a"))
        service.listen()
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            answer = await answer_of(service, fleet)
            assert isinstance(answer, LeaseRefusal) and answer.reason is RefusalReason.NOT_LEADER
            for other in (replace(fleet, cert=None, key=None), replace(fleet, ca=None)):
                with pytest.raises((grpc.aio.AioRpcError, asyncio.InvalidStateError)):
                    await answer_of(service, other)
            service.stop()

    anyio.run(play)


def test_an_address_in_use_and_too_few_descriptors_are_errors(
    engine: Engine, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with Cells(engine).relay("a") as service:
            again = RelayService(service.fleet, service.role, Client(service.fleet), None, None)
            with pytest.raises(OSError, match=service.role.address):
                again.listen()

    anyio.run(play)
    monkeypatch.setattr("resource.getrlimit", lambda what: (1000, 4096))
    check_descriptors(1000 - SPARE_STREAMS - SPARE_DESCRIPTORS)
    with pytest.raises(DescriptorLimitError, match="relay.sessions_most: 1000 .* RLIMIT_NOFILE allows 1000"):
        check_descriptors(1000)
