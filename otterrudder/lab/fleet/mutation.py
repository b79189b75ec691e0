"""How a part of the fleet is replaced by a mutant of it in place."""

from typing import Any, TypeVar

_T = TypeVar("_T")


def mutated(part: Any, mutant: type[_T]) -> _T:
    """The same part with the behaviour of `mutant`, a subclass of its class."""
    twin = object.__new__(mutant)
    slots = [name for base in type(part).__mro__ for name in getattr(base, "__slots__", ())]
    for name in slots:
        setattr(twin, name, getattr(part, name))
    return twin
