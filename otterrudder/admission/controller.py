"""All decisions of otterrudder: SBOC, session-based overload control, and the guards around it.

An adapter (otterrudder/drill, otterrudder/net) makes one Rudder for each server process. It says
the time with at, calls begin, arrive, finished, needs_call, call_ended, left, retire, step_down, step_up,
reduce or ring, and carries out, in order, the steps that done returns. Plain types and the words of the
steps: otterrudder/admission/interface.py.

A txn passes a chain of stages: Expiry, Repeats, Sessions, Levels, Memory, Holds, Slots, Calls. Each may pass
it on, keep it or end it; what becomes of it runs back through the chain in reverse. docs/design.md says why.
"""

import heapq
import math
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable

from otterrudder.admission.interface import (
    Cut,
    Limits,
    Outcome,
    Part,
    Place,
    Product,
    Relief,
    Step,
    Tenant,
    Trim,
    Txn,
)

# Constants: unit and reason. None is a site's figure.
RETIRED = "retired"  # the drain that has no way back
TICK_MS = 40.0  # ms; the periodic timer: half of the tightest slack after expiry that we know, 25 rings/s;
# an answer due at expiry is given at the next ring at the latest, and half of the slack is left for a stall
STOP_EARLY_MS = 250.0  # ms ahead of the stop at which all is answered: a freeze of that length does no harm
SESSION_SLA_TIMES = 10.0  # SLA times an unseen session lives (the design's figure)
SESSION_ROOM = 50_000  # entries; about 100 bytes each, so some 5 MB at most
RETRY_WAITS = 2.0  # mean waits here that a later try is taken to have spent: a read and a hold elsewhere
MEMORY_READ = 0.85  # share of the memory up to which txns are held: what is being read needs room unasked
MEMORY_RUN = 0.92  # share up to which runs start: held before, so only this server's own steps fill it
CROWD = 0.5  # share of the survivable crowd taken as the cap: the crowd is a ceiling, not a target
HOLD_WAIT = 0.4  # share of the SLA time left that a hold may use up: one below and errors need theirs
HOLD_MOST = 0.8  # the same for what earns most: estimates err, and a late answer earns little
HOPELESS = 0.45  # share of the expected time that must still fit, or a txn has no chance here: estimates err
OLD_LEAVE = 0.1  # least share of the starts taken to be left to newcomers: keeps the estimate finite
GROUP_ROOM = 0.25  # share of the holds one key, or all keyless txns, may take before they count as newcomers
SHARE_SLACK = 1.3  # times a server's even part of a share that counts as within it: callers spread unevenly
SHARE_LEAST = 3.0  # txns of it that any tenant may save up: a small one's come in ones and twos
SHARE_MS = 5000.0  # ms of its share that a tenant may save up: surges last longer, one txn is little
GROUP_FREE = 3  # txns any key may hold: shares of a near-empty hold mean nothing
LOW_LEAK = 1.01  # growth of the lowest latency a run: one lucky run is forgotten in some hundred, seconds
NEAR_LOW = 2.0  # times the lowest latency within which the limit may rise (the design's figure)
FALL_LEAST = 0.9  # smallest factor by which the limit falls at once (the design's figure)
LEAST_MS = 0.1  # ms; a run is never taken for shorter, for latencies are divided by
EASY_RUNS = 1.34  # runs a core up to which the limit gains one a ring while cores have room: no crowd yet
ROOM_MS = 2000.0  # ms in which the limit gains a run a core beyond that: the gauge lags half a second
RISE = 0.04  # runs a core the limit grows by for each finished one while it may
CORES_BUSY = 0.9  # share of the cores in use that counts as busy
GAIN = 1 / 16  # weight of a new sample in running means: some 16 runs are a second of work a server
CALLS_ROOM = 0.5  # share of a full span of our calls that may be used ahead: others may use theirs at once
MEAN_GAIN = 1 / 64  # weight of a new run in the mean that the pace is held against: some ten seconds of work
PACE_GAIN = 1 / 8  # weight of a new run in the pace: follows a slowdown within a second
PACE_MOST = 3.0  # most that one run counts in the pace: a few costly txns are no slow server
CALL_PAUSE_MS = 60.0  # ms before a call known not to have run is tried again, as much longer with each try
BREAK_AFTER = 8  # failed calls in a row that open the breaker: one caller's share of a crash is fewer
BREAK_MS = 500.0  # least ms between single trials while it is open, half as much after each that went well
WAIT_AIM = 0.12  # share of the SLA time spent waiting, read or unread, at which callers are asked for less
PRESSURE_STEP = 0.01  # pressure gained a ring for each WAIT_AIM above it: full in two to four seconds
BEYOND_MOST = 2.0  # most WAIT_AIMs above it that count in a ring: a burst must not fill the pressure at once
PRESSURE_EASE = 0.5  # share of such a step lost while waits are short: callers all let go at once, so slowly
CREDIT_TIMES = 8.0  # even shares of the limit a caller may have out at rest: a larger credit binds nobody
RANK_MOST = 0.3  # highest rank callers are asked to hold back
SLOW_PACE = 1.5  # pace at which a server takes itself for slow, and not just for full
RETRIES_MOST = 0.15  # share of later tries among arrivals over which others are taken to be full as well
STORM = 0.5  # share of later tries among arrivals from which callers are asked to keep off at length
GAP_GUESS_MS = 100.0  # ms between arrivals before any are seen: ten txns a second
LINK_WORTH_MS = 15_000.0  # ms between a caller's txns up to which its connection is kept: openings are dear
FLOOD, EBB = 0.7, 0.4  # shares of arrivals declined: over the one tables fill, under the other they empty
SHED_GAIN = 1 / 40  # weight of an arrival in that share: some seconds, so that chance makes no flood
IDLE_GROWS, IDLE_SHRINKS = 1.2, 0.95  # a ring: from the shortest to the longest in two seconds, back in five
LINK_SHORT_MS = 100.0  # ms it may idle where its caller seldom comes back within that time
DEMAND_MS = 2000.0  # ms over which the work asked for is meant: some thirty arrivals of a small server
STAY_AWAY_MS = 200.0  # ms a caller is asked to keep off after a decline for want of room: a run or so


