"""Tests queued changes and their coordination by relays."""

import pytest
from cell_harness import FLEET, KEYS, Harness, Stream, serving_fleet

from otterrudder.fleet.cell.effects import (
    RelayEffect,
)
from otterrudder.fleet.cell.messages import (
    PolicyUpdate,
    RelayMessage,
)
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.change import COUNT_INTERVAL_MS, ChangeCoordinator, finish_change
from otterrudder.fleet.effects import Commit, Lane, Read
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
from otterrudder.fleet.store import CommitResult, Put


def test_queue_has_the_order_of_the_store_revisions() -> None:
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
    with pytest.raises(QueueRejectedError, match="the change is not in the queue"):
        withdraw_queued(harness.view(), "a")


def test_error_of_a_full_queue_names_its_limit() -> None:
    harness = Harness()
    entry = encode_record(QueuedChange("x"))
    harness.space.commit((), tuple(Put(KEYS.queued(str(n)), entry) for n in range(MAX_QUEUED_CHANGES)))
    with pytest.raises(
        QueueRejectedError, match=f"the queue is full: {MAX_QUEUED_CHANGES} changes are already waiting"
    ):
        enqueue(harness.view(), QueuedChange("y"), "text")


def test_change_based_on_an_outdated_policy_is_rejected_with_a_reason() -> None:
    harness = serving_fleet()
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
    assert set(harness.admitted_versions().values()) == {3} and not harness.view().queue


def test_text_of_a_queued_change_is_retained() -> None:
    harness = serving_fleet()
    for number in range(40):  # more than the 32 finished changes that are retained
        harness.enqueue(f"c{number}", "one" if number % 2 else f"two {number}")
    harness.run(120_000.0)
    assert [end.committed for end in harness.view().finished] == [True] * 32
    assert set(harness.admitted_versions().values()) == {40}


def test_next_queued_change_is_opened_at_once() -> None:
    harness = serving_fleet()
    for ident in "ABC":
        harness.enqueue(ident)
    start, opened = harness.now, {}
    while len(harness.view().finished) < 3 and harness.now < start + 10_000.0:
        harness.run(1.0)
        if change := harness.view().change:
            opened.setdefault(change.id, harness.now)
    assert harness.now - start < 3000.0
    assert {end.committed for end in harness.view().finished} == {True}


def test_next_change_is_opened_from_the_snapshot_read_before_the_end() -> None:
    harness = serving_fleet()
    harness.enqueue("A")
    harness.enqueue("B")
    first = open_next(harness.view())
    assert first
    harness.commit(first)
    view = harness.view()
    assert view.change
    after = open_next(view, PolicyInForce(1, view.change.digest, 99))
    assert after and after.purpose == "open" and after.compares[1].equals == 99


def test_relay_coordinator_keeps_its_leadership_and_reads_after_watch_events() -> None:
    harness = serving_fleet()
    leaders = [relay for relay in harness.relays.values() if relay.member.is_leader]
    assert len(leaders) == 1
    (leader,) = leaders
    assert leader.watched_prefixes() == (KEYS.head, KEYS.votes, KEYS.queue)
    assert all(
        relay.watched_prefixes() == (KEYS.head,) for relay in harness.relays.values() if relay is not leader
    )
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


def test_policy_is_sent_once_to_each_session() -> None:
    harness = serving_fleet()
    relay = harness.leader("east")
    pushed: list[PolicyUpdate] = []
    deliver = harness._deliver_to_server

    def watch(stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, PolicyUpdate) and stream.relay == relay.identity.address:
            pushed.append(message)
        deliver(stream, message)

    harness._deliver_to_server = watch  # type: ignore[method-assign]
    harness.propose("A")
    harness.run(3000.0)
    assert len(pushed) == 2 and {message.version for message in pushed} == {1}


def test_coordinator_does_not_read_in_a_loop_before_the_member_has_read_the_change() -> None:
    harness = serving_fleet()
    (leader,) = [relay for relay in harness.relays.values() if relay.member.is_leader]
    reads: list[float] = []
    perform = harness._perform_relay_effect

    def watch(address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, Read) and effect.lane is Lane.COORDINATE:
            reads.append(harness.now)
        perform(address, relay, effect)

    harness._perform_relay_effect = watch  # type: ignore[method-assign]
    harness.propose("A")
    leader.member.reads.retry_at = harness.now + 1000.0  # the member's own reads are delayed
    harness.run(900.0)
    assert len(reads) <= 900.0 / COUNT_INTERVAL_MS + 4  # + 4: watch events of the change and two votes


@pytest.mark.parametrize("held", [True, False])
def test_coordinator_waits_between_requests_for_the_leadership(held: bool) -> None:
    """The member learns only from its next read whether it is the coordinator. Until then the coordinator
    must not commit again and again."""
    coordinator, now = ChangeCoordinator(KEYS, "east", retains_leadership=True), 0.0
    while not (lead := coordinator.effects(now, "", False, False, 1, 1)):
        now = coordinator.due()
    assert isinstance(lead, Commit) and lead.purpose == "lead"
    assert coordinator.handle_result(now, lead, CommitResult(held, 9, 1)) is None
    assert coordinator.due() >= now + COUNT_INTERVAL_MS


def run_changes(harness: Harness, count: int) -> None:
    """Queues `count` changes with different texts and runs until all have finished."""
    for number in range(count):
        harness.enqueue(f"c{number}", f"text {number}")
    while len(harness.view().queue) or harness.view().change:
        harness.run(1000.0)


def test_text_queued_again_while_its_finished_change_is_evicted_is_retained() -> None:
    harness = serving_fleet()
    run_changes(harness, MAX_FINISHED_CHANGES)
    harness.propose("last")
    prepared = finish_change(harness.view(), True)  # a coordinator's commit that it has not sent yet
    assert prepared
    harness.enqueue("again", "text 0")  # the text of the oldest finished change
    assert not harness.space.commit(prepared.compares, prepared.writes).succeeded
    harness.run(5000.0)
    assert [(end.id, end.committed) for end in harness.view().finished][-2:] == [
        ("last", True),
        ("again", True),
    ]


def test_texts_of_dropped_changes_are_deleted_with_their_records() -> None:
    harness = serving_fleet()
    for number in range(MAX_FINISHED_CHANGES + 8):
        harness.enqueue(f"c{number}", f"text {number}", base="another")
    harness.run(60_000.0)
    assert not harness.view().queue and len(harness.view().finished) == MAX_FINISHED_CHANGES
    documents = [key for key in harness.space.keys if key.startswith(f"{FLEET}/text/")]
    assert len(documents) == MAX_FINISHED_CHANGES
