"""A server's participant: its lease, its choice of a relay and its validation of texts."""

import itertools

from cell_harness import FLEET, in_force, messages_to_relay

from otterrudder.fleet.cell.effects import (
    Connect,
    Disconnect,
    ValidateText,
)
from otterrudder.fleet.cell.identity import ServerIdentity
from otterrudder.fleet.cell.limits import DEFAULT_LEASE_MS
from otterrudder.fleet.cell.messages import (
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    RefusalReason,
    Registration,
    ValidationRequest,
    ValidationResult,
    decode_from_server,
    encode,
)
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay_selector import (
    MAX_PREFERRED_DOUBLINGS,
    MAX_RETRY_MS,
    PREFERRED_RETRY_MS,
    RETRY_MS,
)
from otterrudder.fleet.cell.server_lease import MAX_PENDING_REQUESTS
from otterrudder.fleet.cell.text_validation import MAX_TEXTS
from otterrudder.fleet.records import digest_of
from otterrudder.fleet.state import AdmissionStatus


def participant(relays: tuple[str, ...] = ("a", "b")) -> Participant:
    return Participant(0.0, ServerIdentity(FLEET, "s", "s.1", "plain"), relays)


def connect(server: Participant, now: float = 0.0) -> Registration:
    """Its connection comes about; its first message."""
    (connect_effect,) = [effect for effect in server.effects(now) if isinstance(effect, Connect)]
    server.handle_connected(now, connect_effect.connection)
    (message,) = messages_to_relay(server.effects(now))
    assert isinstance(message, Registration)
    return message


def grant(server: Participant, now: float, sequence: int, version: int = 0, span: float = 3000.0) -> None:
    change = f"change {version}" if version else ""
    server.handle_message(now, server.connection, LeaseGrant(sequence, version, change, span))


def takes(server: Participant, now: float, version: int, text: str) -> None:
    """A text comes, and is good."""
    server.handle_message(now, server.connection, in_force(version, text, digest_of(text)))
    for effect in server.effects(now):
        if isinstance(effect, ValidateText):
            server.handle_validated(now, effect.digest, "")


def test_a_lease_counts_from_the_sending() -> None:
    server = participant()
    assert server.admission_status(0.0) is AdmissionStatus.STARTING and server.admits(0.0) is None
    sequence = connect(server).sequence
    grant(server, 700.0, sequence)
    assert server.lease.until == 0.9 * DEFAULT_LEASE_MS
    assert server.admits(2699.0) == 0 and server.admits(2700.0) is None
    assert server.admission_status(2700.0) is AdmissionStatus.LEASE_EXPIRED


def test_a_lease_is_asked_for_again_after_a_quarter() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    assert 0.2 * DEFAULT_LEASE_MS < server.due() < 0.3 * DEFAULT_LEASE_MS
    (message,) = messages_to_relay(server.effects(server.due()))
    assert message == LeaseRenewal(2, 0, "serving")


def test_a_lease_goes_on_while_the_relay_is_left() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.handle_disconnected(100.0, server.connection)
    assert server.relay == "b" and server.admits(2000.0) == 0
    message = connect(server, 100.0)
    assert message.version == 0 and message.sequence == 2
    grant(server, 200.0, 2)
    assert server.lease.until == 100.0 + 0.9 * DEFAULT_LEASE_MS


def test_a_silent_relay_is_left_for_the_next() -> None:
    server = participant()
    connect(server)
    assert server.due() == 0.25 * DEFAULT_LEASE_MS
    effects = server.effects(server.due())
    assert [type(effect) for effect in effects] == [Disconnect, Connect] and server.relay == "b"
    assert server.refusal == "a did not answer in time"
    late = LeaseGrant(1, 0, "", 3000.0)
    server.handle_message(800.0, 1, late)  # of the stream that was given up
    assert server.admits(800.0) is None


def test_a_grant_that_was_not_asked_for_counts_for_nothing() -> None:
    server = participant()
    connect(server)
    grant(server, 0.0, 7)
    assert server.admission_status(0.0) is AdmissionStatus.STARTING


def test_a_refusal_leads_to_the_next_relay_at_once() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, LeaseRefusal(1, RefusalReason.NOT_LEADER))
    assert [type(effect) for effect in server.effects(0.0)] == [Disconnect, Connect]
    assert server.relay == "b" and server.refusal == "a: not-leader"


def test_tries_grow_rarer_while_all_relays_refuse() -> None:
    server, waits, now = participant(), [], 0.0
    for _ in range(20):
        register = connect(server, now)
        server.handle_message(
            now, server.connection, LeaseRefusal(register.sequence, RefusalReason.FULL, "full")
        )
        server._effects.clear()
        waits.append(max(server.due() - now, 0.0))
        now = max(now, server.due())
    assert waits[0] == 0.0 and waits[1] >= RETRY_MS / 2
    assert all(0 < wait <= MAX_RETRY_MS for wait in waits[1:]) and max(waits) > MAX_RETRY_MS / 2


def test_an_unanswered_question_does_not_end_the_stream() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, LeaseRefusal(1, RefusalReason.UNANSWERED, "this kind was asked"))
    assert server.effects(0.0) == [] and server.connection == 1
    assert server.due() == RETRY_MS
    assert messages_to_relay(server.effects(RETRY_MS)) == [LeaseRenewal(2, 0, "starting")]


def test_a_version_that_goes_back_is_not_believed() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    takes(server, 0.0, 1, "one")
    assert server.admits(0.0) == 1
    server.effects(server.due())
    grant(server, 800.0, 2, 0)
    assert server.relay == "b"
    assert server._relay_mistrust == "a announced version 0, which is older than version 1"
    assert server.lease.until == 0.9 * DEFAULT_LEASE_MS and server.admits(800.0) == 1


def test_another_change_under_the_same_number_is_not_believed() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    takes(server, 0.0, 1, "one")
    server.effects(server.due())
    server.handle_message(800.0, 1, LeaseGrant(2, 1, "another", 3000.0))
    assert server.relay == "b" and server._relay_mistrust == "a announced a different change as version 1"


def test_the_old_version_lasts_for_its_lease_and_no_longer() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.effects(server.due())
    grant(server, 800.0, 2, 1)  # its text has not come
    assert server.admits(2699.0) == 0 and server.admission_status(2700.0) is AdmissionStatus.OUTDATED
    takes(server, 2800.0, 1, "one")
    assert server.admits(2800.0) == 1


def test_a_server_that_knew_nothing_admits_nothing_before_the_text() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    assert server.admission_status(0.0) is AdmissionStatus.OUTDATED
    takes(server, 0.0, 1, "one")
    assert server.admits(0.0) == 1


def test_a_damaged_text_is_not_taken() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, in_force(1, "damaged", digest_of("one")))
    assert server.relay == "b" and server.head == 0
    assert server._relay_mistrust == "a: the text of version 1 does not match its digest"


def test_a_text_that_is_no_good_here_stops_the_server() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    server.handle_message(0.0, 1, in_force(1, "one", digest_of("one")))
    (check,) = server.effects(0.0)
    assert isinstance(check, ValidateText)
    server.handle_validated(0.0, check.digest, "values.look: no product")
    assert (
        server.admission_status(0.0) is AdmissionStatus.POLICY_REJECTED
        and server.status_detail == "values.look: no product"
    )
    takes(server, 10.0, 2, "two")
    assert server.admission_status(10.0) is AdmissionStatus.SERVING


def test_a_question_is_answered_once_checked_and_from_memory_after() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    question = ValidationRequest(digest_of("one"), "one")
    server.handle_message(0.0, 1, question)
    assert server.effects(0.0) == [ValidateText(question.digest, "one")]
    server.handle_message(0.0, 1, question)
    assert server.effects(0.0) == []
    server.handle_validated(5.0, question.digest, "no")
    assert messages_to_relay(server.effects(5.0)) == [ValidationResult(question.digest, "no")]
    server.handle_message(6.0, 1, question)
    assert messages_to_relay(server.effects(6.0)) == [ValidationResult(question.digest, "no")]


def test_the_first_address_is_tried_again() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, LeaseRefusal(1, RefusalReason.FULL))
    grant(server, 0.0, connect(server).sequence)
    now = 0.0
    while server.relay == "b" and now < 2 * PREFERRED_RETRY_MS:
        now = server.due()
        for message in messages_to_relay(server.effects(now)):
            grant(server, now, message.sequence)
    assert (
        PREFERRED_RETRY_MS / 2 <= now <= 1.5 * PREFERRED_RETRY_MS + DEFAULT_LEASE_MS and server.relay == "a"
    )
    assert server.admits(now) == 0  # the lease goes on


def test_the_first_address_is_tried_the_more_rarely_the_more_often_it_was_in_vain() -> None:
    server, now, homeward = participant(), 0.0, [0.0]
    while now < 64 * PREFERRED_RETRY_MS:
        effects = server.effects(now)
        for effect in effects:
            if isinstance(effect, Connect):
                homeward += [now] if effect.relay == "a" and now else []
                server.handle_connected(now, effect.connection)
        for message in messages_to_relay(effects):
            if server.relay == "b":
                grant(server, now, message.sequence)
            else:
                server.handle_message(
                    now, server.connection, LeaseRefusal(message.sequence, RefusalReason.NOT_LEADER)
                )
        assert not now or server.admission_status(now).admits
        now = max(server.due(), now)
    waits = [later - earlier for earlier, later in itertools.pairwise(homeward)]
    assert len(waits) >= 5
    for tries, wait in enumerate(waits):
        expected = PREFERRED_RETRY_MS * 2 ** min(tries, MAX_PREFERRED_DOUBLINGS)
        assert expected * 0.5 <= wait <= expected * 1.5 + DEFAULT_LEASE_MS


def test_the_state_of_a_server_is_bounded() -> None:
    server = participant()
    connect(server)
    for number in range(20):
        text = f"text {number}"
        server.handle_message(0.0, 1, in_force(number + 1, text, digest_of(text)))
        server.handle_message(0.0, 1, ValidationRequest(digest_of(f"asked {number}"), f"asked {number}"))
        server._begin_request(0.0)
    assert len(server.validation._updates) <= MAX_TEXTS and len(server.validation._requested) <= MAX_TEXTS
    assert len(server.requests) <= MAX_PENDING_REQUESTS
    for number in range(20):
        server.handle_validated(0.0, f"digest {number}", "")
    assert len(server.validation._results) <= MAX_TEXTS + 1


def test_a_damaged_question_is_not_answered() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, ValidationRequest(digest_of("one"), "damaged"))
    assert not [effect for effect in server.effects(0.0) if isinstance(effect, ValidateText)]
    assert server.relay == "b" and "does not match its digest" in server._relay_mistrust


def test_a_long_reason_is_cut_to_what_a_relay_takes() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.handle_message(0.0, 1, ValidationRequest(digest_of("one"), "one"))
    server.effects(0.0)
    server.handle_validated(0.0, digest_of("one"), "x" * 100_000)
    (verdict,) = messages_to_relay(server.effects(0.0))
    assert isinstance(verdict, ValidationResult) and decode_from_server(encode(verdict)) == verdict
