"""The settings of the cluster's servers, and constants for the fake gateways and runtimes."""

REQUEST_TTL_MS = 4000  # maximum time that a gateway waits for an answer
SAFE_PRODUCT = "look"
KEYED_PRODUCT = "pay"  # its requests carry an idempotency key
PRODUCTS = (SAFE_PRODUCT, KEYED_PRODUCT)
RETENTION_US = 20e6  # retention of an idempotency key
STOP_MS = 2000  # maximum duration of a server's drain

SETTINGS: dict[str, object] = {
    "classes": [
        {"name": SAFE_PRODUCT, "effect": "safe", "worth": 1, "promiseUs": 2e6, "hardLimitUs": 4e6},
        {
            "name": KEYED_PRODUCT,
            "effect": "keyed",
            "worth": 5,
            "promiseUs": 2e6,
            "hardLimitUs": 4e6,
            "windowUs": RETENTION_US,
        },
    ],
    "realms": [{"name": "north", "share": 1.0}],
    "familyInfo": {
        "cores": 6,
        "memoryKb": 80000.0,
        "runFactor": 4.0,
        "keyKb": 100.0,
        "callers": 3,
        "classCalls": [False, False],
        "callerIdleUs": 30e6,
        "passesDeadline": True,
        "tellsGone": True,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "stopMode": "silent",
        "say": "tokens",
    },
    "rules": {"fallMultiple": 8.0, "fallUs": 3e6, "drainGraceUs": 400e3},
    "limits": {"maxRetryAfterUs": 1e6, "retryAfter": True},
    "tickUs": 20000,
}
