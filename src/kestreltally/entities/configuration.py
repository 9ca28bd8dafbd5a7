"""What operators create: models, adapters, rules, callers and endpoints.

Each object is kept in the object API under ``config/<kind>/<name>`` and takes
effect by the API's revision, which only rises.
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
    """What a rule does with the requests that it matches."""

    ALLOW = "allow"
    DENY = "deny"


class WhenStale(Enum):
    """What becomes of a request while the revision cannot be confirmed."""

    SERVE = "serve"
    REFUSE = "refuse"


class EndpointKind(Enum):
    """The two sorts of endpoints."""

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
    """Which caller may use which adapter; ``*`` stands for any; deny goes first."""

    name: Name
    caller: str
    adapter: str
    effect: Effect
    when_stale: WhenStale = WhenStale.SERVE

    def matches(self, caller: str, adapter: str) -> bool:
        """Tell whether the rule speaks of this caller and adapter."""
        return self.caller in (ANY, caller) and self.adapter in (ANY, adapter)


@dataclass(frozen=True)
class Caller:
    """Who sends requests: digests of the valid keys, and the caller's limits."""

    name: Name
    key_digests: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    requests_per_second: Annotated[float, Meta(gt=0)] = 100.0
    concurrent: Positive = 64
    priority: Annotated[int, Meta(ge=0, le=2)] = 1


@dataclass(frozen=True)
class Endpoint:
    """A model engine or a plain service.

    ``checks_fence`` says whether it refuses orders of an older epoch.
    ``vm`` is its name in the VM list, where its leaving shows.
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
    """An object of the configuration cannot be read; the text names the place."""


@dataclass(frozen=True)
class StoredConfig:
    """The form in which the object API keeps an object: its value, who wrote it.

    A dropped object keeps its place with no value, so that its revision still
    tells of the drop. ``at`` is seconds since 1970 by the operator's clock.
    """

    by: str
    at: float
    change: str
    value: dict[str, Any] | None


@dataclass(frozen=True)
class ConfigObject:
    """One object with the revision that wrote it; ``value`` is none once dropped."""

    kind: str
    name: str
    revision: Revision
    value: ConfigValue | None
    by: str = ""
    at: float = 0.0
    change: str = ""


def make_config_key(kind: str, name: str) -> str:
    """Return the key in the object API of one object."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def parse_config_object(key: str, value: Any, revision: Revision) -> ConfigObject:
    """Return the checked object that the object API holds under ``key``.

    Raises ``MalformedObject``, naming the key and the field.
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
    """Return the plain form in which the object API keeps an object."""
    value = None if changed.value is None else msgspec.to_builtins(changed.value)
    stored = StoredConfig(
        by=changed.by,
        at=changed.at,
        change=changed.change,
        value=value,
    )
    encoded: dict[str, Any] = msgspec.to_builtins(stored)
    return encoded
