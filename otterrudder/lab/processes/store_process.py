"""The fake store as a child process, with its faults."""

import json
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec

from otterrudder.fleet.records import Keys
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.processes.event_log import EventLog
from otterrudder.lab.processes.launch import ROOT

STATE_FILE = "store"  # the content of the store, which survives a kill
SNAPSHOT_FILE = "snapshot"
SNAPSHOT_CLUSTER_ID = 0xC0B1  # cluster id of a store that answers in place of the fleet's own


class StoreProcess:
    """The process of the fake store, its port, and snapshots of its state."""

    def __init__(self, directory: Path, port: int, fleet: str, events: EventLog) -> None:
        self.directory = directory
        self.port = port
        self.keys = Keys(fleet)
        self.events = events
        self.process: subprocess.Popen[bytes] | None = None
        self._snapshots: list[bytes] = []  # the oldest first

    async def start(self, state_file: str = STATE_FILE, cluster_id: int = 0) -> None:
        """Starts the process with the content of `state_file`; `cluster_id` 0 selects the default id."""
        options = [
            str(self.port),
            "--state",
            str(self.directory / state_file),
            "--cluster",
            f"{cluster_id:x}",
        ]
        command = [sys.executable, "-m", "otterrudder.lab.processes.fake_etcd", *options]
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self.process.stdout
        self.port = int(await anyio.to_thread.run_sync(self.process.stdout.readline))

    def kill(self) -> None:
        """Kills the process, if it is running."""
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process = None
            self.events.add_fleet_wide("store killed")

    async def restart(self) -> None:
        """Restarts the fleet's own store with its content; ends a store that answers in its place."""
        self.kill()
        await self.start()
        self.events.add_fleet_wide("store starts")

    async def replace(self, with_snapshot: bool) -> None:
        """Starts another store in place of the fleet's own: restored from an older snapshot, or empty."""
        self.kill()
        snapshot = self.directory / SNAPSHOT_FILE
        snapshot.unlink(missing_ok=True)
        if with_snapshot and self._snapshots:
            snapshot.write_bytes(self._snapshots[0])
        await self.start(SNAPSHOT_FILE, SNAPSHOT_CLUSTER_ID)
        self.events.add_fleet_wide("an older copy answers" if with_snapshot else "an empty store answers")

    def take_snapshot(self) -> None:
        """Takes a snapshot of the state; the two latest snapshots are kept."""
        if self.process:
            self._snapshots = [*self._snapshots[-1:], (self.directory / STATE_FILE).read_bytes()]

    async def inject(self, **fault: object) -> None:
        """Sends a message of fake_etcd that begins or ends faults; does nothing if the process is killed."""
        if not self.process:
            return
        await self._send(self.process, fault)
        self.events.add_fleet_wide(" ".join(fault))

    async def report(self) -> StoreReport:
        """Returns the counters of the store, whose process must be running."""
        assert self.process
        return msgspec.json.decode(await self._send(self.process, {"report": ""}), type=StoreReport)

    async def suspend_change_end(self, is_held: bool) -> None:
        """Begins or ends a delay of the commits that end a change."""
        await self.inject(hold_delete=self.keys.change if is_held else "")

    async def expire_leader(self) -> None:
        """Removes the leader's key, as when its lease expires."""
        await self.inject(strike=self.keys.leader)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, such as SIGSTOP or SIGCONT, to the process."""
        if self.process:
            self.process.send_signal(number)
            self.events.add_fleet_wide(number.name)

    @staticmethod
    async def _send(process: subprocess.Popen[bytes], message: dict[str, object]) -> bytes:
        assert process.stdin and process.stdout
        process.stdin.write(json.dumps(message).encode() + b"\n")
        process.stdin.flush()
        return await anyio.to_thread.run_sync(process.stdout.readline)
