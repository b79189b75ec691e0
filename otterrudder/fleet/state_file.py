"""The member's file in the state directory: opened as a server or a relay starts."""

import msgspec

from otterrudder.durable import InvalidStateFileError, StateDirectory
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.state import MemberState
from otterrudder.log import log

STATE_FILE = "member"  # its name in the directory


def open_state_directory(fleet: Fleet, name: str) -> tuple[StateDirectory | None, MemberState | None]:
    """The state directory, locked, and what it has; DirectoryInUseError and OSError say why not. A record
    that is torn or another server's is no record, and is kept beside: whether this name may serve from here,
    the roster says then."""
    if fleet.state_directory is None:
        return None, None
    directory = StateDirectory(fleet.state_directory)
    directory.lock()
    try:
        record = _read(directory, name)
    except InvalidStateFileError as error:
        log.error("the state directory is not trusted", why=str(error))
        directory.quarantine(STATE_FILE)
        return directory, None
    except BaseException:
        directory.close()
        raise
    return directory, record


def encode_state(state: MemberState) -> bytes:
    """The content of the file."""
    return msgspec.json.encode(state)


def _read(directory: StateDirectory, name: str) -> MemberState | None:
    """None: there is no file."""
    data = directory.read(STATE_FILE)
    if data is None:
        return None
    try:
        state = msgspec.json.decode(data, type=MemberState)
    except msgspec.MsgspecError:
        state = None
    if state is None or state.name != name:
        raise InvalidStateFileError(f"{directory.path / STATE_FILE}: it holds no record of {name}")
    return state
