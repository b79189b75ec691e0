"""Connects the VRRP router to the server. Imported only if a VRRP file is configured."""

from otterrudder import clock
from otterrudder.net.discovery import DiscoveryReporter
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.records import RecordsPool
from otterrudder.vrrp.admission_gate import SetAdmission
from otterrudder.vrrp.configuration import VrrpConfiguration
from otterrudder.vrrp.router import VrrpRouter


def create_router(
    configuration: VrrpConfiguration,
    dispatcher: Dispatcher,
    records: RecordsPool,
    discovery: DiscoveryReporter,
) -> VrrpRouter:
    """Creates the router and binds its socket. Raises OSError if the address is not available. The router
    passes its decisions on admission to the core through the dispatcher, which handles them before
    arrivals."""
    core = dispatcher.core

    def set_admission(command: SetAdmission) -> None:
        dispatcher.post(core.set_scope_served, command.scope, command.is_admitted, command.drain_ms)

    def tracked_objects() -> dict[str, bool]:
        """Returns the tracked objects by name; the value is True if the object is down."""
        levels = core.service.levels
        return dict(
            runtime=not core.delivery.is_linked,
            records=records.is_refused,
            late=dispatcher.statistics.is_late(),
            level=levels is not None and not levels.is_full_service,
            unhealthy=bool(core.controller) and not core.is_healthy and not core.service.drained_scopes,
        )

    def update_discovery() -> None:
        discovery.is_draining = core.service.is_shutting_down or not router.is_serving

    router = VrrpRouter(configuration, int(clock.unix()), set_admission, tracked_objects)
    router.on_change = update_discovery
    router.bind()
    discovery.is_draining = True
    dispatcher.batch_hooks.append(router.poll)
    return router
