"""`otterrudder fleet`: shows the members and status of a fleet, and removes members.

policy.py has the commands for its policy, relay.py those for its relays. Exit codes: 0 success, 2 bad input,
3 aborted or rejected, 4 undecided."""

import json
import sys
import time
from datetime import UTC, datetime
from typing import Any

import click

from otterrudder.cli.common import exit_bad_input
from otterrudder.cli.fleet_store import (
    ABORTED,
    FLEET_OPTION,
    JSON_OPTION,
    MAX_COMMIT_ATTEMPTS,
    UNDECIDED,
    CommandStore,
    conditions_text,
    exit_with,
    read_snapshot,
    run_with_store,
)
from otterrudder.cli.policy import policy
from otterrudder.cli.relay import relay
from otterrudder.fleet.change import ChangeRejectedError, count_votes, remove_member, trial_metrics
from otterrudder.fleet.records import FleetSnapshot
from otterrudder.net import control

LIVE_INTERVAL_S = 1.0  # interval between updates of `status --live`

JsonObject = dict[str, Any]


@click.group()
def fleet() -> None:
    """Show and change the members of a fleet of servers, and its policy."""


fleet.add_command(policy)
fleet.add_command(relay)


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.option("--live", is_flag=True, help="Update every second until interrupted.")
@click.option("--here", metavar="NAME", help="Query the server NAME on this machine instead of the store.")
def status(file: str, as_json: bool, live: bool, here: str | None) -> None:
    """Show members, cells with their leaders, versions, votes, and the pending votes of an open change."""
    if here:
        _show_server_status(here)
        return
    while True:
        report = _status_report(read_snapshot(file))
        if live and sys.stdout.isatty():
            click.clear()
        click.echo(json.dumps(report, indent=1) if as_json else "\n".join(_status_lines(report)))
        if not live:
            return
        time.sleep(LIVE_INTERVAL_S)


def _show_server_status(name: str) -> None:
    try:
        response = control.query(name, "fleet")
    except (OSError, ValueError) as error:
        exit_bad_input(f"no server answers at {control.socket_path(name)}: {error}")
    click.echo(json.dumps(response.get("fleet", response), indent=1))


def _status_report(snapshot: FleetSnapshot) -> JsonObject:
    """Returns the output of `status --json`. Scripts depend on its keys."""
    return dict(
        fleet=snapshot.keys.fleet,
        store_id=f"{snapshot.raw.cluster:x}",
        revision=snapshot.raw.revision,
        policy=_policy_report(snapshot),
        change=_change_report(snapshot),
        waiting=len(snapshot.queue),
        trial=_trial_report(snapshot),
        members=[_member_report(snapshot, name) for name in sorted(snapshot.rosters)],
        strangers=sorted(set(snapshot.statuses) - set(snapshot.rosters)),
    )


def _policy_report(snapshot: FleetSnapshot) -> JsonObject | None:
    head = snapshot.policy
    if not head:
        return None
    return dict(
        version=head.version,
        digest=head.digest,
        author=head.author,
        note=head.note,
        at=_time_text(head.proposed_at_ms),
    )


def _change_report(snapshot: FleetSnapshot) -> JsonObject | None:
    change = snapshot.change
    if not change:
        return None
    count = count_votes(snapshot)
    return dict(
        id=change.id,
        version=change.version,
        author=change.author,
        note=change.note,
        owed=list(count.pending),
        left_out=list(count.left_out),
        noes=[f"{name}: {reason}" for name, reason in count.rejections],
    )


def _trial_report(snapshot: FleetSnapshot) -> JsonObject | None:
    trial = snapshot.trial
    if not trial:
        return None
    metrics = trial_metrics(snapshot, trial)
    return dict(
        conditions=conditions_text(trial.conditions),
        now=", ".join(f"{fact} {value:.3g}" for fact, value in metrics.items()) or "not known yet",
    )


def _member_report(snapshot: FleetSnapshot, name: str) -> JsonObject:
    member = snapshot.statuses.get(name)
    vote = snapshot.votes.get(name)
    vote_text = None
    if vote is not None:
        vote_text = "yes" if vote.accepted else f"no: {vote.reason}"
    return dict(
        name=name,
        alive=member is not None,
        state=member.state if member else "down or cut off",
        version=member.version if member else None,
        zone=member.zone if member else "",
        program=member.program if member else "",
        relay=member.relay if member else "",
        absent=snapshot.rosters[name].absent,
        vote=vote_text,
    )


def _status_lines(report: JsonObject) -> list[str]:
    """Returns the lines of the report for operators."""
    lines = [f"{report['fleet']}, on the store {report['store_id']}: {_policy_text(report['policy'])}"]
    if trial := report["trial"]:
        lines.append(f"on trial: rolls back if {trial['conditions']}; now {trial['now']}")
    if change := report["change"]:
        pending = (
            f", waits for votes of {', '.join(change['owed'])}" if change["owed"] else ", all have voted"
        )
        lines.append(f"open: version {change['version']} by {change['author'] or 'unnamed'}{pending}")
    if report["waiting"]:
        lines.append(f"waiting: {report['waiting']}, see fleet policy queue")
    width = max([len(member["name"]) for member in report["members"]], default=4)
    return lines + [_member_line(member, width) for member in report["members"]]


def _policy_text(policy_report: JsonObject | None) -> str:
    if not policy_report:
        return "no policy yet: each server uses its own files"
    author = policy_report["author"] or "unnamed"
    note = policy_report["note"] or "no note"
    return f"version {policy_report['version']} in force since {policy_report['at']} ({author}: {note})"


def _member_line(member: JsonObject, width: int) -> str:
    version = "-" if member["version"] is None else str(member["version"])
    line = f"  {member['name']:{width}}  {version:>4}  {member['state']}"
    if member["zone"]:
        line += f"  {member['zone']}"
    if member["relay"]:
        line += f"  cell, led by {member['relay']}"
    if member["vote"]:
        line += f"  {member['vote']}"
    return line


def _time_text(unix_ms: float) -> str:
    if not unix_ms:
        return "-"
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


@fleet.command()
@FLEET_OPTION
@click.argument("name")
def gone(file: str, name: str) -> None:
    """Remove the server or cell NAME permanently, so that changes no longer wait for its vote.

    The state directory of a removed server must never be used again, and no relay of a removed cell may lead.
    A server or cell that returns joins as a new member, with the policy then in force."""
    run_with_store(file, lambda store: _remove_member(store, name))


async def _remove_member(store: CommandStore, name: str) -> None:
    for _ in range(MAX_COMMIT_ATTEMPTS):
        try:
            commit = remove_member(await store.read(), name)
        except ChangeRejectedError as error:
            exit_with(ABORTED, error)
        result = await store.commit(commit)
        if result and result.succeeded or name not in (await store.read()).rosters:
            click.echo(f"{name} was removed from the roster")
            return
    exit_with(UNDECIDED, f"{name} is still on the roster, which changed at the same time; try again")
