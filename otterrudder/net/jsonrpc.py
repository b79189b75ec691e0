"""JSON-RPC 2.0 as gateways speak it, a message a line: lines in, calls out; results in, lines out. No I/O."""

import binascii
import math
import re
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from otterrudder.net.sockets import Buffer

BODY_MOST = 2048  # bytes of a txn's body
LINE_MOST = 16 * 1024  # bytes of a line: a body, its base64 and every field with room to spare
NUMBER_MOST = 1e15  # a larger number in any field is absurd: ms since 1970 are below it for 30,000 years
KB_MOST = 2000.0  # KB that a txn may book

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
    params: dict


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
    if type(rpc) is not int and rpc is not None:
        return Malformed(REQUEST, "id is no whole number")
    if told.get("jsonrpc") != "2.0" or not isinstance(method, str):
        return Malformed(REQUEST, "not a JSON-RPC 2.0 request", rpc)
    if not isinstance(params, dict):
        return Malformed(PARAMS, "params is no object", rpc)
    return Message(rpc, method, params)


def ident(params: dict) -> str:
    call = params.get("call")
    if not isinstance(call, str) or not _HEX16.fullmatch(call):
        raise ValueError("call is not 16 hex digits")
    return call


def number(params: dict, name: str, least: float, most: float = NUMBER_MOST) -> float:
    value = params.get(name)
    if type(value) not in (int, float) or not math.isfinite(value) or not least <= value <= most:
        raise ValueError(f"{name} is no number from {least:g} to {most:g}")
    return float(value)


def text(params: dict, name: str) -> str:
    value = params.get(name, "")
    if not isinstance(value, str):
        raise ValueError(f"{name} is no string")
    return value


def txn(params: dict, tenants: dict[str, int]) -> dict:
    """The fields of a txn by the core's names; ValueError says what is wrong with them."""
    org, row = text(params, "org"), text(params, "row")
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
    return dict(
        call=ident(params),
        recv=number(params, "recv", 0),
        ttl=number(params, "ttl", 0) if "ttl" in params else None,
        kb=number(params, "heap", 0, KB_MOST),
        tenant=tenants.get(org, 0),
        key=int(row, 16) if row else 0,
        retry=params.get("rep") in (1, True),
        dedupe=text(params, "dedupe"),
        body=body,
    )


def settled(rpc: int, body: bytes, load: float | None) -> list[bytes]:
    blob = binascii.b2a_base64(body, newline=False)
    return [b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"' % rpc, blob, b'"%s}}\n' % _load(load)]


def declined(rpc: int, terminal: bool, stay_away_ms: float, load: float | None) -> list[bytes]:
    data = b'"stop":1' if terminal else b""
    if stay_away_ms > 0:
        data += b'%s"pushback":%d' % (b"," if data else b"", math.ceil(stay_away_ms))
    told = _load(load)
    data += told if data else told[1:]
    return [b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"declined","data":{%s}}}\n'
            % (rpc, NEVER_RAN, data)]


def voided(rpc: int | None, code: int, why: str, load: float | None) -> list[bytes]:
    number = b"null" if rpc is None else b"%d" % rpc
    data = b',"data":{%s}' % _load(load)[1:] if load is not None else b""
    return [b'{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%s%s}}\n'
            % (number, code, _encode(why), data)]


def health(rpc: int, good: bool, load: float | None) -> list[bytes]:
    return [b'{"jsonrpc":"2.0","id":%d,"result":{"pass":%s%s}}\n'
            % (rpc, b"true" if good else b"false", _load(load))]


NO_MORE = [b'{"jsonrpc":"2.0","method":"noMore"}\n']


def _load(load: float | None) -> bytes:
    return b"" if load is None else b',"load":%s' % _encode(round(load, 4))
