"""`otterrudder fleet policy`: shows, changes and rolls back the policy of a fleet.

Exit codes: 0 success, 2 bad input, 3 aborted or rejected, 4 undecided."""

import contextlib
import difflib
import json
import os
import secrets
import sys
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

import click

from otterrudder.cli.common import exit_bad_input, names_used_in, tables_under
from otterrudder.cli.fleet_change import ChangeRequest, propose_and_follow, queue_and_follow
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
from otterrudder.configuration import CONFIGURATION_VARIABLE, ConfigurationError, read_configuration
from otterrudder.fleet.change import ChangeRejectedError, find_change, withdraw
from otterrudder.fleet.policy import InvalidPolicyError, LocalConfiguration, local_configuration_of, parse
from otterrudder.fleet.queue import QueueRejectedError, queue_position, withdraw_queued
from otterrudder.fleet.records import (
    Change,
    FinishedChange,
    FleetSnapshot,
    QueuedChange,
    digest_of,
    stored_fields,
)
from otterrudder.levels.facts import FACTS

CHANGE_ID_BYTES = 8  # length of a random change id
FollowChange = Callable[[CommandStore, ChangeRequest], Coroutine[Any, Any, FinishedChange]]


class NamedPolicy(NamedTuple):
    """A committed policy."""

    name: str  # "version N"
    text: str


AUTHOR_OPTION = click.option(
    "--author", default=lambda: os.environ.get("USER", ""), help="The author of the change."
)
NOTE_OPTION = click.option("--note", default="", help="The reason for the change, kept in the history.")
DEADLINE_OPTION = click.option(
    "--deadline",
    "deadline_s",
    type=click.FloatRange(1, 3600),
    default=30.0,
    show_default=True,
    help="Seconds until a change that still waits for votes is aborted.",
)


@click.group()
def policy() -> None:
    """Show, change and roll back the policy of the fleet."""


@policy.command()
@click.argument("policy_file", type=click.Path(path_type=Path))
def check(policy_file: Path) -> None:
    """Check POLICY_FILE, and also its products if NODE_CONFIG is set."""
    _check_policy(_read_text(policy_file), policy_file)
    click.echo(f"{policy_file}: valid")


@policy.command()
@FLEET_OPTION
@click.option(
    "--version", "version", type=int, help="Print this version, one of the last that were committed."
)
def show(file: str, version: int | None) -> None:
    """Print the policy in force, or an earlier one."""
    click.echo(_committed_policy(file, version).text, nl=False)


@policy.command()
@FLEET_OPTION
@click.argument("policy_file", type=click.Path(path_type=Path))
def diff(file: str, policy_file: Path) -> None:
    """Show the difference between the policy in force and POLICY_FILE. Exits with 1 if they differ."""
    present = _committed_policy(file, None, text_if_none="")
    lines = list(
        difflib.unified_diff(
            present.text.splitlines(True),
            _read_text(policy_file).splitlines(True),
            present.name,
            str(policy_file),
        )
    )
    click.echo("".join(lines), nl=False)
    sys.exit(1 if lines else 0)


@policy.command()
@FLEET_OPTION
@JSON_OPTION
def history(file: str, as_json: bool) -> None:
    """Show the outcomes of the last changes, the newest last."""
    changes = read_snapshot(file).finished
    if as_json:
        click.echo(json.dumps([stored_fields(change) for change in changes], indent=1))
        return
    for change in changes:
        result = "in force" if change.committed else f"aborted: {change.reason}"
        left_out = f", without {', '.join(change.left_out)}" if change.left_out else ""
        click.echo(
            f"{change.version:4}  {change.author or 'unnamed'}: {change.note or 'no note'}  "
            f"{result}{left_out}"
        )


