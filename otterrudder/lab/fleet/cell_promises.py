"""What a fleet of cells promises at each moment, checked on a state of its model."""

from otterrudder.fleet.cell.participant import Participant
from otterrudder.lab.fleet.cell_state import CellState, ServerHost
from otterrudder.lab.fleet.history_checker import wrong_admission


def violation_in(state: CellState) -> str:
    """Which promise does not hold now, "": all do."""
    if state.checker.violation:
        return state.checker.violation
    for host in state.servers:
        if host.runs and host.server and (violation := _server_violation(state, host, host.server)):
            return f"{host.name} at {state.now / 1000:g} s: {violation}"
    return ""


def _server_violation(state: CellState, host: ServerHost, server: Participant) -> str:
    known = server.applied_policy
    if known.version < host.newest:
        return f"it has gone back from version {host.newest} to {known.version}"
    version = server.admits(state.clock(host))
    if version is None:
        return ""
    if version and known.text != state.checker.texts.get(version):
        return f"it admits under {version}, whose text is another one"
    if host.rejection_of(known.text):
        return f"it admits under {version}, which its configuration rejects"
    bound_ms = state.variant.slowest_bound_ms
    committed = state.checker.committed
    violation = wrong_admission(version, known.change, host.started, state.now, bound_ms, committed)
    return f"it admits under {version}: {violation}" if violation else ""
