"""CPU time and memory of a call or a process. Other load on the machine hardly affects these figures."""

import gc
import os
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")
MB = 1e6
PROCESS_TIME = "process time"
TRACED = "tracemalloc"
RESIDENT = "resident set"


def cpu_s(call: Callable[[], object], repeats: int = 1) -> float:
    """Returns the lowest CPU time of this process over the repeated calls, in s."""
    lowest = float("inf")
    gc.collect()
    for _ in range(repeats):
        started = time.process_time()
        result = call()
        lowest = min(lowest, time.process_time() - started)
        del result
    return lowest


@dataclass(frozen=True, slots=True)
class Memory:
    retained_mb: float  # memory that the returned value occupies
    peak_mb: float  # peak memory during the call


def memory_of(call: Callable[[], T]) -> Memory:
    """Measures memory by tracemalloc. It slows the call several times, so CPU time is measured separately."""
    tracemalloc.start()
    try:
        result = call()
        gc.collect()
        current, peak = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return Memory(current / MB, peak / MB)


def process_cpu_s(pid: int) -> float:
    """Returns the CPU time used by all threads of a process so far, in s with nanosecond resolution."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def process_run_delay_s(pid: int) -> float:
    """Returns the time that threads of a process were runnable but waited for a core, in s."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[1]) for task in tasks) / 1e9


def resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB
