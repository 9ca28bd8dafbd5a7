"""How many requests an endpoint has room for, learned from those that it turns away.

The limit rises by one while it is used up, and falls by a fraction when a request is
turned away: additive increase, multiplicative decrease (Chiu and Jain, 1989), with a
plateau below what was turned away, as in CUBIC (Ha, Rhee and Xu, 2008). A brittle
endpoint bears few rejections a second, so requests beyond the number that it has lately
taken are a budget: those under way and those just turned away stay below what it bears.
"""

import math
from collections import deque
from typing import Final

from kestreltally.fleet.model import Seconds

# Rejections count for this long: the endpoint counts a second by its own clock.
REJECTION_WINDOW: Final[Seconds] = 1.2
# A request that is turned away is known to be within this time, even if the first list
# that says so is lost.
RISK_TIME: Final[Seconds] = 0.12
# The endpoint may have less room than this long ago: its requests differ in size.
PROOF_TTL: Final[Seconds] = 2.0
# Requests that may be turned away before the first of them is known to be, as a part of
# the rejections that the endpoint bears.
TRIED_FRACTION: Final = 0.5
# The fraction of the limit that a rejection takes, the time until it is back, and that
# until more is tried than was turned away. An endpoint that bears fewer rejections than
# this is asked for more as much less often.
DECREASE_FRACTION: Final = 0.25
RECOVERY_TIME: Final[Seconds] = 2.0
PROBE_INTERVAL: Final[Seconds] = 8.0
MIN_BEARABLE_TO_HURRY: Final = 4.0
# While nothing has been turned away, the limit rises by one at this interval, or in
# this time by as much as it has above a small number.
INITIAL_RAISE_INTERVAL: Final[Seconds] = 0.25
SMALL_LIMIT: Final = 8
# An endpoint that bears fewer rejections is not asked for more than its stated slots.
MIN_BEARABLE_TO_QUEUE: Final = 2.0


class SlotLimit:
    """The number of requests that may be at one endpoint.

    ``slots`` is how many it says it works on at a time, ``bears`` how many it can turn
    away in a second, and ``in_flight`` how many it has now.
    """

    def __init__(self, slots: int, bears: float, in_flight: int, now: Seconds) -> None:
        self.bears = bears
        self._max = max(1, slots) + (bears >= MIN_BEARABLE_TO_QUEUE)
        self._proven = min(max(1, in_flight), self._max)
        self.value = max(self._proven, (max(1, slots) + 1) // 2)
        self._proven_at = now
        self._raised_at = now
        # The limit from which on more is tried only seldom.
        self._plateau = self._max
        self._raise_interval = (
            self._caution * INITIAL_RAISE_INTERVAL * min(1.0, SMALL_LIMIT / self.value)
        )
        self._rejected_at: deque[Seconds] = deque()
        # Slots lent beyond the proven number: when, and how many were lent with them.
        self._tried: deque[tuple[Seconds, int]] = deque()

    @property
    def _caution(self) -> float:
        """Return how much more rarely the limit rises as few rejections are borne."""
        return max(1.0, MIN_BEARABLE_TO_HURRY / max(1.0, self.bears))

    def compute_allowed(self, now: Seconds) -> int:
        """Return how many slots may be lent now."""
        self._review(now)
        rejected = len(self._rejected_at)
        if rejected > self.bears / 2:
            return self._proven // 2
        if rejected + len(self._tried) < max(1.0, TRIED_FRACTION * self.bears):
            return self.value
        return min(self.value, self._proven)

    def count_rejections(self, now: Seconds) -> int:
        """Return how many requests the endpoint has turned away lately."""
        self._review(now)
        return len(self._rejected_at)

    def record_lent(self, lent: int, now: Seconds) -> None:
        """Record that a slot was lent, the last of ``lent`` in all."""
        if lent > self._proven:
            self._tried.append((now, lent))
        elif lent == self._proven:
            self._proven_at = now
        if lent < self.value or self._rejected_at:
            return
        interval = self._raise_interval
        if self.value >= self._plateau:
            interval = self._caution * PROBE_INTERVAL
        if now - self._raised_at >= interval:
            self.value = min(self._max, self.value + 1)
            self._raised_at = now

    def record_rejected(self, count: int, lent: int, now: Seconds) -> None:
        """Record that requests were turned away while some slots were lent.

        Where few were lent, something else than requests took the room.
        """
        least = self.value - math.ceil(DECREASE_FRACTION * self.value)
        level = max(least, min(self.value, lent))
        decrease = max(count, math.ceil(DECREASE_FRACTION * level))
        self.value = max(1, level - decrease)
        self._plateau = max(self.value, self._plateau // 2, level - count)
        steps = max(decrease, self._plateau - self.value)
        self._raise_interval = self._caution * RECOVERY_TIME / steps
        self._proven = min(self._proven, self.value)
        self._proven_at = self._raised_at = now
        self._tried = deque(each for each in self._tried if each[1] <= self.value)
        self._rejected_at.extend([now] * count)

    def _review(self, now: Seconds) -> None:
        """Forget old rejections and proofs; prove what was not turned away."""
        while self._rejected_at and now - self._rejected_at[0] > REJECTION_WINDOW:
            self._rejected_at.popleft()
        while self._tried and now - self._tried[0][0] > RISK_TIME:
            self._proven = max(self._proven, min(self.value, self._tried.popleft()[1]))
            self._proven_at = now
        if now - self._proven_at > PROOF_TTL:
            self._proven = min(self._proven, (self.value + 1) // 2)
            self._proven_at = now
