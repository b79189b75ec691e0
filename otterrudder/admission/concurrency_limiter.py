"""The concurrency limiter, which adapts the number of running requests to their latencies.

The limit applies to requests on the cores. The ceiling applies to all requests in flight, because requests at
downstream calls return to the cores at any time."""

import math

from otterrudder.admission.context import RECENT_WEIGHT, TICK_MS, AdmissionContext, Stage
from otterrudder.admission.memory_budget import MemoryBudget
from otterrudder.admission.requests import IN_FLIGHT_STATES, Request, RequestState

CEILING_SHARE = 0.5  # maximum limit, as a share of the concurrency beyond which the server fails
BUSY_CORES_SHARE = 0.9  # share of the cores in use at which the server counts as busy

# Adaptation of the limit.
MAX_RATIO_FOR_INCREASE = 2.0  # `latency_to_lowest` up to which the limit may rise
MIN_DECREASE_FACTOR = 0.9  # minimum factor on the limit per finished request
LIMIT_INCREASE_PER_CORE = 0.04  # increase of the limit per finished request
FAST_RAMP_RUNS_PER_CORE = 1.34  # limit up to which it rises by 1 per tick while cores are free
SLOW_RAMP_MS = 2000.0  # time in which the limit rises by 1 per core above that

# Estimates of latencies.
MIN_LATENCY_MS = 0.1  # lower bound of a measured latency, which is used as a divisor
LOWEST_LATENCY_GROWTH = 1.01  # factor per run, so that a single unusually fast run is forgotten
MIN_MEAN_WEIGHT = 1 / 64  # weight of a new run in the long-term mean
MEAN_RATIO_WEIGHT = 1 / 8  # weight of a new run in `latency_to_mean`
MAX_MEAN_RATIO_SAMPLE = 3.0  # cap on a sample, so that one costly request does not make the server look slow


class ClassLatencies:
    """Latencies by request class, in a list per value: there may be hundreds of thousands of classes."""

    def __init__(self, class_count: int) -> None:
        self.run_counts = [0] * class_count
        self.lowest_ms = [math.inf] * class_count  # lowest time on the cores
        self.mean_ms = [0.0] * class_count  # mean time on the cores
        self.mean_off_cores_ms = [0.0] * class_count  # mean time at downstream calls

    def restart(self) -> None:
        """Keeps the estimates with the weight of a single run, so that new runs replace them quickly."""
        self.run_counts = [min(count, 1) for count in self.run_counts]

    def add(self, request: Request, latency_ms: float) -> None:
        """Adds the latency of a run."""
        class_index = request.class_index
        self.run_counts[class_index] += 1
        weight = max(MIN_MEAN_WEIGHT, 1 / self.run_counts[class_index])
        self.mean_ms[class_index] += weight * (latency_ms - self.mean_ms[class_index])
        if request.is_completed:
            self.mean_off_cores_ms[class_index] += weight * (
                request.off_cores_ms - self.mean_off_cores_ms[class_index]
            )
        self.lowest_ms[class_index] = min(self.lowest_ms[class_index] * LOWEST_LATENCY_GROWTH, latency_ms)


