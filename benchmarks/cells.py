"""Memory, CPU and traffic of a server that is leased from a cell, and of a relay by number of sessions.

    .venv/bin/python benchmarks/cells.py server      # two minutes; idle servers without requests
    .venv/bin/python benchmarks/cells.py relay 300   # number of sessions, each on its own connection

A leased server is compared with a server without a fleet and with a direct fleet member. A proxy between
server and relay counts the bytes of the TCP streams in both directions, without TCP and IP headers. CPU time
is the time that the kernel accounts to the process."""

import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from otterrudder import clock  # noqa: E402
from otterrudder.fleet.cell.agent import CellAgent  # noqa: E402
from otterrudder.fleet.configuration import read_fleet  # noqa: E402
from otterrudder.fleet.server_control import ServerControl  # noqa: E402
from otterrudder.lab.processes.cells import CellCluster, CellLayout, RelayProcess  # noqa: E402
from otterrudder.lab.processes.cluster import FLEET, ClusterOptions, ProcessCluster  # noqa: E402
from otterrudder.lab.processes.server_process import ServerProcess  # noqa: E402

WARM_UP_S = 8.0  # time from the start to the measurement
SPAN_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LEASE_MS = 3000.0  # default lease of a server
BOUND_MS = 3000.0
STORE_LEASE_MS = 6000.0
FINGERPRINTS = 3  # number of different fingerprints among the servers of a relay
CONNECT_INTERVAL_S = 0.01  # interval between the starts of clients
LEAD_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 60.0

Figures = dict[str, float]


