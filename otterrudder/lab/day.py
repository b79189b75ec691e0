"""One day: a site under a load, with its faults, as one variant meets it. From files to figures."""

from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

import numpy as np

from otterrudder.lab.arrivals import Arrivals, OfferedRequest
from otterrudder.lab.checker import Checker
from otterrudder.lab.downstream import Downstream
from otterrudder.lab.engine import Engine
from otterrudder.lab.faults import EndpointNotifier, Fault, FaultTimeline
from otterrudder.lab.gateways import Gateway
from otterrudder.lab.outcome_statistics import OutcomeStatistics, Session
from otterrudder.lab.server import Server
from otterrudder.lab.shapes import Part, demand
from otterrudder.lab.site import Site
from otterrudder.lab.streams import Streams
from otterrudder.levels import Damping, Level, LevelSelector, LevelTable, Threshold
from otterrudder.levels.selector import FULL_SERVICE

CHECK_INTERVAL_MS = 1000.0  # between checks for overdue answers
RUN_OUT_MS = 12_000.0  # played past the last arrival: longer than any deadline, so that nothing is left open
BARE_WINDOW_MS = 1000.0  # of the windows of bare thresholds: the shortest there are


@dataclass(slots=True)
class Transition:
    """A change of one server's service level, as it logged it."""

    at_s: float
    server: int
    left: str
    entered: str
    why: str


@dataclass(slots=True)
class SimulationResult:
    """Figures of one day, and what charts need. Times in s."""

    figures: dict[str, float]
    moves: list[Transition]
    broken: list[str]
    series: dict[str, list[float]] = field(default_factory=dict)


class Bare(LevelSelector):
    """A baseline: the same levels on bare thresholds, in at or above, out below; no stays, no damping."""

    def __init__(self, levels: tuple[Level, ...], damping: Damping, **more: Any) -> None:
        bare = (
            replace(
                level,
                entry_ms=BARE_WINDOW_MS,
                exit_ms=BARE_WINDOW_MS,
                min_stay_ms=1.0,
                trial_ms=1.0,
                exit=level.entry,
            )
            for level in levels
        )
        super().__init__(tuple(bare), Damping(1.0, 1.0, 1.0), **more)

    def _is_below_exit(self, threshold: Threshold, now: float) -> bool:
        window = self._windows.get(threshold.fact, BARE_WINDOW_MS)
        return window.is_full(now) and window.mean() < threshold.value


