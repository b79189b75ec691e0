"""The commits that a member sends: its registration, its vote, what it tells of itself. Pure.

Each compares what makes it void if it arrives late: a registration that no live key is there, a vote the
creation of the change and of the member's registration."""

from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import Keys, Live, Roster, Vote, encode
from otterrudder.fleet.state import Open, Seen
from otterrudder.fleet.store import Compare, Put


def register(keys: Keys, name: str, live: Live, roster: Roster, seen: Seen, lease: int) -> Commit:
    """Makes the live key, which hangs on `lease`, and the roster's entry if it is not there as it should
    be."""
    compares = (
        Compare(keys.live(name), "created", 0),
        Compare(keys.roster(name), "modified", seen.roster_modified),
    )
    writes = [
        Put(keys.live(name), encode(live), lease),
        # Who has counted the votes without this member has to count anew. The change itself is not touched:
        # it is watched by all, and a zone that comes back would have all read for each.
        Put(keys.joined, name.encode()),
    ]
    if seen.roster != roster:
        writes.append(Put(keys.roster(name), encode(roster)))
    return Commit("register", compares, tuple(writes))


def vote(keys: Keys, name: str, change: Open, registered: int, ballot: Vote) -> Commit:
    """`registered`: the revision that made the live key of the life that votes."""
    compares = (
        Compare(keys.change, "created", change.created),
        Compare(keys.live(name), "created", registered),
        Compare(keys.vote(name), "created", 0),
    )
    return Commit("vote", compares, (Put(keys.vote(name), encode(ballot)),))


def tell(keys: Keys, name: str, live: Live, registered: int, lease: int) -> Commit:
    key = keys.live(name)
    compares = (Compare(key, "created", registered),)
    return Commit("tell", compares, (Put(key, encode(live), lease),), Lane.TELL)
