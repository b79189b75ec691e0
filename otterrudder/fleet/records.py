"""The fleet's data in the store: its keys, and the records that they hold as JSON. Pure.

    FLEET/head/policy         the policy in force, without its text
    FLEET/head/change         the open change; absent if no change is open
    FLEET/head/settled        the outcomes of the last changes
    FLEET/head/trial          the trial of the policy in force; absent if it is not on trial
    FLEET/head/leader         the name of the member that coordinates changes; attached to its lease
    FLEET/text/DIGEST         the text of a policy, under its digest
    FLEET/opening             a copy of the open change's text, which a read can request in advance
    FLEET/roster/NAME         a member of the fleet, up or down; a change needs its vote
    FLEET/live/NAME           the status of the process that holds the name; attached to its lease
    FLEET/joined              the name of the member that registered last; no member watches it
    FLEET/queue/ID            a waiting change; the queue is ordered by the revisions that created the keys
    FLEET/vote/NAME           the member's vote on the open change; never modified, deleted with the change

The revision that created `head/change` identifies a change: a vote compares it, so a vote that was sent
during an earlier change and arrives during a later one fails.

The names of stored fields are those of the first release; where an attribute is named differently,
`field(name=...)` gives the stored name."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Literal, TypeVar

import msgspec
from msgspec import field

from otterrudder.fleet.store import Snapshot

MAX_TEXT_BYTES = 256 * 1024  # maximum size of a policy: an eighth of the store's request size limit
# The number of finished changes that are retained. The texts are deleted with the older ones, so this is also
# how far back a rollback can go.
MAX_FINISHED_CHANGES = 32
MAX_QUEUED_CHANGES = 4096  # room for two releases of 2,000 changes each, in 1 MB
MAX_NAME_LENGTH = 128  # maximum number of characters of a server's name
MAX_NOTE_LENGTH = 500  # maximum number of characters of a note or a reason
DIGEST_BYTES = 16

Absent = Literal["wait", "leave-out"]  # how a change treats a member whose lease has expired


class _Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class of stored records.

    Fields that a newer program added are ignored. Anything that an older program must not ignore belongs in
    the policy's text, where an unknown key is an error."""


class Trial(_Record, frozen=True):
    """A trial of the policy in force: the fleet rolls the policy back automatically if the mean of a metric,
    over the members that report it, exceeds its bound."""

    change: str  # ID of the change that committed the policy
    version: int
    rollback_digest: str = field(name="back")  # digest of the policy to roll back to
    span_ms: float  # duration of the trial, counted from when its coordinator first sees it
    conditions: tuple[tuple[str, float], ...]  # pairs of a metric and its upper bound


class PolicyHead(_Record, frozen=True):
    """The policy in force, without its text."""

    version: int  # 1 for the first policy, incremented with each committed change
    change: str  # ID of the change that committed the policy
    digest: str
    author: str = ""
    note: str = ""
    # Unix time in ms by the proposer's clock; only shown to operators.
    proposed_at_ms: float = field(default=0.0, name="at")


class Change(_Record, frozen=True):
    """The open change."""

    id: str
    version: int  # version of the policy if the change is committed
    digest: str
    author: str
    note: str = ""
    proposed_at_ms: float = field(default=0.0, name="at")
    deadline_ms: float = 30_000.0  # time until it is aborted, counted from when its coordinator first sees it
    trial: Trial | None = None


class QueuedChange(_Record, frozen=True):
    """A change that waits in the queue. `base` is the digest of the policy that it is based on, or "" if it
    may be applied to any policy."""

    id: str
    digest: str = ""
    author: str = ""
    note: str = ""
    proposed_at_ms: float = field(default=0.0, name="at")
    deadline_ms: float = 30_000.0  # the deadline of the open change, once it is opened
    base: str = ""
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()


