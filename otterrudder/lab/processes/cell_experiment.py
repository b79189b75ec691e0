"""Runs an experiment with cells as processes: reads its file, runs its variants, and writes the results."""

import json
import shutil
import tempfile
import tomllib
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import msgspec

from otterrudder.files import convert, load_toml
from otterrudder.lab.processes.cell_fault_schedule import draw
from otterrudder.lab.processes.cell_faults import CellRound
from otterrudder.lab.processes.cell_history import Suspension, spread, suspensions, switch_times
from otterrudder.lab.processes.cell_runner import CellRunner, CellRunResult
from otterrudder.lab.processes.cells import CellLayout
from otterrudder.lab.processes.cluster import ClusterOptions
from otterrudder.lab.processes.experiment import (
    MAX_SERVERS,
    broken_rules,
    markdown_table,
    marks_of,
)
from otterrudder.lab.processes.history import ClusterEvent
from otterrudder.lab.processes.history_checker import CheckResult, Rule, check_history
from otterrudder.lab.processes.linked_cells import CellMutants, LinkedCellCluster
from otterrudder.lab.processes.round_runner import Report
from otterrudder.lab.processes.server_process import LOG_FILE
from otterrudder.lab.site import InvalidInputError

VERSION = 1  # version of the file format
MAX_CELLS = 8
RELAYS_PER_CELL = 2
TABLE_HEADINGS = (
    "variant",
    "seed",
    "changes",
    "in force",
    "aborted",
    "store unavailable",
    "another policy after a round",
    "not serving after a round",
    "wrong version",
    "lost",
    "run twice",
    "quiet rounds",
    "suspensions in quiet rounds",
    "faults",
    "missed",
    "txns",
    "share rejected",
    "commit to last server, ms",
    "commit to last server without a fault, ms",
    "hollow servers",
    "commit to last hollow server, ms",
    "commit to last hollow server without a fault, ms",
    "leader killed to next vote, ms",
)


class CellVariantSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A `[[variant]]` table of the file."""

    name: str
    absent: str = "wait"
    names_store: bool = False
    hollow: int = 0  # number of hollow servers per cell


class CellExperiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The keys of the file."""

    version: int
    name: str
    title: str
    servers: int
    rounds: int
    quick_servers: int
    quick_rounds: int
    seeds: list[int]
    bound_ms: float
    lease_ms: float
    server_lease_ms: float
    sessions_most: int
    pace_ms: float
    cells: dict[str, int]
    variant: list[CellVariantSection]

    def variant_named(self, name: str) -> CellVariantSection:
        """Returns the variant with the given name."""
        return next(variant for variant in self.variant if variant.name == name)


@dataclass(frozen=True, slots=True)
class HollowFigures:
    """The figures of the hollow servers of a run. The fields are keys of results.json."""

    servers: int
    overdue: int  # spans in which a server admitted under an old version past the bound
    asides: int  # servers that did not admit in a quiet round, summed over the rounds
    switches: dict[int, float]  # by version: ms from its commit until the last server applied it


@dataclass(slots=True)
class CellRun:
    """The results of one variant with one seed."""

    variant: str
    seed: int
    result: CellRunResult
    check: CheckResult
    suspensions: list[Suspension]
    switch_times: dict[int, float]  # ms by version
    events: list[ClusterEvent]
    quiet_rounds: int
    hollow: HollowFigures

    @property
    def faultless_switch_times(self) -> list[float]:
        """Switch times of the versions that came into force in rounds without a fault."""
        return self._times_of_faultless_rounds(self.switch_times)

    @property
    def faultless_hollow_switch_times(self) -> list[float]:
        """Switch times of the hollow servers for the versions of rounds without a fault."""
        return self._times_of_faultless_rounds(self.hollow.switches)

    def _times_of_faultless_rounds(self, times: dict[int, float]) -> list[float]:
        versions = {result.version for result in self.result.rounds if not result.faults and result.in_force}
        return [ms for version, ms in times.items() if version in versions]

    @property
    def broken(self) -> list[str]:
        """The violated rules and claims, with their counts."""
        counts = {
            "servers applied another policy after a round": self.result.outliers,
            "relays, cells or servers did not serve after a round": self.result.not_serving,
            "changes did not end in time": self.result.undecided,
            "policies came into force that a kind refuses": self.result.refused_in_force,
            "servers suspended admission in a quiet round": len(self.suspensions),
            "hollow servers admitted past the bound": self.hollow.overdue,
            "hollow servers suspended admission in a quiet round": self.hollow.asides,
        }
        claims = [f"{count} {claim}" for claim, count in counts.items() if count]
        return broken_rules(self.check.figures) + claims


