"""The keys of a table of levels in TOML, as msgspec reads them. deploy/levels.toml documents the format.

The fields of the structs are the keys of the file, so renaming a field changes the format."""

from typing import Any, Literal, TypeVar

import msgspec

from otterrudder.levels.errors import LevelTableError
from otterrudder.levels.selector import FULL_SERVICE

FORMAT_VERSION = 1  # version of the table format; tables of other versions are rejected

Section = TypeVar("Section", bound=msgspec.Struct)


class DampingSection(msgspec.Struct, forbid_unknown_fields=True):
    """`[damping]`."""

    times: float = 2.0
    most: float = 8.0
    forget_s: float = 120.0


class CutSection(msgspec.Struct, forbid_unknown_fields=True):
    """`[[level.cut]]`: a restriction on the requests of some products."""

    do: Literal["omit", "spare", "share", "established", "decline"]
    products: list[str]
    share: float | None = None
    tenants: list[str] | None = None
    rank_below: float | None = None


class LevelSection(msgspec.Struct, forbid_unknown_fields=True):
    """`[[level]]`. Nested tables are converted one by one, so that an error names the table's position."""

    name: str
    least_stay_s: float
    entry: dict[str, Any]
    exit: dict[str, Any]
    cut: list[dict[str, Any]]
    held: Literal["answer", "keep"] = "keep"
    stay_away: bool = False
    trial_s: float = 120.0


class TableSection(msgspec.Struct, forbid_unknown_fields=True):
    """The top level of the file."""

    version: int
    level: list[dict[str, Any]]
    mode: Literal["enforce", "shadow"] = "enforce"
    start: str = FULL_SERVICE
    damping: dict[str, Any] = {}


def convert_section(values: Any, section: type[Section], location: str) -> Section:
    """Converts `values` to a `section`.

    Raises LevelTableError with msgspec's message and the path of the key, which starts with `location`."""
    try:
        return msgspec.convert(values, section)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        key = ".".join(filter(None, (location, path.rstrip("`").lstrip("$").lstrip("."))))
        raise LevelTableError(f"{key}: {message}" if key else message) from None
