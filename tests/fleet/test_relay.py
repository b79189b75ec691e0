"""A relay's streams and a server's client on loopback: bounds, bad input, and who is ended by it."""

import asyncio
import contextlib
import subprocess
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import anyio
import grpc
import pytest
from click.testing import CliRunner
from engine import Engine
from helpers import ROOT

from otterrudder import clock
from otterrudder.admission.interface import Idempotency, Limits, RequestClass, Tenant
from otterrudder.cli.fleet import fleet as fleet_command
from otterrudder.configuration import ConfigurationError
from otterrudder.fleet.cell import fingerprint
from otterrudder.fleet.cell.agent import CellAgent
from otterrudder.fleet.cell.descriptors import (
    SPARE_DESCRIPTORS,
    SPARE_STREAMS,
    DescriptorLimitError,
    check_descriptors,
)
from otterrudder.fleet.cell.effects import ValidateText
from otterrudder.fleet.cell.fingerprint import server_fingerprint
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
from otterrudder.fleet.configuration import Fleet, InvalidFleetError, read_fleet
from otterrudder.fleet.policy import LocalConfiguration
from otterrudder.fleet.records import MAX_TEXT_BYTES, FleetSnapshot, Keys
from otterrudder.fleet.server_control import ServerControl
from otterrudder.fleet.state_file import open_state_directory
from otterrudder.lab.processes.link import Link, LinkFault, free_port
from otterrudder.net.server_files import ServerFiles

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
    async def relay(self, cell: str, sessions_most: int = 20) -> AsyncIterator[RelayService]:
        """Once it leads, until the end of the block."""
        address = f"127.0.0.1:{free_port()}"
        own = f'[relay]\ncell = "{cell}"\naddress = "{address}"\nfolder = "state-{cell}"\n'
        fleet = self.file(cell, f"{own}sessions_most = {sessions_most}")
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
    """A stream that says what the test likes."""
    channel = open_channel(service.fleet, service.role.address)
    try:
        yield channel.stream_stream(SESSION_METHOD)()
    finally:
        await channel.close(None)


def register(sequence: int = 1, **other: Any) -> Registration:
    told = dict(fleet="f", name="x", incarnation="e", fingerprint=FINGERPRINT) | other
    return Registration(sequence, **told)


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


def test_a_relay_that_is_full_says_so_and_the_server_goes_to_the_next(engine: Engine) -> None:
    async def play() -> None:
        cells = Cells(engine)
        async with cells.relay("a", sessions_most=1) as first, cells.relay("b") as second:
            one, other = cells.server("one"), cells.server("other")
            async with running(one), running(other):
                assert (one.participant.relay, other.participant.relay) == tuple(cells.addresses)
                assert first.shown()["refused"] == {"full": 1}
                assert (first.shown()["sessions"], second.shown()["sessions"]) == (1, 1)
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
                assert service.shown()["streams_failed"] == {"invalid_argument": 4}
                await until(lambda: len(service.relay.sessions) == service.shown()["streams"] == 1)

    anyio.run(play)


def test_a_server_far_away_connects(engine: Engine) -> None:
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
    """Its part in the fleet ended without a word as one was cancelled, and it stood aside for good."""

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
                    LinkFault(holds_backward=True),
                    LinkFault(delay_ms=900.0),
                    LinkFault(holds_forward=True),
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


