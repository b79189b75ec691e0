"""What the fleet keeps in the store: the keys, the records behind them, and their form (JSON). Pure.

    FLEET/head/policy         the policy in force: its head, never its text
    FLEET/head/change         the change that is open; absent: none is
    FLEET/head/settled        how the last changes ended
    FLEET/head/trial          what the policy in force is on trial for; absent: it is for good
    FLEET/head/leader         the member that coordinates changes; depends on its lease
    FLEET/text/DIGEST         a policy's text, named by its digest
    FLEET/opening             the open change's text once more: a read can name it before it knows the change
    FLEET/roster/NAME         who is of the fleet, whether up or not; a change needs its vote
    FLEET/live/NAME           the process that has the name now; depends on its lease
    FLEET/joined              who registered last; watched by nobody
    FLEET/queue/ID            a change that waits for its turn; the store's revisions give the order
    FLEET/vote/NAME           its vote on the open change; never changed, deleted with the change

The revision that created `head/change` identifies a change: a vote compares it, so a vote that was sent
during an earlier change, and arrives in a later one, fails.

The names of stored fields are those of the first release; where the attribute has another one, it is given by
`field(name=...)`."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Literal, TypeVar

import msgspec
from msgspec import field

from otterrudder.fleet.store import Snapshot

MAX_TEXT_BYTES = 256 * 1024  # of a policy: an eighth of what the engine takes in a request
MAX_FINISHED_CHANGES = 32  # that are kept; their texts go with them, so a rollback reaches so far
MAX_QUEUED_CHANGES = 4096  # a release of 2,000 twice over, in 1 MB
MAX_NAME_LENGTH = 128  # characters of a server's name
MAX_NOTE_LENGTH = 500  # characters of a note or a reason
DIGEST_BYTES = 16

Absent = Literal["wait", "leave-out"]  # what a change does about a member whose lease has lapsed


class _Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Fields that a newer program added are ignored: what must not be is in a policy's text."""


class Trial(_Record, frozen=True):
    """A policy that is in force for now: the fleet rolls it back by itself if a metric, in the mean of those
    who report it, is above its bound."""

    change: str  # that brought it
    version: int
    rollback_digest: str = field(name="back")  # of the policy to return to
    span_ms: float  # from when it is first seen by whoever watches it
    conditions: tuple[tuple[str, float], ...]  # a metric and its bound


class PolicyHead(_Record, frozen=True):
    """The policy in force, without its text."""

    version: int  # 1 for the first, then one more with each that is committed
    change: str  # the change that brought it
    digest: str
    author: str = ""
    note: str = ""
    proposed_at_ms: float = field(default=0.0, name="at")  # Unix time by the proposer's clock, for people


class Change(_Record, frozen=True):
    """The change that is open."""

    id: str
    version: int  # that it would have
    digest: str
    author: str
    note: str = ""
    proposed_at_ms: float = field(default=0.0, name="at")
    deadline_ms: float = 30_000.0  # from when it is first seen by whoever coordinates it
    trial: Trial | None = None


class QueuedChange(_Record, frozen=True):
    """A change that waits. `base`: the digest of the policy that it was made from; "": of any."""

    id: str
    digest: str = ""
    author: str = ""
    note: str = ""
    proposed_at_ms: float = field(default=0.0, name="at")
    deadline_ms: float = 30_000.0  # from when it is opened
    base: str = ""
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()


class FinishedChange(_Record, frozen=True):
    """How a change ended."""

    id: str
    version: int  # that it has, or would have had
    digest: str
    committed: bool
    reason: str = field(default="", name="why")  # of an abort
    author: str = ""
    note: str = ""
    left_out: tuple[str, ...] = ()  # the members without whose vote it was committed


class RosterEntry(_Record, frozen=True):
    """A member that is of the fleet. `directory_id` names the state directory that may serve under this name:
    its disk remembers what was voted."""

    directory_id: str = field(name="folder")
    absent: Absent


class MemberStatus(_Record, frozen=True):
    """What others may know of a member that is up; `incarnation` is new with each process."""

    incarnation: str = field(name="epoch")
    program: str = ""
    zone: str = ""
    version: int = 0  # of the policy that it admits under; 0: none
    digest: str = ""
    state: str = ""  # the label of its admission status
    products: tuple[str, ...] = ()
    metrics: tuple[tuple[str, float], ...] = field(default=(), name="figures")  # that a trial asks for
    relay: str = ""  # the address of the relay that leads, where the member is a cell


