"""Evaluates the measurements: fits laws, checks claims, and writes tables and a chart."""

import itertools
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import fmean

import msgspec

from otterrudder.lab.scale.processes.laws import LinearLaw, PowerLaw, fit_linear, fit_power
from otterrudder.lab.scale.processes.measure import Plan
from otterrudder.lab.scale.processes.rows import FIGURES, Kind, Row

FLEET_SERVERS = 8200  # number of servers of the extrapolated fleet
ZONES = 27  # number of zones of the extrapolated fleet
KB_PER_MB = 1024
CHANGES_PER_S = 0.8  # policy changes of the extrapolated fleet
WRITES_PER_MEMBER = (
    2.0  # writes of a member for each change: its vote, and the report that it applies the policy
)
# Watch events of a member for each change: the change is opened, is removed, has settled, and the policy.
EVENTS_PER_MEMBER = 4.0
RENEWALS_PER_LEASE = 4.0  # renewals of a server within the duration of its lease
COUNT_TOLERANCE = 0.1  # share of the expected slope
FLAT_TOLERANCE = 0.25  # maximum spread over the sizes of a figure that does not grow, as a share of its mean


class FittedFigure(msgspec.Struct, frozen=True):
    """One figure by size, and its laws. `whole_fleet` is extrapolated."""

    kind: Kind
    name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    linear: LinearLaw
    power: PowerLaw | None
    whole_fleet: float  # figure of the whole fleet by the linear law


class Budget(msgspec.Struct, frozen=True):
    """The cost of a server by the slopes of the linear laws: idle, and with CHANGES_PER_S.

    The slope of the CPU figures is a lower bound, since many servers in one process share the overhead of its
    event loop. The average at the smallest size is an upper bound, since it includes the fixed cost of the
    processes."""

    kind: Kind
    cpu: float  # share of a core
    cpu_idle: float
    cpu_most: float  # the average at the smallest size
    bytes_per_s: float  # sent and received
    bytes_per_s_idle: float
    memory_mb: float  # without the interpreter and its libraries
    process_mb: float  # memory of a process without servers


class RelayCost(msgspec.Struct, frozen=True):
    """The cost of a relay by the slopes over its sessions.

    The figures of a zone are those of its leading relay, with the servers of the zone and CHANGES_PER_S. The
    CPU cost of a change can come out negative, since renewals that arrive together cost less each. It then
    counts as zero."""

    cpu_ms_of_renewal: float
    cpu_ms_of_session_change: float
    memory_kb_of_session: float
    process_mb: float  # memory without sessions
    zone_cpu: float  # share of a core
    zone_mb: float


class Claim(msgspec.Struct, frozen=True):
    """A claim about the figures, and whether it holds."""

    text: str
    holds: bool
    figures: str


class Report(msgspec.Struct, frozen=True):
    """The results of a run of the processes part."""

    plan: Plan
    rows: list[Row]
    figures: list[FittedFigure]
    budgets: list[Budget]
    relay: RelayCost
    claims: list[Claim]

    @property
    def holds(self) -> bool:
        """Whether all claims hold."""
        return all(claim.holds for claim in self.claims)


def make_report(plan: Plan, rows: Sequence[Row]) -> Report:
    """Fits the laws to the rows and checks the claims."""
    figures = [figure for kind in FIGURES for figure in _fit(kind, [row for row in rows if row.kind == kind])]
    budgets = [_budget(kind, figures, rows) for kind in FIGURES]
    claims = list(_claims(plan, rows, figures))
    return Report(plan, list(rows), figures, budgets, _relay_cost(plan, figures), claims)


def _fit(kind: Kind, rows: Sequence[Row]) -> list[FittedFigure]:
    sizes = tuple(row.servers for row in rows)
    return [_fit_figure(kind, name, sizes, figure_of, rows) for name, figure_of in FIGURES[kind].items()]


