"""What a figure may be at the users' size, and who says so."""

from benchmarks.capacity import size
from benchmarks.capacity.slope import Limit
from otterrudder.fleet.change import COUNT_INTERVAL_MS
from otterrudder.fleet.records import MAX_TEXT_BYTES

ADDED_US = Limit(size.ADDED_MS * 1000, "1.5 ms added to a request")
TICK_US = Limit(size.CONTROL_CORE / size.TICKS_PER_S * 1e6, "1.3% of a core, 25 ticks a second")
CHANGE = Limit(size.CHANGE_S, "4 s until a change is in force")
CHANGE_MS = Limit(size.CHANGE_S * 1000, "4 s until a change is in force")
TURN_MS = Limit(1000 / size.CHANGE_PER_S, "0.8 changes a second, one open at a time")
CONTROL_MB = Limit(size.CONTROL_MB, "64 MB for control")
CONTROL_CORE = Limit(size.CONTROL_CORE, "1.3% of a core for control")
CONTROL_DAY_S = Limit(size.CONTROL_CORE * size.DAY_S, "1.3% of a core over a day")
CONTROL_BYTES = Limit(size.CONTROL_BYTES_PER_S, "29 KB a second for control")
CALLER_BYTES = Limit(size.CONTROL_BYTES_PER_S, "29 KB a second, the servers' limit taken for a caller")
ONE_CORE = Limit(1.0, "one core, one process")
STAND_IN_CORE = Limit(1.0, "one core of our stand-in's")
EACH_SECOND = Limit(1.0, "one core, each second")
ANSWER_BYTES = Limit(16 * 1024 * 1024.0, "16 MB of an answer, the client's bound")
REQUEST_BYTES = Limit(1.5 * 1024 * 1024, "1.5 MB of a request, the engine's published bound, not run here")
COUNT_S = Limit(COUNT_INTERVAL_MS / 1000 * size.CONTROL_CORE, "1.3% of a core, a count each 250 ms")
TEXT = Limit(float(MAX_TEXT_BYTES), "256 KB of a policy")
# What the engine's project publishes of its own, three machines of 8 cores and 1,000 clients: not run here.
ENGINE_WRITES = Limit(44_341.0, "an engine's published writes a second, not run here")
ENGINE_READS = Limit(141_578.0, "an engine's published reads a second, not run here")
