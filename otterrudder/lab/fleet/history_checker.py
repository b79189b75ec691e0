"""Checks the fleet's promises about a version in force against the history of the store's writes, and nothing
else."""

from collections.abc import Mapping
from typing import NamedTuple

from otterrudder.fleet.records import FleetSnapshot, PolicyHead


class CommittedVersion(NamedTuple):
    """A version that came into force: by which change, and when."""

    change: str
    at: float


def commit_violation(
    head: PolicyHead, before: FleetSnapshot, committed: Mapping[int, CommittedVersion]
) -> str:
    """Why this version must not be in force, "" if it may be: all must have said yes to it, or been left out
    by their own rule."""
    if head.version in committed:
        return f"version {head.version} was committed twice"
    if not before.change or before.change.id != head.change:
        return f"version {head.version} was committed and is not the change that was open"
    for name, roster in before.rosters.items():
        vote = before.votes.get(name)
        if vote and not vote.accepted:
            return f"version {head.version} was committed against the rejection of {name}"
        if not vote and (roster.absent == "wait" or name in before.statuses):
            return f"version {head.version} was committed without the vote of {name}"
    return ""


def admission_violation(
    version: int,
    change: str,
    started: float,
    now: float,
    bound_ms: float,
    committed: Mapping[int, CommittedVersion],
) -> str:
    """Why who started then must not admit under that version now, "" if it may. `change`: that it takes the
    version for."""
    if version and version not in committed:
        return "it was never committed"
    if version and committed[version].change != change:
        return f"it is not what was committed, but {change}"
    if version + 1 not in committed:
        return ""
    newer = committed[version + 1]
    if started > newer.at:
        return f"{newer.change} was committed before it started"
    if now - newer.at > bound_ms:
        return f"{newer.change} has been in force for {(now - newer.at) / 1000:g} s"
    return ""
