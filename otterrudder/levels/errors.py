"""The error of a table of levels, and the checks of plain numbers and names that raise it."""

import math
from collections.abc import Sequence
from typing import Any


class LevelTableError(Exception):
    """What is wrong with a table, in one line that names the key."""


def check_range(value: float, minimum: float, maximum: float, key: str) -> float:
    """`value`, or LevelTableError if it is NaN or out of range."""
    if not minimum <= value <= maximum:
        raise LevelTableError(f"{key}: {value:g} is not from {minimum:g} to {maximum:g}")
    return value


def check_number(value: Any, key: str) -> float:
    """`value` as a float, or LevelTableError if it is no finite number (bool is none)."""
    if type(value) not in (int, float) or not math.isfinite(value):
        shown = f", not {value!r}" if value is not None else ""
        raise LevelTableError(f"{key}: a number is wanted{shown}")
    return float(value)


def indexes_of(names: Sequence[str], known: Sequence[str], key: str) -> list[int]:
    """The position of each name in `known`, or LevelTableError for an empty, doubled or unknown name."""
    if not names or len(set(names)) != len(names):
        raise LevelTableError(f"{key}: it is empty or names one twice")
    for name in names:
        if name not in known:
            choices = f"; there are {', '.join(known)}" if known else ""
            raise LevelTableError(f"{key}: there is no {name!r}{choices}")
    return [known.index(name) for name in names]
