"""Servers without requests, many in one process: each has the agent, the store's client, the folder and the
check of policies that `serve --fleet` gives a server, and a connection of its own. No gateway, no runtime, no
core.

    python -m otterrudder.lab.scale.hollow FLEET.toml CONFIG.json --count 50 --folder DIR [--first 0]

FLEET.toml is a fleet's file and CONFIG.json a server's configuration; the folders of the servers are made
under DIR. What a server switches to is told at once on standard output, a line of JSON each (`Switched`). A
line of input is answered by what the servers have counted (`Counted`). The process ends with its input."""

import argparse
import asyncio
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import anyio
import msgspec

from otterrudder import clock
from otterrudder.configuration import read_configuration
from otterrudder.fleet.assembly import make_agent
from otterrudder.fleet.configuration import Fleet, read_fleet
from otterrudder.fleet.policy import LocalConfiguration, PolicyContent, local_configuration_of
from otterrudder.log import configure_logging

MAX_SERVERS = 500  # servers of one process
START_SPACING_S = 0.01  # s between the starts of two servers
# s between looks at a server's standing: a server takes turns at least as often as its tick
UPDATE_INTERVAL_S = 0.02


class Switched(msgspec.Struct, frozen=True, tag=True):
    """A server goes by another policy, or admits again, or no longer."""

    server: str
    version: int  # that it goes by
    admits: bool
    at_ms: float  # monotonic clock, which all processes of a machine share


class Counted(msgspec.Struct, frozen=True, tag=True):
    """Sums over the servers of a process, since its start."""

    counts: dict[str, int]  # by what an agent shows of itself
    at_ms: float


HollowMessage = Switched | Counted


class HollowServer:
    """A server's coordination alone. `update_server` stands for the turn of a server's event loop."""

    def __init__(self, fleet: Fleet, name: str, own: LocalConfiguration) -> None:
        self.name = name
        self._admits = False
        self._version = 0
        self._last_sent = (0, False)
        self.agent = make_agent(fleet, name, own, self._apply, self._suspend_admission)

    def update_server(self, now: float) -> Switched | None:
        """What has changed since the last one."""
        self.agent.update_server(now)
        policy = self.agent.control_sender.applied
        present = (policy.version if policy else 0, self._admits)
        if present == self._last_sent:
            return None
        self._last_sent = present
        return Switched(self.name, *present, now)

    def counts(self) -> dict[str, int]:
        """What the agent has counted, as an operator sees it."""
        shown = self.agent.control_status()["counts"]
        assert isinstance(shown, dict)
        return shown

    def _apply(self, content: PolicyContent) -> None:
        """A server's core would go by it from here on."""

    def _suspend_admission(self, is_suspended: bool) -> None:
        self._admits = not is_suspended


async def run_servers(servers: Sequence[HollowServer], lines: asyncio.StreamReader) -> None:
    """Until the input ends; the servers leave in order then."""
    async with anyio.create_task_group() as group:
        group.start_soon(_update_all, servers)
        group.start_soon(_start_all, servers)
        while await lines.readline():
            total = sum((Counter(server.counts()) for server in servers), Counter())
            _write([Counted(dict(total), clock.monotonic())])
        group.cancel_scope.cancel()


async def _start_all(servers: Sequence[HollowServer]) -> None:
    async with anyio.create_task_group() as group:
        for server in servers:
            group.start_soon(server.agent.run)
            await anyio.sleep(START_SPACING_S)


async def _update_all(servers: Sequence[HollowServer]) -> None:
    while True:
        now = clock.monotonic()
        switched = [message for server in servers if (message := server.update_server(now))]
        if switched:
            _write(switched)
        await anyio.sleep(UPDATE_INTERVAL_S)


def _write(messages: Sequence[HollowMessage]) -> None:
    sys.stdout.buffer.write(b"".join(msgspec.json.encode(message) + b"\n" for message in messages))
    sys.stdout.buffer.flush()


def _make_servers(arguments: argparse.Namespace) -> list[HollowServer]:
    fleet = read_fleet(arguments.fleet)
    own = local_configuration_of(read_configuration(arguments.configuration).settings)
    numbers = range(arguments.first, arguments.first + arguments.count)
    names = [f"{arguments.prefix}{number}" for number in numbers]
    folder = arguments.folder
    return [HollowServer(replace(fleet, state_directory=folder / name), name, own) for name in names]


def _parse_arguments(command_line: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Servers without requests, many in one process.")
    parser.add_argument("fleet", type=Path, help="TOML file of the fleet")
    parser.add_argument("configuration", help="JSON file of a server's configuration")
    parser.add_argument("--count", type=int, required=True, choices=range(1, MAX_SERVERS + 1), metavar="N")
    parser.add_argument("--folder", type=Path, required=True, help="the servers' folders are made there")
    parser.add_argument("--first", type=int, default=0, help="number of the first server")
    parser.add_argument("--prefix", default="h", help="of a server's name, before its number")
    return parser.parse_args(command_line)


async def _main(command_line: Sequence[str]) -> None:
    arguments = _parse_arguments(command_line)
    configure_logging("hollow")
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    await run_servers(_make_servers(arguments), lines)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
