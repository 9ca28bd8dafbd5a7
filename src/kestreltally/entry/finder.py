"""Finds the endpoint for a request, and waits for its weights if that is worthwhile."""

import asyncio
import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.affinity import Affinity
from kestreltally.entry.beginnings import BeginningCheck
from kestreltally.entry.choice import ENDPOINT_CHOOSERS, Option
from kestreltally.entry.demand import DemandCounter, Waiter
from kestreltally.entry.health import HealthTable
from kestreltally.entry.occupancy import EMPTY
from kestreltally.entry.progress import (
    DEFAULT_RETRY_DELAY,
    UNAVAILABLE,
    Progress,
    make_final_error,
    make_unresumable_error,
)
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.entry.spread_choice import SPREAD
from kestreltally.entry.wait_limits import (
    MAX_RETRY_DELAY,
    compute_ready_deadline,
    make_backoff_refusal,
)
from kestreltally.entry.waiting import LOWEST_URGENCY, Waiters, WaitTarget
from kestreltally.estimates.prefill import PrefillTimeTable, PrefillWork
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.reach.contact import Contact
from kestreltally.speeds.known import KnownSpeeds
from kestreltally.streams.origins import BoundWeights

LOG = logging.getLogger("kestreltally.finder")

# A waiting request is checked at this interval: the leader updates its estimate of the
# load wait five times a second.
POLL_INTERVAL: Final[Seconds] = 0.2


class PathLost(Exception):
    """No endpoint is within this daemon's reach."""


