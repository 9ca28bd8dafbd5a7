"""Reports the streams that wait for weights at the version that they are bound to."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from kestreltally.deployment import Deployment
from kestreltally.fleet.model import (
    Seconds,
    ServiceName,
    SoftwareVersion,
    WeightsKey,
)
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.feed_parts import FeedPart
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import BoundRow
from kestreltally.placing.leader import Leader
from kestreltally.streams.origins import BoundWeights, StreamOrigin


class BoundDemandExchange(FeedPart):
    """Reports what this daemon's streams wait for, as a leader what its group's do.

    ``waiting`` counts this daemon's streams. Every leader is told, as the engines of a
    version may be in any data centre; ``expedite`` tells the other leaders at once.
    """

    def __init__(
        self,
        deployment: Deployment,
        waiting: Mapping[BoundWeights, int],
        get_leader: Callable[[], Leader | None],
        leaders: Leaders,
        feed: FeedServer,
        expedite: Callable[[], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._vm = deployment.vm
        self._waiting = waiting
        self._get_leader = get_leader
        self._leaders = leaders
        self._feed = feed
        self._expedite = expedite
        self._clock = clock

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Report what streams wait for."""
        waiting = Counter(self._waiting)
        if self._leaders.leads:
            for peer in self._feed.list_followers():
                waiting.update(peer.bound)
        report.bound = [_encode(weights, n) for weights, n in waiting.items()] or None

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Apply the report of a follower or of another leader."""
        peer.bound = dict(_decode(row) for row in report.bound or ())
        self._apply(peer.vm, peer.bound, of_group=not peer.leads)

    def apply_local(self) -> None:
        """Apply what this leader's own streams wait for."""
        self._apply(self._vm, dict(self._waiting), of_group=True)

    def _apply(
        self, vm: str, waiting: Mapping[BoundWeights, int], *, of_group: bool
    ) -> None:
        leader = self._get_leader()
        if leader is None or not self._leaders.leads:
            return
        if leader.bound_demand.apply(vm, waiting, self._clock()):
            leader.wake()
            if of_group:
                self._expedite()


def _encode(weights: BoundWeights, waiting: int) -> Any:
    return BoundRow(
        service_name=weights.origin.service,
        software=weights.origin.software,
        model=weights.key.model,
        adapter=weights.key.adapter,
        waiting=waiting,
    )


def _decode(row: Any) -> tuple[BoundWeights, int]:
    software = SoftwareVersion(row.software or "")
    origin = StreamOrigin(ServiceName(row.service_name), software)
    return BoundWeights(origin, WeightsKey(row.model, row.adapter)), row.waiting
