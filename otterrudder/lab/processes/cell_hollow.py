"""Hollow servers beside the real ones of a rig of cells: some hundreds in a few processes, with the agent
and the stream of a server and no requests. They tell at once what they go by and whether they admit, by the
clock that all processes of a machine share; so a switch is timed exactly, and who stands aside is seen."""

import os
import subprocess
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec

from otterrudder.lab.processes.cluster import ROOT, environment
from otterrudder.lab.processes.history_checker import SLACK_MS, InForce
from otterrudder.lab.scale.hollow import Switched

CHUNK = 65536  # bytes that are read in one go
_DECODER = msgspec.json.Decoder(Switched)


@dataclass(slots=True)
class HollowServers:
    """The processes, and all that their servers have told, in the order of their times."""

    told: list[Switched] = field(default_factory=list)
    count: int = 0
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _present: dict[str, Switched] = field(default_factory=dict)

    def start(self, fleet: Path, configuration: Path, prefix: str, count: int) -> subprocess.Popen[bytes]:
        """A process of so many servers; its folder is that of the fleet's file."""
        words = [str(fleet), str(configuration), "--count", str(count), "--prefix", prefix]
        line = [sys.executable, "-m", "otterrudder.lab.scale.hollow", *words, "--folder", str(fleet.parent)]
        with (fleet.parent / "log.txt").open("ab") as log:
            process = subprocess.Popen(
                line, cwd=ROOT, env=environment({}), stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log
            )
        self.processes.append(process)
        self.count += count
        return process

    async def listen(self, process: subprocess.Popen[bytes]) -> None:
        """Takes down what they tell, until cancelled."""
        assert process.stdout
        number, rest = process.stdout.fileno(), b""
        os.set_blocking(number, False)
        while True:
            await anyio.wait_readable(number)
            data = os.read(number, CHUNK)
            if not data:
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._note(_DECODER.decode(line))

    def _note(self, told: Switched) -> None:
        self.told.append(told)
        self._present[told.server] = told

    def behind(self, version: int) -> int:
        """How many do not admit under that version now."""
        at_work = sum(told.admits and told.version == version for told in self._present.values())
        return self.count - at_work

    # What it comes to.

    def switches(self, versions: list[InForce]) -> dict[int, float]:
        """By version: ms from its commit until the last server that switched to it had done so."""
        first: dict[tuple[int, str], float] = {}
        for told in self.told:
            first.setdefault((told.version, told.server), told.at_ms)
        last: dict[int, float] = {}
        for (number, _), at_ms in first.items():
            last[number] = max(last.get(number, 0.0), at_ms)
        return {v.version: max(0.0, last[v.version] - v.by) for v in versions[1:] if v.version in last}

    def overdue(self, versions: list[InForce], bound_ms: float) -> int:
        """Spans in which a server admitted under a version that had been out of force for longer than the
        bound."""
        ends = {
            old.version: new.by + bound_ms + SLACK_MS
            for old, new in zip(versions, versions[1:], strict=False)
        }
        found = 0
        for spans in self._spans().values():
            found += sum(told.admits and until > ends.get(told.version, until) for told, until in spans)
        return found

    def aside_ms(self, since: float, to: float) -> dict[str, float]:
        """By server: how long it did not admit between these times."""
        found: dict[str, float] = defaultdict(float)
        for server, spans in self._spans().items():
            for told, until in spans:
                overlap = min(until, to) - max(told.at_ms, since)
                if not told.admits and overlap > 0:
                    found[server] += overlap
        return dict(found)

    def _spans(self) -> dict[str, list[tuple[Switched, float]]]:
        """By server: what it told, and until when that was so."""
        by_server: dict[str, list[Switched]] = defaultdict(list)
        for told in self.told:
            by_server[told.server].append(told)
        end = max((told.at_ms for told in self.told), default=0.0)
        return {
            server: [
                (told, after.at_ms)
                for told, after in zip(
                    all_told, [*all_told[1:], Switched(server, 0, False, end)], strict=True
                )
            ]
            for server, all_told in by_server.items()
        }
