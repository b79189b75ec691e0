"""The participant makes a server's decisions in its cell: the server holds a short lease from a relay and
admits requests only while it holds one. The module is pure: it does no I/O and reads no clock.

These rules are sufficient for a server's safety (docs/design/cells.md has the argument):

- A lease counts from the *sending* of the request that it answers, by the server's own monotonic clock, and
  is trusted for nine tenths of its span. So it ends at the server before it ends by the relay's clock.
- A relay grants no lease that outlives its own authority, and a version is past its bound only after the
  authority of every relay that did not vote for the change has ended. So while a lease is valid, the
  version that the server uses is in force, or was in force until less than the bound ago.
- A server that learns of a newer version uses the previous version until it has received the newer text and
  has validated it against its own configuration, but only while a lease for the previous version is valid.
  A server that has no version yet admits nothing until then.
- A server's version never decreases: a relay that announces an older version, or another change with the
  same version number, is not trusted, and its grants are ignored.

`admission_status(now)` is called immediately before an admission, so a server that was frozen or cut off
notices the end of its lease first. A lease is renewed after a quarter of its span. If the relay does not
answer within another quarter, the server connects to the next relay, and the lease stays valid."""

import math
import zlib

from otterrudder.fleet.cell.effects import Connect, Disconnect, ParticipantEffect, SendToRelay
from otterrudder.fleet.cell.identity import ServerIdentity
from otterrudder.fleet.cell.limits import DEFAULT_LEASE_MS
from otterrudder.fleet.cell.messages import (
    MAX_DETAIL_LENGTH,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    PolicyUpdate,
    RefusalReason,
    Registration,
    RelayMessage,
    ServerMessage,
    ValidationRequest,
    ValidationResult,
)
from otterrudder.fleet.cell.relay_selector import RETRY_MS, RelaySelector
from otterrudder.fleet.cell.server_lease import PendingRequests, ServerLease
from otterrudder.fleet.cell.text_validation import TextValidation
from otterrudder.fleet.records import digest_of
from otterrudder.fleet.state import AdmissionStatus, Policy

TRUSTED_SHARE = 0.9  # share of a lease's span that is trusted: the rates of two clocks may differ by a tenth
RENEWAL_SHARE = 0.25  # interval between renewals, as a share of the span
RENEWAL_JITTER = 0.2  # width of the random spread of renewals, as a share of the interval
ANSWER_TIMEOUT_SHARE = 0.25  # timeout of a request, as a share of the span; then the next relay is tried