class FinishedChange(_Record, frozen=True):
    """The outcome of a change."""

    id: str
    version: int  # version of the policy, or the version that it would have got; 0 if it was never opened
    digest: str
    committed: bool
    reason: str = field(default="", name="why")  # reason for the abort; "" if the change was committed
    author: str = ""
    note: str = ""
    left_out: tuple[str, ...] = ()  # names of the members without whose votes it was committed


class RosterEntry(_Record, frozen=True):
    """A member of the fleet. `directory_id` identifies the only state directory that a server of this name
    may use, because that directory records how the member voted."""

    directory_id: str = field(name="folder")
    absent: Absent


class MemberStatus(_Record, frozen=True):
    """The published status of a member that is up. `incarnation` differs for each process."""

    incarnation: str = field(name="epoch")
    program: str = ""
    zone: str = ""
    version: int = 0  # version of the policy that the member applies; 0 if there is none
    digest: str = ""
    state: str = ""  # label of its admission status
    products: tuple[str, ...] = ()
    metrics: tuple[tuple[str, float], ...] = field(default=(), name="figures")  # the metrics of the trial
    relay: str = ""  # address of the leading relay if the member is a cell


class Vote(_Record, frozen=True):
    """A member's vote on the open change."""

    accepted: bool = field(name="yes")
    reason: str = field(default="", name="why")  # the reason for a rejection; "" if accepted
    incarnation: str = field(default="", name="epoch")


_T = TypeVar("_T", bound=_Record)


def encode(record: _Record) -> bytes:
    """Returns the JSON that is stored for the record."""
    return msgspec.json.encode(record)


def decode(data: bytes, record_type: type[_T]) -> _T:
    """Decodes a stored record. Raises ValueError or MsgspecError if the data is not a record of that type."""
    return msgspec.json.decode(data, type=record_type)


def stored_fields(record: _Record) -> dict[str, Any]:
    """Returns all fields of a record by their stored names, including fields that have their default
    value."""
    return {info.encode_name: getattr(record, info.name) for info in msgspec.structs.fields(record)}


def digest_of(text: str) -> str:
    """Returns the digest of a policy's text, under which the text is stored."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class Keys:
    """The store keys of one fleet. Values that end in a slash are prefixes."""

    __slots__ = (
        "change",
        "finished",
        "fleet",
        "head",
        "joined",
        "leader",
        "opening",
        "policy",
        "queue",
        "rosters",
        "statuses",
        "trial",
        "votes",
    )

    def __init__(self, fleet: str) -> None:
        self.fleet = fleet
        self.head = f"{fleet}/head/"
        self.policy = f"{self.head}policy"
        self.change = f"{self.head}change"
        self.finished = f"{self.head}settled"
        self.trial = f"{self.head}trial"
        self.leader = f"{self.head}leader"
        self.opening = f"{fleet}/opening"
        self.joined = f"{fleet}/joined"
        self.queue = f"{fleet}/queue/"
        self.rosters = f"{fleet}/roster/"
        self.statuses = f"{fleet}/live/"
        self.votes = f"{fleet}/vote/"

    def text(self, digest: str) -> str:
        """Returns the key of the policy text with this digest."""
        return f"{self.fleet}/text/{digest}"

    def queued(self, change_id: str) -> str:
        """Returns the key of a queued change."""
        return f"{self.queue}{change_id}"

    def roster(self, name: str) -> str:
        """Returns the key of a member's roster entry."""
        return f"{self.rosters}{name}"

    def status(self, name: str) -> str:
        """Returns the key of a member's status."""
        return f"{self.statuses}{name}"

    def vote(self, name: str) -> str:
        """Returns the key of a member's vote."""
        return f"{self.votes}{name}"


