"""A gateway for tests, written from the specification of the protocol."""

import base64
import json
import socket
import time
from typing import Any

from line_connection import WAIT_S, LineConnection


class FakeGateway(LineConnection):
    """A gateway's connection to a server. The ids of its messages count from 1."""

    def __init__(self, address: tuple[str, int], receive_buffer: int = 0) -> None:
        """`receive_buffer` is the size in bytes of the socket's receive buffer; 0 keeps the system's
        default."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(WAIT_S)
        sock.connect(address)
        super().__init__(sock, b"\n")
        self.last_id = 0

    def message(self, method: str, **params: object) -> bytes:
        """Encodes the next message without sending it."""
        self.last_id += 1
        document = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
        return json.dumps(document).encode() + b"\n"

    def request_message(
        self, call: str, product: str = "look", body: bytes = b"ask", **params: object
    ) -> bytes:
        """Encodes the next request without sending it. `params` replace its fields."""
        fields = {
            "call": call,
            "recv": round(time.time() * 1000),
            "src": 4,
            "org": "north",
            "ttl": 15000,
            "heap": 20.0,
            "crit": 0.5,
            "blob": base64.b64encode(body).decode(),
        }
        return self.message(product, **(fields | params))

    def send_message(self, method: str, **params: object) -> int:
        """Sends a message and returns its id."""
        self.sock.sendall(self.message(method, **params))
        return self.last_id

    def send_request(self, call: str, product: str = "look", body: bytes = b"ask", **params: object) -> int:
        """Sends a request and returns its id."""
        self.sock.sendall(self.request_message(call, product, body, **params))
        return self.last_id

    def read_answer(self) -> dict[str, Any]:
        """Returns the next answer; skips notifications."""
        while True:
            line = self.read_line()
            assert line, "the server closed the connection"
            document: dict[str, Any] = json.loads(line)
            if "id" in document:
                return document

    def read_result(self) -> bytes:
        """Returns the response in the next answer."""
        return base64.b64decode(self.read_answer()["result"]["blob"])
