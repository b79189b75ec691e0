"""The pure parts of agreement by cells: a server's part, a relay's, the poll of kinds, consent, the queue."""

import itertools
import math
from dataclasses import replace

import pytest
from cell_harness import FLEET, KEYS, RULES, Harness, Stream, in_force, registration, sent, told

from otterrudder.fleet.cell.consent import CONSENT_MS, Consents, PeerRequest, Promise
from otterrudder.fleet.cell.kinds import ASK_AGAIN_MS, ASK_MOST_MS, VERDICTS_MOST, Candidate, Poll, Verdicts
from otterrudder.fleet.cell.messages import (
    MAX_NAME_LENGTH,
    AskConsent,
    AskVerdict,
    BadMessage,
    Consent,
    Grant,
    InForce,
    RefusalReason,
    Refuse,
    Register,
    RelayMessage,
    Renew,
    Verdict,
    decode_from_peer,
    decode_from_relay,
    decode_from_server,
    encode,
)
from otterrudder.fleet.cell.participant import (
    HOME_AGAIN_MS,
    HOME_DOUBLINGS_MOST,
    LEASE_SPAN_MS,
    PENDING_MOST,
    RETRY_MOST_MS,
    RETRY_MS,
    TEXTS_MOST,
    CheckText,
    Connect,
    Disconnect,
    Identity,
    Participant,
)
from otterrudder.fleet.cell.relay import (
    TAKEOVER_MS,
    CellIdentity,
    EndSession,
    Relay,
    RelayEffect,
    RelayLimits,
)
from otterrudder.fleet.change import COUNT_MS, ChangeCoordinator, finish_change
from otterrudder.fleet.effects import Commit, GrantLease, Lane, Read
from otterrudder.fleet.effects import RenewLease as EffectOfLease
from otterrudder.fleet.member import VOTE_FIRST_MS
from otterrudder.fleet.queue import (
    PolicyInForce,
    QueueRejectedError,
    enqueue,
    open_next,
    queue_position,
    withdraw_queued,
)
from otterrudder.fleet.records import MAX_FINISHED_CHANGES, MAX_QUEUED_CHANGES, QueuedChange, digest_of
from otterrudder.fleet.records import encode as encode_record
from otterrudder.fleet.state import AdmissionStatus, Rules
from otterrudder.fleet.store import CommitResult, Put

# A server's part.


def participant(relays: tuple[str, ...] = ("a", "b")) -> Participant:
    return Participant(0.0, Identity(FLEET, "s", "s.1", "plain"), relays)


def connect(server: Participant, now: float = 0.0) -> Register:
    """Its connection comes about; its first message."""
    (wanted,) = [effect for effect in server.effects(now) if isinstance(effect, Connect)]
    server.connected(now, wanted.connection)
    (message,) = sent(server.effects(now))
    assert isinstance(message, Register)
    return message


def grant(server: Participant, now: float, sequence: int, version: int = 0, span: float = 3000.0) -> None:
    change = f"change {version}" if version else ""
    server.received(now, server.connection, Grant(sequence, version, change, span))


def takes(server: Participant, now: float, version: int, text: str) -> None:
    """A text comes, and is good."""
    server.received(now, server.connection, in_force(version, text, digest_of(text)))
    for effect in server.effects(now):
        if isinstance(effect, CheckText):
            server.checked(now, effect.digest, "")


def test_a_lease_counts_from_the_sending() -> None:
    server = participant()
    assert server.admission_status(0.0) is AdmissionStatus.STARTING and server.admits(0.0) is None
    sequence = connect(server).sequence
    grant(server, 700.0, sequence)
    assert server.lease_until == 0.9 * LEASE_SPAN_MS
    assert server.admits(2699.0) == 0 and server.admits(2700.0) is None
    assert server.admission_status(2700.0) is AdmissionStatus.LEASE_EXPIRED


def test_a_lease_is_asked_for_again_after_a_quarter() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    assert 0.2 * LEASE_SPAN_MS < server.due() < 0.3 * LEASE_SPAN_MS
    (message,) = sent(server.effects(server.due()))
    assert message == Renew(2, 0, "serving")


def test_a_lease_goes_on_while_the_relay_is_left() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.disconnected(100.0, server.connection)
    assert server.relay == "b" and server.admits(2000.0) == 0
    message = connect(server, 100.0)
    assert message.version == 0 and message.sequence == 2
    grant(server, 200.0, 2)
    assert server.lease_until == 100.0 + 0.9 * LEASE_SPAN_MS


def test_a_silent_relay_is_left_for_the_next() -> None:
    server = participant()
    connect(server)
    assert server.due() == 0.25 * LEASE_SPAN_MS
    effects = server.effects(server.due())
    assert [type(effect) for effect in effects] == [Disconnect, Connect] and server.relay == "b"
    assert server.refusal == "a does not answer"
    late = Grant(1, 0, "", 3000.0)
    server.received(800.0, 1, late)  # of the stream that was given up
    assert server.admits(800.0) is None


def test_a_grant_that_was_not_asked_for_counts_for_nothing() -> None:
    server = participant()
    connect(server)
    grant(server, 0.0, 7)
    assert server.admission_status(0.0) is AdmissionStatus.STARTING


def test_a_refusal_leads_to_the_next_relay_at_once() -> None:
    server = participant()
    connect(server)
    server.received(0.0, 1, Refuse(1, RefusalReason.NOT_LEADER))
    assert [type(effect) for effect in server.effects(0.0)] == [Disconnect, Connect]
    assert server.relay == "b" and server.refusal == "a: not-leader"


