"""Data types for routes, services, endpoints and adapters.

All times are seconds and all sizes bytes unless a field says otherwise.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple, NewType

Seconds = float
EndpointId = NewType("EndpointId", str)
ServiceName = NewType("ServiceName", str)
OrganisationName = NewType("OrganisationName", str)
# The version of the software of an endpoint; empty if it names none.
SoftwareVersion = NewType("SoftwareVersion", str)


class RequestKind(Enum):
    """Whether a request whose outcome is unknown may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """The relative weight of a service in a route's traffic split."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    ``priority`` 0 is the most urgent. ``objective`` is the target time to the first
    event of a stream, or to the complete answer. ``attempts`` limits how many endpoints
    may run one request. Clients abandon a stream that sends nothing for
    ``silence_limit``, also before its first event; 0 means that no such limit is
    known. Requests of a ``public`` route need no key. A stream is late if two of its
    events are more than ``max_pause`` apart; 0 means that no such limit is known.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout: Seconds
    objective: Seconds
    attempts: int
    priority: int
    resumable: bool
    silence_limit: Seconds = 0.0
    public: bool = False
    max_pause: Seconds = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run already may run again."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model that engines of a service may hold.

    ``load_time`` is the duration of a load from the weight store.
    """

    name: str
    weights_mb: float
    load_time: Seconds
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of a service's engines, and the rate limit of the weight store."""

    batch: int
    memory_mb: float
    adapter_places: int
    loads_per_second: float
    models: tuple[ModelSpec, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: model engines if ``engine`` is given, else plain endpoints."""

    name: ServiceName
    health_path: str
    connection_cap: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits for client connections."""

    header_bytes: int
    body_bytes: int
    header_timeout: Seconds
    idle_timeout: Seconds


class QuotaUnit(Enum):
    """The unit that a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """The quota of an organisation, over all daemons.

    ``rate`` is in units per second; ``burst`` units may be used on top. If tokens are
    counted, a request with an unknown token count is charged ``plain_tokens``.
    """

    unit: QuotaUnit
    rate: float
    burst: float
    plain_tokens: int

    def measure(self, tokens: int) -> int:
        """Return the units of a request with ``tokens`` in and out, 0 if unknown."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return tokens or self.plain_tokens


@dataclass(frozen=True, slots=True)
class Organisation:
    """The holder of some API keys, with its optional priority and quota."""

    name: OrganisationName
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration.

    Requests need no key if it lists no organisations.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits
    organisations: tuple[Organisation, ...] = ()


class WeightsKey(NamedTuple):
    """A base model, or an adapter of one; ``adapter`` is empty for the model itself.

    It is a tuple because it is the key of nearly all tables: look-ups are eight times
    as fast as with a data class.
    """

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an engine or a plain service, as it registers itself.

    An engine may be restarted under the same id. ``start_time_ms`` is in Unix
    milliseconds, 0 if unknown. ``weights`` maps the weights it holds to their versions,
    and ``loading`` names the weights being loaded. ``quarantined`` means that its
    leader excludes it for a while, because requests of many daemons failed there.
    """

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    weights: dict[WeightsKey, int]
    loading: frozenset[WeightsKey] = frozenset()
    quarantined: bool = False
    start_time_ms: int = 0
    software: SoftwareVersion = SoftwareVersion("")


@dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says about its endpoint; ``backoff`` is 0 if not requested.

    ``limit`` is the number of requests per second that the endpoint accepts from all
    daemons together, None if it names no limit; ``malformed`` means that it names one
    that cannot be parsed. ``rejects`` means that it did not run a request and named no
    time after which it will. ``brittle`` is how many requests it can turn away in a
    second without falling over, None if it does not say that it is brittle.
    """

    leaves: bool
    backoff: Seconds
    limit: float | None = None
    malformed: bool = False
    rejects: bool = False
    brittle: float | None = None


EMPTY_NOTICE: Final = Notice(leaves=False, backoff=0.0)


@dataclass(frozen=True, slots=True)
class KnownNotice:
    """What one incarnation of an endpoint says about itself, as daemons report it.

    ``backoff`` is the remaining time, requested from the reporting daemon. ``limit`` is
    the current limit, of version ``limit_version``, which is 0 if no limit was ever
    named. ``credit_wait`` is how long a call waits for its credit, as reported by
    leaders. ``brittle`` is how many requests the endpoint can turn away in a second, as
    of ``brittle_version``, which is 0 if it never said that it is brittle.
    """

    endpoint: EndpointId
    start_time_ms: int
    leaves: bool
    backoff: Seconds
    limit: float | None = None
    limit_version: int = 0
    credit_wait: Seconds = 0.0
    brittle: float | None = None
    brittle_version: int = 0


def is_other_incarnation(known: int, reported: int) -> bool:
    """Return whether a report on an endpoint concerns another incarnation of it.

    Incarnations are distinguished by ``start_time_ms``; an unknown one (0) matches any.
    """
    return bool(known and reported) and known != reported
