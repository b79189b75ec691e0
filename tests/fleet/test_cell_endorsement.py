"""Tests the endorsement of a leader's lease by the other relays, and cells while the store is unreachable."""

import math
from dataclasses import replace

import pytest
from cell_harness import FLEET, RULES, Harness, messages_to_servers, registration, serving_fleet

from otterrudder.fleet.cell.effects import (
    PeerRequest,
    RelayEffect,
)
from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS, EndorsementCollector, EndorsementGiver
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.messages import (
    Endorsement,
    EndorsementRequest,
    LeaseRefusal,
    LeaseRenewal,
    RefusalReason,
)
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.effects import RenewLease as RenewStoreLease

CANDIDATES = ("a", "b", "c")


def new_collector() -> EndorsementCollector:
    return EndorsementCollector(0.0, CellIdentity(FLEET, "east", "a", CANDIDATES))


def new_giver(name: str = "b", candidates: tuple[str, ...] = CANDIDATES) -> EndorsementGiver:
    return EndorsementGiver(0.0, CellIdentity(FLEET, "east", name, candidates))


def test_lease_is_endorsed_only_when_all_peers_have_answered() -> None:
    collector = new_collector()
    requests = collector.requests(100.0)
    assert [request.peer for request in requests] == ["b", "c"] and collector.requests(100.0) == []
    collector.handle_endorsement(Endorsement(requests[0].message.sequence, "b", ENDORSEMENT_MS))
    assert collector.until() == -math.inf
    collector.handle_endorsement(Endorsement(requests[1].message.sequence, "c", ENDORSEMENT_MS))
    assert collector.until() == 100.0 + 0.9 * ENDORSEMENT_MS


def test_answer_from_another_sender_and_refusal_do_not_endorse() -> None:
    collector = EndorsementCollector(0.0, CellIdentity(FLEET, "east", "a", ("a", "b")))
    (request,) = collector.requests(0.0)
    collector.handle_endorsement(Endorsement(request.message.sequence, "c", ENDORSEMENT_MS))
    collector.handle_endorsement(Endorsement(request.message.sequence, "b", ENDORSEMENT_MS))
    assert collector.until() == -math.inf  # another relay has answered the request
    (request,) = collector.requests(1000.0)
    collector.handle_endorsement(Endorsement(request.message.sequence, "b", 0.0, "this relay leads the cell"))
    assert collector.until() == -math.inf


