"""Bytes that an earlier release wrote: messages between servers and relays, a relay's records and its file.

The literals were written by the text of commit 44b68c1. Each has to mean the same, and be written the same,
by any later text: processes of both run side by side during an upgrade, and both read the same store. Values
are checked as plain data, so that only the imports and what stands right below them follow a change
of Python names."""

import msgspec
import pytest
from cell_harness import Harness

from otterrudder.fleet.cell.configuration import RelayTable
from otterrudder.fleet.cell.fingerprint import server_fingerprint
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.messages import decode_from_peer, decode_from_relay, decode_from_server, encode
from otterrudder.fleet.cell.wire import ENDORSE_METHOD as CONSENT_METHOD
from otterrudder.fleet.cell.wire import SESSION_METHOD
from otterrudder.fleet.policy import local_configuration_of as server_settings
from otterrudder.fleet.records import FinishedChange, MemberStatus, PolicyHead, RosterEntry
from otterrudder.fleet.state import MemberState

RECORD_TYPES: dict[str, type] = {
    "head/policy": PolicyHead,
    "head/settled": FinishedChange,
    "roster": RosterEntry,
    "live": MemberStatus,
    "file": MemberState,
}


def stored(harness: Harness) -> dict[str, bytes]:
    """What the store holds, by key."""
    return {key: entry.value for key, entry in harness.space.keys.items()}


def saved(harness: Harness, address: str) -> bytes:
    """What the relay at this address keeps in its file."""
    return msgspec.json.encode(harness.disks[address])


# Below this line nothing follows a change of Python names.

DECODERS = {
    "server": decode_from_server,
    "relay": decode_from_relay,
    "peer": decode_from_peer,
}

MESSAGES: list[tuple[str, bytes, list[object]]] = [
    (
        "server",
        b"\x99\xa8Register\x01\xa1f\xa2s1\xa2e1\xa2k1\xa2z1\x03\x01",
        ["Register", 1, "f", "s1", "e1", "k1", "z1", 3, 1],
    ),
    (
        "server",
        b"\x99\xa8Register\x01\xa1f\xa2s1\xa2e1\xa2k1\xa0\x00\x01",
        ["Register", 1, "f", "s1", "e1", "k1", "", 0, 1],
    ),
    ("server", b"\x94\xa5Renew\xcd\x01,\x03\xa7serving", ["Renew", 300, 3, "serving"]),
    ("server", b"\x94\xa5Renew\x02\x00\xa0", ["Renew", 2, 0, ""]),
    ("server", b"\x93\xa7Verdict\xa2d1\xaalevels: no", ["Verdict", "d1", "levels: no"]),
    ("server", b"\x93\xa7Verdict\xa2d1\xa0", ["Verdict", "d1", ""]),
    (
        "relay",
        b"\x95\xa5Grant\xce\x00\x01\x11p\x03\xa2c3\xcb@\xa7p\x00\x00\x00\x00\x00",
        ["Grant", 70000, 3, "c3", 3000.0],
    ),
    (
        "relay",
        b"\x95\xa7InForce\x03\xa2c3\xa2d3\xa9policy c3",
        ["InForce", 3, "c3", "d3", "policy c3"],
    ),
    ("relay", b"\x93\xaaAskVerdict\xa2d3\xa9policy c3", ["AskVerdict", "d3", "policy c3"]),
    ("relay", b"\x94\xa6Refuse\x07\xa4full\xad2000 sessions", ["Refuse", 7, "full", "2000 sessions"]),
    ("relay", b"\x94\xa6Refuse\x07\xaanot-leader\xa0", ["Refuse", 7, "not-leader", ""]),
    ("relay", b"\x94\xa6Refuse\x01\xacno-authority\xa1x", ["Refuse", 1, "no-authority", "x"]),
    ("relay", b"\x94\xa6Refuse\x01\xaaunanswered\xa1x", ["Refuse", 1, "unanswered", "x"]),
    ("relay", b"\x94\xa6Refuse\x01\xabwrong-fleet\xa1x", ["Refuse", 1, "wrong-fleet", "x"]),
    ("relay", b"\x94\xa6Refuse\x01\xa8protocol\xa1x", ["Refuse", 1, "protocol", "x"]),
    ("relay", b"\x94\xa6Refuse\x01\xa7leaving\xa1x", ["Refuse", 1, "leaving", "x"]),
    (
        "peer",
        b"\x96\xaaAskConsent\x04\xa1f\xa6cell-a\xa4r1:1\x92\xa4r1:1\xa4r2:1",
        ["AskConsent", 4, "f", "cell-a", "r1:1", ["r1:1", "r2:1"]],
    ),
    (
        "peer",
        b"\x95\xa7Consent\x04\xa4r2:1\xcb@\xa7p\x00\x00\x00\x00\x00\xa0",
        ["Consent", 4, "r2:1", 3000.0, ""],
    ),
    (
        "peer",
        b"\x95\xa7Consent\x04\xa4r2:1\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xb6the store answers here",
        ["Consent", 4, "r2:1", 0.0, "the store answers here"],
    ),
]


