"""A runtime that a test plays, written from the protocol."""

import socket
import time

from line_connection import WAIT_S, LineConnection

GAUGES = "0.2 1 0.1 5"


class FakeRuntime(LineConnection):
    """One link of a server. Answers gauges queries by itself, and hands on all other commands."""

    def __init__(
        self,
        sock: socket.socket,
        ready: str = "hot 60000",
        missed: tuple[tuple[str, bytes | None], ...] = (),
    ) -> None:
        """`ready`: warmth and uptime, "" for a runtime that is not up yet; `missed`: notices to replay."""
        super().__init__(sock)
        self.synced_notice = int(self.read_line().split()[1])  # the last notice that the server knows
        self.last_notice = self.synced_notice
        self.ignores_gauges = False
        if ready:
            self.send(f"ready {ready}")
        for text, body in missed:
            self.send_notice(text, body)

    def read_command(self) -> tuple[list[str], bytes]:
        """The words and the body of the next command but gauges queries."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            words = self.read_line().decode().split(" ")
            if words[0] == "gauges":
                if not self.ignores_gauges:
                    self.send(f"load {words[1]} {GAUGES}")
            else:
                return words, self.read_body(int(words[-1])) if words[0] in ("start", "give") else b""
        raise AssertionError("nothing but questions for gauges")

    def expect_command(self, *words: str) -> tuple[list[str], bytes]:
        """The next command, which must begin with these words."""
        got, body = self.read_command()
        assert tuple(got[: len(words)]) == words, got
        return got, body

    def answer_gauges(self, count: int = 3) -> None:
        """Nothing but gauges queries comes, so many of them."""
        for _ in range(count):
            words = self.read_line().decode().split(" ")
            assert words[0] == "gauges", words
            self.send(f"load {words[1]} {GAUGES}")

    def send_notice(self, text: str, body: bytes | None = None) -> None:
        """The notice's number goes behind its word."""
        self.last_notice += 1
        word, rest = text.split(" ", 1)
        self.send(f"{word} {self.last_notice} {rest}", body)

    def end_run(self, request_id: str, body: bytes = b"done", how: str = "complete") -> None:
        """The run has ended so, with this response."""
        self.send_notice(f"end {request_id} {how} 12.5", body)