def test_tries_grow_rarer_while_all_relays_refuse() -> None:
    server, waits, now = participant(), [], 0.0
    for _ in range(20):
        register = connect(server, now)
        server.received(now, server.connection, Refuse(register.sequence, RefusalReason.FULL, "full"))
        server._effects.clear()
        waits.append(max(server.due() - now, 0.0))
        now = max(now, server.due())
    assert waits[0] == 0.0 and waits[1] >= RETRY_MS / 2
    assert all(0 < wait <= RETRY_MOST_MS for wait in waits[1:]) and max(waits) > RETRY_MOST_MS / 2


def test_unanswered_keeps_the_stream() -> None:
    server = participant()
    connect(server)
    server.received(0.0, 1, Refuse(1, RefusalReason.UNANSWERED, "this kind was asked"))
    assert server.effects(0.0) == [] and server.connection == 1
    assert server.due() == RETRY_MS
    assert sent(server.effects(RETRY_MS)) == [Renew(2, 0, "starting")]


def test_a_version_that_goes_back_is_not_believed() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    takes(server, 0.0, 1, "one")
    assert server.admits(0.0) == 1
    server.effects(server.due())
    grant(server, 800.0, 2, 0)
    assert server.relay == "b" and server.mistrust == "a tells of version 0, older than 1"
    assert server.lease_until == 0.9 * LEASE_SPAN_MS and server.admits(800.0) == 1


def test_another_change_under_the_same_number_is_not_believed() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    takes(server, 0.0, 1, "one")
    server.effects(server.due())
    server.received(800.0, 1, Grant(2, 1, "another", 3000.0))
    assert server.relay == "b" and server.mistrust == "a tells of another version 1"


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
    server.received(0.0, 1, in_force(1, "damaged", digest_of("one")))
    assert server.relay == "b" and server.head == 0
    assert server.mistrust == "a: the text of version 1 is damaged"


def test_a_text_that_is_no_good_here_stops_the_server() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence, 1)
    server.received(0.0, 1, in_force(1, "one", digest_of("one")))
    (check,) = server.effects(0.0)
    assert isinstance(check, CheckText)
    server.checked(0.0, check.digest, "values.look: no product")
    assert (
        server.admission_status(0.0) is AdmissionStatus.POLICY_REJECTED
        and server.status_detail == "values.look: no product"
    )
    takes(server, 10.0, 2, "two")
    assert server.admission_status(10.0) is AdmissionStatus.SERVING


def test_a_question_is_answered_once_checked_and_from_memory_after() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    question = AskVerdict(digest_of("one"), "one")
    server.received(0.0, 1, question)
    assert server.effects(0.0) == [CheckText(question.digest, "one")]
    server.received(0.0, 1, question)
    assert server.effects(0.0) == []
    server.checked(5.0, question.digest, "no")
    assert sent(server.effects(5.0)) == [Verdict(question.digest, "no")]
    server.received(6.0, 1, question)
    assert sent(server.effects(6.0)) == [Verdict(question.digest, "no")]


def test_the_first_address_is_tried_again() -> None:
    server = participant()
    connect(server)
    server.received(0.0, 1, Refuse(1, RefusalReason.FULL))
    grant(server, 0.0, connect(server).sequence)
    now = 0.0
    while server.relay == "b" and now < 2 * HOME_AGAIN_MS:
        now = server.due()
        for message in sent(server.effects(now)):
            grant(server, now, message.sequence)
    assert HOME_AGAIN_MS / 2 <= now <= 1.5 * HOME_AGAIN_MS + LEASE_SPAN_MS and server.relay == "a"
    assert server.admits(now) == 0  # the lease goes on


def test_the_first_address_is_tried_the_more_rarely_the_more_often_it_was_in_vain() -> None:
    server, now, homeward = participant(), 0.0, [0.0]
    while now < 64 * HOME_AGAIN_MS:
        effects = server.effects(now)
        for effect in effects:
            if isinstance(effect, Connect):
                homeward += [now] if effect.relay == "a" and now else []
                server.connected(now, effect.connection)
        for message in sent(effects):
            if server.relay == "b":
                grant(server, now, message.sequence)
            else:
                server.received(now, server.connection, Refuse(message.sequence, RefusalReason.NOT_LEADER))
        assert not now or server.admission_status(now).admits
        now = max(server.due(), now)
    waits = [later - earlier for earlier, later in itertools.pairwise(homeward)]
    assert len(waits) >= 5
    for tries, wait in enumerate(waits):
        expected = HOME_AGAIN_MS * 2 ** min(tries, HOME_DOUBLINGS_MOST)
        assert expected * 0.5 <= wait <= expected * 1.5 + LEASE_SPAN_MS


def test_a_server_keeps_no_more_than_it_may() -> None:
    server = participant()
    connect(server)
    for number in range(20):
        text = f"text {number}"
        server.received(0.0, 1, in_force(number + 1, text, digest_of(text)))
        server.received(0.0, 1, AskVerdict(digest_of(f"asked {number}"), f"asked {number}"))
        server._request(0.0, Renew(number, 0))
    assert len(server._texts) <= TEXTS_MOST and len(server._to_answer) <= TEXTS_MOST
    assert len(server._pending) <= PENDING_MOST
    for number in range(20):
        server.checked(0.0, f"digest {number}", "")
    assert len(server._checked) <= TEXTS_MOST + 1


def test_a_damaged_question_is_not_answered() -> None:
    server = participant()
    connect(server)
    server.received(0.0, 1, AskVerdict(digest_of("one"), "damaged"))
    assert not [effect for effect in server.effects(0.0) if isinstance(effect, CheckText)]
    assert server.relay == "b" and "damaged" in server.mistrust


# Messages.


