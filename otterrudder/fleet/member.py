"""One member of the fleet: what it knows, whether it may admit, what is to be done. Pure: events with the
time in them go in, effects come out, and lab, model search and server run this very code.

The rules it keeps, and why they suffice (docs/design/fleet.md has the argument whole):

- It votes once on a change, in a commit that compares the change's creation and its own registration, so
  neither a vote of an earlier change nor one of an earlier life ever counts.
- Before a yes is sent, the pledge is on disk. Who has pledged admits for `bound_ms` from the *sending* of the
  last read that showed the change still open, and then stands aside until it knows how it ended.
- `wait`: no change is committed without this name's vote, so who has not pledged serves on, cut off or not.
- `leave-out`: a change may be committed once this name's lease has lapsed in the store, so it stands aside
  when the lease has lapsed by its own clock, which counts from the sending and is never later.
- A life admits nothing until it has read the store after it registered (or, under `wait` and where its file
  says so, until it has found in its own folder that it has pledged nothing).

Whoever asks `standing(now)` at the moment of admission is told by the clock of that moment, so a process that
was frozen finds out before it admits anything. Effects are level-triggered: after each outcome, lost ones
too, it reads again and decides anew from what it sees; nothing is ever guessed from a missing answer."""

import math
import zlib
from collections.abc import Callable

from otterrudder.fleet import commits
from otterrudder.fleet.effects import (
    Commit,
    Effect,
    GrantLease,
    Lane,
    Outcome,
    Read,
    RenewLease,
    SaveState,
    ValidatePolicy,
)
from otterrudder.fleet.policy_documents import PolicyDocuments
from otterrudder.fleet.records import FleetSnapshot, InvalidRecordError, Keys, MemberStatus, RosterEntry, Vote
from otterrudder.fleet.state import (
    AdmissionStatus,
    MemberState,
    ObservedState,
    OpenChange,
    Policy,
    PreparedVote,
    Rules,
)
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot

# of its span for which a lease is believed: two clocks may run apart by a tenth
LEASE_BELIEVED = 0.9
# of its span between renewals: two may be lost before it lapses
RENEW_SHARE = 0.25
POLL_SHARE = 0.25  # of the bound, between reads of who has pledged: three may be lost
RETRY_MS = 200.0  # ms to the first repeat of what had no answer; doubled each time
RETRY_MOST_MS = 2000.0  # ms; beyond that a store that is back would go unnoticed for too long
# ms over which members tell that they have switched, so that a change is no burst of writes
TELL_SPREAD_MS = 2000.0
# ms after a read in which the vote that it leads to is prepared, and goes before the read that the next hint
# asks for: where the store is far, all others would wait for that read as well
VOTE_FIRST_MS = 150.0
FIGURES_MS = 3000.0  # ms between figures that a member tells while a policy is on trial


