"""A records service that a test plays, written from the protocol."""

from line_connection import LineConnection, listen


class FakeRecords:
    """Accepts the server's connections; what comes on them is read and answered by the test."""

    def __init__(self) -> None:
        self.sock = listen()
        self.address: tuple[str, int] = self.sock.getsockname()

    def accept(self) -> LineConnection:
        """The next connection."""
        return LineConnection(self.sock.accept()[0])

    def accept_call(self, request_id: str, body: bytes) -> LineConnection:
        """The next connection, on which this call must come."""
        connection = self.accept()
        assert connection.read_line().startswith(f"OP {request_id} ".encode())
        assert connection.read_body(len(body)) == body
        return connection

    def close(self) -> None:
        self.sock.close()
