"""Reduced service in named levels: a ladder that says which level is in force, by facts it is handed.

`table` reads the operators' TOML file into rungs, `ladder` moves between them, `controller` is what a server
holds: the ladder, its mode (enforced or shadow) and the words for the log. None of them does I/O on its own,
knows a clock or draws chance; the decision module alone enforces a level (`AdmissionController.reduce`)."""

from otterrudder.levels.controller import LevelController, LevelUpdate
from otterrudder.levels.selector import Bound, Damping, Ladder, Move, Reason, Rung
from otterrudder.levels.table import BadTable, Table, parse, read

__all__ = [
    "BadTable",
    "Bound",
    "Damping",
    "Ladder",
    "LevelController",
    "LevelUpdate",
    "Move",
    "Reason",
    "Rung",
    "Table",
    "parse",
    "read",
]
