"""Builds the commits that a member sends: its registration, its vote and its status. Pure.

Each commit compares whatever would make it invalid if it arrived late: a registration compares that the
status key is absent, and a vote compares the creation revisions of the change and of the member's status
key."""

from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import Keys, MemberStatus, RosterEntry, Vote, encode
from otterrudder.fleet.state import ObservedState, OpenChange
from otterrudder.fleet.store import Compare, Put


def register(
    keys: Keys, name: str, status: MemberStatus, roster: RosterEntry, observed: ObservedState, lease: int
) -> Commit:
    """Creates the status key, attached to `lease`, and writes the roster entry unless it is already
    correct."""
    compares = (
        Compare(keys.status(name), "created", 0),
        Compare(keys.roster(name), "modified", observed.roster_modified),
    )
    writes = [
        Put(keys.status(name), encode(status), lease),
        # Makes a coordinator that counted the votes without this member count again. The change's own key is
        # not written: all members watch it, and when a zone comes back, each registration would make all of
        # them read.
        Put(keys.joined, name.encode()),
    ]
    if observed.roster != roster:
        writes.append(Put(keys.roster(name), encode(roster)))
    return Commit("register", compares, tuple(writes))


def vote(keys: Keys, name: str, change: OpenChange, registered: int, ballot: Vote) -> Commit:
    """Writes the vote. `registered` is the revision that created the status key of the voting process."""
    compares = (
        Compare(keys.change, "created", change.created),
        Compare(keys.status(name), "created", registered),
        Compare(keys.vote(name), "created", 0),
    )
    return Commit("vote", compares, (Put(keys.vote(name), encode(ballot)),))


def report_status(keys: Keys, name: str, status: MemberStatus, registered: int, lease: int) -> Commit:
    """Writes the status of the process whose status key was created at revision `registered`."""
    key = keys.status(name)
    compares = (Compare(key, "created", registered),)
    return Commit("tell", compares, (Put(key, encode(status), lease),), Lane.REPORT_STATUS)
