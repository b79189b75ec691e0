"""A relay: it leads a cell under a lease of the store, votes on changes for it, and grants its servers
leases. Pure.

The cell is a member of the fleet (`fleet/member.py`) whose process is a relay. Several relays of a cell
share the member's name; the one whose registration stands in the store leads. What the relay adds:

- A grant never outlives the relay's own authority (`Member.authority_until`), and never lasts longer than
  the bound. So whatever was granted before a vote has ended by the bound after any commit that the vote
  allows, and nothing has to be remembered of grants: a relay that dies, freezes or is cut off leaves leases
  behind that end by themselves.
- A vote says what the servers say: one of each kind is asked about the text. A server whose lease has
  lapsed is not asked, and one whose stream has ended is waited for until its lease has lapsed. A kind that
  does not answer gets no leases and is not waited for once those that it had have ended.
- While a change is open that the cell has voted for, a server that has just come gets its first lease after
  a read of the store that was sent since: what starts after a commit does not admit under the version before.
- Who takes a cell over does not vote for a moment: until then servers of the former leader may not have
  found it, and their kinds would not be asked. So no poll is decided before.
- While the store is away, the leader goes on with the consent of all other relays of its cell
  (`consent.py`). Who has consented does not take the cell while that binds it: it could grant nothing, and
  the leader is to have its place again once the store is back."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from otterrudder.fleet.cell.consent import Consents, PeerRequest, Promise
from otterrudder.fleet.cell.kinds import Candidate, Poll, Verdicts
from otterrudder.fleet.cell.messages import (
    PROTOCOL_VERSION,
    AskConsent,
    AskVerdict,
    Consent,
    Grant,
    InForce,
    RefusalReason,
    Refuse,
    Register,
    RelayMessage,
    Renew,
    ServerMessage,
    Verdict,
)
from otterrudder.fleet.cell.participant import LEASE_SPAN_MS
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import Keys, MemberStatus, digest_of
from otterrudder.fleet.state import MemberState, OpenChange, Policy, Rules

SESSIONS_MOST = 2000  # servers of a relay, unless its file says otherwise: a zone has some 300
GRANT_LEAST_MS = 200.0  # ms; a shorter lease would be over before its answer is used
RESEND_MS = 2000.0  # ms after which a text is sent again to a server that does not go by it
SWEEP_MS = 1000.0  # ms between looks for sessions whose server is gone
SILENT_SPANS = 2.0  # spans without a word after which a session is ended
TAKEOVER_MS = 1500.0  # ms without a vote after taking a cell over: a server is on its next relay by then
STORE_HEARD_SHARE = 0.35  # of the store's lease: an answer within it counts as hearing the store
CONSENT_BELOW_SHARE = 0.6  # of the store's lease left, below which the other relays are asked for consent


@dataclass(frozen=True, slots=True)
class SendToServer:
    connection: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class EndSession:
    """The stream is to be ended, after what was sent on it."""

    connection: int


RelayEffect = Effect | SendToServer | EndSession | PeerRequest


@dataclass(slots=True)
class Session:
    """A server's stream, from its Register on."""

    connection: int
    name: str
    incarnation: str
    kind: str
    zone: str
    version: int
    heard_at: float
    admission_status: str = ""
    granted_until: float = -math.inf  # by the relay's clock
    sent_version: int = 0  # of the text that was last sent
    sent_at: float = -math.inf
    registered_at: float = 0.0
    held: int = 0  # the sequence of a request that is answered after the next read; 0: none


@dataclass(frozen=True, slots=True)
class CellIdentity:
    """Which relay of which cell this is. `candidates`: the addresses of all relays of the cell, this one
    among them, under which the others know them."""

    fleet: str
    cell: str
    address: str
    candidates: tuple[str, ...]

    @property
    def holder(self) -> str:
        """What the roster knows the cell's relays by: a relay with another list is another holder, and is not
        believed, for it would not ask all of them for consent."""
        return f"relays {digest_of(' '.join(sorted(self.candidates)))[:16]}"


@dataclass(frozen=True, slots=True)
class RelayLimits:
    span_ms: float = LEASE_SPAN_MS  # of a server's lease
    sessions_most: int = SESSIONS_MOST


