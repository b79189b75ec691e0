"""Levels of reduced service: selects the named level in force from facts about the server.

- `table` and `level_parser` read the operators' TOML file. `schema` defines its keys, `facts` the facts that
  its conditions may name.
- `selector` moves between the levels.
- `controller` combines the selector, its mode (enforced or shadow) and the log fields for one server.

Only `read_table` does I/O. The package reads no clock and uses no randomness. The admission controller
enforces a level (`AdmissionController.set_service_level`)."""

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
