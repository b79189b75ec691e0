"""An experiment with processes: its file, its runs one after another, its claims, table and chart.

A run is told by its seed; `results.json` has the plan of each round, so a run that broke a claim can be
played again, and `shrink` leaves rounds and faults out as long as it breaks still."""

import json
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from otterrudder.files import convert, load_toml
from otterrudder.lab.processes.ledger import InForce
from otterrudder.lab.processes.plan import Played, Round, conclude, draw, play
from otterrudder.lab.processes.rig import Rig
from otterrudder.lab.site import BadInput

VERSION = 1
SERVERS_MOST = 24  # processes of one machine; more of them measure its scheduler
RULES = (
    "lost",
    "answered twice",
    "late",
    "another result",
    "run twice",
    "repeat declined",
    "wrong version",
    "unlisted",
    "drain",
)


class _Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    absent: str = "wait"
    baseline: bool = False
    names_store: bool = False


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
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
    variant: list[_Variant]


@dataclass(slots=True)
class Run:
    """One variant under one seed, played."""

    variant: str
    seed: int
    is_baseline: bool
    played: Played
    marks: list[tuple[float, int, str]]
    versions: list[InForce]
    lines: list[tuple[float, int, str, str]]  # when, server, product, outcome: for the chart
    servers: int

    @property
    def broken(self) -> list[str]:
        """Claims that did not hold; the baseline claims nothing."""
        if self.is_baseline:
            return []
        figures, played = self.played.verdict.figures, self.played
        found = [
            f"{rule}: {figures[f'breaches of {rule!r}']:.0f}"
            for rule in RULES
            if f"breaches of {rule!r}" in figures
        ]
        found += [f"{played.odd} servers went by another policy after a round"] if played.odd else []
        found += [f"{played.undecided} changes had no end"] if played.undecided else []
        return found


def read(path: Path) -> Experiment:
    """BadInput names the file and the key."""
    told: Experiment = convert(load_toml(path, BadInput), Experiment, f"{path.name}: ", BadInput)
    if told.version != VERSION:
        raise BadInput(f"{path.name}: version: this program reads {VERSION}, not {told.version}")
    for key in ("servers", "quick_servers"):
        if not 1 <= getattr(told, key) <= SERVERS_MOST:
            raise BadInput(f"{path.name}: {key}: {getattr(told, key)} is not from 1 to {SERVERS_MOST}")
    if not told.seeds or not told.variant:
        raise BadInput(f"{path.name}: seeds, variant: one of each is wanted at least")
    return told


def only(experiment: Experiment, names: tuple[str, ...]) -> Experiment:
    """With these variants, or all where none is named; BadInput: there is none of that name."""
    there = {variant.name: variant for variant in experiment.variant}
    if missing := [name for name in names if name not in there]:
        raise BadInput(f"--variant: {missing[0]!r} is none of {', '.join(there)}")
    kept = [there[name] for name in names] or experiment.variant
    return msgspec.structs.replace(experiment, variant=kept)


def perform(
    experiment: Experiment, seeds: list[int], servers: int, changes: int, tell: Callable[[str], None]
) -> list[Run]:
    """All variants under all seeds, one at a time: they share the cores."""
    runs = []
    for seed in seeds:
        for variant in experiment.variant:
            tell(f"{variant.name}, seed {seed}: {servers} servers, {changes} changes")
            rounds = draw(seed, servers, changes, variant.baseline)
            runs.append(perform_one(experiment, variant.name, seed, rounds, servers, tell))
    return runs


def perform_one(
    experiment: Experiment,
    name: str,
    seed: int,
    rounds: list[Round],
    servers: int,
    tell: Callable[[str], None] = lambda line: None,
    double: str = "",
) -> Run:
    """One variant with a plan as it is."""
    variant = next(variant for variant in experiment.variant if variant.name == name)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(
            Path(folder),
            servers,
            absent=variant.absent,
            bound_ms=experiment.bound_ms,
            lease_ms=experiment.lease_ms,
            pace_ms=experiment.pace_ms,
            with_fleet=not variant.baseline,
            double=double,
            names_store=variant.names_store,
        )
        played = anyio.run(_perform, rig, rounds, tell)
    lines = [(a.sent, a.server, a.product, a.outcome) for a in rig.wire.asked if a.call == a.first]
    return Run(name, seed, variant.baseline, played, rig.marks, rig.versions, lines, servers)


async def _perform(rig: Rig, rounds: list[Round], tell: Callable[[str], None]) -> Played:
    async with rig.running():
        played = await play(rig, rounds, tell)
    return conclude(rig, played)


