"""Runs the server and measures the CPU time of its thread in each iteration of the event loop, which other
load on the machine does not affect. `benchmarks/fleet.py` starts it. It writes to standard error every few
seconds:

    turns worst_ms=1.93 over_1ms=12 turns=4211
"""

import asyncio.base_events
import sys
import time

REPORT_INTERVAL_S = 5.0  # interval between lines, in s
original_run_once = asyncio.base_events.BaseEventLoop._run_once
worst_ms = reported_at = 0.0
over_1ms = turns = 0


def measured_run_once(self: asyncio.base_events.BaseEventLoop) -> None:
    global worst_ms, reported_at, over_1ms, turns
    began = time.thread_time()
    original_run_once(self)
    cpu_ms = (time.thread_time() - began) * 1000
    worst_ms, over_1ms, turns = max(worst_ms, cpu_ms), over_1ms + (cpu_ms > 1.0), turns + 1
    if (now := time.monotonic()) - reported_at > REPORT_INTERVAL_S:
        print(f"turns worst_ms={worst_ms:.2f} over_1ms={over_1ms} turns={turns}", file=sys.stderr, flush=True)
        worst_ms, reported_at, over_1ms, turns = 0.0, now, 0, 0


if __name__ == "__main__":
    from otterrudder.cli.serve import serve

    setattr(asyncio.base_events.BaseEventLoop, "_run_once", measured_run_once)  # noqa: B010
    serve.main(args=[], prog_name="otterrudder", standalone_mode=False)
