"""The demonstration: simulates load that rises above the servers' capacity and falls again, and prints what
happens."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from otterrudder.lab.plan import Experiment, Run, read_experiment
from otterrudder.lab.report import write_results
from otterrudder.lab.runner import ExperimentResult, simulate
from otterrudder.lab.site_simulation import SiteSimulation

LINE_S = 10  # simulated time for each printed line, in s
BAR_COLUMNS = 40  # width of the bar for a demand of 2


class _PrintingSimulation(SiteSimulation):
    """A simulation that prints demand, served value and changes of the service level while it runs."""

    def __init__(self, run: Run, print_line: Callable[[str], None]) -> None:
        self.print_line = print_line
        super().__init__(run.site, run.load, run.faults, run.levels, run.seed, run.length_s)

    def _log(self, now: float, server: int, text: str, fields: dict[str, Any]) -> None:
        super()._log(now, server, text, fields)
        if text in ("service reduced", "service restored"):
            names = [name for name in fields if f"{name}_bound" in fields]
            reason = ", ".join(f"{name} {fields[name]} ({fields[f'{name}_bound']})" for name in names)
            self.print_line(
                f"{now / 1000:6.1f} s  server {server}: {fields['left']} -> {fields['entered']}"
                f"  [{fields['why']}: {reason}]"
            )

    def _check_and_sample(self) -> None:
        super()._check_and_sample()
        second = round(self.engine.now / 1000)
        if second and second % LINE_S == 0 and self.engine.now <= self.length_ms:
            current_demand = self.demand(second - LINE_S / 2)
            demand_bar = "#" * round(current_demand * BAR_COLUMNS / 2)
            # Requests of the last interval may not have ended yet, so the value of the interval before it
            # is printed.
            value_in_time = (
                self.statistics.value(max(second - 2 * LINE_S, 0), second - LINE_S)
                if second > LINE_S
                else 1.0
            )
            self.print_line(
                f"{second:6d} s  demand {current_demand:4.2f} {demand_bar:<{BAR_COLUMNS}} "
                f"value in time {value_in_time:.2f}"
            )


def run_demo(path: Path, folder: Path, print_line: Callable[[str], None]) -> ExperimentResult:
    """Prints the first run while it is simulated, then simulates the others; writes the results into
    `folder`."""
    experiment: Experiment = read_experiment(path)
    print_line(experiment.title)
    print_line(f"simulated: {experiment.model}")
    results = []
    for n, run in enumerate(experiment.runs):
        results.append((run, _PrintingSimulation(run, print_line).run() if n == 0 else simulate(run)))
    violations = [violation for _, result in results for violation in result.violations]
    outcome = ExperimentResult(experiment, results, [], violations, 0.0)
    for run, result in results:
        most_valuable = max(run.site.product, key=lambda product: product.value).name
        print_line(
            f"{run.variant:>12}: value in time {result.figures['value']:.3f}, {most_valuable} "
            f"{result.figures[f'served.{most_valuable}']:.3f}, "
            f"attempts per request {result.figures['tries']:.2f}, "
            f"rule violations {result.figures['broken']:.0f}"
        )
    for written in write_results(outcome, folder):
        print_line(f"wrote {written}")
    return outcome
