"""Closes gateway connections that are silent, stuck or idle, and idle ones to make room for new connections.
A connection with an open request is never closed to make room."""

import math
from collections.abc import Collection
from dataclasses import dataclass

from otterrudder import clock
from otterrudder.net.gateway_connection import IDLE_REASON, GatewayConnection

READ_TIMEOUT_MS = 10_000.0  # maximum time in which the gateway reads none of its pending answers
PARTIAL_MESSAGE_TIMEOUT_MS = 1500.0  # gateways write a message in one go
CROWDED_SHARE = 0.5  # share of the maximum number of connections above which idle ones are closed early
# Idle times while connections are crowded, and when a connection must be closed at once to make room.
CROWDED_IDLE_MS = 1000.0  # gateways return sooner or open another connection
MIN_SILENT_MS = 100.0  # time since connecting without a message; gateways connect to send a request
MIN_IDLE_MS = 250.0  # time since the last answer; gateways retry a request that crosses the close
MAX_CLOSED_AT_ONCE = 16  # connections closed to make room per search, which examines all connections
CLOSE_TIMEOUT_S = 0.02  # time to close a connection to make room: it has no pending input or output
MAKE_ROOM_REASON = "closed to make room for new connections"  # end reason of a connection


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Maximum times without activity on a connection, in ms."""

    idle_ms: float = math.inf  # time from the last activity until `noMore` is sent
    # Time from connecting to the first response: half of the time that gateways are promised.
    first_response_ms: float = 1500.0
    goaway_grace_ms: float = 1000.0  # time from `noMore` to the close

    def crowded(self) -> "Timeouts":
        """Returns the shorter timeouts that apply while connections are crowded."""
        return Timeouts(min(self.idle_ms, CROWDED_IDLE_MS), MIN_IDLE_MS, MIN_SILENT_MS)


def sweep(connections: Collection[GatewayConnection], max_connections: int, idle_ms: float) -> None:
    """Closes the connections that have been silent for too long."""
    now = clock.monotonic()
    timeouts = Timeouts(idle_ms)
    if len(connections) > CROWDED_SHARE * max_connections:
        timeouts = timeouts.crowded()
    for connection in connections:
        close_if_silent(connection, now, timeouts)


def close_if_silent(connection: GatewayConnection, now: float, timeouts: Timeouts) -> None:
    """Closes a connection that has been silent for too long. An idle connection is sent `noMore` first, so
    that a request already under way is still answered."""
    stream = connection.stream
    if stream.unsent_bytes and now - stream.last_progress > READ_TIMEOUT_MS:
        stream.abort("peer does not read its answers")
    if connection.is_busy():
        return
    if not connection.has_response and now - connection.connected_at > timeouts.first_response_ms:
        connection.close("no message within the initial timeout")
    elif now - connection.partial_since > PARTIAL_MESSAGE_TIMEOUT_MS:
        connection.close("message was not completed in time")
    elif now - connection.last_activity < timeouts.idle_ms:
        return
    elif not connection.goaway_at:
        connection.send_goaway(now)
    elif now - max(connection.goaway_at, connection.last_activity) > timeouts.goaway_grace_ms:
        connection.close(IDLE_REASON)


def make_room(connections: Collection[GatewayConnection], is_shutting_down: bool) -> bool:
    """Closes some connections at once: first those that never sent a message, then those idle for longest.
    Returns whether any connection is closing to make room."""
    if any(connection.stream.end_reason == MAKE_ROOM_REASON for connection in connections):
        return True  # connections closing for other reasons do not count: they may take long to be answered
    now = clock.monotonic()
    candidates = [
        connection
        for connection in connections
        if not connection.is_busy() and (is_shutting_down or _is_replaceable(connection, now))
    ]
    candidates.sort(key=lambda connection: (connection.has_response, connection.last_activity))
    closed = 0
    for connection in candidates:
        closed += connection.close(MAKE_ROOM_REASON, CLOSE_TIMEOUT_S)
        if closed == MAX_CLOSED_AT_ONCE:
            break
    return closed > 0


def close_oldest_partial_message(connections: Collection[GatewayConnection]) -> bool:
    """Closes the connection whose incomplete message began first. Returns False if there is none."""
    candidates = [connection for connection in connections if _has_partial_message(connection)]
    if not candidates:
        return False
    oldest = min(candidates, key=lambda connection: connection.partial_since)
    oldest.stream.close("incomplete messages of all connections take too much memory")
    return True


def abort_slowest_reader(connections: Collection[GatewayConnection]) -> bool:
    """Aborts the connection with the most unsent output. Returns False if there is none."""
    streams = [connection.stream for connection in connections if not connection.stream.is_closed]
    slowest = max(streams, key=lambda stream: stream.unsent_bytes, default=None)
    if slowest is None or not slowest.unsent_bytes:
        return False
    slowest.abort("unsent answers of all connections take too much memory")
    return True


def _has_partial_message(connection: GatewayConnection) -> bool:
    return not connection.stream.buffer.is_empty and not connection.stream.end_reason


def _is_replaceable(connection: GatewayConnection, now: float) -> bool:
    return now - connection.last_activity > (MIN_IDLE_MS if connection.has_response else MIN_SILENT_MS)
