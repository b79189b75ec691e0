"""The process of a server: runs its parts in one task group, and handles its signals."""

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
    """Serves until the drain is over, or until SIGTERM arrives before the runtime is up. Returns the exit
    code. Raises ConfigurationError before it serves if a file is not valid."""
    optional = OptionalParts(
        files.read_levels(configuration.settings),
        files.read_vrrp(configuration.settings),
        files.read_fleet(),
    )
    try:
        anyio.run(_serve, configuration, files, optional)
    except OSError as error:  # raised before serving: the address is in use or not available
        log.error("cannot start", why=str(error))
        return 1
    return 0


async def handle_signals(
    signals: AsyncIterator[signal.Signals], reloader: Reloader, parts: ServerParts
) -> None:
    """Reloads at SIGHUP, including one that arrived before the server listened for signals. Any other signal
    begins the shutdown."""
    if early_sighup.was_received():
        reloader.reload()
    async for number in signals:
        if number == signal.SIGHUP:
            reloader.reload()
        else:
            parts.begin_shutdown(reloader.configuration.stop_ms)


async def _serve(configuration: Configuration, files: ServerFiles, optional: OptionalParts) -> None:
    with anyio.open_signal_receiver(*SIGNALS) as signals:  # opened before gateways can connect
        parts = create_parts(configuration, optional)
        log.info("listening", address=configuration.listen, pid=os.getpid())
        log_levels(parts.dispatcher.core, optional.levels)
        gc.collect()
        gc.freeze()  # later collections skip the objects that live as long as the process
        reloader = Reloader(configuration, files, parts)
        async with anyio.create_task_group() as group:
            _start(group, configuration.name, parts)
            group.start_soon(handle_signals, signals, reloader, parts)
            await parts.gateways.run(group)
            group.cancel_scope.cancel()
        log.info("stopped", unanswered=parts.dispatcher.core.requests.unanswered_count())


def _start(group: anyio.abc.TaskGroup, name: str, parts: ServerParts) -> None:
    """Starts all parts except the listener."""
    for part in (parts.dispatcher, parts.runtime, parts.records, parts.discovery):
        group.start_soon(part.run)
    if parts.router:
        parts.router.start()
        group.start_soon(parts.router.run)
    if parts.agent:
        group.start_soon(parts.agent.run)
    if control_socket := create_control_socket(name, parts):
        group.start_soon(control_socket.run)
