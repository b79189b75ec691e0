"""What the fleet keeps in the store: the keys, the records behind them, and their form (JSON). Pure.

    FLEET/head/policy         the policy in force: its head, never its text
    FLEET/head/change         the change that is open; absent: none is
    FLEET/head/settled        how the last changes ended
    FLEET/head/trial          what the policy in force is on trial for; absent: it is for good
    FLEET/head/leader           the member that settles a change nobody else does; hangs on its lease
    FLEET/text/DIGEST         a policy's text, named by what it says
    FLEET/opening             the open change's text once more: a read can name it before it knows the change
    FLEET/roster/NAME         who is of the fleet, whether up or not; a change needs its vote
    FLEET/live/NAME           the life that has the name now; hangs on its lease
    FLEET/joined              who registered last; watched by nobody
    FLEET/queue/ID            a change that waits for its turn; the store's revisions give the order
    FLEET/vote/NAME           what it says of the open change; never changed, gone with the change

The revision that created `head/change` names a change beyond doubt: a vote compares it, so a vote that was
sent in an earlier change, and arrives in a later one, falls."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Literal, TypeVar

import msgspec

from otterrudder.fleet.store import Snapshot

MAX_TEXT_BYTES = 256 * 1024  # bytes of a policy: an eighth of what the engine takes in a request
MAX_FINISHED_CHANGES = 32  # ends of changes that are kept; their texts go with them, so `back` reaches so far
MAX_QUEUED_CHANGES = 4096  # changes that wait: a release of 2,000 twice over, in 1 MB
MAX_NAME_LENGTH = 128  # characters of a server's name
MAX_NOTE_LENGTH = 500  # characters of a note or a reason

Absent = Literal["wait", "leave-out"]


class _Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Fields that a newer program added are passed over: what must not be is in a policy's text."""


class Trial(_Record, frozen=True):
    """A policy that is in force for now: the fleet goes back by itself if a figure, in the mean of those who
    tell it, is above its bound."""

    change: str  # that brought it
    version: int
    rollback_digest: str = msgspec.field(name="back")  # of the policy to return to
    span_ms: float  # from when it is first seen by whoever watches it
    conditions: tuple[tuple[str, float], ...]  # a figure and its bound


class PolicyHead(_Record, frozen=True):
    version: int  # 1 for the first, then one more with each that is committed
    change: str  # the change that brought it
    digest: str
    author: str = ""
    note: str = ""
    proposed_at_ms: float = msgspec.field(default=0.0, name="at")  # Unix time, by the proposer's clock


class Change(_Record, frozen=True):
    id: str
    version: int  # that it would have
    digest: str
    author: str
    note: str = ""
    proposed_at_ms: float = msgspec.field(default=0.0, name="at")  # Unix time, by the proposer's clock
    deadline_ms: float = 30_000.0  # from when it is first seen by whoever settles it
    trial: Trial | None = None


class QueuedChange(_Record, frozen=True):
    """A change that waits. `base`: the digest of the policy that it was made from; "": of any."""

    id: str
    digest: str = ""
    author: str = ""
    note: str = ""
    proposed_at_ms: float = msgspec.field(default=0.0, name="at")  # Unix time, by the proposer's clock
    deadline_ms: float = 30_000.0  # from when it is opened
    base: str = ""
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()


class FinishedChange(_Record, frozen=True):
    id: str
    version: int  # that it has, or would have had
    digest: str
    committed: bool
    reason: str = msgspec.field(default="", name="why")
    author: str = ""
    note: str = ""
    left_out: tuple[str, ...] = ()


class RosterEntry(_Record, frozen=True):
    """`folder` names the folder that may serve under this name: its disk remembers what was voted."""

    directory_id: str = msgspec.field(name="folder")
    absent: Absent


class MemberStatus(_Record, frozen=True):
    """What others may know of a member; `epoch` is new with each life."""

    incarnation: str = msgspec.field(name="epoch")
    program: str = ""
    zone: str = ""
    version: int = 0  # of the policy it admits under; 0: none
    digest: str = ""
    state: str = ""
    products: tuple[str, ...] = ()
    metrics: tuple[tuple[str, float], ...] = msgspec.field(
        default=(), name="figures"
    )  # that a trial asks for
    relay: str = ""  # the address of the relay that leads, where the member is a cell


class Vote(_Record, frozen=True):
    accepted: bool = msgspec.field(name="yes")
    reason: str = msgspec.field(default="", name="why")  # of a rejection: what is wrong and where
    incarnation: str = msgspec.field(default="", name="epoch")


_T = TypeVar("_T", bound=_Record)


def encode(record: _Record) -> bytes:
    return msgspec.json.encode(record)