def test_messages_come_back_as_they_were() -> None:
    for message in (registration(), Renew(3, 1, "serving"), Verdict("d", "no")):
        assert decode_from_server(encode(message)) == message
    relays = (
        Grant(3, 1, "A", 3000.0),
        in_force(1, "t", "d"),
        AskVerdict("d", "t"),
        Refuse(1, RefusalReason.FULL, "x"),
    )
    for message in relays:
        assert decode_from_relay(encode(message)) == message
    for message in (AskConsent(1, "f", "c", "a", ("a", "b")), Consent(1, "b", 3000.0)):
        assert decode_from_peer(encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        encode(Grant(1, 1, "", 1.0)),
        encode(registration(name="n" * (MAX_NAME_LENGTH + 1))),
        encode(Verdict("d" * (MAX_NAME_LENGTH + 1))),
        encode(Verdict("d", "x" * 100_000)),
        encode(Renew(1, 1, "x" * 100_000)),
    ],
)
def test_bytes_that_are_no_message_are_refused(data: bytes) -> None:
    with pytest.raises(BadMessage):
        decode_from_server(data)


def test_a_long_reason_is_cut_to_what_a_relay_takes() -> None:
    server = participant()
    grant(server, 0.0, connect(server).sequence)
    server.received(0.0, 1, AskVerdict(digest_of("one"), "one"))
    server.effects(0.0)
    server.checked(0.0, digest_of("one"), "x" * 100_000)
    (verdict,) = sent(server.effects(0.0))
    assert isinstance(verdict, Verdict) and decode_from_server(encode(verdict)) == verdict


# Kinds.


def test_a_second_server_is_asked_where_the_first_is_silent() -> None:
    servers = [Candidate(1, "old", "s1"), Candidate(2, "old", "s2")]
    poll = Poll("d", Verdicts())
    assert poll.ask(0.0, servers) == [1] and poll.due() == ASK_AGAIN_MS
    assert poll.ask(ASK_AGAIN_MS, servers) == [2]
    assert poll.ask(2 * ASK_AGAIN_MS, servers) == [1]
    assert not poll.is_overdue(ASK_MOST_MS - 1, "old") and poll.is_overdue(ASK_MOST_MS, "old")
    poll.answered("old", "s2", "")
    assert not poll.is_overdue(ASK_MOST_MS, "old")


def test_a_no_names_the_server_once() -> None:
    poll = Poll("d", Verdicts())
    servers = [Candidate(1, "old", "s1")]
    poll.answered("old", "s1", "values.look: no product")
    assert poll.decided(servers) == "s1: values.look: no product"
    again = Poll("d", poll.verdicts)
    assert again.decided([Candidate(2, "old", "s2")]) == "s2: values.look: no product"


def test_verdicts_are_bounded() -> None:
    verdicts = Verdicts()
    for number in range(VERDICTS_MOST + 1):
        verdicts.put("k", str(number), "")
    assert verdicts.get("k", "0") is None and verdicts.get("k", "1") == ""


def test_each_kind_is_asked_once_and_the_answer_is_remembered() -> None:
    verdicts = Verdicts()
    servers = [Candidate(1, "old", "s1"), Candidate(2, "old", "s2"), Candidate(3, "new", "s3")]
    poll = Poll("d", verdicts)
    assert poll.ask(0.0, servers) == [1, 3] and poll.ask(1.0, servers) == []
    poll.answered("old", "s1", "")
    assert poll.decided(servers) is None
    poll.answered("new", "s3", "")
    assert poll.decided(servers) == "" and poll.due() == math.inf
    again = Poll("d", verdicts)
    assert again.ask(9.0, servers) == [] and again.decided(servers) == ""


def test_nobody_is_due_for_a_kind_that_has_answered_or_gone() -> None:
    poll = Poll("d", Verdicts())
    answered, gone, asked = Candidate(1, "x", "s1"), Candidate(2, "y", "s2"), Candidate(3, "z", "s3")
    poll.ask(0.0, [answered, gone, asked])
    poll.answered("x", "s1", "")
    poll.ask(ASK_AGAIN_MS, [answered, asked])
    assert poll.due() == 2 * ASK_AGAIN_MS


# A relay.


def at_work(**options: object) -> Harness:
    """Two cells of two relays, two servers each, all admitting under the servers' own files."""
    harness = Harness(**options)  # type: ignore[arg-type]
    for cell in ("east", "west"):
        relays = harness.add_cell(cell)
        for number in range(2):
            harness.add_server(f"{cell}-s{number}", relays, f"kind of {cell}")
    harness.run(10_000.0)
    assert set(harness.admitted().values()) == {0}
    return harness


def test_cells_agree_and_their_servers_switch() -> None:
    harness = at_work()
    harness.propose("A")
    harness.run(2000.0)
    assert set(harness.admitted().values()) == {1} and harness.view().change is None


def test_one_server_of_a_kind_is_asked() -> None:
    harness = at_work()
    asked: list[str] = []
    deliver = harness._to_server

    def watch(stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, AskVerdict):
            asked.append(stream.server)
        deliver(stream, message)

    harness._to_server = watch  # type: ignore[method-assign]
    harness.propose("A")
    harness.run(2000.0)
    assert sorted(name.split("-")[0] for name in asked) == ["east", "west"]


def test_a_grant_ends_with_the_authority_of_the_relay() -> None:
    harness = at_work()
    relay = harness.leader("east")
    until = relay.member.registration.lease_until
    relay.member.registration.endorsed_until = -math.inf
    number = next(n for n, stream in harness.streams.items() if stream.relay == relay.identity.address)
    for left in (2000.0, 500.0):
        relay.received(until - left, number, Renew(99, 0))
        (message,) = told(relay._effects[-1:])
        assert isinstance(message, Grant) and message.span_ms == pytest.approx(left)
    relay.received(until - 100.0, number, Renew(99, 0))
    refusals = [message for message in told(relay._effects) if isinstance(message, Refuse)]
    assert refusals[-1].reason is RefusalReason.NO_AUTHORITY


