"""A daemon's tables of configuration, endpoints, and the weights they hold."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.copies import CopyTable
from kestreltally.fleet.model import (
    Configuration,
    Endpoint,
    EndpointId,
    Route,
    Seconds,
    ServiceName,
    ServiceSpec,
    SoftwareVersion,
    WeightsKey,
    is_other_incarnation,
)
from kestreltally.fleet.notice_states import FOREVER
from kestreltally.fleet.notices import NoticeTable
from kestreltally.fleet.organisations import KeyTable
from kestreltally.fleet.versions import OLD_VERSION_GRACE, KnownVersions

# How long an engine's answer that it lacks some weights overrides the tables: two
# rounds of the leader's feed plus an engine's report, which is about 200 ms old.
MISSING_WEIGHTS_DURATION: Final[Seconds] = 0.6


@dataclass(slots=True)
class RouteTable:
    """Finds the route of a host and path; the time is independent of their number."""

    by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    @classmethod
    def build(cls, routes: Iterable[Route]) -> "RouteTable":
        """Return the table of a configuration's routes."""
        table = cls()
        for route in routes:
            table.by_host.setdefault(route.host, {})[route.prefix] = route
        return table

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


class Fleet:
    """This daemon's view of configuration, endpoints, weights and versions.

    ``version_grace`` is for how long requests may begin on an older version of an
    adapter. ``notify_version`` is called with weights of which a newer version is
    known.
    """

    def __init__(self, version_grace: Seconds = OLD_VERSION_GRACE) -> None:
        self._version_grace = version_grace
        self.notify_version: Callable[[WeightsKey], None] = lambda _: None
        self.configuration: Configuration | None = None
        self.routes = RouteTable()
        # None if requests need no key.
        self.keys: KeyTable | None = None
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.versions: dict[WeightsKey, KnownVersions] = {}
        self._by_service: dict[ServiceName, set[EndpointId]] = defaultdict(set)
        self._software: Counter[tuple[ServiceName, SoftwareVersion]] = Counter()
        self._holders: dict[WeightsKey, set[EndpointId]] = defaultdict(set)
        self._missing_until: dict[tuple[EndpointId, WeightsKey], Seconds] = {}
        self.copies = CopyTable()
        self.notices = NoticeTable()
        self.notices.is_serving = self.is_serving

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration unless outdated; return whether it was applied."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable.build(configuration.routes)
        listed = configuration.organisations
        self.keys = KeyTable(listed) if listed else None
        return True

    def get_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service of the current configuration, None if not listed."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Add an endpoint or replace its row."""
        endpoint = self.notices.apply_to(endpoint)
        known = self.endpoints.get(endpoint.id)
        self.endpoints[endpoint.id] = endpoint
        self._software[(endpoint.service, endpoint.software)] += 1
        self._forget_software(known)
        if known is None or known.service != endpoint.service:
            if known is not None:
                self._by_service[known.service].discard(endpoint.id)
            self._by_service[endpoint.service].add(endpoint.id)
        before = known.weights.keys() if known is not None else frozenset()
        for key in endpoint.weights.keys() - before:
            self._holders[key].add(endpoint.id)
        for key in before - endpoint.weights.keys():
            self._drop_holder(endpoint.id, key)
            self.copies.record_dropped(endpoint.id, key)

    def _forget_software(self, endpoint: Endpoint | None) -> None:
        if endpoint is None:
            return
        version = (endpoint.service, endpoint.software)
        self._software[version] -= 1
        if not self._software[version]:
            del self._software[version]

    def list_software(self) -> list[tuple[ServiceName, SoftwareVersion]]:
        """Return the versions of the endpoints' software, with their services."""
        return list(self._software)

    def _drop_holder(self, endpoint_id: EndpointId, key: WeightsKey) -> None:
        holders = self._holders[key]
        holders.discard(endpoint_id)
        if not holders:
            del self._holders[key]

    def list_copies(self, service: ServiceName, key: WeightsKey) -> list[Endpoint]:
        """Return the engines of a service that may load an adapter from a copy."""
        names = self.copies.list_engines(key)
        found = (self.endpoints[each] for each in names if each in self.endpoints)
        return [each for each in found if _accepts_work(each, service)]

    def is_serving(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint is known and not leaving."""
        known = self.endpoints.get(endpoint.id)
        return (
            known is not None
            and not known.leaving
            and not is_other_incarnation(known.start_time_ms, endpoint.start_time_ms)
        )

    def drop_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        known = self.endpoints.pop(endpoint, None)
        if known is not None:
            self._forget_software(known)
            self._by_service[known.service].discard(endpoint)
            for key in known.weights:
                self._drop_holder(endpoint, key)
        self.copies.remove_endpoint(endpoint)
        self.notices.sent_at.pop(endpoint, None)

    def _list_known(
        self, service: ServiceName, software: SoftwareVersion | None = None
    ) -> Iterator[Endpoint]:
        """Yield the endpoints of a service, of one software version if it is given."""
        known = (self.endpoints[each] for each in self._by_service.get(service, ()))
        return _filter_software(known, software)

    def is_software_serving(
        self, service: ServiceName, software: SoftwareVersion
    ) -> bool:
        """Return whether an endpoint of a software version is not leaving."""
        return any(not each.leaving for each in self._list_known(service, software))

    def list_leaving(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service that are leaving."""
        return [each for each in self._list_known(service) if each.leaving]

    def find_brittleness(self, endpoint: Endpoint) -> float | None:
        """Return how many rejections a second an endpoint bears, None if unlimited.

        One that has not answered yet is taken to be like the others of its service.
        """
        if not self.notices.any_brittle:
            return None
        own = self.notices.get_brittleness(endpoint)
        if own is not None:
            return own.limit
        others = (
            self.notices.get_brittleness(each)
            for each in self._list_known(endpoint.service)
        )
        named = (each.limit for each in others if each is not None)
        return min((each for each in named if each is not None), default=None)

    def has_other_software(
        self, service: ServiceName, software: SoftwareVersion
    ) -> bool:
        """Return whether an endpoint of another software version is not leaving."""
        known = self._list_known(service)
        return any(not e.leaving and e.software != software for e in known)

    def list_callable(
        self,
        service: ServiceName,
        now: Seconds,
        software: SoftwareVersion | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a service that can be called now.

        Quarantined endpoints are returned only if there is no other. An endpoint that
        asked for backoff is never called. ``software`` admits only one version of the
        endpoints' software, here and in the methods below.
        """
        available = [
            each
            for each in self._list_known(service, software)
            if not each.leaving and not self.notices.compute_backoff(each, now)
        ]
        return [each for each in available if not each.quarantined] or available

    def is_backing_off(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Return whether an endpoint is backing off but not leaving."""
        return 0 < self.notices.compute_backoff(endpoint, now) < FOREVER

    def find_shortest_backoff(
        self,
        service: ServiceName,
        key: WeightsKey | None,
        now: Seconds,
        software: SoftwareVersion | None = None,
    ) -> Seconds | None:
        """Return the shortest backoff of endpoints that could serve otherwise.

        Return None if no such endpoint is backing off. Without ``key`` any endpoint of
        the service could serve.
        """
        capable: Iterator[Endpoint] = (
            self._list_known(service)
            if key is None
            else (self.endpoints[each] for each in self._holders.get(key, ()))
        )
        backoffs = (
            self.notices.compute_backoff(each, now)
            for each in _filter_software(capable, software)
            if each.service == service and not each.leaving
        )
        return min(
            (backoff for backoff in backoffs if 0 < backoff < FOREVER), default=None
        )

    def list_holders(
        self,
        service: ServiceName,
        key: WeightsKey,
        now: Seconds,
        software: SoftwareVersion | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a service that can be called now for some weights."""
        capable = _filter_software(self._list_capable(service, key, now), software)
        return [each for each in capable if not self.notices.compute_backoff(each, now)]

    def list_rate_limited(
        self,
        service: ServiceName,
        key: WeightsKey | None,
        now: Seconds,
        software: SoftwareVersion | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints that could serve and have a rate limit.

        Without ``key`` any endpoint of the service could serve.
        """
        if not self.notices.any_rate_limited:
            return []
        if key is not None:
            capable = self._list_capable(service, key, now)
        else:
            capable = [each for each in self._list_known(service) if not each.leaving]
        found = _filter_software(capable, software)
        return [each for each in found if self.notices.is_rate_limited(each)]

    def _list_capable(
        self, service: ServiceName, key: WeightsKey, now: Seconds
    ) -> list[Endpoint]:
        """Return the endpoints of a service that can run requests for some weights.

        The result includes endpoints that are backing off from this daemon.
        """
        holders = self._holders.get(key)
        if not holders:
            return []
        found = (self.endpoints[each] for each in holders)
        return [
            each
            for each in found
            if _accepts_work(each, service)
            and self._missing_until.get((each.id, key), now) <= now
            and not self.is_outdated(each, key, now)
        ]

    def list_usable(self, service: ServiceName, now: Seconds) -> list[Endpoint]:
        """Return the endpoints of a service that all daemons can use, as far as known.

        Quarantined endpoints are returned only if there is no other.
        """
        usable = [
            each
            for each in self._list_known(service)
            if not each.leaving and not self.notices.is_constrained(each, now)
        ]
        return [each for each in usable if not each.quarantined] or usable

    def is_held(self, service: ServiceName, key: WeightsKey, now: Seconds) -> bool:
        """Return whether all daemons, as far as known, can use some weights."""
        capable = self._list_capable(service, key, now)
        return any(not self.notices.is_constrained(each, now) for each in capable)

    def is_loading(
        self,
        service: ServiceName,
        key: WeightsKey,
        now: Seconds,
        software: SoftwareVersion | None = None,
    ) -> bool:
        """Return whether an engine of a service is loading some weights."""
        available = self.list_callable(service, now, software)
        return any(key in each.loading for each in available)

    def record_missing_weights(
        self, endpoint: EndpointId, key: WeightsKey, now: Seconds
    ) -> None:
        """Record that an engine has refused a request because it lacks weights."""
        self._missing_until[(endpoint, key)] = now + MISSING_WEIGHTS_DURATION

    def prune_missing_weights(self, now: Seconds) -> None:
        """Remove expired records of weights that engines lack."""
        self._missing_until = {
            k: until for k, until in self._missing_until.items() if until > now
        }

    def apply_version(self, key: WeightsKey, number: int, absent_at: Seconds) -> bool:
        """Record the newest version of some weights; return whether it was new.

        ``absent_at`` is the latest time at which it is proven not to have existed.
        """
        known = self.versions.get(key)
        if known is None:
            known = self.versions[key] = KnownVersions(self._version_grace)
        is_new = known.record(number, absent_at)
        if is_new:
            self.notify_version(key)
        return is_new

    def find_version_end(self, key: WeightsKey, held: int) -> Seconds:
        """Return until when requests may begin on a version of some weights.

        Infinite for the newest one, and for base models: these are replaced on one
        engine after another, which takes long.
        """
        known = self.versions.get(key)
        if known is None or not key.adapter:
            return math.inf
        return known.find_end(held)

    def is_outdated(self, endpoint: Endpoint, key: WeightsKey, now: Seconds) -> bool:
        """Return whether an engine holds a version that must no longer be used."""
        return now > self.find_version_end(key, endpoint.weights.get(key, 0))

    def measure_version_age(self, key: WeightsKey, held: int, now: Seconds) -> Seconds:
        """Return how long ago a newer version than the held one may have come."""
        return now - self.versions[key].find_successor(held).absent_at

    def get_newest_version(self, key: WeightsKey) -> int | None:
        """Return the newest known version, None if there is none."""
        known = self.versions.get(key)
        return known.newest if known is not None else None


def _filter_software(
    endpoints: Iterable[Endpoint], software: SoftwareVersion | None
) -> Iterator[Endpoint]:
    """Yield the endpoints of one software version, or all if none is given."""
    if software is None:
        return iter(endpoints)
    return (each for each in endpoints if each.software == software)


def _accepts_work(endpoint: Endpoint, service: ServiceName) -> bool:
    """Return whether an endpoint of a service is neither leaving nor quarantined."""
    return (
        endpoint.service == service
        and not endpoint.leaving
        and not endpoint.quarantined
    )
