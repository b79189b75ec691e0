"""Decodes the events in a frame of the simulator's protocol: big-endian records without padding."""

import struct
from typing import Any, NamedTuple

from otterrudder.drill.frames import FrameError

US_PER_MS = 1000

FLAG_RETRY = 2  # bit of `RequestArrived.flags` that marks a retry


class RequestArrived(NamedTuple):
    """A request was read."""

    instance: int
    request_id: int
    hint: int  # not used by the controller
    earlier_attempt_id: int
    size_kb: float
    session_key: int
    age_us: int
    criticality: float
    class_index: int
    time_left_us: int
    flags: int
    source: int  # not used by the controller
    tenant: int


class CallerLeft(NamedTuple):
    """The request's caller no longer waits for an answer."""

    instance: int
    request_id: int


class RunFinished(NamedTuple):
    """A run has ended with an outcome code of the protocol."""

    instance: int
    request_id: int
    outcome_code: int
    spent: int


class CallNeeded(NamedTuple):
    """A running request has reached a downstream call."""

    instance: int
    request_id: int


class CallEnded(NamedTuple):
    """A request's downstream call has ended with an outcome code of the protocol."""

    instance: int
    request_id: int
    outcome_code: int
    spent: int


class InstanceStarted(NamedTuple):
    """A server starts with the given settings, encoded as JSON."""

    instance: int
    seed: int
    settings: bytes


class ShutdownAnnounced(NamedTuple):
    """A server will stop after `time_left_us`."""

    instance: int
    time_left_us: int


class InstanceKilled(NamedTuple):
    """A server was killed."""

    instance: int


class Ticked(NamedTuple):
    """A scheduled tick is due. It carries the values of the gauges that the settings name."""

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
    """The events of a frame, which have the same time."""

    now_ms: float
    events: list[Event]


_HEADER = struct.Struct(">QI")  # time in microseconds, number of events
_CODE = struct.Struct(">H")
_INSTANCE_STARTED_CODE = 6
_TICKED_CODE = 9
_GAUGE_BYTES = 4
# By event code: the type of the event and the layout of the fields after the code.
_RECORDS: dict[int, tuple[Any, struct.Struct]] = {
    1: (RequestArrived, struct.Struct(">HQIQfQIfHIHIH")),
    2: (CallerLeft, struct.Struct(">HQ")),
    3: (RunFinished, struct.Struct(">HQBI")),
    4: (CallNeeded, struct.Struct(">HQ")),
    5: (CallEnded, struct.Struct(">HQBI")),
    _INSTANCE_STARTED_CODE: (
        InstanceStarted,
        struct.Struct(">HQI"),
    ),  # followed by the settings, whose size is the last field
    7: (ShutdownAnnounced, struct.Struct(">HI")),
    8: (InstanceKilled, struct.Struct(">H")),
    _TICKED_CODE: (Ticked, struct.Struct(">HIB")),  # followed by the gauges, whose number is the last field
}


def decode(body: bytes) -> Batch:
    """Returns the events in the body of a frame. Raises FrameError if it is malformed."""
    if len(body) < _HEADER.size:
        raise FrameError(f"a frame of {len(body)} bytes has no header")
    now_us, count = _HEADER.unpack_from(body)
    offset = _HEADER.size
    events: list[Event] = []
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(body, offset)
            record = _RECORDS.get(code)
            if record is None:
                raise FrameError(f"unknown event code {code}")
            event_type, layout = record
            fields = layout.unpack_from(body, offset + _CODE.size)
            offset += _CODE.size + layout.size
            if code == _TICKED_CODE:
                instance, token, gauge_count = fields
                gauges = struct.unpack_from(f">{gauge_count}f", body, offset)
                offset += _GAUGE_BYTES * gauge_count
                events.append(Ticked(instance, token, gauges))
            elif code == _INSTANCE_STARTED_CODE:
                instance, seed, size = fields
                events.append(InstanceStarted(instance, seed, _settings(body, offset, size)))
                offset += size
            else:
                events.append(event_type(*fields))
    except struct.error:
        raise FrameError("a record runs past the end of the frame") from None
    if offset != len(body):
        raise FrameError(f"{len(body) - offset} bytes left over behind the last record")
    return Batch(now_us / US_PER_MS, events)


def _settings(body: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(body):
        raise FrameError("settings run past the end of the frame")
    return body[offset : offset + size]
