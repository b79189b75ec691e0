"""Cost of parsing the files of a server: service-level table, configuration and fleet policy."""

import tempfile
from functools import partial
from pathlib import Path

from benchmarks.capacity import size
from benchmarks.capacity.decisions import FIXED_COUNT, request_us
from benchmarks.capacity.inputs import configuration_text, levels_text, policy_text, settings_of
from benchmarks.capacity.limits import (
    ADDED_US,
    CHANGE_S,
    CONTROL_BYTES,
    CONTROL_CPU_S_PER_DAY,
    CONTROL_MB,
    POLICY_BYTES,
)
from benchmarks.capacity.measure import MB, PROCESS_TIME, TRACED, cpu_s, memory_of
from benchmarks.capacity.slope import Series, Slope
from otterrudder.admission.factory import parse_request_classes, parse_tenants
from otterrudder.configuration import read_configuration
from otterrudder.fleet.policy import local_configuration_of
from otterrudder.fleet.policy import parse as parse_policy
from otterrudder.levels import LevelTable, parse_table

TABLE_SIZES = (500, 1_000, 2_000, 4_000, 8_000)
CONFIGURATION_SIZES = (1_000, 3_000, 10_000, 30_000, 100_000)
POLICY_SIZES = (1_000, 3_000, 10_000, 30_000, 100_000)
SIZES_QUICK = (20, 40, 80, 160)
REQUESTS = 4_000


def _table(products: int, tenants: int) -> LevelTable:
    settings = settings_of(products, tenants)
    return parse_table(levels_text(products), parse_request_classes(settings), parse_tenants(settings))


def _levels_of(name: str, sizes: tuple[int, ...], target: int) -> list[Slope]:
    """Measures parse time and memory by products or tenants."""
    seconds, retained = [], []
    for n in sizes:
        products, tenants = (n, FIXED_COUNT) if name == "products" else (FIXED_COUNT, n)
        settings, text = settings_of(products, tenants), levels_text(products)
        read = partial(parse_table, text, parse_request_classes(settings), parse_tenants(settings))
        seconds.append(cpu_s(read, 2))
        retained.append(memory_of(read).retained_mb)
    series = Series("levels", f"{name}, with {FIXED_COUNT} of the other", sizes, target)
    series.add(f"parse by {name}", "reading a table of two levels, s", PROCESS_TIME, seconds, CHANGE_S)
    series.add(f"memory by {name}", "what a table keeps, MB", TRACED, retained, CONTROL_MB)
    return series.slopes


def levels(quick: bool) -> list[Slope]:
    sizes, requests = (SIZES_QUICK, 20) if quick else (TABLE_SIZES, REQUESTS)
    slopes = [*_levels_of("products", sizes, size.ROUTES), *_levels_of("tenants", sizes, size.TENANTS)]
    request = [
        request_us(n, FIXED_COUNT, requests, _table(n, FIXED_COUNT).levels[0].service_level) for n in sizes
    ]
    series = Series("levels", f"products, with {FIXED_COUNT} tenants", sizes, size.ROUTES)
    series.add(
        "txn by products", "arrival to done with a level in force, us", PROCESS_TIME, request, ADDED_US
    )
    return [*slopes, *series.slopes]


def _configuration_of(name: str, sizes: tuple[int, ...], target: int) -> list[Slope]:
    seconds, peak, retained, text = [], [], [], []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        read = partial(read_configuration, str(path))
        for n in sizes:
            path.write_text(
                configuration_text(*((n, FIXED_COUNT) if name == "classes" else (FIXED_COUNT, n)))
            )
            seconds.append(cpu_s(read, 2))
            memory = memory_of(read)
            peak.append(memory.peak_mb)
            retained.append(memory.retained_mb)
            text.append(path.stat().st_size / MB)
    series = Series("configuration", f"{name}, with {FIXED_COUNT} of the other", sizes, target)
    series.add(f"time by {name}", "reading it, s", PROCESS_TIME, seconds, CHANGE_S)
    series.add(f"peak by {name}", "most memory while it is read, MB", TRACED, peak, CONTROL_MB)
    series.add(f"kept by {name}", "memory that stays, MB", TRACED, retained, CONTROL_MB)
    series.add(f"text by {name}", "the file, MB", "bytes", text)
    return series.slopes


def configuration(quick: bool) -> list[Slope]:
    """Measures reading a server configuration file into the settings that the server starts with."""
    sizes = SIZES_QUICK if quick else CONFIGURATION_SIZES
    by_classes = _configuration_of("classes", sizes, size.ROUTES)
    return [*by_classes, *_configuration_of("tenants", sizes, size.TENANTS)]


def policy(quick: bool) -> list[Slope]:
    """Measures parsing a policy that names every tenant. Each server parses it once for each change."""
    sizes = SIZES_QUICK if quick else POLICY_SIZES
    seconds, retained, peak, text_bytes = [], [], [], []
    for n in sizes:
        text = policy_text(n)
        read = partial(parse_policy, text, local_configuration_of(settings_of(FIXED_COUNT, n)))
        seconds.append(cpu_s(read))
        memory = memory_of(read)
        retained.append(memory.retained_mb)
        peak.append(memory.peak_mb)
        text_bytes.append(float(len(text)))
    seconds_per_day = [s * size.CHANGES_PER_DAY for s in seconds]
    bytes_per_s = [count * size.CHANGES_PER_S for count in text_bytes]
    series = Series("policy", "tenants", sizes, size.TENANTS)
    series.add("parse", "judging one change, s", PROCESS_TIME, seconds, CHANGE_S)
    series.add("day", "judging 69,000 changes a day, s", PROCESS_TIME, seconds_per_day, CONTROL_CPU_S_PER_DAY)
    series.add("peak", "most memory while it is judged, MB", TRACED, peak, CONTROL_MB)
    series.add("kept", "memory that stays, MB", TRACED, retained, CONTROL_MB)
    series.add("text", "the text, bytes", "bytes", text_bytes, POLICY_BYTES)
    series.add(
        "bytes", "the text at 0.8 changes a second, bytes a second", "bytes", bytes_per_s, CONTROL_BYTES
    )
    return series.slopes
