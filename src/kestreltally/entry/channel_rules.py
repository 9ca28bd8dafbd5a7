"""Applies the decisions on channels with what is known of services and daemons."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from kestreltally.entry.channels import (
    KEEP_ALIVE_MARGIN,
    MAX_IDLE_TIME,
    ChannelShare,
    IdleTime,
    compute_share,
)
from kestreltally.fleet.model import Endpoint, Seconds, ServiceName, ServiceSpec


@dataclass(frozen=True, slots=True)
class IdlePeriod:
    """How long an idle channel may be used, and how long it is left open.

    ``learns`` is true if its end tells how long endpoints leave channels open.
    """

    usable: Seconds
    open: Seconds
    learns: bool


@dataclass(slots=True)
class ChannelRules:
    """The rules for channels to all endpoints, with the idle times learned so far."""

    get_service: Callable[[ServiceName], ServiceSpec | None]
    count_daemons: Callable[[], int]
    idle_times: dict[ServiceName, IdleTime] = field(
        default_factory=lambda: defaultdict(IdleTime)
    )

    def get_share(self, endpoint: Endpoint) -> ChannelShare | None:
        """Return this daemon's share of an endpoint's channels, None if unknown."""
        service = self.get_service(endpoint.service)
        if service is None:
            return None
        return compute_share(
            service.connection_cap, endpoint.slots, self.count_daemons()
        )

    def compute_idle_period(
        self, endpoint: Endpoint, stated: Seconds | None
    ) -> IdlePeriod:
        """Return how long to keep a channel, given what its endpoint stated."""
        share = self.get_share(endpoint)
        fraction = share.idle_time_fraction if share is not None else 1.0
        if stated is not None:
            usable = fraction * min(MAX_IDLE_TIME, stated - KEEP_ALIVE_MARGIN)
            return IdlePeriod(usable, usable, learns=False)
        idle_time = self.idle_times[endpoint.service]
        if fraction < 1.0:
            usable = fraction * idle_time.usable
            return IdlePeriod(usable, usable, learns=False)
        return IdlePeriod(idle_time.usable, idle_time.trial, learns=True)
