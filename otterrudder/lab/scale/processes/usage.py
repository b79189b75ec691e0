"""Reads the CPU time and the memory of a process from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 2**20


@dataclass(frozen=True, slots=True)
class Usage:
    """The CPU time and the memory of one or more processes."""

    cpu_s: float  # user and system time since the start of the process
    rss_mb: float  # present resident set size

    @staticmethod
    def of(pid: int) -> "Usage":
        """Reads the usage of a process. Raises OSError if the process does not exist."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return Usage((user + system) / TICKS_PER_S, pages * PAGE_BYTES / MB)
