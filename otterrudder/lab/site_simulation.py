"""Simulates a site under a load with faults, for one variant and seed, and computes the figures."""

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
from otterrudder.lab.shapes import LoadPart, demand
from otterrudder.lab.site import Site
from otterrudder.lab.streams import RandomStreams
from otterrudder.levels import Damping, Level, LevelSelector, LevelTable, Threshold
from otterrudder.levels.selector import FULL_SERVICE

CHECK_INTERVAL_MS = 1000.0  # interval between checks for overdue answers
# Simulated time after the last arrival. It is longer than any deadline, so that every request has ended.
SETTLING_TIME_MS = 12_000.0
BARE_WINDOW_MS = 1000.0  # measurement window of bare thresholds: the shortest window that a table allows


@dataclass(slots=True)
class Transition:
    """A change of one server's service level, taken from the server's log line."""

    at_s: float
    server: int
    from_level: str
    to_level: str
    reason: str


@dataclass(slots=True)
class SimulationResult:
    """Figures of one simulation, and the time series for charts. Times are in s."""

    figures: dict[str, float]
    transitions: list[Transition]
    violations: list[str]
    series: dict[str, list[float]] = field(default_factory=dict)


class BareThresholdSelector(LevelSelector):
    """A baseline without stabilization. It enters a level at or above its entry threshold and leaves it below
    the same threshold, without minimum stays and damping."""

    def __init__(self, levels: tuple[Level, ...], damping: Damping, **options: Any) -> None:
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
        super().__init__(tuple(bare), Damping(1.0, 1.0, 1.0), **options)

    def _is_below_exit(self, threshold: Threshold, now: float) -> bool:
        window = self._windows.get(threshold.fact, BARE_WINDOW_MS)
        return window.is_full(now) and window.mean() < threshold.value


