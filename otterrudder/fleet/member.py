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
from otterrudder.fleet.effects import Commit, Effect, Judge, Lane, Lease, Outcome, Read, Renew, Save
from otterrudder.fleet.records import BadRecord, Keys, Live, Roster, View, Vote
from otterrudder.fleet.state import Open, Pledge, Policy, Record, Rules, Seen, Standing
from otterrudder.fleet.store import Done, Leased, Snapshot
from otterrudder.fleet.texts import Texts

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
        "consent_until",
        "disk_trouble",
        "doubt",
        "epoch",
        "figures",
        "folder",
        "fresh_at",
        "has_disk",
        "holds_back_until",
        "head",
        "head_change",
        "joined",
        "keys",
        "known",
        "lease",
        "lease_until",
        "live",
        "name",
        "is_leader",
        "pledge",
        "registered",
        "revision",
        "rules",
        "seen",
        "sure",
        "vote_sent",
        "waited",
    )

    def __init__(
        self,
        now: float,
        keys: Keys,
        name: str,
        epoch: str,
        folder: str,
        rules: Rules,
        judge: Callable[[str], str],
        *,
        record: Record | None = None,
        has_disk: bool = True,
        live: Live | None = None,
        cluster: int = 0,
    ) -> None:
        """`record`: what the folder held, None where it was empty; `folder`: its name, new with an empty one.
        `judge`: what is wrong for this server with the text that the record holds, "" if nothing. `cluster`:
        the only engine that is believed, where the fleet's file names it; 0: the first that is heard."""
        self.keys, self.name, self.epoch, self.folder = keys, name, epoch, folder
        self.rules, self.has_disk = rules, has_disk
        self.live = live or Live(epoch)
        self.known = record.known if record else Policy()
        self.pledge = record.pledge if record else None
        self.joined = bool(record and record.joined)
        self.waited = bool(record and record.waited and rules.absent == "wait")
        self.cluster = cluster or (record.cluster if record else 0)
        is_same = record is not None and record.cluster == self.cluster
        self.revision = record.revision if record and is_same else 0
        self.head, self.head_change = self.known.version, self.known.change  # in force, as last seen
        self.vote_sent = self.pledge is not None  # by an earlier life: it may have been
        self.fresh_at = -math.inf  # when the read was sent that last showed the pledged change open
        self.sure = self._may_believe_folder()
        self.registered = 0  # the revision that made the live key; 0: there is none of ours
        self.lease, self.lease_until = 0, -math.inf
        self.consent_until = -math.inf  # what the other processes that share the name have consented to
        self.abstains_until = -math.inf  # it does not vote before
        self.holds_back_until = -math.inf  # it does not register before
        self.answered_at = -math.inf  # when the store last answered anything
        self.seen: Seen | None = None
        self.doubt = ""  # why the store is not believed
        self.disk_trouble = ""
        self.is_leader = False
        self._saved = record
        self._busy: frozenset[Lane] = frozenset()
        self._floor = 0  # the revision that was known when the store's request under way was begun
        self._is_void = False  # the read under way began before the registration was lost: it proves nothing
        self._is_abstaining = False  # it would vote, if it did not abstain
        self._vote_first_until = -math.inf  # a read that a hint asks for waits for the vote until then
        self._stale = True
        self._unfit = judge(self.known.text) if self.known.version else ""
        self._texts = Texts(judged=self.known.digest, trouble=self._unfit)
        self._read_at = -math.inf
        self._retry_at, self._failed = now, 0
        self._renew_at, self._disk_at = now, now
        self._tell_at = math.inf
        self._told = (0, "")
        self.figures: tuple[tuple[str, float], ...] = ()  # how this server does, as it last said

    # What it says.

    def standing(self, now: float) -> Standing:
        """At the moment of an admission, by the time of that moment."""
        if not self.sure:
            return self._why_unsure()
        if self.head > self.known.version:
            return Standing.BEHIND
        if self._unfit:
            return Standing.UNFIT
        if self.pledge and self.vote_sent and now >= self.fresh_at + self.rules.bound_ms:
            return Standing.UNHEARD
        if self.rules.hangs_on_lease and now >= self._lease_end():
            return Standing.LAPSED
        return Standing.PLEDGED if self.pledge else Standing.SERVING

    def admits(self, now: float) -> int | None:
        """The version it admits under; None: it stands aside."""
        return self.known.version if self.standing(now).admits else None

    def authority_until(self, now: float) -> float:
        """Until when it goes on admitting, or granting leases, if it hears nothing more; -inf: it does not
        admit."""
        if not self.standing(now).admits:
            return -math.inf
        until = self._lease_end() if self.rules.hangs_on_lease else math.inf
        if self.pledge and self.vote_sent:
            until = min(until, self.fresh_at + self.rules.bound_ms)
        return until

    def _lease_end(self) -> float:
        """Of the store's lease, or of what the other relays of the cell have consented to: under `wait`
        alone, for a change that leaves a member out asks nobody's consent."""
        if self.rules.absent == "wait":
            return max(self.lease_until, self.consent_until)
        return self.lease_until

    def due(self) -> float:
        """When `effects` may next say something by itself; -inf: now."""
        read_at = max(self._retry_at if self._stale else self._next_read(), self._vote_first_until)
        times = [read_at] if Lane.STORE not in self._busy else []
        times += [self._renew_at] if Lane.LEASE not in self._busy and self._may_lease() else []
        times += [-math.inf] if self._judge_effect() else []
        times += [self._disk_at] if self._must_save() and Lane.DISK not in self._busy else []
        if Lane.STORE not in self._busy and not self.registered and self._may_register():
            times.append(max(self.holds_back_until, self._retry_at))
        if Lane.TELL not in self._busy and self.registered and self._may_tell():
            times.append(self._tell_at)
        if Lane.STORE not in self._busy and self.registered and self._is_abstaining:
            times.append(max(self.abstains_until, self._retry_at))
        return min(times, default=math.inf)

    @property
    def why(self) -> str:
        """More on its standing, for operators."""
        return self._unfit or self.doubt or self.disk_trouble

    # What it asks for.

    def hint(self) -> None:
        """Something changed in the store, or a watch was begun: it is read."""
        self._stale = True

    def judgement(self, digest: str) -> str | None:
        """What is wrong with that text, as far as it was judged here; None: it was not."""
        return self._texts.verdict(digest)

    def judge_again(self) -> None:
        """What was judged may no longer be so: no vote goes by it, and a pledge not sent is withdrawn."""
        self._texts = self._texts.without_verdict()
        if self.pledge and not self.vote_sent:
            self.pledge = None

    def effects(self, now: float) -> list[Effect]:
        """What is to be begun now; each owes `completed` one outcome. A vote needs a judgement, a save."""
        store, disk = self._store_effect(now), self._disk_effect(now)
        found = [store, self._judge_effect(), disk, self._lease_effect(now), self._tell_effect(now)]
        begun = [effect for effect in found if effect]
        self._busy |= {effect.lane for effect in begun}
        if any(effect.lane is Lane.STORE for effect in begun):
            self._floor = self.revision
        return begun

    def completed(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """How an effect ended; `sent`: when it was begun."""
        self._busy -= {effect.lane}
        if effect.lane is Lane.TELL:
            self._told_tell(now, outcome)
            return
        is_void = self._is_void and effect.lane is Lane.STORE
        self._is_void = self._is_void and not is_void
        if isinstance(outcome, Snapshot | Done | Leased):
            self.answered_at = now
        if isinstance(outcome, Done | Leased) and not self._is_believed(outcome):
            outcome, self._stale = None, True  # no word of an engine that is not believed counts
        if isinstance(effect, Save):
            self._told_save(now, effect, outcome)
        elif isinstance(effect, Judge):
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
            if isinstance(outcome, Done) and not outcome.held:
                self._fail(now)

    def _store_effect(self, now: float) -> Effect | None:
        if Lane.STORE in self._busy or now < self._retry_at:
            return None
        is_due = self._stale or now >= self._next_read()
        if is_due and now >= self._vote_first_until:
            return self._read(now)
        seen = self.seen
        if not seen or self._is_others(seen):  # not yet: no engine that is believed has answered
            return None
        if not self.registered:
            return self._register(seen) if self._may_register() and now >= self.holds_back_until else None
        if vote := self._vote(now, seen):
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
            self.keys.live(self.name),
            self.keys.vote(self.name),
        ]
        if self._texts.needed:
            names.append(self.keys.text(self._texts.needed))
        if self.registered and not self._has_text_to_vote_on():
            names.append(self.keys.opening)  # a change may have been opened: its text comes with it
        return Read(tuple(names))

    def _has_text_to_vote_on(self) -> bool:
        opened = self._change_to_vote_on()
        has_voted = self.pledge is not None and self.vote_sent
        return opened is not None and not has_voted and self._texts.text(opened.digest) is not None

    def _text_to_vote_on(self) -> str:
        """The digest of the open change's text, where it is not here: a read that is due anyway brings it."""
        opened = self._change_to_vote_on()
        if not opened or opened.digest == self._texts.judged or self._texts.text(opened.digest) is not None:
            return ""
        return opened.digest

    def _change_to_vote_on(self) -> Open | None:
        """The open change, as last seen, where it is registered and has not voted on it."""
        if not self.registered or not self.seen or self.seen.voted is not None:
            return None
        return self.seen.open

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
        if self.pledge:
            return self._read_at + self.rules.bound_ms * POLL_SHARE
        if self._texts.needed:
            return self._read_at + RETRY_MOST_MS
        if self.seen and self._is_others(self.seen) or self.doubt:
            return self._read_at + self.rules.lease_ms * RENEW_SHARE
        return self._read_at + self.rules.lease_ms  # where no hint came: a watch may be dead and not know it

    def _must_unsay(self) -> bool:
        """The folder says that changes wait for this name, and what is about to be registered ends that."""
        return self.has_disk and not self.waited and bool(self._saved and self._saved.waited)

    def _may_register(self) -> bool:
        is_free = self.seen is not None and not self._is_others(self.seen)
        return is_free and self.lease > 0 and not self._stale and not self._must_unsay()

    def _is_others(self, seen: Seen) -> bool:
        return self._is_taken(seen) or self._is_foreign(seen)

    def _is_taken(self, seen: Seen) -> bool:
        return seen.live is not None and seen.live.epoch != self.epoch

    def _is_foreign(self, seen: Seen) -> bool:
        """Another folder has the name, and its process may be serving on, cut off: a lapsed lease says
        nothing of it under `wait`, where nobody's end of service hangs on one."""
        other = seen.roster is not None and seen.roster.folder != self.folder
        return other and seen.roster is not None and seen.roster.absent == "wait"

    def _register(self, seen: Seen) -> Commit:
        roster = Roster(self.folder, self.rules.absent)
        return commits.register(self.keys, self.name, self._live(), roster, seen, self.lease)

    def _vote(self, now: float, seen: Seen) -> Commit | None:
        change = seen.open
        self._is_abstaining = False
        if not change or seen.voted is not None:
            return None
        pledged = self.pledge == Pledge(change.id, change.created)
        # A pledge of an earlier life binds what is admitted; the vote says what is so now.
        trouble = self._trouble_with(change)
        if trouble is None:  # its text is not here yet, or not judged
            return None
        self._is_abstaining = now < self.abstains_until
        if self._is_abstaining:
            return None
        if not trouble and not pledged:
            self.pledge, self.vote_sent = Pledge(change.id, change.created), False
        if not trouble and self._is_dirty():
            return None  # not before the pledge is on disk
        if not trouble and not self.vote_sent:
            self.vote_sent, self.fresh_at = True, now
        ballot = Vote(not trouble, trouble, self.epoch)
        return commits.vote(self.keys, self.name, change, self.registered, ballot)

    def _trouble_with(self, change: Open) -> str | None:
        """Why the answer is no; "": it is yes; None: the text has to be read or judged first."""
        if self.disk_trouble:
            return f"{self.name}: its folder: {self.disk_trouble}"
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
        if Lane.TELL in self._busy or not self.registered or now < self._tell_at or not self._may_tell():
            return None
        return self._tell(now)

    def _told_tell(self, now: float, outcome: Outcome) -> None:
        """What did not get through is told again, if the member is still registered then."""
        if outcome is None:
            self._tell_at = min(self._tell_at, now + RETRY_MOST_MS)
        elif isinstance(outcome, Done) and not outcome.held:
            self._stale = True

    def _tell(self, now: float) -> Commit:
        self._told = self._to_tell(now)
        is_on_trial = self.seen is not None and self.seen.trial is not None
        self._tell_at = now + FIGURES_MS * (0.75 + self._chance("figures") / 2) if is_on_trial else math.inf
        return commits.tell(self.keys, self.name, self._live(now), self.registered, self.lease)

    def _to_tell(self, now: float) -> tuple[int, str]:
        standing = self.standing(now)
        shown = Standing.SERVING if standing.admits else standing
        return self.known.version, shown.name.lower()

    def _live(self, now: float | None = None) -> Live:
        version, state = (0, "joining") if now is None else self._to_tell(now)
        live, trial = self.live, self.seen.trial if self.seen else None
        asked = {fact for fact, _ in trial.conditions} if trial and now is not None else ()
        # One that is no number would be null in the record, and unread the whole of it.
        figures = tuple(one for one in self.figures if one[0] in asked and math.isfinite(one[1]))
        return Live(
            self.epoch,
            live.program,
            live.zone,
            version,
            self.known.digest,
            state,
            live.products,
            figures,
            live.relay,
        )

    def _judge_effect(self) -> Effect | None:
        digest = self._texts.judging
        text = self._texts.text(digest)
        return None if text is None or Lane.JUDGE in self._busy else Judge(digest, text)

    def _lease_effect(self, now: float) -> Effect | None:
        if Lane.LEASE in self._busy or now < self._renew_at or not self._may_lease():
            return None
        return Renew(self.lease) if self.lease else Lease(self.rules.lease_ms)

    def _may_lease(self) -> bool:
        return self.lease > 0 or self.seen is not None and not self._is_others(self.seen)

    def _disk_effect(self, now: float) -> Effect | None:
        if Lane.DISK in self._busy or now < self._disk_at or not self._must_save():
            return None
        return Save(self._record())

    def _record(self) -> Record:
        return Record(
            self.name,
            self.folder,
            self.known,
            self.pledge,
            self.joined,
            self.cluster,
            self.revision,
            self.waited,
        )

    def _must_save(self) -> bool:
        """A folder that failed is tried again, so that it is known when it works."""
        return self._is_dirty() or bool(self.disk_trouble)

    def _is_dirty(self) -> bool:
        """Whether the folder lacks something that a start would need to know."""
        if not self.has_disk:
            return False
        now, saved = (self.known, self.pledge, self.joined, self.waited), self._saved
        return not saved or (saved.known, saved.pledge, saved.joined, saved.waited) != now

    # How an effect ended.

    def _told_save(self, now: float, effect: Save, outcome: Outcome) -> None:
        if outcome:
            assert isinstance(effect.record, Record)
            self._saved, self.disk_trouble = effect.record, ""
        else:
            self.disk_trouble = "it could not be written"
            self._disk_at = now + RETRY_MOST_MS
            if self.pledge and not self.vote_sent:
                self.pledge = None  # nothing was sent: it is a no

    def _told_judge(self, effect: Judge, outcome: Outcome) -> None:
        verdict = outcome if isinstance(outcome, str) else None
        self._texts = self._texts.with_verdict(effect.digest, verdict)
        if verdict is not None:
            self._stale = self._stale or self.head > self.known.version

    def _told_lease(self, now: float, sent: float, outcome: Outcome) -> None:
        if outcome is None:
            self._renew_at = now + (self.rules.lease_ms * RENEW_SHARE if self.doubt else RETRY_MS)
            return
        assert isinstance(outcome, Leased)
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
        if self.rules.hangs_on_lease:
            self.sure, self.lease_until = False, -math.inf
        if self.rules.is_shared:
            self._retry_at = -math.inf  # the store is back, and all that hang on this name wait for it

    def _told_read(self, now: float, sent: float, snapshot: Snapshot) -> None:
        view = View(self.keys, snapshot)
        try:
            self.doubt = self._doubt(view)
            if not self.doubt:
                self._take(now, sent, view)
        except BadRecord as trouble:
            self.doubt = str(trouble)
        if self.doubt:
            self._fail(now)
        else:
            self._failed, self._retry_at = 0, now

    def _doubt(self, view: View) -> str:
        """Why this engine is not the one that was heard before, or not as far as it was: its word would undo
        what the fleet has agreed."""
        if doubt := self._doubt_engine(view.snapshot.cluster, view.snapshot.revision, self._floor):
            return doubt
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

    def _is_believed(self, outcome: Done | Leased) -> bool:
        """Whether the engine that answered is the one that was heard before; a lease that another one keeps
        alive has lapsed where it counts. Of a renewal the revision says nothing: etcd answers with that of
        the member that was asked, as it was before, and after a change of address that one may lag."""
        if not outcome.cluster:
            return True  # it has said nothing of itself, and that it did nothing
        floor = 0 if isinstance(outcome, Leased) else self._floor
        if doubt := self._doubt_engine(outcome.cluster, outcome.revision, floor):
            self.doubt = doubt
            return False
        self.revision = max(self.revision, outcome.revision)
        return True

    def _take(self, now: float, sent: float, view: View) -> None:
        """A read that is believed."""
        self.cluster = view.snapshot.cluster
        self.revision = max(self.revision, view.snapshot.revision)
        self.seen = seen = self._seen(view)
        self._check_registration(seen)
        self._take_policy(view)
        self._take_pledge(sent, seen)
        if self.registered and seen.revision >= self.registered:
            self.sure = True
        self.is_leader = self.registered > 0 and view.leader == self.name
        self._vote_first_until = now + VOTE_FIRST_MS if self._may_vote_next(now) else -math.inf
        is_news = self._to_tell(now) != self._told or seen.trial is not None
        if self.registered and is_news and self._tell_at == math.inf:
            self._tell_at = now + self._chance("tell") * TELL_SPREAD_MS

    def _seen(self, view: View) -> Seen:
        keys, snapshot, change = self.keys, view.snapshot, view.change
        entry = snapshot.entries.get(keys.change)
        opened = None
        if change and entry:
            opened = Open(change.id, change.version, change.digest, entry.created)
        vote = view.vote(self.name)
        return Seen(
            snapshot.revision,
            opened,
            vote.yes if vote else None,
            view.roster(self.name),
            snapshot.modified(keys.roster(self.name)),
            view.live(self.name),
            snapshot.created(keys.live(self.name)),
            bool(view.leader),
            view.trial,
        )

    def _check_registration(self, seen: Seen) -> None:
        """Whether the live key is this life's, and the roster's entry still this folder's."""
        is_ours = seen.live is not None and seen.live.epoch == self.epoch
        if is_ours:
            self.registered, self.joined = seen.live_created, True
            self.waited = seen.roster is not None and seen.roster.absent == "wait"
        elif self.registered:
            self._lose_registration()
        if self._is_taken(seen):
            self.sure = False
        if self.joined and (seen.roster is None or seen.roster.folder != self.folder):
            self._lose_registration()  # an operator has said that it is gone for good: it joins anew
            self.joined = self.sure = False

    def _take_policy(self, view: View) -> None:
        head = view.policy
        opened = self.seen.open.digest if self.seen and self.seen.open else ""
        for digest in filter(None, (self._texts.needed, head.digest if head else "", opened)):
            if (text := view.text(digest)) is not None:
                self._texts = self._texts.with_text(digest, text)
        if self._texts.needed not in (
            head.digest if head else "",
            self.seen.open.digest if self.seen and self.seen.open else "",
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

    def _take_pledge(self, sent: float, seen: Seen) -> None:
        opened = Pledge(seen.open.id, seen.open.created) if seen.open else None
        if opened and seen.voted and self.pledge != opened:  # an earlier life's, whose folder is not here
            self.pledge, self.vote_sent, self.fresh_at = opened, True, sent
        if not self.pledge:
            return
        if opened == self.pledge:
            self.fresh_at = max(self.fresh_at, sent)
        elif self.head == self.known.version:  # it has ended, and what is in force since is here
            self.pledge, self.vote_sent, self.fresh_at = None, False, -math.inf

    def _fail(self, now: float) -> None:
        self._failed += 1
        wait = min(RETRY_MS * 2.0 ** min(self._failed - 1, 10), RETRY_MOST_MS)
        if self.pledge:
            wait = min(wait, self.rules.bound_ms * POLL_SHARE)
        self._retry_at = now + wait * (0.5 + 0.5 * self._chance("retry"))

    def _chance(self, what: str) -> float:
        told = f"{self.name}/{self.epoch}/{what}/{self._failed}/{self.revision}"
        return zlib.crc32(told.encode()) / 2**32

    def _may_believe_folder(self) -> bool:
        """No change can have been committed without this name's vote, and it has given none that it does not
        know the end of. A new folder has never been asked, so it can't know; and where the file has said
        "leave-out" until now, the roster still does."""
        return self.rules.starts_from_folder and self.waited and self.joined and self.pledge is None

    def _why_unsure(self) -> Standing:
        if self.seen is None:
            return Standing.STARTING
        if self._is_taken(self.seen):
            return Standing.TAKEN
        return Standing.FOREIGN if self._is_foreign(self.seen) else Standing.JOINING
