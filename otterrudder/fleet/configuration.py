"""The operators' file of a fleet: TOML to values, checked whole. Form: the commented deploy/fleet.toml.

Values that would break the fleet's promises together are rejected here, in one line, and nowhere else."""

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

VERSION = 1  # of the form
REQUIRED_PACKAGES = ("aetcd", "grpc")  # of the store's client, the extra `fleet`
MAX_STORES = 9  # members of an engine's cluster
MIN_BOUND_MS = 400.0  # below it a read that shows the change open has no time before the next is due
MAX_BOUND_MS = 60_000.0  # beyond that nobody waits for a change to take hold
MIN_LEASE_MS = 3000.0  # engines count leases in whole seconds, and two renewals may be lost
MAX_LEASE_MS = 600_000.0
MAX_TIMEOUT_MS = 2000.0  # that a request to the store may take
FROM_DIRECTORY = "folder"  # the value of `start` in the file
STORE_ID_LIMIT = 2**64


class InvalidFleetError(Exception):
    """What is wrong with a fleet's file, in one line that names the file and the key."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet's file, checked."""

    name: str
    stores: tuple[tuple[str, int], ...]
    rules: Rules
    state_directory: Path | None
    zone: str
    ca: Path | None
    cert: Path | None
    key: Path | None
    store_id: int = 0  # of the only engine that is trusted; 0: the first that answers
    relays: tuple[str, ...] = ()  # a server's: it is of a cell; in the order in which they are tried
    server_lease_ms: float = SERVER_LEASE_MS  # of a server of a cell
    relay: RelayRole | None = None  # the file is a relay's

    @property
    def timeout_ms(self) -> float:
        """For a request: one may be lost between two that are due while a vote is open."""
        return min(self.rules.bound_ms * POLL_SHARE, MAX_TIMEOUT_MS)


class _RuleError(Exception):
    """A key and what is wrong with it."""

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
        """Whether it is the file of a cell's server or relay."""
        return bool(self.relays or self.relay)


def read_fleet(path: str | Path) -> Fleet:
    """InvalidFleetError: what is wrong, by file name and key, or that the store's client is missing."""
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
    """The checked table; paths in it are relative to the file's directory."""
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
        _beside(directory, table.relay.state_directory if table.relay else table.state_directory),
        table.zone,
        directory / table.tls.ca if table.tls else None,
        _beside(directory, table.tls.cert if table.tls else None),
        _beside(directory, table.tls.key if table.tls else None),
        store_id,
        tuple(table.relays),
        table.server_lease_ms,
        role,
    )


def _beside(directory: Path, path: str | None) -> Path | None:
    return directory / path if path else None


def _check_name(table: _FleetTable) -> None:
    if table.version != VERSION:
        raise _RuleError("version", f"this program reads {VERSION}, not {table.version}")
    if not table.fleet or "/" in table.fleet or len(table.fleet) > MAX_NAME_LENGTH:
        raise _RuleError("fleet", f"a name without a slash is wanted, not {table.fleet!r}")


def _check_store_count(table: _FleetTable) -> None:
    """A server of a cell asks its relay alone."""
    minimum, count = 0 if table.relays else 1, len(table.store)
    if not minimum <= count <= MAX_STORES:
        raise _RuleError("store", f"from {minimum} to {MAX_STORES} addresses are wanted, not {count}")


def _check_times(table: _FleetTable) -> None:
    bound_ms, lease_ms = table.bound_ms, table.lease_ms
    if not MIN_BOUND_MS <= bound_ms <= MAX_BOUND_MS:
        raise _RuleError("bound_ms", f"{bound_ms:g} is not from {MIN_BOUND_MS:g} to {MAX_BOUND_MS:g}")
    if not MIN_LEASE_MS <= lease_ms <= MAX_LEASE_MS or lease_ms % 1000:
        limits = f"from {MIN_LEASE_MS:g} to {MAX_LEASE_MS:g}"
        raise _RuleError("lease_ms", f"{lease_ms:g} is not whole seconds {limits}")


def _check_start(table: _FleetTable) -> None:
    """What a restart may forget, and what it may start from."""
    if table.absent == "wait" and not (table.state_directory or table.is_of_cell):
        raise _RuleError(
            "folder",
            'absent = "wait" needs one: a restart that has forgotten its vote could admit '
            "under a policy that is no longer in force",
        )
    if table.start == FROM_DIRECTORY and table.absent != "wait":
        raise _RuleError(
            "start",
            f'"folder" goes with absent = "wait" only: under "{table.absent}" a change may '
            "have been made without this server",
        )


def _store_id(text: str) -> int:
    """0: any engine."""
    try:
        store_id = int(text or "0", 16)
    except ValueError:
        store_id = -1
    if not 0 <= store_id < STORE_ID_LIMIT:
        raise _RuleError("store_id", f"the engine's cluster id in hex is wanted, not {text!r}")
    return store_id


def _check_tls(table: _FleetTable) -> None:
    tls = table.tls
    if tls and (tls.cert is None) != (tls.key is None):
        raise _RuleError("tls", "cert and key go together")
    if tls and not tls.cert and table.relay:
        raise _RuleError("tls", "a relay shows its servers a certificate: cert and key are wanted")


def _cell_role(table: _FleetTable) -> RelayRole | None:
    """The relay's role, None in a server's file."""
    if table.relays and table.relay:
        raise _RuleError("relays", "a server's file has them, and this one has a relay's table [relay]")
    if table.state_directory:
        detail = "a server with relays keeps nothing that must outlive it"
        raise _RuleError("folder", "a relay's is in its table [relay]" if table.relay else detail)
    if table.start == FROM_DIRECTORY and not (table.relay and table.relay.state_directory):
        raise _RuleError(
            "start", '"folder" needs one: a server with relays, or several relays of a cell, have none'
        )
    check_server_lease(table.server_lease_ms, table.bound_ms)
    check_relays("relays", table.relays)
    return role_of(table.relay, table.absent) if table.relay else None