class Agenda:
    """Every due time but the periodic timer's, in one order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def at(self, due: float, act: Callable[[], object]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, act))

    def play(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2]()


class Stage:
    """A link of the chain. `arrive` says whether it passes a txn on; if not, it has kept or ended it.
    `back` hears of the final answer, `freed` of the end of its work and memory."""

    def arrive(self, txn: Txn) -> bool:
        return True

    def back(self, txn: Txn) -> None: ...

    def freed(self, txn: Txn) -> None: ...


class Expiry(Stage):
    """Due times, the drain, and drains with a way back. Guards: no txn lost, safe drains."""

    def __init__(self, rudder: "Rudder", drain_grace_ms: float) -> None:
        self.rudder, self.grace = rudder, drain_grace_ms
        self.shut: dict[object, tuple[Part, float, float]] = {}  # a part left, last arrival to run, the stop

    def arrive(self, txn: Txn) -> bool:
        now = self.rudder.now
        txn.ran = txn.earlier != 0 and txn.effectful  # until Repeats knows better: it may not be declined
        if txn.due <= now + LEAST_MS:
            return self.rudder.refuse(txn)
        for part, last_arrival, stop in self.shut.values():
            if part.fits(txn) and (now >= stop or txn.arrived > last_arrival - TICK_MS):
                return self.rudder.refuse(txn, gone=True)
        self.rudder.agenda.at(txn.due, lambda: self.rudder.refuse(txn))
        return True

    def times(self, txn: Txn, left_ms: float) -> None:
        """A marked later try has used up time: about what txns wait here, for other servers are alike."""
        wait = left_ms + self.rudder.now - txn.arrived if left_ms else txn.spec.expiry_ms
        spent = RETRY_WAITS * self.rudder.signals.waits * txn.spec.sla_ms if txn.retry else 0.0
        txn.due = txn.arrived + wait  # not earlier: where tries are short, many runs end in the last moments
        txn.in_time = min(txn.arrived + txn.spec.sla_ms - spent, txn.due)

    def is_shut(self) -> bool:
        return any(part.is_all for part, _, _ in self.shut.values())

    def step_down(self, part: Part, left_ms: float, key: object) -> None:
        stop = self.rudder.now + max(left_ms - STOP_EARLY_MS, 0.0)
        self.shut[key] = (part, self.rudder.now + self.grace, stop)
        self.rudder.agenda.at(stop, lambda: self._hand_over(key))

    def _hand_over(self, key: object) -> None:
        part, _, stop = self.shut.get(key, (Part(), 0.0, math.inf))
        if self.rudder.now >= stop:  # else it was taken back, or begun anew
            for txn in [txn for txn in self.rudder.txns.values() if part.fits(txn)]:
                self.rudder.refuse(txn, gone=True)
            if key == RETIRED:
                self.rudder.steps.append(("close",))


class Repeats(Stage):
    """The ref table: no effect twice. A referenced txn is kept on arrival, or its repeat looks new."""

    def __init__(self, rudder: "Rudder", ref_kb: float, tick_ms: float) -> None:
        self.rudder, self.ref_kb, self.tick = rudder, ref_kb, tick_ms
        self.refs: dict[int, Txn] = {}
        self.unrun: tuple[set[int], set[int]] = (set(), set())  # ended before they ran, this ring and last

    def arrive(self, txn: Txn) -> bool:
        first = self.refs.get(txn.earlier)
        txn.ran &= first.ran if first else not any(txn.earlier in ids for ids in self.unrun)
        if not txn.ran and not first:
            return True
        if not txn.ran:
            txn.place = Place.FOLLOWS
            first.followers.append(txn)
        elif first and first.place is Place.OVER and not first.settled:
            return self.rudder.void(txn)
        else:
            self.rudder.reuse(txn)
        return False

    def keep(self, txn: Txn) -> None:
        span = max(txn.arrived + txn.spec.window_ms - self.rudder.now + self.tick, self.tick)
        self.refs[txn.ident] = txn
        self.rudder.steps.append(("keep", txn.ident, span))
        self.rudder.agenda.at(self.rudder.now + span + self.tick, lambda: self._lapse(txn))

    def _lapse(self, txn: Txn) -> None:
        if txn.place in (Place.HELD, Place.RUNS, Place.CALLS):  # its record may not go before it
            self.rudder.agenda.at(self.rudder.now + TICK_MS, lambda: self._lapse(txn))
        else:
            self.refs.pop(txn.ident, None)

    def started(self, txn: Txn) -> None:
        for follower in txn.followers:
            if not follower.answered:
                follower.ran = True
                self.rudder.reuse(follower)
        txn.followers = []

    def back(self, txn: Txn) -> None:
        if txn.ran or not txn.referenced:
            return
        self.unrun[0].add(txn.ident)
        heirs, txn.followers = [f for f in txn.followers if not f.answered], []
        held = self.refs.pop(txn.ident, None)
        if heirs:  # the earlier try went before it ran: the next takes its place and its entry
            heirs[0].followers, heirs[0].place = heirs[1:], Place.HELD
            self.rudder.forward(heirs[0], after=self)
        elif held:
            self.rudder.steps.append(("forget", txn.ident))


class Memory(Stage):
    """Held + run factor x in hand + kept refs, by our own count. Guards: no death for want of memory."""

    def __init__(self, rudder: "Rudder", memory_kb: float, run_factor: float, refs_most: float) -> None:
        self.rudder, self.factor, self.repeats, self.refs_most = rudder, run_factor, rudder.repeats, refs_most
        self.read_room, self.run_room = memory_kb * MEMORY_READ, memory_kb * MEMORY_RUN
        self.txns_kb = 0.0

    @property
    def used(self) -> float:
        return self.txns_kb + len(self.repeats.refs) * self.repeats.ref_kb

    def arrive(self, txn: Txn) -> bool:
        keeps = txn.referenced
        full = keeps and len(self.repeats.refs) >= self.refs_most  # its results lie elsewhere
        if full or self.used + self.repeats.ref_kb * keeps > self.read_room:
            return self.rudder.refuse(txn, room=False)
        if keeps:
            self.repeats.keep(txn)
        return True

    def fits(self, txn: Txn) -> bool:
        return self.used + txn.kb * (self.factor - 1) <= self.run_room

    def run(self, txn: Txn) -> None:
        self.txns_kb += txn.kb * (self.factor - 1)

    def freed(self, txn: Txn) -> None:
        self.txns_kb -= txn.kb * (1 if txn.place in (Place.HELD, Place.FOLLOWS) else self.factor)


class Sessions(Stage):
    """SBOC's table of established keys, entered when a txn settles."""

    def __init__(self, rudder: "Rudder", tenants: list[Tenant]) -> None:
        self.rudder, self.tenants = rudder, tenants
        self.table: OrderedDict[int, float] = OrderedDict()
        self.left = [(rudder.now, SHARE_LEAST) for _ in tenants]  # txns left of each share, as of when
        self.groups: dict[int, int] = {}  # txns held of each key
        self.held = 0

    def arrive(self, txn: Txn) -> bool:
        # One with an effect stands for the paper's paying step, which an established session must not lose up
        # to a share (see below), whether or not it names its user; any other without a key is a newcomer.
        txn.old = txn.effectful or self.table.get(txn.key, 0.0) > self.rudder.now
        return True

    def over_share(self, txn: Txn) -> bool:
        """Beyond its part of the holds a heavy key's txns are newcomers, and the keyless ones' likewise."""
        held = self.groups.get(txn.key, 0)
        return bool(txn.key or txn.effectful) and held >= max(GROUP_FREE, GROUP_ROOM * self.held)

    def count(self, txn: Txn, by: int) -> None:
        self.held += by
        if left := self.groups.get(txn.key, 0) + by:
            self.groups[txn.key] = left
        else:
            del self.groups[txn.key]

    def worth(self, txn: Txn) -> float:
        """What it may be expected to earn: within a share is what is served up to it, whoever comes first."""
        known = txn.tenant < len(self.tenants) and self.tenants[txn.tenant].per_ms
        is_over = known and self._left(txn.tenant) < 1
        return txn.spec.value * (self.rudder.limits.over_value if is_over else 1.0)

    def _left(self, tenant: int) -> float:
        since, left = self.left[tenant]
        per_ms = self.tenants[tenant].per_ms * SHARE_SLACK
        return min(left + (self.rudder.now - since) * per_ms, max(per_ms * SHARE_MS, SHARE_LEAST))

    def started(self, txn: Txn) -> None:
        if txn.tenant < len(self.tenants):
            self.left[txn.tenant] = (self.rudder.now, max(self._left(txn.tenant) - 1, 0.0))

    def back(self, txn: Txn) -> None:
        if txn.settled and txn.key:
            self.table[txn.key] = self.rudder.now + SESSION_SLA_TIMES * txn.spec.sla_ms
            self.table.move_to_end(txn.key)
        while self.table and (len(self.table) > SESSION_ROOM
                              or next(iter(self.table.values())) <= self.rudder.now):
            self.table.popitem(last=False)


