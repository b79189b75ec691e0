"""Logging by structlog to standard error, in logfmt; writing a line never blocks."""

import os
import select
import time

import structlog

MAX_LINE_BYTES = 2000  # below PIPE_BUF: a pipe that polls writable takes the line whole
MAX_LINES_PER_SECOND = 50  # the rest is dropped and counted


class _NonBlockingSink:
    """Writes lines to a file descriptor; what it would block on is dropped, and counted in the next line."""

    def __init__(self, fd: int = 2) -> None:
        self.fd = fd
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)
        self.second = 0
        self.lines = 0  # in this second
        self.lost = 0

    def msg(self, line: str) -> None:
        """Writes one line, or counts it as lost."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_SECOND or not self._is_writable():
            self.lost += 1
            return
        if self.lost:
            line = f"{line} lines_lost={self.lost}"
            self.lost = 0
        try:
            os.write(self.fd, line.encode("utf-8", "replace")[:MAX_LINE_BYTES] + b"\n")
        except OSError:
            self.lost += 1

    debug = info = warning = error = critical = msg

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self.poll.poll(0))


def configure_logging(server_name: str) -> None:
    """Configures structlog for this process; every line carries the server's name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=lambda *_: _NonBlockingSink(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(server=server_name)


log = structlog.get_logger()
