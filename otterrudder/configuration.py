"""The platform's configuration file: read, checked as far as a start needs it, and handed on as it came.

Its form is the platform's own, with keys in camel case: keys beyond those checked here are passed over, and
admission/factory.py reads the settings."""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.admission.factory import create_controller

# Variables of the environment: each names a file, those of the options where the command line does not.
CONFIGURATION_VARIABLE = "NODE_CONFIG"
LEVELS_VARIABLE = "OTTERRUDDER_LEVELS"
VRRP_VARIABLE = "OTTERRUDDER_VRRP"
FLEET_VARIABLE = "OTTERRUDDER_FLEET"
RELOADABLE_KEYS = ("runtime", "records", "registry")  # addresses that may change without a restart
MAX_PORT = 65535
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class ConfigurationError(Exception):
    """What is wrong, in one line that names the file and the field by its key."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the platform leaves to this process."""

    sockets: _Positive  # open descriptors
    memory_mb: _Positive


class _RequestClass(msgspec.Struct, rename="camel"):
    name: str | None = None
    effect: str | None = None  # an unknown word is taken for the one that forbids most
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
    """The factory has defaults for what is absent; the rest has to be of its type."""

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
    """The whole file; its own keys are in snake case."""

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
    """A checked configuration. Addresses are `host:port`; the settings are as the file has them."""

    name: str
    listen: str
    runtime: str
    records: str | None
    registry: str
    seed: int
    stop_ms: float  # from SIGTERM to the end of the process
    limits: ProcessLimits
    settings: dict[str, Any]
    document: dict[str, Any]  # the whole file, with keys that this server does not know


def read_configuration(path: str | None) -> Configuration:
    """The whole configuration; ConfigurationError names the file and the field."""
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE} is not set: it names the configuration file")
    return check_configuration(decode_file(path), path)


def decode_file(path: str) -> Any:
    """What a JSON file holds; ConfigurationError names it."""
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"cannot read the configuration: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"the configuration {path} is not JSON: {error}") from None


def check_configuration(document: Any, path: str) -> Configuration:
    """The configuration that a file's document holds, if a server could start with it."""
    try:
        checked = msgspec.convert(document, _Document)
        for key in ("listen", *RELOADABLE_KEYS):
            if (value := getattr(checked, key)) is not None:
                parse_address(value, key)
        create_controller(0.0, 0, 1, document["settings"])  # valid by its types, and yet no server may start
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"the configuration {path}: {_field_first(str(error))}") from None
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


def _field_first(message: str) -> str:
    """msgspec's message with the field ahead of what is wrong with it."""
    problem, _, location = message.partition(" - at `$.")
    field = location.rstrip("`")
    return f"{field}: {problem}" if field else problem


def parse_address(text: str, field: str = "address") -> tuple[str, int]:
    """Host and port of `host:port`; `field`: the key that it stands under."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigurationError(f"{field}: {text!r} is no address and port")
    return host, int(port)
