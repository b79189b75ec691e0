"""A store's stand-in with hollow servers round it, and an operator who changes the policy."""

import contextlib
import json
import secrets
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec

from otterrudder.clock import monotonic
from otterrudder.fleet.change import coordination_keys, propose
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.records import Absent, FleetSnapshot, Keys
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.processes.fake_settings import SETTINGS
from otterrudder.lab.processes.link import free_port
from otterrudder.lab.processes.policies import levels_text
from otterrudder.lab.scale.hollow import Counted, Switched
from otterrudder.lab.scale.processes.children import Child, running
from otterrudder.lab.scale.processes.tcp import Connections, connections_to
from otterrudder.lab.scale.processes.usage import Usage
from otterrudder.net import control

STORE_MODULE = "otterrudder.lab.processes.fake_etcd"
HOLLOW_MODULE = "otterrudder.lab.scale.hollow"
TIMEOUT_MS = 2000.0  # of the operator's requests
DEADLINE_MS = 30_000.0  # of a change
PRODUCT = "look"  # that the policies decline
CONFIGURATION = "config.json"  # name of the servers' configuration file
RELAY_UP_S = 20.0  # s that a cell may take until its first relay leads
LOOK_S = 0.1  # s between looks at that
COUNTS_S = 10.0  # s that the servers' processes may take to tell their counts


def usage_of(children: Sequence[Child]) -> Usage:
    """Of all these processes together."""
    each = [Usage.of(child.pid) for child in children]
    return Usage(sum(one.cpu_s for one in each), sum(one.rss_mb for one in each))


class NotInTimeError(Exception):
    """Servers did not do in time what was waited for."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Of the fleet's file."""

    fleet: str = "scale"
    absent: Absent = "wait"
    bound_ms: float = 3000.0
    lease_ms: float = 6000.0
    server_lease_ms: float = 3000.0  # of a server of a cell

    def member_text(self, store_port: int) -> str:
        """The file of a member of its own."""
        return f'{self._common_text(store_port)}absent = "{self.absent}"\nfolder = "state"\n'

    def server_text(self, store_port: int, relays: Sequence[str]) -> str:
        """The file of a server of a cell."""
        return f"{self._common_text(store_port)}relays = {json.dumps(relays)}\n"

    def relay_text(self, store_port: int, cell: str, address: str, candidates: Sequence[str]) -> str:
        """The file of one of a cell's several relays, which keep nothing."""
        return (
            f'{self._common_text(store_port)}absent = "{self.absent}"\n[relay]\ncell = "{cell}"\n'
            f'address = "{address}"\ncandidates = {json.dumps(candidates)}\n'
        )

    def _common_text(self, store_port: int) -> str:
        return (
            f'version = 1\nfleet = "{self.fleet}"\nstore = ["127.0.0.1:{store_port}"]\n'
            f"bound_ms = {self.bound_ms}\nlease_ms = {self.lease_ms}\n"
            f"server_lease_ms = {self.server_lease_ms}\n"
        )


@dataclass(frozen=True, slots=True)
class Layout:
    """How many hollow servers, in how many processes. `cells`: 0 where each server is a member of its own,
    else the servers and their processes are shared out evenly."""

    servers: int
    processes: int
    cells: int = 0
    relays_of_cell: int = 2


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
        """The fake store's process, ended at the end of the block."""
        async with running([STORE_MODULE, "0"], folder / "store.log") as child:
            yield StandIn(child, int(await child.read_line()))


@dataclass(frozen=True, slots=True)
class Proposed:
    """A change that was sent to the store."""

    version: int  # that the policy will have
    sent_ms: float  # when the proposal was sent, by the monotonic clock


