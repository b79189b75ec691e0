"""VRRP's codec, authentication, state machine, gate, tracking and files, without a socket."""

import os
from ipaddress import ip_address
from pathlib import Path

import pytest
from helpers import ROOT
from hypothesis import example, given, settings
from hypothesis import strategies as st

from otterrudder.admission.interface import Idempotency, RequestClass, RequestScope
from otterrudder.vrrp import packet
from otterrudder.vrrp.admission_gate import AdmissionGate, GateState, HoldDown, SetAdmission
from otterrudder.vrrp.authentication import REPLAY_WINDOW, TRAILER_SIZE, Authenticator
from otterrudder.vrrp.configuration_reader import VrrpConfigurationError, read_configuration
from otterrudder.vrrp.keys import Key, KeyFileError, KeyRing, read_keys
from otterrudder.vrrp.packet import Advertisement, DropReason, PacketError
from otterrudder.vrrp.state_machine import SendAdvertisement, State, StateChange, StateMachine, Timer
from otterrudder.vrrp.tracking import PriorityTracker, TrackedObject

A, B, GROUP = ip_address("192.0.2.1"), ip_address("192.0.2.2"), ip_address("224.0.0.18")
V4 = st.ip_addresses(v=4)
V6 = st.ip_addresses(v=6)
ADVERTS = st.one_of(
    *(
        st.tuples(
            st.builds(
                Advertisement,
                st.integers(1, 255),
                st.integers(0, 255),
                st.integers(1, 4095).map(lambda cs: cs * 10.0),
                st.lists(v, min_size=1, max_size=9).map(tuple),
            ),
            v,
            v,
        )
        for v in (V4, V6)
    )
)


@given(ADVERTS)
def test_what_is_encoded_is_decoded(case: tuple) -> None:
    advert, source, destination = case
    data = packet.encode(advert, source, destination)
    assert packet.decode(data, source, destination) == advert
    assert not packet.checksum(packet.pseudo_header(source, destination, len(data)) + data)


def test_a_message_of_the_rfcs_form_is_read_byte_by_byte() -> None:
    head = bytes([0x31, 51, 200, 1]) + (100).to_bytes(2) + b"\0\0" + A.packed
    checksum = packet.checksum(packet.pseudo_header(B, GROUP, len(head)) + head)
    whole = head[:6] + checksum.to_bytes(2) + head[8:]
    assert packet.encode(Advertisement(51, 200, 1000.0, (A,)), B, GROUP) == whole
    messages = {
        DropReason.SHORT: whole[:7],
        DropReason.VERSION: b"\x21" + whole[1:],
        DropReason.TYPE: b"\x32" + whole[1:],
        DropReason.LENGTH: whole + b"\0",
        DropReason.CHECKSUM: whole[:2] + b"\xc9" + whole[3:],
    }
    for reason, data in messages.items():
        with pytest.raises(PacketError) as raised:
            packet.decode(data, B, GROUP)
        assert raised.value.reason is reason
    with pytest.raises(PacketError) as raised:
        packet.decode(whole, B, GROUP, 254)
    assert raised.value.reason is DropReason.HOPS
    for reason, (vrid, addresses, interval) in {
        DropReason.VRID: (50, {A}, 1000),
        DropReason.ADDRESSES: (51, {B}, 1000),
        DropReason.INTERVAL: (51, {A}, 900),
    }.items():
        with pytest.raises(PacketError) as raised:
            packet.check_group(packet.decode(whole, B, GROUP), vrid, frozenset(addresses), interval, False)
        assert raised.value.reason is reason


SECRET = bytes(range(32))
KEYS = KeyRing({1: Key(1, SECRET), 2: Key(2, SECRET[::-1]), 3: Key(3, SECRET * 2, until_ms=500.0)}, 1)