class ConcurrencyLimiter(Stage):
    """Limits the requests that run, including those at downstream calls or without a waiting caller."""

    def __init__(self, context: AdmissionContext, memory_budget: MemoryBudget) -> None:
        settings = context.settings
        self._context = context
        self._memory_budget = memory_budget
        self._cores = settings.cores
        self._max_concurrency_per_core = settings.max_concurrency_per_core
        self._slow_start_ms = settings.slow_start_ms
        self._slow_start_from = settings.slow_start_from
        self._started_at = context.now - settings.uptime_ms if settings.is_cold_start else -math.inf
        self.latencies = ClassLatencies(len(context.request_classes))
        self.limit = float(settings.cores)
        self.running = 0  # requests on the cores
        self.in_flight = 0  # requests on the cores or at downstream calls
        self.busy_share = 0.0  # share of the cores in use, as last measured
        # Recent ratio of latency to the mean of the request's class. It is the first sign of a slowdown.
        self.latency_to_mean = 1.0
        self.latency_to_lowest = 1.0  # recent ratio of latency to the lowest of the class
        self.wasted_share = 0.0  # share of recent runs that did not complete on time

    def warm_share(self) -> float:
        """Returns the share of its capacity that a server uses during its slow start; 1 once it is warm."""
        elapsed = 1.0
        if self._slow_start_ms:
            elapsed = min((self._context.now - self._started_at) / self._slow_start_ms, 1.0)
        return self._slow_start_from + (1 - self._slow_start_from) * elapsed

    def restart_cold(self) -> None:
        """Resets the limit and the slow start as after a cold start. Requests in flight still count."""
        self._started_at = self._context.now
        self.limit = float(self._cores)
        self.latency_to_mean = 1.0
        self.latency_to_lowest = 1.0
        self.latencies.restart()

    def ceiling(self) -> float:
        """Returns the maximum number of requests in flight, all of which may be on the cores together."""
        per_core = 1 + (self._max_concurrency_per_core - 1) * self.warm_share()
        return max(self._cores * per_core * CEILING_SHARE, 1.0)

    def may_start(self, request: Request) -> bool:
        """Returns whether there is room for the request to run."""
        return (
            self.running < int(self.limit)
            and self.in_flight + 1 <= self.ceiling()
            and self._memory_budget.may_start(request)
        )

    def expected_cores_ms(self, request: Request) -> float:
        """Returns the expected time of the request on the cores, in ms."""
        return self.latencies.mean_ms[request.class_index] * self.latency_to_mean or 1.0

    def expected_off_cores_ms(self, request: Request) -> float:
        """Returns the expected time of the request at downstream calls, in ms."""
        return self.latencies.mean_off_cores_ms[request.class_index]

    def admit(self, request: Request) -> bool:
        """Counts a request that starts."""
        request.state = RequestState.RUNNING
        request.may_have_run = True
        request.started_at = self._context.now
        self.running += 1
        self.in_flight += 1
        return True

    def leave_cores(self, request: Request) -> None:
        """Takes a request that has reached a downstream call off the cores."""
        request.state = RequestState.CALLING
        request.left_cores_at = self._context.now
        self.running -= 1

    def return_to_cores(self, request: Request) -> None:
        """Puts a request back on the cores after its downstream call."""
        request.state = RequestState.RUNNING
        request.off_cores_ms += self._context.now - request.left_cores_at
        self.running += 1

    def on_released(self, request: Request) -> None:
        """Updates the counts and the estimates at the end of a run."""
        if request.state not in IN_FLIGHT_STATES:
            return
        self.in_flight -= 1
        if request.state is RequestState.CALLING:  # its time at the call is not time on the cores
            self.return_to_cores(request)
        self.running -= 1
        is_wasted = not request.is_completed or self._context.now > request.soft_deadline
        self.wasted_share += RECENT_WEIGHT * (is_wasted - self.wasted_share)
        spent_ms = self._context.now - request.started_at - request.off_cores_ms
        # A run that was cut short gives a lower bound of its latency; without it only fast runs would count.
        if request.is_completed or spent_ms > self.latencies.mean_ms[request.class_index]:
            self._learn(request, max(spent_ms, MIN_LATENCY_MS))

    def on_tick(self, busy_share: float, busy_cores: float, queued_count: int) -> None:
        """Raises the limit while requests wait and cores are free."""
        self.busy_share = busy_share
        if queued_count > 0 and busy_share < BUSY_CORES_SHARE and self.running >= int(self.limit):
            is_fast_ramp = self.limit + 1 <= FAST_RAMP_RUNS_PER_CORE * self._cores or busy_cores < self._cores
            self.limit += 1 if is_fast_ramp else self._cores * TICK_MS / SLOW_RAMP_MS
        self.limit = min(self.limit, max(self.ceiling(), self._cores))

    def _learn(self, request: Request, latency_ms: float) -> None:
        mean_ms = self.latencies.mean_ms[request.class_index] or latency_ms
        self.latency_to_mean += MEAN_RATIO_WEIGHT * (
            min(latency_ms / mean_ms, MAX_MEAN_RATIO_SAMPLE) - self.latency_to_mean
        )
        self.latencies.add(request, latency_ms)
        lowest_ms = self.latencies.lowest_ms[request.class_index]
        self.latency_to_lowest += RECENT_WEIGHT * (latency_ms / lowest_ms - self.latency_to_lowest)
        if self.latency_to_lowest <= MAX_RATIO_FOR_INCREASE:
            if self.running + 1 >= int(self.limit):
                self.limit += LIMIT_INCREASE_PER_CORE * self._cores
        elif self.busy_share >= BUSY_CORES_SHARE:
            self.limit = max(self.limit * max(1 / self.latency_to_lowest, MIN_DECREASE_FACTOR), self._cores)
