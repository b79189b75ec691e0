"""An experiment with processes: reads its file, performs its runs in sequence, and writes the results.

The faults of a run are determined by its seed, and `results.json` has the faults of each round, so a run with
violations can be repeated. `shrink` removes rounds and faults as long as the run still has violations."""

import json
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from otterrudder.files import convert, load_toml
from otterrudder.lab.processes.chart import ChartData, draw_chart
from otterrudder.lab.processes.cluster import ClusterOptions, ProcessCluster
from otterrudder.lab.processes.fault_schedule import draw
from otterrudder.lab.processes.faults import Fault, Round
from otterrudder.lab.processes.history import ClusterEvent, RequestRecord, VersionInForce
from otterrudder.lab.processes.history_checker import Rule
from otterrudder.lab.processes.round_runner import Report, RunResult, check_run, play
from otterrudder.lab.site import InvalidInputError

VERSION = 1  # of the file format
MAX_SERVERS = 24  # with more processes on one machine, runs would measure its scheduler
TABLE_HEADINGS = (
    "variant",
    "seed",
    "in force",
    "aborted",
    "odd after a round",
    "odd at the end",
    "wrong version",
    "lost",
    "run twice",
    "drains",
    "aside",
    "faults",
    "missed",
    "txns",
)


class VariantSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The section `[[variant]]` of the file."""

    name: str
    absent: str = "wait"
    baseline: bool = False
    names_store: bool = False


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The content of an experiment's file; field names are the keys."""

    version: int
    name: str
    title: str
    servers: int
    changes: int
    quick_servers: int
    quick_changes: int
    seeds: list[int]
    bound_ms: float
    lease_ms: float
    pace_ms: float
    variant: list[VariantSection]

    def variant_named(self, name: str) -> VariantSection:
        """Returns the variant with a name."""
        return next(variant for variant in self.variant if variant.name == name)


@dataclass(slots=True)
class Run:
    """A finished run of one variant with one seed."""

    variant: str
    seed: int
    is_baseline: bool
    result: RunResult
    events: list[ClusterEvent]
    versions: list[VersionInForce]
    requests: list[RequestRecord]  # without repeats, for the chart
    servers: int

    @property
    def broken(self) -> list[str]:
        """Descriptions of the violated guarantees; the baseline guarantees nothing."""
        if self.is_baseline:
            return []
        claims = broken_rules(self.result.check.figures)
        if self.result.outliers:
            claims.append(f"{self.result.outliers} servers applied another policy after a round")
        if self.result.undecided:
            claims.append(f"{self.result.undecided} changes did not end in time")
        return claims


def broken_rules(figures: dict[str, float]) -> list[str]:
    """Returns the violated rules of the history checker, each with the number of violations."""
    return [f"{rule.value}: {figures[rule.figure]:.0f}" for rule in Rule if rule.figure in figures]


def read(path: Path) -> Experiment:
    """Reads an experiment from a file; raises InvalidInputError with the file and the key."""
    experiment = convert(load_toml(path, InvalidInputError), Experiment, f"{path.name}: ", InvalidInputError)
    if experiment.version != VERSION:
        raise InvalidInputError(
            f"{path.name}: version: this program reads {VERSION}, not {experiment.version}"
        )
    for key in ("servers", "quick_servers"):
        if not 1 <= getattr(experiment, key) <= MAX_SERVERS:
            raise InvalidInputError(
                f"{path.name}: {key}: {getattr(experiment, key)} is not between 1 and {MAX_SERVERS}"
            )
    if not experiment.seeds or not experiment.variant:
        raise InvalidInputError(f"{path.name}: seeds, variant: at least one of each is required")
    return experiment


def only(experiment: Experiment, names: tuple[str, ...]) -> Experiment:
    """Returns the experiment with only the named variants, or with all if no name is given.

    Raises InvalidInputError if there is no variant with a given name."""
    known = [variant.name for variant in experiment.variant]
    if unknown := [name for name in names if name not in known]:
        raise InvalidInputError(f"--variant: {unknown[0]!r} is not one of {', '.join(known)}")
    variants = [experiment.variant_named(name) for name in names] or experiment.variant
    return msgspec.structs.replace(experiment, variant=variants)


def perform(
    experiment: Experiment, seeds: list[int], servers: int, changes: int, report: Report
) -> list[Run]:
    """Performs the runs of all variants with all seeds in sequence, because runs share the cores."""
    runs = []
    for seed in seeds:
        for variant in experiment.variant:
            report(f"{variant.name}, seed {seed}: {servers} servers, {changes} changes")
            rounds = draw(seed, servers, changes, variant.baseline)
            runs.append(perform_one(experiment, variant.name, seed, rounds, servers, report))
    return runs


