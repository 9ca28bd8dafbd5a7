"""The leader's side of the feed: takes reports in and sends updates out."""

import asyncio
import json
import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.knowledge.frames import IDL, MalformedFrame, read_frame, write_frame
from kestreltally.knowledge.rows import encode_endpoint, encode_weights
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.feed")

# Followers hold a feed that is silent for three of these as lost.
UPDATE_EVERY: Final[Seconds] = 0.2
# Changes within this time go out together.
GATHER: Final[Seconds] = 0.02
WRITE_LIMIT: Final = 2**22


@dataclass(frozen=True, slots=True)
class LeaderState:
    """What each update tells besides rows."""

    leader: str
    fence: int
    leads: bool
    revision: int
    store_age: Seconds
    load_wait: Seconds
    configuration_version: int
    configuration: Any


@dataclass(slots=True, eq=False)
class _Peer:
    """A daemon that is connected."""

    writer: asyncio.StreamWriter
    vm: str = ""
    told_rows: set[EndpointId] = field(default_factory=set)
    whole: bool = True
    configuration: int = 0


class FeedServer:
    """Listens for the other daemons; only the leader's answers carry rows."""

    def __init__(
        self,
        state: Callable[[], LeaderState],
        rows: Callable[[], dict[EndpointId, Endpoint]],
        versions: Callable[[], dict[Any, int]],
        take_report: Callable[[Any], None],
    ) -> None:
        self._state = state
        self._rows = rows
        self._versions = versions
        self._take_report = take_report
        self._peers: set[_Peer] = set()
        self._changed: dict[int, set[EndpointId]] = {}
        self._new_versions: dict[int, dict[Any, int]] = {}
        self._wake = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.in_flight: dict[str, dict[str, int]] = {}
        self.own_in_flight: Callable[[], dict[EndpointId, int]] = dict

    def count_daemons(self) -> int:
        """Return how many daemons are connected, this one included."""
        return 1 + sum(1 for peer in self._peers if peer.vm)

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``OSError``."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def note_changed(self, endpoint: EndpointId) -> None:
        """Send an endpoint's row, or that it is gone, to all soon."""
        for changed in self._changed.values():
            changed.add(endpoint)
        self._wake.set()

    def note_version(self, key: Any, number: int) -> None:
        """Send a new version to all soon."""
        for versions in self._new_versions.values():
            versions[key] = number
        self._wake.set()

    def sum_in_flight(self) -> dict[EndpointId, int]:
        """Return the requests under way over all daemons, by endpoint."""
        totals: dict[EndpointId, int] = defaultdict(int)
        for endpoint, count in self.own_in_flight().items():
            totals[endpoint] += count
        for reported in self.in_flight.values():
            for name, count in reported.items():
                totals[EndpointId(name)] += count
        return totals

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = writer.get_extra_info("socket")
        if connection is not None:
            harden_socket(connection)
        peer = _Peer(writer)
        self._peers.add(peer)
        self._changed[id(peer)] = set()
        self._new_versions[id(peer)] = {}
        try:
            while True:
                report = await read_frame(reader, IDL.Report)
                peer.vm = report.vm
                peer.configuration = report.configuration
                self.in_flight[report.vm] = report.in_flight or {}
                self._take_report(report)
                if peer.whole or not self._state().leads:
                    self._send(peer)
        except (OSError, EOFError, MalformedFrame, asyncio.IncompleteReadError) as lost:
            LOG.info("feed: daemon lost", extra={"vm": peer.vm, "reason": repr(lost)})
        finally:
            self._peers.discard(peer)
            self._changed.pop(id(peer), None)
            self._new_versions.pop(id(peer), None)
            self.in_flight.pop(peer.vm, None)
            writer.close()

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
            if not self._state().leads:
                continue
            for peer in list(self._peers):
                if peer.vm and not peer.whole:
                    self._send(peer)

    def _send(self, peer: _Peer) -> None:
        """Write an update; a peer that does not read is dropped."""
        if peer.writer.transport.get_write_buffer_size() > WRITE_LIMIT:
            LOG.warning("feed: daemon does not read", extra={"vm": peer.vm})
            peer.writer.transport.abort()
            return
        state = self._state()
        rows = self._rows() if state.leads else {}
        changed = self._changed.get(id(peer), set())
        versions = self._new_versions.get(id(peer), {})
        if peer.whole and state.leads:
            changed = set(rows)
            versions = self._versions()
        behind = peer.configuration < state.configuration_version
        update = IDL.Update(
            leader=state.leader,
            fence=state.fence,
            leads=state.leads,
            revision=state.revision,
            store_age=min(state.store_age, 1e6),
            whole=peer.whole and state.leads,
            rows=[encode_endpoint(rows[each]) for each in changed if each in rows],
            gone=[each for each in changed if each not in rows],
            versions=[encode_weights(key, number) for key, number in versions.items()],
            in_flight=self.sum_in_flight() if state.leads else {},
            load_wait=state.load_wait,
            daemons=self.count_daemons(),
            configuration_version=state.configuration_version,
            configuration=json.dumps(state.configuration).encode() if behind else b"",
        )
        write_frame(peer.writer, update)
        if state.leads:
            peer.whole = False
            self._changed[id(peer)] = set()
            self._new_versions[id(peer)] = {}
