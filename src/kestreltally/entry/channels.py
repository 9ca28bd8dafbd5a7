"""Decides how many channels a daemon keeps to an endpoint, and for how long.

An endpoint accepts a limited number of channels from all daemons together. Requests in
progress need few of them, because the endpoint serves few at once; idle channels of
many daemons would need more than there are.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# The fraction of an endpoint's channels that daemons plan with. The rest is for orders
# and reports, and for daemons that have not heard how many there are.
PLANNED_FRACTION: Final = 0.8
# A daemon opens this many channels to an endpoint without a wait: they are rarely all
# needed by many daemons at once.
MIN_OPEN: Final = 4
# How long a request waits for a channel in use if its daemon has its share open.
WAIT_FOR_CHANNEL: Final[Seconds] = 0.05
# What a new channel costs, as an equivalent time to the first event: some hundredths of
# a request's value, because endpoints spend time on accepting it.
NEW_CHANNEL_COST: Final[Seconds] = 0.02
# An idle channel is no longer used this long before its endpoint would close it.
KEEP_ALIVE_MARGIN: Final[Seconds] = 0.8
# How long an idle channel is kept if nothing is known of its endpoint.
DEFAULT_IDLE_TIME: Final[Seconds] = 4.0
MAX_IDLE_TIME: Final[Seconds] = 60.0
# Idle channels are left open this much longer than they are used, to learn how long
# endpoints leave them open.
TRIAL_FACTOR: Final = 1.5
# The number of channels that must have stayed open for a longer time to be used.
MIN_SURVIVORS: Final = 3


@dataclass(frozen=True, slots=True)
class ChannelShare:
    """This daemon's part of the channels to one endpoint.

    More than ``open`` channels are opened only after a wait, and no more than ``idle``
    are kept, each for the fraction ``idle_time_fraction`` of the usual time.
    """

    open: int
    idle: int
    idle_time_fraction: float = 1.0


def compute_share(cap: int, slots: int, daemons: int) -> ChannelShare:
    """Return a daemon's share of the channels that an endpoint accepts.

    Twice the slots are left for requests in progress. Idle channels of all daemons
    share the rest. If that is less than one each, a daemon keeps one for that fraction
    of the time.
    """
    planned = PLANNED_FRACTION * cap
    idle = max(0.0, planned - 2 * slots) / max(1, daemons)
    return ChannelShare(
        open=max(MIN_OPEN, int(planned / max(1, daemons))),
        idle=max(1, int(idle)),
        idle_time_fraction=min(1.0, idle),
    )


def compute_channel_cost(*, has_idle: bool) -> Seconds:
    """Return the cost of reaching an endpoint, less if a channel to it is idle."""
    return 0.0 if has_idle else NEW_CHANNEL_COST


@dataclass(slots=True)
class IdleTime:
    """How long the endpoints of a service are known to leave idle channels open.

    It is learned from channels of endpoints that don't state a time.
    """

    known: Seconds = DEFAULT_IDLE_TIME + KEEP_ALIVE_MARGIN
    survivors: int = 0

    @property
    def usable(self) -> Seconds:
        """Return how long an idle channel may be used."""
        return self.known - KEEP_ALIVE_MARGIN

    @property
    def trial(self) -> Seconds:
        """Return how long an idle channel is left open."""
        return min(MAX_IDLE_TIME, TRIAL_FACTOR * self.known)

    def record_open(self, idle_for: Seconds) -> None:
        """Record a channel that was still open after being left idle."""
        if idle_for < self.trial:
            return
        self.survivors += 1
        if self.survivors >= MIN_SURVIVORS:
            self.known = self.trial
            self.survivors = 0

    def record_closed(self, idle_for: Seconds) -> None:
        """Record a channel that its endpoint closed after some idle time.

        An endpoint that ends closes all its channels, so the time never falls below
        the default.
        """
        self.survivors = 0
        if idle_for < self.known:
            self.known = max(DEFAULT_IDLE_TIME + KEEP_ALIVE_MARGIN, idle_for)
