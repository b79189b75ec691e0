"""Writes the results of an experiment: results.json, figures.csv and charts. Formats its verdicts for the
terminal and its figures as a Markdown table."""

import csv
import io
import json
import platform
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from otterrudder import __version__
from otterrudder.lab.claims import Group, Verdict, interval
from otterrudder.lab.plan import ChartSection, Run, matches_case
from otterrudder.lab.runner import ExperimentResult
from otterrudder.lab.site_simulation import SimulationResult

matplotlib.use("svg")
matplotlib.rcParams.update(
    {
        "svg.hashsalt": "otterrudder",
        "font.size": 9,
        "axes.grid": True,
        "grid.alpha": 0.3,
        "axes.spines.top": False,
        "axes.spines.right": False,
    }
)
import matplotlib.pyplot as plt  # noqa: E402

SMOOTHING_WINDOW_S = 10  # moving average of chart lines, in s: one second alone has only about ten requests


def write_results(outcome: ExperimentResult, folder: Path) -> list[Path]:
    """Writes all result files into `folder` and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    written = [folder / "results.json", folder / "figures.csv"]
    written[0].write_text(json.dumps(_results_json(outcome), indent=1) + "\n")
    written[1].write_text(_figures_csv(outcome))
    for chart in outcome.experiment.charts:
        chosen = [
            (run, result)
            for run, result in outcome.results
            if matches_case(chart.cases, run) and (not chart.variants or run.variant in chart.variants)
        ]
        if chosen:
            path = folder / chart.file
            (_draw_timeline if chart.kind == "timeline" else _draw_lines)(
                chart, chosen, path, outcome.experiment.model
            )
            written.append(path)
    return written


def _results_json(outcome: ExperimentResult) -> dict[str, Any]:
    experiment = outcome.experiment
    return dict(
        experiment=experiment.name,
        title=experiment.title,
        model=experiment.model,
        simulated=True,
        otterrudder=__version__,
        python=platform.python_version(),
        holds=outcome.holds,
        claims=[
            dict(
                text=v.claim.text,
                figure=v.claim.figure,
                variant=v.claim.variant,
                over=v.claim.over,
                holds=v.holds,
                groups=[
                    dict(name=g.name, mean=round(g.mean, 5), half=round(g.half_width, 5), holds=g.holds)
                    for g in v.groups
                ],
            )
            for v in outcome.verdicts
        ],
        broken=outcome.violations,
        runs=[
            dict(
                case=run.case,
                variant=run.variant,
                seed=run.seed,
                values=dict(run.grid_values),
                figures={name: round(value, 5) for name, value in result.figures.items()},
                moves=len(result.transitions),
            )
            for run, result in outcome.results
        ],
    )


def _figures_csv(outcome: ExperimentResult) -> str:
    names = sorted({name for _, result in outcome.results for name in result.figures})
    out = io.StringIO()
    rows = csv.writer(out, lineterminator="\n")
    rows.writerow(["case", "variant", "seed", *names])
    for run, result in outcome.results:
        rows.writerow(
            [
                run.case,
                run.variant,
                run.seed,
                *(f"{result.figures[name]:.5f}" if name in result.figures else "" for name in names),
            ]
        )
    return out.getvalue()


def format_bounds(verdict: Verdict) -> str:
    """Formats the bounds of a claim."""
    claim = verdict.claim
    bounds = [
        f">= {claim.at_least:g}" if claim.at_least is not None else "",
        f"<= {claim.at_most:g}" if claim.at_most is not None else "",
        f"interval above {claim.above:g}" if claim.above is not None else "",
        f"within {claim.within:g}" if claim.within is not None else "",
    ]
    return " and ".join(filter(None, bounds))


def format_group(group: Group) -> str:
    """Formats a group's mean, and half the width of its interval if it has more than one value."""
    return f"{group.mean:.3f}" + (f" ± {group.half_width:.3f}" if group.half_width else "")


def verdict_lines(outcome: ExperimentResult) -> list[str]:
    """Formats the verdicts as lines: whether each claim holds, its bounds, and its first failing group or the
    group nearest to a bound."""
    lines = []
    for verdict in outcome.verdicts:
        claim, worst = verdict.claim, verdict.worst
        figure = f"{claim.figure} of {claim.variant}" + (f" over {claim.over}" if claim.over else "")
        lines.append(f"{'holds' if verdict.holds else 'FAILS'}  {claim.text}")
        holding = sum(group.holds for group in verdict.groups)
        nearest = f"{worst.name}: {format_group(worst)}" if worst else "no matching run"
        lines.append(
            f"       {figure} {format_bounds(verdict)}; {holding} of {len(verdict.groups)}; nearest {nearest}"
        )
    lines += [f"BROKEN {violation}" for violation in outcome.violations[:20]]
    return lines


