"""The fingerprint of a member in a model state, in which times are numbers of steps."""

import math

from otterrudder.fleet.member import Member

STEP_MS = 1000.0  # time step of a model: half of the bound
MAX_STEPS = 99.0  # maximum number of steps in a fingerprint; longer times are not distinguished
NEVER_STEPS = 100.0  # stands for a time that never comes or never was
NOW_STEPS = -1.0  # stands for a time that has already come

# Attributes of a member's parts that are times in the future, and those that are times in the past.
_TIMES_LEFT = frozenset(
    {
        "abstains_until",
        "endorsed_until",
        "lease_until",
        "register_not_before",
        "renew_at",
        "report_at",
        "retry_at",
        "save_at",
        "vote_priority_until",
    }
)
_TIMES_AGO = frozenset({"confirmed_open_at", "read_at"})
# Attributes that are the same for all members, or that no later behaviour depends on.
_PASSED_OVER = frozenset({"answered_at", "cluster", "failures", "has_disk", "identity", "rules", "template"})


def member_fingerprint(member: Member, now: float) -> tuple[object, ...]:
    """Returns a value that is equal for two members that behave the same from here on.

    Times are numbers of steps before or after `now`, because the simulated time advances in whole steps."""
    parts = (
        member.policies,
        member.registration,
        member.voting,
        member.local_state,
        member.reads,
        member.reporter,
        member.trust,
    )
    values = tuple(
        steps_left(value, now)
        if name in _TIMES_LEFT
        else steps_ago(value, now)
        if name in _TIMES_AGO
        else value
        for part in parts
        for base in type(part).__mro__
        for name in getattr(base, "__slots__", ())
        if name not in _PASSED_OVER
        for value in (getattr(part, name),)
    )
    return (*values, member.observed, member._busy)


def steps_left(at: float, now: float) -> float:
    """Returns the steps until a time.

    An infinite time is a special case: inf // STEP_MS is nan, which is not equal to itself."""
    if at == math.inf:
        return NEVER_STEPS
    return NOW_STEPS if at <= now else min((at - now + STEP_MS - 1) // STEP_MS, MAX_STEPS)


def steps_ago(at: float, now: float) -> float:
    """Returns the steps since a time."""
    return NEVER_STEPS if at == -math.inf else min((now - at) // STEP_MS, MAX_STEPS)
