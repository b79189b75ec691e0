"""Checks the fleet's guarantees about versions in force against the history of writes to the store, and
against nothing else."""

from collections.abc import Mapping
from typing import NamedTuple

from otterrudder.fleet.records import FleetSnapshot, PolicyHead


class CommittedVersion(NamedTuple):
    """A version that came into force: its change, and the time of the commit in ms."""

    change: str
    at: float


def commit_violation(
    head: PolicyHead, before: FleetSnapshot, committed: Mapping[int, CommittedVersion]
) -> str:
    """Returns why this version must not be in force, or "" if it may be.

    Each member must have accepted it, or must be absent and have the rule to be left out. `before` is the
    state of the store before the commit."""
    if head.version in committed:
        return f"version {head.version} was committed twice"
    if not before.change or before.change.id != head.change:
        return f"version {head.version} was committed, but its change was not open"
    for name, roster in before.rosters.items():
        vote = before.votes.get(name)
        if vote and not vote.accepted:
            return f"version {head.version} was committed despite the rejection by {name}"
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
    """Returns why a process must not admit under this version now, or "" if it may.

    `change` is the change from which the process takes the version. `started` and `now` are in ms."""
    if version and version not in committed:
        return "the version was never committed"
    if version and committed[version].change != change:
        return f"the version was committed by another change than {change}"
    if version + 1 not in committed:
        return ""
    newer = committed[version + 1]
    if started > newer.at:
        return f"{newer.change} was committed before the process started"
    if now - newer.at > bound_ms:
        return f"{newer.change} has been in force for {(now - newer.at) / 1000:g} s"
    return ""