def test_the_bytes_on_the_wire_are_those_of_earlier_versions() -> None:
    """Hexadecimal written by the code before its modules were renamed: routers of both must agree."""
    keys = KeyRing({1: Key(1, SECRET), 2: Key(2, SECRET[::-1])}, 2)
    authenticator = Authenticator(keys, 1700000000123)
    addresses = (ip_address("192.0.2.1"), ip_address("192.0.2.9"))
    ipv4 = packet.encode(Advertisement(51, 200, 1000.0, addresses), B, GROUP)
    assert ipv4.hex() == "3133c8020064dfc4c0000201c0000209"
    source, destination = ip_address("fe80::2"), ip_address("ff02::12")
    ipv6 = packet.encode(Advertisement(7, 0, 40950.0, (ip_address("fe80::1"),)), source, destination)
    assert ipv6.hex() == "310700010fffc256fe800000000000000000000000000001"
    assert authenticator.sign(ipv4, "192.0.2.2").hex() == (
        "3133c8020064dfc4c0000201c0000209020000018bcfe5687b00000000000000012e827c3b84cbadd19712024da846a76f"
    )
    assert authenticator.sign(ipv6, "fe80::2").hex() == (
        "310700010fffc256fe800000000000000000000000000001020000018bcfe5687b0000000000000002"
        "8f6ae2ae2cd031d66a3055696d3f3be2"
    )


@settings(max_examples=300)
@given(st.binary(max_size=400))
@example(Authenticator(KEYS, 5).sign(b"x" * 12, "a"))
def test_no_bytes_raise_and_nothing_unauthenticated_is_believed(data: bytes) -> None:
    authenticator = Authenticator(KEYS, 1)
    try:
        message = authenticator.verify(data, "b", 1, 1000.0)
    except PacketError:
        assert not authenticator._replay_states
    else:
        raise AssertionError(message)
    for source in (A, ip_address("::1")):
        try:
            packet.decode(data, source, source, 255)
        except PacketError:
            pass
        else:
            raise AssertionError(data)


def verified(authenticator: Authenticator, data: bytes, sender: str = "a", now: float = 1000.0) -> str:
    try:
        authenticator.verify(data, sender, 1, now)
    except PacketError as error:
        return error.reason.name
    return "OPEN"


def test_a_mac_is_the_senders_own_and_is_accepted_once() -> None:
    a, b = Authenticator(KEYS, 100), Authenticator(KEYS, 200)
    first, second, third = (a.sign(b"advert", "a") for _ in range(3))
    assert verified(b, second) == "OPEN" and verified(b, first) == "OPEN"  # out of order is no replay
    assert verified(b, first) == verified(b, second) == "REPLAY"
    assert verified(b, third, "c") == "AUTHENTICATION"  # somebody else's, passed off as c's
    assert (
        verified(b, third[:-1] + bytes([third[-1] ^ 1])) == "AUTHENTICATION" and verified(b, third) == "OPEN"
    )
    old = [a.sign(b"advert", "a") for _ in range(REPLAY_WINDOW + 2)]
    assert (
        verified(b, old[-1]) == "OPEN" and verified(b, old[0]) == "REPLAY" and verified(b, old[4]) == "OPEN"
    )
    assert verified(b, Authenticator(KEYS, 101).sign(b"x", "a")) == "OPEN"  # its next incarnation
    assert verified(b, a.sign(b"x", "a")) == "REPLAY"  # and its previous one no more
    assert verified(b, b"x" * TRAILER_SIZE) == "SHORT"


def test_keys_change_in_service_and_lapse() -> None:
    old, both, new = (
        KeyRing({n: KEYS.by_number[n] for n in numbers}, signs)
        for numbers, signs in (((1,), 1), ((1, 2), 1), ((2,), 2))
    )
    a, b = Authenticator(old, 1), Authenticator(old, 1)
    signing = KeyRing(both.by_number, 2)
    for mine, theirs in ((both, old), (both, both), (signing, both), (new, signing), (new, new)):
        a.keys, b.keys = mine, theirs
        assert verified(b, a.sign(b"x", "a")) == verified(a, b.sign(b"x", "b"), "b") == "OPEN"
    a.keys = KeyRing(KEYS.by_number, 3)
    b.keys = KEYS
    assert (
        verified(b, a.sign(b"x", "a"), now=499.0) == "OPEN"
        and verified(b, a.sign(b"x", "a")) == "AUTHENTICATION"
    )


def test_a_key_file_is_private_and_its_secrets_are_never_shown(tmp_path: Path) -> None:
    file = tmp_path / "keys.toml"
    file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{SECRET.hex()}"\n')
    os.chmod(file, 0o640)
    with pytest.raises(KeyFileError, match="mode 0640"):
        read_keys(file)
    os.chmod(file, 0o600)
    keys = read_keys(file)
    assert SECRET.hex() not in repr(keys) + repr(keys.by_number[1])
    assert repr(SECRET) not in repr(keys.by_number[1])
    for wrong in (SECRET.hex()[:60], SECRET.hex() + "zz", SECRET.hex() + '"\nx = "'):
        file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{wrong}"\n')
        with pytest.raises(KeyFileError) as raised:
            read_keys(file)
        assert SECRET.hex()[:20] not in str(raised.value) and "keys.toml" in str(raised.value)


