"""One server's life: its parts made in order, one task group, SIGTERM, the end."""

import gc
import os
import resource
import signal
import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from otterrudder import clock
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import (
    can_stop_requests,
    create_controller,
    gauge_names,
    request_classes_of,
    tenants_of,
)
from otterrudder.admission.interface import Idempotency, RequestClass
from otterrudder.configuration import (
    CONFIGURATION_VARIABLE,
    FLEET_VARIABLE,
    LEVELS_VARIABLE,
    MOVABLE,
    VRRP_VARIABLE,
    Configuration,
    ConfigurationError,
    address,
    read_configuration,
)
from otterrudder.log import log
from otterrudder.net import core, early_sighup
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.gateways import Gateways
from otterrudder.net.records import Records
from otterrudder.net.registry import Registry
from otterrudder.net.runtime import Runtime

if TYPE_CHECKING:  # a server without levels does not carry them, nor one without a fleet the store's client
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.cell.agent import CellAgent
    from otterrudder.fleet.configuration import Fleet
    from otterrudder.levels import LevelTable
    from otterrudder.net.control import Control
    from otterrudder.vrrp.admission_gate import SetAdmission
    from otterrudder.vrrp.configuration import VrrpConfiguration
    from otterrudder.vrrp.router import VrrpRouter

RESULTS_SHARE = 0.4  # share of this process's memory that references with their results may take
RESULT_BYTES = 5 * 1024  # bytes of a reference: the longest result, its mark and what both hang on


@dataclass(frozen=True, slots=True)
class Files:
    """The files a start is told of; each is read again on SIGHUP, and one that is no good leaves the old in
    force."""

    configuration: str | None
    levels: str | None = None
    vrrp: str | None = None
    fleet: str | None = None

    @classmethod
    def from_environment(cls) -> "Files":
        """The files that the environment names; an empty name is none."""
        names = (CONFIGURATION_VARIABLE, LEVELS_VARIABLE, VRRP_VARIABLE, FLEET_VARIABLE)
        return cls(*(os.environ.get(name) or None for name in names))

    def read_levels(self, settings: dict[str, Any]) -> "LevelTable | None":
        """The table of levels, None where there is no file; ConfigurationError says what is wrong with it."""
        if not self.levels:
            return None
        from otterrudder import levels

        try:
            return levels.read_table(self.levels, request_classes_of(settings), tenants_of(settings))
        except levels.LevelTableError as trouble:
            raise ConfigurationError(str(trouble)) from None

    def read_fleet(self) -> "Fleet | None":
        """The fleet this server is of, None where there is no file; ConfigurationError says what is wrong."""
        if not self.fleet:
            return None
        if self.levels:
            raise ConfigurationError(
                f"--levels {self.levels}: in a fleet the table of levels is the policy's"
            )
        from otterrudder.fleet.configuration import InvalidFleetError, read_fleet

        try:
            fleet = read_fleet(self.fleet)
        except InvalidFleetError as trouble:
            raise ConfigurationError(str(trouble)) from None
        if fleet.relay:
            raise ConfigurationError(f"--fleet {self.fleet}: relay: this file is a relay's, not a server's")
        return fleet

    def read_vrrp(self, settings: dict[str, Any]) -> "VrrpConfiguration | None":
        """The VRRP groups with their keys, None where there is no file; ConfigurationError says what is
        wrong."""
        if not self.vrrp:
            return None
        from otterrudder.vrrp.configuration_reader import VrrpConfigurationError
        from otterrudder.vrrp.configuration_reader import read_configuration as read_vrrp_configuration

        try:
            return read_vrrp_configuration(self.vrrp, request_classes_of(settings), tenants_of(settings))
        except VrrpConfigurationError as trouble:
            raise ConfigurationError(str(trouble)) from None


def unsupported_settings(settings: dict[str, Any]) -> list[str]:
    """What the settings allow and the runtime's protocol has no word for: a line that is no command ends the
    link, so the server keeps it off."""
    why = "the runtime's protocol has no word for it, so it is kept off"
    omits = any(product.skip_weight_factor for product in request_classes_of(settings))
    return [f"familyInfo.stopMode: work can't be stopped here: {why}"] * can_stop_requests(settings) + [
        f"familyInfo.classSkipWorth: no call is left out here: {why}"
    ] * omits


def run(configuration: Configuration, files: Files) -> int:
    """Serves until the drain is over or SIGTERM comes before the runtime is up. ConfigurationError comes
    before that."""
    levels, groups = files.read_levels(configuration.settings), files.read_vrrp(configuration.settings)
    fleet = files.read_fleet()
    try:
        anyio.run(_serve, configuration, files, levels, groups, fleet)
    except OSError as trouble:  # before anything is served: the address is taken, or not ours
        log.error("cannot start", why=str(trouble))
        return 1
    return 0


async def _serve(
    configuration: Configuration,
    files: Files,
    levels: "LevelTable | None",
    groups: "VrrpConfiguration | None",
    fleet: "Fleet | None",
) -> None:
    heard = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*heard) as signals:  # before anybody can connect
        await _live(configuration, files, levels, groups, fleet, signals)


