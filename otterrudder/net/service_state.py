"""Restrictions on admission from outside the controller: the service level, the policy, suspension, drained
scopes and the shutdown.

Each of them may be set before the admission controller exists, and then applies as soon as it is created."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    Limits,
    RequestClass,
    RequestScope,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)

if TYPE_CHECKING:  # imported at run time only if levels are configured
    from otterrudder.levels import LevelController, LevelTable, LevelUpdate


class ServiceState:
    """Keeps the restrictions in force and passes them to the controller. Methods that may change the service
    level return the update, to be logged."""

    def __init__(self, class_count: int, levels: "LevelController | None") -> None:
        self.levels = levels
        self.is_suspended = False
        self.is_shutting_down = False
        self.drained_scopes: list[RequestScope] = []
        self._policy: tuple[list[RequestClass], list[Tenant], Limits] | None = None
        self._controller: AdmissionController | None = None
        self._suspended_level = ServiceLevel(
            "aside", ((Restriction(RestrictionKind.REJECT),),) * class_count, served_elsewhere=True
        )

    def attach(self, controller: AdmissionController) -> None:
        """Applies the restrictions in force to a controller that has just been created."""
        self._controller = controller
        if self._policy:
            controller.update_policy(*self._policy)
        if self.levels or self.is_suspended:
            self._set_service_level()
        for scope in self.drained_scopes:
            controller.drain(scope, 0.0)

    def step_levels(
        self, now: float, tick_late_ms: float, is_utilization_known: bool
    ) -> "LevelUpdate | None":
        """Runs a tick of the level controller. During the shutdown the level does not change, because a drain
        rejects requests by its own rules."""
        if not self.levels or self.is_shutting_down or not self._controller:
            return None
        facts = self._controller.load_report() | {"late_ms": tick_late_ms}
        if not is_utilization_known:
            del facts["busy"]
        return self._apply(self.levels.step(now, facts))

    def replace_table(self, table: "LevelTable", now: float) -> "LevelUpdate | None":
        """Replaces the table of levels, if levels are configured."""
        if not self.levels or self.is_shutting_down:
            return None
        return self._apply(self.levels.replace_table(table, now))

    def update_policy(
        self,
        table: "LevelTable | None",
        create_levels: "Callable[[LevelTable], LevelController]",
        policy: tuple[list[RequestClass], list[Tenant], Limits],
        now: float,
    ) -> "LevelUpdate | None":
        """Puts a policy into force. Its table of levels replaces the current one, or is removed if the policy
        has none; its request classes, tenants and limits apply to later requests."""
        self._policy = policy
        if self._controller:
            self._controller.update_policy(*policy)
        if table and self.levels:
            return self.replace_table(table, now)
        self.levels = create_levels(table) if table else None
        self._set_service_level()
        return None

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspends admission or resumes it. While admission is suspended, new requests are rejected without
        being final, because other servers may know which policy is in force. Queued and running requests are
        still answered, and so are retries of requests that ran."""
        self.is_suspended = is_suspended
        self._set_service_level()

    def set_scope_served(self, scope: RequestScope, is_served: bool, drain_ms: float) -> None:
        """Starts serving the scope's requests, or drains them within `drain_ms`."""
        self.drained_scopes = [other for other in self.drained_scopes if other != scope]
        if not is_served:
            self.drained_scopes.append(scope)
        if self._controller and is_served:
            self._controller.resume(scope)
        elif self._controller:
            self._controller.drain(scope, drain_ms)

    def begin_shutdown(self, time_left_ms: float) -> bool:
        """Begins to drain all requests. Returns False if there is no controller: then no request has run or
        will run."""
        self.is_shutting_down = True
        if not self._controller:
            return False
        self._controller.begin_graceful_shutdown(time_left_ms)
        return True

    def _set_service_level(self) -> None:
        if not self._controller or self.is_shutting_down:
            return
        if self.is_suspended:
            self._controller.set_service_level(self._suspended_level)
        else:
            self._controller.set_service_level(self.levels.service_level if self.levels else None)

    def _apply(self, update: "LevelUpdate | None") -> "LevelUpdate | None":
        if update and update.service_level and self._controller and not self.is_suspended:
            self._controller.set_service_level(update.service_level)
        return update
