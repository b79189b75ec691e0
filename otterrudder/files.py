"""Reads TOML files, converts their tables to types, and merges tables.

Errors are raised as the class that the caller passes."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

Value = TypeVar("Value")


def load_toml(path: Path, error_class: type[Exception]) -> dict[str, Any]:
    """Returns the table in a TOML file. Raises `error_class` with the file and the reason."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise error_class(f"cannot read {path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise error_class(f"{path.name}: not TOML: {error}") from None


def convert(values: Any, type_: type[Value], place: str, error_class: type[Exception]) -> Value:
    """Converts `values` to `type_`. Raises `error_class` with the key below `place`, never with a value."""
    try:
        return msgspec.convert(values, type_)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise error_class(f"{place}{path.rstrip('`')}: {message}") from None


def merge_tables(base: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a copy of `base` with the values of `change`. Tables that are in both are merged."""
    result = dict(base)
    for key, value in change.items():
        original = base.get(key)
        if isinstance(original, dict) and isinstance(value, dict):
            result[key] = merge_tables(original, value)
        else:
            result[key] = value
    return result
