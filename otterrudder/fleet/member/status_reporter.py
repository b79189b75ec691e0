"""What a member reports of itself to operators, by its status key. Nothing waits for it."""

import math
from collections.abc import Callable

from otterrudder.fleet.records import MemberStatus, Trial
from otterrudder.fleet.state import AdmissionStatus, MemberIdentity, Policy

# ms over which members report that they have switched, so that a change is no burst of writes
REPORT_SPREAD_MS = 2000.0
METRICS_INTERVAL_MS = 3000.0  # ms between reports of metrics while a policy is on trial
REGISTERING = AdmissionStatus.REGISTERING.label


class StatusReporter:
    """The last report, and when the next one is due."""

    __slots__ = ("identity", "metrics", "report_at", "reported", "template")

    def __init__(self, identity: MemberIdentity, template: MemberStatus | None) -> None:
        """`template`: what does not change while the process runs."""
        self.identity = identity
        self.template = template or MemberStatus(identity.incarnation)
        self.metrics: tuple[tuple[str, float], ...] = ()  # how this server does, as it last said
        self.report_at = math.inf
        self.reported = (0, "")  # the version and the status's label

    def schedule(self, now: float, has_news: bool, draw: Callable[[str], float]) -> None:
        """After a read: news are reported within REPORT_SPREAD_MS."""
        if has_news and self.report_at == math.inf:
            self.report_at = now + draw("tell") * REPORT_SPREAD_MS

    def begin(
        self, now: float, current: tuple[int, str], trial: Trial | None, draw: Callable[[str], float]
    ) -> None:
        """A report is sent; while a policy is on trial, the next one follows with new metrics."""
        self.reported = current
        spread = 0.75 + draw("figures") / 2
        self.report_at = now + METRICS_INTERVAL_MS * spread if trial else math.inf

    def status(self, known: Policy, current: tuple[int, str], trial: Trial | None) -> MemberStatus:
        """The record of the status key."""
        version, label = current
        asked_metrics = {metric for metric, _ in trial.conditions} if trial else set()
        # One that is no number would be null in the record, and the whole of it unread.
        metrics = tuple(one for one in self.metrics if one[0] in asked_metrics and math.isfinite(one[1]))
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
