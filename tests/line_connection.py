"""One end of a connection in a test: blocking, read by lines and by lengths."""

import socket

# Bound of any single wait of a test, in s: for failures alone, nothing is timed by it.
WAIT_S = 20.0
READ_BYTES = 65536


class LineConnection:
    """The framing of the runtime's and the records service's protocols; gateways' lines end otherwise."""

    def __init__(self, sock: socket.socket, terminator: bytes = b"\r\n") -> None:
        sock.settimeout(WAIT_S)
        self.sock = sock
        self.terminator = terminator
        self.data = b""  # read and not yet taken

    def read_line(self) -> bytes:
        """The next line without its end; b"" at the end of the stream."""
        while self.terminator not in self.data:
            try:
                more = self.sock.recv(READ_BYTES)
            except ConnectionError:
                more = b""
            if not more:
                return b""
            self.data += more
        line, self.data = self.data.split(self.terminator, 1)
        return line

    def read_body(self, size: int) -> bytes:
        """A body of so many bytes with its end, which must come."""
        while len(self.data) < size + 2:
            more = self.sock.recv(READ_BYTES)
            assert more, "ended in a body"
            self.data += more
        body, end, self.data = self.data[:size], self.data[size : size + 2], self.data[size + 2 :]
        assert end == b"\r\n"
        return body

    def send(self, text: str, body: bytes | None = None) -> None:
        """Sends a line; with a body, its length goes behind the line's words."""
        if body is None:
            self.sock.sendall(text.encode() + b"\r\n")
        else:
            self.sock.sendall(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

    def close(self) -> None:
        self.sock.close()


def listen() -> socket.socket:
    """A listening socket on a free port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock
