"""The commits that a member sends: its registration, its vote, its status. Pure.

Each compares what makes it void if it arrives late: a registration, that no status key is there; a vote, the
creation of the change and of the member's registration."""

from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import Keys, MemberStatus, RosterEntry, Vote, encode
from otterrudder.fleet.state import ObservedState, OpenChange
from otterrudder.fleet.store import Compare, Put


def register(
    keys: Keys, name: str, status: MemberStatus, roster: RosterEntry, observed: ObservedState, lease: int
) -> Commit:
    """Makes the status key, which depends on `lease`, and the roster's entry if it is not there as it should
    be."""
    compares = (
        Compare(keys.status(name), "created", 0),
        Compare(keys.roster(name), "modified", observed.roster_modified),
    )
    writes = [
        Put(keys.status(name), encode(status), lease),
        # Whoever has counted the votes without this member has to count anew. The change itself is not
        # touched: all members watch it, and a zone that comes back would have all read for each.
        Put(keys.joined, name.encode()),
    ]
    if observed.roster != roster:
        writes.append(Put(keys.roster(name), encode(roster)))
    return Commit("register", compares, tuple(writes))


def vote(keys: Keys, name: str, change: OpenChange, registered: int, ballot: Vote) -> Commit:
    """`registered`: the revision that made the status key of the process that votes."""
    compares = (
        Compare(keys.change, "created", change.created),
        Compare(keys.status(name), "created", registered),
        Compare(keys.vote(name), "created", 0),
    )
    return Commit("vote", compares, (Put(keys.vote(name), encode(ballot)),))


def report_status(keys: Keys, name: str, status: MemberStatus, registered: int, lease: int) -> Commit:
    """Writes the status of the process that made its key at the revision `registered`."""
    key = keys.status(name)
    compares = (Compare(key, "created", registered),)
    return Commit("tell", compares, (Put(key, encode(status), lease),), Lane.REPORT_STATUS)
