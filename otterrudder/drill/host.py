"""Hosts many instances of the decision module, each knowing its own events only."""

import json
from typing import Any

from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import create_controller, gauge_names
from otterrudder.admission.interface import Outcome
from otterrudder.drill import frames

FATAL = 77


class Host:
    def __init__(self) -> None:
        self._rudders: dict[int, AdmissionController] = {}
        self._gauges: dict[int, list[str]] = {}

    def play(self, body: bytes) -> bytes:
        now, events = frames.decode(body)
        records: list[bytes] = []
        for code, instance, *fields in events:
            try:
                commands = self._handle(now, code, instance, fields)
                records += filter(None, (frames.encode_command(instance, command) for command in commands))
            except Exception as trouble:  # the wire wants a failure of the module in words
                text = f"{type(trouble).__name__}: {trouble}"
                records.append(frames.encode_text(FATAL, instance, text))
                break
        return frames.frame(records)

    def _handle(self, now: float, code: int, instance: int, f: list[Any]) -> list[Command]:
        if code == frames.BOOT:
            settings = json.loads(f[1])
            started = self._rudders[instance] = create_controller(now, instance, f[0], settings)
            self._gauges[instance] = gauge_names(settings)
            return started.take_commands()
        if code == frames.KILL:
            self._rudders.pop(instance, None)
            return []
        controller = self._rudders.get(instance)
        if controller is None:
            return []
        controller.advance_to(now)
        if code == frames.INBOUND:
            ident, _hint, earlier, kb, key, age, rank, product, left, flags, _source, tenant = f
            controller.handle_arrival(
                ident,
                product,
                tenant=tenant,
                session_key=key,
                size_kb=kb,
                age_ms=age / 1000,
                time_left_ms=left / 1000,
                earlier_attempt_id=earlier,
                is_retry=bool(flags & 2),
                criticality=rank,
            )
        elif code == frames.FINISHED:
            controller.handle_finished(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.RING:
            told = zip(self._gauges[instance], f[1], strict=False)
            controller.tick(**{name: value for name, value in told if name})
        elif code == frames.NEEDS:
            controller.handle_call_needed(f[0])
        elif code == frames.CALLED:
            controller.handle_call_ended(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.LEFT:
            controller.handle_disconnect(f[0])
        else:
            controller.begin_graceful_shutdown(f[0] / 1000)
        return controller.take_commands()
