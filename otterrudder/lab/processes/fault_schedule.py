"""Plans of faults, drawn from a seed, and how a run of changes goes through them.

A round is one change of policy with the faults of that round under way; after it all is mended, and what is
in force then has to be what every server goes by. A plan is drawn whole before anything starts, so that a
run is played again by its seed, and rounds can be left out one by one."""

import functools
import random
import signal
import subprocess
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.records import Keys
from otterrudder.lab.processes.cluster import FLEET, STOP_MS, Place, Rig, policy_text
from otterrudder.lab.processes.fake_gateway import PRODUCTS
from otterrudder.lab.processes.history_checker import Verdict, judge
from otterrudder.lab.processes.link import Harm

DEADLINE_S = 6.0  # of a change, in a run: beyond the longest fault
SETTLE_S = 20.0  # s in which a change must have ended once all is mended
AGREE_S = 12.0  # s in which all must go by it then: a process starts in one, a name is free within a lease
LATER = ("freeze later", "cut later", "drain later", "older copy later")  # once it, or anybody, has voted
LATER_S = 3.0  # s that its vote is waited for
REACH_S = 4.0  # s that a point is waited for: a proposer starts in one, a member comes forward within two
BACK_S = 0.8  # s that a process which comes back has before what else is harmed heals: it starts in less
HOLD_S = (0.4, 2.8)  # s that the faults of a round last

POINTS = ("before save", "after save", "before vote", "after vote", "before lead", "after lead")
DUTY = ("before lead", "after lead")
COMMIT = ("before commit", "after commit")
PROPOSER_POINTS = ("before propose", "after propose", *COMMIT)
# Harms to links: which one, and what is done to it.
HARMS = {
    "cut": ("store", Harm(is_cut=True)),
    "one way there": ("store", Harm(holds_there=True)),
    "one way back": ("store", Harm(holds_back=True)),
    "slow link": ("store", Harm(delay_ms=150.0)),
    "slow reader": ("store", Harm(per_s=4000.0)),
    "half a message": ("store", Harm(breaks_after=700)),
    "gateway cut": ("gateway", Harm(is_cut=True)),
    "gateway one way there": ("gateway", Harm(holds_there=True)),
    "gateway one way back": ("gateway", Harm(holds_back=True)),
    "gateway slow": ("gateway", Harm(delay_ms=150.0)),
    "gateway half a message": ("gateway", Harm(breaks_after=3000)),
    "runtime cut": ("runtime", Harm(is_cut=True)),
    "runtime one way there": ("runtime", Harm(holds_there=True)),
    "runtime one way back": ("runtime", Harm(holds_back=True)),
    "runtime slow": ("runtime", Harm(delay_ms=60.0)),
    "runtime half a message": ("runtime", Harm(breaks_after=700)),
    "list cut": ("list", Harm(is_cut=True)),
    "list loses": ("list", Harm(loss=0.5, delay_ms=100.0)),
    "network gone": ("network", Harm(is_cut=True)),
}
SERVER_FAULTS = (
    "kill",
    "drain",
    "drain later",
    "freeze",
    "freeze later",
    "cut later",
    "disk full",
    "disk hangs",
    "name taken",
    "folder lost",
    *HARMS,
)
POINT_FAULTS = ("kill at point", "halt at point", "store killed at point")  # of a server, at each point
STORE_FAULTS = (
    "store slow",
    "store loses answers",
    "store frozen",
    "watches cancelled",
    "watches deaf",
    "watches flooded",
    "store killed",
    "older copy answers",
    "older copy later",
    "empty store answers",
)
PROPOSER_FAULTS = ("proposer killed", "store killed at proposal")  # at each of its points
CHANGE_FAULTS = ("two at once", "bad policy")
# Each of them once: a plan deals them all before it deals one again.
DECK = (
    *((kind, "") for kind in SERVER_FAULTS + STORE_FAULTS + CHANGE_FAULTS),
    *((kind, point) for kind in POINT_FAULTS for point in POINTS),
    *((kind, point) for kind in PROPOSER_FAULTS for point in PROPOSER_POINTS),
)
REPLACED = ("older copy answers", "older copy later", "empty store answers")
# While these last no vote is seen, or the store can't be told to wait.
NO_VOTES = ("store frozen", "store killed", "older copy answers", "empty store answers")
STORE_DOWN = ("store killed", "store killed at point", "store killed at proposal", *REPLACED)


