"""The store in a model of cells: commits, their records in the history checker, and watch events."""

from otterrudder.fleet.effects import Commit, Effect, Outcome
from otterrudder.fleet.records import QueuedChange, decode
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.cell_state import KEYS, CellState, RelayHost


def serve(state: CellState, effect: Effect) -> Outcome:
    """Serves a request at the store, even if its sender has stopped, and returns the outcome."""
    if isinstance(effect, Commit):
        return write(state, effect)
    return state.store.engine.answer(state.now, effect)  # type: ignore[arg-type]


def write(state: CellState, commit: Commit) -> Outcome:
    """Commits to the store, records the commit, and notifies all relays that can receive watch events."""
    state.store.engine.expire_leases(state.now)
    before = state.snapshot()
    done = state.store.engine.commit(commit.compares, commit.writes)
    if done.succeeded:
        if not state.store.primary:  # writes to another engine are not part of the fleet's history
            state.checker.record_commit(state.now, commit, before)
            _record_texts(state, commit)
        if commit.purpose != "tell":
            _notify_watches(state, commit)
    return done


def _record_texts(state: CellState, commit: Commit) -> None:
    checker = state.checker
    snapshot = state.snapshot()
    if snapshot.change:
        checker.changes[state.change_revision()] = snapshot.change.digest
    for write in commit.writes:
        if isinstance(write, Put) and write.key.startswith(KEYS.queue):
            queued = decode(write.value, QueuedChange)
            checker.bases[queued.id] = queued.base
    head = snapshot.policy
    if head and head.version not in checker.texts:
        entry = state.store.engine.keys.get(KEYS.text(head.digest))
        checker.texts[head.version] = entry.value.decode() if entry else ""


def _notify_watches(state: CellState, commit: Commit) -> None:
    for host in state.relays:
        if not host.runs or not host.relay or host.is_receive_cut:
            continue
        for prefix in host.relay.watched_prefixes():
            if any(write.key.startswith(prefix) for write in commit.writes):
                host.relay.handle_watch_event(state.clock(host), prefix)


def restart_watches(state: CellState, host: RelayHost) -> None:
    """Starts the watches of a relay again, so that it reads all watched keys."""
    if host.runs and host.relay:
        for prefix in host.relay.watched_prefixes():
            host.relay.handle_watch_event(state.clock(host), prefix)


def restore_backup(state: CellState) -> None:
    """Makes an engine with an older state answer instead of the store."""
    state.store.restore_backup(state.now, state.injected_faults)
    _change_engine(state)


def return_to_primary(state: CellState) -> None:
    """Makes the store itself answer again."""
    state.store.return_to_primary()
    _change_engine(state)


def _change_engine(state: CellState) -> None:
    """Drops commits computed from the state of the previous engine, and starts all watches again."""
    state.pending.clear()
    for host in state.relays:
        restart_watches(state, host)