def test_a_grant_ends_by_the_bound_after_a_vote() -> None:
    harness = at_work()
    harness.propose("A")
    relay = harness.leader("east")
    harness.is_store_away = False
    while not relay.member.prepared_vote:
        assert harness._step()
    until = relay.member.voting.fresh_at + relay.member.rules.bound_ms
    assert relay.member.voting.vote_sent and relay.authority_until(harness.now) <= until


def test_no_lease_may_outlast_the_bound() -> None:
    identity = CellIdentity(FLEET, "east", "a", ("a",))
    with pytest.raises(ValueError, match="outlasts the bound"):
        Relay(0.0, identity, "a.1", Rules(bound_ms=2000.0), RelayLimits(span_ms=2001.0))


def test_a_full_relay_names_itself() -> None:
    harness = at_work(limits=RelayLimits(sessions_most=2))
    relay = harness.leader("east")
    relay.received(harness.now, 999, registration())
    (refuse,) = [message for message in told(relay.effects(harness.now)) if isinstance(message, Refuse)]
    assert (refuse.reason, refuse.detail) == (
        RefusalReason.FULL,
        f"{relay.identity.address} has its 2 sessions",
    )
    assert relay.refused[RefusalReason.FULL] == 1 and len(relay.sessions) == 2


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (registration(fleet="other"), RefusalReason.WRONG_FLEET),
        (Register(1, FLEET, "s", "s.1", "k", protocol=2), RefusalReason.PROTOCOL),
        (Renew(1, 0), RefusalReason.PROTOCOL),
        (Verdict("d"), RefusalReason.PROTOCOL),
        (registration(), RefusalReason.NOT_LEADER),
    ],
)
def test_a_relay_refuses_and_says_why(message: Register | Renew | Verdict, reason: RefusalReason) -> None:
    relay = Harness().add_relay("a", "east")
    relay.received(0.0, 1, message)
    effects = [effect for effect in relay.effects(0.0) if not isinstance(effect, Read | GrantLease)]
    assert [refuse.reason for refuse in told(effects) if isinstance(refuse, Refuse)] == [reason]
    assert EndSession(1) in effects and not relay.sessions


def test_a_relay_that_leaves_sends_its_servers_away() -> None:
    harness = at_work()
    relay = harness.leader("east")
    relay.leave(harness.now)
    assert not relay.sessions and relay.authority_until(harness.now) == -math.inf
    reasons = [message.reason for message in told(relay.effects(harness.now)) if isinstance(message, Refuse)]
    assert reasons == [RefusalReason.LEAVING] * 2


def test_sessions_of_silent_servers_are_swept() -> None:
    harness = at_work()
    relay = harness.leader("east")
    effects = relay.effects(harness.now + 2 * LEASE_SPAN_MS + 2000.0)
    assert sum(isinstance(effect, EndSession) for effect in effects) == 2 and not relay.sessions


def test_a_no_ends_up_in_the_vote_with_the_server_and_the_key() -> None:
    harness = at_work(refuses={"kind of east": "values.look: no product"})
    harness.propose("A", "policy!")
    harness.run(2000.0)
    (end,) = harness.view().finished
    assert not end.committed and end.reason.startswith("east: east-s")
    assert end.reason.endswith(": values.look: no product") and set(harness.admitted().values()) == {0}


def test_a_silent_kind_gets_no_lease_and_does_not_block() -> None:
    harness = at_work(silent={"east-s0", "east-s1"})
    harness.propose("A")
    harness.run(ASK_MOST_MS + 1500.0)
    assert RefusalReason.UNANSWERED in {refuse.reason for refuse in harness.refusals}
    harness.run(LEASE_SPAN_MS)
    view = harness.view()
    assert view.policy and view.policy.version == 1 and view.change is None
    assert harness.admitted() == {"east-s0": None, "east-s1": None, "west-s0": 1, "west-s1": 1}


def test_a_text_in_force_is_not_polled() -> None:
    harness = at_work()
    harness.propose("A", "policy A")
    harness.run(2000.0)
    harness.checks.clear()
    harness.refuses = {"kind of east": "no"}
    for address in list(harness.relays):
        if harness.relays[address].identity.cell == "east":
            harness.remove_relay(address)
    harness.add_cell("east")
    harness.run(20_000.0)
    assert harness.checks == [] and harness.admitted()["east-s0"] == 1


def test_a_relay_of_a_cell_takes_over() -> None:
    harness = at_work()
    harness.propose("A")
    harness.run(2000.0)
    harness.remove_relay(harness.leader("east").identity.address)
    harness.run(15_000.0)
    assert harness.admitted()["east-s0"] == 1
    harness.propose("B")
    harness.run(3000.0)
    assert set(harness.admitted().values()) == {2}


def test_who_takes_over_does_not_vote_for_a_moment() -> None:
    harness = at_work()
    old = harness.leader("east").identity.address
    harness.remove_relay(old)
    harness.propose("A")
    harness.run(1000.0)
    new = next(relay for address, relay in harness.relays.items() if address.startswith("east"))
    while not new.leads():
        harness.run(50.0)
    led_at = harness.now
    harness.run(TAKEOVER_MS - 200.0)
    assert "east" not in harness.view().votes and harness.view().change
    harness.run(1500.0)
    assert harness.view().change is None and harness.now - led_at > TAKEOVER_MS


def test_a_change_that_ends_before_the_vote_leaves_nobody_due() -> None:
    harness = at_work()
    relay = harness.leader("east")
    relay.member.voting.abstains_until = harness.now + 500.0
    harness.propose("A")
    harness.run(100.0)
    end = finish_change(harness.view(), True)
    assert end
    harness.commit(end)
    harness.run(5000.0)