class Operator:
    """Proposes changes as the operators' command does: by a connection of its own, with one read and one
    write."""

    def __init__(self, fleet_file: Path) -> None:
        self._fleet = read_fleet(fleet_file)
        self.keys = Keys(self._fleet.name)

    async def propose(self, text: str, ident: str = "") -> Proposed:
        """StoreUnavailableError; NotInTimeError: another change is open. `ident`: the change's, from which
        coordinators draw when they come forward; else a new one."""
        client = Client(self._fleet)
        try:
            view = FleetSnapshot(self.keys, await client.read(coordination_keys(self.keys), TIMEOUT_MS))
            commit = propose(view, ident or secrets.token_hex(8), text, "lab", "", 0.0, DEADLINE_MS)
            sent_ms = monotonic()
            done = await client.commit(commit.compares, commit.writes, TIMEOUT_MS)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        if not done.succeeded:
            raise NotInTimeError("another change is open")
        return Proposed(view.policy.version + 1 if view.policy else 1, sent_ms)


@dataclass(slots=True)
class Servers:
    """What the hollow servers of all processes have told."""

    names: set[str] = field(default_factory=set)
    latest: dict[str, Switched] = field(default_factory=dict)
    arrived_ms: dict[int, dict[str, float]] = field(default_factory=dict)  # by version and server
    processes: list[Child] = field(default_factory=list)
    _counted: dict[int, Counted] = field(default_factory=dict)  # by process
    _news: anyio.Event = field(default_factory=anyio.Event)

    def told(self, switched: Switched) -> None:
        """A hollow server has switched."""
        self.latest[switched.server] = switched
        if switched.admits:
            self.arrived_ms.setdefault(switched.version, {}).setdefault(switched.server, switched.at_ms)
        self._announce()

    async def counts(self) -> Counter[str]:
        """What all of them have counted, together."""
        self._counted.clear()
        for child in self.processes:
            await child.tell(b"counts")
        with anyio.fail_after(COUNTS_S):
            while len(self._counted) < len(self.processes):
                await self._news.wait()
        return sum((Counter(counted.counts) for counted in self._counted.values()), Counter())

    def _announce(self) -> None:
        self._news.set()
        self._news = anyio.Event()

    def all_admit(self, version: int) -> bool:
        """Whether all servers admit under this version or a newer one."""
        told = self.latest
        return all(name in told and told[name].admits for name in self.names) and all(
            told[name].version >= version for name in self.names
        )

    async def until_all_admit(self, version: int, most_s: float) -> None:
        """Until all go by that version or a later one. NotInTimeError: some do not."""
        with anyio.move_on_after(most_s):
            while not self.all_admit(version):
                await self._news.wait()
            return
        late = sorted(
            name for name in self.names if name not in self.latest or self.latest[name].version < version
        )
        raise NotInTimeError(f"{len(late)} of {len(self.names)} are not at version {version}: {late[:3]}")

    def usage(self) -> Usage:
        """Of all their processes together."""
        return usage_of(self.processes)

    async def listen(self, child: Child) -> None:
        """To what a process of hollow servers tells, until it ends."""
        with contextlib.suppress(anyio.EndOfStream, anyio.IncompleteRead, anyio.ClosedResourceError):
            while True:
                line = await child.read_line()
                told: Switched | Counted = msgspec.json.decode(line, type=Switched | Counted)
                if isinstance(told, Switched):
                    self.told(told)
                else:
                    self._counted[child.pid] = told
                    self._announce()


@dataclass(slots=True)
class Bench:
    """`ports`: those that the servers' connections go to."""

    stand_in: StandIn
    operator: Operator
    servers: Servers
    ports: tuple[int, ...]
    relays: list[Child] = field(default_factory=list)

    def connections(self) -> Connections:
        """Of all the servers."""
        return connections_to(self.ports, (child.pid for child in self.servers.processes))

    async def until_settled(self, most_s: float) -> None:
        """Until all servers admit, by one connection each: a relay that was tried and left ends its own a
        little later. NotInTimeError: it is not so by then."""
        await self.servers.until_all_admit(0, most_s)
        with anyio.move_on_after(most_s):
            while len(self.connections()) != len(self.servers.names):
                await anyio.sleep(LOOK_S)
            return
        raise NotInTimeError(f"{len(self.servers.names)} servers have {len(self.connections())} connections")


