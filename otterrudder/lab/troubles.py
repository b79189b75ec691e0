"""Troubles on a day's time line: what happens to which servers, when, for how long."""

from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

from otterrudder.lab.below import Below
from otterrudder.lab.engine import Engine
from otterrudder.lab.server import Server

Kind = Literal["slow", "dead", "freeze", "release", "below"]


class Trouble(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`servers` names them by number (all if empty); `below` strikes the records tier."""

    kind: Kind
    at_s: Annotated[float, msgspec.Meta(ge=0)]
    for_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    servers: list[int] = []
    times: Annotated[float, msgspec.Meta(gt=1)] = 3.0  # slow: so many times slower
    size: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5  # below: the share of its slots that is left
    gap_s: Annotated[float, msgspec.Meta(gt=0)] = 8.0  # release: from one server's notice to the next one's


class Timeline:
    def __init__(self, engine: Engine, servers: list[Server], below: Below, notice: "Notice") -> None:
        self.engine, self.servers, self.below, self.notice = engine, servers, below, notice

    def plan(self, troubles: Sequence[Trouble]) -> None:
        for trouble in troubles:
            self.engine.at(trouble.at_s * 1000, self._begin, trouble)

    def _struck(self, trouble: Trouble) -> list[Server]:
        return [self.servers[n] for n in trouble.servers] or self.servers

    def _begin(self, trouble: Trouble) -> None:
        span = trouble.for_s * 1000
        if trouble.kind == "below":
            self.below.size = trouble.size
            self.engine.after(span, setattr, self.below, "size", 1.0)
            return
        for n, server in enumerate(self._struck(trouble)):
            if trouble.kind == "slow":
                server.cores.set_factor(1 / trouble.times)
                self.engine.after(span, server.cores.set_factor, 1.0)
            elif trouble.kind == "freeze":
                server.freeze(True)
                self.engine.after(span, server.freeze, False)
            elif trouble.kind == "dead":
                server.kill()
                self.notice.gone(server)
                self.engine.after(span, self._back, server)
            else:
                self.engine.after(n * trouble.gap_s * 1000, self._leave, server, span)

    def _leave(self, server: Server, span: float) -> None:
        """A release: the old process drains, the new one starts cold once it is gone."""
        server.retire()
        self.notice.gone(server)
        self.engine.after(server.site.server.stop_ms + span, self._back, server)

    def _back(self, server: Server) -> None:
        if not server.is_up:
            server.start(warm=False)
        self.notice.came(server)


class Notice:
    """Gateways hear of a server's coming and going late, each at its own time."""

    def __init__(self, engine: Engine, gateways: "list[Listed]", notice_ms: float) -> None:
        self.engine, self.gateways, self.notice_ms = engine, gateways, notice_ms

    def gone(self, server: Server) -> None:
        self._tell(server.number, False)

    def came(self, server: Server) -> None:
        self._tell(server.number, True)

    def _tell(self, number: int, is_there: bool) -> None:
        for n, gateway in enumerate(self.gateways):
            late = self.notice_ms * (0.5 + (n + 1) / (len(self.gateways) + 1))
            self.engine.after(late, self._hears, gateway, number, is_there)

    def _hears(self, gateway: "Listed", number: int, is_there: bool) -> None:
        known = set(gateway.listed) - {number} | ({number} if is_there else set())
        gateway.listed = sorted(known)


class Listed:
    """What has a list of servers: the gateways."""

    listed: list[int]
