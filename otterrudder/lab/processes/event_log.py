"""The log of faults, recoveries and operator actions in a cluster, for the results and the chart."""

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.history import FLEET_WIDE, ClusterEvent


class EventLog:
    """Events in chronological order."""

    def __init__(self) -> None:
        self.events: list[ClusterEvent] = []

    def add(self, server: int, text: str) -> None:
        """Records an event of a server at the current time."""
        self.events.append(ClusterEvent(clock(), server, text))

    def add_fleet_wide(self, text: str) -> None:
        """Records an event of the store or of the whole fleet at the current time."""
        self.add(FLEET_WIDE, text)