class Participant:
    """Decides which relay a server asks for a lease, and whether the server may admit.

    Event methods take the current time; `effects` returns the actions that the caller has to perform.
    `status_detail` is for operators."""

    __slots__ = (
        "_effects",
        "_is_open",
        "_relay_distrust_reason",
        "_renew_at",
        "_answer_deadline",
        "_rejection",
        "connection",
        "has_held_lease",
        "newest_version",
        "identity",
        "applied_policy",
        "lease",
        "refusal",
        "requests",
        "selector",
        "span_ms",
        "validation",
    )

    def __init__(
        self, now: float, identity: ServerIdentity, relays: tuple[str, ...], span_ms: float = DEFAULT_LEASE_MS
    ) -> None:
        """`relays`: addresses in the order in which they are tried. `span_ms`: span of a full lease."""
        self.identity = identity
        self.span_ms = span_ms
        self.applied_policy = Policy()  # policy that the server uses
        self.newest_version = 0  # newest version that a relay has announced
        self.has_held_lease = False  # whether the process has held a lease since its start
        self.lease = ServerLease()
        self.requests = PendingRequests()
        self.selector = RelaySelector(now, relays)
        self.validation = TextValidation()
        self.connection = 0  # number of the current connection; 0: none
        self.refusal = ""  # why the last relay granted no lease
        self._relay_distrust_reason = ""  # why the last relay was not trusted
        self._is_open = False
        self._renew_at = math.inf
        self._answer_deadline = math.inf
        self._rejection = ""  # why the server rejects the policy in `applied_policy`
        self._effects: list[ParticipantEffect] = []

    # State.

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns whether the server may admit at `now`, and why not."""
        if not self.has_held_lease:
            return AdmissionStatus.STARTING
        if self._rejection:
            return AdmissionStatus.POLICY_REJECTED
        if now < self.lease.until:
            return AdmissionStatus.SERVING
        return (
            AdmissionStatus.OUTDATED
            if self.newest_version > self.applied_policy.version
            else AdmissionStatus.LEASE_EXPIRED
        )

    def admits(self, now: float) -> int | None:
        """Returns the version under which the server admits; None if it may not admit."""
        return self.applied_policy.version if self.admission_status(now).admits else None

    @property
    def status_detail(self) -> str:
        """Details of the admission status, for operators."""
        return self._rejection or self._relay_distrust_reason or self.refusal

    @property
    def relay(self) -> str:
        """The address of the relay that the server is connected to, or tries next."""
        return self.selector.address

    def due(self) -> float:
        """Returns when `effects` has to be called next if no event arrives; -inf means now."""
        if self._effects:
            return -math.inf
        if not self.connection:
            return self.selector.connect_at
        return min(self._renew_at, self._answer_deadline, self.selector.return_at)

    def effects(self, now: float) -> list[ParticipantEffect]:
        """Returns the effects to start now."""
        if self.connection and now >= self._answer_deadline:
            self.refusal = f"{self.relay} did not answer in time"
            self._leave_relay(now)
        if self.connection and now >= self.selector.return_at:
            self._return_to_preferred(now)
        if not self.connection and now >= self.selector.connect_at:
            self._connect(now)
        if self._is_open and now >= self._renew_at:
            self._renew(now)
        begun, self._effects = self._effects, []
        return begun

    # Events.

    def handle_connected(self, now: float, connection: int) -> None:
        """Handles the opening of the stream to the relay; the server registers on it."""
        if connection != self.connection:
            return
        self._is_open = True
        identity = self.identity
        registration = Registration(
            self._begin_request(now),
            identity.fleet,
            identity.name,
            identity.incarnation,
            identity.fingerprint,
            identity.zone,
            self.applied_policy.version,
        )
        self._send(registration)

    def handle_disconnected(self, now: float, connection: int) -> None:
        """Handles the end of the stream, or a failure to open it."""
        if connection != self.connection:
            return
        self.connection = 0
        self._is_open = False
        self.refusal = f"{self.relay}: the connection ended"
        self._try_next_relay(now)

    def handle_message(self, now: float, connection: int, message: RelayMessage) -> None:
        """Handles a message from a relay. Messages on earlier streams are ignored."""
        if connection != self.connection:
            return
        match message:
            case LeaseGrant():
                self._handle_grant(now, message)
            case PolicyUpdate():
                self._handle_update(now, message)
            case ValidationRequest():
                self._handle_validation_request(now, message)
            case LeaseRefusal():
                self._handle_refusal(now, message)

    def handle_validated(self, now: float, digest: str, rejection: str) -> None:
        """Handles the result of a `ValidateText` effect.

        `rejection`: why the server rejects the text, "" if it accepts it."""
        rejection = rejection[:MAX_DETAIL_LENGTH]
        is_requested = self.validation.complete(digest, rejection)
        if is_requested and self._is_open:
            self._send(ValidationResult(digest, rejection))
        self._switch_version()
        self._validate_next()

    # Grants and refusals.

    def _handle_grant(self, now: float, grant: LeaseGrant) -> None:
        sent_at = self.requests.pop(grant.sequence)
        if sent_at is None:
            return
        if distrust := self._distrust_reason(grant.version, grant.change):
            self._leave_untrusted_relay(now, distrust)
            return
        self._relay_distrust_reason = ""
        self.refusal = ""
        self.has_held_lease = True
        self.newest_version = max(self.newest_version, grant.version)
        self._extend_lease(grant.version, sent_at + grant.span_ms * TRUSTED_SHARE)
        self.selector.confirm()
        span = min(grant.span_ms, self.span_ms)  # a lease with a shorter span is renewed earlier
        spread = 1.0 - RENEWAL_JITTER / 2 + RENEWAL_JITTER * self._jitter("renew")
        self._renew_at = sent_at + span * RENEWAL_SHARE * spread
        self._answer_deadline = math.inf
        self.requests.drop_until(grant.sequence)
        self.selector.schedule_return_to_preferred(now, self._jitter("home"))

    def _extend_lease(self, version: int, until: float) -> None:
        self.lease.extend(self.applied_policy.version, version, until)

    def _distrust_reason(self, version: int, change: str) -> str:
        """Returns why a relay that announces this version is not trusted, "" if it is."""
        if version < self.newest_version:
            return (
                f"{self.relay} announced version {version}, which is older than version {self.newest_version}"
            )
        if version == self.applied_policy.version and change != self.applied_policy.change:
            return f"{self.relay} announced a different change as version {version}"
        return ""

    def _leave_untrusted_relay(self, now: float, reason: str) -> None:
        self._relay_distrust_reason = reason
        self._leave_relay(now)

    def _handle_refusal(self, now: float, refusal: LeaseRefusal) -> None:
        detail = f": {refusal.detail}" if refusal.detail else ""
        self.refusal = f"{self.relay}: {refusal.reason.value}{detail}"
        if refusal.reason is not RefusalReason.UNANSWERED:
            self._leave_relay(now)
            return
        # The relay has sent, or will send, a validation request on this stream, so the stream stays open.
        self.requests.pop(refusal.sequence)
        self._answer_deadline = math.inf
        self._renew_at = now + RETRY_MS

    # Policy texts.

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version <= self.applied_policy.version:
            return
        if digest_of(update.text) != update.digest:
            detail = f"{self.relay}: the text of version {update.version} does not match its digest"
            self._leave_untrusted_relay(now, detail)
            return
        self.newest_version = max(self.newest_version, update.version)
        self.validation.add_update(update)
        self._switch_version()
        self._validate_next()

    def _handle_validation_request(self, now: float, request: ValidationRequest) -> None:
        if digest_of(request.text) != request.digest:
            detail = f"{self.relay}: the text of a validation request does not match its digest"
            self._leave_untrusted_relay(now, detail)
            return
        rejection = self.validation.result(request.digest)
        if rejection is not None:
            self._send(ValidationResult(request.digest, rejection))
            return
        self.validation.add_request(request)
        self._validate_next()

    def _validate_next(self) -> None:
        if task := self.validation.begin_next(self.applied_policy.version):
            self._effects.append(task)

    def _switch_version(self) -> None:
        """Switches to the newest version whose text has been received and validated."""
        for update in self.validation.validated_updates():
            if update.version > self.applied_policy.version:
                self.applied_policy = Policy(update.version, update.change, update.digest, update.text)
                self._rejection = self.validation.result(update.digest) or ""
                self.lease.adopt(update.version)
        self.validation.drop_updates(self.applied_policy.version)

    # The connection to a relay.

    def _connect(self, now: float) -> None:
        self.connection = self.selector.begin_connection()
        self._is_open = False
        self.requests.clear()
        self._answer_deadline = now + self.span_ms * ANSWER_TIMEOUT_SHARE
        self._renew_at = math.inf
        self._effects.append(Connect(self.connection, self.relay))

    def _disconnect(self) -> None:
        self._effects.append(Disconnect(self.connection))
        self.connection = 0
        self._is_open = False

    def _leave_relay(self, now: float) -> None:
        self._disconnect()
        self._try_next_relay(now)

    def _return_to_preferred(self, now: float) -> None:
        """Connects to the first address again; the current lease stays valid in the meantime."""
        self._disconnect()
        self.selector.return_to_preferred(now)

    def _try_next_relay(self, now: float) -> None:
        self.selector.advance()
        self.selector.schedule_connect(now, self._jitter("retry"))

    def _renew(self, now: float) -> None:
        admission_status = self.admission_status(now).label
        self._send(LeaseRenewal(self._begin_request(now), self.applied_policy.version, admission_status))

    def _begin_request(self, now: float) -> int:
        """Records a request that is sent now and returns its sequence number."""
        self._renew_at = math.inf
        self._answer_deadline = now + self.span_ms * ANSWER_TIMEOUT_SHARE
        return self.requests.add(now)

    def _send(self, message: ServerMessage) -> None:
        self._effects.append(SendToRelay(self.connection, message))

    def _jitter(self, purpose: str) -> float:
        """Returns a number from 0 to 1 that differs between servers and requests.

        It is computed from a hash, so a replay gives the same numbers."""
        identity = self.identity
        moment = f"{self.selector.failures}/{self.requests.sequence}"
        seed = f"{identity.name}/{identity.incarnation}/{purpose}/{moment}"
        return zlib.crc32(seed.encode()) / 2**32
