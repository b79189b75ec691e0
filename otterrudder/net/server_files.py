"""The files that a server is started with. Each but the fleet's is read again on SIGHUP; one that is not
valid leaves the old one in force."""

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

if TYPE_CHECKING:  # what a server has no file for is not imported
    from otterrudder.fleet.configuration import Fleet
    from otterrudder.levels import LevelTable
    from otterrudder.vrrp.configuration import VrrpConfiguration


@dataclass(frozen=True, slots=True)
class ServerFiles:
    """Paths; None or "" where there is no file."""

    configuration: str | None
    levels: str | None = None
    vrrp: str | None = None
    fleet: str | None = None

    @classmethod
    def from_environment(cls) -> "ServerFiles":
        """The files that the environment names; an empty name is none."""
        names = (CONFIGURATION_VARIABLE, LEVELS_VARIABLE, VRRP_VARIABLE, FLEET_VARIABLE)
        return cls(*(os.environ.get(name) or None for name in names))

    def read_levels(self, settings: dict[str, Any]) -> "LevelTable | None":
        """The table of levels, None where there is no file; ConfigurationError says what is wrong with it."""
        if not self.levels:
            return None
        from otterrudder import levels

        try:
            return levels.read_table(self.levels, parse_request_classes(settings), parse_tenants(settings))
        except levels.LevelTableError as error:
            raise ConfigurationError(str(error)) from None

    def read_fleet(self) -> "Fleet | None":
        """The fleet this server is of, None where there is no file; ConfigurationError says what is wrong."""
        if not self.fleet:
            return None
        if self.levels:
            raise ConfigurationError(
                f"--levels {self.levels}: in a fleet the table of levels is the policy's"
            )
        from otterrudder.fleet.configuration import InvalidFleetError, read_fleet

        try:
            fleet = read_fleet(self.fleet)
        except InvalidFleetError as error:
            raise ConfigurationError(str(error)) from None
        if fleet.relay:
            raise ConfigurationError(f"--fleet {self.fleet}: relay: this file is a relay's, not a server's")
        return fleet

    def read_vrrp(self, settings: dict[str, Any]) -> "VrrpConfiguration | None":
        """The VRRP groups with their keys, None where there is no file; ConfigurationError says what is
        wrong."""
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