def test_who_takes_over_asks_the_kinds_that_come_to_it() -> None:
    """It polls no earlier than it may vote: until then servers are still on their way to it."""
    harness = at_work(refuses={"kind of east": "no"})
    old = harness.leader("east").identity.address
    new = next(a for a in harness.relays if a.startswith("east") and a != old)
    harness.remove_relay(old)
    while not harness.relays[new].leads():
        harness.run(10.0)
    harness.streams = {n: s for n, s in harness.streams.items() if s.relay != new}
    harness.relays[new].sessions.clear()
    for name in ("east-s0", "east-s1"):
        harness.servers[name].disconnected(harness.now, harness.servers[name].connection)
        harness.servers[name]._connect_at = harness.now + 0.6 * TAKEOVER_MS
    harness.propose("A", "policy!")
    harness.run(4 * TAKEOVER_MS)
    assert [end.committed for end in harness.view().finished] == [False]


def test_the_same_text_is_polled_again_when_it_is_proposed_again() -> None:
    harness = at_work(refuses={"kind of west": "no", "kind of north": "no"})
    harness.propose("A", "policy!")
    harness.run(2000.0)
    assert [end.committed for end in harness.view().finished] == [False]  # east has said yes, west no
    for name in ("west-s0", "west-s1"):
        harness.remove_server(name)
    harness.add_server("east-s2", tuple(a for a in harness.relays if a.startswith("east")), "kind of north")
    harness.run(4000.0)
    harness.propose("B", "policy!")
    harness.run(3000.0)
    assert [end.committed for end in harness.view().finished] == [False, False]
    assert harness.view().finished[-1].reason == "east: east-s2: no"


def test_a_kind_that_comes_between_the_poll_and_the_vote_is_asked() -> None:
    harness = at_work(refuses={"kind of north": "no"}, silent={"east-s0", "east-s1"})
    relay = harness.leader("east")
    held: list[Read] = []
    begin = harness._relay_effect

    def hold_reads(address: str, of: Relay, effect: RelayEffect) -> None:
        if of is relay and isinstance(effect, Read) and effect.lane is Lane.STORE:
            held.append(effect)
        else:
            begin(address, of, effect)

    harness.propose("A", "policy!")
    harness.run(VOTE_FIRST_MS + 50.0)  # from then on a hint's read goes before the vote
    harness._relay_effect = hold_reads  # type: ignore[method-assign]
    relay.handle_watch_event(harness.now, KEYS.head)
    harness.run(0.0)
    harness.silent.clear()
    for name in ("east-s0", "east-s1"):
        if check := harness.servers[name]._check:
            harness.servers[name].checked(harness.now, check.digest, "")
    harness.run(0.0)
    assert relay.member.validation_result(digest_of("policy!")) == "" and not relay.member.voting.vote_sent
    east = tuple(address for address in harness.relays if address.startswith("east"))
    harness.add_server("east-s2", east, "kind of north")
    harness.run(50.0)
    harness._relay_effect = begin  # type: ignore[method-assign]
    sent_at = harness.now - 50.0
    relay.handle_result(harness.now, held[0], sent_at, harness.space.answer(harness.now, held[0]))
    harness.run(1000.0)
    assert [end.committed for end in harness.view().finished] == [False]


def test_a_kind_is_waited_for_while_its_lease_lasts_though_its_stream_has_ended() -> None:
    harness = at_work(refuses={"kind of east": "no"})
    for name in ("east-s0", "east-s1"):
        server = harness.servers[name]
        number = harness._number(name, server.connection)
        assert number is not None
        harness._end(number)
        server.disconnected(harness.now, server.connection)
        server._connect_at = harness.now + 400.0
    harness.propose("A", "policy!")
    harness.run(2000.0)
    assert [end.committed for end in harness.view().finished] == [False]


def test_a_server_that_has_just_started_waits_for_a_read() -> None:
    """The change may have been committed before it started, and the relay not know yet."""
    harness = at_work()
    relay = harness.leader("east")
    harness.propose("A")
    while "east" not in harness.view().votes:
        harness._step()
    now = relay.member.voting.fresh_at + 300.0
    relay.received(now, 999, registration(5, name="new"))
    effects = relay.effects(now)
    assert not [effect for effect in told(effects) if isinstance(effect, Grant)]
    (read,) = [effect for effect in effects if isinstance(effect, Read) and effect.lane is Lane.STORE]
    relay.handle_result(now, read, now, harness.space.answer(now, read))
    grants = [message for message in told(relay.effects(now)) if isinstance(message, Grant)]
    assert [message.sequence for message in grants] == [5]


def test_a_relay_that_starts_where_another_engine_answers_waits() -> None:
    harness = Harness()
    identity = CellIdentity(FLEET, "east", "a", ("a", "b"))
    relay = Relay(0.0, identity, "a.1", RULES, cluster=harness.space.cluster + 1)
    (read,) = [effect for effect in relay.effects(0.0) if isinstance(effect, Read)]
    relay.handle_result(0.0, read, 0.0, harness.space.answer(0.0, read))
    for now in range(0, 1500, 100):
        assert not [effect for effect in relay.effects(float(now)) if isinstance(effect, Read)]
    assert relay.member.status_detail.startswith("another engine answers") and relay.due() == 1500.0


def test_a_pledge_of_an_earlier_life_is_no_vote() -> None:
    """The vote did not reach the store; the servers that are here now have not been asked."""
    harness = Harness(refuses={"kind of north": "no"})
    relays = harness.add_cell("east", 1)
    harness.add_server("s0", relays)
    harness.run(5000.0)
    begin = harness._relay_effect

    def lose_votes(address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, Commit) and effect.purpose == "vote":
            relay.handle_result(harness.now, effect, harness.now, None)
        else:
            begin(address, relay, effect)

    harness._relay_effect = lose_votes  # type: ignore[method-assign]
    harness.propose("A", "policy!")
    harness.run(100.0)
    assert harness.disks[relays[0]].prepared_vote
    harness.remove_relay(relays[0])
    harness._relay_effect = begin  # type: ignore[method-assign]
    harness.remove_server("s0")
    harness.add_server("s1", relays, "kind of north")
    harness.add_relay(relays[0], "east")
    harness.run(15_000.0)
    assert [(end.committed, end.reason) for end in harness.view().finished] == [(False, "east: s1: no")]