def _fit_figure(
    kind: Kind, name: str, sizes: tuple[int, ...], figure_of: Callable[[Row], float], rows: Sequence[Row]
) -> FittedFigure:
    values = tuple(figure_of(row) for row in rows)
    linear = fit_linear(sizes, values)
    return FittedFigure(kind, name, sizes, values, linear, fit_power(sizes, values), linear.at(FLEET_SERVERS))


def _figure(figures: Iterable[FittedFigure], kind: Kind, name: str) -> FittedFigure:
    return next(figure for figure in figures if (figure.kind, figure.name) == (kind, name))


def _budget(kind: Kind, figures: Sequence[FittedFigure], rows: Sequence[Row]) -> Budget:
    def slope(name: str) -> float:
        return _figure(figures, kind, name).linear.slope

    cpu_idle = slope("servers: ms of CPU a second, idle") / 1000
    cpu_change = slope("servers: ms of CPU a change") / 1000
    idle = sum(slope(f"servers: bytes {way} a second, idle") for way in ("sent", "received"))
    change = sum(slope(f"servers: bytes {way} a change") for way in ("sent", "received"))
    smallest = next(row for row in rows if row.kind == kind)
    change_ms = FIGURES[kind]["servers: ms of CPU a change"](smallest)
    cpu_smallest = smallest.idle.servers_cpu + CHANGES_PER_S * change_ms / 1000
    return Budget(
        kind,
        cpu_idle + CHANGES_PER_S * cpu_change,
        cpu_idle,
        cpu_smallest / smallest.servers,
        idle + CHANGES_PER_S * change,
        idle,
        slope("servers: MB"),
        _figure(figures, kind, "servers: MB").linear.start / smallest.processes,
    )


def _relay_cost(plan: Plan, figures: Sequence[FittedFigure]) -> RelayCost:
    def law(name: str) -> LinearLaw:
        return _figure(figures, "cells", name).linear

    idle, change = law("relays: ms of CPU a second, idle"), law("relays: ms of CPU a change")
    memory, relays = law("relays: MB"), plan.cells * plan.relays_of_cell
    zone_servers = FLEET_SERVERS / ZONES
    zone_costs = [cost.start / relays + cost.slope * zone_servers for cost in (idle, change, memory)]
    return RelayCost(
        idle.slope / law("servers: messages a second, idle").slope,
        change.slope,
        memory.slope * KB_PER_MB,
        memory.start / relays,
        (zone_costs[0] + CHANGES_PER_S * max(zone_costs[1], 0.0)) / 1000,
        zone_costs[2],
    )


def _claims(plan: Plan, rows: Sequence[Row], figures: Sequence[FittedFigure]) -> Iterable[Claim]:
    yield Claim(
        "each server has one connection",
        all(row.connections == row.servers for row in rows),
        ", ".join(f"{row.kind} {row.servers}: {row.connections}" for row in rows),
    )
    for name, expected in (
        ("store: writes a change", WRITES_PER_MEMBER),
        ("store: watch events a change", EVENTS_PER_MEMBER),
    ):
        yield _slope_claim(
            f"members: {name} grow by {expected:g} a server", figures, "members", name, expected
        )
    for name in ("store: writes a change", "store: reads a change", "store: watch events a change"):
        yield _constant_claim(figures, name)
    renewals = RENEWALS_PER_LEASE * 1000 / plan.settings.server_lease_ms
    text = f"cells: a server sends {renewals:.3g} messages a second while nothing changes"
    yield _slope_claim(text, figures, "cells", "servers: messages a second, idle", renewals)


def _slope_claim(text: str, figures: Iterable[FittedFigure], kind: Kind, name: str, expected: float) -> Claim:
    slope = _figure(figures, kind, name).linear.slope
    return Claim(text, abs(slope - expected) <= COUNT_TOLERANCE * expected, f"{slope:.3g} a server")


