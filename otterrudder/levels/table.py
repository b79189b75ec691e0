"""The operators' table of levels: TOML to the levels of the selector, checked whole.

`read_table` takes a file, `parse_table` its text, `build_table` its decoded values; all of them need the
request classes and tenants of the settings. Form: the commented deploy/levels.toml. Each level states all
that it restricts, and restricts no request less than the level before it."""

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterrudder.admission.interface import RequestClass, Tenant
from otterrudder.levels.errors import LevelTableError, check_range
from otterrudder.levels.level_parser import LevelParser
from otterrudder.levels.schema import VERSION, DampingSection, TableSection, convert_section
from otterrudder.levels.selector import FULL_SERVICE, Damping, Level

MAX_LEVELS = 16  # in a table
MAX_FORGET_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class LevelTable:
    """A checked table, for a level selector."""

    levels: tuple[Level, ...]
    damping: Damping
    is_shadow: bool
    start: str


def read_table(
    path: str | Path, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> LevelTable:
    """The table in the file at `path`; LevelTableError names the file and the key."""
    try:
        return parse_table(Path(path).read_text("utf-8"), request_classes, tenants)
    except (OSError, UnicodeDecodeError) as error:
        raise LevelTableError(f"cannot read {path}: {error}") from None
    except LevelTableError as error:
        raise LevelTableError(f"{Path(path).name}: {error}") from None


def parse_table(text: str, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]) -> LevelTable:
    """The table in `text`; LevelTableError names the key at fault. Levels are counted from 1."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise LevelTableError(f"not TOML: {error}") from None
    return build_table(values, request_classes, tenants)


def build_table(
    values: Mapping[str, Any], request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> LevelTable:
    """The table in decoded TOML; LevelTableError as in `parse_table`."""
    table = convert_section(values, TableSection, "")
    if table.version != VERSION:
        raise LevelTableError(f"version: this program reads {VERSION}, not {table.version}")
    if not 1 <= len(table.level) <= MAX_LEVELS:
        raise LevelTableError(f"level: from 1 to {MAX_LEVELS} levels are wanted, not {len(table.level)}")
    damping = _damping_of(convert_section(table.damping, DampingSection, "damping"))
    parsers = [
        LevelParser(number, level, request_classes, tenants) for number, level in enumerate(table.level, 1)
    ]
    levels = tuple(parser.level() for parser in parsers)
    _check_names(levels, table.start)
    for lower, upper in zip(parsers, parsers[1:], strict=False):
        upper.check_above(lower)
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
            problem = "is taken" if level.name else "is empty"
            raise LevelTableError(f"level[{number}].name: {level.name!r} {problem}")
        seen.add(level.name)
    if start not in seen and start != FULL_SERVICE:
        raise LevelTableError(f"start: no level is named {start!r}")
