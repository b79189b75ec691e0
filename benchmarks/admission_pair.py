"""CPU time of the admission decisions of two checkouts, alternating in one run.

    .venv/bin/python benchmarks/admission_pair.py OLD NEW FRAMES ... [--rounds 5]

OLD and NEW are roots of checkouts, FRAMES are recorded input frames of the simulator. Each measurement is a
process of its own, `python -m otterrudder.drill`, less the time of one that gets no input. Prints the median
CPU time of each and the median of the paired ratios with its quartiles; exits with 1 if the replies differ.
"""

import argparse
import os
import statistics
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Measurement:
    """One process: its CPU time in seconds and what it wrote."""

    cpu_s: float
    replies: bytes


def measure(root: Path, frames: Path) -> Measurement:
    """Play one file of frames in a process of this checkout."""
    with frames.open("rb") as stdin:
        before = os.times()
        done = subprocess.run(
            [sys.executable, "-m", "otterrudder.drill"],
            cwd=root,
            stdin=stdin,
            capture_output=True,
            check=True,
        )
        after = os.times()
    user_s = after.children_user - before.children_user
    system_s = after.children_system - before.children_system
    return Measurement(user_s + system_s, done.stdout)


def net_measurement(root: Path, frames: Path) -> Measurement:
    """The same without the start of the process."""
    start_s = measure(root, Path(os.devnull)).cpu_s
    whole = measure(root, frames)
    return Measurement(whole.cpu_s - start_s, whole.replies)


def main() -> int:
    """Measures both checkouts in turn and prints the comparison."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("frames", type=Path, nargs="+")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    old_s: list[float] = []
    new_s: list[float] = []
    for number in range(options.rounds):
        for frames in options.frames:
            roots = (options.old, options.new) if number % 2 == 0 else (options.new, options.old)
            first, second = (net_measurement(root, frames.absolute()) for root in roots)
            if first.replies != second.replies:
                print(f"{frames}: the replies differ")
                return 1
            old, new = (first, second) if number % 2 == 0 else (second, first)
            old_s.append(old.cpu_s)
            new_s.append(new.cpu_s)
    ratios = [after / before for before, after in zip(old_s, new_s, strict=True)]
    low, middle, high = statistics.quantiles(ratios, n=4)
    print(f"old {statistics.median(old_s):.3f} s, new {statistics.median(new_s):.3f} s of CPU time a file")
    print(f"ratio new / old: median {middle:.3f}, quartiles {low:.3f} to {high:.3f}, {len(ratios)} pairs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
