"""A server's part in its cell: it holds a short lease from a relay and admits under one only. Pure.

Rules, and why they suffice (docs/design/cells.md has the argument):

- A lease counts from the *sending* of the request that it answers, by the server's own monotonic clock, and
  is believed for nine tenths of its span. So it ends here before it ends by the relay's clock.
- A relay grants no lease that outlives its own authority, and a version is past its bound only after the
  authority of every relay that did not promise it has ended. So under any lease that has not ended, the
  version that the server goes by is in force, or was until less than the bound ago.
- Whoever is told of a newer version goes by the one before for as long as a lease for that one lasts, and
  no longer, until it has the newer text and has checked it against its own configuration. Where nothing was
  known before, it admits nothing.
- A version never goes back: a relay that tells of an older one, or of another change under the same number,
  is not believed, and its grants count for nothing.

`standing(now)` is asked at the moment of an admission, so a server that was frozen or cut off finds out
first. A lease is asked for again after a quarter of its span; a relay that does not answer by the next
quarter is left for the next address, while the lease goes on."""

import math
import zlib
from dataclasses import dataclass

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
from otterrudder.fleet.records import digest_of
from otterrudder.fleet.state import Policy, Standing

DEFAULT_LEASE_MS = 3000.0  # ms of a server's lease, unless the fleet's file says otherwise
TRUSTED_SHARE = 0.9  # of the span: two clocks may run apart by a tenth
RENEW_SHARE = 0.25  # of the span, between renewals
SILENT_SHARE = 0.25  # of the span without an answer, after which the next relay is tried
RETRY_MS = 200.0  # ms to the first further try when every relay has refused; doubled each time
MAX_RETRY_MS = 2000.0  # ms between tries at most
HOME_RETRY_MS = 30_000.0  # ms on another relay after which the first address is tried again
MAX_HOME_DOUBLINGS = 4  # of that, one for each try in vain: a standby may lead for days
MAX_PENDING_REQUESTS = 8  # requests without an answer that are remembered
MAX_DOCUMENTS = 2  # texts kept beside the one in force: of the open change, and of a newer version


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a stream to a relay; `connected` or `disconnected` is owed, with this number."""

    connection: int
    relay: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """End a stream; nothing is owed."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendToRelay:
    connection: int
    message: ServerMessage


@dataclass(frozen=True, slots=True)
class CheckText:
    """Check a policy's text against this server's configuration, off the event loop; `checked` is owed."""

    digest: str
    text: str


ParticipantEffect = Connect | Disconnect | SendToRelay | CheckText


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """What a server tells a relay of itself."""

    fleet: str
    name: str
    epoch: str
    kind: str
    zone: str = ""


