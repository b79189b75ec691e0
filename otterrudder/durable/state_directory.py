"""A state directory of one process, and the files in it.

A file is written beside its place, synced and renamed, and the directory is synced: after a loss of power it
is the old one or the new one. Its first line has form, size and checksum of what follows; whatever does not
match these is an InvalidStateFileError, never a guess. All calls block: whoever has an event loop calls them
from a thread."""

import fcntl
import os
import zlib
from pathlib import Path

LOCK_FILE = "lock"  # the file that says whose the directory is
FORM = b"otterrudder-state"
VERSION = 1  # of the form
HEADER_WORDS = 4  # form, version, size, checksum
MAX_FILE_BYTES = 4 * 1024 * 1024  # a larger file was not written by this program
FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
NO_DESCRIPTOR = -1


class InvalidStateFileError(Exception):
    """A file that is not whole, not ours or of another form, in one line."""


class DirectoryInUseError(Exception):
    """Another process has the directory."""


class StateDirectory:
    """Locked for as long as the process lives or until `close`: the lock goes with the process, however it
    ends."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._lock = NO_DESCRIPTOR
        self._directory = NO_DESCRIPTOR

    def lock(self) -> None:
        """Makes the directory if there is none. DirectoryInUseError: another process has it; OSError: it
        can't be used."""
        self.path.mkdir(parents=True, exist_ok=True, mode=DIRECTORY_MODE)
        lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except BlockingIOError:
            os.close(lock)
            raise DirectoryInUseError(f"{self.path}: another process has this folder") from None
        except BaseException:
            os.close(lock)
            raise
        self._lock = lock

    def close(self) -> None:
        """Gives the directory back."""
        for descriptor in (self._directory, self._lock):
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)
        self._directory = self._lock = NO_DESCRIPTOR

    def read(self, name: str) -> bytes | None:
        """What the file has; None: there is none. Raises InvalidStateFileError and OSError."""
        try:
            with open(self.path / name, "rb") as file:
                content = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        return decode_state_file(content, str(self.path / name))

    def quarantine(self, name: str) -> None:
        """A file that is not trusted is kept under another name, for whoever looks into it."""
        os.replace(self.path / name, self.path / f"{name}.bad")

    def write(self, name: str, data: bytes) -> None:
        """Once it returns, the file outlives a loss of power. OSError: it is as it was before."""
        new_path = self.path / f"{name}.new"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(new_path, flags, FILE_MODE)
        try:
            remaining = encode_state_file(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(new_path, self.path / name)
        os.fsync(self._directory)


def encode_state_file(data: bytes) -> bytes:
    """The file's content for this state."""
    return b"%s %d %d %08x\n" % (FORM, VERSION, len(data), zlib.crc32(data)) + data


def decode_state_file(content: bytes, name: str) -> bytes:
    """The state in a file's content; InvalidStateFileError says what is wrong with it, by the file's name."""
    header, line_end, data = content.partition(b"\n")
    words = header.split(b" ")
    if not line_end or len(words) != HEADER_WORDS or words[0] != FORM:
        raise InvalidStateFileError(f"{name}: not a file of this program's state")
    _, version, size, checksum = words
    if version != b"%d" % VERSION:
        raise InvalidStateFileError(f"{name}: form {version[:16]!r}, and this program reads {VERSION}")
    if size != b"%d" % len(data) or checksum != b"%08x" % zlib.crc32(data):
        raise InvalidStateFileError(f"{name}: it is torn: size or checksum do not fit what it holds")
    return data