def machine(priority: int = 100, address=A, **more: object) -> StateMachine:
    return StateMachine(address, priority, 1000.0, **more)


def test_a_backup_takes_over_when_the_master_is_silent_and_sooner_when_it_resigns() -> None:
    m = machine()
    became, timer = m.start(0.0)
    assert (
        became == StateChange(State.BACKUP, State.INITIALIZE, "start") and timer.at == 3000 + 156 * 1000 / 256
    )
    again = m.handle_advertisement(100.0, 200, 500.0, B)  # learns the interval
    assert again == [Timer(100.0 + 1500 + 156 * 500 / 256, 2)] and not m.handle_timer(2000.0, 1)
    assert m.handle_advertisement(200.0, 0, 500.0, B) == [Timer(200.0 + 156 * 500 / 256, 3)]
    became, send, timer = m.handle_timer(m.timer_at, 3)
    assert became.state is State.MASTER and send == SendAdvertisement(100) and timer.at == m.timer_at
    assert m.interval == 1000.0  # its own again
    assert m.handle_advertisement(700.0, 90, 1000.0, B)[0] == SendAdvertisement(
        100
    )  # a worse one is answered at once
    became, timer = m.handle_advertisement(800.0, 100, 1000.0, B)  # a tie goes to the higher address
    assert became.state is State.BACKUP and timer.at > 3800.0
    assert [type(a) for a in m.shutdown(900.0)] == [Timer, StateChange] and m.start(901.0)


def test_an_owner_starts_as_master_and_resigns_at_shutdown() -> None:
    m = machine(255)
    assert [type(a) for a in m.start(0.0)] == [StateChange, SendAdvertisement, Timer]
    assert m.shutdown(5.0)[0] == SendAdvertisement(0)


def test_a_better_router_waits_its_preempt_delay() -> None:
    m = machine(200, preempt_delay_ms=5000.0)
    m.start(0.0)
    for at in range(500, 5500, 500):
        assert m.handle_advertisement(float(at), 100, 500.0, B)
    assert m.handle_advertisement(5600.0, 100, 500.0, B) == []  # from now on the worse one is not heard
    assert m.handle_timer(m.timer_at, m.timer_number)[0].state is State.MASTER
    assert machine(200, preempts=False).start(0.0) and not machine(200).handle_advertisement(0.0, 1, 1.0, B)


def test_a_gate_holds_down_one_that_flaps_and_lets_it_back_in_the_midst_of_a_drain() -> None:
    scope = RequestScope(frozenset({1}))
    gate = AdmissionGate(scope, 3000.0, HoldDown(1000.0, 8000.0, 30_000.0))
    assert gate.initial_commands() == [SetAdmission(scope, False)]
    assert (
        gate.handle_state(0.0, State.MASTER) == [SetAdmission(scope, True)] and gate.initial_commands() == []
    )
    assert (
        gate.handle_state(100.0, State.BACKUP) == [SetAdmission(scope, False, 3000.0)]
        and gate.state is GateState.DRAINING
    )
    held, at = [], 200.0
    for _ in range(6):
        assert gate.handle_state(at, State.MASTER) == [] and gate.state is GateState.HELD
        held.append(gate.deadline - at)
        assert gate.handle_deadline(gate.deadline - 1) == [] and gate.handle_deadline(gate.deadline) == [
            SetAdmission(scope, True)
        ]
        at += held[-1] + 10.0
        gate.handle_state(at, State.BACKUP)
        at += 10.0
    assert held == [1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0]
    assert gate.handle_deadline(at + 4000.0) == [] and gate.state is GateState.CLOSED
    assert gate.handle_state(at + 400_000.0, State.MASTER) == [
        SetAdmission(scope, True)
    ]  # long ago: forgotten
    assert gate.begin_shutdown(at + 400_001.0) == [] and gate.handle_state(at + 500_000.0, State.MASTER) == []


