"""The server on sockets: CPU a txn and added time by open loop at stepped rates; connections it holds."""

import asyncio
import gc
import heapq
import random
from dataclasses import dataclass

import numpy as np

from benchmarks.capacity import size
from benchmarks.capacity.limits import ONE_CORE
from benchmarks.capacity.measure import RESIDENT, process_cpu_s, process_waited_s, resident_mb
from benchmarks.capacity.slope import Limit, Series, Slope
from benchmarks.capacity.standins import LINKS, MEMORY_MB, Site, serving

RATES = (50.0, 100.0, 150.0, 200.0, 250.0, 300.0, 350.0, 400.0, size.SERVER_PER_S)
RATES_QUICK = (60.0, 80.0, 100.0, 120.0)
TXNS_LEAST = 3_000  # at a rate, where that takes no longer than the longest span
SPAN_S = (12.0, 30.0)
SPAN_QUICK_S = 0.2
WARM_S = 2.0
CONNECTIONS = (250, 500, 1_000, 2_000, 4_000)
CONNECTIONS_QUICK = (5, 10, 20, 40)
IDLE_S = 4.0
IDLE_QUICK_S = 0.2
STOPS = 4  # of a txn at the server: its request, the wanted call, the reply to that, the end of its run
REPLAYED = 50_000  # txns
REPLAYED_QUICK = 500
PROCESS_MB = Limit(float(MEMORY_MB), f"{MEMORY_MB} MB of the process, as configured")
BY_PROCESS = "process time of the server"
BY_REPLAY = "worked out from the measured CPU, not measured"
BY_CLOCK = "open loop, clock of the callers' process"


class NothingServed(Exception):
    """No txn of a rate had a result, so it has no added time."""


@dataclass(frozen=True, slots=True)
class Step:
    """What one rate showed."""

    per_s: float
    asked: int
    unserved: int
    cpu_us: float  # that the server used a txn, ticks and all
    own_us: float  # the same, less what it uses when nobody asks
    core: float  # share of a core that the server used
    waited: float  # share of the time in which it was ready and others had the core
    p50_ms: float
    p99_ms: float
    p999_ms: float


async def idle_core(site: Site, span_s: float) -> float:
    """The share of a core that the server uses when nobody asks."""
    cpu = process_cpu_s(site.pid)
    await asyncio.sleep(span_s)
    return (process_cpu_s(site.pid) - cpu) / span_s


async def step(site: Site, per_s: float, span_s: float, idle: float) -> Step:
    books = site.books
    books.added_ms.clear()
    books.unserved = 0
    gc.collect()
    gc.disable()  # a pause of the callers' process would count as the server's
    try:
        cpu, waited = process_cpu_s(site.pid), process_waited_s(site.pid)
        asked = await site.load(per_s, span_s, seed=round(per_s))
        cpu, waited = process_cpu_s(site.pid) - cpu, process_waited_s(site.pid) - waited
    finally:
        gc.enable()
    await site.until_answered()
    if not books.added_ms:
        raise NothingServed(f"none of {asked} txns at {per_s:g} a second had a result")
    p50, p99, p999 = np.percentile(books.added_ms, [50, 99, 99.9])
    unserved = asked - len(books.added_ms)
    return Step(
        per_s,
        asked,
        unserved,
        cpu / asked * 1e6,
        max(cpu - idle * span_s, 0.0) / asked * 1e6,
        cpu / span_s,
        waited / span_s,
        float(p50),
        float(p99),
        float(p999),
    )


def replayed_p99_ms(per_s: float, cpu_us: float, txns: int) -> float:
    """What 99 in 100 would take with a core to itself: each txn is handled at its four stops in the order in
    which they come, at an even part of the measured CPU. It leaves out the system's own part."""
    chance, now = random.Random(round(per_s)), 0.0
    waiting: list[tuple[float, int, int]] = []  # due, number, stop
    began: list[float] = []
    took: list[float] = []
    for number in range(txns):
        now += chance.expovariate(per_s)
        began.append(now)
        heapq.heappush(waiting, (now, number, 1))
    free = 0.0
    while waiting:
        due, number, stop = heapq.heappop(waiting)
        free = max(free, due) + cpu_us / STOPS / 1e6
        if stop < STOPS:
            heapq.heappush(waiting, (free, number, stop + 1))
        else:
            took.append((free - began[number]) * 1000)
    return float(np.percentile(took, 99))


