"""A cluster of cells whose connections pass through links to which faults can be applied.

There is a link from each server to each relay, from each relay to the store, and to each relay from the other
relays of its cell. Servers are spread evenly over the cells. The fleet file of a server lists the relays of
its own cell first, then the relays of the other cells. The configuration of the last server differs from the
others, so that its fingerprint differs as well."""

import json
import shutil
import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from otterrudder.lab.processes.cell_hollow import HollowServers
from otterrudder.lab.processes.cells import CellCluster, CellLayout, RelayProcess
from otterrudder.lab.processes.cluster import CLAIM_TIMEOUT_S, ClusterOptions
from otterrudder.lab.processes.failpoints import ArmedFailpoint
from otterrudder.lab.processes.fake_settings import SETTINGS
from otterrudder.lab.processes.link import Link, LinkFault, free_port
from otterrudder.lab.processes.server_process import ServerProcess

COMMON_PRODUCT = "refund"  # product that is configured on all servers except the last
QUIESCENCE_TIMEOUT_S = 25.0  # maximum time from the recovery of all faults until all relays and servers serve
QUIESCENCE_POLL_S = 0.1
MUTANTS_MODULE = "otterrudder.lab.processes.cell_mutants"

Status = dict[str, Any]  # status as a control socket reports it


@dataclass(slots=True)
class LinkedRelay(RelayProcess):
    """A relay that other processes reach through links, and that reaches the store through a link."""

    listen: str = field(kw_only=True)  # address of its process; `address` is that of `peer_link`
    store_link: Link = field(kw_only=True)
    peer_link: Link = field(kw_only=True)
    max_sessions: int = field(kw_only=True)
    is_frozen: bool = False

    @property
    def failpoints(self) -> Path:
        """The directory in which failpoints are armed for this relay."""
        return self.directory / "failpoints"


@dataclass(frozen=True, slots=True)
class QuietWindow:
    """A period without a change of policy, in which no server may suspend admission; times in ms."""

    start: float
    end: float
    fault: str


@dataclass(frozen=True, slots=True)
class CellMutants:
    """Names of the mutants of cell_mutants.py that replace all relays and the first server; "": none."""

    relay: str = ""
    server: str = ""


