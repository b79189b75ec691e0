"""Draws the schedule of faults for a cluster of cells from a seed.

The whole schedule is drawn before the cluster starts."""

import random

from otterrudder.lab.processes.cell_faults import (
    ANY_RELAY_POINTS,
    CELL_FAULTS,
    DECK,
    ENDORSEMENT_POINTS,
    POINT_FAULTS,
    QUIET_RELAY_CARDS,
    QUIET_STORE_CARDS,
    RELAY_AFTER_VOTE_FAULTS,
    RELAY_FAULTS,
    SERVER_FAULTS,
    STANDBY,
    STORE_ONCE_OPEN_FAULTS,
    TWO_LEADERS_FAULTS,
    Card,
    CellFault,
    CellRound,
)
from otterrudder.lab.processes.fake_settings import PRODUCTS
from otterrudder.lab.processes.faults import (
    BEFORE_PROPOSE,
    COMMIT_POINTS,
    NO_VOTES_FAULTS,
    REPLACED_STORE_FAULTS,
    STORE_DOWN_FAULTS,
    STORE_FAULTS,
)

FAULT_COUNTS = (0, 1, 1, 1, 2, 2)  # numbers of faults of a round, from which one is drawn
QUIET_ROUND_INTERVAL = 5  # every fifth round is quiet
# Ranges of the duration of the faults of a round. Some faults last longer than the lease of the store.
FAULT_DURATION_S = (0.5, 5.0)
QUIET_FAULT_DURATION_S = (4.5, 6.5)
TWO_LEADERS_DURATION_S = (7.5, 9.5)


def draw(seed: int, cells: tuple[str, ...], servers: int, rounds: int, absent: str) -> list[CellRound]:
    """Returns the schedule of a seed. `absent` is the rule of the fleet for absent members."""
    return _CellFaultSchedule(seed, cells, servers, absent).draw(rounds)


class _CellFaultSchedule:
    """Draws the rounds one after another from shuffled decks of all faults."""

    def __init__(self, seed: int, cells: tuple[str, ...], servers: int, absent: str) -> None:
        self.random = random.Random(f"cells/{seed}")
        self.cells = cells
        self.servers = servers
        self.absent = absent
        self.deck: list[Card] = []
        self.deck_of_quiet_rounds: list[Card] = []

    def draw(self, count: int) -> list[CellRound]:
        rounds: list[CellRound] = []
        changes = 0
        for number in range(1, count + 1):
            if number % QUIET_ROUND_INTERVAL == 0:
                rounds.append(self._quiet_round(number))
            else:
                changes += 1
                rounds.append(self._change_round(number, PRODUCTS[changes % len(PRODUCTS)]))
        return rounds

    def _quiet_round(self, number: int) -> CellRound:
        if not self.deck_of_quiet_rounds:
            self.deck_of_quiet_rounds = [*QUIET_RELAY_CARDS]
            if self.absent == "wait":
                self.deck_of_quiet_rounds += QUIET_STORE_CARDS
            self.random.shuffle(self.deck_of_quiet_rounds)
        card = self.deck_of_quiet_rounds.pop()
        cell = self.random.choice(self.cells) if card.role else ""
        fault = CellFault(card.kind, cell, card.role)
        return CellRound(number, "", (fault,), self.random.uniform(*QUIET_FAULT_DURATION_S))

    def _change_round(self, number: int, product: str) -> CellRound:
        faults = self._draw_faults()
        has_two_leaders = any(fault.kind in TWO_LEADERS_FAULTS and fault.role != STANDBY for fault in faults)
        duration_range_s = TWO_LEADERS_DURATION_S if has_two_leaders else FAULT_DURATION_S
        return CellRound(number, product, faults, self.random.uniform(*duration_range_s))

    def _draw_faults(self) -> tuple[CellFault, ...]:
        """Draws the faults of a round. A fault that is incompatible with the others is put back for later."""
        drawn: list[CellFault] = []
        put_back: list[Card] = []
        for _ in range(self.random.choice(FAULT_COUNTS)):
            if not self.deck:
                self.deck = [card for card in DECK if self._is_possible(card)]
                self.random.shuffle(self.deck)
            card = self.deck.pop()
            fault = self._choose_target(card)
            if are_compatible([*drawn, fault]):
                drawn.append(fault)
            else:
                put_back.append(card)
        self.deck[:0] = put_back
        return tuple(drawn)

    def _is_possible(self, card: Card) -> bool:
        """Returns whether the fault can occur. With `absent` "leave-out", relays request no endorsements."""
        return self.absent == "wait" or card.point not in ENDORSEMENT_POINTS

    def _choose_target(self, card: Card) -> CellFault:
        if card.kind in SERVER_FAULTS:
            return CellFault(card.kind, server=self.random.randrange(self.servers))
        if card.kind in (*RELAY_FAULTS, *CELL_FAULTS, *POINT_FAULTS):
            return CellFault(card.kind, self.random.choice(self.cells), card.role, point=card.point)
        return CellFault(card.kind, point=card.point)


