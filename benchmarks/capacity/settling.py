"""What whoever settles a change reads and counts, and `fleet status` shows: all members at once."""

from functools import partial

from benchmarks.capacity import size
from benchmarks.capacity.limits import ANSWER_BYTES, COUNT_S, REQUEST_BYTES
from benchmarks.capacity.measure import PROCESS_TIME, cpu_s
from benchmarks.capacity.slope import Series, Slope
from otterrudder.fleet.change import count_votes
from otterrudder.fleet.records import Change, FleetSnapshot, Keys, MemberStatus, RosterEntry, Vote, encode
from otterrudder.fleet.store import Entry, Snapshot

MEMBERS = (100, 400, 1_600, size.SERVERS)
MEMBERS_QUICK = (5, 10, 20, 40)
PRODUCTS = (100, 1_000, 10_000, 100_000)
PRODUCTS_QUICK = (10, 20, 40, 80)
OWN_ROUTES = round(size.ROUTES / size.SERVICES)  # of one service: the mean
ENTRY_BYTES = 24  # of an entry beside key and value: revisions, lease and their marks on the wire
KEYS = Keys("capacity")


def live_of(products: int) -> MemberStatus:
    """What a member tells of itself: it names each product that it serves."""
    return MemberStatus("0123456789abcdef", "0.3.0", "zone-1", 7, "0" * 32, "SERVING", _names(products))


def view_of(members: int) -> FleetSnapshot:
    """All on the roster and alive, and all have voted."""
    change = Change("change", 8, "0" * 32, "author")
    entries = {KEYS.change: Entry(encode(change), 1, 1)}
    status = encode(live_of(OWN_ROUTES))
    for n in range(members):
        name = f"n{n:05}"
        entries[KEYS.roster(name)] = Entry(encode(RosterEntry("0123456789abcdef", "wait")), 1, 1)
        entries[KEYS.status(name)] = Entry(status, 1, 1, 1)
        entries[KEYS.vote(name)] = Entry(encode(Vote(True, "", "0123456789abcdef")), 1, 1)
    return FleetSnapshot(KEYS, Snapshot(1, 1, entries))


def answer_bytes(view: FleetSnapshot) -> float:
    """Of the store's answer, without what the transport adds."""
    return float(sum(len(key) + len(e.value) + ENTRY_BYTES for key, e in view.raw.entries.items()))


def settling(quick: bool) -> list[Slope]:
    members = MEMBERS_QUICK if quick else MEMBERS
    products = PRODUCTS_QUICK if quick else PRODUCTS
    views = [view_of(n) for n in members]
    by_members = Series("settling", f"members with {OWN_ROUTES} products each", members, size.SERVERS)
    answer = [answer_bytes(view) for view in views]
    by_members.add("answer", "one read of all members, bytes", "bytes", answer, ANSWER_BYTES)
    counts = [cpu_s(partial(count_votes, view), 2) for view in views]
    by_members.add("count", "counting the votes once, s", PROCESS_TIME, counts, COUNT_S)
    lives = [float(len(encode(live_of(n)))) for n in products]
    by_products = Series("settling", "products", products, size.ROUTES)
    by_products.add("live", "what one member tells of itself, bytes", "bytes", lives, REQUEST_BYTES)
    return [*by_members.slopes, *by_products.slopes]


def _names(products: int) -> tuple[str, ...]:
    return tuple(f"route-{n}" for n in range(products))