class LinkedCellCluster(CellCluster):
    """A cluster of cells with links between its processes, hollow servers and mutants."""

    relays: list[LinkedRelay]  # type: ignore[assignment]

    def __init__(
        self,
        directory: Path,
        server_count: int,
        layout: CellLayout,
        options: ClusterOptions,
        mutants: CellMutants,
    ) -> None:
        super().__init__(directory, server_count, layout, options)
        self.quiet_windows: list[QuietWindow] = []
        self.mutants = mutants
        self.hollow = HollowServers()
        if mutants.server:
            self.mutant_command = f'exec {sys.executable} -m {MUTANTS_MODULE} server "{mutants.server}"'

    @property
    def cells(self) -> list[str]:
        """The names of the cells."""
        return list(self.layout.relays)

    def cell_of(self, server_number: int) -> str:
        """Returns the cell of a server."""
        return self.cells[server_number * len(self.cells) // self.server_count]

    def servers_of(self, cell: str) -> list[ServerProcess]:
        """Returns the servers of a cell."""
        return [server for server in self.servers if self.cell_of(server.number) == cell]

    def relays_of(self, cell: str) -> list[LinkedRelay]:
        """Returns the relays of a cell."""
        return [relay for relay in self.relays if relay.cell == cell]

    async def leader_of(self, cell: str) -> LinkedRelay | None:
        """Returns the relay that reports that it leads the cell, if any. Frozen relays are not queried."""
        for relay in self.relays_of(cell):
            if not relay.is_frozen and (await self.relay_status(relay)).get("leads"):
                return relay
        return None

    # Quiescence

    async def wait_quiescent(self) -> list[str]:
        """Waits until each cell has a leader, no relay is bound by an endorsement, and all servers admit.

        Returns the names of the cells, relays and servers that have not reached this state in time."""
        not_serving = ["no status was queried"]
        with anyio.move_on_after(QUIESCENCE_TIMEOUT_S):
            while not_serving:
                await anyio.sleep(QUIESCENCE_POLL_S)
                not_serving = await self._not_serving()
        return not_serving

    async def _not_serving(self) -> list[str]:
        relays, servers = await self._all_statuses()
        outdated_count = self.hollow.count_outdated(self.observer.in_force.version)
        names = [f"{outdated_count} hollow servers"] if outdated_count else []
        names += [cell for cell in self.cells if not self._is_led(cell, relays)]
        names += [
            relay.address for relay in self.relays if relays[relay.address].get("consented_left_ms") != 0.0
        ]
        return names + [server.name for server in self.servers if not servers[server.name].get("admits")]

    def _is_led(self, cell: str, statuses: dict[str, Status]) -> bool:
        leaders = [relay for relay in self.relays_of(cell) if statuses[relay.address].get("leads")]
        return len(leaders) == 1 and statuses[leaders[0].address]["authority_left_ms"] != 0.0

    async def _all_statuses(self) -> tuple[dict[str, Status], dict[str, Status]]:
        """Returns the statuses of all relays by address and of all servers by name, queried concurrently."""
        relays: dict[str, Status] = {}
        servers: dict[str, Status] = {}

        async def query_relay(relay: LinkedRelay) -> None:
            relays[relay.address] = await self.relay_status(relay)

        async def query_server(server: ServerProcess) -> None:
            servers[server.name] = await self.server_status(server)

        async with anyio.create_task_group() as tasks:
            for relay in self.relays:
                tasks.start_soon(query_relay, relay)
            for server in self.servers:
                tasks.start_soon(query_server, server)
        return relays, servers

    # Hollow servers

    async def start_hollow(self, count_per_cell: int) -> None:
        """Starts hollow servers, one process per cell, and waits until the cluster is quiescent.

        They connect to the relays directly, not through links."""
        for cell in self.cells if count_per_cell else ():
            directory = self.directory / f"hollow-{cell}"
            directory.mkdir()
            configuration = directory / "config.json"
            shutil.copy(self.servers[0].directory / "config.json", configuration)
            relays = json.dumps([relay.listen for relay in self._relays_in_order_for(cell)])
            fleet_file = directory / "fleet.toml"
            fleet_file.write_text(f"{self._common_section()}relays = {relays}\n")
            process = self.hollow.start(fleet_file, configuration, f"{cell}-h", count_per_cell)
            self.other_processes.append(process)
            self.tasks.start_soon(self.hollow.listen, process)
        await self.wait_quiescent()

    def _relays_in_order_for(self, cell: str) -> list[LinkedRelay]:
        """Returns all relays in the order in which a server of the cell tries them."""
        index = self.cells.index(cell)
        cells = [*self.cells[index:], *self.cells[:index]]
        return [relay for name in cells for relay in self.relays_of(name)]

    # Faults of relays and links

    def freeze_relay(self, relay: LinkedRelay) -> None:
        """Suspends the process of a relay by SIGSTOP."""
        if relay.is_up and relay.process:
            relay.process.send_signal(signal.SIGSTOP)
            relay.is_frozen = True
            self.events.add_fleet_wide(f"relay {relay.address} frozen")

    def thaw_relay(self, relay: LinkedRelay) -> None:
        """Resumes the process of a relay by SIGCONT."""
        if relay.is_up and relay.process:
            relay.process.send_signal(signal.SIGCONT)
        relay.is_frozen = False
        self.events.add_fleet_wide(f"relay {relay.address} thawed")

    def kill_relay(self, relay: RelayProcess) -> None:
        """Kills the process of a relay."""
        super().kill_relay(relay)
        assert isinstance(relay, LinkedRelay)
        relay.is_frozen = False

    def restart_with_sessions(self, relay: LinkedRelay, max_sessions: int) -> None:
        """Restarts a relay with another maximum number of sessions."""
        self.kill_relay(relay)
        relay.max_sessions = max_sessions
        self.start_relay(relay)

    def set_links_to_relay(self, relay: LinkedRelay, fault: LinkFault) -> None:
        """Applies a fault to the links from all servers to a relay."""
        for server in self.servers:
            server.links[relay.address].set_fault(fault)
        self.events.add_fleet_wide(f"links from all servers to relay {relay.address}: {fault}")

    def set_links_of_server(
        self, server: ServerProcess, fault: LinkFault, addresses: Iterable[str] = ()
    ) -> None:
        """Applies a fault to the links from a server to the relays at `addresses`, or to all relays if it is
        empty."""
        for address in list(addresses) or [relay.address for relay in self.relays]:
            server.links[address].set_fault(fault)
        self.events.add(server.number, f"links to relays: {fault}")

    # Failpoints

    async def wait_relay_stopped(self, failpoint: ArmedFailpoint, timeout_s: float) -> LinkedRelay | None:
        """Returns the relay that stops at an armed failpoint; None if none stops in time."""
        pid = await self.failpoints.wait_stopped(failpoint, timeout_s)
        for relay in self.relays:
            if pid and relay.process and relay.process.pid == pid:
                relay.is_frozen = True
                return relay
        return None

    async def _resume_claimant(self, failpoint: ArmedFailpoint, since: float) -> None:
        if relay := await self.wait_relay_stopped(failpoint, CLAIM_TIMEOUT_S):
            self.thaw_relay(relay)

    # Start

    async def start_fleet(self) -> None:
        """Starts the links of the relays, then the store, then the relays."""
        for relay in self.relays:
            relay.directory.mkdir(exist_ok=True)
            relay.failpoints.mkdir(exist_ok=True)
            for link in (relay.store_link, relay.peer_link):
                self.tasks.start_soon(link.run)
        await super().start_fleet()

    def _create_server(self, number: int) -> ServerProcess:
        server = super()._create_server(number)
        if number != self.server_count - 1:
            _add_common_product(server)
        return server

    def write_fleet_file(self, server: ServerProcess) -> None:
        """Writes the fleet file of a server, which reaches each relay through a separate link."""
        for relay in self.relays:
            if relay.address not in server.links:
                host, port = relay.listen.split(":")
                server.links[relay.address] = Link((host, int(port)))
        relays = self._relays_in_order_for(self.cell_of(server.number))
        addresses = [_endpoint(server.links[relay.address].address) for relay in relays]
        text = f"{self._common_section()}relays = {json.dumps(addresses)}\n"
        (server.directory / "fleet.toml").write_text(text)

    def _create_relays(self, cell: str, count: int) -> list[RelayProcess]:
        listeners = [("127.0.0.1", free_port()) for _ in range(count)]
        peer_links = [Link(listener) for listener in listeners]
        addresses = tuple(_endpoint(link.address) for link in peer_links)
        return [
            LinkedRelay(
                cell,
                addresses[number],
                addresses,
                self.directory / f"{cell}{number}",
                listen=_endpoint(listeners[number]),
                store_link=Link(("127.0.0.1", self.store.port)),
                peer_link=peer_links[number],
                max_sessions=self.layout.max_sessions,
            )
            for number in range(count)
        ]

    def _relay_file(self, relay: RelayProcess) -> str:
        assert isinstance(relay, LinkedRelay)
        return (
            f'{self._common_section(relay.store_link.address[1])}[relay]\ncell = "{relay.cell}"\n'
            f'address = "{relay.address}"\nlisten = "{relay.listen}"\n'
            f"candidates = {json.dumps(relay.candidates)}\nsessions_most = {relay.max_sessions}\n"
        )

    def _relay_command(self, relay: RelayProcess, path: Path) -> list[str]:
        if not self.mutants.relay:
            return super()._relay_command(relay, path)
        return [sys.executable, "-m", MUTANTS_MODULE, "relay", self.mutants.relay, str(path)]

    def _relay_failpoints(self, relay: RelayProcess) -> tuple[Path, ...]:
        assert isinstance(relay, LinkedRelay)
        return (relay.failpoints, self.failpoints.for_all)


def _add_common_product(server: ServerProcess) -> None:
    """Adds COMMON_PRODUCT to the configuration of a server."""
    path = server.directory / "config.json"
    configuration = json.loads(path.read_text())
    classes = SETTINGS["classes"]
    assert isinstance(classes, list)
    settings = configuration["settings"]
    settings["classes"] = [*classes, {**classes[0], "name": COMMON_PRODUCT}]
    settings["familyInfo"]["classCalls"] = [False] * len(settings["classes"])
    path.write_text(json.dumps(configuration))


def _endpoint(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
