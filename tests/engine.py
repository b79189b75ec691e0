"""The fake store as a separate process, for tests that need a running store."""

import json
import subprocess
import sys
from pathlib import Path

from helpers import ROOT

from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet


class Engine:
    """A process of the fake store."""

    def __init__(self, folder: Path, cluster: int = 0) -> None:
        self.folder, self.port, self.cluster = folder, 0, cluster
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "otterrudder.lab.processes.fake_etcd",
                str(self.port),
                "--state",
                str(self.folder / f"store-{self.cluster}"),
                "--cluster",
                f"{self.cluster:x}",
            ],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout
        self.port = int(self.process.stdout.readline())

    def set_faults(self, **faults: object) -> None:
        """Sets faults of the store, by the names that `fake_etcd` accepts."""
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(json.dumps(faults).encode() + b"\n")
        self.process.stdin.flush()
        assert self.process.stdout.readline() == b"ok\n"

    def stop(self) -> None:
        """Ends the process and waits for it."""
        assert self.process.stdin and self.process.stdout
        self.process.stdin.close()
        self.process.wait(10)
        self.process.stdout.close()

    def client(self) -> Client:
        """Returns a client of the store."""
        path = self.folder / "fleet.toml"
        store = f'store = ["127.0.0.1:{self.port}"]'
        path.write_text(f'version = 1\nfleet = "f"\n{store}\nabsent = "leave-out"\n')
        return Client(read_fleet(path))
