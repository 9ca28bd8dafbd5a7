"""The inputs and results of planners, which decide on loads of adapters."""

from dataclasses import dataclass, field

from kestreltally.fleet.model import EndpointId, Seconds, WeightsKey


@dataclass(frozen=True, slots=True)
class HeldAdapter:
    """An adapter on an engine.

    ``rate`` is its total demand, ``local_rate`` the demand from the engine's data
    centre, ``holders`` the number of engines that hold it. ``value`` is the score of
    keeping it, None if it follows from the rates, and ``reading`` the fraction of its
    time that the engine is expected to process prompts for it.
    """

    key: WeightsKey
    since: Seconds
    rate: float
    local_rate: float
    holders: int
    in_use: bool
    value: float | None = None
    reading: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine that can take a load, immediately if ``ready``.

    ``ready_for_cold`` is the same for a load from the weight store. ``unread`` is the
    number of prompt tokens still to be processed, including those for loading adapters,
    and ``prefill_time`` the time per token. ``load_time`` is the time of a load,
    ``reading`` the total of its adapters, ``pending`` the number of loads under way.
    """

    id: EndpointId
    data_centre: str
    free_places: int
    held: tuple[HeldAdapter, ...]
    warm: frozenset[WeightsKey]
    running: int
    batch: int
    unread: int = 0
    prefill_time: Seconds = 0.0
    load_time: Seconds = 0.25
    ready: bool = True
    ready_for_cold: bool = True
    reading: float = 0.0
    pending: int = 0


@dataclass(frozen=True, slots=True)
class RequestedAdapter:
    """A requested adapter.

    Of the requests ``waiting``, ``within_objective`` can still meet their objective.
    ``holders`` and ``loading`` count engines by data centre; ``saturated`` means that
    the batches of all holders are full. ``batch`` is the batch size of one engine;
    ``waited`` is how long the first request has waited. ``leaving`` means that a
    leaving engine holds the adapter: at a high rate, it is loaded elsewhere before any
    request waits for it. ``forecasts`` are the expected rates by data centre, and
    ``prefill_time`` is how long an engine processes the prompt of one request.
    """

    key: WeightsKey
    rates: dict[str, float]
    waiting: int
    missed: float
    holders: dict[str, int]
    loading: dict[str, int]
    batch: int = 32
    saturated: bool = False
    within_objective: int = 0
    waited: Seconds = 0.0
    leaving: bool = False
    forecasts: dict[str, float] = field(default_factory=dict)
    prefill_time: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A load to be ordered, and the adapter to be evicted for it.

    ``ahead`` is true if no request waits for it.
    """

    engine: EndpointId
    key: WeightsKey
    victim: WeightsKey | None
    ahead: bool = False


@dataclass(frozen=True, slots=True)
class Candidate:
    """A load worth ordering, the data centre that needs it, and its score.

    A replica is loaded only there. ``can_wait`` allows a short wait for an engine that
    keeps a copy, ``long_prompts`` is true if the prompts take long to process, and
    ``ahead`` if no request waits for the load.
    """

    key: WeightsKey
    data_centre: str | None
    score: float
    is_replica: bool
    can_wait: bool = False
    long_prompts: bool | None = None
    ahead: bool = False
