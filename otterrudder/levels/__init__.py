"""Levels of reduced service: which named level is in force, selected from facts about the server.

`table` and `level_parser` read the operators' TOML file (`schema`: its keys, `facts`: what a condition may
name), `selector` moves between the levels, `controller` is what a server holds: the selector, its mode
(enforced or shadow) and the fields of the log lines. Nothing here does I/O of its own (but `read_table`), has
a clock or uses randomness. The admission controller enforces a level
(`AdmissionController.set_service_level`)."""

from otterrudder.levels.controller import LevelController, LevelUpdate
from otterrudder.levels.errors import LevelTableError
from otterrudder.levels.selector import Damping, Level, LevelSelector, Reason, Threshold, Transition
from otterrudder.levels.table import LevelTable, build_table, parse_table, read_table

__all__ = [
    "Damping",
    "Level",
    "LevelController",
    "LevelSelector",
    "LevelTable",
    "LevelTableError",
    "LevelUpdate",
    "Reason",
    "Threshold",
    "Transition",
    "build_table",
    "parse_table",
    "read_table",
]
