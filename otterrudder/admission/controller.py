"""All decisions of otterrudder: SBOC, session-based overload control, and the guards around it.

An adapter (otterrudder/drill, otterrudder/net) makes one AdmissionController for each server process. It says
the time with at, calls begin, arrive, finished, needs_call, call_ended, left, retire, step_down, step_up,
reduce or ring, and carries out, in order, the steps that done returns. Plain types and the words of the
steps: otterrudder/admission/interface.py.

A request passes a chain of stages: Expiry, Repeats, Sessions, Levels, Memory, Holds, Slots, Calls. Each may
pass it on, keep it or end it; what becomes of it runs back through the chain in reverse. docs/design.md says
why.
"""

import heapq
import math
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable

from otterrudder.admission.commands import (
    AdvertiseLoad,
    CallDownstream,
    CloseConnections,
    Command,
    EvictKey,
    FailRequest,
    LogMessage,
    RejectRequest,
    ReplayResponse,
    RetainKey,
    ScheduleTick,
    SetHealth,
    SetIdleTimeout,
    SkipCall,
    StartRequest,
    StopRequest,
)
from otterrudder.admission.interface import (
    Limits,
    Outcome,
    Request,
    RequestClass,
    RequestScope,
    RequestState,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)

# Constants: unit and reason. None is a site's figure.
RETIRED = "retired"  # the drain that has no way back
TICK_MS = 40.0  # ms; the periodic timer: half of the tightest slack after expiry that we know, 25 rings/s;
# an answer due at expiry is given at the next ring at the latest, and half of the slack is left for a stall
STOP_EARLY_MS = 250.0  # ms ahead of the stop at which all is answered: a freeze of that length does no harm
SESSION_SLA_TIMES = 10.0  # SLA times an unseen session lives (the design's figure)
SESSION_ROOM = 50_000  # entries; about 100 bytes each, so some 5 MB at most
RETRY_WAITS = 2.0  # mean waits here that a later try is taken to have spent: a read and a hold elsewhere
MEMORY_READ = 0.85  # share of the memory up to which requests are held: what is being read needs room unasked
MEMORY_RUN = 0.92  # share up to which runs start: held before, so only this server's own steps fill it
CROWD = 0.5  # share of the survivable crowd taken as the cap: the crowd is a ceiling, not a target
HOLD_WAIT = 0.4  # share of the SLA time left that a hold may use up: one below and errors need theirs
HOLD_MOST = 0.8  # the same for what earns most: estimates err, and a late answer earns little
HOPELESS = (
    0.45  # share of the expected time that must still fit, or a request has no chance here: estimates err
)
OLD_LEAVE = 0.1  # least share of the starts taken to be left to newcomers: keeps the estimate finite
GROUP_ROOM = (
    0.25  # share of the holds one key, or all keyless requests, may take before they count as newcomers
)
SHARE_SLACK = 1.3  # times a server's even part of a share that counts as within it: callers spread unevenly
SHARE_LEAST = 3.0  # requests of it that any tenant may save up: a small one's come in ones and twos
SHARE_MS = 5000.0  # ms of its share that a tenant may save up: surges last longer, one request is little
GROUP_FREE = 3  # requests any key may hold: shares of a near-empty hold mean nothing
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
PACE_MOST = 3.0  # most that one run counts in the pace: a few costly requests are no slow server
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
GAP_GUESS_MS = 100.0  # ms between arrivals before any are seen: ten requests a second
LINK_WORTH_MS = (
    15_000.0  # ms between a caller's requests up to which its connection is kept: openings are dear
)
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
    """A link of the chain. `arrive` says whether it passes a request on; if not, it has kept or ended it.
    `back` hears of the final answer, `freed` of the end of its work and memory."""

    def arrive(self, request: Request) -> bool:
        return True

    def back(self, request: Request) -> None: ...

    def freed(self, request: Request) -> None: ...


