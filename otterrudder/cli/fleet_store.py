"""What the fleet's commands share: one client of the store for a command, and how a command ends.

Exit codes: 0 done, 2 bad input, 3 aborted or refused, 4 undecided."""

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

ABORTED = 3
UNDECIDED = 4
REQUEST_TIMEOUT_MS = 2000.0
MAX_COMMIT_ATTEMPTS = 5  # each after reading what became of the last one
Result = TypeVar("Result")

FLEET_OPTION = click.option(
    "--fleet",
    "file",
    envvar=FLEET_VARIABLE,
    required=True,
    metavar="FILE",
    help="TOML file of the fleet (or OTTERRUDDER_FLEET).",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="As JSON, for scripts.")


class CommandStore:
    """The store's client of one command."""

    def __init__(self, file: str) -> None:
        try:
            self.fleet: Fleet = read_fleet(file)
        except InvalidFleetError as error:
            exit_bad_input(error)
        if not self.fleet.stores:
            exit_bad_input(f"{file}: store: a command needs the store's address, also where servers do not")
        from otterrudder.fleet.client import Client

        self.keys = Keys(self.fleet.name)
        self.client = Client(self.fleet)
        self.store_id = self.fleet.store_id  # of the trusted engine; 0: the first that answers

    async def read(self, *more_keys: str) -> FleetSnapshot:
        """A snapshot of the fleet; StoreUnavailableError also if another engine answers than the file names,
        or than answered before."""
        keys = (*coordination_keys(self.keys), *more_keys)
        snapshot = await self.client.read(keys, REQUEST_TIMEOUT_MS)
        self.store_id = self.store_id or snapshot.cluster
        if snapshot.cluster != self.store_id:
            raise StoreUnavailableError(
                f"another engine answers: {snapshot.cluster:x}, not {self.store_id:x}"
            )
        return FleetSnapshot(self.keys, snapshot)

    async def commit(self, commit: Commit) -> CommitResult | None:
        """Commits; None: no answer came, and the commit may have taken effect."""
        reach_failpoint(f"before {commit.purpose}")
        try:
            return await self.client.commit(commit.compares, commit.writes, REQUEST_TIMEOUT_MS)
        except StoreUnavailableError:
            return None
        finally:
            reach_failpoint(f"after {commit.purpose}")


def with_store(file: str, command: Callable[[CommandStore], Coroutine[Any, Any, Result]]) -> Result:
    """Runs a command with a client of the store; exits if the store is unavailable or its content invalid."""

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
        exit_with(UNDECIDED, f"the store holds what is no record of this fleet: {error}")


def read_snapshot(file: str) -> FleetSnapshot:
    """Runs a command that reads the fleet's snapshot and no more."""
    return with_store(file, lambda store: store.read())


def exit_with(code: int, reason: object) -> NoReturn:
    """Prints one line on standard error and exits."""
    click.echo(f"otterrudder: {reason}", err=True)
    sys.exit(code)


def conditions_text(conditions: tuple[tuple[str, float], ...]) -> str:
    """A trial's conditions, as operators write them."""
    return " or ".join(f"{fact} > {threshold:g}" for fact, threshold in conditions)
