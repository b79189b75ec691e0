"""fleet: who is of it, and the policy in force; a change proposed, watched to its end, or taken back.

Exit codes: 0 as asked, 2 bad input, 3 aborted or refused, 4 undecided, with what is still owed."""

import asyncio
import difflib
import json
import os
import secrets
import sys
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec

from otterrudder.cli.common import give_up, named_in, tables_in
from otterrudder.configuration import (
    CONFIGURATION_VARIABLE,
    FLEET_VARIABLE,
    BadConfiguration,
    read_configuration,
)
from otterrudder.fleet.change import (
    Refused,
    count,
    fate,
    figures_of,
    propose,
    settle,
    strike,
    whole,
    withdraw,
)
from otterrudder.fleet.configuration import BadFleet, Fleet, read_fleet
from otterrudder.fleet.points import reached
from otterrudder.fleet.policy import BadPolicy, Own, own_of, parse
from otterrudder.fleet.records import BadRecord, Change, Keys, Settled, View
from otterrudder.fleet.store import Done, StoreAway
from otterrudder.fleet.wants import Commit
from otterrudder.levels.table import FACTS
from otterrudder.net import control

ABORTED, UNDECIDED = 3, 4
TIMEOUT_MS = 2000.0  # of a request
LOOK_S = 0.1  # s between looks at an open change
WATCH_S = 1.0  # s between looks of `status --live`
TRIES_MOST = 5  # of a commit whose answer was lost, each after a reading of what became of it
_T = TypeVar("_T")

FILE = click.option(
    "--fleet",
    "file",
    envvar=FLEET_VARIABLE,
    required=True,
    metavar="FILE",
    help="TOML file of the fleet (or OTTERRUDDER_FLEET).",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for scripts.")


class Store:
    """A client for one command: what it needs of the store, and the end of the command where it is away."""

    def __init__(self, file: str) -> None:
        try:
            self.fleet: Fleet = read_fleet(file)
        except BadFleet as trouble:
            give_up(trouble)
        from otterrudder.fleet.client import Client

        self.keys = Keys(self.fleet.name)
        self.client = Client(self.fleet)
        self.store_id = self.fleet.store_id  # of the engine that is believed; 0: the first that is heard

    async def view(self, *more: str) -> View:
        """StoreAway as well where another engine answers than the file names, or than answered before."""
        snapshot = await self.client.read((*whole(self.keys), *more), TIMEOUT_MS)
        self.store_id = self.store_id or snapshot.cluster
        if snapshot.cluster != self.store_id:
            raise StoreAway(f"another engine answers: {snapshot.cluster:x}, not {self.store_id:x}")
        return View(self.keys, snapshot)

    async def commit(self, commit: Commit) -> Done | None:
        """None: no answer came, and it may have taken effect."""
        reached(f"before {commit.what}")
        try:
            return await self.client.commit(commit.compares, commit.writes, TIMEOUT_MS)
        except StoreAway:
            return None
        finally:
            reached(f"after {commit.what}")


def _run(file: str, what: Callable[[Store], Coroutine[Any, Any, _T]]) -> _T:
    async def whole_command() -> _T:
        store = Store(file)
        try:
            return await what(store)
        finally:
            await store.client.close()

    try:
        return asyncio.run(whole_command())
    except StoreAway as why:
        _end(UNDECIDED, f"the store does not answer: {why}")
    except BadRecord as trouble:
        _end(UNDECIDED, f"the store holds what is no record of this fleet: {trouble}")


def _end(code: int, why: object) -> NoReturn:
    click.echo(f"otterrudder: {why}", err=True)
    sys.exit(code)


@click.group()
def fleet() -> None:
    """A fleet of servers: who is of it, and the one policy in force."""


@fleet.command()
@FILE
@AS_JSON
@click.option("--live", is_flag=True, help="Look again each second until interrupted.")
@click.option("--here", metavar="NAME", help="Ask the server NAME on this machine instead of the store.")
def status(file: str, as_json: bool, live: bool, here: str | None) -> None:
    """Members, versions, votes, and who an open change waits for."""
    if here:
        try:
            told = control.ask(here, "fleet")
        except (OSError, ValueError) as why:
            give_up(f"no server answers at {control.path_of(here)}: {why}")
        click.echo(json.dumps(told.get("fleet", told), indent=1))
        return
    while True:
        told = _status(_run(file, lambda store: store.view()))
        if live and sys.stdout.isatty():
            click.clear()
        click.echo(json.dumps(told, indent=1) if as_json else "\n".join(_lines(told)))
        if not live:
            return
        time.sleep(WATCH_S)


def _status(view: View) -> dict[str, Any]:
    """What the store knows, as plain values."""
    head, change, lives, votes = view.policy, view.change, view.lives, view.votes
    told = count(view) if change else None
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
                absent=roster.absent,
                vote=None if vote is None else "yes" if vote.yes else f"no: {vote.why}",
            )
        )
    return dict(
        fleet=view.keys.fleet,
        store_id=f"{view.snapshot.cluster:x}",
        revision=view.snapshot.revision,
        policy=dict(
            version=head.version, digest=head.digest, author=head.author, note=head.note, at=_when(head.at)
        )
        if head
        else None,
        change=dict(
            id=change.id,
            version=change.version,
            author=change.author,
            note=change.note,
            owed=list(told.owed),
            left_out=list(told.left_out),
            noes=[f"{name}: {why}" for name, why in told.noes],
        )
        if change and told
        else None,
        trial=_trial(view),
        members=members,
        strangers=sorted(set(lives) - set(view.rosters)),
    )


