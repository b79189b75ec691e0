"""Logging by structlog to standard error in logfmt. Writing a line never blocks."""

import os
import select
import time

import structlog

MAX_LINE_BYTES = 2000  # below PIPE_BUF, so that a pipe that polls as writable accepts the whole line
MAX_LINES_PER_SECOND = 50  # further lines are dropped and counted


class _NonBlockingSink:
    """Writes lines to a file descriptor. Lines that would block are dropped and counted in the next line."""

    def __init__(self, fd: int = 2) -> None:
        self.fd = fd
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)
        self.second = 0
        self.lines = 0  # lines in the current second
        self.lost = 0  # lines dropped since the last one written

    def msg(self, line: str) -> None:
        """Writes a line, or counts it as lost."""
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
    """Configures structlog for this process. Every line has the server's name."""
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
