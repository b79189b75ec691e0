"""The keys of a fleet's file that configure cells: `relays` of a server, and the `[relay]` table of a relay.

Each error message names the key; `fleet/configuration.py` reads the file and adds the file's name."""

from dataclasses import dataclass

import msgspec

from otterrudder.configuration import ConfigurationError, parse_address
from otterrudder.fleet.cell.limits import DEFAULT_MAX_SESSIONS
from otterrudder.fleet.records import MAX_NAME_LENGTH, Absent

SERVER_LEASE_MS = 3000.0
MIN_SERVER_LEASE_MS = 1000.0  # with a shorter lease, one or two lost renewals would end it
MAX_RELAYS = 16  # maximum number of addresses in a list
MAX_SESSIONS_LIMIT = 10_000  # maximum number of servers of one relay


class RelayConfigurationError(Exception):
    """A key of a cell's configuration is invalid; the message is one line that names the key."""


class RelayTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The `[relay]` table, as written in the file."""

    cell: str
    address: str
    listen: str = ""
    candidates: list[str] = []
    max_sessions: int = msgspec.field(default=DEFAULT_MAX_SESSIONS, name="sessions_most")
    state_directory: str | None = msgspec.field(default=None, name="folder")


@dataclass(frozen=True, slots=True)
class RelayRole:
    """The checked `[relay]` table: the cell of a relay process, its addresses and its limits."""

    cell: str
    address: str  # address at which the other relays and the servers reach this relay
    listen: str  # listening address; equals `address` unless the file sets it (for a forwarded port)
    candidates: tuple[str, ...]  # addresses of all relays of the cell, including this one, sorted
    max_sessions: int

    @property
    def is_shared(self) -> bool:
        """Whether several relay processes share the cell's name."""
        return len(self.candidates) > 1

    @property
    def endpoint(self) -> tuple[str, int]:
        """The host and port that the relay listens on."""
        return parse_address(self.listen, "relay.listen")


def check_server_lease(server_lease_ms: float, bound_ms: float) -> None:
    """Raises RelayConfigurationError if the span of a server's lease is out of range.

    With a lease longer than the bound, a server could use a policy that is past its bound."""
    if not MIN_SERVER_LEASE_MS <= server_lease_ms <= bound_ms:
        raise RelayConfigurationError(
            f"server_lease_ms: {server_lease_ms:g} is not between {MIN_SERVER_LEASE_MS:g} and bound_ms "
            f"({bound_ms:g})"
        )


def check_relays(key: str, relays: list[str]) -> None:
    """Raises RelayConfigurationError unless all entries are different addresses with a port."""
    if len(relays) > MAX_RELAYS:
        raise RelayConfigurationError(f"{key}: at most {MAX_RELAYS} addresses are allowed, not {len(relays)}")
    if len(set(relays)) < len(relays):
        raise RelayConfigurationError(f"{key}: an address is listed twice")
    for relay in relays:
        try:
            _, port = parse_address(relay, key)
        except ConfigurationError as error:
            raise RelayConfigurationError(str(error)) from None
        if not port:
            raise RelayConfigurationError(f"{key}: {relay!r}: the port must not be 0")


def role_of(table: RelayTable, absent: Absent) -> RelayRole:
    """Checks the table and returns the relay's role; raises RelayConfigurationError if a key is invalid."""
    if not table.cell or "/" in table.cell or len(table.cell) > MAX_NAME_LENGTH:
        raise RelayConfigurationError(
            f"relay.cell: expected a name of 1 to {MAX_NAME_LENGTH} characters without a slash, "
            f"not {table.cell!r}"
        )
    check_relays("relay.address", [table.address])
    listen = table.listen or table.address
    check_relays("relay.listen", [listen])
    candidates = table.candidates or [table.address]
    _check_candidates(table, candidates)
    if not 1 <= table.max_sessions <= MAX_SESSIONS_LIMIT:
        raise RelayConfigurationError(
            f"relay.sessions_most: {table.max_sessions} is not between 1 and {MAX_SESSIONS_LIMIT}"
        )
    _check_state_directory(table, len(candidates), absent)
    return RelayRole(table.cell, table.address, listen, tuple(sorted(candidates)), table.max_sessions)


def _check_candidates(table: RelayTable, candidates: list[str]) -> None:
    check_relays("relay.candidates", candidates)
    if table.address not in candidates:
        raise RelayConfigurationError(
            f"relay.candidates: the list does not contain this relay's own address {table.address}"
        )


def _check_state_directory(table: RelayTable, relays: int, absent: Absent) -> None:
    if relays == 1 and absent == "wait" and not table.state_directory:
        raise RelayConfigurationError(
            'relay.folder: the folder is required with absent = "wait" and one relay: without it a restarted '
            "relay would not know its vote, and could grant leases for a policy that is no longer in force"
        )
    if relays > 1 and table.state_directory:
        raise RelayConfigurationError(
            "relay.folder: not allowed with several relays, which share the cell's name: none of them keeps "
            "state for the cell"
        )
