"""A runtime for tests, written from the specification of the protocol."""

import socket
import time

from line_connection import WAIT_S, LineConnection

GAUGES = "0.2 1 0.1 5"


class FakeRuntime(LineConnection):
    """The runtime's end of a link. It answers gauges queries, and the test handles all other commands."""

    def __init__(
        self,
        sock: socket.socket,
        ready: str = "hot 60000",
        missed: tuple[tuple[str, bytes | None], ...] = (),
    ) -> None:
        """`ready` has the words after `ready`, or "" for a runtime that is not up yet; `missed` are the
        notices to replay."""
        super().__init__(sock)
        self.synced_notice = int(self.read_line().split()[1])  # last notice that the server has
        self.last_notice = self.synced_notice
        self.ignores_gauges = False
        if ready:
            self.send(f"ready {ready}")
        for text, body in missed:
            self.send_notice(text, body)

    def read_command(self) -> tuple[list[str], bytes]:
        """Returns the words and the body of the next command that is not a gauges query."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            words = self.read_line().decode().split(" ")
            if words[0] == "gauges":
                if not self.ignores_gauges:
                    self.send(f"load {words[1]} {GAUGES}")
            else:
                return words, self.read_body(int(words[-1])) if words[0] in ("start", "give") else b""
        raise AssertionError("received only gauges queries")

    def expect_command(self, *words: str) -> tuple[list[str], bytes]:
        """Returns the next command and checks that it begins with these words."""
        command, body = self.read_command()
        assert tuple(command[: len(words)]) == words, command
        return command, body

    def answer_gauges(self, count: int = 3) -> None:
        """Answers `count` commands, which must all be gauges queries."""
        for _ in range(count):
            words = self.read_line().decode().split(" ")
            assert words[0] == "gauges", words
            self.send(f"load {words[1]} {GAUGES}")

    def send_notice(self, text: str, body: bytes | None = None) -> None:
        """Sends a notice; its number is inserted after the first word."""
        self.last_notice += 1
        word, rest = text.split(" ", 1)
        self.send(f"{word} {self.last_notice} {rest}", body)

    def end_run(self, request_id: str, body: bytes = b"done", outcome: str = "complete") -> None:
        """Reports the end of a run with this outcome and response."""
        self.send_notice(f"end {request_id} {outcome} 12.5", body)
