"""lab: experiments in simulated time. Needs the extra `lab`: pip install 'otterrudder[lab]'."""

import json
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from otterrudder.cli.common import give_up
from otterrudder.files import load_toml

try:
    from otterrudder.lab.day import Result
    from otterrudder.lab.demo import show as show_demo
    from otterrudder.lab.plan import Run, read_experiment
    from otterrudder.lab.report import figures_table, table, write
    from otterrudder.lab.runner import perform
    from otterrudder.lab.scale.experiment import is_scale, read_scale
    from otterrudder.lab.scale.play import settings_of
    from otterrudder.lab.site import BadInput
except ModuleNotFoundError as missing:
    give_up(f"the lab needs {missing.name}: pip install 'otterrudder[lab]', or -r requirements-lab.txt")

if TYPE_CHECKING:
    from otterrudder.lab.scale.simulated import Choice

EXPERIMENTS = Path("experiments")  # where a checkout keeps them
SCALE_PARTS = ["simulated", "processes"]  # of `lab scale`
INTERRUPTED = 130  # exit code of a command that a signal ended
SHOWN = ["value", "worst_10s", "moves_per_min", "stay_breaks", "level_mean"]


@click.group()
def lab() -> None:
    """Experiments in simulated time (needs the extra 'lab'). All figures are simulated."""


