"""What the systems ask the outer side to do, and what it reports back.

Systems never wait: they put orders into the outbox; the runtime carries each
out and puts a result, or whatever else happened outside, into the inbox.
"""

from dataclasses import dataclass
from enum import Enum

from kestreltally.entities.configuration import ConfigObject
from kestreltally.entities.endpoints import EndpointReport, LeaderRecord
from kestreltally.entities.ids import (
    AdapterVersion,
    AttemptId,
    EndpointId,
    Epoch,
    PermitId,
    Revision,
    Seconds,
    VmId,
)
from kestreltally.entities.members import ListedVm
from kestreltally.entities.permits import HeldPermit, Want
from kestreltally.peers.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a daemon, at an address."""

    to: VmId
    host: str
    port: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ReadLeader:
    """Read the leader record of an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ClaimEndpoint:
    """Write the leader record, if the object API still holds ``expected_version``."""

    record: LeaderRecord
    expected_version: int


@dataclass(frozen=True, slots=True)
class RaiseFence:
    """Tell the endpoint to refuse orders of an older epoch."""

    endpoint: EndpointId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order the endpoint to load an adapter version."""

    load: str
    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order the endpoint to unload an adapter version."""

    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Ask the endpoint for its report."""

    endpoint: EndpointId


Order = (
    SendMessage
    | ReadLeader
    | ClaimEndpoint
    | RaiseFence
    | LoadAdapter
    | UnloadAdapter
    | FetchReport
)


class OrderOutcome(Enum):
    """What became of an order to an endpoint."""

    DONE = "done"
    REFUSED = "refused"
    FENCED_OFF = "fenced off"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A peer's message came in."""

    sender: VmId
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class LeaderRead:
    """The leader record as it was after ``asked_at``; ``failed``: it wasn't read."""

    endpoint: EndpointId
    record: LeaderRecord | None
    asked_at: Seconds
    failed: bool


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """The outcome of a claim; ``record`` is what the object API holds now."""

    endpoint: EndpointId
    won: bool
    record: LeaderRecord | None
    claimed_at: Seconds


@dataclass(frozen=True, slots=True)
class LeadersChanged:
    """The watch on leader records brought these; ``asked_at`` bounds their age."""

    records: tuple[LeaderRecord, ...]


@dataclass(frozen=True, slots=True)
class FenceRaised:
    """The endpoint's answer to the raising of its fence."""

    endpoint: EndpointId
    epoch: Epoch
    outcome: OrderOutcome
    asked_at: Seconds


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """The endpoint's answer to a load."""

    load: str
    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class UnloadEnded:
    """The endpoint's answer to an unload."""

    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class ReportFetched:
    """The endpoint's report, or none when it did not answer."""

    endpoint: EndpointId
    report: EndpointReport | None


@dataclass(frozen=True, slots=True)
class ConfigArrived:
    """Changes of the configuration, all after ``after`` and up to ``revision``.

    ``whole`` says that these are all objects there are. ``confirmed_at`` is the
    local time at which this was the newest.
    """

    after: Revision
    revision: Revision
    whole: bool
    objects: tuple[ConfigObject, ...]
    confirmed_at: Seconds


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's VM list."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class WantAdded:
    """A request waits for a permit."""

    want: Want


@dataclass(frozen=True, slots=True)
class WantDropped:
    """A request no longer waits."""

    want: str


class UseEnd(Enum):
    """How the use of a permit by one request ended."""

    ENDED = "ended"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class PermitUsed:
    """A request under a permit is over."""

    permit: PermitId
    attempt: AttemptId
    end: UseEnd


@dataclass(frozen=True, slots=True)
class EndpointFailed:
    """An attempt failed at an endpoint; ``counts``: the breaker counts it."""

    endpoint: EndpointId
    adapter: AdapterVersion
    fault: str
    counts: bool


@dataclass(frozen=True, slots=True)
class EndpointServed:
    """An attempt at an endpoint ended well."""

    endpoint: EndpointId
    took: Seconds


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop was asked for."""


OutsideEvent = (
    MessageArrived
    | LeaderRead
    | ClaimEnded
    | LeadersChanged
    | FenceRaised
    | LoadEnded
    | UnloadEnded
    | ReportFetched
    | ConfigArrived
    | VmsListed
    | WantAdded
    | WantDropped
    | PermitUsed
    | EndpointFailed
    | EndpointServed
    | StopRequested
)


class RefusalReason(Enum):
    """Why a request was refused; the value is what callers see."""

    NOT_ALLOWED = "not_allowed"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    CALLER_LIMIT = "caller_limit"
    DAEMON_LIMIT = "daemon_limit"
    DEADLINE = "deadline_cannot_be_met"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    STALE_CONFIGURATION = "stale_configuration"
    DUPLICATE = "duplicate_request"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    STOPPING = "stopping"
    ENDPOINT_FAILED = "endpoint_failed"
    CUT_OFF = "answer_cut_off"


@dataclass(frozen=True, slots=True)
class WantGranted:
    """The request may run under this permit."""

    want: str
    permit: HeldPermit


@dataclass(frozen=True, slots=True)
class WantRefused:
    """The request gets no permit; ``retry_after`` is in seconds."""

    want: str
    reason: RefusalReason
    retry_after: Seconds


WantAnswer = WantGranted | WantRefused
