"""The server, with each turn of its loop measured by the CPU that its own thread spent in it: what others on
the machine take from it is left out. `benchmarks/fleet.py` starts it; to standard error, each few seconds:

    turns worst_ms=1.93 over_1ms=12 turns=4211
"""

import asyncio.base_events
import sys
import time

EACH_S = 5.0  # s between lines
real = asyncio.base_events.BaseEventLoop._run_once
worst = told_at = 0.0
long = turns = 0


def measured(self: asyncio.base_events.BaseEventLoop) -> None:
    global worst, told_at, long, turns
    began = time.thread_time()
    real(self)
    took = (time.thread_time() - began) * 1000
    worst, long, turns = max(worst, took), long + (took > 1.0), turns + 1
    if (now := time.monotonic()) - told_at > EACH_S:
        print(f"turns worst_ms={worst:.2f} over_1ms={long} turns={turns}", file=sys.stderr, flush=True)
        worst, told_at, long, turns = 0.0, now, 0, 0


if __name__ == "__main__":
    from otterrudder.cli.serve import serve

    setattr(asyncio.base_events.BaseEventLoop, "_run_once", measured)  # noqa: B010
    serve.main(args=[], prog_name="otterrudder", standalone_mode=False)