class Expiry(Stage):
    """Due times, the drain, and drains with a way back. Guards: no request lost, safe drains."""

    def __init__(self, controller: "AdmissionController", drain_grace_ms: float) -> None:
        self.controller, self.grace = controller, drain_grace_ms
        self.shut: dict[
            object, tuple[RequestScope, float, float]
        ] = {}  # a part left, last arrival to run, the stop

    def arrive(self, request: Request) -> bool:
        now = self.controller.now
        request.ran = (
            request.earlier_attempt_id != 0 and request.effectful
        )  # until Repeats knows better: it may not be declined
        if request.due <= now + LEAST_MS:
            return self.controller.refuse(request)
        for part, last_arrival, stop in self.shut.values():
            if part.includes(request) and (now >= stop or request.arrived > last_arrival - TICK_MS):
                return self.controller.refuse(request, gone=True)
        self.controller.agenda.at(request.due, lambda: self.controller.refuse(request))
        return True

    def times(self, request: Request, time_left_ms: float) -> None:
        """A marked later try has used up time: about what requests wait here, for other servers are alike."""
        wait = (
            time_left_ms + self.controller.now - request.arrived
            if time_left_ms
            else request.request_class.deadline_ms
        )
        spent = (
            RETRY_WAITS * self.controller.signals.waits * request.request_class.latency_objective_ms
            if request.is_retry
            else 0.0
        )
        request.due = (
            request.arrived + wait
        )  # not earlier: where tries are short, many runs end in the last moments
        request.in_time = min(
            request.arrived + request.request_class.latency_objective_ms - spent, request.due
        )

    def is_shut(self) -> bool:
        return any(part.is_all for part, _, _ in self.shut.values())

    def step_down(self, part: RequestScope, time_left_ms: float, key: object) -> None:
        stop = self.controller.now + max(time_left_ms - STOP_EARLY_MS, 0.0)
        self.shut[key] = (part, self.controller.now + self.grace, stop)
        self.controller.agenda.at(stop, lambda: self._hand_over(key))

    def _hand_over(self, key: object) -> None:
        part, _, stop = self.shut.get(key, (RequestScope(), 0.0, math.inf))
        if self.controller.now >= stop:  # else it was taken back, or begun anew
            for request in [
                request for request in self.controller.requests.values() if part.includes(request)
            ]:
                self.controller.refuse(request, gone=True)
            if key == RETIRED:
                self.controller.commands.append(CloseConnections())


class Repeats(Stage):
    """The ref table: no effect twice. A referenced request is kept on arrival, or its repeat looks new."""

    def __init__(
        self, controller: "AdmissionController", idempotency_entry_kb: float, tick_ms: float
    ) -> None:
        self.controller, self.idempotency_entry_kb, self.tick = controller, idempotency_entry_kb, tick_ms
        self.refs: dict[int, Request] = {}
        self.unrun: tuple[set[int], set[int]] = (set(), set())  # ended before they ran, this ring and last

    def arrive(self, request: Request) -> bool:
        first = self.refs.get(request.earlier_attempt_id)
        request.ran &= (
            first.ran if first else not any(request.earlier_attempt_id in ids for ids in self.unrun)
        )
        if not request.ran and not first:
            return True
        if not request.ran:
            request.place = RequestState.FOLLOWING
            first.followers.append(request)
        elif first and first.place is RequestState.FINISHED and not first.settled:
            return self.controller.void(request)
        else:
            self.controller.reuse(request)
        return False

    def keep(self, request: Request) -> None:
        span = max(
            request.arrived + request.request_class.retention_ms - self.controller.now + self.tick, self.tick
        )
        self.refs[request.request_id] = request
        self.controller.commands.append(RetainKey(request.request_id, span))
        self.controller.agenda.at(self.controller.now + span + self.tick, lambda: self._lapse(request))

    def _lapse(self, request: Request) -> None:
        if request.place in (
            RequestState.QUEUED,
            RequestState.RUNNING,
            RequestState.CALLING,
        ):  # its record may not go before it
            self.controller.agenda.at(self.controller.now + TICK_MS, lambda: self._lapse(request))
        else:
            self.refs.pop(request.request_id, None)

    def started(self, request: Request) -> None:
        for follower in request.followers:
            if not follower.answered:
                follower.ran = True
                self.controller.reuse(follower)
        request.followers = []

    def back(self, request: Request) -> None:
        if request.ran or not request.referenced:
            return
        self.unrun[0].add(request.request_id)
        heirs, request.followers = [f for f in request.followers if not f.answered], []
        held = self.refs.pop(request.request_id, None)
        if heirs:  # the earlier attempt went before it ran: the next takes its place and its entry
            heirs[0].followers, heirs[0].place = heirs[1:], RequestState.QUEUED
            self.controller.forward(heirs[0], after=self)
        elif held:
            self.controller.commands.append(EvictKey(request.request_id))


class Memory(Stage):
    """Held + run factor x in hand + kept refs, by our own count. Guards: no death for want of memory."""

    def __init__(
        self,
        controller: "AdmissionController",
        memory_kb: float,
        run_factor: float,
        max_idempotency_entries: float,
    ) -> None:
        self.controller, self.factor, self.repeats, self.max_idempotency_entries = (
            controller,
            run_factor,
            controller.repeats,
            max_idempotency_entries,
        )
        self.read_room, self.run_room = memory_kb * MEMORY_READ, memory_kb * MEMORY_RUN
        self.txns_kb = 0.0

    @property
    def used(self) -> float:
        return self.txns_kb + len(self.repeats.refs) * self.repeats.idempotency_entry_kb

    def arrive(self, request: Request) -> bool:
        keeps = request.referenced
        full = keeps and len(self.repeats.refs) >= self.max_idempotency_entries  # its results lie elsewhere
        if full or self.used + self.repeats.idempotency_entry_kb * keeps > self.read_room:
            return self.controller.refuse(request, room=False)
        if keeps:
            self.repeats.keep(request)
        return True

    def fits(self, request: Request) -> bool:
        return self.used + request.size_kb * (self.factor - 1) <= self.run_room

    def run(self, request: Request) -> None:
        self.txns_kb += request.size_kb * (self.factor - 1)

    def freed(self, request: Request) -> None:
        self.txns_kb -= request.size_kb * (
            1 if request.place in (RequestState.QUEUED, RequestState.FOLLOWING) else self.factor
        )


