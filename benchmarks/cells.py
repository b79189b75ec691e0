"""What a cell costs: a leased server beside one of no fleet, in memory, CPU and bytes; a relay by sessions.

    .venv/bin/python benchmarks/cells.py server      # two minutes: idle servers, nobody asks them
    .venv/bin/python benchmarks/cells.py relay 300   # sessions, each with a connection of its own

Bytes are those of the TCP streams, both ways, counted by a proxy between server and relay; headers of TCP and
IP are not in them. CPU is what the kernel charged to the process."""

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
from otterrudder.lab.processes.cluster import ClusterOptions, ProcessCluster  # noqa: E402
from otterrudder.lab.processes.server_process import ServerProcess  # noqa: E402

SETTLE_S = 8.0  # s from the start until figures are taken
SPAN_S = 30.0
TICKS = os.sysconf("SC_CLK_TCK")
LEASE_MS = 3000.0  # the default of a server's lease
BOUND_MS = 3000.0
STORE_LEASE_MS = 6000.0


class CountingProxy:
    """Passes bytes on to a relay, and counts them."""

    def __init__(self) -> None:
        self.count = 0
        self.target = ("", 0)

    async def listen(self, group: anyio.abc.TaskGroup) -> str:
        """Its own address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(listener.serve, self._pass_on)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        return f"127.0.0.1:{port}"

    async def _pass_on(self, near: anyio.abc.SocketStream) -> None:
        async with await anyio.connect_tcp(*self.target) as far, anyio.create_task_group() as group:
            group.start_soon(self._one_way, near, far)
            await self._one_way(far, near)
            group.cancel_scope.cancel()

    async def _one_way(self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream) -> None:
        try:
            async for data in source:
                self.count += len(data)
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class ProxiedCluster(CellCluster):
    """The servers find the first relay by the proxy."""

    proxy_address = ""

    def write_fleet_file(self, server: ServerProcess) -> None:
        super().write_fleet_file(server)
        path = server.directory / "fleet.toml"
        path.write_text(path.read_text().replace(self.relays[0].address, self.proxy_address))


def rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("Rss:")) / 1024


def cpu_s(pid: int) -> float:
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICKS


async def over_span(pid: int, count: Callable[[], int] = lambda: 0) -> dict[str, float]:
    """Figures of a process over the span."""
    await anyio.sleep(SETTLE_S)
    cpu, counted = cpu_s(pid), count()
    await anyio.sleep(SPAN_S)
    return dict(
        rss_mb=round(rss_mb(pid), 1),
        cpu_percent=round((cpu_s(pid) - cpu) / SPAN_S * 100, 2),
        bytes_per_s=round((count() - counted) / SPAN_S, 1),
    )


async def measure_server(kind: str) -> dict[str, float]:
    """`kind`: "alone", "member", or "cell"."""
    with tempfile.TemporaryDirectory() as folder:
        layout = CellLayout({"z": 2}, server_lease_ms=LEASE_MS)
        proxy = CountingProxy()
        cluster: ProcessCluster
        if kind == "cell":
            options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS)
            cluster = ProxiedCluster(Path(folder), 1, layout, options)
            proxy.target = _endpoint(cluster.relays[0])
        else:
            options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS, with_fleet=kind == "member")
            cluster = ProcessCluster(Path(folder), 1, options)
        async with anyio.create_task_group() as group:
            if isinstance(cluster, ProxiedCluster):
                cluster.proxy_address = await proxy.listen(group)
            async with cluster.running():
                server = cluster.servers[0]
                server.gateway.is_sending = False
                assert server.process
                found = await over_span(server.process.pid, lambda: proxy.count)
            group.cancel_scope.cancel()
        return found


def _endpoint(relay: RelayProcess) -> tuple[str, int]:
    host, _, port = relay.address.rpartition(":")
    return host, int(port)


async def hold_sessions(path: Path, count: int) -> None:
    """In a process of its own: so many servers' clients, until it is killed."""
    fleet = read_fleet(path)
    orders = ServerControl(lambda text: None, lambda is_aside: None)
    agents = [CellAgent(fleet, f"n{n}", f"kind{n % 3}", lambda text: "", orders) for n in range(count)]
    async with anyio.create_task_group() as group:
        for agent in agents:
            group.start_soon(agent.run)
            await anyio.sleep(0.01)


async def measure_relay(sessions: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        layout = CellLayout({"z": 1}, server_lease_ms=LEASE_MS, max_sessions=max(sessions, 1))
        options = ClusterOptions(bound_ms=BOUND_MS, lease_ms=STORE_LEASE_MS)
        cluster = CellCluster(Path(folder), 0, layout, options)
        cluster.server_count = 1  # the relays are started for a server that is not
        children: list[subprocess.Popen[bytes]] = []
        try:
            await cluster.start_fleet()
            relay = cluster.relays[0]
            assert relay.process
            with anyio.fail_after(10.0):
                while not (await cluster.relay_status(relay))["authority_left_ms"]:
                    await anyio.sleep(0.05)
            empty = rss_mb(relay.process.pid)
            path = Path(folder) / "servers.toml"
            path.write_text(f'version = 1\nfleet = "rig"\nbound_ms = 3000\nrelays = ["{relay.address}"]\n')
            line = [sys.executable, __file__, "hold", str(path), str(sessions)]
            children.append(subprocess.Popen(line, cwd=ROOT))
            with anyio.fail_after(60.0):
                while (await cluster.relay_status(relay))["sessions"] < sessions:
                    await anyio.sleep(0.1)
            before, began = (await cluster.relay_status(relay))["received"], clock.monotonic()
            found = await over_span(relay.process.pid)
            status = await cluster.relay_status(relay)
            renewals_per_s = (status["received"] - before) / (clock.monotonic() - began) * 1000
            found["sessions"] = status["sessions"]
            found["renewals_per_s"] = round(renewals_per_s, 1)
            found["rss_empty_mb"] = round(empty, 1)
            found["cpu_ms_a_renewal"] = round(found["cpu_percent"] * 10 / renewals_per_s, 3)
            return found
        finally:
            for child in children:
                child.kill()
                child.wait()
            cluster.end_processes()


async def main() -> None:
    words = sys.argv[1:]
    if words[0] == "hold":
        await hold_sessions(Path(words[1]), int(words[2]))
    elif words[0] == "server":
        for kind in words[1:] or ("alone", "member", "cell"):
            print(f"{kind:8}", await measure_server(kind), flush=True)
    else:
        for sessions in map(int, words[1:] or ("300",)):
            began = clock.monotonic()
            print(f"{sessions:6}", await measure_relay(sessions), flush=True)
            print(f"{'':6} took {(clock.monotonic() - began) / 1000:.0f} s")


if __name__ == "__main__":
    anyio.run(main)
