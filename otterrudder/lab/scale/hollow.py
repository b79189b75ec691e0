"""Runs many servers without requests in one process. Each has the agent, the store client, the state folder
and the policy validation of a server under `serve --fleet`, and its own connection. There is no gateway, no
runtime and no admission core.

    python -m otterrudder.lab.scale.hollow FLEET.toml CONFIG.json --count 50 --folder DIR [--first 0]

FLEET.toml is a fleet file and CONFIG.json the configuration of a server. The state folders of the servers are
created under DIR. Each switch of a server to another policy or admission state is written to standard output
at once, as a line of JSON (`Switched`). Each line of input is answered by the counters of the servers
(`Counted`). The process exits at the end of its input."""

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

MAX_SERVERS = 500  # maximum number of servers in one process
START_SPACING_S = 0.01  # delay between the starts of two servers
# Interval between two updates of a server. A real server updates its agent at least once per tick.
UPDATE_INTERVAL_S = 0.02


class Switched(msgspec.Struct, frozen=True, tag=True):
    """Reports that a server applied another policy, or started or stopped admitting."""

    server: str
    version: int  # policy version that the server applies
    admits: bool
    at_ms: float  # monotonic clock, shared by all processes of a machine


class Counted(msgspec.Struct, frozen=True, tag=True):
    """Counters summed over the servers of a process, since its start."""

    counts: dict[str, int]  # by the name of the agent's counter
    at_ms: float


HollowMessage = Switched | Counted


class HollowServer:
    """The coordination part of a server. `update_server` replaces one iteration of a server's event loop."""

    def __init__(self, fleet: Fleet, name: str, own: LocalConfiguration) -> None:
        self.name = name
        self._admits = False
        self._version = 0
        self._last_sent = (0, False)
        self.agent = make_agent(fleet, name, own, self._apply, self._suspend_admission)

    def update_server(self, now: float) -> Switched | None:
        """Updates the agent. Returns the new state if it has changed since the last call."""
        self.agent.update_server(now)
        policy = self.agent.control_sender.applied
        current = (policy.version if policy else 0, self._admits)
        if current == self._last_sent:
            return None
        self._last_sent = current
        return Switched(self.name, *current, now)

    def counts(self) -> dict[str, int]:
        """Returns the agent's counters as they appear in its status for operators."""
        counts = self.agent.control_status()["counts"]
        assert isinstance(counts, dict)
        return counts

    def _apply(self, content: PolicyContent) -> None:
        """Does nothing: there is no admission core that would apply the policy."""

    def _suspend_admission(self, is_suspended: bool) -> None:
        self._admits = not is_suspended


async def run_servers(servers: Sequence[HollowServer], lines: asyncio.StreamReader) -> None:
    """Runs the servers until the end of the input, then shuts them down gracefully."""
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
    parser = argparse.ArgumentParser(description="Run many servers without requests in one process.")
    parser.add_argument("fleet", type=Path, help="fleet file (TOML)")
    parser.add_argument("configuration", help="configuration file of a server (JSON)")
    parser.add_argument("--count", type=int, required=True, choices=range(1, MAX_SERVERS + 1), metavar="N")
    parser.add_argument(
        "--folder",
        type=Path,
        required=True,
        help="folder in which the state folders of the servers are created",
    )
    parser.add_argument("--first", type=int, default=0, help="number of the first server")
    parser.add_argument("--prefix", default="h", help="prefix of each server's name, before its number")
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