class InvalidRecordError(Exception):
    """The value of a key is not a valid record, so no decision may be based on it."""


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """A snapshot of the store, decoded into records. Keys that were not part of the read appear as absent.
    Records that can't be decoded raise InvalidRecordError, unless a method says otherwise."""

    keys: Keys
    raw: Snapshot

    @property
    def policy(self) -> PolicyHead | None:
        """The policy in force, or None if no policy was ever committed."""
        return self._record(self.keys.policy, PolicyHead)

    @property
    def change(self) -> Change | None:
        """The open change, or None."""
        return self._record(self.keys.change, Change)

    @property
    def trial(self) -> Trial | None:
        """The trial of the policy in force, or None."""
        return self._record(self.keys.trial, Trial)

    @property
    def finished(self) -> list[FinishedChange]:
        """The retained outcomes of past changes, oldest first."""
        entry = self.raw.entries.get(self.keys.finished)
        try:
            return msgspec.json.decode(entry.value, type=list[FinishedChange]) if entry else []
        except (ValueError, msgspec.MsgspecError) as error:
            raise InvalidRecordError(f"{self.keys.finished}: {error}") from None

    @property
    def queue(self) -> list[QueuedChange]:
        """The waiting changes in the order of their turns. Entries that can't be decoded are skipped."""
        entries = self.raw.entries
        keys = [key for key in entries if key.startswith(self.keys.queue)]
        waiting = []
        for key in sorted(keys, key=lambda key: entries[key].created):
            try:
                waiting.append(decode(entries[key].value, QueuedChange))
            except (ValueError, msgspec.MsgspecError):
                continue
        return waiting

    @property
    def leader(self) -> str:
        """The name of the leading member, or "" if there is no leader."""
        entry = self.raw.entries.get(self.keys.leader)
        return entry.value.decode("utf-8", "replace") if entry else ""

    @property
    def rosters(self) -> dict[str, RosterEntry]:
        """The roster entries of all members of the fleet, by name."""
        return self._records(self.keys.rosters, RosterEntry)

    @property
    def statuses(self) -> dict[str, MemberStatus]:
        """The statuses of the members that are up, by name. A member whose status can't be decoded still
        counts as up: one server's fault must not stop a change."""
        return self._records(self.keys.statuses, MemberStatus, MemberStatus(""))

    @property
    def votes(self) -> dict[str, Vote]:
        """The votes by member name. A vote that can't be decoded counts as a rejection."""
        return self._records(self.keys.votes, Vote, Vote(False, "its vote can't be read"))

    def roster(self, name: str) -> RosterEntry | None:
        """Returns a member's roster entry, or None if it is not a member of the fleet."""
        return self._record(self.keys.roster(name), RosterEntry)

    def status(self, name: str) -> MemberStatus | None:
        """Returns a member's status, or None if it is not up."""
        return self._record(self.keys.status(name), MemberStatus)

    def vote(self, name: str) -> Vote | None:
        """Returns a member's vote, or None if it has not voted."""
        return self._record(self.keys.vote(name), Vote)

    def text(self, digest: str) -> str | None:
        """Returns the policy text with this digest, or None if the snapshot has no text that matches it."""
        for key in (self.keys.text(digest), self.keys.opening):
            entry = self.raw.entries.get(key)
            text = entry.value.decode("utf-8", "replace") if entry else None
            if text is not None and digest_of(text) == digest:
                return text
        return None

    def _record(self, key: str, record_type: type[_T]) -> _T | None:
        entry = self.raw.entries.get(key)
        try:
            return decode(entry.value, record_type) if entry else None
        except (ValueError, msgspec.MsgspecError) as error:
            raise InvalidRecordError(f"{key}: {error}") from None

    def _records(self, prefix: str, record_type: type[_T], invalid: _T | None = None) -> dict[str, _T]:
        """Returns the records under a prefix, by the rest of their keys. A record that can't be decoded is
        replaced by `invalid`; without `invalid`, InvalidRecordError is raised."""
        records: dict[str, _T] = {}
        for key in sorted(key for key in self.raw.entries if key.startswith(prefix)):
            try:
                record = self._record(key, record_type)
            except InvalidRecordError:
                if invalid is None:
                    raise
                record = invalid
            if record:
                records[key.removeprefix(prefix)] = record
        return records
