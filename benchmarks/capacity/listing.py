"""Cost of service discovery: the reports of servers, and the complete server list that callers read."""

import time
from functools import partial

import anyio
import msgspec

from benchmarks.capacity import size
from benchmarks.capacity.limits import CALLER_BYTES, CPU_S_PER_S, STAND_IN_CORE
from benchmarks.capacity.measure import PROCESS_TIME, cpu_s
from benchmarks.capacity.slope import Series, Slope
from otterrudder.lab.processes.fake_discovery import FakeDiscovery
from otterrudder.net.discovery import REPORT_INTERVAL_S, DiscoveryReporter

SERVERS = (50, 100, 200, 400)
SERVERS_QUICK = (2, 4, 8, 16)
LIST_SIZES = (100, 400, 1_600, size.SERVERS)
SPAN_S = 4.0
SPAN_QUICK_S = 0.1
HEADER_BYTES = 28  # bytes of IP and UDP before each report
LIST_INTERVAL_S = 1.0  # interval between complete lists, in s; callers see a change one to two seconds late
REPEATS = 5


class ListEntry(msgspec.Struct):
    """Entry of the complete server list, in an assumed format, as the platform's is not published."""

    name: str
    address: str
    state: str


def encode_list(servers: int) -> bytes:
    entries = [ListEntry(f"n{n:05}", f"10.{n >> 8}.{n & 255}.17:9090", "ready") for n in range(servers)]
    return msgspec.json.encode(entries)


async def _reporting_core(servers: int, span_s: float, is_received: bool) -> float:
    """Returns the share of a core that the servers' reports take. The fake discovery service reads them
    only if `is_received` is true."""
    listing = FakeDiscovery()
    async with anyio.create_task_group() as group:
        if is_received:
            group.start_soon(listing.run)
        for n in range(servers):
            group.start_soon(DiscoveryReporter(f"n{n:05}", listing.address).run)
        await anyio.sleep(min(span_s, REPORT_INTERVAL_S) / 2)  # lets the reporters start
        began = time.process_time()
        await anyio.sleep(span_s)
        share = (time.process_time() - began) / span_s
        group.cancel_scope.cancel()
    listing.sock.close()
    return share


def listing(quick: bool) -> list[Slope]:
    sizes, span = (SERVERS_QUICK, SPAN_QUICK_S) if quick else (SERVERS, SPAN_S)
    send_core = [anyio.run(_reporting_core, n, span, False) for n in sizes]
    total_core = [anyio.run(_reporting_core, n, span, True) for n in sizes]
    receive_core = [max(total - send, 0.0) for total, send in zip(total_core, send_core, strict=True)]
    report_bytes = len(f"BEAT n{0:05} ready") + HEADER_BYTES
    list_bytes_per_s = [len(encode_list(n)) / LIST_INTERVAL_S for n in LIST_SIZES]
    encode_s = [cpu_s(partial(encode_list, n), 1 if quick else REPEATS) for n in LIST_SIZES]
    reports = Series("listing", "servers", sizes, size.SERVERS)
    reports.add("reports", "all servers' sides together, share of a core", PROCESS_TIME, send_core)
    reports.add("heard", "the list's side, share of a core", PROCESS_TIME, receive_core, STAND_IN_CORE)
    reports.add(
        "bytes", "bytes a second at the list", "bytes", [n / REPORT_INTERVAL_S * report_bytes for n in sizes]
    )
    lists = Series("listing", "servers", LIST_SIZES, size.SERVERS)
    lists.add("encode", "encoding a whole list, s", PROCESS_TIME, encode_s, CPU_S_PER_S)
    lists.add(
        "reader",
        "a caller that reads it whole each second, bytes a second",
        "bytes",
        list_bytes_per_s,
        CALLER_BYTES,
    )
    return [*reports.slopes, *lists.slopes]
