"""Reads and checks the fleet file, which is TOML. deploy/fleet.toml describes the format.

Combinations of values that would break the fleet's guarantees are rejected here and nowhere else, with a
one-line error."""

from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from typing import Literal

import msgspec

from otterrudder.configuration import ConfigurationError, parse_address
from otterrudder.files import convert, load_toml
from otterrudder.fleet.cell.configuration import (
    SERVER_LEASE_MS,
    RelayConfigurationError,
    RelayRole,
    RelayTable,
    check_relays,
    check_server_lease,
    role_of,
)
from otterrudder.fleet.member import POLL_SHARE
from otterrudder.fleet.records import MAX_NAME_LENGTH, Absent
from otterrudder.fleet.state import Rules

VERSION = 1  # version of the file format
REQUIRED_PACKAGES = ("aetcd", "grpc")  # packages of the store client, installed by the extra `fleet`
MAX_STORES = 9  # maximum number of nodes in the store's cluster
MIN_BOUND_MS = 400.0  # with a lower bound, a read could not finish before the next one is due
MAX_BOUND_MS = 60_000.0  # a higher bound would delay a change longer than operators wait for it
MIN_LEASE_MS = 3000.0  # stores count leases in whole seconds, and two renewals may be lost
MAX_LEASE_MS = 600_000.0
MAX_TIMEOUT_MS = 2000.0  # maximum deadline of a request to the store
FROM_DIRECTORY = "folder"  # the value of `start` in the file
STORE_ID_LIMIT = 2**64


class InvalidFleetError(Exception):
    """A fleet file is invalid; the message is one line that names the file and the key."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The checked contents of a fleet file."""

    name: str
    stores: tuple[tuple[str, int], ...]
    rules: Rules
    state_directory: Path | None
    zone: str
    ca: Path | None
    cert: Path | None
    key: Path | None
    store_id: int = 0  # cluster ID of the only trusted store; 0 means the first one that answers
    relays: tuple[str, ...] = ()  # relays of a cell's server, in the order in which it tries them
    server_lease_ms: float = SERVER_LEASE_MS  # duration of the lease of a cell's server, in ms
    relay: RelayRole | None = None  # the relay's role; None in a server's file

    @property
    def timeout_ms(self) -> float:
        """The deadline of a request to the store, in ms. It is at most the interval between two reads while a
        vote is outstanding, so a lost request has ended before the next one is due."""
        return min(self.rules.bound_ms * POLL_SHARE, MAX_TIMEOUT_MS)


