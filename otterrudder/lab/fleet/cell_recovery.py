"""The recovery of a model of cells: with all faults gone, it has to become quiescent and agree."""

from otterrudder.fleet.state import AdmissionStatus
from otterrudder.lab.fleet import cell_store
from otterrudder.lab.fleet.cell_delivery import deliver_all, drop_unserved
from otterrudder.lab.fleet.cell_processes import start_relay, start_server
from otterrudder.lab.fleet.cell_promises import current_violation
from otterrudder.lab.fleet.cell_state import CellState, ServerHost

STEP_MS = 500.0  # by which time passes
RECOVERY_STEPS = 100  # in which all have to agree
SETTLING_STEPS = (
    RECOVERY_STEPS // 5
)  # before the store is unreachable: a relay that has just started may endorse
UNREACHABLE_STEPS = 30  # without the store, after recovery


def recovery_violation_of(state: CellState) -> str:
    """From here on with everything delivered and every process up: "" if all come to admit under the one
    version in force with no change open and none queued, and admit on while the store is unreachable."""
    recovered = state.copy()
    recover(recovered)
    for _ in range(RECOVERY_STEPS):
        if violation := deliver_all(recovered) or current_violation(recovered):
            return f"in recovery: {violation}"
        if not disagreements(recovered):
            return _violation_without_store(recovered)
        recovered.pass_time(STEP_MS)
    return f"after recovery not all agree: {', '.join(disagreements(recovered))}"


def recover(state: CellState) -> None:
    """All faults are gone: processes run, nothing is cut, and the store itself answers."""
    if state.store.primary:
        cell_store.return_to_primary(state)
    state.is_store_unreachable = False
    state.cuts.clear()
    for index, host in enumerate(state.relays):
        host.is_frozen = False
        host.is_send_cut = False
        host.is_receive_cut = False
        if not host.relay:
            start_relay(state, index)
        cell_store.begin_watches(state, host)
    for index, server_host in enumerate(state.servers):
        server_host.is_frozen = False
        if not server_host.server:
            start_server(state, index)


def disagreements(state: CellState) -> list[str]:
    """What is not as it has to be in the end."""
    snapshot = state.snapshot()
    version = snapshot.policy.version if snapshot.policy else 0
    found = [f"{entry.id} waits" for entry in snapshot.queue]
    if snapshot.change:
        found.append(f"{snapshot.change.id} is open")
    found += [_disagreement(state, host, version) for host in state.servers]
    return [disagreement for disagreement in found if disagreement]


def _disagreement(state: CellState, host: ServerHost, version: int) -> str:
    server = host.server
    assert server
    status = server.admission_status(state.clock(host))
    if status is AdmissionStatus.POLICY_REJECTED and host.rejection_of(server.applied_policy.text):
        return ""
    if server.admits(state.clock(host)) == version:
        return ""
    return f"{host.name} {status.name} {server.applied_policy.version}/{version}"


def _violation_without_store(state: CellState) -> str:
    """Under `wait` servers admit on while the store is unreachable and all relays of their cell are up.

    A relay that has just started takes part in nothing for a while, so the store stays a little."""
    if state.variant.rules.absent != "wait":
        return ""
    for steps, is_unreachable in ((SETTLING_STEPS, False), (UNREACHABLE_STEPS, True)):
        state.is_store_unreachable = is_unreachable
        for _ in range(steps):
            if violation := _step_violation(state):
                return violation
            state.pass_time(STEP_MS)
    return ""


def _step_violation(state: CellState) -> str:
    drop_unserved(state)
    if violation := deliver_all(state) or current_violation(state):
        return f"the store is unreachable: {violation}"
    found = disagreements(state) if state.is_store_unreachable else []
    return f"the store is unreachable, nothing is open: {', '.join(found)}" if found else ""
