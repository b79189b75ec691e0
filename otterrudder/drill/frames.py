"""The wire's binary frames: batches in, replies out. Big-endian, no padding."""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.interface import Outcome

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
_SCHEDULE = struct.Struct(">HHII")
_ADVERTISE = struct.Struct(">HHf")
_HEALTH = struct.Struct(">HHBB")
_IDLE = struct.Struct(">HHI")
_REQUEST = struct.Struct(">HHQ")
_REQUEST_SPAN = struct.Struct(">HHQI")
_REJECT = struct.Struct(">HHQBI")
_TEXT = struct.Struct(">HHH")
_PLAIN_CODES: dict[type[Command], int] = {
    commands.StartRequest: 76,
    commands.ReplayResponse: 73,
    commands.StopRequest: 68,
    commands.FailRequest: 72,
    commands.EvictKey: 71,
    commands.SkipCall: 69,
}


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


def encode_command(instance: int, command: Command) -> bytes:
    """The record of a command; empty for `CloseConnections`, as the simulator ends the process itself."""
    match command:
        case commands.RejectRequest():
            retry_after_us = _us(command.retry_after_ms)
            return _REJECT.pack(75, instance, command.request_id, command.is_final, retry_after_us)
        case commands.RetainKey():
            return _REQUEST_SPAN.pack(78, instance, command.request_id, _us(command.retention_ms))
        case commands.CallDownstream():
            return _REQUEST_SPAN.pack(70, instance, command.request_id, _us(command.timeout_ms))
        case commands.ScheduleTick():
            return _SCHEDULE.pack(65, instance, _us(command.delay_ms), 0)
        case commands.AdvertiseLoad():
            return _ADVERTISE.pack(66, instance, command.value)
        case commands.SetHealth():
            # The last field: answered without a run.
            return _HEALTH.pack(67, instance, command.is_healthy, True)
        case commands.SetIdleTimeout():
            return _IDLE.pack(74, instance, _us(command.timeout_ms))
        case commands.LogMessage():
            return encode_text(79, instance, command.text)
        case commands.CloseConnections():
            return b""
        case _:
            return _REQUEST.pack(_PLAIN_CODES[type(command)], instance, command.request_id)


def encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:60000]
    return _TEXT.pack(code, instance, len(data)) + data


def frame(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return _U32.pack(len(body) + 4) + _U32.pack(len(records)) + body