def is_cell_experiment(path: Path) -> bool:
    """Returns whether a file describes an experiment with cells."""
    try:
        return "cells" in tomllib.loads(path.read_text())
    except (OSError, ValueError):
        return False  # the reader of other experiments reports the error


def read(path: Path) -> CellExperiment:
    """Reads an experiment from a file. Raises InvalidInputError, which names the file and the key."""
    experiment = convert(
        load_toml(path, InvalidInputError), CellExperiment, f"{path.name}: ", InvalidInputError
    )
    if experiment.version != VERSION:
        raise InvalidInputError(f"{path.name}: version: must be {VERSION}, not {experiment.version}")
    cells = experiment.cells
    for key in ("servers", "quick_servers"):
        if not len(cells) <= getattr(experiment, key) <= MAX_SERVERS:
            raise InvalidInputError(
                f"{path.name}: {key}: must be from {len(cells)}, one for each cell, to {MAX_SERVERS}"
            )
    if not 1 <= len(cells) <= MAX_CELLS or set(cells.values()) != {RELAYS_PER_CELL}:
        raise InvalidInputError(f"{path.name}: cells: must be 1 to {MAX_CELLS} cells with two relays each")
    if not experiment.seeds or not experiment.variant:
        raise InvalidInputError(f"{path.name}: seeds, variant: at least one of each is required")
    return experiment


def only(experiment: CellExperiment, names: tuple[str, ...]) -> CellExperiment:
    """Returns the experiment with the named variants only, or with all variants if `names` is empty.

    Raises InvalidInputError if there is no variant with one of the names."""
    known = [variant.name for variant in experiment.variant]
    if unknown := [name for name in names if name not in known]:
        raise InvalidInputError(f"--variant: {unknown[0]!r} is not one of {', '.join(known)}")
    variants = [experiment.variant_named(name) for name in names] or experiment.variant
    return msgspec.structs.replace(experiment, variant=variants)


def perform(
    experiment: CellExperiment,
    seeds: list[int],
    servers: int,
    round_count: int,
    report: Report,
    logs: Path | None = None,
) -> list[CellRun]:
    """Runs all variants with all seeds. They run one after another, as they would compete for the cores."""
    runs = []
    for seed in seeds:
        for variant in experiment.variant:
            report(f"{variant.name}, seed {seed}: {servers} servers, {round_count} rounds")
            rounds = draw(seed, tuple(experiment.cells), servers, round_count, variant.absent)
            runs.append(perform_one(experiment, variant.name, seed, rounds, servers, report, logs=logs))
    return runs


def perform_one(
    experiment: CellExperiment,
    variant_name: str,
    seed: int,
    rounds: list[CellRound],
    servers: int,
    report: Report = lambda line: None,
    mutants: CellMutants | None = None,
    logs: Path | None = None,
) -> CellRun:
    """Runs one variant with the given rounds.

    If a claim does not hold, the logs of the processes are copied to a directory in `logs`."""
    variant = experiment.variant_named(variant_name)
    max_sessions = experiment.sessions_most + RELAYS_PER_CELL * variant.hollow
    layout = CellLayout(dict(experiment.cells), experiment.server_lease_ms, max_sessions)
    options = ClusterOptions(
        absent=variant.absent,
        bound_ms=experiment.bound_ms,
        lease_ms=experiment.lease_ms,
        pace_ms=experiment.pace_ms,
        names_store=variant.names_store,
    )
    with tempfile.TemporaryDirectory() as directory:
        cluster = LinkedCellCluster(Path(directory), servers, layout, options, mutants or CellMutants())
        result = anyio.run(_perform, cluster, variant.hollow, rounds, report)
        run = _evaluate(cluster, variant_name, seed, result)
        if run.broken and logs:
            _copy_logs(Path(directory), logs / f"{variant_name}-{seed}")
    return run


