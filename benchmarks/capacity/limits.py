"""Limits of the measured figures at the users' size, each with its source."""

from benchmarks.capacity import size
from benchmarks.capacity.slope import Limit
from otterrudder.fleet.change import COUNT_INTERVAL_MS
from otterrudder.fleet.records import MAX_TEXT_BYTES

ADDED_US = Limit(size.ADDED_MS * 1000, "1.5 ms added to a request")
TICK_US = Limit(size.CONTROL_CORE / size.TICKS_PER_S * 1e6, "1.3% of a core, 25 ticks a second")
CHANGE_S = Limit(size.CHANGE_S, "4 s until a change is in force")
CHANGE_MS = Limit(size.CHANGE_S * 1000, "4 s until a change is in force")
CHANGE_INTERVAL_MS = Limit(1000 / size.CHANGES_PER_S, "0.8 changes a second, one open at a time")
CONTROL_MB = Limit(size.CONTROL_MB, "64 MB for control")
CONTROL_CORE = Limit(size.CONTROL_CORE, "1.3% of a core for control")
CONTROL_CPU_S_PER_DAY = Limit(size.CONTROL_CORE * size.DAY_S, "1.3% of a core over a day")
CONTROL_BYTES = Limit(size.CONTROL_BYTES_PER_S, "29 KB a second for control")
CALLER_BYTES = Limit(size.CONTROL_BYTES_PER_S, "29 KB a second, the servers' limit taken for a caller")
ONE_CORE = Limit(1.0, "one core, one process")
STAND_IN_CORE = Limit(1.0, "one core of our stand-in's")
CPU_S_PER_S = Limit(1.0, "one core, each second")
RESPONSE_BYTES = Limit(16 * 1024 * 1024.0, "16 MB of an answer, the client's bound")
REQUEST_BYTES = Limit(1.5 * 1024 * 1024, "1.5 MB of a request, the engine's published bound, not run here")
COUNT_S = Limit(COUNT_INTERVAL_MS / 1000 * size.CONTROL_CORE, "1.3% of a core, a count each 250 ms")
POLICY_BYTES = Limit(float(MAX_TEXT_BYTES), "256 KB of a policy")
# Benchmark results published by the engine's project for three machines of 8 cores and 1,000 clients. They
# were not reproduced here.
ENGINE_WRITES = Limit(44_341.0, "an engine's published writes a second, not run here")
ENGINE_READS = Limit(141_578.0, "an engine's published reads a second, not run here")
