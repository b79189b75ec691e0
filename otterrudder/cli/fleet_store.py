"""What the fleet's commands share: one client of the store for a command, and how a command ends.

Exit codes: 0 as asked, 2 bad input, 3 aborted or refused, 4 undecided, with what is still owed."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeVar

import click

from otterrudder.cli.common import give_up
from otterrudder.configuration import FLEET_VARIABLE
from otterrudder.fleet.change import coordination_keys
from otterrudder.fleet.configuration import Fleet, InvalidFleetError, read_fleet
from otterrudder.fleet.effects import Commit
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.records import FleetSnapshot, InvalidRecordError, Keys
from otterrudder.fleet.store import CommitResult, StoreUnavailableError

ABORTED, UNDECIDED = 3, 4
TIMEOUT_MS = 2000.0  # of a request
TRIES_MOST = 5  # of a commit whose answer was lost, each after a reading of what became of it
_T = TypeVar("_T")

FILE = click.option(
    "--fleet",
    "file",
    envvar=FLEET_VARIABLE,
    required=True,
    metavar="FILE",
    help="TOML file of the fleet (or OTTERRUDDER_FLEET).",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for scripts.")


class Store:
    """A client for one command: what it needs of the store, and the end of the command where it is away."""

    def __init__(self, file: str) -> None:
        try:
            self.fleet: Fleet = read_fleet(file)
        except InvalidFleetError as trouble:
            give_up(trouble)
        if not self.fleet.stores:
            give_up(f"{file}: store: a command needs the store's address, also where servers do not")
        from otterrudder.fleet.client import Client

        self.keys = Keys(self.fleet.name)
        self.client = Client(self.fleet)
        self.store_id = self.fleet.store_id  # of the engine that is believed; 0: the first that is heard

    async def view(self, *more: str) -> FleetSnapshot:
        """StoreUnavailableError also where another engine answers than named, or than before."""
        snapshot = await self.client.read((*coordination_keys(self.keys), *more), TIMEOUT_MS)
        self.store_id = self.store_id or snapshot.cluster
        if snapshot.cluster != self.store_id:
            raise StoreUnavailableError(
                f"another engine answers: {snapshot.cluster:x}, not {self.store_id:x}"
            )
        return FleetSnapshot(self.keys, snapshot)

    async def commit(self, commit: Commit) -> CommitResult | None:
        """None: no answer came, and it may have taken effect."""
        reach_failpoint(f"before {commit.purpose}")
        try:
            return await self.client.commit(commit.compares, commit.writes, TIMEOUT_MS)
        except StoreUnavailableError:
            return None
        finally:
            reach_failpoint(f"after {commit.purpose}")


def with_store(file: str, what: Callable[[Store], Coroutine[Any, Any, _T]]) -> _T:
    async def whole_command() -> _T:
        store = Store(file)
        try:
            return await what(store)
        finally:
            await store.client.close()

    try:
        return asyncio.run(whole_command())
    except StoreUnavailableError as why:
        end_with(UNDECIDED, f"the store does not answer: {why}")
    except InvalidRecordError as trouble:
        end_with(UNDECIDED, f"the store holds what is no record of this fleet: {trouble}")


def end_with(code: int, why: object) -> NoReturn:
    click.echo(f"otterrudder: {why}", err=True)
    sys.exit(code)


def in_words(conditions: tuple[tuple[str, float], ...]) -> str:
    """A trial's conditions, for reading."""
    return " or ".join(f"{fact} > {bound:g}" for fact, bound in conditions)
