"""The seeded faults of cells, and where each shows. The search has to find all of them."""

from dataclasses import dataclass, replace
from typing import Any

from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.fleet.cell_coordinator_mutants import (
    NeverReadsQueue,
    OpensChangeFromAnyBase,
    OpensTwoChanges,
    RelayTrustsAnyStore,
)
from otterrudder.lab.fleet.cell_participant_mutants import (
    CountsLeaseFromAnswer,
    ExtendsLeaseByNewerGrant,
    IgnoresDigests,
    RevertsToOlderVersion,
    SkipsValidation,
    TrustsFullSpan,
    UsesStaleClock,
)
from otterrudder.lab.fleet.cell_relay_mutants import (
    EndorsementUnderLeaveOut,
    EndorsesWhileItLeads,
    ForgetsClosedStreams,
    ForgetsEndorsementAtRestart,
    GrantsPastAuthority,
    GrantsPastBound,
    GrantsThoughItEndorsed,
    GrantsToNewServersAtOnce,
    GrantsWithoutLease,
    IgnoresRejections,
    RequestsEndorsementTooLate,
    ReusesOldResult,
    TrustsOneEndorsement,
    VotesAtTakeover,
    VotesThoughItEndorsed,
    VotesWithoutValidation,
)
from otterrudder.lab.fleet.cell_stages import CellStage
from otterrudder.lab.fleet.cell_variants import RULES, SLOW_AND_FAST, CellVariant


@dataclass(frozen=True, slots=True)
class SeededFault:
    """Where a seeded fault shows: the variant with the mutant, and a scenario that starts at a stage.

    A scenario is needed where random walks reach the fault too rarely; without a scenario, random walks find
    it. An event with the prefix `~` may not be possible with the correct part."""

    variant: CellVariant
    stage: CellStage = CellStage.QUIESCENT
    scenario: tuple[str, ...] = ()


def _rounds(steps: int) -> tuple[str, ...]:
    return ("all is delivered", "time passes") * steps


_PROPOSED = ("B reads", "B: propose")
_NEW_SERVER = (
    "s1 dies",
    "r00.1 count",
    "r00.1 commit",
    "time passes",
    "s1 starts",
    "r00 to s1: opened",
    "s1 to r00: Registration",
    "~r00 to s1: PolicyUpdate",
    "~s1 has validated",
    "~r00 to s1: LeaseGrant",
)
_LATE_GRANT = (
    "time passes",
    "s0 to r00: LeaseRenewal",
    *_PROPOSED,
    "r00.1 read",
    "r00 to s1: ValidationRequest",
    "s1 has validated",
    "~s1 to r00: LeaseRenewal",
    "s1 to r00: ValidationResult",
    "r00.1 vote",
    "r00.1 count",
    "r00.1 commit",
    "time passes",
    "r00 to s0: LeaseGrant",
    *("time passes",) * 5,
)
_SLOW_CLOCK = (
    "time passes",
    "s0 to r00: LeaseRenewal",
    "r00 to s0: LeaseGrant",
    *_PROPOSED,
    "r00.1 read",
    "r00 to s1: ValidationRequest",
    "s1 has validated",
    "~s1 to r00: LeaseRenewal",
    "s1 to r00: ValidationResult",
    "r00.1 vote",
    "r00.1 count",
    "r00.1 commit",
    *("time passes",) * 6,
    "little time passes",
)
_SLOW_CHECK = (
    "r00.1 read",
    *(("~s0 to r00: LeaseRenewal", "~r00 to s0: PolicyUpdate", "~r00 to s0: LeaseGrant", "time passes") * 8),
)
_LATE_RENEWAL = ("r00.1 count", "r00.1 commit", "time passes", "s0 to r00: LeaseRenewal")
_SERVER_FROZEN = ("s0 freezes", *("time passes",) * 8, "s0 thaws")
_OLDER_VERSION = (
    "time passes",
    "time passes",
    "s0 to r00: LeaseRenewal",
    "r00 to s0: older version",
    "r00 to s0: LeaseGrant",
)
_DAMAGED_TEXT = ("r00.1 read", "r00 to s0: damaged text", "r00 to s0: PolicyUpdate", "~s0 has validated")
_STANDBY_CUT_OFF = ("r00 cannot send", "r01 cannot send", *_rounds(14), *_PROPOSED, *_rounds(8))
_LEADER_CUT_OFF = ("r00 cannot send", "r00 to r01: cut", *_rounds(14), *_PROPOSED, *_rounds(8))
_TWO_LEADERS = (
    "r00 cannot send",
    *_rounds(16),
    *_PROPOSED,
    *_rounds(5),
    "the store is unreachable",
    "r01 to r00: cut",
    *_rounds(6),
    "r01 to r00: healed",
    "r01 answers r00",
    "~r01 to s0: opened",
    "~s0 to r01: Registration",
    "~r01 to s0: LeaseRefusal",
    "~time passes",
    "~r00 to s0: opened",
    "~s0 to r00: Registration",
)
_STANDBY_RESTARTED = (
    "r00 cannot send",
    "r01 dies",
    "the store is reachable",
    "r01 starts",
    "s0 to r00: breaks",
    *_rounds(3),
)
_STORE_BACK_FOR_STANDBY = (
    "r00 cannot send",
    "the store is reachable",
    *_PROPOSED,
    *_rounds(1),
    "~s0 to r00: breaks",
    *_rounds(4),
)
_SAME_TEXT = (
    "s2 dies",
    *_rounds(8),
    *_PROPOSED,
    *_rounds(3),
    "s2 starts",
    *_rounds(3),
    "C reads",
    "C: queue",
    *_rounds(4),
)
_OLD_COPY = (
    "a backup is taken",
    *_PROPOSED,
    *_rounds(3),
    "the backup answers",
    "r00 dies",
    "r01 dies",
    "r00 starts",
    *_rounds(20),
)