def test_a_server_that_connects_anew_takes_its_own_place() -> None:
    """The relay has not heard yet that the stream before has ended."""
    harness = at_work(limits=RelayLimits(sessions_most=2))
    relay = harness.leader("east")
    harness.streams = {n: s for n, s in harness.streams.items() if not s.server.startswith("east")}
    for name in ("east-s0", "east-s1"):
        harness.servers[name].disconnected(harness.now, harness.servers[name].connection)
    harness.run(1000.0)
    assert relay.refused[RefusalReason.FULL] == 0 and len(relay.sessions) == 2
    assert set(harness.admitted().values()) == {0}


# Consent.

CANDIDATES = ("a", "b", "c")


def consents() -> Consents:
    return Consents(0.0, FLEET, "east", "a", CANDIDATES)


def promise(name: str = "b", candidates: tuple[str, ...] = CANDIDATES) -> Promise:
    return Promise(0.0, FLEET, "east", name, candidates)


def test_all_peers_are_needed() -> None:
    asker = consents()
    requests = asker.requests(100.0)
    assert [request.peer for request in requests] == ["b", "c"] and asker.requests(100.0) == []
    asker.received(Consent(requests[0].message.sequence, "b", CONSENT_MS))
    assert asker.until() == -math.inf
    asker.received(Consent(requests[1].message.sequence, "c", CONSENT_MS))
    assert asker.until() == 100.0 + 0.9 * CONSENT_MS


def test_a_consent_counts_for_its_giver_and_its_request_alone() -> None:
    asker = Consents(0.0, FLEET, "east", "a", ("a", "b"))
    (request,) = asker.requests(0.0)
    asker.received(Consent(request.message.sequence, "c", CONSENT_MS))
    asker.received(Consent(request.message.sequence, "b", CONSENT_MS))
    assert asker.until() == -math.inf  # the request was answered, by somebody else
    (request,) = asker.requests(1000.0)
    asker.received(Consent(request.message.sequence, "b", 0.0, "this relay leads the cell"))
    assert asker.until() == -math.inf


@pytest.mark.parametrize(
    ("change", "leads", "hears", "why"),
    [
        ({}, False, False, ""),
        ({}, True, False, "leads the cell"),
        ({}, False, True, "the store answers here"),
        ({"candidates": ("a", "b")}, False, False, "knows other relays"),
        ({"sender": "d"}, False, False, "knows other relays"),
        ({"cell": "west"}, False, False, "is of the cell east"),
        ({"fleet": "g"}, False, False, "is of the cell east"),
    ],
)
def test_who_consents(change: dict[str, object], leads: bool, hears: bool, why: str) -> None:
    giver = promise()
    giver.until = -math.inf
    fields = {"sequence": 1, "fleet": FLEET, "cell": "east", "sender": "a", "candidates": CANDIDATES}
    answer = giver.answer(9000.0, AskConsent(**{**fields, **change}), leads, hears)  # type: ignore[arg-type]
    assert why in answer.why and bool(answer.why) == bool(why)
    assert (answer.span_ms, giver.until) == ((0.0, -math.inf) if why else (CONSENT_MS, 9000.0 + CONSENT_MS))


def test_a_relay_that_just_started_takes_part_in_nothing() -> None:
    assert promise().until == CONSENT_MS and promise("a", ("a",)).until == -math.inf
    harness = Harness()
    harness.add_cell("east")
    harness.run(CONSENT_MS - 100.0)
    assert all(relay.authority_until(harness.now) == -math.inf for relay in harness.relays.values())


def test_a_cell_serves_on_while_the_store_is_away() -> None:
    harness = at_work()
    harness.is_store_away = True
    for _ in range(600):
        harness.run(100.0)
        assert set(harness.admitted().values()) == {0}, harness.now


def test_servers_wait_for_a_leader_that_registers_again() -> None:
    """The store is back, and the lease has lapsed in it: they were refused, and tried all relays in turn."""
    harness = at_work()
    harness.is_store_away = True
    harness.run(10_000.0)
    relay = harness.leader("east")
    streams = dict(harness.streams)
    harness.refusals.clear()  # of their start
    connection, session = next(iter(relay.sessions.items()))
    member = relay.member
    renewal = EffectOfLease(member.lease)
    member.handle_result(harness.now, renewal, harness.now, harness.space.renew(harness.now, member.lease))
    assert not relay.leads()
    relay.received(harness.now, connection, Renew(99, 0))
    assert session.held == 99
    relay.received(harness.now, 99, registration(name="new"))
    assert relay.sessions[99].held == 1
    harness.is_store_away = False
    harness.run(1000.0)
    assert relay.leads() and not session.held and harness.streams == streams
    assert session.granted_until > harness.now and not harness.refusals
    member.lose_registration()
    member.registration.endorsed_until = harness.now
    relay.received(harness.now, connection, Renew(100, 0))
    (refused,) = [message for message in told(relay.effects(harness.now)) if isinstance(message, Refuse)]
    assert refused.reason is RefusalReason.NO_AUTHORITY


class LossyHarness(Harness):
    """The first consents that are given are lost on their way."""

    lost = 0

    def _relay_effect(self, address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, PeerRequest) and self.lost:
            consent = self.relays[effect.peer].peer_asked(self.now, effect.message)
            self.lost -= consent.span_ms > 0
        else:
            super()._relay_effect(address, relay, effect)


