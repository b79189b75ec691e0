"""VRRP without a socket: codec, authentication, state machine, admission gate, tracking and files."""

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

ADDRESS_A, ADDRESS_B, MULTICAST = ip_address("192.0.2.1"), ip_address("192.0.2.2"), ip_address("224.0.0.18")
V4 = st.ip_addresses(v=4)
V6 = st.ip_addresses(v=6)
ENCODE_ARGUMENTS = st.one_of(
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


@given(ENCODE_ARGUMENTS)
def test_decode_reverses_encode(arguments: tuple) -> None:
    advertisement, source, destination = arguments
    data = packet.encode(advertisement, source, destination)
    assert packet.decode(data, source, destination) == advertisement
    assert not packet.checksum(packet.pseudo_header(source, destination, len(data)) + data)


def test_encoded_bytes_follow_the_rfc_and_invalid_messages_are_dropped() -> None:
    unsummed = bytes([0x31, 51, 200, 1]) + (100).to_bytes(2) + b"\0\0" + ADDRESS_A.packed
    checksum = packet.checksum(packet.pseudo_header(ADDRESS_B, MULTICAST, len(unsummed)) + unsummed)
    message = unsummed[:6] + checksum.to_bytes(2) + unsummed[8:]
    assert packet.encode(Advertisement(51, 200, 1000.0, (ADDRESS_A,)), ADDRESS_B, MULTICAST) == message
    messages = {
        DropReason.SHORT: message[:7],
        DropReason.VERSION: b"\x21" + message[1:],
        DropReason.TYPE: b"\x32" + message[1:],
        DropReason.LENGTH: message + b"\0",
        DropReason.CHECKSUM: message[:2] + b"\xc9" + message[3:],
    }
    for reason, data in messages.items():
        with pytest.raises(PacketError) as raised:
            packet.decode(data, ADDRESS_B, MULTICAST)
        assert raised.value.reason is reason
    with pytest.raises(PacketError) as raised:
        packet.decode(message, ADDRESS_B, MULTICAST, 254)
    assert raised.value.reason is DropReason.HOPS
    for reason, (vrid, addresses, interval) in {
        DropReason.VRID: (50, {ADDRESS_A}, 1000),
        DropReason.ADDRESSES: (51, {ADDRESS_B}, 1000),
        DropReason.INTERVAL: (51, {ADDRESS_A}, 900),
    }.items():
        with pytest.raises(PacketError) as raised:
            packet.check_group(
                packet.decode(message, ADDRESS_B, MULTICAST), vrid, frozenset(addresses), interval, False
            )
        assert raised.value.reason is reason


SECRET = bytes(range(32))
KEYS = KeyRing({1: Key(1, SECRET), 2: Key(2, SECRET[::-1]), 3: Key(3, SECRET * 2, until_ms=500.0)}, 1)


def test_bytes_on_the_wire_are_those_of_earlier_versions() -> None:
    """The expected bytes are from an earlier version, which must interoperate with this one."""
    keys = KeyRing({1: Key(1, SECRET), 2: Key(2, SECRET[::-1])}, 2)
    authenticator = Authenticator(keys, 1700000000123)
    addresses = (ip_address("192.0.2.1"), ip_address("192.0.2.9"))
    ipv4 = packet.encode(Advertisement(51, 200, 1000.0, addresses), ADDRESS_B, MULTICAST)
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
def test_arbitrary_bytes_are_dropped_without_a_change_of_state(data: bytes) -> None:
    authenticator = Authenticator(KEYS, 1)
    try:
        message = authenticator.verify(data, "b", 1, 1000.0)
    except PacketError:
        assert not authenticator._replay_states
    else:
        raise AssertionError(message)
    for source in (ADDRESS_A, ip_address("::1")):
        try:
            packet.decode(data, source, source, 255)
        except PacketError:
            pass
        else:
            raise AssertionError(data)


def verification_result(
    authenticator: Authenticator, data: bytes, sender: str = "a", now: float = 1000.0
) -> str:
    try:
        authenticator.verify(data, sender, 1, now)
    except PacketError as error:
        return error.reason.name
    return "VALID"


def test_message_is_accepted_once_and_only_from_its_sender() -> None:
    a, b = Authenticator(KEYS, 100), Authenticator(KEYS, 200)
    first, second, third = (a.sign(b"advert", "a") for _ in range(3))
    assert verification_result(b, second) == "VALID"
    assert verification_result(b, first) == "VALID"  # a message out of order is not a replay
    assert verification_result(b, first) == verification_result(b, second) == "REPLAY"
    assert verification_result(b, third, "c") == "AUTHENTICATION"  # a message of a, claimed to be from c
    assert (
        verification_result(b, third[:-1] + bytes([third[-1] ^ 1])) == "AUTHENTICATION"
        and verification_result(b, third) == "VALID"
    )
    messages = [a.sign(b"advert", "a") for _ in range(REPLAY_WINDOW + 2)]
    assert (
        verification_result(b, messages[-1]) == "VALID"
        and verification_result(b, messages[0]) == "REPLAY"
        and verification_result(b, messages[4]) == "VALID"
    )
    next_incarnation = Authenticator(KEYS, 101)
    assert verification_result(b, next_incarnation.sign(b"x", "a")) == "VALID"
    assert verification_result(b, a.sign(b"x", "a")) == "REPLAY"  # the previous incarnation is rejected
    assert verification_result(b, b"x" * TRAILER_SIZE) == "SHORT"


def test_keys_rotate_without_interruption_and_expire() -> None:
    old_key, both_keys, new_key = (
        KeyRing({n: KEYS.by_number[n] for n in numbers}, signs)
        for numbers, signs in (((1,), 1), ((1, 2), 1), ((2,), 2))
    )
    a, b = Authenticator(old_key, 1), Authenticator(old_key, 1)
    new_signs = KeyRing(both_keys.by_number, 2)
    steps = (
        (both_keys, old_key),
        (both_keys, both_keys),
        (new_signs, both_keys),
        (new_key, new_signs),
        (new_key, new_key),
    )
    for a_keys, b_keys in steps:
        a.keys, b.keys = a_keys, b_keys
        assert (
            verification_result(b, a.sign(b"x", "a"))
            == verification_result(a, b.sign(b"x", "b"), "b")
            == "VALID"
        )
    a.keys = KeyRing(KEYS.by_number, 3)
    b.keys = KEYS
    assert (
        verification_result(b, a.sign(b"x", "a"), now=499.0) == "VALID"
        and verification_result(b, a.sign(b"x", "a")) == "AUTHENTICATION"
    )


def test_key_file_must_be_private_and_errors_show_no_secret(tmp_path: Path) -> None:
    file = tmp_path / "keys.toml"
    file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{SECRET.hex()}"\n')
    os.chmod(file, 0o640)
    with pytest.raises(KeyFileError, match="mode 0640"):
        read_keys(file)
    os.chmod(file, 0o600)
    keys = read_keys(file)
    assert SECRET.hex() not in repr(keys) + repr(keys.by_number[1])
    assert repr(SECRET) not in repr(keys.by_number[1])
    for invalid_secret in (SECRET.hex()[:60], SECRET.hex() + "zz", SECRET.hex() + '"\nx = "'):
        file.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{invalid_secret}"\n')
        with pytest.raises(KeyFileError) as raised:
            read_keys(file)
        assert SECRET.hex()[:20] not in str(raised.value) and "keys.toml" in str(raised.value)


def create_machine(priority: int = 100, address=ADDRESS_A, **options: object) -> StateMachine:
    return StateMachine(address, priority, 1000.0, **options)


def test_backup_takes_over_from_a_silent_master_and_sooner_from_one_that_stops() -> None:
    machine = create_machine()
    change, timer = machine.start(0.0)
    assert (
        change == StateChange(State.BACKUP, State.INITIALIZE, "start") and timer.at == 3000 + 156 * 1000 / 256
    )
    actions = machine.handle_advertisement(100.0, 200, 500.0, ADDRESS_B)  # the backup learns the interval
    assert actions == [Timer(100.0 + 1500 + 156 * 500 / 256, 2)] and not machine.handle_timer(2000.0, 1)
    assert machine.handle_advertisement(200.0, 0, 500.0, ADDRESS_B) == [Timer(200.0 + 156 * 500 / 256, 3)]
    change, send, timer = machine.handle_timer(machine.timer_at, 3)
    assert change.state is State.MASTER and send == SendAdvertisement(100) and timer.at == machine.timer_at
    assert machine.interval == 1000.0  # a master uses its own interval
    # A lower-priority master is answered at once.
    assert machine.handle_advertisement(700.0, 90, 1000.0, ADDRESS_B)[0] == SendAdvertisement(100)
    # The higher address wins a tie.
    change, timer = machine.handle_advertisement(800.0, 100, 1000.0, ADDRESS_B)
    assert change.state is State.BACKUP and timer.at > 3800.0
    assert [type(action) for action in machine.shutdown(900.0)] == [Timer, StateChange]
    assert machine.start(901.0)


def test_owner_starts_as_master_and_sends_priority_0_at_shutdown() -> None:
    machine = create_machine(255)
    assert [type(action) for action in machine.start(0.0)] == [StateChange, SendAdvertisement, Timer]
    assert machine.shutdown(5.0)[0] == SendAdvertisement(0)


def test_higher_priority_router_preempts_after_the_preempt_delay() -> None:
    machine = create_machine(200, preempt_delay_ms=5000.0)
    machine.start(0.0)
    for at in range(500, 5500, 500):
        assert machine.handle_advertisement(float(at), 100, 500.0, ADDRESS_B)
    # After the preempt delay, the lower-priority master is ignored.
    assert machine.handle_advertisement(5600.0, 100, 500.0, ADDRESS_B) == []
    assert machine.handle_timer(machine.timer_at, machine.timer_number)[0].state is State.MASTER
    assert create_machine(200, preempts=False).start(0.0)
    assert not create_machine(200).handle_advertisement(0.0, 1, 1.0, ADDRESS_B)


def test_gate_holds_down_a_flapping_master_even_while_draining() -> None:
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
    hold_downs, at = [], 200.0
    for _ in range(6):
        assert gate.handle_state(at, State.MASTER) == [] and gate.state is GateState.HELD
        hold_downs.append(gate.deadline - at)
        assert gate.handle_deadline(gate.deadline - 1) == [] and gate.handle_deadline(gate.deadline) == [
            SetAdmission(scope, True)
        ]
        at += hold_downs[-1] + 10.0
        gate.handle_state(at, State.BACKUP)
        at += 10.0
    assert hold_downs == [1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0]
    assert gate.handle_deadline(at + 4000.0) == [] and gate.state is GateState.CLOSED
    # The earlier returns are forgotten after a long absence.
    assert gate.handle_state(at + 400_000.0, State.MASTER) == [SetAdmission(scope, True)]
    assert gate.begin_shutdown(at + 400_001.0) == [] and gate.handle_state(at + 500_000.0, State.MASTER) == []


def test_flapping_fact_does_not_make_the_priority_flap() -> None:
    tracker = PriorityTracker(
        100, [TrackedObject("late", 30, 500.0, 1000.0, 10_000.0), TrackedObject("runtime", 90, 0.0, 0.0)]
    )
    changes, previous = 0, 100
    for tick in range(4000):
        priority = tracker.step(tick * 100.0, {"late": tick // 3 % 2 == 0, "runtime": False})
        changes, previous = changes + (priority != previous), priority
    assert changes == 0  # the fact is never bad for long enough
    for tick in range(4000, 4600):
        priority = tracker.step(tick * 100.0, {"late": tick % 30 < 12})
        changes, previous = changes + (priority != previous), priority
    assert 2 <= changes <= 10 and tracker.lowering_facts == ["late"]
    assert (
        tracker.step(1e6, {"runtime": True}) == 1
        and PriorityTracker(255, [TrackedObject("late", 9)]).step(0.0, {}) == 255
    )


PRODUCTS = [
    RequestClass("look", Idempotency.SAFE, 1, 1, 1),
    RequestClass("pay", Idempotency.NON_IDEMPOTENT, 1, 1, 1),
]
VALID = (ROOT / "deploy/vrrp.toml").read_text()
SECOND_GROUP = (
    VALID[VALID.index("[[group]]") :].replace('"intake"', '"pay"').replace("vrid = 51", "vrid = 52")
)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("version = 1", "version = 2", "version: this program reads 1"),
        ("vrid = 51", "vrid = 0", "group[1].vrid: 0 is not"),
        ("vrid = 51", "vird = 51", "unknown field `vird`"),
        (
            "priority = 150",
            "priority = 255",
            "group[1].priority: 255 is reserved for, and required of, the owner",
        ),
        ("priority = 150", "priority = 300", "group[1].priority: 300"),
        ("interval_ms = 1000 ", "interval_ms = 1005 ", "is not a whole number of centiseconds"),
        ("interval_ms = 1000 ", "interval_ms = 50000 ", "group[1].interval_ms: 50000 is not between 10"),
        ('virtual = ["192.0.2.1"]', "virtual = []", "group[1].virtual"),
        ('virtual = ["192.0.2.1"]', 'virtual = ["x"]', "group[1].virtual: 'x' is not an IP address"),
        ('virtual = ["192.0.2.1"]', 'virtual = ["::1"]', "the group mixes IPv4 and IPv6"),
        ('address = "192.0.2.12"', 'address = "192.0.2.11"', "group[1].peer: an address is used twice"),
        ('udp = "127.0.0.2:5112"', 'udp = "here:5112"', "peer[1].udp: 'here' is not an IP address"),
        (
            'listen = "127.0.0.1:5112"',
            'listen = "127.0.0.1"',
            "listen: '127.0.0.1' is not an address and port",
        ),
        ('fact = "late"', 'fact = "tired"', "track[2].fact: unknown fact"),
        ('fact = "late"', 'fact = "runtime"', "group[1].track: a fact is tracked twice"),
        ("lowers = 100", "lowers = 0", "track[1].lowers: 0"),
        ("first_ms = 1000 ", "first_ms = -1 ", "hold_down.first_ms: -1"),
        ('# products = ["form-submit"]', 'products = ["lok"]', "group[1].products: unknown name 'lok'"),
        ("forget_ms = 30000 ", "forget_ms = 0 ", "hold_down.forget_ms: 0 is not between 1"),
        ("[hold_down]", "group = []\n[hold_down]", "group"),
        ('keys = "vrrp-keys.toml"', 'keys = "none.toml"', "cannot read"),
        (VALID, VALID + SECOND_GROUP, "group[2]: its requests overlap with those of group[1]"),
        (
            VALID,
            VALID + SECOND_GROUP.replace("vrid = 52", "vrid = 51"),
            "group[2].vrid: 51 is already used by group[1]",
        ),
    ],
)
def test_error_of_an_invalid_file_names_the_key(tmp_path: Path, old: str, new: str, message: str) -> None:
    keys, file = tmp_path / "vrrp-keys.toml", tmp_path / "vrrp.toml"
    keys.write_text(f'signs = 1\n[[key]]\nnumber = 1\nsecret = "{SECRET.hex()}"\n')
    keys.chmod(0o600)
    file.write_text(VALID)
    configuration = read_configuration(file, PRODUCTS, [])
    assert (
        configuration.groups[0].scope == RequestScope()
        and configuration.groups[0].tracked_objects[0].fact == "runtime"
    )
    assert old in VALID
    file.write_text(VALID.replace(old, new, 1))
    with pytest.raises(VrrpConfigurationError) as raised:
        read_configuration(file, PRODUCTS, [])
    assert message in str(raised.value) and "\n" not in str(raised.value)
