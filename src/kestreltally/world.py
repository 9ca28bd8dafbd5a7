"""The tables of one daemon, and the operations on them that all systems share."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from kestreltally.entities.configuration import (
    Adapter,
    Caller,
    ConfigObject,
    Endpoint,
    Rule,
    make_config_key,
)
from kestreltally.entities.endpoints import (
    Breaker,
    EndpointView,
    LeaderRecord,
    LedEndpoint,
    Offer,
    PendingClaim,
    Slot,
)
from kestreltally.entities.ids import (
    NEVER,
    AdapterVersion,
    AskId,
    DataCentre,
    EndpointId,
    PermitId,
    Revision,
    Seconds,
    VmId,
)
from kestreltally.entities.members import ListedVm, Member
from kestreltally.entities.permits import (
    Ask,
    BudgetAsk,
    GrantedPermit,
    HeldPermit,
    Load,
    Waiter,
)
from kestreltally.invariants import Invariants
from kestreltally.orders import (
    MessageArrived,
    Order,
    OutsideEvent,
    SendMessage,
    WaiterAnswer,
)
from kestreltally.peers.messages import PeerMessage
from kestreltally.settings import Settings
from kestreltally.timeline.events import Timeline

RECENT_CHANGES: Final = 4_096
TAG_RANGE: Final = 2**32


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this daemon; ``incarnation`` increases with each start."""

    vm: VmId
    host: str
    port: int
    data_centre: DataCentre
    incarnation: int

    @property
    def tag(self) -> str:
        """Return a short prefix, unique to this run, for the ids the daemon creates."""
        return f"{self.vm}.{self.incarnation % TAG_RANGE:x}."


@dataclass
class ConfigTable:
    """The configuration in force, by key, with its most recent changes."""

    revision: Revision = 0
    confirmed_at: Seconds = NEVER
    objects: dict[str, ConfigObject] = field(default_factory=dict)
    recent: deque[ConfigObject] = field(
        default_factory=lambda: deque(maxlen=RECENT_CHANGES)
    )
    recent_after: Revision = 0
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    endpoints_of_model: dict[str, dict[EndpointId, Endpoint]] = field(
        default_factory=dict
    )
    callers_of_digest: dict[str, Caller] = field(default_factory=dict)
    rules_of_adapter: dict[str, dict[str, Rule]] = field(default_factory=dict)
    pinned: dict[EndpointId, set[str]] = field(default_factory=dict)
    pulled_at: Seconds = NEVER
    pull_from: VmId | None = None

    def find_adapter(self, name: str) -> Adapter | None:
        """Return the adapter of that name, or None."""
        found = self.objects.get(make_config_key("adapter", name))
        if found is None or not isinstance(found.value, Adapter):
            return None
        return found.value


@dataclass(frozen=True, slots=True)
class PendingPing:
    """A heartbeat that has not been answered yet."""

    subject: VmId
    sent_at: Seconds
    indirect_probe_sent: bool = False
    on_behalf_of: VmId | None = None
    origin_sequence: int = 0


@dataclass
class MemberTable:
    """The known daemons, and the rumours that are still to be sent."""

    known: dict[VmId, Member] = field(default_factory=dict)
    listed: dict[VmId, ListedVm] = field(default_factory=dict)
    rumours: dict[VmId, int] = field(default_factory=dict)
    pending: dict[int, PendingPing] = field(default_factory=dict)
    probe_order: list[VmId] = field(default_factory=list)
    unprobed_vms: list[ListedVm] = field(default_factory=list)
    latest_ack: Seconds = NEVER
    suspects_checked_at: Seconds = NEVER
    recent_pings: deque[bool] = field(default_factory=lambda: deque(maxlen=5))
    next_heartbeat_at: Seconds = 0.0
    heartbeats: int = 0
    sequence: int = 0
    counter: int = 0
    leaving: bool = False
    changes: int = 0
    confirmed_at: Seconds = NEVER


@dataclass
class LeaderTable:
    """The stored leader records, and the endpoints that this daemon leads."""

    records: dict[EndpointId, LeaderRecord] = field(default_factory=dict)
    led_endpoints: dict[EndpointId, LedEndpoint] = field(default_factory=dict)
    owned: frozenset[EndpointId] = frozenset()
    owners: dict[EndpointId, VmId | None] = field(default_factory=dict)
    vms_by_data_centre: dict[str, list[str]] = field(default_factory=dict)
    owned_as_of: tuple[int, Revision] = (-1, -1)
    pending_claims: dict[EndpointId, PendingClaim] = field(default_factory=dict)
    last_claims: dict[EndpointId, Seconds] = field(default_factory=dict)
    offers: dict[EndpointId, Offer] = field(default_factory=dict)
    sequences: dict[EndpointId, int] = field(default_factory=dict)
    isolated_losses: int = 0


