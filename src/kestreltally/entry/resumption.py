"""Records where streams begin, and finds out where one may go on."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.origin_search import OriginSearch, OriginSources, OriginView
from kestreltally.entry.progress import RETRY_ELSEWHERE_DELAY, UNAVAILABLE
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.fleet.model import Endpoint, Seconds, ServiceName
from kestreltally.fleet.tables import Fleet
from kestreltally.streams.evidence import Conclusion, Denial, Evidence, Finding
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
# No version serves for a shorter time than this: an engine loads a model before it
# serves, and its entry stays for some seconds after its last stream has begun.
MAX_UNSEEN_TIME: Final[Seconds] = 3.0
# Stands for "never" in log lines.
AGE_LIMIT: Final[Seconds] = 1e6


class Resumption:
    """Binds streams to the service and the software version that began them.

    ``sources`` are where it learns of streams that it does not know, and ``tell`` tells
    other daemons of one that began here. ``get_list_age`` returns the age of the list
    of endpoints.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.register = StreamRegister()
        self.history = VersionHistory()
        self.sources = OriginSources()
        self.tell: Callable[[list[KnownStream]], None] = lambda _: None
        self.get_list_age: Callable[[], Seconds] = lambda: 0.0
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

        Raises ``Refused`` if that is not known.
        """
        service = request.service_name
        await self._wait_for_endpoints(service)
        search = self._start_search(request, service)
        conclusion = await search.run()
        self._count(conclusion, search)
        evidence = search.weigh()
        self._log(request, conclusion, evidence)
        if conclusion.origin is not None:
            return conclusion.origin
        raise _make_refusal(evidence)

    def _start_search(
        self, request: ClientRequest, service: ServiceName
    ) -> OriginSearch:
        resumed = request.head.resumed
        name = _make_name(request, resumed) if resumed else None
        view = OriginView(
            find_only=lambda: self._find_only(service),
            find_known=lambda: self._find_known(name),
            get_list_age=self.get_list_age,
        )
        return OriginSearch(service, name, view, self.sources)

    def _count(self, conclusion: Conclusion, search: OriginSearch) -> None:
        finding = conclusion.finding
        if finding is Finding.KNOWN and search.is_kept:
            self.counts["kept"] += 1
        elif finding is Finding.CONTRADICTED:
            self.counts[Finding.UNKNOWN.value] += 1
        else:
            self.counts[finding.value] += 1

    def _log(
        self, request: ClientRequest, conclusion: Conclusion, evidence: Evidence
    ) -> None:
        now = asyncio.get_running_loop().time()
        is_found = conclusion.origin is not None
        log_decision(
            LOG,
            Decision.STREAM_TAKEN_UP if is_found else Decision.STREAM_UNKNOWN,
            request=request.head.id,
            began_as=request.head.resumed,
            finding=conclusion.finding.value,
            versions=sorted(self.history.list_recent(request.service_name, now)),
            complete=self.history.is_complete(now),
            list_age=round(min(evidence.list_age, AGE_LIMIT), 3),
            waited=round(evidence.waited, 3),
            asked=evidence.inquiry.asked,
            answered=evidence.inquiry.answered,
        )

    def deny(self, service: ServiceName) -> Denial:
        """Return what this daemon says of a stream that it does not know."""
        return Denial(self._find_only(service), self.get_list_age())

    def _find_known(self, name: StreamName | None) -> KnownStream | None:
        if name is None:
            return None
        return self.register.find(name, asyncio.get_running_loop().time())

    def _find_only(self, service: ServiceName) -> StreamOrigin | None:
        """Return the only origin that a stream of a service can have, if only one."""
        now = asyncio.get_running_loop().time()
        self._record_gap(now)
        self.history.observe(self._fleet.list_software(), now)
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


def _make_refusal(evidence: Evidence) -> Refused:
    """Return a refusal; daemons that this one does not hear may know the stream."""
    reason = "software version of the stream is not known"
    if evidence.inquiry.lacks_answers:
        return Refused(UNAVAILABLE, reason, RETRY_ELSEWHERE_DELAY, elsewhere=True)
    return Refused(UNAVAILABLE, reason)


def _make_name(request: ClientRequest, request_id: str) -> StreamName:
    """Return the name of the stream that a request of this id began."""
    return make_stream_name(
        request.organisation_name, request.route.host, request.path, request_id
    )


def _compute_life(request: ClientRequest) -> Seconds:
    """Return how long the client may take the stream up."""
    named = (request.head.deadline or 0.0) + DEADLINE_MARGIN
    return min(MAX_STREAM_LIFE, max(MIN_STREAM_LIFE, named))
