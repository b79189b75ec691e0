"""A relay leads a cell under a lease from the store, votes on policy changes for the cell, and grants leases
to the cell's servers. The module is pure: it does no I/O and reads no clock.

The cell is a member of the fleet (`fleet/member/`) whose process is a relay. Several relays of a cell
share the member's name; the relay whose registration is in the store leads. The relay adds these rules:

- A server's lease never outlives the relay's own authority (`Member.authority_until`), and never lasts
  longer than the bound. So every lease granted before a vote has ended by the bound after any commit that
  the vote allows, and a relay does not have to store its grants: the leases of a relay that crashes, freezes
  or is cut off end by themselves.
- A vote depends on the validation results of the servers: one server of each fingerprint is asked about the
  text. A server whose lease has lapsed is not asked, and a server whose stream has ended is waited for until
  its lease has lapsed. Servers that do not answer get no leases, and are not waited for once the leases that
  they hold have ended.
- While a change that the cell has voted for is open, a server that has just registered gets its first lease
  only after a read of the store that was sent after the registration. So a server that starts after a commit
  does not admit under the previous version.
- A relay that takes a cell over does not vote for TAKEOVER_VOTE_DELAY_MS: until then some servers of the
  former leader may not have connected to it, and would not be asked. No poll is decided earlier.
- While the store is unreachable, the leader keeps its authority if all other relays of its cell endorse it
  (`endorsement.py`). A relay that has given an endorsement does not take the cell over while the endorsement
  binds it: it could grant no leases, and the leader has to find its registration free once the store is
  reachable again."""

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

MIN_GRANT_MS = 200.0  # a shorter lease could end before the server receives it
SWEEP_INTERVAL_MS = 1000.0  # interval between checks for sessions whose server sends nothing any more
SILENT_SPANS = 2.0  # a session is ended after this many lease spans without a message
TAKEOVER_VOTE_DELAY_MS = 1500.0  # no vote for this long after a takeover: servers reconnect within it
# The store counts as reachable if it answered within this share of the relay's store lease.
STORE_RESPONSIVE_SHARE = 0.35
# Endorsements are requested once less than this share of the relay's store lease is left.
ENDORSEMENT_REQUEST_SHARE = 0.6


class Relay:
    """Makes a relay's decisions. Event methods take the current time; `effects` returns the actions that
    the caller has to perform."""

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
        """`rules.is_shared` has to be True if the cell has more than one relay."""
        if limits.span_ms > rules.bound_ms:
            raise ValueError(
                f"a server lease of {limits.span_ms:g} ms is longer than the bound of {rules.bound_ms:g} ms"
            )
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
        # A lease renewal needs no request to the store, and there are hundreds a second. Without other
        # events, `effects` only returns the answers to renewals and skips all other decisions.
        self._has_new_events = True
        self._idle_until = -math.inf
        self._abstain()

    # State.

    def leads(self) -> bool:
        """Whether this relay is registered for its cell, according to its last answer from the store."""
        return self.member.registered > 0

    def authority_until(self, now: float) -> float:
        """Returns the latest time at which a lease requested now may end; -inf if none may be granted."""
        if now < self.endorsement_giver.until or self._is_shutting_down:
            return -math.inf
        return self.member.authority_until(now)

    def watched_prefixes(self) -> tuple[str, ...]:
        """Returns the key prefixes of the store that this relay needs watches on now."""
        keys = self.member.keys
        return (keys.head, keys.votes, keys.queue) if self.member.is_leader else (keys.head,)

    def due(self) -> float:
        """Returns when `effects` has to be called next if no event arrives; -inf means now."""
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
        """Handles a write under a watched prefix, or the start of a watch on it."""
        self._has_new_events = True
        if prefix == self.member.keys.head:
            self.member.handle_watch_event()
        self.coordinator.handle_watch_event(now)

    def handle_stream_closed(self, connection: int) -> None:
        """Handles the end of a server's stream. Its lease stays valid, and validation waits for the server
        until the lease has lapsed."""
        if self.sessions.close(connection):
            self._has_new_events = True

    def handle_message(self, now: float, connection: int, message: ServerMessage) -> None:
        """Handles a message from a server."""
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
        """Returns the answer to a request from another relay of the cell."""
        self._has_new_events = True
        silence_ms = now - self.member.answered_at
        store_answers = silence_ms < self.member.rules.lease_ms * STORE_RESPONSIVE_SHARE
        endorsement = self.endorsement_giver.answer(
            now, request, leads=self.leads(), store_answers=store_answers
        )
        self._abstain()
        return endorsement

    def handle_endorsement(self, endorsement: Endorsement) -> None:
        """Handles the answer of another relay of the cell."""
        self._has_new_events = True
        self.endorsement_collector.handle_endorsement(endorsement)
        self.member.registration.endorsed_until = self.endorsement_collector.until()

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """Handles the outcome of a store or disk effect; `sent` is the time at which it was started."""
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
        """Ends all sessions, so that the servers connect to other relays.

        The caller has to revoke the relay's store lease."""
        self._has_new_events = True
        self._is_shutting_down = True
        for connection in self.sessions.connections():
            self._refuse(connection, 0, RefusalReason.SHUTTING_DOWN)

    # Effects.

    def effects(self, now: float) -> list[RelayEffect]:
        """Returns the effects to start now.

        The outcome of each store or disk effect has to be passed to `handle_result`."""
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
                # A rejection applies to this change only; it must not affect a later change.
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
        """Returns whether there is room for a session, after ending an earlier session of the same process
        if the table is full."""
        if self.sessions.has_room(connection):
            return True
        stale = self.sessions.stale_session(message)
        if stale is None:
            return False
        self._end_session(stale.connection)
        return True

    def _answer_request(self, now: float, session: Session, sequence: int) -> None:
        """Grants or refuses a lease, or defers the answer until a read of the store has shown whether a
        lease may be granted."""
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
        policy = self.member.applied_policy
        self._push_policy(now, session)
        session.deferred_request = 0
        session.granted_until = now + span
        self._send(session.connection, LeaseGrant(sequence, policy.version, policy.change, span))

    def _is_reregistering(self, now: float) -> bool:
        """Whether this relay has lost its store lease, but the endorsements still keep other relays from
        taking the cell over.

        Its servers wait until it is registered again, so they do not have to try all relays in turn."""
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

        After a commit, a running server may use the previous version until the bound has passed; a server
        that starts after the commit may not use it."""
        if not self.member.prepared_vote:
            return False
        voting = self.member.voting
        return voting.vote_sent and voting.confirmed_open_at < session.registered_at

    def _authority_detail(self, now: float) -> str:
        if now < self.endorsement_giver.until:
            return "it has consented to another relay of its cell"
        return self.member.status_detail or self.member.admission_status(now).description

    def _push_policy(self, now: float, session: Session) -> None:
        """Sends the policy in force to a server that uses an older version."""
        policy = self.member.applied_policy
        if not session.needs_policy(now, policy.version):
            return
        session.pushed_version = policy.version
        session.pushed_at = now
        update = PolicyUpdate(policy.version, policy.change, policy.digest, policy.text)
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
        """Ends the sessions of servers that have stopped sending messages."""
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

    # Outcomes of store effects.

    def _handle_store_outcome(self, now: float) -> None:
        leads = self.leads()
        if leads and not self._was_leading:
            self._abstain_until(now + TAKEOVER_VOTE_DELAY_MS)
        self._was_leading = leads
        self._answer_deferred_requests(now)
        if self.member.applied_policy is not self._pushed_policy:
            self._pushed_policy = self.member.applied_policy
            for session in self.sessions:
                self._push_policy(now, session)

    def _answer_deferred_requests(self, now: float) -> None:
        for session in [session for session in self.sessions if session.deferred_request]:
            if not self.leads() or not self._may_have_missed_commit(session):
                self._answer_request(now, session, session.deferred_request)

    def _abstain(self) -> None:
        """Keeps this relay from voting and from registering while its endorsement of the leader binds it.

        It does not register, so that the leader can register again once the store answers."""
        self._abstain_until(self.endorsement_giver.until)
        self.member.registration.register_not_before = self.endorsement_giver.until

    def _abstain_until(self, until: float) -> None:
        voting = self.member.voting
        voting.abstains_until = max(voting.abstains_until, until)

    def _may_need_endorsements(self) -> bool:
        rules = self.member.rules
        return rules.is_shared and rules.absent == "wait" and self.leads()

    def _endorsements_needed_at(self) -> float:
        """Returns when so little of the store lease is left that endorsements have to be requested."""
        return self.member.registration.lease_until - self.member.rules.lease_ms * ENDORSEMENT_REQUEST_SHARE
