"""Command line interface that runs the selected rows one after the other and prints them as text or JSON."""

import json
import os
import time
from dataclasses import asdict

import click

from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slope import Slope


def _as_json(slope: Slope) -> str:
    derived = {"at_target": slope.at_target, "stretch": slope.stretch, "verdict": slope.verdict}
    return json.dumps(asdict(slope) | derived)


@click.command()
@click.option(
    "--row",
    "names",
    multiple=True,
    type=click.Choice(sorted(ROWS)),
    help="Run only this row; repeatable. Default: all rows.",
)
@click.option("--quick", is_flag=True, help="Use small sizes, to check that the rows run.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON for each measurement.")
def main(names: tuple[str, ...], quick: bool, as_json: bool) -> None:
    """Measure how costs grow with size, and extrapolate them to the size of docs/CAPACITY.md."""
    for name in names or tuple(ROWS):
        started, load_before = time.monotonic(), os.getloadavg()[0]
        slopes = ROWS[name](quick)
        elapsed_s = time.monotonic() - started
        for slope in slopes:
            click.echo(_as_json(slope) if as_json else "\n".join(slope.lines()))
        if not as_json:
            click.echo(f"# {name}: {elapsed_s:.0f} s; load of the machine before it {load_before:.1f}\n")


if __name__ == "__main__":
    main()
