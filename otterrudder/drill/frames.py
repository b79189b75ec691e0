"""The wire's binary frames: batches in, replies out. Big-endian, no padding."""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from otterrudder.admission.interface import Command, Outcome

Event = tuple[Any, ...]  # (code, instance, fields...)


class BadFrame(Exception):
    """The input is not a frame of this wire."""


_U32 = struct.Struct(">I")
_HEAD = struct.Struct(">QI")
_CODE = struct.Struct(">H")
# Fields behind the code of each event.
_EVENTS: dict[int, struct.Struct] = {
    1: struct.Struct(">HQIQfQIfHIHIH"),  # INBOUND
    2: struct.Struct(">HQ"),  # CLIENT_LEFT
    3: struct.Struct(">HQBI"),  # FINISHED
    4: struct.Struct(">HQ"),  # NEEDS_DEP
    5: struct.Struct(">HQBI"),  # CALL_ENDED
    6: struct.Struct(">HQI"),  # BOOT, then n bytes
    7: struct.Struct(">HI"),  # RETIRE_SOON
    8: struct.Struct(">H"),  # KILL
    9: struct.Struct(">HIB"),  # RING, then n gauges
}
INBOUND, LEFT, FINISHED, NEEDS, CALLED, BOOT, RETIRE, KILL, RING = range(1, 10)
OUTCOMES = {
    0: Outcome.OK,
    13: Outcome.ERROR,
    8: Outcome.FULL,
    4: Outcome.TIMEOUT,
    14: Outcome.UNREACHABLE,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NEVER_STARTED,
}
_WAKE = struct.Struct(">HHII")
_ADVERTISE = struct.Struct(">HHf")
_HEALTH = struct.Struct(">HHBB")
_IDLE = struct.Struct(">HHI")
_TXN = struct.Struct(">HHQ")
_TXN_SPAN = struct.Struct(">HHQI")
_DECLINE = struct.Struct(">HHQBI")
_TEXT = struct.Struct(">HHH")
_PLAIN = {"run": 76, "reuse": 73, "stop": 68, "void": 72, "forget": 71, "omit": 69}
_SPAN = {"keep": 78, "call": 70}


def read_batches(stream: BinaryIO) -> Iterator[bytes]:
    """The body of each frame until the input ends."""
    while head := _exactly(stream, 4, may_end=True):
        yield _exactly(stream, _U32.unpack(head)[0])


def _exactly(stream: BinaryIO, size: int, may_end: bool = False) -> bytes:
    data = b""
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            if may_end and not data:
                return b""
            raise BadFrame(f"input ended {size - len(data)} bytes short of a frame")
        data += more
    return data


def decode(body: bytes) -> tuple[float, list[Event]]:
    """The clock in ms and the events."""
    if len(body) < _HEAD.size:
        raise BadFrame(f"a frame of {len(body)} bytes has no header")
    clock, count = _HEAD.unpack_from(body)
    at = _HEAD.size
    events: list[Event] = []
    try:
        for _ in range(count):
            code = _CODE.unpack_from(body, at)[0]
            shape = _EVENTS.get(code)
            if shape is None:
                raise BadFrame(f"unknown event code {code}")
            fields = shape.unpack_from(body, at + 2)
            at += 2 + shape.size
            if code == BOOT:
                size = fields[2]
                if at + size > len(body):
                    raise BadFrame("settings run past the end of the frame")
                fields = (*fields[:2], body[at : at + size])
                at += size
            elif code == RING:
                fields = (*fields[:2], struct.unpack_from(f">{fields[2]}f", body, at))
                at += 4 * len(fields[2])
            events.append((code, *fields))
    except struct.error:
        raise BadFrame("a record runs past the end of the frame") from None
    if at != len(body):
        raise BadFrame(f"{len(body) - at} bytes left over behind the last record")
    return clock / 1000, events


def _us(ms: float) -> int:
    return min(max(round(ms * 1000), 0), 0xFFFFFFFF)


def encode_step(instance: int, step: Command) -> bytes:
    """The record of a step; empty for `close`, which the wire has no record of."""
    word, *rest = step
    if word in _PLAIN:
        return _TXN.pack(_PLAIN[word], instance, rest[0])
    if word in _SPAN:
        return _TXN_SPAN.pack(_SPAN[word], instance, rest[0], _us(rest[1]))
    if word == "decline":
        return _DECLINE.pack(75, instance, rest[0], rest[1], _us(rest[2]))
    if word == "wake":
        return _WAKE.pack(65, instance, _us(rest[0]), 0)
    if word == "advertise":
        return _ADVERTISE.pack(66, instance, rest[0])
    if word == "health":
        return _HEALTH.pack(67, instance, rest[0], True)  # answered from store: a check must not cost a run
    if word == "idle":
        return _IDLE.pack(74, instance, _us(rest[0]))
    if word == "close":
        return b""  # the simulator ends the process itself
    if word == "log":
        return encode_text(79, instance, rest[0])
    raise ValueError(f"no record for step {word!r}")


def encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:60000]
    return _TEXT.pack(code, instance, len(data)) + data


def frame(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return _U32.pack(len(body) + 4) + _U32.pack(len(records)) + body
