"""Plays a scenario: a text file of our own notation against one server's decisions.

    server cores=2 crowd=4          what the server is told at its start (names: SERVER)
    product pay referenced sla=1000 expiry=3000 window=9000 value=3 calls
    tenant north 0.5
    at 10 arrive a pay key=7        a call at 10 ms, after all due rings; a1..a9: nine txns; *: all running
    at 50 finished a ok             also: needs a, called a full, left a, retire 5000; or nothing
      sees run a                    a step since the last `at`, by its first words (<3: less); `sees 2 run`
      lacks decline a               no such step
    memory 100                      what the server may use now, in kB, by its own count, is no more than this
"""

import re
from pathlib import Path

from otterrudder.interface import Effect, Outcome, Product, Tenant
from otterrudder.logic import Rudder

SERVER = {
    "cores": 2, "callers": 2, "memory": 1e6, "factor": 4, "ref": 10, "crowd": 4, "fresh": 0, "cold_from": 0.2,
    "cold": 10000, "grace": 1000, "tick": 4, "say": "", "away": 1000, "stop": 0, "below": "", "share": 0,
    "idle": 30000, "on_cores": 0, "span": 5000, "linger": 200, "busy": 1.0,
}  # fmt: skip


class Play:
    def __init__(self) -> None:
        self.told: dict = dict(SERVER)
        self.products: list[Product] = []
        self.tenants: list[Tenant] = []
        self.rudder: Rudder | None = None
        self.steps: list[tuple] = []
        self.running: list[str] = []
        self.ring_at = 0.0

    def take(self, now: float, steps: list[tuple]) -> None:
        for step in steps:
            if step[0] == "wake":
                self.ring_at = now + step[1]
        self.steps += steps
        self.running += [step[1] for step in steps if step[0] == "run"]

    def start(self, now: float) -> Rudder:
        t = self.told
        rudder = Rudder(
            now, instance=1, seed=1, products=self.products, tenants=self.tenants, cores=int(t["cores"]),
            callers=int(t["callers"]), memory_kb=t["memory"], run_factor=t["factor"], ref_kb=t["ref"],
            crowd_per_core=t["crowd"], fresh=bool(t["fresh"]), cold_from=t["cold_from"], cold_ms=t["cold"],
            drain_grace_ms=t["grace"], tick_ms=t["tick"], say=t["say"], stay_away_max_ms=t["away"],
            idle_max_ms=t["idle"], may_stop=bool(t["stop"]), below=t["below"], calls_share=t["share"],
            calls_span_ms=t["span"], linger_ms=t["linger"],
        )  # fmt: skip
        rudder.begin()
        self.take(now, rudder.done())
        return rudder

    def at(self, now: float, words: list[str]) -> None:
        self.steps = []
        self.rudder = self.rudder or self.start(now)
        while self.ring_at <= now:
            self.rudder.at(self.ring_at)
            self.rudder.ring(self.told["busy"], self.told["on_cores"])
            self.take(self.ring_at, self.rudder.done())
        if not words:
            return
        verb, *rest = words
        for ident in list(self.running) if rest[0] == "*" else names(rest[0]):
            self.rudder.at(now)
            self.call(verb, ident, rest[1:])
            self.take(now, self.rudder.done())

    def call(self, verb: str, ident: str, rest: list[str]) -> None:
        rudder = self.rudder
        if verb == "arrive":
            more = {k: v if k == "earlier" else float(v) for k, v in (w.split("=") for w in rest[1:])}
            kinds = {"key": int, "tenant": int, "retry": bool}
            more = {k: kinds.get(k, type(v))(v) for k, v in more.items()}
            more = {k + "_ms" if k in ("left", "age", "hint") else k: v for k, v in more.items()}
            number = [p.name for p in self.products].index(rest[0])
            rudder.arrive(ident, number, **{"kb": 10.0, **more})
            return
        if verb == "finished" and ident in self.running:
            self.running.remove(ident)
        calls = {
            "finished": rudder.finished, "called": rudder.call_ended, "needs": rudder.needs_call,
            "left": rudder.left, "retire": lambda left: rudder.retire(float(left)),
        }  # fmt: skip
        calls[verb](ident, *map(Outcome, rest[:1]))

    def line(self, text: str) -> None:
        word, *rest = text.split()
        if word == "server":
            for name, value in (w.split("=") for w in rest):
                assert name in SERVER, name
                self.told[name] = value if isinstance(SERVER[name], str) else float(value)
        elif word == "product":
            facts = dict(w.split("=") for w in rest[2:] if "=" in w)
            self.products.append(Product(
                rest[0], Effect(rest[1]), float(facts.get("value", 1)), float(facts["sla"]),
                float(facts["expiry"]), float(facts.get("window", 0)), float(facts.get("late", 0)),
                "calls" in rest, float(facts.get("omit", 0)),
            ))  # fmt: skip
        elif word == "tenant":
            self.tenants.append(Tenant(rest[0], float(rest[1])))
        elif word == "at":
            self.at(float(rest[0]), rest[1:])
        elif word == "memory":
            assert self.rudder.memory.used <= float(rest[0]), self.rudder.memory.used
        else:
            count = int(rest.pop(0)) if rest[0].isdigit() else None
            found = sum(matches(step, rest) for step in self.steps)
            expected = {"sees": found == count if count is not None else found > 0, "lacks": found == 0}[word]
            assert expected, f"{text!r}: got {self.steps}"


def matches(step: tuple, words: list[str]) -> bool:
    return len(step) >= len(words) and all(map(fits, step, words))


def fits(value: object, word: str) -> bool:
    if word[0] in "<>":
        return value < float(word[1:]) if word[0] == "<" else value > float(word[1:])
    return str(value) == word


def names(word: str) -> list[str]:
    if span := re.fullmatch(r"([a-z]+)(\d+)\.\.[a-z]*(\d+)", word):
        return [f"{span[1]}{n}" for n in range(int(span[2]), int(span[3]) + 1)]
    return [word]


def play(path: Path) -> None:
    stage = Play()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if text := line.split("#")[0].strip():
            try:
                stage.line(text)
            except AssertionError as trouble:
                raise AssertionError(f"{path.name}:{number}: {trouble}") from None
