"""Reads the platform's configuration file and checks the keys that a server needs to start.

The platform defines the file's format, whose settings have keys in camel case. Unknown keys are ignored, and
the whole document is kept unchanged. admission/factory.py reads the settings."""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.admission.factory import create_controller

# Environment variables with the path of a file. Options on the command line take precedence.
CONFIGURATION_VARIABLE = "NODE_CONFIG"
LEVELS_VARIABLE = "OTTERRUDDER_LEVELS"
VRRP_VARIABLE = "OTTERRUDDER_VRRP"
FLEET_VARIABLE = "OTTERRUDDER_FLEET"
RELOADABLE_KEYS = ("runtime", "records", "registry")  # keys of addresses that may change without a restart
MAX_PORT = 65535
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class ConfigurationError(Exception):
    """An error in the configuration. Its message is one line that names the file and the key of the field."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """Resource limits that the platform sets for this process."""

    sockets: _Positive  # maximum number of open file descriptors
    memory_mb: _Positive


class _RequestClass(msgspec.Struct, rename="camel"):
    name: str | None = None
    effect: str | None = None  # an unknown value is treated as the most restrictive one
    window_us: _NonNegative | None = None
    promise_us: _Positive | None = None
    hard_limit_us: _Positive | None = None
    late_worth: _NonNegative | None = None
    worth: _NonNegative | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str | None = None
    share: _NonNegative | None = None
    allowance_per_s: _NonNegative | None = None


class _Clients(msgspec.Struct, rename="camel"):
    marks_retry: bool | None = None


class _FamilyInfo(msgspec.Struct, rename="camel"):
    stop_mode: Literal["silent", "drop", "pause"] | None = None
    calls_out: _NonNegative | None = None
    cores: _NonNegative | None = None
    callers: _NonNegative | None = None
    memory_kb: _NonNegative | None = None
    run_factor: _NonNegative | None = None
    key_kb: _NonNegative | None = None
    caller_idle_us: _NonNegative | None = None
    dep_window_us: _NonNegative | None = None
    linger_us: _NonNegative | None = None
    gauges: list[str] | None = None
    class_calls: list[bool | int | None] | None = None
    class_skip_worth: list[float | None] | None = None
    below: str | None = None
    say: str | None = None
    fresh_start: bool | int | None = None


class _Rules(msgspec.Struct, rename="camel"):
    fall_multiple: _NonNegative | None = None
    cold_from: _NonNegative | None = None
    cold_us: _NonNegative | None = None
    drain_grace_us: _NonNegative | None = None


class _SettingsLimits(msgspec.Struct, rename="camel"):
    max_retry_after_us: _NonNegative | None = None
    retry_after: bool | int | None = None


class _Settings(msgspec.Struct, rename="camel"):
    """The settings object. Keys that are present are checked; admission/factory.py has the defaults."""

    classes: Annotated[list[_RequestClass], msgspec.Meta(min_length=1)]
    realms: list[_Tenant] | None = None
    clients: _Clients | None = None
    family_info: _FamilyInfo | None = None
    rules: _Rules | None = None
    limits: _SettingsLimits | None = None
    me: float | None = None
    tick_us: _NonNegative | None = None
    servers: Annotated[int, msgspec.Meta(ge=1)] | None = None
    over_share_worth: _NonNegative | None = None


class _Document(msgspec.Struct):
    """The whole file. Its top-level keys are in snake case."""

    name: str
    listen: str
    runtime: str
    registry: str
    seed: Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F]+$")]
    stop_ms: _Positive
    limits: ProcessLimits
    settings: _Settings
    records: str | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """A checked configuration. Addresses have the form `host:port`; the settings are unchanged."""

    name: str
    listen: str
    runtime: str
    records: str | None
    registry: str
    seed: int
    stop_ms: float  # time from SIGTERM to the end of the process, in ms
    limits: ProcessLimits
    settings: dict[str, Any]
    document: dict[str, Any]  # the whole file, including keys that this server does not know


def read_configuration(path: str | None) -> Configuration:
    """Reads and checks a configuration file. Raises ConfigurationError with the file and the field."""
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE} is not set; it must name the configuration file")
    return check_configuration(decode_file(path), path)


def decode_file(path: str) -> Any:
    """Returns the value in a JSON file. Raises ConfigurationError with its path if it cannot be read."""
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"cannot read the configuration: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"the configuration {path} is not JSON: {error}") from None


def check_configuration(document: Any, path: str) -> Configuration:
    """Returns the configuration in a document. Raises ConfigurationError if no server could start with it."""
    try:
        checked = msgspec.convert(document, _Document)
        for key in ("listen", *RELOADABLE_KEYS):
            if (value := getattr(checked, key)) is not None:
                parse_address(value, key)
        create_controller(0.0, 0, 1, document["settings"])  # finds errors that the types do not show
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"the configuration {path}: {_put_field_first(str(error))}") from None
    except (TypeError, ValueError, AttributeError, LookupError, ArithmeticError) as error:
        raise ConfigurationError(f"the configuration {path}: settings: {error}") from None
    except ConfigurationError as error:
        raise ConfigurationError(f"the configuration {path}: {error}") from None
    return Configuration(
        name=checked.name,
        listen=checked.listen,
        runtime=checked.runtime,
        records=checked.records,
        registry=checked.registry,
        seed=int(checked.seed, 16),
        stop_ms=checked.stop_ms,
        limits=checked.limits,
        settings=document["settings"],
        document=document,
    )


def _put_field_first(message: str) -> str:
    """Returns a message of msgspec with the field in front of the problem."""
    problem, _, location = message.partition(" - at `$.")
    field = location.rstrip("`")
    return f"{field}: {problem}" if field else problem


def parse_address(text: str, field: str = "address") -> tuple[str, int]:
    """Splits an address of the form `host:port`. An error names the key `field`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigurationError(f"{field}: {text!r} is not an address of the form host:port")
    return host, int(port)