@pytest.mark.parametrize("lease_ms", [3000.0, 6000.0])
def test_a_cell_serves_on_without_the_store_though_consents_are_lost(lease_ms: float) -> None:
    """Two of each cell, whenever the store went, and though the others have heard it until then."""
    for phase_ms in range(13, 1600, 200):
        harness = LossyHarness(rules=replace(RULES, lease_ms=lease_ms), limits=RelayLimits(span_ms=1500.0))
        for cell in ("east", "west"):
            harness.add_server(f"{cell}-s", harness.add_cell(cell))
        harness.run(10_000.0 + phase_ms)
        harness.is_store_away, harness.lost = True, 4
        for relay in harness.relays.values():
            relay.member.answered_at = harness.now
        for _ in range(240):
            harness.run(25.0)
            assert set(harness.admitted().values()) == {0}, (phase_ms, harness.now)


def test_a_cell_serves_on_when_the_store_is_back() -> None:
    """The leader's lease has lapsed in the store meanwhile. A relay that had consented took the cell first,
    and could grant nothing before its consent had ended."""
    for away_ms in range(8000, 12_000, 400):
        harness = at_work()
        harness.is_store_away = True
        harness.run(float(away_ms))
        leaders = {cell: harness.leader(cell) for cell in ("east", "west")}
        harness.is_store_away = False
        for _ in range(240):
            harness.run(25.0)
            assert set(harness.admitted().values()) == {0}, (away_ms, harness.now)
        assert leaders == {cell: harness.leader(cell) for cell in ("east", "west")}


def test_who_has_consented_takes_the_cell_once_that_is_over() -> None:
    harness = at_work()
    harness.is_store_away = True
    harness.run(10_000.0)
    leader = harness.leader("east").identity.address
    (other,) = (relay for a, relay in harness.relays.items() if a.startswith("east") and a != leader)
    harness.remove_relay(leader)
    harness.is_store_away = False
    harness.run(other.promise.until - harness.now - 1.0)
    assert not other.leads()
    harness.run(500.0)
    assert other.leads() and other.authority_until(harness.now) > harness.now


def test_a_cell_whose_relays_are_not_all_there_ends_with_the_lease() -> None:
    harness = at_work()
    harness.is_store_away = True
    leader = harness.leader("east").identity.address
    harness.remove_relay(next(a for a in harness.relays if a.startswith("east") and a != leader))
    harness.run(10_000.0)
    assert harness.admitted() == {"east-s0": None, "east-s1": None, "west-s0": 0, "west-s1": 0}


def test_no_consent_counts_under_leave_out() -> None:
    harness = at_work(rules=replace(RULES, absent="leave-out"))
    harness.is_store_away = True
    harness.run(10_000.0)
    assert set(harness.admitted().values()) == {None}


def test_a_cell_of_one_relay_is_a_plain_member() -> None:
    harness = Harness()
    relays = harness.add_cell("east", 1)
    harness.add_server("s", relays)
    harness.run(3000.0)
    harness.is_store_away = True
    harness.run(30_000.0)
    assert harness.admitted() == {"s": 0}


def test_the_leader_comes_back_with_the_store() -> None:
    """A relay that has consented does not take the cell over, for it could grant nothing with it. While the
    leader registers again a server may be between two tries."""
    harness = at_work()
    leaders = [harness.leader(cell) for cell in ("east", "west")]
    for _ in range(5):
        harness.is_store_away = True
        harness.run(20_000.0)
        harness.is_store_away = False
        aside = dict.fromkeys(harness.servers, 0.0)
        for _ in range(100):
            harness.run(100.0)
            for name, version in harness.admitted().items():
                aside[name] += 100.0 * (version is None)
        assert max(aside.values()) <= 200.0
        assert [harness.leader(cell) for cell in ("east", "west")] == leaders


# The queue.


def test_the_queue_is_in_the_order_of_the_store() -> None:
    harness = Harness()
    for ident in ("z", "a", "m"):
        harness.enqueue(ident)
    view = harness.view()
    assert [entry.id for entry in view.queue] == ["z", "a", "m"]
    assert [queue_position(view, ident) for ident in ("z", "a", "m", "x")] == [0, 1, 2, None]
    first = open_next(view)
    assert first
    harness.commit(first)
    view = harness.view()
    assert view.change and view.change.id == "z"
    assert [queue_position(view, ident) for ident in ("z", "a", "m")] == [0, 1, 2]
    assert open_next(view) is None
    harness.commit(withdraw_queued(view, "a"))
    assert [entry.id for entry in harness.view().queue] == ["m"]
    with pytest.raises(QueueRejectedError, match="does not wait"):
        withdraw_queued(harness.view(), "a")


def test_a_full_queue_names_its_bound() -> None:
    harness = Harness()
    entry = encode_record(QueuedChange("x"))
    harness.space.commit((), tuple(Put(KEYS.queued(str(n)), entry) for n in range(MAX_QUEUED_CHANGES)))
    with pytest.raises(QueueRejectedError, match=f"{MAX_QUEUED_CHANGES} changes wait already"):
        enqueue(harness.view(), QueuedChange("y"), "text")


def test_a_change_made_from_what_is_no_longer_in_force_ends_and_says_so() -> None:
    harness = at_work()
    base = digest_of("policy A")
    harness.propose("A")
    harness.run(2000.0)
    harness.enqueue("B", base=base)
    harness.enqueue("C", base=base)
    harness.enqueue("D")
    harness.run(6000.0)
    ends = {end.id: end for end in harness.view().finished}
    assert [ends[ident].committed for ident in "ABCD"] == [True, True, False, True]
    assert ends["C"].reason == f"it was made from policy {base[:12]}, which is not in force at its turn"
    assert set(harness.admitted().values()) == {3} and not harness.view().queue