async def _live(
    configuration: Configuration,
    files: Files,
    levels: "LevelTable | None",
    groups: "VrrpConfiguration | None",
    fleet: "Fleet | None",
    signals: AsyncIterator[signal.Signals],
) -> None:
    settings = configuration.settings
    products = _served_products(settings)
    tenants = {tenant.name: n for n, tenant in enumerate(tenants_of(settings))}
    # A fleet shares one table: each server's own lag keeps them from leaving a level together.
    spread = zlib.crc32(f"{configuration.name}/levels".encode()) / 2**32
    level_controller = None
    if levels:
        from otterrudder.levels import LevelController

        level_controller = LevelController(levels, spread)
    the_core = core.Core(
        _controller_factory(configuration, products), products, gauge_names(settings), level_controller
    )
    dispatcher = Dispatcher(the_core)
    runtime = Runtime(dispatcher, address(configuration.runtime))
    sockets_most = _sockets_most(configuration)
    records = Records(dispatcher, _records(configuration), sockets_most)
    gateways = Gateways(dispatcher, address(configuration.listen), sockets_most - records.most, tenants)
    registry = Registry(configuration.name, address(configuration.registry))
    dispatcher.addresses |= {core.RUNTIME: runtime, core.RECORDS: records, core.GATEWAYS: gateways}
    speaker = _speaker(groups, dispatcher, runtime, records, registry) if groups else None
    agent = _agent(fleet, configuration, dispatcher, spread) if fleet else None
    log.info("listening", address=configuration.listen, pid=os.getpid())
    if levels and level_controller:
        names = [level.name for level in levels.levels]
        log.info("levels", service=level_controller.name, shadow=level_controller.is_shadow, of=names)
    gc.collect()
    gc.freeze()  # what lives as long as the process is not looked through again and again
    async with anyio.create_task_group() as group:
        for actor in (dispatcher, runtime, records, registry):
            group.start_soon(actor.run)
        if speaker:
            speaker.start()
            group.start_soon(speaker.run)
        if agent:
            group.start_soon(agent.run)
        if speaker or agent:
            group.start_soon(_control(configuration.name, speaker, agent).run)
        group.start_soon(
            _handle_signals, signals, configuration, files, dispatcher, runtime, records, registry, speaker
        )
        await gateways.run(group)
        group.cancel_scope.cancel()
    log.info("left", unanswered=sum(not request.answered for request in the_core.requests.values()))


def _served_products(settings: dict[str, Any]) -> list[RequestClass]:
    """The products as they can be served here, see `unsupported_settings`."""
    return [replace(product, skip_weight_factor=0.0) for product in request_classes_of(settings)]


def _controller_factory(
    configuration: Configuration, products: list[RequestClass]
) -> Callable[[float, bool, float], AdmissionController]:
    """What makes the AdmissionController once the runtime has said how it stands: by the time, warmth and ms
    up."""
    # A reference outlives its window by an expiry, see core.py.
    kept = [p for p in products if p.idempotency is Idempotency.IDEMPOTENT]
    stays = [1 + p.deadline_ms / (p.retention_ms or p.deadline_ms) for p in kept]
    refs_most = configuration.limits.memory_mb * 1e6 * RESULTS_SHARE / RESULT_BYTES / max(stays, default=1.0)

    def make(now: float, warm: bool, up_ms: float) -> AdmissionController:
        return create_controller(
            now,
            configuration.settings.get("me") or 0,
            configuration.seed,
            configuration.settings,
            is_cold_start=not warm,
            uptime_ms=up_ms,
            request_classes=products,
            can_stop_requests=False,
            idempotency_entry_kb=0.0,  # results lie here, not in the runtime's memory
            max_idempotency_entries=refs_most,
        )

    return make


def _sockets_most(configuration: Configuration) -> int:
    """Descriptors that this process may open: as the platform says, within the limit of the system."""
    told = int(configuration.limits.sockets)
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if allowed == resource.RLIM_INFINITY else min(told, allowed)


def _control(name: str, speaker: "VrrpRouter | None", agent: "Agent | CellAgent | None") -> "Control":
    """The operators' local socket, which answers for the parts that are there."""
    from otterrudder.net.control import Control

    answers: dict[str, Callable[[], object]] = {}
    if speaker:
        answers["vrrp"] = speaker.status
    if agent:
        answers["fleet"] = agent.shown
    return Control(name, answers)


def _speaker(
    groups: "VrrpConfiguration",
    dispatcher: Dispatcher,
    runtime: Runtime,
    records: Records,
    registry: Registry,
) -> "VrrpRouter":
    """VRRP's actor, its socket taken: what it orders goes to the core by the dispatcher, ahead of what
    arrives."""
    from otterrudder.vrrp.router import VrrpRouter

    def order(told: "SetAdmission") -> None:
        dispatcher.post(dispatcher.core.serve_part, told.scope, told.is_admitted, told.drain_ms)

    def facts() -> dict[str, bool]:
        core = dispatcher.core
        return dict(
            runtime=not core.is_linked,
            records=records.is_refused,
            late=dispatcher.statistics.is_late(),
            level=core.levels is not None and core.levels.name != "full",
            unhealthy=bool(core.controller) and not core.healthy and not core.left_parts,
        )

    def changed() -> None:
        registry.draining = dispatcher.core.retiring or not speaker.is_serving

    speaker = VrrpRouter(groups, int(clock.unix()), order, facts)
    speaker.on_change = changed
    speaker.bind()
    registry.draining = True
    dispatcher.before_turn.append(speaker.poll)
    return speaker