@dataclass
class GrantTable:
    """The permits and loads that this daemon has granted as a leader."""

    asks: dict[AskId, Ask] = field(default_factory=dict)
    permits: dict[PermitId, GrantedPermit] = field(default_factory=dict)
    loads: dict[str, Load] = field(default_factory=dict)
    demand: dict[tuple[EndpointId, AdapterVersion], tuple[float, Seconds]] = field(
        default_factory=dict
    )
    views_reported: dict[tuple[VmId, EndpointId], Seconds] = field(default_factory=dict)
    load_time: Seconds = 1.0
    budget_received_at: Seconds = 0.0
    failed_loads: dict[tuple[EndpointId, AdapterVersion], Seconds] = field(
        default_factory=dict
    )


@dataclass
class BudgetTable:
    """The load budget, kept by the daemon that leads it."""

    asks: dict[str, BudgetAsk] = field(default_factory=dict)
    tokens: float = 1.0
    refilled_at: Seconds = 0.0


@dataclass
class EntryTable:
    """The requests that wait at this daemon, and the permits that it holds for them."""

    waiters: dict[str, Waiter] = field(default_factory=dict)
    held: dict[PermitId, HeldPermit] = field(default_factory=dict)
    views: dict[EndpointId, EndpointView] = field(default_factory=dict)
    breakers: dict[EndpointId, Breaker] = field(default_factory=dict)
    leader_hints: dict[EndpointId, VmId] = field(default_factory=dict)
    silent_until: dict[EndpointId, Seconds] = field(default_factory=dict)
    leaving: dict[EndpointId, Seconds] = field(default_factory=dict)
    answers: list[WaiterAnswer] = field(default_factory=list)
    ask_sequence: int = 0


@dataclass
class World:
    """All tables of one daemon at the current tick."""

    identity: Identity
    settings: Settings
    random: Random
    events: Timeline
    invariants: Invariants
    now: Seconds
    started_at: Seconds
    last_step: Seconds
    inbox: deque[OutsideEvent] = field(default_factory=deque)
    outbox: list[Order] = field(default_factory=list)
    members: MemberTable = field(default_factory=MemberTable)
    config: ConfigTable = field(default_factory=ConfigTable)
    leaders: LeaderTable = field(default_factory=LeaderTable)
    grants: GrantTable = field(default_factory=GrantTable)
    budget: BudgetTable = field(default_factory=BudgetTable)
    entry: EntryTable = field(default_factory=EntryTable)

    def send(self, to: VmId, message: PeerMessage) -> None:
        """Send a message to a daemon; one to itself bypasses the network."""
        if to == self.identity.vm:
            arrived = MessageArrived(
                sender=to,
                incarnation=self.identity.incarnation,
                message=message,
            )
            self.inbox.append(arrived)
            return
        member = self.members.known.get(to)
        if member is None:
            return
        self.send_to(to, member.host, member.port, message)

    def send_to(self, to: VmId, host: str, port: int, message: PeerMessage) -> None:
        """Send a message to an address."""
        order = SendMessage(to=to, host=host, port=port, message=message)
        self.outbox.append(order)

    def update_led_endpoint(self, led: LedEndpoint, **changes: object) -> LedEndpoint:
        """Replace a led endpoint by a changed copy, and return it."""
        changed = replace(led, **changes)  # type: ignore[arg-type]
        self.leaders.led_endpoints[led.endpoint] = changed
        return changed

    def put_slot(self, led: LedEndpoint, slot: Slot) -> LedEndpoint:
        """Put a slot into a led endpoint's table."""
        return self.update_led_endpoint(led, slots={**led.slots, slot.adapter: slot})

    def drop_slot(self, led: LedEndpoint, adapter: AdapterVersion) -> LedEndpoint:
        """Remove a slot; older reports cannot restore it."""
        slots = {name: slot for name, slot in led.slots.items() if name != adapter}
        return self.update_led_endpoint(led, slots=slots, changed_at=self.now)

    def permits_of(
        self,
        endpoint: EndpointId,
        adapter: AdapterVersion | None = None,
    ) -> Iterable[GrantedPermit]:
        """Yield the granted permits for an endpoint, optionally of one adapter only."""
        for permit in self.grants.permits.values():
            if permit.endpoint != endpoint:
                continue
            if adapter is None or permit.adapter == adapter:
                yield permit