class Sessions(Stage):
    """SBOC's table of established keys, entered when a request settles."""

    def __init__(self, controller: "AdmissionController", tenants: list[Tenant]) -> None:
        self.controller, self.tenants = controller, tenants
        self.table: OrderedDict[int, float] = OrderedDict()
        self.left = [
            (controller.now, SHARE_LEAST) for _ in tenants
        ]  # requests left of each share, as of when
        self.groups: dict[int, int] = {}  # requests held of each key
        self.held = 0

    def arrive(self, request: Request) -> bool:
        # One with an effect stands for the paper's paying step, which an established session must not lose up
        # to a share (see below), whether or not it names its user; any other without a key is a newcomer.
        request.old = request.effectful or self.table.get(request.key, 0.0) > self.controller.now
        return True

    def over_share(self, request: Request) -> bool:
        """Beyond its part of the holds a heavy key's requests are newcomers, and the keyless ones'
        likewise."""
        held = self.groups.get(request.key, 0)
        return bool(request.key or request.effectful) and held >= max(GROUP_FREE, GROUP_ROOM * self.held)

    def count(self, request: Request, by: int) -> None:
        self.held += by
        if left := self.groups.get(request.key, 0) + by:
            self.groups[request.key] = left
        else:
            del self.groups[request.key]

    def worth(self, request: Request) -> float:
        """What it may be expected to earn: within a share is what is served up to it, whoever comes first."""
        known = request.tenant < len(self.tenants) and self.tenants[request.tenant].quota_per_ms
        is_over = known and self._left(request.tenant) < 1
        return request.request_class.priority_weight * (
            self.controller.limits.over_quota_weight_factor if is_over else 1.0
        )

    def _left(self, tenant: int) -> float:
        since, left = self.left[tenant]
        quota_per_ms = self.tenants[tenant].quota_per_ms * SHARE_SLACK
        return min(
            left + (self.controller.now - since) * quota_per_ms, max(quota_per_ms * SHARE_MS, SHARE_LEAST)
        )

    def started(self, request: Request) -> None:
        if request.tenant < len(self.tenants):
            self.left[request.tenant] = (self.controller.now, max(self._left(request.tenant) - 1, 0.0))

    def back(self, request: Request) -> None:
        if request.settled and request.key:
            self.table[request.key] = (
                self.controller.now + SESSION_SLA_TIMES * request.request_class.latency_objective_ms
            )
            self.table.move_to_end(request.key)
        while self.table and (
            len(self.table) > SESSION_ROOM or next(iter(self.table.values())) <= self.controller.now
        ):
            self.table.popitem(last=False)


class Levels(Stage):
    """Reduced service: while a level is in force, what it restricts is declined ahead of the holds, or loses
    its call. What has run, or whose earlier try has, never gets here (Repeats). SBOC orders the rest."""

    def __init__(self, controller: "AdmissionController") -> None:
        self.controller = controller
        self.relief: ServiceLevel | None = None  # as last told; None: nobody watches, so nothing is counted
        self.asked, self.counted = 0.0, controller.now  # expected ms on the cores of first tries, since when
        self.demand = 0.0  # recent work asked for over what the limit takes, whatever became of it
        self.due = 0.0  # share of each trim of the level that is owed to those that come next
        self.until = 0.0  # when the level may be left at the earliest

    def take(self, relief: ServiceLevel | None) -> None:
        self.relief, self.due = relief, 0.0
        self.until = self.controller.now + relief.min_duration_ms if relief else 0.0
        holds = self.controller.holds
        for request in [*holds.new, *holds.old] if relief and relief.rejects_queued else ():
            trim = self._trim(request)
            if (
                request.queued
                and trim
                and trim.kind is not RestrictionKind.SHARE
                and self._cuts(request, trim)
            ):
                self._refuse(request)

    def arrive(self, request: Request) -> bool:
        if not self.relief:
            return True
        # Further tries ask for no new work. What the level turns away counts, or shedding would read as calm.
        self.asked += 0.0 if request.is_retry else self.controller.slots.expect(request)[0]
        trim = self._trim(request)
        return not (trim and self._cuts(request, trim)) or self._refuse(request)

    def omits(self, request: Request) -> bool:
        trim = self._trim(request) if self.relief and request.request_class.skip_weight_factor else None
        return trim is not None and trim.kind is RestrictionKind.OMIT

    def is_known(self) -> bool:
        """Whether the work asked for is: of a class that is trimmed and never ran nobody knows its work."""
        restrictions = self.relief.restrictions if self.relief else ()
        return all(self.controller.slots.seen[n] for n, trimmed in enumerate(restrictions) if trimmed)

    def turn(self) -> None:
        span = self.controller.now - self.counted
        if self.relief and span > 0:
            rate = self.asked / span / self.controller.slots.limit
            self.demand += min(span / DEMAND_MS, 1.0) * (rate - self.demand)
        self.asked, self.counted = 0.0, self.controller.now

    def _trim(self, request: Request) -> Restriction | None:
        """The strongest that fits; a level states them so, by class."""
        fitting = (
            (t for t in self.relief.restrictions[request.class_index] if t.includes(request))
            if self.relief.restrictions
            else ()
        )
        return next(iter(fitting), None)

    def _cuts(self, request: Request, trim: Restriction) -> bool:
        if (
            trim.kind is RestrictionKind.SHARE
        ):  # by count, not by chance: the share is exact, and no burst of luck gets in
            self.due += trim.admitted_share
            self.due -= (passes := self.due >= 1.0)
            return not passes
        if trim.kind is RestrictionKind.SPARE:
            return not self.controller.holds.is_free(request)
        return (
            trim.kind is RestrictionKind.DECLINE
            or trim.kind is RestrictionKind.ESTABLISHED
            and not request.old
        )

    def _refuse(self, request: Request) -> bool:
        away = max(self.until - self.controller.now, STAY_AWAY_MS) if self.relief.sends_retry_after else 0.0
        return self.controller.refuse(request, away_ms=away, gone=self.relief.served_elsewhere)


