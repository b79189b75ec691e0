"""Counts the votes on the open change."""

from dataclasses import dataclass

from otterrudder.fleet.records import FleetSnapshot, Keys


@dataclass(frozen=True, slots=True)
class VoteCount:
    """The names of the members on the roster, grouped by their votes."""

    accepted: tuple[str, ...]
    rejections: tuple[tuple[str, str], ...]  # pairs of a name and a reason
    pending: tuple[str, ...]  # members that have not voted and whose votes are needed
    left_out: tuple[str, ...]  # members under "leave-out" whose leases have expired, so they need not vote


def coordination_keys(keys: Keys) -> tuple[str, ...]:
    """Returns the keys that a coordinator or an operator's command reads."""
    return (keys.head, keys.joined, keys.rosters, keys.statuses, keys.votes, keys.queue)


def count_votes(snapshot: FleetSnapshot) -> VoteCount:
    """Counts the votes of all members on the roster."""
    votes, statuses = snapshot.votes, snapshot.statuses
    accepted: list[str] = []
    rejections: list[tuple[str, str]] = []
    pending: list[str] = []
    left_out: list[str] = []
    for name, roster in snapshot.rosters.items():
        vote = votes.get(name)
        if vote and vote.accepted:
            accepted.append(name)
        elif vote:
            rejections.append((name, vote.reason))
        elif roster.absent == "leave-out" and name not in statuses:
            left_out.append(name)
        else:
            pending.append(name)
    return VoteCount(tuple(accepted), tuple(rejections), tuple(pending), tuple(left_out))
