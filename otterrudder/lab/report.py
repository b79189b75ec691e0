"""What is left of an experiment: results.json, a CSV, SVG charts, and a table for the terminal or a page."""

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
from otterrudder.lab.day import SimulationResult
from otterrudder.lab.plan import ChartPart, Run, matches
from otterrudder.lab.runner import Outcome

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

SMOOTH_S = 10  # s over which the lines of a chart are meant: single seconds hold some ten requests


def write_results(outcome: Outcome, folder: Path) -> list[Path]:
    """Everything into `folder`; the files written."""
    folder.mkdir(parents=True, exist_ok=True)
    written = [folder / "results.json", folder / "figures.csv"]
    written[0].write_text(json.dumps(_as_json(outcome), indent=1) + "\n")
    written[1].write_text(_as_csv(outcome))
    for chart in outcome.experiment.charts:
        chosen = [
            (run, result)
            for run, result in outcome.results
            if matches(chart.cases, run) and (not chart.variants or run.variant in chart.variants)
        ]
        if chosen:
            path = folder / chart.file
            (_timeline if chart.kind == "timeline" else _lines)(chart, chosen, path, outcome.experiment.model)
            written.append(path)
    return written


def _as_json(outcome: Outcome) -> dict[str, Any]:
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
        broken=outcome.broken,
        runs=[
            dict(
                case=run.case,
                variant=run.variant,
                seed=run.seed,
                values=dict(run.values),
                figures={name: round(value, 5) for name, value in result.figures.items()},
                moves=len(result.moves),
            )
            for run, result in outcome.results
        ],
    )


def _as_csv(outcome: Outcome) -> str:
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


def bounds_of(verdict: Verdict) -> str:
    """The bounds of a claim in words."""
    claim = verdict.claim
    shown = [
        f">= {claim.at_least:g}" if claim.at_least is not None else "",
        f"<= {claim.at_most:g}" if claim.at_most is not None else "",
        f"interval above {claim.above:g}" if claim.above is not None else "",
        f"within {claim.within:g}" if claim.within is not None else "",
    ]
    return " and ".join(filter(None, shown))


def shown(group: Group) -> str:
    """A group's mean with its interval."""
    return f"{group.mean:.3f}" + (f" ± {group.half_width:.3f}" if group.half_width else "")


def verdict_lines(outcome: Outcome) -> list[str]:
    """The verdicts as lines: whether each holds, the wanted bound, and its tightest or first failing
    group."""
    lines = []
    for verdict in outcome.verdicts:
        claim, worst = verdict.claim, verdict.worst
        figure = f"{claim.figure} of {claim.variant}" + (f" over {claim.over}" if claim.over else "")
        lines.append(f"{'holds' if verdict.holds else 'FAILS'}  {claim.text}")
        met = sum(group.holds for group in verdict.groups)
        what = f"{worst.name}: {shown(worst)}" if worst else "no run it is of"
        lines.append(f"       {figure} {bounds_of(verdict)}; {met} of {len(verdict.groups)}; nearest {what}")
    lines += [f"BROKEN {what}" for what in outcome.broken[:20]]
    return lines


def figures_table(outcome: Outcome, names: list[str]) -> list[str]:
    """A Markdown table: cases and variants by the means of some figures over the seeds."""
    cells: dict[tuple[str, str], dict[str, list[float]]] = {}
    for run, result in outcome.results:
        kept = cells.setdefault((run.case, run.variant), {})
        for name in names:
            if name in result.figures:
                kept.setdefault(name, []).append(result.figures[name])
    lines = ["| case | variant | " + " | ".join(names) + " |", "| --- | --- |" + " --- |" * len(names)]
    for (case, variant), kept in cells.items():
        values = " | ".join(f"{interval(kept[name])[0]:.3f}" if name in kept else "" for name in names)
        lines.append(f"| {case} | {variant} | {values} |")
    return lines


def _smooth(values: list[float]) -> np.ndarray:
    kernel = np.ones(SMOOTH_S)
    return np.convolve(values, kernel, "same") / np.convolve(np.ones(len(values)), kernel, "same")


def _timeline(chart: ChartPart, chosen: list[tuple[Run, SimulationResult]], path: Path, model: str) -> None:
    """The first seed of a case: demand above, the share of value in time by variant, the level below."""
    case = chosen[0][0].case
    first = [(run, result) for run, result in chosen if run.case == case and run.seed == chosen[0][0].seed]
    figure, axes = plt.subplots(3, 1, figsize=(8, 6.4), sharex=True, height_ratios=(1, 2, 1.2))
    axes[0].plot(first[0][1].series["demand"], color="0.3", lw=1)
    axes[0].set_ylabel("demand / capacity")
    for run, result in first:
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
    _finish(figure, f"{chart.title}\n{case}, seed {first[0][0].seed}", path, model)


def _lines(chart: ChartPart, chosen: list[tuple[Run, SimulationResult]], path: Path, model: str) -> None:
    """Figures over a value of the grid, a line a variant, with the 95% interval over the seeds."""
    figure, axes = plt.subplots(1, len(chart.figures), figsize=(4.4 * len(chart.figures), 3.6), squeeze=False)
    variants = list(dict.fromkeys(run.variant for run, _ in chosen))
    for axis, name in zip(axes[0], chart.figures, strict=True):
        for variant in variants:
            values: dict[float | str, list[float]] = {}
            for run, result in chosen:
                if run.variant == variant and name in result.figures:
                    at = dict(run.values).get(chart.x, run.case) if chart.x else run.case
                    values.setdefault(at, []).append(result.figures[name])
            found = [interval(told) for told in values.values()]
            half = [h if np.isfinite(h) else 0.0 for _, h in found]
            axis.errorbar(
                list(values),
                [mean for mean, _ in found],
                yerr=half,
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
    _finish(figure, chart.title, path, model)


def _finish(figure: Any, title: str, path: Path, model: str) -> None:
    figure.suptitle(title, fontsize=10)
    figure.text(0.01, 0.005, f"simulated: {model}", fontsize=6.5, color="0.4")
    figure.tight_layout(rect=(0, 0.02, 1, 1))
    figure.savefig(path, metadata={"Date": None})
    if path.suffix == ".svg":  # the same bytes for the same figures: no blanks at the ends of lines
        path.write_text("\n".join(line.rstrip() for line in path.read_text().splitlines()) + "\n")
    plt.close(figure)
