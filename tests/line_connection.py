"""A blocking connection for tests that reads lines and bodies of known length."""

import socket

WAIT_S = 20.0  # limit of each wait in a test; reached only by a failing test
READ_BYTES = 65536


class LineConnection:
    """One end of a connection with the framing of the runtime's and the records service's protocols. Gateways
    use another line terminator."""

    def __init__(self, sock: socket.socket, terminator: bytes = b"\r\n") -> None:
        sock.settimeout(WAIT_S)
        self.sock = sock
        self.terminator = terminator
        self.data = b""  # received and not consumed yet

    def read_line(self) -> bytes:
        """Returns the next line without its terminator, or b"" at the end of the stream."""
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
        """Reads a body of `size` bytes and its terminator."""
        while len(self.data) < size + 2:
            more = self.sock.recv(READ_BYTES)
            assert more, "the connection ended within a body"
            self.data += more
        body, end, self.data = self.data[:size], self.data[size : size + 2], self.data[size + 2 :]
        assert end == b"\r\n"
        return body

    def send(self, text: str, body: bytes | None = None) -> None:
        """Sends a line, or a line with the body's length as the last word and the body."""
        if body is None:
            self.sock.sendall(text.encode() + b"\r\n")
        else:
            self.sock.sendall(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

    def close(self) -> None:
        self.sock.close()


def listen() -> socket.socket:
    """Returns a listening socket on a free port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock
