"""A records service for tests, written from the specification of the protocol."""

from line_connection import LineConnection, listen


class FakeRecords:
    """Accepts the server's connections; the test reads and answers the calls on them."""

    def __init__(self) -> None:
        self.sock = listen()
        self.address: tuple[str, int] = self.sock.getsockname()

    def accept(self) -> LineConnection:
        """Accepts the next connection."""
        return LineConnection(self.sock.accept()[0])

    def accept_call(self, request_id: str, body: bytes) -> LineConnection:
        """Accepts the next connection and checks that it carries this call."""
        connection = self.accept()
        assert connection.read_line().startswith(f"OP {request_id} ".encode())
        assert connection.read_body(len(body)) == body
        return connection

    def close(self) -> None:
        self.sock.close()
