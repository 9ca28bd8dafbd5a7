"""Typed messages between daemons.

Times in messages are durations, since the clocks of different VMs are not compared.
Each class has a struct of the same name and fields in ``peers.thrift``.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.entities.ids import Epoch, Revision, Seconds, VmId


@dataclass(frozen=True, slots=True)
class Rumour:
    """The sender's view of one daemon's membership state."""

    vm: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    counter: int
    state: int


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat to be acknowledged.

    ``on_behalf_of`` is the VM that requested an indirect heartbeat, or empty.
    """

    sequence: int
    rumours: list[Rumour]
    revision: Revision
    unconfirmed_for: Seconds
    on_behalf_of: str = ""


@dataclass(frozen=True, slots=True)
class Ack:
    """The acknowledgement of a heartbeat; ``subject`` is the daemon that is alive."""

    sequence: int
    subject: str
    rumours: list[Rumour]
    revision: Revision
    unconfirmed_for: Seconds


@dataclass(frozen=True, slots=True)
class PingFor:
    """Request that a third daemon sends a heartbeat to ``subject``."""

    sequence: int
    subject: str


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask an endpoint's leader for a permit to run one request at the endpoint."""

    ask: str
    endpoint: str
    adapter: str
    version: int
    priority: int
    time_left: Seconds
    turn: int


@dataclass(frozen=True, slots=True)
class WithdrawAsk:
    """Withdraw an ask for a permit."""

    ask: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class View:
    """An endpoint's state as reported by its leader."""

    endpoint: str
    loaded: list[str]
    occupied: int
    queued: int


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """A permit to run ``count`` requests concurrently.

    The permit is identified by its ask. It is valid for ``life`` seconds from when
    the ask numbered ``turn`` was sent. ``views`` holds the endpoint's state, or is
    empty.
    """

    ask: str
    endpoint: str
    adapter: str
    version: int
    epoch: Epoch
    count: int
    life: Seconds
    turn: int
    views: list[View]


@dataclass(frozen=True, slots=True)
class AskQueued:
    """The ask is queued; ``expected_wait`` is the leader's estimate."""

    ask: str
    endpoint: str
    expected_wait: Seconds
    view: View


@dataclass(frozen=True, slots=True)
class RefusePermit:
    """The ask is refused; ``leader`` names the current leader if it is known."""

    ask: str
    endpoint: str
    reason: str
    retry_after: Seconds
    leader: str


@dataclass(frozen=True, slots=True)
class ReturnPermit:
    """The holder starts no more requests under the permit; ``running`` still run.

    ``unsure`` is set if a request was abandoned without a response of the endpoint,
    so that only a later report can show that it ended.
    """

    permit: str
    endpoint: str
    running: int
    unsure: bool


@dataclass(frozen=True, slots=True)
class PermitClosed:
    """The leader's acknowledgement that a permit has ended."""

    permit: str


@dataclass(frozen=True, slots=True)
class EndpointFault:
    """An entry daemon observed a failure of an endpoint with an adapter version."""

    endpoint: str
    adapter: str
    version: int
    fault: str


@dataclass(frozen=True, slots=True)
class HandedPermit:
    """One permit in the state that a leader hands over."""

    permit: str
    adapter: str
    version: int
    holder: str
    count: int
    running: int
    state: str
    life_left: Seconds


@dataclass(frozen=True, slots=True)
class HandOver:
    """The leader offers its endpoint and its permits to the receiver."""

    endpoint: str
    epoch: Epoch
    version: int
    bar_left: Seconds
    unsure: list[str]
    permits: list[HandedPermit]


@dataclass(frozen=True, slots=True)
class AskLoad:
    """Ask the leader of the load budget for permission to load an adapter."""

    load: str
    urgency: float


@dataclass(frozen=True, slots=True)
class GrantLoad:
    """Permission to start the load now."""

    load: str


@dataclass(frozen=True, slots=True)
class EndLoad:
    """The load has ended or is no longer required."""

    load: str


@dataclass(frozen=True, slots=True)
class Change:
    """One changed object; ``value`` is its stored form in JSON."""

    key: str
    revision: Revision
    value: str


@dataclass(frozen=True, slots=True)
class PushChanges:
    """All configuration changes after ``after``, up to and including ``revision``."""

    after: Revision
    revision: Revision
    whole: bool
    unconfirmed_for: Seconds
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class PullChanges:
    """Request the configuration changes after ``after``."""

    after: Revision


PeerMessage = (
    Ping
    | Ack
    | PingFor
    | AskPermit
    | WithdrawAsk
    | GrantPermit
    | AskQueued
    | RefusePermit
    | ReturnPermit
    | PermitClosed
    | EndpointFault
    | HandOver
    | AskLoad
    | GrantLoad
    | EndLoad
    | PushChanges
    | PullChanges
)

MESSAGE_TYPES: Final[tuple[type[PeerMessage], ...]] = (
    Ping,
    Ack,
    PingFor,
    AskPermit,
    WithdrawAsk,
    GrantPermit,
    AskQueued,
    RefusePermit,
    ReturnPermit,
    PermitClosed,
    EndpointFault,
    HandOver,
    AskLoad,
    GrantLoad,
    EndLoad,
    PushChanges,
    PullChanges,
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Messages of one sender, in order.

    ``stamp`` is the sender's hybrid logical clock, in seconds since 1970.
    """

    sender: VmId
    incarnation: int
    stamp: float
    messages: tuple[PeerMessage, ...]