def perform_one(
    experiment: Experiment,
    variant_name: str,
    seed: int,
    rounds: list[Round],
    servers: int,
    report: Report = lambda line: None,
    mutant: str = "",
) -> Run:
    """Performs one run of a variant with these rounds; `mutant` is the seeded fault of the first server."""
    variant = experiment.variant_named(variant_name)
    options = ClusterOptions(
        absent=variant.absent,
        bound_ms=experiment.bound_ms,
        lease_ms=experiment.lease_ms,
        pace_ms=experiment.pace_ms,
        with_fleet=not variant.baseline,
        names_store=variant.names_store,
        mutant=mutant,
    )
    with tempfile.TemporaryDirectory() as directory:
        cluster = ProcessCluster(Path(directory), servers, options)
        result = anyio.run(_perform, cluster, rounds, report)
    return Run(
        variant_name,
        seed,
        variant.baseline,
        result,
        cluster.events.events,
        cluster.observer.versions,
        [request for request in cluster.wire.requests if not request.is_repeat],
        servers,
    )


async def _perform(cluster: ProcessCluster, rounds: list[Round], report: Report) -> RunResult:
    async with cluster.running():
        result = await play(cluster, rounds, report)
    return check_run(cluster, result)


def table(runs: list[Run]) -> str:
    """Returns a Markdown table with a row for each run."""
    return markdown_table(TABLE_HEADINGS, [_row(run) for run in runs])


def markdown_table(headings: tuple[str, ...], rows: list[list[object]]) -> str:
    """Returns a Markdown table with a left-aligned first column and right-aligned others."""
    lines = ["| " + " | ".join(headings) + " |", "| --- |" + " ---: |" * (len(headings) - 1)]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines)


def _row(run: Run) -> list[object]:
    result = run.result
    figures = result.check.figures
    return [
        run.variant,
        run.seed,
        result.committed,
        result.aborted,
        result.outliers,
        result.outliers_at_end,
        f"{figures['wrong_version']:.0f}",
        f"{figures.get(Rule.LOST.figure, 0):.0f}",
        f"{figures.get(Rule.RUN_TWICE.figure, 0):.0f}",
        f"{figures['drains']:.0f}",
        f"{figures['aside_share']:.1%}",
        result.injected,
        result.missed,
        f"{figures['txns']:.0f}",
    ]


def write(runs: list[Run], directory: Path, name: str) -> None:
    """Writes results.json, table.md, and a chart of the first run of each variant."""
    directory.mkdir(parents=True, exist_ok=True)
    results = [_as_json(run) for run in runs]
    (directory / "results.json").write_text(json.dumps(results, indent=1))
    (directory / "table.md").write_text(table(runs) + "\n")
    charted: set[str] = set()
    for run in runs:
        if run.variant not in charted:
            charted.add(run.variant)
            path = directory / f"{name}-{run.variant}.svg"
            title = f"{run.variant}, seed {run.seed}"
            data = ChartData(title, run.servers, run.requests, run.versions, run.events)
            draw_chart(data, path)


def _as_json(run: Run) -> dict[str, object]:
    check = run.result.check
    return dict(
        variant=run.variant,
        seed=run.seed,
        figures=check.figures,
        breaches=check.violations,
        broken=run.broken,
        rounds=[result.as_json() for result in run.result.rounds],
        marks=marks_of(run.events),
    )


def marks_of(events: list[ClusterEvent]) -> list[tuple[int, int, str]]:
    """Returns the events as they are written to results.json: time in ms, server number, text."""
    return [(round(event.at), event.server, event.text) for event in events]


def shrink_run(experiment: Experiment, run: Run, report: Report) -> list[Round]:
    """Shrinks the schedule of a run with violations, performing a new run for each attempt."""

    def is_broken(rounds: list[Round]) -> bool:
        again = perform_one(experiment, run.variant, run.seed, rounds, run.servers)
        report(f"  {len(rounds)} rounds: {'; '.join(again.broken) or 'no violation'}")
        return bool(again.broken)

    return shrink(is_broken, draw(run.seed, run.servers, len(run.result.rounds)))


def shrink(is_broken: Callable[[list[Round]], bool], rounds: list[Round]) -> list[Round]:
    """Removes rounds and then faults, one at a time, as long as `is_broken` holds for the remaining ones."""
    for index in reversed(range(len(rounds))):
        fewer = rounds[:index] + rounds[index + 1 :]
        if fewer and is_broken(fewer):
            rounds = fewer
    for index, round_ in enumerate(rounds):
        for fault in round_.faults:
            fewer = [*rounds[:index], _without(rounds[index], fault), *rounds[index + 1 :]]
            if is_broken(fewer):
                rounds = fewer
    return rounds


def _without(round_: Round, fault: Fault) -> Round:
    faults = tuple(other for other in round_.faults if other is not fault)
    return Round(round_.number, round_.rejected_product, faults, round_.fault_duration_s)
