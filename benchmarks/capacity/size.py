"""The users' size for the next two years, and what follows from it by arithmetic alone."""

SERVERS = 8_200
CALLERS = 160_000
SERVICES = 3_400
ROUTES = 320_000
TENANTS = 1_100_000
ZONES = 27
REGIONS = 10
SERVER_PER_S = 451.0  # requests a second of a server at the peak
ADDED_MS = 1.5  # added to a request, for 99 in 100
CHANGES_A_DAY = 69_000
CHANGE_PER_S = 0.8
CHANGE_S = 4.0  # within which a change is in force everywhere
CONTROL_CORE = 0.013  # of a core a server may spend on control
CONTROL_MB = 64.0
CONTROL_BYTES_PER_S = 29_000.0
CONTROL_MACHINES = 29
RESTARTS_A_DAY = 14_000
FAILURES_A_DAY = 300
DAY_S = 86_400.0

# Assumptions of ours, each with what changes with it in docs/CAPACITY.md.
SERVERS_OF_A_CALLER = 20  # that a caller holds connections to
SESSION_SLA_S = 1.0  # SLA time of the products that make sessions; one lives ten times as long
TICKS_PER_S = 25.0  # otterrudder/admission/controller.py, TICK_MS
CONNECTIONS = round(CALLERS * SERVERS_OF_A_CALLER / SERVERS)  # a server holds
SESSIONS = round(
    SERVER_PER_S * 10 * SESSION_SLA_S
)  # a server holds at the most: one for each request that settles