class Levels(Stage):
    """Reduced service: while a level is in force, what it trims is declined ahead of the holds, or loses its
    call. What has run, or whose earlier try has, never gets here (Repeats). SBOC orders all that passes."""

    def __init__(self, rudder: "Rudder") -> None:
        self.rudder = rudder
        self.relief: Relief | None = None  # as last told; None: nobody watches, so nothing is counted
        self.asked, self.counted = 0.0, rudder.now  # expected ms on the cores of first tries, since when
        self.demand = 0.0  # recent work asked for over what the limit takes, whatever became of it
        self.due = 0.0  # share of each trim of the level that is owed to those that come next
        self.until = 0.0  # when the level may be left at the earliest

    def take(self, relief: Relief | None) -> None:
        self.relief, self.due = relief, 0.0
        self.until = self.rudder.now + relief.stay_ms if relief else 0.0
        holds = self.rudder.holds
        for txn in [*holds.new, *holds.old] if relief and relief.answers_held else ():
            trim = self._trim(txn)
            if txn.queued and trim and trim.cut is not Cut.SHARE and self._cuts(txn, trim):
                self._refuse(txn)

    def arrive(self, txn: Txn) -> bool:
        if not self.relief:
            return True
        # Further tries ask for no new work. What the level turns away counts, or shedding would read as calm.
        self.asked += 0.0 if txn.retry else self.rudder.slots.expect(txn)[0]
        trim = self._trim(txn)
        return not (trim and self._cuts(txn, trim)) or self._refuse(txn)

    def omits(self, txn: Txn) -> bool:
        trim = self._trim(txn) if self.relief and txn.spec.omit_value else None
        return trim is not None and trim.cut is Cut.OMIT

    def is_known(self) -> bool:
        """Whether the work asked for is: of a product that is trimmed and never ran nobody knows its work."""
        trims = self.relief.trims if self.relief else ()
        return all(self.rudder.slots.seen[n] for n, trimmed in enumerate(trims) if trimmed)

    def turn(self) -> None:
        span = self.rudder.now - self.counted
        if self.relief and span > 0:
            rate = self.asked / span / self.rudder.slots.limit
            self.demand += min(span / DEMAND_MS, 1.0) * (rate - self.demand)
        self.asked, self.counted = 0.0, self.rudder.now

    def _trim(self, txn: Txn) -> Trim | None:
        """The strongest that fits; a level states them so, by product."""
        fits = (t for t in self.relief.trims[txn.product] if t.fits(txn)) if self.relief.trims else ()
        return next(iter(fits), None)

    def _cuts(self, txn: Txn, trim: Trim) -> bool:
        if trim.cut is Cut.SHARE:  # by count, not by chance: the share is exact, and no burst of luck gets in
            self.due += trim.share
            self.due -= (passes := self.due >= 1.0)
            return not passes
        if trim.cut is Cut.SPARE:
            return not self.rudder.holds.is_free(txn)
        return trim.cut is Cut.DECLINE or trim.cut is Cut.ESTABLISHED and not txn.old

    def _refuse(self, txn: Txn) -> bool:
        away = max(self.until - self.rudder.now, STAY_AWAY_MS) if self.relief.keeps_away else 0.0
        return self.rudder.refuse(txn, away_ms=away, gone=self.relief.elsewhere)


