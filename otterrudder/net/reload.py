"""What SIGHUP does: files are read again, and what is valid comes into force without a restart."""

import msgspec

from otterrudder.configuration import (
    RELOADABLE_KEYS,
    Configuration,
    ConfigurationError,
    parse_address,
    read_configuration,
)
from otterrudder.log import log
from otterrudder.net.server_files import ServerFiles
from otterrudder.net.server_parts import ServerParts, records_address


class Reloader:
    """Knows which configuration is in force. A file that is not valid leaves the old one in force."""

    def __init__(self, configuration: Configuration, files: ServerFiles, parts: ServerParts) -> None:
        self.configuration = configuration
        self._files = files
        self._parts = parts

    def reload(self) -> None:
        """Reads all files again. Never raises: no file may end what is served."""
        try:
            self._reload_addresses()
            self._reload_levels()
            self._reload_vrrp_keys()
        except Exception:
            log.exception("reload failed")

    def _reload_addresses(self) -> None:
        try:
            new = read_configuration(self._files.configuration)
        except ConfigurationError as error:
            log.error("configuration not taken", why=str(error))
            return
        before = self.configuration.document
        after = new.document
        changed = {key for key in before.keys() | after.keys() if after.get(key) != before.get(key)}
        moved = [key for key in RELOADABLE_KEYS if key in changed]
        self._move(new, moved)
        log.info("configuration taken", moved=moved)
        if fixed := changed.difference(RELOADABLE_KEYS):
            log.warning("a restart is needed for what else has changed", names=sorted(fixed))
        self.configuration = msgspec.structs.replace(
            self.configuration,
            runtime=new.runtime,
            records=new.records,
            registry=new.registry,
            document=before | {key: after.get(key) for key in RELOADABLE_KEYS},
        )

    def _move(self, new: Configuration, moved: list[str]) -> None:
        if "runtime" in moved:
            self._parts.runtime.change_address(parse_address(new.runtime))
        if "records" in moved:
            self._parts.records.change_address(records_address(new))
        if "registry" in moved:
            self._parts.discovery.address = parse_address(new.registry)

    def _reload_levels(self) -> None:
        """Whether there are levels at all is fixed at the start."""
        try:
            table = self._files.read_levels(self.configuration.settings)
        except ConfigurationError as error:
            log.error("levels not taken", why=str(error))
            return
        if table:
            dispatcher = self._parts.dispatcher
            dispatcher.post(dispatcher.core.replace_level_table, table)

    def _reload_vrrp_keys(self) -> None:
        """Groups are fixed at the start."""
        if not self._parts.router:
            return
        try:
            vrrp = self._files.read_vrrp(self.configuration.settings)
        except ConfigurationError as error:
            log.error("vrrp keys not taken", why=str(error))
            return
        if vrrp:
            self._parts.router.replace_keys(vrrp.keys)
            keys = sorted(vrrp.keys.by_number)
            log.info("vrrp keys taken", keys=keys, signs=vrrp.keys.signing_number)
