"""The commands that the admission controller returns. Its adapter executes them in order.

Commands are small immutable records. Durations are milliseconds. Request ids are returned as received.
"""

from typing import NamedTuple, TypeGuard, get_args


class StartRequest(NamedTuple):
    """Start running the request."""

    request_id: int


class ReplayResponse(NamedTuple):
    """Answer the request with the response of its earlier attempt, once that is available."""

    request_id: int


class StopRequest(NamedTuple):
    """Stop the running request, because no caller waits for its response."""

    request_id: int


class RejectRequest(NamedTuple):
    """Answer that the request was rejected and never ran.

    `is_final` asks the caller not to retry on other servers. `retry_after_ms` is 0 if it may retry at once.
    """

    request_id: int
    is_final: bool
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Answer that the request failed; it may have run."""

    request_id: int


class RetainKey(NamedTuple):
    """Keep the entry of the request's idempotency key for `retention_ms`."""

    request_id: int
    retention_ms: float


class EvictKey(NamedTuple):
    """Delete the entry of the request's idempotency key, because the request never ran."""

    request_id: int


class CallDownstream(NamedTuple):
    """Make the downstream call that the request waits for."""

    request_id: int
    timeout_ms: float


class SkipCall(NamedTuple):
    """Continue the request without the downstream call that it waits for."""

    request_id: int


class ScheduleTick(NamedTuple):
    """Call `AdmissionController.tick` once after `delay_ms`."""

    delay_ms: float


class AdvertiseLoad(NamedTuple):
    """Send this load value with every answer from now on."""

    value: float


class SetHealth(NamedTuple):
    """Set the answer to health checks."""

    is_healthy: bool


class SetIdleTimeout(NamedTuple):
    """Close callers' connections that have been idle for `timeout_ms`."""

    timeout_ms: float


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


class CloseConnections(NamedTuple):
    """Close all connections: the graceful shutdown is over and all requests are answered."""


RequestCommand = (
    StartRequest
    | ReplayResponse
    | StopRequest
    | RejectRequest
    | FailRequest
    | RetainKey
    | EvictKey
    | CallDownstream
    | SkipCall
)
ServerCommand = ScheduleTick | AdvertiseLoad | SetHealth | SetIdleTimeout | LogMessage | CloseConnections
Command = RequestCommand | ServerCommand

_REQUEST_COMMANDS = frozenset(get_args(RequestCommand))


def is_request_command(command: Command) -> TypeGuard[RequestCommand]:
    """Returns whether the command concerns a single request and so has a `request_id`."""
    return type(command) in _REQUEST_COMMANDS
