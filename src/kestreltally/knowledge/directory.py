"""Tells all daemons of the daemons that keep the origins of streams.

Each daemon names itself to its leader, each leader its group to the other leaders, and
leaders name all of them to their followers. However many daemons there are, a data
centre names at most ``MAX_KEEPERS``.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final

from kestreltally.deployment import Deployment, SocketAddress
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import KeeperRow
from kestreltally.streams.keepers import Keeper, choose_lowest

# Enough to share the work, and few enough to be named in one message.
MAX_KEEPERS: Final = 32
# A daemon that is not named any more is still asked for this long: a new leader does
# not know all of its followers at once.
KEEPER_TTL: Final[Seconds] = 3.0
# The list is sent again at this interval while it stays the same.
ROWS_INTERVAL: Final[Seconds] = 1.0


class KeeperDirectory(FeedPart):
    """The daemons that keep origins of streams, as far as this daemon knows."""

    def __init__(
        self,
        deployment: Deployment,
        leaders: Leaders,
        feed: FeedServer,
        clock: Callable[[], Seconds],
    ) -> None:
        self.own = Keeper(deployment.peers, deployment.data_centre)
        self._leaders = leaders
        self._feed = feed
        self._clock = clock
        self._named_at: dict[Keeper, Seconds] = {}
        # When the list was last sent, by the data centre of the leader.
        self._reported_at: dict[str, Seconds] = {}

    def list_others(self) -> list[Keeper]:
        """Return the other daemons that keep origins of streams."""
        if self._leaders.leads:
            return [each for each in self._list_known() if each != self.own]
        return list(self._named_at)

    def record_connected(self, data_centre: str) -> None:
        """Report at once over a new connection."""
        self._reported_at.pop(data_centre, None)

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Name this daemon to its leader, or its group to another leader."""
        now = self._clock()
        if now - self._reported_at.get(data_centre, float("-inf")) < ROWS_INTERVAL:
            return
        self._reported_at[data_centre] = now
        report.keepers = [_encode(each) for each in self._list_group()]

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record the daemons that a follower or another leader names."""
        if report.keepers is not None:
            peer.keepers = tuple(_decode(row) for row in report.keepers)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Name all daemons to a follower, at once if they have changed."""
        now = self._clock()
        known = frozenset(self._list_known())
        is_due = now - peer.sent_keepers_at >= ROWS_INTERVAL
        if peer.leads or not (is_due or known != peer.sent_keepers):
            return
        peer.sent_keepers, peer.sent_keepers_at = known, now
        update.keepers = [_encode(each) for each in known]

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Record the daemons that a leader names."""
        rows = received.update.keepers
        if rows is None:
            return
        now = self._clock()
        for row in rows:
            self._named_at[_decode(row)] = now
        self._named_at.pop(self.own, None)
        oldest = now - KEEPER_TTL
        self._named_at = {k: at for k, at in self._named_at.items() if at >= oldest}

    def _list_group(self) -> list[Keeper]:
        """Return this daemon, as a leader with its followers."""
        if not self._leaders.leads:
            return [self.own]
        return self._select(self._feed.list_followers())

    def _list_known(self) -> list[Keeper]:
        """Return the daemons of all groups that this leader hears of."""
        named = (peer.keepers for peer in self._feed.list_leaders())
        others = (keeper for keepers in named for keeper in keepers)
        return list({*self._list_group(), *others})

    def _select(self, followers: Iterable[Peer]) -> list[Keeper]:
        named = (keeper for peer in followers for keeper in peer.keepers)
        return choose_lowest({self.own, *named}, MAX_KEEPERS)


def _encode(keeper: Keeper) -> Any:
    return KeeperRow(
        host=keeper.address.host,
        port=keeper.address.port,
        data_centre=keeper.data_centre,
    )


def _decode(row: Any) -> Keeper:
    return Keeper(SocketAddress(row.host, row.port), row.data_centre)
