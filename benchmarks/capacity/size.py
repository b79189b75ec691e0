"""Size that the users expect within two years, and values computed from it."""

SERVERS = 8_200
CALLERS = 160_000
SERVICES = 3_400
ROUTES = 320_000
TENANTS = 1_100_000
ZONES = 27
REGIONS = 10
SERVER_REQUESTS_PER_S = 451.0  # peak requests per second of one server
ADDED_MS = 1.5  # 99th percentile of the latency that the server adds to a request, in ms
CHANGES_PER_DAY = 69_000
CHANGES_PER_S = 0.8
CHANGE_S = 4.0  # maximum time until a change is in force on every server, in s
CONTROL_CORE = 0.013  # share of a core that a server may spend on control
CONTROL_MB = 64.0
CONTROL_BYTES_PER_S = 29_000.0
CONTROL_MACHINES = 29
RESTARTS_PER_DAY = 14_000
FAILURES_PER_DAY = 300
DAY_S = 86_400.0

# Assumptions of this project. docs/CAPACITY.md states what depends on each of them.
SERVERS_PER_CALLER = 20  # servers that a caller keeps connections to
SESSION_SLA_S = 1.0  # SLA time of the products that create sessions; a session lives ten times as long
TICKS_PER_S = 25.0  # from TICK_MS in otterrudder/admission/controller.py
CONNECTIONS = round(CALLERS * SERVERS_PER_CALLER / SERVERS)  # connections to one server
SESSIONS = round(
    SERVER_REQUESTS_PER_S * 10 * SESSION_SLA_S
)  # maximum number of sessions of one server: one for each completed request
