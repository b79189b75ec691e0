"""CPU and memory of a call, or of a process: figures that others on the machine do not change much."""

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


def cpu_s(act: Callable[[], object], tries: int = 1) -> float:
    """The least CPU time of this process that a call took."""
    least = float("inf")
    gc.collect()
    for _ in range(tries):
        began = time.process_time()
        kept = act()
        least = min(least, time.process_time() - began)
        del kept
    return least


@dataclass(frozen=True, slots=True)
class Memory:
    kept_mb: float  # by what the call returned
    peak_mb: float  # at the worst moment of the call


def memory_of(act: Callable[[], T]) -> Memory:
    """By tracemalloc, which slows the call several times: time it apart."""
    tracemalloc.start()
    try:
        kept = act()
        gc.collect()
        now, peak = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return Memory(now / MB, peak / MB)


def process_cpu_s(pid: int) -> float:
    """CPU seconds of all threads of a process so far, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def process_waited_s(pid: int) -> float:
    """Seconds that its threads were ready to run and had no core: what others on the machine took."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[1]) for task in tasks) / 1e9


def resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB
