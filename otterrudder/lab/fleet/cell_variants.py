"""The variants of a model of cells: its unchanged parts, rules and sizes."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.state import Rules

SLOW_AND_FAST = (0.91, 1.09)  # rates of clocks, each within 10% of 1
DRIFTING = (0.955, 1.0, 1.045)  # rates of clocks, all within 10% of each other
RULES = Rules(bound_ms=3000.0, lease_ms=6000.0)


@dataclass(frozen=True, slots=True)
class CellVariant:
    """The parts and settings of a model; a mutant replaces one of the parts."""

    relay: type[Relay] = Relay
    participant: type[Participant] = Participant
    rules: Rules = RULES
    cells: int = 1
    relays: int = 2  # relays per cell
    servers: int = 2
    limits: RelayLimits = RelayLimits()
    has_rejecting_servers: bool = False  # every second server rejects the second proposer's text
    has_backups: bool = False  # an engine with an older state may answer instead of the store
    has_based_changes: bool = False  # queued changes name the policy from which they were made
    relay_rates: tuple[float, ...] = (1.0,)  # rates of the relays' clocks, assigned in turn
    server_rates: tuple[float, ...] = (1.0,)  # rates of the servers' clocks, assigned in turn

    @property
    def slowest_bound_ms(self) -> float:
        """The bound as measured by the slowest clock of a relay, in ms of the store's clock."""
        return self.rules.bound_ms / min(self.relay_rates)


def all_variants() -> Iterator[tuple[str, CellVariant]]:
    """Yields each variant with its name; all have unchanged parts."""
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
