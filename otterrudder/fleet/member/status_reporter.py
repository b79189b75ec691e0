"""Reports a member's status to operators through its status key. No other operation waits for a report."""

import math
from collections.abc import Callable

from otterrudder.fleet.records import MemberStatus, Trial
from otterrudder.fleet.state import AdmissionStatus, MemberIdentity, Policy

# Members spread their reports of a new status over this time, so that a change causes no burst of writes.
REPORT_SPREAD_MS = 2000.0
METRICS_INTERVAL_MS = 3000.0  # mean interval between reports of metrics while a policy is on trial
REGISTERING = AdmissionStatus.REGISTERING.label


class StatusReporter:
    """Keeps the last report and the time of the next one."""

    __slots__ = ("identity", "metrics", "report_at", "reported", "template")

    def __init__(self, identity: MemberIdentity, template: MemberStatus | None) -> None:
        """`template` has the fields that do not change while the process runs."""
        self.identity = identity
        self.template = template or MemberStatus(identity.incarnation)
        self.metrics: tuple[tuple[str, float], ...] = ()  # the server's latest metrics
        self.report_at = math.inf  # when the next report is due; inf if there is nothing to report
        self.reported = (0, "")  # policy version and status label of the last report

    def schedule(self, now: float, has_news: bool, jitter: Callable[[str], float]) -> None:
        """Schedules a report of a changed status within REPORT_SPREAD_MS. Called after each read."""
        if has_news and self.report_at == math.inf:
            self.report_at = now + jitter("tell") * REPORT_SPREAD_MS

    def begin(
        self, now: float, current: tuple[int, str], trial: Trial | None, jitter: Callable[[str], float]
    ) -> None:
        """Records that a report is sent, and schedules the next report of metrics if a policy is on trial."""
        self.reported = current
        spread = 0.75 + jitter("figures") / 2
        self.report_at = now + METRICS_INTERVAL_MS * spread if trial else math.inf

    def status(self, known: Policy, current: tuple[int, str], trial: Trial | None) -> MemberStatus:
        """Returns the record for the status key."""
        version, label = current
        asked_metrics = {metric for metric, _ in trial.conditions} if trial else set()
        # JSON encodes NaN and infinity as null, which would make the whole record undecodable.
        metrics = tuple(
            (metric, value)
            for metric, value in self.metrics
            if metric in asked_metrics and math.isfinite(value)
        )
        template = self.template
        return MemberStatus(
            self.identity.incarnation,
            template.program,
            template.zone,
            version,
            known.digest,
            label,
            template.products,
            metrics,
            template.relay,
        )
