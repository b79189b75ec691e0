"""A cluster of processes whose servers belong to cells: each relay is a process, as are the servers and the
store.

The relays of a cell keep no state on disk if there are several of them. The only relay of a cell has a state
directory, as a plain member has. Servers can also be plain members."""

import json
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from otterrudder.lab.processes.cluster import FLEET, POLL_S, ClusterOptions, ProcessCluster
from otterrudder.lab.processes.launch import ROOT, child_environment
from otterrudder.lab.processes.link import free_port
from otterrudder.lab.processes.server_process import LOG_FILE, STATE_DIRECTORY, ServerProcess
from otterrudder.net import control

RELAY_START_TIMEOUT_S = 20.0  # maximum time until a started relay answers its control socket


@dataclass(slots=True)
class RelayProcess:
    """A relay of a cell. It stays the same object when its process is restarted."""

    cell: str
    address: str
    candidates: tuple[str, ...]  # the addresses of all relays of its cell
    directory: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process of this relay runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def control_socket(self) -> Path:
        """The path of the control socket of this relay."""
        return self.directory / f"otterrudder-relay-{self.address}.sock"


@dataclass(frozen=True, slots=True)
class CellLayout:
    """The cells with their numbers of relays, and the limits that all cells share."""

    relays: dict[str, int] = field(default_factory=lambda: {"z": 2})  # number of relays by cell
    server_lease_ms: float = 2000.0
    max_sessions: int = 100  # maximum number of sessions of a relay


class CellCluster(ProcessCluster):
    """A cluster of the servers of cells, their relays, and the store."""

    def __init__(
        self,
        directory: Path,
        server_count: int,
        layout: CellLayout,
        options: ClusterOptions | None = None,
    ) -> None:
        super().__init__(directory, server_count, options or ClusterOptions(bound_ms=3000.0))
        self.layout = layout
        self.plain_servers: set[int] = set()  # server numbers, read when fleet files are written
        self.relays: list[RelayProcess] = []
        for cell, count in layout.relays.items():
            self.relays += self._create_relays(cell, count)

    async def start_fleet(self) -> None:
        """Starts the store, and starts the relays unless all servers are plain members."""
        await super().start_fleet()
        if len(self.plain_servers) < self.server_count:
            await self.start_relays()

    async def start_relays(self) -> None:
        """Starts all relays that are not running, and waits until each relay answers its control socket."""
        for relay in self.relays:
            if not relay.is_up:
                self.start_relay(relay)
        for relay in self.relays:
            await self.wait_answering(relay)

    def start_relay(self, relay: RelayProcess) -> None:
        """Starts a new process for a relay."""
        relay.directory.mkdir(exist_ok=True)
        path = relay.directory / "relay.toml"
        path.write_text(self._relay_file(relay))
        variables = {"TMPDIR": str(relay.directory)}
        environment = child_environment(variables, *self._relay_failpoints(relay))
        with (relay.directory / LOG_FILE).open("ab") as log:
            command = self._relay_command(relay, path)
            relay.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log)
        self.other_processes.append(relay.process)
        self.events.add_fleet_wide(f"relay {relay.address} starts")

    def kill_relay(self, relay: RelayProcess) -> None:
        """Kills the process of a relay."""
        if relay.process:
            relay.process.kill()
            relay.process.wait()
            self.events.add_fleet_wide(f"relay {relay.address} killed")

    async def stop_relay(self, relay: RelayProcess) -> int:
        """Stops a relay by SIGTERM, as operators do, and returns its exit code."""
        assert relay.process
        relay.process.terminate()
        self.events.add_fleet_wide(f"relay {relay.address} receives SIGTERM")
        return await anyio.to_thread.run_sync(relay.process.wait)

    async def wait_answering(self, relay: RelayProcess) -> None:
        """Waits until a relay answers its control socket. Raises TimeoutError if it doesn't in time."""
        with anyio.fail_after(RELAY_START_TIMEOUT_S):
            while not await self.relay_status(relay):
                await anyio.sleep(POLL_S)

    async def relay_status(self, relay: RelayProcess) -> dict[str, Any]:
        """Returns the status that a relay reports on its control socket, or {} without an answer."""
        return await _ask_control_socket(relay.control_socket, "relay")

    async def server_status(self, server: ServerProcess) -> dict[str, Any]:
        """Returns the fleet status that a server reports on its control socket, or {} without an answer."""
        return await _ask_control_socket(server.directory / f"otterrudder-{server.name}.sock", "fleet")

    def write_fleet_file(self, server: ServerProcess) -> None:
        """Writes the fleet file of a server, which belongs to a cell or is a plain member."""
        if server.number in self.plain_servers:
            super().write_fleet_file(server)
            return
        relays = json.dumps([relay.address for relay in self.relays])
        text = f"{self._common_section()}relays = {relays}\n"
        (server.directory / "fleet.toml").write_text(text)

    def _create_relays(self, cell: str, count: int) -> list[RelayProcess]:
        addresses = tuple(f"127.0.0.1:{free_port()}" for _ in range(count))
        return [
            RelayProcess(cell, address, addresses, self.directory / f"{cell}{number}")
            for number, address in enumerate(addresses)
        ]

    def _relay_command(self, _relay: RelayProcess, path: Path) -> list[str]:
        """Returns the command that starts a relay with the fleet file at `path`."""
        return [sys.executable, "-m", "otterrudder", "fleet", "relay", "--fleet", str(path)]

    def _relay_failpoints(self, _relay: RelayProcess) -> tuple[Path, ...]:
        """Returns the directories in which failpoints are armed for a relay."""
        return ()

    def _common_section(self, store_port: int = 0) -> str:
        """Returns the keys that the fleet files of relays and servers share.

        `store_port` 0 stands for the port on which the store listens."""
        options = self.options
        return (
            f'version = 1\nfleet = "{FLEET}"\nstore = ["127.0.0.1:{store_port or self.store.port}"]\n'
            f'absent = "{options.absent}"\n{options.store_id_line}'
            f"bound_ms = {options.bound_ms}\nlease_ms = {options.lease_ms}\n"
            f"server_lease_ms = {self.layout.server_lease_ms}\n"
        )

    def _relay_file(self, relay: RelayProcess) -> str:
        directory = f'folder = "{STATE_DIRECTORY}"\n' if len(relay.candidates) == 1 else ""
        return (
            f'{self._common_section()}[relay]\ncell = "{relay.cell}"\naddress = "{relay.address}"\n'
            f"candidates = {json.dumps(relay.candidates)}\n"
            f"sessions_most = {self.layout.max_sessions}\n{directory}"
        )


async def _ask_control_socket(path: Path, subject: str) -> dict[str, Any]:
    try:
        response = await anyio.to_thread.run_sync(control.query_path, path, subject)
    except (OSError, ValueError):
        return {}
    status = response.get(subject)
    return status if isinstance(status, dict) else {}