def are_compatible(faults: list[CellFault]) -> bool:
    """Returns whether no two faults share a target, and each fault can occur together with the others."""
    targets = [target for fault in faults for target in _targets(fault)]
    if len(targets) != len(set(targets)):
        return False
    kinds = {fault.kind for fault in faults}
    # An absent server is not polled, so that no server would refuse the policy.
    if len(faults) > 1 and kinds & {"kind refuses", "servers restarted"}:
        return False
    return _can_occur_together(faults, kinds)


def _targets(fault: CellFault) -> list[str]:
    """Returns the names of the targets that a fault must not share with other faults."""
    if fault.point in ENDORSEMENT_POINTS:
        return ["store", f"cell {fault.cell}"]
    if fault.point in ANY_RELAY_POINTS and fault.kind in POINT_FAULTS:
        return ["any relay"]
    if fault.kind in (*STORE_FAULTS, *STORE_DOWN_FAULTS, *STORE_ONCE_OPEN_FAULTS):
        return ["store"]
    if fault.cell:
        return [f"cell {fault.cell}"]
    if fault.is_of_server:
        return [f"server {fault.server}"]
    return ["change"]


def _can_occur_together(faults: list[CellFault], kinds: set[str]) -> bool:
    points = {fault.point for fault in faults if fault.kind in POINT_FAULTS}
    has_relay_fault = any(fault.cell and fault.point not in ANY_RELAY_POINTS for fault in faults)
    if points & set(ANY_RELAY_POINTS) and has_relay_fault:
        return False
    if _needs_votes(faults, kinds, points):
        if _prevents_votes(faults, kinds, points):
            return False
        if len(faults) > 1 and "bad policy" in kinds:
            return False
    # A restarted relay has lost its state, and trusts the first engine that answers.
    return not (kinds & set(REPLACED_STORE_FAULTS) and any(fault.cell for fault in faults))


def _needs_votes(faults: list[CellFault], kinds: set[str], points: set[str]) -> bool:
    """Returns whether a fault waits for a vote or for a later step of the change."""
    if points - set(ENDORSEMENT_POINTS) or any(fault.point in COMMIT_POINTS for fault in faults):
        return True
    return bool(kinds & {*RELAY_AFTER_VOTE_FAULTS, "server frozen later", "older copy later"})


def _prevents_votes(faults: list[CellFault], kinds: set[str], points: set[str]) -> bool:
    """Returns whether a fault prevents or delays the votes."""
    if kinds & {*NO_VOTES_FAULTS, *STORE_ONCE_OPEN_FAULTS, "store slow"}:
        return True
    return bool(points & set(ENDORSEMENT_POINTS)) or any(fault.point == BEFORE_PROPOSE for fault in faults)
