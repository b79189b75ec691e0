"""Plays the runs of an experiment, side by side, and gathers their figures in the order of the plan."""

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from otterrudder.lab.claims import Verdict, evaluate
from otterrudder.lab.day import Bare, Day, SimulationResult
from otterrudder.lab.plan import Experiment, Run
from otterrudder.lab.tunables import tuned
from otterrudder.levels import LevelSelector

Progress = Callable[[int, int, Run, SimulationResult], None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """All that an experiment has shown."""

    experiment: Experiment
    results: list[tuple[Run, SimulationResult]]
    verdicts: list[Verdict]
    broken: list[str]  # rules that any run has broken
    took_s: float

    @property
    def holds(self) -> bool:
        """Whether no rule was broken and all claims hold."""
        return not self.broken and all(verdict.holds for verdict in self.verdicts)


def play(run: Run) -> SimulationResult:
    """One day; the same for the same run on every machine."""
    kind = Bare if run.bare else LevelSelector
    with tuned(run.module):
        return Day(run.site, run.load, run.faults, run.levels, run.seed, run.length_s, kind).play()


def run_experiment(experiment: Experiment, workers: int = 0, progress: Progress | None = None) -> Outcome:
    """Plays all runs on `workers` processes (0: one a core; 1: in this one)."""
    began = time.monotonic()
    results: list[tuple[Run, SimulationResult]] = []
    for run, result in _played(experiment.runs, workers or os.cpu_count() or 1):
        results.append((run, result))
        if progress:
            progress(len(results), len(experiment.runs), run, result)
    figures = [(run, result.figures) for run, result in results]
    broken = [
        f"{run.case}, {run.variant}, seed {run.seed}: {what}"
        for run, result in results
        for what in result.broken
    ]
    verdicts = [evaluate(claim, figures) for claim in experiment.claims]
    return Outcome(experiment, results, verdicts, broken, time.monotonic() - began)


def _played(runs: list[Run], workers: int) -> Iterable[tuple[Run, SimulationResult]]:
    if workers == 1:
        for run in runs:
            yield run, play(run)
        return
    with ProcessPoolExecutor(workers) as pool:
        yield from zip(runs, pool.map(play, runs, chunksize=1), strict=True)
