"""The process of a relay: runs its service and its control socket until a signal stops it."""

import signal
from collections.abc import AsyncIterator, Callable

import anyio

from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.cell.descriptors import check_descriptors
from otterrudder.fleet.cell.service import RelayService
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.state_file import open_state_directory
from otterrudder.log import log
from otterrudder.net import control


def control_name(role: RelayRole) -> str:
    """Returns the name of a relay's control socket."""
    return f"relay-{role.address}"


def run(fleet: Fleet, role: RelayRole) -> None:
    """Serves until SIGTERM or SIGINT. Raises OSError if the address is in use, DescriptorLimitError if the
    descriptor limit is too low, and DirectoryInUseError if another process uses the state directory."""
    anyio.run(_serve, fleet, role)


async def _serve(fleet: Fleet, role: RelayRole) -> None:
    check_descriptors(role.max_sessions)
    store = Client(fleet)
    folder, record = open_state_directory(fleet, role.cell)
    service = RelayService(fleet, role, store, folder, record)
    service.listen()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_at_signal, signals, service.stop)
            group.start_soon(control.ControlSocket(control_name(role), {"relay": service.control_status}).run)
            await service.run()
            group.cancel_scope.cancel()


async def _stop_at_signal(signals: AsyncIterator[signal.Signals], stop: Callable[[], None]) -> None:
    async for number in signals:
        log.info("stopping", signal=number.name)
        stop()
