"""Tests the processes part of the scale experiment with its quick plan.

The tests check counts and their laws but no times, the fits on given figures, and that no child process is
left after an interrupted run."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import pytest

from otterrudder.cli.lab import INTERRUPTED
from otterrudder.lab.processes.launch import ROOT
from otterrudder.lab.scale.processes.laws import fit_linear, fit_power
from otterrudder.lab.scale.processes.measure import QUICK, measure_concurrently
from otterrudder.lab.scale.processes.report import make_report, markdown

pytestmark = pytest.mark.exclusive

EXPERIMENT = "experiments/capacity.toml"
MARK = "OTTERRUDDER_TEST_MARK"  # environment variable that identifies the processes of a test
MIN_PROCESSES = 5  # the program itself, a store, a relay, and two others
START_TIMEOUT_S = 20.0  # maximum time until the program has started its children
STOP_TIMEOUT_S = 15.0  # maximum time until the program has stopped them


def test_linear_fit_returns_the_law_and_its_largest_relative_error() -> None:
    law = fit_linear([10, 20, 40], [25.0, 45.0, 85.0])
    assert (law.start, law.slope) == (pytest.approx(5.0), pytest.approx(2.0))
    assert law.residual < 1e-9 and law.at(100) == pytest.approx(205.0)
    assert fit_linear([10, 20, 30], [10.0, 40.0, 30.0]).residual == pytest.approx(2 / 3)


def test_power_fit_returns_the_law_or_none_if_a_figure_is_zero() -> None:
    law = fit_power([10, 20, 40], [300.0, 1200.0, 4800.0])
    assert law and law.exponent == pytest.approx(2.0) and law.factor == pytest.approx(3.0)
    assert law.at(100) == pytest.approx(30_000.0)
    assert fit_power([10, 20], [0.0, 1.0]) is None


def test_requests_to_the_store_grow_with_members_but_not_with_servers_of_cells() -> None:
    rows = anyio.run(measure_concurrently, QUICK, print)
    report = make_report(QUICK, rows)
    assert [claim for claim in report.claims if not claim.holds] == []
    assert [row.servers for row in rows] == [*QUICK.member_sizes, *QUICK.cell_sizes]
    assert "store: writes a change" in markdown(report)


def _marked_processes(mark: str) -> list[int]:
    """Returns the ids of the running processes whose environment has this mark."""
    pids = []
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            environment = (folder / "environ").read_bytes().split(b"\0")
        except OSError:  # the process has ended or belongs to another user
            continue
        if f"{MARK}={mark}".encode() in environment:
            pids.append(int(folder.name))
    return pids


def _wait(condition: Callable[[], bool], timeout_s: float) -> bool:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return condition()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
def test_interrupted_run_stops_its_children_before_it_exits(number: signal.Signals, tmp_path: Path) -> None:
    mark = f"{os.getpid()}-{number.name}"
    arguments = ["lab", "scale", EXPERIMENT, "--part", "processes", "--quick", "--out", str(tmp_path)]
    process = subprocess.Popen(
        [sys.executable, "-m", "otterrudder", *arguments], cwd=ROOT, env=os.environ | {MARK: mark}
    )
    try:
        assert _wait(lambda: len(_marked_processes(mark)) >= MIN_PROCESSES, START_TIMEOUT_S)
        process.send_signal(number)
        assert process.wait(STOP_TIMEOUT_S) == INTERRUPTED
        assert _marked_processes(mark) == []
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
