"""What the wire shows of cells beside the ledger's claims: how long each server stood aside while no change
was made, and how long servers took to go by a new version."""

from collections import defaultdict
from dataclasses import dataclass
from statistics import median

from otterrudder.lab.processes.fake_gateway import Asked
from otterrudder.lab.processes.history_checker import InForce
from otterrudder.lab.processes.linked_cells import LinkedCellRig, QuietWindow


@dataclass(frozen=True, slots=True)
class Aside:
    """How long a server declined what the policy in force serves."""

    server: int
    ms: float
    fault: str


def asides(rig: LinkedCellRig) -> list[Aside]:
    """In quiet windows, of servers that stood aside at all."""
    found = []
    for window in rig.quiet:
        declines = _in_force(rig.versions, window)
        for server, asked in _by_server(rig.wire.asked, window).items():
            served = [one for one in asked if one.product != declines]
            if ms := _aside_ms(served, window):
                found.append(Aside(server, ms, window.fault))
    return found


def _in_force(versions: list[InForce], window: QuietWindow) -> str:
    return [version for version in versions if version.by <= window.since][-1].declines


def _by_server(asked: list[Asked], window: QuietWindow) -> dict[int, list[Asked]]:
    found = defaultdict(list)
    for one in asked:
        if one.call == one.first and window.since <= one.sent and one.answered <= window.to:
            found[one.server].append(one)
    return found


def _aside_ms(served: list[Asked], window: QuietWindow) -> float:
    """From each first request declined to the next one settled."""
    ms, since = 0.0, None
    for one in served:
        if one.outcome == "declined" and since is None:
            since = one.sent
        elif one.outcome == "settled" and since is not None:
            ms, since = ms + one.sent - since, None
    return ms + (window.to - since if since is not None else 0.0)


def switches(rig: LinkedCellRig) -> dict[int, float]:
    """By version: ms from its commit until the last server, of those that nothing was done to, has settled
    what the version before declined."""
    found = {}
    for n, version in enumerate(rig.versions[1:], 1):
        freed = rig.versions[n - 1].declines
        until = rig.versions[n + 1].after if n + 1 < len(rig.versions) else float("inf")
        if not freed or freed == version.declines:
            continue
        first: dict[int, float] = {}
        for one in rig.wire.asked:
            if one.product == freed and one.outcome == "settled" and version.after <= one.answered < until:
                first.setdefault(one.server, one.answered)
        harmed = rig.harmed()
        unharmed = [
            at for server, at in first.items() if not _is_harmed(harmed.get(server, []), version.after, at)
        ]
        if unharmed:
            found[version.version] = max(0.0, max(unharmed) - version.by)
    return found


def _is_harmed(spans: list[tuple[float, float]], since: float, to: float) -> bool:
    return any(start <= to and end >= since for start, end in spans)


def spread(values: list[float]) -> str:
    """Median, 95th of a hundred, and the most, in whole ms."""
    if not values:
        return "none"
    ordered = sorted(values)
    return f"{median(ordered):.0f}, {ordered[int(0.95 * (len(ordered) - 1))]:.0f}, {ordered[-1]:.0f}"
