"""The measurements of the processes part: a row for each size, and the figures to which laws are fitted."""

from collections.abc import Callable, Mapping
from statistics import fmean
from types import MappingProxyType
from typing import Literal

import msgspec

Kind = Literal["members", "cells"]


class Idle(msgspec.Struct, frozen=True):
    """A period without a change. CPU figures are shares of a core, summed over all processes of a role."""

    seconds: float
    store_requests_per_s: float
    server_messages_per_s: float  # sent by all servers to the store or to their relays
    bytes_sent_per_s: float  # sent by all servers
    bytes_received_per_s: float
    servers_cpu: float
    relays_cpu: float
    store_cpu: float
    servers_rss_mb: float
    relays_rss_mb: float


class Change(msgspec.Struct, frozen=True):
    """One change of policy, from its proposal until all servers have reported that they apply it.

    The figures include the idle cost of this period. `writes` and `reads` are requests to the store, without
    renewals of leases."""

    seconds: float
    writes: int
    reads: int
    watch_events: int
    server_messages: int  # sent by all servers, including renewals
    bytes_sent: int  # sent by all servers
    bytes_received: int
    servers_cpu_s: float
    relays_cpu_s: float
    proposed_to_committed_ms: float
    committed_to_last_ms: float  # time until the last server applied the policy
    committed_to_half_ms: float


class Row(msgspec.Struct, frozen=True):
    """The measurements at one number of servers."""

    kind: Kind
    servers: int
    processes: int
    cells: int
    relays: int
    connections: int  # number of connections of all servers
    idle: Idle
    changes: tuple[Change, ...]


def _mean(of_change: Callable[[Change], float]) -> Callable[[Row], float]:
    return lambda row: fmean(of_change(change) for change in row.changes)


def _mean_without_idle(
    of_change: Callable[[Change], float], of_idle: Callable[[Idle], float]
) -> Callable[[Row], float]:
    """Returns a figure that is the mean over the changes, less the idle cost of the same duration."""
    return lambda row: fmean(of_change(change) - of_idle(row.idle) * change.seconds for change in row.changes)


def _worst(of_change: Callable[[Change], float]) -> Callable[[Row], float]:
    return lambda row: max(of_change(change) for change in row.changes)


_COMMON_FIGURES: dict[str, Callable[[Row], float]] = {
    "store: writes a change": _mean(lambda change: change.writes),
    "store: reads a change": _mean(lambda change: change.reads),
    "store: watch events a change": _mean(lambda change: change.watch_events),
    "store: requests a second, idle": lambda row: row.idle.store_requests_per_s,
    "servers: messages a second, idle": lambda row: row.idle.server_messages_per_s,
    "servers: bytes sent a second, idle": lambda row: row.idle.bytes_sent_per_s,
    "servers: bytes received a second, idle": lambda row: row.idle.bytes_received_per_s,
    "servers: messages a change": _mean_without_idle(
        lambda change: change.server_messages, lambda idle: idle.server_messages_per_s
    ),
    "servers: bytes sent a change": _mean_without_idle(
        lambda change: change.bytes_sent, lambda idle: idle.bytes_sent_per_s
    ),
    "servers: bytes received a change": _mean_without_idle(
        lambda change: change.bytes_received, lambda idle: idle.bytes_received_per_s
    ),
    "servers: ms of CPU a second, idle": lambda row: row.idle.servers_cpu * 1000,
    "servers: ms of CPU a change": _mean_without_idle(
        lambda change: change.servers_cpu_s * 1000, lambda idle: idle.servers_cpu * 1000
    ),
    "servers: ms of CPU a second, with changes": _mean(
        lambda change: change.servers_cpu_s / change.seconds * 1000
    ),
    "servers: MB": lambda row: row.idle.servers_rss_mb,
    "ms from proposal to commit": _mean(lambda change: change.proposed_to_committed_ms),
    "ms from commit to half": _mean(lambda change: change.committed_to_half_ms),
    "ms from commit to the last, worst": _worst(lambda change: change.committed_to_last_ms),
}
_RELAY_FIGURES: dict[str, Callable[[Row], float]] = {
    "relays: ms of CPU a second, idle": lambda row: row.idle.relays_cpu * 1000,
    "relays: ms of CPU a change": _mean_without_idle(
        lambda change: change.relays_cpu_s * 1000, lambda idle: idle.relays_cpu * 1000
    ),
    "relays: ms of CPU a second, with changes": _mean(
        lambda change: change.relays_cpu_s / change.seconds * 1000
    ),
    "relays: MB": lambda row: row.idle.relays_rss_mb,
}
FIGURES: Mapping[Kind, Mapping[str, Callable[[Row], float]]] = MappingProxyType(
    {"members": _COMMON_FIGURES, "cells": _COMMON_FIGURES | _RELAY_FIGURES}
)
