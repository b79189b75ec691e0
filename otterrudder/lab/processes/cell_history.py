"""What the wire shows of cells beside the rules of the history checker: how long each server suspended
admission while no change was made, and how long servers took to go by a new version."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from otterrudder.lab.processes.history import (
    RequestOutcome,
    RequestRecord,
    TimeSpan,
    VersionInForce,
)
from otterrudder.lab.processes.linked_cells import LinkedCellCluster, QuietWindow


@dataclass(frozen=True, slots=True)
class Suspension:
    """How long a server rejected what the policy in force serves."""

    server: int
    ms: float
    fault: str


def suspensions(cluster: LinkedCellCluster) -> list[Suspension]:
    """The suspensions of servers in quiet windows."""
    found = []
    for window in cluster.quiet_windows:
        rejected_product = _in_force(cluster.observer.versions, window).rejected_product
        for server, requests in _by_server(cluster.wire.requests, window).items():
            served = [request for request in requests if request.product != rejected_product]
            if ms := _suspended_ms(served, window):
                found.append(Suspension(server, ms, window.fault))
    return found


def _in_force(versions: list[VersionInForce], window: QuietWindow) -> VersionInForce:
    return [version for version in versions if version.by <= window.start][-1]


def _by_server(requests: list[RequestRecord], window: QuietWindow) -> dict[int, list[RequestRecord]]:
    """First requests that were sent and answered within the window."""
    found = defaultdict(list)
    for request in requests:
        is_within = window.start <= request.sent_at and request.answered_at <= window.end
        if is_within and not request.is_repeat:
            found[request.server].append(request)
    return found


def _suspended_ms(served: list[RequestRecord], window: QuietWindow) -> float:
    """From each first request rejected to the next one completed."""
    total_ms = 0.0
    since: float | None = None
    for request in served:
        if request.outcome is RequestOutcome.REJECTED and since is None:
            since = request.sent_at
        elif request.outcome is RequestOutcome.COMPLETED and since is not None:
            total_ms += request.sent_at - since
            since = None
    return total_ms + (window.end - since if since is not None else 0.0)


def switch_times(cluster: LinkedCellCluster) -> dict[int, float]:
    """By version: ms from its commit until the last undisturbed server has completed what the version before
    rejected."""
    found = {}
    versions = cluster.observer.versions
    disturbed = cluster.disturbed_spans()
    for index, version in enumerate(versions[1:], 1):
        freed_product = versions[index - 1].rejected_product
        if not freed_product or freed_product == version.rejected_product:
            continue
        end = versions[index + 1].after if index + 1 < len(versions) else float("inf")
        first = _first_completed(cluster.wire.requests, freed_product, version.after, end)
        undisturbed = [
            at
            for server, at in first.items()
            if not _overlaps_any(disturbed.get(server, []), version.after, at)
        ]
        if undisturbed:
            found[version.version] = max(0.0, max(undisturbed) - version.by)
    return found


def _first_completed(
    requests: list[RequestRecord], product: str, start: float, end: float
) -> dict[int, float]:
    """By server: when the first request of a product was completed within a span."""
    first: dict[int, float] = {}
    for request in requests:
        is_completed = request.product == product and request.outcome is RequestOutcome.COMPLETED
        if is_completed and start <= request.answered_at < end:
            first.setdefault(request.server, request.answered_at)
    return first


def _overlaps_any(spans: Iterable[TimeSpan], start: float, end: float) -> bool:
    return any(span.overlaps(start, end) for span in spans)


def spread(values: list[float]) -> str:
    """Median, 95th percentile and maximum, in whole ms."""
    if not values:
        return "none"
    ordered = sorted(values)
    percentile = ordered[int(0.95 * (len(ordered) - 1))]
    return f"{median(ordered):.0f}, {percentile:.0f}, {ordered[-1]:.0f}"
