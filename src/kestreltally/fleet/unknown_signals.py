"""Counts headers and statuses in endpoints' answers that no code interprets.

Endpoints may start to send a new header or status before daemons support it. Each name
is counted, and logged once, so that operators notice it on the day it first appears.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from typing import Final

from kestreltally.decisions import Decision, log_decision

LOG = logging.getLogger("kestreltally.unread")

# Bounds memory: further names are counted together under ``OTHERS``.
MAX_NAMES: Final = 32
OTHERS: Final = "others"


class UnknownSignals:
    """Counts unknown headers and statuses by name."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def record(self, names: Iterable[str]) -> None:
        """Count the unknown headers and statuses of an answer."""
        for name in names:
            if name not in self._counts and len(self._counts) >= MAX_NAMES:
                name = OTHERS
            if name not in self._counts:
                log_decision(LOG, Decision.ENDPOINT_WORD_UNREAD, word=name)
            self._counts[name] += 1

    def count(self) -> dict[str, float]:
        """Return the number of answers that contained each name."""
        return {name: float(count) for name, count in self._counts.items()}
