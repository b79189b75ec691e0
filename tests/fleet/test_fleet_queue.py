"""Tests the queue of changes through the operators' commands, with a simulated store in its own process."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import pytest
from engine import Engine
from helpers import ROOT

from otterrudder.fleet.records import Keys, RosterEntry, encode
from otterrudder.fleet.store import Put

pytestmark = pytest.mark.exclusive

ABORTED, BAD_INPUT = 3, 2
WAIT_S = 15.0


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[Engine]:
    engine = Engine(tmp_path)
    yield engine
    engine.stop()


class Command:
    """A running `otterrudder fleet` command."""

    def __init__(self, engine: Engine, *arguments: str) -> None:
        env = os.environ | {"OTTERRUDDER_FLEET": str(engine.folder / "fleet.toml"), "PYTHONUNBUFFERED": "1"}
        command = [sys.executable, "-m", "otterrudder", "fleet", *arguments]
        self.output_path = engine.folder / f"out-{len(list(engine.folder.glob('out-*')))}"
        with self.output_path.open("wb") as file:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=file, stderr=file)

    def wait_for_output(self, text: str) -> str:
        """Waits until the command has printed `text`. Returns its output up to then."""
        deadline = time.monotonic() + WAIT_S
        while text not in (output := self.output_path.read_text()):
            assert time.monotonic() < deadline, output
            time.sleep(0.02)
        return output

    def wait(self) -> tuple[int, str]:
        """Waits until the command has ended. Returns its exit code and output."""
        return self.process.wait(WAIT_S), self.output_path.read_text()


def write_policy(engine: Engine, number: int) -> str:
    path = engine.folder / f"policy-{number}.toml"
    path.write_text(f"version = 1\n# number {number}\n")
    return str(path)


def write_to_store(engine: Engine, write: Put) -> None:
    async def commit() -> None:
        client = engine.client()  # also writes the fleet file
        await client.commit((), (write,), 1000.0)
        await client.close()

    anyio.run(commit)


def change_id_of(output: str) -> str:
    return output.split("queued as ")[1].split(":")[0]


def test_the_queue_opens_changes_in_order_and_drops_withdrawn_and_outdated_ones(engine: Engine) -> None:
    keys = Keys("f")
    write_to_store(engine, Put(keys.roster("absent"), encode(RosterEntry("folder", "wait"))))
    first = Command(engine, "policy", "apply", write_policy(engine, 1))
    while "open: version 1" not in Command(engine, "status").wait()[1] and first.process.poll() is None:
        pass
    queued = [
        Command(engine, "policy", "apply", write_policy(engine, 2), "--queue", "--note", "second"),
    ]
    change_ids = [change_id_of(queued[0].wait_for_output("1 before it"))]
    queued.append(Command(engine, "policy", "apply", write_policy(engine, 3), "--queue", "--note", "third"))
    change_ids.append(change_id_of(queued[1].wait_for_output("2 before it")))

    code, output = Command(engine, "policy", "apply", write_policy(engine, 4)).wait()
    assert code == ABORTED and "2 changes are waiting in the queue and come first" in output
    code, output = Command(engine, "policy", "queue").wait()
    lines = [line.split() for line in output.splitlines()]
    assert code == 0 and [line[0] for line in lines] == ["open", "1", "2"]
    assert [line[1] for line in lines[1:]] == change_ids
    assert "waiting: 2" in Command(engine, "status").wait()[1]

    assert Command(engine, "policy", "withdraw", change_ids[1]).wait() == (
        0,
        "withdrawn: nothing has changed\n",
    )
    code, output = queued[1].wait()
    assert code == ABORTED and "withdrawn before its turn" in output
    assert Command(engine, "policy", "withdraw", change_ids[1]).wait()[0] == 0  # withdrawing again succeeds

    assert Command(engine, "gone", "absent").wait()[0] == 0  # the open change waited for this member
    assert first.wait()[0] == 0
    code, output = queued[0].wait()
    assert code == 0 and "its turn has come" in output and "version 2 is in force" in output

    base = ("--queue", "--base", "1")
    code, output = Command(engine, "policy", "apply", write_policy(engine, 5), *base).wait()
    assert code == ABORTED and "which is not in force at its turn" in output
    code, output = Command(
        engine, "policy", "apply", write_policy(engine, 6), "--queue", "--base", "2"
    ).wait()
    assert code == 0 and "version 3 is in force" in output
    assert Command(engine, "policy", "apply", write_policy(engine, 6), "--base", "2").wait()[0] == BAD_INPUT
