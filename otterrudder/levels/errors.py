"""The error for an invalid table of levels, and the checks of numbers and names that raise it."""

import math
from collections.abc import Sequence
from typing import Any


class LevelTableError(Exception):
    """A table of levels is invalid. The message is one line that names the key."""


def check_range(value: float, minimum: float, maximum: float, key: str) -> float:
    """Returns `value`. Raises LevelTableError if it is NaN or out of range."""
    if not minimum <= value <= maximum:
        raise LevelTableError(f"{key}: {value:g} is not between {minimum:g} and {maximum:g}")
    return value


def check_number(value: Any, key: str) -> float:
    """Returns `value` as a float. Raises LevelTableError if it is a bool or not a finite number."""
    if type(value) not in (int, float) or not math.isfinite(value):
        problem = f"{value!r} is not a finite number" if value is not None else "a number is required"
        raise LevelTableError(f"{key}: {problem}")
    return float(value)


def indexes_of(names: Sequence[str], known: Sequence[str], key: str) -> list[int]:
    """Returns the position of each name in `known`.

    Raises LevelTableError if `names` is empty, has duplicates or has a name that is not in `known`."""
    if not names or len(set(names)) != len(names):
        raise LevelTableError(f"{key}: the list is empty or has duplicates")
    for name in names:
        if name not in known:
            choices = f"; known names: {', '.join(known)}" if known else ""
            raise LevelTableError(f"{key}: unknown name {name!r}{choices}")
    return [known.index(name) for name in names]
