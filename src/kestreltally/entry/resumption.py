"""Records where streams begin, and finds out where one may go on."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.progress import UNAVAILABLE
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.fleet.model import Endpoint, Seconds, ServiceName
from kestreltally.fleet.tables import Fleet
from kestreltally.streams.names import StreamName, make_stream_name
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream, StreamRegister
from kestreltally.streams.versions import MAX_STREAM_LIFE, VersionHistory

LOG = logging.getLogger("kestreltally.relay")

# A client is assumed to take a stream up within this time if it names no deadline, and
# this much later than the deadline that it names.
MIN_STREAM_LIFE: Final[Seconds] = 30.0
DEADLINE_MARGIN: Final[Seconds] = 5.0
# A daemon that has just started learns of the endpoints within this time.
START_TIMEOUT: Final[Seconds] = 0.5
START_POLL_INTERVAL: Final[Seconds] = 0.02
# A list of endpoints that is proven to be complete up to this long ago has every
# version that can have begun a stream which is taken up now.
MAX_LIST_AGE: Final[Seconds] = 1.0
# No version serves for a shorter time than this: an engine loads a model before it
# serves, and its entry stays for some seconds after its last stream has begun.
MAX_UNSEEN_TIME: Final[Seconds] = 3.0


class Resumption:
    """Binds streams to the service and the software version that began them.

    ``ask`` returns what other daemons know of a stream, and ``tell`` tells them of
    one that began here. ``get_list_age`` returns the age of the list of endpoints.
    ``read_records`` reads what leaders kept in the store: which versions served, and
    where streams began, before this daemon knew any.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.register = StreamRegister()
        self.history = VersionHistory()
        self.ask: Callable[[StreamName], Awaitable[KnownStream | None]] = _know_nothing
        self.tell: Callable[[list[KnownStream]], None] = lambda _: None
        self.get_list_age: Callable[[], Seconds] = lambda: 0.0
        self.read_records: Callable[[], Awaitable[None]] = _read_nothing
        # Before its first list of endpoints, a daemon has begun no stream.
        self._has_listed = False
        # Streams taken up, by how their origin was found.
        self.counts: Counter[str] = Counter()

    def begin(self, request: ClientRequest, endpoint: Endpoint) -> StreamOrigin | None:
        """Record a stream whose first event is about to be forwarded.

        Returns None for a stream that can never be taken up.
        """
        if not request.route.resumable:
            return None
        now = asyncio.get_running_loop().time()
        origin = StreamOrigin.at(endpoint)
        self.history.record(origin.service, origin.software, now)
        stream = KnownStream(
            _make_name(request, request.head.id),
            origin,
            now + _compute_life(request),
        )
        self.register.record(stream, untold=True)
        if self.history.is_mixed(origin.service, now):
            self.tell([stream])
        return origin

    def run_maintenance(self, now: Seconds) -> bool:
        """Observe the endpoints' versions; return whether several of a service serve.

        Streams that are too old to be taken up are forgotten.
        """
        self._record_gap(now)
        self.history.observe(self._fleet.list_software(), now)
        self.history.prune(now)
        self.register.prune(now)
        configuration = self._fleet.configuration
        services = configuration.services if configuration is not None else ()
        return any(self.history.is_mixed(each, now) for each in services)

    def _record_gap(self, now: Seconds) -> None:
        """Record that versions may have come and gone if the list is outdated."""
        if self.get_list_age() <= MAX_UNSEEN_TIME:
            self._has_listed = True
        elif self._has_listed:
            self.history.record_gap(now)

    async def find_origin(self, request: ClientRequest) -> StreamOrigin:
        """Return where a stream may go on that a request takes up.

        Raises ``Refused`` if nobody knows which of several versions began it.
        """
        service = request.service_name
        await self._wait_for_endpoints(service)
        now = asyncio.get_running_loop().time()
        self._record_gap(now)
        only = self._find_only(service, now)
        if only is not None and self.get_list_age() <= MAX_LIST_AGE:
            self.counts["single"] += 1
            return only
        known = await self._find_known(request)
        if known is not None and known.origin is not None:
            self.counts["known"] += 1
            return known.origin
        confirmed = await self._find_confirmed_only(service)
        if known is None and confirmed is not None:
            self.counts["single"] += 1
            return confirmed
        kept = await self._find_kept(request) if known is None else None
        if kept is not None and kept.origin is not None:
            self.counts["kept"] += 1
            return kept.origin
        self.counts["unknown"] += 1
        self._log_unknown(request)
        raise Refused(UNAVAILABLE, "software version of the stream is not known")

    def _log_unknown(self, request: ClientRequest) -> None:
        now = asyncio.get_running_loop().time()
        log_decision(
            LOG,
            Decision.STREAM_UNKNOWN,
            request=request.head.id,
            began_as=request.head.resumed,
            versions=sorted(self.history.list_recent(request.service_name, now)),
            complete=self.history.is_complete(now),
        )

    async def _find_known(self, request: ClientRequest) -> KnownStream | None:
        if not request.head.resumed:
            return None
        name = _make_name(request, request.head.resumed)
        now = asyncio.get_running_loop().time()
        return self.register.find(name, now) or await self.ask(name)

    async def _find_kept(self, request: ClientRequest) -> KnownStream | None:
        """Return a stream that leaders kept in the store before all daemons ended."""
        if not request.head.resumed:
            return None
        await self.read_records()
        name = _make_name(request, request.head.resumed)
        return self.register.find(name, asyncio.get_running_loop().time())

    async def _find_confirmed_only(self, service: ServiceName) -> StreamOrigin | None:
        """Return the only origin, after a look at what served before this daemon."""
        clock = asyncio.get_running_loop().time
        if not self.history.is_complete(clock()):
            await self.read_records()
        return self._find_only(service, clock())

    def _find_only(self, service: ServiceName, now: Seconds) -> StreamOrigin | None:
        """Return the only origin that a stream of a service can have, if only one."""
        if not self.history.is_complete(now):
            return None
        recent = self.history.list_recent(service, now)
        return StreamOrigin(service, recent[0]) if len(recent) == 1 else None

    async def _wait_for_endpoints(self, service: ServiceName) -> None:
        """Wait until a daemon that has just started knows endpoints of a service."""
        clock = asyncio.get_running_loop().time
        until = clock() + START_TIMEOUT
        while clock() < until:
            self.history.observe(self._fleet.list_software(), clock())
            if self.history.list_recent(service, clock()):
                return
            await asyncio.sleep(START_POLL_INTERVAL)


def _make_name(request: ClientRequest, request_id: str) -> StreamName:
    """Return the name of the stream that a request of this id began."""
    return make_stream_name(
        request.organisation_name, request.route.host, request.path, request_id
    )


def _compute_life(request: ClientRequest) -> Seconds:
    """Return how long the client may take the stream up."""
    named = (request.head.deadline or 0.0) + DEADLINE_MARGIN
    return min(MAX_STREAM_LIFE, max(MIN_STREAM_LIFE, named))


async def _know_nothing(_: StreamName) -> KnownStream | None:
    return None


async def _read_nothing() -> None:
    return None
