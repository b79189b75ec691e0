"""Tests a server's participant: its lease, its selection of a relay and its validation of texts."""

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
    """Opens the server's connection and returns its registration."""
    (connect_effect,) = [effect for effect in server.effects(now) if isinstance(effect, Connect)]
    server.handle_connected(now, connect_effect.connection)
    (message,) = messages_to_relay(server.effects(now))
    assert isinstance(message, Registration)
    return message


def grant(server: Participant, now: float, sequence: int, version: int = 0, span: float = 3000.0) -> None:
    change = f"change {version}" if version else ""
    server.handle_message(now, server.connection, LeaseGrant(sequence, version, change, span))


def receive_valid_text(server: Participant, now: float, version: int, text: str) -> None:
    """Delivers a policy text that the server accepts."""
    server.handle_message(now, server.connection, in_force(version, text, digest_of(text)))
    for effect in server.effects(now):
        if isinstance(effect, ValidateText):
            server.handle_validated(now, effect.digest, "")


def test_lease_counts_from_the_sending_of_the_request() -> None:
    server = participant()
    assert server.admission_status(0.0) is AdmissionStatus.STARTING and server.admits(0.0) is None
    sequence = connect(server).sequence
    grant(server, 700.0, sequence)
    assert server.lease.until == 0.9 * DEFAULT_LEASE_MS
    assert server.admits(2699.0) == 0 and server.admits(2700.0) is None
    assert server.admission_status(2700.0) is AdmissionStatus.LEASE_EXPIRED


def test_lease_is_renewed_after_a_quarter_of_its_span() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    assert 0.2 * DEFAULT_LEASE_MS < server.due() < 0.3 * DEFAULT_LEASE_MS
    (message,) = messages_to_relay(server.effects(server.due()))
    assert message == LeaseRenewal(2, 0, "serving")


def test_lease_stays_valid_while_the_server_changes_its_relay() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.handle_disconnected(100.0, server.connection)
    assert server.relay == "b" and server.admits(2000.0) == 0
    message = connect(server, 100.0)
    assert message.version == 0 and message.sequence == 2
    grant(server, 200.0, 2)
    assert server.lease.until == 100.0 + 0.9 * DEFAULT_LEASE_MS


def test_server_changes_its_relay_after_an_answer_timeout() -> None:
    server = participant()
    connect(server)
    assert server.due() == 0.25 * DEFAULT_LEASE_MS
    effects = server.effects(server.due())
    assert [type(effect) for effect in effects] == [Disconnect, Connect] and server.relay == "b"
    assert server.refusal == "a did not answer in time"
    late = LeaseGrant(1, 0, "", 3000.0)
    server.handle_message(800.0, 1, late)  # arrives on the closed stream
    assert server.admits(800.0) is None


def test_unsolicited_grant_is_ignored() -> None:
    server = participant()
    connect(server)
    grant(server, 0.0, 7)
    assert server.admission_status(0.0) is AdmissionStatus.STARTING


def test_refused_server_connects_to_the_next_relay_at_once() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, LeaseRefusal(1, RefusalReason.NOT_LEADER))
    assert [type(effect) for effect in server.effects(0.0)] == [Disconnect, Connect]
    assert server.relay == "b" and server.refusal == "a: not-leader"


def test_retry_delay_grows_while_all_relays_refuse() -> None:
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


def test_refusal_for_an_unanswered_validation_keeps_the_stream() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, LeaseRefusal(1, RefusalReason.UNANSWERED, "this kind was asked"))
    assert server.effects(0.0) == [] and server.connection == 1
    assert server.due() == RETRY_MS
    assert messages_to_relay(server.effects(RETRY_MS)) == [LeaseRenewal(2, 0, "starting")]


def test_relay_that_announces_an_older_version_is_not_trusted() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    receive_valid_text(server, 0.0, 1, "one")
    assert server.admits(0.0) == 1
    server.effects(server.due())
    grant(server, 800.0, 2, 0)
    assert server.relay == "b"
    assert server._relay_distrust_reason == "a announced version 0, which is older than version 1"
    assert server.lease.until == 0.9 * DEFAULT_LEASE_MS and server.admits(800.0) == 1


