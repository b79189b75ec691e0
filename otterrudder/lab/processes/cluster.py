"""A cluster of processes: several servers, started with the operators' command, their fake peers, the fake
store, and links between them into which faults can be injected.

Each server has a directory (its disk, which survives a kill), a fake runtime, a fake gateway, and links: from
the server to the store, the runtime and service discovery, and from the gateway to the server. All sockets
listen on loopback, on free ports. Every exit path, Ctrl-C included, kills all child processes by their ids;
the fake store also exits when its standard input ends."""

import contextlib
import json
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Self

import anyio
import anyio.abc
import anyio.to_thread

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.event_log import EventLog
from otterrudder.lab.processes.failpoints import ArmedFailpoint, Failpoints
from otterrudder.lab.processes.fake_discovery import FakeDiscovery
from otterrudder.lab.processes.fake_etcd import CLUSTER
from otterrudder.lab.processes.fake_gateway import FakeGateway
from otterrudder.lab.processes.fake_runtime import LONG_RUN_MS, FakeRuntime
from otterrudder.lab.processes.fake_settings import SAFE_PRODUCT, SETTINGS, STOP_MS
from otterrudder.lab.processes.history import (
    ClusterHistory,
    DrainRecord,
    ListingRecord,
    RequestOutcome,
    TimeSpan,
    VersionInForce,
    WireHistory,
)
from otterrudder.lab.processes.history_checker import DRAIN_SLACK_MS
from otterrudder.lab.processes.launch import ROOT, child_environment
from otterrudder.lab.processes.link import DatagramLink, Link, free_port
from otterrudder.lab.processes.operators import OperatorCommands
from otterrudder.lab.processes.policies import levels_text
from otterrudder.lab.processes.policy_observer import PolicyObserver
from otterrudder.lab.processes.server_process import (
    LOG_FILE,
    STATE_DIRECTORY,
    Disturbance,
    ServerProcess,
)
from otterrudder.lab.processes.store_process import StoreProcess

FLEET = "rig"  # name of the fleet
SERVER_START_TIMEOUT_S = 20.0  # until a server completes a request
FINAL_ANSWERS_WAIT_S = 0.5  # wait for the answers to open requests at the end of a run
STALL_MS = 60.0  # a longer delay of this process's event loop is recorded as a stall
STALL_POLL_S = 0.02
CLAIM_TIMEOUT_S = 0.5  # maximum time from the claim of a failpoint until its process has stopped
MAX_RUN_WAIT_S = 2.0  # maximum wait for a server to start a run
RUN_POLL_S = 0.005
LONG_RUNS_LEAD_S = 0.25  # time before a drain in which long runs are started, which the drain has to await
REJECTED_PRODUCT_TIMEOUT_S = 3.0
POLL_S = 0.05
UNDETERMINED = "?"  # the product that a server rejects could not be determined


@dataclass(kw_only=True, slots=True)
class ClusterOptions:
    """The configuration of a cluster's servers."""

    absent: str = "wait"  # the fleet's rule for absent members
    start: str = "wait"
    bound_ms: float = 1000.0
    lease_ms: float = 3000.0
    pace_ms: float = 40.0  # interval between a gateway's requests
    with_fleet: bool = True  # False: the baseline, in which each server reads its own table of levels
    names_store: bool = False  # the fleet file has the cluster id of the trusted store
    mutant: str = ""  # the seeded fault of the first server, a name in mutants.MUTANTS

    def fleet_file(self, store_port: int, directory: str) -> str:
        """Returns the fleet file of a server; `directory` is the server's state directory."""
        return self._fleet_file(store_port, self.absent, self.start) + f'folder = "{directory}"\n'

    def operator_file(self, store_port: int) -> str:
        """Returns the fleet file for operator commands."""
        return self._fleet_file(store_port, "leave-out", "wait")

    def _fleet_file(self, store_port: int, absent: str, start: str) -> str:
        return (
            f'version = 1\nfleet = "{FLEET}"\nstore = ["127.0.0.1:{store_port}"]\nabsent = "{absent}"\n'
            f'start = "{start}"\nbound_ms = {self.bound_ms}\nlease_ms = {self.lease_ms}\n{self.store_id_line}'
        )

    @property
    def store_id_line(self) -> str:
        """The line with the cluster id of the trusted store, or "" if `names_store` is false."""
        return f'store_id = "{CLUSTER:x}"\n' if self.names_store else ""