@contextlib.asynccontextmanager
async def bench_running(
    folder: Path, settings: FleetSettings, layout: Layout, prefix: str = "h"
) -> AsyncIterator[Bench]:
    """All of it begun, and the relays at work; gone at the end. `prefix`: of the servers' names."""
    write_configuration(folder / CONFIGURATION)
    async with contextlib.AsyncExitStack() as stack:
        stand_in = await stack.enter_async_context(StandIn.running(folder))
        port = stand_in.port
        member_file = folder / "fleet.toml"
        member_file.write_text(settings.member_text(port))
        bench = Bench(stand_in, Operator(member_file), Servers(), (port,))
        files = [member_file] * layout.processes
        if layout.cells:
            cells = [_plan_cell(layout, number) for number in range(layout.cells)]
            for number in range(layout.relays_of_cell):
                for cell in cells:
                    child = await _start_relay(stack, folder, settings, port, cell, number)
                    bench.relays.append(child)
                if number == 0:
                    for cell in cells:
                        await _until_granting(folder / f"otterrudder-relay-{cell.relays[0]}.sock")
            bench.ports = tuple(int(relay.rpartition(":")[2]) for cell in cells for relay in cell.relays)
            files = [_write_server_file(folder, settings, port, cell) for cell in cells]
        await _start_servers(stack, folder, bench, files, layout.servers, prefix)
        yield bench


@dataclass(frozen=True, slots=True)
class _Cell:
    name: str
    relays: tuple[str, ...]  # addresses


def _plan_cell(layout: Layout, number: int) -> _Cell:
    return _Cell(f"z{number}", tuple(f"127.0.0.1:{free_port()}" for _ in range(layout.relays_of_cell)))


def _write_server_file(folder: Path, settings: FleetSettings, store_port: int, cell: _Cell) -> Path:
    path = folder / f"fleet-{cell.name}.toml"
    path.write_text(settings.server_text(store_port, cell.relays))
    return path


async def _start_relay(
    stack: contextlib.AsyncExitStack,
    folder: Path,
    settings: FleetSettings,
    store_port: int,
    cell: _Cell,
    number: int,
) -> Child:
    path = folder / f"relay-{cell.name}-{number}.toml"
    path.write_text(settings.relay_text(store_port, cell.name, cell.relays[number], cell.relays))
    words = ["otterrudder", "fleet", "relay", "--fleet", str(path)]
    log = path.with_suffix(".log")
    return await stack.enter_async_context(running(words, log, folder=folder, ends_by_signal=True))


async def _until_granting(control_path: Path) -> None:
    """Until a relay leads its cell and may grant leases. NotInTimeError: it does not."""
    with anyio.move_on_after(RELAY_UP_S):
        while True:
            with contextlib.suppress(OSError, ValueError):
                told = await anyio.to_thread.run_sync(control.query_path, control_path, "relay")
                relay = told["relay"]
                if isinstance(relay, dict) and relay["leads"] and relay["authority_left_ms"]:
                    return
            await anyio.sleep(LOOK_S)
    raise NotInTimeError(f"{control_path.name}: it grants no leases")


async def _start_servers(
    stack: contextlib.AsyncExitStack,
    folder: Path,
    bench: Bench,
    files: Sequence[Path],
    count: int,
    prefix: str,
) -> None:
    """A process of hollow servers for each of the files, which share `count` evenly."""
    group = await stack.enter_async_context(anyio.create_task_group())
    bounds = [count * number // len(files) for number in range(len(files) + 1)]
    for file, first, end in zip(files, bounds, bounds[1:], strict=False):
        if first == end:
            continue
        words = [HOLLOW_MODULE, str(file), str(folder / CONFIGURATION), "--count", str(end - first)]
        words += ["--first", str(first), "--folder", str(folder / "servers"), "--prefix", prefix]
        child = await stack.enter_async_context(running(words, folder / "hollow.log"))
        bench.servers.processes.append(child)
        bench.servers.names |= {f"{prefix}{number}" for number in range(first, end)}
        group.start_soon(bench.servers.listen, child)
