"""Reads and checks the operators' table of levels: TOML to the levels of the selector.

`read_table` takes a file, `parse_table` its text and `build_table` its decoded values. All of them need the
request classes and tenants of the settings. deploy/levels.toml documents the format. Each level lists all of
its restrictions, and restricts every request at least as much as the level before it."""

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterrudder.admission.interface import RequestClass, Tenant
from otterrudder.levels.errors import LevelTableError, check_range
from otterrudder.levels.level_parser import LevelParser
from otterrudder.levels.schema import FORMAT_VERSION, DampingSection, TableSection, convert_section
from otterrudder.levels.selector import FULL_SERVICE, Damping, Level

MAX_LEVELS = 16  # maximum number of levels in a table
MAX_FORGET_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class LevelTable:
    """A valid table of levels."""

    levels: tuple[Level, ...]
    damping: Damping
    is_shadow: bool
    start: str  # name of the level of a new process


def read_table(
    path: str | Path, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> LevelTable:
    """Reads the table in the file at `path`. Raises LevelTableError that names the file and the key."""
    try:
        return parse_table(Path(path).read_text("utf-8"), request_classes, tenants)
    except (OSError, UnicodeDecodeError) as error:
        raise LevelTableError(f"cannot read {path}: {error}") from None
    except LevelTableError as error:
        raise LevelTableError(f"{Path(path).name}: {error}") from None


def parse_table(text: str, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]) -> LevelTable:
    """Parses the table in `text`. Raises LevelTableError that names the key; it numbers levels from 1."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise LevelTableError(f"not TOML: {error}") from None
    return build_table(values, request_classes, tenants)


def build_table(
    values: Mapping[str, Any], request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> LevelTable:
    """Builds the table from decoded TOML. Raises LevelTableError as `parse_table` does."""
    table = convert_section(values, TableSection, "")
    if table.version != FORMAT_VERSION:
        raise LevelTableError(f"version: this program reads {FORMAT_VERSION}, not {table.version}")
    if not 1 <= len(table.level) <= MAX_LEVELS:
        raise LevelTableError(f"level: a table has 1 to {MAX_LEVELS} levels, not {len(table.level)}")
    damping = _damping_of(convert_section(table.damping, DampingSection, "damping"))
    parsers = [
        LevelParser(number, level, request_classes, tenants) for number, level in enumerate(table.level, 1)
    ]
    levels = tuple(parser.level() for parser in parsers)
    _check_names(levels, table.start)
    for milder, stricter in zip(parsers, parsers[1:], strict=False):
        stricter.check_stricter_than(milder)
    return LevelTable(levels, damping, table.mode == "shadow", table.start)


def _damping_of(section: DampingSection) -> Damping:
    check_range(section.times, 1.0, 10.0, "damping.times")
    check_range(section.most, 1.0, 64.0, "damping.most")
    check_range(section.forget_s, 1.0, MAX_FORGET_S, "damping.forget_s")
    return Damping(section.times, section.most, section.forget_s * 1000)


def _check_names(levels: tuple[Level, ...], start: str) -> None:
    seen: set[str] = set()
    for number, level in enumerate(levels, 1):
        if not level.name or level.name == FULL_SERVICE or level.name in seen:
            problem = f"{level.name!r} is already used" if level.name else "the name is empty"
            raise LevelTableError(f"level[{number}].name: {problem}")
        seen.add(level.name)
    if start not in seen and start != FULL_SERVICE:
        raise LevelTableError(f"start: there is no level named {start!r}")