@dataclass(frozen=True, slots=True)
class Fault:
    kind: str
    server: int = -1  # -1: the store, or the change
    point: str = ""


@dataclass(frozen=True, slots=True)
class Round:
    number: int
    declines: str
    faults: tuple[Fault, ...]
    hold_s: float


@dataclass(slots=True)
class Played:
    """What came of a run."""

    verdict: Verdict
    rounds: list[dict[str, object]] = field(default_factory=list)
    odd: int = 0  # servers that went by another policy than the one in force at the end of a round, summed up
    odd_at_end: int = 0
    undecided: int = 0  # changes that had not ended in time
    committed: int = 0
    aborted: int = 0
    dealt: int = 0  # faults
    missed: int = 0  # of those, what never came about: its point was not passed, its vote not cast in time


def draw(seed: int, servers: int, changes: int, baseline: bool = False) -> list[Round]:
    """The plan of a seed. The baseline has no store and no proposer that could fail."""
    chance = random.Random(f"plan/{seed}")
    rounds: list[Round] = []
    deck: list[tuple[str, str]] = []
    for n in range(1, changes + 1):
        kept: list[Fault] = []
        passed: list[tuple[str, str]] = []
        for _ in range(chance.choice((1, 1, 2, 3))):
            if not deck:
                deck = list(DECK)
                chance.shuffle(deck)
            kind, point = deck.pop()
            is_server_s = kind in SERVER_FAULTS + POINT_FAULTS
            fault = Fault(kind, chance.randrange(servers) if is_server_s else -1, point)
            if _go_together([*kept, fault]):
                kept.append(fault)
            else:  # its time comes
                passed.append((kind, point))
        deck[:0] = passed
        if baseline:
            kept = [Fault(_PLAIN[f.kind], f.server) for f in kept if f.kind in _PLAIN]
        rounds.append(Round(n, PRODUCTS[n % 2], tuple(kept), chance.uniform(*HOLD_S)))
    return rounds


def _go_together(faults: list[Fault]) -> bool:
    """One a server, one for the store, one for the change: a frozen store could be told nothing more. Who has
    no folder believes the first engine that it hears, unless the fleet's file names one."""
    ends: list[object] = []
    for fault in faults:
        ends += [fault.server] if fault.server >= 0 else []
        ends += ["store"] if fault.kind in STORE_FAULTS + STORE_DOWN else []
        ends += ["change"] if fault.kind in PROPOSER_FAULTS + CHANGE_FAULTS else []
    kinds = {fault.kind for fault in faults}
    clash = "folder lost" in kinds and kinds & set(REPLACED)
    return len(ends) == len(set(ends)) and not clash and _come_about(faults, kinds)


def _come_about(faults: list[Fault], kinds: set[str]) -> bool:
    """Whether each can still meet what it is to meet: a vote, a point, the end of the change."""
    of_points = [fault for fault in faults if fault.kind in POINT_FAULTS]
    if of_points or kinds & set(LATER):
        if kinds & set(NO_VOTES) or any(fault.point == "before propose" for fault in faults):
            return False
        if of_points and "older copy later" in kinds:
            return False
        if "bad policy" in kinds and any(fault.point.endswith("save") for fault in of_points):
            return False  # nobody promises anything
    return all(
        _leaves_votes(other)
        for fault in faults
        if fault.point in COMMIT
        for other in faults
        if other is not fault
    )


def _leaves_votes(fault: Fault) -> bool:
    """Whether a change comes about, and as far as its commit, with this fault as without it."""
    harmless = ("gateway", "runtime", "list", "watches", "name", "store slow")
    return fault.kind.startswith(harmless)