class Vote(_Record, frozen=True):
    """A member's vote on the open change."""

    accepted: bool = field(name="yes")
    reason: str = field(default="", name="why")  # of a rejection: what is wrong and where
    incarnation: str = field(default="", name="epoch")


_T = TypeVar("_T", bound=_Record)


def encode(record: _Record) -> bytes:
    """The record as it is stored."""
    return msgspec.json.encode(record)


def decode(data: bytes, record_type: type[_T]) -> _T:
    """Raises ValueError or MsgspecError: it is no such record."""
    return msgspec.json.decode(data, type=record_type)


def stored_fields(record: _Record) -> dict[str, Any]:
    """All fields of a record, those with their defaults as well, by the names that they are stored under."""
    return {one.encode_name: getattr(record, one.name) for one in msgspec.structs.fields(record)}


def digest_of(text: str) -> str:
    """The name of a policy's text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class Keys:
    """The keys of one fleet; those that end in a slash are prefixes."""

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
        """Of a policy's text."""
        return f"{self.fleet}/text/{digest}"

    def queued(self, change_id: str) -> str:
        """Of a change that waits."""
        return f"{self.queue}{change_id}"

    def roster(self, name: str) -> str:
        """Of a member's entry on the roster."""
        return f"{self.rosters}{name}"

    def status(self, name: str) -> str:
        """Of the process that has a member's name."""
        return f"{self.statuses}{name}"

    def vote(self, name: str) -> str:
        """Of a member's vote."""
        return f"{self.votes}{name}"


class InvalidRecordError(Exception):
    """A key has what is no record of ours: nothing is decided on it."""


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """A snapshot of the store as records; what was not asked for looks absent. Records that can't be read
    raise InvalidRecordError, unless a method says otherwise."""

    keys: Keys
    raw: Snapshot

    @property
    def policy(self) -> PolicyHead | None:
        """In force; None: none was ever committed."""
        return self._record(self.keys.policy, PolicyHead)

    @property
    def change(self) -> Change | None:
        """The open one."""
        return self._record(self.keys.change, Change)

    @property
    def trial(self) -> Trial | None:
        """Of the policy in force."""
        return self._record(self.keys.trial, Trial)

    @property
    def finished(self) -> list[FinishedChange]:
        """The last changes, the oldest first."""
        entry = self.raw.entries.get(self.keys.finished)
        try:
            return msgspec.json.decode(entry.value, type=list[FinishedChange]) if entry else []
        except (ValueError, msgspec.MsgspecError) as error:
            raise InvalidRecordError(f"{self.keys.finished}: {error}") from None

    @property
    def queue(self) -> list[QueuedChange]:
        """In the order of their turns. An entry that can't be read is passed over."""
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
        """The name of the member that leads; "": none does."""
        entry = self.raw.entries.get(self.keys.leader)
        return entry.value.decode("utf-8", "replace") if entry else ""

    @property
    def rosters(self) -> dict[str, RosterEntry]:
        """All members of the fleet, by name."""
        return self._records(self.keys.rosters, RosterEntry)

    @property
    def statuses(self) -> dict[str, MemberStatus]:
        """The members that are up, by name. One that can't be read is up all the same: one server's fault
        must not stop a change."""
        return self._records(self.keys.statuses, MemberStatus, MemberStatus(""))

    @property
    def votes(self) -> dict[str, Vote]:
        """By the member's name. One that can't be read is a rejection."""
        return self._records(self.keys.votes, Vote, Vote(False, "its vote can't be read"))

    def roster(self, name: str) -> RosterEntry | None:
        """A member's entry; None: it is not of the fleet."""
        return self._record(self.keys.roster(name), RosterEntry)

    def status(self, name: str) -> MemberStatus | None:
        """A member's status; None: it is not up."""
        return self._record(self.keys.status(name), MemberStatus)

    def vote(self, name: str) -> Vote | None:
        """A member's vote; None: it has not voted."""
        return self._record(self.keys.vote(name), Vote)

    def text(self, digest: str) -> str | None:
        """A policy's text; None: it is not there. One whose digest is not its name is not there either."""
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
        """By what follows the prefix. `invalid`: what stands for a record that can't be read."""
        found: dict[str, _T] = {}
        for key in sorted(key for key in self.raw.entries if key.startswith(prefix)):
            try:
                record = self._record(key, record_type)
            except InvalidRecordError:
                if invalid is None:
                    raise
                record = invalid
            if record:
                found[key.removeprefix(prefix)] = record
        return found
