"""The variants of a model of cells: its parts, rules and sizes, as they are in a sound fleet."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.state import Rules

SLOW_AND_FAST = (0.91, 1.09)  # rates of clocks, each less than a tenth from 1
DRIFTING = (0.955, 1.0, 1.045)  # no two a tenth apart
RULES = Rules(bound_ms=3000.0, lease_ms=6000.0)


@dataclass(frozen=True, slots=True)
class CellVariant:
    """The parts that a model is made of; a mutant takes the place of one."""

    relay: type[Relay] = Relay
    participant: type[Participant] = Participant
    rules: Rules = RULES
    cells: int = 1
    relays: int = 2  # of a cell
    servers: int = 2
    limits: RelayLimits = RelayLimits()
    has_rejecting_servers: bool = False  # every second server rejects the second proposer's text
    has_backups: bool = False  # another engine, with an older state, may answer in the store's place
    has_based_changes: bool = False  # what is queued was made from what was in force then
    relay_rates: tuple[float, ...] = (1.0,)  # of their clocks, one after another
    server_rates: tuple[float, ...] = (1.0,)

    @property
    def slowest_bound_ms(self) -> float:
        """The bound, counted by the slowest clock of a relay."""
        return self.rules.bound_ms / min(self.relay_rates)


def all_variants() -> Iterator[tuple[str, CellVariant]]:
    """Each with its name and the parts as they are."""
    leave_out = replace(RULES, absent="leave-out")
    yield "wait", CellVariant()
    yield "wait, two cells", CellVariant(cells=2, servers=3)
    yield "wait, three relays", CellVariant(relays=3)
    yield "wait, one relay", CellVariant(relays=1)
    yield "leave-out, two cells", CellVariant(rules=leave_out, cells=2, servers=3)
    yield "a kind that refuses", CellVariant(servers=3, has_rejecting_servers=True)
    yield "a kind that refuses, two cells", CellVariant(cells=2, servers=4, has_rejecting_servers=True)
    yield "an older copy answers", CellVariant(has_backups=True)
    yield "clocks that run apart", CellVariant(servers=3, server_rates=SLOW_AND_FAST)
    yield "clocks that run apart, three relays", CellVariant(relays=3, relay_rates=DRIFTING)
    yield "changes made from what is in force", CellVariant(has_based_changes=True)
