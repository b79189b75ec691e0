"""The guarantees of a fleet of cells, checked on a state of its model."""

from otterrudder.fleet.cell.participant import Participant
from otterrudder.lab.fleet.cell_state import CellState, ServerHost
from otterrudder.lab.fleet.history_checker import admission_violation


def current_violation(state: CellState) -> str:
    """Returns the guarantee that is violated now, or "" if all hold."""
    if state.checker.violation:
        return state.checker.violation
    for host in state.servers:
        if host.runs and host.server and (violation := _server_violation(state, host, host.server)):
            return f"{host.name} at {state.now / 1000:g} s: {violation}"
    return ""


def _server_violation(state: CellState, host: ServerHost, server: Participant) -> str:
    policy = server.applied_policy
    if policy.version < host.newest:
        return f"the server has gone back from version {host.newest} to {policy.version}"
    version = server.admits(state.clock(host))
    if version is None:
        return ""
    if version and policy.text != state.checker.texts.get(version):
        return f"the server admits under version {version} with a different text"
    if host.rejection_of(policy.text):
        return f"the server admits under version {version}, which its configuration rejects"
    bound_ms = state.variant.slowest_bound_ms
    committed = state.checker.committed
    violation = admission_violation(version, policy.change, host.started, state.now, bound_ms, committed)
    return f"the server admits under version {version}: {violation}" if violation else ""
