"""What a process has used, as /proc tells it."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 2**20


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used."""

    cpu_s: float  # since the process began, user and system
    rss_mb: float  # now

    @staticmethod
    def of(pid: int) -> "Usage":
        """OSError: there is no such process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return Usage((user + system) / TICKS_PER_S, pages * PAGE_BYTES / MB)