def test_a_server_that_floods_or_says_nothing_is_ended(
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
            assert service.shown()["streams_failed"] == {"deadline_exceeded": 1, "resource_exhausted": 1}

    anyio.run(play)


def test_a_slow_reader_is_ended_and_nothing_is_kept_for_it(engine: Engine) -> None:
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
                assert service.shown()["streams_failed"] == {"resource_exhausted": 1}
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
                # one server of the kind was asked, and each checked the text that it went over to
                assert sum(agent.counts["checked"] for agent in agents) == 3
                assert service.shown()["versions"]

    anyio.run(play)
    encoder = MessageEncoder()
    first = encoder.encode(PolicyUpdate(1, "c", "d", "text"))
    assert encoder.encode(PolicyUpdate(1, "c", "d", "text")) is first


def test_a_frozen_server_stands_aside_in_its_first_turn_and_a_slow_check_holds_up_nothing(
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
                agent.pulse(clock.monotonic())
                agent.pulse(clock.monotonic() + 60_000.0)
                agent.pulse(clock.monotonic())
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


def test_consent_between_relays_is_asked_for_by_name_and_garbage_is_no_request(engine: Engine) -> None:
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


def test_an_address_that_is_taken_and_too_few_descriptors_are_said(
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


def test_a_fingerprint_covers_each_field_of_a_configuration() -> None:
    request_class = RequestClass("a", Idempotency.SAFE, 1.0, 10.0, 20.0)
    for value, keys in (
        (LocalConfiguration((), ()), fingerprint._configuration_fields(LocalConfiguration((), ()))),
        (request_class, fingerprint._request_class_fields(request_class)),
        (Tenant("t", 0.5), fingerprint._tenant_fields(Tenant("t", 0.5))),
        (Limits(), fingerprint._limits_fields(Limits())),
    ):
        assert len(keys) == len(fields(value))


def test_a_kind_is_what_a_server_judges_by() -> None:
    own = LocalConfiguration((), (Tenant("t", 0.5, 1.0),), 3)
    assert server_fingerprint(own) == server_fingerprint(LocalConfiguration((), (Tenant("t", 0.5, 1.0),), 3))
    others = [replace(own, servers=4), replace(own, tenants=()), replace(own, shares_below=False)]
    kinds = [
        server_fingerprint(own),
        server_fingerprint(own, "another program"),
        *map(server_fingerprint, others),
    ]
    assert len(set(kinds)) == len(kinds)


RELAY = 'store = ["127.0.0.1:1"]\nbound_ms = 3000\n[relay]\ncell = "a"\naddress = "127.0.0.1:2"\n'
SERVER = 'relays = ["127.0.0.1:2", "127.0.0.1:3"]\n'


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (SERVER, "server_lease_ms: 3000 is not from 1000 to bound_ms, which is 2000"),
        (SERVER + "server_lease_ms = 999", "server_lease_ms: 999 is not"),
        (SERVER + 'bound_ms = 3000\nstart = "folder"', "start: "),
        (SERVER + 'bound_ms = 3000\nfolder = "f"', "folder: a server with relays keeps nothing"),
        ('bound_ms = 3000\nrelays = ["a"]', "relays: 'a' is no address and port"),
        ('bound_ms = 3000\nrelays = ["a:0"]', "relays: 'a:0'"),
        ('bound_ms = 3000\nrelays = ["a:1", "a:1"]', "relays: an address is there twice"),
        ('bound_ms = 3000\nrelays = ["a:1"]\n[relay]\ncell = "a"\naddress = "a:1"', "relays: a server's"),
        (RELAY, 'relay.folder: absent = "wait" with one relay needs one'),
        (RELAY + 'candidates = ["127.0.0.1:3"]', "relay.candidates: this relay's own address"),
        (RELAY + 'folder = "f"\nlisten = "0.0.0.0"', "relay.listen: '0.0.0.0' is no address and port"),
        (RELAY + 'candidates = ["127.0.0.1:2", "127.0.0.1:3"]\nfolder = "f"', "relay.folder: the relays"),
        (RELAY + 'folder = "f"\nsessions_most = 0', "relay.sessions_most: 0"),
        (RELAY + 'folder = "f"\nother = 1', ".relay: Object contains unknown field `other`"),
        (RELAY.replace('"a"', '"a/b"') + 'folder = "f"', "relay.cell"),
        (RELAY.replace("127.0.0.1:2", "nowhere") + 'folder = "f"', "relay.address"),
        ('folder = "g"\n' + RELAY + 'folder = "f"', "folder: a relay's is in its table [relay]"),
        ('start = "folder"\n' + RELAY + 'candidates = ["127.0.0.1:2", "127.0.0.1:3"]', "start: "),
        (RELAY + 'folder = "f"\n[tls]\nca = "c"', "tls: a relay shows"),
        ("", "store: from 1 to 9"),
    ],
)
def test_files_that_would_break_a_promise_are_refused_by_their_key(
    tmp_path: Path, text: str, says: str
) -> None:
    path = tmp_path / "cells.toml"
    path.write_text(f'version = 1\nfleet = "f"\n{text}\n')
    with pytest.raises(InvalidFleetError) as why:
        read_fleet(path)
    assert str(why.value).startswith(f"cells.toml: {says}"), why.value


def test_files_of_cells_are_read_whole(tmp_path: Path) -> None:
    path = tmp_path / "cells.toml"
    path.write_text(f'version = 1\nfleet = "f"\nbound_ms = 3000\n{SERVER}')
    server = read_fleet(path)
    assert (
        server.relays == ("127.0.0.1:2", "127.0.0.1:3") and not server.stores and not server.state_directory
    )
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}folder = "f"\n')
    alone = read_fleet(path)
    assert alone.state_directory == tmp_path / "f" and not alone.rules.is_shared
    assert alone.relay and alone.relay.listen == alone.relay.address
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}folder = "f"\nlisten = "0.0.0.0:4"\n')
    role = read_fleet(path).relay
    assert role and (role.address, role.listen) == ("127.0.0.1:2", "0.0.0.0:4")
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}candidates = ["127.0.0.1:3", "127.0.0.1:2"]\n')
    shared = read_fleet(path)
    assert shared.rules.is_shared and shared.relay
    assert shared.relay.candidates == ("127.0.0.1:2", "127.0.0.1:3")


def test_the_example_is_a_relay_s_file_and_each_command_wants_its_own(tmp_path: Path) -> None:
    example = ROOT / "deploy/relay.toml"
    assert read_fleet(example).rules.is_shared
    server = tmp_path / "server.toml"
    server.write_text(f'version = 1\nfleet = "f"\nbound_ms = 3000\n{SERVER}')
    runner = CliRunner()
    for words, says in (
        (["relay", "--fleet", str(server)], "relay: the file has no such table"),
        (["relay", "status", "--fleet", str(example)], "no relay answers"),
        (["relay"], "Missing option"),
        (["status", "--fleet", str(server)], "store: a command needs the store's address"),
    ):
        found = runner.invoke(fleet_command, words, env={"TMPDIR": str(tmp_path)})
        assert found.exit_code == 2 and says in found.output, found.output
    with pytest.raises(ConfigurationError, match="this file is a relay's"):
        ServerFiles(None, fleet=str(example)).read_fleet()
