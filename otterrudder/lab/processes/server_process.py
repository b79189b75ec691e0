"""A server of the cluster as a child process, with its directory, its fake peers and its faults."""

import os
import shutil
import signal
import subprocess
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.event_log import EventLog
from otterrudder.lab.processes.fake_gateway import FakeGateway
from otterrudder.lab.processes.fake_runtime import FakeRuntime
from otterrudder.lab.processes.history import TimeSpan
from otterrudder.lab.processes.link import DatagramLink, Link, LinkFault

STATE_DIRECTORY = "state"  # in the server's directory; survives its processes
LOG_FILE = "log.txt"
STATE_FILE = "member"
LOG_TAIL_LINES = 3  # number of log lines in error messages
DISTURBANCE_LEAD_MS = 50.0  # requests sent this long before a fault may still be open when it begins
REPORT_RECOVERY_MS = 1500.0  # maximum time from a start or a repaired link to the next received report
LOCAL_LINKS = ("runtime",)  # not affected by a network fault
DISCOVERY = "list"  # the name of the link to service discovery
NETWORK = "network"  # name for all links that leave the machine, together


class Disturbance(Enum):
    """A temporary condition of a server that delays or prevents answers or reports."""

    FROZEN = "frozen"
    DOWN = "down"
    DRAINING = "draining"
    GATEWAY_LINK = "gateway"
    DISCOVERY_LINK = "discovery"


# Maximum ms from the end of a disturbance until the requests that were open are answered or lost.
RECOVERY_MS = {
    Disturbance.FROZEN: 200.0,
    Disturbance.DOWN: 200.0,
    Disturbance.GATEWAY_LINK: 800.0,
}
# Disturbances during which service discovery needs no report.
UNREPORTED_DISTURBANCES = (
    Disturbance.FROZEN,
    Disturbance.DOWN,
    Disturbance.DRAINING,
    Disturbance.DISCOVERY_LINK,
)
LINK_DISTURBANCES = {
    "gateway": Disturbance.GATEWAY_LINK,
    DISCOVERY: Disturbance.DISCOVERY_LINK,
}


