"""levels: look at a table of reduced service before a server does."""

import csv
import os
import tomllib
from pathlib import Path

import click

from otterrudder.admission.factory import request_classes_of, tenants_of
from otterrudder.admission.interface import RequestClass, RestrictionKind, Tenant
from otterrudder.cli.common import give_up, named_in, tables_in
from otterrudder.configuration import CONFIGURATION_VARIABLE, BadConfiguration, read_configuration
from otterrudder.levels import BadTable, Ladder, Rung, Table, read
from otterrudder.levels.table import FACTS

AGAINST = click.option(
    "--config",
    "config",
    metavar="FILE",
    help="Configuration whose names it is for; else NODE_CONFIG's, else the table's own.",
)


_DOES = {
    RestrictionKind.OMIT: "runs without its call",
    RestrictionKind.SPARE: "runs where a slot is free, and is never held",
    RestrictionKind.ESTABLISHED: "newcomers are declined",
    RestrictionKind.DECLINE: "declined",
}


@click.group()
def levels() -> None:
    """Tables of reduced service: check and show them, and play recorded facts through them."""


@levels.command()
@click.argument("file")
@AGAINST
def check(file: str, config: str | None) -> None:
    """Say what is wrong with FILE, if anything."""
    table = _table(file, config)
    click.echo(f"{file}: good: {len(table.rungs)} levels, {'shadow' if table.is_shadow else 'enforced'}")


@levels.command()
@click.argument("file")
@AGAINST
def show(file: str, config: str | None) -> None:
    """Say in words when each level of FILE comes and goes and what it does."""
    products, tenants = _known(file, config)
    for n, rung in enumerate(_table(file, config).rungs, 1):
        for line in _words(n, rung, products, tenants):
            click.echo(line)


@levels.command()
@click.argument("file")
@click.argument("facts")
@AGAINST
def replay(file: str, facts: str, config: str | None) -> None:
    """Play recorded FACTS (CSV: at_ms, then a column a fact; empty = not known) through the ladder of FILE.

    Prints each transition and the share of time on each level: what other thresholds would have done."""
    table = _table(file, config)
    ladder = Ladder(table.rungs, table.damping, start=table.start)
    spent: dict[str, float] = {}
    moves, first, last = 0, None, 0.0
    for at, known in _recorded(facts):
        if first is None:
            first = last = at
        spent[ladder.name] = spent.get(ladder.name, 0.0) + at - last
        last = at
        if move := ladder.step(at, known):
            moves += 1
            why = ", ".join(f"{r.fact} {r.value:.3g} ({r.bound:g})" for r in move.readings)
            when = f"{(at - first) / 1000:9.1f} s"
            click.echo(f"{when}  {move.left} -> {move.entered}  {move.reason.value}: {why}")
    whole = sum(spent.values()) or 1.0
    shares = ", ".join(f"{name} {ms / whole:.1%}" for name, ms in spent.items())
    click.echo(f"{moves} transitions in {whole / 1000:.0f} s; {shares}")


def _recorded(path: str) -> list[tuple[float, dict[str, float]]]:
    rows = []
    try:
        with Path(path).open(newline="") as file:
            reader = csv.DictReader(file)
            unknown = set(reader.fieldnames or ()) - {"at_ms", *FACTS}
            if unknown or "at_ms" not in (reader.fieldnames or ()):
                wrong = ", ".join(sorted(unknown)) or "without at_ms"
                give_up(f"{path}: columns are at_ms and {', '.join(FACTS)}, not {wrong}")
            for n, row in enumerate(reader, 2):
                try:
                    numbers = {name: float(value) for name, value in row.items() if value}
                    rows.append((numbers.pop("at_ms"), numbers))
                except (KeyError, TypeError, ValueError):
                    give_up(f"{path}: line {n}: not numbers by the columns' names")
    except (OSError, UnicodeDecodeError) as trouble:
        give_up(f"cannot read {path}: {trouble}")
    if any(later[0] < earlier[0] for earlier, later in zip(rows, rows[1:], strict=False)):
        give_up(f"{path}: at_ms goes back")
    return rows


def _table(file: str, config: str | None) -> Table:
    products, tenants = _known(file, config)
    try:
        return read(file, products, tenants)
    except BadTable as trouble:
        give_up(trouble)


def _known(file: str, config: str | None) -> tuple[list[RequestClass], list[Tenant]]:
    """The products and tenants that a table is checked against."""
    path = config or os.environ.get(CONFIGURATION_VARIABLE)
    if path:
        try:
            settings = read_configuration(path).settings
        except BadConfiguration as trouble:
            give_up(trouble)
        return request_classes_of(settings), tenants_of(settings)
    return _named_in(file)


def _named_in(file: str) -> tuple[list[RequestClass], list[Tenant]]:
    try:
        whole = tomllib.loads(Path(file).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as trouble:
        give_up(f"cannot read {file}: {trouble}")
    return named_in(cut for level in tables_in(whole, "level") for cut in tables_in(level, "cut"))


def _words(n: int, rung: Rung, products: list[RequestClass], tenants: list[Tenant]) -> list[str]:
    joined = " and " if rung.needs_all else " or "
    entry = joined.join(f"{bound.fact} >= {bound.value:g}" for bound in rung.entry)
    leave = " and ".join(f"{bound.fact} <= {bound.value:g}" for bound in rung.exit)
    lines = [
        f"{n}. {rung.name}",
        f"   in    {entry}, in the mean of {rung.entry_ms / 1000:g} s",
        f"   out   {leave}, over {rung.exit_ms / 1000:g} s, after {rung.stay_ms / 1000:g} s at least",
        f"   trial after {rung.trial_ms / 1000:g} s with all calm but what is asked for",
    ]
    for product, trims in zip(products, rung.relief.restrictions, strict=True):
        for trim in trims:
            what = (
                f"admits {trim.admitted_share:.0%}"
                if trim.kind is RestrictionKind.SHARE
                else _DOES[trim.kind]
            )
            whose = ", ".join(tenants[t].name for t in sorted(trim.tenants)) if trim.tenants else ""
            only = [f"of {whose}"] if whose else []
            only += [f"below rank {trim.criticality_below:g}"] if trim.criticality_below <= 1.0 else []
            lines.append(f"   {product.name}: {what}" + (f" ({', '.join(only)})" if only else ""))
    held = "is answered at once" if rung.relief.rejects_queued else "is kept and runs"
    lines.append(
        f"   what is held when it starts {held}; callers are "
        + ("asked to stay away" if rung.relief.sends_retry_after else "not asked to stay away")
    )
    return lines
