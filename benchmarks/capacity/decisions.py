"""Cost of requests, ticks, controller builds and sessions by the number of request classes and tenants."""

from benchmarks.capacity import size
from benchmarks.capacity.inputs import controller_of, settings_of
from benchmarks.capacity.limits import ADDED_US, CHANGE_S, CONTROL_MB, TICK_US
from benchmarks.capacity.measure import PROCESS_TIME, TRACED, cpu_s, memory_of
from benchmarks.capacity.slope import Series, Slope
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import Arrival, Outcome, ServiceLevel

SIZES = (10, 100, 1_000, 10_000, 100_000)
SIZES_QUICK = (10, 40, 160, 640)
BUILD_SIZES = (5_000, 20_000, 80_000, size.ROUTES)  # numbers of request classes; the last is the users' size
BUILD_SIZES_QUICK = (25, 50, 100, 200)
SESSIONS = (5_000, 10_000, 20_000, 40_000)
SESSIONS_QUICK = (50, 100, 200, 400)
REQUESTS = 4_000
TICKS = 2_000
REPEATS = 5
FIXED_COUNT = 10  # size of the dimension that is not varied


def arrival_of(number: int, class_count: int, tenant_count: int) -> Arrival:
    """Returns the arrival with this number, with rotating class and tenant and a session of its own."""
    class_index = number % class_count
    tenant = number % tenant_count
    return Arrival(number, class_index, tenant, session_key=number, size_kb=20.0, time_left_ms=2000.0)


def play_requests(
    controller: AdmissionController, requests: int, class_count: int, tenant_count: int, first: int = 1
) -> None:
    """Plays requests one at a time, with rotating class and tenant and a session of its own for each."""
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
    """Plays consecutive ticks without requests between them."""
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
    first_numbers = iter(range(1, 1 << 40, requests))

    def play() -> None:
        play_requests(controller, requests, class_count, tenant_count, next(first_numbers))

    play()
    return cpu_s(play, REPEATS) / requests * 1e6


def tick_us(class_count: int, tenant_count: int, ticks: int) -> float:
    """Returns the CPU time of a tick, in us."""
    controller = controller_of(settings_of(class_count, tenant_count))
    play_requests(controller, ticks, class_count, tenant_count)
    return cpu_s(lambda: play_ticks(controller, ticks), REPEATS) / ticks * 1e6


def build_s(class_count: int, tenant_count: int) -> float:
    """Returns the CPU time of building a controller, in s."""
    settings = settings_of(class_count, tenant_count)
    return cpu_s(lambda: controller_of(settings), 2)


def build_mb(class_count: int, tenant_count: int) -> float:
    """Returns the memory of a controller, in MB."""
    settings = settings_of(class_count, tenant_count)
    return memory_of(lambda: controller_of(settings)).retained_mb


def session_mb(sessions: int) -> float:
    """Returns the memory of a controller with the given number of sessions, in MB."""
    settings = settings_of(10, 10)

    def build_with_sessions() -> AdmissionController:
        controller = controller_of(settings)
        for n in range(1, sessions + 1):  # all at the same time, so that no session expires
            controller.handle_arrival(
                Arrival(n, n % 10, tenant=n % 10, session_key=n, size_kb=20.0, time_left_ms=2000.0)
            )
            controller.handle_finished(n, Outcome.OK)
            controller.take_commands()
        controller.advance_to(5_000.0)  # after the deadline of every request
        assert len(controller.sessions) == sessions
        return controller

    return memory_of(build_with_sessions).retained_mb


def decisions(quick: bool) -> list[Slope]:
    """Returns the slopes of this row."""
    sizes, requests, ticks = (SIZES_QUICK, 20, 20) if quick else (SIZES, REQUESTS, TICKS)
    slopes: list[Slope] = []
    for name, target in (("products", size.ROUTES), ("tenants", size.TENANTS)):
        pairs = [(n, FIXED_COUNT) if name == "products" else (FIXED_COUNT, n) for n in sizes]
        series = Series("decisions", f"{name}, with {FIXED_COUNT} of the other", sizes, target)
        request, tick = (
            [request_us(*pair, requests) for pair in pairs],
            [tick_us(*pair, ticks) for pair in pairs],
        )
        series.add(f"txn by {name}", "arrival to done, us", PROCESS_TIME, request, ADDED_US)
        series.add(f"tick by {name}", "a tick, us", PROCESS_TIME, tick, TICK_US)
        slopes += series.slopes
    return [
        *slopes,
        *_builds(BUILD_SIZES_QUICK if quick else BUILD_SIZES),
        *_sessions(SESSIONS_QUICK if quick else SESSIONS),
    ]


def _builds(sizes: tuple[int, ...]) -> list[Slope]:
    """Measures controller builds with request classes and tenants in the users' proportion."""
    pairs = [(n, round(n * size.TENANTS / size.ROUTES)) for n in sizes]
    series = Series("decisions", "products, with 3.4 tenants each", sizes, size.ROUTES)
    seconds, memory = [build_s(*pair) for pair in pairs], [build_mb(*pair) for pair in pairs]
    series.add("build", "a controller's build, s", PROCESS_TIME, seconds, CHANGE_S)
    series.add("memory", "a controller's memory, MB", TRACED, memory, CONTROL_MB)
    return series.slopes


def _sessions(sizes: tuple[int, ...]) -> list[Slope]:
    series = Series("decisions", "sessions", sizes, size.SESSIONS)
    series.add(
        "sessions", "memory with established sessions, MB", TRACED, list(map(session_mb, sizes)), CONTROL_MB
    )
    return series.slopes
