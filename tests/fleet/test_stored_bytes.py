"""Tests that the data of an earlier release, in the store and in the state directory, can still be read, and
that the same bytes are written.

The literals were written by an earlier release and must never change. Only the names of imported classes and
functions, and the table of types at the top, may follow a rename."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from otterrudder.durable.state_directory import StateDirectory, decode_state_file, encode_state_file
from otterrudder.fleet import commits
from otterrudder.fleet.change import evaluate_trial, finish_change, propose, remove_member, withdraw
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.queue import enqueue, open_next, withdraw_queued
from otterrudder.fleet.records import (
    Change,
    FinishedChange,
    FleetSnapshot,
    Keys,
    MemberStatus,
    PolicyHead,
    QueuedChange,
    RosterEntry,
    Trial,
    Vote,
    decode,
    digest_of,
    encode,
)
from otterrudder.fleet.state import MemberState, ObservedState, OpenChange, Rules
from otterrudder.fleet.state_file import open_state_directory
from otterrudder.fleet.store import Entry, Snapshot

# The type of each stored record.
TYPES: dict[str, Any] = {
    "trial": Trial,
    "policy": PolicyHead,
    "change": Change,
    "queued": QueuedChange,
    "settled": FinishedChange,
    "roster": RosterEntry,
    "live": MemberStatus,
    "vote": Vote,
}
STATE_TYPE = MemberState

TRIAL = (
    b'{"change":"c-6","version":6,"back":"d0d0d0d0d0d0d0d0d0d0d0d0d0d0d0d0","span_ms":60000.0,'
    b'"conditions":[["busy",0.9],["rejected",0.25]]}'
)
CHANGE = (
    b'{"id":"c-7","version":7,"digest":"abababababababababababababababab","author":"ann",'
    b'"note":"more calls","at":1700000000123.5,"deadline_ms":20000.0,"trial":' + TRIAL + b"}"
)
POLICY = (
    b'{"version":6,"change":"c-6","digest":"d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6","author":"ann",'
    b'"note":"more calls","at":1700000000123.5}'
)
QUEUED = (
    b'{"id":"c-8","digest":"abababababababababababababababab","author":"ann","note":"note","at":12.0,'
    b'"deadline_ms":5000.0,"base":"cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd","trial_ms":60000.0,'
    b'"conditions":[["busy",0.9]]}'
)
ABORTED = (
    b'{"id":"c-7","version":7,"digest":"abababababababababababababababab","committed":false,'
    b'"why":"s1: no","author":"ann","note":"note","left_out":["s2","s3"]}'
)
LIVE = (
    b'{"epoch":"e1e1e1e1e1e1e1e1","program":"4.2.0","zone":"north","version":7,'
    b'"digest":"abababababababababababababababab","state":"serving","products":["BALANCE","PAYMENT"],'
    b'"figures":[["busy",0.5]],"relay":"10.0.0.1:9000"}'
)

WHOLE = [
    ("trial", TRIAL),
    ("policy", POLICY),
    ("policy", b'{"version":1,"change":"c-1","digest":"abababababababababababababababab"}'),
    ("change", CHANGE),
    ("change", b'{"id":"c-1","version":1,"digest":"abababababababababababababababab","author":""}'),
    ("queued", QUEUED),
    ("queued", b'{"id":"c-8"}'),
    ("settled", ABORTED),
    ("settled", b'{"id":"c-7","version":7,"digest":"abababababababababababababababab","committed":true}'),
    ("roster", b'{"folder":"f0f0f0f0f0f0f0f0","absent":"leave-out"}'),
    ("roster", b'{"folder":"f0f0f0f0f0f0f0f0","absent":"wait"}'),
    ("live", LIVE),
    ("live", b'{"epoch":"e1e1e1e1e1e1e1e1"}'),
    ("vote", b'{"yes":true,"epoch":"e1e1e1e1e1e1e1e1"}'),
    ("vote", b'{"yes":false,"why":"s1: levels: no such","epoch":"e1e1e1e1e1e1e1e1"}'),
    ("vote", b'{"yes":true}'),
]

STATE = (
    b'{"name":"s1","folder":"f0f0f0f0f0f0f0f0","known":{"version":7,"change":"c-7",'
    b'"digest":"abababababababababababababababab","text":"version = 1\\n# \xc3\xa9\\n"},'
    b'"pledge":{"change":"c-8","created":42},"joined":true,"cluster":51966,"revision":41,"waited":true}'
)
STATE_FILE = b"otterrudder-state 1 248 f12080bd\n" + STATE
NEW_STATE = (
    b'{"name":"s1","folder":"f0f0f0f0f0f0f0f0","known":{"version":0,"change":"","digest":"","text":""},'
    b'"pledge":null,"joined":false,"cluster":0,"revision":0,"waited":false}'
)
NEW_STATE_FILE = b"otterrudder-state 1 166 4724643d\n" + NEW_STATE

KEYS = Keys("bank")
TEXT = "version = 1\n"
TEXT_DIGEST = "e4db8edaacbe94515506b9adb3095a00"


def snapshot_of(**stored: bytes) -> Any:
    """Returns a snapshot of these keys at revision 99. Each key was created at revision 10 and last written
    at revision 20. A double underscore in a name stands for a slash."""
    keys = {f"bank/{key.replace('__', '/')}": value for key, value in stored.items()}
    return FleetSnapshot(
        KEYS, Snapshot(0xCAFE, 99, {key: Entry(value, 10, 20) for key, value in keys.items()})
    )


def operations_of(commit: Any) -> list[Any]:
    """Returns the compares and then the writes of a commit, as plain tuples."""
    return [*map(tuple, commit.compares), *map(tuple, commit.writes)]


@pytest.mark.parametrize(("kind", "data"), WHOLE)
def test_stored_records_are_read_and_written_unchanged(kind: str, data: bytes) -> None:
    record = decode(data, TYPES[kind])
    assert encode(record) == data
    assert json.loads(json.dumps(msgspec.to_builtins(record))) == json.loads(data)


@pytest.mark.parametrize(("kind", "data"), WHOLE)
def test_unknown_fields_of_a_newer_release_are_ignored(kind: str, data: bytes) -> None:
    assert encode(decode(data[:-1] + b',"of_a_newer_release":1}', TYPES[kind])) == data


@pytest.mark.parametrize(
    ("kind", "data", "wanted"),
    [
        ("vote", b'{"why":"no answer to the question"}', "yes"),
        ("change", b'{"version":7,"digest":"ab","author":""}', "id"),
        ("roster", b'{"folder":"f0"}', "absent"),
        ("settled", b'{"id":"c-7","version":7,"digest":"ab"}', "committed"),
        ("live", b"{}", "epoch"),
        ("trial", b'{"change":"c","version":1,"span_ms":1.0,"conditions":[]}', "back"),
    ],
)
def test_a_record_without_a_required_field_is_rejected_with_the_field_name(
    kind: str, data: bytes, wanted: str
) -> None:
    with pytest.raises(msgspec.ValidationError, match=f"`{wanted}`"):
        decode(data, TYPES[kind])


def test_the_store_keys_are_unchanged() -> None:
    assert [
        KEYS.head,
        KEYS.policy,
        KEYS.change,
        KEYS.finished,
        KEYS.trial,
        KEYS.leader,
        KEYS.joined,
        KEYS.opening,
        KEYS.text("d"),
        KEYS.queued("i"),
        KEYS.roster("n"),
        KEYS.status("n"),
        KEYS.vote("n"),
    ] == [
        "bank/head/",
        "bank/head/policy",
        "bank/head/change",
        "bank/head/settled",
        "bank/head/trial",
        "bank/head/leader",
        "bank/joined",
        "bank/opening",
        "bank/text/d",
        "bank/queue/i",
        "bank/roster/n",
        "bank/live/n",
        "bank/vote/n",
    ]
    assert digest_of(TEXT) == TEXT_DIGEST


def fleet_of(folder: Path) -> Any:
    return Fleet("bank", (), Rules(), folder, "", None, None, None)


@pytest.mark.parametrize(("file", "state"), [(STATE_FILE, STATE), (NEW_STATE_FILE, NEW_STATE)])
def test_state_files_are_read_and_written_unchanged(tmp_path: Path, file: bytes, state: bytes) -> None:
    (tmp_path / "member").write_bytes(file)
    folder, record = open_state_directory(fleet_of(tmp_path), "s1")
    assert folder and isinstance(record, STATE_TYPE)
    assert msgspec.json.encode(record) == state
    folder.write("member", msgspec.json.encode(record))
    folder.close()
    assert (tmp_path / "member").read_bytes() == file
    assert sorted(path.name for path in tmp_path.iterdir()) == ["lock", "member"]


def test_a_state_file_may_lack_fields_with_defaults(tmp_path: Path) -> None:
    """An earlier release did not write `waited`, and the oldest one wrote only the name and the directory
    ID."""
    for old, new in [
        (b'{"name":"s1","folder":"f0f0f0f0f0f0f0f0"}', NEW_STATE),
        (STATE.replace(b',"waited":true', b""), STATE.replace(b'"waited":true', b'"waited":false')),
        (STATE[:-1] + b',"of_a_newer_release":1}', STATE),
    ]:
        (tmp_path / "member").write_bytes(encode_state_file(old))
        folder, record = open_state_directory(fleet_of(tmp_path), "s1")
        assert folder and msgspec.json.encode(record) == new
        folder.close()


@pytest.mark.parametrize("file", [STATE_FILE[:-1], STATE, b"", STATE_FILE.replace(b"state 1", b"state 2")])
def test_a_damaged_or_foreign_state_file_is_set_aside(tmp_path: Path, file: bytes) -> None:
    (tmp_path / "member").write_bytes(file)
    folder, record = open_state_directory(fleet_of(tmp_path), "s1")
    assert folder and record is None
    folder.close()
    assert (tmp_path / "member.bad").read_bytes() == file


def test_a_state_file_of_another_member_is_set_aside(tmp_path: Path) -> None:
    (tmp_path / "member").write_bytes(STATE_FILE)
    folder, record = open_state_directory(fleet_of(tmp_path), "s2")
    assert folder and record is None
    folder.close()
    assert (tmp_path / "member.bad").read_bytes() == STATE_FILE


def test_the_state_file_format_is_unchanged(tmp_path: Path) -> None:
    assert encode_state_file(STATE) == STATE_FILE
    assert decode_state_file(STATE_FILE, "member") == STATE
    folder = StateDirectory(tmp_path)
    folder.lock()
    assert {path.name for path in tmp_path.iterdir()} == {"lock"}
    folder.close()


def test_the_commits_of_a_member_are_unchanged() -> None:
    status, roster = decode(LIVE, TYPES["live"]), decode(WHOLE[9][1], TYPES["roster"])
    seen = ObservedState(99, None, None, None, 0, None, 0, False, None)
    assert operations_of(commits.register(KEYS, "s1", status, roster, seen, 77)) == [
        ("bank/live/s1", "created", 0),
        ("bank/roster/s1", "modified", 0),
        ("bank/live/s1", LIVE, 77),
        ("bank/joined", b"s1", 0),
        ("bank/roster/s1", WHOLE[9][1], 0),
    ]
    ballot = decode(b'{"yes":true,"epoch":"e1e1e1e1e1e1e1e1"}', TYPES["vote"])
    assert operations_of(commits.vote(KEYS, "s1", OpenChange("c-7", 7, "ab", 10), 33, ballot)) == [
        ("bank/head/change", "created", 10),
        ("bank/live/s1", "created", 33),
        ("bank/vote/s1", "created", 0),
        ("bank/vote/s1", b'{"yes":true,"epoch":"e1e1e1e1e1e1e1e1"}', 0),
    ]
    assert operations_of(commits.report_status(KEYS, "s1", status, 33, 77)) == [
        ("bank/live/s1", "created", 33),
        ("bank/live/s1", LIVE, 77),
    ]


def test_the_commits_of_a_proposer_are_unchanged() -> None:
    conditions = (("busy", 0.9),)
    commit = propose(
        snapshot_of(head__policy=POLICY), "c-9", TEXT, "ann", "why", 5.0, 9000.0, 60.0, conditions
    )
    assert operations_of(commit) == [
        ("bank/head/change", "created", 0),
        ("bank/head/policy", "modified", 20),
        (
            "bank/head/change",
            b'{"id":"c-9","version":7,"digest":"e4db8edaacbe94515506b9adb3095a00","author":"ann",'
            b'"note":"why","at":5.0,"deadline_ms":9000.0,"trial":{"change":"c-9","version":7,'
            b'"back":"d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6","span_ms":60.0,"conditions":[["busy",0.9]]}}',
            0,
        ),
        ("bank/text/e4db8edaacbe94515506b9adb3095a00", b"version = 1\n", 0),
        ("bank/opening", b"version = 1\n", 0),
    ]


def test_the_commits_of_the_queue_are_unchanged() -> None:
    entry = decode(b'{"id":"c-8","author":"ann","base":"d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6"}', TYPES["queued"])
    stored = (
        b'{"id":"c-8","digest":"e4db8edaacbe94515506b9adb3095a00","author":"ann",'
        b'"base":"d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6"}'
    )
    assert operations_of(enqueue(snapshot_of(head__policy=POLICY), entry, TEXT)) == [
        ("bank/queue/c-8", "created", 0),
        ("bank/queue/c-8", stored, 0),
        ("bank/text/e4db8edaacbe94515506b9adb3095a00", b"version = 1\n", 0),
    ]
    waiting = {"head__policy": POLICY, "queue__c-8": stored}
    opened = open_next(snapshot_of(**waiting))
    assert opened and operations_of(opened) == [
        ("bank/head/change", "created", 0),
        ("bank/head/policy", "modified", 20),
        ("bank/queue/c-8", "modified", 20),
        (
            "bank/head/change",
            b'{"id":"c-8","version":7,"digest":"e4db8edaacbe94515506b9adb3095a00","author":"ann"}',
            0,
        ),
        ("bank/queue/c-8", False),
    ]
    assert operations_of(withdraw_queued(snapshot_of(**waiting), "c-8")) == [
        ("bank/queue/c-8", "modified", 20),
        ("bank/head/settled", "modified", 0),
        (
            "bank/head/settled",
            b'[{"id":"c-8","version":0,"digest":"e4db8edaacbe94515506b9adb3095a00","committed":false,'
            b'"why":"withdrawn before its turn","author":"ann"}]',
            0,
        ),
        ("bank/queue/c-8", False),
    ]
    stale = stored.replace(b"d6d6d6d6d6d6d6d6", b"d5d5d5d5d5d5d5d5")
    dropped = open_next(snapshot_of(head__policy=POLICY, **{"queue__c-8": stale}))
    assert dropped and operations_of(dropped)[-2] == (
        "bank/head/settled",
        b'[{"id":"c-8","version":0,"digest":"e4db8edaacbe94515506b9adb3095a00","committed":false,'
        b'"why":"it was made from policy d5d5d5d5d5d5, which is not in force at its turn","author":"ann"}]',
        0,
    )


def test_the_commits_that_end_a_change_are_unchanged() -> None:
    snapshot = snapshot_of(
        head__policy=POLICY,
        head__change=CHANGE,
        head__settled=b"[" + ABORTED + b"]",
        joined=b"s1",
        roster__s1=b'{"folder":"f0f0f0f0f0f0f0f0","absent":"wait"}',
        vote__s1=b'{"yes":true,"epoch":"e1e1e1e1e1e1e1e1"}',
    )
    committed = finish_change(snapshot, False)
    assert committed and operations_of(committed) == [
        ("bank/head/change", "modified", 20),
        ("bank/joined", "modified", 20),
        (
            "bank/head/settled",
            b"[" + ABORTED + b',{"id":"c-7","version":7,"digest":"abababababababababababababababab",'
            b'"committed":true,"author":"ann","note":"more calls"}]',
            0,
        ),
        ("bank/head/change", False),
        ("bank/opening", False),
        ("bank/vote/", True),
        (
            "bank/head/policy",
            b'{"version":7,"change":"c-7","digest":"abababababababababababababababab","author":"ann",'
            b'"note":"more calls","at":1700000000123.5}',
            0,
        ),
        ("bank/head/trial", TRIAL, 0),
    ]
    withdrawn = operations_of(withdraw(snapshot, "c-7", "enough"))
    assert withdrawn[0] == ("bank/head/change", "modified", 20)
    assert (
        "bank/head/settled",
        b"[" + ABORTED + b',{"id":"c-7","version":7,"digest":"abababababababababababababababab",'
        b'"committed":false,"why":"enough","author":"ann","note":"more calls"}]',
        0,
    ) in withdrawn
    assert operations_of(remove_member(snapshot, "s1")) == [
        ("bank/roster/s1", "modified", 20),
        ("bank/live/s1", "created", 0),
        ("bank/roster/s1", False),
    ]


def test_the_commits_that_end_a_trial_are_unchanged() -> None:
    status = LIVE.replace(b'"version":7', b'"version":6').replace(b'["busy",0.5]', b'["busy",0.95]')
    snapshot = snapshot_of(head__policy=POLICY, head__trial=TRIAL, live__s1=status)
    over, strikes = evaluate_trial(snapshot, 60000.0, 1)
    assert over and strikes == 0
    assert operations_of(over) == [("bank/head/trial", "modified", 20), ("bank/head/trial", False)]
    back, strikes = evaluate_trial(snapshot, 10.0, 2)
    assert back and strikes == 0
    assert operations_of(back) == [
        ("bank/head/change", "created", 0),
        ("bank/head/policy", "modified", 20),
        (
            "bank/head/change",
            b'{"id":"back-c-6","version":7,"digest":"d0d0d0d0d0d0d0d0d0d0d0d0d0d0d0d0","author":"the fleet",'
            b'"note":"trial of version 6 ended: busy 0.95 > 0.9","at":1700000000123.5}',
            0,
        ),
    ]
