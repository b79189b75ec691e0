"""Draws the chart of a run, with servers on the vertical axis and time on the horizontal one."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterrudder.lab.processes.fake_settings import KEYED_PRODUCT, SAFE_PRODUCT
from otterrudder.lab.processes.history import (
    FLEET_WIDE,
    ClusterEvent,
    RequestOutcome,
    RequestRecord,
    VersionInForce,
)

COLOURS = {SAFE_PRODUCT: "#1b7837", KEYED_PRODUCT: "#2166ac"}
VERSION_COLOUR = "#666666"
FAULT_COLOUR = "#b2182b"
MAX_NUMBERED_VERSIONS = 40  # the numbers of more versions would overlap
RECOVERY_EVENTS = ("starts", "healed", "thawed", "room")  # events with these text prefixes are not faults


@dataclass(frozen=True, slots=True)
class ChartData:
    """The data of a chart."""

    title: str
    servers: int
    requests: list[RequestRecord]
    versions: list[VersionInForce]
    events: list[ClusterEvent]


def draw_chart(data: ChartData, path: Path) -> None:
    """Writes the chart as SVG.

    Each completed request is a stroke, coloured by its product and so by the policies that serve it. Versions
    are vertical lines, and faults are crosses."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "otterrudder"
    from matplotlib import pyplot as plt

    start = min((request.sent_at for request in data.requests), default=0.0)
    figure, axes = plt.subplots(figsize=(11, 0.45 * data.servers + 1.6))
    _draw_requests(axes, data.requests, start)
    _draw_versions(axes, data.versions, start, data.servers)
    _draw_faults(axes, data.events, start)
    axes.set_yticks(range(data.servers), [f"n{number}" for number in range(data.servers)])
    axes.set_xlabel("s; lines: a version came into force; crosses: a fault")
    axes.set_title(data.title, fontsize=9)
    axes.legend(fontsize=7, loc="upper left")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None}, dpi=110)
    plt.close(figure)


def _draw_requests(axes: Any, requests: list[RequestRecord], start: float) -> None:
    for product, colour in COLOURS.items():
        completed = [
            request
            for request in requests
            if request.product == product and request.outcome is RequestOutcome.COMPLETED
        ]
        axes.plot(
            [(request.sent_at - start) / 1000 for request in completed],
            [request.server for request in completed],
            "|",
            ms=7,
            color=colour,
            alpha=0.5,
            rasterized=True,  # thousands of vector strokes would make the file large
            label=f"{product} completed",
        )


def _draw_versions(axes: Any, versions: list[VersionInForce], start: float, servers: int) -> None:
    for number, version in enumerate(versions[1:], 1):
        second = (version.by - start) / 1000
        axes.axvline(second, color=VERSION_COLOUR, lw=0.6)
        if len(versions) < MAX_NUMBERED_VERSIONS:
            axes.text(second, servers - 0.4, str(number), fontsize=6)


def _draw_faults(axes: Any, events: list[ClusterEvent], start: float) -> None:
    for event in events:
        if event.server != FLEET_WIDE and not event.text.startswith(RECOVERY_EVENTS):
            axes.plot([(event.at - start) / 1000], [event.server], "x", color=FAULT_COLOUR, ms=5)
