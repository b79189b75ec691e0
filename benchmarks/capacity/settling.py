"""Cost of reading all members, as `fleet status` does, and of counting their votes on a change."""

from functools import partial

from benchmarks.capacity import size
from benchmarks.capacity.limits import COUNT_S, REQUEST_BYTES, RESPONSE_BYTES
from benchmarks.capacity.measure import PROCESS_TIME, cpu_s
from benchmarks.capacity.slope import Series, Slope
from otterrudder.fleet.change import count_votes
from otterrudder.fleet.records import Change, FleetSnapshot, Keys, MemberStatus, RosterEntry, Vote, encode
from otterrudder.fleet.store import Entry, Snapshot

MEMBERS = (100, 400, 1_600, size.SERVERS)
MEMBERS_QUICK = (5, 10, 20, 40)
PRODUCTS = (100, 1_000, 10_000, 100_000)
PRODUCTS_QUICK = (10, 20, 40, 80)
ROUTES_PER_SERVICE = round(size.ROUTES / size.SERVICES)  # mean number of routes of one service
ENTRY_BYTES = 24  # encoded bytes of an entry besides its key and value: revisions, lease and field tags
KEYS = Keys("capacity")


def status_of(products: int) -> MemberStatus:
    """Returns the status record of a member, which names each product that it serves."""
    return MemberStatus(
        "0123456789abcdef", "0.3.0", "zone-1", 7, "0" * 32, "SERVING", _product_names(products)
    )


def snapshot_of(members: int) -> FleetSnapshot:
    """Returns a snapshot in which every member is on the roster, is alive and has voted."""
    change = Change("change", 8, "0" * 32, "author")
    entries = {KEYS.change: Entry(encode(change), 1, 1)}
    status = encode(status_of(ROUTES_PER_SERVICE))
    for n in range(members):
        name = f"n{n:05}"
        entries[KEYS.roster(name)] = Entry(encode(RosterEntry("0123456789abcdef", "wait")), 1, 1)
        entries[KEYS.status(name)] = Entry(status, 1, 1, 1)
        entries[KEYS.vote(name)] = Entry(encode(Vote(True, "", "0123456789abcdef")), 1, 1)
    return FleetSnapshot(KEYS, Snapshot(1, 1, entries))


def response_bytes(snapshot: FleetSnapshot) -> float:
    """Returns the size of the store's response in bytes, without the overhead of the transport."""
    return float(sum(len(key) + len(e.value) + ENTRY_BYTES for key, e in snapshot.raw.entries.items()))


def settling(quick: bool) -> list[Slope]:
    members = MEMBERS_QUICK if quick else MEMBERS
    products = PRODUCTS_QUICK if quick else PRODUCTS
    snapshots = [snapshot_of(n) for n in members]
    by_members = Series("settling", f"members with {ROUTES_PER_SERVICE} products each", members, size.SERVERS)
    responses = [response_bytes(snapshot) for snapshot in snapshots]
    by_members.add("answer", "one read of all members, bytes", "bytes", responses, RESPONSE_BYTES)
    count_seconds = [cpu_s(partial(count_votes, snapshot), 2) for snapshot in snapshots]
    by_members.add("count", "counting the votes once, s", PROCESS_TIME, count_seconds, COUNT_S)
    status_bytes = [float(len(encode(status_of(n)))) for n in products]
    by_products = Series("settling", "products", products, size.ROUTES)
    by_products.add("live", "what one member tells of itself, bytes", "bytes", status_bytes, REQUEST_BYTES)
    return [*by_members.slopes, *by_products.slopes]


def _product_names(products: int) -> tuple[str, ...]:
    return tuple(f"route-{n}" for n in range(products))
