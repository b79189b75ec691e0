"""Tests the store client, and the agent on top of it, against a simulated store, with the faults that a store
and its network can have."""

import json
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from engine import Engine

from otterrudder import clock
from otterrudder.durable import DirectoryInUseError, StateDirectory
from otterrudder.fleet.agent import Agent, ServerControl
from otterrudder.fleet.change import ChangeCoordinator, propose
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import Fleet, read_fleet
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot, Keys, MemberStatus
from otterrudder.fleet.state import Rules
from otterrudder.fleet.state_file import open_state_directory
from otterrudder.fleet.store import (
    CommitResult,
    Compare,
    Delete,
    LeaseResult,
    Put,
    Snapshot,
    StoreUnavailableError,
    WatchEvent,
)
from otterrudder.lab.keyspace import KeySpace
from otterrudder.lab.processes.launch import ROOT
from otterrudder.lab.processes.link import Link, LinkFault

pytestmark = pytest.mark.exclusive

TIMEOUT_MS = 1000.0  # long enough to open a channel on a loaded machine


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[Engine]:
    engine = Engine(tmp_path)
    yield engine
    engine.stop()


def test_reads_commits_and_leases_match_the_simulated_key_space(engine: Engine) -> None:
    async def run_scenario() -> None:
        client, space = engine.client(), KeySpace()
        writes = [Put("f/head/a", b"1"), Put("f/head/ab", b"2"), Put("f/live/a", b"3"), Put("f/b", b"4")]
        assert (await client.commit([Compare("f/b", "created", 0)], writes, TIMEOUT_MS)).succeeded
        assert space.commit([Compare("f/b", "created", 0)], writes).succeeded
        assert not (await client.commit([Compare("f/b", "created", 0)], writes, TIMEOUT_MS)).succeeded
        short_lease = (await client.lease(1000.0, TIMEOUT_MS)).lease
        long_lease = (await client.lease(60_000.0, TIMEOUT_MS)).lease
        writes = [Put("f/live/c", b"5", short_lease), Put("f/live/d", b"6", long_lease)]
        await client.commit([], writes, TIMEOUT_MS)
        read = await client.read(["f/head/", "f/live/", "f/b", "f/none"], TIMEOUT_MS)
        assert sorted(read.entries) == ["f/b", "f/head/a", "f/head/ab", "f/live/a", "f/live/c", "f/live/d"]
        expected = space.read(["f/head/", "f/b"]).entries
        assert {key: read.entries[key] for key in expected} == expected
        renewed = await client.renew(long_lease, TIMEOUT_MS)
        assert renewed == (long_lease, read.revision, read.cluster)
        await anyio.sleep(1.3)
        remaining = await client.read(["f/live/"], TIMEOUT_MS)
        assert sorted(remaining.entries) == ["f/live/a", "f/live/d"]
        assert not (await client.renew(short_lease, TIMEOUT_MS)).lease
        assert not (await client.commit([], [Put("f/x", b"", short_lease)], TIMEOUT_MS)).succeeded
        deleted = await client.commit([], [Delete("f/live/", True), Delete("f/b")], TIMEOUT_MS)
        assert sorted((await client.read(["f/head/", "f/live/", "f/b"], TIMEOUT_MS)).entries) == [
            "f/head/a",
            "f/head/ab",
        ]
        assert deleted.revision > remaining.revision and read.cluster == remaining.cluster != 0
        await client.close()

    anyio.run(run_scenario)


def test_a_lost_answer_is_an_error_and_a_read_shows_what_took_effect(engine: Engine) -> None:
    async def run_scenario() -> None:
        client = engine.client()
        engine.set_faults(lose_answers=1)
        with pytest.raises(StoreUnavailableError):
            await client.commit([], [Put("f/a", b"1")], TIMEOUT_MS)
        assert (await client.read(["f/a"], TIMEOUT_MS)).entries["f/a"].value == b"1"
        engine.set_faults(down=True)
        with anyio.fail_after(3), pytest.raises(StoreUnavailableError):
            await client.read(["f/a"], TIMEOUT_MS)
        engine.set_faults(down=False)
        with anyio.fail_after(3):
            while True:
                try:
                    await client.read(["f/a"], TIMEOUT_MS)
                    break
                except StoreUnavailableError:
                    await anyio.sleep(0.05)
        await client.close()

    anyio.run(run_scenario)


