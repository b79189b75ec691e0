"""Values shared by the tests of the server: the project's root, the start command and settings."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[
    "run"
]  # the command that starts a server in production
SETTINGS = {
    "classes": [
        {"name": "look", "effect": "safe", "worth": 1, "promiseUs": 12e6, "hardLimitUs": 16e6},
        {"name": "pay", "effect": "keyed", "worth": 5, "promiseUs": 12e6, "hardLimitUs": 16e6,
         "windowUs": 20e6},
    ],
    "realms": [{"name": "north", "share": 0.7}, {"name": "south", "share": 0.3}],
    "familyInfo": {"cores": 6, "memoryKb": 80000.0, "runFactor": 4.0, "keyKb": 100.0, "callers": 3,
                   "classCalls": [True, True], "classSkipWorth": [0.0, 0.0], "below": "next_hop",
                   "callerIdleUs": 30e6, "gauges": ["core_use", "on_cores", "heap_share", "links"],
                   "passesDeadline": True, "tellsGone": True, "stopMode": "silent", "say": "tokens"},
    "rules": {"fallMultiple": 8.0, "fallUs": 3e6, "drainGraceUs": 400e3, "coldFrom": 0.2, "coldUs": 1e6},
    "limits": {"maxRetryAfterUs": 1e6, "retryAfter": True},
    "tickUs": 4000,
}  # fmt: skip
