"""The codec of the gateways' protocol: JSON-RPC 2.0 with one message per line. It performs no I/O.

The field names and words of the protocol appear only in this module. The rest of the server uses
`RequestFields` and the types of `messages.py`."""

import binascii
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from otterrudder.net.buffer import Buffer
from otterrudder.net.idempotency import MAX_KEY_CHARACTERS
from otterrudder.net.messages import (
    ConnectionMessage,
    HealthStatus,
    RequestCompleted,
    RequestFailed,
    RequestInvalid,
    RequestRejected,
)
from otterrudder.net.requests import RequestFields

MAX_BODY_BYTES = 2048  # body of a request
MAX_LINE_BYTES = 16 * 1024  # leaves ample space for a body in base64 and all fields
MAX_RPC_ID = 2**53  # ids count from 1; not all JSON readers can distinguish larger ones
MAX_CLOCK_SKEW_MS = 3600e3  # maximum difference between the clocks of a gateway and this server
MAX_TTL_MS = 86400e3  # maximum time to live of a request: one day; no caller waits longer
MAX_SIZE_KB = 2000.0  # exclusive upper bound of a request's memory

# JSON-RPC error codes. The first four are defined by the specification.
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
FAILED = -32000
REJECTED = -32014  # the request never ran

CHECK_METHOD = "check"
INTERRUPT_METHOD = "interrupt"
GOAWAY = [b'{"jsonrpc":"2.0","method":"noMore"}\n']

_HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
_decode = msgspec.json.Decoder().decode
_encode = msgspec.json.encode


