"""The fields of a request as it arrives, and the record of a pending request."""

import math
from typing import Any

import msgspec

from otterrudder.net.idempotency import IdempotencyEntry

REQUEST_BYTES = 2500  # memory of a pending request besides bodies: its records, timers and entries of dicts

# Values of `PendingRequest.delivery` besides the tag of a gauges query.
NOT_SENT = 0
CONFIRMED = -1  # the runtime has read the last command
UNCERTAIN = math.inf  # the command may be lost with its link, and no later answer can tell


class RequestFields(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """The fields of a request, as a gateway sent them."""

    request_id: str
    received_at: float  # Unix time in ms at which the gateway received the request, by its clock
    ttl_ms: float | None  # how long its caller waits for an answer from `received_at` on; None: not given
    size_kb: float  # memory that a run of the request takes
    tenant_index: int
    session_key: int  # 0: not part of a session
    is_retry: bool
    idempotency_key: str  # "": none
    body: bytes
    criticality: float = 1.0  # from 0 to 1; the higher, the later it is rejected


class PendingRequest(msgspec.Struct, eq=False):
    """A request that is not answered yet or whose run is not over."""

    number: int  # the request's id at the admission controller
    request_id: str  # the request's id in the protocols of gateways, runtime and records service
    connection: Any  # the connection to answer on; None once the request is closed
    rpc_id: int
    class_index: int
    body: bytes
    idempotency_key: str  # "": none
    digest: bytes  # digest of the request class and the body
    is_answered: bool = False  # the request was answered, or its caller has disconnected
    is_released: bool = False  # it is answered and its run is over; commands of the batch may still name it
    is_running: bool = False  # the run was started, and the end of the run is not known yet
    is_calling: bool = False  # the downstream call was sent and has not ended
    # Tag of the gauges query whose answer confirms that the runtime has read the start or reply of the run,
    # or one of NOT_SENT, CONFIRMED and UNCERTAIN.
    delivery: float = NOT_SENT
    pending_call: bytes | None = None  # body of the downstream call that its run waits for
    reply: bytes | None = None  # reply to its last downstream call, until its run needs the next one
    replayed_entry: IdempotencyEntry | None = None  # entry whose response the request waits for
    counted_bytes: int = 0  # memory counted for the request by the table

    @property
    def held_bytes(self) -> int:
        """The memory that the request takes, in bytes."""
        return REQUEST_BYTES + len(self.body) + len(self.pending_call or b"") + len(self.reply or b"")