class SiteSimulation:
    """A site's servers, gateways and downstream service in one simulation."""

    def __init__(
        self,
        site: Site,
        load: list[LoadPart],
        faults: list[Fault],
        levels: LevelTable | None,
        seed: int,
        length_s: float,
        selector_type: type[LevelSelector] = LevelSelector,
    ) -> None:
        streams, self.length_ms = RandomStreams(seed), length_s * 1000
        self.site, self.levels = site, levels
        self.engine = Engine()
        self.checker = Checker()
        self.statistics = OutcomeStatistics(site.products, int(length_s))
        self.demand = demand(load, streams, length_s)
        self.arrivals = Arrivals(site, self.demand, streams, self.length_ms)
        section = site.below
        self.downstream = Downstream(
            self.engine, section.slots, section.line, section.call_ms, section.cv, streams.generator("below")
        )
        self.transitions: list[Transition] = []
        self.log_counts: dict[str, int] = {}
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
                selector_type=selector_type,
                on_log=self._log,
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
                self._next_attempt_number,
                self._continue_session,
            )
            for n in range(site.gateways.count)
        ]
        notifier = EndpointNotifier(self.engine, list(self.gateways), site.gateways.notice_ms)
        self.fault_timeline = FaultTimeline(self.engine, self.servers, self.downstream, notifier)
        self.fault_timeline.schedule(faults)
        self.levels_by_second: list[list[float]] = [[] for _ in self.servers]
        self._remaining_arrivals = iter(self.arrivals.offered_requests)

    def _next_attempt_number(self) -> int:
        self._attempts += 1
        return self._attempts

    def _continue_session(self, offered: OfferedRequest) -> None:
        if self.engine.now < self.length_ms:
            next_request = self.arrivals.next_in_session(offered, self.engine.now)
            self.engine.after(0.0, self.gateways[next_request.gateway].accept, next_request)

    def _log(self, now: float, server: int, text: str, fields: dict[str, Any]) -> None:
        self.log_counts[text] = self.log_counts.get(text, 0) + 1
        # These texts and keys are those of the log lines of the service levels.
        if text in ("service reduced", "service restored"):
            from_level, to_level, reason = (str(fields[key]) for key in ("left", "entered", "why"))
            self.transitions.append(Transition(now / 1000, server, from_level, to_level, reason))

    def run(self) -> SimulationResult:
        """Runs the simulation. The result depends only on the arguments and is the same on every machine."""
        for server in self.servers:
            server.start(warm=True)
        for gateway in self.gateways:
            gateway.listed = list(range(len(self.servers)))
        self._schedule_next_arrival()
        self._check_and_sample()
        self.engine.run(self.length_ms + SETTLING_TIME_MS)
        self.checker.check_overdue(self.engine.now)
        return self._result()

    def _schedule_next_arrival(self) -> None:
        """Schedules the next arrival. Only one arrival is in the engine's heap at a time, so that the heap
        does not grow with the length of the simulation."""
        offered = next(self._remaining_arrivals, None)
        if offered:
            self.engine.at(offered.at, self._arrive, offered)

    def _arrive(self, offered: OfferedRequest) -> None:
        if self.site.session_mean:
            self.statistics.sessions[offered.session] = Session()
        self.gateways[offered.gateway].accept(offered)
        self._schedule_next_arrival()

    def _check_and_sample(self) -> None:
        self.checker.check_overdue(self.engine.now)
        names = [level.name for level in self.levels.levels] if self.levels else []
        for n, server in enumerate(self.servers):
            name = server.core.service.levels.name if server.is_up and server.core.service.levels else ""
            self.levels_by_second[n].append(float(names.index(name) + 1 if name in names else 0))
        if self.engine.now < self.length_ms:
            self.engine.after(CHECK_INTERVAL_MS, self._check_and_sample)

    def _result(self) -> SimulationResult:
        statistics = self.statistics
        checker = self.checker
        length_s = self.length_ms / 1000
        asked = statistics.table("asked").sum()
        figures: dict[str, float] = dict(
            value=statistics.value(),
            txns=float(asked),  # experiment files and results use this name
            tries=statistics.attempts / max(float(asked), 1.0),
            broken=float(checker.violation_count),
            read_late=float(checker.counts["read late"]),
            lost_with_server=float(checker.lost_with_server),
            worst_10s=self._lowest_value_share(10),
            memory_peak=max(s.memory_peak for s in self.servers),
            crowd_peak=max(s.contention_peak for s in self.servers),
            below_full=self.downstream.rejected / max(self.downstream.calls, 1),
            p50_ms=_quantile(statistics.response_times, 0.5),
            p99_ms=_quantile(statistics.response_times, 0.99),
            failed_steps=float(self.log_counts.get("admission command failed", 0)),
        )
        for n, product in enumerate(statistics.products):
            figures[f"served.{product.name}"] = statistics.served(n)
        ended_count = sum(statistics.outcomes.values()) or 1
        figures |= {f"share.{outcome}": count / ended_count for outcome, count in statistics.outcomes.items()}
        figures |= self._level_figures(length_s) | self._session_figures(length_s)
        return SimulationResult(figures, self.transitions, checker.violations, self._series())

    def _lowest_value_share(self, span_s: int) -> float:
        """The lowest share of the value that was served in any span of `span_s` seconds. Spans start every
        2 s."""
        seconds = len(self.statistics.by_second)
        return min(
            (self.statistics.value(s, s + span_s) for s in range(0, max(seconds - span_s, 1), 2)), default=1.0
        )

    def _level_figures(self, length_s: float) -> dict[str, float]:
        if not self.levels:
            return dict(moves_per_min=0.0, stay_breaks=0.0, level_mean=0.0)
        min_stays_s = {level.name: level.min_stay_ms / 1000 for level in self.levels.levels}
        stay_violations = 0
        for transitions in self._transitions_by_server():
            server_transitions = [transition for transition in transitions if transition.reason != "table"]
            for before, after in zip(server_transitions, server_transitions[1:], strict=False):
                min_stay_s = min_stays_s.get(before.to_level, min_stays_s.get(after.to_level, 0.0))
                stay_violations += after.at_s - before.at_s < min_stay_s - 1e-6
        levels_by_second = np.array([row[: int(length_s)] for row in self.levels_by_second])
        return dict(
            moves_per_min=len(self.transitions) / len(self.servers) / (length_s / 60),
            stay_breaks=float(stay_violations),
            level_mean=float(levels_by_second.mean()),
            reach_s=self._last_entry_s(),
            home_s=self._last_return_s(),
            home_spread_s=self._return_spread_s(),
        )

    def _transitions_by_server(self) -> list[list[Transition]]:
        return [
            [transition for transition in self.transitions if transition.server == n]
            for n in range(len(self.servers))
        ]

    def _last_entry_s(self) -> float:
        """The time in s at which the last server first left full service; the length of the simulation if a
        server never left it."""
        return max(
            server_transitions[0].at_s if server_transitions else self.length_ms / 1000
            for server_transitions in self._transitions_by_server()
        )

    def _last_return_s(self) -> float:
        """The time in s of the last server's final return to full service; the length of the simulation if a
        server ended at a reduced level. 0 if no server left full service."""
        last_transitions = [
            server_transitions[-1] if server_transitions else None
            for server_transitions in self._transitions_by_server()
        ]
        return max(
            0.0 if last is None else last.at_s if last.to_level == FULL_SERVICE else self.length_ms / 1000
            for last in last_transitions
        )

    def _return_spread_s(self) -> float:
        """The time in s between the first and the last server's final return to full service; 0 if no server
        returned."""
        times = [
            server_transitions[-1].at_s
            for server_transitions in self._transitions_by_server()
            if server_transitions and server_transitions[-1].to_level == FULL_SERVICE
        ]
        return max(times, default=0.0) - min(times, default=0.0)

    def _session_figures(self, length_s: float) -> dict[str, float]:
        """Figures of whole sessions, defined as in the paper that experiments/paper.toml reproduces: `power`
        is its equation 2."""
        if not self.site.session_mean:
            return {}
        ended_sessions = [session for session in self.statistics.sessions.values() if session.is_over]
        # A session without a completed request counts as refused, not as an error.
        admitted_sessions = [session for session in ended_sessions if session.completed]
        completed = sum(not session.is_broken for session in ended_sessions)
        error = 1 - completed / len(admitted_sessions) if admitted_sessions else 0.0
        response_s = (
            float(np.mean(self.statistics.response_times)) / 1000
            if self.statistics.response_times
            else float("inf")
        )
        throughput = completed / length_s
        return dict(
            session_throughput=throughput,
            session_refused=1 - len(admitted_sessions) / len(ended_sessions) if ended_sessions else 0.0,
            session_error=error,
            response_s=response_s,
            power=throughput / response_s * (1 - error),
        )

    def _series(self) -> dict[str, list[float]]:
        """Time series by second: demand, the value of the requests that arrived and of those completed in
        time, and the mean and the highest level over the servers."""
        weights = np.array([p.priority_weight for p in self.statistics.products])
        asked, in_time = (self.statistics.table(name) for name in ("asked", "in_time"))
        length_s = int(self.length_ms / 1000)
        levels_by_second = np.array(
            [row[:length_s] + [0.0] * (length_s - len(row)) for row in self.levels_by_second]
        )
        series = dict(
            demand=[self.demand(float(s)) for s in range(length_s)],
            asked=(asked @ weights)[:length_s].tolist(),
            in_time=(in_time @ weights)[:length_s].tolist(),
            level=levels_by_second.mean(0).tolist(),
            level_most=levels_by_second.max(0).tolist(),
        )
        for n, product in enumerate(self.statistics.products):
            series[f"asked.{product.name}"] = asked[:length_s, n].astype(float).tolist()
            series[f"in_time.{product.name}"] = in_time[:length_s, n].astype(float).tolist()
        return series


def _quantile(times: list[float], quantile: float) -> float:
    return float(np.quantile(times, quantile)) if times else 0.0