class _RuleError(Exception):
    """A key has an invalid value; the message names the key."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")


class _TlsTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    ca: str
    cert: str | None = None
    key: str | None = None


class _FleetTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    version: int
    fleet: str
    store: list[str] = []
    absent: Absent = "wait"
    start: Literal["wait", "folder"] = "wait"
    bound_ms: float = 2000.0
    lease_ms: float = 6000.0
    state_directory: str | None = msgspec.field(default=None, name="folder")
    zone: str = ""
    store_id: str = ""
    tls: _TlsTable | None = None
    relays: list[str] = []
    server_lease_ms: float = SERVER_LEASE_MS
    relay: RelayTable | None = None

    @property
    def is_of_cell(self) -> bool:
        """Whether this is the file of a server or a relay of a cell."""
        return bool(self.relays or self.relay)


def read_fleet(path: str | Path) -> Fleet:
    """Reads a fleet file. Raises InvalidFleetError if the file is invalid or the store client is not
    installed."""
    path = Path(path)
    if missing := [name for name in REQUIRED_PACKAGES if find_spec(name) is None]:
        raise InvalidFleetError(
            f"{path.name}: a fleet needs {missing[0]}: pip install 'otterrudder[fleet]', or "
            "-r requirements-fleet.txt"
        )
    document = load_toml(path, InvalidFleetError)
    table = convert(document, _FleetTable, f"{path.name}: ", InvalidFleetError)
    try:
        return _fleet(table, path.parent)
    except (_RuleError, RelayConfigurationError, ConfigurationError) as error:
        raise InvalidFleetError(f"{path.name}: {error}") from None


def _fleet(table: _FleetTable, directory: Path) -> Fleet:
    """Checks the table and converts it. Paths are relative to the directory of the file."""
    _check_name(table)
    _check_store_count(table)
    _check_times(table)
    role = _cell_role(table) if table.is_of_cell else None
    _check_start(table)
    store_id = _store_id(table.store_id)
    _check_tls(table)
    return Fleet(
        table.fleet,
        tuple(parse_address(text, "store") for text in table.store),
        Rules(
            table.absent,
            table.bound_ms,
            table.lease_ms,
            table.start == FROM_DIRECTORY,
            is_shared=role is not None and role.is_shared,
        ),
        _resolve(directory, table.relay.state_directory if table.relay else table.state_directory),
        table.zone,
        directory / table.tls.ca if table.tls else None,
        _resolve(directory, table.tls.cert if table.tls else None),
        _resolve(directory, table.tls.key if table.tls else None),
        store_id,
        tuple(table.relays),
        table.server_lease_ms,
        role,
    )


def _resolve(directory: Path, path: str | None) -> Path | None:
    return directory / path if path else None


def _check_name(table: _FleetTable) -> None:
    if table.version != VERSION:
        raise _RuleError("version", f"this program reads {VERSION}, not {table.version}")
    if not table.fleet or "/" in table.fleet or len(table.fleet) > MAX_NAME_LENGTH:
        detail = f"must be a name without a slash, of 1 to {MAX_NAME_LENGTH} characters"
        raise _RuleError("fleet", f"{detail}, not {table.fleet!r}")


def _check_store_count(table: _FleetTable) -> None:
    """Checks the number of store addresses. A server of a cell needs none, because it talks only to its
    relay."""
    minimum, count = 0 if table.relays else 1, len(table.store)
    if not minimum <= count <= MAX_STORES:
        raise _RuleError("store", f"must have {minimum} to {MAX_STORES} addresses, not {count}")


def _check_times(table: _FleetTable) -> None:
    bound_ms, lease_ms = table.bound_ms, table.lease_ms
    if not MIN_BOUND_MS <= bound_ms <= MAX_BOUND_MS:
        raise _RuleError("bound_ms", f"{bound_ms:g} is not between {MIN_BOUND_MS:g} and {MAX_BOUND_MS:g}")
    if not MIN_LEASE_MS <= lease_ms <= MAX_LEASE_MS or lease_ms % 1000:
        limits = f"between {MIN_LEASE_MS:g} and {MAX_LEASE_MS:g}"
        raise _RuleError("lease_ms", f"{lease_ms:g} is not a whole number of seconds {limits}")


def _check_start(table: _FleetTable) -> None:
    """Checks that the state that a restart needs is kept, and that a start may rely on it."""
    if table.absent == "wait" and not (table.state_directory or table.is_of_cell):
        raise _RuleError(
            "folder",
            'required with absent = "wait": a server that restarts without its saved vote could admit '
            "under a policy that is no longer in force",
        )
    if table.start == FROM_DIRECTORY and table.absent != "wait":
        raise _RuleError(
            "start",
            f'"folder" is allowed only with absent = "wait": with "{table.absent}" a change may '
            "have been committed without this server's vote",
        )


def _store_id(text: str) -> int:
    """Returns the store's cluster ID from its hexadecimal form; 0, for "", means any store."""
    try:
        store_id = int(text or "0", 16)
    except ValueError:
        store_id = -1
    if not 0 <= store_id < STORE_ID_LIMIT:
        raise _RuleError("store_id", f"must be the store's cluster ID in hex, not {text!r}")
    return store_id


def _check_tls(table: _FleetTable) -> None:
    tls = table.tls
    if tls and (tls.cert is None) != (tls.key is None):
        raise _RuleError("tls", "cert and key must be set together")
    if tls and not tls.cert and table.relay:
        raise _RuleError("tls", "a relay needs cert and key, the certificate that it presents to its servers")


def _cell_role(table: _FleetTable) -> RelayRole | None:
    """Returns the relay's role, or None in a server's file."""
    if table.relays and table.relay:
        raise _RuleError(
            "relays", "only allowed in a server's file, and the table [relay] makes this a relay's file"
        )
    if table.state_directory:
        detail = "not allowed with relays: a server of a cell saves no state"
        raise _RuleError("folder", "a relay sets it in the table [relay]" if table.relay else detail)
    if table.start == FROM_DIRECTORY and not (table.relay and table.relay.state_directory):
        raise _RuleError(
            "start",
            '"folder" needs a state directory: servers of a cell, and relays that share a cell, have none',
        )
    check_server_lease(table.server_lease_ms, table.bound_ms)
    check_relays("relays", table.relays)
    return role_of(table.relay, table.absent) if table.relay else None
