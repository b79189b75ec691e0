"""Tests the configuration of relays and their servers, and the fingerprint of a server."""

from dataclasses import fields, replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from helpers import ROOT

from otterrudder.admission.interface import Idempotency, Limits, RequestClass, Tenant
from otterrudder.cli.fleet import fleet as fleet_command
from otterrudder.configuration import ConfigurationError
from otterrudder.fleet.cell import fingerprint
from otterrudder.fleet.cell.fingerprint import server_fingerprint
from otterrudder.fleet.configuration import InvalidFleetError, read_fleet
from otterrudder.fleet.policy import LocalConfiguration
from otterrudder.net.server_files import ServerFiles


def test_fingerprint_covers_each_field_of_the_configuration() -> None:
    request_class = RequestClass("a", Idempotency.SAFE, 1.0, 10.0, 20.0)
    for value, keys in (
        (LocalConfiguration((), ()), fingerprint._configuration_fields(LocalConfiguration((), ()))),
        (request_class, fingerprint._request_class_fields(request_class)),
        (Tenant("t", 0.5), fingerprint._tenant_fields(Tenant("t", 0.5))),
        (Limits(), fingerprint._limits_fields(Limits())),
    ):
        assert len(keys) == len(fields(value))


def test_fingerprint_depends_on_the_configuration_and_the_program_version() -> None:
    own = LocalConfiguration((), (Tenant("t", 0.5, 1.0),), 3)
    assert server_fingerprint(own) == server_fingerprint(LocalConfiguration((), (Tenant("t", 0.5, 1.0),), 3))
    others = [replace(own, servers=4), replace(own, tenants=()), replace(own, has_shared_downstream=False)]
    fingerprints = [
        server_fingerprint(own),
        server_fingerprint(own, "another program"),
        *map(server_fingerprint, others),
    ]
    assert len(set(fingerprints)) == len(fingerprints)


RELAY = 'store = ["127.0.0.1:1"]\nbound_ms = 3000\n[relay]\ncell = "a"\naddress = "127.0.0.1:2"\n'
SERVER = 'relays = ["127.0.0.1:2", "127.0.0.1:3"]\n'


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (SERVER, "server_lease_ms: 3000 is not between 1000 and bound_ms (2000)"),
        (SERVER + "server_lease_ms = 999", "server_lease_ms: 999 is not"),
        (SERVER + 'bound_ms = 3000\nstart = "folder"', "start: "),
        (
            SERVER + 'bound_ms = 3000\nfolder = "f"',
            "folder: not allowed with relays: a server of a cell saves no state",
        ),
        ('bound_ms = 3000\nrelays = ["a"]', "relays: 'a' is not an address of the form host:port"),
        ('bound_ms = 3000\nrelays = ["a:0"]', "relays: 'a:0'"),
        ('bound_ms = 3000\nrelays = ["a:1", "a:1"]', "relays: an address is listed twice"),
        (
            'bound_ms = 3000\nrelays = ["a:1"]\n[relay]\ncell = "a"\naddress = "a:1"',
            "relays: only allowed in a server's file",
        ),
        (RELAY, 'relay.folder: the folder is required with absent = "wait" and one relay'),
        (
            RELAY + 'candidates = ["127.0.0.1:3"]',
            "relay.candidates: the list does not contain this relay's own address",
        ),
        (
            RELAY + 'folder = "f"\nlisten = "0.0.0.0"',
            "relay.listen: '0.0.0.0' is not an address of the form host:port",
        ),
        (
            RELAY + 'candidates = ["127.0.0.1:2", "127.0.0.1:3"]\nfolder = "f"',
            "relay.folder: not allowed with several relays",
        ),
        (RELAY + 'folder = "f"\nsessions_most = 0', "relay.sessions_most: 0"),
        (RELAY + 'folder = "f"\nother = 1', ".relay: Object contains unknown field `other`"),
        (RELAY.replace('"a"', '"a/b"') + 'folder = "f"', "relay.cell"),
        (RELAY.replace("127.0.0.1:2", "nowhere") + 'folder = "f"', "relay.address"),
        ('folder = "g"\n' + RELAY + 'folder = "f"', "folder: a relay sets it in the table [relay]"),
        ('start = "folder"\n' + RELAY + 'candidates = ["127.0.0.1:2", "127.0.0.1:3"]', "start: "),
        (RELAY + 'folder = "f"\n[tls]\nca = "c"', "tls: a relay needs cert and key"),
        ("", "store: must have 1 to 9"),
    ],
)
def test_invalid_configuration_is_rejected_with_the_key_in_the_error(
    tmp_path: Path, text: str, error: str
) -> None:
    path = tmp_path / "cells.toml"
    path.write_text(f'version = 1\nfleet = "f"\n{text}\n')
    with pytest.raises(InvalidFleetError) as raised:
        read_fleet(path)
    assert str(raised.value).startswith(f"cells.toml: {error}"), raised.value


def test_configuration_files_of_cells_are_read(tmp_path: Path) -> None:
    path = tmp_path / "cells.toml"
    path.write_text(f'version = 1\nfleet = "f"\nbound_ms = 3000\n{SERVER}')
    server = read_fleet(path)
    assert (
        server.relays == ("127.0.0.1:2", "127.0.0.1:3") and not server.stores and not server.state_directory
    )
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}folder = "f"\n')
    single = read_fleet(path)
    assert single.state_directory == tmp_path / "f" and not single.rules.is_shared
    assert single.relay and single.relay.listen == single.relay.address
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}folder = "f"\nlisten = "0.0.0.0:4"\n')
    role = read_fleet(path).relay
    assert role and (role.address, role.listen) == ("127.0.0.1:2", "0.0.0.0:4")
    path.write_text(f'version = 1\nfleet = "f"\n{RELAY}candidates = ["127.0.0.1:3", "127.0.0.1:2"]\n')
    shared = read_fleet(path)
    assert shared.rules.is_shared and shared.relay
    assert shared.relay.candidates == ("127.0.0.1:2", "127.0.0.1:3")


def test_example_relay_file_is_valid_and_commands_reject_the_wrong_kind_of_file(tmp_path: Path) -> None:
    example = ROOT / "deploy/relay.toml"
    assert read_fleet(example).rules.is_shared
    server = tmp_path / "server.toml"
    server.write_text(f'version = 1\nfleet = "f"\nbound_ms = 3000\n{SERVER}')
    runner = CliRunner()
    for words, output in (
        (["relay", "--fleet", str(server)], "relay: the file has no such table"),
        (["relay", "status", "--fleet", str(example)], "no relay answers"),
        (["relay"], "Missing option"),
        (["status", "--fleet", str(server)], "store: a command needs the store's address"),
    ):
        result = runner.invoke(fleet_command, words, env={"TMPDIR": str(tmp_path)})
        assert result.exit_code == 2 and output in result.output, result.output
    with pytest.raises(ConfigurationError, match="relay: this file configures a relay, not a server"):
        ServerFiles(None, fleet=str(example)).read_fleet()
