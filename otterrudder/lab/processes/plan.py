"""Plans of faults, drawn from a seed, and how a run of changes goes through them.

A round is one change of policy with the faults of that round under way; after it all is mended, and what is
in force then has to be what every server goes by. A plan is drawn whole before anything starts, so that a
run is played again by its seed, and rounds can be left out one by one."""

import random
import signal
import subprocess
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from otterrudder.lab.processes.books import Verdict, judge
from otterrudder.lab.processes.link import Harm
from otterrudder.lab.processes.rig import Place, Rig, policy_text
from otterrudder.lab.processes.standins import PRODUCTS

DEADLINE_S = 6.0  # of a change, in a run: beyond the longest fault
SETTLE_S = 20.0  # s in which a change must have ended once all is mended
AGREE_S = 12.0  # s in which all must go by it then: a process starts in one, a name is free within a lease
LATER = ("freeze later", "cut later")  # once it has voted
LATER_S = 2.0  # s that its vote is waited for
BACK_S = 0.8  # s that a process which comes back has before what else is harmed heals: it starts in less
HOLD_S = (0.4, 2.8)  # s that the faults of a round last

POINTS = ("before save", "after save", "before vote", "after vote", "before duty", "after duty")
PROPOSER_POINTS = ("before propose", "after propose", "before commit", "after commit")
SERVER_FAULTS = ("kill", "kill at point", "halt at point", "freeze", "freeze later", "cut", "one way there",
                 "one way back", "slow link", "slow reader", "half a message", "disk full", "name taken",
                 "folder lost")
STORE_FAULTS = ("store slow", "store loses answers", "store frozen", "watches cancelled", "watches deaf",
                "watches flooded")
CHANGE_FAULTS = ("proposer killed", "two at once", "bad policy")


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


def draw(seed: int, servers: int, changes: int, baseline: bool = False) -> list[Round]:
    """The plan of a seed. The baseline has no store and no proposer that could fail."""
    chance = random.Random(f"plan/{seed}")
    rounds = []
    for n in range(1, changes + 1):
        faults = [_fault(chance, servers) for _ in range(chance.choice((1, 1, 2, 3)))]
        # One a server, one for the store, one for the change: a frozen store could be told nothing more.
        kept = {(fault.kind in STORE_FAULTS, fault.server): fault for fault in faults}
        if baseline:
            kept = {key: Fault(_PLAIN[f.kind], f.server) for key, f in kept.items() if f.kind in _PLAIN}
        rounds.append(Round(n, PRODUCTS[n % 2], tuple(kept.values()), chance.uniform(*HOLD_S)))
    return rounds


# What a fault is to servers that are told by hand: down, frozen, or out of the operator's reach.
_PLAIN = {"kill": "kill", "folder lost": "kill", "kill at point": "kill", "halt at point": "freeze",
          "freeze": "freeze", "freeze later": "freeze", "cut": "cut", "one way there": "cut",
          "one way back": "cut"}


def _fault(chance: random.Random, servers: int) -> Fault:
    kind = chance.choice(SERVER_FAULTS * 2 + STORE_FAULTS + CHANGE_FAULTS)
    if kind in SERVER_FAULTS:
        return Fault(kind, chance.randrange(servers), chance.choice(POINTS) if "point" in kind else "")
    return Fault(kind, -1, chance.choice(PROPOSER_POINTS) if kind == "proposer killed" else "")


async def play(rig: Rig, rounds: list[Round], tell: Callable[[str], None] = lambda line: None) -> Played:
    """All rounds on a rig that runs."""
    played = Played(Verdict())
    for this in rounds:
        before = rig.versions[-1].version
        for fault in this.faults:
            await _prepare(rig, fault)
        for fault in this.faults:
            await _harm(rig, fault)
        child = await _change(rig, this) if rig.with_fleet else None
        if not child:
            rig.hand_out(this.declines)
        await _mend(rig, this)
        how = _named_end(await rig.ended(child, SETTLE_S)) if child else "by hand"
        if rig.with_fleet and not await _until(lambda: not rig.opened, SETTLE_S):
            played.undecided += 1
            how = "undecided"
        is_in = rig.versions[-1].version > before
        played.committed += is_in
        played.aborted += not is_in
        odd = await _odd(rig)
        played.odd += len(odd)
        played.odd_at_end = len(odd)
        named = ", ".join(" ".join(filter(None, (f.kind, f.point, f"n{f.server}" if f.server >= 0 else "")))
                          for f in this.faults)
        played.rounds.append(dict(round=this.number, faults=named, how=how, in_force=is_in, odd=odd))
        tell(f"{this.number:4}  {'in force' if is_in else 'aborted ':8}  {how:12}  {named or 'no fault'}"
             + (f"  ODD: {odd}" if odd else ""))
    return played


