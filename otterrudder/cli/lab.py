"""`otterrudder lab`: runs experiments in simulated time and with real processes. Needs the extra `lab`."""

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
    from otterrudder.lab.demo import run_demo
    from otterrudder.lab.plan import Run, read_experiment
    from otterrudder.lab.report import figures_table, verdict_lines, write_results
    from otterrudder.lab.runner import run_experiment
    from otterrudder.lab.scale.experiment import is_scale, read_scale
    from otterrudder.lab.scale.play import settings_of
    from otterrudder.lab.site import InvalidInputError
    from otterrudder.lab.site_simulation import SimulationResult
except ModuleNotFoundError as missing:
    exit_bad_input(
        f"the lab needs {missing.name}: pip install 'otterrudder[lab]', or -r requirements-lab.txt"
    )

if TYPE_CHECKING:
    from otterrudder.lab.scale.simulated import Choice

EXPERIMENTS = Path("experiments")  # folder in a checkout
RESULTS = Path("out")
SCALE_PARTS = ["simulated", "processes"]
INTERRUPTED = 130  # exit code of a command that was ended by a signal
DEFAULT_FIGURES = ["value", "worst_10s", "moves_per_min", "stay_breaks", "level_mean"]


@click.group()
def lab() -> None:
    """Run experiments in simulated time (needs the extra 'lab'). All figures are simulated."""


@lab.command("fleet-search")
@click.option(
    "--walks",
    type=click.IntRange(1),
    default=200,
    show_default=True,
    help="Random walks per variant and size.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--depth", type=click.IntRange(0, 8), default=0, help="Also search all event orders to this depth."
)
@click.option(
    "--workers", type=click.IntRange(1), default=None, help="Worker processes. Default: one per core."
)
def fleet_search(walks: int, seed: int, depth: int, workers: int | None) -> None:
    """Search the states of a fleet of a few members. Exits with 1 if an invariant is violated or a seeded
    fault is not found."""
    from otterrudder.lab.fleet.report import run_model_search

    sys.exit(0 if run_model_search(walks, seed, depth, workers, click.echo) else 1)


@lab.command("cell-search")
@click.option(
    "--walks", type=click.IntRange(1), default=200, show_default=True, help="Random walks per variant."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--depth", type=click.IntRange(0, 6), default=0, help="Also search all event orders to this depth."
)
@click.option(
    "--workers", type=click.IntRange(1), default=None, help="Worker processes. Default: one per core."
)
@click.option("--variant", "names", multiple=True, help="Run only this variant. May be repeated.")
def cell_search(walks: int, seed: int, depth: int, workers: int | None, names: tuple[str, ...]) -> None:
    """Search the states of cells of a few relays and servers. Exits with 1 if an invariant is violated or a
    seeded fault is not found."""
    from otterrudder.lab.fleet.cell_report import CellSearchPlan, run_cell_search, variant_names

    if unknown := set(names) - set(variant_names()):
        exit_bad_input(
            f"unknown variants: {', '.join(sorted(unknown))}; known variants: {'; '.join(variant_names())}"
        )
    plan = CellSearchPlan(walks, seed, depth, names)
    sys.exit(0 if run_cell_search(plan, workers, click.echo) else 1)


@lab.command("fleet-simulation")
@click.option("--servers", type=click.IntRange(2, 8200), default=200, show_default=True)
@click.option(
    "--plans", type=click.IntRange(1), default=100, show_default=True, help="Fault schedules per rule."
)
@click.option(
    "--workers", type=click.IntRange(1), default=None, help="Worker processes. Default: one per core."
)
def fleet_simulation(servers: int, plans: int, workers: int | None) -> None:
    """Simulate changes of policy in fleets of SERVERS members under schedules of faults."""
    from otterrudder.lab.fleet.report import run_simulations

    sys.exit(0 if run_simulations(servers, plans, workers, click.echo) else 1)


