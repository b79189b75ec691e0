"""Runs a fake store with hollow servers and relays, and an operator that changes the policy."""

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
from otterrudder.lab.scale.processes.children import Child, running_child
from otterrudder.lab.scale.processes.tcp import Connections, connections_to
from otterrudder.lab.scale.processes.usage import Usage
from otterrudder.net import control

STORE_MODULE = "otterrudder.lab.processes.fake_etcd"
HOLLOW_MODULE = "otterrudder.lab.scale.hollow"
OPERATOR_TIMEOUT_MS = 2000.0  # timeout of a request of the operator
CHANGE_DEADLINE_MS = 30_000.0
PRODUCT = "look"  # product that the policies reject
CONFIGURATION = "config.json"  # file name of the configuration of the servers
RELAY_START_TIMEOUT_S = 20.0  # maximum time until the first relay of a cell leads it
POLL_S = 0.1
COUNTS_TIMEOUT_S = 10.0  # maximum time until all processes have reported their counts


def total_usage(children: Sequence[Child]) -> Usage:
    """Returns the usage of all given processes together."""
    usages = [Usage.of(child.pid) for child in children]
    return Usage(sum(usage.cpu_s for usage in usages), sum(usage.rss_mb for usage in usages))


class MeasurementError(Exception):
    """Servers or relays did not reach an expected state in time, or another change is open."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of the fleet files."""

    fleet: str = "scale"
    absent: Absent = "wait"
    bound_ms: float = 3000.0
    lease_ms: float = 6000.0
    server_lease_ms: float = 3000.0  # lease of a server of a cell

    def member_text(self, store_port: int) -> str:
        """Returns the fleet file of a plain member."""
        return f'{self._common_text(store_port)}absent = "{self.absent}"\nfolder = "state"\n'

    def server_text(self, store_port: int, relays: Sequence[str]) -> str:
        """Returns the fleet file of a server of a cell."""
        return f"{self._common_text(store_port)}relays = {json.dumps(relays)}\n"

    def relay_text(self, store_port: int, cell: str, address: str, candidates: Sequence[str]) -> str:
        """Returns the fleet file of a relay without state, for a cell of several relays."""
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
    """The numbers of hollow servers, of their processes, and of cells.

    If `cells` is 0, each server is a plain member. Otherwise the servers are spread evenly over the cells,
    with one process for each cell."""

    servers: int
    processes: int
    cells: int = 0
    relays_of_cell: int = 2


