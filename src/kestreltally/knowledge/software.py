"""Tells daemons of the software versions that served before they started."""

from collections.abc import Callable
from typing import Any

from kestreltally.fleet.model import Seconds, ServiceName, SoftwareVersion
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import SoftwareRow
from kestreltally.streams.versions import VersionHistory


class SoftwareExchange(FeedPart):
    """Sends a leader's history of software versions whenever it has another version."""

    def __init__(self, history: VersionHistory, clock: Callable[[], Seconds]) -> None:
        self._history = history
        self._clock = clock

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Tell a daemon of all recent versions if it lacks one."""
        recent = list(self._history.list_ages(self._clock()))
        versions = frozenset((service, software) for service, software, _ in recent)
        if versions <= peer.sent_software:
            return
        peer.sent_software = versions
        update.software = [
            SoftwareRow(service_name=service, software=software, age=age)
            for service, software, age in recent
        ]

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Record the versions that a leader has known."""
        now = self._clock()
        for row in received.update.software or ():
            self._history.record(
                ServiceName(row.service_name),
                SoftwareVersion(row.software or ""),
                now - max(0.0, row.age or 0.0),
            )