def _constant_claim(figures: Iterable[FittedFigure], name: str) -> Claim:
    figure = _figure(figures, "cells", name)
    spread = (max(figure.values) - min(figure.values)) / fmean(figure.values)
    values = ", ".join(f"{value:.4g}" for value in figure.values)
    return Claim(f"cells: {name} do not grow with the servers", spread <= FLAT_TOLERANCE, values)


def markdown(report: Report) -> str:
    """Returns Markdown tables of the figures with their laws, of the budgets, and of the cost of a relay."""
    lines: list[str] = []
    for kind, group in itertools.groupby(report.figures, key=lambda figure: figure.kind):
        figures = list(group)
        sizes = [f"{size} servers" for size in figures[0].sizes]
        lines += _header([kind, *sizes, "linear law", "power law", f"{FLEET_SERVERS}, linear"])
        lines += [_figure_line(figure) for figure in figures]
        lines.append("")
    lines += _header(
        ["a server", "CPU, idle", "CPU", "CPU, most", "bytes/s, idle", "bytes/s", "MB", "MB of a process"]
    )
    lines += [_budget_line(budget) for budget in report.budgets]
    lines.append("")
    lines += _header(["a relay", ""])
    lines += _relay_lines(report.relay)
    return "\n".join(lines) + "\n"


def _header(cells: Sequence[str]) -> list[str]:
    return ["| " + " | ".join(cells) + " |", "| --- |" + " ---: |" * (len(cells) - 1)]


def _figure_line(figure: FittedFigure) -> str:
    values = [f"{value:.4g}" for value in figure.values]
    power = str(figure.power) if figure.power else "none"
    return (
        "| "
        + " | ".join([figure.name, *values, str(figure.linear), power, f"{figure.whole_fleet:.4g}"])
        + " |"
    )


def _budget_line(budget: Budget) -> str:
    cells = [
        budget.kind,
        f"{budget.cpu_idle:.2%}",
        f"{budget.cpu:.2%}",
        f"{budget.cpu_most:.2%}",
        f"{budget.bytes_per_s_idle:.0f}",
        f"{budget.bytes_per_s:.0f}",
        f"{budget.memory_mb:.3f}",
        f"{budget.process_mb:.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


def _relay_lines(cost: RelayCost) -> list[str]:
    return [
        f"| ms of CPU a renewal | {cost.cpu_ms_of_renewal:.3f} |",
        f"| ms of CPU a session and change | {cost.cpu_ms_of_session_change:.2f} |",
        f"| KB a session | {cost.memory_kb_of_session:.1f} |",
        f"| MB without sessions | {cost.process_mb:.1f} |",
        f"| with {FLEET_SERVERS / ZONES:.0f} sessions and {CHANGES_PER_S:g} changes a second, by the laws: "
        f"CPU | {cost.zone_cpu:.1%} |",
        f"| the same: MB | {cost.zone_mb:.1f} |",
    ]


def write_report(report: Report, folder: Path) -> list[Path]:
    """Writes processes.json, processes.md and processes.svg, and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f"processes.{suffix}" for suffix in ("json", "md", "svg")]
    paths[0].write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
    paths[1].write_text(markdown(report))
    _draw(report, paths[2])
    return paths


CHART_FIGURES = ("store: writes a change", "store: reads a change", "servers: bytes received a change")


def _draw(report: Report, path: Path) -> None:
    """Draws figures by size for members and cells, on logarithmic axes."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "otterrudder"
    from matplotlib import pyplot

    chart, panels = pyplot.subplots(1, len(CHART_FIGURES), figsize=(11, 3.4))
    for panel, name in zip(panels, CHART_FIGURES, strict=True):
        for figure in (figure for figure in report.figures if figure.name == name):
            panel.loglog(figure.sizes, figure.values, "o-", label=figure.kind)
        panel.set_title(name, fontsize=9)
        panel.set_xlabel("servers")
        panel.legend(fontsize=8)
    chart.tight_layout()
    chart.savefig(path, metadata={"Date": None})
    pyplot.close(chart)
