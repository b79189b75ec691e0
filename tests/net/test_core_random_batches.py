"""The request core under random batches of several events: no request with a key runs twice within its
retention, each open request is answered once, and nothing is kept when all is over."""

import random

import pytest
from core_harness import CoreHarness, make_request_fields

from otterrudder.admission.interface import Outcome
from otterrudder.net.messages import StartRun

PAY = 1  # index of the class with idempotency keys
BATCHES = 400
KEYS = 20
KEYED_SHARE = 0.5  # share of the arrivals
MAX_BATCH = 5
# Minimum time between two runs with one key: the retention is 20 s from `recv`, less the time until arrival.
MIN_RUN_INTERVAL_MS = 15_000.0
RUN_OUTCOMES = [Outcome.OK] * 4 + [Outcome.ERROR, Outcome.NEVER_STARTED, Outcome.CANCELLED]


class RandomBatches:
    """Events of gateways, the runtime and the operator in batches, with a record of the runs by key."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.bench = CoreHarness()
        self.core = self.bench.core
        self.key_of: dict[str, str] = {}
        self.open: set[int] = set()  # numbers of requests that were neither answered nor disconnected
        self.started: set[str] = set()
        self.running: set[str] = set()
        self.last_runs: dict[str, float] = {}  # when a run with an effect was last started, by key
        self.is_suspended = False
        self.is_linked = True

    def play_batch(self) -> None:
        """Handles some events as one batch, and checks the messages that it sends."""
        self.bench.wait(self.rng.choice([0.0, 1.0, self.rng.expovariate(0.05), 100.0]))
        self.core.advance_to(self.bench.now + 1e12, self.bench.now)
        for _ in range(self.rng.randrange(1, MAX_BATCH + 1)):
            self._play_event()
        self.end_batch()

    def end_batch(self) -> None:
        outgoing = self.bench.step(lambda: None)
        self.open -= self.bench.answers.keys()
        for _, message in outgoing:
            if isinstance(message, StartRun) and message.request_id not in self.started:
                self._record_run(message.request_id)
            elif isinstance(message, StartRun) and self.key_of[message.request_id]:
                # Allowed for a closed request: the runtime starts nothing, and reports the state of the run.
                assert int(message.request_id, 16) not in self.open

    def end_run(self, request_id: str, outcome: Outcome) -> None:
        self.running.discard(request_id)
        if outcome is Outcome.NEVER_STARTED:  # the run had no effect
            self.last_runs.pop(self.key_of[request_id], None)
        self.core.handle_run_ended(request_id, outcome, self.key_of[request_id].encode())

    def _record_run(self, request_id: str) -> None:
        self.started.add(request_id)
        self.running.add(request_id)
        key = self.key_of[request_id]
        if not key:
            return
        last_run = self.last_runs.get(key, -MIN_RUN_INTERVAL_MS)
        assert self.bench.now - last_run >= MIN_RUN_INTERVAL_MS, f"{key} was run twice"
        self.last_runs[key] = self.bench.now

    def _play_event(self) -> None:
        event = self.rng.randrange(20)
        if event < 11:
            self._arrive()
        elif event < 14 and self.open:
            number = self.rng.choice(sorted(self.open))
            self.open.discard(number)
            self.core.handle_disconnect("connection", f"{number:016x}")
        elif event < 16 and self.running and self.is_linked:
            self.end_run(self.rng.choice(sorted(self.running)), self.rng.choice(RUN_OUTCOMES))
        elif event < 18:
            self.core.tick()
        elif event == 18 and (self.is_suspended or self.rng.random() < 0.1):
            self.is_suspended = not self.is_suspended
            self.core.set_suspended(self.is_suspended)
        elif event == 19 and (not self.is_linked or self.rng.random() < 0.2):
            self.set_linked(not self.is_linked)

    def set_linked(self, is_linked: bool) -> None:
        if is_linked and not self.is_linked:
            self.core.handle_link_established()
        elif self.is_linked and not is_linked:
            self.core.handle_link_lost()
        self.is_linked = is_linked

    def _arrive(self) -> None:
        number = len(self.key_of) + 1
        # Requests without a key keep the cores busy, so that those with a key are queued.
        key = f"m{self.rng.randrange(KEYS)}" if self.rng.random() < KEYED_SHARE else ""
        received_at = self.bench.now + 1e12 - self.rng.choice([0.0, 0.0, 250.0])
        ttl = self.rng.choice([0.0, 100.0, 3000.0, 9000.0, 86_400e3])
        self.key_of[f"{number:016x}"] = key
        self.open.add(number)
        fields = make_request_fields(f"{number:016x}", received_at, ttl, key)
        self.core.handle_arrival("connection", number, PAY if key else 0, fields)


@pytest.mark.parametrize("seed", range(25))
def test_random_batches_run_no_key_twice_and_keep_nothing(seed: int) -> None:
    batches = RandomBatches(seed)
    core = batches.core
    for _ in range(BATCHES):
        batches.play_batch()
    batches.set_linked(True)
    core.set_suspended(False)
    batches.end_batch()
    while batches.running:
        batches.end_run(min(batches.running), Outcome.OK)
        batches.end_batch()
    for _ in range(3):
        batches.bench.wait(60_000.0)
        core.tick()
        batches.end_batch()
    assert not batches.open and all(len(answers) == 1 for answers in batches.bench.answers.values())
    controller = core.controller
    kept = (core.requests.by_number, core.requests.by_id, core.idempotency.entries, controller.requests)
    assert not any(kept), kept
    assert not controller.deduplication.records and not controller.deduplication.entry_count
    assert len(core.idempotency.expirations) == len(controller.context.timers) == 0