def _raise_interrupt_on_signals() -> None:
    """Makes SIGINT, SIGTERM and SIGHUP raise KeyboardInterrupt, so that a cluster ends its child processes.

    SIGINT is set too, because a shell may start the command with SIGINT ignored. SIGHUP is set for a closed
    terminal, because the servers would only reload their files on it."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.default_int_handler)


def _exit_without_fleet_extra(error: ModuleNotFoundError) -> NoReturn:
    exit_bad_input(
        f"this command needs {error.name}: pip install 'otterrudder[fleet]', or -r requirements-fleet.txt"
    )


@dataclass(frozen=True, slots=True)
class ProcessesOptions:
    """The options of `lab processes`."""

    file: Path
    seed: int | None
    servers: int | None
    is_quick: bool
    variants: tuple[str, ...]
    folder: Path | None

    def seeds(self, file_seeds: list[int]) -> list[int]:
        """Returns the seeds to run, given those of the experiment file."""
        if self.seed is not None:
            return [self.seed]
        return file_seeds[:1] if self.is_quick else file_seeds

    def results(self, name: str) -> Path:
        """Returns the folder for the results of the experiment `name`."""
        return self.folder or RESULTS / name


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Seed instead of the file's.")
@click.option("--servers", type=click.IntRange(1, 24), help="Number of servers instead of the file's.")
@click.option("--quick", is_flag=True, help="Run the file's quick form, in about a minute.")
@click.option("--variant", "names", multiple=True, help="Run only this variant. May be repeated.")
@click.option("--shrink", is_flag=True, help="Reduce a run that violated a claim to the fewest faults.")
@click.option(
    "--out", "folder", type=click.Path(path_type=Path), help="Folder for the results. Default: out/NAME."
)
def processes(
    file: Path,
    seed: int | None,
    servers: int | None,
    quick: bool,
    names: tuple[str, ...],
    shrink: bool,
    folder: Path | None,
) -> None:
    """Run the experiment FILE with processes of the program and faults between them. Exits with 1 if a claim
    does not hold. Also needs the extra `fleet`."""
    try:
        from otterrudder.lab.processes.cell_experiment import is_cell_experiment
    except ModuleNotFoundError as error:
        _exit_without_fleet_extra(error)
    options = ProcessesOptions(file, seed, servers, quick, names, folder)
    if not is_cell_experiment(file):
        sys.exit(0 if _run_with_members(options, shrink) else 1)
    if shrink:
        exit_bad_input("--shrink is not supported for experiments with cells")
    sys.exit(0 if _run_with_cells(options) else 1)


def _run_with_members(options: ProcessesOptions, is_shrinking: bool) -> bool:
    """Runs an experiment in which servers are members. Returns whether all claims hold."""
    from otterrudder.lab.processes import experiment as experiments

    try:
        experiment = experiments.only(experiments.read(options.file), options.variants)
    except InvalidInputError as error:
        exit_bad_input(error)
    _raise_interrupt_on_signals()
    servers = options.servers or (experiment.quick_servers if options.is_quick else experiment.servers)
    changes = experiment.quick_changes if options.is_quick else experiment.changes
    runs = experiments.perform(experiment, options.seeds(experiment.seeds), servers, changes, click.echo)
    experiments.write(runs, options.results(experiment.name), experiment.name)
    click.echo(experiments.table(runs))
    broken_runs = [run for run in runs if run.broken]
    for run in broken_runs:
        _print_violated_claims(run.variant, run.seed, run.broken)
    for run in broken_runs if is_shrinking else ():
        click.echo(f"{run.variant}, seed {run.seed}, reduced schedule:")
        for round_ in experiments.shrink_run(experiment, run, click.echo):
            click.echo(f"  {round_}")
    return not broken_runs


def _run_with_cells(options: ProcessesOptions) -> bool:
    """Runs an experiment in which cells are members. Returns whether all claims hold."""
    from otterrudder.lab.processes import cell_experiment as experiments

    try:
        experiment = experiments.only(experiments.read(options.file), options.variants)
    except InvalidInputError as error:
        exit_bad_input(error)
    _raise_interrupt_on_signals()
    servers = options.servers or (experiment.quick_servers if options.is_quick else experiment.servers)
    rounds = experiment.quick_rounds if options.is_quick else experiment.rounds
    results = options.results(experiment.name)
    seeds = options.seeds(experiment.seeds)
    runs = experiments.perform(experiment, seeds, servers, rounds, click.echo, results / "logs")
    experiments.write(runs, results)
    click.echo(experiments.table(runs))
    for run in runs:
        _print_violated_claims(run.variant, run.seed, run.broken)
    return not any(run.broken for run in runs)


def _print_violated_claims(variant: str, seed: int, claims: list[str]) -> None:
    for claim in claims:
        click.echo(f"does not hold: {variant}, seed {seed}: {claim}", err=True)


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--part", type=click.Choice(SCALE_PARTS), help="Run only this part. Default: both.")
@click.option(
    "--quick",
    is_flag=True,
    help="Use small sizes, enough for counts and their growth. At most 40 s per part.",
)
@click.option("--seed", type=int, help="Seed instead of the file's (simulated part).")
@click.option(
    "--servers", type=click.IntRange(2), help="Number of servers instead of the file's (simulated part)."
)
@click.option("--case", "names", multiple=True, help="Run only this case. May be repeated (simulated part).")
@click.option(
    "--minutes",
    type=click.FloatRange(min=0.1),
    help="Minutes of load instead of the file's (simulated part).",
)
@click.option("--json", "is_json", is_flag=True, help="Print JSON instead of the table (simulated part).")
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
    """Measure the cost of agreement by the number of servers, as FILE says. Exits with 1 if a claim fails.

    The simulated part runs whole fleets of cells in simulated time. The part on processes runs hollow
    servers, real relays and the fake store; it also needs the extra `fleet`."""
    all_hold = True
    if part in (None, "simulated"):
        from otterrudder.lab.scale.simulated import Choice

        all_hold = _scale_simulated(file, Choice(quick, seed, servers, names, minutes, is_json, folder))
    if part in (None, "processes"):
        all_hold = _scale_processes(file, quick, folder) and all_hold
    sys.exit(0 if all_hold else 1)


def _scale_simulated(file: Path, choice: "Choice") -> bool:
    """Runs the simulated part. Returns whether all claims hold."""
    from otterrudder.lab.scale.simulated import perform

    try:
        broken = perform(file, choice, click.echo)
    except InvalidInputError as error:
        exit_bad_input(error)
    for line in broken:
        click.echo(f"does not hold: {line}", err=True)
    return not broken


def _scale_processes(file: Path, quick: bool, folder: Path) -> bool:
    """Runs the part on processes. Returns whether all claims hold."""
    try:
        from otterrudder.lab.scale.processes import command
        from otterrudder.lab.scale.processes.bench import MeasurementError
    except ModuleNotFoundError as error:
        _exit_without_fleet_extra(error)
    try:
        report = command.run(command.read_plan(file, quick), quick, folder, click.echo)
    except (InvalidInputError, MeasurementError) as error:
        exit_bad_input(error)
    except command.RunInterruptedError:
        sys.exit(INTERRUPTED)
    return report.holds


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out", "folder", type=click.Path(path_type=Path), help="Folder for the results. Default: out/NAME."
)
@click.option("--quick", is_flag=True, help="Run two seeds, with at most four minutes per day.")
@click.option("--seeds", metavar="1,2,3", help="Seeds instead of the file's.")
@click.option(
    "--workers", type=click.IntRange(1), default=None, help="Worker processes. Default: one per core."
)
@click.option("--figures", default=",".join(DEFAULT_FIGURES), show_default=True, help="Figures in the table.")
def run(
    file: Path, folder: Path | None, quick: bool, seeds: str | None, workers: int | None, figures: str
) -> None:
    """Run the experiment FILE and write results.json, a CSV file and charts. Exits with 1 if a claim does not
    hold."""
    try:
        numbers = [int(seed) for seed in seeds.split(",")] if seeds else None
    except ValueError:
        exit_bad_input(f"--seeds: {seeds!r} is not a list of integers")
    try:
        experiment = read_experiment(file, numbers, quick)
    except InvalidInputError as error:
        exit_bad_input(error)
    click.echo(f"{experiment.title}: {len(experiment.runs)} runs (simulated: {experiment.model})")

    outcome = run_experiment(experiment, workers or 0, _show_progress)
    for line in figures_table(outcome, figures.split(",")) + verdict_lines(outcome):
        click.echo(line)
    for written in write_results(outcome, folder or RESULTS / experiment.name):
        click.echo(f"wrote {written}")
    click.echo(f"{len(experiment.runs)} runs in {outcome.took_s:.1f} s")
    sys.exit(0 if outcome.holds else 1)


def _show_progress(done: int, total: int, run: Run, _: SimulationResult) -> None:
    """Prints the progress: on a terminal one line that is overwritten, otherwise a line per 10 percent."""
    is_last = done == total
    if sys.stderr.isatty():
        click.echo(f"\r{done}/{total} {run.case} {run.variant} {run.seed}\x1b[K", err=True, nl=is_last)
    elif is_last or done % max(total // 10, 1) == 0:
        click.echo(f"{done}/{total}", err=True)


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=EXPERIMENTS)
def list_experiments(folder: Path) -> None:
    """List the experiments in FOLDER, with their titles and numbers of runs."""
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
    """The title of an experiment and its number of runs, for the list of experiments."""

    title: str
    runs: int


def _summary_of(file: Path) -> ExperimentSummary:
    values = load_toml(file, InvalidInputError)
    title = str(values.get("title", ""))
    if is_scale(values):
        return ExperimentSummary(title, len(settings_of(read_scale(file))))
    if "site" not in values and "servers" in values:  # run by `lab processes`
        runs = len(values.get("seeds", ())) * len(values.get("variant", ()))
        return ExperimentSummary(f"{title}, on processes", runs)
    experiment = read_experiment(file)
    return ExperimentSummary(experiment.title, len(experiment.runs))


@lab.command()
@click.argument("results", type=click.Path(path_type=Path))
def show(results: Path) -> None:
    """Show the verdicts in RESULTS, which is a results.json or its folder."""
    path = results / "results.json" if results.is_dir() else results
    try:
        lines = _verdict_lines(json.loads(path.read_text()))
    except OSError as error:
        exit_bad_input(f"cannot read {path}: {error}")
    except (ValueError, KeyError, TypeError):
        exit_bad_input(f"{path}: not a results file of the lab")
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
    """Simulate a short evening in which levels change, report it as it happens, and draw a chart. Then change
    the policy across six processes, if the extra `fleet` is installed."""
    try:
        outcome = run_demo(file, folder, click.echo)
    except InvalidInputError as error:
        exit_bad_input(error)
    all_hold = outcome.holds
    try:
        from otterrudder.lab.processes.demo import show as show_fleet
    except ModuleNotFoundError as missing:
        click.echo(
            f"the change of policy across processes needs {missing.name}: pip install 'otterrudder[fleet]'"
        )
    else:
        click.echo("")
        _raise_interrupt_on_signals()
        all_hold = show_fleet(click.echo) and all_hold
    sys.exit(0 if all_hold else 1)
