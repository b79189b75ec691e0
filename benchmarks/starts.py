"""Start time of servers that are started together on one core, from the start of the process to the first
health check that passes, with the command of the deployment file. The runtimes are already running.

    .venv/bin/python benchmarks/starts.py [SERVERS] [CORE]     # 30 on core 0, which nothing else should use
"""

import contextlib
import os
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from fake_runtime import FakeRuntime  # noqa: E402
from server_process import ServerProcess  # noqa: E402

READY_S = 10.0  # limit of the 90th percentile of the start time, in s
PAUSE_S = 0.02  # interval between health checks, in s


def answer_gauges(runtime: FakeRuntime) -> None:
    with contextlib.suppress(AssertionError, OSError):  # ends when the server has exited
        runtime.answer_gauges(10**6)


def measure_start(server: ServerProcess, started_at: float, start_times: list[float]) -> None:
    runtime = FakeRuntime(server.runtimes.accept()[0])
    threading.Thread(target=answer_gauges, args=(runtime,), daemon=True).start()
    gateway = server.connect_gateway()
    while True:
        gateway.send_message("check")
        if gateway.read_answer()["result"]["pass"]:
            start_times.append(time.monotonic() - started_at)
            return
        time.sleep(PAUSE_S)


def main(servers: int, core: int) -> None:
    all_cores, start_times = os.sched_getaffinity(0), list[float]()
    with tempfile.TemporaryDirectory() as folder:
        os.sched_setaffinity(0, {core})  # child processes inherit the affinity
        started_at, server_processes = time.monotonic(), list[ServerProcess]()
        for n in range(servers):
            (directory := Path(folder) / str(n)).mkdir()
            server_processes.append(ServerProcess(directory))
        os.sched_setaffinity(0, all_cores - {core} or all_cores)
        threads = [
            threading.Thread(target=measure_start, args=(server, started_at, start_times))
            for server in server_processes
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for server in server_processes:
            server.process.kill()
    start_times.sort()
    p90_s = start_times[min(int(len(start_times) * 0.9), len(start_times) - 1)]
    median_s, last_s = start_times[len(start_times) // 2], start_times[-1]
    print(
        f"{servers} at once on one core: median {median_s:.2f} s, nine in ten {p90_s:.2f} s, "
        f"last {last_s:.2f} s; {'within' if p90_s <= READY_S else 'OVER'} {READY_S:.0f} s"
    )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:2] or ["30"]), *map(int, sys.argv[2:3] or ["0"]))
    os._exit(0)  # the threads of the runtimes wait for messages forever