# What a fault is to servers that are told by hand: down, frozen, or out of the operator's reach.
_PLAIN = {
    "kill": "kill",
    "folder lost": "kill",
    "drain": "drain",
    "drain later": "drain",
    "kill at point": "kill",
    "halt at point": "freeze",
    "freeze": "freeze",
    "freeze later": "freeze",
    "cut": "cut",
    "one way there": "cut",
    "one way back": "cut",
    "network gone": "network gone",
}


async def play(rig: Rig, rounds: list[Round], tell: Callable[[str], None] = lambda line: None) -> Played:
    """All rounds on a rig that runs."""
    played = Played(Verdict())
    for this in rounds:
        before = rig.versions[-1].version
        rig.keep_copy()
        for fault in this.faults:
            await _prepare(rig, fault)
        for fault in this.faults:
            await _harm(rig, fault)
        child, missed = None, list[Fault]()
        if rig.with_fleet:
            child, missed = await _change(rig, this)
        else:
            await rig.hand_out(this.declines)
        await _mend(rig, this)
        how = named_end(await rig.ended(child, SETTLE_S)) if child else "by hand"
        if rig.with_fleet and not await until(lambda: not rig.opened, SETTLE_S):
            played.undecided += 1
            how = "undecided"
        is_in = rig.versions[-1].version > before
        played.committed += is_in
        played.aborted += not is_in
        odd = await odd_servers(rig)
        played.odd += len(odd)
        played.odd_at_end = len(odd)
        named = _named(this.faults)
        played.dealt, played.missed = played.dealt + len(this.faults), played.missed + len(missed)
        played.rounds.append(
            dict(round=this.number, faults=named, missed=_named(missed), how=how, in_force=is_in, odd=odd)
        )
        tell(
            f"{this.number:4}  {'in force' if is_in else 'aborted ':8}  {how:12}  {named or 'no fault'}"
            + (f"  (missed: {_named(missed)})" if missed else "")
            + (f"  ODD: {odd}" if odd else "")
        )
    return played


def _named(faults: Iterable[Fault]) -> str:
    return ", ".join(
        " ".join(filter(None, (f.kind, f.point, f"n{f.server}" if f.server >= 0 else ""))) for f in faults
    )


def conclude(rig: Rig, played: Played) -> Played:
    """What the ledger says of a run that is over."""
    played.verdict = judge(
        rig.wire, rig.versions, rig.bound_ms, rig.harmed(), rig.listed(), rig.drains, STOP_MS
    )
    return played


async def _prepare(rig: Rig, fault: Fault) -> None:
    """What has to be so before the round: points are armed, and nobody leads who could keep others
    from coming forward."""
    if not rig.with_fleet:
        return
    if fault.kind in PROPOSER_FAULTS:  # at "after commit" once it has come to its own commit
        rig.arm(rig.proposer_halts, "before commit" if fault.point == "after commit" else fault.point)
    elif fault.kind in POINT_FAULTS:
        if fault.point in DUTY:
            await rig.tell_store(strike=Keys(FLEET).leader)
        rig.arm(_halts(rig, fault), fault.point)


def _halts(rig: Rig, fault: Fault) -> Path:
    """Where its point is armed: who comes forward for the leadership is not known before, so for all."""
    return rig.halts if fault.point in DUTY else rig.places[fault.server].halts


