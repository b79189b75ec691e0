"""Hollow servers beside the real ones of a cluster of cells: some hundreds in a few processes, with the agent
and the stream of a server and no requests.

They report at once which version they go by and whether they admit, by the clock that all processes of a
machine share. So a switch is timed exactly, and a suspension is seen."""

import os
import subprocess
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec

from otterrudder.lab.processes.history import VersionInForce
from otterrudder.lab.processes.history_checker import BOUND_SLACK_MS
from otterrudder.lab.processes.launch import ROOT, child_environment
from otterrudder.lab.processes.server_process import LOG_FILE
from otterrudder.lab.scale.hollow import Switched

MAX_CHUNK = 65536  # bytes that are read in one go
_DECODER = msgspec.json.Decoder(Switched)


@dataclass(frozen=True, slots=True)
class _ReportSpan:
    """A report, and until when it was so."""

    report: Switched
    end: float

    def overlap_ms(self, start: float, end: float) -> float:
        """The time that it has in common with another span; negative if none."""
        return min(self.end, end) - max(self.report.at_ms, start)


@dataclass(slots=True)
class HollowServers:
    """The processes, and all reports of their servers in the order of their times."""

    reports: list[Switched] = field(default_factory=list)
    count: int = 0
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _latest: dict[str, Switched] = field(default_factory=dict)

    def start(
        self, fleet_file: Path, configuration: Path, prefix: str, count: int
    ) -> subprocess.Popen[bytes]:
        """Starts a process of so many servers, in the directory of the fleet's file."""
        directory = fleet_file.parent
        arguments = [str(fleet_file), str(configuration), "--count", str(count), "--prefix", prefix]
        arguments += ["--folder", str(directory)]
        with (directory / LOG_FILE).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "otterrudder.lab.scale.hollow", *arguments],
                cwd=ROOT,
                env=child_environment({}),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.processes.append(process)
        self.count += count
        return process

    async def listen(self, process: subprocess.Popen[bytes]) -> None:
        """Records the reports of a process until it ends, or this is cancelled."""
        assert process.stdout
        descriptor = process.stdout.fileno()
        os.set_blocking(descriptor, False)
        rest = b""
        while True:
            await anyio.wait_readable(descriptor)
            data = os.read(descriptor, MAX_CHUNK)
            if not data:
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._note(_DECODER.decode(line))

    def _note(self, report: Switched) -> None:
        self.reports.append(report)
        self._latest[report.server] = report

    def outdated(self, version: int) -> int:
        """How many do not admit under that version now."""
        current = sum(report.admits and report.version == version for report in self._latest.values())
        return self.count - current

    def switch_times(self, versions: list[VersionInForce]) -> dict[int, float]:
        """By version: ms from its commit until the last server that switched to it had done so."""
        first: dict[tuple[int, str], float] = {}
        for report in self.reports:
            first.setdefault((report.version, report.server), report.at_ms)
        last: dict[int, float] = {}
        for (version_number, _), at_ms in first.items():
            last[version_number] = max(last.get(version_number, 0.0), at_ms)
        return {
            version.version: max(0.0, last[version.version] - version.by)
            for version in versions[1:]
            if version.version in last
        }

    def overdue(self, versions: list[VersionInForce], bound_ms: float) -> int:
        """Spans in which a server admitted under a version that had been out of force for longer than the
        bound."""
        ends = {
            earlier.version: later.by + bound_ms + BOUND_SLACK_MS
            for earlier, later in zip(versions, versions[1:], strict=False)
        }
        return sum(
            span.report.admits and span.end > ends.get(span.report.version, span.end)
            for span in self._spans()
        )

    def suspended_ms(self, start: float, end: float) -> dict[str, float]:
        """By server: how long it did not admit within a span; servers that always did are left out."""
        found: dict[str, float] = defaultdict(float)
        for span in self._spans():
            overlap_ms = span.overlap_ms(start, end)
            if not span.report.admits and overlap_ms > 0:
                found[span.report.server] += overlap_ms
        return dict(found)

    def _spans(self) -> Iterator[_ReportSpan]:
        """Each report with the time of its server's next one, or of the last of all."""
        by_server: dict[str, list[Switched]] = defaultdict(list)
        for report in self.reports:
            by_server[report.server].append(report)
        last_ms = max((report.at_ms for report in self.reports), default=0.0)
        for reports in by_server.values():
            ends = [*(report.at_ms for report in reports[1:]), last_ms]
            for report, end in zip(reports, ends, strict=True):
                yield _ReportSpan(report, end)
