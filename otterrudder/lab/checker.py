"""An independent checker of the four rules: its history is kept from what crossed between gateways, servers
and runtimes, and it never asks a server.

Each entry is one attempt at one incarnation of a server. A broken rule is written down with its time, server
and attempt; the run goes on, and a run with any violation counts as failed."""

import math
from collections import Counter
from dataclasses import dataclass

ANSWER_SLACK_MS = 80.0  # after the deadline, until which an answer must have come: twice the module's tick
RETENTION_MS = 60_000.0  # after the deadline, until which an answered attempt is remembered
MAX_DESCRIBED = 50  # violations kept in words; past that they are only counted


@dataclass(slots=True)
class Entry:
    """An attempt that a server has read."""

    incarnation: int  # of the server: one for each start of its process
    received_at: float
    deadline: float
    effect: int  # the request whose effect must happen once at most; 0: it is safe to repeat
    answer: str = ""
    is_disconnected: bool = False
    starts: int = 0


class Checker:
    """The history of a day, with the rules held against it."""

    def __init__(self) -> None:
        self.open: dict[int, Entry] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.lost_with_server = 0
        # by incarnation that drains: the last arrival that may run
        self._last_arrivals: dict[int, float] = {}
        self._blocked_until: dict[tuple[int, int], float] = {}  # by incarnation and effect that has happened

    @property
    def violation_count(self) -> int:
        """Violations of all rules."""
        return sum(count for rule, count in self.counts.items() if rule.startswith("rule"))

    def received(
        self, now: float, number: int, incarnation: int, received_at: float, deadline: float, effect: int
    ) -> None:
        """A server has read an attempt. One that is read past its deadline is owed an answer at once."""
        self.counts["read late"] += now > deadline
        self.open[number] = Entry(incarnation, received_at, max(deadline, now), effect)

    def resumed(self, now: float, incarnation: int) -> None:
        """Its process was frozen: what fell due meanwhile is owed now, as nothing could be sent before."""
        for entry in self.open.values():
            if entry.incarnation == incarnation:
                entry.deadline = max(entry.deadline, now)

    def disconnected(self, number: int) -> None:
        """The caller waits no more: no answer is owed."""
        if entry := self.open.get(number):
            entry.is_disconnected = True

    def started(self, now: float, number: int, retention_ms: float) -> None:
        """A server has started to run an attempt."""
        entry = self.open.get(number)
        if entry is None:
            self._record("rule 2", f"at {now:.0f} ms a try that is not open, {number}, was started")
            return
        entry.starts += 1
        excess_ms = entry.received_at - self._last_arrivals.get(entry.incarnation, math.inf)
        if excess_ms > 0:
            self._record("rule 3", f"at {now:.0f} ms {number} ran, {excess_ms:.0f} ms past the grace")
        if not entry.effect:
            return
        if entry.starts > 1 or self._has_run(now, entry):
            self._record("rule 2", f"at {now:.0f} ms the effect of {number} happened twice")
        self._blocked_until[entry.incarnation, entry.effect] = now + retention_ms

    def answered(self, now: float, number: int, answer: str) -> None:
        """A server has answered an attempt."""
        entry = self.open.get(number)
        if entry is None:
            self._record("rule 1", f"at {now:.0f} ms {number} was answered ({answer}) and is not open")
            return
        if entry.answer:
            self._record("rule 1", f"at {now:.0f} ms {number} was answered {answer} after {entry.answer}")
        if now > entry.deadline + ANSWER_SLACK_MS and not entry.is_disconnected:
            late_ms = now - entry.deadline
            self._record("rule 1", f"{number} was answered {late_ms:.0f} ms after its due time")
        if answer == "declined" and entry.effect and (entry.starts or self._has_run(now, entry)):
            self._record("rule 2", f"at {now:.0f} ms {number} was declined, and it had run")
        entry.answer = answer

    def check_overdue(self, now: float) -> None:
        """Finds attempts without an answer, and drops what is over; to be called now and then."""
        for number, entry in list(self.open.items()):
            if not entry.answer and not entry.is_disconnected and now > entry.deadline + ANSWER_SLACK_MS:
                late_ms = now - entry.deadline
                self._record("rule 1", f"{number} has no answer {late_ms:.0f} ms after its due time")
                entry.answer = "never"
            if (entry.answer or entry.is_disconnected) and now > entry.deadline + RETENTION_MS:
                del self.open[number]
        for key in [key for key, until in self._blocked_until.items() if until < now]:
            del self._blocked_until[key]

    def shutdown_began(self, incarnation: int, last_arrival: float) -> None:
        """A server drains: what arrives after this may not run."""
        self._last_arrivals[incarnation] = last_arrival

    def stopped(self, incarnation: int) -> None:
        """A drained server's process ends: all that it read must have its answer."""
        for number, entry in self.open.items():
            if entry.incarnation == incarnation and not entry.answer and not entry.is_disconnected:
                self._record("rule 3", f"{number} had no answer when its server was stopped")
        self._forget(incarnation)

    def killed(self, incarnation: int) -> None:
        """A process is killed from outside: no answer is owed to what it held."""
        self.lost_with_server += sum(
            entry.incarnation == incarnation and not entry.answer for entry in self.open.values()
        )
        self._forget(incarnation)

    def crashed(self, now: float, incarnation: int, why: str) -> None:
        """A process ended by itself."""
        self._record("rule 4", f"at {now:.0f} ms a server fell over: {why}")
        self._forget(incarnation)

    def _has_run(self, now: float, entry: Entry) -> bool:
        return self._blocked_until.get((entry.incarnation, entry.effect), -1.0) > now

    def _record(self, rule: str, what: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_DESCRIBED:
            self.violations.append(f"{rule}: {what}")

    def _forget(self, incarnation: int) -> None:
        for number in [n for n, entry in self.open.items() if entry.incarnation == incarnation]:
            del self.open[number]