def test_relay_that_announces_another_change_for_a_version_is_not_trusted() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    receive_valid_text(server, 0.0, 1, "one")
    server.effects(server.due())
    server.handle_message(800.0, 1, LeaseGrant(2, 1, "another", 3000.0))
    assert (
        server.relay == "b" and server._relay_distrust_reason == "a announced a different change as version 1"
    )


def test_old_version_is_used_only_until_its_lease_ends() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.effects(server.due())
    grant(server, 800.0, 2, 1)  # the text of version 1 has not arrived
    assert server.admits(2699.0) == 0 and server.admission_status(2700.0) is AdmissionStatus.OUTDATED
    receive_valid_text(server, 2800.0, 1, "one")
    assert server.admits(2800.0) == 1


def test_server_without_a_version_admits_nothing_before_the_text_arrives() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    assert server.admission_status(0.0) is AdmissionStatus.OUTDATED
    receive_valid_text(server, 0.0, 1, "one")
    assert server.admits(0.0) == 1


def test_text_that_does_not_match_its_digest_is_not_used() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, in_force(1, "damaged", digest_of("one")))
    assert server.relay == "b" and server.newest_version == 0
    assert server._relay_distrust_reason == "a: the text of version 1 does not match its digest"


def test_server_stops_admitting_when_it_rejects_the_policy_in_force() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    server.handle_message(0.0, 1, in_force(1, "one", digest_of("one")))
    (validation,) = server.effects(0.0)
    assert isinstance(validation, ValidateText)
    server.handle_validated(0.0, validation.digest, "values.look: no product")
    assert (
        server.admission_status(0.0) is AdmissionStatus.POLICY_REJECTED
        and server.status_detail == "values.look: no product"
    )
    receive_valid_text(server, 10.0, 2, "two")
    assert server.admission_status(10.0) is AdmissionStatus.SERVING


def test_validation_result_is_reused_for_a_repeated_request() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    request = ValidationRequest(digest_of("one"), "one")
    server.handle_message(0.0, 1, request)
    assert server.effects(0.0) == [ValidateText(request.digest, "one")]
    server.handle_message(0.0, 1, request)
    assert server.effects(0.0) == []
    server.handle_validated(5.0, request.digest, "no")
    assert messages_to_relay(server.effects(5.0)) == [ValidationResult(request.digest, "no")]
    server.handle_message(6.0, 1, request)
    assert messages_to_relay(server.effects(6.0)) == [ValidationResult(request.digest, "no")]


def test_server_returns_to_the_preferred_relay() -> None:
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
    assert server.admits(now) == 0  # the lease is still valid


def test_delay_before_a_return_doubles_after_each_failed_return() -> None:
    server, now, return_times = participant(), 0.0, [0.0]
    while now < 64 * PREFERRED_RETRY_MS:
        effects = server.effects(now)
        for effect in effects:
            if isinstance(effect, Connect):
                return_times += [now] if effect.relay == "a" and now else []
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
    waits = [later - earlier for earlier, later in itertools.pairwise(return_times)]
    assert len(waits) >= 5
    for failed_returns, wait in enumerate(waits):
        expected = PREFERRED_RETRY_MS * 2 ** min(failed_returns, MAX_PREFERRED_DOUBLINGS)
        assert expected * 0.5 <= wait <= expected * 1.5 + DEFAULT_LEASE_MS


def test_participant_state_is_bounded() -> None:
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


def test_validation_request_that_does_not_match_its_digest_is_not_answered() -> None:
    server = participant()
    connect(server)
    server.handle_message(0.0, 1, ValidationRequest(digest_of("one"), "damaged"))
    assert not [effect for effect in server.effects(0.0) if isinstance(effect, ValidateText)]
    assert server.relay == "b" and "does not match its digest" in server._relay_distrust_reason


def test_long_rejection_is_truncated_to_the_maximum_that_a_relay_accepts() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.handle_message(0.0, 1, ValidationRequest(digest_of("one"), "one"))
    server.effects(0.0)
    server.handle_validated(0.0, digest_of("one"), "x" * 100_000)
    (result,) = messages_to_relay(server.effects(0.0))
    assert isinstance(result, ValidationResult) and decode_from_server(encode(result)) == result