def stored_fields(record: _Record) -> dict[str, Any]:
    """All fields of a record, those with their defaults as well, by the names that they are stored under."""
    return {field.encode_name: getattr(record, field.name) for field in msgspec.structs.fields(record)}


def decode(data: bytes, kind: type[_T]) -> _T:
    """ValueError: it is no such record."""
    return msgspec.json.decode(data, type=kind)


def digest_of(text: str) -> str:
    return blake2b(text.encode(), digest_size=16).hexdigest()


class Keys:
    """The keys of one fleet; those that end in a slash are prefixes."""

    __slots__ = (
        "change",
        "leader",
        "fleet",
        "head",
        "joined",
        "statuses",
        "opening",
        "policy",
        "queue",
        "rosters",
        "finished",
        "trial",
        "votes",
    )

    def __init__(self, fleet: str) -> None:
        self.fleet, self.joined = fleet, f"{fleet}/joined"
        self.queue, self.opening = f"{fleet}/queue/", f"{fleet}/opening"
        self.rosters, self.statuses, self.votes = (f"{fleet}/{what}/" for what in ("roster", "live", "vote"))
        self.head = head = f"{fleet}/head/"
        self.policy, self.change, self.finished = f"{head}policy", f"{head}change", f"{head}settled"
        self.leader, self.trial = f"{head}leader", f"{head}trial"

    def text(self, digest: str) -> str:
        return f"{self.fleet}/text/{digest}"

    def queued(self, ident: str) -> str:
        return f"{self.queue}{ident}"

    def roster(self, name: str) -> str:
        return f"{self.rosters}{name}"

    def status(self, name: str) -> str:
        return f"{self.statuses}{name}"

    def vote(self, name: str) -> str:
        return f"{self.votes}{name}"


class InvalidRecordError(Exception):
    """A key holds what is no record of ours: nothing is decided on it."""


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """A snapshot as records; what was not asked for looks absent."""

    keys: Keys
    raw: Snapshot

    def _one(self, key: str, kind: type[_T]) -> _T | None:
        entry = self.raw.entries.get(key)
        try:
            return decode(entry.value, kind) if entry else None
        except (ValueError, msgspec.MsgspecError) as why:
            raise InvalidRecordError(f"{key}: {why}") from None

    def _under(self, prefix: str, kind: type[_T], unread: _T | None = None) -> dict[str, _T]:
        """By what follows the prefix. `unread`: what stands for a record that can't be read."""
        found: dict[str, _T] = {}
        for key in sorted(key for key in self.raw.entries if key.startswith(prefix)):
            try:
                record = self._one(key, kind)
            except InvalidRecordError:
                if unread is None:
                    raise
                record = unread
            if record:
                found[key.removeprefix(prefix)] = record
        return found

    @property
    def policy(self) -> PolicyHead | None:
        return self._one(self.keys.policy, PolicyHead)

    @property
    def change(self) -> Change | None:
        return self._one(self.keys.change, Change)

    @property
    def trial(self) -> Trial | None:
        return self._one(self.keys.trial, Trial)

    @property
    def finished(self) -> list[FinishedChange]:
        """The oldest first."""
        entry = self.raw.entries.get(self.keys.finished)
        try:
            return msgspec.json.decode(entry.value, type=list[FinishedChange]) if entry else []
        except (ValueError, msgspec.MsgspecError) as why:
            raise InvalidRecordError(f"{self.keys.finished}: {why}") from None

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
        """Whose it is; "": nobody's."""
        entry = self.raw.entries.get(self.keys.leader)
        return entry.value.decode("utf-8", "replace") if entry else ""

    def roster(self, name: str) -> RosterEntry | None:
        return self._one(self.keys.roster(name), RosterEntry)

    def status(self, name: str) -> MemberStatus | None:
        return self._one(self.keys.status(name), MemberStatus)

    def vote(self, name: str) -> Vote | None:
        return self._one(self.keys.vote(name), Vote)

    @property
    def rosters(self) -> dict[str, RosterEntry]:
        return self._under(self.keys.rosters, RosterEntry)

    @property
    def statuses(self) -> dict[str, MemberStatus]:
        """One that can't be read is alive all the same: one server's slip must not stop a change."""
        return self._under(self.keys.statuses, MemberStatus, MemberStatus(""))

    @property
    def votes(self) -> dict[str, Vote]:
        """One that can't be read is a no."""
        return self._under(self.keys.votes, Vote, Vote(False, "its vote can't be read"))

    def text(self, digest: str) -> str | None:
        """A text whose digest is not the one it is named by is none."""
        for key in (self.keys.text(digest), self.keys.opening):
            entry = self.raw.entries.get(key)
            text = entry.value.decode("utf-8", "replace") if entry else None
            if text is not None and digest_of(text) == digest:
                return text
        return None
