"""Which connections of gateways are closed early: those that are silent, stuck or idle, and those that make
room for others. None with an open request is closed for another's sake."""

import math
from collections.abc import Collection
from dataclasses import dataclass

from otterrudder import clock
from otterrudder.net.gateway_connection import IDLE_REASON, GatewayConnection

READ_TIMEOUT_MS = 10_000.0  # without reading anything of what it is owed
PARTIAL_MESSAGE_TIMEOUT_MS = 1500.0  # gateways write a message in one go
CROWDED_SHARE = 0.5  # of the connections, from which on idle ones are closed early: they need at most half
# Idle times when connections are crowded, and when one has to make room at once.
CROWDED_IDLE_MS = 1000.0  # gateways are back sooner or open another
MIN_SILENT_MS = 100.0  # since connecting, without a message: gateways connect to ask
MIN_IDLE_MS = 250.0  # after its answers: what crosses its close comes again
MAX_CLOSED_AT_ONCE = 16  # to make room: looking for them costs a look at all
CLOSE_TIMEOUT_S = 0.02  # of one that makes room: nothing is owed to it, and nothing unread
MAKE_ROOM_REASON = "room for others"  # a reason for an end


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a connection may be silent, in ms."""

    idle_ms: float = math.inf  # since the last activity, before it is asked to go away
    first_response_ms: float = 1500.0  # since connecting: half of the time that gateways are promised
    goaway_grace_ms: float = 1000.0  # since it was asked to go away

    def crowded(self) -> "Timeouts":
        """Those that hold when connections run short."""
        return Timeouts(min(self.idle_ms, CROWDED_IDLE_MS), MIN_IDLE_MS, MIN_SILENT_MS)


def sweep(connections: Collection[GatewayConnection], max_connections: int, idle_ms: float) -> None:
    """Closes those that have been silent for too long."""
    now = clock.monotonic()
    timeouts = Timeouts(idle_ms)
    if len(connections) > CROWDED_SHARE * max_connections:
        timeouts = timeouts.crowded()
    for connection in connections:
        close_if_silent(connection, now, timeouts)


def close_if_silent(connection: GatewayConnection, now: float, timeouts: Timeouts) -> None:
    """An idle connection is asked to go away first: a request on its way here is still answered."""
    stream = connection.stream
    if stream.unsent_bytes and now - stream.last_progress > READ_TIMEOUT_MS:
        stream.abort("reads nothing of what it is owed")
    if connection.is_busy():
        return
    if not connection.has_response and now - connection.connected_at > timeouts.first_response_ms:
        connection.close("nothing to answer in time")
    elif now - connection.partial_since > PARTIAL_MESSAGE_TIMEOUT_MS:
        connection.close("partial message")
    elif now - connection.last_activity < timeouts.idle_ms:
        return
    elif not connection.goaway_at:
        connection.send_goaway(now)
    elif now - max(connection.goaway_at, connection.last_activity) > timeouts.goaway_grace_ms:
        connection.close(IDLE_REASON)


def make_room(connections: Collection[GatewayConnection], is_shutting_down: bool) -> bool:
    """Closes some at once: those that never asked anything first, then those idle for longest. Whether any is
    closing."""
    if any(connection.stream.end_reason == MAKE_ROOM_REASON for connection in connections):
        return True  # connections that close for another reason may be owed something for long
    now = clock.monotonic()
    rested = [
        connection
        for connection in connections
        if not connection.is_busy() and (is_shutting_down or _is_replaceable(connection, now))
    ]
    rested.sort(key=lambda connection: (connection.has_response, connection.last_activity))
    closed = 0
    for connection in rested:
        closed += connection.close(MAKE_ROOM_REASON, CLOSE_TIMEOUT_S)
        if closed == MAX_CLOSED_AT_ONCE:
            break
    return closed > 0


def _is_replaceable(connection: GatewayConnection, now: float) -> bool:
    return now - connection.last_activity > (MIN_IDLE_MS if connection.has_response else MIN_SILENT_MS)
