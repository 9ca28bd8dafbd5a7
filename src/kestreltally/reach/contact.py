"""Whether any endpoint is within this daemon's reach.

A connection that fails may be the endpoint's fault or that of this daemon's own path.
So a failure casts doubt, and what it says of the endpoint is held back. The doubt ends
once another connection opens, or an open one carries bytes, whichever had failed. If
neither happens for a moment, a few endpoints are probed: if none of them answers, the
path is at fault, and what was held back is dropped.

After Alfatafta et al., "Toward a generic fault tolerance technique for partial network
partitioning" (Nifty), OSDI 2020: a node cut off from some still reaches others.
"""

import logging
import time
from collections.abc import Callable
from enum import Enum
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds

LOG = logging.getLogger("kestreltally.reach")

NEVER = float("-inf")
# Connections that open and bring nothing for less than this may be those of paused
# endpoints. A pause is noticed only some time after it began.
PAUSE_TIMEOUT: Final[Seconds] = 1.2


class Reach(Enum):
    """What this daemon reaches of the endpoints.

    ``BLOCKED``: no new connection opens, while open ones work.
    """

    OPEN = "open"
    BLOCKED = "blocked"
    CUT_OFF = "cut off"


class Contact:
    """The state of this daemon's path to the endpoints.

    Without ``is_probed`` nothing resolves a doubt, so there is none.
    """

    def __init__(self, clock: Callable[[], Seconds] = time.monotonic) -> None:
        self._clock = clock
        self.is_probed = False
        self.reach = Reach.OPEN
        self.answered_at: Seconds = NEVER
        # Since when no connection has opened, and no bytes have come, after a failure.
        self._not_opened_since: Seconds | None = None
        self._silent_since: Seconds | None = None
        self._held_back: list[Callable[[], None]] = []
        # Called when a doubt begins.
        self.notify_doubt: Callable[[], None] = lambda: None
        # Called when ``reach`` changes.
        self.notify_change: Callable[[], None] = lambda: None

    @property
    def is_open(self) -> bool:
        """Return whether the path is not known to be at fault."""
        return self.reach is Reach.OPEN

    @property
    def is_cut_off(self) -> bool:
        """Return whether no endpoint is within reach."""
        return self.reach is Reach.CUT_OFF

    @property
    def is_doubted(self) -> bool:
        """Return whether a failure has not been explained yet."""
        return self._not_opened_since is not None or self._silent_since is not None

    @property
    def failing_since(self) -> Seconds | None:
        """Return when the failures began that have not been explained, if any."""
        times = (self._not_opened_since, self._silent_since)
        return min((each for each in times if each is not None), default=None)

    def compute_answer_age(self) -> Seconds:
        """Return how long ago bytes came from any endpoint."""
        return self._clock() - self.answered_at

    # What happens to connections.

    def record_opened(self) -> None:
        """Record that a connection to an endpoint was opened."""
        if self.is_open:
            self._not_opened_since = None
            self._release()

    def record_answered(self) -> None:
        """Record that bytes came from an endpoint."""
        self.answered_at = self._clock()
        if self._silent_since is not None and self.is_open:
            self._silent_since = None
            self._release()

    def record_not_opened(self) -> None:
        """Record that a connection to an endpoint could not be opened."""
        if self._not_opened_since is None:
            self._not_opened_since = self._clock()
        self._cast_doubt()

    def record_broken(self) -> None:
        """Record that a connection to an endpoint broke or was silent."""
        if self._silent_since is None:
            self._silent_since = self._clock()
        self._cast_doubt()

    def _cast_doubt(self) -> None:
        if self.is_probed:
            self.notify_doubt()
        else:
            self._not_opened_since = self._silent_since = None

    # What failures say of endpoints.

    def believe_later(self, believe: Callable[[], None]) -> None:
        """Call ``believe`` once failures are known to be the endpoints'.

        It is never called if they turn out to be this daemon's own.
        """
        if not self.is_open:
            return
        if self.is_doubted:
            self._held_back.append(believe)
        else:
            believe()

    def _release(self) -> None:
        if self.is_doubted or not self._held_back:
            return
        held_back, self._held_back = self._held_back, []
        for believe in held_back:
            believe()

    # What probes show.

    def apply_probes(
        self, *, answered: bool, began_at: Seconds, opened: bool = False
    ) -> None:
        """Apply a round of probes over new connections, which began at a time.

        Connections that open and bring nothing show a path at fault only after a while:
        endpoints that are paused accept connections too.
        """
        if answered:
            self._set(Reach.OPEN)
            self._not_opened_since = self._silent_since = None
            self._release()
            return
        if opened and self.is_open and not self._is_failing_for(PAUSE_TIMEOUT):
            return
        self._held_back.clear()
        spoke = self.answered_at >= began_at
        self._set(Reach.BLOCKED if spoke else Reach.CUT_OFF)

    def _is_failing_for(self, duration: Seconds) -> bool:
        since = self.failing_since
        return since is not None and self._clock() - since >= duration

    def _set(self, reach: Reach) -> None:
        if reach is self.reach:
            return
        log_decision(
            LOG,
            Decision.REACH_CHANGED,
            reach=reach.value,
            before=self.reach.value,
            answer_age=round(min(self.compute_answer_age(), 1e6), 3),
        )
        self.reach = reach
        self.notify_change()
