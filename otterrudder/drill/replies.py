"""Encodes the records of a reply in the simulator's protocol, one record per command."""

import struct
from collections.abc import Callable
from typing import Any

from otterrudder.admission import commands
from otterrudder.admission.commands import Command

MAX_TEXT_BYTES = 60_000
MAX_U32 = 0xFFFF_FFFF
US_PER_MS = 1000

_FATAL_CODE = 77

_SCHEDULE = struct.Struct(">HHII")
_ADVERTISE = struct.Struct(">HHf")
_HEALTH = struct.Struct(">HHBB")
_IDLE_TIMEOUT = struct.Struct(">HHI")
_REQUEST = struct.Struct(">HHQ")
_REQUEST_DURATION = struct.Struct(">HHQI")
_REJECT = struct.Struct(">HHQBI")
_TEXT = struct.Struct(">HHH")

Encoder = Callable[[int, Any], bytes]  # parameters: the instance and the command


def encode_command(instance: int, command: Command) -> bytes:
    """Returns the record of a command. `CloseConnections` has no record."""
    return _ENCODERS[type(command)](instance, command)


def encode_fatal(instance: int, text: str) -> bytes:
    """Returns the record of an exception in the controller."""
    return _encode_text(_FATAL_CODE, instance, text)


def _duration_us(duration_ms: float) -> int:
    return min(max(round(duration_ms * US_PER_MS), 0), MAX_U32)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(data)) + data


def _request_encoder(code: int) -> Encoder:
    return lambda instance, command: _REQUEST.pack(code, instance, command.request_id)


def _encode_schedule(instance: int, command: commands.ScheduleTick) -> bytes:
    return _SCHEDULE.pack(65, instance, _duration_us(command.delay_ms), 0)


def _encode_advertise(instance: int, command: commands.AdvertiseLoad) -> bytes:
    return _ADVERTISE.pack(66, instance, command.value)


def _encode_health(instance: int, command: commands.SetHealth) -> bytes:
    return _HEALTH.pack(
        67, instance, command.is_healthy, True
    )  # True: health checks are answered without a run


def _encode_call(instance: int, command: commands.CallDownstream) -> bytes:
    return _REQUEST_DURATION.pack(70, instance, command.request_id, _duration_us(command.timeout_ms))


def _encode_idle_timeout(instance: int, command: commands.SetIdleTimeout) -> bytes:
    return _IDLE_TIMEOUT.pack(74, instance, _duration_us(command.timeout_ms))


def _encode_reject(instance: int, command: commands.RejectRequest) -> bytes:
    retry_after_us = _duration_us(command.retry_after_ms)
    return _REJECT.pack(75, instance, command.request_id, command.is_final, retry_after_us)


def _encode_retain(instance: int, command: commands.RetainKey) -> bytes:
    return _REQUEST_DURATION.pack(78, instance, command.request_id, _duration_us(command.retention_ms))


def _encode_log(instance: int, command: commands.LogMessage) -> bytes:
    return _encode_text(79, instance, command.text)


_ENCODERS: dict[type[Command], Encoder] = {
    commands.ScheduleTick: _encode_schedule,
    commands.AdvertiseLoad: _encode_advertise,
    commands.SetHealth: _encode_health,
    commands.StopRequest: _request_encoder(68),
    commands.SkipCall: _request_encoder(69),
    commands.CallDownstream: _encode_call,
    commands.EvictKey: _request_encoder(71),
    commands.FailRequest: _request_encoder(72),
    commands.ReplayResponse: _request_encoder(73),
    commands.SetIdleTimeout: _encode_idle_timeout,
    commands.RejectRequest: _encode_reject,
    commands.StartRequest: _request_encoder(76),
    commands.RetainKey: _encode_retain,
    commands.LogMessage: _encode_log,
}
