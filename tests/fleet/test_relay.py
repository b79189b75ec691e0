"""Tests a relay's streams and a server's client on the loopback interface: limits and invalid input."""

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


async def wait_until(condition: Callable[[], object]) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.01)


class Cells:
    """Relays and servers in the test's own process. Each cell has one relay with a state directory."""

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
        """Runs a relay for the duration of the context, which is entered once the relay leads its cell."""
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
            await wait_until(lambda: service.relay.authority_until(clock.monotonic()) > clock.monotonic())
            yield service
            service.stop()

    def server(self, name: str, validate: Callable[[str], str] = lambda text: "") -> CellAgent:
        fleet = self.file(name, f"relays = {self.addresses}".replace("'", '"'))
        return CellAgent(
            fleet, name, FINGERPRINT, validate, ServerControl(lambda text: None, lambda is_aside: None)
        )


@contextlib.asynccontextmanager
async def running(*agents: CellAgent) -> AsyncIterator[None]:
    """Runs the servers for the duration of the context, which is entered once all servers admit."""
    async with anyio.create_task_group() as group:
        for agent in agents:
            group.start_soon(agent.run)
        for agent in agents:
            await wait_until(lambda agent=agent: admits(agent))
        yield
        group.cancel_scope.cancel()


def admits(agent: CellAgent) -> bool:
    return agent.participant.admits(clock.monotonic()) is not None


@contextlib.asynccontextmanager
async def raw_stream(service: RelayService) -> AsyncIterator[Any]:
    """Opens a stream on which the test can send any bytes."""
    channel = open_channel(service.fleet, service.role.address)
    try:
        yield channel.stream_stream(SESSION_METHOD)()
    finally:
        await channel.close(None)


def register(sequence: int = 1, **other: Any) -> Registration:
    fields = dict(fleet="f", name="x", incarnation="e", fingerprint=FINGERPRINT) | other
    return Registration(sequence, **fields)


async def receive_from(stream: Any) -> Any:
    with anyio.fail_after(WAIT_S):
        return decode_from_relay(await stream.read())


async def apply_policy(engine: Engine, text: str) -> None:
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


def test_server_refused_by_a_full_relay_connects_to_the_next(engine: Engine) -> None:
    async def scenario() -> None:
        cells = Cells(engine)
        async with cells.relay("a", max_sessions=1) as first, cells.relay("b") as second:
            one, other = cells.server("one"), cells.server("other")
            async with running(one), running(other):
                assert (one.participant.relay, other.participant.relay) == tuple(cells.addresses)
                assert first.control_status()["refused"] == {"full": 1}
                assert (first.control_status()["sessions"], second.control_status()["sessions"]) == (1, 1)
            async with raw_stream(first) as stream:
                await wait_until(lambda: not first.relay.sessions)
                async with running(cells.server("again")):
                    await stream.write(encode(register()))
                    answer = await receive_from(stream)
                    assert isinstance(answer, LeaseRefusal) and answer.reason is RefusalReason.FULL
                    assert answer.detail == f"{cells.addresses[0]} has its 1 sessions"

    anyio.run(scenario)


def test_invalid_message_ends_only_its_own_stream_with_a_reason(engine: Engine) -> None:
    async def scenario() -> None:
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
                async with raw_stream(service) as stream:  # larger than the maximum message size
                    await stream.write(bytes(100_000))
                    with anyio.fail_after(WAIT_S):
                        assert await stream.code() is not grpc.StatusCode.OK
                assert admits(agent) and agent.counts["ended"] == 0
                assert service.control_status()["streams_failed"] == {"invalid_argument": 4}
                await wait_until(
                    lambda: len(service.relay.sessions) == service.control_status()["streams"] == 1
                )

    anyio.run(scenario)


def test_server_connects_over_a_slow_link(engine: Engine) -> None:
    """If connection attempts were ended after 100 ms, a server could not reach a relay over a slow link, or
    one that is busy."""

    async def scenario() -> None:
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

    anyio.run(scenario)


def test_server_recovers_from_cancelled_connection_attempts(engine: Engine) -> None:
    """If the cancellation of a connection attempt ended the agent's task, the server would stay suspended
    forever without an error."""

    async def scenario() -> None:
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
                    await wait_until(lambda: admits(agent))
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_unknown_protocol_wrong_fleet_and_renewal_before_registration_are_refused(engine: Engine) -> None:
    async def scenario() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service:
            for message, reason in (
                (register(protocol=99), RefusalReason.PROTOCOL),
                (register(fleet="g"), RefusalReason.WRONG_FLEET),
                (LeaseRenewal(1, 0), RefusalReason.PROTOCOL),
            ):
                async with raw_stream(service) as stream:
                    await stream.write(encode(message))
                    answer = await receive_from(stream)
                    assert isinstance(answer, LeaseRefusal) and answer.reason is reason
                    with anyio.fail_after(WAIT_S):
                        assert await stream.read() is grpc.aio.EOF
                        assert await stream.code() is grpc.StatusCode.OK

    anyio.run(scenario)


