"""A local, read-only socket for operators' commands: one line of JSON a request, one a reply, then it closes.

    {"v": 1, "ask": "vrrp"}      ->      {"v": 1, "vrrp": [...]}

In $TMPDIR, mode 0600, so nobody but the server's own user reads it. Bounded in connections, bytes and
time."""

import contextlib
import json
import os
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc

from otterrudder.log import log

VERSION = 1  # of the form
REQUEST_MOST = 4096  # bytes of a request
OPEN_MOST = 4  # connections at a time: an operator or two
PATIENCE_S = 2.0  # s for a request to come and its reply to go
MODE = 0o600


def path_of(name: str) -> Path:
    """Where the server of that name listens."""
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / f"otterrudder-{name}.sock"


class Control:
    def __init__(self, name: str, answers: dict[str, Callable[[], object]]) -> None:
        """`answers`: by what is asked for, a call that says it."""
        self.path, self.answers, self.open = path_of(name), answers, 0

    async def run(self) -> None:
        """Serves until it is cancelled; a place that can't be had is logged, and the server goes on
        without."""
        try:
            sock = self._bind()
        except OSError as trouble:
            log.warning("no control socket", path=str(self.path), why=str(trouble))
            return
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(sock)
                    try:
                        other, _ = sock.accept()
                    except OSError:
                        continue
                    if self.open >= OPEN_MOST:
                        other.close()
                        continue
                    group.start_soon(self._serve, other)
        finally:
            sock.close()
            self.path.unlink(missing_ok=True)

    def _bind(self) -> socket.socket:
        self.path.unlink(missing_ok=True)  # of a process that was killed: names are one server's each
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            before = os.umask(0o777 & ~MODE)
            try:
                sock.bind(str(self.path))
            finally:
                os.umask(before)
            sock.listen(OPEN_MOST)
        except BaseException:
            sock.close()
            raise
        return sock

    async def _serve(self, sock: socket.socket) -> None:
        self.open += 1
        try:
            sock.setblocking(False)
            with anyio.move_on_after(PATIENCE_S):
                data = b""
                while b"\n" not in data and len(data) < REQUEST_MOST:
                    await anyio.wait_readable(sock)
                    try:
                        more = sock.recv(REQUEST_MOST - len(data))
                    except BlockingIOError:  # woken for nothing
                        continue
                    if not more:
                        break
                    data += more
                await self._send(sock, self._reply(data) + b"\n")
        except OSError:
            pass  # it has gone, and is owed nothing
        finally:
            self.open -= 1
            sock.close()

    async def _send(self, sock: socket.socket, data: bytes) -> None:
        while data:
            await anyio.wait_writable(sock)
            with contextlib.suppress(BlockingIOError):
                data = data[sock.send(data) :]

    def _reply(self, data: bytes) -> bytes:
        try:
            told = json.loads(data)
            if told.get("v") != VERSION:
                return _said(error=f"this server speaks version {VERSION}")
            answer = self.answers.get(told.get("ask"))
            if answer is None:
                return _said(error=f"ask for one of {', '.join(sorted(self.answers))}")
            return _said(**{told["ask"]: answer()})
        except (ValueError, AttributeError, TypeError):
            return _said(error="not a line of JSON")


def _said(**facts: object) -> bytes:
    return json.dumps({"v": VERSION} | facts, default=str).encode()


def ask(name: str, what: str) -> dict[str, object]:
    """What a running server says; OSError if none answers."""
    return ask_at(path_of(name), what)


def ask_at(path: Path, what: str) -> dict[str, object]:
    """The same, by the socket's path."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(PATIENCE_S)
        sock.connect(str(path))
        sock.sendall(json.dumps({"v": VERSION, "ask": what}).encode() + b"\n")
        data = b""
        while more := sock.recv(65536):
            data += more
    told: dict[str, object] = json.loads(data)
    return told
