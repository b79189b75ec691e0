"""A ledger of the four rules, kept from what crossed between gateways, servers and runtimes, never from the
server.

Each entry is one try on one server's life. A rule that is broken is written down with its time, server and
try; the run goes on, and a run with any entry counts as failed."""

from collections import Counter
from dataclasses import dataclass

# ms after its due time by which an answer must have come: half of it is the module's own tick
SLACK_MS = 80.0
BROKEN_MOST = 50  # entries kept in words; past that they are only counted


@dataclass(slots=True)
class Entry:
    """A try that a server has read."""

    life: int  # of the server: one for each start of its process
    recv: float
    due: float
    mark: int  # 0: inquiry-like
    answered: str = ""
    left: bool = False
    started: int = 0


class Checker:
    def __init__(self) -> None:
        self.open: dict[int, Entry] = {}
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self._retired: dict[int, tuple[float, float]] = {}  # by life: last arrival that may run, the stop
        self._ran: dict[tuple[int, int], float] = {}  # life and mark: until when it may not run again
        self.lost_with_server = 0

    def _break(self, rule: str, what: str) -> None:
        self.counts[rule] += 1
        if len(self.broken) < BROKEN_MOST:
            self.broken.append(f"{rule}: {what}")

    @property
    def broken_count(self) -> int:
        return sum(count for rule, count in self.counts.items() if rule.startswith("rule"))

    def read(self, now: float, number: int, life: int, recv: float, due: float, mark: int) -> None:
        # One that was read past its due time could not be answered by then: it is owed an answer at once.
        self.counts["read late"] += now > due
        self.open[number] = Entry(life, recv, max(due, now), mark)

    def thawed(self, now: float, life: int) -> None:
        """Its process stood still: what fell due meanwhile is owed now, as nothing could be sent before."""
        for entry in self.open.values():
            if entry.life == life:
                entry.due = max(entry.due, now)

    def left(self, number: int) -> None:
        if entry := self.open.get(number):
            entry.left = True

    def started(self, now: float, number: int, window_ms: float) -> None:
        entry = self.open.get(number)
        if entry is None:
            self._break("rule 2", f"at {now:.0f} ms a try that is not open, {number}, was started")
            return
        entry.started += 1
        last, _ = self._retired.get(entry.life, (float("inf"), 0.0))
        if entry.recv > last:
            self._break("rule 3", f"at {now:.0f} ms {number} ran, {entry.recv - last:.0f} ms past the grace")
        if not entry.mark:
            return
        key = (entry.life, entry.mark)
        if entry.started > 1 or self._ran.get(key, -1.0) > now:
            self._break("rule 2", f"at {now:.0f} ms the effect of {number} happened twice")
        self._ran[key] = now + window_ms

    def answered(self, now: float, number: int, how: str) -> None:
        entry = self.open.get(number)
        if entry is None:
            self._break("rule 1", f"at {now:.0f} ms {number} was answered ({how}) and is not open")
            return
        if entry.answered:
            self._break("rule 1", f"at {now:.0f} ms {number} was answered {how} after {entry.answered}")
        if now > entry.due + SLACK_MS and not entry.left:
            self._break("rule 1", f"{number} was answered {now - entry.due:.0f} ms after its due time")
        if (
            how == "declined"
            and entry.mark
            and (entry.started or self._ran.get((entry.life, entry.mark), -1.0) > now)
        ):
            self._break("rule 2", f"at {now:.0f} ms {number} was declined, and it had run")
        entry.answered = how

    def sweep(self, now: float) -> None:
        """Now and then: what is overdue, and what is over is forgotten."""
        for number, entry in list(self.open.items()):
            if not entry.answered and not entry.left and now > entry.due + SLACK_MS:
                self._break("rule 1", f"{number} has no answer {now - entry.due:.0f} ms after its due time")
                entry.answered = "never"
            if (entry.answered or entry.left) and now > entry.due + 60_000.0:
                del self.open[number]
        for key in [key for key, until in self._ran.items() if until < now]:
            del self._ran[key]

    def retired(self, life: int, last_arrival: float, stop: float) -> None:
        self._retired[life] = (last_arrival, stop)

    def stopped(self, now: float, life: int) -> None:
        """A drained server's process ends: all that it read must have its answer."""
        for number, entry in self.open.items():
            if entry.life == life and not entry.answered and not entry.left:
                self._break("rule 3", f"{number} had no answer when its server was stopped")
        self._forget(life)

    def killed(self, life: int) -> None:
        """A process is killed from outside: what it held is no longer its duty."""
        self.lost_with_server += sum(e.life == life and not e.answered for e in self.open.values())
        self._forget(life)

    def fell(self, now: float, life: int, why: str) -> None:
        self._break("rule 4", f"at {now:.0f} ms a server fell over: {why}")
        self._forget(life)

    def end(self, now: float) -> None:
        self.sweep(now)

    def _forget(self, life: int) -> None:
        for number in [number for number, entry in self.open.items() if entry.life == life]:
            del self.open[number]