class Relay:
    __slots__ = (
        "_away",
        "_effects",
        "_is_changed",
        "_is_leaving",
        "_led",
        "_poll_waits",
        "_polled",
        "_pushed",
        "_quiet_until",
        "_sweep_at",
        "consents",
        "identity",
        "limits",
        "member",
        "poll",
        "poll_sent",
        "poll_task",
        "promise",
        "refused",
        "sessions",
        "coordinator",
        "verdicts",
    )

    def __init__(
        self,
        now: float,
        identity: CellIdentity,
        incarnation: str,
        rules: Rules,
        limits: RelayLimits = RelayLimits(),  # noqa: B008 (frozen)
        *,
        record: MemberState | None = None,
        has_disk: bool = False,
        status: MemberStatus | None = None,
        cluster: int = 0,
        folder: str = "",
    ) -> None:
        """`rules.is_shared` where the cell has more than one relay; `record`, `has_disk`, `cluster`: as for
        a Member. `folder`: the holder's name for a cell of one relay, as its folder has it."""
        if limits.span_ms > rules.bound_ms:
            raise ValueError(f"a lease of {limits.span_ms:g} ms outlasts the bound of {rules.bound_ms:g} ms")
        keys = Keys(identity.fleet)
        holder = identity.holder if rules.is_shared else folder or identity.holder
        self.identity, self.limits = identity, limits
        self.member = Member(
            now,
            keys,
            identity.cell,
            incarnation,
            holder,
            rules,
            lambda text: "",
            record=record,
            has_disk=has_disk,
            status=status,
            cluster=cluster,
        )
        self.coordinator = ChangeCoordinator(keys, identity.cell, retains_leadership=True)
        self.sessions: dict[int, Session] = {}
        self._away: dict[
            str, tuple[float, str]
        ] = {}  # kinds: the end of a lease whose stream has ended, whose
        self.verdicts = Verdicts()
        self.poll: Poll | None = None
        self.poll_task: ValidatePolicy | None = None
        self.poll_sent = now
        named = (identity.fleet, identity.cell, identity.address, identity.candidates)
        self.consents = Consents(now, *named)
        self.promise = Promise(now, *named)
        self._abstain()
        self.refused: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)
        self._led = False
        self._polled = 0  # the revision that made the change that the poll is about
        self._poll_waits = False  # all that are here have been asked, and others may come
        self._pushed: Policy = Policy()
        self._is_leaving = False
        self._sweep_at = now + SWEEP_MS
        self._effects: list[RelayEffect] = []
        # A renewal asks nothing of the store, and there are hundreds a second: between other events its
        # answer is all that `effects` looks for.
        self._is_changed = True
        self._quiet_until = -math.inf

    # What it says.

    def leads(self) -> bool:
        """Whether this relay is registered for its cell, as far as it knows."""
        return self.member.registered > 0

    def authority_until(self, now: float) -> float:
        """Until when leases may be granted that were asked for now; -inf: none may."""
        if now < self.promise.until or self._is_leaving:
            return -math.inf
        return self.member.authority_until(now)

    def watched(self) -> tuple[str, ...]:
        """The prefixes of the store whose writes are hints for this relay now."""
        keys = self.member.keys
        return (keys.head, keys.votes, keys.queue) if self.member.is_leader else (keys.head,)

    def due(self) -> float:
        """When `effects` may next say something by itself; -inf: now."""
        if self._effects:
            return -math.inf
        return self._next_due() if self._is_changed else self._quiet_until

    def _next_due(self) -> float:
        times = [self.member.due(), self.coordinator.due(), self._sweep_at]
        if self.poll and self.poll_task:
            times.append(self.poll.due())
            if self._poll_waits:
                times.append(self.member.voting.abstains_until)
        if self._may_need_consent():
            times.append(max(self.consents.due(), self._consent_from()))
        return min(times)

    # What happens to it.

    def handle_watch_event(self, now: float, prefix: str) -> None:
        """Something under a watched prefix was written, or its watch was begun."""
        self._is_changed = True
        if prefix == self.member.keys.head:
            self.member.handle_watch_event()
        self.coordinator.handle_watch_event(now)

    def closed(self, connection: int) -> None:
        """The server's stream ended. Its lease goes on to its end, and its kind is waited for until then."""
        if session := self.sessions.pop(connection, None):
            self._is_changed = True
            until = self._away.get(session.kind, (-math.inf, ""))[0]
            if session.granted_until > until:
                self._away[session.kind] = (session.granted_until, session.name)

    def received(self, now: float, connection: int, message: ServerMessage) -> None:
        if not isinstance(message, Renew) or self._unvoted():
            self._is_changed = True
        if isinstance(message, Register):
            self._register(now, connection, message)
            return
        session = self.sessions.get(connection)
        if session is None:
            sequence = message.sequence if isinstance(message, Renew) else 0
            self._refuse(connection, sequence, RefusalReason.PROTOCOL, "a Register comes first")
            return
        session.heard_at = now
        if isinstance(message, Renew):
            session.version, session.admission_status = message.version, message.admission_status
            self._answer(now, session, message.sequence)
        else:
            self._take_verdict(now, session, message)

    def peer_asked(self, now: float, request: AskConsent) -> Consent:
        """The answer to another relay of the cell."""
        silence = now - self.member.answered_at
        is_heard = silence < self.member.rules.lease_ms * STORE_HEARD_SHARE
        self._is_changed = True
        consent = self.promise.answer(now, request, self.leads(), is_heard)
        self._abstain()
        return consent

    def peer_answered(self, consent: Consent) -> None:
        self._is_changed = True
        self.consents.received(consent)
        self.member.registration.endorsed_until = self.consents.until()

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """How an effect of the store or the disk ended; `sent`: when it was begun."""
        self._is_changed = True
        if effect.lane is Lane.COORDINATE:
            if isinstance(effect, Commit):
                self.member.handle_watch_event()
            if following := self.coordinator.handle_result(now, effect, outcome):
                self._effects.append(following)
        else:
            self.member.handle_result(now, effect, sent, outcome)
            if effect.lane is Lane.STORE and outcome is not None:
                self.coordinator.latency_ms = now - sent
        self._after_store(now)

    def leave(self, now: float) -> None:
        """The relay shuts down: its servers are sent to the others. Its lease is for the caller to give
        back."""
        self._is_leaving = self._is_changed = True
        for connection in list(self.sessions):
            self._refuse(connection, 0, RefusalReason.LEAVING)

    # What it asks for.

    def effects(self, now: float) -> list[RelayEffect]:
        """What is to be begun now. `completed` is owed for those of the store and the disk."""
        if self._is_changed or now >= self._quiet_until:
            self._decide(now)
        begun, self._effects = self._effects, []
        return begun

    def _decide(self, now: float) -> None:
        self._take_store_effects(now)
        self._go_on_polling(now)
        if self._may_need_consent() and now >= self._consent_from():
            self._effects += self.consents.requests(now)
        if now >= self._sweep_at:
            self._sweep(now)
        self._is_changed = False
        self._quiet_until = self._next_due()

    def _take_store_effects(self, now: float) -> None:
        self._review_judgement(now)
        for effect in self.member.effects(now):
            if isinstance(effect, ValidatePolicy):
                self._begin_judging(now, effect)
                continue
            self._effects.append(effect)
            if isinstance(effect, Commit) and effect.purpose == "vote" and not self.member.prepared_vote:
                # A rejection is of this change alone, and stops nobody once it has ended.
                self.member.discard_validation()
        settle = self.coordinator.effects_for(now, self.member)
        if settle:
            self._effects.append(settle)

    # Sessions and leases.

    def _register(self, now: float, connection: int, message: Register) -> None:
        if message.protocol != PROTOCOL_VERSION:
            self._refuse(connection, message.sequence, RefusalReason.PROTOCOL, f"wants {PROTOCOL_VERSION}")
        elif message.fleet != self.identity.fleet:
            self._refuse(connection, message.sequence, RefusalReason.WRONG_FLEET, self.identity.fleet)
        elif not self._has_room(connection, message):
            detail = f"{self.identity.address} has its {self.limits.sessions_most} sessions"
            self._refuse(connection, message.sequence, RefusalReason.FULL, detail)
        elif not self.leads() and not self._is_coming_back(now):
            self._refuse(connection, message.sequence, RefusalReason.NOT_LEADER)
        else:
            session = Session(
                connection,
                message.name,
                message.incarnation,
                message.kind,
                message.zone,
                message.version,
                now,
            )
            session.registered_at = now
            self.sessions[connection] = session
            self._answer(now, session, message.sequence)

    def _has_room(self, connection: int, message: Register) -> bool:
        """An earlier stream of the same process, whose end was not heard of yet, gives up its place."""
        if connection in self.sessions or len(self.sessions) < self.limits.sessions_most:
            return True
        who = (message.name, message.incarnation)
        earlier = (number for number, one in self.sessions.items() if (one.name, one.incarnation) == who)
        if (replaced := next(earlier, None)) is None:
            return False
        self.closed(replaced)
        self._effects.append(EndSession(replaced))
        return True

    def _answer(self, now: float, session: Session, sequence: int) -> None:
        """A lease, or why there is none."""
        span = min(self.limits.span_ms, self.authority_until(now) - now)
        if self._is_coming_back(now):
            session.held = sequence
            return
        if span < GRANT_LEAST_MS:
            reason = RefusalReason.LEAVING if self._is_leaving else RefusalReason.NO_AUTHORITY
            self._refuse(session.connection, sequence, reason, self._why_no_authority(now))
            return
        if self.poll and self._unvoted() and self.poll.is_overdue(now, session.kind):
            detail = "this kind of server was asked about a change and has not answered"
            self._refuse(session.connection, sequence, RefusalReason.UNANSWERED, detail)
            return
        if self._may_be_newer(session):
            session.held = sequence
            self.member.handle_watch_event()
            self._is_changed = True
            return
        known = self.member.known
        self._push(now, session)
        session.held, session.granted_until = 0, now + span
        self._send(session.connection, Grant(sequence, known.version, known.change, span))

    def _is_coming_back(self, now: float) -> bool:
        """Whether it has led until now, has lost its lease of the store, and nobody else may take the cell:
        its servers wait for the moment until it is registered again, and do not try all relays in turn."""
        return not self.leads() and not self._is_leaving and now < self.member.registration.endorsed_until

    def _may_be_newer(self, session: Session) -> bool:
        """Whether the open change may have been committed before that server came. What runs may go by the
        version before for the bound; what starts after a commit may not."""
        member = self.member
        return (
            bool(member.prepared_vote)
            and member.voting.vote_sent
            and member.voting.fresh_at < session.registered_at
        )

    def _why_no_authority(self, now: float) -> str:
        if now < self.promise.until:
            return "it has consented to another relay of its cell"
        return self.member.status_detail or self.member.admission_status(now).description

    def _push(self, now: float, session: Session) -> None:
        """The text in force, to a server that does not go by it."""
        known = self.member.known
        if session.version >= known.version:
            return
        if session.sent_version == known.version and now - session.sent_at < RESEND_MS:
            return
        session.sent_version, session.sent_at = known.version, now
        self._send(session.connection, InForce(known.version, known.change, known.digest, known.text))

    def _refuse(self, connection: int, sequence: int, reason: RefusalReason, detail: str = "") -> None:
        self.refused[reason] += 1
        self._send(connection, Refuse(sequence, reason, detail))
        if reason is not RefusalReason.UNANSWERED:
            self.closed(connection)
            self._effects.append(EndSession(connection))

    def _send(self, connection: int, message: RelayMessage) -> None:
        self._effects.append(SendToServer(connection, message))

    def _sweep(self, now: float) -> None:
        """Sessions of servers that say nothing any more are ended."""
        self._sweep_at = now + SWEEP_MS
        oldest = now - SILENT_SPANS * self.limits.span_ms
        for connection in [c for c, session in self.sessions.items() if session.heard_at < oldest]:
            self.closed(connection)
            self._effects.append(EndSession(connection))
        self._away = {kind: away for kind, away in self._away.items() if away[0] > now}

    # What the servers say of a change.

    def _begin_judging(self, now: float, task: ValidatePolicy) -> None:
        opened = self._unvoted()
        created = opened.created if opened and opened.digest == task.digest else 0
        if not self.poll or not created or created != self._polled:
            self.poll, self._polled = Poll(task.digest, self.verdicts), created
        self.poll_task, self.poll_sent = task, now
        self._go_on_polling(now)

    def _review_judgement(self, now: float) -> None:
        """What servers have said counts for one change, and for the kinds that were here: until the vote is
        sent a new change, a new kind or a no that comes late has the poll go on."""
        opened = self._unvoted()
        if not opened or self.poll_task or self.member.validation_result(opened.digest) is None:
            return
        is_other = not self.poll or self._polled != opened.created
        is_yes = self.member.validation_result(opened.digest) == ""
        if is_other or is_yes and self.poll and self.poll.decided(self._candidates(now)) != "":
            self.member.discard_validation()

    def _unvoted(self) -> OpenChange | None:
        """The open change, while this cell has not voted on it as far as it knows."""
        observed = self.member.observed
        if not observed or observed.voted is not None:
            return None
        return observed.open

    def _go_on_polling(self, now: float) -> None:
        if not self.poll or not self.poll_task:
            return
        if not self._is_open(self.poll.digest):
            # What is in force is not for this relay's servers to refuse; of anything else nothing is known.
            is_in_force = self.member.policies.head > self.member.known.version
            self._end_poll(now, "" if is_in_force else None)
            return
        candidates = list(self._candidates(now))
        for connection in self.poll.ask(now, candidates):
            self._send(connection, AskVerdict(self.poll.digest, self.poll_task.text))
        self._poll_waits = now < self.member.voting.abstains_until
        if self._poll_waits:  # servers are still on their way here
            return
        decided = self.poll.decided(candidates)
        if decided is not None:
            self._end_poll(now, decided)

    def _is_open(self, digest: str) -> bool:
        observed = self.member.observed
        return bool(observed and observed.open and observed.open.digest == digest)

    def _candidates(self, now: float) -> Iterator[Candidate]:
        for session in self.sessions.values():
            if session.granted_until > now:
                yield Candidate(session.connection, session.kind, session.name)
        for kind, (until, name) in self._away.items():
            if until > now:
                yield Candidate(0, kind, name)

    def _take_verdict(self, now: float, session: Session, verdict: Verdict) -> None:
        if self.poll and verdict.digest == self.poll.digest:
            self.poll.answered(session.kind, session.name, verdict.trouble)
            self._go_on_polling(now)
        else:
            self.verdicts.put(session.kind, verdict.digest, verdict.trouble)

    def _end_poll(self, now: float, verdict: str | None) -> None:
        task, sent = self.poll_task, self.poll_sent
        self.poll_task = None
        assert task
        self.member.handle_result(now, task, sent, verdict)
        self._take_store_effects(now)

    # What the store's word leads to.

    def _after_store(self, now: float) -> None:
        leads = self.leads()
        if leads and not self._led:
            self.member.voting.abstains_until = max(self.member.voting.abstains_until, now + TAKEOVER_MS)
        self._led = leads
        for session in [held for held in self.sessions.values() if held.held]:
            if not leads or not self._may_be_newer(session):
                self._answer(now, session, session.held)
        if self.member.known is not self._pushed:
            self._pushed = self.member.known
            for session in self.sessions.values():
                self._push(now, session)

    def _abstain(self) -> None:
        """While the promise binds, this relay neither votes nor grants. Nor does it take the cell over, so
        that the leader finds its place free once it hears the store again."""
        self.member.voting.abstains_until = max(self.member.voting.abstains_until, self.promise.until)
        self.member.registration.registers_from = self.promise.until

    def _may_need_consent(self) -> bool:
        rules = self.member.rules
        return rules.is_shared and rules.absent == "wait" and self.leads()

    def _consent_from(self) -> float:
        """When the store's lease has so little left that the other relays are asked."""
        return self.member.registration.lease_until - self.member.rules.lease_ms * CONSENT_BELOW_SHARE
