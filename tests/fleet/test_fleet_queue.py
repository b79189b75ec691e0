"""Changes that wait for their turn, as operators see them: the commands against the store's stand-in."""

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
    """One of the operators' commands, begun."""

    def __init__(self, engine: Engine, *words: str) -> None:
        env = os.environ | {"OTTERRUDDER_FLEET": str(engine.folder / "fleet.toml"), "PYTHONUNBUFFERED": "1"}
        line = [sys.executable, "-m", "otterrudder", "fleet", *words]
        self.out = engine.folder / f"out-{len(list(engine.folder.glob('out-*')))}"
        with self.out.open("wb") as out:
            self.process = subprocess.Popen(line, cwd=ROOT, env=env, stdout=out, stderr=out)

    def until_says(self, words: str) -> str:
        """All that it has said by then."""
        until = time.monotonic() + WAIT_S
        while words not in (said := self.out.read_text()):
            assert time.monotonic() < until, said
            time.sleep(0.02)
        return said

    def ended(self) -> tuple[int, str]:
        return self.process.wait(WAIT_S), self.out.read_text()


def policy(engine: Engine, number: int) -> str:
    path = engine.folder / f"policy-{number}.toml"
    path.write_text(f"version = 1\n# number {number}\n")
    return str(path)


def put(engine: Engine, write: Put) -> None:
    async def play() -> None:
        client = engine.client()  # it writes the fleet's file as well
        await client.commit((), (write,), 1000.0)
        await client.close()

    anyio.run(play)


def ident_of(said: str) -> str:
    return said.split("queued as ")[1].split(":")[0]


def test_changes_take_their_turns_one_is_withdrawn_and_one_was_made_from_another_policy(
    engine: Engine,
) -> None:
    keys = Keys("f")
    put(engine, Put(keys.roster("absent"), encode(RosterEntry("folder", "wait"))))
    first = Command(engine, "policy", "apply", policy(engine, 1))
    while "open: version 1" not in Command(engine, "status").ended()[1] and first.process.poll() is None:
        pass
    queued = [
        Command(engine, "policy", "apply", policy(engine, 2), "--queue", "--note", "second"),
    ]
    idents = [ident_of(queued[0].until_says("1 before it"))]
    queued.append(Command(engine, "policy", "apply", policy(engine, 3), "--queue", "--note", "third"))
    idents.append(ident_of(queued[1].until_says("2 before it")))

    code, said = Command(engine, "policy", "apply", policy(engine, 4)).ended()
    assert code == ABORTED and "2 changes are waiting in the queue and come first" in said
    code, said = Command(engine, "policy", "queue").ended()
    lines = [line.split() for line in said.splitlines()]
    assert code == 0 and [line[0] for line in lines] == ["open", "1", "2"]
    assert [line[1] for line in lines[1:]] == idents
    assert "waiting: 2" in Command(engine, "status").ended()[1]

    assert Command(engine, "policy", "withdraw", idents[1]).ended() == (0, "withdrawn: nothing has changed\n")
    code, said = queued[1].ended()
    assert code == ABORTED and "withdrawn before its turn" in said
    assert Command(engine, "policy", "withdraw", idents[1]).ended()[0] == 0  # it is told what is so

    assert Command(engine, "gone", "absent").ended()[0] == 0  # whom the open change waited for
    assert first.ended()[0] == 0
    code, said = queued[0].ended()
    assert code == 0 and "its turn has come" in said and "version 2 is in force" in said

    base = ("--queue", "--base", "1")
    code, said = Command(engine, "policy", "apply", policy(engine, 5), *base).ended()
    assert code == ABORTED and "which is not in force at its turn" in said
    code, said = Command(engine, "policy", "apply", policy(engine, 6), "--queue", "--base", "2").ended()
    assert code == 0 and "version 3 is in force" in said
    assert Command(engine, "policy", "apply", policy(engine, 6), "--base", "2").ended()[0] == BAD_INPUT
