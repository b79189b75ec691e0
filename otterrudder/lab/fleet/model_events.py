"""The events that may follow a model state.

The trail of a state names the events that led to it. `max_faults` limits the number of events that inject a
fault."""

from collections.abc import Iterator

from otterrudder.fleet.change import ChangeRejectedError, propose, remove_member
from otterrudder.fleet.effects import Commit, effect_name
from otterrudder.lab.fleet.model import DEADLINE_MS, REJECTED_ENDING, Host, ModelState
from otterrudder.lab.fleet.model_store import restored_engine
from otterrudder.lab.keyspace import KeySpace

PROPOSERS = "AB"
# Faults of a host that may end: the attribute of the host, and the events that begin and end the fault.
_HOST_FAULTS = (
    ("is_frozen", "freezes", "thaws"),
    ("is_cut", "is cut off", "is healed"),
    ("is_full", "has a full disk", "has free disk space"),
)


def successors(state: ModelState, max_faults: int) -> Iterator[ModelState]:
    """Yields all states that one event leads to."""
    may_inject = state.injected_faults < max_faults
    for at in range(len(state.exchanges)):
        yield from _exchange_events(state, at, may_inject)
    yield from _change_events(state, may_inject)
    later = state.copy("time passes")
    later.pass_time()
    yield _after_effects(later)
    yield from _host_events(state, may_inject)
    if state.variant.has_backups:
        yield from _store_events(state, may_inject)


def _after_effects(state: ModelState) -> ModelState:
    state.start_effects()
    return state


def _store_events(state: ModelState, may_inject: bool) -> Iterator[ModelState]:
    """A backup of the store is taken; later an engine with it, or an empty one, answers for a while."""
    if state.primary:
        back = state.copy("the store itself answers")
        back.switch_store(None)
        yield _after_effects(back)
        return
    if not state.backup:
        copied = state.copy("a backup is taken")
        copied.backup = copied.store.copy()
        yield copied
    for other, label in ((state.backup, "the backup answers"), (KeySpace(), "an empty store answers")):
        if may_inject and other:
            switched = state.copy(label, 1)
            switched.switch_store(restored_engine(other, state.now, state.injected_faults))
            yield _after_effects(switched)


def _exchange_events(state: ModelState, at: int, may_inject: bool) -> Iterator[ModelState]:
    """A request or an answer is delivered, or is lost in one of several ways."""
    exchange = state.exchanges[at]
    host = state.hosts[exchange.host]
    label = f"{exchange.host}.{exchange.incarnation} {effect_name(exchange.effect)}"
    is_dead = not host.member or host.incarnation != exchange.incarnation
    is_waiting = host.is_frozen and not is_dead
    if is_waiting and exchange.is_answer:
        return  # a frozen process receives no answer
    if host.is_cut and not exchange.is_answer and not is_dead:
        lost = state.copy(f"{label}: not delivered")
        lost.deliver_answer(lost.exchanges.pop(at))
        yield _after_effects(lost)
        return
    yield _after_delivery(state, at, label, is_waiting)
    if not may_inject or exchange.is_answer or is_dead:
        return
    if isinstance(exchange.effect, Commit):
        yield from _lost_answer_events(state, at, label)
        return
    slow = state.copy(f"{label}: slow answer", 1)
    slow.exchanges[at].outcome = slow.serve(slow.exchanges[at])
    slow.exchanges[at].is_answer = True
    yield _after_effects(slow)


def _after_delivery(state: ModelState, at: int, label: str, is_waiting: bool) -> ModelState:
    """Returns the state after a delivery. `is_waiting`: the host is frozen and receives the answer later."""
    delivered = state.copy(f"{label}{': answer' if state.exchanges[at].is_answer else ''}")
    exchange = delivered.exchanges.pop(at)
    if not exchange.is_answer:
        exchange.outcome = delivered.serve(exchange)
    if is_waiting:
        exchange.is_answer = True
        delivered.exchanges.append(exchange)
    else:
        delivered.deliver_answer(exchange)
    return _after_effects(delivered)


def _lost_answer_events(state: ModelState, at: int, label: str) -> Iterator[ModelState]:
    """Yields the states after a commit whose answer is lost, or whose sender stops waiting for it."""
    unanswered = state.copy(f"{label}: took effect, answer lost", 1)
    exchange = unanswered.exchanges.pop(at)
    unanswered.serve(exchange)
    unanswered.deliver_answer(exchange)
    yield _after_effects(unanswered)
    given_up = state.copy(f"{label}: given up, still in flight", 1)
    exchange = given_up.exchanges[at]
    late = exchange.copy()
    late.incarnation = -exchange.incarnation  # it may still arrive, but its sender does not wait
    given_up.exchanges[at] = late
    given_up.deliver_answer(exchange)
    yield _after_effects(given_up)


def _change_events(state: ModelState, may_inject: bool) -> Iterator[ModelState]:
    """A change is proposed, votes are counted, or a commit that was computed is sent, possibly much later."""
    snapshot = state.snapshot()
    if state.proposed < state.variant.proposers:
        name = PROPOSERS[state.proposed]
        text = f"policy {name}{REJECTED_ENDING if name == 'B' else ''}"
        try:
            proposal = propose(snapshot, name, text, name, "", 0.0, DEADLINE_MS)
        except ChangeRejectedError:
            pass
        else:
            opened = state.copy(f"{name} reads, to propose")
            opened.proposed += 1
            opened.pending[name] = proposal
            yield opened
    for is_late in (False, True) if may_inject else (False,):
        commit = state.variant.finish_change(snapshot, is_late)
        coordinator = "late count" if is_late else "count"
        if commit and coordinator not in state.pending and (not is_late or commit.purpose == "abort"):
            counted = state.copy(coordinator, is_late)
            counted.pending[coordinator] = commit
            yield counted
    for coordinator, commit in state.pending.items():
        sent = state.copy(f"{coordinator}: {commit.purpose}")
        del sent.pending[coordinator]
        sent.write(commit)
        yield _after_effects(sent)


def _host_events(state: ModelState, may_inject: bool) -> Iterator[ModelState]:
    for n, host in enumerate(state.hosts):
        if host.member:
            yield from _process_events(state, n, host, may_inject)
            continue
        up = state.copy(f"{n} starts")
        up.start_process(n)
        yield up
        knows_store = state.variant.has_store_id or not state.variant.has_backups
        if may_inject and not host.is_removed and knows_store:
            yield from _removal_events(state, n)


def _process_events(state: ModelState, n: int, host: Host, may_inject: bool) -> Iterator[ModelState]:
    """A process stops abruptly, or a fault of its host begins or ends."""
    if may_inject:
        down = state.copy(f"{n} dies", 1)
        down.hosts[n].member = None
        yield down
    for attribute, begins, ends in _HOST_FAULTS:
        if attribute == "is_full" and not state.variant.fills_disks:
            continue
        is_faulty = getattr(host, attribute)
        if is_faulty or may_inject:
            changed = state.copy(f"{n} {ends if is_faulty else begins}", 0 if is_faulty else 1)
            setattr(changed.hosts[n], attribute, not is_faulty)
            yield _after_effects(changed)


def _removal_events(state: ModelState, n: int) -> Iterator[ModelState]:
    """An operator removes the server permanently; it starts again with another state directory."""
    try:
        commit = remove_member(state.snapshot(), state.hosts[n].name)
    except ChangeRejectedError:
        return
    removed = state.copy(f"{n} is removed", 1)
    removed.write(commit)
    removed.hosts[n].is_removed = True
    yield _after_effects(removed)
