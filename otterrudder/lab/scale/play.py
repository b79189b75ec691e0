"""Runs the cases of an experiment and computes the figures of each run. All times are simulated except CPU
time."""

import gc
import itertools
import statistics
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import process_time

from otterrudder.lab.scale.experiment import Experiment
from otterrudder.lab.scale.history_checker import ChangeTimes
from otterrudder.lab.scale.network import Traffic
from otterrudder.lab.scale.simulation import BASELINE_MS, Setting, Simulation

ON_TIME_MS = 4000.0  # from the proposal of a change until it is in force on all servers


@dataclass(frozen=True, slots=True)
class Run:
    """The figures of one run by name, and notes on its breaches, aborted changes and faults."""

    setting: Setting
    figures: dict[str, float]
    notes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Reading:
    """The values of all counters at one time."""

    at_ms: float
    store: dict[str, int]
    watch_events: int
    received: Traffic
    sent: Traffic
    connects: int

    @staticmethod
    def of(simulation: Simulation) -> "_Reading":
        hosts = simulation.relays.hosts
        return _Reading(
            simulation.events.now,
            dict(simulation.store.counts),
            simulation.relays.watch_events,
            _sum(host.received for host in hosts),
            _sum(host.sent for host in hosts),
            simulation.servers.connects,
        )


def _sum(traffics: Iterator[Traffic]) -> Traffic:
    total = Traffic()
    for traffic in traffics:
        total.messages += traffic.messages
        total.size += traffic.size
    return total


def settings_of(
    experiment: Experiment,
    *,
    is_quick: bool = False,
    seed: int | None = None,
    servers: int | None = None,
    names: tuple[str, ...] = (),
    minutes: float | None = None,
) -> list[Setting]:
    """Returns the settings of all selected runs of an experiment."""
    settings = []
    for case in experiment.case:
        if is_quick and not case.is_quick or names and case.name not in names:
            continue
        sizes = experiment.quick_servers if is_quick else case.sizes
        span = experiment.quick_minutes if is_quick else case.minutes or experiment.minutes
        seeds = experiment.seeds[:1] if is_quick else case.seeds or experiment.seeds
        combinations = itertools.product(
            (servers,) if servers else sizes,
            case.regions or (None,),
            case.absent,
            seeds if seed is None else (seed,),
        )
        settings += [Setting(case, *combination, minutes or span) for combination in combinations]
    return settings


def play(
    experiment: Experiment,
    setting: Setting,
    make_simulation: Callable[[Experiment, Setting], Simulation] = Simulation,
) -> Run:
    """Simulates one run to its end and returns its figures."""
    simulation = make_simulation(experiment, setting)
    readings: list[_Reading] = []
    simulation.events.at(simulation.begin_ms - BASELINE_MS, _read, simulation, readings)
    simulation.events.at(simulation.begin_ms, _read, simulation, readings)
    gc.collect()
    gc.freeze()
    gc.disable()  # there are hardly any reference cycles, and collecting over a whole fleet is slow
    began = process_time()
    try:
        simulation.play()
    finally:
        gc.enable()
        gc.unfreeze()
    cpu_s = process_time() - began
    _read(simulation, readings)
    return Run(setting, _figures(simulation, readings, cpu_s), _notes(simulation))


def _read(simulation: Simulation, readings: list[_Reading]) -> None:
    readings.append(_Reading.of(simulation))


def _notes(simulation: Simulation) -> tuple[str, ...]:
    history = simulation.history
    faults = ", ".join(f"{count} {kind}" for kind, count in sorted(simulation.churn.counts.items()))
    return (*history.breach_descriptions, *history.aborted[:3], f"churn: {faults or 'none'}")


def _figures(simulation: Simulation, readings: list[_Reading], cpu_s: float) -> dict[str, float]:
    baseline, begin, end = readings
    return {
        **_change_figures(simulation),
        **_store_figures(simulation, baseline, begin, end),
        **_wire_figures(simulation, baseline, begin, end),
        **_suspension_figures(simulation),
        **_cpu_figures(simulation),
        "cells": float(len(simulation.topology.zones)),
        "breaches": float(simulation.history.breaches),
        "oldest_ms": simulation.history.max_stale_ms,
        "events": float(simulation.events.executed),
        "cpu_s": cpu_s,
    }


def _change_figures(simulation: Simulation) -> dict[str, float]:
    changes = list(simulation.history.changes.values())
    committed = [change for change in changes if change.version and change.in_force_at < float("inf")]
    latencies = sorted(change.latency_ms for change in committed) or [float("nan")]
    on_time = sum(change.latency_ms <= ON_TIME_MS for change in committed)
    figures = {
        "asked": float(simulation.proposers.proposed),
        "committed": float(simulation.history.version),
        "aborted": float(len(simulation.history.aborted)),
        "never_opened": float(sum(change.opened_at == float("inf") for change in changes)),
        "in_4_s": on_time / max(len(changes), 1),
        "took_p50_ms": _percentile(latencies, 0.5),
        "took_p99_ms": _percentile(latencies, 0.99),
        "took_max_ms": latencies[-1],
    }
    return figures | _stage_medians(committed)