class Participant:
    __slots__ = (
        "_at",
        "_check",
        "_checked",
        "_connect_at",
        "_effects",
        "_failed",
        "_home_at",
        "_home_tries",
        "_is_open",
        "_newer_until",
        "_newer_version",
        "_next_connection",
        "_pending",
        "_renew_at",
        "_sequence",
        "_silent_at",
        "_texts",
        "_to_answer",
        "_unfit",
        "connection",
        "doubt",
        "head",
        "heard",
        "identity",
        "known",
        "lease_until",
        "refusal",
        "relays",
        "span_ms",
    )

    def __init__(
        self, now: float, identity: ServerIdentity, relays: tuple[str, ...], span_ms: float = DEFAULT_LEASE_MS
    ):
        """`relays`: addresses in the order in which they are tried."""
        self.identity, self.relays, self.span_ms = identity, relays, span_ms
        self.known = Policy()  # goes by it
        self.head = 0  # the newest version that it was told of
        self.heard = False  # a lease was granted in this life
        self.lease_until = -math.inf  # for `known`
        self._newer_version, self._newer_until = 0, -math.inf  # a lease for a version that is not known yet
        self.doubt = ""  # why a relay is not believed
        self.refusal = ""  # why the last relay granted nothing
        self.connection = 0  # 0: none
        self._is_open = False
        self._next_connection = 0
        self._at = 0  # of the relay that is connected to, or tried next
        self._failed = 0  # relays in a row that granted nothing
        self._connect_at = now
        self._home_at = math.inf
        self._home_tries = 0  # in a row that were in vain
        self._sequence = 0
        self._pending: dict[int, float] = {}  # sequence: sent
        self._renew_at = math.inf
        self._silent_at = math.inf
        self._texts: dict[str, PolicyUpdate] = {}  # newer versions by digest, checked or not
        self._check: CheckText | None = None  # under way
        self._checked: dict[str, str] = {}  # digest: what is wrong with it here
        self._to_answer: dict[str, str] = {}  # digest: text, that a relay asks about
        self._unfit = ""
        self._effects: list[ParticipantEffect] = []

    # What it says.

    def standing(self, now: float) -> Standing:
        """At the moment of an admission, by the time of that moment."""
        if not self.heard:
            return Standing.STARTING
        if self._unfit:
            return Standing.UNFIT
        if now < self.lease_until:
            return Standing.SERVING
        return Standing.BEHIND if self.head > self.known.version else Standing.LAPSED

    def admits(self, now: float) -> int | None:
        """The version that it admits under; None: it admits nothing."""
        return self.known.version if self.standing(now).admits else None

    @property
    def why(self) -> str:
        """More on its standing, for operators."""
        return self._unfit or self.doubt or self.refusal

    @property
    def relay(self) -> str:
        """The address that it is connected to, or tries next."""
        return self.relays[self._at]

    def due(self) -> float:
        """When `effects` may next say something by itself; -inf: now."""
        if self._effects:
            return -math.inf
        if not self.connection:
            return self._connect_at
        return min(self._renew_at, self._silent_at, self._home_at)

    # What it asks for.

    def effects(self, now: float) -> list[ParticipantEffect]:
        """What is to be begun now."""
        if self.connection and now >= self._silent_at:
            self.refusal = f"{self.relay} does not answer"
            self._leave(now)
        if self.connection and now >= self._home_at:
            self._go_home(now)
        if not self.connection and now >= self._connect_at:
            self._connect(now)
        if self._is_open and now >= self._renew_at:
            self._renew(now)
        begun, self._effects = self._effects, []
        return begun

    # What happens to it.

    def connected(self, now: float, connection: int) -> None:
        if connection != self.connection:
            return
        self._is_open = True
        identity = self.identity
        self._request(
            now,
            Registration(
                self._sequence + 1,
                identity.fleet,
                identity.name,
                identity.epoch,
                identity.kind,
                identity.zone,
                self.known.version,
            ),
        )

    def disconnected(self, now: float, connection: int) -> None:
        if connection != self.connection:
            return
        self.connection, self._is_open = 0, False
        self.refusal = f"{self.relay}: the connection ended"
        self._next_relay(now)

    def received(self, now: float, connection: int, message: RelayMessage) -> None:
        if connection != self.connection:
            return  # of a stream that was given up
        if isinstance(message, LeaseGrant):
            self._take_grant(now, message)
        elif isinstance(message, PolicyUpdate):
            self._take_text(now, message)
        elif isinstance(message, ValidationRequest):
            self._take_question(now, message)
        else:
            self._take_refusal(now, message)

    def checked(self, now: float, digest: str, trouble: str) -> None:
        """How a CheckText ended: what is wrong with the text here, "" if nothing."""
        trouble = trouble[:MAX_DETAIL_LENGTH]
        self._check = None
        self._checked[digest] = trouble
        while len(self._checked) > MAX_DOCUMENTS + 1:
            del self._checked[next(iter(self._checked))]
        if self._to_answer.pop(digest, None) is not None and self._is_open:
            self._effects.append(SendToRelay(self.connection, ValidationResult(digest, trouble)))
        self._switch(now)
        self._check_next()

    # Grants and refusals.

    def _take_grant(self, now: float, grant: LeaseGrant) -> None:
        sent = self._pending.pop(grant.sequence, None)
        if sent is None:
            return
        if trouble := self._doubt_of(grant.version, grant.change):
            self.doubt = trouble
            self._leave(now)
            return
        self.doubt = self.refusal = ""
        self.heard = True
        self.head = max(self.head, grant.version)
        self._extend(grant.version, sent + grant.span_ms * TRUSTED_SHARE)
        self._failed = 0
        span = min(grant.span_ms, self.span_ms)  # one that was cut short is asked for again the sooner
        self._renew_at = sent + span * RENEW_SHARE * (0.9 + 0.2 * self._chance("renew"))
        self._silent_at = math.inf
        self._pending = {number: at for number, at in self._pending.items() if number > grant.sequence}
        if not self._at:
            self._home_tries = 0
        elif self._home_at == math.inf:
            wait = HOME_RETRY_MS * 2.0**self._home_tries
            self._home_at = now + wait * (0.5 + self._chance("home"))

    def _extend(self, version: int, until: float) -> None:
        if version == self.known.version:
            self.lease_until = max(self.lease_until, until)
        elif version > self._newer_version:
            self._newer_version, self._newer_until = version, until
        else:
            self._newer_until = max(self._newer_until, until)

    def _doubt_of(self, version: int, change: str) -> str:
        if version < self.head:
            return f"{self.relay} tells of version {version}, older than {self.head}"
        if version == self.known.version and change != self.known.change:
            return f"{self.relay} tells of another version {version}"
        return ""

    def _take_refusal(self, now: float, refuse: LeaseRefusal) -> None:
        self.refusal = f"{self.relay}: {refuse.reason.value}" + (
            f": {refuse.detail}" if refuse.detail else ""
        )
        if refuse.reason is RefusalReason.UNANSWERED:  # its question is on the way here: it stays
            self._pending.pop(refuse.sequence, None)
            self._silent_at = math.inf
            self._renew_at = now + RETRY_MS
            return
        self._leave(now)

    # Texts.

    def _take_text(self, now: float, message: PolicyUpdate) -> None:
        if message.version <= self.known.version:
            return
        if digest_of(message.text) != message.digest:
            self.doubt = f"{self.relay}: the text of version {message.version} is damaged"
            self._leave(now)
            return
        self.head = max(self.head, message.version)
        self._texts[message.digest] = message
        while len(self._texts) > MAX_DOCUMENTS:
            del self._texts[next(iter(self._texts))]
        self._switch(now)
        self._check_next()

    def _take_question(self, now: float, question: ValidationRequest) -> None:
        if digest_of(question.text) != question.digest:
            self.doubt = f"{self.relay}: the text that it asks about is damaged"
            self._leave(now)
            return
        trouble = self._checked.get(question.digest)
        if trouble is not None:
            self._effects.append(SendToRelay(self.connection, ValidationResult(question.digest, trouble)))
            return
        self._to_answer[question.digest] = question.text
        while len(self._to_answer) > MAX_DOCUMENTS:
            del self._to_answer[next(iter(self._to_answer))]
        self._check_next()

    def _check_next(self) -> None:
        """One text is checked at a time; what is in force goes first."""
        if self._check:
            return
        newer = [message for message in self._texts.values() if message.version > self.known.version]
        for message in sorted(newer, key=lambda message: -message.version):
            if message.digest not in self._checked:
                self._begin_check(message.digest, message.text)
                return
        for digest, text in self._to_answer.items():
            self._begin_check(digest, text)
            return

    def _begin_check(self, digest: str, text: str) -> None:
        self._check = CheckText(digest, text)
        self._effects.append(self._check)

    def _switch(self, now: float) -> None:
        """Goes over to the newest version whose text is here and checked."""
        for message in sorted(self._texts.values(), key=lambda message: message.version):
            if message.version > self.known.version and message.digest in self._checked:
                self.known = Policy(message.version, message.change, message.digest, message.text)
                self._unfit = self._checked[message.digest]
                if message.version >= self._newer_version:
                    # A lease for the version before holds for this one as well: what could end it comes
                    # later.
                    self.lease_until = max(self.lease_until, self._newer_until)
        self._texts = {d: m for d, m in self._texts.items() if m.version > self.known.version}

    # Its relay.

    def _connect(self, now: float) -> None:
        self._next_connection += 1
        self.connection, self._is_open = self._next_connection, False
        self._pending.clear()
        self._silent_at = now + self.span_ms * SILENT_SHARE
        self._renew_at, self._home_at = math.inf, math.inf
        self._effects.append(Connect(self.connection, self.relay))

    def _leave(self, now: float) -> None:
        self._effects.append(Disconnect(self.connection))
        self.connection, self._is_open = 0, False
        self._next_relay(now)

    def _go_home(self, now: float) -> None:
        """The first address again: if it grants nothing, the others follow, and the lease goes on
        meanwhile."""
        self._home_tries = min(self._home_tries + 1, MAX_HOME_DOUBLINGS)
        self._effects.append(Disconnect(self.connection))
        self.connection, self._is_open = 0, False
        self._at, self._connect_at = 0, now

    def _next_relay(self, now: float) -> None:
        self._failed += 1
        self._at = (self._at + 1) % len(self.relays)
        rounds = self._failed // len(self.relays)
        if rounds == 0:
            self._connect_at = now
            return
        wait = min(RETRY_MS * 2.0 ** min(rounds - 1, 10), MAX_RETRY_MS)
        self._connect_at = now + wait * (0.5 + 0.5 * self._chance("retry"))

    def _renew(self, now: float) -> None:
        standing = self.standing(now).name.lower()
        self._request(now, LeaseRenewal(self._sequence + 1, self.known.version, standing))

    def _request(self, now: float, message: Registration | LeaseRenewal) -> None:
        self._sequence += 1
        self._pending[self._sequence] = now
        while len(self._pending) > MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]
        self._renew_at = math.inf
        self._silent_at = now + self.span_ms * SILENT_SHARE
        self._effects.append(SendToRelay(self.connection, message))

    def _chance(self, what: str) -> float:
        """From 0 to 1, spread over servers and moments, the same in every replay."""
        told = f"{self.identity.name}/{self.identity.epoch}/{what}/{self._failed}/{self._sequence}"
        return zlib.crc32(told.encode()) / 2**32
