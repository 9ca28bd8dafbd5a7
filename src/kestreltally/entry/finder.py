"""Finds the endpoint for a request, and waits for its weights while that pays."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.affinity import Affinity
from kestreltally.entry.choice import ENDPOINT_CHOOSERS, Option
from kestreltally.entry.demand import DemandCounter, Waiter
from kestreltally.entry.health import HealthTable
from kestreltally.entry.occupancy import EMPTY
from kestreltally.entry.progress import (
    RETRY_SOON,
    UNAVAILABLE,
    Progress,
    give_up,
)
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.entry.waiting import LEAST_URGENT, Awaited, Waiters
from kestreltally.estimates.pace import PaceTable, Reading
from kestreltally.fleet.model import (
    Endpoint,
    Seconds,
    ServiceName,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet

LOG = logging.getLogger("kestreltally.finder")

# Nobody is sent back for a wait so short, late or not: an adapter from the weight store
# takes a quarter of a second, and twice that where some are on their way.
ORDINARY_WAIT: Final[Seconds] = 0.5
# A request that waits is looked at this often: the leader's word on loads is renewed
# five times a second.
LOOK_EVERY: Final[Seconds] = 0.2
# What is told, at the most, as the time to come back; and what a load is taken to last
# where no leader is heard.
MAX_RETRY_DELAY: Final[Seconds] = 2.0
# Who is sent back until a rest ends comes within this part of it after its end, so that
# not all come in one moment.
RETURN_SPREAD: Final = 0.25


def refuse_for_rest(rest: Seconds) -> Refused:
    """Return a refusal until a rest is over, at a time apart from those of others."""
    after = max(RETRY_SOON, rest * random.uniform(1.0, 1.0 + RETURN_SPREAD))
    return Refused(UNAVAILABLE, "all that could serve rest", after)


class EndpointFinder:
    """Knows who could serve what, and how full the endpoints are.

    ``others`` tells what other daemons have under way, by endpoint;
    ``load_wait`` is the leader's word on how long a load takes from now, none without a
    leader; ``expedite`` has the leader told of new demand at once.
    """

    def __init__(self, data_centre: str, fleet: Fleet, health: HealthTable) -> None:
        self._data_centre = data_centre
        self._fleet = fleet
        self._health = health
        self._choose = ENDPOINT_CHOOSERS["least-cost"]
        self.demand = DemandCounter()
        self.waiters = Waiters()
        self.affinity = Affinity()
        self.prefill_times = PaceTable()
        self.others = EMPTY
        self.load_wait: Seconds | None = None
        self.expedite: Callable[[], None] = lambda: None

    async def find(self, request: ClientRequest, progress: Progress) -> Option:
        """Return the endpoint to ask, once one can serve; raises ``Refused``."""
        loop = asyncio.get_running_loop()
        key = request.head.weights
        if request.service.engine is None or key is None:
            return await self._find_plain(request, progress)
        self._want_turns(request, key)
        while True:
            now = loop.time()
            found = self._fleet.list_holders(request.service_name, key, now)
            if found:
                return self._pick(request, progress, found, now)
            self._check_wait(request, progress, key, now)
            await self._wait_for_weights(request, progress, key)

    async def _find_plain(self, request: ClientRequest, progress: Progress) -> Option:
        """Return the endpoint to ask where any of the service can serve."""
        loop = asyncio.get_running_loop()
        self._want_turns(request, None)
        while True:
            now = loop.time()
            found = self._fleet.list_service(request.service_name, now)
            if found:
                return self._pick(request, progress, found, now)
            rest = self._fleet.find_rest(request.service_name, None, now)
            if rest is None or progress.runs:
                progress.last_fault = progress.last_fault or "no endpoint"
                raise give_up(progress)
            if now + rest > request.first_by:
                raise refuse_for_rest(rest)
            await self._wait_for_turn(request, None, min(rest, LOOK_EVERY))
            progress.waited += loop.time() - now

    async def _wait_for_weights(
        self,
        request: ClientRequest,
        progress: Progress,
        key: WeightsKey,
    ) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        if not progress.waited:
            log_decision(
                LOG,
                Decision.REQUEST_WAITS,
                request=request.head.id,
                weights=str(key),
                load_wait=self.load_wait,
                at_most=round(request.first_by - began, 3),
            )
        waiter = self._make_waiter(request)
        self.demand.begin_wait(request.service_name, key, waiter)
        if not progress.waited:
            self.expedite()
        try:
            await self._wait_for_turn(request, key, LOOK_EVERY)
        finally:
            self.demand.end_wait(request.service_name, key, waiter)
            progress.waited += loop.time() - began

    def _want_turns(self, request: ClientRequest, key: WeightsKey | None) -> None:
        """Note that a request could use a turn at an endpoint that names a limit."""
        now = asyncio.get_running_loop().time()
        for each in self._fleet.list_limited(request.service_name, key, now):
            self._fleet.notices.want_turn(each, now)

    async def _wait_for_turn(
        self, request: ClientRequest, key: WeightsKey | None, timeout: Seconds
    ) -> None:
        """Wait for weights to come, or a turn where what could serve has a limit."""
        now = asyncio.get_running_loop().time()
        service = request.service_name
        awaited: Awaited = service if key is None else key
        limited = self._fleet.list_limited(service, key, now)
        soonest = sorted(limited, key=lambda e: self._fleet.notices.find_rest(e, now))
        urgency = min(LEAST_URGENT, max(0, request.priority))
        with self._fleet.notices.wait_for_turns(soonest[:1], urgency):
            if limited and self._has_turn(service, key):
                return
            await self.waiters.wait(awaited, timeout, urgency)

    def _has_turn(self, service: ServiceName, key: WeightsKey | None) -> bool:
        """Tell whether some endpoint may be asked now."""
        now = asyncio.get_running_loop().time()
        if key is None:
            return bool(self._fleet.list_service(service, now))
        return bool(self._fleet.list_holders(service, key, now))

    def _make_waiter(self, request: ClientRequest) -> Waiter:
        """Return what its leader is to know of a request that waits."""
        reading = self.prefill_times.predict_alone(request.head.prompt_tokens)
        return Waiter(
            timely_until=request.arrived + request.route.objective - reading,
            prompt_tokens=request.head.prompt_tokens,
        )

    def _check_wait(
        self,
        request: ClientRequest,
        progress: Progress,
        key: WeightsKey,
        now: Seconds,
    ) -> None:
        """Raise ``Refused`` unless the weights are predicted to come in time."""
        if progress.runs:
            raise give_up(progress)
        wait = self.load_wait if self.load_wait is not None else MAX_RETRY_DELAY
        rest = self._fleet.find_rest(request.service_name, key, now)
        coming = self._fleet.is_coming(request.service_name, key, now)
        ready = now + (0.0 if coming else min(wait, rest or wait))
        if ready > self._find_latest(request, new=not progress.waited and not coming):
            self.demand.note_missed(request.service_name, key)
            self.expedite()
            if rest is not None and rest < wait:
                raise refuse_for_rest(rest)
            after = min(MAX_RETRY_DELAY, max(RETRY_SOON, wait))
            raise Refused(UNAVAILABLE, f"{key} is not loaded", after)

    def _find_latest(self, request: ClientRequest, *, new: bool) -> Seconds:
        """Return by when weights must have come for a request to be worth its wait.

        A new one is sent back at once where more than an ordinary wait would make it
        late; one that has waited is served late rather than sent back, while its client
        is still there.
        """
        reading = self.prefill_times.predict_alone(request.head.prompt_tokens)
        lost = request.first_by - reading
        if not new:
            return lost
        timely = max(ORDINARY_WAIT, request.route.objective - reading)
        return min(lost, request.arrived + timely)

    def _pick(
        self,
        request: ClientRequest,
        progress: Progress,
        found: list[Endpoint],
        now: Seconds,
    ) -> Option:
        fresh = [each for each in found if each.id not in progress.tried] or found
        sound = self._health.keep_sound(fresh, now)
        options = [self._make_option(request, each, now) for each in sound]
        chosen = self._choose(options)
        progress.trail.append(
            f"{chosen.endpoint.id} of {len(found)}, {chosen.in_flight} under way"
            + (", far" if chosen.far else "")
            + f", {chosen.first:.3f} s"
        )
        return chosen

    def _make_option(
        self, request: ClientRequest, endpoint: Endpoint, now: Seconds
    ) -> Option:
        key = request.head.weights
        known = self.affinity.known_part(request, key, endpoint.id) if key else 0.0
        in_flight, unread = self._health.measure_one(endpoint.id, now)
        reading = Reading(
            own=int(request.head.prompt_tokens * (1.0 - min(1.0, known))),
            ahead=unread + self.others.unread.get(endpoint.id, 0),
            priority=request.priority,
        )
        return Option(
            endpoint=endpoint,
            in_flight=in_flight + self.others.in_flight.get(endpoint.id, 0),
            far=endpoint.data_centre != self._data_centre,
            reading=reading,
            first=self.prefill_times.predict(endpoint.id, reading),
        )
