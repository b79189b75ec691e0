"""The messages of one batch, in the order in which they were decided."""

from collections.abc import Hashable
from typing import Any

from otterrudder.net.messages import Destination, LogEntry, Message, Outgoing


class Outbox:
    """Collects messages until the end of the batch."""

    __slots__ = ("messages",)

    def __init__(self) -> None:
        self.messages: list[Outgoing] = []

    def send(self, destination: Hashable, message: Message) -> None:
        """`destination`: a Destination or a connection; None: its caller has gone, and nothing is sent."""
        self.messages.append((destination, message))

    def log(self, text: str, fields: dict[str, Any]) -> None:
        """Adds a line for the log."""
        self.messages.append((Destination.DISPATCHER, LogEntry(text, fields)))

    def take(self) -> list[Outgoing]:
        """Returns the messages and begins anew."""
        messages = self.messages
        self.messages = []
        return messages
