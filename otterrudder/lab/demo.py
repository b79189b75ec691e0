"""A short day for a newcomer: load that rises past what the servers can do and falls again, narrated as it
happens."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from otterrudder.lab.day import Day
from otterrudder.lab.plan import Experiment, Run, read_experiment
from otterrudder.lab.report import write_results
from otterrudder.lab.runner import Outcome, play

LINE_S = 10  # of the day to a line
BAR_COLUMNS = 40  # for a demand of 2


class _NarratedDay(Day):
    """A day that says what happens while it is played."""

    def __init__(self, run: Run, narrate: Callable[[str], None]) -> None:
        self.narrate = narrate
        super().__init__(run.site, run.load, run.faults, run.levels, run.seed, run.length_s)

    def _log(self, now: float, server: int, text: str, facts: dict[str, Any]) -> None:
        super()._log(now, server, text, facts)
        if text in ("service reduced", "service restored"):
            names = [name for name in facts if f"{name}_bound" in facts]
            why = ", ".join(f"{name} {facts[name]} ({facts[f'{name}_bound']})" for name in names)
            self.narrate(
                f"{now / 1000:6.1f} s  server {server}: {facts['left']} -> {facts['entered']}"
                f"  [{facts['why']}: {why}]"
            )

    def _check(self) -> None:
        super()._check()
        second = round(self.engine.now / 1000)
        if second and second % LINE_S == 0 and self.engine.now <= self.length_ms:
            asked = self.demand(second - LINE_S / 2)
            bar = "#" * round(asked * BAR_COLUMNS / 2)
            # The last line's requests may still be on their way: what is shown is the line before it.
            in_time = (
                self.statistics.value(max(second - 2 * LINE_S, 0), second - LINE_S)
                if second > LINE_S
                else 1.0
            )
            self.narrate(
                f"{second:6d} s  demand {asked:4.2f} {bar:<{BAR_COLUMNS}} value in time {in_time:.2f}"
            )


def run_demo(path: Path, folder: Path, narrate: Callable[[str], None]) -> Outcome:
    """Plays the first variant aloud and the others quietly; leaves the charts in `folder`."""
    experiment: Experiment = read_experiment(path)
    narrate(experiment.title)
    narrate(f"simulated: {experiment.model}")
    results = []
    for n, run in enumerate(experiment.runs):
        results.append((run, _NarratedDay(run, narrate).play() if n == 0 else play(run)))
    broken = [what for _, result in results for what in result.broken]
    outcome = Outcome(experiment, results, [], broken, 0.0)
    for run, result in results:
        dearest = max(run.site.product, key=lambda product: product.value).name
        narrate(
            f"{run.variant:>12}: value in time {result.figures['value']:.3f}, {dearest} "
            f"{result.figures[f'served.{dearest}']:.3f}, tries a txn {result.figures['tries']:.2f}, "
            f"rules broken {result.figures['broken']:.0f}"
        )
    for written in write_results(outcome, folder):
        narrate(f"wrote {written}")
    return outcome
