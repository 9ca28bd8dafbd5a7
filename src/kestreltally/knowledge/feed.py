"""A leader's side of the feed: takes reports in and sends updates out."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.occupancy import Fullness
from kestreltally.events import wait_at_most
from kestreltally.fleet.model import EndpointId, Seconds, WeightsKey
from kestreltally.knowledge.feed_parts import FeedPart
from kestreltally.knowledge.frames import FrameStream, MalformedFrame
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import (
    decode_occupancy,
    decode_use,
    encode_occupancy,
    encode_throttle,
)
from kestreltally.knowledge.structs import Report, Update
from kestreltally.knowledge.updates import (
    LeaderState,
    Rows,
    UpdateMaker,
    UpdateRound,
    Versions,
    encode_leaders,
)
from kestreltally.quotas.spending import Word
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.feed")

# Followers hold a feed that is silent for three of these as lost.
UPDATE_INTERVAL: Final[Seconds] = 0.2
# A daemon that does not lead has nothing to send; it is woken when it begins to.
IDLE_INTERVAL: Final[Seconds] = 1.0
# Changes within this time go out together: a tenth of what a load takes, and with many
# followers, each of whom wakes for every update, up to a fifth.
MIN_BATCH_DELAY: Final[Seconds] = 0.02
MAX_BATCH_DELAY: Final[Seconds] = 0.05
BATCH_DELAY_PER_FOLLOWER: Final[Seconds] = 0.002
# Counts that have changed notably go out between the regular updates, not more often
# than this: a long prompt is read for some 0.25 s.
MIN_TOTALS_INTERVAL: Final[Seconds] = 0.04
# With many followers less often: a leader sends at most some 250 counts a second.
TOTALS_INTERVAL_PER_FOLLOWER: Final[Seconds] = 0.004
# A change by so many tokens, which take 50 to 100 ms to read, is notable.
SIGNIFICANT_TOKENS: Final = 2_048
# A daemon that has more than this still to read is told nothing new until it has read
# it, so that what it hears is fresh: on the thinnest link, 10 Mbit/s, some 25 ms.
MAX_UNSENT_BYTES: Final = 2**15
# One that reads nothing for this long is dropped.
UNSENT_TIMEOUT: Final[Seconds] = 3.0
# A configuration that a daemon still lacks after this is sent once more.
CONFIGURATION_RETRY_INTERVAL: Final[Seconds] = 1.0


@dataclass(frozen=True, slots=True)
class Totals:
    """How full endpoints are over all daemons, and how many daemons there are.

    ``throttles`` are the structs on organisations at their limit, none without quotas.
    """

    occupancy: Fullness
    daemons: int
    throttles: list[Any] | None


class FeedServer:
    """Listens for the other daemons; only a leader's answers carry rows."""

    def __init__(
        self,
        state: Callable[[], LeaderState],
        rows: Callable[[], Rows],
        versions: Callable[[], Versions],
        apply_report: Callable[[Any], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._state = state
        self._maker = UpdateMaker(state, rows, versions)
        self._apply_report = apply_report
        self._clock = clock
        self._peers: set[Peer] = set()
        self._wake = asyncio.Event()
        self._totals_sent_at: Seconds = float("-inf")
        self._totals_changed = False
        # Called when daemons that report here have notably more or less to be read.
        self.notify_totals_change: Callable[[Peer], None] = lambda _: None
        # Tells whether this daemon leads, and knows what to tell.
        self.is_leading: Callable[[], bool] = lambda: bool(state().leads)
        # Returns the words on organisations at their limit, none without quotas.
        self.make_throttles: Callable[[], Iterable[Word] | None] = lambda: None
        # What take their own from reports, and put it into updates.
        self.parts: Sequence[FeedPart] = ()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``OSError``."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Listen no more, and let go of all daemons that are connected."""
        if self._server is not None:
            self._server.close()
        for peer in list(self._peers):
            peer.stream.abort()

    def expedite(self) -> None:
        """Send what has changed soon."""
        self._wake.set()

    def expedite_totals(self) -> None:
        """Send how full endpoints are soon."""
        self._totals_changed = True
        self._wake.set()

    def list_followers(self) -> list[Peer]:
        """Return the daemons that are connected, but for other leaders."""
        return [peer for peer in self._peers if peer.vm and not peer.leads]

    def list_leaders(self) -> list[Peer]:
        """Return the leaders of other data centres that are connected."""
        return [peer for peer in self._peers if peer.vm and peer.leads]

    def list_uses(self) -> list[Mapping[tuple[EndpointId, WeightsKey], int]]:
        """Return what each daemon that is connected has in use."""
        return [peer.uses for peer in self._peers if peer.vm]

    def get_store_answered_at(self) -> Seconds:
        """Return when the store last answered another daemon, as far as is known."""
        times = (peer.store_answered_at for peer in self._peers)
        return max(times, default=float("-inf"))

    def get_store_read_at(self) -> Seconds:
        """Return when another daemon last read the store, as far as is known."""
        times = (peer.store_read_at for peer in self._peers)
        return max(times, default=float("-inf"))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = writer.get_extra_info("socket")
        if connection is not None:
            harden_socket(connection)
        peer = Peer(FrameStream(reader, writer))
        self._peers.add(peer)
        try:
            while True:
                report = await peer.stream.receive(Report)
                self._record_report(peer, report)
                leads = self.is_leading()
                if peer.needs_full_update or not leads:
                    totals = self._make_totals() if leads else None
                    self._send(peer, self._maker.start_round(), totals)
        except (
            OSError,
            EOFError,
            MalformedFrame,
            asyncio.IncompleteReadError,
        ) as error:
            log_decision(
                LOG, Decision.FEED_DAEMON_LOST, peer=peer.vm, reason=repr(error)
            )
        finally:
            self._peers.discard(peer)
            peer.stream.close()

    def _record_report(self, peer: Peer, report: Any) -> None:
        peer.vm = report.vm
        peer.stamp, peer.stamp_received_at = report.stamp, self._clock()
        peer.leads = frozenset(report.leads or ())
        peer.follows = bool(report.follows)
        peer.configuration = report.configuration
        peer.daemons = report.daemons or 1
        before, peer.occupancy = peer.occupancy, decode_occupancy(report)
        uses = [decode_use(each) for each in report.uses or ()]
        peer.uses = {(endpoint, key): count for endpoint, key, count in uses}
        peer.store_answered_at = self._clock() - report.store_age
        if report.read_age is not None:
            peer.store_read_at = self._clock() - report.read_age
        self._apply_report(report)
        for part in self.parts:
            part.apply_report(peer, report)
        if differs_significantly(before, peer.occupancy):
            self.notify_totals_change(peer)

    async def run(self) -> None:
        """Send updates for ever while this daemon leads."""
        while True:
            if not self.is_leading():
                self._totals_sent_at = self._clock()
                if await wait_at_most(self._wake, IDLE_INTERVAL):
                    self._wake.clear()
                continue
            if await wait_at_most(self._wake, self._compute_update_delay()):
                await asyncio.sleep(self._compute_batch_delay())
            self._wake.clear()
            if self.is_leading():
                self.send_all()

    def _compute_batch_delay(self) -> Seconds:
        """Return how long changes are gathered."""
        scaled = BATCH_DELAY_PER_FOLLOWER * len(self.list_followers())
        return min(MAX_BATCH_DELAY, max(MIN_BATCH_DELAY, scaled))

    def _compute_totals_interval(self) -> Seconds:
        """Return how long counts are not sent again."""
        if not self._totals_changed:
            return UPDATE_INTERVAL
        followers = len(self.list_followers())
        interval = max(MIN_TOTALS_INTERVAL, TOTALS_INTERVAL_PER_FOLLOWER * followers)
        return min(UPDATE_INTERVAL, interval)

    def _compute_update_delay(self) -> Seconds:
        """Return how long until counts are due."""
        passed = self._clock() - self._totals_sent_at
        return max(0.0, min(UPDATE_INTERVAL, self._compute_totals_interval() - passed))

    def send_all(self) -> None:
        """Send an update to every daemon that has reported."""
        now = self._clock()
        totals = None
        if now - self._totals_sent_at >= self._compute_totals_interval():
            totals = self._make_totals()
            self._totals_sent_at = now
            self._totals_changed = False
        current = self._maker.start_round()
        for peer in list(self._peers):
            if peer.vm:
                self._send(peer, current, totals)

    def _make_totals(self) -> Totals:
        """Return the counts of this moment, for all followers alike."""
        throttles = self.make_throttles()
        return Totals(
            occupancy=self.sum_occupancy(),
            daemons=self.count_daemons(),
            throttles=(
                None
                if throttles is None
                else [encode_throttle(each) for each in throttles]
            ),
        )

    def _send(self, peer: Peer, current: UpdateRound, totals: Totals | None) -> None:
        """Write an update, unless the peer has yet to read the one before."""
        if self._is_lagging(peer):
            return
        update, sent = current.make_update(
            peer.sent_snapshot, leads=bool(peer.leads), whole=peer.needs_full_update
        )
        if current.state.leads:
            peer.sent_snapshot = sent
            peer.needs_full_update = False
            if totals is not None:
                update.leaders = encode_leaders(current.state.leaders)
            if totals is not None and not peer.leads:
                encode_occupancy(update, totals.occupancy)
                update.daemons = totals.daemons
                update.words = totals.throttles
            _fill_authority(update, peer, current.state)
            for part in self.parts:
                part.fill_update(update, peer)
        if self._should_send_configuration(peer, current.state.configuration_version):
            update.configuration = current.state.configuration
        peer.stream.send(update)

    def _is_lagging(self, peer: Peer) -> bool:
        """Tell whether a peer has much to read still; drop one that does not read."""
        now = self._clock()
        if peer.stream.unsent <= MAX_UNSENT_BYTES:
            peer.unsent_since = None
            return False
        if peer.unsent_since is None:
            peer.unsent_since = now
        elif now - peer.unsent_since > UNSENT_TIMEOUT:
            log_decision(LOG, Decision.FEED_DAEMON_DOES_NOT_READ, peer=peer.vm)
            peer.stream.abort()
        return True

    def _should_send_configuration(self, peer: Peer, version: int) -> bool:
        """Tell whether to send the configuration, and note that it is sent."""
        if peer.configuration >= version:
            return False
        now = self._clock()
        recent = now - peer.configuration_sent_at < CONFIGURATION_RETRY_INTERVAL
        # Other leaders watch for themselves: they are told only if that fails them.
        is_sent = peer.sent_configuration == version
        if peer.leads and not is_sent:
            recent = is_sent = True
            peer.sent_configuration = version
            peer.configuration_sent_at = now
        if is_sent and recent:
            return False
        peer.sent_configuration = version
        peer.configuration_sent_at = now
        return True

    measure_local: Callable[[], Fullness]

    def count_group(self) -> int:
        """Return how many daemons this one and its followers are."""
        return 1 + sum(peer.follows for peer in self.list_followers())

    def count_daemons(self) -> int:
        """Return how many daemons there are over all leaders heard."""
        return self.count_group() + sum(peer.daemons for peer in self.list_leaders())

    def sum_group_occupancy(self) -> Fullness:
        """Return what this daemon and its followers have under way."""
        followers = (peer.occupancy for peer in self.list_followers())
        return Fullness.total((self.measure_local(), *followers))

    def sum_occupancy(self) -> Fullness:
        """Return what all daemons have under way."""
        peers = (peer.occupancy for peer in self._peers if peer.vm)
        return Fullness.total((self.measure_local(), *peers))


def _fill_authority(update: Update, peer: Peer, state: LeaderState) -> None:
    """Answer a report's time with how much later all is known here."""
    if state.known_at is not None and peer.stamp is not None:
        update.echo = peer.stamp
        update.known_by = state.known_at - peer.stamp_received_at


def differs_significantly(before: Fullness, after: Fullness) -> bool:
    """Tell whether notably more or less is to be read at some endpoint."""
    return any(
        abs(before.unread.get(name, 0) - after.unread.get(name, 0))
        >= SIGNIFICANT_TOKENS
        for name in before.unread.keys() | after.unread.keys()
    )