async def _harm(rig: Rig, fault: Fault) -> None:
    place = rig.places[fault.server] if fault.server >= 0 else None
    if place and fault.kind in HARMS:
        which, harm = HARMS[fault.kind]
        rig.set_link(place, fault.kind, harm, which)
    elif place and fault.kind in ("kill", "folder lost"):
        rig.kill(place)
        if fault.kind == "folder lost":
            rig.lose_folder(place)
    elif place and fault.kind == "freeze":
        rig.freeze(place)
    elif place and fault.kind == "drain":
        await rig.drain(place)
    elif place and fault.kind == "disk full":
        rig.fill_disk(place, True)
    elif place and fault.kind == "disk hangs":
        rig.hang_disk(place, True)
    elif place and fault.kind == "name taken":
        rig.take_name(place)
    elif fault.kind == "store frozen":
        rig.signal_store(signal.SIGSTOP)
    elif fault.kind == "store killed":
        rig.kill_store()
    elif fault.kind in ("older copy answers", "empty store answers"):
        await rig.replace_store(with_copy=fault.kind == "older copy answers")
    elif fault.kind in STORE_HARMS:
        await rig.tell_store(**STORE_HARMS[fault.kind])


STORE_HARMS: dict[str, dict[str, object]] = {
    "store slow": {"slow_ms": 150},
    "store loses answers": {"lose_answers": 3},
    "watches cancelled": {"cancel_watches": 1},
    "watches deaf": {"deaf_watches": True},
    "watches flooded": {"flood": 2000},
}


def named_end(code: int | None) -> str:
    return "no end" if code is None else "killed" if code < 0 else f"exit {code}"


async def _change(rig: Rig, this: Round) -> tuple[subprocess.Popen[bytes], list[Fault]]:
    """The change of a round, with what is done while it is open; its proposer's process, and which faults
    never came about.

    What is to happen between a vote and the end of a change is not left to chance: the store holds the end
    back until it has been done."""
    kinds = {fault.kind: fault for fault in this.faults}
    later = [fault for fault in this.faults if fault.kind in LATER]
    holds = not kinds.keys() & set(NO_VOTES) and any(_wants_open(fault) for fault in this.faults)
    missed = list[Fault]()
    if holds:
        await rig.hold_ends(True)
    proposer = kinds.get("proposer killed") or kinds.get("store killed at proposal")
    since, is_bad = clock(), "bad policy" in kinds
    text = policy_text("no-such-product", this.number) if is_bad else ""  # good TOML, and no server knows it
    child = rig.propose(this.number, this.declines, DEADLINE_S, text)
    if "two at once" in kinds:
        rig.propose(this.number + 100_000, PRODUCTS[(this.number + 1) % 2], DEADLINE_S)
    for fault in later:
        if not await until(functools.partial(_has_voted, rig, fault), LATER_S if holds else 0.1):
            missed.append(fault)
        if fault.kind == "freeze later":
            rig.freeze(rig.places[fault.server])
        elif fault.kind == "drain later":
            await rig.drain(rig.places[fault.server])
        elif fault.kind == "cut later":
            rig.set_link(rig.places[fault.server], fault.kind, HARMS["one way back"][1])
        else:
            await rig.replace_store(with_copy=True)
    for fault in this.faults:
        if fault.kind not in POINT_FAULTS:
            continue
        pid = await rig.halted(_halts(rig, fault), fault.point, REACH_S)
        if not pid:
            missed.append(fault)
            continue
        place = rig.halts_at(pid, since)
        if fault.kind == "kill at point":
            rig.kill(place)
        elif fault.kind == "store killed at point":
            rig.kill_store()
    if proposer and not await proposer_halts(rig, proposer, child):
        missed.append(proposer)
    elif proposer and proposer.kind == "store killed at proposal":
        rig.kill_store()
    if holds:
        await rig.hold_ends(False)
    await anyio.sleep(this.hold_s)
    if "proposer killed" in kinds:
        child.kill()
        child.wait()
    elif proposer:
        child.send_signal(signal.SIGCONT)
    return child, missed


def _wants_open(fault: Fault) -> bool:
    """Whether it is to meet a change that is open still."""
    return fault.kind in LATER or fault.point in (*DUTY, *COMMIT)