class Holds(Stage):
    """The two bounded FIFO holds: old first, newcomers once it is empty; they bind while the limit is full.
    Their bound is time, not count: a txn is held if the work ahead of it leaves it its SLA time."""

    def __init__(self, rudder: "Rudder", sessions: Sessions, slots: "Slots", calls: "Calls") -> None:
        self.rudder, self.sessions, self.slots, self.calls = rudder, sessions, slots, calls
        self.old, self.new = deque[Txn](), deque[Txn]()
        self.worth = 0.0  # recent mean of what newcomers may earn for a ms on the cores
        self.old_starts = 0.0  # share of recent starts from the holds that were established
        self.work = [0.0, 0.0]  # expected ms on the cores of what is held: new, old

    def arrive(self, txn: Txn) -> bool:
        self.refill()
        txn.cost, whole = self.slots.expect(txn)
        if self._hopeless(txn, whole):
            self.rudder.signals.hear(txn, self.slots.away[txn.product])
            return self.rudder.refuse(txn, room=False)
        if self.is_free(txn):
            self.rudder.signals.hear(txn, 0.0)
            return True
        worth = self.sessions.worth(txn) / txn.cost
        if not txn.old:
            self.worth += GAIN * (worth - self.worth) if self.worth else worth
        over = self.sessions.over_share(txn)
        crowding, txn.old = over and not txn.old, txn.old and not over
        # Established txns still to come go ahead of a newcomer: their share of the starts stretches its wait.
        wait = self.work[True] if txn.old else sum(self.work) / max(1 - self.old_starts, OLD_LEAVE)
        wait /= self.slots.limit
        self.rudder.signals.hear(txn, wait)
        part = min(HOLD_WAIT * worth / (self.worth or worth or 1.0), HOLD_MOST)
        if crowding or wait > (txn.in_time - self.rudder.now - whole) * part:
            return self.rudder.refuse(txn)
        (self.old if txn.old else self.new).append(txn)
        self.work[txn.old] += txn.cost
        txn.queued = True
        self.sessions.count(txn, 1)
        # Held past the point where it can be in time, it is given up at once: later it is worth little.
        self.rudder.agenda.at(txn.in_time - whole * HOPELESS, lambda: txn.queued and self.rudder.refuse(txn))
        return False

    def is_free(self, txn: Txn) -> bool:
        return not self.old and not self.new and self._may_start(txn)

    def _may_start(self, txn: Txn) -> bool:
        # What needs a call while others wait for leave to call would be run to be thrown away.
        stuck = txn.spec.calls and self.calls.queue and not txn.spec.omit_value
        return not stuck and self.slots.may_start(txn)

    def _hopeless(self, txn: Txn, whole: float) -> bool:
        """Too late here even if started now: a quicker server may yet be in time. With nothing in hand it
        runs all the same, or a server that was slow for a while would never learn that it no longer is."""
        return txn.in_time - self.rudder.now < whole * HOPELESS and self.slots.in_hand > 0

    def back(self, txn: Txn) -> None:
        if txn.queued:
            txn.queued = False
            (self.old if txn.old else self.new).remove(txn)
            self.work[txn.old] -= txn.cost
            self.sessions.count(txn, -1)

    def refill(self) -> None:
        while hold := self.old or self.new:
            txn = hold[0]
            if not self._may_start(txn):
                return
            self.back(txn)
            self.old_starts += GAIN * (txn.old - self.old_starts)
            self.rudder.forward(txn, after=self)


