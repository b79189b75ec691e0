"""Tests the fleet file, the policy parser, the commits of a change, and the admission status of members, all
without a server."""

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
VALID_FILE = 'version = 1\nfleet = "f"\nstore = ["127.0.0.1:2379"]\nfolder = "state"\n'
KEYS = Keys("f")
PRODUCTS = [
    RequestClass(name, Idempotency.SAFE, 1.0, 1000.0, 2000.0)
    for name in ("addr-lookup", "form-check", "form-submit")
]


@pytest.mark.parametrize(
    ("replacement", "message"),
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
def test_an_invalid_fleet_file_is_rejected_with_its_key(
    tmp_path: Path, replacement: tuple[str, str], message: str
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(VALID_FILE.replace(*replacement))
    with pytest.raises(InvalidFleetError) as raised:
        read_fleet(path)
    assert str(raised.value).startswith(message) and "\n" not in str(raised.value)


def test_the_example_files_are_valid() -> None:
    fleet = read_fleet(ROOT / "deploy/fleet.toml")
    assert fleet.rules == Rules() and fleet.timeout_ms == 500.0
    assert fleet.state_directory == ROOT / "deploy/fleet-state"
    content = parse((ROOT / "deploy/policy.toml").read_text(), LocalConfiguration(PRODUCTS, []))
    assert content.levels and [level.name for level in content.levels.levels] == ["checks-when-free"]
    assert parse("version = 1", LocalConfiguration(PRODUCTS, [])).levels is None


def rejection_of(text: str, local: LocalConfiguration) -> str:
    """Returns why the policy is invalid, "" if it is valid."""
    try:
        parse(text, local)
    except InvalidPolicyError as error:
        return str(error)
    return ""


def test_an_invalid_policy_is_rejected_with_its_key() -> None:
    text = (ROOT / "deploy/policy.toml").read_text()
    assert rejection_of(text, LocalConfiguration(PRODUCTS, [])) == ""
    assert "form-check" in rejection_of(text, LocalConfiguration(PRODUCTS[:1], []))
    assert rejection_of(text, LocalConfiguration(PRODUCTS[:1], [])).startswith("levels.level[1].cut[1]")
    with pytest.raises(InvalidPolicyError, match="unknown field `drains`"):  # a key of a newer program
        parse(text.replace("version = 1", "version = 1\ndrains = 3", 1), LocalConfiguration(PRODUCTS, []))
    assert "products.x: no product" in rejection_of(
        "version = 1\n[products.x]\nvalue = 1", LocalConfiguration(PRODUCTS, [])
    )
    assert "tenants.x: no tenant" in rejection_of(
        "version = 1\n[tenants.x]\nper_s = 1", LocalConfiguration(PRODUCTS, [])
    )
    assert rejection_of(
        "version = 1\n[products.form-check]\nlate_value = 2", LocalConfiguration(PRODUCTS, [])
    ) == ("products.form-check.late_value: 2 is not between 0 and 1")
    content = parse(
        "version = 1\n[products.form-check]\nvalue = 7\n[tenants.north]\nper_s = 400",
        LocalConfiguration(PRODUCTS, [Tenant("north", 0.5), Tenant("south", 0.5, 0.02)], servers=4),
    )
    assert [product.priority_weight for product in content.products] == [1.0, 7.0, 1.0]
    assert [tenant.quota_per_ms for tenant in content.tenants] == [0.1, 0.02]
    content = parse(
        "version = 1\n[limits]\nstay_away_ms = 300\n[budgets]\ncalls = 24",
        LocalConfiguration(PRODUCTS, [], 8, Limits(500.0, 1.0, 0.1)),
    )
    assert content.limits == Limits(300.0, 3.0, 0.1)
    assert "limits.stay_away_ms: 600 is above 500, the longest delay that callers honour" in rejection_of(
        "version = 1\n[limits]\nstay_away_ms = 600", LocalConfiguration(PRODUCTS, [], 8, Limits(500.0))
    )
    assert rejection_of(
        "version = 1\n[budgets]\ncalls = 24", LocalConfiguration(PRODUCTS, [], has_shared_downstream=False)
    ) == ("budgets.calls: the servers do not share one downstream service")
    assert "limits.over_share_value: 3 is not between 0 and 1" in rejection_of(
        "version = 1\n[limits]\nover_share_value = 3", LocalConfiguration(PRODUCTS, [])
    )
    with pytest.raises(InvalidPolicyError, match="not TOML"):
        parse("version = ", LocalConfiguration(PRODUCTS, []))


class Fleet:
    """Members that share a simulated store and one clock."""

    def __init__(self, names: str, rules: Rules | None = None) -> None:
        self.validators: dict[str, Callable[[str], str]] = {}
        self.rules = rules or Rules()
        self.space, self.now = KeySpace(), 0.0
        self.disks: dict[str, MemberState] = {}
        self.members: dict[str, Member] = {}
        for name in names:
            self.start(name)

    def start(self, name: str, incarnation: str = "1", rejected_text: str = "") -> Member:
        def validate(text: str) -> str:
            return f"{name}: bad" if text == rejected_text else ""

        self.validators[name] = validate
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

    def run_due(self, *cut: str) -> None:
        """Carries out all effects that are due now. The members named by `cut` get no answers from the
        store."""
        self.space.expire_leases(self.now)
        for _ in range(30):
            for name, member in self.members.items():
                for effect in member.effects(self.now):
                    if isinstance(effect, SaveState):
                        assert isinstance(effect.record, MemberState)
                        self.disks[name] = effect.record
                        outcome: object = True
                    elif isinstance(effect, ValidatePolicy):
                        outcome = self.validators[name](effect.text)
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

    def advance(self, ms: float, *cut: str) -> None:
        """Advances the clock by `ms` and carries out the effects that become due, as in `run_due`."""
        end = self.now + ms
        while self.now < end:
            self.now += 100.0
            self.run_due(*cut)

    @property
    def snapshot(self) -> FleetSnapshot:
        return FleetSnapshot(KEYS, self.space.read(coordination_keys(KEYS)))

    def commit(self, commit: Commit | None) -> bool:
        """Commits to the store and notifies all members. Returns whether the commit succeeded."""
        assert commit
        result = self.space.commit(commit.compares, commit.writes)
        for member in self.members.values():
            member.handle_watch_event()
        return result.succeeded

    def open(self, change_id: str, text: str) -> None:
        assert self.commit(propose(self.snapshot, change_id, text, "me", "why", 0.0, 5000.0))

    def admits(self) -> list[int | None]:
        return [member.admits(self.now) for member in self.members.values()]


def test_a_change_is_committed_and_a_second_one_is_rejected_while_it_is_open() -> None:
    fleet = Fleet("abc")
    assert fleet.admits() == [None, None, None]
    fleet.run_due()
    assert fleet.admits() == [0, 0, 0]
    fleet.open("one", "first")
    with pytest.raises(ChangeRejectedError, match="a change to version 1 is open: me, why"):
        propose(fleet.snapshot, "two", "second", "you", "", 0.0, 5000.0)
    assert finish_change(fleet.snapshot, False) is None
    fleet.run_due()
    assert {member.admission_status(fleet.now) for member in fleet.members.values()} == {
        AdmissionStatus.PREPARED
    }
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.run_due()
    assert fleet.admits() == [1, 1, 1]
    end = find_change(fleet.snapshot, "one")
    assert isinstance(end, FinishedChange) and end.committed and find_change(fleet.snapshot, "two") is None
    assert fleet.members["a"].applied_policy.text == "first"


def test_one_rejection_aborts_the_change_and_is_its_reason() -> None:
    fleet = Fleet("ab")
    fleet.start("c", rejected_text="bad")
    fleet.run_due()
    fleet.open("one", "bad")
    fleet.run_due()
    commit = finish_change(fleet.snapshot, False)
    assert commit and commit.purpose == "abort" and fleet.commit(commit)
    end = find_change(fleet.snapshot, "one")
    assert isinstance(end, FinishedChange) and not end.committed and end.reason == "c: c: bad"
    fleet.run_due()
    assert fleet.admits() == [0, 0, 0] and not any(m.prepared_vote for m in fleet.members.values())
    assert KEYS.text(digest_of("bad")) in fleet.space.keys  # kept for the history


def test_a_member_with_a_vote_suspends_admission_within_the_bound_if_it_is_cut_off() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    fleet.advance(1900.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.PREPARED
    fleet.advance(200.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.OUTCOME_UNKNOWN
    assert fleet.admits() == [None, 0]
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.advance(5000.0, "a")
    assert fleet.admits() == [None, 1]
    fleet.advance(2500.0)
    assert fleet.admits() == [1, 1]


def test_a_fleet_keeps_serving_without_the_store_if_no_change_is_open() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    fleet.advance(600_000.0, "a", "b")
    assert fleet.admits() == [0, 0]


def test_under_leave_out_a_member_that_is_cut_off_suspends_admission_and_is_left_out() -> None:
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.run_due()
    fleet.advance(5000.0, "a")
    assert fleet.admits() == [0, 0]
    fleet.advance(1500.0, "a")
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.LEASE_EXPIRED
    fleet.open("one", "first")
    fleet.run_due("a")
    commit = finish_change(fleet.snapshot, False)
    assert commit and fleet.commit(commit)
    end = find_change(fleet.snapshot, "one")
    assert isinstance(end, FinishedChange) and end.left_out == ("a",)
    fleet.advance(2500.0)
    assert fleet.admits() == [1, 1]


def test_a_start_from_the_state_directory_admits_only_without_a_prepared_vote() -> None:
    rules = Rules(starts_from_directory=True)
    fleet = Fleet("ab", rules)
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.run_due()
    assert fleet.start("a", "2").admits(fleet.now) == 1
    fleet.advance(7000.0)
    fleet.open("two", "second")
    fleet.run_due()
    restarted = fleet.start("a", "3")
    assert restarted.admits(fleet.now) is None
    assert restarted.admission_status(fleet.now) is AdmissionStatus.STARTING
    # A new directory has no record of the votes of earlier processes.
    fleet.disks["a"] = MemberState("a", "of a")
    assert fleet.start("a", "4").admits(fleet.now) is None


def test_a_read_sent_before_the_lease_was_lost_is_ignored() -> None:
    """The late result of such a read still shows the lost registration. Together with a new lease it made the
    member admit without being registered. Random walks of the model search found this."""
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.run_due()
    member = fleet.members["a"]
    fleet.now += 6000.0  # as if the process had been frozen with a read in flight
    late = Read(())
    member.handle_watch_event()
    sent = fleet.now
    effects = member.effects(fleet.now)
    assert [type(effect) for effect in effects] == [Read, RenewLease, Commit]
    late, renewal, report = effects
    assert isinstance(report, Commit) and report.purpose == "tell"  # a report is independent of other effects
    old_snapshot = fleet.space.read(late.names)  # type: ignore[union-attr]
    fleet.space.expire_leases(fleet.now)
    assert old_snapshot.entries[KEYS.status("a")]
    member.handle_result(fleet.now, renewal, sent, fleet.space.renew(fleet.now, renewal.lease))  # type: ignore
    lease = member.effects(fleet.now)[0]
    member.handle_result(fleet.now, lease, fleet.now, fleet.space.grant(fleet.now, 6000.0))
    member.handle_result(fleet.now, report, sent, fleet.space.commit(report.compares, report.writes))
    member.handle_result(fleet.now, late, sent, old_snapshot)
    assert member.admits(fleet.now) is None
    fleet.run_due()
    assert fleet.admits() == [0, 0]


def test_a_lease_that_another_store_renews_counts_as_expired() -> None:
    fleet = Fleet("a", Rules(absent="leave-out"))
    fleet.run_due()
    original, fleet.space = fleet.space, fleet.space.copy()
    fleet.space.cluster = 7
    fleet.advance(6000.0)
    assert fleet.members["a"].admission_status(fleet.now) is AdmissionStatus.LEASE_EXPIRED
    assert "another store answers: cluster 7, not 1" in fleet.members["a"].status_detail
    fleet.space = original
    fleet.advance(3000.0)
    assert fleet.admits() == [0]


def test_a_renewal_answered_by_a_lagging_store_node_counts() -> None:
    """etcd answers a renewal with the revision of the node that was asked. After a change of address, that
    revision may be older than one that was read from another node."""
    fleet = Fleet("a", Rules(absent="leave-out"))
    fleet.run_due()
    member = fleet.members["a"]
    fleet.now += 2000.0
    (renewal,) = (effect for effect in member.effects(fleet.now) if isinstance(effect, RenewLease))
    result = fleet.space.renew(fleet.now, renewal.lease)
    member.handle_result(fleet.now, renewal, fleet.now, result._replace(revision=1))
    assert not member.distrust_reason and member.registration.lease_until == fleet.now + 5400.0


def test_a_first_start_trusts_only_the_store_that_the_file_names() -> None:
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


def test_a_state_directory_is_not_trusted_if_the_roster_said_leave_out_until_now() -> None:
    """The fleet file of a server changed from "leave-out" to "wait" while the server was down. A change
    committed in the meantime left the server out, because the roster still said "leave-out". The server must
    not start from its directory then. Random walks of the model search found this."""
    waits = Rules(starts_from_directory=True)
    fleet = Fleet("ab", Rules(absent="leave-out"))
    fleet.run_due()
    del fleet.members["a"]
    fleet.advance(7000.0)
    fleet.open("one", "first")
    fleet.run_due()
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.rules = waits
    assert fleet.start("a", "2").admits(fleet.now) is None
    fleet.run_due()
    assert fleet.admits() == [1, 1] and fleet.disks["a"].waits_for_member
    assert fleet.start("a", "3").admits(fleet.now) == 1
    # When the rules change back, the directory says so before the roster does.
    fleet.rules = Rules(absent="leave-out")
    restarted = fleet.start("a", "4")
    fleet.advance(7000.0, "a")
    assert not fleet.disks["a"].waits_for_member and restarted.admits(fleet.now) is None
    fleet.advance(3000.0)
    assert FleetSnapshot(KEYS, fleet.space.read([KEYS.rosters])).rosters["a"].absent == "leave-out"


def test_an_older_copy_of_the_store_and_another_store_are_not_trusted() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    old = fleet.space.copy()
    fleet.open("one", "first")
    fleet.run_due()
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.run_due()
    fleet.space = old
    fleet.advance(11_000.0)
    assert fleet.admits() == [1, 1] and "revision went back" in fleet.members["a"].status_detail
    fleet.space = KeySpace(cluster=7, revision=900)
    fleet.advance(11_000.0)
    assert fleet.admits() == [1, 1] and "another store answers" in fleet.members["a"].status_detail


def test_a_name_belongs_to_one_state_directory_until_an_operator_removes_the_member() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    first = fleet.members.pop("a")
    twin = Member(fleet.now, KEYS, "a", "twin", "another directory", fleet.rules, lambda text: "")
    fleet.members["a"] = twin
    fleet.run_due()
    assert twin.admission_status(fleet.now) is AdmissionStatus.NAME_TAKEN
    with pytest.raises(ChangeRejectedError, match="a is up: its lease has not expired"):
        remove_member(fleet.snapshot, "a")
    fleet.advance(7000.0)
    assert (
        twin.admission_status(fleet.now) is AdmissionStatus.FOREIGN_DIRECTORY and first.admits(fleet.now) == 0
    )
    assert fleet.commit(remove_member(fleet.snapshot, "a"))
    fleet.advance(4000.0)
    assert twin.admits(fleet.now) == 0
    with pytest.raises(ChangeRejectedError, match="z is not on the roster"):
        remove_member(fleet.snapshot, "z")


def test_a_full_disk_leads_to_a_rejection_and_no_prepared_vote() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
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
    vote = fleet.snapshot.vote("a")
    assert vote and not vote.accepted and "could not be written" in vote.reason
    assert member.prepared_vote is None and member.admits(fleet.now) == 0


def test_a_change_can_be_withdrawn_and_is_aborted_at_its_deadline() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    fleet.open("one", "first")
    assert fleet.commit(withdraw(fleet.snapshot, "one", "no more"))
    with pytest.raises(ChangeRejectedError, match="the change is no longer open"):
        withdraw(fleet.snapshot, "one", "no more")
    fleet.open("two", "second")
    assert finish_change(fleet.snapshot, False) is None
    commit = finish_change(fleet.snapshot, True)
    assert commit and fleet.commit(commit)
    end = find_change(fleet.snapshot, "two")
    assert isinstance(end, FinishedChange) and end.reason == "no vote in time from a, b"


def test_an_invalid_vote_is_a_rejection_and_an_invalid_status_counts_as_up() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    status = fleet.space.keys[KEYS.status("b")]
    fleet.space.keys[KEYS.status("b")] = status._replace(value=b"{")
    assert fleet.snapshot.statuses["b"].incarnation == ""
    fleet.space.keys[KEYS.vote("b")] = fleet.space.keys[KEYS.vote("b")]._replace(value=b"yes")
    commit = finish_change(fleet.snapshot, False)
    assert commit and commit.purpose == "abort" and fleet.commit(commit)
    end = find_change(fleet.snapshot, "one")
    assert isinstance(end, FinishedChange) and end.reason == "b: its vote can't be read"


def fleet_on_trial(bounds: dict[str, float], metrics: dict[str, dict[str, float]], ms: float) -> Fleet:
    """Returns a fleet whose second policy has been on trial for `ms`, while its members reported
    `metrics`."""
    fleet = Fleet("abc")
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    assert fleet.commit(finish_change(fleet.snapshot, False))
    fleet.run_due()
    conditions = tuple(bounds.items())
    assert fleet.commit(
        propose(fleet.snapshot, "two", "second", "me", "why", 0.0, 5000.0, 10_000.0, conditions)
    )
    fleet.run_due()
    assert fleet.commit(finish_change(fleet.snapshot, False))
    coordinator, end = ChangeCoordinator(KEYS, "any", requires_leadership=False), fleet.now + ms
    while fleet.now < end:
        for name, values in metrics.items():
            fleet.members[name].reporter.metrics = tuple(values.items())
        fleet.advance(100.0)
        snapshot = fleet.snapshot
        trial = trial_id(snapshot.trial) if snapshot.trial else ""
        change_id = snapshot.change.id if snapshot.change else trial
        effect = coordinator.effects(fleet.now, change_id, False, False, 0, 0)
        if isinstance(effect, Read):
            commit = coordinator.handle_result(fleet.now, effect, fleet.space.read(effect.names))
            if commit:
                coordinator.handle_result(
                    fleet.now, commit, fleet.space.commit(commit.compares, commit.writes)
                )
                for member in fleet.members.values():
                    member.handle_watch_event()
    fleet.run_due()
    return fleet


@pytest.mark.parametrize(
    ("metrics", "rolls_back"),
    [
        ({"a": {"busy": 0.9}, "b": {"busy": 0.9}, "c": {"busy": 0.9}}, True),
        ({"a": {"busy": 2.0}, "b": {"busy": 0.1}, "c": {"busy": 0.1}}, True),  # the mean is 0.73
        ({"a": {"busy": 0.9}, "b": {"busy": 0.1}, "c": {"busy": 0.1}}, False),
        ({"a": {"busy": 9.0}}, False),  # only one of three reports: the others are not assumed to be idle
        ({"a": {"busy": float("nan")}, "b": {"busy": float("nan")}, "c": {"busy": 0.1}}, False),
    ],
)
def test_a_policy_on_trial_is_rolled_back_if_the_mean_exceeds_the_bound(
    metrics: dict, rolls_back: bool
) -> None:
    fleet = fleet_on_trial({"busy": 0.5}, metrics, 9_000.0)
    assert fleet.admits() == ([3, 3, 3] if rolls_back else [2, 2, 2])
    assert fleet.members["a"].applied_policy.text == ("first" if rolls_back else "second")
    if rolls_back:
        end = find_change(fleet.snapshot, "back-two")
        assert isinstance(end, FinishedChange) and end.author == "the fleet"
        assert "trial of version 2 ended" in end.note
    assert (fleet.snapshot.trial is None) is rolls_back


def test_a_trial_ends_after_its_duration_and_is_not_possible_for_a_first_policy() -> None:
    idle = {name: {"busy": 0.1} for name in "abc"}
    fleet = fleet_on_trial({"busy": 0.5}, idle, 12_000.0)
    assert fleet.admits() == [2, 2, 2] and fleet.snapshot.trial is None
    with pytest.raises(ChangeRejectedError, match="a trial needs an earlier policy"):
        propose(Fleet("a").snapshot, "x", "text", "", "", 0.0, 5000.0, 1000.0, (("busy", 0.5),))


def effects_after_saves(fleet: Fleet, member: Member) -> list[object]:
    """Returns the member's effects that are due, except saves, which are completed at once."""
    effects = member.effects(fleet.now)
    for effect in effects:
        if isinstance(effect, SaveState):
            member.handle_result(fleet.now, effect, fleet.now, True)
    return [effect for effect in effects if not isinstance(effect, SaveState)]


@pytest.mark.parametrize("has_opening_text", [True, False])
def test_the_first_read_of_a_change_includes_its_text_and_the_vote_precedes_reports(
    has_opening_text: bool,
) -> None:
    """A member reads the text of a new change with the read that first shows the change, or with the next one
    if the key `opening` is missing. It then votes before it reads again or reports its status."""
    fleet = Fleet("a")
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    fleet.commit(finish_change(fleet.snapshot, False))
    member = fleet.members["a"]
    (read,) = effects_after_saves(fleet, member)
    assert isinstance(read, Read)
    fleet.open("two", "second")  # the read in flight will show this change
    if not has_opening_text:
        fleet.space.commit((), [Delete(KEYS.opening)])
    assert KEYS.opening in read.names
    member.handle_result(fleet.now, read, fleet.now, fleet.space.read(read.names))
    effects = effects_after_saves(fleet, member)
    if not has_opening_text:
        (read,) = effects
        assert isinstance(read, Read) and KEYS.text(digest_of("second")) in read.names
        fleet.now += 5000.0  # a status report has become due
        member.handle_result(fleet.now, read, fleet.now, fleet.space.read(read.names))
        effects = effects_after_saves(fleet, member)
    # Neither the read for the watch event nor the status report goes before the vote.
    assert not [effect for effect in effects if isinstance(effect, Read | Commit)]
    (validate,) = (effect for effect in effects if isinstance(effect, ValidatePolicy))
    member.handle_result(fleet.now, validate, fleet.now, "")
    commits = [effect for _ in range(2) for effect in effects_after_saves(fleet, member)]
    assert [commit.purpose for commit in commits if isinstance(commit, Commit)] == ["vote"]
    assert not [effect for effect in commits if isinstance(effect, Read)]
    fleet.commit(next(effect for effect in commits if isinstance(effect, Commit)))
    assert fleet.snapshot.votes["a"].accepted


def test_a_coordinator_claims_the_leadership_and_commits_by_the_votes() -> None:
    fleet = Fleet("ab")
    fleet.run_due()
    fleet.open("one", "first")
    fleet.run_due()
    coordinator, member, now = ChangeCoordinator(KEYS, "a"), fleet.members["a"], fleet.now
    claim = None
    while claim is None:
        now += 50.0
        claim = coordinator.effects(now, "one", False, False, member.lease, member.registered)
    assert isinstance(claim, Commit) and claim.purpose == "lead" and fleet.commit(claim)
    assert coordinator.handle_result(now, claim, fleet.space.commit((), ())) is None
    read = coordinator.effects(now, "one", True, True, member.lease, member.registered)
    assert isinstance(read, Read)
    commit = coordinator.handle_result(now, read, fleet.space.read(read.names))
    assert commit and commit.purpose == "commit" and fleet.commit(commit)


@pytest.mark.parametrize("absent", ["wait", "leave-out"])
def test_forty_simulated_servers_keep_all_guarantees_under_faults(absent: str) -> None:
    results = [play(40, seed, 6, absent) for seed in range(10)]
    assert [result.breaches for result in results] == [0] * 10 and all(result.agreed for result in results)
    assert sum(result.committed for result in results) >= 6
    no_faults = play(40, 1, 0, absent)
    assert no_faults.committed and no_faults.last_switch_ms < 100.0 and no_faults.suspended_share == 0.0


@pytest.mark.parametrize(
    ("latency_ms", "min_delay_ms", "max_delay_ms"), [(2.0, 10.0, 50.0), (400.0, 750.0, 1550.0)]
)
def test_a_relay_with_a_lower_latency_claims_the_leadership_earlier(
    latency_ms: float, min_delay_ms: float, max_delay_ms: float
) -> None:
    coordinator = ChangeCoordinator(KEYS, "a", retains_leadership=True)
    coordinator.latency_ms = latency_ms
    assert coordinator.effects(0.0, "", False, False, 1, 1) is None
    now = coordinator.due()
    assert min_delay_ms <= now <= max_delay_ms
    coordinator.handle_watch_event(1.0)
    assert (
        coordinator.effects(1.0, "", False, False, 1, 1) is None
    ), "a watch event must not make the claim earlier"
    assert coordinator.due() == now
    claim = coordinator.effects(now, "", False, False, 1, 1)
    assert isinstance(claim, Commit) and claim.purpose == "lead"


def test_a_relay_does_not_claim_the_leadership_if_another_one_leads_by_then() -> None:
    coordinator = ChangeCoordinator(KEYS, "a", retains_leadership=True)
    assert coordinator.effects(0.0, "", False, False, 1, 1) is None
    assert coordinator.effects(coordinator.due(), "", False, True, 1, 1) is None
    assert (
        coordinator.effects(coordinator.due(), "", False, False, 1, 1) is None
    ), "the delay has to start again"


def test_the_design_page_has_the_admission_statuses_of_the_code() -> None:
    page = (ROOT / "docs/design/fleet.md").read_text()
    rows = [
        f"| `{status.label}` | {'yes' if status.admits else 'no'} | {status.description} |"
        for status in AdmissionStatus
    ]
    assert "| status | admits | |\n| --- | --- | --- |\n" + "\n".join(rows) + "\n\n" in page


def test_stored_fields_include_default_values_under_their_stored_names() -> None:
    end = FinishedChange("c-1", 1, "ab", False, "late")
    assert stored_fields(end) == dict(
        id="c-1", version=1, digest="ab", committed=False, why="late", author="", note="", left_out=()
    )