def test_a_fact_that_flaps_does_not_make_the_priority_flap() -> None:
    track = PriorityTracker(
        100, [TrackedObject("late", 30, 500.0, 1000.0, 10_000.0), TrackedObject("runtime", 90, 0.0, 0.0)]
    )
    changes, before = 0, 100
    for tick in range(4000):
        priority = track.step(tick * 100.0, {"late": tick // 3 % 2 == 0, "runtime": False})
        changes, before = changes + (priority != before), priority
    assert changes == 0  # never bad for long enough
    for tick in range(4000, 4600):
        priority = track.step(tick * 100.0, {"late": tick % 30 < 12})
        changes, before = changes + (priority != before), priority
    assert 2 <= changes <= 10 and track.lowering_facts == ["late"]
    assert (
        track.step(1e6, {"runtime": True}) == 1
        and PriorityTracker(255, [TrackedObject("late", 9)]).step(0.0, {}) == 255
    )


PRODUCTS = [
    RequestClass("look", Idempotency.SAFE, 1, 1, 1),
    RequestClass("pay", Idempotency.NON_IDEMPOTENT, 1, 1, 1),
]
GOOD = (ROOT / "deploy/vrrp.toml").read_text()
SECOND = GOOD[GOOD.index("[[group]]") :].replace('"intake"', '"pay"').replace("vrid = 51", "vrid = 52")


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("version = 1", "version = 2", "version: this program reads 1"),
        ("vrid = 51", "vrid = 0", "group[1].vrid: 0 is not"),
        ("vrid = 51", "vird = 51", "unknown field `vird`"),
        ("priority = 150", "priority = 255", "group[1].priority: 255 is for the owner"),
        ("priority = 150", "priority = 300", "group[1].priority: 300"),
        ("interval_ms = 1000 ", "interval_ms = 1005 ", "no whole number of centiseconds"),
        ("interval_ms = 1000 ", "interval_ms = 50000 ", "group[1].interval_ms: 50000 is not from 10"),
        ('virtual = ["192.0.2.1"]', "virtual = []", "group[1].virtual"),
        ('virtual = ["192.0.2.1"]', 'virtual = ["x"]', "group[1].virtual: 'x' is no IP address"),
        ('virtual = ["192.0.2.1"]', 'virtual = ["::1"]', "IPv4 and IPv6 in one group"),
        ('address = "192.0.2.12"', 'address = "192.0.2.11"', "group[1].peer: an address stands twice"),
        ('udp = "127.0.0.2:5112"', 'udp = "here:5112"', "peer[1].udp: 'here' is no IP address"),
        ('listen = "127.0.0.1:5112"', 'listen = "127.0.0.1"', "listen: '127.0.0.1' is no address and port"),
        ('fact = "late"', 'fact = "tired"', "track[2].fact: no such fact"),
        ('fact = "late"', 'fact = "runtime"', "group[1].track: a fact stands twice"),
        ("lowers = 100", "lowers = 0", "track[1].lowers: 0"),
        ("first_ms = 1000 ", "first_ms = -1 ", "hold_down.first_ms: -1"),
        ('# products = ["form-submit"]', 'products = ["lok"]', "group[1].products: there is no 'lok'"),
        ("forget_ms = 30000 ", "forget_ms = 0 ", "hold_down.forget_ms: 0 is not from 1"),
        ("[hold_down]", "group = []\n[hold_down]", "group"),
        ('keys = "vrrp-keys.toml"', 'keys = "none.toml"', "cannot read"),
        (GOOD, GOOD + SECOND, "group[2]: serves what group[1] serves"),
        (GOOD, GOOD + SECOND.replace("vrid = 52", "vrid = 51"), "group[2].vrid: 51 is group[1]'s"),
    ],
)
def test_a_bad_file_of_groups_is_named_by_its_key(tmp_path: Path, old: str, new: str, says: str) -> None:
    keys, file = tmp_path / "vrrp-keys.toml", tmp_path / "vrrp.toml"
    keys.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{SECRET.hex()}"\n')
    keys.chmod(0o600)
    file.write_text(GOOD)
    good = read_configuration(file, PRODUCTS, [])
    assert good.groups[0].scope == RequestScope() and good.groups[0].tracked_objects[0].fact == "runtime"
    assert old in GOOD
    file.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(VrrpConfigurationError) as raised:
        read_configuration(file, PRODUCTS, [])
    assert says in str(raised.value) and "\n" not in str(raised.value)
