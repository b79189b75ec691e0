"""Plays a scenario: a text file of our own notation against one server's decisions.

server cores=2 crowd=4          what the server is told at its start (names: SERVER)
product pay referenced sla=1000 expiry=3000 window=9000 value=3 calls
tenant north 0.5 1.2            its share, and how many requests/s of it are one server's part, if known
at 10 arrive a pay key=7        a call at 10 ms, after all due rings; a1..a9: nine requests; *: all running
at 50 finished a ok             also: needs a, called a full, left a, retire 5000; or nothing
at 55 stepdown pay 2000         a product (-: all) is left with so long to answer; stepup pay
at 60 reduce - look=decline     a level in force; also =share:0.5, =omit, held, away, stay=5000
  sees start a                  a command since the last `at`, by its first words (<3: less); `sees 2 start`
  lacks reject a                no such command
memory 100                      what the server may use now, in kB, by its own count, is no more than this
"""

import re
import tomllib
from pathlib import Path

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    DownstreamKind,
    Idempotency,
    Limits,
    LoadSignal,
    Outcome,
    RequestClass,
    RequestScope,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)
from otterrudder.admission.settings import ControllerSettings

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]  # how the operators start it
SERVER = {
    "cores": 2, "callers": 2, "memory": 1e6, "factor": 4, "ref": 10, "crowd": 4, "fresh": 0, "cold_from": 0.2,
    "cold": 10000, "grace": 1000, "tick": 4, "say": "", "away": 1000, "stop": 0, "below": "", "share": 0,
    "idle": 30000, "on_cores": 0, "span": 5000, "linger": 200, "busy": 1.0,
    "over": 0.05, "marks": 1,
}  # fmt: skip
# The platform's settings, as most tests of a server have them.
SETTINGS = {
    "classes": [
        {"name": "look", "effect": "safe", "worth": 1, "promiseUs": 12e6, "hardLimitUs": 16e6},
        {"name": "pay", "effect": "keyed", "worth": 5, "promiseUs": 12e6, "hardLimitUs": 16e6,
         "windowUs": 20e6},
    ],
    "realms": [{"name": "north", "share": 0.7}, {"name": "south", "share": 0.3}],
    "familyInfo": {"cores": 6, "memoryKb": 80000.0, "runFactor": 4.0, "keyKb": 100.0, "callers": 3,
                   "classCalls": [True, True], "classSkipWorth": [0.0, 0.0], "below": "next_hop",
                   "callerIdleUs": 30e6, "gauges": ["core_use", "on_cores", "heap_share", "links"],
                   "passesDeadline": True, "tellsGone": True, "stopMode": "silent", "say": "tokens"},
    "rules": {"fallMultiple": 8.0, "fallUs": 3e6, "drainGraceUs": 400e3, "coldFrom": 0.2, "coldUs": 1e6},
    "limits": {"maxRetryAfterUs": 1e6, "retryAfter": True},
    "tickUs": 4000,
}  # fmt: skip


WORDS = {
    commands.StartRequest: "start",
    commands.ReplayResponse: "replay",
    commands.StopRequest: "stop",
    commands.RejectRequest: "reject",
    commands.FailRequest: "fail",
    commands.RetainKey: "retain",
    commands.EvictKey: "evict",
    commands.CallDownstream: "call",
    commands.SkipCall: "skip",
    commands.ScheduleTick: "tick",
    commands.AdvertiseLoad: "advertise",
    commands.SetHealth: "health",
    commands.SetIdleTimeout: "idle",
    commands.LogMessage: "log",
    commands.CloseConnections: "close",
}

# `handle_arrival`'s parameters by a scenario's words.
PARAMETERS = {
    "age": "age_ms",
    "earlier": "earlier_attempt_id",
    "kb": "size_kb",
    "key": "session_key",
    "left": "time_left_ms",
    "rank": "criticality",
    "retry": "is_retry",
}


