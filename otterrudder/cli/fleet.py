"""fleet: who is of it; its relays, and by `policy.py` the policy in force.

Exit codes: 0 as asked, 2 bad input, 3 aborted or refused, 4 undecided, with what is still owed."""

import json
import sys
import time
from datetime import UTC, datetime
from typing import Any

import click

from otterrudder.cli.common import give_up
from otterrudder.cli.fleet_store import (
    ABORTED,
    AS_JSON,
    FILE,
    TRIES_MOST,
    UNDECIDED,
    Store,
    end_with,
    in_words,
    with_store,
)
from otterrudder.cli.policy import policy
from otterrudder.cli.relay import relay
from otterrudder.fleet.change import ChangeRejectedError, count_votes, remove_member, trial_metrics
from otterrudder.fleet.records import FleetSnapshot
from otterrudder.net import control

WATCH_S = 1.0  # s between looks of `status --live`


@click.group()
def fleet() -> None:
    """A fleet of servers: who is of it, and the one policy in force."""


fleet.add_command(policy)
fleet.add_command(relay)


@fleet.command()
@FILE
@AS_JSON
@click.option("--live", is_flag=True, help="Look again each second until interrupted.")
@click.option("--here", metavar="NAME", help="Ask the server NAME on this machine instead of the store.")
def status(file: str, as_json: bool, live: bool, here: str | None) -> None:
    """Members, cells with the relay that leads each, versions, votes, and who an open change waits for."""
    if here:
        try:
            told = control.query(here, "fleet")
        except (OSError, ValueError) as why:
            give_up(f"no server answers at {control.socket_path(here)}: {why}")
        click.echo(json.dumps(told.get("fleet", told), indent=1))
        return
    while True:
        told = _status(with_store(file, lambda store: store.view()))
        if live and sys.stdout.isatty():
            click.clear()
        click.echo(json.dumps(told, indent=1) if as_json else "\n".join(_lines(told)))
        if not live:
            return
        time.sleep(WATCH_S)


def _status(view: FleetSnapshot) -> dict[str, Any]:
    """What the store knows, as plain values."""
    head, change, lives, votes = view.policy, view.change, view.statuses, view.votes
    told = count_votes(view) if change else None
    members = []
    for name, roster in sorted(view.rosters.items()):
        live, vote = lives.get(name), votes.get(name)
        members.append(
            dict(
                name=name,
                alive=live is not None,
                state=live.state if live else "down or cut off",
                version=live.version if live else None,
                zone=live.zone if live else "",
                program=live.program if live else "",
                relay=live.relay if live else "",
                absent=roster.absent,
                vote=None if vote is None else "yes" if vote.accepted else f"no: {vote.reason}",
            )
        )
    return dict(
        fleet=view.keys.fleet,
        store_id=f"{view.raw.cluster:x}",
        revision=view.raw.revision,
        policy=dict(
            version=head.version,
            digest=head.digest,
            author=head.author,
            note=head.note,
            at=_when(head.proposed_at_ms),
        )
        if head
        else None,
        change=dict(
            id=change.id,
            version=change.version,
            author=change.author,
            note=change.note,
            owed=list(told.pending),
            left_out=list(told.left_out),
            noes=[f"{name}: {why}" for name, why in told.rejections],
        )
        if change and told
        else None,
        waiting=len(view.queue),
        trial=_trial(view),
        members=members,
        strangers=sorted(set(lives) - set(view.rosters)),
    )


def _trial(view: FleetSnapshot) -> dict[str, str] | None:
    trial = view.trial
    if not trial:
        return None
    now = trial_metrics(view, trial)
    return dict(
        conditions=in_words(trial.conditions),
        now=", ".join(f"{fact} {value:.3g}" for fact, value in now.items()) or "not known yet",
    )


def _lines(told: dict[str, Any]) -> list[str]:
    policy, change = told["policy"], told["change"]
    in_force = (
        f"version {policy['version']} in force since {policy['at']} "
        f"({policy['author'] or 'unnamed'}: {policy['note'] or 'no note'})"
        if policy
        else "no policy yet: each server goes by its own files"
    )
    lines = [f"{told['fleet']}, on the store {told['store_id']}: {in_force}"]
    if told["trial"]:
        trial = told["trial"]
        lines.append(f"on trial: goes back if {trial['conditions']}; now {trial['now']}")
    if change:
        waits = f", waits for {', '.join(change['owed'])}" if change["owed"] else ", all have voted"
        lines.append(f"open: version {change['version']} by {change['author'] or 'unnamed'}{waits}")
    if told["waiting"]:
        lines.append(f"waiting: {told['waiting']}, see fleet policy queue")
    wide = max([len(member["name"]) for member in told["members"]], default=4)
    for member in told["members"]:
        version = "-" if member["version"] is None else str(member["version"])
        vote = f"  {member['vote']}" if member["vote"] else ""
        lines.append(
            f"  {member['name']:{wide}}  {version:>4}  {member['state']}"
            f"{'  ' + member['zone'] if member['zone'] else ''}"
            f"{'  cell, led by ' + member['relay'] if member['relay'] else ''}{vote}"
        )
    return lines


def _when(at: float) -> str:
    return datetime.fromtimestamp(at / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ") if at else "-"


@fleet.command()
@FILE
@click.argument("name")
def gone(file: str, name: str) -> None:
    """Say that the server or cell NAME is gone for good: no change waits for it any more.

    Its folder must never serve again, nor any relay of the cell lead. One that comes back joins anew, with
    what is in force then."""

    async def act(store: Store) -> None:
        for _ in range(TRIES_MOST):
            try:
                commit = remove_member(await store.view(), name)
            except ChangeRejectedError as why:
                end_with(ABORTED, why)
            done = await store.commit(commit)
            if done and done.succeeded or name not in (await store.view()).rosters:
                click.echo(f"{name} is off the roster")
                return
        end_with(UNDECIDED, f"{name} is still on the roster: it changes under way, try again")

    with_store(file, act)
