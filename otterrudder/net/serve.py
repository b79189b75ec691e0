"""One server's process, from its start to its end: its parts in one task group, and its signals."""

import gc
import os
import signal
from collections.abc import AsyncIterator

import anyio

from otterrudder.configuration import Configuration
from otterrudder.log import log
from otterrudder.net import early_sighup
from otterrudder.net.reload import Reloader
from otterrudder.net.server_files import ServerFiles
from otterrudder.net.server_parts import (
    OptionalParts,
    ServerParts,
    create_control_socket,
    create_parts,
    log_levels,
)

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def run(configuration: Configuration, files: ServerFiles) -> int:
    """Serves until the drain is over, or until SIGTERM comes before the runtime is up; returns the exit code.
    ConfigurationError comes before that."""
    optional = OptionalParts(
        files.read_levels(configuration.settings),
        files.read_vrrp(configuration.settings),
        files.read_fleet(),
    )
    try:
        anyio.run(_serve, configuration, files, optional)
    except OSError as error:  # before anything is served: the address is taken, or not ours
        log.error("cannot start", why=str(error))
        return 1
    return 0


async def handle_signals(
    signals: AsyncIterator[signal.Signals], reloader: Reloader, parts: ServerParts
) -> None:
    """SIGHUP reloads, also one that came before signals were listened for; any other begins the shutdown."""
    if early_sighup.was_received():
        reloader.reload()
    async for number in signals:
        if number == signal.SIGHUP:
            reloader.reload()
        else:
            parts.begin_shutdown(reloader.configuration.stop_ms)


async def _serve(configuration: Configuration, files: ServerFiles, optional: OptionalParts) -> None:
    with anyio.open_signal_receiver(*SIGNALS) as signals:  # before anybody can connect
        parts = create_parts(configuration, optional)
        log.info("listening", address=configuration.listen, pid=os.getpid())
        log_levels(parts.dispatcher.core, optional.levels)
        gc.collect()
        gc.freeze()  # what lives as long as the process is not looked through again and again
        reloader = Reloader(configuration, files, parts)
        async with anyio.create_task_group() as group:
            _start(group, configuration.name, parts)
            group.start_soon(handle_signals, signals, reloader, parts)
            await parts.gateways.run(group)
            group.cancel_scope.cancel()
        log.info("left", unanswered=parts.dispatcher.core.requests.unanswered_count())


def _start(group: anyio.abc.TaskGroup, name: str, parts: ServerParts) -> None:
    """Starts all parts but the listener."""
    for part in (parts.dispatcher, parts.runtime, parts.records, parts.discovery):
        group.start_soon(part.run)
    if parts.router:
        parts.router.start()
        group.start_soon(parts.router.run)
    if parts.agent:
        group.start_soon(parts.agent.run)
    if control_socket := create_control_socket(name, parts):
        group.start_soon(control_socket.run)
