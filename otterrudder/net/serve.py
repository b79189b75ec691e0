"""One server's life: its parts made in order, one task group, SIGTERM, the end."""

import gc
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from otterrudder.boot import boot, gauge_names, products_of, tenants_of
from otterrudder.interface import Effect
from otterrudder.logic import Rudder
from otterrudder.net import core
from otterrudder.net.gateways import Gateways
from otterrudder.net.helm import Helm
from otterrudder.net.log import log
from otterrudder.net.records import Records
from otterrudder.net.registry import Registry
from otterrudder.net.runtime import Runtime

MOVABLE = ("runtime", "records", "registry")  # what a new configuration changes without a restart
RESULTS_SHARE = 0.4  # share of this process's memory that references with their results may take
RESULT_BYTES = 5 * 1024  # bytes of a reference: the longest result, its mark and what both hang on


class BadConfiguration(Exception):
    """What is wrong, in one line."""


def read_configuration(path: str | None) -> dict:
    """The whole configuration, checked as far as the start needs it."""
    if not path:
        raise BadConfiguration("NODE_CONFIG is not set: it names the configuration file")
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise BadConfiguration(f"cannot read the configuration: {trouble}") from None
    except ValueError as trouble:
        raise BadConfiguration(f"the configuration {path} is not JSON: {trouble}") from None
    try:
        for name in ("name", "listen", "runtime", "registry", "seed"):
            if not isinstance(told[name], str):
                raise BadConfiguration(f"{name} in the configuration is no string")
        for name in ("listen", "runtime", "registry", "records"):
            if told.get(name) is not None:
                address(told[name])
        int(told["seed"], 16)
        for value in (told["stop_ms"], told["limits"]["sockets"], told["limits"]["memory_mb"]):
            if type(value) not in (int, float) or value <= 0:
                raise BadConfiguration(f"{value!r} in the configuration is no number above 0")
        if not told["settings"]["classes"] or not products_of(told["settings"]):
            raise BadConfiguration("the settings name no classes")
    except KeyError as trouble:
        raise BadConfiguration(f"the configuration lacks {trouble.args[0]}") from None
    except (TypeError, ValueError, AttributeError) as trouble:
        raise BadConfiguration(f"the configuration is not as it should be: {trouble}") from None
    return told


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise BadConfiguration(f"{text!r} is no address and port")
    return host, int(port)


def run(told: dict) -> int:
    """Serves until the drain is over or SIGTERM comes before the runtime is up."""
    try:
        anyio.run(_serve, told)
    except OSError as trouble:  # before anything is served: the address is taken, or not ours
        log.error("cannot start", why=str(trouble))
        return 1
    return 0


async def _serve(told: dict) -> None:
    heard = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*heard) as signals:  # before anybody can connect
        await _live(told, signals)


async def _live(told: dict, signals: AsyncIterator[signal.Signals]) -> None:
    settings, seed = told["settings"], int(told["seed"], 16)
    products = products_of(settings)
    # A reference outlives its window by an expiry, see core.py.
    kept = [p for p in products if p.effect is Effect.REFERENCED]
    stays = [1 + p.expiry_ms / (p.window_ms or p.expiry_ms) for p in kept]
    refs_most = told["limits"]["memory_mb"] * 1e6 * RESULTS_SHARE / RESULT_BYTES / max(stays, default=1.0)

    def make(now: float, warm: bool, up_ms: float) -> Rudder:
        return boot(now, settings.get("me") or 0, seed, settings, fresh=not warm, up_ms=up_ms,
                    ref_kb=0.0, refs_most=refs_most)  # results lie here, not in the runtime's memory

    tenants = {tenant.name: n for n, tenant in enumerate(tenants_of(settings))}
    the_core = core.Core(make, products, gauge_names(settings))
    helm = Helm(the_core)
    runtime = Runtime(helm, address(told["runtime"]))
    sockets_most = int(told["limits"]["sockets"])
    records = Records(helm, _records(told), sockets_most)
    gateways = Gateways(helm, address(told["listen"]), sockets_most - records.most, tenants)
    registry = Registry(told["name"], address(told["registry"]))
    helm.addresses |= {core.RUNTIME: runtime, core.RECORDS: records, core.GATEWAYS: gateways}
    log.info("listening", address=told["listen"], pid=os.getpid())
    gc.collect()
    gc.freeze()  # what lives as long as the process is not looked through again and again
    async with anyio.create_task_group() as group:
        for actor in (helm, runtime, records, registry):
            group.start_soon(actor.run)
        group.start_soon(_watch, signals, told, helm, runtime, records, registry, gateways)
        await gateways.run(group)
        group.cancel_scope.cancel()
    log.info("left", unanswered=sum(not txn.answered for txn in the_core.txns.values()))


def _records(told: dict) -> tuple[str, int] | None:
    return address(told["records"]) if told.get("records") else None


async def _watch(signals: AsyncIterator[signal.Signals], told: dict, helm: Helm, runtime: Runtime,
                 records: Records, registry: Registry, gateways: Gateways) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            told = _reload(told, runtime, records, registry)
            continue
        if not helm.core.rudder:
            gateways.closing.set()
        registry.draining = True
        helm.post(helm.core.retire, told["stop_ms"])


def _reload(told: dict, runtime: Runtime, records: Records, registry: Registry) -> dict:
    """Takes new addresses from the configuration file; one that is no good leaves the old in force."""
    try:
        new = read_configuration(os.environ.get("NODE_CONFIG"))
    except BadConfiguration as trouble:
        log.error("configuration not taken", why=str(trouble))
        return told
    moved = [name for name in MOVABLE if new.get(name) != told.get(name)]
    fixed = {name for name in told.keys() | new.keys() if new.get(name) != told.get(name)} - {*MOVABLE}
    if "runtime" in moved:
        runtime.move(address(new["runtime"]))
    if "records" in moved:
        records.move(_records(new))
    if "registry" in moved:
        registry.address = address(new["registry"])
    log.info("configuration taken", moved=moved)
    if fixed:
        log.warning("a restart is needed for what else has changed", names=sorted(fixed))
    return told | {name: new.get(name) for name in MOVABLE}