class Slots(Stage):
    """The latency loop sets how many txns run on the cores; the crowd guard counts all that may come back.
    Guards: nothing falls over by crowding, whatever is out on calls or still runs for nobody."""

    def __init__(self, rudder: "Rudder", memory: Memory, repeats: Repeats, products: list[Product],
                 cores: int, crowd_per_core: float, cold_ms: float, cold_from: float, born: float) -> None:
        self.rudder, self.memory, self.repeats, self.cores = rudder, memory, repeats, cores
        self.crowd_per_core, self.cold_ms, self.cold_from = crowd_per_core, cold_ms, cold_from
        self.born, self.limit = born, float(cores)
        self.running = self.in_hand = 0  # on the cores; those and all out on calls
        self.busy = 0.0  # share of the cores in use, as the server last told
        self.seen = [0] * len(products)
        self.low: list[float] = [math.inf] * len(products)
        self.mean: list[float] = [0.0] * len(products)  # ms on the cores
        self.away: list[float] = [0.0] * len(products)  # ms off the cores
        self.pace = 1.0  # recent latency over the mean, all products together: a slowdown shows in it first
        self.stretch = 1.0  # recent latency over the lowest
        self.given_up = 0.0  # share of recent runs that were of no use: they ended without settling in time

    def warmth(self) -> float:
        share = min((self.rudder.now - self.born) / self.cold_ms, 1.0) if self.cold_ms else 1.0
        return self.cold_from + (1 - self.cold_from) * share

    def cool(self) -> None:
        """Cold as after a start: what was learned is a first guess, and what still runs still counts."""
        self.born, self.limit, self.pace, self.stretch = self.rudder.now, float(self.cores), 1.0, 1.0
        self.seen = [min(count, 1) for count in self.seen]

    def crowd(self) -> float:
        """The most that may be in hand: everything that may be on the cores together."""
        return max(self.cores * (1 + (self.crowd_per_core - 1) * self.warmth()) * CROWD, 1.0)

    def may_start(self, txn: Txn) -> bool:
        return self.running < int(self.limit) and self.in_hand + 1 <= self.crowd() and self.memory.fits(txn)

    def expect(self, txn: Txn) -> tuple[float, float]:
        """Expected ms on the cores, and in all."""
        cost = self.mean[txn.product] * self.pace or 1.0
        return cost, cost + self.away[txn.product]

    def arrive(self, txn: Txn) -> bool:
        txn.place, txn.ran, txn.started = Place.RUNS, True, self.rudder.now
        self.running += 1
        self.in_hand += 1
        self.memory.run(txn)
        self.rudder.steps.append(("run", txn.ident))
        self.repeats.started(txn)
        self.rudder.sessions.started(txn)
        if self.rudder.may_stop and not txn.effectful and not txn.spec.late_value:
            self.rudder.agenda.at(txn.in_time, lambda: self._give_up(txn))
        return True

    def _give_up(self, txn: Txn) -> None:
        """Late, it earns nothing: where work can be stopped its place goes to one that still may."""
        if self.rudder.sessions.held and txn.place in (Place.RUNS, Place.CALLS):
            self.rudder.void(txn)

    def off_cores(self, txn: Txn) -> None:
        txn.place, txn.off_cores = Place.CALLS, self.rudder.now
        self.running -= 1

    def on_cores(self, txn: Txn) -> None:
        txn.place = Place.RUNS
        txn.away += self.rudder.now - txn.off_cores
        self.running += 1

    def freed(self, txn: Txn) -> None:
        if txn.place not in (Place.RUNS, Place.CALLS):
            return
        self.in_hand -= 1
        if txn.place is Place.CALLS:
            self.on_cores(txn)  # what it spent at the call it ended at is no time on the cores
        self.running -= 1
        # One cut short tells the least it takes; without it only the quick ones would be counted.
        self.given_up += GAIN * ((not txn.settled or self.rudder.now > txn.in_time) - self.given_up)
        spent = self.rudder.now - txn.started - txn.away
        if txn.settled or spent > self.mean[txn.product]:
            self._learn(txn, spent)

    def _learn(self, txn: Txn, spent: float) -> None:
        n, took = txn.product, max(spent, LEAST_MS)
        self.seen[n] += 1
        gain = max(MEAN_GAIN, 1 / self.seen[n])
        self.pace += PACE_GAIN * (min(took / (self.mean[n] or took), PACE_MOST) - self.pace)
        self.mean[n] += gain * (took - self.mean[n])
        self.away[n] += gain * (txn.away - self.away[n]) * txn.settled
        self.low[n] = min(self.low[n] * LOW_LEAK, took)
        self.stretch += GAIN * (took / self.low[n] - self.stretch)
        if self.stretch <= NEAR_LOW:
            if self.running + 1 >= int(self.limit):
                self.limit += RISE * self.cores
        elif self.busy >= CORES_BUSY:
            self.limit = max(self.limit * max(1 / self.stretch, FALL_LEAST), self.cores)

    def turn(self, busy: float, on_cores: float, held: int) -> None:
        self.busy = busy
        if held > 0 and busy < CORES_BUSY and self.running >= int(self.limit):
            easy = self.limit + 1 <= EASY_RUNS * self.cores or on_cores < self.cores
            self.limit += 1 if easy else self.cores * TICK_MS / ROOM_MS
        self.limit = min(self.limit, max(self.crowd(), self.cores))


