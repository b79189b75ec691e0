"""The events in a frame of the simulator's wire: big-endian records without padding."""

import struct
from typing import Any, NamedTuple

from otterrudder.drill.frames import FrameError

US_PER_MS = 1000

FLAG_RETRY = 2  # of `RequestArrived.flags`


class RequestArrived(NamedTuple):
    """A request was read."""

    instance: int
    request_id: int
    cost_hint: int
    earlier_attempt_id: int
    size_kb: float
    session_key: int
    age_us: int
    criticality: float
    class_index: int
    time_left_us: int
    flags: int
    source: int
    tenant: int


class CallerLeft(NamedTuple):
    """The request's caller waits no more."""

    instance: int
    request_id: int


class RunFinished(NamedTuple):
    """A run has ended, with an outcome of the wire."""

    instance: int
    request_id: int
    outcome_code: int
    spent: int


class CallNeeded(NamedTuple):
    """A running request stands at a downstream call."""

    instance: int
    request_id: int


class CallEnded(NamedTuple):
    """A request's downstream call has ended, with an outcome of the wire."""

    instance: int
    request_id: int
    outcome_code: int
    spent: int


class InstanceStarted(NamedTuple):
    """A server starts; `settings` is JSON."""

    instance: int
    seed: int
    settings: bytes


class ShutdownAnnounced(NamedTuple):
    """A server stops after so long."""

    instance: int
    time_left_us: int


class InstanceKilled(NamedTuple):
    """A server is gone."""

    instance: int


class Ticked(NamedTuple):
    """The timer that was asked for, with the gauges of the settings."""

    instance: int
    token: int
    gauges: tuple[float, ...]


Event = (
    RequestArrived
    | CallerLeft
    | RunFinished
    | CallNeeded
    | CallEnded
    | InstanceStarted
    | ShutdownAnnounced
    | InstanceKilled
    | Ticked
)


class Batch(NamedTuple):
    """The events of a frame, all at one time."""

    now_ms: float
    events: list[Event]


class _Record(NamedTuple):
    """The fields of an event behind its code."""

    fields: struct.Struct
    event: Any


_HEADER = struct.Struct(">QI")  # time in microseconds, number of events
_CODE = struct.Struct(">H")
_INSTANCE_STARTED_CODE = 6
_TICKED_CODE = 9
_RECORDS = {
    1: _Record(struct.Struct(">HQIQfQIfHIHIH"), RequestArrived),
    2: _Record(struct.Struct(">HQ"), CallerLeft),
    3: _Record(struct.Struct(">HQBI"), RunFinished),
    4: _Record(struct.Struct(">HQ"), CallNeeded),
    5: _Record(struct.Struct(">HQBI"), CallEnded),
    _INSTANCE_STARTED_CODE: _Record(
        struct.Struct(">HQI"), InstanceStarted
    ),  # then the settings, of that size
    7: _Record(struct.Struct(">HI"), ShutdownAnnounced),
    8: _Record(struct.Struct(">H"), InstanceKilled),
    _TICKED_CODE: _Record(struct.Struct(">HIB"), Ticked),  # then so many gauges
}


def decode(body: bytes) -> Batch:
    """The events of a frame's body; raises FrameError."""
    if len(body) < _HEADER.size:
        raise FrameError(f"a frame of {len(body)} bytes has no header")
    now_us, count = _HEADER.unpack_from(body)
    offset = _HEADER.size
    events: list[Event] = []
    try:
        for _ in range(count):
            event, offset = _decode_event(body, offset)
            events.append(event)
    except struct.error:
        raise FrameError("a record runs past the end of the frame") from None
    if offset != len(body):
        raise FrameError(f"{len(body) - offset} bytes left over behind the last record")
    return Batch(now_us / US_PER_MS, events)


def _decode_event(body: bytes, offset: int) -> tuple[Event, int]:
    """The event at the offset, and the offset behind it."""
    code = _CODE.unpack_from(body, offset)[0]
    record = _RECORDS.get(code)
    if record is None:
        raise FrameError(f"unknown event code {code}")
    fields = record.fields.unpack_from(body, offset + _CODE.size)
    offset += _CODE.size + record.fields.size
    if code == _INSTANCE_STARTED_CODE:
        return _decode_instance_started(body, offset, *fields)
    if code == _TICKED_CODE:
        return _decode_ticked(body, offset, *fields)
    return record.event._make(fields), offset


def _decode_instance_started(
    body: bytes, offset: int, instance: int, seed: int, size: int
) -> tuple[Event, int]:
    end = offset + size
    if end > len(body):
        raise FrameError("settings run past the end of the frame")
    return InstanceStarted(instance, seed, body[offset:end]), end


def _decode_ticked(body: bytes, offset: int, instance: int, token: int, count: int) -> tuple[Event, int]:
    gauges = struct.Struct(f">{count}f")
    return Ticked(instance, token, gauges.unpack_from(body, offset)), offset + gauges.size