def test_the_client_reconnects_to_a_restarted_store_and_sees_a_new_cluster_id(engine: Engine) -> None:
    async def run_scenario() -> None:
        client = engine.client()
        await client.commit([], [Put("f/a", b"1")], TIMEOUT_MS)
        before = await client.read(["f/a"], TIMEOUT_MS)
        engine.stop()
        with pytest.raises(StoreUnavailableError):
            await client.read(["f/a"], TIMEOUT_MS)
        engine.start()
        engine.set_faults(empty=1)
        with anyio.fail_after(5):
            while True:
                try:
                    after = await client.read(["f/a"], TIMEOUT_MS)
                    break
                except StoreUnavailableError:
                    await anyio.sleep(0.05)
        assert not after.entries and after.cluster != before.cluster and after.revision < before.revision
        await client.close()

    anyio.run(run_scenario)


def test_the_client_connects_to_a_store_with_a_high_latency(engine: Engine) -> None:
    """The client once gave up a connection attempt after 100 ms."""

    async def run_scenario() -> None:
        async with anyio.create_task_group() as group:
            link = Link(("127.0.0.1", engine.port))
            link.set_fault(LinkFault(delay_ms=150.0))
            group.start_soon(link.run)
            path = engine.folder / "far.toml"
            path.write_text(
                f'version = 1\nfleet = "f"\nstore = ["127.0.0.1:{link.address[1]}"]\nfolder = "far"\n'
            )
            client = Client(read_fleet(path))
            assert (await client.read(["k/"], 2000.0)).cluster
            await client.close()
            group.cancel_scope.cancel()

    anyio.run(run_scenario)


def test_a_watch_yields_events_and_ends_with_an_error(engine: Engine) -> None:
    async def run_scenario() -> None:
        client, revisions = engine.client(), []

        async def watch() -> None:
            with pytest.raises(StoreUnavailableError):
                async for event in client.watch("f/head/"):
                    revisions.append(event.revision)

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            with anyio.fail_after(3):
                while not revisions:
                    await anyio.sleep(0.02)
                result = await client.commit([], [Put("f/head/a", b"1")], TIMEOUT_MS)
                await client.commit([], [Put("f/other/a", b"1")], TIMEOUT_MS)
                while len(revisions) < 2:
                    await anyio.sleep(0.02)
            assert revisions[1] >= result.revision
            engine.set_faults(cancel_watches=1)
        assert len(revisions) == 2
        await client.close()

    anyio.run(run_scenario)


def test_a_cancelled_caller_is_cancelled_but_a_closed_channel_raises_an_error(engine: Engine) -> None:
    async def run_scenario() -> None:
        client = engine.client()
        engine.set_faults(down=True)
        with anyio.move_on_after(0.1) as scope:
            await client.read(["f/a"], 5000.0)
        assert scope.cancelled_caught
        errors: list[str] = []

        async def read() -> None:
            try:
                await client.read(["f/a"], 5000.0)
            except StoreUnavailableError as error:
                errors.append(str(error))

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.1)
            await client.close()
        assert len(errors) == 1

    anyio.run(run_scenario)


def test_the_agent_leaves_an_address_at_which_another_store_answers(engine: Engine, tmp_path: Path) -> None:
    other = Engine(tmp_path, 0x99)

    async def run_scenario() -> None:
        path = tmp_path / "both.toml"
        stores = f'["127.0.0.1:{engine.port}", "127.0.0.1:{other.port}"]'
        rules = 'absent = "leave-out"\nlease_ms = 3000\n'
        path.write_text(f'version = 1\nfleet = "f"\nstore = {stores}\n{rules}')
        fleet = read_fleet(path)
        control = ServerControl(lambda text: None, lambda is_suspended: None)
        agent = Agent(fleet, Client(fleet), "a", MemberStatus(""), lambda text: "", control, None, None)

        async def until(condition: Callable[[], bool]) -> None:
            with anyio.fail_after(15):
                while not condition():
                    await anyio.sleep(0.02)

        def admits() -> bool:
            return agent.member.admits(clock.monotonic()) is not None

        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            await until(admits)
            engine.stop()
            await until(lambda: "another store answers: cluster 99" in agent.member.distrust_reason)
            await until(lambda: not admits())  # its lease expires even if the other store renews it
            engine.start()
            await until(lambda: admits() and not agent.member.distrust_reason)
            group.cancel_scope.cancel()

    try:
        anyio.run(run_scenario)
    finally:
        other.stop()