class Calls(Stage):
    """Calls below: how long to wait, whether to repeat, and when to stop calling.
    A call of a txn with an effect is repeated only if the one before is known not to have run."""

    def __init__(self, rudder: "Rudder", below: str, span_ms: float, linger_ms: float) -> None:
        self.rudder, self.shared, self.linger = rudder, below == "shared", linger_ms
        self.debt, self.counted, self.out = 0.0, rudder.now, 0  # ms beyond the share, as of; calls out
        self.failed, self.room = 0, span_ms * CALLS_ROOM  # in a row; of debt, in shares
        self.gap = self.called = 0.0  # ms that calls keep apart, 0 but after a break; when the last went out
        self.queue: deque[Txn] = deque()  # waiting for leave to call

    def _count(self, by: int) -> None:
        beyond, span = self.out - self.rudder.limits.calls, self.rudder.now - self.counted
        self.debt = max(self.debt + beyond * span, 0.0)
        self.counted, self.out = self.rudder.now, self.out + by

    def _allowed(self) -> bool:
        self._count(0)
        due, share = self.rudder.now >= self.called + self.gap, self.rudder.limits.calls
        return due and (not self.shared or self.out + 1 <= max(share, 1) and self.debt <= share * self.room)

    def want(self, txn: Txn) -> None:
        self.queue.append(txn)
        self.pump()

    def pump(self) -> None:
        waiting, self.queue = self.queue, deque()
        for txn in waiting:  # one that has to wait does not keep those behind it from going on without
            needed = txn.place is Place.CALLS and not txn.answered
            allowed = self._allowed() and not self.rudder.levels.omits(txn)
            if needed and not allowed and not txn.spec.omit_value:
                self.queue.append(txn)
            elif needed and not allowed:
                self.rudder.steps.append(("omit", txn.ident))
                self.rudder.slots.on_cores(txn)
            elif needed:
                txn.tries, txn.calling, self.called = txn.tries + 1, True, self.rudder.now
                self._count(1)
                self.rudder.steps.append(("call", txn.ident, max(txn.due - self.rudder.now, 1.0)))

    def _hang_up(self, txn: Txn, linger_ms: float) -> None:
        if txn.calling:
            txn.calling = False
            self.rudder.agenda.at(self.rudder.now + linger_ms, lambda: self._count(-1))

    def freed(self, txn: Txn) -> None:
        self._hang_up(txn, self.linger)  # its end beat the call's: what lies below may still be at it

    def ended(self, txn: Txn, outcome: Outcome) -> None:
        self._hang_up(txn, 0.0 if outcome.is_over else self.linger)
        if outcome is Outcome.OK:
            if self.failed >= BREAK_AFTER:
                self.rudder.steps.append(("log", f"calls below work again after {self.failed} failures"))
            self.failed = txn.tries = 0
            self.gap = self.gap / 2 if self.gap > TICK_MS / 2 else 0.0  # by degrees: all others come back too
            self.rudder.slots.on_cores(txn)
        else:
            self.failed += outcome is not Outcome.FULL  # a tier that is merely full is not broken
            if self.failed == BREAK_AFTER and outcome is not Outcome.FULL:
                self.gap = BREAK_MS * (1 + self.rudder.chance(txn.ident) / 2)  # no two servers in step
                self.rudder.steps.append(("log", "calls below stop: too many failures in a row"))
            if txn.effectful and not outcome.never_ran:
                self.rudder.void(txn)
            elif not txn.answered:
                pause = CALL_PAUSE_MS * txn.tries * (0.5 + self.rudder.chance(txn.ident))
                self.rudder.agenda.at(self.rudder.now + pause, lambda: self.want(txn))
        self.pump()


