"""What the request core sends: one small immutable type for each message, grouped by its destination.

Durations are milliseconds. `rpc_id` is the JSON-RPC id on its connection, `request_id` the id that gateways,
the runtime and the records service know a request by. Of the admission controller's commands, `ScheduleTick`,
`SetIdleTimeout` and `CloseConnections` are passed on as they are. Wire words are the codecs' business.
"""

from collections.abc import Hashable
from enum import Enum
from typing import Any

import msgspec

from otterrudder.admission.commands import CloseConnections, ScheduleTick, SetIdleTimeout


class Destination(Enum):
    """Where a message goes, other than to the connection that its request came on."""

    RUNTIME = "runtime"
    RECORDS = "records"
    GATEWAYS = "gateways"
    DISPATCHER = "dispatcher"

    __hash__ = object.__hash__  # members are singletons, and each message looks its destination up


# To the connection that a request came on.


class RequestCompleted(msgspec.Struct, frozen=True, gc=False):
    """The request ran, and this is its response."""

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
    """The request can't be accepted as it is."""

    rpc_id: int
    reason: str


class HealthStatus(msgspec.Struct, frozen=True, gc=False):
    """The answer to a health check."""

    rpc_id: int
    is_healthy: bool
    load: float | None


# To the runtime.


class StartRun(msgspec.Struct, frozen=True, gc=False):
    """Run the request; nothing happens if it runs already."""

    request_id: str
    method: str
    body: bytes


class DeliverReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to the downstream call that the run waits at."""

    request_id: str
    body: bytes


class StopRun(msgspec.Struct, frozen=True, gc=False):
    """Stop the run."""

    request_id: str


class SkipDownstreamCall(msgspec.Struct, frozen=True, gc=False):
    """Let the run go on without the downstream call that it waits at."""

    request_id: str


class QueryGauges(msgspec.Struct, frozen=True, gc=False):
    """Ask for the gauges; the answer carries the tag."""

    tag: int


class CloseLink(msgspec.Struct, frozen=True, gc=False):
    """Ask for the gauges a last time, and give the link up once they are answered."""

    tag: int


# To the records service.


class SendCall(msgspec.Struct, frozen=True, gc=False):
    """Make the request's downstream call."""

    request_id: str
    timeout_ms: float
    body: bytes


class CancelCall(msgspec.Struct, frozen=True, gc=False):
    """Nobody waits for the reply to the request's downstream call any more."""

    request_id: str


# To the dispatcher.


class LogEntry(msgspec.Struct, frozen=True, gc=False):
    """A line for the log."""

    text: str
    fields: dict[str, Any]


ConnectionMessage = RequestCompleted | RequestRejected | RequestFailed | RequestInvalid | HealthStatus
RuntimeMessage = StartRun | DeliverReply | StopRun | SkipDownstreamCall | QueryGauges | CloseLink
RecordsMessage = SendCall | CancelCall
GatewaysMessage = SetIdleTimeout | CloseConnections
DispatcherMessage = ScheduleTick | LogEntry
Message = ConnectionMessage | RuntimeMessage | RecordsMessage | GatewaysMessage | DispatcherMessage

Outgoing = tuple[Hashable, Message]  # a Destination or a connection, and what goes there
