"""State that outlives the process: files written so that each is whole or as it was before, and read so that
nothing half written is ever trusted.

Made for the fleet's record of what was voted; later state can be in files of its own beside it. A state
directory belongs to one process at a time (`StateDirectory.lock`)."""

from otterrudder.durable.daemon_thread import run_in_daemon_thread
from otterrudder.durable.state_directory import (
    DirectoryInUseError,
    InvalidStateFileError,
    StateDirectory,
)

__all__ = ["DirectoryInUseError", "InvalidStateFileError", "StateDirectory", "run_in_daemon_thread"]
