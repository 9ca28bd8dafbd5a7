"""Permits, asks for permits, requests waiting for one, and adapter loads."""

from dataclasses import dataclass
from enum import Enum

from kestreltally.entities.ids import (
    NEVER,
    AdapterVersion,
    AskId,
    EndpointId,
    Epoch,
    PermitId,
    Priority,
    RequestId,
    Seconds,
    VmId,
)


class PermitState(Enum):
    """The state of a permit in its leader's book."""

    OPEN = "open"
    RETURNED = "returned"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class GrantedPermit:
    """A permit in its leader's book; times are in the leader's monotonic seconds."""

    permit: PermitId
    endpoint: EndpointId
    adapter: AdapterVersion
    holder: VmId
    count: int
    expires_at: Seconds
    turn: int = 0
    state: PermitState = PermitState.OPEN
    running: int = 0

    def count_batch_slots(self) -> int:
        """Return how many batch slots the permit occupies."""
        return self.running if self.state is PermitState.RETURNED else self.count


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit at the entry daemon that may send requests under it.

    ``expires_at`` counts from the time at which the holder sent the ask that the leader
    granted, so that the permit always expires at the holder before the leader.
    """

    permit: PermitId
    endpoint: EndpointId
    adapter: AdapterVersion
    leader: VmId
    epoch: Epoch
    count: int
    expires_at: Seconds
    running: int = 0
    idle_since: Seconds = 0.0
    returned: bool = False
    unsure: bool = False
    reported_at: Seconds = NEVER

    def has_free_capacity(self, now: Seconds) -> bool:
        """Return whether a request may start under the permit."""
        return not self.returned and now < self.expires_at and self.running < self.count


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request at an entry daemon that waits for a permit.

    ``sent_at`` holds the time at which the ask was sent, one entry for each turn.
    """

    waiter: str
    request: RequestId
    adapter: AdapterVersion
    candidates: tuple[EndpointId, ...]
    priority: Priority
    deadline_at: Seconds
    since: Seconds
    ask: AskId | None = None
    endpoint: EndpointId | None = None
    sent_at: tuple[Seconds, ...] = ()
    received_at: Seconds = 0.0
    hints_followed: int = 0
    avoid: frozenset[EndpointId] = frozenset()
    last_reason: str = ""


@dataclass(frozen=True, slots=True)
class Ask:
    """An entry daemon's ask in the queue of an endpoint's leader."""

    ask: AskId
    holder: VmId
    endpoint: EndpointId
    adapter: AdapterVersion
    priority: Priority
    deadline_at: Seconds
    arrived_at: Seconds
    refreshed_at: Seconds
    turn: int


class LoadState(Enum):
    """The progress of a load."""

    WAITING_FOR_BUDGET = "waiting for budget"
    WAITING_FOR_SLOT = "waiting for slot"
    ORDERED = "ordered"


@dataclass(frozen=True, slots=True)
class Load:
    """A load of an adapter version on an endpoint, shared by all its waiters."""

    load: str
    endpoint: EndpointId
    adapter: AdapterVersion
    state: LoadState
    since: Seconds
    urgency: float
    asked_at: Seconds = NEVER
    victim: AdapterVersion | None = None
    budget_leader: VmId | None = None


@dataclass(frozen=True, slots=True)
class BudgetAsk:
    """A load that waits for the load budget's leader, or runs under its grant."""

    load: str
    holder: VmId
    urgency: float
    refreshed_at: Seconds
    granted_at: Seconds | None = None
