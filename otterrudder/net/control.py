"""A local, read-only control socket for operators' commands. A connection carries one line of JSON as the
request and one as the reply.

    {"v": 1, "ask": "vrrp"}      ->      {"v": 1, "vrrp": [...]}

The socket file is in $TMPDIR with mode 0600, so only the server's own user can connect. Connections, bytes
and time are limited. tests/test_control_stored_bytes.py fixes the format."""

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

VERSION = 1  # version of the format
MAX_REQUEST_BYTES = 4096
MAX_CONNECTIONS = 4  # enough for one or two operators
TIMEOUT_S = 2.0  # timeout for receiving a request and sending its reply
SOCKET_MODE = 0o600
READ_BYTES = 65536  # size of one read of a reply


class InvalidRequestError(Exception):
    """The request is invalid; the text is sent as the reply's `error`."""


def socket_path(name: str) -> Path:
    """Returns the path of the control socket of the server with this name."""
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / f"otterrudder-{name}.sock"


class ControlSocket:
    """The server's side of the control socket."""

    def __init__(self, name: str, answers: dict[str, Callable[[], object]]) -> None:
        """`answers` maps each word that can be asked for to a function that returns a value for JSON."""
        self.path = socket_path(name)
        self._answers = answers
        self._connections = 0

    async def run(self) -> None:
        """Serves until it is cancelled. If it cannot listen, it logs a warning and returns; the server runs
        without a control socket."""
        try:
            sock = self._bind()
        except OSError as error:
            log.warning("cannot listen on the control socket", path=str(self.path), why=str(error))
            return
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(sock)
                    self._accept(sock, group)
        finally:
            sock.close()
            self.path.unlink(missing_ok=True)

    def _bind(self) -> socket.socket:
        self.path.unlink(missing_ok=True)  # left by a killed process; server names are unique
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            earlier_mask = os.umask(0o777 & ~SOCKET_MODE)
            try:
                sock.bind(str(self.path))
            finally:
                os.umask(earlier_mask)
            sock.listen(MAX_CONNECTIONS)
        except BaseException:
            sock.close()
            raise
        return sock

    def _accept(self, sock: socket.socket, group: anyio.abc.TaskGroup) -> None:
        try:
            connection, _ = sock.accept()
        except OSError:
            return
        if self._connections >= MAX_CONNECTIONS:
            connection.close()
        else:
            group.start_soon(self._serve, connection)

    async def _serve(self, sock: socket.socket) -> None:
        self._connections += 1
        try:
            sock.setblocking(False)
            with anyio.move_on_after(TIMEOUT_S):
                line = await self._read_line(sock)
                await self._write(sock, self._reply(line) + b"\n")
        except OSError:
            pass  # the peer has disconnected
        finally:
            self._connections -= 1
            sock.close()

    async def _read_line(self, sock: socket.socket) -> bytes:
        data = b""
        while b"\n" not in data and len(data) < MAX_REQUEST_BYTES:
            await anyio.wait_readable(sock)
            try:
                more = sock.recv(MAX_REQUEST_BYTES - len(data))
            except BlockingIOError:  # spurious wake-up
                continue
            if not more:
                break
            data += more
        return data

    async def _write(self, sock: socket.socket, data: bytes) -> None:
        while data:
            await anyio.wait_writable(sock)
            with contextlib.suppress(BlockingIOError):
                data = data[sock.send(data) :]

    def _reply(self, line: bytes) -> bytes:
        try:
            word = self._requested_word(line)
            return _encode(**{word: self._answers[word]()})
        except InvalidRequestError as error:
            return _encode(error=str(error))
        except (ValueError, AttributeError, TypeError):
            return _encode(error="not a line of JSON")

    def _requested_word(self, line: bytes) -> str:
        request = json.loads(line)
        if request.get("v") != VERSION:
            raise InvalidRequestError(f"this server speaks version {VERSION}")
        word = request.get("ask")
        if word not in self._answers:
            raise InvalidRequestError(f"ask for one of {', '.join(sorted(self._answers))}")
        return str(word)


def _encode(**members: object) -> bytes:
    return json.dumps({"v": VERSION} | members, default=str).encode()


def query(name: str, word: str) -> dict[str, object]:
    """Sends a request to the running server with this name. Raises OSError if no server answers."""
    return query_path(socket_path(name), word)


def query_path(path: Path, word: str) -> dict[str, object]:
    """Sends a request to the server that listens at the path. Raises OSError if no server answers."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(TIMEOUT_S)
        sock.connect(str(path))
        sock.sendall(json.dumps({"v": VERSION, "ask": word}).encode() + b"\n")
        data = b""
        while more := sock.recv(READ_BYTES):
            data += more
    reply: dict[str, object] = json.loads(data)
    return reply
