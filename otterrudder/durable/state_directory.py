"""A folder of one process, and the files of state in it.

A file is written beside its place, synced, renamed, and the folder is synced: after a loss of power it is the
old one or the new one. Its first line holds form, size and checksum of what follows; whatever does not fit
these is InvalidStateFileError, never a guess. All calls block: whoever has an event loop calls them from a
thread."""

import fcntl
import os
import zlib
from pathlib import Path

LOCK = "lock"  # the file that says whose the folder is
FORM = b"otterrudder-state"
VERSION = 1  # of the form
MAX_FILE_BYTES = 4 * 1024 * 1024  # bytes of a file of state; a larger one was not written by this program
MODE = 0o600


class InvalidStateFileError(Exception):
    """A file that is not whole, not ours or of another form, in one line."""


class DirectoryInUseError(Exception):
    """Another process has the folder."""


class StateDirectory:
    """Taken for as long as the process lives or until `close`: the lock goes with the process, however it
    ends."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._lock = -1
        self._dir = -1

    def take(self) -> None:
        """Makes the folder if there is none. Busy: another process has it; OSError: it can't be used."""
        self.path.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._dir = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except BlockingIOError:
            os.close(lock)
            raise DirectoryInUseError(f"{self.path}: another process has this folder") from None
        except BaseException:
            os.close(lock)
            raise
        self._lock = lock

    def close(self) -> None:
        for fd in (self._dir, self._lock):
            if fd >= 0:
                os.close(fd)
        self._dir = self._lock = -1

    def read(self, name: str) -> bytes | None:
        """What the file holds; None: there is none. InvalidStateFileError, OSError."""
        try:
            with open(self.path / name, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        return decode_state_file(data, str(self.path / name))

    def quarantine(self, name: str) -> None:
        """A file that is not believed is kept under another name, for whoever looks into it."""
        os.replace(self.path / name, self.path / f"{name}.bad")

    def write(self, name: str, data: bytes) -> None:
        """Once it returns, the file outlives a loss of power. OSError: it is as it was before."""
        beside = self.path / f"{name}.new"
        fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, MODE)
        try:
            whole = encode_state_file(data)
            while whole:
                whole = whole[os.write(fd, whole) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.replace(beside, self.path / name)
        os.fsync(self._dir)


def encode_state_file(data: bytes) -> bytes:
    """The file's bytes for this state."""
    return b"%s %d %d %08x\n" % (FORM, VERSION, len(data), zlib.crc32(data)) + data


def decode_state_file(whole: bytes, name: str) -> bytes:
    """The state in a file's bytes; InvalidStateFileError says what is wrong with them, by the file's name."""
    head, end, data = whole.partition(b"\n")
    words = head.split(b" ")
    if not end or len(words) != 4 or words[0] != FORM:
        raise InvalidStateFileError(f"{name}: not a file of this program's state")
    if words[1] != b"%d" % VERSION:
        raise InvalidStateFileError(f"{name}: form {words[1][:16]!r}, and this program reads {VERSION}")
    if words[2] != b"%d" % len(data) or words[3] != b"%08x" % zlib.crc32(data):
        raise InvalidStateFileError(f"{name}: it is torn: size or checksum do not fit what it holds")
    return data
