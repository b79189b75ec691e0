"""The service level in force and the restrictions that it applies to requests."""

from otterrudder.admission.interface import Restriction, RestrictionKind, ServiceLevel
from otterrudder.admission.requests import Request


class ActiveServiceLevel:
    """Holds the level in force. `level` is None if service levels are off; demand is then not measured."""

    def __init__(self) -> None:
        self.level: ServiceLevel | None = None

    def restriction_for(self, request: Request) -> Restriction | None:
        """Returns the strongest restriction that applies to the request, or None.

        A level lists the strongest restriction first."""
        if not self.level or not self.level.restrictions:
            return None
        for restriction in self.level.restrictions[request.class_index]:
            if restriction.applies_to(request.criticality, request.tenant):
                return restriction
        return None

    def omits_call(self, request: Request) -> bool:
        """Returns whether the request continues without its downstream call."""
        if not self.level or not request.request_class.skip_weight_factor:
            return False
        restriction = self.restriction_for(request)
        return restriction is not None and restriction.kind is RestrictionKind.OMIT
