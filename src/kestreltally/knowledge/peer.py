"""State of a daemon that is connected to this daemon's feed."""

from dataclasses import dataclass, field

from kestreltally.entry.occupancy import EMPTY, Occupancy
from kestreltally.fleet.model import (
    EndpointId,
    Seconds,
    ServiceName,
    SoftwareVersion,
    WeightsKey,
)
from kestreltally.forwarding.targets import ForwardTarget
from kestreltally.knowledge.frames import FrameStream
from kestreltally.knowledge.updates import EMPTY_SNAPSHOT, Snapshot
from kestreltally.placing.credits import CreditHolder
from kestreltally.streams.origins import BoundWeights
from kestreltally.streams.registrars import Registrar


@dataclass(slots=True, eq=False)
class Peer:
    """A connected daemon; ``leads`` is not empty for another leader.

    ``follows`` says that it follows this leader: while no leader has a fresh view of
    the store, a daemon connects to all leaders but follows only one.
    """

    stream: FrameStream
    vm: str = ""
    leads: frozenset[str] = frozenset()
    follows: bool = False
    sent_snapshot: Snapshot = EMPTY_SNAPSHOT
    needs_full_update: bool = True
    unsent_since: Seconds | None = None
    configuration: int = 0
    daemons: int = 1
    occupancy: Occupancy = EMPTY
    uses: dict[tuple[EndpointId, WeightsKey], int] = field(default_factory=dict)
    store_answered_at: Seconds = float("-inf")
    store_read_at: Seconds = float("-inf")
    # The sender's time in the last report, and when that report arrived.
    stamp: Seconds | None = None
    stamp_received_at: Seconds = 0.0
    sent_configuration: int = 0
    configuration_sent_at: Seconds = float("-inf")
    # Position in the list of poison facts up to which they were sent to this peer.
    sent_facts_position: int = 0
    # The same for departures.
    sent_departures_position: int = 0
    # When an endpoint last answered it, or any daemon of its group.
    answered_at: Seconds = float("-inf")
    # Daemons that reach endpoints, as it reports, when it was last told of others, and
    # whether it reaches none itself.
    targets: tuple[ForwardTarget, ...] = ()
    sent_targets_at: Seconds = float("-inf")
    is_cut_off: bool = False
    # Daemons that keep origins of streams: as it names them, and as it was told.
    registrars: tuple[Registrar, ...] = ()
    sent_registrars: frozenset[Registrar] | None = None
    # Software versions that it was told.
    sent_software: frozenset[tuple[ServiceName, SoftwareVersion]] = frozenset()
    # Whether it knows less of earlier versions than streams last, as it reports.
    lacks_software: bool = False
    # What streams wait for at their version, there or in its group.
    bound: dict[BoundWeights, int] = field(default_factory=dict)
    # The credits that it requests, and those issued to it.
    credit_holder: CreditHolder = field(default_factory=CreditHolder)

    def require_full_update(self) -> None:
        """Send all rows with the next update, whatever was sent before."""
        self.sent_snapshot = EMPTY_SNAPSHOT
        self.needs_full_update = True