@pytest.mark.parametrize(
    ("change", "leads", "store_answers", "reason"),
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
def test_conditions_for_an_endorsement(
    change: dict[str, object], leads: bool, store_answers: bool, reason: str
) -> None:
    giver = new_giver()
    giver.until = -math.inf
    fields = {"sequence": 1, "fleet": FLEET, "cell": "east", "sender": "a", "candidates": CANDIDATES}
    request = EndorsementRequest(**{**fields, **change})  # type: ignore[arg-type]
    answer = giver.answer(9000.0, request, leads=leads, store_answers=store_answers)
    assert reason in answer.reason and bool(answer.reason) == bool(reason)
    assert (answer.span_ms, giver.until) == (
        (0.0, -math.inf) if reason else (ENDORSEMENT_MS, 9000.0 + ENDORSEMENT_MS)
    )


def test_restarted_relay_has_no_authority_for_one_endorsement_span() -> None:
    assert new_giver().until == ENDORSEMENT_MS and new_giver("a", ("a",)).until == -math.inf
    harness = Harness()
    harness.add_cell("east")
    harness.run(ENDORSEMENT_MS - 100.0)
    assert all(relay.authority_until(harness.now) == -math.inf for relay in harness.relays.values())


def test_cell_keeps_serving_while_the_store_is_unreachable() -> None:
    harness = serving_fleet()
    harness.is_store_unreachable = True
    for _ in range(600):
        harness.run(100.0)
        assert set(harness.admitted_versions().values()) == {0}, harness.now


def test_requests_are_deferred_while_the_leader_registers_again() -> None:
    """After an outage of the store the leader's lease has lapsed in it. If the leader refused its servers
    before it had registered again, they would try all relays in turn."""
    harness = serving_fleet()
    harness.is_store_unreachable = True
    harness.run(10_000.0)
    relay = harness.leader("east")
    streams = dict(harness.streams)
    harness.refusals.clear()  # drop the refusals from the start
    session = next(iter(relay.sessions))
    connection = session.connection
    member = relay.member
    renewal = RenewStoreLease(member.lease)
    member.handle_result(harness.now, renewal, harness.now, harness.space.renew(harness.now, member.lease))
    assert not relay.leads()
    relay.handle_message(harness.now, connection, LeaseRenewal(99, 0))
    assert session.deferred_request == 99
    relay.handle_message(harness.now, 99, registration(name="new"))
    assert relay.sessions._sessions[99].deferred_request == 1
    harness.is_store_unreachable = False
    harness.run(1000.0)
    assert relay.leads() and not session.deferred_request and harness.streams == streams
    assert session.granted_until > harness.now and not harness.refusals
    member.lose_registration()
    member.registration.endorsed_until = harness.now
    relay.handle_message(harness.now, connection, LeaseRenewal(100, 0))
    (refused,) = [
        message
        for message in messages_to_servers(relay.effects(harness.now))
        if isinstance(message, LeaseRefusal)
    ]
    assert refused.reason is RefusalReason.NO_AUTHORITY


class LossyHarness(Harness):
    """Loses the first endorsements that relays give."""

    endorsements_to_lose = 0

    def _perform_relay_effect(self, address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, PeerRequest) and self.endorsements_to_lose:
            endorsement = self.relays[effect.peer].handle_endorsement_request(self.now, effect.message)
            self.endorsements_to_lose -= endorsement.span_ms > 0
        else:
            super()._perform_relay_effect(address, relay, effect)


@pytest.mark.parametrize("lease_ms", [3000.0, 6000.0])
def test_cell_keeps_serving_when_endorsements_are_lost(lease_ms: float) -> None:
    """Loses two endorsements of each cell at different phases of the outage. The store has answered the other
    relays until the outage, so they refuse the first requests."""
    for phase_ms in range(13, 1600, 200):
        harness = LossyHarness(rules=replace(RULES, lease_ms=lease_ms), limits=RelayLimits(span_ms=1500.0))
        for cell in ("east", "west"):
            harness.add_server(f"{cell}-s", harness.add_cell(cell))
        harness.run(10_000.0 + phase_ms)
        harness.is_store_unreachable, harness.endorsements_to_lose = True, 4
        for relay in harness.relays.values():
            relay.member.answered_at = harness.now
        for _ in range(240):
            harness.run(25.0)
            assert set(harness.admitted_versions().values()) == {0}, (phase_ms, harness.now)


def test_cell_keeps_serving_after_the_store_returns() -> None:
    """The leader's lease lapses in the store during the outage. If a relay that has endorsed the leader
    registered first, it could grant no leases until its endorsement had ended."""
    for outage_ms in range(8000, 12_000, 400):
        harness = serving_fleet()
        harness.is_store_unreachable = True
        harness.run(float(outage_ms))
        leaders = {cell: harness.leader(cell) for cell in ("east", "west")}
        harness.is_store_unreachable = False
        for _ in range(240):
            harness.run(25.0)
            assert set(harness.admitted_versions().values()) == {0}, (outage_ms, harness.now)
        assert leaders == {cell: harness.leader(cell) for cell in ("east", "west")}


def test_endorsing_relay_takes_the_cell_over_after_its_endorsement_ends() -> None:
    harness = serving_fleet()
    harness.is_store_unreachable = True
    harness.run(10_000.0)
    leader = harness.leader("east").identity.address
    (other,) = (relay for a, relay in harness.relays.items() if a.startswith("east") and a != leader)
    harness.remove_relay(leader)
    harness.is_store_unreachable = False
    harness.run(other.endorsement_giver.until - harness.now - 1.0)
    assert not other.leads()
    harness.run(500.0)
    assert other.leads() and other.authority_until(harness.now) > harness.now


def test_cell_with_a_missing_relay_stops_when_the_store_lease_ends() -> None:
    harness = serving_fleet()
    harness.is_store_unreachable = True
    leader = harness.leader("east").identity.address
    harness.remove_relay(next(a for a in harness.relays if a.startswith("east") and a != leader))
    harness.run(10_000.0)
    assert harness.admitted_versions() == {"east-s0": None, "east-s1": None, "west-s0": 0, "west-s1": 0}


def test_endorsements_are_not_used_under_leave_out() -> None:
    harness = serving_fleet(rules=replace(RULES, absent="leave-out"))
    harness.is_store_unreachable = True
    harness.run(10_000.0)
    assert set(harness.admitted_versions().values()) == {None}


def test_cell_of_one_relay_serves_without_the_store() -> None:
    harness = Harness()
    relays = harness.add_cell("east", 1)
    harness.add_server("s", relays)
    harness.run(3000.0)
    harness.is_store_unreachable = True
    harness.run(30_000.0)
    assert harness.admitted_versions() == {"s": 0}


def test_leader_keeps_its_cell_after_store_outages() -> None:
    """A relay that has endorsed the leader must not take the cell over, because it could not grant leases.
    Servers may be suspended briefly while they wait for a retry and the leader registers again."""
    harness = serving_fleet()
    leaders = [harness.leader(cell) for cell in ("east", "west")]
    for _ in range(5):
        harness.is_store_unreachable = True
        harness.run(20_000.0)
        harness.is_store_unreachable = False
        suspended_ms = dict.fromkeys(harness.servers, 0.0)
        for _ in range(100):
            harness.run(100.0)
            for name, version in harness.admitted_versions().items():
                suspended_ms[name] += 100.0 * (version is None)
        assert max(suspended_ms.values()) <= 200.0
        assert [harness.leader(cell) for cell in ("east", "west")] == leaders