async def _steps(quick: bool) -> list[Step]:
    async with serving() as site:
        await site.connect(LINKS - len(site.callers))
        if not quick:
            await site.load(RATES[2], WARM_S, seed=1)
            await site.until_answered()
        idle = await idle_core(site, IDLE_QUICK_S if quick else IDLE_S)
        found = []
        for rate in RATES_QUICK if quick else RATES:
            span = SPAN_QUICK_S if quick else min(max(TXNS_LEAST / rate, SPAN_S[0]), SPAN_S[1])
            found.append(await step(site, rate, span, idle))
    return found


def held_up_to(rates: list[float], p99_ms: list[float]) -> float:
    """The highest rate played up to which all keep 99 in 100 within what may be added; 0: none."""
    held = 0.0
    for rate, took in zip(rates, p99_ms, strict=True):
        if took > size.ADDED_MS:
            break
        held = rate
    return held


def server(quick: bool) -> list[Slope]:
    steps = asyncio.run(_steps(quick))
    rates = [one.per_s for one in steps]
    txns = REPLAYED_QUICK if quick else REPLAYED
    replayed = [replayed_p99_ms(one.per_s, one.own_us, txns) for one in steps]
    added = Limit(
        size.ADDED_MS, f"1.5 ms for 99 in 100; kept up to {held_up_to(rates, p99_of(steps)):g} a second"
    )
    alone = Limit(size.ADDED_MS, f"1.5 ms for 99 in 100; kept up to {held_up_to(rates, replayed):g} a second")
    series = Series("server", "txns a second, one call each", rates, size.SERVER_PER_S)
    series.add("core", "share of a core", BY_PROCESS, [s.core for s in steps], ONE_CORE)
    series.add("cpu", "CPU a txn, ticks and all, us", BY_PROCESS, [s.cpu_us for s in steps])
    series.add("own", "CPU a txn, less what it uses idle, us", BY_PROCESS, [s.own_us for s in steps])
    series.add("p50", "added time, half of all, ms", BY_CLOCK, [s.p50_ms for s in steps])
    series.add("p99", "added time, 99 in 100, ms", BY_CLOCK, p99_of(steps), added)
    series.add("p99 alone", "added time with a core to itself, 99 in 100, ms", BY_REPLAY, replayed, alone)
    series.add("p999", "added time, 999 in 1,000, ms", BY_CLOCK, [s.p999_ms for s in steps])
    series.add("waited", "share of the time ready without a core", "schedstat", [s.waited for s in steps])
    series.add("unserved", "txns without a result", "count", [float(s.unserved) for s in steps])
    return series.slopes


def p99_of(steps: list[Step]) -> list[float]:
    return [one.p99_ms for one in steps]


async def _connections(quick: bool) -> tuple[list[int], list[float], list[float]]:
    sizes = CONNECTIONS_QUICK if quick else CONNECTIONS
    span = IDLE_QUICK_S if quick else IDLE_S
    held: list[float] = []
    idle: list[float] = []
    async with serving() as site:
        for count in sizes:
            await site.connect(count - len(site.callers))
            idle.append(await idle_core(site, span))
            held.append(resident_mb(site.pid))
            assert not any(caller.transport.is_closing() for caller in site.callers)
    return list(sizes), held, idle


def connections(quick: bool) -> list[Slope]:
    sizes, held, idle = asyncio.run(_connections(quick))
    found: list[Slope] = []
    for spread, target in (("20 servers a caller", size.CONNECTIONS), ("all servers a caller", size.CALLERS)):
        series = Series("connections", "connections", sizes, target)
        series.add(f"memory, {spread}", "the process, MB", RESIDENT, held, PROCESS_MB)
        series.add(f"idle, {spread}", "share of a core, nobody asking", BY_PROCESS, idle, ONE_CORE)
        found += series.slopes
    return found
