"""Tells daemons of the software versions that served before they started."""

from collections.abc import Callable
from typing import Any

from kestreltally.fleet.model import Seconds, ServiceName, SoftwareVersion
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import SoftwareRow
from kestreltally.streams.versions import MAX_STREAM_LIFE, VersionHistory


class SoftwareExchange(FeedPart):
    """Sends a leader's history of software versions to daemons that lack a part of it.

    These are daemons that lack a version, and those whose own history does not reach
    back as long as streams last.
    """

    def __init__(self, history: VersionHistory, clock: Callable[[], Seconds]) -> None:
        self._history = history
        self._clock = clock

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Report whether this daemon lacks a part of the history."""
        if not self._history.is_complete(self._clock()):
            report.lacks_software = True

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record whether a daemon lacks a part of the history."""
        peer.lacks_software = bool(report.lacks_software)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Tell a daemon of all recent versions if it lacks one, or may lack one."""
        now = self._clock()
        can_complete = peer.lacks_software and self._history.is_complete(now)
        recent = list(self._history.list_ages(now))
        versions = frozenset((service, software) for service, software, _ in recent)
        if versions <= peer.sent_software and not can_complete:
            return
        peer.sent_software = versions
        update.software = [
            SoftwareRow(service_name=service, software=software, age=age)
            for service, software, age in recent
        ]
        if can_complete:
            peer.lacks_software = False
            update.software_known_for = MAX_STREAM_LIFE

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Record the versions that a leader has known."""
        now = self._clock()
        for row in received.update.software or ():
            self._history.record(
                ServiceName(row.service_name),
                SoftwareVersion(row.software or ""),
                now - max(0.0, row.age or 0.0),
            )
        known_for = received.update.software_known_for
        if known_for is not None:
            self._history.record_complete(now - known_for)
