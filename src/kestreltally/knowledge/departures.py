"""Tells all daemons which endpoints have left, whoever learns of it first.

A departure is a fact: an incarnation of an endpoint says that it leaves, or the store
lacks its entry as of a revision. Daemons report the departures that they see in the
store themselves to the leaders that they are connected to, and leaders send each
departure once to every connected daemon, of any data centre. So a leader that has lost
the store learns of them from the other leaders.

A leader that connects is sent the names of all endpoints that are listed as well: what
it lists and the sender lacks, as of a later revision, has left before they connected.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import DepartureRow
from kestreltally.platform.store import Revision

# A daemon that connects is sent the departures of this time.
RETENTION: Final[Seconds] = 60.0
# Reports repeat a departure for this long, so that it reaches a leader that connects
# meanwhile. Later ones are in the list that such a leader reads itself.
REPORT_DURATION: Final[Seconds] = 2.0
MAX_DEPARTURES: Final = 4_096


@dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of an endpoint that has left.

    ``revision`` is that of the store as of which its entry is missing, None if the
    endpoint says that it leaves. One that is not ``certain`` may just have expired.
    """

    endpoint: EndpointId
    start_time_ms: int
    revision: Revision | None
    certain: bool


@dataclass(frozen=True, slots=True)
class _LoggedDeparture:
    """A departure, its position in the log, when it was added, and who saw it."""

    position: int
    added_at: Seconds
    departure: Departure
    seen_here: bool


class DepartureLog:
    """The departures in the order in which this daemon learned of them."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._logged: deque[_LoggedDeparture] = deque(maxlen=MAX_DEPARTURES)
        self.position = 0
        # Called when a departure is added, with whether this daemon has seen it itself.
        self.notify_added: Callable[[bool], None] = lambda _: None

    def add(self, departure: Departure, *, seen_here: bool) -> None:
        """Append a departure that is new to this daemon."""
        self.position += 1
        self._logged.append(
            _LoggedDeparture(self.position, self._clock(), departure, seen_here)
        )
        self.notify_added(seen_here)

    def discard(self, endpoint: EndpointId) -> None:
        """Remove the departures of an endpoint that is listed again."""
        kept = [each for each in self._logged if each.departure.endpoint != endpoint]
        self._logged = deque(kept, maxlen=MAX_DEPARTURES)

    def list_since(self, position: int) -> list[Departure]:
        """Return the departures after a position, oldest first."""
        if position == self.position:
            return []
        oldest = self._clock() - RETENTION
        return [
            each.departure
            for each in self._logged
            if each.position > position and each.added_at > oldest
        ]

    def list_recent(self) -> list[Departure]:
        """Return the departures seen by this daemon that reports still repeat."""
        oldest = self._clock() - REPORT_DURATION
        if not self._logged or self._logged[-1].added_at < oldest:
            return []
        return [
            each.departure
            for each in self._logged
            if each.seen_here and each.added_at >= oldest
        ]


class DepartureExchange(FeedPart):
    """Reports and sends departures; ``apply`` applies one of another daemon."""

    def __init__(
        self,
        log: DepartureLog,
        leaders: Leaders,
        apply: Callable[[Departure, str], None],
    ) -> None:
        self._log = log
        self._leaders = leaders
        self._apply = apply

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add the latest departures to a report."""
        recent = self._log.list_recent()
        report.departures = [_encode(each) for each in recent] or None

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Apply the departures of a report, as a leader."""
        if self._leaders.leads:
            for row in report.departures or ():
                self._apply(_decode(row), report.vm)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Add the departures that were not sent to the daemon yet."""
        departures = self._log.list_since(peer.sent_departures_position)
        update.departures = [_encode(each) for each in departures] or None
        peer.sent_departures_position = self._log.position

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply the departures of an update."""
        for row in received.update.departures or ():
            self._apply(_decode(row), received.update.leader)


def _encode(departure: Departure) -> Any:
    row = DepartureRow(
        endpoint=departure.endpoint,
        born=departure.start_time_ms,
        certain=departure.certain,
    )
    if departure.revision is not None:
        row.revision = departure.revision.number
        row.era = departure.revision.era
    return row


def _decode(row: Any) -> Departure:
    revision = None if row.revision is None else Revision(row.era, row.revision)
    return Departure(
        EndpointId(row.endpoint), row.born or 0, revision, bool(row.certain)
    )
