"""What was measured, as laws, claims, a table and a chart."""

import itertools
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import fmean

import msgspec

from otterrudder.lab.scale.processes.laws import LinearLaw, PowerLaw, fit_linear, fit_power
from otterrudder.lab.scale.processes.measure import Plan
from otterrudder.lab.scale.processes.rows import FIGURES, Kind, Row

WHOLE_FLEET = 8200  # servers of the users' fleet
ZONES = 27
KB_OF_MB = 1024
CHANGES_PER_S = 0.8  # that it has
WRITES_OF_MEMBER = 2.0  # a change: its vote, and that it goes by it
EVENTS_OF_MEMBER = 4.0  # a change: it is opened, is struck off, has settled, and the policy
RENEWALS_OF_SPAN = 4.0  # of a server's lease
COUNT_TOLERANCE = 0.1
FLAT_SHARE = 0.25  # of the mean: by so much a figure that does not grow may differ over the sizes


class FittedFigure(msgspec.Struct, frozen=True):
    """One figure of one kind by size, and its laws. The whole fleet is an extrapolation."""

    kind: Kind
    name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    linear: LinearLaw
    power: PowerLaw | None
    whole_fleet: float  # by the linear law


class Budget(msgspec.Struct, frozen=True):
    """What a server spends, by the slopes: idle, and with the users' rate of changes. Many servers in one
    process share its turns, so their slope of CPU is a lower bound; the average at the smallest size, with
    what the processes spend by themselves, is an upper one."""

    kind: Kind
    cpu: float  # share of a core
    cpu_idle: float
    cpu_most: float  # the average at the smallest size
    bytes_per_s: float  # both ways
    bytes_per_s_idle: float
    memory_mb: float  # beside the interpreter and its libraries
    process_mb: float  # of a process without servers


class RelayCost(msgspec.Struct, frozen=True):
    """What a relay spends, by the slopes over sessions. In a zone: the leading one, with the zone's servers
    and the users' rate of changes. A change that adds nothing to the idle cost, for renewals that come
    together cost less each, counts as none."""

    cpu_ms_of_renewal: float
    cpu_ms_of_session_change: float
    memory_kb_of_session: float
    process_mb: float  # without sessions
    zone_cpu: float  # share of a core
    zone_mb: float


class Claim(msgspec.Struct, frozen=True):
    """A claim on the figures, and whether it holds."""

    text: str
    holds: bool
    figures: str


class Report(msgspec.Struct, frozen=True):
    """All that a run of the experiment has shown."""

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
    return [_fit_one(kind, name, sizes, of, rows) for name, of in FIGURES[kind].items()]


def _fit_one(
    kind: Kind, name: str, sizes: tuple[int, ...], of: Callable[[Row], float], rows: Sequence[Row]
) -> FittedFigure:
    values = tuple(of(row) for row in rows)
    linear = fit_linear(sizes, values)
    return FittedFigure(kind, name, sizes, values, linear, fit_power(sizes, values), linear.at(WHOLE_FLEET))


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
    zone_servers = WHOLE_FLEET / ZONES
    in_a_zone = [one.start / relays + one.slope * zone_servers for one in (idle, change, memory)]
    return RelayCost(
        idle.slope / law("servers: messages a second, idle").slope,
        change.slope,
        memory.slope * KB_OF_MB,
        memory.start / relays,
        (in_a_zone[0] + CHANGES_PER_S * max(in_a_zone[1], 0.0)) / 1000,
        in_a_zone[2],
    )


def _claims(plan: Plan, rows: Sequence[Row], figures: Sequence[FittedFigure]) -> Iterable[Claim]:
    yield Claim(
        "each server has one connection",
        all(row.connections == row.servers for row in rows),
        ", ".join(f"{row.kind} {row.servers}: {row.connections}" for row in rows),
    )
    for name, expected in (
        ("store: writes a change", WRITES_OF_MEMBER),
        ("store: watch events a change", EVENTS_OF_MEMBER),
    ):
        yield _is_near(f"members: {name} grow by {expected:g} a server", figures, "members", name, expected)
    for name in ("store: writes a change", "store: reads a change", "store: watch events a change"):
        yield _is_flat(figures, name)
    renewals = RENEWALS_OF_SPAN * 1000 / plan.settings.server_lease_ms
    text = f"cells: a server sends {renewals:.3g} messages a second while nothing changes"
    yield _is_near(text, figures, "cells", "servers: messages a second, idle", renewals)


def _is_near(text: str, figures: Iterable[FittedFigure], kind: Kind, name: str, expected: float) -> Claim:
    slope = _figure(figures, kind, name).linear.slope
    return Claim(text, abs(slope - expected) <= COUNT_TOLERANCE * expected, f"{slope:.3g} a server")


def _is_flat(figures: Iterable[FittedFigure], name: str) -> Claim:
    figure = _figure(figures, "cells", name)
    spread = (max(figure.values) - min(figure.values)) / fmean(figure.values)
    told = ", ".join(f"{value:.4g}" for value in figure.values)
    return Claim(f"cells: {name} do not grow with the servers", spread <= FLAT_SHARE, told)


def markdown(report: Report) -> str:
    """Tables of the figures by size with their laws, and of the budgets."""
    lines: list[str] = []
    for kind, group in itertools.groupby(report.figures, key=lambda figure: figure.kind):
        figures = list(group)
        sizes = [f"{size} servers" for size in figures[0].sizes]
        lines += _header([kind, *sizes, "linear law", "power law", f"{WHOLE_FLEET}, linear"])
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
        f"| with {WHOLE_FLEET / ZONES:.0f} sessions and {CHANGES_PER_S:g} changes a second, by the laws: CPU "
        f"| {cost.zone_cpu:.1%} |",
        f"| the same: MB | {cost.zone_mb:.1f} |",
    ]


def write_report(report: Report, folder: Path) -> list[Path]:
    """JSON, tables and a chart, by the name `processes`."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f"processes.{form}" for form in ("json", "md", "svg")]
    paths[0].write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
    paths[1].write_text(markdown(report))
    _draw(report, paths[2])
    return paths


CHARTED = ("store: writes a change", "store: reads a change", "servers: bytes received a change")


def _draw(report: Report, path: Path) -> None:
    """Figures by size, both kinds, on logarithmic axes."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "otterrudder"
    from matplotlib import pyplot

    chart, panels = pyplot.subplots(1, len(CHARTED), figsize=(11, 3.4))
    for panel, name in zip(panels, CHARTED, strict=True):
        for figure in (figure for figure in report.figures if figure.name == name):
            panel.loglog(figure.sizes, figure.values, "o-", label=figure.kind)
        panel.set_title(name, fontsize=9)
        panel.set_xlabel("servers")
        panel.legend(fontsize=8)
    chart.tight_layout()
    chart.savefig(path, metadata={"Date": None})
    pyplot.close(chart)