def table(runs: list[Run]) -> str:
    """Markdown, a line a run."""
    head = [
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
    ]
    rows = ["| " + " | ".join(head) + " |", "| --- |" + " ---: |" * (len(head) - 1)]
    for run in runs:
        figures, played = run.played.verdict.figures, run.played
        of = [
            run.variant,
            run.seed,
            played.committed,
            played.aborted,
            played.odd,
            played.odd_at_end,
            f"{figures['wrong_version']:.0f}",
            f"{figures.get(_breaches('lost'), 0):.0f}",
            f"{figures.get(_breaches('run twice'), 0):.0f}",
            f"{figures['drains']:.0f}",
            f"{figures['aside_share']:.1%}",
            played.dealt,
            played.missed,
            f"{figures['txns']:.0f}",
        ]
        rows.append("| " + " | ".join(map(str, of)) + " |")
    return "\n".join(rows)


def _breaches(rule: str) -> str:
    return f"breaches of {rule!r}"


def write(runs: list[Run], folder: Path, name: str) -> None:
    """results.json, the table, and a chart of the first run of each variant."""
    folder.mkdir(parents=True, exist_ok=True)
    told = [
        dict(
            variant=run.variant,
            seed=run.seed,
            figures=run.played.verdict.figures,
            breaches=run.played.verdict.breaches,
            broken=run.broken,
            rounds=run.played.rounds,
            marks=[(round(at), server, what) for at, server, what in run.marks],
        )
        for run in runs
    ]
    (folder / "results.json").write_text(json.dumps(told, indent=1))
    (folder / "table.md").write_text(table(runs) + "\n")
    shown: set[str] = set()
    for run in runs:
        if run.variant not in shown:
            shown.add(run.variant)
            chart(run, folder / f"{name}-{run.variant}.svg")


def chart(run: Run, path: Path) -> None:
    """Servers down the page, time along it; a stroke for each request settled, by its product and so by the
    policies that serve it; versions as lines, faults as crosses."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "otterrudder"
    from matplotlib import pyplot as plt

    start = min((at for at, *_ in run.lines), default=0.0)
    figure, axes = plt.subplots(figsize=(11, 0.45 * run.servers + 1.6))
    colours = {"look": "#1b7837", "pay": "#2166ac"}
    for product, colour in colours.items():
        points = [
            ((at - start) / 1000, server)
            for at, server, what, how in run.lines
            if what == product and how == "settled"
        ]
        axes.plot(
            [x for x, _ in points],
            [y for _, y in points],
            "|",
            ms=7,
            color=colour,
            alpha=0.5,
            rasterized=True,  # thousands of them
            label=f"{product} settled",
        )
    for n, version in enumerate(run.versions[1:], 1):
        axes.axvline((version.by - start) / 1000, color="#666666", lw=0.6)
        if len(run.versions) < 40:
            axes.text((version.by - start) / 1000, run.servers - 0.4, str(n), fontsize=6)
    for at, server, what in run.marks:
        if server >= 0 and not what.startswith(("starts", "healed", "thawed", "room")):
            axes.plot([(at - start) / 1000], [server], "x", color="#b2182b", ms=5)
    axes.set_yticks(range(run.servers), [f"n{n}" for n in range(run.servers)])
    axes.set_xlabel("s; lines: a version came into force; crosses: a fault")
    axes.set_title(f"{run.variant}, seed {run.seed}", fontsize=9)
    axes.legend(fontsize=7, loc="upper left")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None}, dpi=110)
    plt.close(figure)


def cut_down(experiment: Experiment, run: Run, tell: Callable[[str], None]) -> list[Round]:
    """The fewest rounds and faults of a run that broke a claim, each try played anew."""

    def broke(rounds: list[Round]) -> bool:
        again = perform_one(experiment, run.variant, run.seed, rounds, run.servers)
        tell(f"  {len(rounds)} rounds: {'; '.join(again.broken) or 'holds'}")
        return bool(again.broken)

    return shrink(broke, draw(run.seed, run.servers, len(run.played.rounds)))


def shrink(broke: Callable[[list[Round]], bool], rounds: list[Round]) -> list[Round]:
    """The fewest rounds, with the fewest faults, that still break what the whole plan broke."""
    for n in reversed(range(len(rounds))):
        fewer = rounds[:n] + rounds[n + 1 :]
        if fewer and broke(fewer):
            rounds = fewer
    for n, this in enumerate(rounds):
        for fault in this.faults:
            fewer = [*rounds[:n], _without(rounds[n], fault), *rounds[n + 1 :]]
            if broke(fewer):
                rounds = fewer
    return rounds


def _without(this: Round, fault: object) -> Round:
    kept = tuple(one for one in this.faults if one is not fault)
    return Round(this.number, this.declines, kept, this.hold_s)
