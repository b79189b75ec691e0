"""How long servers take to be ready when many are started at once on one core: from the start of the process
to a health check that passes, by the deploy file's own words. The runtimes are up already.

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

READY_S = 10.0  # s within which nine in ten are to be ready
PAUSE_S = 0.02  # s between checks


def answer_gauges(runtime: FakeRuntime) -> None:
    with contextlib.suppress(AssertionError, OSError):  # until the server has gone
        runtime.answer_gauges(10**6)


def ready_after(server: ServerProcess, began: float, took: list[float]) -> None:
    runtime = FakeRuntime(server.runtimes.accept()[0])
    threading.Thread(target=answer_gauges, args=(runtime,), daemon=True).start()
    gateway = server.connect_gateway()
    while True:
        gateway.send_message("check")
        if gateway.read_answer()["result"]["pass"]:
            took.append(time.monotonic() - began)
            return
        time.sleep(PAUSE_S)


def main(servers: int, core: int) -> None:
    everywhere, took = os.sched_getaffinity(0), list[float]()
    with tempfile.TemporaryDirectory() as folder:
        os.sched_setaffinity(0, {core})  # children inherit it
        began, started = time.monotonic(), list[ServerProcess]()
        for n in range(servers):
            (at := Path(folder) / str(n)).mkdir()
            started.append(ServerProcess(at))
        os.sched_setaffinity(0, everywhere - {core} or everywhere)
        waiting = [threading.Thread(target=ready_after, args=(server, began, took)) for server in started]
        for thread in waiting:
            thread.start()
        for thread in waiting:
            thread.join()
        for server in started:
            server.process.kill()
    took.sort()
    nine = took[min(int(len(took) * 0.9), len(took) - 1)]
    print(
        f"{servers} at once on one core: median {took[len(took) // 2]:.2f} s, nine in ten {nine:.2f} s, "
        f"last {took[-1]:.2f} s; {'within' if nine <= READY_S else 'OVER'} {READY_S:.0f} s"
    )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:2] or ["30"]), *map(int, sys.argv[2:3] or ["0"]))
    os._exit(0)  # the runtimes' threads wait for words that will not come
