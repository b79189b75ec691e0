"""`otterrudder migrate`: converts a configuration of the old deployment to the format of the new one."""

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

ABSENT = object()  # the key is missing, which differs from a null value


@dataclass(frozen=True, slots=True)
class Restatement:
    """A setting that has another value in the new deployment."""

    path: str  # the dotted path in the settings
    value: object
    reason: str


@dataclass(frozen=True, slots=True)
class OperatorSetting:
    """A setting whose value only the operators of the new deployment know."""

    path: str
    reason: str  # what the setting is for, and what applies until it is set


RESTATEMENTS = (
    Restatement(
        "familyInfo.below",
        "common",
        "all servers call one shared dependency, at the address `records`",
    ),
    Restatement("familyInfo.stopMode", "pause", "a run can be paused and resumed; it keeps its memory"),
    Restatement("familyInfo.say", "silent", "callers ignore load signals"),
    Restatement("familyInfo.passesDeadline", True, "a request contains the time that its caller waits"),
    Restatement("clients.marksRetry", False, "retries are not marked; rejected requests are counted instead"),
    Restatement("report.source", "pull", "callers poll the load"),
)
OPERATOR_SETTINGS = (
    OperatorSetting(
        "familyInfo.callsOut",
        "this server's share of the shared dependency; until it is set, one call at a time",
    ),
    OperatorSetting(
        "servers",
        "the number of servers that share the tenants' allowances; the old value applies until it is set",
    ),
    OperatorSetting("familyInfo.callers", "the number of gateways; the old value applies until it is set"),
)


@dataclass(slots=True)
class Migration:
    """The settings in the new format, with lines on restated settings and on those not carried over."""

    settings: dict[str, Any]
    restated: list[str] = field(default_factory=list)
    not_carried_over: list[str] = field(default_factory=list)


def migrate_settings(old: dict[str, Any], stated: dict[str, Any]) -> Migration:
    """Migrates the settings. `stated` has the operators' settings, which take precedence."""
    migration = Migration(copy.deepcopy(old))
    _migrate_classes(migration)
    _restate(migration, stated)
    _drop_other_tiers(migration)
    for setting in OPERATOR_SETTINGS:
        if _value_at(stated, setting.path, ABSENT) is ABSENT:
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
            f'classes[{index}].effect: "keyed" -> "unsafe": repeats have no idempotency key here'
        )
        if request_class.pop("windowUs", None):
            migration.not_carried_over.append(
                f"classes[{index}].windowUs: without an idempotency key, responses are not kept or replayed"
            )


def _restate(migration: Migration, stated: dict[str, Any]) -> None:
    for item in RESTATEMENTS:
        before = _value_at(migration.settings, item.path, None)
        if before == item.value or _value_at(stated, item.path, ABSENT) is not ABSENT:
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
        "tiers: downstream tiers are not supported here; only the first tier is kept"
    )
    settings["tiers"] = tiers[:1]
    settings["tier"] = 0


def _value_at(settings: object, path: str, absent: object) -> object:
    """Returns the value at a dotted path of nested tables, or `absent` if there is none."""
    for key in path.split("."):
        settings = settings.get(key, absent) if isinstance(settings, dict) else absent
    return settings


def _with_value(settings: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    """Returns a copy of the settings with `value` at a dotted path of nested tables."""
    change: Any = value
    for key in reversed(path.split(".")):
        change = {key: change}
    return merge_tables(settings, change)


@click.command()
@click.argument("old", type=click.Path())
@click.option("--out", metavar="FILE", help="The new file, which must not exist yet.")
@click.option("--shape", metavar="FILE", help="JSON object with known settings of the new deployment.")
@click.option("--dry-run", is_flag=True, help="Print the changes and write nothing.")
def migrate(old: str, out: str | None, shape: str | None, dry_run: bool) -> None:
    """Convert the configuration OLD to the new format, and list what could not be carried over."""
    if not out and not dry_run:
        exit_bad_input("migrate: --out or --dry-run is required")
    try:
        document = check_configuration(decode_file(old), old).document
        stated = decode_file(shape) if shape else {}
        if not isinstance(stated, dict):
            exit_bad_input(f"{shape}: not a JSON object")
        migration = migrate_settings(document["settings"], stated)
        new = check_configuration(document | {"settings": migration.settings}, f"{old}, migrated")
    except ConfigurationError as error:
        exit_bad_input(error)
    if not new.records:
        migration.not_carried_over.append(
            "records: the old file has no address of the shared dependency; it has to be added"
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
    """Writes the file atomically, and never overwrites an existing one."""
    temporary = path.with_name(path.name + ".part")
    try:
        with temporary.open("x") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)
