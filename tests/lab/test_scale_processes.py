"""The processes part of the scale experiment in its quick form: counts and their laws, never times; its fits
on figures made for them; and that it leaves no process behind."""

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
from otterrudder.lab.scale.processes.measure import QUICK, measure_at_once
from otterrudder.lab.scale.processes.report import make_report, markdown

pytestmark = pytest.mark.exclusive

EXPERIMENT = "experiments/capacity.toml"
MARK = "OTTERRUDDER_TEST_MARK"  # in the environment of what a test begins
CHILDREN_LEAST = 5  # itself, a store, a relay and more
UP_S = 20.0  # s until the part has begun its children
GONE_S = 15.0  # s that it may take to end them


def test_a_linear_law_is_found_with_its_largest_miss() -> None:
    law = fit_linear([10, 20, 40], [25.0, 45.0, 85.0])
    assert (law.start, law.slope) == (pytest.approx(5.0), pytest.approx(2.0))
    assert law.residual < 1e-9 and law.at(100) == pytest.approx(205.0)
    assert fit_linear([10, 20, 30], [10.0, 40.0, 30.0]).residual == pytest.approx(2 / 3)


def test_a_power_law_is_found_and_there_is_none_of_nothing() -> None:
    law = fit_power([10, 20, 40], [300.0, 1200.0, 4800.0])
    assert law and law.exponent == pytest.approx(2.0) and law.factor == pytest.approx(3.0)
    assert law.at(100) == pytest.approx(30_000.0)
    assert fit_power([10, 20], [0.0, 1.0]) is None


def test_what_the_store_is_asked_grows_with_members_and_not_with_servers_of_cells() -> None:
    rows = anyio.run(measure_at_once, QUICK, print)
    report = make_report(QUICK, rows)
    assert [claim for claim in report.claims if not claim.holds] == []
    assert [row.servers for row in rows] == [*QUICK.member_sizes, *QUICK.cell_sizes]
    assert "store: writes a change" in markdown(report)


def _children(mark: str) -> list[int]:
    """Live processes whose environment has this mark."""
    found = []
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            environment = (folder / "environ").read_bytes().split(b"\0")
        except OSError:  # it has ended, or is another user's
            continue
        if f"{MARK}={mark}".encode() in environment:
            found.append(int(folder.name))
    return found


def _wait(is_so: Callable[[], bool], most_s: float) -> bool:
    until = time.monotonic() + most_s
    while time.monotonic() < until:
        if is_so():
            return True
        time.sleep(0.1)
    return is_so()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
def test_told_to_end_it_ends_its_children_first(number: signal.Signals, tmp_path: Path) -> None:
    mark = f"{os.getpid()}-{number.name}"
    words = ["lab", "scale", EXPERIMENT, "--part", "processes", "--quick", "--out", str(tmp_path)]
    process = subprocess.Popen(
        [sys.executable, "-m", "otterrudder", *words], cwd=ROOT, env=os.environ | {MARK: mark}
    )
    try:
        assert _wait(lambda: len(_children(mark)) >= CHILDREN_LEAST, UP_S)
        process.send_signal(number)
        assert process.wait(GONE_S) == INTERRUPTED
        assert _children(mark) == []
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
