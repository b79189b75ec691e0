"""Simulates the runs of an experiment in worker processes and collects their results in the order of the
runs."""

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from otterrudder.lab.claims import Verdict, evaluate
from otterrudder.lab.plan import Experiment, Run
from otterrudder.lab.site_simulation import BareThresholdSelector, SimulationResult, SiteSimulation
from otterrudder.lab.tunables import tuned
from otterrudder.levels import LevelSelector

Progress = Callable[[int, int, Run, SimulationResult], None]


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """The results of all runs of an experiment, and the verdicts on its claims."""

    experiment: Experiment
    results: list[tuple[Run, SimulationResult]]
    verdicts: list[Verdict]
    violations: list[str]  # descriptions of violated rules, over all runs
    took_s: float

    @property
    def holds(self) -> bool:
        """Whether no run violated a rule and all claims hold."""
        return not self.violations and all(verdict.holds for verdict in self.verdicts)


def simulate(run: Run) -> SimulationResult:
    """Simulates one run. The result depends on the run alone, and is the same on every machine."""
    selector_type = BareThresholdSelector if run.has_bare_thresholds else LevelSelector
    with tuned(run.tunables):
        return SiteSimulation(
            run.site, run.load, run.faults, run.levels, run.seed, run.length_s, selector_type
        ).run()


def run_experiment(
    experiment: Experiment, workers: int = 0, progress: Progress | None = None
) -> ExperimentResult:
    """Simulates all runs on `workers` processes (0: one process for each core; 1: in this process)."""
    started_at = time.monotonic()
    results: list[tuple[Run, SimulationResult]] = []
    for run, result in _simulate_all(experiment.runs, workers or os.cpu_count() or 1):
        results.append((run, result))
        if progress:
            progress(len(results), len(experiment.runs), run, result)
    figures = [(run, result.figures) for run, result in results]
    violations = [
        f"{run.case}, {run.variant}, seed {run.seed}: {violation}"
        for run, result in results
        for violation in result.violations
    ]
    verdicts = [evaluate(claim, figures) for claim in experiment.claims]
    return ExperimentResult(experiment, results, verdicts, violations, time.monotonic() - started_at)


def _simulate_all(runs: list[Run], workers: int) -> Iterable[tuple[Run, SimulationResult]]:
    if workers == 1:
        for run in runs:
            yield run, simulate(run)
        return
    with ProcessPoolExecutor(workers) as pool:
        yield from zip(runs, pool.map(simulate, runs, chunksize=1), strict=True)
