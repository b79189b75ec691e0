"""The state directory of a process, and the files in it.

A file is written under a temporary name, synced and renamed, and then the directory is synced. After a power
loss the file has either its old or its new content. The first line of a file has a signature, the format
version, and the size and checksum of the data; a file that does not match them raises InvalidStateFileError.
All calls block, so a program with an event loop must call them from a thread."""

import fcntl
import os
import zlib
from pathlib import Path

LOCK_FILE = "lock"  # locked by the process that uses the directory
SIGNATURE = b"otterrudder-state"
VERSION = 1  # version of the file format
HEADER_WORDS = 4  # signature, version, size, checksum
MAX_FILE_BYTES = 4 * 1024 * 1024  # this program writes no larger file
FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
NO_DESCRIPTOR = -1


class InvalidStateFileError(Exception):
    """A state file is damaged, has another format version, or was not written by this program."""


class DirectoryInUseError(Exception):
    """Another process uses the directory."""


class StateDirectory:
    """A directory of state files. The lock is held until `close` or the end of the process, even if the
    process is killed."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._lock_descriptor = NO_DESCRIPTOR
        self._directory_descriptor = NO_DESCRIPTOR

    def lock(self) -> None:
        """Creates the directory if necessary, and locks it. Raises DirectoryInUseError if another process
        uses it, and OSError if it cannot be used."""
        self.path.mkdir(parents=True, exist_ok=True, mode=DIRECTORY_MODE)
        lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._directory_descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except BlockingIOError:
            os.close(lock)
            raise DirectoryInUseError(f"{self.path}: another process uses this directory") from None
        except BaseException:
            os.close(lock)
            raise
        self._lock_descriptor = lock

    def close(self) -> None:
        """Releases the lock."""
        for descriptor in (self._directory_descriptor, self._lock_descriptor):
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)
        self._directory_descriptor = self._lock_descriptor = NO_DESCRIPTOR

    def read(self, name: str) -> bytes | None:
        """Returns the data in the file, or None if it does not exist. Raises InvalidStateFileError if it is
        not valid, and OSError."""
        try:
            with open(self.path / name, "rb") as file:
                content = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        return decode_state_file(content, str(self.path / name))

    def quarantine(self, name: str) -> None:
        """Renames an invalid file to `NAME.bad`, so that it is kept for examination."""
        os.replace(self.path / name, self.path / f"{name}.bad")

    def write(self, name: str, data: bytes) -> None:
        """Writes the file so that it survives a power loss once this method returns. Raises OSError; the file
        then has its previous content."""
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
        os.fsync(self._directory_descriptor)


def encode_state_file(data: bytes) -> bytes:
    """Returns the content of a file with this data."""
    return b"%s %d %d %08x\n" % (SIGNATURE, VERSION, len(data), zlib.crc32(data)) + data


def decode_state_file(content: bytes, name: str) -> bytes:
    """Returns the data in a file's content. Raises InvalidStateFileError, which has the file's name and the
    error."""
    header, line_end, data = content.partition(b"\n")
    words = header.split(b" ")
    if not line_end or len(words) != HEADER_WORDS or words[0] != SIGNATURE:
        raise InvalidStateFileError(f"{name}: not an otterrudder state file")
    _, version, size, checksum = words
    if version != b"%d" % VERSION:
        raise InvalidStateFileError(
            f"{name}: format version {version[:16]!r}, but this program reads version {VERSION}"
        )
    if size != b"%d" % len(data) or checksum != b"%08x" % zlib.crc32(data):
        raise InvalidStateFileError(f"{name}: damaged: the size or checksum does not match the data")
    return data
