"""Measures suspensions and switch times of the servers of cells from the messages on the wire.

A suspension is a time in which a server rejects requests although no policy is being changed. The switch time
of a version is the time that the servers take to apply it. The rules of the history checker cover neither."""

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
    """The total time, in ms, in which a server rejected requests that the policy in force admits."""

    server: int
    ms: float
    fault: str


def suspensions(cluster: LinkedCellCluster) -> list[Suspension]:
    """Returns the suspensions of all servers in the quiet windows of a run."""
    result: list[Suspension] = []
    for window in cluster.quiet_windows:
        rejected_product = _version_in_force(cluster.observer.versions, window).rejected_product
        for server, requests in _requests_by_server(cluster.wire.requests, window).items():
            served = [request for request in requests if request.product != rejected_product]
            if ms := _suspended_ms(served, window):
                result.append(Suspension(server, ms, window.fault))
    return result


def _version_in_force(versions: list[VersionInForce], window: QuietWindow) -> VersionInForce:
    return [version for version in versions if version.by <= window.start][-1]


def _requests_by_server(requests: list[RequestRecord], window: QuietWindow) -> dict[int, list[RequestRecord]]:
    """Returns by server the requests that were sent and answered within the window, without repeats."""
    requests_by_server = defaultdict(list)
    for request in requests:
        is_within = window.start <= request.sent_at and request.answered_at <= window.end
        if is_within and not request.is_repeat:
            requests_by_server[request.server].append(request)
    return requests_by_server


def _suspended_ms(served: list[RequestRecord], window: QuietWindow) -> float:
    """Returns the total time, in ms, from each first rejected request to the next completed request."""
    total_ms = 0.0
    suspended_since: float | None = None
    for request in served:
        if request.outcome is RequestOutcome.REJECTED and suspended_since is None:
            suspended_since = request.sent_at
        elif request.outcome is RequestOutcome.COMPLETED and suspended_since is not None:
            total_ms += request.sent_at - suspended_since
            suspended_since = None
    return total_ms + (window.end - suspended_since if suspended_since is not None else 0.0)


def switch_times(cluster: LinkedCellCluster) -> dict[int, float]:
    """Returns by version the time in ms from its commit until all undisturbed servers apply it.

    A server applies a version once it has completed a request that the previous version rejected."""
    times = {}
    versions = cluster.observer.versions
    disturbed = cluster.disturbed_spans()
    for index, version in enumerate(versions[1:], 1):
        readmitted_product = versions[index - 1].rejected_product
        if not readmitted_product or readmitted_product == version.rejected_product:
            continue
        end = versions[index + 1].after if index + 1 < len(versions) else float("inf")
        first = _first_completed(cluster.wire.requests, readmitted_product, version.after, end)
        undisturbed = [
            at
            for server, at in first.items()
            if not _overlaps_any(disturbed.get(server, []), version.after, at)
        ]
        if undisturbed:
            times[version.version] = max(0.0, max(undisturbed) - version.by)
    return times


def _first_completed(
    requests: list[RequestRecord], product: str, start: float, end: float
) -> dict[int, float]:
    """Returns by server when its first request of a product was completed between `start` and `end`."""
    first: dict[int, float] = {}
    for request in requests:
        is_completed = request.product == product and request.outcome is RequestOutcome.COMPLETED
        if is_completed and start <= request.answered_at < end:
            first.setdefault(request.server, request.answered_at)
    return first


def _overlaps_any(spans: Iterable[TimeSpan], start: float, end: float) -> bool:
    return any(span.overlaps(start, end) for span in spans)


def spread(values: list[float]) -> str:
    """Returns the median, the 95th percentile and the maximum as text, rounded to ms."""
    if not values:
        return "none"
    ordered = sorted(values)
    percentile = ordered[int(0.95 * (len(ordered) - 1))]
    return f"{median(ordered):.0f}, {percentile:.0f}, {ordered[-1]:.0f}"