class EndpointFinder:
    """Finds an endpoint by weights, health, affinity and occupancy.

    ``remote_occupancy`` is the occupancy by other daemons' requests. ``load_wait`` is
    the leader's estimate of how long a load takes from now, None without a leader.
    ``expedite`` reports new demand to the leader at once.
    """

    def __init__(
        self,
        data_centre: str,
        fleet: Fleet,
        health: HealthTable,
        contact: Contact | None = None,
    ) -> None:
        self._contact = contact or Contact()
        self._data_centre = data_centre
        self._fleet = fleet
        self._health = health
        self._beginnings = BeginningCheck(fleet, health)
        self._choose = ENDPOINT_CHOOSERS["least-cost"]
        self.demand = DemandCounter()
        self.waiters = Waiters()
        self.affinity = Affinity()
        self.prefill_times = PrefillTimeTable()
        self.speeds: KnownSpeeds | None = None
        self.remote_occupancy = EMPTY
        self.load_wait: Seconds | None = None
        self.expedite: Callable[[], None] = lambda: None

    async def find(self, request: ClientRequest, progress: Progress) -> Option:
        """Return the chosen endpoint, waiting until one can serve.

        Raises ``Refused`` when waiting is not worthwhile, and ``PathLost``.
        """
        loop = asyncio.get_running_loop()
        key = request.head.weights
        if request.service.engine is None or key is None:
            return await self._find_for_service(request, progress)
        self._request_credits(request, progress, key)
        while True:
            now = loop.time()
            candidates = self._list_candidates(request, progress, now)
            if candidates:
                return self._choose_endpoint(request, progress, candidates, now)
            if self._contact.is_cut_off:
                raise PathLost
            self._check_software(request, progress)
            self._check_wait(request, progress, key, now)
            await self._wait_for_weights(request, progress, key)

    async def _find_for_service(
        self, request: ClientRequest, progress: Progress
    ) -> Option:
        """Return the chosen endpoint if any endpoint of the service can serve."""
        loop = asyncio.get_running_loop()
        service, software = request.service_name, progress.software
        self._request_credits(request, progress, None)
        while True:
            now = loop.time()
            candidates = self._fleet.list_callable(service, now, software)
            if candidates:
                return self._choose_endpoint(request, progress, candidates, now)
            if self._contact.is_cut_off:
                raise PathLost
            self._check_software(request, progress)
            backoff = self._fleet.find_shortest_backoff(service, None, now, software)
            if backoff is None or progress.runs:
                progress.last_fault = progress.last_fault or "no endpoint available"
                raise make_final_error(progress)
            if now + backoff > request.first_event_deadline:
                raise make_backoff_refusal(backoff)
            timeout = min(backoff, POLL_INTERVAL)
            await self._wait_until_available(request, progress, None, timeout)
            progress.waited += loop.time() - now

    async def _wait_for_weights(
        self,
        request: ClientRequest,
        progress: Progress,
        key: WeightsKey,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if not progress.waited:
            log_decision(
                LOG,
                Decision.REQUEST_WAITS,
                request=request.head.id,
                weights=str(key),
                load_wait=self.load_wait,
                at_most=round(request.first_event_deadline - started_at, 3),
            )
        try:
            with self._count_wait(request, progress, key):
                if not progress.waited:
                    self.expedite()
                await self._wait_until_available(request, progress, key, POLL_INTERVAL)
        finally:
            progress.waited += loop.time() - started_at

    @contextmanager
    def _count_wait(
        self, request: ClientRequest, progress: Progress, key: WeightsKey
    ) -> Iterator[None]:
        """Count a request as waiting, for the leaders that load weights."""
        service, origin = request.service_name, progress.origin
        if origin is not None and self._fleet.has_other_software(
            origin.service, origin.software
        ):
            weights = BoundWeights(origin, key)
            self.demand.start_bound_wait(weights)
            try:
                yield
            finally:
                self.demand.end_bound_wait(weights)
            return
        waiter = self._make_waiter(request)
        self.demand.start_wait(service, key, waiter)
        try:
            yield
        finally:
            self.demand.end_wait(service, key, waiter)

    def _request_credits(
        self, request: ClientRequest, progress: Progress, key: WeightsKey | None
    ) -> None:
        """Request credits for a request at endpoints that name a rate limit."""
        now = asyncio.get_running_loop().time()
        for each in self._fleet.list_rate_limited(
            request.service_name, key, now, progress.software
        ):
            self._fleet.notices.record_demand(each, now)

    async def _wait_until_available(
        self,
        request: ClientRequest,
        progress: Progress,
        key: WeightsKey | None,
        timeout: Seconds,
    ) -> None:
        """Wait until weights, an endpoint or a credit at one becomes available.

        Returns at the latest after ``timeout``.
        """
        now = asyncio.get_running_loop().time()
        service = request.service_name
        target: WaitTarget = service if key is None else key
        limited = self._fleet.list_rate_limited(service, key, now, progress.software)
        soonest = sorted(
            limited, key=lambda e: self._fleet.notices.compute_backoff(e, now)
        )
        urgency = min(LOWEST_URGENCY, max(0, request.priority))
        with self._fleet.notices.wait_for_credits(soonest[:1], urgency):
            if limited and self._list_candidates(request, progress, now):
                return
            await self.waiters.wait(target, timeout, urgency)

    def _make_waiter(self, request: ClientRequest) -> Waiter:
        """Return the data on a waiting request that is reported to the leader."""
        prefill_time = self.prefill_times.predict_unqueued(request.head.prompt_tokens)
        return Waiter(
            ready_deadline=request.arrived_at + request.route.objective - prefill_time,
            prompt_tokens=request.head.prompt_tokens,
        )

    def _check_software(self, request: ClientRequest, progress: Progress) -> None:
        """Raise if no endpoint serves of the software version that began a stream."""
        origin = progress.origin
        if origin is None:
            return
        if origin.service == request.service_name and self._fleet.is_software_serving(
            origin.service, origin.software
        ):
            return
        progress.last_fault = f"no endpoint of software {origin.software} left"
        raise make_unresumable_error(progress)

    def _check_wait(
        self,
        request: ClientRequest,
        progress: Progress,
        key: WeightsKey,
        now: Seconds,
    ) -> None:
        """Raise ``Refused`` unless the weights are predicted to be loaded in time."""
        if progress.runs > progress.taken_back and progress.origin is None:
            raise make_final_error(progress)
        service, software = request.service_name, progress.software
        wait = self.load_wait if self.load_wait is not None else MAX_RETRY_DELAY
        backoff = self._fleet.find_shortest_backoff(service, key, now, software)
        is_loading = self._fleet.is_loading(service, key, now, software)
        ready_at = now + (0.0 if is_loading else min(wait, backoff or wait))
        is_new = not progress.waited and not is_loading
        prefill_time = self.prefill_times.predict_unqueued(request.head.prompt_tokens)
        if ready_at > compute_ready_deadline(
            request, progress, prefill_time, is_new=is_new
        ):
            self.demand.record_missed(request.service_name, key)
            self.expedite()
            if progress.runs:
                progress.last_fault = f"{key} is not loaded"
                raise make_final_error(progress)
            if backoff is not None and backoff < wait:
                raise make_backoff_refusal(backoff)
            retry_after = min(MAX_RETRY_DELAY, max(DEFAULT_RETRY_DELAY, wait))
            raise Refused(UNAVAILABLE, f"{key} is not loaded", retry_after)

    def report_missing(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Tell the leader soon that an engine does not serve these weights."""
        self.demand.record_refused(endpoint, key)
        self.expedite()

    def _list_candidates(
        self, request: ClientRequest, progress: Progress, now: Seconds
    ) -> list[Endpoint]:
        """Return the endpoints that could serve a request now."""
        service, software = request.service_name, progress.software
        key = request.head.weights
        if request.service.engine is None or key is None:
            return self._fleet.list_callable(service, now, software)
        holders = self._fleet.list_holders(service, key, now, software)
        return self._beginnings.filter_timely(
            request,
            holders,
            lambda each: self._make_option(request, each, now).first_event_delay,
            now,
        )

    def count_in_flight(self, endpoint: EndpointId) -> int:
        """Return how many requests of all daemons are at an endpoint, as last told."""
        own = self._health.get_row(endpoint).in_flight
        return own + self.remote_occupancy.in_flight.get(endpoint, 0)

    def can_serve(
        self, request: ClientRequest, progress: Progress, endpoint: EndpointId
    ) -> bool:
        """Return whether an endpoint could serve a request now."""
        now = asyncio.get_running_loop().time()
        candidates = self._list_candidates(request, progress, now)
        return any(each.id == endpoint for each in candidates)

    def has_other(self, request: ClientRequest, progress: Progress) -> bool:
        """Return whether another endpoint could serve a request, and is not silent."""
        now = asyncio.get_running_loop().time()
        return any(
            each.id not in progress.tried and not self._health.is_silent(each.id, now)
            for each in self._list_candidates(request, progress, now)
        )

    def list_options(self, request: ClientRequest, progress: Progress) -> list[Option]:
        """Return the options for a request now, without a choice."""
        now = asyncio.get_running_loop().time()
        candidates = self._list_candidates(request, progress, now)
        return self._make_options(request, progress, candidates, now)

    def _make_options(
        self,
        request: ClientRequest,
        progress: Progress,
        candidates: list[Endpoint],
        now: Seconds,
    ) -> list[Option]:
        untried = [
            each for each in candidates if each.id not in progress.tried
        ] or candidates
        healthy = self._health.filter_healthy(untried, now)
        admitted = self._filter_admitted(request, healthy)
        return [self._make_option(request, each, now) for each in admitted]

    def _choose_endpoint(
        self,
        request: ClientRequest,
        progress: Progress,
        candidates: list[Endpoint],
        now: Seconds,
    ) -> Option:
        options = self._make_options(request, progress, candidates, now)
        chosen = self._choose(options)
        if request.head.weights is not None:
            self.demand.record_sent(
                request.service_name, request.head.weights, chosen.work.uncached_tokens
            )
        progress.trail.append(
            f"{chosen.endpoint.id} of {len(candidates)}, {chosen.in_flight} in flight"
            + (", remote" if chosen.remote else "")
            + f", {chosen.first_event_delay:.3f} s"
        )
        return chosen

    def switch_on_speeds(
        self, speeds: KnownSpeeds, prefill_times: PrefillTimeTable
    ) -> None:
        """Choose endpoints by their observed speeds from now on."""
        self.speeds = speeds
        self.prefill_times = prefill_times
        self._choose = ENDPOINT_CHOOSERS[SPREAD]

    def _filter_admitted(
        self, request: ClientRequest, endpoints: list[Endpoint]
    ) -> Sequence[Endpoint]:
        """Return the endpoints without those that get fewer requests for a while."""
        if self.speeds is None or request.service.engine is None:
            return endpoints
        admitted = self.speeds.filter_admitted(endpoints)
        if len(admitted) < len(endpoints):
            log_decision(
                LOG,
                Decision.ENGINE_PASSED_OVER,
                request=request.head.id,
                endpoints=len(endpoints) - len(admitted),
            )
        return admitted

    def _make_option(
        self, request: ClientRequest, endpoint: Endpoint, now: Seconds
    ) -> Option:
        key = request.head.weights
        cached = (
            self.affinity.compute_cached_fraction(request, key, endpoint.id)
            if key
            else 0.0
        )
        in_flight, unread = self._health.measure_endpoint(endpoint.id, now)
        work = PrefillWork(
            uncached_tokens=int(request.head.prompt_tokens * (1.0 - min(1.0, cached))),
            queued_tokens=unread + self.remote_occupancy.unread.get(endpoint.id, 0),
            priority=request.priority,
        )
        return Option(
            endpoint=endpoint,
            in_flight=in_flight + self.remote_occupancy.in_flight.get(endpoint.id, 0),
            remote=endpoint.data_centre != self._data_centre,
            work=work,
            first_event_delay=self.prefill_times.predict(endpoint.id, work),
            stream_factor=(
                self.speeds.get_stream_factor(endpoint) if self.speeds else 1.0
            ),
        )
