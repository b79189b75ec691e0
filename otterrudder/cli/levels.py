"""`otterrudder levels`: checks and shows a table of levels, and replays recorded facts through it."""

import csv
import os
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

from otterrudder.admission.factory import parse_request_classes, parse_tenants
from otterrudder.admission.interface import RequestClass, Restriction, RestrictionKind, Tenant
from otterrudder.cli.common import exit_bad_input, names_used_in, tables_under
from otterrudder.configuration import CONFIGURATION_VARIABLE, ConfigurationError, read_configuration
from otterrudder.levels import Level, LevelSelector, LevelTable, LevelTableError, Transition, read_table
from otterrudder.levels.facts import FACTS

CONFIG_OPTION = click.option(
    "--config",
    "config",
    metavar="FILE",
    help="Configuration with the products and tenants that the table may name. Default: the file that "
    "NODE_CONFIG names; without it, all names in the table are accepted.",
)

RESTRICTION_EFFECTS = {
    RestrictionKind.OMIT: "runs without its downstream call",
    RestrictionKind.SPARE: "runs only if a slot is free, and is never queued",
    RestrictionKind.ESTABLISHED: "newcomers are rejected",
    RestrictionKind.REJECT: "rejected",
}


@dataclass(frozen=True, slots=True)
class FactSample:
    """Recorded facts at one time."""

    at_ms: float
    facts: dict[str, float]


@dataclass(slots=True)
class ReplaySummary:
    """The number of transitions of a replay, and the time on each level."""

    transitions: int = 0
    ms_by_level: dict[str, float] = field(default_factory=dict)

    def add_time(self, level: str, span_ms: float) -> None:
        """Adds `span_ms` to the time on a level."""
        self.ms_by_level[level] = self.ms_by_level.get(level, 0.0) + span_ms

    def line(self) -> str:
        """Returns the last line that `replay` prints."""
        total_ms = sum(self.ms_by_level.values()) or 1.0
        shares = ", ".join(f"{name} {span_ms / total_ms:.1%}" for name, span_ms in self.ms_by_level.items())
        return f"{self.transitions} transitions in {total_ms / 1000:.0f} s; {shares}"


@click.group()
def levels() -> None:
    """Check and show tables of levels of reduced service, and replay recorded facts through them."""


@levels.command()
@click.argument("file")
@CONFIG_OPTION
def check(file: str, config: str | None) -> None:
    """Check the table in FILE."""
    table = _read_table(file, config)
    click.echo(f"{file}: valid: {len(table.levels)} levels, {'shadow' if table.is_shadow else 'enforced'}")


@levels.command()
@click.argument("file")
@CONFIG_OPTION
def show(file: str, config: str | None) -> None:
    """Describe when each level of FILE is entered and left, and what it restricts."""
    request_classes, tenants = _classes_and_tenants(file, config)
    for number, level in enumerate(_read_table(file, config).levels, 1):
        for line in _description(number, level, request_classes, tenants):
            click.echo(line)


@levels.command()
@click.argument("file")
@click.argument("facts")
@CONFIG_OPTION
def replay(file: str, facts: str, config: str | None) -> None:
    """Replay recorded FACTS through the levels of FILE.

    FACTS is a CSV file with the column at_ms and one column for each fact; an empty value is unknown. Prints
    each transition and the share of time on each level, so that thresholds can be compared."""
    table = _read_table(file, config)
    selector = LevelSelector(table.levels, table.damping, start=table.start)
    samples = _read_samples(facts)
    summary = ReplaySummary()
    previous_ms = samples[0].at_ms if samples else 0.0
    for sample in samples:
        summary.add_time(selector.name, sample.at_ms - previous_ms)
        previous_ms = sample.at_ms
        if transition := selector.step(sample.at_ms, sample.facts):
            summary.transitions += 1
            click.echo(_transition_line(transition, sample.at_ms - samples[0].at_ms))
    click.echo(summary.line())


def _transition_line(transition: Transition, elapsed_ms: float) -> str:
    readings = ", ".join(
        f"{reading.fact} {reading.value:.3g} ({reading.threshold:g})" for reading in transition.readings
    )
    return (
        f"{elapsed_ms / 1000:9.1f} s  {transition.previous} -> {transition.entered}  "
        f"{transition.reason.value}: {readings}"
    )


