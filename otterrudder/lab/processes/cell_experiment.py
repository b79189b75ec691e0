"""An experiment with cells as processes: its file, its runs one after another, its claims and its table."""

import json
import shutil
import tempfile
import tomllib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import msgspec

from otterrudder.files import convert, load_toml
from otterrudder.lab.processes.cell_faults import CellRound, draw
from otterrudder.lab.processes.cell_ledger import Aside, asides, spread, switches
from otterrudder.lab.processes.cell_play import CellPlayer, CellsPlayed
from otterrudder.lab.processes.cell_rig import LinkedCellRig
from otterrudder.lab.processes.cells import CellPlan
from otterrudder.lab.processes.experiment import RULES
from otterrudder.lab.processes.ledger import Verdict, judge
from otterrudder.lab.processes.rig import STOP_MS
from otterrudder.lab.site import BadInput

VERSION = 1
SERVERS_MOST = 24  # processes of one machine; more of them measure its scheduler
CELLS_MOST = 8


class _Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    absent: str = "wait"
    names_store: bool = False
    hollow: int = 0  # hollow servers a cell


class CellExperiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
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
    variant: list[_Variant]

    def variant_named(self, name: str) -> _Variant:
        return next(variant for variant in self.variant if variant.name == name)


@dataclass(frozen=True, slots=True)
class Doubles:
    """Faults that are put into the program: of all relays, and of the first server."""

    relay: str = ""
    server: str = ""


@dataclass(frozen=True, slots=True)
class HollowFigures:
    """What the hollow servers of a run have told."""

    servers: int
    overdue: int
    asides: int  # servers that did not admit in a quiet round, summed up
    switches: dict[int, float]  # by version: ms from its commit until the last one went by it


@dataclass(slots=True)
class CellRun:
    """One variant under one seed, played."""

    variant: str
    seed: int
    played: CellsPlayed
    verdict: Verdict
    asides: list[Aside]
    switches: dict[int, float]  # by version
    marks: list[tuple[float, int, str]]
    quiet_rounds: int
    hollow: HollowFigures

    @property
    def calm_switches(self) -> list[float]:
        """Of versions that came into force in rounds without a fault."""
        return [ms for version, ms in self.switches.items() if version in self._calm_versions()]

    @property
    def calm_hollow_switches(self) -> list[float]:
        """The same, of the hollow servers."""
        return [ms for version, ms in self.hollow.switches.items() if version in self._calm_versions()]

    def _calm_versions(self) -> set[int]:
        return {this.version for this in self.played.rounds if not this.faults and this.in_force}

    @property
    def broken(self) -> list[str]:
        """Claims that did not hold."""
        figures, played = self.verdict.figures, self.played
        found = [
            f"{rule}: {figures[f'breaches of {rule!r}']:.0f}"
            for rule in RULES
            if f"breaches of {rule!r}" in figures
        ]
        counts = {
            "servers went by another policy after a round": played.odd,
            "relays, cells or servers were not at work after a round": played.troubled,
            "changes had no end": played.undecided,
            "policies came into force that a kind refuses": played.refused_in_force,
            "servers stood aside in a quiet round": len(self.asides),
            "hollow servers admitted past the bound": self.hollow.overdue,
            "hollow servers stood aside in a quiet round": self.hollow.asides,
        }
        return found + [f"{count} {what}" for what, count in counts.items() if count]


def is_of_cells(path: Path) -> bool:
    """Whether a file is an experiment of this module."""
    try:
        return "cells" in tomllib.loads(path.read_text())
    except (OSError, ValueError):
        return False  # whoever reads it as another one says why


def read(path: Path) -> CellExperiment:
    """BadInput names the file and the key."""
    told: CellExperiment = convert(load_toml(path, BadInput), CellExperiment, f"{path.name}: ", BadInput)
    if told.version != VERSION:
        raise BadInput(f"{path.name}: version: this program reads {VERSION}, not {told.version}")
    for key in ("servers", "quick_servers"):
        if not len(told.cells) <= getattr(told, key) <= SERVERS_MOST:
            raise BadInput(f"{path.name}: {key}: not from one a cell to {SERVERS_MOST}")
    if not 1 <= len(told.cells) <= CELLS_MOST or set(told.cells.values()) != {2}:
        raise BadInput(f"{path.name}: cells: from 1 to {CELLS_MOST} of two relays each are wanted")
    if not told.seeds or not told.variant:
        raise BadInput(f"{path.name}: seeds, variant: one of each is wanted at least")
    return told


def only(experiment: CellExperiment, names: tuple[str, ...]) -> CellExperiment:
    """With these variants, or all where none is named; BadInput: there is none of that name."""
    there = [variant.name for variant in experiment.variant]
    if missing := [name for name in names if name not in there]:
        raise BadInput(f"--variant: {missing[0]!r} is none of {', '.join(there)}")
    kept = [experiment.variant_named(name) for name in names] or experiment.variant
    return msgspec.structs.replace(experiment, variant=kept)


def perform(
    experiment: CellExperiment,
    seeds: list[int],
    servers: int,
    rounds: int,
    tell: Callable[[str], None],
    logs: Path | None = None,
) -> list[CellRun]:
    """All variants under all seeds, one at a time: they share the cores."""
    runs = []
    for seed in seeds:
        for variant in experiment.variant:
            tell(f"{variant.name}, seed {seed}: {servers} servers, {rounds} rounds")
            plan = draw(seed, tuple(experiment.cells), servers, rounds, variant.absent)
            runs.append(perform_one(experiment, variant.name, seed, plan, servers, tell, logs=logs))
    return runs


