"""Plays scenarios, which are text files in a notation of their own, on an admission controller.

Names and values are those of `ControllerSettings`, `Limits`, `RequestClass` and `Arrival`. The lines are:

server cores=2 callers=4            settings of the server; busy and on_cores are passed to each tick
class pay idempotent latency_objective_ms=1000 deadline_ms=3000 retention_ms=9000 may_call=1
tenant north 0.5 1.2                its quota, and this server's part of it in requests/s, if known
at 10 arrive a pay session_key=7    an event at 10 ms, after due ticks; a1..a9: nine requests; *: all running
at 50 finished a ok                 also call_needed a, call_ended a full, disconnect a, shutdown 5000
at 55 drain pay 2000                drains a class (-: all) within 2000 ms; also resume pay
at 60 level - look=decline          sets a level; also =share:0.5, =omit, and fields of `ServiceLevel`
  sees start a                      expects a command since the last `at`; `sees 2 start` expects exactly two
  lacks reject a                    expects no such command; <3 and >3 match numbers
memory_kb 100                       expects that the controller counts at most this much memory in use
"""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    Arrival,
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

DEFAULT_SETTINGS: dict[str, Any] = {
    "cores": 2,
    "memory_kb": 1e6,
    "run_memory_factor": 4.0,
    "idempotency_entry_kb": 10.0,
    "can_stop_requests": False,
    "max_concurrency_per_core": 4.0,
    "is_cold_start": False,
    "slow_start_from": 0.2,
    "slow_start_ms": 10_000.0,
    "clock_tick_ms": 4.0,
    "drain_grace_ms": 1000.0,
    "callers": 2,
    "load_signal": LoadSignal.NONE,
    "max_idle_timeout_ms": 30_000.0,
    "are_retries_marked": True,
    "downstream": DownstreamKind.NONE,
    "downstream_quota_window_ms": 5000.0,
    "downstream_linger_ms": 200.0,
}
DEFAULT_LIMITS = {
    "max_retry_after_ms": 1000.0,
    "downstream_call_quota": 0.0,
    "over_quota_weight_factor": 0.05,
}
DEFAULT_TICK = {"busy": 1.0, "on_cores": 0.0}
DEFAULT_LEVEL: dict[str, Any] = {
    "rejects_queued": False,
    "sends_retry_after": False,
    "min_duration_ms": 1000.0,
}
DEFAULT_SIZE_KB = 10.0