def plain(value: object) -> object:
    """Lists in place of tuples."""
    return msgspec.json.decode(msgspec.json.encode(msgspec.to_builtins(value)))


@pytest.mark.parametrize(("sender", "data", "meaning"), MESSAGES)
def test_a_message_means_the_same_and_is_written_the_same(
    sender: str, data: bytes, meaning: list[object]
) -> None:
    message = DECODERS[sender](data)
    assert plain(message) == meaning
    assert encode(message) == data


@pytest.mark.parametrize(("sender", "data", "meaning"), MESSAGES)
def test_the_fields_of_a_message_stand_in_this_order(sender: str, data: bytes, meaning: list[object]) -> None:
    assert msgspec.msgpack.decode(data) == meaning
    newer = msgspec.msgpack.encode([*meaning, "a field that a later release adds"])
    assert encode(DECODERS[sender](newer)) == data


def test_the_methods_have_these_names() -> None:
    assert SESSION_METHOD == "/otterrudder.fleet.Relay/Session"
    assert CONSENT_METHOD == "/otterrudder.fleet.Relay/Consent"


# What a relay keeps in the store, and a relay that is alone in its cell in its file.

HEAD = (
    b'{"version":1,"change":"one","digest":"18e25927d905e5473de5c410bd6b6363","author":"one","at":0.0}',
    {
        "version": 1,
        "change": "one",
        "digest": "18e25927d905e5473de5c410bd6b6363",
        "author": "one",
        "at": 0.0,
    },
)
ENDED = (
    b'{"id":"one","version":1,"digest":"18e25927d905e5473de5c410bd6b6363","committed":true,"author":"one"}',
    {
        "id": "one",
        "version": 1,
        "digest": "18e25927d905e5473de5c410bd6b6363",
        "committed": True,
        "author": "one",
    },
)
ROSTER = (
    b'{"folder":"relays 0d154a2d4699e7c1","absent":"wait"}',
    {"folder": "relays 0d154a2d4699e7c1", "absent": "wait"},
)
JOINING = (b'{"epoch":"a-0.1","state":"joining"}', {"epoch": "a-0.1", "state": "joining"})
SERVING = (
    b'{"epoch":"a-0.1","version":1,"digest":"18e25927d905e5473de5c410bd6b6363","state":"serving"}',
    {
        "epoch": "a-0.1",
        "version": 1,
        "digest": "18e25927d905e5473de5c410bd6b6363",
        "state": "serving",
    },
)
LEADING = (
    b'{"epoch":"e1","program":"1.0","zone":"z1","version":1,"digest":"d1","state":"pledged","relay":"r1:1"}',
    {
        "epoch": "e1",
        "program": "1.0",
        "zone": "z1",
        "version": 1,
        "digest": "d1",
        "state": "pledged",
        "relay": "r1:1",
    },
)
DISK = (
    b'{"name":"b","folder":"relays f5c505cc267adc4a","known":{"version":1,"change":"one",'
    b'"digest":"18e25927d905e5473de5c410bd6b6363","text":"policy one"},"pledge":null,"joined":true,'
    b'"cluster":1,"revision":7,"waited":true}',
    {
        "name": "b",
        "folder": "relays f5c505cc267adc4a",
        "known": {
            "version": 1,
            "change": "one",
            "digest": "18e25927d905e5473de5c410bd6b6363",
            "text": "policy one",
        },
        "pledge": None,
        "joined": True,
        "cluster": 1,
        "revision": 7,
        "waited": True,
    },
)
PREPARED = (
    b'{"name":"b","folder":"relays f5","known":{"version":0,"change":"","digest":"","text":""},"pledge":'
    b'{"change":"c1","created":7},"joined":true,"cluster":1,"revision":9,"waited":true}',
    {
        "name": "b",
        "folder": "relays f5",
        "known": {"version": 0, "change": "", "digest": "", "text": ""},
        "pledge": {"change": "c1", "created": 7},
        "joined": True,
        "cluster": 1,
        "revision": 9,
        "waited": True,
    },
)


