"""Routes, services, endpoints and adapters, in the project's own words.

All times are seconds and all sizes bytes unless a field says otherwise.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple, NewType

Seconds = float
EndpointId = NewType("EndpointId", str)
ServiceName = NewType("ServiceName", str)
OrganisationName = NewType("OrganisationName", str)


class RequestKind(Enum):
    """What may be done with a request whose outcome is not known."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """A service's part of a route's requests; weights are relative."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go, and within which bounds.

    ``priority`` 0 is the most urgent. ``objective`` counts to the first event of a
    stream, or to the whole answer. ``attempts`` bounds the endpoints that may run
    one request. Clients give a stream up that tells them nothing for ``patience``, also
    before its first event; none is known where it is zero. Requests of a ``public``
    route need no key.
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
    patience: Seconds = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after it may have run."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model that engines of a service may hold.

    ``load_time`` is that of a load from the weight store.
    """

    name: str
    weights_mb: float
    load_time: Seconds
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the engines of a service can hold, and the weight store's rate for them."""

    batch: int
    memory_mb: float
    adapter_places: int
    loads_per_second: float
    models: tuple[ModelSpec, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: engines when ``engine`` is given, else plain endpoints."""

    name: ServiceName
    health_path: str
    connection_cap: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout: Seconds
    idle_timeout: Seconds


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """What an organisation may have run over all daemons.

    ``rate`` units a second, and ``burst`` units on top; a request that tells no tokens
    counts ``plain_tokens`` where tokens are counted.
    """

    unit: QuotaUnit
    rate: float
    burst: float
    plain_tokens: int

    def measure(self, tokens: int) -> int:
        """Return the units of a request; ``tokens`` are those in and out, 0 unknown."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return tokens or self.plain_tokens


@dataclass(frozen=True, slots=True)
class Organisation:
    """Who may ask: the holder of some keys, with its priority and quota, if any."""

    name: OrganisationName
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration, whole.

    Where it names no organisations, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits
    organisations: tuple[Organisation, ...] = ()


class WeightsKey(NamedTuple):
    """A base model, or an adapter of one; ``adapter`` is empty for the model itself.

    A tuple, for nearly all tables are kept by it: one is found eight times as fast as
    by a data class.
    """

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of an engine or a plain service, as it lists itself.

    An engine may be started again under its id: ``born`` is when, in Unix milliseconds,
    0 where it is not told. ``weights`` maps what it holds to the version held, and
    ``loading`` names what is on its way. ``spared`` tells that its leader has it left
    alone for a while, for requests of many daemons failed there.
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
    spared: bool = False
    born: int = 0


@dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says of its endpoint; ``rest`` is 0 where it asks for none.

    ``limit`` is how many requests a second the endpoint takes from all daemons
    together, none where it names none; ``malformed`` tells that it names one that cannot
    be read. ``rejects`` tells that it did not run a request, with no word on when it
    will.
    """

    leaves: bool
    rest: Seconds
    limit: float | None = None
    malformed: bool = False
    rejects: bool = False


EMPTY_NOTICE: Final = Notice(leaves=False, rest=0.0)


@dataclass(frozen=True, slots=True)
class KnownNotice:
    """What one start of an endpoint has said of itself, as daemons tell it.

    ``rest`` is what is left of it, and was asked of the daemon that tells it. ``limit``
    is the limit in force by the word ``limit_version``, which is 0 where none was ever
    named; ``turn_wait`` is how long a call waits there for its turn, as leaders tell.
    """

    endpoint: EndpointId
    born: int
    leaves: bool
    rest: Seconds
    limit: float | None = None
    limit_version: int = 0
    turn_wait: Seconds = 0.0


def is_other_incarnation(known: int, reported: int) -> bool:
    """Tell whether what is told of an endpoint is of another start of it.

    Starts are told apart by ``born``; one that is not told may be either.
    """
    return bool(known and reported) and known != reported