COMMAND_WORDS: dict[type[Command], str] = {
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
IDEMPOTENCY_WORDS = {member.name.lower(): member for member in Idempotency}
OUTCOME_WORDS = {member.name.lower(): member for member in Outcome}
LOAD_SIGNAL_WORDS = {member.name.lower(): member for member in LoadSignal}
DOWNSTREAM_WORDS = {member.name.lower(): member for member in DownstreamKind}

VALUE_READERS: dict[str, Callable[[str], Any]] = {
    "cores": int,
    "callers": int,
    "tenant": int,
    "session_key": int,
    "earlier_attempt_id": str,
    "load_signal": LOAD_SIGNAL_WORDS.__getitem__,
    "downstream": DOWNSTREAM_WORDS.__getitem__,
}
FLAG_PREFIXES = ("is_", "are_", "can_", "may_", "rejects_", "sends_")


def read_value(name: str, word: str) -> Any:
    """Returns the value of `name=word`."""
    if name in VALUE_READERS:
        return VALUE_READERS[name](word)
    return bool(int(word)) if name.startswith(FLAG_PREFIXES) else float(word)


def read_values(words: list[str]) -> dict[str, Any]:
    """Returns the values of words of the form `name=word`, by name."""
    pairs = (word.split("=") for word in words)
    return {name: read_value(name, word) for name, word in pairs}


class ScenarioPlayer:
    """Plays the lines of one scenario."""

    def __init__(self) -> None:
        self.settings = dict(DEFAULT_SETTINGS)
        self.limits = dict(DEFAULT_LIMITS)
        self.tick_values = dict(DEFAULT_TICK)
        self.request_classes: list[RequestClass] = []
        self.tenants: list[Tenant] = []
        self.controller: AdmissionController | None = None
        self.commands: list[Command] = []
        self.running: list[str] = []
        self.next_tick_at = 0.0

    def play_line(self, text: str) -> None:
        """Plays a line without its comment. Raises AssertionError if an expectation fails."""
        word, *words = text.split()
        lines = {
            "server": self._set_settings,
            "class": self._add_request_class,
            "tenant": self._add_tenant,
            "at": self._advance,
            "memory_kb": self._expect_memory,
            "sees": self._expect_command,
            "lacks": self._expect_no_command,
        }
        lines[word](words)

    # Settings.

    def _set_settings(self, words: list[str]) -> None:
        for name, value in read_values(words).items():
            tables = (self.settings, self.limits, self.tick_values)
            table = next((table for table in tables if name in table), None)
            assert table is not None, f"{name}: unknown setting"
            table[name] = value

    def _add_request_class(self, words: list[str]) -> None:
        name, idempotency, *values = words
        fields = {"priority_weight": 1.0} | read_values(values)
        self.request_classes.append(RequestClass(name, IDEMPOTENCY_WORDS[idempotency], **fields))

    def _add_tenant(self, words: list[str]) -> None:
        name, quota, *per_s = words
        self.tenants.append(Tenant(name, float(quota), float(per_s[0]) / 1000 if per_s else 0.0))

    # Events.

    def _advance(self, words: list[str]) -> None:
        now = float(words[0])
        self.commands = []
        self.controller = self.controller or self._start(now)
        while self.next_tick_at <= now:
            tick_at = self.next_tick_at
            self.controller.advance_to(tick_at)
            self.controller.tick(**self.tick_values)
            self._take_commands(tick_at)
        if len(words) > 1:
            self._play_event(now, *words[1:])

    def _start(self, now: float) -> AdmissionController:
        settings = ControllerSettings(
            request_classes=self.request_classes,
            tenants=self.tenants,
            limits=Limits(**self.limits),
            **self.settings,
        )
        self.controller = AdmissionController(now, settings, instance=1, seed=1)
        self.controller.start()
        self._take_commands(now)
        return self.controller

    def _take_commands(self, now: float) -> None:
        taken = self.controller.take_commands()
        self.commands += taken
        for command in taken:
            if isinstance(command, commands.ScheduleTick):
                self.next_tick_at = now + command.delay_ms
            elif isinstance(command, commands.StartRequest):
                self.running.append(command.request_id)

    def _play_event(self, now: float, verb: str, target: str, *words: str) -> None:
        for name in list(self.running) if target == "*" else expand_names(target):
            self.controller.advance_to(now)
            self._send_event(verb, name, list(words))
            self._take_commands(now)

    def _send_event(self, verb: str, target: str, words: list[str]) -> None:
        """Sends an event. `target` is the name of a request or of a class, or the time left in ms."""
        controller = self.controller
        match verb:
            case "arrive":
                self._arrive(target, words)
            case "finished":
                self._finish(target, OUTCOME_WORDS[words[0]])
            case "call_needed":
                controller.handle_call_needed(target)
            case "call_ended":
                controller.handle_call_ended(target, OUTCOME_WORDS[words[0]])
            case "disconnect":
                controller.handle_disconnect(target)
            case "shutdown":
                controller.begin_graceful_shutdown(float(target))
            case "drain":
                controller.drain(self._scope(target), float(words[0]))
            case "resume":
                controller.resume(self._scope(target))
            case "level":
                controller.set_service_level(self._service_level(words))
            case _:
                raise AssertionError(f"{verb}: unknown event")

    def _finish(self, name: str, outcome: Outcome) -> None:
        if name in self.running:
            self.running.remove(name)
        self.controller.handle_finished(name, outcome)

    def _arrive(self, name: str, words: list[str]) -> None:
        request_class, *values = words
        fields = {"size_kb": DEFAULT_SIZE_KB} | read_values(values)
        self.controller.handle_arrival(Arrival(name, self._class_names().index(request_class), **fields))

    def _class_names(self) -> list[str]:
        return [request_class.name for request_class in self.request_classes]

    def _scope(self, name: str) -> RequestScope:
        if name == "-":
            return RequestScope()
        return RequestScope(frozenset({self._class_names().index(name)}))

    def _service_level(self, words: list[str]) -> ServiceLevel:
        values = dict(word.split("=") for word in words)
        fields = {name: read_value(name, values.pop(name)) for name in DEFAULT_LEVEL if name in values}
        restrictions = tuple(read_restrictions(values.pop(name, "")) for name in self._class_names())
        assert not values, f"{', '.join(values)}: not a class or a field of a level"
        return ServiceLevel("level", restrictions, **(DEFAULT_LEVEL | fields))

    # Expectations.

    def _expect_memory(self, words: list[str]) -> None:
        used_kb = self.controller.memory_budget.used_kb
        assert used_kb <= float(words[0]), used_kb

    def _expect_command(self, words: list[str]) -> None:
        if words[0].isdigit():
            count = self._count(words[1:])
            assert count == int(words[0]), f"sees {' '.join(words)}: got {self.commands}"
        else:
            assert self._count(words) > 0, f"sees {' '.join(words)}: got {self.commands}"

    def _expect_no_command(self, words: list[str]) -> None:
        assert self._count(words) == 0, f"lacks {' '.join(words)}: got {self.commands}"

    def _count(self, words: list[str]) -> int:
        return sum(matches(command, words) for command in self.commands)


def read_restrictions(word: str) -> tuple[Restriction, ...]:
    """Returns the restrictions of a class from a word such as `share:0.5`."""
    kind, _, admitted_share = word.partition(":")
    return (Restriction(RestrictionKind(kind), float(admitted_share or 0)),) if kind else ()


def matches(command: Command, words: list[str]) -> bool:
    """Returns whether the command's name and fields match these words."""
    values = (COMMAND_WORDS[type(command)], *command)
    return len(values) >= len(words) and all(map(matches_value, values, words))


def matches_value(value: object, word: str) -> bool:
    """Returns whether a value equals the word, or is below `<word` or above `>word`."""
    if word[0] == "<":
        return value < float(word[1:])
    if word[0] == ">":
        return value > float(word[1:])
    if isinstance(value, float):
        return value == float(word)
    return str(value) == word


def expand_names(word: str) -> list[str]:
    """Returns the names that a word stands for: `a1..a3` stands for three."""
    if span := re.fullmatch(r"([a-z]+)(\d+)\.\.[a-z]*(\d+)", word):
        return [f"{span[1]}{n}" for n in range(int(span[2]), int(span[3]) + 1)]
    return [word]


def play(path: Path) -> None:
    """Plays the scenario in a file. Raises AssertionError with the line whose expectation fails."""
    player = ScenarioPlayer()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if text := line.split("#")[0].strip():
            try:
                player.play_line(text)
            except AssertionError as error:
                raise AssertionError(f"{path.name}:{number}: {error}") from None
