"""Tests a relay: sessions, leases, takeover, and votes that depend on the results of its servers."""

import math

import pytest
from cell_harness import FLEET, KEYS, RULES, Harness, Stream, messages_to_servers, registration, serving_fleet

from otterrudder.fleet.cell.effects import (
    EndSession,
    RelayEffect,
)
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.limits import DEFAULT_LEASE_MS, RelayLimits
from otterrudder.fleet.cell.messages import (
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    RefusalReason,
    Registration,
    RelayMessage,
    ValidationRequest,
    ValidationResult,
)
from otterrudder.fleet.cell.relay import TAKEOVER_VOTE_DELAY_MS, Relay
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.cell.validation_poll import (
    OVERDUE_MS,
)
from otterrudder.fleet.change import finish_change
from otterrudder.fleet.effects import Commit, GrantLease, Lane, Read
from otterrudder.fleet.member import VOTE_PRIORITY_MS
from otterrudder.fleet.records import digest_of
from otterrudder.fleet.state import Rules


def test_change_takes_effect_on_all_servers_of_all_cells() -> None:
    harness = serving_fleet()
    harness.propose("A")
    harness.run(2000.0)
    assert set(harness.admitted_versions().values()) == {1} and harness.view().change is None


def test_one_server_of_each_fingerprint_is_asked() -> None:
    harness = serving_fleet()
    asked: list[str] = []
    deliver = harness._deliver_to_server

    def watch(stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, ValidationRequest):
            asked.append(stream.server)
        deliver(stream, message)

    harness._deliver_to_server = watch  # type: ignore[method-assign]
    harness.propose("A")
    harness.run(2000.0)
    assert sorted(name.split("-")[0] for name in asked) == ["east", "west"]


def test_grant_does_not_outlive_the_authority_of_the_relay() -> None:
    harness = serving_fleet()
    relay = harness.leader("east")
    until = relay.member.registration.lease_until
    relay.member.registration.endorsed_until = -math.inf
    number = next(n for n, stream in harness.streams.items() if stream.relay == relay.identity.address)
    for left in (2000.0, 500.0):
        relay.handle_message(until - left, number, LeaseRenewal(99, 0))
        (message,) = messages_to_servers(relay._effects[-1:])
        assert isinstance(message, LeaseGrant) and message.span_ms == pytest.approx(left)
    relay.handle_message(until - 100.0, number, LeaseRenewal(99, 0))
    refusals = [
        message for message in messages_to_servers(relay._effects) if isinstance(message, LeaseRefusal)
    ]
    assert refusals[-1].reason is RefusalReason.NO_AUTHORITY


def test_authority_ends_within_the_bound_after_a_vote() -> None:
    harness = serving_fleet()
    harness.propose("A")
    relay = harness.leader("east")
    harness.is_store_unreachable = False
    while not relay.member.prepared_vote:
        assert harness._run_effects()
    until = relay.member.voting.confirmed_open_at + relay.member.rules.bound_ms
    assert relay.member.voting.vote_sent and relay.authority_until(harness.now) <= until


def test_server_lease_longer_than_the_bound_is_an_error() -> None:
    identity = CellIdentity(FLEET, "east", "a", ("a",))
    with pytest.raises(ValueError, match="is longer than the bound"):
        Relay(0.0, identity, RelayStart("a.1"), Rules(bound_ms=2000.0), RelayLimits(span_ms=2001.0))


