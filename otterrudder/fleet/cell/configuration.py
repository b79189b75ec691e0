"""The keys of a fleet's file that are a cell's: `relays` of a server, and a relay's own table `[relay]`.

Each check names the key; `fleet/configuration.py` reads the file and adds its name."""

from dataclasses import dataclass

import msgspec

from otterrudder.configuration import ConfigurationError, parse_address
from otterrudder.fleet.cell.limits import DEFAULT_MAX_SESSIONS
from otterrudder.fleet.records import MAX_NAME_LENGTH, Absent

SERVER_LEASE_MS = 3000.0
MIN_SERVER_LEASE_MS = 1000.0  # below it a lost renewal or two would end a lease
MAX_RELAYS = 16  # addresses in a list
MAX_SESSIONS_LIMIT = 10_000  # servers of one relay


class RelayConfigurationError(Exception):
    """What is wrong with a cell's key, in one line that names it."""


class RelayTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`[relay]` as the file has it."""

    cell: str
    address: str
    listen: str = ""
    candidates: list[str] = []
    max_sessions: int = msgspec.field(default=DEFAULT_MAX_SESSIONS, name="sessions_most")
    state_directory: str | None = msgspec.field(default=None, name="folder")


@dataclass(frozen=True, slots=True)
class RelayRole:
    """Which relay of which cell a process is."""

    cell: str
    address: str  # as the other relays and the servers know it
    listen: str  # the address, unless the file has another one (behind a forwarded port, say)
    candidates: tuple[str, ...]  # all relays of the cell, this one among them, sorted
    max_sessions: int

    @property
    def is_shared(self) -> bool:
        """Whether several processes take the cell's name in turn."""
        return len(self.candidates) > 1

    @property
    def endpoint(self) -> tuple[str, int]:
        """The host and port that it listens on."""
        return parse_address(self.listen, "relay.listen")


def check_server_lease(server_lease_ms: float, bound_ms: float) -> None:
    """A lease that outlasts the bound would let a server go by a policy that is past its bound."""
    if not MIN_SERVER_LEASE_MS <= server_lease_ms <= bound_ms:
        raise RelayConfigurationError(
            f"server_lease_ms: {server_lease_ms:g} is not from {MIN_SERVER_LEASE_MS:g} to bound_ms, "
            f"which is {bound_ms:g}"
        )


def check_relays(key: str, relays: list[str]) -> None:
    """Addresses with a port, each once."""
    if len(relays) > MAX_RELAYS:
        raise RelayConfigurationError(f"{key}: at most {MAX_RELAYS} addresses are wanted, not {len(relays)}")
    if len(set(relays)) < len(relays):
        raise RelayConfigurationError(f"{key}: an address is there twice")
    for relay in relays:
        try:
            _, port = parse_address(relay, key)
        except ConfigurationError as error:
            raise RelayConfigurationError(str(error)) from None
        if not port:
            raise RelayConfigurationError(f"{key}: {relay!r}: the others need a port to find it by")


def role_of(table: RelayTable, absent: Absent) -> RelayRole:
    """The checked table."""
    if not table.cell or "/" in table.cell or len(table.cell) > MAX_NAME_LENGTH:
        raise RelayConfigurationError(f"relay.cell: a name without a slash is wanted, not {table.cell!r}")
    check_relays("relay.address", [table.address])
    listen = table.listen or table.address
    check_relays("relay.listen", [listen])
    candidates = table.candidates or [table.address]
    _check_candidates(table, candidates)
    if not 1 <= table.max_sessions <= MAX_SESSIONS_LIMIT:
        raise RelayConfigurationError(
            f"relay.sessions_most: {table.max_sessions} is not from 1 to {MAX_SESSIONS_LIMIT}"
        )
    _check_state_directory(table, len(candidates), absent)
    return RelayRole(table.cell, table.address, listen, tuple(sorted(candidates)), table.max_sessions)


def _check_candidates(table: RelayTable, candidates: list[str]) -> None:
    check_relays("relay.candidates", candidates)
    if table.address not in candidates:
        raise RelayConfigurationError(
            f"relay.candidates: this relay's own address {table.address} is not among them"
        )


def _check_state_directory(table: RelayTable, relays: int, absent: Absent) -> None:
    if relays == 1 and absent == "wait" and not table.state_directory:
        raise RelayConfigurationError(
            'relay.folder: absent = "wait" with one relay needs one: a restart that has forgotten its vote '
            "could grant leases for a policy that is no longer in force"
        )
    if relays > 1 and table.state_directory:
        raise RelayConfigurationError(
            "relay.folder: the relays of a cell share its name, and none keeps state for it"
        )
