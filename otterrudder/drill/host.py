"""Hosts many instances of the decision module, each knowing its own events only."""

import json
from typing import Any

from otterrudder.admission.controller import Rudder
from otterrudder.admission.factory import boot, gauge_names
from otterrudder.admission.interface import Outcome, Step
from otterrudder.drill import frames

FATAL = 77


class Host:
    def __init__(self) -> None:
        self._rudders: dict[int, Rudder] = {}
        self._gauges: dict[int, list[str]] = {}

    def play(self, body: bytes) -> bytes:
        now, events = frames.decode(body)
        records: list[bytes] = []
        for code, instance, *fields in events:
            try:
                steps = self._handle(now, code, instance, fields)
                records += filter(None, (frames.encode_step(instance, step) for step in steps))
            except Exception as trouble:  # the wire wants a failure of the module in words
                text = f"{type(trouble).__name__}: {trouble}"
                records.append(frames.encode_text(FATAL, instance, text))
                break
        return frames.frame(records)

    def _handle(self, now: float, code: int, instance: int, f: list[Any]) -> list[Step]:
        if code == frames.BOOT:
            settings = json.loads(f[1])
            started = self._rudders[instance] = boot(now, instance, f[0], settings)
            self._gauges[instance] = gauge_names(settings)
            return started.done()
        if code == frames.KILL:
            self._rudders.pop(instance, None)
            return []
        rudder = self._rudders.get(instance)
        if rudder is None:
            return []
        rudder.at(now)
        if code == frames.INBOUND:
            ident, _hint, earlier, kb, key, age, rank, product, left, flags, _source, tenant = f
            rudder.arrive(
                ident,
                product,
                tenant=tenant,
                key=key,
                kb=kb,
                age_ms=age / 1000,
                left_ms=left / 1000,
                earlier=earlier,
                retry=bool(flags & 2),
                rank=rank,
            )
        elif code == frames.FINISHED:
            rudder.finished(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.RING:
            told = zip(self._gauges[instance], f[1], strict=False)
            rudder.ring(**{name: value for name, value in told if name})
        elif code == frames.NEEDS:
            rudder.needs_call(f[0])
        elif code == frames.CALLED:
            rudder.call_ended(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.LEFT:
            rudder.left(f[0])
        else:
            rudder.retire(f[0] / 1000)
        return rudder.done()