async def _perform(
    cluster: LinkedCellCluster, hollow_per_cell: int, rounds: list[CellRound], report: Report
) -> CellRunResult:
    async with cluster.running():
        await cluster.start_hollow(hollow_per_cell)
        return await CellRunner(cluster, report).play(rounds)


def _evaluate(cluster: LinkedCellCluster, variant: str, seed: int, result: CellRunResult) -> CellRun:
    """Evaluates the history and the reports of a run."""
    return CellRun(
        variant,
        seed,
        result,
        check_history(cluster.history()),
        suspensions(cluster),
        switch_times(cluster),
        cluster.events.events,
        len(cluster.quiet_windows),
        _hollow_figures(cluster),
    )


def _hollow_figures(cluster: LinkedCellCluster) -> HollowFigures:
    hollow = cluster.hollow
    versions = cluster.observer.versions
    suspended = [hollow.suspended_ms(window.start, window.end) for window in cluster.quiet_windows]
    return HollowFigures(
        hollow.count,
        hollow.count_overdue(versions, cluster.options.bound_ms),
        sum(map(len, suspended)),
        hollow.switch_times(versions),
    )


def _copy_logs(source: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in source.glob(f"*/{LOG_FILE}"):
        shutil.copy(log, target / f"{log.parent.name}.txt")


def table(runs: list[CellRun]) -> str:
    """Returns a Markdown table with one line for each run."""
    return markdown_table(TABLE_HEADINGS, [_row(run) for run in runs])


def _row(run: CellRun) -> list[object]:
    result = run.result
    figures = run.check.figures
    deaths_to_vote = [death.voted_at - death.at for death in result.leader_deaths]
    return [
        run.variant,
        run.seed,
        result.changes,
        result.committed,
        result.aborted,
        result.unanswered,
        result.outliers,
        result.not_serving,
        f"{figures['wrong_version']:.0f}",
        f"{figures.get(Rule.LOST.figure, 0):.0f}",
        f"{figures.get(Rule.RUN_TWICE.figure, 0):.0f}",
        run.quiet_rounds,
        len(run.suspensions),
        result.injected,
        result.missed,
        f"{figures['txns']:.0f}",
        f"{figures['aside_share']:.1%}",
        spread(list(run.switch_times.values())),
        spread(run.faultless_switch_times),
        run.hollow.servers,
        spread(list(run.hollow.switches.values())),
        spread(run.faultless_hollow_switch_times),
        ", ".join(f"{ms:.0f}" for ms in deaths_to_vote) or "none",
    ]


def write(runs: list[CellRun], directory: Path) -> None:
    """Writes results.json and table.md."""
    directory.mkdir(parents=True, exist_ok=True)
    results = [_as_json(run) for run in runs]
    (directory / "results.json").write_text(json.dumps(results, indent=1))
    (directory / "table.md").write_text(table(runs) + "\n")


def _as_json(run: CellRun) -> dict[str, object]:
    return dict(
        variant=run.variant,
        seed=run.seed,
        figures=run.check.figures,
        breaches=run.check.violations,
        broken=run.broken,
        asides=[asdict(suspension) for suspension in run.suspensions],
        hollow=asdict(run.hollow),
        switches={version: round(ms) for version, ms in run.switch_times.items()},
        deaths=[asdict(death) for death in run.result.leader_deaths],
        rounds=[result.as_json() for result in run.result.rounds],
        marks=marks_of(run.events),
    )
