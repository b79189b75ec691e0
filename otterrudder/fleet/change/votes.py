"""How the votes on the open change stand."""

from dataclasses import dataclass

from otterrudder.fleet.records import FleetSnapshot, Keys


@dataclass(frozen=True, slots=True)
class VoteCount:
    """The members on the roster, by their votes."""

    accepted: tuple[str, ...]
    rejections: tuple[tuple[str, str], ...]  # name and reason
    pending: tuple[str, ...]  # their votes are waited for
    left_out: tuple[str, ...]  # by their own rule: their leases have lapsed


def coordination_keys(keys: Keys) -> tuple[str, ...]:
    """What a coordinator and an operator read."""
    return (keys.head, keys.joined, keys.rosters, keys.statuses, keys.votes, keys.queue)


def count_votes(snapshot: FleetSnapshot) -> VoteCount:
    """Who of the roster has voted, and who need not."""
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
