"""The memory of this process: what is free below the platform's limit, and how many bytes of it each kind of
content may hold.

The limits are bounds for the whole process, so they hold for any number of clients and any rate of arrival.
The owner of each kind of content counts the bytes that it holds, for as long as it holds them."""

import math
import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1e6
KIB = 1024
# Share of the platform's limit that stays free: memory that the allocator cannot reuse, and estimates.
HEADROOM_SHARE = 0.05
WARM_UP_BYTES = 2.5e6  # taken for good by the first requests: caches of the interpreter, free lists
MIN_AVAILABLE_SHARE = 0.05  # share of the limit that counts as free if less is left, so that it can serve

# Shares of the free memory. Their sum is 1.
SHARED_SHARE = 0.72  # for idempotency keys and connections, see `SharedMemory`
REQUESTS_SHARE = 0.13
SESSIONS_SHARE = 0.05
OUTPUT_SHARE = 0.07
INPUT_SHARE = 0.03

CONNECTIONS_RESERVE = 0.2  # share of the shared memory that keys leave to connections
CONNECTION_BYTES = 16_000  # memory of a quiet connection: its socket, its tasks, its state
SESSION_BYTES = 130  # memory of an established session


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """How many bytes each kind of content may hold in this process. The default is no limit."""

    shared_bytes: float = math.inf  # idempotency keys with their responses, and connections
    request_bytes: float = math.inf  # pending requests with their bodies
    input_bytes: float = math.inf  # incomplete messages of all gateway connections
    output_bytes: float = math.inf  # unsent answers of all gateway connections
    sessions: float = math.inf  # number of established sessions


UNLIMITED = MemoryLimits()


class SharedMemory:
    """The memory that idempotency keys and gateway connections share. Each of the two may use what the other
    does not need at the moment, but keys always leave a reserve for connections."""

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.key_bytes = 0  # held by keys and their responses; counted by the table of keys
        self.connection_count = 0  # counted by the listener

    def bytes_for_keys(self) -> float:
        """Returns how many bytes all keys may hold now."""
        if math.isinf(self.max_bytes):
            return math.inf
        reserve = self.max_bytes * CONNECTIONS_RESERVE
        return self.max_bytes - max(self.connection_count * CONNECTION_BYTES, reserve)

    def max_connections(self) -> float:
        """Returns how many connections there may be now."""
        if math.isinf(self.max_bytes):
            return math.inf
        return (self.max_bytes - self.key_bytes) // CONNECTION_BYTES


def resident_bytes() -> int:
    """Returns the current resident memory of this process, or its peak where the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_bytes().split()[1])
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    return pages * resource.getpagesize()


def memory_limits(memory_mb: float, used_bytes: float) -> MemoryLimits:
    """Divides the memory that is left of `memory_mb` when the server starts, while it uses `used_bytes`."""
    limit = memory_mb * BYTES_PER_MB
    left = limit * (1 - HEADROOM_SHARE) - used_bytes - WARM_UP_BYTES
    available = max(left, limit * MIN_AVAILABLE_SHARE)
    return MemoryLimits(
        shared_bytes=available * SHARED_SHARE,
        request_bytes=available * REQUESTS_SHARE,
        input_bytes=available * INPUT_SHARE,
        output_bytes=available * OUTPUT_SHARE,
        sessions=int(available * SESSIONS_SHARE / SESSION_BYTES),
    )
