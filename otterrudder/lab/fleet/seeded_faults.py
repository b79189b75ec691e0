"""The seeded faults of the fleet's parts, where each shows, and the variants in which the unchanged parts
have to keep all guarantees."""

from dataclasses import dataclass, replace

from otterrudder.lab.fleet.model import RULES, Variant
from otterrudder.lab.fleet.model_stages import Stage
from otterrudder.lab.fleet.mutants import (
    AcceptsAnyLease,
    AcceptsAnyStore,
    AppliesBeforeCommit,
    CountsBoundFromAnswer,
    ForgetsPreparedVote,
    NeverReadsAgain,
    NeverSuspends,
    RegistersUncounted,
    RetainsSyncWithoutLease,
    ServesWithoutLease,
    SharesName,
    SyncsBeforeRegistration,
    TakesForeignNames,
    TrustsAnyDirectory,
    TrustsFileRule,
    TrustsLateRead,
    UsesClockOfLastAnswer,
    VotesBeforeSave,
    VotesForAnyChange,
    VotesForAnyIncarnation,
    finish_by_majority,
    finish_despite_rejections,
    finish_without_absent,
    finish_without_compares,
)

FROM_DIRECTORY = replace(RULES, starts_from_directory=True)
LEAVE_OUT = replace(RULES, absent="leave-out")


@dataclass(frozen=True, slots=True)
class SeededFault:
    """Where a seeded fault shows: the variant with the mutant, and a scenario that starts at a stage.

    With a depth, a search from the end of the scenario finds the fault; this is needed where random walks
    reach it too rarely. Without a depth, random walks find it. An event with the prefix `~` may not be
    possible with the correct member."""

    variant: Variant
    stage: Stage = Stage.QUIESCENT
    scenario: tuple[str, ...] = ()
    depth: int = 0
    max_faults: int = 0


