"""Faults on a day's time line: what is injected into which servers, when and for how long."""

from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

from otterrudder.lab.downstream import Downstream
from otterrudder.lab.engine import Engine
from otterrudder.lab.server import Server

FaultKind = Literal["slow", "dead", "freeze", "release", "below"]


class Fault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One fault of an experiment's file. An empty `servers` means all of them."""

    kind: FaultKind
    at_s: Annotated[float, msgspec.Meta(ge=0)]
    for_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    servers: list[int] = []
    times: Annotated[float, msgspec.Meta(gt=1)] = 3.0  # slow: so many times slower
    size: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5  # below: the share of its slots that is left
    gap_s: Annotated[float, msgspec.Meta(gt=0)] = 8.0  # release: from one server's notice to the next one's


class EndpointListener:
    """Keeps an endpoint list: the servers that it knows of, by number."""

    listed: list[int]


class EndpointNotifier:
    """Tells gateways late, each at its own time, that a server was added or removed."""

    def __init__(self, engine: Engine, listeners: list[EndpointListener], notice_ms: float) -> None:
        self.engine = engine
        self.listeners = listeners
        self.notice_ms = notice_ms

    def removed(self, server: Server) -> None:
        """The server is gone from the endpoint list."""
        self._notify(server.number, is_listed=False)

    def added(self, server: Server) -> None:
        """The server is on the endpoint list again."""
        self._notify(server.number, is_listed=True)

    def _notify(self, number: int, is_listed: bool) -> None:
        for n, listener in enumerate(self.listeners):
            delay = self.notice_ms * (0.5 + (n + 1) / (len(self.listeners) + 1))
            self.engine.after(delay, self._update, listener, number, is_listed)

    def _update(self, listener: EndpointListener, number: int, is_listed: bool) -> None:
        known = set(listener.listed) - {number}
        if is_listed:
            known.add(number)
        listener.listed = sorted(known)


class FaultTimeline:
    """Injects a day's faults at their times and takes them back."""

    def __init__(
        self, engine: Engine, servers: list[Server], downstream: Downstream, notifier: EndpointNotifier
    ) -> None:
        self.engine = engine
        self.servers = servers
        self.downstream = downstream
        self.notifier = notifier

    def schedule(self, faults: Sequence[Fault]) -> None:
        """Puts all faults on the time line."""
        for fault in faults:
            self.engine.at(fault.at_s * 1000, self._inject, fault)

    def _inject(self, fault: Fault) -> None:
        if fault.kind == "below":
            self._shrink_downstream(fault)
            return
        targets = [self.servers[number] for number in fault.servers] or self.servers
        for n, server in enumerate(targets):
            self._inject_into(server, fault, position=n)

    def _shrink_downstream(self, fault: Fault) -> None:
        self.downstream.size = fault.size
        self.engine.after(fault.for_s * 1000, setattr, self.downstream, "size", 1.0)

    def _inject_into(self, server: Server, fault: Fault, position: int) -> None:
        span = fault.for_s * 1000
        if fault.kind == "slow":
            server.cores.set_factor(1 / fault.times)
            self.engine.after(span, server.cores.set_factor, 1.0)
        elif fault.kind == "freeze":
            server.set_frozen(True)
            self.engine.after(span, server.set_frozen, False)
        elif fault.kind == "dead":
            server.kill()
            self.notifier.removed(server)
            self.engine.after(span, self._restart, server)
        else:
            self.engine.after(position * fault.gap_s * 1000, self._replace, server, span)

    def _replace(self, server: Server, span: float) -> None:
        """A release: the old process drains, the new one starts cold once it is gone."""
        server.begin_shutdown()
        self.notifier.removed(server)
        self.engine.after(server.site.server.stop_ms + span, self._restart, server)

    def _restart(self, server: Server) -> None:
        if not server.is_up:
            server.start(warm=False)
        self.notifier.added(server)
