"""What endpoints say in their answers that nothing here reads.

An endpoint may begin to say something before daemons know what it means. Counted and
written once for each name, it is seen on its first day.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from typing import Final

from kestreltally.decisions import Decision, log_decision

LOG = logging.getLogger("kestreltally.unread")

# Names beyond these are counted together, whatever endpoints send.
MAX_NAMES: Final = 32
OTHERS: Final = "others"


class UnknownSignals:
    """Counts them by name."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def record(self, names: Iterable[str]) -> None:
        """Count the unread words of an answer."""
        for name in names:
            if name not in self._counts and len(self._counts) >= MAX_NAMES:
                name = OTHERS
            if name not in self._counts:
                log_decision(LOG, Decision.ENDPOINT_WORD_UNREAD, word=name)
            self._counts[name] += 1

    def count(self) -> dict[str, float]:
        """Return how many answers said each."""
        return {name: float(count) for name, count in self._counts.items()}
