"""A daemon that is connected to this one's feed."""

from dataclasses import dataclass, field

from kestreltally.entry.occupancy import EMPTY, Fullness
from kestreltally.fleet.model import EndpointId, Seconds, WeightsKey
from kestreltally.knowledge.frames import FrameStream
from kestreltally.knowledge.updates import EMPTY_SNAPSHOT, Snapshot
from kestreltally.placing.turns import Borrower


@dataclass(slots=True, eq=False)
class Peer:
    """A daemon that is connected; ``leads`` is not empty for another leader.

    ``follows`` tells that it follows this leader: where no leader knows what the store
    holds, a daemon is connected to all of them, and follows one.
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
    occupancy: Fullness = EMPTY
    uses: dict[tuple[EndpointId, WeightsKey], int] = field(default_factory=dict)
    store_answered_at: Seconds = float("-inf")
    store_read_at: Seconds = float("-inf")
    # The last report's own time, and when it arrived here.
    stamp: Seconds | None = None
    stamp_received_at: Seconds = 0.0
    sent_configuration: int = 0
    configuration_sent_at: Seconds = float("-inf")
    # Up to where it was told what is known of requests at ends.
    sent_facts_position: int = 0
    # The turns that it wants, and those lent to it.
    credit_holder: Borrower = field(default_factory=Borrower)
