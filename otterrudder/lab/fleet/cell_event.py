"""An event of a model of cells: its name and its action."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.lab.fleet.cell_state import CellState

Action = Callable[[CellState], object]


@dataclass(frozen=True, slots=True)
class Event:
    """`action` is applied to a state or to a copy of it, so it refers to parts of the state by index."""

    name: str
    action: Action
    faults: int = 0  # number of faults that it injects
