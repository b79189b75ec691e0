"""Creation of the parts of a server, and their connection with each other."""

import resource
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from otterrudder.admission.factory import gauge_names, parse_tenants
from otterrudder.configuration import Configuration, parse_address
from otterrudder.log import log
from otterrudder.net import controller_setup
from otterrudder.net.core import RequestCore
from otterrudder.net.discovery import DiscoveryReporter
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.gateway_listener import GatewayListener
from otterrudder.net.memory import MemoryLimits, memory_limits, resident_bytes
from otterrudder.net.messages import Destination
from otterrudder.net.records import RecordsPool
from otterrudder.net.runtime import RuntimeLink

if TYPE_CHECKING:  # a server imports only the packages that its files need
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.cell.agent import CellAgent
    from otterrudder.fleet.configuration import Fleet
    from otterrudder.levels import LevelTable
    from otterrudder.net.control import ControlSocket
    from otterrudder.vrrp.configuration import VrrpConfiguration
    from otterrudder.vrrp.router import VrrpRouter


@dataclass(frozen=True, slots=True)
class OptionalParts:
    """The contents of the files besides the configuration; None for a file that is not configured."""

    levels: "LevelTable | None"
    vrrp: "VrrpConfiguration | None"
    fleet: "Fleet | None"


@dataclass(frozen=True, slots=True)
class ServerParts:
    """The concurrent parts of a server."""

    dispatcher: Dispatcher
    runtime: RuntimeLink
    records: RecordsPool
    gateways: GatewayListener
    discovery: DiscoveryReporter
    router: "VrrpRouter | None"
    agent: "Agent | CellAgent | None"

    def begin_shutdown(self, time_left_ms: float) -> None:
        """Begins the drain, which ends within `time_left_ms`."""
        if self.router:  # announces priority 0 first, so that another server takes over during the drain
            self.router.begin_shutdown()
        self.discovery.is_draining = True
        self.dispatcher.post(self.dispatcher.core.begin_graceful_shutdown, time_left_ms)


def create_parts(configuration: Configuration, optional: OptionalParts) -> ServerParts:
    """Creates the parts and binds the listening sockets. Raises OSError if an address is in use or not
    available."""
    spread = _level_spread(configuration.name)
    memory = memory_limits(configuration.limits.memory_mb, resident_bytes())
    core = _create_core(configuration, optional.levels, spread, memory)
    dispatcher = Dispatcher(core)
    runtime = RuntimeLink(dispatcher, parse_address(configuration.runtime))
    max_descriptors = _max_descriptors(configuration)
    records = RecordsPool(dispatcher, records_address(configuration), max_descriptors)
    tenants = {tenant.name: index for index, tenant in enumerate(parse_tenants(configuration.settings))}
    gateways = GatewayListener(
        dispatcher,
        parse_address(configuration.listen),
        max_descriptors - records.max_connections,
        tenants,
        memory,
    )
    discovery = DiscoveryReporter(configuration.name, parse_address(configuration.registry))
    dispatcher.recipients |= {
        Destination.RUNTIME: runtime,
        Destination.RECORDS: records,
        Destination.GATEWAYS: gateways,
    }
    router = None
    if optional.vrrp:
        from otterrudder.net.vrrp_setup import create_router

        router = create_router(optional.vrrp, dispatcher, records, discovery)
    agent = None
    if optional.fleet:
        from otterrudder.net.fleet_setup import create_agent

        agent = create_agent(optional.fleet, configuration, dispatcher, spread)
    return ServerParts(dispatcher, runtime, records, gateways, discovery, router, agent)


def create_control_socket(name: str, parts: ServerParts) -> "ControlSocket | None":
    """Creates the operators' control socket, which reports on VRRP and on the fleet. Returns None if the
    server has neither."""
    answers: dict[str, Callable[[], object]] = {}
    if parts.router:
        answers["vrrp"] = parts.router.status
    if parts.agent:
        answers["fleet"] = parts.agent.control_status
    if not answers:
        return None
    from otterrudder.net.control import ControlSocket

    return ControlSocket(name, answers)


def log_levels(core: RequestCore, table: "LevelTable | None") -> None:
    """Logs the levels in the table."""
    if table and (controller := core.service.levels):
        names = [level.name for level in table.levels]
        log.info("levels", service=controller.name, shadow=controller.is_shadow, of=names)


def records_address(configuration: Configuration) -> tuple[str, int] | None:
    """Returns the address of the records service, or None if none is configured."""
    return parse_address(configuration.records) if configuration.records else None


def _create_core(
    configuration: Configuration, table: "LevelTable | None", spread: float, memory: MemoryLimits
) -> RequestCore:
    request_classes = controller_setup.served_classes(configuration.settings)
    factory = controller_setup.controller_factory(configuration, request_classes, memory)
    levels = None
    if table:
        from otterrudder.levels import LevelController

        levels = LevelController(table, spread)
    return RequestCore(factory, request_classes, gauge_names(configuration.settings), levels, memory)


def _level_spread(name: str) -> float:
    """Returns a number from 0 to 1 that depends on the server's name. The servers of a fleet share one table
    of levels, and the spread prevents them from leaving a level at the same time."""
    return zlib.crc32(f"{name}/levels".encode()) / 2**32


def _max_descriptors(configuration: Configuration) -> int:
    """Returns the number of descriptors that this process may open: the configured number, but not more than
    the limit of the system."""
    configured = int(configuration.limits.sockets)
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if allowed == resource.RLIM_INFINITY else min(configured, allowed)