def test_a_state_directory_stays_locked_while_a_write_is_in_progress(
    engine: Engine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise the last write of a process that ends could come after the first write of the next
    process."""
    may_write, write = threading.Event(), StateDirectory.write

    def write_slowly(self: StateDirectory, name: str, data: bytes) -> None:
        may_write.wait(10.0)
        write(self, name, data)

    monkeypatch.setattr(StateDirectory, "write", write_slowly)
    engine.client()  # writes the fleet file
    fleet = replace(read_fleet(engine.folder / "fleet.toml"), state_directory=engine.folder / "state")

    async def run_until_writing() -> Agent:
        directory, record = open_state_directory(fleet, "a")
        control = ServerControl(lambda text: None, lambda is_suspended: None)
        client, status = engine.client(), MemberStatus("")
        agent = Agent(fleet, client, "a", status, lambda text: "", control, directory, record)
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            with anyio.fail_after(5):
                while not agent.is_writing:
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        return agent

    agent = anyio.run(run_until_writing)
    with pytest.raises(DirectoryInUseError):
        open_state_directory(fleet, "a")
    may_write.set()
    deadline = time.monotonic() + 5.0
    while agent.is_writing and time.monotonic() < deadline:
        time.sleep(0.01)
    assert not agent.is_writing
    assert agent.directory
    agent.directory.close()


@pytest.mark.parametrize("fails", [False, True])
def test_a_policy_is_validated_in_a_thread_and_a_failing_validation_is_a_rejection(
    engine: Engine, fails: bool
) -> None:
    """Validation in the event loop blocked it for 29 ms with a policy of 27 KB."""

    def validate(text: str) -> str:
        time.sleep(0.6)
        return str(1 / 0) if fails else ""

    async def run_scenario() -> None:
        keys, client = Keys("f"), engine.client()
        control = ServerControl(lambda text: None, lambda is_suspended: None)
        fleet = read_fleet(engine.folder / "fleet.toml")
        agent = Agent(fleet, client, "a", MemberStatus(""), validate, control, None, None)
        max_delay_ms = 0.0
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            while agent.member.admits(clock.monotonic()) is None:
                await anyio.sleep(0.02)
            proposer = engine.client()
            snapshot = FleetSnapshot(keys, await proposer.read([keys.head], TIMEOUT_MS))
            commit = propose(snapshot, "one", "a policy", "", "", 0.0, 5000.0)
            assert (await proposer.commit(commit.compares, commit.writes, TIMEOUT_MS)).succeeded
            with anyio.fail_after(5):
                while True:
                    votes = await proposer.read([keys.votes], TIMEOUT_MS)
                    if vote := FleetSnapshot(keys, votes).vote("a"):
                        break
                    started = clock.monotonic()
                    await anyio.sleep(0.01)
                    max_delay_ms = max(max_delay_ms, clock.monotonic() - started)
            await proposer.close()
            group.cancel_scope.cancel()
        assert vote.accepted is not fails and max_delay_ms < 400.0, (vote, max_delay_ms)
        assert not fails or "ZeroDivisionError" in vote.reason

    anyio.run(run_scenario)


def test_the_agent_survives_unexpected_exceptions_and_invalid_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Unexpected exceptions of the store client, of a watch or of the choice of effects, and an invalid
    record under the fleet's keys, must not end the server. An exception in a watch or in the choice of
    effects once ended the server with all its requests."""
    space, reads, failed = KeySpace(), [0], set[str]()

    def fail_once(operation: str) -> None:
        if operation not in failed:
            failed.add(operation)
            raise ValueError(operation)

    class FaultyStore:
        async def read(self, names: list[str], timeout_ms: float) -> Snapshot:
            reads[0] += 1
            if reads[0] == 2:
                raise ValueError("read")
            return space.read(names)

        async def commit(self, compares: list[Compare], writes: list[Put], timeout_ms: float) -> CommitResult:
            return space.commit(compares, writes)

        async def lease(self, span_ms: float, timeout_ms: float) -> LeaseResult:
            return space.grant(0.0, span_ms)

        async def renew(self, lease: int, timeout_ms: float) -> LeaseResult:
            return space.renew(0.0, lease)

        async def revoke(self, lease: int, timeout_ms: float) -> None:
            space.revoke(lease)

        async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
            fail_once("watch")
            await anyio.sleep_forever()
            yield WatchEvent(0)

        async def switch_endpoint(self) -> None: ...

        async def close(self) -> None:
            fail_once("close")

    keys = Keys("f")
    space.commit([], [Put(keys.roster("x"), b"not JSON")])
    fleet = Fleet("f", (("127.0.0.1", 1),), Rules(absent="leave-out"), None, "", None, None, None)
    control = ServerControl(lambda text: None, lambda is_suspended: None)
    agent = Agent(fleet, FaultyStore(), "a", MemberStatus(""), lambda text: "", control, None, None)
    effects_for = agent.coordinator.effects_for

    def fail_first(now: float, member: Member) -> object:
        if member.observed:
            fail_once("effects")
        return effects_for(now, member)

    monkeypatch.setattr(ChangeCoordinator, "effects_for", lambda self, now, member: fail_first(now, member))

    async def run_scenario() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            with anyio.fail_after(5):
                while agent.member.admits(clock.monotonic()) is None:
                    await anyio.sleep(0.02)
                snapshot = FleetSnapshot(keys, space.read([keys.head]))
                commit = propose(snapshot, "A", "version = 1", "", "", 0.0, 1000.0)
                space.commit(commit.compares, commit.writes)
                agent.member.handle_watch_event()
                while not agent.member.prepared_vote:
                    agent.wakeup.set()
                    await anyio.sleep(0.02)
            await anyio.sleep(2.5)  # by now the coordinator has read the invalid record
            assert agent.member.admission_status(clock.monotonic()).admits
            group.cancel_scope.cancel()

    anyio.run(run_scenario)
    assert not space.leases  # the agent revoked its lease when it ended
    assert failed == {"watch", "effects", "close"}


def test_the_commands_apply_show_and_roll_back_policies(engine: Engine, tmp_path: Path) -> None:
    engine.client()  # writes the fleet file
    first, second = tmp_path / "first.toml", tmp_path / "second.toml"
    first.write_text("version = 1\n[products.look]\nvalue = 2.0\n")
    second.write_text("version = 1\n[products.look]\nvalue = 3.0\n")

    def run(*arguments: str) -> tuple[int, str]:
        env = {"OTTERRUDDER_FLEET": str(tmp_path / "fleet.toml"), "PATH": "", "USER": "ann"}
        result = subprocess.run(
            [sys.executable, "-m", "otterrudder", "fleet", *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=env,
        )
        return result.returncode, result.stdout + result.stderr

    assert run("status") == (0, "f, on the store e7cd: no policy yet: each server uses its own files\n")
    assert run("policy", "back")[0] == 3
    code, text = run("policy", "apply", str(first))
    assert code == 3 and "f has no members yet on the store e7cd: is it the right store?" in text
    assert run("policy", "apply", str(first), "--first", "--note", "one") == (0, "version 1 is in force\n")
    code, text = run("policy", "diff", str(second))
    assert code == 1 and "-value = 2.0\n+value = 3.0" in text
    assert run("policy", "apply", str(second), "--trial", "5")[0] == 2  # a trial requires a condition
    assert "figures are" in run("policy", "apply", str(second), "--trial", "5", "--if", "luck > 1")[1]
    code, text = run("policy", "apply", str(second), "--trial", "5", "--if", "given_up > 0.05")
    assert code == 0 and "on trial for 5 s: the fleet rolls back automatically if given_up > 0.05" in text
    assert json.loads(run("status", "--json")[1])["trial"]["now"] == "not known yet"
    assert run("policy", "back")[0] == 0
    assert run("policy", "show") == (0, first.read_text())
    assert run("policy", "show", "--version", "2") == (0, second.read_text())
    assert run("policy", "show", "--version", "9")[0] == 3
    ends = json.loads(run("policy", "history", "--json")[1])
    assert [(end["version"], end["author"], end["note"]) for end in ends] == [
        (1, "ann", "one"),
        (2, "ann", ""),
        (3, "ann", "back to version 1"),
    ]
    assert run("gone", "n7") == (3, "otterrudder: n7 is not on the roster\n")
    engine.set_faults(down=True)
    code, text = run("status")
    assert code == 4 and text.startswith("otterrudder: the store does not answer")
    engine.set_faults(down=False)