def test_the_text_of_a_change_that_waits_is_kept() -> None:
    harness = at_work()
    for number in range(40):  # more ends than are kept
        harness.enqueue(f"c{number}", "one" if number % 2 else f"two {number}")
    harness.run(120_000.0)
    assert [end.committed for end in harness.view().finished] == [True] * 32
    assert set(harness.admitted().values()) == {40}


def test_the_next_change_is_opened_at_once() -> None:
    harness = at_work()
    for ident in "ABC":
        harness.enqueue(ident)
    start, opened = harness.now, {}
    while len(harness.view().finished) < 3 and harness.now < start + 10_000.0:
        harness.run(1.0)
        if change := harness.view().change:
            opened.setdefault(change.id, harness.now)
    assert harness.now - start < 3000.0
    assert {end.committed for end in harness.view().finished} == {True}


def test_what_follows_an_end_is_opened_by_what_was_read_before_it() -> None:
    harness = at_work()
    harness.enqueue("A")
    harness.enqueue("B")
    first = open_next(harness.view())
    assert first
    harness.commit(first)
    view = harness.view()
    assert view.change
    after = open_next(view, PolicyInForce(1, view.change.digest, 99))
    assert after and after.purpose == "open" and after.compares[1].equals == 99


def test_a_settler_of_relays_keeps_the_leadership_and_follows_hints() -> None:
    harness = at_work()
    leaders = [relay for relay in harness.relays.values() if relay.member.is_leader]
    assert len(leaders) == 1
    (leader,) = leaders
    assert leader.watched() == (KEYS.head, KEYS.votes, KEYS.queue)
    assert all(relay.watched() == (KEYS.head,) for relay in harness.relays.values() if relay is not leader)
    harness.run(30_000.0)
    assert [relay for relay in harness.relays.values() if relay.member.is_leader] == [leader]
    coordinator = ChangeCoordinator(KEYS, "east", retains_leadership=True)
    read = coordinator.effects(5000.0, "", True, True, 1, 1)
    assert isinstance(read, Read) and read.lane is Lane.COORDINATE
    coordinator.handle_result(5000.0, read, harness.space.read(read.names))
    assert coordinator.due() > 5000.0
    coordinator.handle_watch_event(5000.0)
    assert coordinator.due() == 5000.0 and isinstance(coordinator.effects(5000.0, "", True, True, 1, 1), Read)
    lead = ChangeCoordinator(KEYS, "west", retains_leadership=True).effects(1.0, "", False, False, 1, 1)
    assert lead is None or isinstance(lead, Commit) and lead.purpose == "lead"


def test_in_force_is_told_to_all_sessions_once() -> None:
    harness = at_work()
    relay = harness.leader("east")
    pushed: list[InForce] = []
    deliver = harness._to_server

    def watch(stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, InForce) and stream.relay == relay.identity.address:
            pushed.append(message)
        deliver(stream, message)

    harness._to_server = watch  # type: ignore[method-assign]
    harness.propose("A")
    harness.run(3000.0)
    assert len(pushed) == 2 and {message.version for message in pushed} == {1}


def test_a_change_that_the_member_has_not_seen_is_not_read_in_a_row() -> None:
    harness = at_work()
    (leader,) = [relay for relay in harness.relays.values() if relay.member.is_leader]
    reads: list[float] = []
    begin = harness._relay_effect

    def watch(address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, Read) and effect.lane is Lane.COORDINATE:
            reads.append(harness.now)
        begin(address, relay, effect)

    harness._relay_effect = watch  # type: ignore[method-assign]
    harness.propose("A")
    leader.member.reads.retry_at = harness.now + 1000.0  # its own reads are held up
    harness.run(900.0)
    assert len(reads) <= 900.0 / COUNT_MS + 4  # hints: of the change, of two votes


@pytest.mark.parametrize("held", [True, False])
def test_a_settler_does_not_ask_for_the_leadership_in_a_row(held: bool) -> None:
    """Whether it leads its member says, once it has read."""
    coordinator, now = ChangeCoordinator(KEYS, "east", retains_leadership=True), 0.0
    while not (lead := coordinator.effects(now, "", False, False, 1, 1)):
        now = coordinator.due()
    assert isinstance(lead, Commit) and lead.purpose == "lead"
    assert coordinator.handle_result(now, lead, CommitResult(held, 9, 1)) is None
    assert coordinator.due() >= now + COUNT_MS


def with_ends(harness: Harness, count: int) -> None:
    """So many changes of texts of their own have ended."""
    for number in range(count):
        harness.enqueue(f"c{number}", f"text {number}")
    while len(harness.view().queue) or harness.view().change:
        harness.run(1000.0)


def test_a_text_that_is_queued_again_while_its_end_falls_out_is_kept() -> None:
    harness = at_work()
    with_ends(harness, MAX_FINISHED_CHANGES)
    harness.propose("last")
    counted = finish_change(harness.view(), True)  # what somebody has counted, and has not sent
    assert counted
    harness.enqueue("again", "text 0")  # the oldest end's
    assert not harness.space.commit(counted.compares, counted.writes).succeeded
    harness.run(5000.0)
    assert [(end.id, end.committed) for end in harness.view().finished][-2:] == [
        ("last", True),
        ("again", True),
    ]


def test_texts_of_dropped_changes_go_with_their_ends() -> None:
    harness = at_work()
    for number in range(MAX_FINISHED_CHANGES + 8):
        harness.enqueue(f"c{number}", f"text {number}", base="another")
    harness.run(60_000.0)
    assert not harness.view().queue and len(harness.view().finished) == MAX_FINISHED_CHANGES
    texts = [key for key in harness.space.keys if key.startswith(f"{FLEET}/text/")]
    assert len(texts) == MAX_FINISHED_CHANGES
