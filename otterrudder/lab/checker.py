"""An independent checker of the four rules. It records what passes between gateways, servers and runtimes,
and never reads the state of a server.

- rule 1: each attempt gets exactly one answer, in time;
- rule 2: an effect happens at most once, and a request that has run is not rejected;
- rule 3: a draining server answers all that it has read, and runs nothing that arrived after the grace time;
- rule 4: a server does not crash.

Each entry is one attempt at one incarnation of a server. A violation is recorded with its time and attempt;
the simulation continues, and a run with any violation counts as failed."""

import math
from collections import Counter
from dataclasses import dataclass

ANSWER_SLACK_MS = 80.0  # an answer may come this long after the deadline: two ticks of the server
RETENTION_MS = 60_000.0  # time after the deadline for which an answered attempt is kept
MAX_DESCRIBED = 50  # maximum number of violations with a description; further ones are only counted


@dataclass(slots=True)
class Entry:
    """An attempt that a server has read. Times are in ms."""

    incarnation: int  # number of the server's process; each start gets a new one
    received_at: float
    deadline: float
    effect: int  # number of the request whose effect may happen only once; 0: the request may be repeated
    answer: str = ""  # name of the answer; empty: not answered
    is_disconnected: bool = False
    starts: int = 0  # how often the attempt was started


class Checker:
    """Records the attempts of a simulation and checks them against the rules."""

    def __init__(self) -> None:
        self.open_attempts: dict[int, Entry] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.lost_with_server = 0
        # arrival time after which a draining incarnation must not run an attempt, by incarnation
        self._last_arrivals: dict[int, float] = {}
        # time until which an effect that has happened must not happen again, by incarnation and effect
        self._blocked_until: dict[tuple[int, int], float] = {}

    @property
    def violation_count(self) -> int:
        """The number of violations of all rules."""
        return sum(count for rule, count in self.counts.items() if rule.startswith("rule"))

    def received(
        self, now: float, number: int, incarnation: int, received_at: float, deadline: float, effect: int
    ) -> None:
        """A server has read an attempt. If its deadline has passed, it must be answered at once."""
        self.counts["read late"] += now > deadline
        self.open_attempts[number] = Entry(incarnation, received_at, max(deadline, now), effect)

    def resumed(self, now: float, incarnation: int) -> None:
        """A frozen process runs again. Answers that were due while it was frozen are due now, as it could not
        send them before."""
        for entry in self.open_attempts.values():
            if entry.incarnation == incarnation:
                entry.deadline = max(entry.deadline, now)

    def disconnected(self, number: int) -> None:
        """The caller has disconnected, so that no answer is due."""
        if entry := self.open_attempts.get(number):
            entry.is_disconnected = True

    def started(self, now: float, number: int, retention_ms: float) -> None:
        """A server has started to run an attempt."""
        entry = self.open_attempts.get(number)
        if entry is None:
            self._record("rule 2", f"at {now:.0f} ms attempt {number} was started and is not open")
            return
        entry.starts += 1
        late_ms = entry.received_at - self._last_arrivals.get(entry.incarnation, math.inf)
        if late_ms > 0:
            self._record("rule 3", f"at {now:.0f} ms {number} ran, {late_ms:.0f} ms past the grace time")
        if not entry.effect:
            return
        if entry.starts > 1 or self._has_run(now, entry):
            self._record("rule 2", f"at {now:.0f} ms the effect of {number} happened twice")
        self._blocked_until[entry.incarnation, entry.effect] = now + retention_ms

    def answered(self, now: float, number: int, answer: str) -> None:
        """A server has answered an attempt."""
        entry = self.open_attempts.get(number)
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
        """Records attempts without an answer, and removes entries that have expired. Called periodically."""
        for number, entry in list(self.open_attempts.items()):
            if not entry.answer and not entry.is_disconnected and now > entry.deadline + ANSWER_SLACK_MS:
                late_ms = now - entry.deadline
                self._record("rule 1", f"{number} has no answer {late_ms:.0f} ms after its due time")
                entry.answer = "never"
            if (entry.answer or entry.is_disconnected) and now > entry.deadline + RETENTION_MS:
                del self.open_attempts[number]
        for key in [key for key, end in self._blocked_until.items() if end < now]:
            del self._blocked_until[key]

    def shutdown_began(self, incarnation: int, last_arrival: float) -> None:
        """A server starts to drain. Attempts that arrive after `last_arrival` must not run."""
        self._last_arrivals[incarnation] = last_arrival

    def stopped(self, incarnation: int) -> None:
        """The process of a drained server ends. Every attempt that it has read must have been answered."""
        for number, entry in self.open_attempts.items():
            if entry.incarnation == incarnation and not entry.answer and not entry.is_disconnected:
                self._record("rule 3", f"{number} had no answer when its server was stopped")
        self._remove_entries(incarnation)

    def killed(self, incarnation: int) -> None:
        """A fault kills a process. Its open attempts count as lost with the server, not as violations."""
        self.lost_with_server += sum(
            entry.incarnation == incarnation and not entry.answer for entry in self.open_attempts.values()
        )
        self._remove_entries(incarnation)

    def crashed(self, now: float, incarnation: int, reason: str) -> None:
        """A process has crashed by itself."""
        self._record("rule 4", f"at {now:.0f} ms a server crashed: {reason}")
        self._remove_entries(incarnation)

    def _has_run(self, now: float, entry: Entry) -> bool:
        return self._blocked_until.get((entry.incarnation, entry.effect), -1.0) > now

    def _record(self, rule: str, description: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_DESCRIBED:
            self.violations.append(f"{rule}: {description}")

    def _remove_entries(self, incarnation: int) -> None:
        for number in [n for n, entry in self.open_attempts.items() if entry.incarnation == incarnation]:
            del self.open_attempts[number]