def _agent(
    fleet: "Fleet", configuration: Configuration, dispatcher: Dispatcher, spread: float
) -> "Agent | CellAgent":
    """The fleet's actor: what it orders goes to the core by the dispatcher, ahead of what arrives.
    ConfigurationError: the folder is another process's, or a file of keys can't be read."""
    from otterrudder.durable import DirectoryInUseError
    from otterrudder.fleet.assembly import make_agent
    from otterrudder.fleet.policy import Content, local_configuration_of
    from otterrudder.levels import LevelController

    own = replace(local_configuration_of(configuration.settings), products=dispatcher.core.products)

    def apply(content: Content) -> None:
        dispatcher.post(
            dispatcher.core.take_policy,
            content.levels,
            lambda table: LevelController(table, spread),
            content.products,
            content.tenants,
            content.limits,
        )

    def stand_aside(is_aside: bool) -> None:
        dispatcher.post(dispatcher.core.stand_aside, is_aside)

    def facts() -> dict[str, float]:
        return dispatcher.core.controller.load_report() if dispatcher.core.controller else {}

    try:
        agent = make_agent(fleet, configuration.name, own, apply, stand_aside, facts)
    except (DirectoryInUseError, OSError) as trouble:
        raise ConfigurationError(f"fleet: {trouble}") from None
    dispatcher.before_turn.append(agent.pulse)
    return agent


def _records(configuration: Configuration) -> tuple[str, int] | None:
    return address(configuration.records) if configuration.records else None


async def _handle_signals(
    signals: AsyncIterator[signal.Signals],
    configuration: Configuration,
    files: Files,
    dispatcher: Dispatcher,
    runtime: Runtime,
    records: Records,
    registry: Registry,
    speaker: "VrrpRouter | None",
) -> None:
    async for number in _signals_and_early_sighup(signals):
        if number == signal.SIGHUP:
            try:
                configuration = _reload(configuration, files, runtime, records, registry)
                _reload_levels(configuration, files, dispatcher)
                if speaker:
                    _reload_keys(configuration, files, speaker)
            except Exception:  # a file that nobody thought of must not end what is served
                log.exception("reload failed")
            continue
        if speaker:  # priority 0 first, so that another takes over while this one drains
            speaker.begin_shutdown()
        registry.draining = True
        dispatcher.post(dispatcher.core.retire, configuration.stop_ms)


async def _signals_and_early_sighup(signals: AsyncIterator[signal.Signals]) -> AsyncIterator[signal.Signals]:
    if early_sighup.has_come():
        yield signal.SIGHUP
    async for number in signals:
        yield number


def _reload(
    configuration: Configuration, files: Files, runtime: Runtime, records: Records, registry: Registry
) -> Configuration:
    """Takes new addresses from the configuration file; one that is no good leaves the old in force."""
    try:
        new = read_configuration(files.configuration)
    except ConfigurationError as trouble:
        log.error("configuration not taken", why=str(trouble))
        return configuration
    before, after = configuration.document, new.document
    changed = {name for name in before.keys() | after.keys() if after.get(name) != before.get(name)}
    moved, fixed = [name for name in MOVABLE if name in changed], changed - {*MOVABLE}
    if "runtime" in moved:
        runtime.move(address(new.runtime))
    if "records" in moved:
        records.move(_records(new))
    if "registry" in moved:
        registry.address = address(new.registry)
    log.info("configuration taken", moved=moved)
    if fixed:
        log.warning("a restart is needed for what else has changed", names=sorted(fixed))
    return msgspec.structs.replace(
        configuration,
        runtime=new.runtime,
        records=new.records,
        registry=new.registry,
        document=before | {name: after.get(name) for name in MOVABLE},
    )


def _reload_keys(configuration: Configuration, files: Files, speaker: "VrrpRouter") -> None:
    """Other keys for VRRP; groups are settled at the start."""
    try:
        if groups := files.read_vrrp(configuration.settings):
            speaker.replace_keys(groups.keys)
            log.info("vrrp keys taken", keys=sorted(groups.keys.by_number), signs=groups.keys.signing_number)
    except ConfigurationError as trouble:
        log.error("vrrp keys not taken", why=str(trouble))


def _reload_levels(configuration: Configuration, files: Files, dispatcher: Dispatcher) -> None:
    """Takes the table of levels anew; whether there are levels at all is settled at the start."""
    try:
        if table := files.read_levels(configuration.settings):
            dispatcher.post(dispatcher.core.take_levels, table)
    except ConfigurationError as trouble:
        log.error("levels not taken", why=str(trouble))
