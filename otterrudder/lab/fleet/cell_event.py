"""An event of a model of cells: its name, and what it does."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.lab.fleet.cell_state import CellState

Action = Callable[[CellState], object]


@dataclass(frozen=True, slots=True)
class Event:
    """`action` is applied to a state, or to a copy of it; what it needs it finds there by place."""

    name: str
    action: Action
    faults: int = 0  # that it counts as
