"""The books of a world of cells: what was written to the store, sent on the wire and consented to, and which
promise that breaks. Nothing in them comes from asking the code under test."""

import math
from dataclasses import dataclass, field

from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS
from otterrudder.fleet.cell.messages import LeaseGrant
from otterrudder.fleet.cell.relay import TAKEOVER_VOTE_DELAY_MS
from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import Keys, Live, PolicyHead, View, Vote, decode
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.ledger import Committed, wrong_commit

ROUNDING_MS = 0.001  # clocks of other rates are reckoned in floating point


@dataclass(frozen=True, slots=True)
class Leasing:
    """A lease that a life of a relay has granted."""

    relay: str
    kind: str
    version: int
    until: float  # by the store's clock, as all times here
    bound_ms: float  # by the relay's own clock


@dataclass(slots=True)
class RelayLife:
    """What one process of a relay has heard and done on the wire."""

    name: str
    epoch: str
    rate: float = 1.0  # of its clock
    leases: list[Leasing] = field(default_factory=list)
    verdicts: dict[tuple[str, str], str] = field(default_factory=dict)  # kind and digest: trouble
    noes: set[tuple[int, str]] = field(default_factory=set)  # the change's revision, and the digest


@dataclass(slots=True)
class CellLedger:
    keys: Keys
    bound_ms: float
    committed: dict[int, Committed] = field(default_factory=dict)
    texts: dict[int, str] = field(default_factory=dict)  # by version
    changes: dict[int, str] = field(default_factory=dict)  # by the revision that made it: its text's digest
    bases: dict[str, str] = field(default_factory=dict)  # of queued changes: the digest each was made from
    registered: dict[str, float] = field(default_factory=dict)  # epoch: when its first live key was written
    consented: dict[str, float] = field(default_factory=dict)  # relay, whatever life: until when
    lives: dict[tuple[int, int], RelayLife] = field(default_factory=dict)  # by relay and life
    broken: str = ""  # the first promise that was

    def copy(self) -> "CellLedger":
        lives = {
            at: RelayLife(
                life.name, life.epoch, life.rate, list(life.leases), dict(life.verdicts), set(life.noes)
            )
            for at, life in self.lives.items()
        }
        return CellLedger(
            self.keys,
            self.bound_ms,
            dict(self.committed),
            dict(self.texts),
            dict(self.changes),
            dict(self.bases),
            dict(self.registered),
            dict(self.consented),
            lives,
            self.broken,
        )

    def _break(self, trouble: str) -> None:
        self.broken = self.broken or trouble

    # The store.

    def wrote(self, now: float, commit: Commit, before: View) -> None:
        """A commit took effect."""
        for write in commit.writes:
            if not isinstance(write, Put):
                continue
            if write.key == self.keys.policy:
                self._committed(now, decode(write.value, PolicyHead), before)
            elif write.key == self.keys.change and before.change and commit.what in ("open", "propose"):
                self._break(f"{commit.what}: a change was opened over {before.change.id}")
            elif write.key.startswith(self.keys.lives) and commit.what == "register":
                self.registered.setdefault(_epoch_of(write), now)

    def _committed(self, now: float, head: PolicyHead, before: View) -> None:
        if trouble := wrong_commit(head, before, self.committed):
            self._break(trouble)
        base, in_force = self.bases.get(head.change, ""), before.policy
        if base and base != (in_force.digest if in_force else ""):
            self._break(f"{head.change} was made from a policy that was not in force any more")
        self.committed[head.version] = Committed(head.change, now)
        for life in self.lives.values():
            for lease in life.leases:
                self._check_lease(lease)

    # The wire.

    def granted(self, now: float, at: tuple[int, int], kind: str, grant: LeaseGrant) -> None:
        """A relay has sent a grant; its own clock counts from now."""
        life = self.lives[at]
        until, bound_ms = now + grant.span_ms / life.rate, self.bound_ms / life.rate
        lease = Leasing(life.name, kind, grant.version, until, bound_ms)
        life.leases = [one for one in life.leases if one.until > now]
        life.leases.append(lease)
        if now < self.consented.get(life.name, 0.0) - ROUNDING_MS:
            self._break(f"{life.name} grants a lease though it has consented")
        self._check_lease(lease)

    def _check_lease(self, lease: Leasing) -> None:
        newer = self.committed.get(lease.version + 1)
        if newer and lease.until > newer.at + lease.bound_ms + ROUNDING_MS:
            late = lease.until - newer.at
            self._break(
                f"{lease.relay} granted version {lease.version} until {late / 1000:g} s after {newer.change}"
            )

    def heard(self, at: tuple[int, int], kind: str, digest: str, trouble: str, opened: int) -> None:
        """A relay has heard what a kind says of a text, while the change of that revision was open."""
        life = self.lives[at]
        life.verdicts[kind, digest] = trouble
        if trouble:
            life.noes.add((opened, digest))

    def consents(self, now: float, at: tuple[int, int]) -> None:
        life = self.lives[at]
        self.consented[life.name] = now + ENDORSEMENT_MS / life.rate

    def votes(self, now: float, at: tuple[int, int], commit: Commit) -> None:
        """A relay sends a vote. It is held against the change that it names, open still or not."""
        life = self.lives[at]
        if now < self.consented.get(life.name, 0.0) - ROUNDING_MS:
            self._break(f"{life.name} votes though it has consented")
        if (
            now
            < self.registered.get(life.epoch, -math.inf) + TAKEOVER_VOTE_DELAY_MS / life.rate - ROUNDING_MS
        ):
            self._break(f"{life.name} votes as soon as it has taken its cell over")
        opened = next(compare.equals for compare in commit.compares if compare.key == self.keys.change)
        digest = self.changes.get(opened)
        if not _is_yes(commit) or digest is None:  # of another engine's change: it counts nowhere
            return
        if (opened, digest) in life.noes:
            self._break(f"{life.name} votes yes though a kind has said no")
        for lease in life.leases:
            verdict = life.verdicts.get((lease.kind, digest))
            if lease.until > now + ROUNDING_MS and verdict != "":
                said = "was not asked" if verdict is None else "has said no"
                self._break(f"{life.name} votes yes though the kind {lease.kind} {said}")


def _is_yes(commit: Commit) -> bool:
    return any(isinstance(write, Put) and decode(write.value, Vote).yes for write in commit.writes)


def _epoch_of(write: Put) -> str:
    return decode(write.value, Live).epoch