def test_flooding_server_and_silent_server_are_disconnected(
    engine: Engine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("otterrudder.fleet.cell.streams.REGISTRATION_TIMEOUT_S", 0.2)

    async def scenario() -> None:
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
                with anyio.fail_after(WAIT_S):  # the client's writes may fail before it reads the status
                    assert await stream.code() is not grpc.StatusCode.OK
            assert service.control_status()["streams_failed"] == {
                "deadline_exceeded": 1,
                "resource_exhausted": 1,
            }

    anyio.run(scenario)


def test_slow_reader_is_disconnected_and_its_queue_is_dropped(engine: Engine) -> None:
    """The server does not read; policies of the maximum size are sent to it until its queue is full."""

    async def scenario() -> None:
        cells = Cells(engine)
        async with cells.relay("a") as service:
            agent = cells.server("one")
            async with running(agent), raw_stream(service) as stream:
                await stream.write(encode(register()))
                await wait_until(lambda: len(service.relay.sessions) == 2)
                slow = max(service._streams)
                data = encode(PolicyUpdate(1, "c", "d", "x" * MAX_TEXT_BYTES))
                for _ in range(200):
                    if slow_stream := service._streams.get(slow):
                        slow_stream.send(data)
                        assert slow_stream._outgoing.qsize() <= 16
                    await anyio.sleep(0)
                await wait_until(lambda: slow not in service._streams)
                assert service.control_status()["streams_failed"] == {"resource_exhausted": 1}
                assert len(service.relay.sessions) == 1 and admits(agent)

    anyio.run(scenario)


def test_policy_is_sent_to_all_servers_and_encoded_once(engine: Engine) -> None:
    async def scenario() -> None:
        cells = Cells(engine)
        text = "version = 1\n#" + "x" * (MAX_TEXT_BYTES - 20)
        async with cells.relay("a") as service:
            agents = [cells.server(f"n{number}") for number in range(3)]
            async with running(*agents):
                await apply_policy(engine, text)
                await wait_until(
                    lambda: all(agent.participant.applied_policy.text == text for agent in agents)
                )
                assert all(admits(agent) for agent in agents)
                # Each server validates the text once; the one that was asked earlier reuses its result.
                assert sum(agent.counts["checked"] for agent in agents) == 3
                assert service.control_status()["versions"]

    anyio.run(scenario)
    encoder = MessageEncoder()
    first = encoder.encode(PolicyUpdate(1, "c", "d", "text"))
    assert encoder.encode(PolicyUpdate(1, "c", "d", "text")) is first


def test_frozen_server_is_suspended_in_its_first_batch_and_slow_validation_does_not_block(
    engine: Engine,
) -> None:
    async def scenario() -> None:
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
                await apply_policy(engine, "version = 1")
                await wait_until(lambda: agent.participant.validation.task)
                worst, before = 0.0, clock.monotonic()
                while not agent.counts["checked"]:
                    await anyio.sleep(0.005)
                    now = clock.monotonic()
                    worst, before = max(worst, now - before), now
                assert worst < 400.0
                await wait_until(lambda: agent.participant.applied_policy.version == 1)
                agent.participant._effects.append(ValidateText("d", "another text"))
                agent._wakeup.set()
                await wait_until(lambda: agent.counts["checks_begun"] == 2)
                began = clock.monotonic()
            assert clock.monotonic() - began < 900.0  # the agent does not wait for the validating thread

    anyio.run(scenario)


def test_endorsement_method_refuses_invalid_requests(engine: Engine) -> None:
    async def scenario() -> None:
        async with Cells(engine).relay("a") as service:
            channel = open_channel(service.fleet, service.role.address)
            call = channel.unary_unary(ENDORSE_METHOD)
            request = EndorsementRequest(7, "f", "a", "somebody:1", ("somebody:1", service.role.address))
            answer = decode_from_peer(await call(encode(request), timeout=WAIT_S))
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

    anyio.run(scenario)


def test_client_without_a_valid_certificate_is_refused(engine: Engine) -> None:
    """The test store has no TLS, so the relay never leads its cell. A client with a valid certificate
    receives the relay's refusal; other clients receive an error."""
    make = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 1".split()
    names = ["-subj", "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1"]
    files = ["-keyout", str(engine.folder / "key"), "-out", str(engine.folder / "cert")]
    subprocess.run([*make, *names, *files], check=True, capture_output=True)
    tls = '[tls]\nca = "cert"\ncert = "cert"\nkey = "key"\n'

    async def register_and_receive(service: RelayService, fleet: Fleet) -> Any:
        channel = open_channel(fleet, service.role.address)
        try:
            stream = channel.stream_stream(SESSION_METHOD)()
            await stream.write(encode(register()))
            return await receive_from(stream)
        finally:
            await channel.close(None)

    async def scenario() -> None:
        cells = Cells(engine, tls)
        address = f"127.0.0.1:{free_port()}"
        fleet = cells.file("a", f'[relay]\ncell = "a"\naddress = "{address}"\nfolder = "state"\n')
        assert fleet.relay
        service = RelayService(fleet, fleet.relay, Client(fleet), *open_state_directory(fleet, "a"))
        service.listen()
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            answer = await register_and_receive(service, fleet)
            assert isinstance(answer, LeaseRefusal) and answer.reason is RefusalReason.NOT_LEADER
            for other in (replace(fleet, cert=None, key=None), replace(fleet, ca=None)):
                with pytest.raises((grpc.aio.AioRpcError, asyncio.InvalidStateError)):
                    await register_and_receive(service, other)
            service.stop()

    anyio.run(scenario)


def test_address_in_use_and_too_few_descriptors_are_errors(
    engine: Engine, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Cells(engine).relay("a") as service:
            again = RelayService(service.fleet, service.role, Client(service.fleet), None, None)
            with pytest.raises(OSError, match=service.role.address):
                again.listen()

    anyio.run(scenario)
    monkeypatch.setattr("resource.getrlimit", lambda what: (1000, 4096))
    check_descriptors(1000 - SPARE_STREAMS - SPARE_DESCRIPTORS)
    with pytest.raises(DescriptorLimitError, match="relay.sessions_most: 1000 .* RLIMIT_NOFILE allows 1000"):
        check_descriptors(1000)
