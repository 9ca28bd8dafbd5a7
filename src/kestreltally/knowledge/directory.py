"""Tells all daemons of the daemons that keep the origins of streams.

Each daemon names itself to its leader, each leader its group to the other leaders, and
leaders name all of them to their followers. However many daemons there are, a data
centre names at most ``MAX_REGISTRARS``.
"""

from collections.abc import Callable
from typing import Any, Final

from kestreltally.deployment import Deployment, SocketAddress
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import RegistrarRow
from kestreltally.streams.registrars import Registrar, choose_lowest

# Enough to share the work, and few enough to be named in one message.
MAX_REGISTRARS: Final = 32
# A daemon that is not named any more is still asked for this long: a new leader does
# not know all of its followers at once.
REGISTRAR_TTL: Final[Seconds] = 3.0
# A leader looks this often whether the daemons have changed.
LIST_INTERVAL: Final[Seconds] = 0.5

Registrars = frozenset[Registrar]


class RegistrarDirectory(FeedPart):
    """The daemons that keep origins of streams, as far as this daemon knows."""

    def __init__(
        self,
        deployment: Deployment,
        leaders: Leaders,
        feed: FeedServer,
        clock: Callable[[], Seconds],
    ) -> None:
        self._own = Registrar(deployment.peers, deployment.data_centre)
        self._leaders = leaders
        self._feed = feed
        self._clock = clock
        self._known: Registrars = frozenset()
        # Those that are not named any more, and since when.
        self._unnamed_at: dict[Registrar, Seconds] = {}
        # What this daemon has named over its connections, by the leader's data centre.
        self._reported: dict[str, Registrars] = {}
        # This leader's group, and when it was listed.
        self._group: Registrars = frozenset({self._own})
        self._listed_at: Seconds = float("-inf")

    def list_others(self) -> list[Registrar]:
        """Return the other daemons that keep origins of streams."""
        self._list_as_leader()
        oldest = self._clock() - REGISTRAR_TTL
        self._unnamed_at = {k: t for k, t in self._unnamed_at.items() if t >= oldest}
        return [each for each in (*self._known, *self._unnamed_at) if each != self._own]

    def record_connected(self, data_centre: str) -> None:
        """Name this daemon again over a new connection."""
        self._reported.pop(data_centre, None)

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Name this daemon to its leader, or its group to another leader."""
        self._list_as_leader()
        group = self._group if self._leaders.leads else frozenset({self._own})
        if self._reported.get(data_centre) != group:
            self._reported[data_centre] = group
            report.registrars = [_encode(each) for each in group]

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record the daemons that a follower or another leader names."""
        if report.registrars is not None:
            peer.registrars = tuple(_decode(row) for row in report.registrars)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Name all daemons to a follower once they have changed."""
        self._list_as_leader()
        if peer.leads or peer.sent_registrars is self._known:
            return
        peer.sent_registrars = self._known
        update.registrars = [_encode(each) for each in self._known]

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Record the daemons that a leader names."""
        rows = received.update.registrars
        if rows is not None and not self._leaders.leads:
            self._replace_known(frozenset(_decode(row) for row in rows))

    def _list_as_leader(self) -> None:
        """List the daemons of all groups that this leader hears of."""
        now = self._clock()
        if not self._leaders.leads or now - self._listed_at < LIST_INTERVAL:
            return
        self._listed_at = now
        followers = {r for peer in self._feed.list_followers() for r in peer.registrars}
        group = choose_lowest({self._own, *followers}, MAX_REGISTRARS)
        self._group = frozenset(group)
        others = {r for peer in self._feed.list_leaders() for r in peer.registrars}
        self._replace_known(self._group | others)

    def _replace_known(self, known: Registrars) -> None:
        if known == self._known:
            return
        now = self._clock()
        self._unnamed_at.update(dict.fromkeys(self._known - known, now))
        for each in known:
            self._unnamed_at.pop(each, None)
        self._known = known


def _encode(registrar: Registrar) -> Any:
    return RegistrarRow(
        host=registrar.address.host,
        port=registrar.address.port,
        data_centre=registrar.data_centre,
    )


def _decode(row: Any) -> Registrar:
    return Registrar(SocketAddress(row.host, row.port), row.data_centre)
