"""A receive buffer whose content is parsed in place."""

import re

INITIAL_BYTES = 4 * 1024  # fits nearly all messages; most of the hundreds of connections are quiet

_WHITE_SPACE = re.compile(rb"[ \t\r\n]+")


class ProtocolError(Exception):
    """The input is not a valid message, and the start of the next message cannot be found. The connection
    must be closed."""


class Buffer:
    """Bytes that were received and not consumed yet. Codecs read `data` from `start` to `end` and call
    `consume`.

    The buffer grows with the longest message, up to `max_bytes`. It has no memory before the first input."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.data = bytearray()
        self.start = 0
        self.end = 0
        self.skipped_bytes = 0  # white space that was skipped since the last message
        self._scanned = 0  # offset in `data` up to which no line terminator was found

    @property
    def is_empty(self) -> bool:
        """Whether the buffer has no bytes, not even a part of a message."""
        return self.start == self.end

    def clear(self) -> None:
        """Drops the content and releases the memory."""
        self.data = bytearray()
        self.start = 0
        self.end = 0
        self._scanned = 0

    def free_space(self) -> memoryview:
        """Returns the space for further input. It is empty if one message fills the whole buffer, which
        exceeds the protocol's limits."""
        if not self.data:
            self.data = bytearray(min(self.max_bytes, INITIAL_BYTES))
        if self.start:
            rest = self.end - self.start
            self.data[:rest] = self.data[self.start : self.end]
            self._scanned = max(self._scanned - self.start, 0)
            self.start = 0
            self.end = rest
        if self.end == len(self.data) < self.max_bytes:
            self.data += bytes(min(self.end, self.max_bytes - self.end))
        return memoryview(self.data)[self.end :]

    def skip_white_space(self) -> None:
        """Consumes white space at the start, and adds its size to `skipped_bytes`."""
        if match := _WHITE_SPACE.match(self.data, self.start, self.end):
            count = match.end() - self.start
            self.consume(count)
            self.skipped_bytes += count

    def starts_with(self, prefix: bytes) -> bool:
        """Whether the content starts with these bytes."""
        return self.data.startswith(prefix, self.start, self.end)

    def drop_after(self, count: int) -> None:
        """Drops all bytes after the first `count` but the last one, which may begin a line terminator. The
        content must not have a complete line."""
        self.data[self.start + count] = self.data[self.end - 1]
        self.end = self.start + count + 1
        self._scanned = self.start + count

    def next_line(self, terminator: bytes) -> memoryview | None:
        """Returns the next line without its terminator, as a view of the buffer, or None if it is not
        complete. The caller must `consume` the line before it asks for the next one."""
        at = self.data.find(terminator, max(self._scanned, self.start), self.end)
        if at < 0:
            self._scanned = max(self.end - len(terminator) + 1, self.start)
            return None
        return memoryview(self.data)[self.start : at]

    def rescan(self) -> None:
        """Makes `next_line` return the last line again, because it was not consumed."""
        self._scanned = self.start

    def consume(self, count: int) -> None:
        """Removes the first `count` bytes."""
        self.start += count
        self._scanned = self.start

    def append(self, data: bytes) -> None:
        """Adds bytes as if they had been received. Raises ProtocolError if they exceed `max_bytes`."""
        while data:
            with self.free_space() as space:
                if not space:
                    raise ProtocolError("message is too long")
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.end += count
            data = data[count:]
