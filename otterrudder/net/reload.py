"""Reload at SIGHUP: the files are read again, and valid ones come into force without a restart."""

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
    """Keeps the configuration in force. If a file is not valid, its previous content stays in force."""

    def __init__(self, configuration: Configuration, files: ServerFiles, parts: ServerParts) -> None:
        self.configuration = configuration
        self._files = files
        self._parts = parts

    def reload(self) -> None:
        """Reads all files again. Never raises an exception, because an invalid file must not stop the
        server."""
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
            log.error("configuration not reloaded", why=str(error))
            return
        old_document = self.configuration.document
        new_document = new.document
        keys = old_document.keys() | new_document.keys()
        changed = {key for key in keys if new_document.get(key) != old_document.get(key)}
        reloaded = [key for key in RELOADABLE_KEYS if key in changed]
        self._apply_addresses(new, reloaded)
        log.info("configuration reloaded", moved=reloaded)
        if needs_restart := changed.difference(RELOADABLE_KEYS):
            log.warning("a restart is needed for other changed settings", names=sorted(needs_restart))
        self.configuration = msgspec.structs.replace(
            self.configuration,
            runtime=new.runtime,
            records=new.records,
            registry=new.registry,
            document=old_document | {key: new_document.get(key) for key in RELOADABLE_KEYS},
        )

    def _apply_addresses(self, new: Configuration, reloaded: list[str]) -> None:
        if "runtime" in reloaded:
            self._parts.runtime.change_address(parse_address(new.runtime))
        if "records" in reloaded:
            self._parts.records.change_address(records_address(new))
        if "registry" in reloaded:
            self._parts.discovery.address = parse_address(new.registry)

    def _reload_levels(self) -> None:
        """Reloads the table of levels. Levels cannot be added or removed as a whole without a restart."""
        try:
            table = self._files.read_levels(self.configuration.settings)
        except ConfigurationError as error:
            log.error("levels not reloaded", why=str(error))
            return
        if table:
            dispatcher = self._parts.dispatcher
            dispatcher.post(dispatcher.core.replace_level_table, table)

    def _reload_vrrp_keys(self) -> None:
        """Reloads the VRRP keys. Changes of the VRRP groups need a restart."""
        if not self._parts.router:
            return
        try:
            vrrp = self._files.read_vrrp(self.configuration.settings)
        except ConfigurationError as error:
            log.error("vrrp keys not reloaded", why=str(error))
            return
        if vrrp:
            self._parts.router.replace_keys(vrrp.keys)
            keys = sorted(vrrp.keys.by_number)
            log.info("vrrp keys reloaded", keys=keys, signs=vrrp.keys.signing_number)
