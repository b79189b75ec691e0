"""The fleet's file, a policy, the change's commits, and a member's standing, each by itself."""

from collections.abc import Callable
from pathlib import Path

import pytest

from otterrudder.admission.interface import Idempotency, Limits, RequestClass, Tenant
from otterrudder.fleet.change import (
    ChangeCoordinator,
    ChangeRejectedError,
    coordination_keys,
    find_change,
    finish_change,
    propose,
    remove_member,
    trial_id,
    withdraw,
)
from otterrudder.fleet.configuration import InvalidFleetError, read_fleet
from otterrudder.fleet.effects import Commit, Read, RenewLease, SaveState, ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.policy import InvalidPolicyError, LocalConfiguration, parse
from otterrudder.fleet.records import FinishedChange, FleetSnapshot, Keys, digest_of, stored_fields
from otterrudder.fleet.state import AdmissionStatus, MemberState, Rules
from otterrudder.fleet.store import Delete
from otterrudder.lab.fleet.simulation import play
from otterrudder.lab.keyspace import KeySpace

ROOT = Path(__file__).parents[2]
GOOD = 'version = 1\nfleet = "f"\nstore = ["127.0.0.1:2379"]\nfolder = "state"\n'
KEYS = Keys("f")
PRODUCTS = [
    RequestClass(name, Idempotency.SAFE, 1.0, 1000.0, 2000.0)
    for name in ("addr-lookup", "form-check", "form-submit")
]


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (("folder", "other = 1\nfolder"), "fleet.toml: : Object contains unknown field `other`"),
        (("version = 1", "version = 2"), "fleet.toml: version: this program reads 1, not 2"),
        (
            ('"f"', '"a/b"'),
            "fleet.toml: fleet: must be a name without a slash, of 1 to 128 characters, not 'a/b'",
        ),
        (("2379", "x"), "fleet.toml: store: '127.0.0.1:x' is not an address of the form host:port"),
        (('["127.0.0.1:2379"]', "[]"), "fleet.toml: store: must have 1 to 9 addresses, not 0"),
        (('folder = "state"\n', ""), 'fleet.toml: folder: required with absent = "wait"'),
        (
            ("folder", 'absent = "leave-out"\nstart = "folder"\nfolder'),
            'fleet.toml: start: "folder" is allowed only with',
        ),
        (("folder", "bound_ms = 100\nfolder"), "fleet.toml: bound_ms: 100 is not between 400 and 60000"),
        (
            ("folder", "lease_ms = 3500\nfolder"),
            "fleet.toml: lease_ms: 3500 is not a whole number of seconds",
        ),
        (("folder", 'absent = "never"\nfolder'), "fleet.toml: .absent: Invalid enum value 'never'"),
    ],
)
def test_a_bad_file_is_refused_by_its_key(tmp_path: Path, change: tuple[str, str], says: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(GOOD.replace(*change))
    with pytest.raises(InvalidFleetError) as trouble:
        read_fleet(path)
    assert str(trouble.value).startswith(says) and "\n" not in str(trouble.value)


def test_the_examples_are_good() -> None:
    fleet = read_fleet(ROOT / "deploy/fleet.toml")
    assert fleet.rules == Rules() and fleet.timeout_ms == 500.0
    assert fleet.state_directory == ROOT / "deploy/fleet-state"
    content = parse((ROOT / "deploy/policy.toml").read_text(), LocalConfiguration(PRODUCTS, []))
    assert content.levels and [level.name for level in content.levels.levels] == ["checks-when-free"]
    assert parse("version = 1", LocalConfiguration(PRODUCTS, [])).levels is None


def trouble_in(text: str, own: LocalConfiguration) -> str:
    try:
        parse(text, own)
    except InvalidPolicyError as trouble:
        return str(trouble)
    return ""


def test_a_policy_is_refused_by_its_key() -> None:
    text = (ROOT / "deploy/policy.toml").read_text()
    assert trouble_in(text, LocalConfiguration(PRODUCTS, [])) == ""
    assert "form-check" in trouble_in(text, LocalConfiguration(PRODUCTS[:1], []))
    assert trouble_in(text, LocalConfiguration(PRODUCTS[:1], [])).startswith("levels.level[1].cut[1]")
    with pytest.raises(InvalidPolicyError, match="unknown field `drains`"):  # of a newer program
        parse(text.replace("version = 1", "version = 1\ndrains = 3", 1), LocalConfiguration(PRODUCTS, []))
    assert "products.x: no product" in trouble_in(
        "version = 1\n[products.x]\nvalue = 1", LocalConfiguration(PRODUCTS, [])
    )
    assert "tenants.x: no tenant" in trouble_in(
        "version = 1\n[tenants.x]\nper_s = 1", LocalConfiguration(PRODUCTS, [])
    )
    assert trouble_in(
        "version = 1\n[products.form-check]\nlate_value = 2", LocalConfiguration(PRODUCTS, [])
    ) == ("products.form-check.late_value: 2 is not between 0 and 1")
    told = parse(
        "version = 1\n[products.form-check]\nvalue = 7\n[tenants.north]\nper_s = 400",
        LocalConfiguration(PRODUCTS, [Tenant("north", 0.5), Tenant("south", 0.5, 0.02)], servers=4),
    )
    assert [product.priority_weight for product in told.products] == [1.0, 7.0, 1.0]
    assert [tenant.quota_per_ms for tenant in told.tenants] == [0.1, 0.02]
    told = parse(
        "version = 1\n[limits]\nstay_away_ms = 300\n[budgets]\ncalls = 24",
        LocalConfiguration(PRODUCTS, [], 8, Limits(500.0, 1.0, 0.1)),
    )
    assert told.limits == Limits(300.0, 3.0, 0.1)
    assert "limits.stay_away_ms: 600 is above 500, the longest delay that callers honour" in trouble_in(
        "version = 1\n[limits]\nstay_away_ms = 600", LocalConfiguration(PRODUCTS, [], 8, Limits(500.0))
    )
    assert trouble_in(
        "version = 1\n[budgets]\ncalls = 24", LocalConfiguration(PRODUCTS, [], has_shared_downstream=False)
    ) == ("budgets.calls: the servers do not share one downstream service")
    assert "limits.over_share_value: 3 is not between 0 and 1" in trouble_in(
        "version = 1\n[limits]\nover_share_value = 3", LocalConfiguration(PRODUCTS, [])
    )
    with pytest.raises(InvalidPolicyError, match="not TOML"):
        parse("version = ", LocalConfiguration(PRODUCTS, []))


class Fleet:
    """Members on a key space, in step."""

    def __init__(self, names: str, rules: Rules | None = None) -> None:
        self.judges: dict[str, Callable[[str], str]] = {}
        self.rules = rules or Rules()
        self.space, self.now = KeySpace(), 0.0
        self.disks: dict[str, MemberState] = {}
        self.members: dict[str, Member] = {}
        for name in names:
            self.start(name)

    def start(self, name: str, incarnation: str = "1", text_is_bad: str = "") -> Member:
        def validate(text: str) -> str:
            return f"{name}: bad" if text == text_is_bad else ""

        self.judges[name] = validate
        self.members[name] = Member(
            self.now,
            KEYS,
            name,
            f"{name}{incarnation}",
            f"of {name}",
            self.rules,
            validate,
            record=self.disks.get(name),
        )
        return self.members[name]

    def turn(self, *cut: str) -> None:
        """All that is wanted now is carried out; who is cut off hears nothing."""
        self.space.lapse(self.now)
        for _ in range(30):
            for name, member in self.members.items():
                for effect in member.effects(self.now):
                    if isinstance(effect, SaveState):
                        assert isinstance(effect.record, MemberState)
                        self.disks[name] = effect.record
                        outcome: object = True
                    elif isinstance(effect, ValidatePolicy):
                        outcome = self.judges[name](effect.text)
                    elif name in cut:
                        outcome = None
                    elif isinstance(effect, Read):
                        outcome = self.space.read(effect.names)
                    elif isinstance(effect, Commit):
                        outcome = self.space.commit(effect.compares, effect.writes)
                    elif hasattr(effect, "span_ms"):
                        outcome = self.space.grant(self.now, effect.span_ms)
                    else:
                        outcome = self.space.renew(self.now, effect.lease)
                    member.handle_result(self.now, effect, self.now, outcome)  # type: ignore[arg-type]

    def later(self, ms: float, *cut: str) -> None:
        ends = self.now + ms
        while self.now < ends:
            self.now += 100.0
            self.turn(*cut)

    @property
    def view(self) -> FleetSnapshot:
        return FleetSnapshot(KEYS, self.space.read(coordination_keys(KEYS)))

    def do(self, commit: Commit | None) -> bool:
        assert commit
        done = self.space.commit(commit.compares, commit.writes)
        for member in self.members.values():
            member.handle_watch_event()
        return done.succeeded

    def open(self, ident: str, text: str) -> None:
        assert self.do(propose(self.view, ident, text, "me", "why", 0.0, 5000.0))

    def admits(self) -> list[int | None]:
        return [member.admits(self.now) for member in self.members.values()]


def test_one_change_after_another_and_what_became_of_each() -> None:
    fleet = Fleet("abc")
    assert fleet.admits() == [None, None, None]
    fleet.turn()
    assert fleet.admits() == [0, 0, 0]
    fleet.open("one", "first")
    with pytest.raises(ChangeRejectedError, match="a change to version 1 is open: me, why"):
        propose(fleet.view, "two", "second", "you", "", 0.0, 5000.0)
    assert finish_change(fleet.view, False) is None
    fleet.turn()
    assert {member.admission_status(fleet.now) for member in fleet.members.values()} == {
        AdmissionStatus.PREPARED
    }
    assert fleet.do(finish_change(fleet.view, False))
    fleet.turn()
    assert fleet.admits() == [1, 1, 1]
    end = find_change(fleet.view, "one")
    assert isinstance(end, FinishedChange) and end.committed and find_change(fleet.view, "two") is None
    assert fleet.members["a"].applied_policy.text == "first"


def test_one_no_aborts_and_names_who_and_why() -> None:
    fleet = Fleet("ab")
    fleet.start("c", text_is_bad="bad")
    fleet.turn()
    fleet.open("one", "bad")
    fleet.turn()
    commit = finish_change(fleet.view, False)
    assert commit and commit.purpose == "abort" and fleet.do(commit)
    end = find_change(fleet.view, "one")
    assert isinstance(end, FinishedChange) and not end.committed and end.reason == "c: c: bad"
    fleet.turn()
    assert fleet.admits() == [0, 0, 0] and not any(m.prepared_vote for m in fleet.members.values())
    assert KEYS.text(digest_of("bad")) in fleet.space.keys  # for the history, until it is too old


def test_who_has_voted_and_hears_nothing_stands_aside_within_the_bound() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    fleet.later(1900.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.PREPARED
    fleet.later(200.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.OUTCOME_UNKNOWN
    assert fleet.admits() == [None, 0]
    assert fleet.do(finish_change(fleet.view, False))
    fleet.later(5000.0, "a")
    assert fleet.admits() == [None, 1]
    fleet.later(2500.0)
    assert fleet.admits() == [1, 1]


def test_with_no_change_open_and_no_store_the_fleet_serves_on() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    fleet.later(600_000.0, "a", "b")
    assert fleet.admits() == [0, 0]


def test_by_the_other_rule_who_is_away_stands_aside_and_is_left_out() -> None:
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.turn()
    fleet.later(5000.0, "a")
    assert fleet.admits() == [0, 0]
    fleet.later(1500.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.LEASE_EXPIRED
    fleet.open("one", "first")
    fleet.turn("a")
    commit = finish_change(fleet.view, False)
    assert commit and fleet.do(commit)
    end = find_change(fleet.view, "one")
    assert isinstance(end, FinishedChange) and end.left_out == ("a",)
    fleet.later(2500.0)
    assert fleet.admits() == [1, 1]


def test_a_start_without_the_store_by_the_folder_where_nothing_is_promised() -> None:
    rules = Rules(starts_from_directory=True)
    fleet = Fleet("ab", rules)
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    assert fleet.do(finish_change(fleet.view, False))
    fleet.turn()
    assert fleet.start("a", "2").admits(fleet.now) == 1
    fleet.later(7000.0)
    fleet.open("two", "second")
    fleet.turn()
    again = fleet.start("a", "3")
    assert again.admits(fleet.now) is None and again.admission_status(fleet.now) is AdmissionStatus.STARTING
    fleet.disks["a"] = MemberState(
        "a", "of a"
    )  # a new folder of that name: nobody knows what it has promised
    assert fleet.start("a", "4").admits(fleet.now) is None


def test_a_read_that_was_sent_before_a_lease_was_lost_and_comes_after_proves_nothing() -> None:
    """Found by walks: it showed the registration as it had been, and with a new lease the member was sure."""
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.turn()
    member = fleet.members["a"]
    fleet.now += 6000.0  # frozen, say, with a read under way
    late = Read(())
    member.handle_watch_event()
    sent = fleet.now
    effects = member.effects(fleet.now)
    assert [type(effect) for effect in effects] == [Read, RenewLease, Commit]
    late, renewal, told = effects
    assert isinstance(told, Commit) and told.purpose == "tell"  # it waits for nothing, and nothing for it
    shown = fleet.space.read(late.names)  # type: ignore[union-attr]
    fleet.space.lapse(fleet.now)
    assert shown.entries[KEYS.status("a")]
    member.handle_result(fleet.now, renewal, sent, fleet.space.renew(fleet.now, renewal.lease))  # type: ignore
    lease = member.effects(fleet.now)[0]
    member.handle_result(fleet.now, lease, fleet.now, fleet.space.grant(fleet.now, 6000.0))
    member.handle_result(fleet.now, told, sent, fleet.space.commit(told.compares, told.writes))
    member.handle_result(fleet.now, late, sent, shown)
    assert member.admits(fleet.now) is None
    fleet.turn()
    assert fleet.admits() == [0, 0]


def test_a_lease_that_another_engine_keeps_alive_has_lapsed() -> None:
    fleet = Fleet("a", Rules(absent="leave-out"))
    fleet.turn()
    true, fleet.space = fleet.space, fleet.space.copy()
    fleet.space.cluster = 7
    fleet.later(6000.0)
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.LEASE_EXPIRED
    assert "another store answers: cluster 7, not 1" in fleet.members["a"].status_detail
    fleet.space = true
    fleet.later(3000.0)
    assert fleet.admits() == [0]


def test_a_renewal_by_a_member_of_the_engine_that_lags_is_one() -> None:
    """etcd answers it with the revision of the member that was asked: after a change of address it may be
    behind what was read at another."""
    fleet = Fleet("a", Rules(absent="leave-out"))
    fleet.turn()
    member = fleet.members["a"]
    fleet.now += 2000.0
    (renewal,) = (effect for effect in member.effects(fleet.now) if isinstance(effect, RenewLease))
    told = fleet.space.renew(fleet.now, renewal.lease)
    member.handle_result(fleet.now, renewal, fleet.now, told._replace(revision=1))
    assert not member.distrust_reason and member.registration.lease_until == fleet.now + 5400.0


def test_where_the_file_names_the_engine_a_first_start_believes_no_other() -> None:
    space = KeySpace(cluster=7)
    for store_id, admits in ((0, 0), (7, 0), (9, None)):
        member = Member(
            0.0,
            KEYS,
            "a",
            "1",
            "of a",
            Rules(absent="leave-out"),
            lambda text: "",
            has_disk=False,
            cluster=store_id,
        )
        for _ in range(6):
            for effect in member.effects(0.0):
                outcome = (
                    space.read(effect.names)
                    if isinstance(effect, Read)
                    else space.commit(effect.compares, effect.writes)
                    if isinstance(effect, Commit)
                    else space.grant(0.0, 6000.0)
                )
                member.handle_result(0.0, effect, 0.0, outcome)
        assert member.admits(0.0) == admits
        space = KeySpace(cluster=7)


def test_a_folder_is_not_believed_where_the_roster_left_out_its_server_until_now() -> None:
    """Found by walks once rules may change with a restart: the file says `wait` now, and the change that was
    made while the server was down went by what the roster said."""
    waits = Rules(starts_from_directory=True)
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.turn()
    del fleet.members["a"]
    fleet.later(7000.0)
    fleet.open("one", "first")
    fleet.turn()
    assert fleet.do(finish_change(fleet.view, False))
    fleet.rules = waits
    assert fleet.start("a", "2").admits(fleet.now) is None
    fleet.turn()
    assert fleet.admits() == [1, 1] and fleet.disks["a"].waits_for_member
    assert fleet.start("a", "3").admits(fleet.now) == 1
    fleet.rules = Rules(absent="leave-out")  # and back: the folder says so before the roster does
    back = fleet.start("a", "4")
    fleet.later(7000.0, "a")
    assert not fleet.disks["a"].waits_for_member and back.admits(fleet.now) is None
    fleet.later(3000.0)
    assert FleetSnapshot(KEYS, fleet.space.read([KEYS.rosters])).rosters["a"].absent == "leave-out"


def test_a_store_that_went_back_or_is_another_one_is_not_believed() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    old = fleet.space.copy()
    fleet.open("one", "first")
    fleet.turn()
    assert fleet.do(finish_change(fleet.view, False))
    fleet.turn()
    fleet.space = old
    fleet.later(11_000.0)
    assert fleet.admits() == [1, 1] and "revision went back" in fleet.members["a"].status_detail
    fleet.space = KeySpace(cluster=7, revision=900)
    fleet.later(11_000.0)
    assert fleet.admits() == [1, 1] and "another store answers" in fleet.members["a"].status_detail


def test_a_name_is_one_process_s_until_an_operator_says_that_it_is_gone() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    first = fleet.members.pop("a")
    twin = Member(fleet.now, KEYS, "a", "twin", "another folder", fleet.rules, lambda text: "")
    fleet.members["a"] = twin
    fleet.turn()
    assert twin.admission_status(fleet.now) is AdmissionStatus.NAME_TAKEN
    with pytest.raises(ChangeRejectedError, match="a is up: its lease has not expired"):
        remove_member(fleet.view, "a")
    fleet.later(7000.0)
    assert (
        twin.admission_status(fleet.now) is AdmissionStatus.FOREIGN_DIRECTORY and first.admits(fleet.now) == 0
    )
    assert fleet.do(remove_member(fleet.view, "a"))
    fleet.later(4000.0)
    assert twin.admits(fleet.now) == 0
    with pytest.raises(ChangeRejectedError, match="z is not on the roster"):
        remove_member(fleet.view, "z")


def test_a_disk_that_is_full_is_a_no_and_no_promise() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    member = fleet.members["a"]
    fleet.open("one", "first")
    for _ in range(20):
        for effect in member.effects(fleet.now):
            outcome: object = False if isinstance(effect, SaveState) else None
            if isinstance(effect, ValidatePolicy):
                outcome = ""
            elif isinstance(effect, Read):
                outcome = fleet.space.read(effect.names)
            elif isinstance(effect, Commit):
                outcome = fleet.space.commit(effect.compares, effect.writes)
            member.handle_result(fleet.now, effect, fleet.now, outcome)  # type: ignore[arg-type]
    vote = fleet.view.vote("a")
    assert vote and not vote.accepted and "could not be written" in vote.reason
    assert member.prepared_vote is None and member.admits(fleet.now) == 0


def test_a_change_is_withdrawn_and_ends_at_its_deadline() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    fleet.open("one", "first")
    assert fleet.do(withdraw(fleet.view, "one", "no more"))
    with pytest.raises(ChangeRejectedError, match="the change is no longer open"):
        withdraw(fleet.view, "one", "no more")
    fleet.open("two", "second")
    assert finish_change(fleet.view, False) is None
    commit = finish_change(fleet.view, True)
    assert commit and fleet.do(commit)
    end = find_change(fleet.view, "two")
    assert isinstance(end, FinishedChange) and end.reason == "no vote in time from a, b"


def test_a_record_that_can_t_be_read_is_a_no_or_alive() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    status = fleet.space.keys[KEYS.status("b")]
    fleet.space.keys[KEYS.status("b")] = status._replace(value=b"{")
    assert fleet.view.statuses["b"].incarnation == ""
    fleet.space.keys[KEYS.vote("b")] = fleet.space.keys[KEYS.vote("b")]._replace(value=b"yes")
    commit = finish_change(fleet.view, False)
    assert commit and commit.purpose == "abort" and fleet.do(commit)
    end = find_change(fleet.view, "one")
    assert isinstance(end, FinishedChange) and end.reason == "b: its vote can't be read"


def on_trial(bounds: dict[str, float], figures: dict[str, dict[str, float]], ms: float) -> Fleet:
    """A fleet whose second policy was tried out for so long, with these figures of its members."""
    fleet = Fleet("abc")
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    assert fleet.do(finish_change(fleet.view, False))
    fleet.turn()
    conditions = tuple(bounds.items())
    assert fleet.do(propose(fleet.view, "two", "second", "me", "why", 0.0, 5000.0, 10_000.0, conditions))
    fleet.turn()
    assert fleet.do(finish_change(fleet.view, False))
    coordinator, ends = ChangeCoordinator(KEYS, "any", requires_leadership=False), fleet.now + ms
    while fleet.now < ends:
        for name, told in figures.items():
            fleet.members[name].reporter.metrics = tuple(told.items())
        fleet.later(100.0)
        view = fleet.view
        opened = view.change.id if view.change else trial_id(view.trial) if view.trial else ""
        effect = coordinator.effects(fleet.now, opened, False, False, 0, 0)
        if isinstance(effect, Read):
            commit = coordinator.handle_result(fleet.now, effect, fleet.space.read(effect.names))
            if commit:
                coordinator.handle_result(
                    fleet.now, commit, fleet.space.commit(commit.compares, commit.writes)
                )
                for member in fleet.members.values():
                    member.handle_watch_event()
    fleet.turn()
    return fleet


@pytest.mark.parametrize(
    ("figures", "goes_back"),
    [
        ({"a": {"busy": 0.9}, "b": {"busy": 0.9}, "c": {"busy": 0.9}}, True),
        ({"a": {"busy": 2.0}, "b": {"busy": 0.1}, "c": {"busy": 0.1}}, True),  # 0.73 in the mean
        ({"a": {"busy": 0.9}, "b": {"busy": 0.1}, "c": {"busy": 0.1}}, False),
        ({"a": {"busy": 9.0}}, False),  # one of three: the others are not known, and not taken for idle
        ({"a": {"busy": float("nan")}, "b": {"busy": float("nan")}, "c": {"busy": 0.1}}, False),
    ],
)
def test_a_policy_on_trial_goes_back_by_the_mean_of_the_fleet(figures: dict, goes_back: bool) -> None:
    fleet = on_trial({"busy": 0.5}, figures, 9_000.0)
    assert fleet.admits() == ([3, 3, 3] if goes_back else [2, 2, 2])
    assert fleet.members["a"].applied_policy.text == ("first" if goes_back else "second")
    if goes_back:
        end = find_change(fleet.view, "back-two")
        assert isinstance(end, FinishedChange) and end.author == "the fleet"
        assert "trial of version 2 ended" in end.note
    assert (fleet.view.trial is None) is goes_back


def test_a_trial_ends_and_a_first_policy_has_none() -> None:
    calm = {name: {"busy": 0.1} for name in "abc"}
    fleet = on_trial({"busy": 0.5}, calm, 12_000.0)
    assert fleet.admits() == [2, 2, 2] and fleet.view.trial is None
    with pytest.raises(ChangeRejectedError, match="a trial needs an earlier policy"):
        propose(Fleet("a").view, "x", "text", "", "", 0.0, 5000.0, 1000.0, (("busy", 0.5),))


def begun_and_saved(fleet: Fleet, member: Member) -> list[object]:
    """What the member wants now, beside the disk, which is quick."""
    begun = member.effects(fleet.now)
    for effect in begun:
        if isinstance(effect, SaveState):
            member.handle_result(fleet.now, effect, fleet.now, True)
    return [effect for effect in begun if not isinstance(effect, SaveState)]


@pytest.mark.parametrize("is_opening_there", [True, False])
def test_a_read_that_is_due_anyway_brings_the_text_and_a_vote_goes_before_what_is_told(
    is_opening_there: bool,
) -> None:
    """The read that first sees a change brings its text; where the opener had none, the next read that is
    due."""
    fleet = Fleet("a")
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    fleet.do(finish_change(fleet.view, False))
    member = fleet.members["a"]
    (read,) = begun_and_saved(fleet, member)
    assert isinstance(read, Read)
    fleet.open("two", "second")  # while that read is under way, which is to see it
    if not is_opening_there:
        fleet.space.commit((), [Delete(KEYS.opening)])
    assert KEYS.opening in read.names
    member.handle_result(fleet.now, read, fleet.now, fleet.space.read(read.names))
    begun = begun_and_saved(fleet, member)
    if not is_opening_there:
        (read,) = begun
        assert isinstance(read, Read) and KEYS.text(digest_of("second")) in read.names
        fleet.now += 5000.0  # what it has to tell is long due
        member.handle_result(fleet.now, read, fleet.now, fleet.space.read(read.names))
        begun = begun_and_saved(fleet, member)
    # No further read, though a hint has come, nor what it tells.
    assert not [effect for effect in begun if isinstance(effect, Read | Commit)]
    (validate,) = (effect for effect in begun if isinstance(effect, ValidatePolicy))
    member.handle_result(fleet.now, validate, fleet.now, "")
    commits = [effect for _ in range(2) for effect in begun_and_saved(fleet, member)]
    assert [commit.purpose for commit in commits if isinstance(commit, Commit)] == ["vote"]
    assert not [effect for effect in commits if isinstance(effect, Read)]
    fleet.do(next(effect for effect in commits if isinstance(effect, Commit)))
    assert fleet.view.votes["a"].accepted


def test_a_settler_takes_the_duty_once_and_commits_what_it_counted() -> None:
    fleet = Fleet("ab")
    fleet.turn()
    fleet.open("one", "first")
    fleet.turn()
    coordinator, member, now = ChangeCoordinator(KEYS, "a"), fleet.members["a"], fleet.now
    asked = None
    while asked is None:
        now += 50.0
        asked = coordinator.effects(now, "one", False, False, member.lease, member.registered)
    assert isinstance(asked, Commit) and asked.purpose == "lead" and fleet.do(asked)
    assert coordinator.handle_result(now, asked, fleet.space.commit((), ())) is None
    read = coordinator.effects(now, "one", True, True, member.lease, member.registered)
    assert isinstance(read, Read)
    commit = coordinator.handle_result(now, read, fleet.space.read(read.names))
    assert commit and commit.purpose == "commit" and fleet.do(commit)


@pytest.mark.parametrize("absent", ["wait", "leave-out"])
def test_forty_servers_through_plans_of_faults_in_simulated_time(absent: str) -> None:
    results = [play(40, seed, 6, absent) for seed in range(10)]
    assert [result.breaches for result in results] == [0] * 10 and all(result.agreed for result in results)
    assert sum(result.committed for result in results) >= 6
    calm = play(40, 1, 0, absent)
    assert calm.committed and calm.last_switch_ms < 100.0 and calm.suspended_share == 0.0


@pytest.mark.parametrize(("latency_ms", "least", "most"), [(2.0, 10.0, 50.0), (400.0, 750.0, 1550.0)])
def test_a_relay_near_the_store_takes_the_leadership_before_one_far_from_it(
    latency_ms: float, least: float, most: float
) -> None:
    coordinator = ChangeCoordinator(KEYS, "a", retains_leadership=True)
    coordinator.latency_ms = latency_ms
    assert coordinator.effects(0.0, "", False, False, 1, 1) is None
    now = coordinator.due()
    assert least <= now <= most
    coordinator.handle_watch_event(1.0)
    assert (
        coordinator.effects(1.0, "", False, False, 1, 1) is None
    ), "a hint is no reason to come forward sooner"
    assert coordinator.due() == now
    taken = coordinator.effects(now, "", False, False, 1, 1)
    assert isinstance(taken, Commit) and taken.purpose == "lead"


def test_a_relay_that_waits_to_come_forward_does_not_where_another_has() -> None:
    coordinator = ChangeCoordinator(KEYS, "a", retains_leadership=True)
    assert coordinator.effects(0.0, "", False, False, 1, 1) is None
    assert coordinator.effects(coordinator.due(), "", False, True, 1, 1) is None
    assert coordinator.effects(coordinator.due(), "", False, False, 1, 1) is None, "it waits anew"


def test_the_design_page_has_the_admission_statuses_of_the_code() -> None:
    page = (ROOT / "docs/design/fleet.md").read_text()
    rows = [
        f"| `{status.label}` | {'yes' if status.admits else 'no'} | {status.description} |"
        for status in AdmissionStatus
    ]
    assert "| status | admits | |\n| --- | --- | --- |\n" + "\n".join(rows) + "\n\n" in page


def test_a_record_is_shown_whole_by_its_stored_names() -> None:
    end = FinishedChange("c-1", 1, "ab", False, "late")
    assert stored_fields(end) == dict(
        id="c-1", version=1, digest="ab", committed=False, why="late", author="", note="", left_out=()
    )
