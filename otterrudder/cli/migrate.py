"""`otterrudder migrate`: writes a configuration of the old deployment's shape in the new one's."""

import copy
import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from otterrudder.cli.common import exit_bad_input
from otterrudder.configuration import ConfigurationError, check_configuration, decode_file
from otterrudder.files import merge_tables

ABSENT = object()  # no value, not even null


@dataclass(frozen=True, slots=True)
class Restatement:
    """A setting that the new shape states in another way."""

    path: str  # dotted, in the settings
    value: object
    reason: str


@dataclass(frozen=True, slots=True)
class OperatorSetting:
    """A setting that only the operators of the new deployment know."""

    path: str
    reason: str  # and what applies until it is stated


RESTATEMENTS = (
    Restatement(
        "familyInfo.below",
        "common",
        "every server calls one shared dependency, at the address `records`",
    ),
    Restatement("familyInfo.stopMode", "pause", "work is paused and taken up again; it keeps its memory"),
    Restatement("familyInfo.say", "silent", "callers heed no free value"),
    Restatement("familyInfo.passesDeadline", True, "a request says how long its caller waits"),
    Restatement(
        "clients.marksRetry", False, "retries carry no mark: the rejected requests stand in for them"
    ),
    Restatement("report.source", "pull", "callers ask for the load"),
)
OPERATOR_SETTINGS = (
    OperatorSetting(
        "familyInfo.callsOut",
        "this server's share of the shared dependency; unstated, one call at a time",
    ),
    OperatorSetting(
        "servers",
        "the servers that share the tenants' allowances; the old figure stands until it is stated",
    ),
    OperatorSetting("familyInfo.callers", "how many gateways come; the old figure stands until it is stated"),
)


@dataclass(slots=True)
class Migration:
    """The settings of the new shape, with lines on what was restated and what could not be carried over."""

    settings: dict[str, Any]
    restated: list[str] = field(default_factory=list)
    not_carried_over: list[str] = field(default_factory=list)


def migrate_settings(old: dict[str, Any], stated: dict[str, Any]) -> Migration:
    """Migrates the settings. `stated`: the operators' settings for the new deployment, which win."""
    migration = Migration(copy.deepcopy(old))
    _migrate_classes(migration)
    _restate(migration, stated)
    _drop_other_tiers(migration)
    for setting in OPERATOR_SETTINGS:
        if _get(stated, setting.path, ABSENT) is ABSENT:
            migration.not_carried_over.append(f"{setting.path}: {setting.reason}")
    settings = _with_value(migration.settings, "familyInfo.callsOut", 0.0)
    migration.settings = merge_tables(settings, stated)
    return migration


def _migrate_classes(migration: Migration) -> None:
    for index, request_class in enumerate(migration.settings.get("classes") or []):
        if request_class.get("effect") != "keyed":
            continue
        request_class["effect"] = "unsafe"
        migration.restated.append(
            f'classes[{index}].effect: "keyed" -> "unsafe": a repeat carries no idempotency key here'
        )
        if request_class.pop("windowUs", None):
            migration.not_carried_over.append(
                f"classes[{index}].windowUs: without a key there is no retention; no response is replayed"
            )


def _restate(migration: Migration, stated: dict[str, Any]) -> None:
    for item in RESTATEMENTS:
        before = _get(migration.settings, item.path, None)
        if before == item.value or _get(stated, item.path, ABSENT) is not ABSENT:
            continue
        change = f"{json.dumps(before)} -> {json.dumps(item.value)}"
        migration.restated.append(f"{item.path}: {change}: {item.reason}")
        migration.settings = _with_value(migration.settings, item.path, item.value)


def _drop_other_tiers(migration: Migration) -> None:
    settings = migration.settings
    tiers = settings.get("tiers") or []
    if not settings.get("tier") and len(tiers) <= 1:
        return
    migration.not_carried_over.append(
        "tiers: servers of a downstream tier are unknown here; only the one tier is kept"
    )
    settings["tiers"] = tiers[:1]
    settings["tier"] = 0


def _get(settings: object, path: str, absent: object) -> object:
    """The value at a dotted path of nested tables, or `absent`."""
    for key in path.split("."):
        settings = settings.get(key, absent) if isinstance(settings, dict) else absent
    return settings


def _with_value(settings: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    """A copy of the settings with `value` at a dotted path of nested tables."""
    change: Any = value
    for key in reversed(path.split(".")):
        change = {key: change}
    return merge_tables(settings, change)


@click.command()
@click.argument("old", type=click.Path())
@click.option("--out", metavar="FILE", help="Where to write the new file; it must not exist yet.")
@click.option("--shape", metavar="FILE", help="JSON object of settings known of the new deployment.")
@click.option("--dry-run", is_flag=True, help="Print what would be done and write nothing.")
def migrate(old: str, out: str | None, shape: str | None, dry_run: bool) -> None:
    """Write configuration OLD in the new shape, and list what could not be carried over."""
    if not out and not dry_run:
        exit_bad_input("migrate: name the new file with --out, or ask for --dry-run")
    try:
        document = check_configuration(decode_file(old), old).document
        stated = decode_file(shape) if shape else {}
        if not isinstance(stated, dict):
            exit_bad_input(f"{shape}: an object of settings is wanted")
        migration = migrate_settings(document["settings"], stated)
        new = check_configuration(document | {"settings": migration.settings}, f"{old}, migrated")
    except ConfigurationError as error:
        exit_bad_input(error)
    if not new.records:
        migration.not_carried_over.append(
            "records: the old file names no address; the shared dependency's has to be added"
        )
    _print_lines("restated", migration.restated)
    _print_lines("not carried over", migration.not_carried_over)
    if dry_run or not out:
        click.echo("nothing was written")
        return
    try:
        _write_new_file(Path(out), json.dumps(new.document, indent=1) + "\n")
    except OSError as error:
        exit_bad_input(f"cannot write {out}: {error.strerror}")
    click.echo(f"written: {out}")


def _print_lines(title: str, lines: list[str]) -> None:
    click.echo(f"{title}: {len(lines)}")
    for line in lines:
        click.echo(f"  {line}")


def _write_new_file(path: Path, text: str) -> None:
    """Writes the file whole or not at all, and never over an existing one."""
    temporary = path.with_name(path.name + ".part")
    try:
        with temporary.open("x") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)