def test_refusal_of_a_full_relay_names_its_address() -> None:
    harness = serving_fleet(limits=RelayLimits(max_sessions=2))
    relay = harness.leader("east")
    relay.handle_message(harness.now, 999, registration())
    (refusal,) = [
        message
        for message in messages_to_servers(relay.effects(harness.now))
        if isinstance(message, LeaseRefusal)
    ]
    assert (refusal.reason, refusal.detail) == (
        RefusalReason.FULL,
        f"{relay.identity.address} has its 2 sessions",
    )
    assert relay.refusal_counts[RefusalReason.FULL] == 1 and len(relay.sessions) == 2


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (registration(fleet="other"), RefusalReason.WRONG_FLEET),
        (Registration(1, FLEET, "s", "s.1", "k", protocol=2), RefusalReason.PROTOCOL),
        (LeaseRenewal(1, 0), RefusalReason.PROTOCOL),
        (ValidationResult("d"), RefusalReason.PROTOCOL),
        (registration(), RefusalReason.NOT_LEADER),
    ],
)
def test_relay_refuses_invalid_requests_with_a_reason(
    message: Registration | LeaseRenewal | ValidationResult, reason: RefusalReason
) -> None:
    relay = Harness().add_relay("a", "east")
    relay.handle_message(0.0, 1, message)
    effects = [effect for effect in relay.effects(0.0) if not isinstance(effect, Read | GrantLease)]
    assert [
        refusal.reason for refusal in messages_to_servers(effects) if isinstance(refusal, LeaseRefusal)
    ] == [reason]
    assert EndSession(1) in effects and not relay.sessions


def test_relay_refuses_its_sessions_during_shutdown() -> None:
    harness = serving_fleet()
    relay = harness.leader("east")
    relay.begin_shutdown()
    assert not relay.sessions and relay.authority_until(harness.now) == -math.inf
    reasons = [
        message.reason
        for message in messages_to_servers(relay.effects(harness.now))
        if isinstance(message, LeaseRefusal)
    ]
    assert reasons == [RefusalReason.SHUTTING_DOWN] * 2


def test_sessions_of_silent_servers_are_ended() -> None:
    harness = serving_fleet()
    relay = harness.leader("east")
    effects = relay.effects(harness.now + 2 * DEFAULT_LEASE_MS + 2000.0)
    assert sum(isinstance(effect, EndSession) for effect in effects) == 2 and not relay.sessions


def test_rejecting_vote_names_the_server_and_the_key() -> None:
    harness = serving_fleet(rejections={"kind of east": "values.look: no product"})
    harness.propose("A", "policy!")
    harness.run(2000.0)
    (end,) = harness.view().finished
    assert not end.committed and end.reason.startswith("east: east-s")
    assert end.reason.endswith(": values.look: no product") and set(harness.admitted_versions().values()) == {
        0
    }


def test_servers_that_do_not_validate_get_no_lease_and_do_not_block_a_change() -> None:
    harness = serving_fleet(silent={"east-s0", "east-s1"})
    harness.propose("A")
    harness.run(OVERDUE_MS + 1500.0)
    assert RefusalReason.UNANSWERED in {refusal.reason for refusal in harness.refusals}
    harness.run(DEFAULT_LEASE_MS)
    view = harness.view()
    assert view.policy and view.policy.version == 1 and view.change is None
    assert harness.admitted_versions() == {"east-s0": None, "east-s1": None, "west-s0": 1, "west-s1": 1}


def test_policy_in_force_is_not_validated_again() -> None:
    harness = serving_fleet()
    harness.propose("A", "policy A")
    harness.run(2000.0)
    harness.validations.clear()
    harness.rejections = {"kind of east": "no"}
    for address in list(harness.relays):
        if harness.relays[address].identity.cell == "east":
            harness.remove_relay(address)
    harness.add_cell("east")
    harness.run(20_000.0)
    assert harness.validations == [] and harness.admitted_versions()["east-s0"] == 1


def test_second_relay_takes_the_cell_over() -> None:
    harness = serving_fleet()
    harness.propose("A")
    harness.run(2000.0)
    harness.remove_relay(harness.leader("east").identity.address)
    harness.run(15_000.0)
    assert harness.admitted_versions()["east-s0"] == 1
    harness.propose("B")
    harness.run(3000.0)
    assert set(harness.admitted_versions().values()) == {2}


def test_relay_delays_its_vote_after_a_takeover() -> None:
    harness = serving_fleet()
    old = harness.leader("east").identity.address
    harness.remove_relay(old)
    harness.propose("A")
    harness.run(1000.0)
    new = next(relay for address, relay in harness.relays.items() if address.startswith("east"))
    while not new.leads():
        harness.run(50.0)
    led_at = harness.now
    harness.run(TAKEOVER_VOTE_DELAY_MS - 200.0)
    assert "east" not in harness.view().votes and harness.view().change
    harness.run(1500.0)
    assert harness.view().change is None and harness.now - led_at > TAKEOVER_VOTE_DELAY_MS


