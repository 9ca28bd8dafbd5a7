"""Endpoints as their leader and the entry daemons see them."""

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
    """The object API's record of who leads an endpoint; ``version`` is the API's."""

    endpoint: EndpointId
    leader: VmId
    incarnation: int
    epoch: Epoch
    change: str
    version: int = 0


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint said of itself.

    ``composed_at`` is the latest local moment that the report surely covers:
    the sending of the question less the age that the endpoint states.
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
    """A leader's offer of its endpoint, good for one version of the record.

    ``unloads_allowed_at`` is local monotonic seconds; ``unsure`` names the adapters
    whose use the former leader could not vouch for.
    """

    version: int
    permits: tuple[GrantedPermit, ...]
    unloads_allowed_at: Seconds
    unsure: frozenset[AdapterVersion]


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim under way."""

    since: Seconds
    expected_version: int


class Phase(Enum):
    """How far a leader has come with an endpoint."""

    CLAIMED = "claimed"
    FENCED = "fenced"
    HANDING_OVER = "handing over"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class Slot:
    """An adapter version held by an endpoint.

    ``report_required_after``: while above zero, only a report composed later than it may
    show that nothing runs; it is set when a holder's word cannot be had.
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
    """A leader's own state of one endpoint.

    ``changed_at`` is when an order last changed what is loaded: an older report
    cannot tell what is there now. ``orders_allowed_at`` and ``unloads_allowed_at`` bar orders
    until earlier leaders' orders and permits have surely run out. All times are
    local monotonic seconds.
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
    """What an entry daemon last heard of an endpoint from its leader."""

    endpoint: EndpointId
    loaded: frozenset[AdapterVersion]
    occupied: int
    queued: int
    received_at: Seconds


@dataclass(frozen=True, slots=True)
class Breaker:
    """The circuit breaker of an entry daemon for one endpoint."""

    failures: int = 0
    open_until: Seconds = 0.0
    probing: bool = False
