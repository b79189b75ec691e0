"""The list of servers: the reports that each server sends it, and a whole list as callers would read it."""

import time
from functools import partial

import anyio
import msgspec

from benchmarks.capacity import size
from benchmarks.capacity.limits import CALLER_BYTES, EACH_SECOND, STAND_IN_CORE
from benchmarks.capacity.measure import PROCESS_TIME, cpu_s
from benchmarks.capacity.slope import Series, Slope
from otterrudder.lab.processes.fake_discovery import FakeDiscovery
from otterrudder.net.discovery import REPORT_INTERVAL_S, DiscoveryReporter

SERVERS = (50, 100, 200, 400)
SERVERS_QUICK = (2, 4, 8, 16)
WHOLE = (100, 400, 1_600, size.SERVERS)
SPAN_S = 4.0
SPAN_QUICK_S = 0.1
HEADERS = 28  # bytes of IP and UDP before each report
WHOLE_EACH_S = 1.0  # s between whole lists: callers hear a second or two late
TRIES = 5


class Listed(msgspec.Struct):
    """An entry of a whole list, in a form of ours: the platform's is not published."""

    name: str
    address: str
    state: str


def whole_list(servers: int) -> bytes:
    listed = [Listed(f"n{n:05}", f"10.{n >> 8}.{n & 255}.17:9090", "ready") for n in range(servers)]
    return msgspec.json.encode(listed)


async def _reporting_core(servers: int, span_s: float, is_heard: bool) -> float:
    """The share of a core that so many servers' reports take, with the list's stand-in or with a socket that
    nobody reads in its place."""
    listing = FakeDiscovery()
    async with anyio.create_task_group() as group:
        if is_heard:
            group.start_soon(listing.run)
        for n in range(servers):
            group.start_soon(DiscoveryReporter(f"n{n:05}", listing.address).run)
        await anyio.sleep(min(span_s, REPORT_INTERVAL_S) / 2)  # the starts
        began = time.process_time()
        await anyio.sleep(span_s)
        share = (time.process_time() - began) / span_s
        group.cancel_scope.cancel()
    listing.sock.close()
    return share


def listing(quick: bool) -> list[Slope]:
    sizes, span = (SERVERS_QUICK, SPAN_QUICK_S) if quick else (SERVERS, SPAN_S)
    sent = [anyio.run(_reporting_core, n, span, False) for n in sizes]
    both = [anyio.run(_reporting_core, n, span, True) for n in sizes]
    heard = [max(b - s, 0.0) for b, s in zip(both, sent, strict=True)]
    report = len(f"BEAT n{0:05} ready") + HEADERS
    whole = [len(whole_list(n)) / WHOLE_EACH_S for n in WHOLE]
    cpu = [cpu_s(partial(whole_list, n), 1 if quick else TRIES) for n in WHOLE]
    reports = Series("listing", "servers", sizes, size.SERVERS)
    reports.add("reports", "all servers' sides together, share of a core", PROCESS_TIME, sent)
    reports.add("heard", "the list's side, share of a core", PROCESS_TIME, heard, STAND_IN_CORE)
    reports.add(
        "bytes", "bytes a second at the list", "bytes", [n / REPORT_INTERVAL_S * report for n in sizes]
    )
    lists = Series("listing", "servers", WHOLE, size.SERVERS)
    lists.add("encode", "encoding a whole list, s", PROCESS_TIME, cpu, EACH_SECOND)
    lists.add(
        "reader", "a caller that reads it whole each second, bytes a second", "bytes", whole, CALLER_BYTES
    )
    return [*reports.slopes, *lists.slopes]
