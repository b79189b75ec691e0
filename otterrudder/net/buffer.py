"""A receive buffer that is parsed in place."""

INITIAL_BYTES = 4 * 1024  # nearly all messages fit, and hundreds of connections are quiet


class ProtocolError(Exception):
    """What came is no message, and what follows can't be told from it: the connection has to be closed."""


class Buffer:
    """What was received and not yet taken: codecs read `data` from `start` to `end`, and `consume` it.

    It grows up to its maximum with the longest message."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.data = bytearray(min(max_bytes, INITIAL_BYTES))
        self.start = 0
        self.end = 0
        self._scanned = 0  # up to there no line end was found

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits, not even a part of a message."""
        return self.start == self.end

    def free_space(self) -> memoryview:
        """Room for more; empty if one message fills it all, which no good sender's does."""
        if self.start:
            rest = self.end - self.start
            self.data[:rest] = self.data[self.start : self.end]
            self._scanned = max(self._scanned - self.start, 0)
            self.start = 0
            self.end = rest
        if self.end == len(self.data) < self.max_bytes:
            self.data += bytes(min(self.end, self.max_bytes - self.end))
        return memoryview(self.data)[self.end :]

    def next_line(self, terminator: bytes) -> memoryview | None:
        """The next line without its terminator, in place, if it is whole. `consume` it before the next
        one."""
        at = self.data.find(terminator, max(self._scanned, self.start), self.end)
        if at < 0:
            self._scanned = max(self.end - len(terminator) + 1, self.start)
            return None
        return memoryview(self.data)[self.start : at]

    def rescan(self) -> None:
        """The line that was found last stays: the next look begins at it."""
        self._scanned = self.start

    def consume(self, count: int) -> None:
        """So many bytes are taken."""
        self.start += count
        self._scanned = self.start

    def append(self, data: bytes) -> None:
        """Adds bytes as if they were received; ProtocolError: they are more than it may hold."""
        while data:
            with self.free_space() as space:
                if not space:
                    raise ProtocolError("a message that is too long")
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.end += count
            data = data[count:]