@policy.command()
@FLEET_OPTION
@click.argument("policy_file", type=click.Path(path_type=Path))
@click.option("--trial", "trial_s", type=click.FloatRange(1, 86_400), help="Duration of a trial, in seconds.")
@click.option(
    "--if",
    "conditions",
    multiple=True,
    metavar="'FIGURE > NUMBER'",
    help="Roll back if the mean over the fleet exceeds NUMBER during the trial. May be repeated.",
)
@AUTHOR_OPTION
@NOTE_OPTION
@DEADLINE_OPTION
@click.option("--first", is_flag=True, help="Apply the policy even if the fleet has no members yet.")
@click.option("--queue", "queued", is_flag=True, help="Wait in the queue if another change is open.")
@click.option(
    "--base",
    "base_version",
    type=int,
    metavar="VERSION",
    help="With --queue: abort if another version is in force when the change is opened.",
)
def apply(
    file: str,
    policy_file: Path,
    trial_s: float | None,
    conditions: tuple[str, ...],
    author: str,
    note: str,
    deadline_s: float,
    first: bool,
    queued: bool,
    base_version: int | None,
) -> None:
    """Apply POLICY_FILE on all servers or on none.

    Prints votes as they arrive. If the command is interrupted, the change continues; `fleet status` shows it.
    During a trial the servers report their figures, and all servers roll back if a figure is too high, even
    if some servers have failed. With --queue the change waits for the open change and for those queued before
    it. Its deadline starts when it is opened, and it stays in the queue if the command is interrupted."""
    if (trial_s is None) != (not conditions):
        exit_bad_input("--trial and --if must be used together")
    if base_version is not None and not queued:
        exit_bad_input("--base requires --queue")
    text = _read_text(policy_file)
    _check_policy(text, policy_file)
    base = "" if base_version is None else digest_of(_committed_policy(file, base_version).text)
    request = ChangeRequest(
        _new_change_id(),
        text,
        author,
        note,
        deadline_s * 1000,
        (trial_s or 0.0) * 1000,
        _parse_conditions(conditions),
        first,
        base,
    )
    _make_change(file, request, queue_and_follow if queued else propose_and_follow)


@policy.command()
@FLEET_OPTION
@click.option("--to", "version", type=int, help="The version. Default: the one before the one in force.")
@AUTHOR_OPTION
@NOTE_OPTION
@DEADLINE_OPTION
def back(file: str, version: int | None, author: str, note: str, deadline_s: float) -> None:
    """Roll back to an earlier policy, by a change with a new version number."""
    if version is None:
        committed = [change.version for change in read_snapshot(file).finished if change.committed]
        if len(committed) < 2:
            exit_with(ABORTED, "there is no earlier policy to roll back to")
        version = committed[-2]
    text = _committed_policy(file, version).text
    note = note or f"back to version {version}"
    _make_change(
        file, ChangeRequest(_new_change_id(), text, author, note, deadline_s * 1000), propose_and_follow
    )


def _new_change_id() -> str:
    return secrets.token_hex(CHANGE_ID_BYTES)