def _read_samples(path: str) -> list[FactSample]:
    """Reads the rows of a CSV file of facts. Exits if they are not in the order of time."""
    try:
        with Path(path).open(newline="") as file:
            samples = list(_parse_samples(path, csv.DictReader(file)))
    except (OSError, UnicodeDecodeError) as error:
        exit_bad_input(f"cannot read {path}: {error}")
    if any(later.at_ms < earlier.at_ms for earlier, later in zip(samples, samples[1:], strict=False)):
        exit_bad_input(f"{path}: at_ms decreases")
    return samples


def _parse_samples(path: str, reader: "csv.DictReader[str]") -> Iterator[FactSample]:
    columns = set(reader.fieldnames or ())
    unknown = columns - {"at_ms", *FACTS}
    if unknown or "at_ms" not in columns:
        problem = f"unknown columns: {', '.join(sorted(unknown))}" if unknown else "column at_ms is missing"
        exit_bad_input(f"{path}: {problem}; the columns are at_ms and {', '.join(FACTS)}")
    for line, row in enumerate(reader, 2):
        try:
            numbers = {name: float(value) for name, value in row.items() if value}
            yield FactSample(numbers.pop("at_ms"), numbers)
        except (KeyError, TypeError, ValueError):
            exit_bad_input(f"{path}: line {line}: a value is not a number, or does not belong to a column")


def _read_table(file: str, config: str | None) -> LevelTable:
    request_classes, tenants = _classes_and_tenants(file, config)
    try:
        return read_table(file, request_classes, tenants)
    except LevelTableError as error:
        exit_bad_input(error)


def _classes_and_tenants(file: str, config: str | None) -> tuple[list[RequestClass], list[Tenant]]:
    """Returns the request classes and tenants that a table is checked against."""
    path = config or os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        return _names_used_in_file(file)
    try:
        settings = read_configuration(path).settings
    except ConfigurationError as error:
        exit_bad_input(error)
    return parse_request_classes(settings), parse_tenants(settings)


def _names_used_in_file(file: str) -> tuple[list[RequestClass], list[Tenant]]:
    try:
        values = tomllib.loads(Path(file).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        exit_bad_input(f"cannot read {file}: {error}")
    return names_used_in(cut for level in tables_under(values, "level") for cut in tables_under(level, "cut"))


def _description(
    number: int, level: Level, request_classes: list[RequestClass], tenants: list[Tenant]
) -> list[str]:
    joiner = " and " if level.needs_all else " or "
    entry = joiner.join(f"{threshold.fact} >= {threshold.value:g}" for threshold in level.entry)
    exit_condition = " and ".join(f"{threshold.fact} <= {threshold.value:g}" for threshold in level.exit)
    lines = [
        f"{number}. {level.name}",
        f"   entry {entry}, in the mean of {level.entry_ms / 1000:g} s",
        f"   exit  {exit_condition}, over {level.exit_ms / 1000:g} s, after at least "
        f"{level.min_stay_ms / 1000:g} s",
        f"   trial after {level.trial_ms / 1000:g} s in which all facts but demand and retries stay low",
    ]
    service = level.service_level
    for request_class, restrictions in zip(request_classes, service.restrictions, strict=True):
        lines += [
            f"   {request_class.name}: {_restriction_text(restriction, tenants)}"
            for restriction in restrictions
        ]
    queued = "rejected at once" if service.rejects_queued else "kept and run"
    retry = "asked to stay away" if service.sends_retry_after else "not asked to stay away"
    lines.append(f"   requests queued when the level starts are {queued}; rejected callers are {retry}")
    return lines


def _restriction_text(restriction: Restriction, tenants: list[Tenant]) -> str:
    if restriction.kind is RestrictionKind.SHARE:
        effect = f"admits {restriction.admitted_share:.0%}"
    else:
        effect = RESTRICTION_EFFECTS[restriction.kind]
    limits = []
    if restriction.tenants:
        limits.append("of " + ", ".join(tenants[index].name for index in sorted(restriction.tenants)))
    if restriction.criticality_below <= 1.0:
        limits.append(f"below rank {restriction.criticality_below:g}")
    return f"{effect} ({', '.join(limits)})" if limits else effect