@pytest.mark.parametrize(
    ("kind", "data", "meaning"),
    [
        ("head/policy", *HEAD),
        ("head/settled", *ENDED),
        ("roster", *ROSTER),
        ("live", *JOINING),
        ("live", *SERVING),
        ("live", *LEADING),
        ("file", *DISK),
        ("file", *PREPARED),
    ],
)
def test_a_record_means_the_same_and_is_written_the_same(
    kind: str, data: bytes, meaning: dict[str, object]
) -> None:
    record = msgspec.json.decode(data, type=RECORD_TYPES[kind])
    assert msgspec.json.decode(data) == meaning
    assert msgspec.json.encode(record) == data


def test_a_cell_of_two_relays_writes_these_keys() -> None:
    harness = Harness()
    harness.add_cell("a")
    harness.add_server("s", ("a-0", "a-1"))
    harness.run(4000)
    harness.propose("one")
    harness.run(100)
    text_key = "f/text/18e25927d905e5473de5c410bd6b6363"
    change = (
        b'{"id":"one","version":1,"digest":"18e25927d905e5473de5c410bd6b6363","author":"one","at":0.0,'
        b'"deadline_ms":30000.0}'
    )
    assert stored(harness) == {
        "f/head/change": change,
        "f/head/leader": b"a",
        "f/joined": b"a",
        "f/live/a": JOINING[0],
        "f/opening": b"policy one",
        "f/roster/a": ROSTER[0],
        text_key: b"policy one",
    }
    harness.run(5000)
    assert stored(harness) == {
        "f/head/leader": b"a",
        "f/head/policy": HEAD[0],
        "f/head/settled": b"[" + ENDED[0] + b"]",
        "f/joined": b"a",
        "f/live/a": SERVING[0],
        "f/roster/a": ROSTER[0],
        text_key: b"policy one",
    }


def test_a_relay_that_is_alone_in_its_cell_writes_this_file() -> None:
    harness = Harness()
    harness.add_relay("solo:1", "b")
    harness.add_server("s", ("solo:1",))
    harness.run(4000)
    harness.propose("one")
    harness.run(5000)
    assert saved(harness, "solo:1") == DISK[0]


def test_the_holder_of_a_cell_is_named_by_its_relays() -> None:
    assert CellIdentity("f", "a", "a-0", ("a-1", "a-0")).holder == "relays 0d154a2d4699e7c1"


def test_a_relays_table_has_these_keys() -> None:
    table = b"""
cell = "a"
address = "r1:1"
listen = "0.0.0.0:1"
candidates = ["r1:1", "r2:1"]
sessions_most = 5
folder = "/state"
"""
    assert plain(msgspec.toml.decode(table, type=RelayTable)) == {
        "cell": "a",
        "address": "r1:1",
        "listen": "0.0.0.0:1",
        "candidates": ["r1:1", "r2:1"],
        "sessions_most": 5,
        "folder": "/state",
    }


# What a server's fingerprint is made from.

SETTINGS: dict[str, object] = {
    "classes": [
        {
            "name": "quote",
            "effect": "safe",
            "worth": 1.0,
            "lateWorth": 0.5,
            "promiseUs": 20000,
            "hardLimitUs": 100000,
        },
        {
            "name": "order",
            "effect": "keyed",
            "worth": 4.0,
            "promiseUs": 50000,
            "hardLimitUs": 200000,
            "windowUs": 5e6,
        },
        {"name": "charge", "effect": "unsafe", "worth": 9.0},
    ],
    "realms": [{"name": "north", "share": 0.5, "allowancePerS": 100}],
    "servers": 4,
    "overShareWorth": 0.1,
    "limits": {"retryAfter": True, "maxRetryAfterUs": 5e6},
    "familyInfo": {
        "below": "next_hop",
        "callsOut": 1,
        "classCalls": [0, 1, 0],
        "classSkipWorth": [0, 0.25, 0],
    },
}


@pytest.mark.parametrize(
    ("settings", "fingerprint"),
    [
        ({"products": {}}, "3db57d8447ab3e1231bc03506d02b191"),
        (SETTINGS, "dbb0d0b043106ebfdb957876925b505f"),
    ],
)
def test_a_server_has_the_same_fingerprint(settings: dict[str, object], fingerprint: str) -> None:
    assert server_fingerprint(server_settings(settings), "1.0") == fingerprint
