"""A relay: it leads a cell under a lease of the store, votes on changes for it, and grants its servers
leases. Pure.

The cell is a member of the fleet (`fleet/member/`) whose process is a relay. Several relays of a cell
share the member's name; the one whose registration stands in the store leads. What the relay adds:

- A grant never outlives the relay's own authority (`Member.authority_until`), and never lasts longer than
  the bound. So whatever was granted before a vote has ended by the bound after any commit that the vote
  allows, and nothing has to be remembered of grants: a relay that dies, freezes or is cut off leaves leases
  behind that end by themselves.
- A vote follows the results of the servers: one of each fingerprint is asked about the text. A server whose
  lease has lapsed is not asked, and one whose stream has ended is waited for until its lease has lapsed.
  Servers that do not answer get no leases, and are not waited for once those that they had have ended.
- While a change is open that the cell has voted for, a server that has just registered gets its first lease
  after a read of the store that was sent since: what starts after a commit does not admit under the version
  before.
- A relay that takes a cell over does not vote for a moment: until then servers of the former leader may not
  have found it, and would not be asked. So no poll is decided before.
- While the store is unreachable, the leader goes on with the endorsement of all other relays of its cell
  (`endorsement.py`). A relay that has endorsed does not take the cell over while that binds it: it could
  grant nothing, and the leader is to have its place again once the store is back."""

import math

from otterrudder.fleet.cell.cell_validation import CellValidation, undecided_change
from otterrudder.fleet.cell.effects import EndSession, RelayEffect, SendToServer
from otterrudder.fleet.cell.endorsement import EndorsementCollector, EndorsementGiver
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.messages import (
    PROTOCOL_VERSION,
    Endorsement,
    EndorsementRequest,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    PolicyUpdate,
    RefusalReason,
    Registration,
    RelayMessage,
    ServerMessage,
    ValidationResult,
)
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.cell.sessions import Session, SessionTable
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import Keys
from otterrudder.fleet.state import Policy, Rules

MIN_GRANT_MS = 200.0  # a shorter lease would be over before its answer is used
SWEEP_INTERVAL_MS = 1000.0  # between looks for sessions whose server is gone
SILENT_SPANS = 2.0  # spans of a lease without a message, after which a session is ended
TAKEOVER_VOTE_DELAY_MS = 1500.0  # without a vote after a takeover: a server is on its next relay by then
STORE_RESPONSIVE_SHARE = 0.35  # of the store's lease: the store answers if it did within that
ENDORSEMENT_REQUEST_SHARE = 0.6  # of the store's lease left, below which endorsements are asked for


