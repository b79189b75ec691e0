"""What a fleet costs a server: CPU a request, memory, and the lateness of its loop while the store is well,
slow, silent, or floods its watch. On sockets, one server and one gateway.

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

PACE_MS = 5.0  # 200 requests a second: what a server of the platform gets
SKIPPED = 1  # the first line of turns: the start is in it
SPAN_S = 21.0  # two of the server's own reports
FAULTS: dict[str, dict[str, object]] = {
    "off": {},
    "on": {},
    "slow": {"slow_ms": 300},
    "silent": {"down": True},
    "flood": {"flood": 4000},
}


async def measure(name: str) -> dict[str, float]:
    """The server's own last report, by its words."""
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
        ][SKIPPED:]
        last = [line for line in log.splitlines() if "event=status" in line][-1]
        told = dict(re.findall(r"(\w+)=([\d.]+)", last))
        requests = sum(request.answered_at > 0 for request in cluster.wire.requests) / SPAN_S * 10
        wanted = ("cpu_s", "rss_mb", "worst_batch_ms", "worst_tick_late_ms")
        found = {word: float(told[word]) for word in wanted} | {"txns": requests}
        found |= {word: sum(float(one[word]) for one in turns) for word in ("over_1ms", "turns")}
        return found | {"worst_cpu_ms": max(float(one["worst_ms"]) for one in turns)}


async def main() -> None:
    for name in sys.argv[1:] or FAULTS:
        told = await measure(name)
        cpu = told["cpu_s"] * 1e6 / max(told["txns"], 1)
        print(
            f"{name:8} {cpu:7.0f} us of CPU a txn, ticks and all; {told['rss_mb']:5.1f} MB; worst turn "
            f"{told['worst_cpu_ms']:4.2f} ms of CPU ({told['over_1ms']:.0f} of {told['turns']:.0f} over "
            f"1 ms), {told['worst_batch_ms']:4.1f} ms, worst ring late by "
            f"{told['worst_tick_late_ms']:4.1f} ms"
        )


if __name__ == "__main__":
    anyio.run(main)