def _of_relay(relay: type[Relay], **parts: Any) -> SeededFault:
    return SeededFault(CellVariant(relay=relay, **parts))


def _of_server(participant: type[Participant], **parts: Any) -> SeededFault:
    return SeededFault(CellVariant(participant=participant, **parts))


# A time step falls between this bound and the end of a lease that is counted from a late answer.
_TIGHT = replace(RULES, bound_ms=2900.0)
_LEAVE_OUT = replace(RULES, absent="leave-out")
SEEDED_FAULTS: dict[str, SeededFault] = {
    "grants past its authority": SeededFault(
        CellVariant(relay=GrantsPastAuthority), CellStage.VOTED, _LATE_RENEWAL
    ),
    "grants for longer than the bound": _of_relay(GrantsPastBound),
    "grants to new servers at once": SeededFault(
        CellVariant(relay=GrantsToNewServersAtOnce), CellStage.VOTED, _NEW_SERVER
    ),
    "counts a lease from the answer": SeededFault(
        CellVariant(
            participant=CountsLeaseFromAnswer, rules=_TIGHT, limits=RelayLimits(span_ms=_TIGHT.bound_ms)
        ),
        CellStage.QUIESCENT,
        _LATE_GRANT,
    ),
    "trusts the full span of a lease": SeededFault(
        CellVariant(participant=TrustsFullSpan, server_rates=SLOW_AND_FAST),
        CellStage.QUIESCENT,
        _SLOW_CLOCK,
    ),
    "uses a stale clock after a freeze": SeededFault(
        CellVariant(participant=UsesStaleClock), CellStage.COMMITTED, _SERVER_FROZEN
    ),
    "extends the lease of an old version": SeededFault(
        CellVariant(participant=ExtendsLeaseByNewerGrant), CellStage.COMMITTED, _SLOW_CHECK
    ),
    "reverts to an older version": SeededFault(
        CellVariant(participant=RevertsToOlderVersion), CellStage.QUIESCENT, _OLDER_VERSION
    ),
    "switches without validation": _of_server(SkipsValidation, servers=3, has_rejecting_servers=True),
    "takes a damaged text": SeededFault(
        CellVariant(participant=IgnoresDigests), CellStage.COMMITTED, _DAMAGED_TEXT
    ),
    "trusts one endorsement of two": SeededFault(
        CellVariant(relay=TrustsOneEndorsement, relays=3), CellStage.QUIESCENT, _STANDBY_CUT_OFF
    ),
    "endorses while it leads": SeededFault(
        CellVariant(relay=EndorsesWhileItLeads), CellStage.QUIESCENT, _TWO_LEADERS
    ),
    "forgets its endorsement in a restart": SeededFault(
        CellVariant(relay=ForgetsEndorsementAtRestart), CellStage.ENDORSED, _STANDBY_RESTARTED
    ),
    "votes though it has endorsed": SeededFault(
        CellVariant(relay=VotesThoughItEndorsed), CellStage.ENDORSED, _STORE_BACK_FOR_STANDBY
    ),
    "grants though it has endorsed": SeededFault(
        CellVariant(relay=GrantsThoughItEndorsed), CellStage.ENDORSED, _STORE_BACK_FOR_STANDBY
    ),
    "endorsement under leave-out": SeededFault(
        CellVariant(relay=EndorsementUnderLeaveOut, rules=_LEAVE_OUT, cells=2, servers=3),
        CellStage.QUIESCENT,
        _STANDBY_CUT_OFF,
    ),
    "grants without a lease": SeededFault(
        CellVariant(relay=GrantsWithoutLease), CellStage.QUIESCENT, _LEADER_CUT_OFF
    ),
    "requests endorsement too late": _of_relay(RequestsEndorsementTooLate),
    "votes without asking": _of_relay(VotesWithoutValidation),
    "ignores rejections": _of_relay(IgnoresRejections, has_rejecting_servers=True),
    "reuses an old result": SeededFault(
        CellVariant(relay=ReusesOldResult, cells=2, servers=4, has_rejecting_servers=True),
        CellStage.QUIESCENT,
        _SAME_TEXT,
    ),
    "forgets closed streams": _of_relay(ForgetsClosedStreams),
    "votes at takeover": _of_relay(VotesAtTakeover),
    "trusts any store": SeededFault(
        CellVariant(relay=RelayTrustsAnyStore, has_backups=True), CellStage.QUIESCENT, _OLD_COPY
    ),
    "opens two changes": _of_relay(OpensTwoChanges),
    "opens a change from any base": _of_relay(OpensChangeFromAnyBase, has_based_changes=True),
    "ignores the queue": _of_relay(NeverReadsQueue),
}
