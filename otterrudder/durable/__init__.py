"""State that outlives the process. Files are written atomically, and a damaged or incomplete file is rejected
when it is read.

The fleet keeps its record of votes here; other state can be stored in separate files of the same directory. A
state directory is used by one process at a time (see `StateDirectory.lock`)."""

from otterrudder.durable.daemon_thread import run_in_daemon_thread
from otterrudder.durable.state_directory import (
    DirectoryInUseError,
    InvalidStateFileError,
    StateDirectory,
)

__all__ = ["DirectoryInUseError", "InvalidStateFileError", "StateDirectory", "run_in_daemon_thread"]
