"""A leader's side of the feed: takes reports in and sends updates out."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, WeightsKey
from kestreltally.knowledge.frames import IDL, FrameStream, MalformedFrame
from kestreltally.knowledge.rows import (
    decode_use,
    differs_in_weights_only,
    encode_change,
    encode_endpoint,
    encode_weights,
)
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.feed")

# Followers hold a feed that is silent for three of these as lost.
UPDATE_EVERY: Final[Seconds] = 0.2
# Changes within this time go out together.
GATHER: Final[Seconds] = 0.005
WRITE_LIMIT: Final = 2**22
# A configuration that a daemon still lacks after this is sent once more.
CONFIGURATION_AGAIN: Final[Seconds] = 1.0


@dataclass(frozen=True, slots=True)
class LedDataCentre:
    """A lease that is held, or was resigned, with its number and revision."""

    data_centre: str
    fence: int
    revision: int


@dataclass(frozen=True, slots=True)
class LeaderState:
    """What each update tells besides rows."""

    leader: str
    leads: tuple[LedDataCentre, ...]
    resigned: tuple[LedDataCentre, ...]
    store_age: Seconds
    load_wait: Seconds
    configuration_version: int
    configuration: bytes


@dataclass(slots=True, eq=False)
class Peer:
    """A daemon that is connected; ``leads`` is not empty for another leader."""

    stream: FrameStream
    vm: str = ""
    leads: frozenset[str] = frozenset()
    told: dict[EndpointId, Endpoint] = field(default_factory=dict)
    told_versions: dict[WeightsKey, int] = field(default_factory=dict)
    whole: bool = True
    configuration: int = 0
    daemons: int = 1
    in_flight: dict[str, int] = field(default_factory=dict)
    uses: dict[tuple[EndpointId, WeightsKey], int] = field(default_factory=dict)
    store_answered_at: Seconds = float("-inf")
    told_configuration: int = 0
    told_configuration_at: Seconds = float("-inf")


class FeedServer:
    """Listens for the other daemons; only a leader's answers carry rows."""

    def __init__(
        self,
        state: Callable[[], LeaderState],
        rows: Callable[[], dict[EndpointId, Endpoint]],
        versions: Callable[[], dict[WeightsKey, int]],
        take_report: Callable[[Any], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._state = state
        self._rows = rows
        self._versions = versions
        self._take_report = take_report
        self._clock = clock
        self._peers: set[Peer] = set()
        self._wake = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``OSError``."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def hurry(self) -> None:
        """Send what has changed soon."""
        self._wake.set()

    def list_followers(self) -> list[Peer]:
        """Return the daemons that follow this one."""
        return [peer for peer in self._peers if peer.vm and not peer.leads]

    def list_leaders(self) -> list[Peer]:
        """Return the leaders of other data centres that are connected."""
        return [peer for peer in self._peers if peer.vm and peer.leads]

    def find_store_answered_at(self) -> Seconds:
        """Return when the store last answered another daemon, as far as is known."""
        times = (peer.store_answered_at for peer in self._peers)
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
                report = await peer.stream.receive(IDL.Report)
                self._note_report(peer, report)
                if peer.whole or not self._state().leads:
                    self._send(peer)
        except (OSError, EOFError, MalformedFrame, asyncio.IncompleteReadError) as lost:
            log_decision(
                LOG, Decision.FEED_DAEMON_LOST, peer=peer.vm, reason=repr(lost)
            )
        finally:
            self._peers.discard(peer)
            peer.stream.close()

    def _note_report(self, peer: Peer, report: Any) -> None:
        peer.vm = report.vm
        peer.leads = frozenset(report.leads or ())
        peer.configuration = report.configuration
        peer.daemons = report.daemons or 1
        peer.in_flight = report.in_flight or {}
        uses = [decode_use(each) for each in report.uses or ()]
        peer.uses = {(endpoint, key): count for endpoint, key, count in uses}
        peer.store_answered_at = self._clock() - report.store_age
        self._take_report(report)

    async def run(self) -> None:
        """Send updates for ever while this daemon leads."""
        while True:
            try:
                async with asyncio.timeout(UPDATE_EVERY):
                    await self._wake.wait()
                await asyncio.sleep(GATHER)
            except TimeoutError:
                pass
            self._wake.clear()
            if self._state().leads:
                self.send_all()

    def send_all(self) -> None:
        """Send an update to every daemon that has reported."""
        for peer in list(self._peers):
            if peer.vm:
                self._send(peer)

    def _send(self, peer: Peer) -> None:
        """Write an update; a peer that does not read is dropped."""
        if peer.stream.unsent > WRITE_LIMIT:
            log_decision(LOG, Decision.FEED_DAEMON_DOES_NOT_READ, peer=peer.vm)
            peer.stream.abort()
            return
        peer.stream.send(self._make_update(peer))

    def _make_update(self, peer: Peer) -> Any:
        state = self._state()
        update = IDL.Update(
            leader=state.leader,
            leads=[_encode_lease(each) for each in state.leads],
            resigned=[_encode_lease(each) for each in state.resigned],
            store_age=min(state.store_age, 1e6),
            whole=False,
            load_wait=state.load_wait,
            configuration_version=state.configuration_version,
        )
        if self._lacks_configuration(peer, state.configuration_version):
            update.configuration = state.configuration
        if state.leads:
            self._add_rows(peer, update, {each.data_centre for each in state.leads})
            self._add_versions(peer, update)
            if not peer.leads:
                update.in_flight = self.sum_in_flight()
                update.daemons = self.count_daemons()
        return update

    def _lacks_configuration(self, peer: Peer, version: int) -> bool:
        """Tell whether to send the configuration, and note that it is sent."""
        if peer.configuration >= version:
            return False
        now = self._clock()
        recent = now - peer.told_configuration_at < CONFIGURATION_AGAIN
        # Other leaders watch for themselves: they are told only if that fails them.
        told = peer.told_configuration == version
        if peer.leads and not told:
            recent = told = True
            peer.told_configuration = version
            peer.told_configuration_at = now
        if told and recent:
            return False
        peer.told_configuration = version
        peer.told_configuration_at = now
        return True

    def _add_rows(self, peer: Peer, update: Any, led: set[str]) -> None:
        """Add what a peer has not been told; another leader gets only rows led here."""
        known = self._rows()
        rows = known
        if peer.leads:
            rows = {k: each for k, each in known.items() if each.data_centre in led}
        update.rows = []
        update.changes = []
        for endpoint in rows.values():
            before = peer.told.get(endpoint.id)
            if before is endpoint or before == endpoint:
                continue
            if before is not None and differs_in_weights_only(before, endpoint):
                update.changes.append(encode_change(before, endpoint))
            else:
                update.rows.append(encode_endpoint(endpoint))
        update.gone = [each for each in peer.told if each not in known]
        update.whole = peer.whole
        peer.whole = False
        peer.told = dict(rows)

    def _add_versions(self, peer: Peer, update: Any) -> None:
        versions = self._versions()
        update.versions = [
            encode_weights(key, number)
            for key, number in versions.items()
            if peer.told_versions.get(key) != number
        ]
        peer.told_versions = versions

    own_in_flight: Callable[[], dict[EndpointId, int]]

    def count_group(self) -> int:
        """Return how many daemons this one and its followers are."""
        return 1 + len(self.list_followers())

    def count_daemons(self) -> int:
        """Return how many daemons there are over all leaders heard."""
        return self.count_group() + sum(peer.daemons for peer in self.list_leaders())

    def sum_group(self) -> dict[EndpointId, int]:
        """Return the requests under way of this daemon and its followers."""
        return _sum_counts(self.own_in_flight(), self.list_followers())

    def sum_in_flight(self) -> dict[EndpointId, int]:
        """Return the requests under way over all daemons, by endpoint."""
        return _sum_counts(self.sum_group(), self.list_leaders())


def _sum_counts(
    own: dict[EndpointId, int], peers: Iterable[Peer]
) -> dict[EndpointId, int]:
    totals: dict[EndpointId, int] = defaultdict(int, own)
    for peer in peers:
        for name, count in peer.in_flight.items():
            totals[EndpointId(name)] += count
    return totals


def _encode_lease(led: LedDataCentre) -> Any:
    return IDL.LeaseRow(
        data_centre=led.data_centre, fence=led.fence, revision=led.revision
    )
