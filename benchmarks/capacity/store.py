"""Requests and watch events that a change costs the store by number of members, in simulated time."""

from dataclasses import dataclass

from benchmarks.capacity import size
from benchmarks.capacity.limits import CHANGE_INTERVAL_MS, CHANGE_MS, ENGINE_READS, ENGINE_WRITES
from benchmarks.capacity.slope import Series, Slope
from otterrudder.fleet.state import Rules
from otterrudder.lab.fleet.simulation import BEGIN_MS, END_MS, Simulation

MEMBERS = (50, 100, 200, 400, 800)
MEMBERS_QUICK = (2, 4, 8, 16)
SEED = 1
JOINED_MS = 1500.0  # time by which all members have joined, as they start within 500 ms
COUNTED_S = (END_MS - BEGIN_MS) / 1000
METHOD = "count in simulated time"


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one change above the cost of an idle fleet, and the cost of the idle fleet."""

    reads: int
    writes: int
    events: int
    idle_per_s: float  # reads and renewals per second without a change
    open_ms: float  # time from the proposal to the commit
    switch_ms: float  # time from the commit until the last member applies the change
    join_requests: int  # reads, writes and renewals until all members, starting together, have joined


class IdleSimulation(Simulation):
    """Simulation of the same fleet without a proposed change."""

    def __init__(self, servers: int, seed: int, rules: Rules, faults: int) -> None:
        super().__init__(servers, seed, rules, faults)
        self.join_requests = 0  # requests until all members have joined

    def _propose(self) -> None:
        return

    def _check_all(self) -> None:
        if not self.join_requests and self.now >= JOINED_MS:
            self.join_requests = self.counts["reads"] + self.counts["writes"] + self.counts["renewals"]
            assert all(host.member and host.member.admits(self.now) == 0 for host in self.hosts)
        super()._check_all()


def cost_of(members: int) -> Cost:
    idle, changed = IdleSimulation(members, SEED, Rules(), 0), Simulation(members, SEED, Rules(), 0)
    idle.play()
    result = changed.play()
    assert result.committed and result.agreed and result.breaches == 0
    return Cost(
        changed.counts["reads"] - idle.counts["reads"],
        changed.counts["writes"] - idle.counts["writes"],
        changed.counts["watch_events"] - idle.counts["watch_events"],
        (idle.counts["reads"] + idle.counts["renewals"]) / COUNTED_S,
        changed.committed_at - BEGIN_MS,
        result.last_switch_ms,
        idle.join_requests,
    )


def store(quick: bool) -> list[Slope]:
    sizes = MEMBERS_QUICK if quick else MEMBERS
    costs, rate = [cost_of(n) for n in sizes], size.CHANGES_PER_S
    reads = [c.reads * rate + c.idle_per_s for c in costs]
    series = Series("store", "members", sizes, size.SERVERS)
    series.add("reads", "reads a change", METHOD, [c.reads for c in costs])
    series.add("writes", "writes a change", METHOD, [c.writes for c in costs])
    series.add("events", "watch events a change", METHOD, [c.events for c in costs])
    series.add("calm", "reads and renewals a second, nothing changing", METHOD, [c.idle_per_s for c in costs])
    series.add("coming", "requests until all have come at once", METHOD, [c.join_requests for c in costs])
    series.add("open", "proposal to commit, ms", METHOD, [c.open_ms for c in costs], CHANGE_INTERVAL_MS)
    series.add("switch", "commit to last switch, ms", METHOD, [c.switch_ms for c in costs], CHANGE_MS)
    series.add("reads a second", "reads a second at 0.8 changes a second", METHOD, reads, ENGINE_READS)
    writes = [c.writes * rate for c in costs]
    series.add("writes a second", "writes a second at 0.8 changes a second", METHOD, writes, ENGINE_WRITES)
    events = [c.events * rate for c in costs]
    series.add("events a second", "watch events a second at 0.8 changes a second", METHOD, events)
    return series.slopes