def _parse_conditions(texts: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """Parses the conditions of a trial, which have the form `given_up > 0.05`."""
    conditions = []
    for text in texts:
        fact, _, threshold = (part.strip() for part in text.partition(">"))
        try:
            conditions.append((fact, float(threshold)))
        except ValueError:
            exit_bad_input(f"--if {text!r}: the form is FIGURE > NUMBER")
        if fact not in FACTS:
            exit_bad_input(f"--if {text!r}: unknown figure; the figures are {', '.join(FACTS)}")
    return tuple(conditions)


def _make_change(file: str, request: ChangeRequest, follow_change: FollowChange) -> None:
    """Makes a change and prints its outcome. Exits with ABORTED if it was not committed."""
    change = run_with_store(file, lambda store: follow_change(store, request))
    if not change.committed:
        exit_with(ABORTED, f"aborted, nothing has changed: {change.reason}")
    left_out = ""
    if change.left_out:
        left_out = f", without {', '.join(change.left_out)}: suspended until they receive it"
    click.echo(f"version {change.version} is in force{left_out}")
    if request.trial_ms:
        conditions = conditions_text(request.conditions)
        seconds = request.trial_ms / 1000
        click.echo(f"on trial for {seconds:g} s: the fleet rolls back automatically if {conditions}")


@policy.command("queue")
@FLEET_OPTION
@JSON_OPTION
def queue_command(file: str, as_json: bool) -> None:
    """Show the open change and the queued changes in order."""
    snapshot = read_snapshot(file)
    opened: list[Change] = [snapshot.change] if snapshot.change else []
    if as_json:
        waiting = [dict(id=entry.id, author=entry.author, note=entry.note) for entry in snapshot.queue]
        click.echo(json.dumps(dict(open=[change.id for change in opened], waiting=waiting), indent=1))
        return
    entries: list[Change | QueuedChange] = [*opened, *snapshot.queue]
    for number, entry in enumerate(entries, 1 - len(opened)):
        position = str(number) if number else "open"
        click.echo(f"{position:>4}  {entry.id}  {entry.author or 'unnamed'}: {entry.note or 'no note'}")


@policy.command("withdraw")
@FLEET_OPTION
@click.argument("change_id", metavar="IDENT")
def withdraw_command(file: str, change_id: str) -> None:
    """Withdraw the open or queued change IDENT (`fleet policy queue` shows the idents)."""
    run_with_store(file, lambda store: _withdraw(store, change_id))


async def _withdraw(store: CommandStore, change_id: str) -> None:
    snapshot = await _withdraw_from_queue(store, change_id)
    if not _has_ended_unopened(snapshot, change_id):
        try:
            await store.commit(withdraw(snapshot, change_id, "withdrawn"))
        except ChangeRejectedError as error:
            exit_with(ABORTED, error)
    change = find_change(await store.read(), change_id)
    if not isinstance(change, FinishedChange):
        exit_with(UNDECIDED, "the change is still open")
    if change.committed:
        exit_with(ABORTED, f"too late: version {change.version} is in force")
    click.echo("withdrawn: nothing has changed")


async def _withdraw_from_queue(store: CommandStore, change_id: str) -> FleetSnapshot:
    """Withdraws a queued change. Returns a snapshot in which it is no longer queued, or is the next one."""
    for _ in range(MAX_COMMIT_ATTEMPTS):
        snapshot = await store.read()
        if not queue_position(snapshot, change_id):
            return snapshot
        with contextlib.suppress(QueueRejectedError):
            await store.commit(withdraw_queued(snapshot, change_id))
    return exit_with(UNDECIDED, "the change is still queued")


def _has_ended_unopened(snapshot: FleetSnapshot, change_id: str) -> bool:
    """Whether the change left the queue without being opened."""
    change = find_change(snapshot, change_id)
    return isinstance(change, FinishedChange) and not change.version


def _committed_policy(file: str, version: int | None, text_if_none: str | None = None) -> NamedPolicy:
    """Returns the policy in force, or an earlier one. `text_if_none` is returned if there was never one."""
    return run_with_store(file, lambda store: _read_policy(store, version, text_if_none))


async def _read_policy(store: CommandStore, version: int | None, text_if_none: str | None) -> NamedPolicy:
    snapshot = await store.read()
    head = snapshot.policy
    digests = {change.version: change.digest for change in snapshot.finished if change.committed}
    if head:
        digests[head.version] = head.digest
    if version is None:
        version = head.version if head else 0
    if version not in digests:
        if text_if_none is not None and not head:
            return NamedPolicy("no policy", text_if_none)
        known = ", ".join(map(str, sorted(digests))) or "none"
        exit_with(ABORTED, f"there is no version {version}; known versions: {known}")
    digest = digests[version]
    text = (await store.read(store.keys.text(digest))).text(digest)
    if text is None:
        exit_with(ABORTED, f"the text of version {version} is not in the store")
    return NamedPolicy(f"version {version}", text)


def _read_text(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_bad_input(f"cannot read {path}: {error}")


def _check_policy(text: str, path: Path) -> None:
    """Checks a policy against the configuration that NODE_CONFIG names.

    Without NODE_CONFIG, all products and tenants that the policy names are accepted."""
    try:
        if config := os.environ.get(CONFIGURATION_VARIABLE):
            local = local_configuration_of(read_configuration(config).settings)
        else:
            local = LocalConfiguration(*names_used_in(_tables_with_names(tomllib.loads(text))))
        parse(text, local)
    except (InvalidPolicyError, ConfigurationError, ValueError) as error:
        exit_bad_input(f"{path.name}: {error}")


def _tables_with_names(values: dict[str, Any]) -> list[dict[str, object]]:
    """Returns the tables of a policy that name products or tenants: the cuts of levels and its own keys."""
    levels = tables_under(values.get("levels"), "level")
    tables = [cut for level in levels for cut in tables_under(level, "cut")]
    own_keys = [key for key in ("products", "tenants") if isinstance(values.get(key), dict)]
    return tables + [{key: list(values[key])} for key in own_keys]