def perform_one(
    experiment: CellExperiment,
    name: str,
    seed: int,
    rounds: list[CellRound],
    servers: int,
    tell: Callable[[str], None] = lambda line: None,
    doubles: Doubles | None = None,
    logs: Path | None = None,
) -> CellRun:
    """One variant with a plan as it is. `logs`: where the processes' logs go if a claim does not hold."""
    variant, doubles = experiment.variant_named(name), doubles or Doubles()
    sessions_most = experiment.sessions_most + 2 * variant.hollow
    with tempfile.TemporaryDirectory() as folder:
        rig = LinkedCellRig(
            Path(folder),
            servers,
            CellPlan(dict(experiment.cells), experiment.server_lease_ms, sessions_most),
            absent=variant.absent,
            bound_ms=experiment.bound_ms,
            lease_ms=experiment.lease_ms,
            pace_ms=experiment.pace_ms,
            names_store=variant.names_store,
            relay_double=doubles.relay,
            server_double=doubles.server,
        )
        played = anyio.run(_perform, rig, variant.hollow, rounds, tell)
        run = _concluded(rig, name, seed, played)
        if run.broken and logs:
            _keep_logs(Path(folder), logs / f"{name}-{seed}")
    return run


def _concluded(rig: LinkedCellRig, name: str, seed: int, played: CellsPlayed) -> CellRun:
    """What the ledger says of a run that is over."""
    verdict = judge(rig.wire, rig.versions, rig.bound_ms, rig.harmed(), rig.listed(), rig.drains, STOP_MS)
    return CellRun(
        name, seed, played, verdict, asides(rig), switches(rig), rig.marks, len(rig.quiet), _hollow(rig)
    )


def _hollow(rig: LinkedCellRig) -> HollowFigures:
    hollow = rig.hollow
    aside = sum(len(hollow.aside_ms(window.since, window.to)) for window in rig.quiet)
    overdue = hollow.overdue(rig.versions, rig.bound_ms)
    return HollowFigures(hollow.count, overdue, aside, hollow.switches(rig.versions))


def _keep_logs(folder: Path, to: Path) -> None:
    to.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*/log.txt"):
        shutil.copy(log, to / f"{log.parent.name}.txt")


async def _perform(
    rig: LinkedCellRig, hollow: int, rounds: list[CellRound], tell: Callable[[str], None]
) -> CellsPlayed:
    async with rig.running():
        await rig.start_hollow(hollow)
        return await CellPlayer(rig, tell).play(rounds)


def table(runs: list[CellRun]) -> str:
    """Markdown, a line a run."""
    head = [
        "variant",
        "seed",
        "changes",
        "in force",
        "aborted",
        "store unheard",
        "odd after a round",
        "not at work after one",
        "wrong version",
        "lost",
        "run twice",
        "quiet rounds",
        "aside in them",
        "faults",
        "missed",
        "txns",
        "aside of all",
        "commit to last server, ms",
        "without a fault",
        "hollow servers",
        "commit to last of them, ms",
        "without a fault",
        "leader's death to vote, ms",
    ]
    rows = ["| " + " | ".join(head) + " |", "| --- |" + " ---: |" * (len(head) - 1)]
    rows += ["| " + " | ".join(map(str, _row(run))) + " |" for run in runs]
    return "\n".join(rows)


def _row(run: CellRun) -> list[object]:
    played, figures = run.played, run.verdict.figures
    deaths = [death.voted_at - death.at for death in played.deaths]
    return [
        run.variant,
        run.seed,
        played.changes,
        played.committed,
        played.aborted,
        played.unheard,
        played.odd,
        played.troubled,
        f"{figures['wrong_version']:.0f}",
        f"{figures.get(_breaches('lost'), 0):.0f}",
        f"{figures.get(_breaches('run twice'), 0):.0f}",
        run.quiet_rounds,
        len(run.asides),
        played.dealt,
        played.missed,
        f"{figures['txns']:.0f}",
        f"{figures['aside_share']:.1%}",
        spread(list(run.switches.values())),
        spread(run.calm_switches),
        run.hollow.servers,
        spread(list(run.hollow.switches.values())),
        spread(run.calm_hollow_switches),
        ", ".join(f"{ms:.0f}" for ms in deaths) or "none",
    ]


def _breaches(rule: str) -> str:
    return f"breaches of {rule!r}"


def write(runs: list[CellRun], folder: Path) -> None:
    """results.json and the table."""
    folder.mkdir(parents=True, exist_ok=True)
    told = [
        dict(
            variant=run.variant,
            seed=run.seed,
            figures=run.verdict.figures,
            breaches=run.verdict.breaches,
            broken=run.broken,
            asides=[asdict(aside) for aside in run.asides],
            hollow=asdict(run.hollow),
            switches={version: round(ms) for version, ms in run.switches.items()},
            deaths=[asdict(death) for death in run.played.deaths],
            rounds=[asdict(this) for this in run.played.rounds],
            marks=[(round(at), server, what) for at, server, what in run.marks],
        )
        for run in runs
    ]
    (folder / "results.json").write_text(json.dumps(told, indent=1))
    (folder / "table.md").write_text(table(runs) + "\n")
