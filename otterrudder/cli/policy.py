"""fleet policy: the one policy of a fleet looked at, changed, queued or taken back.

Exit codes: 0 as asked, 2 bad input, 3 aborted or refused, 4 undecided, with what is still owed."""

import contextlib
import difflib
import json
import os
import secrets
import sys
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import click

from otterrudder.cli.common import give_up, named_in, tables_in
from otterrudder.cli.fleet_change import Asked, follow, follow_queued
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


@click.group()
def policy() -> None:
    """The one policy of the fleet: look at it, change it, take it back."""


@policy.command()
@click.argument("policy_file", type=click.Path(path_type=Path))
def check(policy_file: Path) -> None:
    """Say what is wrong with POLICY_FILE, if anything; against NODE_CONFIG's products where that is set."""
    _check(_text_of(policy_file), policy_file)
    click.echo(f"{policy_file}: good")


@policy.command()
@FILE
@click.option("--version", "version", type=int, help="An earlier one of the last that were committed.")
def show(file: str, version: int | None) -> None:
    """Print the policy in force, or an earlier one."""
    click.echo(_text(file, version)[1], nl=False)


@policy.command()
@FILE
@click.argument("policy_file", type=click.Path(path_type=Path))
def diff(file: str, policy_file: Path) -> None:
    """What POLICY_FILE would change; exits with 1 if anything."""
    name, before = _text(file, None, "")
    lines = list(
        difflib.unified_diff(
            before.splitlines(True), _text_of(policy_file).splitlines(True), name, str(policy_file)
        )
    )
    click.echo("".join(lines), nl=False)
    sys.exit(1 if lines else 0)


@policy.command()
@FILE
@AS_JSON
def history(file: str, as_json: bool) -> None:
    """How the last changes ended, the newest last."""
    ends = with_store(file, lambda store: store.view()).finished
    if as_json:
        click.echo(json.dumps([stored_fields(end) for end in ends], indent=1))
        return
    for end in ends:
        how = "in force" if end.committed else f"aborted: {end.reason}"
        left = f", without {', '.join(end.left_out)}" if end.left_out else ""
        click.echo(f"{end.version:4}  {end.author or 'unnamed'}: {end.note or 'no note'}  {how}{left}")


_AUTHOR = click.option("--author", default=lambda: os.environ.get("USER", ""), help="Who asks for it.")
_NOTE = click.option("--note", default="", help="Why, for the history.")
_DEADLINE = click.option(
    "--deadline",
    "deadline_s",
    type=click.FloatRange(1, 3600),
    default=30.0,
    show_default=True,
    help="Seconds until a change that waits is given up.",
)


