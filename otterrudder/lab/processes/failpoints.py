"""Failpoints of child processes: an armed one stops the first process that reaches it.

A failpoint is armed by a file in a directory that the process was told of. The process that reaches it claims
the file by renaming it to `POINT.PID`, and stops itself."""

import contextlib
from dataclasses import dataclass
from pathlib import Path

import anyio

from otterrudder.lab.processes.launch import is_stopped

POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ArmedFailpoint:
    """A failpoint, and the directory of the processes that it is armed for."""

    directory: Path
    point: str

    @property
    def path(self) -> Path:
        """The file that arms it."""
        return self.directory / self.point


class Failpoints:
    """The failpoints of a cluster: those for all servers, those for proposers, and which are armed."""

    def __init__(self, directory: Path) -> None:
        self.for_all = directory / "failpoints"
        self.for_proposers = directory / "failpoints-of-proposers"
        self.armed: list[ArmedFailpoint] = []

    def create_directories(self) -> None:
        """Once, before the first process is started."""
        for directory in (self.for_all, self.for_proposers):
            directory.mkdir()

    def arm(self, directory: Path, point: str) -> None:
        """Stops the first process that reaches `point`, of those that were told of the directory."""
        failpoint = ArmedFailpoint(directory, point)
        failpoint.path.touch()
        self.armed.append(failpoint)

    async def wait_stopped(self, failpoint: ArmedFailpoint, timeout_s: float) -> int:
        """The id of the process that has stopped at the failpoint; 0: none has in time."""
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
        """Disarms a failpoint; False: a process has claimed it already."""
        with contextlib.suppress(FileNotFoundError):
            failpoint.path.unlink()
            self.armed.remove(failpoint)
            return True
        return False
