"""structlog on standard error: a line for what an operator acts on, and never a wait for whoever reads it."""

import os
import select
import time

import structlog

LINE_MOST = 2000  # bytes of a line: below PIPE_BUF, so a pipe that polls writable takes it whole
PER_SECOND = 50  # lines; past that they are counted, or one bad day fills the disk of whoever keeps them


class _Sink:
    def __init__(self, fd: int = 2) -> None:
        self.fd, self.poll = fd, select.poll()
        self.poll.register(fd, select.POLLOUT)
        self.second, self.lines, self.lost = 0, 0, 0

    def msg(self, line: str) -> None:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        # A full pipe would block the whole server: a log line is worth less than that.
        if self.lines > PER_SECOND or not any(how & select.POLLOUT for _, how in self.poll.poll(0)):
            self.lost += 1
            return
        if self.lost:
            line, self.lost = f"{line} lines_lost={self.lost}", 0
        try:
            os.write(self.fd, line.encode("utf-8", "replace")[:LINE_MOST] + b"\n")
        except OSError:
            self.lost += 1

    debug = info = warning = error = critical = msg


def set_up(name: str) -> None:
    """Configures structlog for this process; every line carries the server's name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=lambda *_: _Sink(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(server=name)


log = structlog.get_logger()
