"""Checks the recorded history of a run without querying any server. The history has the messages seen by
gateways and runtimes, and the times at which the store held each version of the policy.

Each policy here always rejects one product, so a completed request shows which versions may have admitted it.
A request violates the bound if none of those versions was in force, or had been in force within the bound, at
any time between sending the request and receiving its answer."""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from otterrudder.lab.processes.fake_runtime import result_body
from otterrudder.lab.processes.fake_settings import REQUEST_TTL_MS
from otterrudder.lab.processes.history import (
    ClusterHistory,
    ListingRecord,
    RequestOutcome,
    RequestRecord,
    TimeSpan,
    VersionInForce,
)

BOUND_SLACK_MS = 60.0  # added to the bound: one store poll, one iteration of a server's loop, transit time
STALL_RECOVERY_MS = 50.0  # time to read the data that arrived while this process was stalled
DRAIN_SLACK_MS = 600.0  # added to the drain timeout, for scheduling delays on shared cores
ANSWER_SLACK_MS = 400.0  # added to a gateway's timeout, for scheduling delays on shared cores
MAX_UNLISTED_MS = 3000.0  # service discovery drops a server after this time without a report
MAX_LISTED_VIOLATIONS = 12  # per rule; further violations are only counted


class Rule(Enum):
    """The rules that are checked; their values are names in results."""

    LOST = "lost"
    ANSWERED_TWICE = "answered twice"
    LATE = "late"
    OTHER_RESULT = "another result"
    RUN_TWICE = "run twice"
    REPEAT_REJECTED = "repeat declined"
    WRONG_VERSION = "wrong version"
    UNLISTED = "unlisted"
    DRAIN = "drain"

    @property
    def figure(self) -> str:
        """The name of the figure that counts violations of this rule."""
        return f"breaches of {self.value!r}"


@dataclass(slots=True)
class CheckResult:
    """The violations found, as one line of text each, and the figures of the run."""

    violations: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)


def check_history(history: ClusterHistory) -> CheckResult:
    """Checks a history against all rules."""
    return _HistoryChecker(history).check()


def may_have_been_admitted(request: RequestRecord, versions: list[VersionInForce], bound_ms: float) -> bool:
    """Whether a version that serves the request's product was in force, or had been in force within the
    bound, while the request was open."""
    for index, version in enumerate(versions):
        is_last = index + 1 == len(versions)
        end = float("inf") if is_last else versions[index + 1].by + bound_ms + BOUND_SLACK_MS
        is_in_time = request.answered_at >= version.after and request.sent_at <= end
        if version.rejected_product != request.product and is_in_time:
            return True
    return False


