"""migrate: a configuration file of the old shape made into one of the new."""

import json
import os
from pathlib import Path
from typing import Any

import click

from otterrudder.cli.common import give_up
from otterrudder.net.configuration import BadConfiguration, check_configuration, decode_file

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
    new, restated, left = json.loads(json.dumps(old)), [], []
    stated = _places(shape)
    for n, product in enumerate(new.get("classes") or []):
        if product.get("effect") == "keyed":
            product["effect"] = "unsafe"
            restated.append(f'classes[{n}].effect: "keyed" -> "unsafe": a repeat carries no mark here')
            if product.pop("windowUs", None):
                left.append(f"classes[{n}].windowUs: a once-only txn has no window; no answer is reused")
    for place, value, why in RESTATED:
        table, name = _table(new, place)
        if place not in stated and table.get(name) != value:
            restated.append(f"{place}: {json.dumps(table.get(name))} -> {json.dumps(value)}: {why}")
            table[name] = value
    if new.get("tier") or len(new.get("tiers") or []) > 1:
        left.append("tiers: servers of a tier below are not told of here; only the one tier is kept")
        new["tiers"], new["tier"] = (new.get("tiers") or [])[:1], 0
    _merge(new, shape)
    left += [f"{place}: {why}" for place, why in UNKNOWN if place not in stated]
    if "familyInfo.callsOut" not in stated:
        new.setdefault("familyInfo", {})["callsOut"] = 0.0
    return new, restated, left


def _table(settings: dict[str, Any], place: str) -> tuple[dict[str, Any], str]:
    *path, name = place.split(".")
    for step in path:
        settings = settings.setdefault(step, {})
    return settings, name


def _places(table: dict[str, Any], at: str = "") -> set[str]:
    """Every place that a nested object states."""
    found = set()
    for name, value in table.items():
        found |= _places(value, f"{at}{name}.") if isinstance(value, dict) else {at + name}
    return found


def _merge(into: dict[str, Any], shape: dict[str, Any]) -> None:
    for name, value in shape.items():
        if isinstance(value, dict) and isinstance(into.get(name), dict):
            _merge(into[name], value)
        else:
            into[name] = value


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
        told = check_configuration(decode_file(old), old)
        known = decode_file(shape) if shape else {}
        if not isinstance(known, dict):
            give_up(f"{shape}: an object of settings is wanted")
        settings, restated, left = migrate_settings(told["settings"], known)
        new = check_configuration(told | {"settings": settings}, f"{old}, migrated")
    except BadConfiguration as trouble:
        give_up(trouble)
    if not new.get("records"):
        left.append("records: the old file names no address; the shared dependency's has to be added")
    for title, lines in (("restated", restated), ("not carried over", left)):
        click.echo(f"{title}: {len(lines)}")
        for line in lines:
            click.echo(f"  {line}")
    if dry_run or not out:
        click.echo("nothing was written")
        return
    try:
        _write(Path(out), json.dumps(new, indent=1) + "\n")
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