def conclude(rig: Rig, played: Played) -> Played:
    """The books of a run that is over."""
    played.verdict = judge(rig.wire, rig.versions, rig.bound_ms, rig.harmed())
    return played


async def _prepare(rig: Rig, fault: Fault) -> None:
    """What has to be so before the round: a process that will stop itself is started anew."""
    if fault.kind in ("kill at point", "halt at point") and rig.with_fleet:
        place = rig.places[fault.server]
        rig.kill(place)
        rig.start_server(place, fault.point)
        await _serves(rig, place)


async def _harm(rig: Rig, fault: Fault) -> None:
    place = rig.places[fault.server] if fault.server >= 0 else None
    if place and fault.kind in _HARMS:
        rig.set_link(place, fault.kind, _HARMS[fault.kind])
    elif place and fault.kind in ("kill", "folder lost"):
        rig.kill(place)
        if fault.kind == "folder lost":
            rig.lose_folder(place)
    elif place and fault.kind == "freeze":
        rig.freeze(place)
    elif place and fault.kind == "disk full":
        rig.fill_disk(place, True)
    elif place and fault.kind == "name taken":
        rig.take_name(place)
    elif fault.kind == "store frozen":
        rig.signal_store(signal.SIGSTOP)
    elif fault.kind in _STORE:
        await rig.tell_store(**_STORE[fault.kind])


_HARMS = {"cut": Harm(is_cut=True), "one way there": Harm(holds_there=True),
          "one way back": Harm(holds_back=True), "slow link": Harm(delay_ms=150.0),
          "slow reader": Harm(per_s=4000.0), "half a message": Harm(breaks_after=700)}
_STORE: dict[str, dict[str, object]] = {
    "store slow": {"slow_ms": 150}, "store loses answers": {"lose_answers": 3},
    "watches cancelled": {"cancel_watches": 1}, "watches deaf": {"deaf_watches": True},
    "watches flooded": {"flood": 2000}}


def _named_end(code: int | None) -> str:
    return "no end" if code is None else "killed" if code < 0 else f"exit {code}"


async def _change(rig: Rig, this: Round) -> subprocess.Popen[bytes]:
    """The change of a round, with what is done while it is open; its proposer's process."""
    kinds = {fault.kind: fault for fault in this.faults}
    killed = kinds.get("proposer killed")
    is_bad = "bad policy" in kinds
    text = policy_text("no-such-product", this.number) if is_bad else ""  # good TOML, and no server knows it
    child = rig.propose(this.number, this.declines, DEADLINE_S, killed.point if killed else "", text)
    if "two at once" in kinds:
        rig.propose(this.number + 100_000, PRODUCTS[(this.number + 1) % 2], DEADLINE_S)
    later = [fault for fault in this.faults if fault.kind in LATER]
    if later:
        await _until(lambda: {rig.places[fault.server].name for fault in later} <= rig.voted, LATER_S)
        for fault in later:
            if fault.kind == "freeze later":
                rig.freeze(rig.places[fault.server])
            else:
                rig.set_link(rig.places[fault.server], fault.kind, _HARMS["one way back"])
    with anyio.move_on_after(this.hold_s):
        for fault in this.faults:
            if fault.kind == "kill at point" and await rig.halted(rig.places[fault.server], this.hold_s):
                rig.kill(rig.places[fault.server])
        await anyio.sleep(this.hold_s)
    if killed:
        child.kill()
        child.wait()
    return child


async def _mend(rig: Rig, this: Round) -> None:
    """All is as it should be again: what was killed is started, what was frozen goes on, links heal."""
    if not rig.with_fleet:
        await anyio.sleep(this.hold_s)
    down = [place for place in rig.places if not place.is_up]
    for back in down:
        rig.start_server(back)
    if down and len(this.faults) > 1:
        await anyio.sleep(BACK_S)
    for fault in this.faults:
        place = rig.places[fault.server] if fault.server >= 0 else None
        if place and (fault.kind in _HARMS or fault.kind == "cut later"):
            rig.set_link(place, "healed", Harm())
        elif place and fault.kind in ("freeze", "freeze later"):
            rig.thaw(place)
        elif place and fault.kind in ("kill at point", "halt at point") and place not in down:
            if fault.kind == "halt at point" and await rig.halted(place, 0.1):
                rig.thaw(place)
            else:  # it never came to its point, and must not come to it in a later round
                rig.kill(place)
        elif place and fault.kind == "folder lost":
            await _until_gone(rig, place)
        elif place and fault.kind == "disk full":
            rig.fill_disk(place, False)
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


async def _odd(rig: Rig) -> list[str]:
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


async def _serves(rig: Rig, place: Place) -> None:
    with anyio.move_on_after(AGREE_S):
        await rig.until_serving(place)


async def _until(is_so: Callable[[], bool], most_s: float) -> bool:
    with anyio.move_on_after(most_s):
        while not is_so():
            await anyio.sleep(0.03)
    return is_so()
