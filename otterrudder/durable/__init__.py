"""State that outlives the process: files written so that each is whole or as it was before, and read so
that nothing half written is ever believed.

Made for the fleet's record of what was promised; later state can live in files of its own beside it. A folder
belongs to one process at a time (`Folder.take`)."""

from otterrudder.durable.daemon_thread import run_in_daemon_thread
from otterrudder.durable.state_directory import DirectoryInUseError, InvalidStateFileError, StateDirectory

__all__ = ["InvalidStateFileError", "DirectoryInUseError", "StateDirectory", "run_in_daemon_thread"]
