"""The leader's side of the feed: receives reports and sends updates."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.occupancy import Occupancy
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
from kestreltally.quotas.spending import Throttle
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.feed")

# Followers treat a feed as lost after a silence of three intervals.
UPDATE_INTERVAL: Final[Seconds] = 0.2
# A daemon that does not lead has nothing to send; it is woken when it starts to lead.
IDLE_INTERVAL: Final[Seconds] = 1.0
# Changes within the batch delay are sent together. The delay is a tenth of the duration
# of a load. With many followers it is up to a fifth, as every update wakes all of them.
MIN_BATCH_DELAY: Final[Seconds] = 0.02
MAX_BATCH_DELAY: Final[Seconds] = 0.05
BATCH_DELAY_PER_FOLLOWER: Final[Seconds] = 0.002
# Totals that have changed significantly are sent between the regular updates, at most
# once in this interval. The prefill of a long prompt takes about 0.25 s.
MIN_TOTALS_INTERVAL: Final[Seconds] = 0.04
# The interval grows with the followers: a leader sends about 250 totals/s at most.
TOTALS_INTERVAL_PER_FOLLOWER: Final[Seconds] = 0.004
# A change of at least this many unread tokens is significant: their prefill takes an
# engine 50 to 100 ms.
SIGNIFICANT_TOKENS: Final = 2_048
# A daemon with more unsent bytes than this gets no further update until it has read
# them, so that updates stay recent: about 25 ms on the slowest link of 10 Mbit/s.
MAX_UNSENT_BYTES: Final = 2**15
# A daemon that stays above that limit for this long is disconnected.
UNSENT_TIMEOUT: Final[Seconds] = 3.0
# A configuration is sent again if a daemon still lacks it after this interval.
CONFIGURATION_RETRY_INTERVAL: Final[Seconds] = 1.0
# Other leaders watch the store. They are sent a configuration if they still lack it
# when two of their reports have come since it was known here.
LEADER_CONFIGURATION_DELAY: Final[Seconds] = 0.4


@dataclass(frozen=True, slots=True)
class Totals:
    """Occupancy of the endpoints summed over all daemons, and the number of daemons.

    ``throttles`` are the structs for organisations at their limit, None without quotas.
    """

    occupancy: Occupancy
    daemons: int
    throttles: list[Any] | None


class FeedServer:
    """Accepts connections of the other daemons; only a leader's updates carry rows."""

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
        # Called when a peer's number of unread prompt tokens changes significantly.
        self.notify_totals_change: Callable[[Peer], None] = lambda _: None
        # Returns whether this daemon leads and has rows to send.
        self.is_leading: Callable[[], bool] = lambda: bool(state().leads)
        # Returns the number of daemons that followers are told.
        self.count_all: Callable[[], int] = self.count_daemons
        # Returns the throttles of organisations at their limit, None without quotas.
        self.make_throttles: Callable[[], Iterable[Throttle] | None] = lambda: None
        # Each part reads its fields from reports, and fills those of updates.
        self.parts: Sequence[FeedPart] = ()
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self._is_closed = False

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``OSError``."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening, disconnect all daemons, and wait until none is served.

        A serving task must not be cancelled: the callback of its stream would raise.
        """
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        for peer in list(self._peers):
            peer.stream.abort()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def expedite(self) -> None:
        """Send changes after the batch delay, ahead of the next regular update."""
        self._wake.set()

    def expedite_totals(self) -> None:
        """Send totals ahead of the next regular update."""
        self._totals_changed = True
        self._wake.set()

    def list_followers(self) -> list[Peer]:
        """Return the connected daemons except other leaders."""
        return [peer for peer in self._peers if peer.vm and not peer.leads]

    def list_leaders(self) -> list[Peer]:
        """Return the connected leaders of other data centres."""
        return [peer for peer in self._peers if peer.vm and peer.leads]

    def list_uses(self) -> list[Mapping[tuple[EndpointId, WeightsKey], int]]:
        """Return the weights that each connected daemon has in use."""
        return [peer.uses for peer in self._peers if peer.vm]

    def get_store_answered_at(self) -> Seconds:
        """Return when the store last answered a peer's lease renewal."""
        times = (peer.store_answered_at for peer in self._peers)
        return max(times, default=float("-inf"))

    def get_store_read_at(self) -> Seconds:
        """Return when a peer last read the endpoints from the store."""
        times = (peer.store_read_at for peer in self._peers)
        return max(times, default=float("-inf"))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = writer.get_extra_info("socket")
        if connection is not None:
            harden_socket(connection)
        peer = Peer(FrameStream(reader, writer))
        if self._is_closed:
            peer.stream.abort()
            return
        self._record_serving()
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

    def _record_serving(self) -> None:
        """Keep the current task until it ends, so that ``close`` can wait for it."""
        task = asyncio.current_task()
        if task is not None:
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    def _record_report(self, peer: Peer, report: Any) -> None:
        peer.vm = report.vm
        peer.stamp, peer.stamp_received_at = report.stamp, self._clock()
        led_before, peer.leads = peer.leads, frozenset(report.leads or ())
        if led_before and not peer.leads:
            # Until now it was sent only the endpoints that this leader leads.
            peer.require_full_update()
        if report.wants_full:
            peer.require_full_update()
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
        """Send updates whenever this daemon leads; runs forever."""
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
        """Return how long to collect changes for one update."""
        scaled = BATCH_DELAY_PER_FOLLOWER * len(self.list_followers())
        return min(MAX_BATCH_DELAY, max(MIN_BATCH_DELAY, scaled))

    def _compute_totals_interval(self) -> Seconds:
        """Return the minimum time between two updates with totals."""
        if not self._totals_changed:
            return UPDATE_INTERVAL
        followers = len(self.list_followers())
        interval = max(MIN_TOTALS_INTERVAL, TOTALS_INTERVAL_PER_FOLLOWER * followers)
        return min(UPDATE_INTERVAL, interval)

    def _compute_update_delay(self) -> Seconds:
        """Return the time until totals are due."""
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
        update_round = self._maker.start_round()
        for peer in list(self._peers):
            if peer.vm:
                self._send(peer, update_round, totals)

    def _make_totals(self) -> Totals:
        """Return the current totals, which are the same for all followers."""
        throttles = self.make_throttles()
        return Totals(
            occupancy=self.sum_occupancy(),
            daemons=self.count_all(),
            throttles=(
                None
                if throttles is None
                else [encode_throttle(each) for each in throttles]
            ),
        )

    def _send(
        self, peer: Peer, update_round: UpdateRound, totals: Totals | None
    ) -> None:
        """Write an update, unless the peer lags behind earlier ones."""
        if self._is_lagging(peer):
            return
        update, sent = update_round.make_update(
            peer.sent_snapshot, leads=bool(peer.leads), is_full=peer.needs_full_update
        )
        if update_round.state.leads:
            peer.sent_snapshot = sent
            peer.needs_full_update = False
            if totals is not None:
                update.leaders = encode_leaders(update_round.state.leaders)
            if totals is not None and not peer.leads:
                encode_occupancy(update, totals.occupancy)
                update.daemons = totals.daemons
                update.words = totals.throttles
            _fill_authority(update, peer, update_round.state)
            for part in self.parts:
                part.fill_update(update, peer)
        if self._should_send_configuration(
            peer, update_round.state.configuration_version
        ):
            update.configuration = update_round.state.configuration
        peer.stream.send(update)

    def _is_lagging(self, peer: Peer) -> bool:
        """Return whether a peer has much unsent data; drop one that does not read."""
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
        """Return whether to send the configuration, and record that it is sent."""
        if peer.configuration >= version:
            return False
        now = self._clock()
        interval = (
            LEADER_CONFIGURATION_DELAY if peer.leads else CONFIGURATION_RETRY_INTERVAL
        )
        recent = now - peer.configuration_sent_at < interval
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

    measure_local: Callable[[], Occupancy]

    def count_group(self) -> int:
        """Return the number of daemons in this group: this one and its followers."""
        return 1 + len({peer.vm for peer in self.list_followers() if peer.follows})

    def count_daemons(self) -> int:
        """Return the number of daemons in the groups of all connected leaders.

        A leader that has connected again is counted once, while its former connection
        is still open.
        """
        groups = {peer.vm: peer.daemons for peer in self.list_leaders()}
        return self.count_group() + sum(groups.values())

    def count_reporting(self, max_age: Seconds) -> int:
        """Return the number of daemons in all groups whose reports arrive now.

        A connection that was cut counts for longer, until it fails.
        """
        oldest = self._clock() - max_age
        heard = [p for p in self._peers if p.vm and p.stamp_received_at >= oldest]
        return 1 + sum(p.daemons if p.leads else int(p.follows) for p in heard)

    def sum_group_occupancy(self) -> Occupancy:
        """Return the occupancy caused by this daemon and its followers."""
        followers = (peer.occupancy for peer in self.list_followers())
        return Occupancy.total((self.measure_local(), *followers))

    def sum_occupancy(self) -> Occupancy:
        """Return the occupancy caused by all connected daemons and this one."""
        peers = (peer.occupancy for peer in self._peers if peer.vm)
        return Occupancy.total((self.measure_local(), *peers))


def _fill_authority(update: Update, peer: Peer, state: LeaderState) -> None:
    """Set the time up to which all writes are known, relative to a report's arrival."""
    if peer.stamp is None:
        return
    update.echo = peer.stamp
    if state.known_at is not None:
        update.known_by = state.known_at - peer.stamp_received_at
    if state.endpoints_known_at is not None:
        update.endpoints_known_by = state.endpoints_known_at - peer.stamp_received_at
    if state.versions_known_at is not None:
        update.versions_known_by = state.versions_known_at - peer.stamp_received_at


def differs_significantly(before: Occupancy, after: Occupancy) -> bool:
    """Return whether the unread tokens of an endpoint changed significantly."""
    return any(
        abs(before.unread.get(name, 0) - after.unread.get(name, 0))
        >= SIGNIFICANT_TOKENS
        for name in before.unread.keys() | after.unread.keys()
    )