class Signals:
    """What callers are told: health, the free value, when to stay away. One timer an instance renews it."""

    def __init__(self, rudder: "Rudder", say: str, callers: int, idle_max_ms: float, marks: bool) -> None:
        self.rudder, self.marks, self.kind, self.idle_max = rudder, marks, say, idle_max_ms
        self.callers, self.gap, self.last = max(callers, 1), GAP_GUESS_MS, rudder.now  # gap: ms, mean
        self.told: float | None = None  # the value last advertised
        self.idle, self.told_idle = (LINK_SHORT_MS if self.seldom() else idle_max_ms), idle_max_ms
        self.shed = self.retries = 0.0  # shares of recent arrivals: declined here, and later tries
        self.pressure = self.waits = 0.0  # 0 to 1; recent mean part of its SLA time that a txn waits here

    def advice(self, room: bool, retry: bool, away_ms: float | None, gone: bool) -> tuple[bool, float]:
        """Whether the caller should not try elsewhere, and how long it should keep away.
        If this server is itself slow, cold or going, others may have room. If it is full at its usual speed,
        the others are full as well, for callers spread their load: a further try would only cost a read."""
        if gone or self.rudder.expiry.is_shut():
            return False, self.rudder.limits.stay_away_ms
        alone = self.rudder.slots.warmth() < 1.0 or self.rudder.slots.pace > SLOW_PACE
        crowded = retry or self.retries > RETRIES_MOST
        if away_ms is None:  # else a level is in force, and knows how long it lasts at the least
            away_ms = math.inf if self.retries > STORM else STAY_AWAY_MS
        return room and not alone or crowded, min(away_ms, self.rudder.limits.stay_away_ms)

    def arrived(self, retry: bool) -> None:
        # Where later tries are not marked, what is declined stands in: most of it comes back somewhere.
        self.retries += GAIN * ((retry if self.marks else self.shed) - self.retries)
        self.shed -= SHED_GAIN * self.shed
        self.gap += GAIN * (self.rudder.now - self.last - self.gap)
        self.last = self.rudder.now

    def seldom(self) -> bool:
        """A caller's next txn is far off where many share few: its connection would only fill the table."""
        return self.gap * self.callers > LINK_WORTH_MS

    def hear(self, txn: Txn, wait_ms: float) -> None:
        # Time spent unread counts: a server that reads late is short of cores, whatever its holds say.
        part = min((self.rudder.now - txn.arrived + wait_ms) / txn.spec.sla_ms, 1.0)
        self.waits += GAIN * (part - self.waits)

    def renew(self) -> None:
        slots, value, beyond = self.rudder.slots, None, min(self.waits / WAIT_AIM - 1, BEYOND_MOST)
        change = PRESSURE_STEP * beyond * (1.0 if beyond > 0 else PRESSURE_EASE)
        self.pressure = min(max(self.pressure + change, 0.0), 1.0)
        self.waits *= 1.0 if slots.in_hand else 1 - GAIN  # fades with nothing to hear from
        if self.kind == "credit":
            least = slots.limit / self.callers
            most = min(slots.crowd(), max(CREDIT_TIMES * least, 1.0))
            value = round(most * (least / most) ** self.pressure, 2)
        elif self.kind == "rank":
            value = round(RANK_MOST * self.pressure, 2)
        # When most that is read is declined, a full table is the cheapest refusal there is: it fills and
        # empties by degrees, for all let go at once would come back at once.
        grows, shrinks = self.shed > FLOOD or not self.seldom(), self.shed < EBB
        by = IDLE_GROWS if grows else IDLE_SHRINKS if shrinks else 1.0
        self.idle = min(max(self.idle * by, LINK_SHORT_MS), self.idle_max)
        if abs(self.idle - self.told_idle) > self.told_idle / 8:
            self.told_idle = self.idle
            self.rudder.steps.append(("idle", self.idle))
        if value != self.told:
            self.told = value
            self.rudder.steps.append(("advertise", value))