class Play:
    def __init__(self) -> None:
        self.told: dict = dict(SERVER)
        self.products: list[RequestClass] = []
        self.tenants: list[Tenant] = []
        self.controller: AdmissionController | None = None
        self.commands: list[Command] = []
        self.running: list[str] = []
        self.ring_at = 0.0

    def take(self, now: float, taken: list[Command]) -> None:
        for command in taken:
            if isinstance(command, commands.ScheduleTick):
                self.ring_at = now + command.delay_ms
        self.commands += taken
        self.running += [
            command.request_id for command in taken if isinstance(command, commands.StartRequest)
        ]

    def start(self, now: float) -> AdmissionController:
        t = self.told
        settings = ControllerSettings(
            request_classes=self.products,
            tenants=self.tenants,
            limits=Limits(t["away"], t["share"], t["over"]),
            cores=int(t["cores"]),
            memory_kb=t["memory"],
            run_memory_factor=t["factor"],
            idempotency_entry_kb=t["ref"],
            can_stop_requests=bool(t["stop"]),
            max_concurrency_per_core=t["crowd"],
            is_cold_start=bool(t["fresh"]),
            slow_start_from=t["cold_from"],
            slow_start_ms=t["cold"],
            clock_tick_ms=t["tick"],
            drain_grace_ms=t["grace"],
            callers=int(t["callers"]),
            load_signal=LoadSignal(t["say"]),
            max_idle_timeout_ms=t["idle"],
            are_retries_marked=bool(t["marks"]),
            downstream=DownstreamKind(t["below"]),
            downstream_quota_window_ms=t["span"],
            downstream_linger_ms=t["linger"],
        )
        controller = AdmissionController(now, settings, instance=1, seed=1)
        controller.start()
        self.take(now, controller.take_commands())
        return controller

    def at(self, now: float, words: list[str]) -> None:
        self.commands = []
        self.controller = self.controller or self.start(now)
        while self.ring_at <= now:
            self.controller.advance_to(self.ring_at)
            self.controller.tick(self.told["busy"], self.told["on_cores"])
            self.take(self.ring_at, self.controller.take_commands())
        if not words:
            return
        verb, *rest = words
        for ident in list(self.running) if rest[0] == "*" else names(rest[0]):
            self.controller.advance_to(now)
            self.call(verb, ident, rest[1:])
            self.take(now, self.controller.take_commands())

    def call(self, verb: str, ident: str, rest: list[str]) -> None:
        controller = self.controller
        if verb == "arrive":
            more = {k: v if k == "earlier" else float(v) for k, v in (w.split("=") for w in rest[1:])}
            kinds = {"key": int, "tenant": int, "retry": bool}
            more = {k: kinds.get(k, type(v))(v) for k, v in more.items()}
            more = {PARAMETERS.get(k, k): v for k, v in more.items()}
            number = [p.name for p in self.products].index(rest[0])
            controller.handle_arrival(ident, number, **{"size_kb": 10.0, **more})
            return
        if verb == "reduce":
            controller.set_service_level(self.relief(rest))
            return
        if verb in ("stepdown", "stepup"):
            names = [product.name for product in self.products]
            part = RequestScope(None if ident == "-" else frozenset({names.index(ident)}))
            controller.drain(part, float(rest[0])) if rest else controller.resume(part)
            return
        if verb == "finished" and ident in self.running:
            self.running.remove(ident)
        calls = {
            "finished": controller.handle_finished,
            "called": controller.handle_call_ended,
            "needs": controller.handle_call_needed,
            "left": controller.handle_disconnect,
            "retire": lambda left: controller.begin_graceful_shutdown(float(left)),
        }
        calls[verb](ident, *map(Outcome, rest[:1]))

    def relief(self, words: list[str]) -> ServiceLevel:
        told = dict(word.split("=") for word in words if "=" in word)
        stay = float(told.pop("stay", 1000))
        trims = []
        for product in self.products:
            cut, _, share = told.get(product.name, "").partition(":")
            trims.append((Restriction(RestrictionKind(cut), float(share or 0)),) if cut else ())
        return ServiceLevel("level", tuple(trims), "held" in words, "away" in words, stay)

    def line(self, text: str) -> None:
        word, *rest = text.split()
        if word == "server":
            for name, value in (w.split("=") for w in rest):
                assert name in SERVER, name
                self.told[name] = value if isinstance(SERVER[name], str) else float(value)
        elif word == "product":
            facts = dict(w.split("=") for w in rest[2:] if "=" in w)
            self.products.append(RequestClass(
                rest[0], Idempotency(rest[1]), float(facts.get("value", 1)), float(facts["sla"]),
                float(facts["expiry"]), float(facts.get("window", 0)), float(facts.get("late", 0)),
                "calls" in rest, float(facts.get("omit", 0)),
            ))  # fmt: skip
        elif word == "tenant":
            self.tenants.append(Tenant(rest[0], float(rest[1]), float(rest[2]) / 1000 if rest[2:] else 0.0))
        elif word == "at":
            self.at(float(rest[0]), rest[1:])
        elif word == "memory":
            assert self.controller.memory_budget.used_kb <= float(
                rest[0]
            ), self.controller.memory_budget.used_kb
        else:
            count = int(rest.pop(0)) if rest[0].isdigit() else None
            found = sum(matches(command, rest) for command in self.commands)
            expected = {"sees": found == count if count is not None else found > 0, "lacks": found == 0}[word]
            assert expected, f"{text!r}: got {self.commands}"


def matches(command: Command, words: list[str]) -> bool:
    values = (WORDS[type(command)], *command)
    return len(values) >= len(words) and all(map(fits, values, words))


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
