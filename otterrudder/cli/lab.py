"""`otterrudder lab`: experiments in simulated time and with processes. Needs the extra `lab`."""

import json
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import click

from otterrudder.cli.common import exit_bad_input
from otterrudder.files import load_toml

try:
    from otterrudder.lab.day import Result
    from otterrudder.lab.demo import show as show_demo
    from otterrudder.lab.plan import Run, read_experiment
    from otterrudder.lab.report import figures_table, table, write
    from otterrudder.lab.runner import perform
    from otterrudder.lab.scale.experiment import is_scale, read_scale
    from otterrudder.lab.scale.play import settings_of
    from otterrudder.lab.site import InvalidInputError
except ModuleNotFoundError as missing:
    exit_bad_input(
        f"the lab needs {missing.name}: pip install 'otterrudder[lab]', or -r requirements-lab.txt"
    )

if TYPE_CHECKING:
    from otterrudder.lab.scale.simulated import Choice

EXPERIMENTS = Path("experiments")  # of a checkout
RESULTS = Path("out")
SCALE_PARTS = ["simulated", "processes"]
INTERRUPTED = 130  # exit code of a command that a signal ended
DEFAULT_FIGURES = ["value", "worst_10s", "moves_per_min", "stay_breaks", "level_mean"]


@click.group()
def lab() -> None:
    """Experiments in simulated time (needs the extra 'lab'). All figures are simulated."""


