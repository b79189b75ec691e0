"""The log of what was done to a cluster, for the results and the chart."""

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.history import FLEET_WIDE, ClusterEvent


class EventLog:
    """Events in the order of their times."""

    def __init__(self) -> None:
        self.events: list[ClusterEvent] = []

    def add(self, server: int, text: str) -> None:
        """Notes an event of a server now."""
        self.events.append(ClusterEvent(clock(), server, text))

    def add_fleet_wide(self, text: str) -> None:
        """Notes an event of the store, or of the whole fleet, now."""
        self.add(FLEET_WIDE, text)
