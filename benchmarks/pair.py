"""Compares the CPU time per request of two checkouts, alternating in one run: decisions and request core.

    .venv/bin/python benchmarks/pair.py OLD NEW [--rounds 15] [--requests 20000]

OLD and NEW are roots of checkouts. Each measurement is a process of its own that plays the loop of
`benchmarks/levels.py` without levels: arrival, run, end, and a tick after every eight requests. Prints the
median CPU time of each and the median of the paired ratios with its quartiles.
"""

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

PLAY = """
import sys, time
sys.path[:0] = [".", "benchmarks"]
import levels
from otterrudder.files import load_toml
from otterrudder.lab import site as sites
site = sites.site_of(load_toml(levels.ROOT / "experiments/sites/intake.toml", ValueError), "intake.toml")
levels.served(2000, site, None, "")
began = time.process_time()
levels.served({requests}, site, None, "")
print(time.process_time() - began)
"""


def cpu_us_per_request(root: Path, requests: int) -> float:
    """Returns the CPU time per request, in us, measured in a new process in this checkout."""
    command = [sys.executable, "-c", PLAY.format(requests=requests)]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=True)
    return float(done.stdout) / requests * 1e6


def main() -> None:
    """Measures both checkouts in turn and prints the comparison."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--requests", type=int, default=20_000)
    options = parser.parse_args()
    old: list[float] = []
    new: list[float] = []
    for _ in range(options.rounds):
        old.append(cpu_us_per_request(options.old, options.requests))
        new.append(cpu_us_per_request(options.new, options.requests))
    ratios = [after / before for before, after in zip(old, new, strict=True)]
    low, middle, high = statistics.quantiles(ratios, n=4)
    print(f"old {statistics.median(old):.1f} us, new {statistics.median(new):.1f} us a request")
    print(f"ratio new / old: median {middle:.3f}, quartiles {low:.3f} to {high:.3f}, {options.rounds} pairs")


if __name__ == "__main__":
    main()
