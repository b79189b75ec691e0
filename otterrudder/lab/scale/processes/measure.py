"""The processes part of the scale experiment: each size played on its own bench, and what it cost."""

import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import anyio
import msgspec

from otterrudder.clock import monotonic
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.scale.processes.bench import (
    Bench,
    FleetSettings,
    Layout,
    bench_running,
    policy_text,
    usage_of,
)
from otterrudder.lab.scale.processes.rows import Change, Idle, Kind, Row
from otterrudder.lab.scale.processes.tcp import Connections, carried
from otterrudder.lab.scale.processes.usage import Usage

UP_S = 60.0  # s that the servers may take until all admit
IN_FORCE_S = 30.0  # s that a change may take until all go by it
MESSAGES: Mapping[Kind, str] = {"members": "asked", "cells": "sent"}  # what an agent counts of those


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Sizes and spans. A change's text has `text_bytes`; for `told_s` after it is in force, members tell that
    they go by it, and relays that theirs do."""

    member_sizes: tuple[int, ...] = (25, 50, 100, 200)
    member_processes: int = 2
    cell_sizes: tuple[int, ...] = (50, 150, 300, 600)
    cells: int = 3
    relays_of_cell: int = 2
    idle_s: float = 20.0
    changes: int = 4
    told_s: float = 3.0
    text_bytes: int = 27_000
    settings: FleetSettings = FleetSettings()


QUICK = Plan(
    member_sizes=(10, 40),
    member_processes=1,
    cell_sizes=(10, 40),
    cells=2,
    idle_s=3.0,
    changes=1,
    told_s=2.4,
)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that is counted, at one moment."""

    at_ms: float
    store: StoreReport
    connections: Connections
    messages: int
    servers: Usage
    relays: Usage
    stand_in: Usage

    @property
    def requests(self) -> int:
        """All requests at the store."""
        return sum(self.store.requests.values())

    def count(self, verb: str) -> int:
        """Of requests to the store whose kind begins so."""
        return sum(count for kind, count in self.store.requests.items() if kind.startswith(verb))


async def measure(plan: Plan, say: Callable[[str], None]) -> list[Row]:
    """Size after size, so that none disturbs another. NotInTimeError: servers did not come up, or a change
    was not in force in time."""
    rows = []
    for kind, sizes in (("members", plan.member_sizes), ("cells", plan.cell_sizes)):
        rows += await _measure_kind(plan, kind, sizes, say)  # type: ignore[arg-type]
    return rows


async def measure_at_once(plan: Plan, say: Callable[[str], None]) -> list[Row]:
    """Both kinds side by side: for counts and laws of counts, not for times."""
    found: dict[Kind, list[Row]] = {}

    async def play(kind: Kind, sizes: tuple[int, ...]) -> None:
        found[kind] = await _measure_kind(plan, kind, sizes, say)

    async with anyio.create_task_group() as group:
        group.start_soon(play, "members", plan.member_sizes)
        group.start_soon(play, "cells", plan.cell_sizes)
    return [*found["members"], *found["cells"]]


async def _measure_kind(
    plan: Plan, kind: Kind, sizes: tuple[int, ...], say: Callable[[str], None]
) -> list[Row]:
    rows = []
    for size in sizes:
        row = await measure_size(plan, kind, size)
        last = max(change.committed_to_last_ms for change in row.changes)
        say(f"{kind}, {size} servers: the last {last:.0f} ms after the commit at the latest")
        rows.append(row)
    return rows


async def measure_size(plan: Plan, kind: Kind, servers: int) -> Row:
    """One size on a bench of its own, from its start to its end."""
    layout = Layout(servers, plan.member_processes)
    if kind == "cells":
        layout = Layout(servers, plan.cells, plan.cells, plan.relays_of_cell)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), plan.settings, layout) as bench:
            await bench.until_settled(UP_S)
            await _measure_change(plan, bench, kind, 0)  # the leadership is taken
            idle = await _measure_idle(bench, kind, plan.idle_s)
            numbers = range(1, plan.changes + 1)
            changes = [await _measure_change(plan, bench, kind, number) for number in numbers]
            connections = len(bench.connections())
    relays = plan.cells * plan.relays_of_cell if kind == "cells" else 0
    cells = layout.cells
    return Row(kind, servers, layout.processes, cells, relays, connections, idle, tuple(changes))


async def _take(bench: Bench, kind: Kind) -> Snapshot:
    counts = await bench.servers.counts()
    return Snapshot(
        monotonic(),
        await bench.stand_in.report(bench.operator.keys.policy),
        bench.connections(),
        counts[MESSAGES[kind]],
        bench.servers.usage(),
        usage_of(bench.relays),
        usage_of([bench.stand_in.child]),
    )


async def _measure_idle(bench: Bench, kind: Kind, seconds: float) -> Idle:
    began = await _take(bench, kind)
    await anyio.sleep(seconds)
    ended = await _take(bench, kind)
    span = (ended.at_ms - began.at_ms) / 1000
    traffic = carried(began.connections, ended.connections)
    return Idle(
        span,
        (ended.requests - began.requests) / span,
        (ended.messages - began.messages) / span,
        traffic.bytes_sent / span,
        traffic.bytes_received / span,
        (ended.servers.cpu_s - began.servers.cpu_s) / span,
        (ended.relays.cpu_s - began.relays.cpu_s) / span,
        (ended.stand_in.cpu_s - began.stand_in.cpu_s) / span,
        ended.servers.rss_mb,
        ended.relays.rss_mb,
    )


async def _measure_change(plan: Plan, bench: Bench, kind: Kind, number: int) -> Change:
    began = await _take(bench, kind)
    proposed = await bench.operator.propose(policy_text(number, plan.text_bytes))
    await bench.servers.until_all_admit(proposed.version, IN_FORCE_S)
    await anyio.sleep(plan.told_s)
    ended = await _take(bench, kind)
    committed_ms = ended.store.written_ms[bench.operator.keys.policy]
    traffic = carried(began.connections, ended.connections)
    arrived = bench.servers.arrived_ms[proposed.version].values()
    return Change(
        (ended.at_ms - began.at_ms) / 1000,
        ended.count("write") - began.count("write"),
        ended.count("read") - began.count("read"),
        ended.store.watch_events - began.store.watch_events,
        ended.messages - began.messages,
        traffic.bytes_sent,
        traffic.bytes_received,
        ended.servers.cpu_s - began.servers.cpu_s,
        ended.relays.cpu_s - began.relays.cpu_s,
        committed_ms - proposed.sent_ms,
        max(arrived) - committed_ms,
        median(arrived) - committed_ms,
    )
