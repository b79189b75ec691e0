"""Cost of service levels per request: without levels, with idle levels, and with one level in force.

.venv/bin/python benchmarks/levels.py            # pyperf; --fast for a quick look
"""

import sys
import time
from pathlib import Path

import pyperf

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))  # pyperf starts its workers with a reduced environment

from otterrudder.admission.interface import Outcome  # noqa: E402
from otterrudder.files import load_toml  # noqa: E402
from otterrudder.lab.site import InvalidInputError, Site, site_of  # noqa: E402
from otterrudder.levels import LevelController, LevelTable, read_table  # noqa: E402
from otterrudder.net.core import RequestCore  # noqa: E402
from otterrudder.net.requests import RequestFields  # noqa: E402

REQUESTS_PER_TICK = 8  # requests per tick: 200 per second at 25 ticks, the load of a server of the platform
START_LEVELS = {"no levels": "", "levels, full service": "full", "levels, one in force": "checks-when-free"}


def served(loops: int, site: Site, table: LevelTable | None, start: str) -> float:
    """Returns the time of `loops` requests, in s. They run one at a time, with ticks between them."""
    controller = (
        LevelController(LevelTable(table.levels, table.damping, False, start), 0.0) if table else None
    )
    core = RequestCore(site.create_controller(1, 1), site.products, ["busy", "on_cores"], controller)
    now = 0.0
    core.advance_to(now + 1e12, now)
    core.handle_runtime_ready(True, 1e6)
    core.handle_link_established()
    core.take_messages()
    began = time.perf_counter()
    for n in range(loops):
        now += 5.0
        call = f"{n:016x}"
        core.advance_to(now + 1e12, now)
        fields = RequestFields(
            request_id=call,
            received_at=now + 1e12,
            ttl_ms=2000.0,
            size_kb=20.0,
            tenant_index=0,
            session_key=n % 997 + 1,
            is_retry=False,
            idempotency_key="",
            body=b"body",
        )
        core.handle_arrival("connection", n + 1, 0, fields)
        core.take_messages()
        core.advance_to(now + 1e12, now + 2.0)
        core.handle_run_ended(call, Outcome.OK, b"result")
        core.take_messages()
        if n % REQUESTS_PER_TICK == 0:
            core.advance_to(now + 1e12, now + 3.0)
            core.query_gauges()
            core.handle_gauges(core.delivery.last_query, [0.9, 2.0])
            core.tick(0.1)
            core.take_messages()
    return time.perf_counter() - began


def main() -> None:
    site = site_of(load_toml(ROOT / "experiments/sites/intake.toml", InvalidInputError), "intake.toml")
    table = read_table(ROOT / "deploy/levels.toml", site.products, site.tenants)
    runner = pyperf.Runner()
    for name, start in START_LEVELS.items():
        runner.bench_time_func(name, served, site, table if start else None, start)


if __name__ == "__main__":
    main()
