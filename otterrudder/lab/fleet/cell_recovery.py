"""The recovery of a model of cells: after all faults end, the cells have to become quiescent and agree."""

from otterrudder.fleet.state import AdmissionStatus
from otterrudder.lab.fleet import cell_store
from otterrudder.lab.fleet.cell_delivery import deliver_all, drop_unserved
from otterrudder.lab.fleet.cell_processes import start_relay, start_server
from otterrudder.lab.fleet.cell_promises import current_violation
from otterrudder.lab.fleet.cell_state import CellState, ServerHost

STEP_MS = 500.0  # simulated time of a step
RECOVERY_STEPS = 100  # steps within which all servers have to agree
# Steps with a reachable store before it becomes unreachable. A relay that has just started may have endorsed
# another one before its restart, so it neither votes nor grants leases for a while.
SETTLING_STEPS = RECOVERY_STEPS // 5
UNREACHABLE_STEPS = 30  # steps without the store after the recovery


def recovery_violation_of(state: CellState) -> str:
    """Returns the guarantee that is violated after all faults end, or "" if all hold.

    From this state on, everything is delivered and every process runs. All servers have to admit under the
    version in force, with no change open or queued, and have to continue while the store is unreachable."""
    recovered = state.copy()
    recover(recovered)
    for _ in range(RECOVERY_STEPS):
        if violation := deliver_all(recovered) or current_violation(recovered):
            return f"during recovery: {violation}"
        if not disagreements(recovered):
            return _violation_without_store(recovered)
        recovered.pass_time(STEP_MS)
    return f"after recovery not all servers agree: {', '.join(disagreements(recovered))}"


def recover(state: CellState) -> None:
    """Ends all faults: all processes run, no link is cut, and the store itself answers."""
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
        cell_store.restart_watches(state, host)
    for index, server_host in enumerate(state.servers):
        server_host.is_frozen = False
        if not server_host.server:
            start_server(state, index)


def disagreements(state: CellState) -> list[str]:
    """Returns descriptions of all differences from a quiescent fleet whose servers agree."""
    snapshot = state.snapshot()
    version = snapshot.policy.version if snapshot.policy else 0
    differences = [f"{entry.id} is queued" for entry in snapshot.queue]
    if snapshot.change:
        differences.append(f"{snapshot.change.id} is open")
    differences += [_disagreement(state, host, version) for host in state.servers]
    return [disagreement for disagreement in differences if disagreement]


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
    """Returns the guarantee that is violated while the store is unreachable, or "" if all hold.

    Under the rule `wait` servers have to continue to admit without the store while all relays of their cell
    run. A relay that has just started neither votes nor grants for a while, so the store stays reachable for
    SETTLING_STEPS first."""
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
    differences = disagreements(state) if state.is_store_unreachable else []
    return f"the store is unreachable and no change is open: {', '.join(differences)}" if differences else ""