class Relay:
    """Decides for a relay: events with the time in them go in, `effects` hands out what is to be done."""

    __slots__ = (
        "_effects",
        "_has_new_events",
        "_idle_until",
        "_is_shutting_down",
        "_pushed_policy",
        "_sweep_at",
        "_was_leading",
        "endorsement_collector",
        "endorsement_giver",
        "identity",
        "limits",
        "member",
        "refusal_counts",
        "sessions",
        "coordinator",
        "validation",
    )

    def __init__(
        self,
        now: float,
        identity: CellIdentity,
        start: RelayStart,
        rules: Rules,
        limits: RelayLimits = RelayLimits(),  # noqa: B008 (frozen)
    ) -> None:
        """`rules.is_shared` where the cell has more than one relay."""
        if limits.span_ms > rules.bound_ms:
            raise ValueError(f"a lease of {limits.span_ms:g} ms outlasts the bound of {rules.bound_ms:g} ms")
        keys = Keys(identity.fleet)
        self.identity = identity
        self.limits = limits
        self.member = Member(
            now,
            keys,
            identity.cell,
            start.incarnation,
            identity.holder if rules.is_shared else start.directory_id or identity.holder,
            rules,
            lambda text: "",
            record=start.state,
            has_disk=start.has_disk,
            status=start.status,
            cluster=start.cluster,
        )
        self.coordinator = ChangeCoordinator(keys, identity.cell, retains_leadership=True)
        self.sessions = SessionTable(limits.max_sessions)
        self.validation = CellValidation(now)
        self.endorsement_collector = EndorsementCollector(now, identity)
        self.endorsement_giver = EndorsementGiver(now, identity)
        self.refusal_counts: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)
        self._was_leading = False
        self._pushed_policy = Policy()
        self._is_shutting_down = False
        self._sweep_at = now + SWEEP_INTERVAL_MS
        self._effects: list[RelayEffect] = []
        # A renewal asks nothing of the store, and there are hundreds a second: without other events its
        # answer is all that `effects` looks for.
        self._has_new_events = True
        self._idle_until = -math.inf
        self._abstain()

    # Its state.

    def leads(self) -> bool:
        """Whether this relay is registered for its cell, as far as it knows."""
        return self.member.registered > 0

    def authority_until(self, now: float) -> float:
        """Until when leases may be granted that were asked for now; -inf: none may."""
        if now < self.endorsement_giver.until or self._is_shutting_down:
            return -math.inf
        return self.member.authority_until(now)

    def watched(self) -> tuple[str, ...]:
        """The prefixes of the store whose watch events this relay needs now."""
        keys = self.member.keys
        return (keys.head, keys.votes, keys.queue) if self.member.is_leader else (keys.head,)

    def due(self) -> float:
        """When `effects` may next have some without an event; -inf: now."""
        if self._effects:
            return -math.inf
        return self._next_due() if self._has_new_events else self._idle_until

    def _next_due(self) -> float:
        times = [
            self.member.due(),
            self.coordinator.due(),
            self._sweep_at,
            self.validation.due(self.member),
        ]
        if self._may_need_endorsements():
            times.append(max(self.endorsement_collector.due(), self._endorsements_needed_at()))
        return min(times)

    # Events.

    def handle_watch_event(self, now: float, prefix: str) -> None:
        """Something under a watched prefix was written, or its watch was begun."""
        self._has_new_events = True
        if prefix == self.member.keys.head:
            self.member.handle_watch_event()
        self.coordinator.handle_watch_event(now)

    def handle_stream_closed(self, connection: int) -> None:
        """A server's stream has ended. Its lease goes on, and it is waited for until the lease has lapsed."""
        if self.sessions.close(connection):
            self._has_new_events = True

    def handle_message(self, now: float, connection: int, message: ServerMessage) -> None:
        """A server has sent a message."""
        if not isinstance(message, LeaseRenewal) or undecided_change(self.member):
            self._has_new_events = True
        if isinstance(message, Registration):
            self._handle_registration(now, connection, message)
            return
        session = self.sessions.get(connection)
        if session is None:
            sequence = message.sequence if isinstance(message, LeaseRenewal) else 0
            self._refuse(connection, sequence, RefusalReason.PROTOCOL, "a Register comes first")
            return
        session.last_message_at = now
        if isinstance(message, LeaseRenewal):
            session.version = message.version
            session.status = message.admission_status
            self._answer_request(now, session, message.sequence)
        else:
            self._handle_validation_result(now, session, message)

    def handle_endorsement_request(self, now: float, request: EndorsementRequest) -> Endorsement:
        """The answer to another relay of the cell."""
        self._has_new_events = True
        silence_ms = now - self.member.answered_at
        store_answers = silence_ms < self.member.rules.lease_ms * STORE_RESPONSIVE_SHARE
        endorsement = self.endorsement_giver.answer(
            now, request, leads=self.leads(), store_answers=store_answers
        )
        self._abstain()
        return endorsement

    def handle_endorsement(self, endorsement: Endorsement) -> None:
        """Another relay of the cell has answered."""
        self._has_new_events = True
        self.endorsement_collector.handle_endorsement(endorsement)
        self.member.registration.endorsed_until = self.endorsement_collector.until()

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """How an effect of the store or the disk ended; `sent`: when it was begun."""
        self._has_new_events = True
        if effect.lane is Lane.COORDINATE:
            if isinstance(effect, Commit):
                self.member.handle_watch_event()
            if following := self.coordinator.handle_result(now, effect, outcome):
                self._effects.append(following)
        else:
            self.member.handle_result(now, effect, sent, outcome)
            if effect.lane is Lane.STORE and outcome is not None:
                self.coordinator.latency_ms = now - sent
        self._handle_store_outcome(now)

    def begin_shutdown(self) -> None:
        """Sends the servers to the other relays. To give the store's lease back is up to the caller."""
        self._has_new_events = True
        self._is_shutting_down = True
        for connection in self.sessions.connections():
            self._refuse(connection, 0, RefusalReason.SHUTTING_DOWN)

    # Effects.

    def effects(self, now: float) -> list[RelayEffect]:
        """What is to be begun now. The outcome of those of the store and the disk is owed to `completed`."""
        if self._has_new_events or now >= self._idle_until:
            self._decide(now)
        begun, self._effects = self._effects, []
        return begun

    def _decide(self, now: float) -> None:
        self._collect_store_effects(now)
        self._advance_validation(now)
        if self._may_need_endorsements() and now >= self._endorsements_needed_at():
            self._effects += self.endorsement_collector.requests(now)
        if now >= self._sweep_at:
            self._sweep(now)
        self._has_new_events = False
        self._idle_until = self._next_due()

    def _collect_store_effects(self, now: float) -> None:
        self._review_validation(now)
        for effect in self.member.effects(now):
            if isinstance(effect, ValidatePolicy):
                self._start_validation(now, effect)
                continue
            self._effects.append(effect)
            if isinstance(effect, Commit) and effect.purpose == "vote" and not self.member.prepared_vote:
                # A rejection is of this change alone, and stops nobody once it has ended.
                self.member.discard_validation()
        if coordination := self.coordinator.effects_for(now, self.member):
            self._effects.append(coordination)

    # Sessions and leases.

    def _handle_registration(self, now: float, connection: int, message: Registration) -> None:
        sequence = message.sequence
        if message.protocol != PROTOCOL_VERSION:
            self._refuse(connection, sequence, RefusalReason.PROTOCOL, f"wants {PROTOCOL_VERSION}")
        elif message.fleet != self.identity.fleet:
            self._refuse(connection, sequence, RefusalReason.WRONG_FLEET, self.identity.fleet)
        elif not self._make_room(connection, message):
            detail = f"{self.identity.address} has its {self.sessions.max_sessions} sessions"
            self._refuse(connection, sequence, RefusalReason.FULL, detail)
        elif not self.leads() and not self._is_reregistering(now):
            self._refuse(connection, sequence, RefusalReason.NOT_LEADER)
        else:
            session = self.sessions.register(now, connection, message)
            self._answer_request(now, session, sequence)

    def _make_room(self, connection: int, message: Registration) -> bool:
        """Whether there is room; an earlier stream of the same process gives up its place."""
        if self.sessions.has_room(connection):
            return True
        stale = self.sessions.stale_session(message)
        if stale is None:
            return False
        self._end_session(stale.connection)
        return True

    def _answer_request(self, now: float, session: Session, sequence: int) -> None:
        """Grants a lease, refuses it, or defers the answer until a read has shown whether it may."""
        if self._is_reregistering(now):
            session.deferred_request = sequence
            return
        span = min(self.limits.span_ms, self.authority_until(now) - now)
        if span < MIN_GRANT_MS:
            reason = RefusalReason.SHUTTING_DOWN if self._is_shutting_down else RefusalReason.NO_AUTHORITY
            self._refuse(session.connection, sequence, reason, self._authority_detail(now))
            return
        if self._has_overdue_validation(now, session):
            detail = "this kind of server was asked about a change and has not answered"
            self._refuse(session.connection, sequence, RefusalReason.UNANSWERED, detail)
            return
        if self._may_have_missed_commit(session):
            session.deferred_request = sequence
            self.member.handle_watch_event()
            self._has_new_events = True
            return
        self._grant(now, session, sequence, span)

    def _grant(self, now: float, session: Session, sequence: int, span: float) -> None:
        known = self.member.known
        self._push_policy(now, session)
        session.deferred_request = 0
        session.granted_until = now + span
        self._send(session.connection, LeaseGrant(sequence, known.version, known.change, span))

    def _is_reregistering(self, now: float) -> bool:
        """Whether it has led until now, has lost its lease of the store, and nobody else may take the cell.

        Its servers wait until it is registered again, and do not try all relays in turn."""
        if self.leads() or self._is_shutting_down:
            return False
        return now < self.member.registration.endorsed_until

    def _has_overdue_validation(self, now: float, session: Session) -> bool:
        poll = self.validation.poll
        if not poll or not undecided_change(self.member):
            return False
        return poll.is_overdue(now, session.fingerprint)

    def _may_have_missed_commit(self, session: Session) -> bool:
        """Whether the open change may have been committed before that server registered.

        A server that runs may go by the version before for the bound; one that starts after a commit may
        not."""
        if not self.member.prepared_vote:
            return False
        voting = self.member.voting
        return voting.vote_sent and voting.fresh_at < session.registered_at

    def _authority_detail(self, now: float) -> str:
        if now < self.endorsement_giver.until:
            return "it has consented to another relay of its cell"
        return self.member.status_detail or self.member.admission_status(now).description

    def _push_policy(self, now: float, session: Session) -> None:
        """Sends the text in force to a server that does not go by it."""
        known = self.member.known
        if not session.needs_policy(now, known.version):
            return
        session.pushed_version = known.version
        session.pushed_at = now
        update = PolicyUpdate(known.version, known.change, known.digest, known.text)
        self._send(session.connection, update)

    def _refuse(self, connection: int, sequence: int, reason: RefusalReason, detail: str = "") -> None:
        self.refusal_counts[reason] += 1
        self._send(connection, LeaseRefusal(sequence, reason, detail))
        if reason is not RefusalReason.UNANSWERED:
            self._end_session(connection)

    def _end_session(self, connection: int) -> None:
        self.handle_stream_closed(connection)
        self._effects.append(EndSession(connection))

    def _send(self, connection: int, message: RelayMessage) -> None:
        self._effects.append(SendToServer(connection, message))

    def _sweep(self, now: float) -> None:
        """Ends sessions of servers that send nothing any more."""
        self._sweep_at = now + SWEEP_INTERVAL_MS
        for connection in self.sessions.silent_since(now - SILENT_SPANS * self.limits.span_ms):
            self._end_session(connection)
        self.sessions.drop_lapsed(now)

    # The validation of an open change by the servers.

    def _start_validation(self, now: float, task: ValidatePolicy) -> None:
        self.validation.start(now, task, self.member)
        self._advance_validation(now)

    def _review_validation(self, now: float) -> None:
        if self.validation.is_outdated(now, self.member, self.sessions):
            self.member.discard_validation()

    def _advance_validation(self, now: float) -> None:
        step = self.validation.advance(now, self.member, self.sessions)
        for connection in step.connections:
            self._send(connection, self.validation.request())
        if step.is_finished:
            task, started_at = self.validation.finish()
            self.member.handle_result(now, task, started_at, step.result)
            self._collect_store_effects(now)

    def _handle_validation_result(self, now: float, session: Session, result: ValidationResult) -> None:
        belongs_to_poll = self.validation.handle_result(
            session.fingerprint, session.name, result.digest, result.rejection
        )
        if belongs_to_poll:
            self._advance_validation(now)

    # What an answer of the store leads to.

    def _handle_store_outcome(self, now: float) -> None:
        leads = self.leads()
        if leads and not self._was_leading:
            self._abstain_until(now + TAKEOVER_VOTE_DELAY_MS)
        self._was_leading = leads
        self._answer_deferred_requests(now)
        if self.member.known is not self._pushed_policy:
            self._pushed_policy = self.member.known
            for session in self.sessions:
                self._push_policy(now, session)

    def _answer_deferred_requests(self, now: float) -> None:
        for session in [session for session in self.sessions if session.deferred_request]:
            if not self.leads() or not self._may_have_missed_commit(session):
                self._answer_request(now, session, session.deferred_request)

    def _abstain(self) -> None:
        """While its endorsement binds it, this relay neither votes nor grants.

        Nor does it take the cell over, so that the leader finds its place free once the store answers it
        again."""
        self._abstain_until(self.endorsement_giver.until)
        self.member.registration.registers_from = self.endorsement_giver.until

    def _abstain_until(self, until: float) -> None:
        voting = self.member.voting
        voting.abstains_until = max(voting.abstains_until, until)

    def _may_need_endorsements(self) -> bool:
        rules = self.member.rules
        return rules.is_shared and rules.absent == "wait" and self.leads()

    def _endorsements_needed_at(self) -> float:
        """When the store's lease has so little left that the other relays are asked."""
        return self.member.registration.lease_until - self.member.rules.lease_ms * ENDORSEMENT_REQUEST_SHARE
