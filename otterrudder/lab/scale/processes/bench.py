"""A store's stand-in with hollow servers round it, and an operator who changes the policy."""

import contextlib
import json
import secrets
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from otterrudder.fleet.change import propose, whole
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.records import Absent, Keys, View
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.processes.rig import levels_text
from otterrudder.lab.processes.standins import SETTINGS
from otterrudder.lab.scale.hollow import Switched
from otterrudder.lab.scale.processes.children import Child, running
from otterrudder.lab.scale.processes.usage import Usage

STORE_MODULE = "otterrudder.lab.processes.etcd"
HOLLOW_MODULE = "otterrudder.lab.scale.hollow"
TIMEOUT_MS = 2000.0  # of the operator's requests
DEADLINE_MS = 30_000.0  # of a change
PRODUCT = "look"  # that the policies decline


class NotInTime(Exception):
    """Servers did not do in time what was waited for."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Of the fleet's file."""

    fleet: str = "scale"
    absent: Absent = "wait"
    bound_ms: float = 2000.0
    lease_ms: float = 6000.0

    def text(self, store_port: int) -> str:
        return (
            f'version = 1\nfleet = "{self.fleet}"\nstore = ["127.0.0.1:{store_port}"]\n'
            f'absent = "{self.absent}"\nbound_ms = {self.bound_ms}\nlease_ms = {self.lease_ms}\n'
            'folder = "state"\n'
        )


def policy_text(number: int, size: int) -> str:
    """A policy of at least `size` bytes, each number with a digest of its own; comments fill it up."""
    table = levels_text(PRODUCT).replace("[[level]]", "[[levels.level]]")
    text = f"# policy {number}\nversion = 1\n[levels]\n{table}"
    filling = "# " + "-" * 77 + "\n"
    return text + filling * max(-(-(size - len(text)) // len(filling)), 0)


def write_configuration(path: Path) -> None:
    """A server's own, which says against what it checks a policy; nothing is listened at."""
    nowhere = "127.0.0.1:1"
    told = {
        "name": "hollow",
        "listen": nowhere,
        "runtime": nowhere,
        "registry": nowhere,
        "seed": "1",
        "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": SETTINGS,
    }
    path.write_text(json.dumps(told))


class StandIn:
    """The store's process."""

    def __init__(self, child: Child, port: int) -> None:
        self.child, self.port = child, port

    async def report(self, prefix: str = "") -> StoreReport:
        """What it has counted; the moments of writes are those under the prefix."""
        line = await self.child.ask(json.dumps({"report": prefix}).encode())
        return msgspec.json.decode(line, type=StoreReport)

    @staticmethod
    @contextlib.asynccontextmanager
    async def running(folder: Path) -> AsyncIterator["StandIn"]:
        async with running(STORE_MODULE, ["0"], folder / "store.log") as child:
            yield StandIn(child, int(await child.read_line()))


class Operator:
    """Proposes changes as the operators' command does: by a connection of its own, with one read and one
    write."""

    def __init__(self, fleet_file: Path) -> None:
        self._fleet = read_fleet(fleet_file)
        self.keys = Keys(self._fleet.name)

    async def propose(self, text: str, ident: str = "") -> int:
        """The version that the policy will have. StoreAway; NotInTime: another change is open. `ident`: the
        change's, from which settlers draw when they come forward; else a new one."""
        client = Client(self._fleet)
        try:
            view = View(self.keys, await client.read(whole(self.keys), TIMEOUT_MS))
            commit = propose(view, ident or secrets.token_hex(8), text, "lab", "", 0.0, DEADLINE_MS)
            done = await client.commit(commit.compares, commit.writes, TIMEOUT_MS)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        if not done.held:
            raise NotInTime("another change is open")
        return view.policy.version + 1 if view.policy else 1


@dataclass(slots=True)
class Servers:
    """What the hollow servers of all processes have told."""

    names: set[str] = field(default_factory=set)
    latest: dict[str, Switched] = field(default_factory=dict)
    arrived_ms: dict[int, dict[str, float]] = field(default_factory=dict)  # by version and server
    processes: list[Child] = field(default_factory=list)
    _news: anyio.Event = field(default_factory=anyio.Event)

    def told(self, switched: Switched) -> None:
        self.latest[switched.server] = switched
        if switched.admits:
            self.arrived_ms.setdefault(switched.version, {}).setdefault(switched.server, switched.at_ms)
        self._news.set()
        self._news = anyio.Event()

    def all_admit(self, version: int) -> bool:
        told = self.latest
        return all(name in told and told[name].admits for name in self.names) and all(
            told[name].version >= version for name in self.names
        )

    async def until_all_admit(self, version: int, most_s: float) -> None:
        """Until all go by that version or a later one. NotInTime: some do not."""
        with anyio.move_on_after(most_s):
            while not self.all_admit(version):
                await self._news.wait()
            return
        late = sorted(
            name for name in self.names if name not in self.latest or self.latest[name].version < version
        )
        raise NotInTime(f"{len(late)} of {len(self.names)} are not at version {version}: {late[:3]}")

    def usage(self) -> Usage:
        """Of all their processes together."""
        each = [Usage.of(child.pid) for child in self.processes]
        return Usage(sum(one.cpu_s for one in each), sum(one.rss_mb for one in each))

    async def listen(self, child: Child) -> None:
        """To what a process of hollow servers tells, until it ends."""
        with contextlib.suppress(anyio.EndOfStream, anyio.IncompleteRead, anyio.ClosedResourceError):
            while True:
                self.told(msgspec.json.decode(await child.read_line(), type=Switched))


@dataclass(slots=True)
class Bench:
    stand_in: StandIn
    operator: Operator
    servers: Servers


@contextlib.asynccontextmanager
async def bench_running(
    folder: Path, settings: FleetSettings, count: int, processes: int, prefix: str = "h"
) -> AsyncIterator[Bench]:
    """`count` hollow servers in so many processes, all begun; gone at the end. `prefix`: of their names."""
    fleet_file, configuration = folder / "fleet.toml", folder / "config.json"
    write_configuration(configuration)
    async with contextlib.AsyncExitStack() as stack:
        stand_in = await stack.enter_async_context(StandIn.running(folder))
        fleet_file.write_text(settings.text(stand_in.port))
        servers = Servers()
        group = await stack.enter_async_context(anyio.create_task_group())
        for first, share in _shares(count, processes):
            words = [str(fleet_file), str(configuration), "--count", str(share), "--first", str(first)]
            words += ["--folder", str(folder / "servers"), "--prefix", prefix]
            child = await stack.enter_async_context(running(HOLLOW_MODULE, words, folder / "hollow.log"))
            servers.processes.append(child)
            servers.names |= {f"{prefix}{number}" for number in range(first, first + share)}
            group.start_soon(servers.listen, child)
        yield Bench(stand_in, Operator(fleet_file), servers)


def _shares(count: int, processes: int) -> list[tuple[int, int]]:
    """The first number and the count of servers of each process."""
    bounds = [count * number // processes for number in range(processes + 1)]
    return [(first, end - first) for first, end in zip(bounds, bounds[1:], strict=False) if end > first]