class InvalidParamsError(ValueError):
    """A field is missing or invalid; the text names the field."""


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A line that is not a valid message. It is answered under its id, or under null if it has none."""

    code: int
    reason: str
    rpc_id: int | None = None


class IncomingMessage(NamedTuple):
    """A request or notification of a gateway."""

    rpc_id: int | None  # None: a notification, which gets no answer
    method: str
    params: dict[str, Any]


def read_messages(buffer: Buffer) -> Iterator[IncomingMessage | InvalidMessage]:
    """Decodes and consumes all complete lines of the buffer. Empty lines are skipped."""
    buffer.skip_white_space()
    while (line := buffer.next_line(b"\n")) is not None:
        size = len(line) + 1
        with line:
            message = _decode_line(line)
        buffer.consume(size)
        buffer.skipped_bytes = 0
        buffer.skip_white_space()
        yield message


def _decode_line(line: memoryview) -> IncomingMessage | InvalidMessage:
    try:
        document = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return InvalidMessage(PARSE_ERROR, "not JSON")
    if not isinstance(document, dict):
        return InvalidMessage(INVALID_REQUEST, "not a JSON-RPC message; batches are not supported")
    rpc_id = document.get("id")
    method = document.get("method")
    params = document.get("params", {})
    if rpc_id is not None and (type(rpc_id) is not int or not 1 <= rpc_id <= MAX_RPC_ID):
        return InvalidMessage(INVALID_REQUEST, "id must be a positive integer")
    if document.get("jsonrpc") != "2.0" or not isinstance(method, str):
        return InvalidMessage(INVALID_REQUEST, "not a JSON-RPC 2.0 request", rpc_id)
    if not isinstance(params, dict):
        return InvalidMessage(INVALID_PARAMS, "params must be an object", rpc_id)
    return IncomingMessage(rpc_id, method, params)


def interrupted_request(params: dict[str, Any]) -> object:
    """Returns the request id in the parameters of an interrupt, unchecked."""
    return params.get("call")


def read_request(
    params: dict[str, Any], tenants: dict[str, int], unix_ms: float, needs_key: bool
) -> RequestFields:
    """Returns the fields of a request. Raises InvalidParamsError, which names the invalid field. `tenants`
    maps names to indices; `needs_key` is True if requests of the class must have an idempotency key."""
    tenant_name = _string(params, "org")
    session_key = _string(params, "row")
    idempotency_key = _string(params, "dedupe")
    if len(idempotency_key) > MAX_KEY_CHARACTERS or (needs_key and not idempotency_key):
        raise InvalidParamsError("dedupe is missing or too long")
    if params.get("rep", 1) != 1:
        raise InvalidParamsError("rep must be 1")
    if "src" in params:  # validated but not used
        _number(params, "src", 0, 1e9)
    size_kb = _size_kb(params)
    if tenant_name not in tenants and (tenant_name or tenants):
        raise InvalidParamsError("org must name a configured tenant")
    if session_key and not _HEX16.fullmatch(session_key):
        raise InvalidParamsError("row must be 16 hex digits")
    body = _body(params)
    return RequestFields(
        request_id=_request_id(params),
        received_at=_number(params, "recv", unix_ms - MAX_CLOCK_SKEW_MS, unix_ms + MAX_CLOCK_SKEW_MS),
        ttl_ms=_number(params, "ttl", 0, MAX_TTL_MS) if "ttl" in params else None,
        size_kb=size_kb,
        tenant_index=tenants.get(tenant_name, 0),
        session_key=int(session_key, 16) if session_key else 0,
        is_retry="rep" in params,
        criticality=_number(params, "crit", 0, 1) if "crit" in params else 1.0,
        idempotency_key=idempotency_key,
        body=body,
    )


def _request_id(params: dict[str, Any]) -> str:
    request_id = params.get("call")
    if not isinstance(request_id, str) or not _HEX16.fullmatch(request_id):
        raise InvalidParamsError("call must be 16 hex digits")
    return request_id


def _size_kb(params: dict[str, Any]) -> float:
    size_kb = _number(params, "heap", 0, MAX_SIZE_KB)
    if not 0 < size_kb < MAX_SIZE_KB:
        raise InvalidParamsError(f"heap must be above 0 and below {MAX_SIZE_KB:g}")
    return size_kb


def _body(params: dict[str, Any]) -> bytes:
    try:
        body = binascii.a2b_base64(_string(params, "blob"), strict_mode=True)
    except binascii.Error:
        raise InvalidParamsError("blob must be base64") from None
    if len(body) > MAX_BODY_BYTES:
        raise InvalidParamsError(f"blob must not exceed {MAX_BODY_BYTES} bytes")
    return body


def _number(params: dict[str, Any], name: str, minimum: float, maximum: float) -> float:
    value: Any = params.get(name)
    if type(value) not in (int, float) or not minimum <= value <= maximum:  # also rejects NaN
        raise InvalidParamsError(f"{name} must be a number from {minimum:g} to {maximum:g}")
    return float(value)


def _string(params: dict[str, Any], name: str) -> str:
    value = params.get(name, "")
    if not isinstance(value, str):
        raise InvalidParamsError(f"{name} must be a string")
    return value


def encode(message: ConnectionMessage) -> list[bytes]:
    """Encodes a message as the parts of a line."""
    return _ENCODERS[type(message)](message)


def encode_error(rpc_id: int | None, code: int, reason: str, load: float | None = None) -> list[bytes]:
    """Encodes an error; an id of None is written as null."""
    number = b"null" if rpc_id is None else b"%d" % rpc_id
    data = b',"data":{%s}' % _load_member(load)[1:] if load is not None else b""
    return [
        b'{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%s%s}}\n'
        % (number, code, _encode(reason), data)
    ]


def _encode_completed(message: RequestCompleted) -> list[bytes]:
    blob = binascii.b2a_base64(message.body, newline=False)
    return [
        b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"' % message.rpc_id,
        blob,
        b'"%s}}\n' % _load_member(message.load),
    ]


def _encode_rejected(message: RequestRejected) -> list[bytes]:
    data = b'"stop":1' if message.is_final else b""
    if message.retry_after_ms > 0:
        data += b'%s"pushback":%d' % (b"," if data else b"", math.ceil(message.retry_after_ms))
    load = _load_member(message.load)
    data += load if data else load[1:]
    return [
        b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"declined","data":{%s}}}\n'
        % (message.rpc_id, REJECTED, data)
    ]


def _encode_failed(message: RequestFailed) -> list[bytes]:
    return encode_error(message.rpc_id, FAILED, message.reason, message.load)


def _encode_invalid(message: RequestInvalid) -> list[bytes]:
    return encode_error(message.rpc_id, INVALID_PARAMS, message.reason)


def _encode_health(message: HealthStatus) -> list[bytes]:
    return [
        b'{"jsonrpc":"2.0","id":%d,"result":{"pass":%s%s}}\n'
        % (message.rpc_id, b"true" if message.is_healthy else b"false", _load_member(message.load))
    ]


def _load_member(load: float | None) -> bytes:
    """Returns the member `load` with a leading comma, or b"" if the load is None."""
    return b"" if load is None else b',"load":%s' % _encode(round(load, 4))


_ENCODERS: dict[type[ConnectionMessage], Callable[[Any], list[bytes]]] = {
    RequestCompleted: _encode_completed,
    RequestRejected: _encode_rejected,
    RequestFailed: _encode_failed,
    RequestInvalid: _encode_invalid,
    HealthStatus: _encode_health,
}