def _conditions(told: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """From `given_up > 0.05`, each."""
    found = []
    for text in told:
        fact, _, bound = (part.strip() for part in text.partition(">"))
        try:
            found.append((fact, float(bound)))
        except ValueError:
            give_up(f"--if {text!r}: wanted is FIGURE > NUMBER")
        if fact not in FACTS:
            give_up(f"--if {text!r}: figures are {', '.join(FACTS)}")
    return tuple(found)


@policy.command()
@FILE
@click.argument("policy_file", type=click.Path(path_type=Path))
@click.option("--trial", "trial_s", type=click.FloatRange(1, 86_400), help="Seconds on trial.")
@click.option(
    "--if",
    "conditions",
    multiple=True,
    metavar="'FIGURE > NUMBER'",
    help="In the mean of the fleet during the trial: it goes back by itself. May be given again.",
)
@_AUTHOR
@_NOTE
@_DEADLINE
@click.option("--first", is_flag=True, help="Also where nobody is of the fleet yet.")
@click.option("--queue", "queued", is_flag=True, help="Wait for the turn instead of being refused.")
@click.option(
    "--base",
    "base_version",
    type=int,
    metavar="VERSION",
    help="With --queue: give up if another version than this one is in force at its turn.",
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
    """Bring POLICY_FILE into force on all servers, or on none.

    Prints each vote as it comes. Interrupted, the change goes on by itself: `fleet status` shows it. On trial
    the servers tell their figures, and go back everywhere where one is too high, whoever is dead by then.
    With --queue it waits behind what is open and what came before; its deadline counts from its turn, and
    interrupted it keeps its place."""
    if (trial_s is None) != (not conditions):
        give_up("--trial and --if go together")
    if base_version is not None and not queued:
        give_up("--base goes with --queue")
    text = _text_of(policy_file)
    _check(text, policy_file)
    base = "" if base_version is None else digest_of(_text(file, base_version)[1])
    ident, trial_ms = secrets.token_hex(8), (trial_s or 0.0) * 1000
    found = _conditions(conditions)
    asked = Asked(ident, text, author, note, deadline_s * 1000, trial_ms, found, first, base)
    _change(file, asked, follow_queued if queued else follow)


@policy.command()
@FILE
@click.option("--to", "version", type=int, help="This version; else the one before the one in force.")
@_AUTHOR
@_NOTE
@_DEADLINE
def back(file: str, version: int | None, author: str, note: str, deadline_s: float) -> None:
    """Go back to an earlier policy: a change like any other, with a new number."""
    if version is None:
        view = with_store(file, lambda store: store.view())
        committed = [end.version for end in view.finished if end.committed]
        if len(committed) < 2:
            end_with(ABORTED, "there is no earlier policy to go back to")
        version = committed[-2]
    text, note = _text(file, version)[1], note or f"back to version {version}"
    _change(file, Asked(secrets.token_hex(8), text, author, note, deadline_s * 1000), follow)


def _change(
    file: str, asked: Asked, follows: Callable[[Store, Asked], Coroutine[Any, Any, FinishedChange]]
) -> None:
    """To the end of it; exits with what became of it."""
    end = with_store(file, lambda store: follows(store, asked))
    if not end.committed:
        end_with(ABORTED, f"aborted, nothing has changed: {end.reason}")
    left = f", without {', '.join(end.left_out)}: aside until they know" if end.left_out else ""
    click.echo(f"version {end.version} is in force{left}")
    if asked.trial_ms:
        when = in_words(asked.conditions)
        click.echo(f"on trial for {asked.trial_ms / 1000:g} s: the fleet goes back by itself if {when}")


@policy.command("queue")
@FILE
@AS_JSON
def queue_command(file: str, as_json: bool) -> None:
    """The change that is open and those that wait, in the order of their turns."""
    view = with_store(file, lambda store: store.view())
    opened: list[Change] = [view.change] if view.change else []
    if as_json:
        waiting = [dict(id=entry.id, author=entry.author, note=entry.note) for entry in view.queue]
        click.echo(json.dumps(dict(open=[change.id for change in opened], waiting=waiting), indent=1))
        return
    entries: list[Change | QueuedChange] = [*opened, *view.queue]
    for number, entry in enumerate(entries, 1 - len(opened)):
        turn = str(number) if number else "open"
        click.echo(f"{turn:>4}  {entry.id}  {entry.author or 'unnamed'}: {entry.note or 'no note'}")


@policy.command("withdraw")
@FILE
@click.argument("ident")
def withdraw_command(file: str, ident: str) -> None:
    """Give up the change IDENT, open or waiting (`fleet policy queue` names it)."""
    with_store(file, lambda store: _withdraw(store, ident))


async def _withdraw(store: Store, ident: str) -> None:
    for _ in range(TRIES_MOST):
        view = await store.view()
        if not queue_position(view, ident):
            break
        with contextlib.suppress(QueueRejectedError):
            await store.commit(withdraw_queued(view, ident))
    else:
        end_with(UNDECIDED, "it waits still")
    if not _is_ended_unopened(view, ident):
        try:
            await store.commit(withdraw(view, ident, "withdrawn"))
        except ChangeRejectedError as why:
            end_with(ABORTED, why)
    told = find_change(await store.view(), ident)
    if not isinstance(told, FinishedChange):
        end_with(UNDECIDED, "it is open still")
    if told.committed:
        end_with(ABORTED, f"too late: version {told.version} is in force")
    click.echo("withdrawn: nothing has changed")


def _is_ended_unopened(view: FleetSnapshot, ident: str) -> bool:
    """Whether it left the queue before its turn."""
    told = find_change(view, ident)
    return isinstance(told, FinishedChange) and not told.version


def _text(file: str, version: int | None, none: str | None = None) -> tuple[str, str]:
    """A committed policy's name and text. `none`: what stands for it where there was never one."""

    async def read(store: Store) -> tuple[str, str]:
        view = await store.view()
        head = view.policy
        found = {end.version: end.digest for end in view.finished if end.committed}
        if head:
            found[head.version] = head.digest
        wanted = version if version is not None else head.version if head else 0
        if wanted not in found:
            if none is not None and not head:
                return "no policy", none
            end_with(
                ABORTED, f"no version {wanted}: there are {', '.join(map(str, sorted(found))) or 'none'}"
            )
        text = (await store.view(store.keys.text(found[wanted]))).text(found[wanted])
        if text is None:
            end_with(ABORTED, f"the text of version {wanted} is not in the store")
        return f"version {wanted}", text

    return with_store(file, read)


def _text_of(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as why:
        give_up(f"cannot read {path}: {why}")


def _check(text: str, path: Path) -> None:
    """Against this machine's configuration where there is one; else by the names that the file itself has."""
    try:
        if config := os.environ.get(CONFIGURATION_VARIABLE):
            own = local_configuration_of(read_configuration(config).settings)
        else:
            told = tomllib.loads(text)
            named = [c for lv in tables_in(told.get("levels"), "level") for c in tables_in(lv, "cut")]
            named += [
                {key: list(told[key])} for key in ("products", "tenants") if isinstance(told.get(key), dict)
            ]
            own = LocalConfiguration(*named_in(named))
        parse(text, own)
    except (InvalidPolicyError, ConfigurationError, ValueError) as trouble:
        give_up(f"{path.name}: {trouble}")
