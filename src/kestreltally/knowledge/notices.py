"""Reports the notices of endpoints to leaders."""

from collections.abc import Callable
from typing import Any

from kestreltally.fleet.model import Seconds
from kestreltally.fleet.notices import NoticeTable
from kestreltally.knowledge.feed_parts import FeedPart
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import decode_notice, encode_notice


class NoticeExchange(FeedPart):
    """Reports the notices in force, and applies those of other daemons as a leader."""

    def __init__(
        self,
        notices: NoticeTable,
        leaders: Leaders,
        clock: Callable[[], Seconds],
    ) -> None:
        self._notices = notices
        self._leaders = leaders
        self._clock = clock

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add the notices in force to a report."""
        known = self._notices.list_known(self._clock())
        report.notices = [encode_notice(each) for each in known]

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Apply the notices of a report, as a leader."""
        if self._leaders.leads:
            received = [decode_notice(each) for each in report.notices or ()]
            self._notices.apply_reported(received, self._clock())