class Holds(Stage):
    """The two bounded FIFO holds: old first, newcomers once it is empty; they bind while the limit is full.
    Their bound is time, not count: a request is held if the work ahead of it leaves it its SLA time."""

    def __init__(
        self, controller: "AdmissionController", sessions: Sessions, slots: "Slots", calls: "Calls"
    ) -> None:
        self.controller, self.sessions, self.slots, self.calls = controller, sessions, slots, calls
        self.old, self.new = deque[Request](), deque[Request]()
        self.worth = 0.0  # recent mean of what newcomers may earn for a ms on the cores
        self.old_starts = 0.0  # share of recent starts from the holds that were established
        self.work = [0.0, 0.0]  # expected ms on the cores of what is held: new, old

    def arrive(self, request: Request) -> bool:
        self.refill()
        request.cost, whole = self.slots.expect(request)
        if self._hopeless(request, whole):
            self.controller.signals.hear(request, self.slots.away[request.class_index])
            return self.controller.refuse(request, room=False)
        if self.is_free(request):
            self.controller.signals.hear(request, 0.0)
            return True
        worth = self.sessions.worth(request) / request.cost
        if not request.old:
            self.worth += GAIN * (worth - self.worth) if self.worth else worth
        over = self.sessions.over_share(request)
        crowding, request.old = over and not request.old, request.old and not over
        # Established requests still to come go ahead of a newcomer: their share of the starts stretches its
        # wait.
        wait = self.work[True] if request.old else sum(self.work) / max(1 - self.old_starts, OLD_LEAVE)
        wait /= self.slots.limit
        self.controller.signals.hear(request, wait)
        part = min(HOLD_WAIT * worth / (self.worth or worth or 1.0), HOLD_MOST)
        if crowding or wait > (request.in_time - self.controller.now - whole) * part:
            return self.controller.refuse(request)
        (self.old if request.old else self.new).append(request)
        self.work[request.old] += request.cost
        request.queued = True
        self.sessions.count(request, 1)
        # Held past the point where it can be in time, it is given up at once: later it is worth little.
        self.controller.agenda.at(
            request.in_time - whole * HOPELESS, lambda: request.queued and self.controller.refuse(request)
        )
        return False

    def is_free(self, request: Request) -> bool:
        return not self.old and not self.new and self._may_start(request)

    def _may_start(self, request: Request) -> bool:
        # What needs a call while others wait for leave to call would be run to be thrown away.
        stuck = (
            request.request_class.may_call
            and self.calls.queue
            and not request.request_class.skip_weight_factor
        )
        return not stuck and self.slots.may_start(request)

    def _hopeless(self, request: Request, whole: float) -> bool:
        """Too late here even if started now: a quicker server may yet be in time. With nothing in hand it
        runs all the same, or a server that was slow for a while would never learn that it no longer is."""
        return request.in_time - self.controller.now < whole * HOPELESS and self.slots.in_hand > 0

    def back(self, request: Request) -> None:
        if request.queued:
            request.queued = False
            (self.old if request.old else self.new).remove(request)
            self.work[request.old] -= request.cost
            self.sessions.count(request, -1)

    def refill(self) -> None:
        while hold := self.old or self.new:
            request = hold[0]
            if not self._may_start(request):
                return
            self.back(request)
            self.old_starts += GAIN * (request.old - self.old_starts)
            self.controller.forward(request, after=self)


