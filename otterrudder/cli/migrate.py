"""migrate: a configuration file of the old shape made into one of the new."""

import copy
import json
import os
from pathlib import Path
from typing import Any

import click

from otterrudder.cli.common import give_up
from otterrudder.configuration import ConfigurationError, check_configuration, decode_file
from otterrudder.files import merged

ABSENT = object()  # not even null stands there
# What the new shape states in another way: the place in the settings, the value there, and why.
RESTATED: tuple[tuple[str, object, str], ...] = (
    ("familyInfo.below", "common", "every server calls one shared dependency, at the address `records`"),
    ("familyInfo.stopMode", "pause", "work is paused and taken up again; it keeps its memory"),
    ("familyInfo.say", "silent", "callers heed no free value"),
    ("familyInfo.passesDeadline", True, "a txn says how long its caller waits"),
    ("clients.marksRetry", False, "later tries carry no mark: what is declined stands in for them"),
    ("report.source", "pull", "callers ask for the load"),
)
# What only the new deployment's operators know: the place, and what happens until it is stated.
UNKNOWN: tuple[tuple[str, str], ...] = (
    ("familyInfo.callsOut", "this server's share of the shared dependency; unstated, one call at a time"),
    ("servers", "the servers that share the tenants' allowances; the old figure stands until it is stated"),
    ("familyInfo.callers", "how many gateways come; the old figure stands until it is stated"),
)


def migrate_settings(
    old: dict[str, Any], shape: dict[str, Any]
) -> tuple[dict[str, Any], list[str], list[str]]:
    """The settings of the new shape, what was restated and what could not be carried over. `shape`: what the
    operator states of the new deployment; it goes before everything else."""
    new, restated, left = copy.deepcopy(old), [], []
    for n, product in enumerate(new.get("classes") or []):
        if product.get("effect") == "keyed":
            product["effect"] = "unsafe"
            restated.append(f'classes[{n}].effect: "keyed" -> "unsafe": a repeat carries no mark here')
            if product.pop("windowUs", None):
                left.append(f"classes[{n}].windowUs: a once-only txn has no window; no answer is reused")
    for place, value, why in RESTATED:
        before = _at(new, place, None)
        if _at(shape, place, ABSENT) is ABSENT and before != value:
            restated.append(f"{place}: {json.dumps(before)} -> {json.dumps(value)}: {why}")
            new = _with(new, place, value)
    if new.get("tier") or len(new.get("tiers") or []) > 1:
        left.append("tiers: servers of a tier below are not told of here; only the one tier is kept")
        new["tiers"], new["tier"] = (new.get("tiers") or [])[:1], 0
    left += [f"{place}: {why}" for place, why in UNKNOWN if _at(shape, place, ABSENT) is ABSENT]
    return merged(_with(new, "familyInfo.callsOut", 0.0), shape), restated, left


def _at(settings: object, place: str, absent: object) -> object:
    """What stands at a place of nested tables."""
    for step in place.split("."):
        settings = settings.get(step, absent) if isinstance(settings, dict) else absent
    return settings


def _with(settings: dict[str, Any], place: str, value: object) -> dict[str, Any]:
    """The settings with this value at a place of nested tables."""
    change: Any = value
    for step in reversed(place.split(".")):
        change = {step: change}
    return merged(settings, change)


@click.command()
@click.argument("old", type=click.Path())
@click.option("--out", metavar="FILE", help="Where to write the new file; it may not exist yet.")
@click.option("--shape", metavar="FILE", help="JSON object of settings known of the new deployment.")
@click.option("--dry-run", is_flag=True, help="Say what would be done and write nothing.")
def migrate(old: str, out: str | None, shape: str | None, dry_run: bool) -> None:
    """Write the new shape's counterpart of configuration OLD, and list what could not be carried over."""
    if not out and not dry_run:
        give_up("migrate: name the new file with --out, or ask for --dry-run")
    try:
        told = check_configuration(decode_file(old), old).document
        known = decode_file(shape) if shape else {}
        if not isinstance(known, dict):
            give_up(f"{shape}: an object of settings is wanted")
        settings, restated, left = migrate_settings(told["settings"], known)
        new = check_configuration(told | {"settings": settings}, f"{old}, migrated")
    except ConfigurationError as trouble:
        give_up(trouble)
    if not new.records:
        left.append("records: the old file names no address; the shared dependency's has to be added")
    for title, lines in (("restated", restated), ("not carried over", left)):
        click.echo(f"{title}: {len(lines)}")
        for line in lines:
            click.echo(f"  {line}")
    if dry_run or not out:
        click.echo("nothing was written")
        return
    try:
        _write(Path(out), json.dumps(new.document, indent=1) + "\n")
    except OSError as trouble:
        give_up(f"cannot write {out}: {trouble.strerror}")
    click.echo(f"written: {out}")


def _write(path: Path, text: str) -> None:
    """Whole or not at all, and never over a file that is there."""
    part = path.with_name(path.name + ".part")
    try:
        with part.open("x") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(part, path)
    finally:
        part.unlink(missing_ok=True)
