"""The daemon's settings: read from YAML, validated, as frozen data classes."""

from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Annotated, Any, Final, get_type_hints

import msgspec
import yaml
from msgspec import Meta

Port = Annotated[int, Meta(ge=1, le=65535)]
Duration = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]

EXIT_INVALID_SETTINGS: Final = 2


class InvalidSettings(ValueError):
    """The settings are invalid; the message names file, key, value and rule."""


@dataclass(frozen=True)
class Address:
    """A host and port to listen on."""

    host: str
    port: Port


@dataclass(frozen=True)
class Platform:
    """The addresses of the platform's services, and how they are polled."""

    object_api: str
    vm_list: str
    object_api_timeout: Duration = 1.0
    watch_wait: Duration = 30.0
    vm_list_period: Duration = 2.0


@dataclass(frozen=True)
class Timing:
    """Intervals and time limits of the control plane, in seconds.

    Required: ``ack_timeout`` < ``heartbeat``, ``pause_limit`` < ``suspicion`` and
    ``permit_margin`` < ``permit_life``.
    """

    tick: Duration = 0.1
    heartbeat: Duration = 0.5
    ack_timeout: Duration = 0.25
    suspicion: Duration = 2.0
    pause_limit: Duration = 1.2
    settle: Duration = 1.5
    hold_down: Duration = 2.0
    isolated_claim: Duration = 15.0
    lease: Duration = 3.0
    order_timeout: Duration = 10.0
    permit_life: Duration = 1.5
    permit_margin: Duration = 0.3
    permit_idle: Duration = 0.3
    ask_refresh: Duration = 0.4
    report_period: Duration = 0.5
    patience: Duration = 6.0
    hand_over_timeout: Duration = 2.0


@dataclass(frozen=True)
class Limits:
    """Limits on the resources that callers may use of one daemon.

    ``memory_mb``, in 10^6 bytes, and ``descriptors`` are those of the VM and the
    process; 0 stands for what the process itself is allowed.
    """

    memory_mb: Annotated[int, Meta(ge=0)] = 0
    descriptors: Annotated[int, Meta(ge=0)] = 0
    body_bytes: Count = 1_000_000
    header_bytes: Count = 16_384
    concurrent_requests: Count = 512
    waiting_requests: Count = 256
    asks_per_endpoint: Count = 256
    idle: Duration = 30.0
    first_token: Duration = 10.0
    between_tokens: Duration = 5.0
    default_deadline: Duration = 30.0
    longest_deadline: Duration = 300.0
    retry_share: Annotated[float, Meta(ge=0, le=1)] = 0.1
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    breaker_failures: Count = 3
    breaker_open: Duration = 2.0
    claim_retention: Annotated[float, Meta(gt=0)] = 86_400.0


@dataclass(frozen=True)
class Placement:
    """The policy for choosing endpoints and evicting adapters, and the load budget."""

    policy: str = "affinity"
    homes: Annotated[int, Meta(ge=1, le=64)] = 2
    loads_per_second: Annotated[float, Meta(gt=0)] = 9.0
    loads_at_once: Count = 4
    demand_half_life: Duration = 20.0
    batch_fill: Annotated[float, Meta(ge=0.5, le=4)] = 1.0


@dataclass(frozen=True)
class Logging:
    """The log level and format."""

    level: str = "INFO"
    format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"


@dataclass(frozen=True)
class Settings:
    """All settings of one daemon."""

    vm: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    data_centre: str
    callers: Address
    peers: Address
    operators: Address
    platform: Platform
    config_watchers: Count = 2
    stale_after: Duration = 30.0
    stop_notice: Annotated[float, Meta(ge=0, le=600)] = 1.0
    stop_limit: Duration = 60.0
    invariants: Annotated[str, Meta(pattern="^(count|raise)$")] = "count"
    timeline_events: Count = 20_000
    timing: Timing = field(default_factory=Timing)
    limits: Limits = field(default_factory=Limits)
    placement: Placement = field(default_factory=Placement)
    logging: Logging = field(default_factory=Logging)


def _find_unknown_key(plain: Any, of_type: Any, prefix: str) -> str | None:
    """Return an error for the first key that ``of_type`` does not have, or None."""
    if not (isinstance(plain, dict) and is_dataclass(of_type)):
        return None
    hints = get_type_hints(of_type)
    known = [each.name for each in fields(of_type)]
    for key, value in plain.items():
        path = f"{prefix}.{key}".lstrip(".")
        if key not in known:
            return f"{path}: unknown key; allowed are {', '.join(known)}"
        nested = _find_unknown_key(value, hints[key], path)
        if nested is not None:
            return nested
    return None


def _get_value(plain: Any, path: str) -> Any:
    for step in path.split("."):
        if not isinstance(plain, dict) or step not in plain:
            return None
        plain = plain[step]
    return plain


def _check_order(timing: Timing) -> str | None:
    """Return an error for the first pair of times in the wrong order, or None."""
    if timing.ack_timeout >= timing.heartbeat:
        return "timing.ack_timeout: must be below timing.heartbeat"
    if timing.pause_limit >= timing.suspicion:
        return "timing.pause_limit: must be below timing.suspicion"
    if timing.permit_margin >= timing.permit_life:
        return "timing.permit_margin: must be below timing.permit_life"
    return None


def check_settings(plain: Any, source: str) -> Settings:
    """Return the settings in ``plain``; raises ``InvalidSettings``."""
    if not isinstance(plain, dict):
        raise InvalidSettings(f"{source}: the top level must be a mapping")
    unknown = _find_unknown_key(plain, Settings, "")
    if unknown is not None:
        raise InvalidSettings(f"{source}: {unknown}")
    try:
        settings = msgspec.convert(plain, Settings)
    except msgspec.ValidationError as error:
        rule, _, path = str(error).partition(" - at `$.")
        path = path.rstrip("`")
        value = _get_value(plain, path)
        shown = f"{path} = {value!r}: " if path else ""
        raise InvalidSettings(f"{source}: {shown}{rule}") from error
    problem = _check_order(settings.timing)
    if problem is not None:
        raise InvalidSettings(f"{source}: {problem}")
    return settings


def load_settings(path: Path) -> Settings:
    """Return the checked settings of a file; raises ``InvalidSettings``."""
    try:
        plain = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidSettings(f"{path}: cannot be read: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise InvalidSettings(
            f"{path}: not YAML: {' '.join(str(error).split())}"
        ) from error
    return check_settings(plain, str(path))
