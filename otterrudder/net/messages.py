"""The messages that the request core sends: one immutable type for each, grouped by destination.

Durations are in milliseconds. `rpc_id` is the JSON-RPC id of a request on its connection; `request_id` is the
id by which gateways, the runtime and the records service know the request. The admission controller's
commands `ScheduleTick`, `SetIdleTimeout` and `CloseConnections` are passed on unchanged. The codecs define
how messages are written on the wire.
"""

from collections.abc import Hashable
from enum import Enum
from typing import Any

import msgspec

from otterrudder.admission.commands import CloseConnections, ScheduleTick, SetIdleTimeout


class Destination(Enum):
    """Destinations of messages besides the connection on which a request arrived."""

    RUNTIME = "runtime"
    RECORDS = "records"
    GATEWAYS = "gateways"
    DISPATCHER = "dispatcher"

    # Each message is looked up by its destination, and the identity hash is faster. Members are singletons.
    __hash__ = object.__hash__


# Messages to the connection on which a request arrived.


class RequestCompleted(msgspec.Struct, frozen=True, gc=False):
    """The request ran; `body` is its response."""

    rpc_id: int
    body: bytes
    load: float | None


class RequestRejected(msgspec.Struct, frozen=True, gc=False):
    """The request was not admitted and never ran."""

    rpc_id: int
    is_final: bool
    retry_after_ms: float
    load: float | None


class RequestFailed(msgspec.Struct, frozen=True, gc=False):
    """The request has no response; it may have run."""

    rpc_id: int
    reason: str
    load: float | None


class RequestInvalid(msgspec.Struct, frozen=True, gc=False):
    """The request is invalid and cannot be accepted."""

    rpc_id: int
    reason: str


class HealthStatus(msgspec.Struct, frozen=True, gc=False):
    """The answer to a health check."""

    rpc_id: int
    is_healthy: bool
    load: float | None


# Messages to the runtime.


class StartRun(msgspec.Struct, frozen=True, gc=False):
    """Starts the run of a request; ignored if the run is active."""

    request_id: str
    method: str
    body: bytes


class DeliverReply(msgspec.Struct, frozen=True, gc=False):
    """Delivers the reply to the downstream call that the run waits for."""

    request_id: str
    body: bytes


class StopRun(msgspec.Struct, frozen=True, gc=False):
    """Stops a run."""

    request_id: str


class SkipDownstreamCall(msgspec.Struct, frozen=True, gc=False):
    """Lets a run continue without the downstream call that it waits for."""

    request_id: str


class QueryGauges(msgspec.Struct, frozen=True, gc=False):
    """Queries the gauges; the answer carries the tag."""

    tag: int


class CloseLink(msgspec.Struct, frozen=True, gc=False):
    """Queries the gauges a last time; the link is closed once the query is answered."""

    tag: int


# Messages to the records service.


class SendCall(msgspec.Struct, frozen=True, gc=False):
    """Makes the request's downstream call."""

    request_id: str
    timeout_ms: float
    body: bytes


class CancelCall(msgspec.Struct, frozen=True, gc=False):
    """Cancels the request's downstream call, whose reply is not needed any more."""

    request_id: str


# Messages to the dispatcher.


class LogEntry(msgspec.Struct, frozen=True, gc=False):
    """Writes a log line."""

    text: str
    fields: dict[str, Any]


ConnectionMessage = RequestCompleted | RequestRejected | RequestFailed | RequestInvalid | HealthStatus
RuntimeMessage = StartRun | DeliverReply | StopRun | SkipDownstreamCall | QueryGauges | CloseLink
RecordsMessage = SendCall | CancelCall
GatewaysMessage = SetIdleTimeout | CloseConnections
DispatcherMessage = ScheduleTick | LogEntry
Message = ConnectionMessage | RuntimeMessage | RecordsMessage | GatewaysMessage | DispatcherMessage

Outgoing = tuple[Hashable, Message]  # a Destination or a connection, and the message to it
