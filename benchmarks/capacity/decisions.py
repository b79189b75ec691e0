"""The server's decisions: a request, a tick, a build and a session, by request classes and tenants."""

from benchmarks.capacity import size
from benchmarks.capacity.inputs import controller_of, settings_of
from benchmarks.capacity.limits import ADDED_US, CHANGE, CONTROL_MB, TICK_US
from benchmarks.capacity.measure import PROCESS_TIME, TRACED, cpu_s, memory_of
from benchmarks.capacity.slope import Series, Slope
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import Arrival, Outcome, ServiceLevel

SIZES = (10, 100, 1_000, 10_000, 100_000)
SIZES_QUICK = (10, 40, 160, 640)
BOTH = (5_000, 20_000, 80_000, size.ROUTES)  # request classes; the last is the users' size itself
BOTH_QUICK = (25, 50, 100, 200)
SESSIONS = (5_000, 10_000, 20_000, 40_000)
SESSIONS_QUICK = (50, 100, 200, 400)
REQUESTS = 4_000
TICKS = 2_000
TRIES = 5
FEW = 10  # of what is not varied


def arrival_of(number: int, class_count: int, tenant_count: int) -> Arrival:
    """The request of this number, a session of its own: each class and tenant has its turn."""
    class_index = number % class_count
    tenant = number % tenant_count
    return Arrival(number, class_index, tenant, session_key=number, size_kb=20.0, time_left_ms=2000.0)


def play_requests(
    controller: AdmissionController, requests: int, class_count: int, tenant_count: int, first: int = 1
) -> None:
    """So many requests, one in flight at a time, each class and tenant in turn, a session each."""
    for n in range(first, first + requests):
        controller.advance_to(n * 2.0)
        controller.handle_arrival(
            Arrival(
                n, n % class_count, tenant=n % tenant_count, session_key=n, size_kb=20.0, time_left_ms=2000.0
            )
        )
        controller.take_commands()
        controller.handle_finished(n, Outcome.OK)
        controller.take_commands()


def play_ticks(controller: AdmissionController, ticks: int) -> None:
    """So many ticks with nothing else between."""
    for _ in range(ticks):
        controller.advance_to(controller.now + 40.0)
        controller.tick(0.2, 1.0)
        controller.take_commands()


def request_us(
    class_count: int, tenant_count: int, requests: int, level: ServiceLevel | None = None
) -> float:
    controller = controller_of(settings_of(class_count, tenant_count))
    if level:
        controller.set_service_level(level)
    starts = iter(range(1, 1 << 40, requests))

    def act() -> None:
        play_requests(controller, requests, class_count, tenant_count, next(starts))

    act()
    return cpu_s(act, TRIES) / requests * 1e6


def tick_us(class_count: int, tenant_count: int, ticks: int) -> float:
    """CPU time in microseconds of a tick."""
    controller = controller_of(settings_of(class_count, tenant_count))
    play_requests(controller, ticks, class_count, tenant_count)
    return cpu_s(lambda: play_ticks(controller, ticks), TRIES) / ticks * 1e6


def build_s(class_count: int, tenant_count: int) -> float:
    """CPU time in seconds of making a controller."""
    settings = settings_of(class_count, tenant_count)
    return cpu_s(lambda: controller_of(settings), 2)


def build_mb(class_count: int, tenant_count: int) -> float:
    """Memory in MB of a controller."""
    settings = settings_of(class_count, tenant_count)
    return memory_of(lambda: controller_of(settings)).kept_mb


def session_mb(sessions: int) -> float:
    """Of the session table: what a controller holds more once so many requests have completed."""
    settings = settings_of(10, 10)

    def held() -> AdmissionController:
        controller = controller_of(settings)
        for n in range(1, sessions + 1):  # at one moment, so that none expires
            controller.handle_arrival(
                Arrival(n, n % 10, tenant=n % 10, session_key=n, size_kb=20.0, time_left_ms=2000.0)
            )
            controller.handle_finished(n, Outcome.OK)
            controller.take_commands()
        controller.advance_to(5_000.0)  # past the deadline of each request
        assert len(controller.sessions) == sessions
        return controller

    return memory_of(held).kept_mb


def decisions(quick: bool) -> list[Slope]:
    """All figures of this row."""
    sizes, requests, ticks = (SIZES_QUICK, 20, 20) if quick else (SIZES, REQUESTS, TICKS)
    found: list[Slope] = []
    for name, target in (("products", size.ROUTES), ("tenants", size.TENANTS)):
        pairs = [(n, FEW) if name == "products" else (FEW, n) for n in sizes]
        series = Series("decisions", f"{name}, with {FEW} of the other", sizes, target)
        request, tick = (
            [request_us(*pair, requests) for pair in pairs],
            [tick_us(*pair, ticks) for pair in pairs],
        )
        series.add(f"txn by {name}", "arrival to done, us", PROCESS_TIME, request, ADDED_US)
        series.add(f"tick by {name}", "a tick, us", PROCESS_TIME, tick, TICK_US)
        found += series.slopes
    return [
        *found,
        *_builds(BOTH_QUICK if quick else BOTH),
        *_sessions(SESSIONS_QUICK if quick else SESSIONS),
    ]


def _builds(sizes: tuple[int, ...]) -> list[Slope]:
    """With request classes and tenants in the users' proportion."""
    pairs = [(n, round(n * size.TENANTS / size.ROUTES)) for n in sizes]
    series = Series("decisions", "products, with 3.4 tenants each", sizes, size.ROUTES)
    seconds, kept = [build_s(*pair) for pair in pairs], [build_mb(*pair) for pair in pairs]
    series.add("build", "a Rudder's build, s", PROCESS_TIME, seconds, CHANGE)
    series.add("memory", "a Rudder's memory, MB", TRACED, kept, CONTROL_MB)
    return series.slopes


def _sessions(sizes: tuple[int, ...]) -> list[Slope]:
    series = Series("decisions", "sessions", sizes, size.SESSIONS)
    series.add(
        "sessions", "memory with established sessions, MB", TRACED, list(map(session_mb, sizes)), CONTROL_MB
    )
    return series.slopes
