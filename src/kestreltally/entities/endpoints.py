"""State of endpoints at their leader and at the entry daemons."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from kestreltally.entities.ids import (
    NEVER,
    AdapterVersion,
    EndpointId,
    Epoch,
    Seconds,
    VmId,
)
from kestreltally.entities.permits import GrantedPermit


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader record of an endpoint; ``version`` is set by the object API."""

    endpoint: EndpointId
    leader: VmId
    incarnation: int
    epoch: Epoch
    change: str
    version: int = 0


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """An endpoint's report on itself.

    ``composed_at`` is the latest local time that the report is certain to cover: the
    time at which the request was sent, minus the age stated by the endpoint.
    """

    endpoint: EndpointId
    instance: str
    composed_at: Seconds
    fence: Epoch
    loaded: frozenset[AdapterVersion]
    running: Mapping[AdapterVersion, int]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Offer:
    """A leader's offer to hand over its endpoint, valid for one version of the record.

    ``unloads_allowed_at`` is in local monotonic seconds. ``unsure`` names the adapters
    that the former leader cannot confirm to be unused.
    """

    version: int
    permits: tuple[GrantedPermit, ...]
    unloads_allowed_at: Seconds
    unsure: frozenset[AdapterVersion]


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim of an endpoint whose outcome is not known yet."""

    since: Seconds
    expected_version: int


class Phase(Enum):
    """The phase of a leader's control of an endpoint."""

    CLAIMED = "claimed"
    FENCED = "fenced"
    HANDING_OVER = "handing over"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class Slot:
    """An adapter version loaded on an endpoint.

    While ``report_required_after`` is above zero, only a report composed later than it
    can show that nothing runs. It is set when a permit holder cannot confirm this.
    """

    adapter: AdapterVersion
    loaded_at: Seconds
    used_at: Seconds
    closing: bool = False
    unloading: bool = False
    report_required_after: Seconds = 0.0
    ordered_at: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class LedEndpoint:
    """A leader's state of one endpoint.

    ``changed_at`` is when an order last changed the loaded adapters: an older report
    does not show what is loaded now. ``orders_allowed_at`` and ``unloads_allowed_at``
    delay orders until orders and permits of earlier leaders have certainly expired.
    All times are in local monotonic seconds.
    """

    endpoint: EndpointId
    record: LeaderRecord
    phase: Phase
    since: Seconds
    confirmed_at: Seconds
    orders_allowed_at: Seconds = 0.0
    unloads_allowed_at: Seconds = 0.0
    changed_at: Seconds = 0.0
    instance: str = ""
    slots: Mapping[AdapterVersion, Slot] = field(default_factory=dict)
    report: EndpointReport | None = None
    report_requested_at: Seconds = NEVER
    fence_requested_at: Seconds = NEVER
    handed_over_at: Seconds = NEVER
    confirm_requested_at: Seconds = NEVER
    leaving: bool = False
    service_time: Seconds = 1.0
    unsure: frozenset[AdapterVersion] = frozenset()


@dataclass(frozen=True, slots=True)
class EndpointView:
    """The state of an endpoint that an entry daemon last received from its leader."""

    endpoint: EndpointId
    loaded: frozenset[AdapterVersion]
    occupied: int
    queued: int
    received_at: Seconds


@dataclass(frozen=True, slots=True)
class Breaker:
    """An entry daemon's circuit breaker for one endpoint."""

    failures: int = 0
    open_until: Seconds = 0.0
    probing: bool = False
