"""VRRP's codec, seal, machine, gate, track and files, without a socket."""

import os
from ipaddress import ip_address
from pathlib import Path

import pytest
from helpers import ROOT
from hypothesis import example, given, settings
from hypothesis import strategies as st

from otterrudder.admission.interface import Idempotency, RequestClass, RequestScope
from otterrudder.vrrp import packet
from otterrudder.vrrp.admission_gate import Door, Gate, HoldDown, Order
from otterrudder.vrrp.authentication import SIZE, WINDOW, BadKeys, Key, Keys, Seal, read_keys
from otterrudder.vrrp.configuration import BadGroups, read_groups
from otterrudder.vrrp.packet import Advert, BadPacket, Flaw
from otterrudder.vrrp.state_machine import Became, Machine, Send, State, Timer
from otterrudder.vrrp.tracking import Track, Weight

A, B, GROUP = ip_address("192.0.2.1"), ip_address("192.0.2.2"), ip_address("224.0.0.18")
V4 = st.ip_addresses(v=4)
V6 = st.ip_addresses(v=6)
ADVERTS = st.one_of(
    *(
        st.tuples(
            st.builds(
                Advert,
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
def test_what_is_encoded_is_decoded(told: tuple) -> None:
    advert, source, destination = told
    data = packet.encode(advert, source, destination)
    assert packet.decode(data, source, destination) == advert
    assert not packet.checksum(packet.pseudo_header(source, destination, len(data)) + data)


def test_a_message_of_the_rfcs_form_is_read_byte_by_byte() -> None:
    head = bytes([0x31, 51, 200, 1]) + (100).to_bytes(2) + b"\0\0" + A.packed
    checksum = packet.checksum(packet.pseudo_header(B, GROUP, len(head)) + head)
    whole = head[:6] + checksum.to_bytes(2) + head[8:]
    assert packet.encode(Advert(51, 200, 1000.0, (A,)), B, GROUP) == whole
    flaws = {
        Flaw.SHORT: whole[:7],
        Flaw.VERSION: b"\x21" + whole[1:],
        Flaw.TYPE: b"\x32" + whole[1:],
        Flaw.LENGTH: whole + b"\0",
        Flaw.CHECKSUM: whole[:2] + b"\xc9" + whole[3:],
    }
    for flaw, data in flaws.items():
        with pytest.raises(BadPacket) as raised:
            packet.decode(data, B, GROUP)
        assert raised.value.flaw is flaw
    with pytest.raises(BadPacket) as raised:
        packet.decode(whole, B, GROUP, 254)
    assert raised.value.flaw is Flaw.HOPS
    for flaw, (vrid, addresses, interval) in {
        Flaw.VRID: (50, {A}, 1000),
        Flaw.ADDRESSES: (51, {B}, 1000),
        Flaw.INTERVAL: (51, {A}, 900),
    }.items():
        with pytest.raises(BadPacket) as raised:
            packet.accept(packet.decode(whole, B, GROUP), vrid, frozenset(addresses), interval, False)
        assert raised.value.flaw is flaw


SECRET = bytes(range(32))
KEYS = Keys({1: Key(1, SECRET), 2: Key(2, SECRET[::-1]), 3: Key(3, SECRET * 2, until_ms=500.0)}, 1)


@settings(max_examples=300)
@given(st.binary(max_size=400))
@example(Seal(KEYS, 5).close(b"x" * 12, "a"))
def test_no_bytes_raise_and_nothing_unsealed_is_believed(data: bytes) -> None:
    seal = Seal(KEYS, 1)
    try:
        message = seal.open(data, "b", 1, 1000.0)
    except BadPacket:
        assert not seal._heard
    else:
        raise AssertionError(message)
    for source in (A, ip_address("::1")):
        try:
            packet.decode(data, source, source, 255)
        except BadPacket:
            pass
        else:
            raise AssertionError(data)


def opened(seal: Seal, data: bytes, sender: str = "a", now: float = 1000.0) -> str:
    try:
        seal.open(data, sender, 1, now)
    except BadPacket as bad:
        return bad.flaw.name
    return "OPEN"


def test_a_seal_is_the_senders_own_and_opens_once() -> None:
    a, b = Seal(KEYS, 100), Seal(KEYS, 200)
    first, second, third = (a.close(b"advert", "a") for _ in range(3))
    assert opened(b, second) == "OPEN" and opened(b, first) == "OPEN"  # out of order is no replay
    assert opened(b, first) == opened(b, second) == "REPLAY"
    assert opened(b, third, "c") == "SEAL"  # somebody else's, passed off as c's
    assert opened(b, third[:-1] + bytes([third[-1] ^ 1])) == "SEAL" and opened(b, third) == "OPEN"
    old = [a.close(b"advert", "a") for _ in range(WINDOW + 2)]
    assert opened(b, old[-1]) == "OPEN" and opened(b, old[0]) == "REPLAY" and opened(b, old[4]) == "OPEN"
    assert opened(b, Seal(KEYS, 101).close(b"x", "a")) == "OPEN"  # its next life
    assert opened(b, a.close(b"x", "a")) == "REPLAY"  # and its last one no more
    assert opened(b, b"x" * SIZE) == "SHORT"


def test_keys_change_in_service_and_lapse() -> None:
    old, both, new = (
        Keys({n: KEYS.by_number[n] for n in numbers}, signs)
        for numbers, signs in (((1,), 1), ((1, 2), 1), ((2,), 2))
    )
    a, b = Seal(old, 1), Seal(old, 1)
    signing = Keys(both.by_number, 2)
    for mine, theirs in ((both, old), (both, both), (signing, both), (new, signing), (new, new)):
        a.keys, b.keys = mine, theirs
        assert opened(b, a.close(b"x", "a")) == opened(a, b.close(b"x", "b"), "b") == "OPEN"
    a.keys = Keys(KEYS.by_number, 3)
    b.keys = KEYS
    assert opened(b, a.close(b"x", "a"), now=499.0) == "OPEN" and opened(b, a.close(b"x", "a")) == "SEAL"


def test_a_key_file_is_private_and_its_secrets_are_never_told(tmp_path: Path) -> None:
    file = tmp_path / "keys.toml"
    file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{SECRET.hex()}"\n')
    os.chmod(file, 0o640)
    with pytest.raises(BadKeys, match="mode 0640"):
        read_keys(file)
    os.chmod(file, 0o600)
    keys = read_keys(file)
    assert SECRET.hex() not in repr(keys) + repr(keys.by_number[1])
    assert repr(SECRET) not in repr(keys.by_number[1])
    for wrong in (SECRET.hex()[:60], SECRET.hex() + "zz", SECRET.hex() + '"\nx = "'):
        file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{wrong}"\n')
        with pytest.raises(BadKeys) as raised:
            read_keys(file)
        assert SECRET.hex()[:20] not in str(raised.value) and "keys.toml" in str(raised.value)


def machine(priority: int = 100, address=A, **more: object) -> Machine:
    return Machine(address, priority, 1000.0, **more)


def test_a_backup_takes_over_when_the_master_is_silent_and_sooner_when_it_says_so() -> None:
    m = machine()
    became, timer = m.start(0.0)
    assert became == Became(State.BACKUP, State.INITIALIZE, "start") and timer.at == 3000 + 156 * 1000 / 256
    again = m.hear(100.0, 200, 500.0, B)  # learns the interval
    assert again == [Timer(100.0 + 1500 + 156 * 500 / 256, 2)] and not m.due(2000.0, 1)
    assert m.hear(200.0, 0, 500.0, B) == [Timer(200.0 + 156 * 500 / 256, 3)]
    became, send, timer = m.due(m.timer_at, 3)
    assert became.state is State.MASTER and send == Send(100) and timer.at == m.timer_at
    assert m.interval == 1000.0  # its own again
    assert m.hear(700.0, 90, 1000.0, B)[0] == Send(100)  # a worse one is told at once
    became, timer = m.hear(800.0, 100, 1000.0, B)  # a tie goes to the higher address
    assert became.state is State.BACKUP and timer.at > 3800.0
    assert [type(a) for a in m.shutdown(900.0)] == [Timer, Became] and m.start(901.0)


def test_an_owner_starts_as_master_and_says_when_it_goes() -> None:
    m = machine(255)
    assert [type(a) for a in m.start(0.0)] == [Became, Send, Timer]
    assert m.shutdown(5.0)[0] == Send(0)


def test_a_better_router_waits_its_preempt_delay() -> None:
    m = machine(200, preempt_delay_ms=5000.0)
    m.start(0.0)
    for at in range(500, 5500, 500):
        assert m.hear(float(at), 100, 500.0, B)
    assert m.hear(5600.0, 100, 500.0, B) == []  # from now on the worse one is not heard
    assert m.due(m.timer_at, m.number)[0].state is State.MASTER
    assert machine(200, preempts=False).start(0.0) and not machine(200).hear(0.0, 1, 1.0, B)


def test_a_door_holds_down_one_that_flaps_and_lets_it_back_in_the_midst_of_a_drain() -> None:
    part = RequestScope(frozenset({1}))
    gate = Gate(part, 3000.0, HoldDown(1000.0, 8000.0, 30_000.0))
    assert gate.begin() == [Order(part, False)]
    assert gate.became(0.0, State.MASTER) == [Order(part, True)] and gate.begin() == []
    assert gate.became(100.0, State.BACKUP) == [Order(part, False, 3000.0)] and gate.door is Door.DRAINING
    held, at = [], 200.0
    for _ in range(6):
        assert gate.became(at, State.MASTER) == [] and gate.door is Door.HELD
        held.append(gate.due - at)
        assert gate.play(gate.due - 1) == [] and gate.play(gate.due) == [Order(part, True)]
        at += held[-1] + 10.0
        gate.became(at, State.BACKUP)
        at += 10.0
    assert held == [1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0]
    assert gate.play(at + 4000.0) == [] and gate.door is Door.CLOSED
    assert gate.became(at + 400_000.0, State.MASTER) == [Order(part, True)]  # long ago: forgotten
    assert gate.retire(at + 400_001.0) == [] and gate.became(at + 500_000.0, State.MASTER) == []


def test_a_fact_that_flaps_does_not_make_the_priority_flap() -> None:
    track = Track(100, [Weight("late", 30, 500.0, 1000.0, 10_000.0), Weight("runtime", 90, 0.0, 0.0)])
    changes, before = 0, 100
    for tick in range(4000):
        priority = track.step(tick * 100.0, {"late": tick // 3 % 2 == 0, "runtime": False})
        changes, before = changes + (priority != before), priority
    assert changes == 0  # never bad for long enough
    for tick in range(4000, 4600):
        priority = track.step(tick * 100.0, {"late": tick % 30 < 12})
        changes, before = changes + (priority != before), priority
    assert 2 <= changes <= 10 and track.counting == ["late"]
    assert track.step(1e6, {"runtime": True}) == 1 and Track(255, [Weight("late", 9)]).step(0.0, {}) == 255


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
    good = read_groups(file, PRODUCTS, [])
    assert good.groups[0].part == RequestScope() and good.groups[0].tracks[0].fact == "runtime"
    assert old in GOOD
    file.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(BadGroups) as raised:
        read_groups(file, PRODUCTS, [])
    assert says in str(raised.value) and "\n" not in str(raised.value)
