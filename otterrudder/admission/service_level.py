"""The service level in force: what a level of reduced service restricts, and how much work is asked for."""

from otterrudder.admission.interface import Restriction, RestrictionKind, ServiceLevel
from otterrudder.admission.requests import Request


class ActiveServiceLevel:
    """The level in force; None where nobody watches the load, so that nothing needs counting."""

    def __init__(self) -> None:
        self.level: ServiceLevel | None = None

    def restriction_for(self, request: Request) -> Restriction | None:
        """The strongest restriction that applies; a level lists the strongest first."""
        if not self.level or not self.level.restrictions:
            return None
        for restriction in self.level.restrictions[request.class_index]:
            if restriction.applies_to(request.criticality, request.tenant):
                return restriction
        return None

    def omits_call(self, request: Request) -> bool:
        """Whether the request goes on without its downstream call."""
        if not self.level or not request.request_class.skip_weight_factor:
            return False
        restriction = self.restriction_for(request)
        return restriction is not None and restriction.kind is RestrictionKind.OMIT