def policy_text(number: int, size: int) -> str:
    """Returns a policy of at least `size` bytes, padded with comments. Each number gives another digest."""
    table = levels_text(PRODUCT).replace("[[level]]", "[[levels.level]]")
    text = f"# policy {number}\nversion = 1\n[levels]\n{table}"
    padding = "# " + "-" * 77 + "\n"
    return text + padding * max(-(-(size - len(text)) // len(padding)), 0)


def write_configuration(path: Path) -> None:
    """Writes the server configuration against which hollow servers validate a policy.

    Its addresses are placeholders, as hollow servers neither listen nor connect to them."""
    unused_address = "127.0.0.1:1"
    configuration = {
        "name": "hollow",
        "listen": unused_address,
        "runtime": unused_address,
        "registry": unused_address,
        "seed": "1",
        "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": SETTINGS,
    }
    path.write_text(json.dumps(configuration))


class FakeStore:
    """The process of the fake store."""

    def __init__(self, child: Child, port: int) -> None:
        self.child, self.port = child, port

    async def report(self, prefix: str = "") -> StoreReport:
        """Returns the counters of the fake store, with the times of writes to the keys under `prefix`."""
        line = await self.child.request(json.dumps({"report": prefix}).encode())
        return msgspec.json.decode(line, type=StoreReport)

    @staticmethod
    @contextlib.asynccontextmanager
    async def running(folder: Path) -> AsyncIterator["FakeStore"]:
        """Runs the fake store for the duration of the block."""
        async with running_child([STORE_MODULE, "0"], folder / "store.log") as child:
            yield FakeStore(child, int(await child.read_line()))


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that was proposed to the store."""

    version: int  # version that the policy gets if it comes into force
    sent_ms: float  # time by the monotonic clock


class Operator:
    """Proposes changes as the command for operators does: with one read and one write on a new connection."""

    def __init__(self, fleet_file: Path) -> None:
        self._fleet = read_fleet(fleet_file)
        self.keys = Keys(self._fleet.name)

    async def propose(self, text: str, change_id: str = "") -> Proposal:
        """Proposes a policy.

        `change_id`: the id of the change, from which coordinators derive the delay before they claim the
        leadership; "": a random id. Raises StoreUnavailableError, or MeasurementError if another change is
        open."""
        client = Client(self._fleet)
        try:
            view = FleetSnapshot(
                self.keys, await client.read(coordination_keys(self.keys), OPERATOR_TIMEOUT_MS)
            )
            commit = propose(
                view, change_id or secrets.token_hex(8), text, "lab", "", 0.0, CHANGE_DEADLINE_MS
            )
            sent_ms = monotonic()
            result = await client.commit(commit.compares, commit.writes, OPERATOR_TIMEOUT_MS)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        if not result.succeeded:
            raise MeasurementError("another change is open")
        return Proposal(view.policy.version + 1 if view.policy else 1, sent_ms)


@dataclass(slots=True)
class HollowServers:
    """The processes of hollow servers and the reports of their servers."""

    names: set[str] = field(default_factory=set)
    latest: dict[str, Switched] = field(default_factory=dict)
    # By version and server: the time of the switch.
    switched_ms: dict[int, dict[str, float]] = field(default_factory=dict)
    processes: list[Child] = field(default_factory=list)
    _counted: dict[int, Counted] = field(default_factory=dict)  # counts by process id
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def record_switch(self, switched: Switched) -> None:
        """Records that a hollow server has switched to another version or state."""
        self.latest[switched.server] = switched
        if switched.admits:
            self.switched_ms.setdefault(switched.version, {}).setdefault(switched.server, switched.at_ms)
        self._notify()

    async def counts(self) -> Counter[str]:
        """Returns the sums of the counts of all servers."""
        self._counted.clear()
        for child in self.processes:
            await child.send_line(b"counts")
        with anyio.fail_after(COUNTS_TIMEOUT_S):
            while len(self._counted) < len(self.processes):
                await self._changed.wait()
        return sum((Counter(counted.counts) for counted in self._counted.values()), Counter())

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def all_admit(self, version: int) -> bool:
        """Returns whether all servers admit under the given version or a newer one."""
        latest = self.latest
        return all(name in latest and latest[name].admits for name in self.names) and all(
            latest[name].version >= version for name in self.names
        )

    async def wait_all_admit(self, version: int, timeout_s: float) -> None:
        """Waits until all servers admit under the given version or a newer one.

        Raises MeasurementError if some servers do not in time."""
        with anyio.move_on_after(timeout_s):
            while not self.all_admit(version):
                await self._changed.wait()
            return
        late = sorted(
            name for name in self.names if name not in self.latest or self.latest[name].version < version
        )
        raise MeasurementError(
            f"{len(late)} of {len(self.names)} servers do not apply version {version}, such as {late[:3]}"
        )

    def usage(self) -> Usage:
        """Returns the usage of all processes together."""
        return total_usage(self.processes)

    async def listen(self, child: Child) -> None:
        """Records the reports of a process of hollow servers until it ends."""
        with contextlib.suppress(anyio.EndOfStream, anyio.IncompleteRead, anyio.ClosedResourceError):
            while True:
                line = await child.read_line()
                report: Switched | Counted = msgspec.json.decode(line, type=Switched | Counted)
                if isinstance(report, Switched):
                    self.record_switch(report)
                else:
                    self._counted[child.pid] = report
                    self._notify()


@dataclass(slots=True)
class Bench:
    """A running fake store with hollow servers.

    `ports` are the ports of the store or of the relays, to which the servers connect."""

    fake_store: FakeStore
    operator: Operator
    servers: HollowServers
    ports: tuple[int, ...]
    relays: list[Child] = field(default_factory=list)

    def connections(self) -> Connections:
        """Returns the open connections of all servers."""
        return connections_to(self.ports, (child.pid for child in self.servers.processes))

    async def wait_settled(self, timeout_s: float) -> None:
        """Waits until all servers admit and each has exactly one connection.

        A relay that a server tried before another closes its connection a little later. Raises
        MeasurementError if this state is not reached in time."""
        await self.servers.wait_all_admit(0, timeout_s)
        with anyio.move_on_after(timeout_s):
            while len(self.connections()) != len(self.servers.names):
                await anyio.sleep(POLL_S)
            return
        raise MeasurementError(
            f"{len(self.servers.names)} servers have {len(self.connections())} connections"
        )


@contextlib.asynccontextmanager
async def bench_running(
    folder: Path, settings: FleetSettings, layout: Layout, prefix: str = "h"
) -> AsyncIterator[Bench]:
    """Runs a bench for the duration of the block. Its relays grant leases when the block begins.

    `prefix` is the prefix of the names of the servers."""
    write_configuration(folder / CONFIGURATION)
    async with contextlib.AsyncExitStack() as stack:
        fake_store = await stack.enter_async_context(FakeStore.running(folder))
        port = fake_store.port
        member_file = folder / "fleet.toml"
        member_file.write_text(settings.member_text(port))
        bench = Bench(fake_store, Operator(member_file), HollowServers(), (port,))
        files = [member_file] * layout.processes
        if layout.cells:
            cells = [_make_cell(layout, number) for number in range(layout.cells)]
            for number in range(layout.relays_of_cell):
                for cell in cells:
                    child = await _start_relay(stack, folder, settings, port, cell, number)
                    bench.relays.append(child)
                if number == 0:
                    for cell in cells:
                        await _wait_granting(folder / f"otterrudder-relay-{cell.relays[0]}.sock")
            bench.ports = tuple(int(relay.rpartition(":")[2]) for cell in cells for relay in cell.relays)
            files = [_write_server_file(folder, settings, port, cell) for cell in cells]
        await _start_servers(stack, folder, bench, files, layout.servers, prefix)
        yield bench


@dataclass(frozen=True, slots=True)
class _Cell:
    name: str
    relays: tuple[str, ...]  # addresses of its relays


def _make_cell(layout: Layout, number: int) -> _Cell:
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
    arguments = ["otterrudder", "fleet", "relay", "--fleet", str(path)]
    log = path.with_suffix(".log")
    return await stack.enter_async_context(running_child(arguments, log, folder=folder, stops_by_signal=True))


async def _wait_granting(control_path: Path) -> None:
    """Waits until a relay leads its cell and may grant leases.

    Raises MeasurementError if it doesn't in time."""
    with anyio.move_on_after(RELAY_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, ValueError):
                status = await anyio.to_thread.run_sync(control.query_path, control_path, "relay")
                relay = status["relay"]
                if isinstance(relay, dict) and relay["leads"] and relay["authority_left_ms"]:
                    return
            await anyio.sleep(POLL_S)
    raise MeasurementError(
        f"{control_path.name}: the relay did not grant leases within {RELAY_START_TIMEOUT_S:g} s"
    )


async def _start_servers(
    stack: contextlib.AsyncExitStack,
    folder: Path,
    bench: Bench,
    files: Sequence[Path],
    count: int,
    prefix: str,
) -> None:
    """Starts a process of hollow servers for each file, and spreads `count` servers evenly over them."""
    group = await stack.enter_async_context(anyio.create_task_group())
    bounds = [count * number // len(files) for number in range(len(files) + 1)]
    for file, first, end in zip(files, bounds, bounds[1:], strict=False):
        if first == end:
            continue
        arguments = [HOLLOW_MODULE, str(file), str(folder / CONFIGURATION), "--count", str(end - first)]
        arguments += ["--first", str(first), "--folder", str(folder / "servers"), "--prefix", prefix]
        child = await stack.enter_async_context(running_child(arguments, folder / "hollow.log"))
        bench.servers.processes.append(child)
        bench.servers.names |= {f"{prefix}{number}" for number in range(first, end)}
        group.start_soon(bench.servers.listen, child)