class ProcessCluster:
    """The servers of a cluster, their fake peers and store, and the recorded history."""

    def __init__(self, directory: Path, server_count: int, options: ClusterOptions | None = None) -> None:
        self.directory = directory
        self.server_count = server_count
        self.options = options or ClusterOptions()
        self.events = EventLog()
        self.wire = WireHistory()
        self.discovery = FakeDiscovery()
        self.failpoints = Failpoints(directory)
        self.observer = PolicyObserver()
        self.operators = OperatorCommands(
            directory, self.failpoints.for_proposers, self.observer, self.events
        )
        store_port = free_port() if self.options.with_fleet else 0
        self.store = StoreProcess(directory, store_port, FLEET, self.events)
        self.servers: list[ServerProcess] = []
        self.drains: list[DrainRecord] = []
        self.twins: list[subprocess.Popen[bytes]] = []  # they use the name of a running server
        self.other_processes: list[subprocess.Popen[bytes]] = []  # started by subclasses
        self.server_command = _server_command()
        self.mutant_command = ""  # command of the first server if it has a seeded fault
        if self.options.mutant:
            module = "otterrudder.lab.processes.mutants"
            self.mutant_command = f'exec {sys.executable} -m {module} "{self.options.mutant}"'

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Self]:
        """Starts the cluster, yields it once all servers serve, and ends all its processes on exit."""
        try:
            self.failpoints.create_directories()
            async with anyio.create_task_group() as self.tasks:
                if self.options.with_fleet:
                    await self.start_fleet()
                self.tasks.start_soon(self._watch_stalls)
                self.tasks.start_soon(self.discovery.run)
                for number in range(self.server_count):
                    self.servers.append(self._create_server(number))
                for server in self.servers:
                    self._start_peers(server)
                    self.start_server(server)
                if self.options.with_fleet:
                    self.operators.fleet_file.write_text(self.options.operator_file(self.store.port))
                    self.tasks.start_soon(self.observer.run, self.operators.fleet_file)
                for server in self.servers:
                    self.tasks.start_soon(server.gateway.run)
                    await self.wait_serving(server)
                yield self
                for server in self.servers:
                    server.gateway.is_sending = False
                await anyio.sleep(FINAL_ANSWERS_WAIT_S)
                self.tasks.cancel_scope.cancel()
        finally:
            self.end_processes()

    async def start_fleet(self) -> None:
        """Starts the store, which the servers of a fleet need."""
        await self.store.start()

    def end_processes(self) -> None:
        """Kills all child processes that still run."""
        children = [server.process for server in self.servers]
        children += [*self.twins, *self.operators.processes, *self.other_processes, self.store.process]
        started = [child for child in children if child]
        for child in started:
            if child.poll() is None:
                child.kill()
        for child in started:
            child.wait()

    # Servers.

    def _create_server(self, number: int) -> ServerProcess:
        directory = self.directory / f"n{number}"
        runtime = FakeRuntime(number, self.wire)
        listen = ("127.0.0.1", free_port())
        links = {
            "store": Link(("127.0.0.1", self.store.port)),
            "runtime": Link(runtime.address),
            "gateway": Link(listen),
        }
        server = ServerProcess(
            number,
            f"n{number}",
            directory,
            runtime,
            FakeGateway(number, links["gateway"], runtime, self.wire, self.options.pace_ms),
            links,
            DatagramLink(self.discovery.address, number),
            self.events,
        )
        server.failpoints.mkdir(parents=True)
        (directory / "config.json").write_text(json.dumps(_configuration(server, listen)))
        (directory / "levels.toml").write_text(levels_text(SAFE_PRODUCT))
        self.write_fleet_file(server)
        return server

    def _start_peers(self, server: ServerProcess) -> None:
        self.tasks.start_soon(server.runtime.run)
        self.tasks.start_soon(server.discovery_link.run)
        for link in server.links.values():
            self.tasks.start_soon(link.run)

    def write_fleet_file(self, server: ServerProcess) -> None:
        """Writes the fleet file from the current options; the server reads it at its next start."""
        store_port = server.links["store"].address[1]
        (server.directory / "fleet.toml").write_text(self.options.fleet_file(store_port, STATE_DIRECTORY))

    def start_server(self, server: ServerProcess) -> None:
        """Starts a new process for a server."""
        server.gateway.incarnation += 1
        server.runtime.begin_incarnation()
        is_mutant = self.mutant_command and server.number == 0
        command = self.mutant_command if is_mutant else self.server_command
        failpoints = (server.failpoints, self.failpoints.for_all)
        server.record_start(self._launch(server.directory, command, *failpoints))

    def start_twin(self, server: ServerProcess) -> None:
        """Starts a second process with the name of a server, and with its own directory and port."""
        directory = self.directory / f"twin-{server.number}-{len(self.twins)}"
        directory.mkdir()
        configuration = json.loads((server.directory / "config.json").read_text())
        configuration["listen"] = f"127.0.0.1:{free_port()}"
        (directory / "config.json").write_text(json.dumps(configuration))
        fleet_file = self.options.fleet_file(self.store.port, STATE_DIRECTORY)
        (directory / "fleet.toml").write_text(fleet_file)
        self.twins.append(self._launch(directory, self.server_command))
        self.events.add(server.number, "its name is tried")

    def kill_twins(self) -> None:
        """Kills the second processes that use the name of a server."""
        for twin in self.twins:
            if twin.poll() is None:
                twin.kill()
                twin.wait()

    def _launch(self, directory: Path, command: str, *failpoints: Path) -> subprocess.Popen[bytes]:
        """Starts the server program with the files in a directory."""
        option = "FLEET" if self.options.with_fleet else "LEVELS"
        variables = {
            "NODE_CONFIG": str(directory / "config.json"),
            "TMPDIR": str(directory),
            f"OTTERRUDDER_{option}": str(directory / f"{option.lower()}.toml"),
        }
        environment = child_environment(variables, *failpoints)
        with (directory / LOG_FILE).open("ab") as log:
            return subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stderr=log)

    async def drain(self, server: ServerProcess) -> None:
        """Stops a server by SIGTERM, as operators do, while it has runs in progress."""
        if not server.is_up:
            return
        server.runtime.run_ms = LONG_RUN_MS
        await anyio.sleep(LONG_RUNS_LEAD_S)
        await self._wait_for_run(server)
        assert server.process
        server.process.terminate()
        started_at = clock()
        server.ongoing[Disturbance.DRAINING] = started_at
        self.events.add(server.number, "told to drain")
        self.tasks.start_soon(self._wait_drained, server, server.process, started_at)

    async def _wait_for_run(self, server: ServerProcess) -> None:
        """Waits until the server starts a run; otherwise none might be in progress on a busy machine."""
        started_runs = server.runtime.started_runs
        with anyio.move_on_after(MAX_RUN_WAIT_S):
            while server.runtime.started_runs == started_runs:
                await anyio.sleep(RUN_POLL_S)

    async def _wait_drained(
        self, server: ServerProcess, process: subprocess.Popen[bytes], started_at: float
    ) -> None:
        """Records how the drain of a process ends, and kills the process if it does not end in time."""
        exit_code = None
        with anyio.move_on_after((STOP_MS + DRAIN_SLACK_MS) / 1000):
            while (exit_code := process.poll()) is None:
                await anyio.sleep(STALL_POLL_S)
        self.drains.append(DrainRecord(server.number, started_at, clock(), exit_code))
        if exit_code is None and server.process is process:
            server.kill()

    def server_stopped_at_failpoint(self, pid: int, since: float) -> ServerProcess:
        """Returns the server whose process stopped at a failpoint, at some time after `since`."""
        server = next(running for running in self.servers if running.process and running.process.pid == pid)
        server.begin(Disturbance.FROZEN, since)
        return server

    async def disarm_failpoints(self, since: float) -> None:
        """Disarms all failpoints, and resumes processes that reached one too late for its fault."""
        for failpoint in list(self.failpoints.armed):
            if not self.failpoints.disarm_unclaimed(failpoint):
                await self._resume_claimant(failpoint, since)
        self.failpoints.armed.clear()

    async def _resume_claimant(self, failpoint: ArmedFailpoint, since: float) -> None:
        pid = await self.failpoints.wait_stopped(failpoint, CLAIM_TIMEOUT_S)
        if pid and failpoint.directory != self.failpoints.for_proposers:
            self.server_stopped_at_failpoint(pid, since).thaw()

    # The baseline.

    async def replace_levels(self, rejected_product: str) -> None:
        """Replaces the table of levels of one server after another by rewriting its file and sending SIGHUP.

        The files are written in a thread, because a busy file system must not stall this process."""
        began = clock()
        for server in self.servers:
            if not server.is_up or server.links["store"].fault.is_cut:
                continue
            path = server.directory / "levels.toml"
            await anyio.to_thread.run_sync(path.write_text, levels_text(rejected_product))
            server.reload()
        versions = self.observer.versions
        versions.append(VersionInForce(len(versions), rejected_product, began, clock()))
        self.events.add_fleet_wide(f"told one after another: no {rejected_product}")

    # Observation.

    async def _watch_stalls(self) -> None:
        """Records the stalls of this process's own event loop."""
        while True:
            before = clock()
            await anyio.sleep(STALL_POLL_S)
            if clock() - before > STALL_POLL_S * 1000 + STALL_MS:
                self.wire.stalls.append(TimeSpan(before, clock()))

    async def wait_serving(self, server: ServerProcess) -> None:
        """Waits until a server completes a request; raises RuntimeError with its last log lines otherwise."""
        first_index = len(self.wire.requests)
        with anyio.move_on_after(SERVER_START_TIMEOUT_S):
            while not self._has_completed(server, first_index):
                await anyio.sleep(POLL_S)
            return
        raise RuntimeError(f"{server.name} completed no request in time: {server.log_tail}")

    def _has_completed(self, server: ServerProcess, since_index: int) -> bool:
        return any(
            request.server == server.number and request.outcome is RequestOutcome.COMPLETED
            for request in self.wire.requests[since_index:]
        )

    async def rejected_product(self, server: ServerProcess) -> str:
        """Returns the product that a server rejects, as its gateway sees it.

        The result is "" if the server rejects none, and UNDETERMINED if that cannot be determined in
        time."""
        first_index = len(self.wire.requests)
        with anyio.move_on_after(REJECTED_PRODUCT_TIMEOUT_S):
            while True:
                completed = self._products(server, first_index, RequestOutcome.COMPLETED)
                rejected = self._products(server, first_index, RequestOutcome.REJECTED)
                if len(completed) == 1 and len(rejected) == 1 and completed != rejected:
                    return rejected.pop()
                if len(completed) == 2:
                    return ""
                await anyio.sleep(POLL_S)
        return UNDETERMINED

    def _products(self, server: ServerProcess, since_index: int, outcome: RequestOutcome) -> set[str]:
        """Returns the products of requests with this outcome, without repeats."""
        return {
            request.product
            for request in self.wire.requests[since_index:]
            if request.server == server.number and not request.is_repeat and request.outcome is outcome
        }

    def disturbed_spans(self) -> dict[int, list[TimeSpan]]:
        """Returns, by server number, the spans in which no timely answer is required."""
        return {server.number: server.disturbed_spans() for server in self.servers}

    def listings(self) -> dict[str, ListingRecord]:
        """Returns the times of reports, and the spans in which none is required, by server name."""
        received: dict[str, list[float]] = {server.name: [] for server in self.servers}
        for report in self.discovery.reports:
            received[report.name].append(report.at)
        return {server.name: ListingRecord(received[server.name], server.unlisted) for server in self.servers}

    def history(self) -> ClusterHistory:
        """Returns the recorded history, for the history checker."""
        return ClusterHistory(
            self.wire,
            self.observer.versions,
            self.options.bound_ms,
            self.disturbed_spans(),
            self.listings(),
            self.drains,
            STOP_MS,
        )


def _server_command() -> str:
    """Returns the command of the deploy file that starts a server.

    Without a virtual environment the command uses this process's interpreter."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    return str(command) if (ROOT / ".venv").exists() else f"exec {sys.executable} -m otterrudder"


def _configuration(server: ServerProcess, listen: tuple[str, int]) -> dict[str, object]:
    """Returns the content of a server's configuration file."""
    return {
        "name": server.name,
        "listen": _endpoint(listen),
        "runtime": _endpoint(server.links["runtime"].address),
        "registry": _endpoint(server.discovery_link.address),
        "seed": f"{server.number:016x}",
        "stop_ms": STOP_MS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": SETTINGS,
    }


def _endpoint(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
