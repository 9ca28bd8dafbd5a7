"""A daemon's side of the feed: sends reports to a leader and applies its updates."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import SocketAddress
from kestreltally.events import wait_at_most
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.frames import FrameStream, MalformedFrame
from kestreltally.knowledge.structs import Update
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.feed")

REPORT_INTERVAL: Final[Seconds] = 0.2
# A request that waits for an adapter is reported at once, within this minimum interval.
MIN_REPORT_INTERVAL: Final[Seconds] = 0.02
# A leader sends an update at least every 0.2 s.
FEED_SILENCE_TIMEOUT: Final[Seconds] = 0.7
CONNECT_TIMEOUT: Final[Seconds] = 0.5
RETRY_INTERVAL: Final[Seconds] = 0.1


class FeedClient:
    """Maintains a connection to the leader of one data centre while there is one."""

    def __init__(
        self,
        data_centre: str,
        find_leader: Callable[[str], SocketAddress | None],
        make_report: Callable[[str], Any],
        apply_update: Callable[[str, Any], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self.data_centre = data_centre
        self._find_leader = find_leader
        self._make_report = make_report
        self._apply_update = apply_update
        self._clock = clock
        self._received_at: Seconds = float("-inf")
        self._expedite = asyncio.Event()
        # Set by wake_if_needed once a leader is known, cleared when none is.
        self._has_leader = asyncio.Event()
        # Called when a connection to the leader is established.
        self.record_connected: Callable[[str], None] = lambda _: None
        # Called on the first update of the leader after the feed was lost.
        self.record_received: Callable[[str], None] = lambda _: None
        self.store_age: Seconds = float("inf")
        self.load_wait: Seconds = float("inf")
        self.free_capacity = 0

    def is_alive(self) -> bool:
        """Return whether an update arrived within the silence timeout."""
        return self._clock() - self._received_at < FEED_SILENCE_TIMEOUT

    def can_load_within(self, wait: Seconds) -> bool:
        """Return whether the leader is reachable and reports a shorter load wait."""
        return self.is_alive() and self.load_wait < wait

    def expedite(self) -> None:
        """Send the next report at once."""
        self._expedite.set()

    def wake_if_needed(self) -> None:
        """Start to follow if there is a leader to follow."""
        if not self._has_leader.is_set() and self._find_leader(self.data_centre):
            self._has_leader.set()

    async def run(self) -> None:
        """Follow the leader whenever there is one; runs forever."""
        while True:
            await self._has_leader.wait()
            address = self._find_leader(self.data_centre)
            if address is None:
                self._has_leader.clear()
                continue
            await self._follow(address)
            await asyncio.sleep(RETRY_INTERVAL)

    async def _follow(self, address: SocketAddress) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError):
            return
        harden_socket(writer.get_extra_info("socket"))
        stream = FrameStream(reader, writer)
        self.record_connected(self.data_centre)
        sending = asyncio.create_task(self._send_reports(stream))
        try:
            await self._receive_updates(stream, address)
        except (
            OSError,
            EOFError,
            TimeoutError,
            MalformedFrame,
            asyncio.IncompleteReadError,
        ) as error:
            log_decision(
                LOG,
                Decision.FEED_LEADER_LOST,
                lease=self.data_centre,
                reason=repr(error),
            )
        finally:
            sending.cancel()
            stream.abort()
            self._received_at = float("-inf")
            self.load_wait = float("inf")
            self.free_capacity = 0

    async def _receive_updates(
        self, stream: FrameStream, address: SocketAddress
    ) -> None:
        while self._find_leader(self.data_centre) == address:
            async with asyncio.timeout(FEED_SILENCE_TIMEOUT):
                update = await stream.receive(Update)
            leads = any(
                each.data_centre == self.data_centre for each in update.leads or ()
            )
            if leads and not self.is_alive():
                log_decision(
                    LOG,
                    Decision.FEED_LEADER_HEARD,
                    lease=self.data_centre,
                    leader=update.leader,
                )
                self.record_received(self.data_centre)
            if leads:
                self._received_at = self._clock()
                self.store_age = update.store_age
                self.load_wait = update.load_wait
                self.free_capacity = update.room or 0
            self._apply_update(self.data_centre, update)
            if not leads:
                return

    async def _send_reports(self, stream: FrameStream) -> None:
        while True:
            self._expedite.clear()
            stream.send(self._make_report(self.data_centre))
            sent_at = self._clock()
            if await wait_at_most(self._expedite, REPORT_INTERVAL):
                await asyncio.sleep(
                    max(0.0, sent_at + MIN_REPORT_INTERVAL - self._clock())
                )
