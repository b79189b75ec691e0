"""Runs hollow servers in a cluster of cells: several hundred of them in a few processes.

A hollow server has the agent and the stream of a server, and no requests. It reports immediately which
version of the policy it applies and whether it admits, with the time by the clock that all processes of a
machine share. From these reports follow the exact time of each switch and the length of each suspension."""

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

READ_SIZE_BYTES = 65536
_DECODER = msgspec.json.Decoder(Switched)


@dataclass(frozen=True, slots=True)
class _ReportSpan:
    """A report of a server, and the time in ms until which it holds."""

    report: Switched
    end: float

    def overlap_ms(self, start: float, end: float) -> float:
        """Returns the overlap with the span from `start` to `end`, in ms; negative if there is none."""
        return min(self.end, end) - max(self.report.at_ms, start)


@dataclass(slots=True)
class HollowServers:
    """The processes of hollow servers, and all reports in the order in which they were read."""

    reports: list[Switched] = field(default_factory=list)
    count: int = 0
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _latest: dict[str, Switched] = field(default_factory=dict)

    def start(
        self, fleet_file: Path, configuration: Path, prefix: str, count: int
    ) -> subprocess.Popen[bytes]:
        """Starts a process of `count` hollow servers, which use the directory of the fleet file."""
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
        """Records the reports of a process until it ends or the call is cancelled."""
        assert process.stdout
        descriptor = process.stdout.fileno()
        os.set_blocking(descriptor, False)
        incomplete_line = b""
        while True:
            await anyio.wait_readable(descriptor)
            data = os.read(descriptor, READ_SIZE_BYTES)
            if not data:
                return
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
            for line in lines:
                self._record(_DECODER.decode(line))

    def _record(self, report: Switched) -> None:
        self.reports.append(report)
        self._latest[report.server] = report

    def count_outdated(self, version: int) -> int:
        """Returns the number of servers that don't admit under the given version now."""
        current = sum(report.admits and report.version == version for report in self._latest.values())
        return self.count - current

    def switch_times(self, versions: list[VersionInForce]) -> dict[int, float]:
        """Returns by version the time in ms from its commit until the last report of a switch to it.

        A version to which no server switched has no entry."""
        switched_at: dict[tuple[int, str], float] = {}
        for report in self.reports:
            switched_at.setdefault((report.version, report.server), report.at_ms)
        last_switch_ms: dict[int, float] = {}
        for (version_number, _), at_ms in switched_at.items():
            last_switch_ms[version_number] = max(last_switch_ms.get(version_number, 0.0), at_ms)
        return {
            version.version: max(0.0, last_switch_ms[version.version] - version.by)
            for version in versions[1:]
            if version.version in last_switch_ms
        }

    def count_overdue(self, versions: list[VersionInForce], bound_ms: float) -> int:
        """Counts the spans in which a server admitted under an old version after the bound had passed.

        The bound begins when the next version comes into force."""
        latest_ends_ms = {
            earlier.version: later.by + bound_ms + BOUND_SLACK_MS
            for earlier, later in zip(versions, versions[1:], strict=False)
        }
        return sum(
            span.report.admits and span.end > latest_ends_ms.get(span.report.version, span.end)
            for span in self._spans()
        )

    def suspended_ms(self, start: float, end: float) -> dict[str, float]:
        """Returns by server how long, in ms, it did not admit between `start` and `end`.

        Servers that admitted all the time have no entry."""
        suspended: dict[str, float] = defaultdict(float)
        for span in self._spans():
            overlap_ms = span.overlap_ms(start, end)
            if not span.report.admits and overlap_ms > 0:
                suspended[span.report.server] += overlap_ms
        return dict(suspended)

    def _spans(self) -> Iterator[_ReportSpan]:
        """Yields each report with the time of the next report of its server.

        The last report of a server holds until the time of the latest report of all servers."""
        by_server: dict[str, list[Switched]] = defaultdict(list)
        for report in self.reports:
            by_server[report.server].append(report)
        last_ms = max((report.at_ms for report in self.reports), default=0.0)
        for reports in by_server.values():
            ends = [*(report.at_ms for report in reports[1:]), last_ms]
            for report, end in zip(reports, ends, strict=True):
                yield _ReportSpan(report, end)