def test_change_that_ends_before_the_vote_leaves_no_timer_due() -> None:
    harness = serving_fleet()
    relay = harness.leader("east")
    relay.member.voting.abstains_until = harness.now + 500.0
    harness.propose("A")
    harness.run(100.0)
    end = finish_change(harness.view(), True)
    assert end
    harness.commit(end)
    harness.run(5000.0)


def test_relay_asks_servers_that_connect_after_a_takeover() -> None:
    """A relay that takes over must not finish its poll before it may vote, because servers of the former
    leader are still connecting to it."""
    harness = serving_fleet(rejections={"kind of east": "no"})
    old = harness.leader("east").identity.address
    new = next(a for a in harness.relays if a.startswith("east") and a != old)
    harness.remove_relay(old)
    while not harness.relays[new].leads():
        harness.run(10.0)
    harness.streams = {n: s for n, s in harness.streams.items() if s.relay != new}
    harness.relays[new].sessions._sessions.clear()
    for name in ("east-s0", "east-s1"):
        harness.servers[name].handle_disconnected(harness.now, harness.servers[name].connection)
        harness.servers[name].selector.connect_at = harness.now + 0.6 * TAKEOVER_VOTE_DELAY_MS
    harness.propose("A", "policy!")
    harness.run(4 * TAKEOVER_VOTE_DELAY_MS)
    assert [end.committed for end in harness.view().finished] == [False]


def test_text_is_validated_again_when_it_is_proposed_again() -> None:
    harness = serving_fleet(rejections={"kind of west": "no", "kind of north": "no"})
    harness.propose("A", "policy!")
    harness.run(2000.0)
    assert [end.committed for end in harness.view().finished] == [
        False
    ]  # east has accepted, west has rejected it
    for name in ("west-s0", "west-s1"):
        harness.remove_server(name)
    harness.add_server("east-s2", tuple(a for a in harness.relays if a.startswith("east")), "kind of north")
    harness.run(4000.0)
    harness.propose("B", "policy!")
    harness.run(3000.0)
    assert [end.committed for end in harness.view().finished] == [False, False]
    assert harness.view().finished[-1].reason == "east: east-s2: no"


def test_new_fingerprint_between_the_poll_and_the_vote_is_asked() -> None:
    harness = serving_fleet(rejections={"kind of north": "no"}, silent={"east-s0", "east-s1"})
    relay = harness.leader("east")
    delayed: list[Read] = []
    perform = harness._perform_relay_effect

    def delay_reads(address: str, of: Relay, effect: RelayEffect) -> None:
        if of is relay and isinstance(effect, Read) and effect.lane is Lane.STORE:
            delayed.append(effect)
        else:
            perform(address, of, effect)

    harness.propose("A", "policy!")
    harness.run(VOTE_PRIORITY_MS + 50.0)  # from now on a watch event makes the relay read before it votes
    harness._perform_relay_effect = delay_reads  # type: ignore[method-assign]
    relay.handle_watch_event(harness.now, KEYS.head)
    harness.run(0.0)
    harness.silent.clear()
    for name in ("east-s0", "east-s1"):
        if check := harness.servers[name].validation.task:
            harness.servers[name].handle_validated(harness.now, check.digest, "")
    harness.run(0.0)
    assert relay.member.validation_result(digest_of("policy!")) == "" and not relay.member.voting.vote_sent
    east = tuple(address for address in harness.relays if address.startswith("east"))
    harness.add_server("east-s2", east, "kind of north")
    harness.run(50.0)
    harness._perform_relay_effect = perform  # type: ignore[method-assign]
    sent_at = harness.now - 50.0
    relay.handle_result(harness.now, delayed[0], sent_at, harness.space.answer(harness.now, delayed[0]))
    harness.run(1000.0)
    assert [end.committed for end in harness.view().finished] == [False]


