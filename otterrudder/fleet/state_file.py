"""Reads and writes a member's file in the state directory, which is opened when a server or a relay
starts."""

import msgspec

from otterrudder.durable import InvalidStateFileError, StateDirectory
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.state import MemberState
from otterrudder.log import log

STATE_FILE = "member"  # name of the file in the state directory


def open_state_directory(fleet: Fleet, name: str) -> tuple[StateDirectory | None, MemberState | None]:
    """Locks the state directory and returns it with the member's saved state, or None for both if the fleet
    file names no directory.

    A state file that is damaged or belongs to another server is set aside and treated as missing. The roster
    then decides whether a server of this name may use this directory. Raises DirectoryInUseError or OSError
    if the directory can't be locked or read."""
    if fleet.state_directory is None:
        return None, None
    directory = StateDirectory(fleet.state_directory)
    directory.lock()
    try:
        record = _read(directory, name)
    except InvalidStateFileError as error:
        log.error("the state file is invalid and is set aside", why=str(error))
        directory.quarantine(STATE_FILE)
        return directory, None
    except BaseException:
        directory.close()
        raise
    return directory, record


def encode_state(state: MemberState) -> bytes:
    """Returns the content of the state file."""
    return msgspec.json.encode(state)


def _read(directory: StateDirectory, name: str) -> MemberState | None:
    """Reads the state file. Returns None if there is none."""
    data = directory.read(STATE_FILE)
    if data is None:
        return None
    try:
        state = msgspec.json.decode(data, type=MemberState)
    except msgspec.MsgspecError:
        state = None
    if state is None or state.name != name:
        raise InvalidStateFileError(f"{directory.path / STATE_FILE}: not a state file of {name}")
    return state
