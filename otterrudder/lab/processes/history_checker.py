"""The checker's own ledger: what crossed the wire at gateways and runtimes, and when the store had which
policy. It never asks a server.

A policy shows in what is settled: each of the rig's policies declines one product for good, so a settled
request tells under which policies it may have been admitted. It breaks the bound if none of these was in
force, or had been within the bound, at any time between its sending and its answer."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from otterrudder.lab.processes.fake_gateway import TTL_MS, Asked, Wire

SLACK_MS = 60.0  # of the bound: the rig's look at the store, a turn of a server's loop, the way there
STALLED_MS = 50.0  # after the rig stood still, until it has read what lay about
DRAIN_MS = 600.0  # beyond its `stop_ms` that a drain may take on a machine whose cores are shared
LATE_MS = 400.0  # beyond its patience that an answer may come on a machine whose cores are shared
GAP_MS = 3000.0  # that a server may be unheard of until the list strikes it off
SHOWN_MOST = 12  # breaches that are listed


@dataclass(frozen=True, slots=True)
class InForce:
    """A version, and between which times it came into force, by the rig's clock in ms."""

    version: int
    declines: str  # the product; "": none
    after: float
    by: float


@dataclass(frozen=True, slots=True)
class Listed:
    """When the list heard of a server, and from when to when it was owed no report, by the rig's clock."""

    heard: list[float]
    excused: list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Drain:
    """A server that was told to drain, and how its process ended, by the rig's clock; `code` None: by a kill
    of the rig's, for it did not end."""

    server: int
    began: float
    ended: float
    code: int | None


@dataclass(slots=True)
class Verdict:
    breaches: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)


def may_have_been(asked: Asked, versions: list[InForce], bound_ms: float) -> bool:
    """Whether some version that does not decline it was in force, or had been within the bound, when it may
    have been admitted."""
    for n, version in enumerate(versions):
        ends = versions[n + 1].by + bound_ms + SLACK_MS if n + 1 < len(versions) else float("inf")
        if version.declines != asked.product and asked.answered >= version.after and asked.sent <= ends:
            return True
    return False


def judge(
    wire: Wire,
    versions: list[InForce],
    bound_ms: float,
    harmed: dict[int, list[tuple[float, float]]],
    listed: dict[str, Listed] | None = None,
    drains: Sequence[Drain] = (),
    stop_ms: float = 0.0,
) -> Verdict:
    """`harmed`: by server, when its process was killed or frozen, or its gateway's link harmed: what was open
    then is owed no answer in time. To a server that drains every answer is owed, and its end by `stop_ms`."""
    verdict, shown = Verdict(), Counter[str]()

    def breach(rule: str, asked: Asked, what: str) -> None:
        shown[rule] += 1
        if shown[rule] <= SHOWN_MOST:
            verdict.breaches.append(
                f"{rule}: {asked.call} ({asked.product}, server {asked.server}, sent at "
                f"{asked.sent:.0f}, {asked.outcome} at {asked.answered:.0f}): {what}"
            )

    first_run: dict[str, str] = {}
    for start in wire.started:
        if start.mark:
            first_run.setdefault(f"{start.server}/{start.mark}", start.call)
    ran_of = Counter((start.server, start.mark) for start in wire.started if start.mark)
    for (server, mark), times in ran_of.items():
        if times > 1:
            shown["run twice"] += 1
            verdict.breaches.append(f"run twice: mark {mark} ran {times} times on server {server}")
    stalls = [(start, end + STALLED_MS) for start, end in wire.stalls]
    settled = {asked.call: asked for asked in wire.asked if asked.outcome == "settled"}
    old = 0
    for asked in wire.asked:
        spoiled = any(
            asked.sent <= end and (asked.answered or float("inf")) >= start
            for start, end in [*harmed.get(asked.server, ()), *stalls]
        )
        if asked.answers > 1:
            breach("answered twice", asked, f"{asked.answers} answers")
        if asked.outcome == "refused":
            continue
        if not asked.outcome or asked.outcome == "lost":
            if not spoiled:
                breach("lost", asked, "no answer, and nothing was done to its server")
            continue
        if asked.answered - asked.sent > TTL_MS + LATE_MS and not spoiled:
            breach("late", asked, f"answered after {asked.answered - asked.sent:.0f} ms")
        if asked.outcome == "settled":
            run = first_run.get(f"{asked.server}/{asked.mark}", asked.call) if asked.mark else asked.call
            if asked.body != f"r:{run}".encode():
                breach("another result", asked, repr(asked.body))
            if run == asked.call and not may_have_been(asked, versions, bound_ms):
                old += 1
                breach("wrong version", asked, "no policy that serves it was in force by then")
        elif asked.outcome == "declined" and _is_known(settled.get(asked.first), asked):
            breach("repeat declined", asked, f"{asked.first} had been settled")
    for name, told in (listed or {}).items():
        for since, to in _gaps(told):
            shown["unlisted"] += 1
            verdict.breaches.append(f"unlisted: {name} was not heard of from {since:.0f} to {to:.0f}")
    for drain in drains:
        took = drain.ended - drain.began
        if drain.code != 0 or took > stop_ms + DRAIN_MS:
            shown["drain"] += 1
            verdict.breaches.append(
                f"drain: server {drain.server}, told at {drain.began:.0f}, ended with "
                f"{drain.code} after {took:.0f} ms"
            )
    verdict.figures = _figures(wire, versions, bound_ms, old) | {"drains": len(drains)}
    for rule, count in shown.items():
        verdict.figures[f"breaches of '{rule}'"] = count
    return verdict


def _is_known(earlier: Asked | None, repeat: Asked) -> bool:
    """Whether this process had settled it before it was asked again."""
    return earlier is not None and earlier.life == repeat.life and earlier.answered <= repeat.sent


def _gaps(told: Listed) -> list[tuple[float, float]]:
    """Of over `GAP_MS` that nothing excuses."""
    pairs = zip(told.heard, told.heard[1:], strict=False)
    long = [(start, end) for start, end in pairs if end - start > GAP_MS + LATE_MS]
    return [
        (start, end)
        for start, end in long
        if not any(start <= to and end >= since for since, to in told.excused)
    ]


def _figures(wire: Wire, versions: list[InForce], bound_ms: float, old: int) -> dict[str, float]:
    """What the rig's tables show. A request that the policy of its time serves, and is declined, stood before
    a server that stood aside."""
    served = declined = lost = 0
    for asked in wire.asked:
        if asked.call != asked.first:
            continue
        now = [
            v
            for n, v in enumerate(versions)
            if v.by <= asked.sent and (n + 1 == len(versions) or asked.answered <= versions[n + 1].after)
        ]
        if not now or now[-1].declines == asked.product:
            continue
        served += asked.outcome == "settled"
        declined += asked.outcome == "declined"
        lost += asked.outcome in ("", "lost")
    asked_in_all = max(served + declined, 1)
    return dict(
        txns=len(wire.asked),  # a name that experiments read
        settled=sum(a.outcome == "settled" for a in wire.asked),
        repeats=sum(a.call != a.first for a in wire.asked),
        lost_with_server=lost,
        aside_share=declined / asked_in_all,
        wrong_version=old,
        runs=len(wire.started),
        versions=len(versions),
        bound_ms=bound_ms,
        stalled_ms=round(sum(end - start for start, end in wire.stalls)),
    )