@lab.command("fleet-search")
@click.option("--walks", type=click.IntRange(1), default=200, show_default=True, help="By variant and size.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--depth", type=click.IntRange(0, 8), default=0, help="Every order to this depth as well.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
def fleet_search(walks: int, seed: int, depth: int, workers: int | None) -> None:
    """Search the states of a fleet of a few members; exits with 1 if an invariant breaks or a seeded fault
    is not found."""
    from otterrudder.lab.fleet.report import searched

    sys.exit(0 if searched(walks, seed, depth, workers, click.echo) else 1)


@lab.command("cell-search")
@click.option("--walks", type=click.IntRange(1), default=200, show_default=True, help="By variant.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--depth", type=click.IntRange(0, 6), default=0, help="Every order to this depth as well.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
@click.option("--variant", "names", multiple=True, help="This one alone; may be given again.")
def cell_search(walks: int, seed: int, depth: int, workers: int | None, names: tuple[str, ...]) -> None:
    """Search the states of cells of a few relays and servers; exits with 1 if an invariant breaks or a seeded
    fault is not found."""
    from otterrudder.lab.fleet.cell_report import CellSearchPlan, cells_searched, variant_names

    if unknown := set(names) - set(variant_names()):
        exit_bad_input(
            f"no such variant: {', '.join(sorted(unknown))}; there are: {'; '.join(variant_names())}"
        )
    plan = CellSearchPlan(walks, seed, depth, names)
    sys.exit(0 if cells_searched(plan, workers, click.echo) else 1)


@lab.command("fleet-simulation")
@click.option("--servers", type=click.IntRange(2, 8200), default=200, show_default=True)
@click.option("--plans", type=click.IntRange(1), default=100, show_default=True, help="Of faults, by rule.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
def fleet_simulation(servers: int, plans: int, workers: int | None) -> None:
    """Play changes of policy in fleets of SERVERS, in simulated time, through schedules of faults."""
    from otterrudder.lab.fleet.report import played

    sys.exit(0 if played(servers, plans, workers, click.echo) else 1)


def _raise_interrupt_on_signals() -> None:
    """Lets a signal end the command as Ctrl-C does, so that a cluster ends its children first. Also where a
    shell ignores the signal, and where the terminal goes: servers would read their files again on SIGHUP."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.default_int_handler)


def _exit_without_fleet_extra(error: ModuleNotFoundError) -> NoReturn:
    exit_bad_input(f"this needs {error.name}: pip install 'otterrudder[fleet]', or -r requirements-fleet.txt")


@dataclass(frozen=True, slots=True)
class ProcessesChoice:
    """The options of `lab processes`."""

    file: Path
    seed: int | None
    servers: int | None
    is_quick: bool
    variants: tuple[str, ...]
    folder: Path | None

    def seeds(self, of_file: list[int]) -> list[int]:
        """The seeds to play."""
        if self.seed is not None:
            return [self.seed]
        return of_file[:1] if self.is_quick else of_file

    def results(self, name: str) -> Path:
        """Where the results go."""
        return self.folder or RESULTS / name


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="This seed instead of the file's.")
@click.option("--servers", type=click.IntRange(1, 24), help="So many instead of the file's.")
@click.option("--quick", is_flag=True, help="The file's quick form: about a minute.")
@click.option("--variant", "names", multiple=True, help="This one alone; may be given again.")
@click.option("--shrink", is_flag=True, help="Shrink a run that broke a claim to the fewest faults.")
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
        from otterrudder.lab.processes.cell_experiment import is_of_cells
    except ModuleNotFoundError as error:
        _exit_without_fleet_extra(error)
    choice = ProcessesChoice(file, seed, servers, quick, names, folder)
    if not is_of_cells(file):
        sys.exit(0 if _play_members(choice, shrink) else 1)
    if shrink:
        exit_bad_input("--shrink: schedules of cells are not shrunk")
    sys.exit(0 if _play_cells(choice) else 1)


def _play_members(choice: ProcessesChoice, is_shrinking: bool) -> bool:
    """Plays an experiment with plain members; whether all claims hold."""
    from otterrudder.lab.processes import experiment as experiments

    try:
        experiment = experiments.only(experiments.read(choice.file), choice.variants)
    except InvalidInputError as error:
        exit_bad_input(error)
    _raise_interrupt_on_signals()
    servers = choice.servers or (experiment.quick_servers if choice.is_quick else experiment.servers)
    changes = experiment.quick_changes if choice.is_quick else experiment.changes
    runs = experiments.perform(experiment, choice.seeds(experiment.seeds), servers, changes, click.echo)
    experiments.write(runs, choice.results(experiment.name), experiment.name)
    click.echo(experiments.table(runs))
    broken_runs = [run for run in runs if run.broken]
    for run in broken_runs:
        _print_broken(run.variant, run.seed, run.broken)
    for run in broken_runs if is_shrinking else ():
        click.echo(f"{run.variant}, seed {run.seed}, cut down:")
        for round_ in experiments.shrink_run(experiment, run, click.echo):
            click.echo(f"  {round_}")
    return not broken_runs


def _play_cells(choice: ProcessesChoice) -> bool:
    """Plays an experiment with cells; whether all claims hold."""
    from otterrudder.lab.processes import cell_experiment as experiments

    try:
        experiment = experiments.only(experiments.read(choice.file), choice.variants)
    except InvalidInputError as error:
        exit_bad_input(error)
    _raise_interrupt_on_signals()
    servers = choice.servers or (experiment.quick_servers if choice.is_quick else experiment.servers)
    rounds = experiment.quick_rounds if choice.is_quick else experiment.rounds
    results = choice.results(experiment.name)
    seeds = choice.seeds(experiment.seeds)
    runs = experiments.perform(experiment, seeds, servers, rounds, click.echo, results / "logs")
    experiments.write(runs, results)
    click.echo(experiments.table(runs))
    for run in runs:
        _print_broken(run.variant, run.seed, run.broken)
    return not any(run.broken for run in runs)


def _print_broken(variant: str, seed: int, claims: list[str]) -> None:
    for claim in claims:
        click.echo(f"does not hold: {variant}, seed {seed}: {claim}", err=True)


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
    fake store; needs the extra `fleet` as well."""
    all_hold = True
    if part in (None, "simulated"):
        from otterrudder.lab.scale.simulated import Choice

        all_hold = _scale_simulated(file, Choice(quick, seed, servers, names, minutes, is_json, folder))
    if part in (None, "processes"):
        all_hold = _scale_processes(file, quick, folder) and all_hold
    sys.exit(0 if all_hold else 1)


def _scale_simulated(file: Path, choice: "Choice") -> bool:
    """Plays the simulated part; whether all verdicts hold."""
    from otterrudder.lab.scale.simulated import perform

    try:
        broken = perform(file, choice, click.echo)
    except InvalidInputError as error:
        exit_bad_input(error)
    for line in broken:
        click.echo(f"does not hold: {line}", err=True)
    return not broken


def _scale_processes(file: Path, quick: bool, folder: Path) -> bool:
    """Plays the part on processes; whether all claims hold."""
    try:
        from otterrudder.lab.scale.processes import command
        from otterrudder.lab.scale.processes.bench import NotInTimeError
    except ModuleNotFoundError as error:
        _exit_without_fleet_extra(error)
    try:
        report = command.play(command.read_plan(file, quick), quick, folder, click.echo)
    except (InvalidInputError, NotInTimeError) as error:
        exit_bad_input(error)
    except command.RunInterruptedError:
        sys.exit(INTERRUPTED)
    return report.holds


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Where results go; else out/NAME.")
@click.option("--quick", is_flag=True, help="Two seeds, four minutes a day at the most.")
@click.option("--seeds", metavar="1,2,3", help="These seeds instead of the file's.")
@click.option("--workers", type=click.IntRange(1), default=None, help="Processes; else one a core.")
@click.option("--figures", default=",".join(DEFAULT_FIGURES), show_default=True, help="Shown in the table.")
def run(
    file: Path, folder: Path | None, quick: bool, seeds: str | None, workers: int | None, figures: str
) -> None:
    """Play an experiment FILE: results.json, a CSV and charts; exits with 1 if a claim does not hold."""
    try:
        numbers = [int(seed) for seed in seeds.split(",")] if seeds else None
    except ValueError:
        exit_bad_input(f"--seeds: {seeds!r} is no list of whole numbers")
    try:
        experiment = read_experiment(file, numbers, quick)
    except InvalidInputError as error:
        exit_bad_input(error)
    click.echo(f"{experiment.title}: {len(experiment.runs)} runs (simulated: {experiment.model})")

    outcome = perform(experiment, workers or 0, _show_progress)
    for line in figures_table(outcome, figures.split(",")) + table(outcome):
        click.echo(line)
    for written in write(outcome, folder or RESULTS / experiment.name):
        click.echo(f"wrote {written}")
    click.echo(f"{len(experiment.runs)} runs in {outcome.took_s:.1f} s")
    sys.exit(0 if outcome.holds else 1)


def _show_progress(done: int, total: int, run: Run, _: Result) -> None:
    """A line that is overwritten on a terminal; else one for each tenth."""
    is_last = done == total
    if sys.stderr.isatty():
        click.echo(f"\r{done}/{total} {run.case} {run.variant} {run.seed}\x1b[K", err=True, nl=is_last)
    elif is_last or done % max(total // 10, 1) == 0:
        click.echo(f"{done}/{total}", err=True)


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=EXPERIMENTS)
def list_experiments(folder: Path) -> None:
    """List the experiments in FOLDER, with their titles and how many runs each has."""
    files = sorted(folder.glob("*.toml"))
    if not files:
        exit_bad_input(f"no experiments in {folder}")
    for file in files:
        try:
            summary = _summary_of(file)
        except InvalidInputError as error:
            exit_bad_input(error)
        click.echo(f"{file}  {summary.title} ({summary.runs} runs)")


class ExperimentSummary(NamedTuple):
    """An experiment in the list."""

    title: str
    runs: int


def _summary_of(file: Path) -> ExperimentSummary:
    values = load_toml(file, InvalidInputError)
    title = str(values.get("title", ""))
    if is_scale(values):
        return ExperimentSummary(title, len(settings_of(read_scale(file))))
    if "site" not in values and "servers" in values:  # played by `lab processes`
        runs = len(values.get("seeds", ())) * len(values.get("variant", ()))
        return ExperimentSummary(f"{title}, on processes", runs)
    experiment = read_experiment(file)
    return ExperimentSummary(experiment.title, len(experiment.runs))


@lab.command()
@click.argument("results", type=click.Path(path_type=Path))
def show(results: Path) -> None:
    """Show the verdicts of a results.json (or the folder it is in)."""
    path = results / "results.json" if results.is_dir() else results
    try:
        lines = _verdict_lines(json.loads(path.read_text()))
    except OSError as error:
        exit_bad_input(f"cannot read {path}: {error}")
    except (ValueError, KeyError, TypeError):
        exit_bad_input(f"{path}: no results of the lab")
    for line in lines:
        click.echo(line)


def _verdict_lines(results: dict[str, Any]) -> list[str]:
    lines = [f"{results['title']} (simulated: {results['model']}), otterrudder {results['otterrudder']}"]
    for claim in results["claims"]:
        lines.append(f"{'holds' if claim['holds'] else 'FAILS'}  {claim['text']}")
        lines += [
            f"         {group['name']}: {group['mean']:.3f} ± {group['half']:.3f}"
            for group in claim["groups"]
            if not group["holds"] or len(claim["groups"]) == 1
        ]
    lines += [f"BROKEN {violation}" for violation in results["broken"]]
    return lines


@lab.command()
@click.option("--out", "folder", type=click.Path(path_type=Path), default=Path("out/demo"), show_default=True)
@click.option("--file", type=click.Path(path_type=Path), default=EXPERIMENTS / "demo.toml", show_default=True)
def demo(folder: Path, file: Path) -> None:
    """Play a short evening that crosses the levels, reported as it happens, with a chart. Then a change of
    policy across six processes, if the extra `fleet` is installed."""
    try:
        outcome = show_demo(file, folder, click.echo)
    except InvalidInputError as error:
        exit_bad_input(error)
    all_hold = outcome.holds
    try:
        from otterrudder.lab.processes.demo import show as show_fleet
    except ModuleNotFoundError as missing:
        click.echo(f"a change across processes needs {missing.name}: pip install 'otterrudder[fleet]'")
    else:
        click.echo("")
        _raise_interrupt_on_signals()
        all_hold = show_fleet(click.echo) and all_hold
    sys.exit(0 if all_hold else 1)