@lab.command("fleet-search")
@click.option("--walks", type=click.IntRange(1), default=200, show_default=True, help="By variant and size.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--depth", type=click.IntRange(0, 8), default=0, help="Every order to this depth as well.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
def fleet_search(walks: int, seed: int, depth: int, workers: int | None) -> None:
    """Search what may happen to a fleet of a few members; exits with 1 if a promise breaks or a fault that
    was put in is not found."""
    from otterrudder.lab.fleet.report import searched

    sys.exit(0 if searched(walks, seed, depth, workers, click.echo) else 1)


@lab.command("cell-search")
@click.option("--walks", type=click.IntRange(1), default=200, show_default=True, help="By variant.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--depth", type=click.IntRange(0, 6), default=0, help="Every order to this depth as well.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
@click.option("--variant", "names", multiple=True, help="This one alone; may be given again.")
def cell_search(walks: int, seed: int, depth: int, workers: int | None, names: tuple[str, ...]) -> None:
    """Search what may happen to cells of a few relays and servers; exits with 1 if a promise breaks or a
    fault that was put in is not found."""
    from otterrudder.lab.fleet.cell_report import CellSearchPlan, cells_searched, variant_names

    if unknown := set(names) - set(variant_names()):
        give_up(f"no such variant: {', '.join(sorted(unknown))}; there are: {'; '.join(variant_names())}")
    plan = CellSearchPlan(walks, seed, depth, names)
    sys.exit(0 if cells_searched(plan, workers, click.echo) else 1)


@lab.command("fleet-simulation")
@click.option("--servers", type=click.IntRange(2, 8200), default=200, show_default=True)
@click.option("--plans", type=click.IntRange(1), default=100, show_default=True, help="Of faults, by rule.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
def fleet_simulation(servers: int, plans: int, workers: int | None) -> None:
    """Play changes of policy in fleets of SERVERS, in simulated time, through drawn plans of faults."""
    from otterrudder.lab.fleet.report import played

    sys.exit(0 if played(servers, plans, workers, click.echo) else 1)


def _end_in_order() -> None:
    """Told to end, a rig ends its children first: also where a shell has set the signal to be ignored, and
    where the terminal goes, which the servers would take for a word to read their files again."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.default_int_handler)


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="This seed instead of the file's.")
@click.option("--servers", type=click.IntRange(1, 24), help="So many instead of the file's.")
@click.option("--quick", is_flag=True, help="The file's quick form: about a minute.")
@click.option("--variant", "names", multiple=True, help="This one alone; may be given again.")
@click.option("--shrink", is_flag=True, help="Cut a run that broke a claim down to the fewest faults.")
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Where results go; else out/NAME.")
def processes(
    file: Path,
    seed: int | None,
    servers: int | None,
    quick: bool,
    names: tuple[str, ...],
    shrink: bool,
    folder: Path | None,
) -> None:
    """Play an experiment FILE with processes of the program and faults between them; exits with 1 if a claim
    does not hold. Needs the extra `fleet` as well."""
    try:
        from otterrudder.lab.processes import cell_experiment
        from otterrudder.lab.processes import experiment as of
    except ModuleNotFoundError as missing:
        give_up(f"this needs {missing.name}: pip install 'otterrudder[fleet]', or -r requirements-fleet.txt")
    if cell_experiment.is_of_cells(file):
        if shrink:
            give_up("--shrink: plans of cells are not cut down")
        sys.exit(0 if _play_cells(file, seed, servers, quick, names, folder) else 1)
    try:
        what = of.only(of.read(file), names)
    except BadInput as trouble:
        give_up(trouble)
    _end_in_order()
    seeds = [seed] if seed is not None else what.seeds[: 1 if quick else None]
    count = servers or (what.quick_servers if quick else what.servers)
    runs = of.perform(what, seeds, count, what.quick_changes if quick else what.changes, click.echo)
    of.write(runs, folder or Path("out") / what.name, what.name)
    click.echo(of.table(runs))
    broken = [f"{run.variant}, seed {run.seed}: {claim}" for run in runs for claim in run.broken]
    for line in broken:
        click.echo(f"does not hold: {line}", err=True)
    for run in runs if shrink else ():
        if run.broken:
            click.echo(f"{run.variant}, seed {run.seed}, cut down:")
            for this in of.shrink_run(what, run, click.echo):
                click.echo(f"  {this}")
    sys.exit(1 if broken else 0)


def _play_cells(
    file: Path,
    seed: int | None,
    servers: int | None,
    quick: bool,
    names: tuple[str, ...],
    folder: Path | None,
) -> bool:
    """Whether all claims of an experiment with cells hold."""
    from otterrudder.lab.processes import cell_experiment as of

    try:
        what = of.only(of.read(file), names)
    except BadInput as trouble:
        give_up(trouble)
    _end_in_order()
    seeds = [seed] if seed is not None else what.seeds[: 1 if quick else None]
    count = servers or (what.quick_servers if quick else what.servers)
    rounds, folder = what.quick_rounds if quick else what.rounds, folder or Path("out") / what.name
    runs = of.perform(what, seeds, count, rounds, click.echo, folder / "logs")
    of.write(runs, folder)
    click.echo(of.table(runs))
    broken = [f"{run.variant}, seed {run.seed}: {claim}" for run in runs for claim in run.broken]
    for line in broken:
        click.echo(f"does not hold: {line}", err=True)
    return not broken


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--part", type=click.Choice(SCALE_PARTS), help="This part alone; else both.")
@click.option("--quick", is_flag=True, help="Small sizes, for counts and their laws: under 40 s a part.")
@click.option("--seed", type=int, help="This seed instead of the file's (simulated).")
@click.option("--servers", type=click.IntRange(2), help="So many instead of the file's sizes (simulated).")
@click.option("--case", "names", multiple=True, help="This case alone; may be given again (simulated).")
@click.option("--minutes", type=click.FloatRange(min=0.1), help="Of load, instead of the file's (simulated).")
@click.option("--json", "is_json", is_flag=True, help="JSON in place of the table (simulated).")
@click.option("--out", "folder", type=click.Path(path_type=Path), default=Path("out/capacity"))
def scale(
    file: Path,
    part: str | None,
    quick: bool,
    seed: int | None,
    servers: int | None,
    names: tuple[str, ...],
    minutes: float | None,
    is_json: bool,
    folder: Path,
) -> None:
    """Measure what agreement costs by the number of servers, by FILE; exits with 1 if a claim does not hold.

    Simulated: whole fleets by cells in simulated time. On processes: hollow servers, real relays and the
    store's stand-in; needs the extra `fleet` as well."""
    holds = True
    if part in (None, "simulated"):
        from otterrudder.lab.scale.simulated import Choice

        holds = _scale_simulated(file, Choice(quick, seed, servers, names, minutes, is_json, folder))
    if part in (None, "processes"):
        holds = _scale_processes(file, quick, folder) and holds
    sys.exit(0 if holds else 1)


def _scale_simulated(file: Path, choice: "Choice") -> bool:
    """Whether all verdicts hold."""
    from otterrudder.lab.scale.simulated import perform

    try:
        broken = perform(file, choice, click.echo)
    except BadInput as trouble:
        give_up(trouble)
    for line in broken:
        click.echo(f"does not hold: {line}", err=True)
    return not broken


def _scale_processes(file: Path, quick: bool, folder: Path) -> bool:
    """Whether all claims hold."""
    try:
        from otterrudder.lab.scale.processes import command
        from otterrudder.lab.scale.processes.bench import NotInTimeError
    except ModuleNotFoundError as missing:
        give_up(f"this needs {missing.name}: pip install 'otterrudder[fleet]', or -r requirements-fleet.txt")
    try:
        report = command.play(command.read_plan(file, quick), quick, folder, click.echo)
    except (BadInput, NotInTimeError) as trouble:
        give_up(trouble)
    except command.RunInterruptedError:
        sys.exit(INTERRUPTED)
    return report.holds


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Where results go; else out/NAME.")
@click.option("--quick", is_flag=True, help="Two seeds, four minutes a day at the most.")
@click.option("--seeds", metavar="1,2,3", help="These seeds instead of the file's.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
@click.option("--figures", default=",".join(SHOWN), show_default=True, help="Shown in the table.")
def run(
    file: Path, folder: Path | None, quick: bool, seeds: str | None, workers: int | None, figures: str
) -> None:
    """Play an experiment FILE: results.json, a CSV and charts; exits with 1 if a claim does not hold."""
    try:
        numbers = [int(seed) for seed in seeds.split(",")] if seeds else None
    except ValueError:
        give_up(f"--seeds: {seeds!r} is no list of whole numbers")
    try:
        experiment = read_experiment(file, numbers, quick)
    except BadInput as trouble:
        give_up(trouble)
    click.echo(f"{experiment.title}: {len(experiment.runs)} runs (simulated: {experiment.model})")

    def progress(done: int, whole: int, one: Run, result: Result) -> None:
        if sys.stderr.isatty():
            click.echo(
                f"\r{done}/{whole} {one.case} {one.variant} {one.seed}\x1b[K", err=True, nl=done == whole
            )
        elif done == whole or done % max(whole // 10, 1) == 0:
            click.echo(f"{done}/{whole}", err=True)

    outcome = perform(experiment, workers or 0, progress)
    for line in figures_table(outcome, figures.split(",")) + table(outcome):
        click.echo(line)
    for written in write(outcome, folder or Path("out") / experiment.name):
        click.echo(f"wrote {written}")
    click.echo(f"{len(experiment.runs)} runs in {outcome.took_s:.1f} s")
    sys.exit(0 if outcome.holds else 1)


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=EXPERIMENTS)
def list_them(folder: Path) -> None:
    """The experiments in FOLDER, with their titles and how many runs each has."""
    files = sorted(folder.glob("*.toml"))
    if not files:
        give_up(f"no experiments in {folder}")
    for file in files:
        try:
            told = load_toml(file, BadInput)
            if is_scale(told):
                runs, title = len(settings_of(read_scale(file))), str(told.get("title", ""))
            elif "site" not in told and "servers" in told:  # of processes: `lab processes` reads it
                seeds, variants = told.get("seeds", ()), told.get("variant", ())
                runs, title = len(seeds) * len(variants), f"{told.get('title', '')}, on processes"
            else:
                experiment = read_experiment(file)
                runs, title = len(experiment.runs), experiment.title
        except BadInput as trouble:
            give_up(trouble)
        click.echo(f"{file}  {title} ({runs} runs)")


@lab.command()
@click.argument("results", type=click.Path(path_type=Path))
def show(results: Path) -> None:
    """The verdicts of a results.json (or the folder it is in)."""
    path = results / "results.json" if results.is_dir() else results
    try:
        told = json.loads(path.read_text())
        click.echo(f"{told['title']} (simulated: {told['model']}), otterrudder {told['otterrudder']}")
        for claim in told["claims"]:
            click.echo(f"{'holds' if claim['holds'] else 'FAILS'}  {claim['text']}")
            for group in claim["groups"]:
                if not group["holds"] or len(claim["groups"]) == 1:
                    click.echo(f"         {group['name']}: {group['mean']:.3f} ± {group['half']:.3f}")
        for what in told["broken"]:
            click.echo(f"BROKEN {what}")
    except OSError as trouble:
        give_up(f"cannot read {path}: {trouble}")
    except (ValueError, KeyError, TypeError):
        give_up(f"{path}: no results of the lab")


@lab.command()
@click.option("--out", "folder", type=click.Path(path_type=Path), default=Path("out/demo"), show_default=True)
@click.option("--file", type=click.Path(path_type=Path), default=EXPERIMENTS / "demo.toml", show_default=True)
def demo(folder: Path, file: Path) -> None:
    """A short evening that crosses the levels, told as it happens; leaves a chart. Then a change of policy
    across six processes, where the extra `fleet` is installed."""
    try:
        outcome = show_demo(file, folder, click.echo)
    except BadInput as trouble:
        give_up(trouble)
    holds = outcome.holds
    try:
        from otterrudder.lab.processes.demo import show as show_fleet
    except ModuleNotFoundError as missing:
        click.echo(f"a change across processes needs {missing.name}: pip install 'otterrudder[fleet]'")
    else:
        click.echo("")
        _end_in_order()
        holds = show_fleet(click.echo) and holds
    sys.exit(0 if holds else 1)