async def proposer_halts(rig: Rig, fault: Fault, child: subprocess.Popen[bytes]) -> bool:
    """Whether the proposer has halted at its point."""
    if fault.point != "after commit":
        return await rig.halted(rig.proposer_halts, fault.point, REACH_S) > 0
    if not await rig.halted(rig.proposer_halts, "before commit", REACH_S):
        return False
    rig.arm(rig.proposer_halts, fault.point)
    child.send_signal(signal.SIGCONT)
    await rig.hold_ends(False)
    return await rig.halted(rig.proposer_halts, fault.point, REACH_S) > 0


def _has_voted(rig: Rig, fault: Fault) -> bool:
    """Its server, or anybody where it is the store's."""
    return rig.places[fault.server].name in rig.voted if fault.server >= 0 else bool(rig.voted)


async def _mend(rig: Rig, this: Round) -> None:
    """All is as it should be again: what was killed is started, what was frozen goes on, links heal."""
    if not rig.with_fleet:
        await anyio.sleep(this.hold_s)
    await rig.disarm(clock() - this.hold_s * 1000 - REACH_S * 1000)
    if any(fault.kind in STORE_DOWN for fault in this.faults) and rig.with_fleet:
        await rig.restart_store()
    leaving = [rig.places[fault.server] for fault in this.faults if fault.kind in ("drain", "drain later")]
    await until(lambda: not any(place.is_up for place in leaving), SETTLE_S)
    down = [place for place in rig.places if not place.is_up]
    for back in down:
        rig.start_server(back)
    if down and len(this.faults) > 1:
        await anyio.sleep(BACK_S)
    for halted in rig.places:
        if halted not in down and "frozen" in halted.begun:  # by a signal, or at a point
            rig.thaw(halted)
    for fault in this.faults:
        place = rig.places[fault.server] if fault.server >= 0 else None
        if place and (fault.kind in HARMS or fault.kind == "cut later"):
            rig.set_link(place, "healed", Harm(), HARMS[fault.kind][0] if fault.kind in HARMS else "store")
        elif place and fault.kind == "folder lost":
            await _until_gone(rig, place)
        elif place and fault.kind == "disk full":
            rig.fill_disk(place, False)
        elif place and fault.kind == "disk hangs":
            rig.hang_disk(place, False)
        elif fault.kind == "store frozen":
            rig.signal_store(signal.SIGCONT)
        elif fault.kind in ("store slow", "store loses answers", "watches deaf"):
            await rig.tell_store(slow_ms=0, lose_answers=0, deaf_watches=False)
    for place in rig.places:
        if not place.is_up:
            rig.start_server(place)
    for child in rig.extra:  # processes that tried a name: proposers end by themselves
        if child.poll() is None and child.args == ["/bin/sh", "-c", rig.run_line]:
            child.kill()
            child.wait()


async def _until_gone(rig: Rig, place: Place) -> None:
    """A server that has lost its folder stays out, under `wait`, until an operator says that the one before
    it is gone, which is refused as long as that one's lease lives."""
    if rig.absent != "wait" or not rig.with_fleet:
        return
    with anyio.move_on_after(SETTLE_S):
        while await rig.ended(rig.say_gone(place), SETTLE_S) != 0:
            await anyio.sleep(0.3)


async def odd_servers(rig: Rig) -> list[str]:
    """Servers that do not go by what is in force, once they have had their time."""
    odd: list[str] = []
    with anyio.move_on_after(AGREE_S):
        while True:
            in_force = rig.versions[-1].declines
            shown: dict[str, str] = {}
            async with anyio.create_task_group() as group:
                for place in rig.places:
                    group.start_soon(_show, rig, place, shown)
            odd = sorted(f"{name}: {what or 'no policy'}" for name, what in shown.items() if what != in_force)
            if not odd:
                return []
            if not rig.with_fleet:
                return odd
            await anyio.sleep(0.3)
    return odd


async def _show(rig: Rig, place: Place, shown: dict[str, str]) -> None:
    shown[place.name] = await rig.shown(place)


async def until(is_so: Callable[[], bool], most_s: float) -> bool:
    with anyio.move_on_after(most_s):
        while not is_so():
            await anyio.sleep(0.03)
    return is_so()
