"""Benchmark rows by name, in the order of docs/CAPACITY.md."""

from benchmarks.capacity.decisions import decisions
from benchmarks.capacity.listing import listing
from benchmarks.capacity.member import member
from benchmarks.capacity.settling import settling
from benchmarks.capacity.slope import Row
from benchmarks.capacity.sockets import connections, server
from benchmarks.capacity.store import store
from benchmarks.capacity.tables import configuration, levels, policy

ROWS: dict[str, Row] = {
    "decisions": decisions,
    "server": server,
    "connections": connections,
    "levels": levels,
    "configuration": configuration,
    "policy": policy,
    "member": member,
    "listing": listing,
    "store": store,
    "settling": settling,
}
