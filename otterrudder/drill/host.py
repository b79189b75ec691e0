"""Hosts many instances of the decision module, each knowing its own events only."""

import json

from otterrudder.drill import frames
from otterrudder.interface import Effect, Outcome, Product, Step, Tenant
from otterrudder.logic import Rudder

_EFFECTS = {"safe": Effect.INQUIRY, "keyed": Effect.REFERENCED, "unsafe": Effect.ONCE}
_SAY = {"min_rank": "rank", "tokens": "credit", "bias": "weight"}
_GAUGES = {"core_use": "busy", "on_cores": "on_cores"}
_BELOW = {"common": "shared", "next_hop": "tier"}
FATAL = 77


def _ms(table: dict, name: str, default_us: float = 0) -> float:
    value = table.get(name)
    return (default_us if value is None else value) / 1000


def boot(now: float, instance: int, seed: int, text: bytes) -> tuple[Rudder, list[str]]:
    """The instance and the names of its gauges, in the order in which a ring brings them."""
    env = json.loads(text)
    info, rules, limits = env.get("familyInfo") or {}, env.get("rules") or {}, env.get("limits") or {}
    calls, omits = info.get("classCalls") or [], info.get("classSkipWorth") or []
    products = [
        Product(
            name=c.get("name") or str(n),
            effect=_EFFECTS.get(c.get("effect"), Effect.ONCE),
            value=c.get("worth") or 0.0,
            sla_ms=_ms(c, "promiseUs", c.get("hardLimitUs") or 1e6),
            expiry_ms=_ms(c, "hardLimitUs", 1e6),
            window_ms=_ms(c, "windowUs"),
            late_value=c.get("lateWorth") or 0.0,
            calls=bool(calls[n]) if n < len(calls) else False,
            omit_value=(omits[n] or 0.0) if n < len(omits) else 0.0,
        )
        for n, c in enumerate(env.get("classes") or [])
    ]
    rudder = Rudder(
        now,
        instance=instance,
        seed=seed,
        products=products,
        tenants=[Tenant(r.get("name") or "", r.get("share") or 0.0) for r in env.get("realms") or []],
        cores=info.get("cores") or 1,
        callers=info.get("callers") or 1,
        memory_kb=info.get("memoryKb") or 0.0,
        run_factor=info.get("runFactor") or 1.0,
        ref_kb=info.get("keyKb") or 0.0,
        crowd_per_core=rules.get("fallMultiple") or 1.0,
        fresh=bool(info.get("freshStart")),
        cold_from=rules.get("coldFrom") or 0.0,
        cold_ms=_ms(rules, "coldUs"),
        drain_grace_ms=_ms(rules, "drainGraceUs"),
        tick_ms=_ms(env, "tickUs", 1000),
        say=_SAY.get(info.get("say"), ""),
        stay_away_max_ms=_ms(limits, "maxRetryAfterUs") if limits.get("retryAfter") else 0.0,
        idle_max_ms=_ms(info, "callerIdleUs"),
        may_stop=info.get("stopMode") == "drop",
        below=_BELOW.get(info.get("below"), ""),
        calls_share=info.get("callsOut") or 0.0,
        calls_span_ms=_ms(info, "depWindowUs"),
        linger_ms=_ms(info, "lingerUs"),
    )
    rudder.begin()
    return rudder, info.get("gauges") or []


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
                records += [frames.encode_step(instance, step) for step in steps]
            except Exception as trouble:  # the wire wants a failure of the module in words
                text = f"{type(trouble).__name__}: {trouble}"
                records.append(frames.encode_text(FATAL, instance, text))
                break
        return frames.frame(records)

    def _handle(self, now: float, code: int, instance: int, f: list) -> list[Step]:
        if code == frames.BOOT:
            rudder, self._gauges[instance] = boot(now, instance, f[0], f[1])
            self._rudders[instance] = rudder
            return rudder.done()
        if code == frames.KILL:
            self._rudders.pop(instance, None)
            return []
        rudder = self._rudders.get(instance)
        if rudder is None:
            return []
        rudder.at(now)
        if code == frames.INBOUND:
            ident, hint, earlier, kb, key, age, _rank, product, left, flags, _source, tenant = f
            rudder.arrive(
                ident, product, tenant=tenant, key=key, kb=kb, age_ms=age / 1000,
                left_ms=left / 1000, earlier=earlier, hint_ms=hint / 1000 if flags & 1 else 0.0,
                retry=bool(flags & 2),
            )
        elif code == frames.FINISHED:
            rudder.finished(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.RING:
            told = zip(self._gauges[instance], f[1], strict=False)
            rudder.ring(**{_GAUGES[name]: value for name, value in told if name in _GAUGES})
        elif code == frames.NEEDS:
            rudder.needs_call(f[0])
        elif code == frames.CALLED:
            rudder.call_ended(f[0], frames.OUTCOMES.get(f[1], Outcome.ERROR))
        elif code == frames.LEFT:
            rudder.left(f[0])
        else:
            rudder.retire(f[0] / 1000)
        return rudder.done()