class Slots(Stage):
    """The latency loop sets how many requests run on the cores; the crowd guard counts all that may come
    back. Guards: nothing falls over by crowding, whatever is out on calls or still runs for nobody."""

    def __init__(
        self,
        controller: "AdmissionController",
        memory: Memory,
        repeats: Repeats,
        request_classes: list[RequestClass],
        cores: int,
        crowd_per_core: float,
        cold_ms: float,
        cold_from: float,
        born: float,
    ) -> None:
        self.controller, self.memory, self.repeats, self.cores = controller, memory, repeats, cores
        self.crowd_per_core, self.cold_ms, self.cold_from = crowd_per_core, cold_ms, cold_from
        self.born, self.limit = born, float(cores)
        self.running = self.in_hand = 0  # on the cores; those and all out on calls
        self.busy = 0.0  # share of the cores in use, as the server last told
        self.seen = [0] * len(request_classes)
        self.low: list[float] = [math.inf] * len(request_classes)
        self.mean: list[float] = [0.0] * len(request_classes)  # ms on the cores
        self.away: list[float] = [0.0] * len(request_classes)  # ms off the cores
        self.pace = 1.0  # recent latency over the mean, all classes together: a slowdown shows in it first
        self.stretch = 1.0  # recent latency over the lowest
        self.given_up = 0.0  # share of recent runs that were of no use: they ended without settling in time

    def warmth(self) -> float:
        share = min((self.controller.now - self.born) / self.cold_ms, 1.0) if self.cold_ms else 1.0
        return self.cold_from + (1 - self.cold_from) * share

    def cool(self) -> None:
        """Cold as after a start: what was learned is a first guess, and what still runs still counts."""
        self.born, self.limit, self.pace, self.stretch = self.controller.now, float(self.cores), 1.0, 1.0
        self.seen = [min(count, 1) for count in self.seen]

    def crowd(self) -> float:
        """The most that may be in hand: everything that may be on the cores together."""
        return max(self.cores * (1 + (self.crowd_per_core - 1) * self.warmth()) * CROWD, 1.0)

    def may_start(self, request: Request) -> bool:
        return (
            self.running < int(self.limit) and self.in_hand + 1 <= self.crowd() and self.memory.fits(request)
        )

    def expect(self, request: Request) -> tuple[float, float]:
        """Expected ms on the cores, and in all."""
        cost = self.mean[request.class_index] * self.pace or 1.0
        return cost, cost + self.away[request.class_index]

    def arrive(self, request: Request) -> bool:
        request.place, request.ran, request.started = RequestState.RUNNING, True, self.controller.now
        self.running += 1
        self.in_hand += 1
        self.memory.run(request)
        self.controller.commands.append(StartRequest(request.request_id))
        self.repeats.started(request)
        self.controller.sessions.started(request)
        if (
            self.controller.can_stop_requests
            and not request.effectful
            and not request.request_class.late_weight_factor
        ):
            self.controller.agenda.at(request.in_time, lambda: self._give_up(request))
        return True

    def _give_up(self, request: Request) -> None:
        """Late, it earns nothing: where work can be stopped its place goes to one that still may."""
        if self.controller.sessions.held and request.place in (RequestState.RUNNING, RequestState.CALLING):
            self.controller.void(request)

    def off_cores(self, request: Request) -> None:
        request.place, request.off_cores = RequestState.CALLING, self.controller.now
        self.running -= 1

    def on_cores(self, request: Request) -> None:
        request.place = RequestState.RUNNING
        request.away += self.controller.now - request.off_cores
        self.running += 1

    def freed(self, request: Request) -> None:
        if request.place not in (RequestState.RUNNING, RequestState.CALLING):
            return
        self.in_hand -= 1
        if request.place is RequestState.CALLING:
            self.on_cores(request)  # what it spent at the call it ended at is no time on the cores
        self.running -= 1
        # One cut short tells the least it takes; without it only the quick ones would be counted.
        self.given_up += GAIN * (
            (not request.settled or self.controller.now > request.in_time) - self.given_up
        )
        spent = self.controller.now - request.started - request.away
        if request.settled or spent > self.mean[request.class_index]:
            self._learn(request, spent)

    def _learn(self, request: Request, spent: float) -> None:
        n, took = request.class_index, max(spent, LEAST_MS)
        self.seen[n] += 1
        gain = max(MEAN_GAIN, 1 / self.seen[n])
        self.pace += PACE_GAIN * (min(took / (self.mean[n] or took), PACE_MOST) - self.pace)
        self.mean[n] += gain * (took - self.mean[n])
        self.away[n] += gain * (request.away - self.away[n]) * request.settled
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
    A call of a request with an effect is repeated only if the one before is known not to have run."""

    def __init__(
        self, controller: "AdmissionController", below: str, span_ms: float, linger_ms: float
    ) -> None:
        self.controller, self.shared, self.linger = controller, below == "shared", linger_ms
        self.debt, self.counted, self.out = 0.0, controller.now, 0  # ms beyond the share, as of; calls out
        self.failed, self.room = 0, span_ms * CALLS_ROOM  # in a row; of debt, in shares
        self.gap = self.called = 0.0  # ms that calls keep apart, 0 but after a break; when the last went out
        self.queue: deque[Request] = deque()  # waiting for leave to call

    def _count(self, by: int) -> None:
        beyond, span = (
            self.out - self.controller.limits.downstream_call_quota,
            self.controller.now - self.counted,
        )
        self.debt = max(self.debt + beyond * span, 0.0)
        self.counted, self.out = self.controller.now, self.out + by

    def _allowed(self) -> bool:
        self._count(0)
        due, share = (
            self.controller.now >= self.called + self.gap,
            self.controller.limits.downstream_call_quota,
        )
        return due and (not self.shared or self.out + 1 <= max(share, 1) and self.debt <= share * self.room)

    def want(self, request: Request) -> None:
        self.queue.append(request)
        self.pump()

    def pump(self) -> None:
        waiting, self.queue = self.queue, deque()
        for request in waiting:  # one that has to wait does not keep those behind it from going on without
            needed = request.place is RequestState.CALLING and not request.answered
            allowed = self._allowed() and not self.controller.levels.omits(request)
            if needed and not allowed and not request.request_class.skip_weight_factor:
                self.queue.append(request)
            elif needed and not allowed:
                self.controller.commands.append(SkipCall(request.request_id))
                self.controller.slots.on_cores(request)
            elif needed:
                request.tries, request.calling, self.called = request.tries + 1, True, self.controller.now
                self._count(1)
                self.controller.commands.append(
                    CallDownstream(request.request_id, max(request.due - self.controller.now, 1.0))
                )

    def _hang_up(self, request: Request, linger_ms: float) -> None:
        if request.calling:
            request.calling = False
            self.controller.agenda.at(self.controller.now + linger_ms, lambda: self._count(-1))

    def freed(self, request: Request) -> None:
        self._hang_up(request, self.linger)  # its end beat the call's: what lies below may still be at it

    def ended(self, request: Request, outcome: Outcome) -> None:
        self._hang_up(request, 0.0 if outcome.is_over else self.linger)
        if outcome is Outcome.OK:
            if self.failed >= BREAK_AFTER:
                self.controller.commands.append(
                    LogMessage(f"calls below work again after {self.failed} failures")
                )
            self.failed = request.tries = 0
            self.gap = self.gap / 2 if self.gap > TICK_MS / 2 else 0.0  # by degrees: all others come back too
            self.controller.slots.on_cores(request)
        else:
            self.failed += outcome is not Outcome.FULL  # a tier that is merely full is not broken
            if self.failed == BREAK_AFTER and outcome is not Outcome.FULL:
                self.gap = BREAK_MS * (
                    1 + self.controller.chance(request.request_id) / 2
                )  # no two servers in step
                self.controller.commands.append(LogMessage("calls below stop: too many failures in a row"))
            if request.effectful and not outcome.never_ran:
                self.controller.void(request)
            elif not request.answered:
                pause = CALL_PAUSE_MS * request.tries * (0.5 + self.controller.chance(request.request_id))
                self.controller.agenda.at(self.controller.now + pause, lambda: self.want(request))
        self.pump()


class Signals:
    """What callers are told: health, the free value, when to stay away. One timer an instance renews it."""

    def __init__(
        self, controller: "AdmissionController", say: str, callers: int, idle_max_ms: float, marks: bool
    ) -> None:
        self.controller, self.marks, self.kind, self.idle_max = controller, marks, say, idle_max_ms
        self.callers, self.gap, self.last = max(callers, 1), GAP_GUESS_MS, controller.now  # gap: ms, mean
        self.told: float | None = None  # the value last advertised
        self.idle, self.told_idle = (LINK_SHORT_MS if self.seldom() else idle_max_ms), idle_max_ms
        self.shed = self.retries = 0.0  # shares of recent arrivals: declined here, and later tries
        self.pressure = self.waits = 0.0  # 0 to 1; recent mean part of its SLA time that a request waits here

    def advice(self, room: bool, retry: bool, away_ms: float | None, gone: bool) -> tuple[bool, float]:
        """Whether the caller should not try elsewhere, and how long it should keep away.
        If this server is itself slow, cold or going, others may have room. If it is full at its usual speed,
        the others are full as well, for callers spread their load: a further try would only cost a read."""
        if gone or self.controller.expiry.is_shut():
            return False, self.controller.limits.max_retry_after_ms
        alone = self.controller.slots.warmth() < 1.0 or self.controller.slots.pace > SLOW_PACE
        crowded = retry or self.retries > RETRIES_MOST
        if away_ms is None:  # else a level is in force, and knows how long it lasts at the least
            away_ms = math.inf if self.retries > STORM else STAY_AWAY_MS
        return room and not alone or crowded, min(away_ms, self.controller.limits.max_retry_after_ms)

    def arrived(self, retry: bool) -> None:
        # Where later tries are not marked, what is declined stands in: most of it comes back somewhere.
        self.retries += GAIN * ((retry if self.marks else self.shed) - self.retries)
        self.shed -= SHED_GAIN * self.shed
        self.gap += GAIN * (self.controller.now - self.last - self.gap)
        self.last = self.controller.now

    def seldom(self) -> bool:
        """A caller's next request is far off where many share few: its connection would only fill the
        table."""
        return self.gap * self.callers > LINK_WORTH_MS

    def hear(self, request: Request, wait_ms: float) -> None:
        # Time spent unread counts: a server that reads late is short of cores, whatever its holds say.
        part = min(
            (self.controller.now - request.arrived + wait_ms) / request.request_class.latency_objective_ms,
            1.0,
        )
        self.waits += GAIN * (part - self.waits)

    def renew(self) -> None:
        slots, value, beyond = self.controller.slots, None, min(self.waits / WAIT_AIM - 1, BEYOND_MOST)
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
            self.controller.commands.append(SetIdleTimeout(self.idle))
        if value != self.told:
            self.told = value
            self.controller.commands.append(AdvertiseLoad(value))


class AdmissionController:
    """One server's decisions: the chain, and what its stages share."""

    def __init__(
        self,
        now: float,
        *,
        instance: int,
        seed: int,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        cores: int,
        callers: int,
        memory_kb: float,
        run_factor: float,
        idempotency_entry_kb: float,
        crowd_per_core: float,
        is_cold_start: bool,
        cold_from: float,
        cold_ms: float,
        drain_grace_ms: float,
        tick_ms: float,
        say: str,
        limits: Limits,
        idle_max_ms: float,
        can_stop_requests: bool,
        below: str,
        calls_span_ms: float,
        linger_ms: float,
        uptime_ms: float = 0.0,
        max_idempotency_entries: float = math.inf,
        marks_retry: bool = True,
    ) -> None:
        self.now, self.instance, self.request_classes, self.can_stop_requests = (
            now,
            instance,
            request_classes,
            can_stop_requests,
        )
        self.limits = limits
        self.counter, self.commands = seed, list[Command]()
        self.requests: dict[int, Request] = {}  # everything in the hold, on the cores or at a call
        self.agenda = Agenda()
        self.expiry = Expiry(self, drain_grace_ms)
        self.repeats = Repeats(self, idempotency_entry_kb, tick_ms)
        self.memory = Memory(self, memory_kb, run_factor, max_idempotency_entries)
        self.sessions = Sessions(self, tenants)
        self.slots = Slots(
            self,
            self.memory,
            self.repeats,
            request_classes,
            cores,
            crowd_per_core,
            cold_ms,
            cold_from,
            now - uptime_ms if is_cold_start else -math.inf,
        )
        self.calls = Calls(self, below, calls_span_ms, linger_ms)
        self.holds = Holds(self, self.sessions, self.slots, self.calls)
        self.levels = Levels(self)
        self.chain: list[Stage] = [self.expiry, self.repeats, self.sessions, self.levels, self.memory]
        self.chain += [self.holds, self.slots, self.calls]
        self.signals = Signals(self, say, callers, idle_max_ms, marks_retry)

    @property
    def in_flight_count(self) -> int:
        """Requests that run or are out on downstream calls."""
        return self.slots.in_hand

    @property
    def running_count(self) -> int:
        """Requests on the cores."""
        return self.slots.running

    @property
    def queued_count(self) -> int:
        """Requests that wait for admission."""
        return self.sessions.held

    def advance_to(self, now: float) -> None:
        self.now = now
        self.agenda.play(now)

    def take_commands(self) -> list[Command]:
        commands, self.commands = self.commands, []
        return commands

    def start(self) -> None:
        self.signals.renew()
        wake = TICK_MS * (0.5 + self.chance(self.instance) / 2)  # servers should not all ring in step
        self.commands += [SetHealth(True), ScheduleTick(wake)]

    def handle_arrival(
        self,
        request_id: int,
        class_index: int,
        *,
        tenant: int = 0,
        key: int = 0,
        size_kb: float = 0.0,
        age_ms: float = 0.0,
        time_left_ms: float = 0.0,
        earlier_attempt_id: int = 0,
        is_retry: bool = False,
        criticality: float = 1.0,
    ) -> None:
        request = self.requests[request_id] = Request(
            request_id, class_index, self.request_classes[class_index], self.now, age_ms
        )
        request.tenant, request.key, request.size_kb, request.earlier_attempt_id = (
            tenant,
            key,
            size_kb,
            earlier_attempt_id,
        )
        request.is_retry, request.criticality = is_retry, criticality
        self.memory.txns_kb += request.size_kb
        self.signals.arrived(is_retry)
        self.expiry.times(request, time_left_ms)
        self.forward(request)

    def handle_finished(self, request_id: int, outcome: Outcome) -> None:
        if request := self.requests.get(request_id):
            request.settled = outcome is Outcome.OK
            request.ran &= (
                outcome is not Outcome.NEVER_STARTED
            )  # the server would not start it: a repeat may still run
            if outcome not in (Outcome.OK, Outcome.ERROR):  # not an answer: it may still be owed one
                self.void(request)
            self._end(request, finished=True)
            self._free(request)

    def handle_call_needed(self, request_id: int) -> None:
        if (request := self.requests.get(request_id)) and request.place is RequestState.RUNNING:
            self.slots.off_cores(request)
            self.calls.want(request)
            self.holds.refill()

    def handle_call_ended(self, request_id: int, outcome: Outcome) -> None:
        if (request := self.requests.get(request_id)) and request.place is RequestState.CALLING:
            self.calls.ended(request, outcome)

    def handle_disconnect(self, request_id: int) -> None:
        if request := self.requests.get(request_id):
            self._end(request)

    def begin_graceful_shutdown(self, time_left_ms: float) -> None:
        log = f"draining: {len(self.requests)} in hand, {time_left_ms:.0f} ms to the stop"
        self.commands += [SetHealth(False), LogMessage(log)]
        self.expiry.step_down(RequestScope(), time_left_ms, RETIRED)

    def set_service_level(self, relief: ServiceLevel | None) -> None:
        """The level of reduced service in force from now on; None: there are no levels."""
        self.levels.take(relief)

    def update_policy(
        self, request_classes: list[RequestClass], tenants: list[Tenant], limits: Limits
    ) -> None:
        """What requests that come from now on are worth, shares and limits; what is in hand keeps its
        worth."""
        self.request_classes, self.sessions.tenants, self.limits = request_classes, tenants, limits

    def load_report(self) -> dict[str, float]:
        """What a ladder of levels goes by. With nothing in hand there is no run to be slow or late."""
        slots, signals = self.slots, self.signals
        stretch, given_up = (slots.stretch, slots.given_up) if slots.in_hand else (1.0, 0.0)
        memory = self.memory.used / max(self.memory.run_room / MEMORY_RUN, 1.0)
        told = dict(
            pressure=signals.pressure,
            waits=signals.waits,
            retries=signals.retries,
            stretch=stretch,
            given_up=given_up,
            memory=memory,
            busy=slots.busy,
            demand=self.levels.demand,
        )
        if not self.levels.is_known():
            del told["demand"]
        return told

    def drain(self, part: RequestScope, time_left_ms: float) -> None:
        """Another serves this part now: a drain with a way back. All read of it is answered in time."""
        self.expiry.step_down(part, time_left_ms, part)
        self.commands.append(SetHealth(not self.expiry.is_shut()))

    def resume(self, part: RequestScope) -> None:
        """This part is served here again, from cold. What was started before is still in doubt."""
        if self.expiry.shut.pop(part, None):
            self.slots.cool()
            self.commands.append(SetHealth(not self.expiry.is_shut()))

    def tick(self, busy: float = 1.0, on_cores: float = 0.0) -> None:
        self.slots.turn(busy, on_cores, self.sessions.held)
        self.levels.turn()
        self.holds.refill()
        self.calls.pump()
        self.repeats.unrun = (set(), self.repeats.unrun[0])
        self.signals.renew()
        self.commands.append(ScheduleTick(TICK_MS))

    def chance(self, request_id: int) -> float:
        self.counter += 1
        return zlib.crc32(f"{self.instance}/{request_id}/{self.counter}".encode()) / 2**32

    def forward(self, request: Request, after: Stage | None = None) -> None:
        for stage in self.chain[self.chain.index(after) + 1 if after else 0 :]:
            if not stage.arrive(request):
                return

    def _free(self, request: Request) -> None:
        if self.requests.pop(request.request_id, None):
            for stage in reversed(self.chain):
                stage.freed(request)
            request.place = RequestState.FINISHED
            self.holds.refill()

    def _end(self, request: Request, finished: bool = False) -> None:
        """Its answer is given or its caller gone; what runs stays in every count until it is finished."""
        if request.answered:
            return
        request.answered = True
        for stage in reversed(self.chain):
            stage.back(request)
        if finished:
            return
        if request.place not in (RequestState.RUNNING, RequestState.CALLING):
            self._free(request)
        elif self.can_stop_requests and request.place is RequestState.RUNNING and not request.effectful:
            self.commands.append(StopRequest(request.request_id))

    def refuse(
        self, request: Request, room: bool = True, away_ms: float | None = None, gone: bool = False
    ) -> bool:
        """Declined if no try of it has run, else voided: rule two."""
        if request.ran:
            return self.void(request)
        if not request.answered:
            self.signals.shed += SHED_GAIN
            self.commands.append(
                RejectRequest(request.request_id, *self.signals.advice(room, request.is_retry, away_ms, gone))
            )
            self._end(request)
        return False

    def void(self, request: Request) -> bool:
        if not request.answered:
            self.commands.append(FailRequest(request.request_id))
            self._end(request)
        return False

    def reuse(self, request: Request) -> None:
        request.place = RequestState.REPLAYING
        self.memory.run(request)
        self.commands.append(ReplayResponse(request.request_id))