def figures_table(outcome: ExperimentResult, names: list[str]) -> list[str]:
    """Formats a Markdown table with a row for each case and variant and a column for each figure's mean over
    the seeds."""
    cells: dict[tuple[str, str], dict[str, list[float]]] = {}
    for run, result in outcome.results:
        samples = cells.setdefault((run.case, run.variant), {})
        for name in names:
            if name in result.figures:
                samples.setdefault(name, []).append(result.figures[name])
    lines = ["| case | variant | " + " | ".join(names) + " |", "| --- | --- |" + " --- |" * len(names)]
    for (case, variant), samples in cells.items():
        values = " | ".join(f"{interval(samples[name])[0]:.3f}" if name in samples else "" for name in names)
        lines.append(f"| {case} | {variant} | {values} |")
    return lines


def _smooth(values: list[float]) -> np.ndarray:
    kernel = np.ones(SMOOTHING_WINDOW_S)
    return np.convolve(values, kernel, "same") / np.convolve(np.ones(len(values)), kernel, "same")


def _draw_timeline(
    chart: ChartSection, chosen: list[tuple[Run, SimulationResult]], path: Path, model: str
) -> None:
    """Draws the first seed of the first case. From top to bottom: the demand, the share of the value that was
    served in time by variant, and the service level."""
    case = chosen[0][0].case
    first_seed = [
        (run, result) for run, result in chosen if run.case == case and run.seed == chosen[0][0].seed
    ]
    figure, axes = plt.subplots(3, 1, figsize=(8, 6.4), sharex=True, height_ratios=(1, 2, 1.2))
    axes[0].plot(first_seed[0][1].series["demand"], color="0.3", lw=1)
    axes[0].set_ylabel("demand / capacity")
    for run, result in first_seed:
        asked = np.maximum(_smooth(result.series["asked"]), 1e-9)
        axes[1].plot(_smooth(result.series["in_time"]) / asked, label=run.variant, lw=1.2)
        if any(result.series["level_most"]):
            axes[2].step(
                range(len(result.series["level"])), result.series["level"], label=run.variant, lw=1.2
            )
    axes[1].set_ylabel("value in time / asked for")
    axes[1].set_ylim(0, 1.02)
    axes[1].legend(loc="lower right", frameon=False)
    axes[2].set_ylabel("level (mean of servers)")
    axes[2].set_xlabel("s")
    axes[2].set_ylim(bottom=-0.1)
    axes[2].yaxis.get_major_locator().set_params(integer=True)
    _save(figure, f"{chart.title}\n{case}, seed {first_seed[0][0].seed}", path, model)


def _draw_lines(
    chart: ChartSection, chosen: list[tuple[Run, SimulationResult]], path: Path, model: str
) -> None:
    """Draws figures over a grid value, one line for each variant, with 95% confidence intervals over the
    seeds."""
    figure, axes = plt.subplots(1, len(chart.figures), figsize=(4.4 * len(chart.figures), 3.6), squeeze=False)
    variants = list(dict.fromkeys(run.variant for run, _ in chosen))
    for axis, name in zip(axes[0], chart.figures, strict=True):
        for variant in variants:
            values: dict[float | str, list[float]] = {}
            for run, result in chosen:
                if run.variant == variant and name in result.figures:
                    x = dict(run.grid_values).get(chart.x, run.case) if chart.x else run.case
                    values.setdefault(x, []).append(result.figures[name])
            intervals = [interval(group) for group in values.values()]
            half_widths = [h if np.isfinite(h) else 0.0 for _, h in intervals]
            axis.errorbar(
                list(values),
                [mean for mean, _ in intervals],
                yerr=half_widths,
                label=variant,
                marker="o",
                ms=3,
                lw=1.2,
                capsize=2,
                ls="-" if chart.x else "none",
            )
        axis.set_ylabel(name)
        axis.set_xlabel(chart.x or "case")
        axis.set_ylim(bottom=0)
        if not chart.x:
            axis.tick_params(axis="x", labelrotation=70)
    axes[0][0].legend(frameon=False)
    _save(figure, chart.title, path, model)


def _save(figure: Any, title: str, path: Path, model: str) -> None:
    figure.suptitle(title, fontsize=10)
    figure.text(0.01, 0.005, f"simulated: {model}", fontsize=6.5, color="0.4")
    figure.tight_layout(rect=(0, 0.02, 1, 1))
    figure.savefig(path, metadata={"Date": None})
    if path.suffix == ".svg":  # strips trailing blanks, so that equal figures give equal bytes
        path.write_text("\n".join(line.rstrip() for line in path.read_text().splitlines()) + "\n")
    plt.close(figure)