@dataclass(slots=True)
class ServerProcess:
    """One server; like a machine with a disk, it outlives its processes."""

    number: int
    name: str
    directory: Path
    runtime: FakeRuntime
    gateway: FakeGateway
    links: dict[str, Link]  # by name: store, runtime, gateway; in cells also by relay address
    discovery_link: DatagramLink
    events: EventLog
    process: subprocess.Popen[bytes] | None = None
    disturbed: list[TimeSpan] = field(default_factory=list)  # spans in which no timely answer is required
    unlisted: list[TimeSpan] = field(default_factory=list)  # spans in which no report is required
    ongoing: dict[Disturbance, float] = field(default_factory=dict)  # start times in ms

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def is_frozen(self) -> bool:
        """Whether its process was stopped, by a signal or at a failpoint."""
        return Disturbance.FROZEN in self.ongoing

    @property
    def failpoints(self) -> Path:
        """The directory in which failpoints are armed for its processes."""
        return self.directory / "failpoints"

    @property
    def log_tail(self) -> str:
        """The last lines of its log."""
        return "; ".join((self.directory / LOG_FILE).read_text().splitlines()[-LOG_TAIL_LINES:])

    def begin(self, disturbance: Disturbance, since: float | None = None) -> None:
        """Records that a disturbance begins now, or began at `since`."""
        self.ongoing.setdefault(disturbance, clock() if since is None else since)

    def end(self, disturbance: Disturbance) -> None:
        """Records the end of a disturbance, and the spans that it excuses."""
        since = self.ongoing.pop(disturbance, None)
        if since is None:
            return
        now = clock()
        if disturbance in RECOVERY_MS:
            self.disturbed.append(TimeSpan(since - DISTURBANCE_LEAD_MS, now + RECOVERY_MS[disturbance]))
        if disturbance in UNREPORTED_DISTURBANCES:
            self.unlisted.append(TimeSpan(since - REPORT_RECOVERY_MS, now + REPORT_RECOVERY_MS))

    def disturbed_spans(self) -> list[TimeSpan]:
        """Returns the spans in which no timely answer is required, including ongoing disturbances."""
        now = clock()
        ongoing = [TimeSpan(since, now) for kind, since in self.ongoing.items() if kind in RECOVERY_MS]
        return self.disturbed + ongoing

    def record_start(self, process: subprocess.Popen[bytes]) -> None:
        """Records the start of a new process."""
        self.process = process
        self.end(Disturbance.DOWN)
        self.end(Disturbance.DRAINING)
        self.events.add(self.number, "starts")

    def kill(self) -> None:
        """Kills the server's process."""
        if self.process:
            self.ongoing[Disturbance.DOWN] = clock()
            self.process.kill()
            self.process.wait()
            self.ongoing.pop(Disturbance.FROZEN, None)
            self.events.add(self.number, "killed")

    def freeze(self) -> None:
        """Stops the server's process by SIGSTOP."""
        if self.process:
            self.process.send_signal(signal.SIGSTOP)
            self.ongoing[Disturbance.FROZEN] = clock()
            self.events.add(self.number, "frozen")

    def thaw(self) -> None:
        """Resumes the server's process by SIGCONT."""
        if self.process:
            self.process.send_signal(signal.SIGCONT)
            self.end(Disturbance.FROZEN)
            self.events.add(self.number, "thawed")

    def reload(self) -> None:
        """Sends SIGHUP, so that the server's process reads its files again."""
        assert self.process
        self.process.send_signal(signal.SIGHUP)

    def set_link(self, event: str, fault: LinkFault, name: str = "store") -> None:
        """Sets the fault of a link, and records `event`.

        `name` is a key of `links`, DISCOVERY, or NETWORK for all links that leave the machine."""
        for link_name in self._links_of_network() if name == NETWORK else [name]:
            if link_name == DISCOVERY:
                self.discovery_link.set_fault(fault)
            else:
                self.links[link_name].set_fault(fault)
            self._record_link_fault(link_name, fault)
        self.events.add(self.number, event)

    def _links_of_network(self) -> list[str]:
        return [*(name for name in self.links if name not in LOCAL_LINKS), DISCOVERY]

    def _record_link_fault(self, name: str, fault: LinkFault) -> None:
        disturbance = LINK_DISTURBANCES.get(name)
        if disturbance is None:
            return
        if fault.is_none:
            self.end(disturbance)
        else:
            self.begin(disturbance)

    @property
    def _new_state_file(self) -> Path:
        """The temporary file that the process writes before it replaces the state file."""
        return self.directory / STATE_DIRECTORY / f"{STATE_FILE}.new"

    def fill_disk(self, is_full: bool) -> None:
        """Makes writes of the state fail, as on a full disk, by a directory at the temporary file's path."""
        path = self._new_state_file
        if is_full:
            if path.is_file():  # left by a process that was killed while writing
                path.unlink()
            path.mkdir(parents=True, exist_ok=True)
        elif path.is_dir():
            path.rmdir()
        self.events.add(self.number, "disk full" if is_full else "room again")

    def hang_disk(self, is_hanging: bool) -> None:
        """Makes writes of the state hang, by a named pipe at the temporary file's path.

        When the fault ends, the hanging write fails."""
        path = self._new_state_file
        if is_hanging:
            path.unlink(missing_ok=True)
            path.parent.mkdir(parents=True, exist_ok=True)
            os.mkfifo(path)
        elif path.is_fifo():
            # Once the pipe has a reader, the writer continues and fails, since fsync of a pipe fails.
            reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
            path.unlink()
            os.close(reader)
        self.events.add(self.number, "disk hangs" if is_hanging else "disk goes on")

    def lose_state_directory(self) -> None:
        """Removes the state directory."""
        shutil.rmtree(self.directory / STATE_DIRECTORY, ignore_errors=True)
        self.events.add(self.number, "folder lost")
