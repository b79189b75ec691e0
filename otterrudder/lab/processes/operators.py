"""Runs operator commands as child processes against the cluster's store."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio

from otterrudder.fleet.records import digest_of
from otterrudder.lab.processes.event_log import EventLog
from otterrudder.lab.processes.launch import ROOT, child_environment
from otterrudder.lab.processes.policies import policy_text
from otterrudder.lab.processes.policy_observer import PolicyObserver
from otterrudder.lab.processes.server_process import ServerProcess

AUTHOR = "rig"
POLL_S = 0.02


class OperatorCommands:
    """Starts `otterrudder fleet` commands; their output is collected in one file."""

    def __init__(self, directory: Path, failpoints: Path, observer: PolicyObserver, events: EventLog) -> None:
        """`failpoints` is the failpoint directory of the commands."""
        self.directory = directory
        self.failpoints = failpoints
        self.observer = observer
        self.events = events
        self.fleet_file = directory / "operator.toml"
        self.output_file = directory / "proposers.txt"
        self.processes: list[subprocess.Popen[bytes]] = []

    def propose(
        self,
        number: int,
        rejected_product: str,
        deadline_s: float,
        text: str = "",
        options: tuple[str, ...] = (),
    ) -> subprocess.Popen[bytes]:
        """Proposes a policy change; `text` replaces the generated policy, `options` are further arguments."""
        text = text or policy_text(rejected_product, number)
        self.observer.rejected_products[digest_of(text)] = rejected_product
        path = self.directory / f"policy-{number}.toml"
        path.write_text(text)
        note = f"change {number}"
        process = self.run(
            "policy",
            "apply",
            str(path),
            *("--author", AUTHOR, "--note", note, "--deadline", str(deadline_s)),
            *options,
        )
        self.events.add_fleet_wide(f"{note} proposed")
        return process

    def remove_server(self, server: ServerProcess) -> subprocess.Popen[bytes]:
        """Starts the command that removes a server from the fleet."""
        process = self.run("gone", server.name)
        self.events.add(server.number, "said to be gone")
        return process

    def run(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts `otterrudder fleet` with these arguments."""
        environment = child_environment({"OTTERRUDDER_FLEET": str(self.fleet_file)}, self.failpoints)
        command = [sys.executable, "-m", "otterrudder", "fleet", *arguments]
        with self.output_file.open("ab") as output:
            process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    @staticmethod
    async def wait_ended(process: subprocess.Popen[bytes], timeout_s: float) -> int | None:
        """Returns the exit code, or None on timeout; resumes a process that stopped at a failpoint."""
        with anyio.move_on_after(timeout_s):
            while process.poll() is None:
                process.send_signal(signal.SIGCONT)
                await anyio.sleep(POLL_S)
        return process.poll()