class CountingProxy:
    """TCP proxy to a relay that counts the forwarded bytes."""

    def __init__(self) -> None:
        self.count = 0
        self.target = ("", 0)

    async def listen(self, group: anyio.abc.TaskGroup) -> str:
        """Starts to listen and returns the address of the proxy."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(listener.serve, self._forward)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        return f"127.0.0.1:{port}"

    async def _forward(self, client: anyio.abc.SocketStream) -> None:
        async with await anyio.connect_tcp(*self.target) as relay, anyio.create_task_group() as group:
            group.start_soon(self._forward_one_way, client, relay)
            await self._forward_one_way(relay, client)
            group.cancel_scope.cancel()

    async def _forward_one_way(self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream) -> None:
        try:
            async for data in source:
                self.count += len(data)
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class ProxiedCluster(CellCluster):
    """Cell cluster whose servers connect to the first relay through a proxy."""

    proxy_address = ""

    def write_fleet_file(self, server: ServerProcess) -> None:
        """Writes the fleet file with the proxy's address in place of the first relay's."""
        super().write_fleet_file(server)
        path = server.directory / "fleet.toml"
        path.write_text(path.read_text().replace(self.relays[0].address, self.proxy_address))


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("Rss:")) / 1024


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = fields[11:13]
    return (int(user_ticks) + int(system_ticks)) / CLOCK_TICKS_PER_S


async def measure_process(pid: int, byte_count: Callable[[], int] = lambda: 0) -> Figures:
    """Measures a process over SPAN_S, after a warm-up."""
    await anyio.sleep(WARM_UP_S)
    cpu_before_s = cpu_s(pid)
    bytes_before = byte_count()
    await anyio.sleep(SPAN_S)
    return dict(
        rss_mb=round(rss_mb(pid), 1),
        cpu_percent=round((cpu_s(pid) - cpu_before_s) / SPAN_S * 100, 2),
        bytes_per_s=round((byte_count() - bytes_before) / SPAN_S, 1),
    )


async def measure_server(kind: str) -> Figures:
    """Measures an idle server. `kind` is "alone" (no fleet), "member" (direct member) or "cell" (leased)."""
    with tempfile.TemporaryDirectory() as directory:
        if kind == "cell":
            return await _measure_leased_server(Path(directory))
        options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS, with_fleet=kind == "member")
        return await _measure_first_server(ProcessCluster(Path(directory), 1, options))


async def _measure_leased_server(directory: Path) -> Figures:
    proxy = CountingProxy()
    layout = CellLayout({"z": 2}, server_lease_ms=LEASE_MS)
    options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS)
    cluster = ProxiedCluster(directory, 1, layout, options)
    proxy.target = _endpoint(cluster.relays[0])
    async with anyio.create_task_group() as group:
        cluster.proxy_address = await proxy.listen(group)
        figures = await _measure_first_server(cluster, lambda: proxy.count)
        group.cancel_scope.cancel()
    return figures


async def _measure_first_server(
    cluster: ProcessCluster, byte_count: Callable[[], int] = lambda: 0
) -> Figures:
    async with cluster.running():
        server = cluster.servers[0]
        server.gateway.is_sending = False
        assert server.process
        return await measure_process(server.process.pid, byte_count)


def _endpoint(relay: RelayProcess) -> tuple[str, int]:
    host, _, port = relay.address.rpartition(":")
    return host, int(port)


async def open_sessions(path: Path, count: int) -> None:
    """Runs `count` cell clients until the process is killed. This is the main function of a child process."""
    fleet = read_fleet(path)
    control = ServerControl(lambda text: None, lambda is_suspended: None)
    agents = [
        CellAgent(fleet, f"n{number}", f"kind{number % FINGERPRINTS}", lambda text: "", control)
        for number in range(count)
    ]
    async with anyio.create_task_group() as group:
        for agent in agents:
            group.start_soon(agent.run)
            await anyio.sleep(CONNECT_INTERVAL_S)


async def measure_relay(sessions: int) -> Figures:
    """Measures a relay with the given number of sessions, and its memory without sessions."""
    with tempfile.TemporaryDirectory() as directory:
        layout = CellLayout({"z": 1}, server_lease_ms=LEASE_MS, max_sessions=max(sessions, 1))
        options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS)
        cluster = CellCluster(Path(directory), 0, layout, options)
        cluster.server_count = 1  # lays out the relays for one server, which is not started
        try:
            await cluster.start_fleet()
            return await _measure_first_relay(cluster, Path(directory), sessions)
        finally:
            cluster.end_processes()


async def _measure_first_relay(cluster: CellCluster, directory: Path, sessions: int) -> Figures:
    relay = cluster.relays[0]
    assert relay.process
    with anyio.fail_after(LEAD_TIMEOUT_S):
        while not (await cluster.relay_status(relay))["authority_left_ms"]:
            await anyio.sleep(0.05)
    empty_mb = rss_mb(relay.process.pid)
    clients = _start_clients(relay, directory, sessions)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            while (await cluster.relay_status(relay))["sessions"] < sessions:
                await anyio.sleep(0.1)
        received_before = (await cluster.relay_status(relay))["received"]
        began = clock.monotonic()
        figures = await measure_process(relay.process.pid)
        status = await cluster.relay_status(relay)
        renewals_per_s = (status["received"] - received_before) / (clock.monotonic() - began) * 1000
    finally:
        clients.kill()
        clients.wait()
    return figures | dict(
        sessions=status["sessions"],
        renewals_per_s=round(renewals_per_s, 1),
        rss_empty_mb=round(empty_mb, 1),
        cpu_ms_a_renewal=round(figures["cpu_percent"] * 10 / renewals_per_s, 3),
    )


def _start_clients(relay: RelayProcess, directory: Path, sessions: int) -> subprocess.Popen[bytes]:
    path = directory / "servers.toml"
    path.write_text(f'version = 1\nfleet = "{FLEET}"\nbound_ms = 3000\nrelays = ["{relay.address}"]\n')
    return subprocess.Popen([sys.executable, __file__, "hold", str(path), str(sessions)], cwd=ROOT)


async def main() -> None:
    """Runs the command that the module docstring describes."""
    command, *arguments = sys.argv[1:]
    if command == "hold":
        await open_sessions(Path(arguments[0]), int(arguments[1]))
    elif command == "server":
        for kind in arguments or ("alone", "member", "cell"):
            print(f"{kind:8}", await measure_server(kind), flush=True)
    else:
        for sessions in map(int, arguments or ("300",)):
            began = clock.monotonic()
            print(f"{sessions:6}", await measure_relay(sessions), flush=True)
            print(f"{'':6} took {(clock.monotonic() - began) / 1000:.0f} s")


if __name__ == "__main__":
    anyio.run(main)
