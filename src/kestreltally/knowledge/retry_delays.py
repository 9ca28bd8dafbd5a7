"""Delays before daemons retry a call to the store that failed."""

import random
from typing import Final

from kestreltally.fleet.model import Seconds

MIN_RETRY_DELAY: Final[Seconds] = 0.15
MAX_RETRY_DELAY: Final[Seconds] = 0.6
# Up to this many daemons retry within those delays. With more of them the delays grow
# in proportion, as every call is billed, even one that is refused.
UNSCALED_RETRY_DAEMONS: Final = 8


def draw_retry_delay(daemons: int, max_delay: Seconds) -> Seconds:
    """Return a random delay that grows with the daemons, up to ``max_delay``."""
    delay = random.uniform(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    return min(max_delay, delay * max(1.0, daemons / UNSCALED_RETRY_DAEMONS))
