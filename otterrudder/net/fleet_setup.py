"""Connects the fleet's agent to the server. Imported only if a fleet file is configured."""

from dataclasses import replace

from otterrudder.configuration import Configuration, ConfigurationError
from otterrudder.durable import DirectoryInUseError
from otterrudder.fleet.agent import Agent
from otterrudder.fleet.assembly import make_agent
from otterrudder.fleet.cell.agent import CellAgent
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.policy import PolicyContent, local_configuration_of
from otterrudder.levels import LevelController
from otterrudder.net.dispatcher import Dispatcher


def create_agent(
    fleet: Fleet, configuration: Configuration, dispatcher: Dispatcher, level_spread: float
) -> Agent | CellAgent:
    """Creates the fleet's agent. The agent passes its decisions to the core through the dispatcher, which
    handles them before arrivals. Raises ConfigurationError if the state directory is in use by another
    process or a key file cannot be read."""
    core = dispatcher.core
    local_configuration = replace(
        local_configuration_of(configuration.settings), products=core.request_classes
    )

    def apply_policy(content: PolicyContent) -> None:
        dispatcher.post(
            core.update_policy,
            content.levels,
            lambda table: LevelController(table, level_spread),
            content.products,
            content.tenants,
            content.limits,
        )

    def set_suspended(is_suspended: bool) -> None:
        dispatcher.post(core.set_suspended, is_suspended)

    def load_report() -> dict[str, float]:
        return core.controller.load_report() if core.controller else {}

    try:
        agent = make_agent(
            fleet, configuration.name, local_configuration, apply_policy, set_suspended, load_report
        )
    except (DirectoryInUseError, OSError) as error:
        raise ConfigurationError(f"fleet: {error}") from None
    dispatcher.batch_hooks.append(agent.update_server)
    return agent
