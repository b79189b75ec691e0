"""The part of a model state's fingerprint that is a member's, with times as steps."""

import math

from otterrudder.fleet.member import Member

STEP_MS = 1000.0  # by which time goes on in a model: a half of the bound
MAX_STEPS = 99.0  # of time in a fingerprint: all later times are one
NEVER_STEPS = 100.0  # of a time that never comes or never was
NOW_STEPS = -1.0  # left of a time that has come

# Attributes of a member's parts that are times: how much is left of some, how long ago others were.
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
# By which members never differ, or which nothing depends on from here on.
_PASSED_OVER = frozenset({"answered_at", "cluster", "failures", "has_disk", "identity", "rules", "template"})


def member_fingerprint(member: Member, now: float) -> tuple[object, ...]:
    """Equal for two members that behave alike from here on: times as what is left or has passed of them, in
    steps, for time goes on by whole steps."""
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
    """Steps until then. inf // STEP_MS would be nan, which no fingerprint may hold: it equals nothing."""
    if at == math.inf:
        return NEVER_STEPS
    return NOW_STEPS if at <= now else min((at - now + STEP_MS - 1) // STEP_MS, MAX_STEPS)


def steps_ago(at: float, now: float) -> float:
    """Steps since then."""
    return NEVER_STEPS if at == -math.inf else min((now - at) // STEP_MS, MAX_STEPS)
