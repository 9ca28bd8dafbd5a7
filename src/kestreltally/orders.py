"""Orders that the systems issue, and the events that the runtime reports to them.

Systems never wait. They put orders into the outbox; the runtime executes each order
and puts its result into the inbox, along with every other event from outside.
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
from kestreltally.entities.permits import HeldPermit, Waiter
from kestreltally.peers.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a daemon at an address."""

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
    """Write the leader record if its stored version is still ``expected_version``."""

    record: LeaderRecord
    expected_version: int


@dataclass(frozen=True, slots=True)
class RaiseFence:
    """Make the endpoint refuse orders of an older epoch."""

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
    """Fetch the endpoint's report."""

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
    """The outcome of an order to an endpoint."""

    DONE = "done"
    REFUSED = "refused"
    FENCED_OFF = "fenced off"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message from a peer was received."""

    sender: VmId
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class LeaderRead:
    """The leader record as of ``asked_at`` or later; ``failed`` if the read failed."""

    endpoint: EndpointId
    record: LeaderRecord | None
    asked_at: Seconds
    failed: bool


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """The outcome of a claim; ``record`` is the currently stored record."""

    endpoint: EndpointId
    won: bool
    record: LeaderRecord | None
    claimed_at: Seconds


@dataclass(frozen=True, slots=True)
class LeadersChanged:
    """The watch on leader records reported these records."""

    records: tuple[LeaderRecord, ...]


@dataclass(frozen=True, slots=True)
class FenceRaised:
    """The endpoint's answer to an order to raise its fence."""

    endpoint: EndpointId
    epoch: Epoch
    outcome: OrderOutcome
    asked_at: Seconds


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """The endpoint's answer to a load order."""

    load: str
    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class UnloadEnded:
    """The endpoint's answer to an unload order."""

    endpoint: EndpointId
    adapter: AdapterVersion
    epoch: Epoch
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class ReportFetched:
    """The endpoint's report, or None if it did not answer."""

    endpoint: EndpointId
    report: EndpointReport | None


@dataclass(frozen=True, slots=True)
class ConfigArrived:
    """All changes of the configuration after ``after``, up to ``revision``.

    ``complete`` is set if these are all existing objects. ``confirmed_at`` is the local
    time at which this was the latest configuration.
    """

    after: Revision
    revision: Revision
    complete: bool
    objects: tuple[ConfigObject, ...]
    confirmed_at: Seconds


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's VM list."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class WaiterAdded:
    """A request started waiting for a permit."""

    waiter: Waiter


@dataclass(frozen=True, slots=True)
class WaiterDropped:
    """A request stopped waiting for a permit."""

    waiter: str


class UseEnd(Enum):
    """How the use of a permit by one request ended."""

    ENDED = "ended"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class PermitUsed:
    """A request that ran under a permit has ended."""

    permit: PermitId
    attempt: AttemptId
    end: UseEnd


@dataclass(frozen=True, slots=True)
class EndpointFailed:
    """An attempt failed; ``counts`` is set if the circuit breaker counts it."""

    endpoint: EndpointId
    adapter: AdapterVersion
    fault: str
    counts: bool


@dataclass(frozen=True, slots=True)
class EndpointServed:
    """An attempt at an endpoint succeeded."""

    endpoint: EndpointId
    took: Seconds


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful stop was requested."""


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
    | WaiterAdded
    | WaiterDropped
    | PermitUsed
    | EndpointFailed
    | EndpointServed
    | StopRequested
)


class RefusalReason(Enum):
    """Why a request was refused; the value is sent to callers."""

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
class WaiterGranted:
    """The request may run under this permit."""

    waiter: str
    permit: HeldPermit


@dataclass(frozen=True, slots=True)
class WaiterRefused:
    """The request does not get a permit; ``retry_after`` is in seconds."""

    waiter: str
    reason: RefusalReason
    retry_after: Seconds


WaiterAnswer = WaiterGranted | WaiterRefused
