"""Draws a complete schedule of faults from a seed before a run starts.

A run can therefore be repeated from its seed, and rounds can be left out one at a time."""

import random

from otterrudder.lab.processes.fake_settings import PRODUCTS
from otterrudder.lab.processes.faults import (
    AFTER_VOTE_FAULTS,
    BASELINE_FAULTS,
    BEFORE_PROPOSE,
    CHANGE_FAULTS,
    COMMIT_POINTS,
    DECK,
    NO_SERVER,
    NO_VOTES_FAULTS,
    POINT_FAULTS,
    PROPOSER_FAULTS,
    REPLACED_STORE_FAULTS,
    SERVER_FAULTS,
    STORE_DOWN_FAULTS,
    STORE_FAULTS,
    Fault,
    Round,
)

FAULT_COUNTS = (1, 1, 2, 3)  # the number of faults of a round is drawn from these
FAULT_DURATION_S = (0.4, 2.8)  # range of the duration of a round's faults
# Faults whose kind has one of these prefixes do not prevent a change from reaching its commit.
HARMLESS_PREFIXES = ("gateway", "runtime", "list", "watches", "name", "store slow")


def draw(seed: int, servers: int, changes: int, is_baseline: bool = False) -> list[Round]:
    """Returns the schedule of a seed. The baseline has no faults of the store or of a proposer."""
    schedule = _FaultSchedule(seed, servers)
    return [schedule.next_round(number, is_baseline) for number in range(1, changes + 1)]


class _FaultSchedule:
    """A shuffled deck of all faults, drawn round by round."""

    def __init__(self, seed: int, servers: int) -> None:
        self.random = random.Random(f"plan/{seed}")
        self.servers = servers
        self.deck: list[tuple[str, str]] = []

    def next_round(self, number: int, is_baseline: bool) -> Round:
        """Draws the faults of a round."""
        faults = self._draw_faults()
        if is_baseline:
            faults = [
                Fault(BASELINE_FAULTS[fault.kind], fault.server)
                for fault in faults
                if fault.kind in BASELINE_FAULTS
            ]
        fault_duration_s = self.random.uniform(*FAULT_DURATION_S)
        return Round(number, PRODUCTS[number % len(PRODUCTS)], tuple(faults), fault_duration_s)

    def _draw_faults(self) -> list[Fault]:
        """Draws the faults of a round; incompatible ones return to the deck for later rounds."""
        drawn: list[Fault] = []
        put_back: list[tuple[str, str]] = []
        for _ in range(self.random.choice(FAULT_COUNTS)):
            if not self.deck:
                self.deck = list(DECK)
                self.random.shuffle(self.deck)
            kind, point = self.deck.pop()
            is_of_server = kind in SERVER_FAULTS + POINT_FAULTS
            server = self.random.randrange(self.servers) if is_of_server else NO_SERVER
            fault = Fault(kind, server, point)
            if _are_compatible([*drawn, fault]):
                drawn.append(fault)
            else:
                put_back.append((kind, point))
        self.deck[:0] = put_back
        return drawn


def _are_compatible(faults: list[Fault]) -> bool:
    """Whether no two faults share a target, and each fault can occur together with the others."""
    targets = [target for fault in faults for target in _targets(fault)]
    if len(targets) != len(set(targets)):
        return False
    kinds = {fault.kind for fault in faults}
    # A server without state trusts the first store that answers, unless the fleet file names one.
    if "folder lost" in kinds and kinds & set(REPLACED_STORE_FAULTS):
        return False
    return _can_meet_vote(faults, kinds) and _can_meet_commit(faults)


def _targets(fault: Fault) -> list[object]:
    """Returns the targets that a fault needs exclusively: a server, the store, the change."""
    targets: list[object] = []
    if fault.is_of_server:
        targets.append(fault.server)
    if fault.kind in STORE_FAULTS + STORE_DOWN_FAULTS:
        targets.append("store")
    if fault.kind in PROPOSER_FAULTS + CHANGE_FAULTS:
        targets.append("change")
    return targets


def _can_meet_vote(faults: list[Fault], kinds: set[str]) -> bool:
    """Whether the faults that wait for a vote or for a server's failpoint can still occur."""
    point_faults = [fault for fault in faults if fault.kind in POINT_FAULTS]
    if not point_faults and not kinds & set(AFTER_VOTE_FAULTS):
        return True
    if kinds & set(NO_VOTES_FAULTS) or any(fault.point == BEFORE_PROPOSE for fault in faults):
        return False
    if point_faults and "older copy later" in kinds:
        return False
    # A server does not save a vote for an invalid policy.
    return not ("bad policy" in kinds and any(fault.point.endswith("save") for fault in point_faults))


def _can_meet_commit(faults: list[Fault]) -> bool:
    """Whether a change with faults at the proposer's commit can reach its commit."""
    return all(
        other.kind.startswith(HARMLESS_PREFIXES)
        for fault in faults
        if fault.point in COMMIT_POINTS
        for other in faults
        if other is not fault
    )
