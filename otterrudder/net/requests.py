"""A request as it arrives, and as it is kept until it is answered and its run is over."""

import math
from collections.abc import Hashable
from typing import NamedTuple

from otterrudder.net.idempotency import IdempotencyEntry

# States of `PendingRequest.delivery` beside the tag of a gauges query.
NOT_SENT = 0
CONFIRMED = -1  # the runtime has read what was last sent to it
UNCERTAIN = math.inf  # a lost link may have swallowed it, and no later answer can tell


class RequestFields(NamedTuple):
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


class PendingRequest:
    """A request that is owed an answer, or whose run is not over."""

    __slots__ = (
        "number",
        "request_id",
        "connection",
        "rpc_id",
        "class_index",
        "body",
        "idempotency_key",
        "digest",
        "is_answered",
        "is_running",
        "is_calling",
        "delivery",
        "pending_call",
        "reply",
        "replayed_entry",
    )

    def __init__(
        self,
        number: int,
        request_id: str,
        connection: Hashable,
        rpc_id: int,
        class_index: int,
        body: bytes,
        idempotency_key: str,
        digest: bytes,
    ) -> None:
        """`number` is the admission controller's id of it; `digest` identifies what is asked for."""
        self.number = number
        self.request_id = request_id
        self.connection: Hashable = connection  # None once no answer is owed
        self.rpc_id = rpc_id
        self.class_index = class_index
        self.body = body
        self.idempotency_key = idempotency_key
        self.digest = digest
        self.is_answered = False  # or its caller has gone
        self.is_running = False  # started, and its end is not known yet
        self.is_calling = False  # its downstream call is out
        # The tag of the gauges query whose answer confirms that the runtime has read its start or reply.
        self.delivery: float = NOT_SENT
        self.pending_call: bytes | None = None  # the body of the downstream call that its run waits at
        self.reply: bytes | None = None  # to its last downstream call, until its run is at the next one
        self.replayed_entry: IdempotencyEntry | None = None  # whose response it waits for
