"""Functions shared by the fleet commands: access to the store, and exiting with an exit code.

Exit codes: 0 success, 2 bad input, 3 aborted or rejected, 4 undecided."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeVar

import click

from otterrudder.cli.common import exit_bad_input
from otterrudder.configuration import FLEET_VARIABLE
from otterrudder.fleet.change import coordination_keys
from otterrudder.fleet.configuration import Fleet, InvalidFleetError, read_fleet
from otterrudder.fleet.effects import Commit
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.records import FleetSnapshot, InvalidRecordError, Keys
from otterrudder.fleet.store import CommitResult, StoreUnavailableError

ABORTED = 3  # exit code: the command was aborted or rejected and changed nothing
UNDECIDED = 4  # exit code: the outcome is unknown
REQUEST_TIMEOUT_MS = 2000.0
MAX_COMMIT_ATTEMPTS = 5  # each attempt first reads the outcome of the previous one
Result = TypeVar("Result")

FLEET_OPTION = click.option(
    "--fleet",
    "file",
    envvar=FLEET_VARIABLE,
    required=True,
    metavar="FILE",
    help="TOML file of the fleet (or OTTERRUDDER_FLEET).",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")


class CommandStore:
    """The access of one command to the fleet's store."""

    def __init__(self, file: str) -> None:
        try:
            self.fleet: Fleet = read_fleet(file)
        except InvalidFleetError as error:
            exit_bad_input(error)
        if not self.fleet.stores:
            exit_bad_input(f"{file}: store: a command needs the store's address, even if the servers do not")
        from otterrudder.fleet.client import Client

        self.keys = Keys(self.fleet.name)
        self.client = Client(self.fleet)
        self.store_id = self.fleet.store_id  # the trusted store's id; 0 until the first store has answered

    async def read(self, *more_keys: str) -> FleetSnapshot:
        """Returns a snapshot of the fleet.

        Raises StoreUnavailableError if the store does not answer, or if its id differs from the one in the
        fleet file or in an earlier answer."""
        keys = (*coordination_keys(self.keys), *more_keys)
        snapshot = await self.client.read(keys, REQUEST_TIMEOUT_MS)
        self.store_id = self.store_id or snapshot.cluster
        if snapshot.cluster != self.store_id:
            raise StoreUnavailableError(
                f"another engine answers: {snapshot.cluster:x}, not {self.store_id:x}"
            )
        return FleetSnapshot(self.keys, snapshot)

    async def commit(self, commit: Commit) -> CommitResult | None:
        """Commits to the store. Returns None if there was no answer; the commit may still have succeeded."""
        reach_failpoint(f"before {commit.purpose}")
        try:
            return await self.client.commit(commit.compares, commit.writes, REQUEST_TIMEOUT_MS)
        except StoreUnavailableError:
            return None
        finally:
            reach_failpoint(f"after {commit.purpose}")


def run_with_store(file: str, command: Callable[[CommandStore], Coroutine[Any, Any, Result]]) -> Result:
    """Runs a command with access to the store. Exits if the store is unavailable or has invalid records."""

    async def run() -> Result:
        store = CommandStore(file)
        try:
            return await command(store)
        finally:
            await store.client.close()

    try:
        return asyncio.run(run())
    except StoreUnavailableError as error:
        exit_with(UNDECIDED, f"the store does not answer: {error}")
    except InvalidRecordError as error:
        exit_with(UNDECIDED, f"the store has an invalid record: {error}")


def read_snapshot(file: str) -> FleetSnapshot:
    """Reads a snapshot of the fleet."""
    return run_with_store(file, lambda store: store.read())


def exit_with(code: int, reason: object) -> NoReturn:
    """Prints `reason` on standard error and exits with `code`."""
    click.echo(f"otterrudder: {reason}", err=True)
    sys.exit(code)


def conditions_text(conditions: tuple[tuple[str, float], ...]) -> str:
    """Returns the conditions of a trial as text, such as `given_up > 0.05 or waits > 0.4`."""
    return " or ".join(f"{fact} > {threshold:g}" for fact, threshold in conditions)