class _HistoryChecker:
    """Checks one history. A request that was open during a disturbance of its server needs no timely
    answer."""

    def __init__(self, history: ClusterHistory) -> None:
        self.history = history
        self.requests = history.wire.requests
        self.versions = list(history.versions)
        self.stalls = [TimeSpan(start, end + STALL_RECOVERY_MS) for start, end in history.wire.stalls]
        self.counts: Counter[Rule] = Counter()
        self.violations: list[str] = []
        self.first_runs: dict[tuple[int, str], str] = {}  # first call by (server, key)
        self.completed = {
            request.call: request for request in self.requests if request.outcome is RequestOutcome.COMPLETED
        }

    def check(self) -> CheckResult:
        """Checks all rules, and returns the violations and figures."""
        self._check_runs()
        for request in self.requests:
            self._check_request(request)
        for name, listing in self.history.listings.items():
            self._check_listing(name, listing)
        self._check_drains()
        figures = _figures(self.history, self.counts[Rule.WRONG_VERSION])
        figures["drains"] = len(self.history.drains)
        for rule, count in self.counts.items():
            if count:
                figures[rule.figure] = count
        return CheckResult(self.violations, figures)

    def _add(self, rule: Rule, text: str) -> None:
        self.counts[rule] += 1
        self.violations.append(f"{rule.value}: {text}")

    def _add_request(self, rule: Rule, request: RequestRecord, text: str) -> None:
        if self.counts[rule] >= MAX_LISTED_VIOLATIONS:
            self.counts[rule] += 1
            return
        self._add(
            rule,
            f"{request.call} ({request.product}, server {request.server}, sent at "
            f"{request.sent_at:.0f}, {request.outcome.value} at {request.answered_at:.0f}): {text}",
        )

    def _check_runs(self) -> None:
        run_counts: Counter[tuple[int, str]] = Counter()
        for run in self.history.wire.runs:
            if run.idempotency_key:
                self.first_runs.setdefault((run.server, run.idempotency_key), run.call)
                run_counts[run.server, run.idempotency_key] += 1
        for (server, key), count in run_counts.items():
            if count > 1:
                self._add(Rule.RUN_TWICE, f"key {key} ran {count} times on server {server}")

    def _check_request(self, request: RequestRecord) -> None:
        if request.responses > 1:
            self._add_request(Rule.ANSWERED_TWICE, request, f"{request.responses} answers")
        match request.outcome:
            case RequestOutcome.NOT_SENT:
                return
            case RequestOutcome.OPEN | RequestOutcome.LOST:
                if not self._is_excused(request):
                    self._add_request(Rule.LOST, request, "no answer, although its server was not disturbed")
                return
            case RequestOutcome.COMPLETED:
                self._check_latency(request)
                self._check_completed(request)
            case RequestOutcome.REJECTED:
                self._check_latency(request)
                self._check_rejected(request)
            case RequestOutcome.FAILED:
                self._check_latency(request)

    def _is_excused(self, request: RequestRecord) -> bool:
        end = request.answered_at or float("inf")
        spans = [*self.history.disturbed.get(request.server, ()), *self.stalls]
        return any(span.overlaps(request.sent_at, end) for span in spans)

    def _check_latency(self, request: RequestRecord) -> None:
        latency_ms = request.answered_at - request.sent_at
        if latency_ms > REQUEST_TTL_MS + ANSWER_SLACK_MS and not self._is_excused(request):
            self._add_request(Rule.LATE, request, f"answered after {latency_ms:.0f} ms")

    def _check_completed(self, request: RequestRecord) -> None:
        run = request.call
        if request.idempotency_key:
            run = self.first_runs.get((request.server, request.idempotency_key), request.call)
        if request.body != result_body(run):
            self._add_request(Rule.OTHER_RESULT, request, repr(request.body))
        is_own_run = run == request.call
        if is_own_run and not may_have_been_admitted(request, self.versions, self.history.bound_ms):
            text = "no policy that serves this product was in force within the bound"
            self._add_request(Rule.WRONG_VERSION, request, text)

    def _check_rejected(self, request: RequestRecord) -> None:
        """Checks that no repeat was rejected after the same process had completed the original."""
        original = self.completed.get(request.original_call)
        if original is None or original.incarnation != request.incarnation:
            return
        if original.answered_at <= request.sent_at:
            self._add_request(
                Rule.REPEAT_REJECTED, request, f"original {request.original_call} had completed"
            )

    def _check_listing(self, name: str, listing: ListingRecord) -> None:
        for gap in _unexcused_gaps(listing):
            self._add(
                Rule.UNLISTED, f"no report of {name} was received from {gap.start:.0f} to {gap.end:.0f}"
            )

    def _check_drains(self) -> None:
        for drain in self.history.drains:
            took_ms = drain.ended_at - drain.started_at
            if drain.exit_code != 0 or took_ms > self.history.stop_ms + DRAIN_SLACK_MS:
                self._add(
                    Rule.DRAIN,
                    f"server {drain.server}, draining since {drain.started_at:.0f}, ended with exit code "
                    f"{drain.exit_code} after {took_ms:.0f} ms",
                )


def _unexcused_gaps(listing: ListingRecord) -> Iterator[TimeSpan]:
    """Yields the spans without a report that are too long and overlap no excused span."""
    for start, end in zip(listing.received_at, listing.received_at[1:], strict=False):
        is_long = end - start > MAX_UNLISTED_MS + ANSWER_SLACK_MS
        if is_long and not any(span.overlaps(start, end) for span in listing.excused):
            yield TimeSpan(start, end)


def _figures(history: ClusterHistory, wrong_versions: int) -> dict[str, float]:
    """Returns the figures of a run; the keys are names in results and experiments."""
    wire = history.wire
    outcomes = Counter(
        request.outcome for request in wire.requests if _is_served_by_policy(request, history.versions)
    )
    completed = outcomes[RequestOutcome.COMPLETED]
    rejected = outcomes[RequestOutcome.REJECTED]
    return dict(
        txns=len(wire.requests),
        settled=sum(request.outcome is RequestOutcome.COMPLETED for request in wire.requests),
        repeats=sum(request.is_repeat for request in wire.requests),
        lost_with_server=outcomes[RequestOutcome.OPEN] + outcomes[RequestOutcome.LOST],
        aside_share=rejected / max(completed + rejected, 1),
        wrong_version=wrong_versions,
        runs=len(wire.runs),
        versions=len(history.versions),
        bound_ms=history.bound_ms,
        stalled_ms=round(sum(end - start for start, end in wire.stalls)),
    )


def _is_served_by_policy(request: RequestRecord, versions: Sequence[VersionInForce]) -> bool:
    """Whether a single version was in force while the request was open, and serves the request's product.

    If such a request is rejected, its server had suspended admission."""
    if request.is_repeat:
        return False
    for index, version in reversed(list(enumerate(versions))):
        is_last = index + 1 == len(versions)
        covers_answer = is_last or request.answered_at <= versions[index + 1].after
        if version.by <= request.sent_at and covers_answer:
            return version.rejected_product != request.product
    return False
