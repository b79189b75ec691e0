"""The command: each row in turn, as text or JSON."""

import json
import os
import time
from dataclasses import asdict

import click

from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slope import Slope


def _as_json(told: Slope) -> str:
    more = {"at_target": told.at_target, "stretch": told.stretch, "verdict": told.verdict}
    return json.dumps(asdict(told) | more)


@click.command()
@click.option("--row", "names", multiple=True, type=click.Choice(sorted(ROWS)), help="Only these; else all.")
@click.option("--quick", is_flag=True, help="Small sizes: whether it runs, not what it costs.")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each measurement.")
def main(names: tuple[str, ...], quick: bool, as_json: bool) -> None:
    """Slopes of today's parts, and what they come to at the size of docs/CAPACITY.md."""
    for name in names or tuple(ROWS):
        began, load = time.monotonic(), os.getloadavg()[0]
        told = ROWS[name](quick)
        took = time.monotonic() - began
        for one in told:
            click.echo(_as_json(one) if as_json else "\n".join(one.lines()))
        if not as_json:
            click.echo(f"# {name}: {took:.0f} s; load of the machine before it {load:.1f}\n")


if __name__ == "__main__":
    main()