class Member:
    __slots__ = (
        "_busy",
        "_disk_at",
        "_failed",
        "_floor",
        "_is_abstaining",
        "_is_void",
        "_read_at",
        "_renew_at",
        "_retry_at",
        "_saved",
        "_stale",
        "_tell_at",
        "_texts",
        "_told",
        "_unfit",
        "_vote_first_until",
        "abstains_until",
        "answered_at",
        "cluster",
        "endorsed_until",
        "disk_error",
        "mistrust",
        "incarnation",
        "figures",
        "directory_id",
        "fresh_at",
        "has_disk",
        "registers_from",
        "head",
        "head_change",
        "joined",
        "keys",
        "known",
        "lease",
        "lease_until",
        "status",
        "name",
        "is_leader",
        "prepared_vote",
        "registered",
        "revision",
        "rules",
        "observed",
        "has_synced",
        "vote_sent",
        "waits_for_member",
    )

    def __init__(
        self,
        now: float,
        keys: Keys,
        name: str,
        incarnation: str,
        directory_id: str,
        rules: Rules,
        validate: Callable[[str], str],
        *,
        record: MemberState | None = None,
        has_disk: bool = True,
        status: MemberStatus | None = None,
        cluster: int = 0,
    ) -> None:
        """`record`: what the folder held, None where it was empty; `folder`: its name, new with an empty one.
        `judge`: what is wrong for this server with the text that the record holds, "" if nothing. `cluster`:
        the only engine that is believed, where the fleet's file names it; 0: the first that is heard."""
        self.keys, self.name, self.incarnation, self.directory_id = keys, name, incarnation, directory_id
        self.rules, self.has_disk = rules, has_disk
        self.status = status or MemberStatus(incarnation)
        self.known = record.known if record else Policy()
        self.prepared_vote = record.prepared_vote if record else None
        self.joined = bool(record and record.joined)
        self.waits_for_member = bool(record and record.waits_for_member and rules.absent == "wait")
        self.cluster = cluster or (record.cluster if record else 0)
        is_same = record is not None and record.cluster == self.cluster
        self.revision = record.revision if record and is_same else 0
        self.head, self.head_change = self.known.version, self.known.change  # in force, as last seen
        self.vote_sent = self.prepared_vote is not None  # by an earlier life: it may have been
        self.fresh_at = -math.inf  # when the read was sent that last showed the pledged change open
        self.has_synced = self._may_believe_folder()
        self.registered = 0  # the revision that made the live key; 0: there is none of ours
        self.lease, self.lease_until = 0, -math.inf
        self.endorsed_until = -math.inf  # what the other processes that share the name have consented to
        self.abstains_until = -math.inf  # it does not vote before
        self.registers_from = -math.inf  # it does not register before
        self.answered_at = -math.inf  # when the store last answered anything
        self.observed: ObservedState | None = None
        self.mistrust = ""  # why the store is not believed
        self.disk_error = ""
        self.is_leader = False
        self._saved = record
        self._busy: frozenset[Lane] = frozenset()
        self._floor = 0  # the revision that was known when the store's request under way was begun
        self._is_void = False  # the read under way began before the registration was lost: it proves nothing
        self._is_abstaining = False  # it would vote, if it did not abstain
        self._vote_first_until = -math.inf  # a read that a hint asks for waits for the vote until then
        self._stale = True
        self._unfit = validate(self.known.text) if self.known.version else ""
        self._texts = PolicyDocuments(judged=self.known.digest, trouble=self._unfit)
        self._read_at = -math.inf
        self._retry_at, self._failed = now, 0
        self._renew_at, self._disk_at = now, now
        self._tell_at = math.inf
        self._told = (0, "")
        self.figures: tuple[tuple[str, float], ...] = ()  # how this server does, as it last said

    # What it says.

    def admission_status(self, now: float) -> AdmissionStatus:
        """At the moment of an admission, by the time of that moment."""
        if not self.has_synced:
            return self._why_unsure()
        if self.head > self.known.version:
            return AdmissionStatus.OUTDATED
        if self._unfit:
            return AdmissionStatus.POLICY_REJECTED
        if self.prepared_vote and self.vote_sent and now >= self.fresh_at + self.rules.bound_ms:
            return AdmissionStatus.OUTCOME_UNKNOWN
        if self.rules.depends_on_lease and now >= self._lease_end():
            return AdmissionStatus.LEASE_EXPIRED
        return AdmissionStatus.PREPARED if self.prepared_vote else AdmissionStatus.SERVING

    def admits(self, now: float) -> int | None:
        """The version it admits under; None: it stands aside."""
        return self.known.version if self.admission_status(now).admits else None

    def authority_until(self, now: float) -> float:
        """Until when it goes on admitting, or granting leases, if it hears nothing more; -inf: it does not
        admit."""
        if not self.admission_status(now).admits:
            return -math.inf
        until = self._lease_end() if self.rules.depends_on_lease else math.inf
        if self.prepared_vote and self.vote_sent:
            until = min(until, self.fresh_at + self.rules.bound_ms)
        return until

    def _lease_end(self) -> float:
        """Of the store's lease, or of what the other relays of the cell have consented to: under `wait`
        alone, for a change that leaves a member out asks nobody's consent."""
        if self.rules.absent == "wait":
            return max(self.lease_until, self.endorsed_until)
        return self.lease_until

    def due(self) -> float:
        """When `effects` may next say something by itself; -inf: now."""
        read_at = max(self._retry_at if self._stale else self._next_read(), self._vote_first_until)
        times = [read_at] if Lane.STORE not in self._busy else []
        times += [self._renew_at] if Lane.LEASE not in self._busy and self._may_lease() else []
        times += [-math.inf] if self._judge_effect() else []
        times += [self._disk_at] if self._must_save() and Lane.DISK not in self._busy else []
        if Lane.STORE not in self._busy and not self.registered and self._may_register():
            times.append(max(self.registers_from, self._retry_at))
        if Lane.REPORT_STATUS not in self._busy and self.registered and self._may_tell():
            times.append(self._tell_at)
        if Lane.STORE not in self._busy and self.registered and self._is_abstaining:
            times.append(max(self.abstains_until, self._retry_at))
        return min(times, default=math.inf)

    @property
    def status_detail(self) -> str:
        """More on its standing, for operators."""
        return self._unfit or self.mistrust or self.disk_error

    # What it asks for.

    def handle_watch_event(self) -> None:
        """Something changed in the store, or a watch was begun: it is read."""
        self._stale = True

    def validation_result(self, digest: str) -> str | None:
        """What is wrong with that text, as far as it was judged here; None: it was not."""
        return self._texts.verdict(digest)

    def discard_validation(self) -> None:
        """What was judged may no longer be so: no vote goes by it, and a pledge not sent is withdrawn."""
        self._texts = self._texts.without_verdict()
        if self.prepared_vote and not self.vote_sent:
            self.prepared_vote = None

    def effects(self, now: float) -> list[Effect]:
        """What is to be begun now; each owes `completed` one outcome. A vote needs a judgement, a save."""
        store, disk = self._store_effect(now), self._disk_effect(now)
        found = [store, self._judge_effect(), disk, self._lease_effect(now), self._tell_effect(now)]
        begun = [effect for effect in found if effect]
        self._busy |= {effect.lane for effect in begun}
        if any(effect.lane is Lane.STORE for effect in begun):
            self._floor = self.revision
        return begun

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """How an effect ended; `sent`: when it was begun."""
        self._busy -= {effect.lane}
        if effect.lane is Lane.REPORT_STATUS:
            self._told_tell(now, outcome)
            return
        is_void = self._is_void and effect.lane is Lane.STORE
        self._is_void = self._is_void and not is_void
        if isinstance(outcome, Snapshot | CommitResult | LeaseResult):
            self.answered_at = now
        if isinstance(outcome, CommitResult | LeaseResult) and not self._is_believed(outcome):
            outcome, self._stale = None, True  # no word of an engine that is not believed counts
        if isinstance(effect, SaveState):
            self._told_save(now, effect, outcome)
        elif isinstance(effect, ValidatePolicy):
            self._told_judge(effect, outcome)
        elif effect.lane is Lane.LEASE:
            self._told_lease(now, sent, outcome)
        elif is_void:
            self._stale = True
        elif outcome is None:
            self._stale = True
            self._fail(now)
        elif isinstance(outcome, Snapshot):
            self._told_read(now, sent, outcome)
        else:
            self._stale = True  # held or not: what is so now is read
            if isinstance(outcome, CommitResult) and not outcome.succeeded:
                self._fail(now)

    def _store_effect(self, now: float) -> Effect | None:
        if Lane.STORE in self._busy or now < self._retry_at:
            return None
        is_due = self._stale or now >= self._next_read()
        if is_due and now >= self._vote_first_until:
            return self._read(now)
        observed = self.observed
        if not observed or self._is_others(observed):  # not yet: no engine that is believed has answered
            return None
        if not self.registered:
            return self._register(observed) if self._may_register() and now >= self.registers_from else None
        if vote := self._vote(now, observed):
            self._vote_first_until = -math.inf
            return vote
        if self._stale and now >= self._vote_first_until:  # a text is wanted
            return self._read(now)
        return None

    def _read(self, now: float) -> Read:
        self._stale, self._read_at = False, now
        if not self._texts.needed:
            self._texts = self._texts.with_needed(self._text_to_vote_on())
        names = [
            self.keys.head,
            self.keys.roster(self.name),
            self.keys.status(self.name),
            self.keys.vote(self.name),
        ]
        if self._texts.needed:
            names.append(self.keys.text(self._texts.needed))
        if self.registered and not self._has_text_to_vote_on():
            names.append(self.keys.opening)  # a change may have been opened: its text comes with it
        return Read(tuple(names))

    def _has_text_to_vote_on(self) -> bool:
        opened = self._change_to_vote_on()
        has_voted = self.prepared_vote is not None and self.vote_sent
        return opened is not None and not has_voted and self._texts.text(opened.digest) is not None

    def _text_to_vote_on(self) -> str:
        """The digest of the open change's text, where it is not here: a read that is due anyway brings it."""
        opened = self._change_to_vote_on()
        if not opened or opened.digest == self._texts.judged or self._texts.text(opened.digest) is not None:
            return ""
        return opened.digest

    def _change_to_vote_on(self) -> OpenChange | None:
        """The open change, as last seen, where it is registered and has not voted on it."""
        if not self.registered or not self.observed or self.observed.voted is not None:
            return None
        return self.observed.open

    def _may_vote_next(self, now: float) -> bool:
        """Whether nothing more has to be read for the vote that it owes."""
        opened = self._change_to_vote_on()
        if not opened or self.head > self.known.version or now < self.abstains_until:
            return False
        is_judged = self._texts.verdict(opened.digest) is not None
        return is_judged or self._texts.text(opened.digest) is not None

    def _may_tell(self) -> bool:
        """What it tells is for operators: a vote, for which all others wait, goes first."""
        return self._change_to_vote_on() is None

    def _next_read(self) -> float:
        """When it reads without a hint."""
        if self.prepared_vote:
            return self._read_at + self.rules.bound_ms * POLL_SHARE
        if self._texts.needed:
            return self._read_at + RETRY_MOST_MS
        if self.observed and self._is_others(self.observed) or self.mistrust:
            return self._read_at + self.rules.lease_ms * RENEW_SHARE
        return self._read_at + self.rules.lease_ms  # where no hint came: a watch may be dead and not know it

    def _must_unsay(self) -> bool:
        """The folder says that changes wait for this name, and what is about to be registered ends that."""
        return (
            self.has_disk and not self.waits_for_member and bool(self._saved and self._saved.waits_for_member)
        )

    def _may_register(self) -> bool:
        is_free = self.observed is not None and not self._is_others(self.observed)
        return is_free and self.lease > 0 and not self._stale and not self._must_unsay()

    def _is_others(self, observed: ObservedState) -> bool:
        return self._is_taken(observed) or self._is_foreign(observed)

    def _is_taken(self, observed: ObservedState) -> bool:
        return observed.status is not None and observed.status.incarnation != self.incarnation

    def _is_foreign(self, observed: ObservedState) -> bool:
        """Another folder has the name, and its process may be serving on, cut off: a lapsed lease says
        nothing of it under `wait`, where nobody's end of service hangs on one."""
        other = observed.roster is not None and observed.roster.directory_id != self.directory_id
        return other and observed.roster is not None and observed.roster.absent == "wait"

    def _register(self, observed: ObservedState) -> Commit:
        roster = RosterEntry(self.directory_id, self.rules.absent)
        return commits.register(self.keys, self.name, self._live(), roster, observed, self.lease)

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        change = observed.open
        self._is_abstaining = False
        if not change or observed.voted is not None:
            return None
        pledged = self.prepared_vote == PreparedVote(change.id, change.created)
        # A pledge of an earlier life binds what is admitted; the vote says what is so now.
        trouble = self._trouble_with(change)
        if trouble is None:  # its text is not here yet, or not judged
            return None
        self._is_abstaining = now < self.abstains_until
        if self._is_abstaining:
            return None
        if not trouble and not pledged:
            self.prepared_vote, self.vote_sent = PreparedVote(change.id, change.created), False
        if not trouble and self._is_dirty():
            return None  # not before the pledge is on disk
        if not trouble and not self.vote_sent:
            self.vote_sent, self.fresh_at = True, now
        ballot = Vote(not trouble, trouble, self.incarnation)
        return commits.vote(self.keys, self.name, change, self.registered, ballot)

    def _trouble_with(self, change: OpenChange) -> str | None:
        """Why the answer is no; "": it is yes; None: the text has to be read or judged first."""
        if self.disk_error:
            return f"{self.name}: its folder: {self.disk_error}"
        if (verdict := self._texts.verdict(change.digest)) is not None:
            return verdict
        if self._texts.text(change.digest) is not None:
            self._texts = self._texts.with_judging(change.digest)
        elif self._texts.needed == change.digest:
            return f"the text {change.digest} is not in the store"
        else:
            self._texts, self._stale = self._texts.with_needed(change.digest), True
        return None

    def _tell_effect(self, now: float) -> Commit | None:
        if (
            Lane.REPORT_STATUS in self._busy
            or not self.registered
            or now < self._tell_at
            or not self._may_tell()
        ):
            return None
        return self._tell(now)

    def _told_tell(self, now: float, outcome: Outcome) -> None:
        """What did not get through is told again, if the member is still registered then."""
        if outcome is None:
            self._tell_at = min(self._tell_at, now + RETRY_MOST_MS)
        elif isinstance(outcome, CommitResult) and not outcome.succeeded:
            self._stale = True

    def _tell(self, now: float) -> Commit:
        self._told = self._to_tell(now)
        is_on_trial = self.observed is not None and self.observed.trial is not None
        self._tell_at = now + FIGURES_MS * (0.75 + self._chance("figures") / 2) if is_on_trial else math.inf
        return commits.tell(self.keys, self.name, self._live(now), self.registered, self.lease)

    def _to_tell(self, now: float) -> tuple[int, str]:
        admission_status = self.admission_status(now)
        shown = AdmissionStatus.SERVING if admission_status.admits else admission_status
        return self.known.version, shown.label

    def _live(self, now: float | None = None) -> MemberStatus:
        version, state = (0, "joining") if now is None else self._to_tell(now)
        status, trial = self.status, self.observed.trial if self.observed else None
        asked = {fact for fact, _ in trial.conditions} if trial and now is not None else ()
        # One that is no number would be null in the record, and unread the whole of it.
        figures = tuple(one for one in self.figures if one[0] in asked and math.isfinite(one[1]))
        return MemberStatus(
            self.incarnation,
            status.program,
            status.zone,
            version,
            self.known.digest,
            state,
            status.products,
            figures,
            status.relay,
        )

    def _judge_effect(self) -> Effect | None:
        digest = self._texts.judging
        text = self._texts.text(digest)
        return None if text is None or Lane.VALIDATE in self._busy else ValidatePolicy(digest, text)

    def _lease_effect(self, now: float) -> Effect | None:
        if Lane.LEASE in self._busy or now < self._renew_at or not self._may_lease():
            return None
        return RenewLease(self.lease) if self.lease else GrantLease(self.rules.lease_ms)

    def _may_lease(self) -> bool:
        return self.lease > 0 or self.observed is not None and not self._is_others(self.observed)

    def _disk_effect(self, now: float) -> Effect | None:
        if Lane.DISK in self._busy or now < self._disk_at or not self._must_save():
            return None
        return SaveState(self._record())

    def _record(self) -> MemberState:
        return MemberState(
            self.name,
            self.directory_id,
            self.known,
            self.prepared_vote,
            self.joined,
            self.cluster,
            self.revision,
            self.waits_for_member,
        )

    def _must_save(self) -> bool:
        """A folder that failed is tried again, so that it is known when it works."""
        return self._is_dirty() or bool(self.disk_error)

    def _is_dirty(self) -> bool:
        """Whether the folder lacks something that a start would need to know."""
        if not self.has_disk:
            return False
        now, saved = (self.known, self.prepared_vote, self.joined, self.waits_for_member), self._saved
        return not saved or (saved.known, saved.prepared_vote, saved.joined, saved.waits_for_member) != now

    # How an effect ended.

    def _told_save(self, now: float, effect: SaveState, outcome: Outcome) -> None:
        if outcome:
            assert isinstance(effect.record, MemberState)
            self._saved, self.disk_error = effect.record, ""
        else:
            self.disk_error = "it could not be written"
            self._disk_at = now + RETRY_MOST_MS
            if self.prepared_vote and not self.vote_sent:
                self.prepared_vote = None  # nothing was sent: it is a no

    def _told_judge(self, effect: ValidatePolicy, outcome: Outcome) -> None:
        verdict = outcome if isinstance(outcome, str) else None
        self._texts = self._texts.with_verdict(effect.digest, verdict)
        if verdict is not None:
            self._stale = self._stale or self.head > self.known.version

    def _told_lease(self, now: float, sent: float, outcome: Outcome) -> None:
        if outcome is None:
            self._renew_at = now + (self.rules.lease_ms * RENEW_SHARE if self.mistrust else RETRY_MS)
            return
        assert isinstance(outcome, LeaseResult)
        if not outcome.lease:
            self._lose_registration()
        self.lease = outcome.lease
        if self.lease:
            self.lease_until = max(self.lease_until, sent + self.rules.lease_ms * LEASE_BELIEVED)
        self._renew_at = sent + self.rules.lease_ms * RENEW_SHARE if self.lease else now

    def _lose_registration(self) -> None:
        self.registered, self.is_leader, self._stale = 0, False, True
        self._vote_first_until = -math.inf
        # A read that was sent before, and comes late, would show the registration as it was.
        self._is_void = Lane.STORE in self._busy
        if self.rules.depends_on_lease:
            self.has_synced, self.lease_until = False, -math.inf
        if self.rules.is_shared:
            self._retry_at = -math.inf  # the store is back, and all that hang on this name wait for it

    def _told_read(self, now: float, sent: float, snapshot: Snapshot) -> None:
        view = FleetSnapshot(self.keys, snapshot)
        try:
            self.mistrust = self._doubt(view)
            if not self.mistrust:
                self._take(now, sent, view)
        except InvalidRecordError as trouble:
            self.mistrust = str(trouble)
        if self.mistrust:
            self._fail(now)
        else:
            self._failed, self._retry_at = 0, now

    def _doubt(self, view: FleetSnapshot) -> str:
        """Why this engine is not the one that was heard before, or not as far as it was: its word would undo
        what the fleet has agreed."""
        if mistrust := self._doubt_engine(view.snapshot.cluster, view.snapshot.revision, self._floor):
            return mistrust
        head = view.policy
        version, change = (head.version, head.change) if head else (0, "")
        if version < self.head or version == self.head and change != self.head_change:
            return f"the engine's policy went back, from version {self.head} to {version}, or is another one"
        return ""

    def _doubt_engine(self, cluster: int, revision: int, floor: int) -> str:
        if self.cluster not in (0, cluster):
            return f"another engine answers: {cluster:x}, not {self.cluster:x}"
        if revision < floor:
            return f"the engine's revision went back, from {floor} to {revision}"
        return ""

    def _is_believed(self, outcome: CommitResult | LeaseResult) -> bool:
        """Whether the engine that answered is the one that was heard before; a lease that another one keeps
        alive has lapsed where it counts. Of a renewal the revision says nothing: etcd answers with that of
        the member that was asked, as it was before, and after a change of address that one may lag."""
        if not outcome.cluster:
            return True  # it has said nothing of itself, and that it did nothing
        floor = 0 if isinstance(outcome, LeaseResult) else self._floor
        if mistrust := self._doubt_engine(outcome.cluster, outcome.revision, floor):
            self.mistrust = mistrust
            return False
        self.revision = max(self.revision, outcome.revision)
        return True

    def _take(self, now: float, sent: float, view: FleetSnapshot) -> None:
        """A read that is believed."""
        self.cluster = view.snapshot.cluster
        self.revision = max(self.revision, view.snapshot.revision)
        self.observed = observed = self._seen(view)
        self._check_registration(observed)
        self._take_policy(view)
        self._take_pledge(sent, observed)
        if self.registered and observed.revision >= self.registered:
            self.has_synced = True
        self.is_leader = self.registered > 0 and view.leader == self.name
        self._vote_first_until = now + VOTE_FIRST_MS if self._may_vote_next(now) else -math.inf
        is_news = self._to_tell(now) != self._told or observed.trial is not None
        if self.registered and is_news and self._tell_at == math.inf:
            self._tell_at = now + self._chance("tell") * TELL_SPREAD_MS

    def _seen(self, view: FleetSnapshot) -> ObservedState:
        keys, snapshot, change = self.keys, view.snapshot, view.change
        entry = snapshot.entries.get(keys.change)
        opened = None
        if change and entry:
            opened = OpenChange(change.id, change.version, change.digest, entry.created)
        vote = view.vote(self.name)
        return ObservedState(
            snapshot.revision,
            opened,
            vote.accepted if vote else None,
            view.roster(self.name),
            snapshot.modified(keys.roster(self.name)),
            view.status(self.name),
            snapshot.created(keys.status(self.name)),
            bool(view.leader),
            view.trial,
        )

    def _check_registration(self, observed: ObservedState) -> None:
        """Whether the live key is this life's, and the roster's entry still this folder's."""
        is_ours = observed.status is not None and observed.status.incarnation == self.incarnation
        if is_ours:
            self.registered, self.joined = observed.live_created, True
            self.waits_for_member = observed.roster is not None and observed.roster.absent == "wait"
        elif self.registered:
            self._lose_registration()
        if self._is_taken(observed):
            self.has_synced = False
        if self.joined and (observed.roster is None or observed.roster.directory_id != self.directory_id):
            self._lose_registration()  # an operator has said that it is gone for good: it joins anew
            self.joined = self.has_synced = False

    def _take_policy(self, view: FleetSnapshot) -> None:
        head = view.policy
        opened = self.observed.open.digest if self.observed and self.observed.open else ""
        for digest in filter(None, (self._texts.needed, head.digest if head else "", opened)):
            if (text := view.text(digest)) is not None:
                self._texts = self._texts.with_text(digest, text)
        if self._texts.needed not in (
            head.digest if head else "",
            self.observed.open.digest if self.observed and self.observed.open else "",
        ):
            self._texts = self._texts.with_needed("")  # it was of a change that has ended
        if not head or head.version <= self.known.version:
            return
        self.head, self.head_change = head.version, head.change
        text = self._texts.text(head.digest)
        if text is None:
            self._stale = self._texts.needed != head.digest  # else it was just asked for, and is not there
            self._texts = self._texts.with_needed(head.digest)
            return
        verdict = self._texts.verdict(head.digest)
        if verdict is None:
            self._texts = self._texts.with_judging(head.digest)
            return
        self.known = Policy(head.version, head.change, head.digest, text)
        self._unfit = verdict

    def _take_pledge(self, sent: float, observed: ObservedState) -> None:
        opened = PreparedVote(observed.open.id, observed.open.created) if observed.open else None
        if (
            opened and observed.voted and self.prepared_vote != opened
        ):  # an earlier life's, whose folder is not here
            self.prepared_vote, self.vote_sent, self.fresh_at = opened, True, sent
        if not self.prepared_vote:
            return
        if opened == self.prepared_vote:
            self.fresh_at = max(self.fresh_at, sent)
        elif self.head == self.known.version:  # it has ended, and what is in force since is here
            self.prepared_vote, self.vote_sent, self.fresh_at = None, False, -math.inf

    def _fail(self, now: float) -> None:
        self._failed += 1
        wait = min(RETRY_MS * 2.0 ** min(self._failed - 1, 10), RETRY_MOST_MS)
        if self.prepared_vote:
            wait = min(wait, self.rules.bound_ms * POLL_SHARE)
        self._retry_at = now + wait * (0.5 + 0.5 * self._chance("retry"))

    def _chance(self, what: str) -> float:
        told = f"{self.name}/{self.incarnation}/{what}/{self._failed}/{self.revision}"
        return zlib.crc32(told.encode()) / 2**32

    def _may_believe_folder(self) -> bool:
        """No change can have been committed without this name's vote, and it has given none that it does not
        know the end of. A new folder has never been asked, so it can't know; and where the file has said
        "leave-out" until now, the roster still does."""
        return (
            self.rules.starts_from_directory
            and self.waits_for_member
            and self.joined
            and self.prepared_vote is None
        )

    def _why_unsure(self) -> AdmissionStatus:
        if self.observed is None:
            return AdmissionStatus.STARTING
        if self._is_taken(self.observed):
            return AdmissionStatus.NAME_TAKEN
        return (
            AdmissionStatus.FOREIGN_DIRECTORY
            if self._is_foreign(self.observed)
            else AdmissionStatus.REGISTERING
        )
