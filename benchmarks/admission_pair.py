"""Compares the cost of the admission decisions of two checkouts, alternating in one run.

    .venv/bin/python benchmarks/admission_pair.py OLD NEW FRAMES ... [--rounds 5] [--instructions]

OLD and NEW are roots of checkouts, FRAMES are recorded input frames of the simulator. Each measurement
runs `python -m otterrudder.drill` in a new process and subtracts the cost of a process without input. The
cost is CPU time, or with `--instructions` the user-space instructions counted by `perf`, which hardly depend
on other load.
Prints the median of the paired ratios with its quartiles; exits with 1 if the replies differ.
"""

import argparse
import os
import resource
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

DRILL = [sys.executable, "-m", "otterrudder.drill"]


@dataclass(frozen=True, slots=True)
class Measurement:
    """Cost and output of one process."""

    cost: float
    replies: bytes


def measure_cpu_s(root: Path, frames: Path) -> Measurement:
    """Measures the CPU time, in s, of a process of this checkout that plays a file of frames."""
    with frames.open("rb") as stdin:
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        done = subprocess.run(DRILL, cwd=root, stdin=stdin, capture_output=True, check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user_s = after.ru_utime - before.ru_utime
    system_s = after.ru_stime - before.ru_stime
    return Measurement(user_s + system_s, done.stdout)


def measure_instructions(root: Path, frames: Path) -> Measurement:
    """Counts the user-space instructions of a process of this checkout that plays a file of frames."""
    with frames.open("rb") as stdin, tempfile.NamedTemporaryFile("r") as report:
        command = ["perf", "stat", "-x,", "-e", "instructions:u", "-o", report.name, *DRILL]
        done = subprocess.run(command, cwd=root, stdin=stdin, capture_output=True, check=True)
        lines = [line for line in report.read().splitlines() if "instructions" in line]
    return Measurement(float(lines[0].split(",")[0]), done.stdout)


def ratio_of(old: Path, new: Path, frames: Path, by_instructions: bool) -> float:
    """Returns the cost ratio of the new to the old checkout. Raises ValueError if the replies differ."""
    measure = measure_instructions if by_instructions else measure_cpu_s
    start = {root: measure(root, Path(os.devnull)) for root in (old, new)}
    total = {root: measure(root, frames.absolute()) for root in (old, new)}
    if total[old].replies != total[new].replies:
        raise ValueError(f"{frames}: the replies differ")
    return (total[new].cost - start[new].cost) / (total[old].cost - start[old].cost)


def main() -> int:
    """Measures both checkouts in turn and prints the comparison."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("frames", type=Path, nargs="+")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--instructions", action="store_true")
    options = parser.parse_args()
    try:
        ratios = [
            ratio_of(options.old, options.new, frames, options.instructions)
            for _ in range(options.rounds)
            for frames in options.frames
        ]
    except ValueError as error:
        print(error)
        return 1
    low, middle, high = statistics.quantiles(ratios, n=4)
    print(f"ratio new / old: median {middle:.3f}, quartiles {low:.3f} to {high:.3f}, {len(ratios)} pairs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
