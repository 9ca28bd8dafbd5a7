"""The typed messages that daemons send to each other.

Times in messages are durations, for the VMs' clocks are not compared. Each
class has a struct of the same name and fields in ``peers.thrift``.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.entities.ids import Epoch, Revision, Seconds, VmId


@dataclass(frozen=True, slots=True)
class Rumour:
    """What the sender believes of one daemon."""

    vm: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    counter: int
    state: int


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat that asks for an answer; ``on_behalf_of`` is another asker's VM."""

    sequence: int
    rumours: list[Rumour]
    revision: Revision
    unconfirmed_for: Seconds
    on_behalf_of: str = ""


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a heartbeat; ``subject`` is the daemon that is alive."""

    sequence: int
    subject: str
    rumours: list[Rumour]
    revision: Revision
    unconfirmed_for: Seconds


@dataclass(frozen=True, slots=True)
class PingFor:
    """Ask a third daemon to send a heartbeat to ``subject``."""

    sequence: int
    subject: str


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask an endpoint's leader for leave to run one request there."""

    ask: str
    endpoint: str
    adapter: str
    version: int
    priority: int
    time_left: Seconds
    turn: int


@dataclass(frozen=True, slots=True)
class WithdrawAsk:
    """Take an ask back."""

    ask: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class View:
    """An endpoint's state as its leader tells it."""

    endpoint: str
    loaded: list[str]
    occupied: int
    queued: int


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Leave to run ``count`` requests at once.

    It is named by its ask, and lasts ``life`` seconds from the sending of the ask
    numbered ``turn``. ``views`` holds the endpoint's state, but not every time.
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
    """The ask waits; ``expected_wait`` is the leader's estimate in seconds."""

    ask: str
    endpoint: str
    expected_wait: Seconds
    view: View


@dataclass(frozen=True, slots=True)
class RefusePermit:
    """The ask is refused; ``leader`` names the right leader where it is known."""

    ask: str
    endpoint: str
    reason: str
    retry_after: Seconds
    leader: str


@dataclass(frozen=True, slots=True)
class ReturnPermit:
    """The holder starts nothing more under the permit; ``running`` still run.

    ``unsure``: a request was given up without the endpoint's word, so that only
    a later report can show that it ended.
    """

    permit: str
    endpoint: str
    running: int
    unsure: bool


@dataclass(frozen=True, slots=True)
class PermitClosed:
    """The leader has taken note that a permit is over."""

    permit: str


@dataclass(frozen=True, slots=True)
class EndpointFault:
    """An entry daemon saw an endpoint fail at one adapter version."""

    endpoint: str
    adapter: str
    version: int
    fault: str


@dataclass(frozen=True, slots=True)
class HandedPermit:
    """One line of the book that a leader hands over."""

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
    """The leader offers its endpoint, with its book, to the receiver."""

    endpoint: str
    epoch: Epoch
    version: int
    bar_left: Seconds
    unsure: list[str]
    permits: list[HandedPermit]


@dataclass(frozen=True, slots=True)
class AskLoad:
    """Ask the load-budget leader for leave to load."""

    load: str
    urgency: float


@dataclass(frozen=True, slots=True)
class GrantLoad:
    """Leave to load now."""

    load: str


@dataclass(frozen=True, slots=True)
class EndLoad:
    """The load is over, or no longer wanted."""

    load: str


@dataclass(frozen=True, slots=True)
class Change:
    """One changed object; ``value`` is its stored form in JSON."""

    key: str
    revision: Revision
    value: str


@dataclass(frozen=True, slots=True)
class PushChanges:
    """All changes of the configuration after ``after`` and up to ``revision``."""

    after: Revision
    revision: Revision
    whole: bool
    unconfirmed_for: Seconds
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class PullChanges:
    """Ask for the changes after ``after``."""

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
    """Messages of one sender in their order.

    ``stamp`` is the sender's hybrid logical time, in seconds since 1970.
    """

    sender: VmId
    incarnation: int
    stamp: float
    messages: tuple[PeerMessage, ...]