class Rudder:
    """One server's decisions: the chain, and what its stages share."""

    def __init__(self, now: float, *, instance: int, seed: int, products: list[Product],
                 tenants: list[Tenant], cores: int, callers: int, memory_kb: float, run_factor: float,
                 ref_kb: float, crowd_per_core: float, fresh: bool, cold_from: float, cold_ms: float,
                 drain_grace_ms: float, tick_ms: float, say: str, limits: Limits, idle_max_ms: float,
                 may_stop: bool, below: str, calls_span_ms: float, linger_ms: float, up_ms: float = 0.0,
                 refs_most: float = math.inf, marks_retry: bool = True) -> None:
        self.now, self.instance, self.products, self.may_stop = now, instance, products, may_stop
        self.limits = limits
        self.counter, self.steps = seed, list[Step]()
        self.txns: dict[int, Txn] = {}  # everything in the hold, on the cores or at a call
        self.agenda = Agenda()
        self.expiry = Expiry(self, drain_grace_ms)
        self.repeats = Repeats(self, ref_kb, tick_ms)
        self.memory = Memory(self, memory_kb, run_factor, refs_most)
        self.sessions = Sessions(self, tenants)
        self.slots = Slots(self, self.memory, self.repeats, products, cores, crowd_per_core,
                           cold_ms, cold_from, now - up_ms if fresh else -math.inf)
        self.calls = Calls(self, below, calls_span_ms, linger_ms)
        self.holds = Holds(self, self.sessions, self.slots, self.calls)
        self.levels = Levels(self)
        self.chain: list[Stage] = [self.expiry, self.repeats, self.sessions, self.levels, self.memory]
        self.chain += [self.holds, self.slots, self.calls]
        self.signals = Signals(self, say, callers, idle_max_ms, marks_retry)

    def at(self, now: float) -> None:
        self.now = now
        self.agenda.play(now)

    def done(self) -> list[Step]:
        steps, self.steps = self.steps, []
        return steps

    def begin(self) -> None:
        self.signals.renew()
        wake = TICK_MS * (0.5 + self.chance(self.instance) / 2)  # servers should not all ring in step
        self.steps += [("health", True), ("wake", wake)]

    def arrive(self, ident: int, product: int, *, tenant: int = 0, key: int = 0, kb: float = 0.0,
               age_ms: float = 0.0, left_ms: float = 0.0, earlier: int = 0, retry: bool = False,
               rank: float = 1.0) -> None:
        txn = self.txns[ident] = Txn(ident, product, self.products[product], self.now, age_ms)
        txn.tenant, txn.key, txn.kb, txn.earlier = tenant, key, kb, earlier
        txn.retry, txn.rank = retry, rank
        self.memory.txns_kb += txn.kb
        self.signals.arrived(retry)
        self.expiry.times(txn, left_ms)
        self.forward(txn)

    def finished(self, ident: int, outcome: Outcome) -> None:
        if txn := self.txns.get(ident):
            txn.settled = outcome is Outcome.OK
            txn.ran &= outcome is not Outcome.MOOT  # the server would not start it: a repeat may still run
            if outcome not in (Outcome.OK, Outcome.ERROR):  # not an answer: it may still be owed one
                self.void(txn)
            self._end(txn, finished=True)
            self._free(txn)

    def needs_call(self, ident: int) -> None:
        if (txn := self.txns.get(ident)) and txn.place is Place.RUNS:
            self.slots.off_cores(txn)
            self.calls.want(txn)
            self.holds.refill()

    def call_ended(self, ident: int, outcome: Outcome) -> None:
        if (txn := self.txns.get(ident)) and txn.place is Place.CALLS:
            self.calls.ended(txn, outcome)

    def left(self, ident: int) -> None:
        if txn := self.txns.get(ident):
            self._end(txn)

    def retire(self, left_ms: float) -> None:
        log = f"draining: {len(self.txns)} in hand, {left_ms:.0f} ms to the stop"
        self.steps += [("health", False), ("log", log)]
        self.expiry.step_down(Part(), left_ms, RETIRED)

    def reduce(self, relief: Relief | None) -> None:
        """The level of reduced service in force from now on; None: there are no levels."""
        self.levels.take(relief)

    def revalue(self, products: list[Product], tenants: list[Tenant], limits: Limits) -> None:
        """What txns that come from now on are worth, shares and limits; what is in hand keeps its worth."""
        self.products, self.sessions.tenants, self.limits = products, tenants, limits

    def facts(self) -> dict[str, float]:
        """What a ladder of levels goes by. With nothing in hand there is no run to be slow or late."""
        slots, signals = self.slots, self.signals
        stretch, given_up = (slots.stretch, slots.given_up) if slots.in_hand else (1.0, 0.0)
        memory = self.memory.used / max(self.memory.run_room / MEMORY_RUN, 1.0)
        told = dict(pressure=signals.pressure, waits=signals.waits, retries=signals.retries, stretch=stretch,
                    given_up=given_up, memory=memory, busy=slots.busy, demand=self.levels.demand)
        if not self.levels.is_known():
            del told["demand"]
        return told

    def step_down(self, part: Part, left_ms: float) -> None:
        """Another serves this part now: a drain with a way back. All read of it is answered in left_ms."""
        self.expiry.step_down(part, left_ms, part)
        self.steps.append(("health", not self.expiry.is_shut()))

    def step_up(self, part: Part) -> None:
        """This part is served here again, from cold. What was started before is still in doubt."""
        if self.expiry.shut.pop(part, None):
            self.slots.cool()
            self.steps.append(("health", not self.expiry.is_shut()))

    def ring(self, busy: float = 1.0, on_cores: float = 0.0) -> None:
        self.slots.turn(busy, on_cores, self.sessions.held)
        self.levels.turn()
        self.holds.refill()
        self.calls.pump()
        self.repeats.unrun = (set(), self.repeats.unrun[0])
        self.signals.renew()
        self.steps.append(("wake", TICK_MS))

    def chance(self, ident: int) -> float:
        self.counter += 1
        return zlib.crc32(f"{self.instance}/{ident}/{self.counter}".encode()) / 2**32

    def forward(self, txn: Txn, after: Stage | None = None) -> None:
        for stage in self.chain[self.chain.index(after) + 1 if after else 0 :]:
            if not stage.arrive(txn):
                return

    def _free(self, txn: Txn) -> None:
        if self.txns.pop(txn.ident, None):
            for stage in reversed(self.chain):
                stage.freed(txn)
            txn.place = Place.OVER
            self.holds.refill()

    def _end(self, txn: Txn, finished: bool = False) -> None:
        """Its answer is given or its caller gone; what runs stays in every count until it is finished."""
        if txn.answered:
            return
        txn.answered = True
        for stage in reversed(self.chain):
            stage.back(txn)
        if finished:
            return
        if txn.place not in (Place.RUNS, Place.CALLS):
            self._free(txn)
        elif self.may_stop and txn.place is Place.RUNS and not txn.effectful:
            self.steps.append(("stop", txn.ident))

    def refuse(self, txn: Txn, room: bool = True, away_ms: float | None = None, gone: bool = False) -> bool:
        """Declined if no try of it has run, else voided: rule two."""
        if txn.ran:
            return self.void(txn)
        if not txn.answered:
            self.signals.shed += SHED_GAIN
            self.steps.append(("decline", txn.ident, *self.signals.advice(room, txn.retry, away_ms, gone)))
            self._end(txn)
        return False

    def void(self, txn: Txn) -> bool:
        if not txn.answered:
            self.steps.append(("void", txn.ident))
            self._end(txn)
        return False

    def reuse(self, txn: Txn) -> None:
        txn.place = Place.WAITS
        self.memory.run(txn)
        self.steps.append(("reuse", txn.ident))
