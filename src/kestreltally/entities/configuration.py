"""The operators' configuration: models, adapters, rules, callers and endpoints.

The object API stores each object under ``config/<kind>/<name>``. Changes take effect in
the order of the API's revision, which only increases.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta

from kestreltally.entities.ids import Revision

CONFIG_PREFIX: Final = "config/"
NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ANY: Final = "*"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Positive = Annotated[int, Meta(ge=1)]


class Effect(Enum):
    """The effect of a rule on the requests that it matches."""

    ALLOW = "allow"
    DENY = "deny"


class WhenStale(Enum):
    """How to treat a request while the configuration revision cannot be confirmed."""

    SERVE = "serve"
    REFUSE = "refuse"


class EndpointKind(Enum):
    """The kinds of endpoints."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Model:
    """A base model that engines run."""

    name: Name
    description: str = ""


@dataclass(frozen=True)
class Adapter:
    """A LoRA adapter: its base model, its versions and the current one."""

    name: Name
    model: Name
    versions: tuple[Positive, ...] = ()
    current: int = 0
    previous: int = 0
    pinned_to: tuple[Name, ...] = ()


@dataclass(frozen=True)
class Rule:
    """Which caller may use which adapter; ``*`` matches any; deny overrides allow."""

    name: Name
    caller: str
    adapter: str
    effect: Effect
    when_stale: WhenStale = WhenStale.SERVE

    def matches(self, caller: str, adapter: str) -> bool:
        """Return whether the rule applies to this caller and adapter."""
        return self.caller in (ANY, caller) and self.adapter in (ANY, adapter)


@dataclass(frozen=True)
class Caller:
    """A caller: the digests of its valid keys, and its limits."""

    name: Name
    key_digests: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    requests_per_second: Annotated[float, Meta(gt=0)] = 100.0
    concurrent: Positive = 64
    priority: Annotated[int, Meta(ge=0, le=2)] = 1


@dataclass(frozen=True)
class Endpoint:
    """A model engine or a plain service.

    ``checks_fence`` is set if it refuses orders of an older epoch. ``vm`` is its name
    in the VM list, which shows when it is leaving.
    """

    name: Name
    kind: EndpointKind
    url: Annotated[str, Meta(pattern=r"^https?://")]
    data_centre: str
    model: str = ""
    vm: str = ""
    prefix: str = ""
    slots: Positive = 4
    batch_limit: Positive = 8
    checks_fence: bool = True
    draining: bool = False
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


ConfigValue = Model | Adapter | Rule | Caller | Endpoint

KINDS: Final[dict[str, type[ConfigValue]]] = {
    "model": Model,
    "adapter": Adapter,
    "rule": Rule,
    "caller": Caller,
    "endpoint": Endpoint,
}


class MalformedObject(ValueError):
    """A configuration object is malformed; the message names its key and field."""


@dataclass(frozen=True)
class StoredConfig:
    """The form in which the object API stores an object: its value and who wrote it.

    A deleted object is stored without a value, so that the deletion has a revision.
    ``at`` is in seconds since 1970 by the operator's clock.
    """

    by: str
    at: float
    change: str
    value: dict[str, Any] | None


@dataclass(frozen=True)
class ConfigObject:
    """An object with the revision that wrote it; ``value`` is None once deleted."""

    kind: str
    name: str
    revision: Revision
    value: ConfigValue | None
    by: str = ""
    at: float = 0.0
    change: str = ""


def make_config_key(kind: str, name: str) -> str:
    """Return the key of an object in the object API."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def parse_config_object(key: str, value: Any, revision: Revision) -> ConfigObject:
    """Return the validated object that the object API stores under ``key``.

    Raises ``MalformedObject``, which names the key and the field.
    """
    kind, _, name = key.removeprefix(CONFIG_PREFIX).partition("/")
    if kind not in KINDS or not name:
        raise MalformedObject(f"{key}: the kind is not one of {', '.join(KINDS)}")
    try:
        stored = msgspec.convert(value, StoredConfig)
        parsed = None
        if stored.value is not None:
            parsed = msgspec.convert(stored.value, KINDS[kind])
    except msgspec.ValidationError as error:
        raise MalformedObject(f"{key}: {error}") from error
    if parsed is not None and parsed.name != name:
        raise MalformedObject(f"{key}: the value is named {parsed.name!r}")
    return ConfigObject(
        kind=kind,
        name=name,
        revision=revision,
        value=parsed,
        by=stored.by,
        at=stored.at,
        change=stored.change,
    )


def encode_config_object(changed: ConfigObject) -> dict[str, Any]:
    """Return the form in which the object API stores an object."""
    value = None if changed.value is None else msgspec.to_builtins(changed.value)
    stored = StoredConfig(
        by=changed.by,
        at=changed.at,
        change=changed.change,
        value=value,
    )
    encoded: dict[str, Any] = msgspec.to_builtins(stored)
    return encoded
