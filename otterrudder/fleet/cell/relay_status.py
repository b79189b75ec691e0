"""The status of a relay that its control socket returns."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from otterrudder.fleet.cell.relay import Relay

UNLIMITED_MS = -1.0  # stands for an infinite time


@dataclass(frozen=True, slots=True)
class TransportCounts:
    """Counters of the relay's actor."""

    streams: int  # open streams
    received: int  # messages received from servers
    streams_failed: Mapping[str, int]  # streams that the relay ended with an error, by gRPC status
    worst_answer_ms: float  # longest time that the store took to answer
    store: Mapping[str, int]  # store requests by kind


def relay_status(relay: Relay, transport: TransportCounts, now: float) -> dict[str, object]:
    """Returns the status; its keys are those of the output of `fleet relay status`."""
    member = relay.member
    admission_status = member.admission_status(now)
    return dict(
        fleet=relay.identity.fleet,
        cell=relay.identity.cell,
        address=relay.identity.address,
        leads=relay.leads(),
        standing=admission_status.label,
        why=member.status_detail or admission_status.description,
        version=member.applied_policy.version,
        digest=member.applied_policy.digest,
        settles=member.is_leader,
        store_lease_left_ms=_left_ms(member.registration.lease_until - now),
        authority_left_ms=_left_ms(relay.authority_until(now) - now),
        consent_left_ms=_left_ms(member.registration.endorsed_until - now),
        consented_left_ms=_left_ms(relay.endorsement_giver.until - now),
        sessions=len(relay.sessions),
        sessions_most=relay.sessions.max_sessions,
        streams=transport.streams,
        received=transport.received,
        kinds=Counter(session.fingerprint for session in relay.sessions),
        versions=Counter(session.version for session in relay.sessions),
        standings=Counter(session.status for session in relay.sessions),
        refused={reason.value: count for reason, count in relay.refusal_counts.items() if count},
        streams_failed=transport.streams_failed,
        worst_answer_ms=transport.worst_answer_ms,
        counts=transport.store,
    )


def _left_ms(span_ms: float) -> float:
    return round(max(span_ms, 0.0), 1) if span_ms < float("inf") else UNLIMITED_MS
