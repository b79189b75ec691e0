"""Cost of fleet membership for a server on sockets with one gateway: CPU time per request, memory and event
loop delays while the store is healthy, slow, silent or floods the watch.

    .venv/bin/python benchmarks/fleet.py             # about a minute; nothing else should use the cores
"""

import re
import sys
import tempfile
from pathlib import Path

import anyio

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from otterrudder.lab.processes.cluster import ClusterOptions, ProcessCluster  # noqa: E402
from otterrudder.lab.processes.server_process import LOG_FILE  # noqa: E402

PACE_MS = 5.0  # interval of requests; 200 per second is the load of a server of the platform
SKIPPED_LINES = 1  # the first `turns` line includes the start of the server
SPAN_S = 21.0  # two intervals of the server's status report
FAULTS: dict[str, dict[str, object]] = {
    "off": {},
    "on": {},
    "slow": {"slow_ms": 300},
    "silent": {"down": True},
    "flood": {"flood": 4000},
}


async def measure(name: str) -> dict[str, float]:
    """Returns the figures of the server's last status report and of its event loop iterations."""
    with tempfile.TemporaryDirectory() as folder:
        options = ClusterOptions(with_fleet=name != "off", pace_ms=PACE_MS)
        cluster = ProcessCluster(Path(folder), 1, options)
        cluster.server_command = f"exec {sys.executable} -m benchmarks.turns"
        async with cluster.running():
            if FAULTS[name]:
                await cluster.store.inject(**FAULTS[name])
            with anyio.move_on_after(SPAN_S):
                while True:
                    await anyio.sleep(0.5)
                    if name == "flood":
                        await cluster.store.inject(**FAULTS[name])
        log = (cluster.servers[0].directory / LOG_FILE).read_text()
        turns = [
            dict(re.findall(r"(\w+)=([\d.]+)", line))
            for line in log.splitlines()
            if line.startswith("turns ")
        ][SKIPPED_LINES:]
        last_status = [line for line in log.splitlines() if "event=status" in line][-1]
        status = dict(re.findall(r"(\w+)=([\d.]+)", last_status))
        requests = sum(request.answered_at > 0 for request in cluster.wire.requests) / SPAN_S * 10
        wanted = ("cpu_s", "rss_mb", "worst_batch_ms", "worst_tick_late_ms")
        figures = {word: float(status[word]) for word in wanted} | {"txns": requests}
        figures |= {word: sum(float(turn[word]) for turn in turns) for word in ("over_1ms", "turns")}
        return figures | {"worst_cpu_ms": max(float(turn["worst_ms"]) for turn in turns)}


async def main() -> None:
    for name in sys.argv[1:] or FAULTS:
        figures = await measure(name)
        cpu = figures["cpu_s"] * 1e6 / max(figures["txns"], 1)
        print(
            f"{name:8} {cpu:7.0f} us of CPU a txn, ticks and all; {figures['rss_mb']:5.1f} MB; worst turn "
            f"{figures['worst_cpu_ms']:4.2f} ms of CPU ({figures['over_1ms']:.0f} of {figures['turns']:.0f} "
            f"over 1 ms), {figures['worst_batch_ms']:4.1f} ms, worst ring late by "
            f"{figures['worst_tick_late_ms']:4.1f} ms"
        )


if __name__ == "__main__":
    anyio.run(main)
