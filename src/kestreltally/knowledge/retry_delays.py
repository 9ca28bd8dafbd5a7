"""How long daemons wait before they ask a store again that did not answer."""

import random
from typing import Final

from kestreltally.fleet.model import Seconds

MIN_RETRY_DELAY: Final[Seconds] = 0.15
MAX_RETRY_DELAY: Final[Seconds] = 0.6
# So many daemons may ask again within those times; more of them ask more seldom: every
# call is priced, also one that is refused.
UNSCALED_RETRY_DAEMONS: Final = 8


def draw_retry_delay(daemons: int, max_delay: Seconds) -> Seconds:
    """Return a pause, longer the more daemons ask alike, up to ``max_delay``."""
    delay = random.uniform(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    return min(max_delay, delay * max(1.0, daemons / UNSCALED_RETRY_DAEMONS))