_LATE_VOTE = (
    "0.1 vote: given up",
    "late count",
    "late count: abort",
    "time",
    "0.1 read",
    "~0.1 read",
    "0 is cut off",
    "B reads",
    "B: propose",
    "0.-1 vote",
    "1.1 vote",
    "~1.1 read",
    "~1.1 read",
    "time",
    "~1.1 read",
    "~1.1 read",
    "~1.1 read",
    "~1.1 vote",
)
_OLD_INCARNATION = (
    "0.1 vote: given up",
    "0 dies",
    "1.1 vote",
    "time",
    "time",
    "time",
    "time",
    "0 starts",
    "0.2 read",
    "0.2 read",
    "0.2 register",
    "0.2 read",
    "0 is cut off",
    "0.-1 vote",
)
_DISK_FULL = (
    "0 has a full disk",
    "A reads",
    "A: propose",
    "1.1 read",
    "~1.1 read",
    "~1.1 read",
    "1.1 vote",
    "~0.1 read",
    "~0.1 read",
    "~0.1 read",
    "~0.1 vote",
    "0 is cut off",
    "0 dies",
)
_RESTART_AFTER_COMMIT = ("0 dies", "time", "time", "time", "time", "0 starts", "0.2 read")
_NAME_AFTER_LEASE = (
    "0 is cut off",
    *(("time", "~2.1 read") * 6),
    "~2.1 register",
    "~2.1 read",
    "~2.1 read",
    "A reads",
    "A: propose",
    *(("~1.1 read", "~2.1 read") * 3),
    "~1.1 vote",
    "~2.1 vote",
)
_LEASE_OF_COPY = (
    "a backup is taken",
    "the backup answers",
    *(("time",) * 5),
    "0 is cut off",
    "the store itself answers",
    "A reads",
    "A: propose",
    "count",
    "count: commit",
)
_OLD_RULES = (
    "0 dies",
    *(("time",) * 5),
    "A reads",
    "A: propose",
    "1.1 read",
    "~1.1 read",
    "~1.1 read",
    "1.1 vote",
    "count",
    "count: commit",
)
# Where each fault shows, by the name of the fault.
SEEDED_FAULTS: dict[str, SeededFault] = {
    "votes before the save": SeededFault(
        Variant(VotesBeforeSave, rules=FROM_DIRECTORY, fills_disks=True), Stage.QUIESCENT, _DISK_FULL, 4, 0
    ),
    "trusts any state directory": SeededFault(
        Variant(TrustsAnyDirectory, rules=FROM_DIRECTORY), Stage.VOTED, (), 5, 2
    ),
    "trusts the rule of its file": SeededFault(
        Variant(TrustsFileRule, rules=LEAVE_OUT, alternate_rules=FROM_DIRECTORY),
        Stage.QUIESCENT,
        _OLD_RULES,
        4,
        1,
    ),
    "uses the clock of the last answer": SeededFault(Variant(UsesClockOfLastAnswer), Stage.VOTED, (), 7, 1),
    "counts the bound from the answer": SeededFault(Variant(CountsBoundFromAnswer)),
    "never suspends": SeededFault(Variant(NeverSuspends)),
    "serves without a lease": SeededFault(Variant(ServesWithoutLease, rules=LEAVE_OUT)),
    "retains its sync without a lease": SeededFault(
        Variant(RetainsSyncWithoutLease, rules=LEAVE_OUT, has_disk=False)
    ),
    "votes for any change": SeededFault(Variant(VotesForAnyChange), Stage.OPEN, _LATE_VOTE, 5, 0),
    "votes for any incarnation": SeededFault(
        Variant(VotesForAnyIncarnation, rules=LEAVE_OUT, has_disk=False), Stage.OPEN, _OLD_INCARNATION, 5, 0
    ),
    "syncs before it registers": SeededFault(
        Variant(SyncsBeforeRegistration, rules=LEAVE_OUT, has_disk=False)
    ),
    "registers silently": SeededFault(Variant(RegistersUncounted, rules=LEAVE_OUT, has_disk=False)),
    "takes foreign names": SeededFault(
        Variant(TakesForeignNames, has_name_conflict=True), Stage.QUIESCENT, _NAME_AFTER_LEASE, 6, 0
    ),
    "shares its name": SeededFault(Variant(SharesName, has_name_conflict=True)),
    "applies before the commit": SeededFault(Variant(AppliesBeforeCommit)),
    "forgets its prepared vote": SeededFault(
        Variant(ForgetsPreparedVote, rules=FROM_DIRECTORY), Stage.COMMITTED, _RESTART_AFTER_COMMIT, 3, 9
    ),
    "accepts any store": SeededFault(Variant(AcceptsAnyStore, has_backups=True)),
    "accepts any lease": SeededFault(
        Variant(AcceptsAnyLease, rules=LEAVE_OUT, has_backups=True), Stage.QUIESCENT, _LEASE_OF_COPY, 3, 2
    ),
    "trusts a late read": SeededFault(Variant(TrustsLateRead, rules=LEAVE_OUT)),
    "never reads again": SeededFault(Variant(NeverReadsAgain)),
    "finishes by majority": SeededFault(Variant(finish_change=finish_by_majority)),
    "finishes without compares": SeededFault(Variant(finish_change=finish_without_compares)),
    "finishes despite rejections": SeededFault(
        Variant(finish_change=finish_despite_rejections, rejecting_member=0)
    ),
    "finishes without the absent": SeededFault(Variant(finish_change=finish_without_absent)),
}
# Variants with unchanged parts that cover the configurations for which the guarantees hold.
VARIANTS: dict[str, Variant] = {
    "wait": Variant(),
    "wait, from its state directory": Variant(rules=FROM_DIRECTORY),
    "wait, disks that fill": Variant(rules=FROM_DIRECTORY, fills_disks=True),
    "leave-out": Variant(rules=LEAVE_OUT),
    "leave-out, no state directory": Variant(rules=LEAVE_OUT, has_disk=False),
    "a name taken": Variant(has_name_conflict=True),
    "a policy that is bad for one": Variant(rejecting_member=0),
    "rules that are mixed and change": Variant(rules=LEAVE_OUT, alternate_rules=FROM_DIRECTORY),
    "another engine answers": Variant(has_backups=True),
    "another engine, leave-out": Variant(rules=LEAVE_OUT, has_backups=True),
    "another engine, no state directory": Variant(
        rules=LEAVE_OUT, has_disk=False, has_backups=True, has_store_id=True
    ),
}