class Day:
    """A site's servers, gateways and downstream service, played once."""

    def __init__(
        self,
        site: Site,
        load: list[Part],
        faults: list[Fault],
        levels: LevelTable | None,
        seed: int,
        length_s: float,
        kind: type[LevelSelector] = LevelSelector,
    ) -> None:
        streams, self.length_ms = Streams(seed), length_s * 1000
        self.site, self.levels = site, levels
        self.engine = Engine()
        self.checker = Checker()
        self.statistics = OutcomeStatistics(site.products, int(length_s))
        self.demand = demand(load, streams, length_s)
        self.arrivals = Arrivals(site, self.demand, streams, self.length_ms)
        part = site.below
        self.downstream = Downstream(
            self.engine, part.slots, part.line, part.call_ms, part.cv, streams.of("below")
        )
        self.moves: list[Transition] = []
        self.logged: dict[str, int] = {}
        incarnations = count(1)
        self.servers = [
            Server(
                n,
                site,
                self.engine,
                self.downstream,
                self.checker,
                seed=seed,
                incarnations=incarnations,
                levels=levels,
                kind=kind,
                logged=self._log,
            )
            for n in range(site.server.count)
        ]
        self._attempts = 0
        self.gateways = [
            Gateway(
                n,
                site,
                self.engine,
                self.checker,
                self.statistics,
                self.servers,
                self._next_number,
                self._continue_session,
            )
            for n in range(site.gateways.count)
        ]
        notifier = EndpointNotifier(self.engine, list(self.gateways), site.gateways.notice_ms)
        self.fault_timeline = FaultTimeline(self.engine, self.servers, self.downstream, notifier)
        self.fault_timeline.schedule(faults)
        self.heights: list[list[float]] = [[] for _ in self.servers]
        self._to_come = iter(self.arrivals.offered_requests)

    def _next_number(self) -> int:
        self._attempts += 1
        return self._attempts

    def _continue_session(self, offered: OfferedRequest) -> None:
        if self.engine.now < self.length_ms:
            following = self.arrivals.next_of(offered, self.engine.now)
            self.engine.after(0.0, self.gateways[following.gateway].take, following)

    def _log(self, now: float, server: int, text: str, facts: dict[str, Any]) -> None:
        self.logged[text] = self.logged.get(text, 0) + 1
        if text in ("service reduced", "service restored"):
            left, entered, why = (str(facts[key]) for key in ("left", "entered", "why"))
            self.moves.append(Transition(now / 1000, server, left, entered, why))

    def play(self) -> SimulationResult:
        """Plays the whole day; the same for the same arguments on every machine."""
        for server in self.servers:
            server.start(warm=True)
        for gateway in self.gateways:
            gateway.listed = list(range(len(self.servers)))
        self._schedule_next_arrival()
        self._check()
        self.engine.run(self.length_ms + RUN_OUT_MS)
        self.checker.check_overdue(self.engine.now)
        return self._result()

    def _schedule_next_arrival(self) -> None:
        """The next arrival: one at a time in the heap, however long the day."""
        offered = next(self._to_come, None)
        if offered:
            self.engine.at(offered.at, self._arrive, offered)

    def _arrive(self, offered: OfferedRequest) -> None:
        if self.site.session_mean:
            self.statistics.sessions[offered.session] = Session()
        self.gateways[offered.gateway].take(offered)
        self._schedule_next_arrival()

    def _check(self) -> None:
        self.checker.check_overdue(self.engine.now)
        names = [level.name for level in self.levels.levels] if self.levels else []
        for n, server in enumerate(self.servers):
            name = server.core.service.levels.name if server.is_up and server.core.service.levels else ""
            self.heights[n].append(float(names.index(name) + 1 if name in names else 0))
        if self.engine.now < self.length_ms:
            self.engine.after(CHECK_INTERVAL_MS, self._check)

    def _result(self) -> SimulationResult:
        statistics = self.statistics
        checker = self.checker
        length_s = self.length_ms / 1000
        asked = statistics.table("asked").sum()
        figures: dict[str, float] = dict(
            value=statistics.value(),
            txns=float(asked),  # a name that experiments read
            tries=statistics.attempts / max(float(asked), 1.0),
            broken=float(checker.broken_count),
            read_late=float(checker.counts["read late"]),
            lost_with_server=float(checker.lost_with_server),
            worst_10s=self._worst(10),
            memory_peak=max(s.memory_peak for s in self.servers),
            crowd_peak=max(s.contention_peak for s in self.servers),
            below_full=self.downstream.full / max(self.downstream.calls, 1),
            p50_ms=_quantile(statistics.times, 0.5),
            p99_ms=_quantile(statistics.times, 0.99),
            failed_steps=float(self.logged.get("admission command failed", 0)),
        )
        for n, product in enumerate(statistics.products):
            figures[f"served.{product.name}"] = statistics.served(n)
        ended = sum(statistics.ends.values()) or 1
        figures |= {f"share.{outcome}": count / ended for outcome, count in statistics.ends.items()}
        figures |= self._of_levels(length_s) | self._of_sessions(length_s)
        return SimulationResult(figures, self.moves, checker.broken, self._series())

    def _worst(self, span: int) -> float:
        seconds = len(self.statistics.seconds)
        return min(
            (self.statistics.value(s, s + span) for s in range(0, max(seconds - span, 1), 2)), default=1.0
        )

    def _of_levels(self, length_s: float) -> dict[str, float]:
        if not self.levels:
            return dict(moves_per_min=0.0, stay_breaks=0.0, level_mean=0.0)
        stays = {level.name: level.min_stay_ms / 1000 for level in self.levels.levels}
        breaks = 0
        for moves in self._by_server():
            mine = [move for move in moves if move.why != "table"]
            for before, after in zip(mine, mine[1:], strict=False):
                min_stay_s = stays.get(before.entered, stays.get(after.entered, 0.0))
                breaks += after.at_s - before.at_s < min_stay_s - 1e-6
        heights = np.array([row[: int(length_s)] for row in self.heights])
        return dict(
            moves_per_min=len(self.moves) / len(self.servers) / (length_s / 60),
            stay_breaks=float(breaks),
            level_mean=float(heights.mean()),
            reach_s=self._first(),
            home_s=self._home(),
            home_spread_s=self._home_spread(),
        )

    def _by_server(self) -> list[list[Transition]]:
        return [[move for move in self.moves if move.server == n] for n in range(len(self.servers))]

    def _first(self) -> float:
        """s at which the last of the servers first left full service; the day's length if one never did."""
        return max(mine[0].at_s if mine else self.length_ms / 1000 for mine in self._by_server())

    def _home(self) -> float:
        """s at which the last of the servers was back at full service for good; the day's length if one was
        not."""
        ends = [mine[-1] if mine else None for mine in self._by_server()]
        return max(
            0.0 if end is None else end.at_s if end.entered == FULL_SERVICE else self.length_ms / 1000
            for end in ends
        )

    def _home_spread(self) -> float:
        """s between the first and the last of the servers that came back to full service for good; 0 for
        none."""
        times = [mine[-1].at_s for mine in self._by_server() if mine and mine[-1].entered == FULL_SERVICE]
        return max(times, default=0.0) - min(times, default=0.0)

    def _of_sessions(self, length_s: float) -> dict[str, float]:
        """Of whole sessions, as the source counts: its equation 2 is `power`."""
        if not self.site.session_mean:
            return {}
        over = [session for session in self.statistics.sessions.values() if session.is_over]
        begun = [session for session in over if session.completed]  # one that never got in is not broken
        ended = sum(not session.is_broken for session in over)
        error = 1 - ended / len(begun) if begun else 0.0
        time_s = float(np.mean(self.statistics.times)) / 1000 if self.statistics.times else float("inf")
        throughput = ended / length_s
        return dict(
            session_throughput=throughput,
            session_refused=1 - len(begun) / len(over) if over else 0.0,
            session_error=error,
            response_s=time_s,
            power=throughput / time_s * (1 - error),
        )

    def _series(self) -> dict[str, list[float]]:
        """By second: demand, value asked for and settled in time, the mean and the highest level."""
        weights = np.array([p.priority_weight for p in self.statistics.products])
        asked, in_time = (self.statistics.table(name) for name in ("asked", "in_time"))
        length = int(self.length_ms / 1000)
        heights = np.array([row[:length] + [0.0] * (length - len(row)) for row in self.heights])
        series = dict(
            demand=[self.demand(float(s)) for s in range(length)],
            asked=(asked @ weights)[:length].tolist(),
            in_time=(in_time @ weights)[:length].tolist(),
            level=heights.mean(0).tolist(),
            level_most=heights.max(0).tolist(),
        )
        for n, product in enumerate(self.statistics.products):
            series[f"asked.{product.name}"] = asked[:length, n].astype(float).tolist()
            series[f"in_time.{product.name}"] = in_time[:length, n].astype(float).tolist()
        return series


def _quantile(times: list[float], at: float) -> float:
    return float(np.quantile(times, at)) if times else 0.0
