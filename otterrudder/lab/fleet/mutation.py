"""Replaces a part of the fleet by a mutant with the same state."""

from typing import Any, TypeVar

_T = TypeVar("_T")


def mutated(part: Any, mutant: type[_T]) -> _T:
    """Returns the part with the same state and the behaviour of `mutant`, a subclass of its class."""
    copy = object.__new__(mutant)
    slots = [name for base in type(part).__mro__ for name in getattr(base, "__slots__", ())]
    for name in slots:
        setattr(copy, name, getattr(part, name))
    return copy
