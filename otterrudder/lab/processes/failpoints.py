"""Failpoints of child processes: an armed failpoint stops the first process that reaches it.

A failpoint is armed by a file in a failpoint directory of the process's environment. The process that reaches
the failpoint claims the file by renaming it to `POINT.PID`, and stops itself."""

import contextlib
from dataclasses import dataclass
from pathlib import Path

import anyio

from otterrudder.lab.processes.launch import is_stopped

POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ArmedFailpoint:
    """An armed failpoint, with the failpoint directory of the processes concerned."""

    directory: Path
    point: str

    @property
    def path(self) -> Path:
        """The file that arms it."""
        return self.directory / self.point


class Failpoints:
    """The armed failpoints of a cluster, and the failpoint directories of all servers and of proposers."""

    def __init__(self, directory: Path) -> None:
        self.for_all = directory / "failpoints"
        self.for_proposers = directory / "failpoints-of-proposers"
        self.armed: list[ArmedFailpoint] = []

    def create_directories(self) -> None:
        """Creates the failpoint directories; call it once, before the first process starts."""
        for directory in (self.for_all, self.for_proposers):
            directory.mkdir()

    def arm(self, directory: Path, point: str) -> None:
        """Arms `point` for the processes whose environment has this failpoint directory."""
        failpoint = ArmedFailpoint(directory, point)
        failpoint.path.touch()
        self.armed.append(failpoint)

    async def wait_stopped(self, failpoint: ArmedFailpoint, timeout_s: float) -> int:
        """Returns the id of the process that stopped at the failpoint, or 0 if none stopped in time."""
        with anyio.move_on_after(timeout_s):
            while True:
                for claim in failpoint.directory.glob(f"{failpoint.point}.*"):
                    pid = int(claim.suffix[1:])
                    if is_stopped(pid):
                        claim.unlink()
                        self.armed.remove(failpoint)
                        return pid
                await anyio.sleep(POLL_S)
        return 0

    def disarm_unclaimed(self, failpoint: ArmedFailpoint) -> bool:
        """Disarms a failpoint; returns False if a process has already claimed it."""
        with contextlib.suppress(FileNotFoundError):
            failpoint.path.unlink()
            self.armed.remove(failpoint)
            return True
        return False
