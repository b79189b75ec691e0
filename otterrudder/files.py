"""Operators' files, whatever they say: TOML read, nested tables converted and merged. Each reader brings the
error that its callers know."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec


def load_toml(path: Path, trouble: type[Exception]) -> dict[str, Any]:
    """What the file holds; `trouble` says why not, by its name."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as why:
        raise trouble(f"cannot read {path}: {why}") from None
    except tomllib.TOMLDecodeError as why:
        raise trouble(f"{path.name}: not TOML: {why}") from None


def convert(told: Any, kind: type[Any], where: str, trouble: type[Exception]) -> Any:
    """`told` as `kind`; `trouble` names the place behind `where`, never a value."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as why:
        what, _, at = str(why).partition(" - at `$")
        raise trouble(f"{where}{at.rstrip('`')}: {what}") from None


def merged(base: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """`base` with what `change` says, table by table; neither is changed."""
    whole = dict(base)
    for key, value in change.items():
        inner = base.get(key)
        whole[key] = merged(inner, value) if isinstance(inner, dict) and isinstance(value, dict) else value
    return whole
