"""How long daemons wait before they ask a store again that did not answer."""

import random
from typing import Final

from kestreltally.fleet.model import Seconds

RETRY_LEAST: Final[Seconds] = 0.15
RETRY_MOST: Final[Seconds] = 0.6
# So many daemons may ask again within those times; more of them ask more seldom: every
# call is priced, also one that is refused.
RETRY_TOGETHER: Final = 8


def draw_pause(daemons: int, seldom: Seconds) -> Seconds:
    """Return a pause, longer the more daemons ask alike, up to ``seldom``."""
    pause = random.uniform(RETRY_LEAST, RETRY_MOST)
    return min(seldom, pause * max(1.0, daemons / RETRY_TOGETHER))