def _trial(view: View) -> dict[str, str] | None:
    trial = view.trial
    if not trial:
        return None
    now = figures_of(view, trial)
    return dict(
        conditions=_in_words(trial.conditions),
        now=", ".join(f"{fact} {value:.3g}" for fact, value in now.items()) or "not known yet",
    )


def _in_words(conditions: tuple[tuple[str, float], ...]) -> str:
    return " or ".join(f"{fact} > {bound:g}" for fact, bound in conditions)


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
    wide = max([len(member["name"]) for member in told["members"]], default=4)
    for member in told["members"]:
        version = "-" if member["version"] is None else str(member["version"])
        vote = f"  {member['vote']}" if member["vote"] else ""
        lines.append(
            f"  {member['name']:{wide}}  {version:>4}  {member['state']}"
            f"{'  ' + member['zone'] if member['zone'] else ''}{vote}"
        )
    return lines


def _when(at: float) -> str:
    return datetime.fromtimestamp(at / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ") if at else "-"


@fleet.command()
@FILE
@click.argument("name")
def gone(file: str, name: str) -> None:
    """Say that the server NAME is gone for good: no change waits for it any more.

    Its folder must never serve again. One that comes back joins anew, with what is in force then."""

    async def act(store: Store) -> None:
        for _ in range(TRIES_MOST):
            try:
                commit = strike(await store.view(), name)
            except Refused as why:
                _end(ABORTED, why)
            done = await store.commit(commit)
            if done and done.held or name not in (await store.view()).rosters:
                click.echo(f"{name} is off the roster")
                return
        _end(UNDECIDED, f"{name} is still on the roster: it changes under way, try again")

    _run(file, act)


@fleet.group()
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
    ends = _run(file, lambda store: store.view()).settled
    if as_json:
        click.echo(json.dumps([msgspec.structs.asdict(end) for end in ends], indent=1))
        return
    for end in ends:
        how = "in force" if end.committed else f"aborted: {end.why}"
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


@dataclass(frozen=True, slots=True)
class Asked:
    """A change as it was asked for."""

    ident: str
    text: str
    author: str
    note: str
    deadline_ms: float
    trial_ms: float
    conditions: tuple[tuple[str, float], ...]
    is_first: bool = False  # it may come into force where nobody is of the fleet yet


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
def apply(
    file: str,
    policy_file: Path,
    trial_s: float | None,
    conditions: tuple[str, ...],
    author: str,
    note: str,
    deadline_s: float,
    first: bool,
) -> None:
    """Bring POLICY_FILE into force on all servers, or on none.

    Prints each vote as it comes. Interrupted, the change goes on by itself: `fleet status` shows it. On trial
    the servers tell their figures, and go back everywhere where one is too high, whoever is dead by then."""
    if (trial_s is None) != (not conditions):
        give_up("--trial and --if go together")
    text = _text_of(policy_file)
    _check(text, policy_file)
    _change(file, text, author, note, deadline_s, trial_s or 0.0, _conditions(conditions), first)


@policy.command()
@FILE
@click.option("--to", "version", type=int, help="This version; else the one before the one in force.")
@_AUTHOR
@_NOTE
@_DEADLINE
def back(file: str, version: int | None, author: str, note: str, deadline_s: float) -> None:
    """Go back to an earlier policy: a change like any other, with a new number."""
    if version is None:
        view = _run(file, lambda store: store.view())
        committed = [end.version for end in view.settled if end.committed]
        if len(committed) < 2:
            _end(ABORTED, "there is no earlier policy to go back to")
        version = committed[-2]
    _change(file, _text(file, version)[1], author, note or f"back to version {version}", deadline_s)


def _change(
    file: str,
    text: str,
    author: str,
    note: str,
    deadline_s: float,
    trial_s: float = 0.0,
    conditions: tuple[tuple[str, float], ...] = (),
    first: bool = False,
) -> None:
    ident = secrets.token_hex(8)
    asked = Asked(ident, text, author, note, deadline_s * 1000, trial_s * 1000, conditions, first)
    end = _run(file, lambda store: _play(store, asked))
    if end.committed:
        left = f", without {', '.join(end.left_out)}: aside until they know" if end.left_out else ""
        click.echo(f"version {end.version} is in force{left}")
        if trial_s:
            when = _in_words(conditions)
            click.echo(f"on trial for {trial_s:g} s: the fleet goes back by itself if {when}")
        return
    _end(ABORTED, f"aborted, nothing has changed: {end.why}")


async def _play(store: Store, asked: Asked) -> Settled:
    """From the proposal to the end of it, whoever settles it."""
    view, ident, deadline_ms = await _opened(store, asked), asked.ident, asked.deadline_ms
    began, shown = time.monotonic(), set[str]()
    while True:
        told = fate(view, ident)
        if isinstance(told, Settled):
            return told
        if not isinstance(told, Change):
            _end(UNDECIDED, "the store knows this change no more: see fleet policy history")
        votes = view.votes
        for name in sorted(set(votes) - shown):
            shown.add(name)
            vote = votes[name]
            click.echo(f"  {name}: {'yes' if vote.yes else f'no: {vote.why}'}")
        age = (time.monotonic() - began) * 1000
        if commit := settle(view, age >= deadline_ms):
            await store.commit(commit)  # whatever comes of it, or no answer: what is so now is read
        else:
            await asyncio.sleep(LOOK_S)
        try:
            view = await store.view()
        except StoreAway as why:
            owed = ", ".join(count(view).owed) or "nobody's vote"
            if age > deadline_ms:
                _end(UNDECIDED, f"the store does not answer ({why}); still owed: {owed}. Members settle it")
            await asyncio.sleep(LOOK_S)


async def _opened(store: Store, asked: Asked) -> View:
    """The change is open, or has ended already; found out by reading, never by a missing answer."""
    ident = asked.ident
    for _ in range(TRIES_MOST):
        view = await store.view()
        if fate(view, ident):
            return view
        if not (view.rosters or view.policy or asked.is_first):  # so looks a store that was lost, too
            _end(
                ABORTED,
                f"nobody is of {view.keys.fleet} yet on the store {view.snapshot.cluster:x}: is it "
                "the right one? --first puts a policy in force for servers to come",
            )
        try:
            commit = propose(
                view,
                ident,
                asked.text,
                asked.author,
                asked.note,
                time.time() * 1000,
                asked.deadline_ms,
                asked.trial_ms,
                asked.conditions,
            )
        except Refused as why:
            _end(ABORTED, why)
        await store.commit(commit)
    view = await store.view()
    if not fate(view, ident):
        _end(UNDECIDED, "the proposal did not get through")
    return view


@policy.command("withdraw")
@FILE
@click.argument("ident")
def withdraw_command(file: str, ident: str) -> None:
    """Give up the open change IDENT (`fleet status --json` names it)."""

    async def act(store: Store) -> None:
        view = await store.view()
        try:
            await store.commit(withdraw(view, ident, "withdrawn"))
        except Refused as why:
            _end(ABORTED, why)
        told = fate(await store.view(), ident)
        if not isinstance(told, Settled):
            _end(UNDECIDED, "it is open still")
        if told.committed:
            _end(ABORTED, f"too late: version {told.version} is in force")
        click.echo("withdrawn: nothing has changed")

    _run(file, act)


def _text(file: str, version: int | None, none: str | None = None) -> tuple[str, str]:
    """A committed policy's name and text. `none`: what stands for it where there was never one."""

    async def read(store: Store) -> tuple[str, str]:
        view = await store.view()
        head = view.policy
        found = {end.version: end.digest for end in view.settled if end.committed}
        if head:
            found[head.version] = head.digest
        wanted = version if version is not None else head.version if head else 0
        if wanted not in found:
            if none is not None and not head:
                return "no policy", none
            _end(ABORTED, f"no version {wanted}: there are {', '.join(map(str, sorted(found))) or 'none'}")
        text = (await store.view(store.keys.text(found[wanted]))).text(found[wanted])
        if text is None:
            _end(ABORTED, f"the text of version {wanted} is not in the store")
        return f"version {wanted}", text

    return _run(file, read)


def _text_of(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as why:
        give_up(f"cannot read {path}: {why}")


def _check(text: str, path: Path) -> None:
    """Against this machine's configuration where there is one; else by the names that the file itself has."""
    try:
        if config := os.environ.get(CONFIGURATION_VARIABLE):
            own = own_of(read_configuration(config).settings)
        else:
            told = tomllib.loads(text)
            named = [c for lv in tables_in(told.get("levels"), "level") for c in tables_in(lv, "cut")]
            named += [
                {key: list(told[key])} for key in ("products", "tenants") if isinstance(told.get(key), dict)
            ]
            own = Own(*named_in(named))
        parse(text, own)
    except (BadPolicy, BadConfiguration, ValueError) as trouble:
        give_up(f"{path.name}: {trouble}")