def _stage_medians(committed: list[ChangeTimes]) -> dict[str, float]:
    """Returns the median time that a committed change spent in each stage, in ms."""
    if not committed:
        return {}
    stages = {
        "queueing_ms": [change.queued_at - change.proposed_at for change in committed],
        "waiting_ms": [change.opened_at - change.queued_at for change in committed],
        "voting_ms": [change.ended_at - change.opened_at for change in committed],
        "spreading_ms": [change.in_force_at - change.ended_at for change in committed],
    }
    return {name: statistics.median(values) for name, values in stages.items()}


def _percentile(sorted_values: list[float], share: float) -> float:
    return sorted_values[min(int(len(sorted_values) * share), len(sorted_values) - 1)]


def _store_figures(
    simulation: Simulation, baseline: _Reading, begin: _Reading, end: _Reading
) -> dict[str, float]:
    """Returns the store requests per change, without those that an idle fleet makes in the same time."""
    changes = max(simulation.history.version, 1)
    baseline_s = (begin.at_ms - baseline.at_ms) / 1000.0
    load_s = (end.at_ms - begin.at_ms) / 1000.0
    figures = {}
    for name in ("reads", "writes", "renewals"):
        baseline_per_s = (begin.store.get(name, 0) - baseline.store.get(name, 0)) / baseline_s
        added = end.store.get(name, 0) - begin.store.get(name, 0) - baseline_per_s * load_s
        figures[f"{name}_a_change"] = added / changes
        figures[f"{name}_calm_per_s"] = baseline_per_s
    figures["watch_events_a_change"] = (end.watch_events - begin.watch_events) / changes
    return figures


def _wire_figures(
    simulation: Simulation, baseline: _Reading, begin: _Reading, end: _Reading
) -> dict[str, float]:
    """Returns the messages and bytes of both directions together: per server, and of the control machine with
    the most traffic."""
    servers = len(simulation.servers.hosts)
    network = simulation.experiment.network
    load_s = (end.at_ms - begin.at_ms) / 1000.0
    baseline_s = (begin.at_ms - baseline.at_ms) / 1000.0
    connects = end.connects - begin.connects
    messages = _messages(end) - _messages(begin) + connects * network.connect_messages
    size = _size(end) - _size(begin) + connects * network.connect_bytes
    run_s = simulation.events.now / 1000.0
    busiest: dict[int, Traffic] = {}
    for host in simulation.relays.hosts:
        traffic = busiest.setdefault(host.zone.number, Traffic())
        traffic.messages += host.received.messages + host.sent.messages
        traffic.size += host.received.size + host.sent.size
    return {
        "server_messages_per_s": messages / servers / load_s,
        "server_bytes_per_s": size / servers / load_s,
        "server_messages_calm_per_s": (_messages(begin) - _messages(baseline)) / servers / baseline_s,
        "server_bytes_calm_per_s": (_size(begin) - _size(baseline)) / servers / baseline_s,
        "relay_messages_per_s": max(traffic.messages for traffic in busiest.values()) / run_s,
        "relay_bytes_per_s": max(traffic.size for traffic in busiest.values()) / run_s,
        "connects": float(connects),
        "messages": float(messages),
        "bytes": float(size),
        "peer_messages": float(simulation.relays.peer_messages),
    }


def _messages(reading: _Reading) -> int:
    return reading.received.messages + reading.sent.messages


def _size(reading: _Reading) -> int:
    return reading.received.size + reading.sent.size


def _suspension_figures(simulation: Simulation) -> dict[str, float]:
    servers = simulation.servers
    samples = max(servers.samples, 1)
    figures = {f"aside_{cause}": count / samples for cause, count in sorted(servers.suspended.items())}
    scripted = simulation.setting.case.faults
    first_s = scripted[0].at_s if scripted else 0.0
    suspended_s = servers.last_suspended_at / 1000.0 - first_s
    return {
        "aside": servers.suspended.total() / samples,
        "aside_server_s": servers.suspended.total() * simulation.setting.case.look_ms / 1000.0,
        # time of the last suspension, from the first scripted fault
        "aside_until_s": max(suspended_s, 0.0) if scripted else 0.0,
        **figures,
    }


def _cpu_figures(simulation: Simulation) -> dict[str, float]:
    """Returns the CPU time of participants and relays, without the simulator, per simulated second."""
    servers, relays = simulation.servers, simulation.relays
    server_seconds = len(servers.hosts) * simulation.events.now / 1000.0
    relay_ms = relays.message_cpu.total_ms + relays.store_cpu.total_ms
    cells = len(simulation.topology.zones)
    return {
        "server_cpu_us_per_s": servers.cpu.total_ms * 1000.0 / server_seconds,
        "relay_cpu_us_per_server_s": relay_ms * 1000.0 / server_seconds,
        "relay_cpu_ms_per_s": relay_ms / cells / (simulation.events.now / 1000.0),
    }
