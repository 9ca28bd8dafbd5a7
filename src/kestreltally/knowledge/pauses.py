"""Reports the pauses of streams to leaders, which decide where prompts are paced."""

import logging
from collections.abc import Callable
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import PauseRow
from kestreltally.pacing.pauses import PacingSwitch, PauseCounter, StreamPauses

LOG = logging.getLogger("kestreltally.pacing")

NO_SERVICES: Final[frozenset[ServiceName]] = frozenset()


class PauseExchange(FeedPart):
    """Sums up the pauses of a leader's group, and tells it where prompts are paced.

    Each leader decides for the daemons that follow it. ``counter`` has this daemon's
    own streams.
    """

    def __init__(
        self, counter: PauseCounter, leaders: Leaders, clock: Callable[[], Seconds]
    ) -> None:
        self._counter = counter
        self._leaders = leaders
        self._clock = clock
        self._switch = PacingSwitch()
        self._paced = NO_SERVICES

    def is_paced(self, service: ServiceName) -> bool:
        """Return whether long prompts of a service wait for their turn."""
        return service in self._paced

    def run_maintenance(self) -> None:
        """Decide as a leader; without any leader prompts are not paced."""
        if self._leaders.leads:
            self._switch.apply(self._counter.pop(), self._clock())
            self._set_paced(self._switch.list_paced(self._clock()))
        elif self._leaders.find_primary() is None:
            self._set_paced(NO_SERVICES)

    def _set_paced(self, services: frozenset[ServiceName]) -> None:
        if services == self._paced:
            return
        self._paced = services
        log_decision(LOG, Decision.PACING_CHANGED, services=sorted(services))

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add the pauses of this daemon's streams to a report to its leader."""
        if self._leaders.leads or self._leaders.find_primary() != data_centre:
            return
        report.pauses = [
            PauseRow(
                service_name=each.service,
                streams=each.streams,
                stretched=each.stretched,
            )
            for each in self._counter.pop()
        ]

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Add the pauses of a follower's streams, as a leader."""
        if not self._leaders.leads:
            return
        received = [
            StreamPauses(ServiceName(row.service_name), row.streams, row.stretched)
            for row in report.pauses or ()
        ]
        self._switch.apply(received, self._clock())

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Name the paced services in an update."""
        if not peer.leads:
            update.paced = sorted(self._paced)

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply what the followed leader says."""
        if received.followed and not self._leaders.leads:
            names = received.update.paced or ()
            self._set_paced(frozenset(ServiceName(each) for each in names))
