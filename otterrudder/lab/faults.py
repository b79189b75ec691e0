"""Injects faults into servers and the downstream service at the times that an experiment file gives."""

from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

from otterrudder.lab.downstream import Downstream
from otterrudder.lab.engine import Engine
from otterrudder.lab.server import Server

FaultKind = Literal["slow", "dead", "freeze", "release", "below"]


class Fault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One fault of an experiment file. An empty `servers` means all servers.

    slow: the servers run slower. dead: their processes are killed and restarted cold after `for_s`.
    freeze: their processes stop and resume. release: the servers are replaced one after another.
    below: the downstream service loses slots.
    """

    kind: FaultKind
    at_s: Annotated[float, msgspec.Meta(ge=0)]
    for_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    servers: list[int] = []
    times: Annotated[float, msgspec.Meta(gt=1)] = 3.0  # for kind slow: factor by which the speed is divided
    size: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5  # for kind below: share of the slots that remain
    # for kind release: time between the shutdowns of two servers
    gap_s: Annotated[float, msgspec.Meta(gt=0)] = 8.0


class EndpointListener:
    """Has an endpoint list: the numbers of the servers that it knows."""

    listed: list[int]


class EndpointNotifier:
    """Tells gateways that a server was added or removed, each gateway after a delay of its own."""

    def __init__(self, engine: Engine, listeners: list[EndpointListener], notice_ms: float) -> None:
        self.engine = engine
        self.listeners = listeners
        self.notice_ms = notice_ms

    def notify_removed(self, server: Server) -> None:
        """Removes a server from the endpoint lists."""
        self._notify(server.number, is_listed=False)

    def notify_added(self, server: Server) -> None:
        """Adds a server to the endpoint lists."""
        self._notify(server.number, is_listed=True)

    def _notify(self, number: int, is_listed: bool) -> None:
        for n, listener in enumerate(self.listeners):
            delay_ms = self.notice_ms * (0.5 + (n + 1) / (len(self.listeners) + 1))
            self.engine.after(delay_ms, self._update, listener, number, is_listed)

    def _update(self, listener: EndpointListener, number: int, is_listed: bool) -> None:
        numbers = set(listener.listed) - {number}
        if is_listed:
            numbers.add(number)
        listener.listed = sorted(numbers)


class FaultTimeline:
    """Injects the faults of a simulation at their times and ends them."""

    def __init__(
        self, engine: Engine, servers: list[Server], downstream: Downstream, notifier: EndpointNotifier
    ) -> None:
        self.engine = engine
        self.servers = servers
        self.downstream = downstream
        self.notifier = notifier

    def schedule(self, faults: Sequence[Fault]) -> None:
        """Schedules all faults."""
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
        span_ms = fault.for_s * 1000
        if fault.kind == "slow":
            server.cores.set_factor(1 / fault.times)
            self.engine.after(span_ms, server.cores.set_factor, 1.0)
        elif fault.kind == "freeze":
            server.set_frozen(True)
            self.engine.after(span_ms, server.set_frozen, False)
        elif fault.kind == "dead":
            server.kill()
            self.notifier.notify_removed(server)
            self.engine.after(span_ms, self._restart, server)
        else:
            self.engine.after(position * fault.gap_s * 1000, self._replace, server, span_ms)

    def _replace(self, server: Server, span_ms: float) -> None:
        """Replaces a server's process: the old process drains and ends, then a new one starts cold."""
        server.begin_shutdown()
        self.notifier.notify_removed(server)
        self.engine.after(server.site.server.stop_ms + span_ms, self._restart, server)

    def _restart(self, server: Server) -> None:
        if not server.is_up:
            server.start(warm=False)
        self.notifier.notify_added(server)
