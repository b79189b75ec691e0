"""A request as it arrives, and as it is kept until it is answered and its run is over."""

import math
from typing import Any

import msgspec

from otterrudder.net.idempotency import IdempotencyEntry

# States of `PendingRequest.delivery` beside the tag of a gauges query.
NOT_SENT = 0
CONFIRMED = -1  # the runtime has read what was last sent to it
UNCERTAIN = math.inf  # a lost link may have swallowed it, and no later answer can tell


class RequestFields(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """What a gateway says of a request."""

    request_id: str
    received_at: float  # Unix time in ms at which the gateway received it, by the gateway's clock
    ttl_ms: float | None  # how long from then it may wait for its answer; None: not said
    size_kb: float  # the memory that a run of it takes
    tenant_index: int
    session_key: int  # 0: of no session
    is_retry: bool
    idempotency_key: str  # "": none
    body: bytes
    criticality: float = 1.0  # from 0 to 1; the higher, the later it is rejected


class PendingRequest(msgspec.Struct, eq=False):
    """A request that is owed an answer, or whose run is not over."""

    number: int  # the admission controller's id of it
    request_id: str  # its id on the wires
    connection: Any  # where the answer goes; None once no answer is owed
    rpc_id: int
    class_index: int
    body: bytes
    idempotency_key: str  # "": none
    digest: bytes  # identifies what is asked for
    is_answered: bool = False  # or its caller has gone
    is_running: bool = False  # started, and its end is not known yet
    is_calling: bool = False  # its downstream call is out
    # The tag of the gauges query whose answer confirms that the runtime has read its start or reply, or one
    # of NOT_SENT, CONFIRMED and UNCERTAIN.
    delivery: float = NOT_SENT
    pending_call: bytes | None = None  # the body of the downstream call that its run waits at
    reply: bytes | None = None  # to its last downstream call, until its run is at the next one
    replayed_entry: IdempotencyEntry | None = None  # whose response it waits for
