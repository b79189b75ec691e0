"""Reports of runs: a table, JSON, CSV, and charts by number of servers."""

import csv
import json
from collections import defaultdict
from pathlib import Path

import matplotlib

from otterrudder import __version__
from otterrudder.lab.scale.experiment import Experiment
from otterrudder.lab.scale.play import Run

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "otterrudder"
import matplotlib.pyplot as plt  # noqa: E402

# Columns of the table: name of the figure, heading, number format.
TABLE_COLUMNS = (
    ("committed", "in force", "{:.0f}"),
    ("never_opened", "never opened", "{:.0f}"),
    ("in_4_s", "in 4 s", "{:.1%}"),
    ("took_p50_ms", "median, ms", "{:.0f}"),
    ("took_p99_ms", "99%, ms", "{:.0f}"),
    ("took_max_ms", "max, ms", "{:.0f}"),
    ("reads_a_change", "reads", "{:.0f}"),
    ("writes_a_change", "writes", "{:.0f}"),
    ("watch_events_a_change", "watch events", "{:.0f}"),
    ("server_messages_per_s", "messages/s per server", "{:.2f}"),
    ("server_bytes_per_s", "bytes/s per server", "{:.0f}"),
    ("relay_messages_per_s", "messages/s per relay", "{:.0f}"),
    ("aside", "suspended", "{:.3%}"),
    ("oldest_ms", "max stale, ms", "{:.0f}"),
    ("breaches", "breaches", "{:.0f}"),
    ("server_cpu_us_per_s", "us/s per server", "{:.0f}"),
    ("relay_cpu_ms_per_s", "ms/s per relay", "{:.1f}"),
    ("cpu_s", "CPU time of the run, s", "{:.0f}"),
)
# Charts by number of servers: end of the file name, title, names of the figures.
CHARTS = (
    (
        "times",
        "Time from proposal until in force on all servers, ms",
        ("took_p50_ms", "took_p99_ms", "took_max_ms"),
    ),
    ("store", "Store requests per change", ("reads_a_change", "writes_a_change")),
    ("messages", "Messages per second and server", ("server_messages_per_s", "server_messages_calm_per_s")),
)


def table(runs: list[Run]) -> list[str]:
    """Returns the lines of a Markdown table of the runs."""
    headings = ["case", "rule", "cells", "servers", "seed", *(heading for _, heading, _ in TABLE_COLUMNS)]
    lines = [f"| {' | '.join(headings)} |", f"| --- | --- |{' ---: |' * (len(headings) - 2)}"]
    for run in runs:
        setting = run.setting
        labels = [setting.case.name, setting.absent, f"{run.figures['cells']:.0f}"]
        values = [*labels, str(setting.servers), str(setting.seed)]
        values += [number_format.format(run.figures[name]) for name, _, number_format in TABLE_COLUMNS]
        lines.append(f"| {' | '.join(values)} |")
    return lines


def as_json(experiment: Experiment, runs: list[Run]) -> str:
    """Returns the figures of all runs as JSON."""
    return json.dumps(
        {
            "experiment": experiment.name,
            "title": experiment.title,
            "simulated": True,
            "otterrudder": __version__,
            "runs": [_run_as_json(run) for run in runs],
        },
        indent=1,
    )


def _run_as_json(run: Run) -> dict[str, object]:
    setting = run.setting
    return {
        "case": setting.case.name,
        "absent": setting.absent,
        "servers": setting.servers,
        "regions": setting.regions,
        "seed": setting.seed,
        "minutes": setting.minutes,
        "told": list(run.notes),
        "figures": {name: _finite(value) for name, value in run.figures.items()},
    }


def _finite(value: float) -> float | None:
    """Rounds a figure. Returns None for NaN and infinity, which JSON cannot represent."""
    return round(value, 4) if abs(value) < float("inf") else None


def write(experiment: Experiment, runs: list[Run], folder: Path) -> list[Path]:
    """Writes JSON, CSV and charts to `folder`. Returns the paths of the written files."""
    folder.mkdir(parents=True, exist_ok=True)
    written = [folder / "results.json", folder / "figures.csv"]
    written[0].write_text(as_json(experiment, runs) + "\n")
    _write_csv(runs, written[1])
    for ending, title, names in CHARTS:
        path = folder / f"{experiment.name}-{ending}.svg"
        if _chart(runs, title, names, path):
            written.append(path)
    return written


def _write_csv(runs: list[Run], path: Path) -> None:
    names = sorted({name for run in runs for name in run.figures})
    with path.open("w", newline="") as file:
        rows = csv.writer(file, lineterminator="\n")
        rows.writerow(["case", "absent", "servers", "regions", "seed", "minutes", *names])
        for run in runs:
            setting = run.setting
            setting_columns = [setting.case.name, setting.absent, setting.servers, setting.regions or ""]
            values = [run.figures.get(name, "") for name in names]
            rows.writerow([*setting_columns, setting.seed, setting.minutes, *values])


def _chart(runs: list[Run], title: str, names: tuple[str, ...], path: Path) -> bool:
    """Draws the means over all seeds of the first case under the rule `wait`.

    Returns False, without a chart, if there are runs of fewer than two fleet sizes."""
    by_size: dict[int, list[Run]] = defaultdict(list)
    for run in runs:
        if run.setting.case.name == runs[0].setting.case.name and run.setting.absent == "wait":
            by_size[run.setting.servers].append(run)
    if len(by_size) < 2:
        return False
    figure, axes = plt.subplots(figsize=(6.0, 3.2))
    sizes = sorted(by_size)
    for name in names:
        means = [sum(run.figures[name] for run in by_size[size]) / len(by_size[size]) for size in sizes]
        axes.plot(sizes, means, marker="o", label=name.replace("_", " "))
    axes.set_xscale("log", base=2)
    axes.set_xticks(sizes, [str(size) for size in sizes])
    axes.set_ylim(bottom=0)
    axes.set_xlabel("servers")
    axes.set_title(f"{title} (simulated)", fontsize=9)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return True
