"""The files that configure a server. All but the fleet's file are read again at SIGHUP. If a file is not
valid then, its previous content stays in force."""

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from otterrudder.admission.factory import parse_request_classes, parse_tenants
from otterrudder.configuration import (
    CONFIGURATION_VARIABLE,
    FLEET_VARIABLE,
    LEVELS_VARIABLE,
    VRRP_VARIABLE,
    ConfigurationError,
)

if TYPE_CHECKING:  # a server imports only the packages that its files need
    from otterrudder.fleet.configuration import Fleet
    from otterrudder.levels import LevelTable
    from otterrudder.vrrp.configuration import VrrpConfiguration


@dataclass(frozen=True, slots=True)
class ServerFiles:
    """The paths of the files; None or "" for a file that is not configured."""

    configuration: str | None
    levels: str | None = None
    vrrp: str | None = None
    fleet: str | None = None

    @classmethod
    def from_environment(cls) -> "ServerFiles":
        """Returns the files that the environment variables name; an empty variable names no file."""
        names = (CONFIGURATION_VARIABLE, LEVELS_VARIABLE, VRRP_VARIABLE, FLEET_VARIABLE)
        return cls(*(os.environ.get(name) or None for name in names))

    def read_levels(self, settings: dict[str, Any]) -> "LevelTable | None":
        """Reads the table of levels; returns None if no file is configured. Raises ConfigurationError if the
        file is not valid."""
        if not self.levels:
            return None
        from otterrudder import levels

        try:
            return levels.read_table(self.levels, parse_request_classes(settings), parse_tenants(settings))
        except levels.LevelTableError as error:
            raise ConfigurationError(str(error)) from None

    def read_fleet(self) -> "Fleet | None":
        """Reads the fleet that this server belongs to; returns None if no file is configured. Raises
        ConfigurationError if the file is not valid."""
        if not self.fleet:
            return None
        if self.levels:
            raise ConfigurationError(
                f"--levels {self.levels}: in a fleet the policy contains the table of levels"
            )
        from otterrudder.fleet.configuration import InvalidFleetError, read_fleet

        try:
            fleet = read_fleet(self.fleet)
        except InvalidFleetError as error:
            raise ConfigurationError(str(error)) from None
        if fleet.relay:
            raise ConfigurationError(
                f"--fleet {self.fleet}: relay: this file configures a relay, not a server"
            )
        return fleet

    def read_vrrp(self, settings: dict[str, Any]) -> "VrrpConfiguration | None":
        """Reads the VRRP groups and their keys; returns None if no file is configured. Raises
        ConfigurationError if a file is not valid."""
        if not self.vrrp:
            return None
        from otterrudder.vrrp.configuration_reader import VrrpConfigurationError
        from otterrudder.vrrp.configuration_reader import read_configuration as read_vrrp_configuration

        try:
            return read_vrrp_configuration(
                self.vrrp, parse_request_classes(settings), parse_tenants(settings)
            )
        except VrrpConfigurationError as error:
            raise ConfigurationError(str(error)) from None
