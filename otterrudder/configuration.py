"""The platform's configuration file: read, checked as far as a start needs it, and handed on as it came.

It is the platform's own form: names beyond those checked here are passed over, and the settings are read by
admission/factory.py."""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.admission.factory import create_controller

# Variables of the environment: each names a file, those of the options where the command line does not.
CONFIGURATION_VARIABLE = "NODE_CONFIG"
LEVELS_VARIABLE = "OTTERRUDDER_LEVELS"
VRRP_VARIABLE = "OTTERRUDDER_VRRP"
FLEET_VARIABLE = "OTTERRUDDER_FLEET"
MOVABLE = ("runtime", "records", "registry")  # what a new configuration changes without a restart
_Above0 = Annotated[float, msgspec.Meta(gt=0)]
_NotBelow0 = Annotated[float, msgspec.Meta(ge=0)]


class ConfigurationError(Exception):
    """What is wrong, in one line."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the platform leaves to this process."""

    sockets: _Above0  # open descriptors
    memory_mb: _Above0


class _Class(msgspec.Struct):
    name: str | None = None
    effect: str | None = None  # an unknown word is taken for the one that forbids most
    windowUs: _NotBelow0 | None = None
    promiseUs: _Above0 | None = None
    hardLimitUs: _Above0 | None = None
    lateWorth: _NotBelow0 | None = None
    worth: _NotBelow0 | None = None


class _Realm(msgspec.Struct):
    name: str | None = None
    share: _NotBelow0 | None = None
    allowancePerS: _NotBelow0 | None = None


class _Clients(msgspec.Struct):
    marksRetry: bool | None = None


class _FamilyInfo(msgspec.Struct):
    stopMode: Literal["silent", "drop", "pause"] | None = None
    callsOut: _NotBelow0 | None = None
    cores: _NotBelow0 | None = None
    callers: _NotBelow0 | None = None
    memoryKb: _NotBelow0 | None = None
    runFactor: _NotBelow0 | None = None
    keyKb: _NotBelow0 | None = None
    callerIdleUs: _NotBelow0 | None = None
    depWindowUs: _NotBelow0 | None = None
    lingerUs: _NotBelow0 | None = None
    gauges: list[str] | None = None
    classCalls: list[bool | int | None] | None = None
    classSkipWorth: list[float | None] | None = None
    below: str | None = None
    say: str | None = None
    freshStart: bool | int | None = None


class _Rules(msgspec.Struct):
    fallMultiple: _NotBelow0 | None = None
    coldFrom: _NotBelow0 | None = None
    coldUs: _NotBelow0 | None = None
    drainGraceUs: _NotBelow0 | None = None


class _SiteLimits(msgspec.Struct):
    maxRetryAfterUs: _NotBelow0 | None = None
    retryAfter: bool | int | None = None


class _Settings(msgspec.Struct):
    """The platform's names. The factory has defaults for what is absent; the rest has to be of its kind."""

    classes: Annotated[list[_Class], msgspec.Meta(min_length=1)]
    realms: list[_Realm] | None = None
    clients: _Clients | None = None
    familyInfo: _FamilyInfo | None = None
    rules: _Rules | None = None
    limits: _SiteLimits | None = None
    me: float | None = None
    tickUs: _NotBelow0 | None = None
    servers: Annotated[int, msgspec.Meta(ge=1)] | None = None
    overShareWorth: _NotBelow0 | None = None


class _Configuration(msgspec.Struct):
    name: str
    listen: str
    runtime: str
    registry: str
    seed: Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F]+$")]
    stop_ms: _Above0
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
    stop_ms: float  # from the notice to leave to the end of the process
    limits: ProcessLimits
    settings: dict[str, Any]
    document: dict[str, Any]  # the whole file, with names that this server does not know


def read_configuration(path: str | None) -> Configuration:
    """The whole configuration; ConfigurationError names the file and the field."""
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE} is not set: it names the configuration file")
    return check_configuration(decode_file(path), path)


def decode_file(path: str) -> Any:
    """What a JSON file holds; ConfigurationError names it."""
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as trouble:
        raise ConfigurationError(f"cannot read the configuration: {trouble}") from None
    except (ValueError, RecursionError) as trouble:
        raise ConfigurationError(f"the configuration {path} is not JSON: {trouble}") from None


def check_configuration(told: Any, path: str) -> Configuration:
    """What a file told, if it is a configuration that a server could start with."""
    try:
        checked = msgspec.convert(told, _Configuration)
        for name in ("listen", *MOVABLE):
            if (value := getattr(checked, name)) is not None:
                address(value, name)
        create_controller(0.0, 0, 1, told["settings"])  # what is well formed and yet can't be started with
    except msgspec.ValidationError as trouble:
        what, _, at = str(trouble).partition(" - at `$.")
        where = at.rstrip("`")
        raise ConfigurationError(f"the configuration {path}: {f'{where}: ' if where else ''}{what}") from None
    except (TypeError, ValueError, AttributeError, LookupError, ArithmeticError) as trouble:
        raise ConfigurationError(f"the configuration {path}: settings: {trouble}") from None
    except ConfigurationError as trouble:
        raise ConfigurationError(f"the configuration {path}: {trouble}") from None
    return Configuration(
        name=checked.name,
        listen=checked.listen,
        runtime=checked.runtime,
        records=checked.records,
        registry=checked.registry,
        seed=int(checked.seed, 16),
        stop_ms=checked.stop_ms,
        limits=checked.limits,
        settings=told["settings"],
        document=told,
    )


def address(text: str, name: str = "address") -> tuple[str, int]:
    """Host and port of `host:port`; `name`: the field it stands in."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"{name}: {text!r} is no address and port")
    return host, int(port)
