"""The commands that the admission controller returns, to be carried out in order by its adapter.

Each is a small immutable record. Durations are milliseconds. Request ids are handed back exactly as given.
"""

from typing import NamedTuple, TypeGuard, get_args


class StartRequest(NamedTuple):
    """Start running the request."""

    request_id: int


class ReplayResponse(NamedTuple):
    """Answer the request with the response of its earlier attempt, once there is one."""

    request_id: int


class StopRequest(NamedTuple):
    """Stop the running request: nobody waits for its response any more."""

    request_id: int


class RejectRequest(NamedTuple):
    """Answer that the request was rejected and never ran.

    `is_final` asks the caller not to retry elsewhere; `retry_after_ms` is 0 where it may come back at once.
    """

    request_id: int
    is_final: bool
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Answer that the request failed; it may have run."""

    request_id: int


class RetainKey(NamedTuple):
    """Keep the entry of the request's idempotency key for so long."""

    request_id: int
    retention_ms: float


class EvictKey(NamedTuple):
    """Drop the entry of the request's idempotency key: the request never ran."""

    request_id: int


class CallDownstream(NamedTuple):
    """Make the downstream call that the request waits for."""

    request_id: int
    timeout_ms: float


class SkipCall(NamedTuple):
    """Let the request go on without the downstream call that it waits for."""

    request_id: int


class ScheduleTick(NamedTuple):
    """Call `tick` once after this delay."""

    delay_ms: float


class AdvertiseLoad(NamedTuple):
    """Send this load value with every answer from now on."""

    value: float


class SetHealth(NamedTuple):
    """Answer health checks so from now on."""

    is_healthy: bool


class SetIdleTimeout(NamedTuple):
    """Close callers' connections that have been idle for so long."""

    timeout_ms: float


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


class CloseConnections(NamedTuple):
    """The graceful shutdown is over: all requests are answered, so close what is left."""


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
    """Whether the command is about one request, which it names by its `request_id`."""
    return type(command) in _REQUEST_COMMANDS
