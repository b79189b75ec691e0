"""JSON-RPC 2.0 as gateways speak it, a message a line: lines in, calls out; results in, lines out. No I/O."""

import binascii
import math
import re
from collections.abc import Iterator
from typing import Any, NamedTuple, TypedDict

import msgspec

from otterrudder.net.sockets import Buffer

BODY_MOST = 2048  # bytes of a request's body
LINE_MOST = 16 * 1024  # bytes of a line: a body, its base64 and every field with room to spare
ID_MOST = 2**53  # ids count from 1; past that not all readers of JSON can tell them apart
AWRY_MS = 3600e3  # ms by which a gateway's clock may differ from ours: past an hour it is no clock
WAIT_MOST_MS = 86400e3  # ms that a try may wait: nobody waits for a day
KB_MOST = 2000.0  # KB below which a request's memory lies
MARK_MOST = 64  # characters of a mark: all that is kept for its window is bounded

PARSE, REQUEST, METHOD, PARAMS, FAILED, NEVER_RAN = -32700, -32600, -32601, -32602, -32000, -32014

_HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
_decode = msgspec.json.Decoder().decode
_encode = msgspec.json.encode


class Malformed(Exception):
    """A line that is no good message; it is answered under the id it named, if it named one."""

    def __init__(self, code: int, why: str, rpc: int | None = None) -> None:
        super().__init__(why)
        self.code, self.rpc = code, rpc


class Message(NamedTuple):
    rpc: int | None  # none: no answer is wanted
    method: str
    params: dict[str, Any]


class TxnFields(TypedDict):
    """What a gateway says of a request, by the names of `Core.arrive`."""

    call: str
    recv: float  # Unix time in ms
    ttl: float | None  # ms
    kb: float
    tenant: int
    key: int
    retry: bool
    rank: float
    dedupe: str
    body: bytes


def messages(buffer: Buffer) -> Iterator[Message | Malformed]:
    """All whole lines that wait in the buffer."""
    while (line := buffer.line(b"\n")) is not None:
        size = len(line) + 1
        with line:
            message = _message(line)
        buffer.drop(size)
        if message:
            yield message


def _message(line: memoryview) -> Message | Malformed | None:
    try:
        told = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None if not bytes(line).strip() else Malformed(PARSE, "not JSON")
    if not isinstance(told, dict):
        return Malformed(REQUEST, "not a JSON-RPC message; batches are not taken")
    rpc, method, params = told.get("id"), told.get("method"), told.get("params", {})
    if rpc is not None and (type(rpc) is not int or not 1 <= rpc <= ID_MOST):
        return Malformed(REQUEST, "id is no whole number above 0")
    if told.get("jsonrpc") != "2.0" or not isinstance(method, str):
        return Malformed(REQUEST, "not a JSON-RPC 2.0 request", rpc)
    if not isinstance(params, dict):
        return Malformed(PARAMS, "params is no object", rpc)
    return Message(rpc, method, params)


def ident(params: dict[str, Any]) -> str:
    call = params.get("call")
    if not isinstance(call, str) or not _HEX16.fullmatch(call):
        raise ValueError("call is not 16 hex digits")
    return call


def number(params: dict[str, Any], name: str, least: float, most: float) -> float:
    value: Any = params.get(name)
    if type(value) not in (int, float) or not least <= value <= most:  # NaN is neither
        raise ValueError(f"{name} is no number from {least:g} to {most:g}")
    return float(value)


def text(params: dict[str, Any], name: str) -> str:
    value = params.get(name, "")
    if not isinstance(value, str):
        raise ValueError(f"{name} is no string")
    return value


def request(params: dict[str, Any], tenants: dict[str, int], unix: float, marked: bool) -> TxnFields:
    """The fields of a request by the core's names; ValueError says what is wrong with them."""
    org, row, mark = text(params, "org"), text(params, "row"), text(params, "dedupe")
    if len(mark) > MARK_MOST or (marked and not mark):
        raise ValueError("dedupe is missing or too long")
    if params.get("rep", 1) != 1:
        raise ValueError("rep is not 1")
    if "src" in params:  # nothing hangs on it here, but a good gateway knows its own
        number(params, "src", 0, 1e9)
    kb = number(params, "heap", 0, KB_MOST)
    if not 0 < kb < KB_MOST:
        raise ValueError(f"heap is not above 0 and below {KB_MOST:g}")
    if org not in tenants and (org or tenants):
        raise ValueError("org is no tenant of the settings")
    if row and not _HEX16.fullmatch(row):
        raise ValueError("row is not 16 hex digits")
    try:
        body = binascii.a2b_base64(text(params, "blob"), strict_mode=True)
    except binascii.Error:
        raise ValueError("blob is not base64") from None
    if len(body) > BODY_MOST:
        raise ValueError(f"blob is over {BODY_MOST} bytes")
    return {
        "call": ident(params),
        "recv": number(params, "recv", unix - AWRY_MS, unix + AWRY_MS),
        "ttl": number(params, "ttl", 0, WAIT_MOST_MS) if "ttl" in params else None,
        "kb": kb,
        "tenant": tenants.get(org, 0),
        "key": int(row, 16) if row else 0,
        "retry": "rep" in params,
        "rank": number(params, "crit", 0, 1) if "crit" in params else 1.0,
        "dedupe": mark,
        "body": body,
    }


def settled(rpc: int, body: bytes, load: float | None) -> list[bytes]:
    blob = binascii.b2a_base64(body, newline=False)
    return [b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"' % rpc, blob, b'"%s}}\n' % _load(load)]


def declined(rpc: int, terminal: bool, stay_away_ms: float, load: float | None) -> list[bytes]:
    data = b'"stop":1' if terminal else b""
    if stay_away_ms > 0:
        data += b'%s"pushback":%d' % (b"," if data else b"", math.ceil(stay_away_ms))
    told = _load(load)
    data += told if data else told[1:]
    return [
        b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"declined","data":{%s}}}\n'
        % (rpc, NEVER_RAN, data)
    ]


def voided(rpc: int | None, code: int, why: str, load: float | None) -> list[bytes]:
    number = b"null" if rpc is None else b"%d" % rpc
    data = b',"data":{%s}' % _load(load)[1:] if load is not None else b""
    return [
        b'{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%s%s}}\n' % (number, code, _encode(why), data)
    ]


def health(rpc: int, good: bool, load: float | None) -> list[bytes]:
    return [
        b'{"jsonrpc":"2.0","id":%d,"result":{"pass":%s%s}}\n'
        % (rpc, b"true" if good else b"false", _load(load))
    ]


NO_MORE = [b'{"jsonrpc":"2.0","method":"noMore"}\n']


def _load(load: float | None) -> bytes:
    return b"" if load is None else b',"load":%s' % _encode(round(load, 4))