def test_disconnected_server_is_waited_for_until_its_lease_ends() -> None:
    harness = serving_fleet(rejections={"kind of east": "no"})
    for name in ("east-s0", "east-s1"):
        server = harness.servers[name]
        number = harness._stream_number(name, server.connection)
        assert number is not None
        harness._end_stream(number)
        server.handle_disconnected(harness.now, server.connection)
        server.selector.connect_at = harness.now + 400.0
    harness.propose("A", "policy!")
    harness.run(2000.0)
    assert [end.committed for end in harness.view().finished] == [False]


def test_new_server_gets_its_first_lease_after_a_read_of_the_store() -> None:
    """The change may have been committed before the server started, without the relay's knowledge. Then the
    server must not admit under the previous version."""
    harness = serving_fleet()
    relay = harness.leader("east")
    harness.propose("A")
    while "east" not in harness.view().votes:
        harness._run_effects()
    now = relay.member.voting.confirmed_open_at + 300.0
    relay.handle_message(now, 999, registration(5, name="new"))
    effects = relay.effects(now)
    assert not [effect for effect in messages_to_servers(effects) if isinstance(effect, LeaseGrant)]
    (read,) = [effect for effect in effects if isinstance(effect, Read) and effect.lane is Lane.STORE]
    relay.handle_result(now, read, now, harness.space.answer(now, read))
    grants = [
        message for message in messages_to_servers(relay.effects(now)) if isinstance(message, LeaseGrant)
    ]
    assert [message.sequence for message in grants] == [5]


def test_relay_waits_when_a_different_store_answers() -> None:
    harness = Harness()
    identity = CellIdentity(FLEET, "east", "a", ("a", "b"))
    relay = Relay(0.0, identity, RelayStart("a.1", cluster=harness.space.cluster + 1), RULES)
    (read,) = [effect for effect in relay.effects(0.0) if isinstance(effect, Read)]
    relay.handle_result(0.0, read, 0.0, harness.space.answer(0.0, read))
    for now in range(0, 1500, 100):
        assert not [effect for effect in relay.effects(float(now)) if isinstance(effect, Read)]
    assert relay.member.status_detail.startswith("another store answers") and relay.due() == 1500.0


def test_vote_prepared_before_a_restart_is_validated_again() -> None:
    """The vote did not reach the store before the restart, and the servers that are connected now have not
    been asked about the change."""
    harness = Harness(rejections={"kind of north": "no"})
    relays = harness.add_cell("east", 1)
    harness.add_server("s0", relays)
    harness.run(5000.0)
    perform = harness._perform_relay_effect

    def lose_votes(address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, Commit) and effect.purpose == "vote":
            relay.handle_result(harness.now, effect, harness.now, None)
        else:
            perform(address, relay, effect)

    harness._perform_relay_effect = lose_votes  # type: ignore[method-assign]
    harness.propose("A", "policy!")
    harness.run(100.0)
    assert harness.disks[relays[0]].prepared_vote
    harness.remove_relay(relays[0])
    harness._perform_relay_effect = perform  # type: ignore[method-assign]
    harness.remove_server("s0")
    harness.add_server("s1", relays, "kind of north")
    harness.add_relay(relays[0], "east")
    harness.run(15_000.0)
    assert [(end.committed, end.reason) for end in harness.view().finished] == [(False, "east: s1: no")]


def test_reconnecting_server_replaces_its_own_session() -> None:
    """The relay has not noticed yet that the server's earlier stream has ended. It must not refuse the server
    because all sessions are in use."""
    harness = serving_fleet(limits=RelayLimits(max_sessions=2))
    relay = harness.leader("east")
    harness.streams = {n: s for n, s in harness.streams.items() if not s.server.startswith("east")}
    for name in ("east-s0", "east-s1"):
        harness.servers[name].handle_disconnected(harness.now, harness.servers[name].connection)
    harness.run(1000.0)
    assert relay.refusal_counts[RefusalReason.FULL] == 0 and len(relay.sessions) == 2
    assert set(harness.admitted_versions().values()) == {0}
