"""Counts calls in time windows, to check them against the operators' limit rule."""

from bisect import bisect_left
from collections.abc import Iterable
from typing import Final

# The limit rule counts calls in any 4 s.
WINDOW: Final = 4.0


def compute_allowed(limit: float) -> float:
    """Return the number of calls that the rule allows in a window."""
    return 1.5 * limit * WINDOW + 5


def count_max_in_window(
    times: Iterable[float], since: float, window: float = WINDOW
) -> int:
    """Return the maximum number of calls in any window, from ``since`` on."""
    recent = sorted(at for at in times if at >= since)
    ends = range(1, len(recent) + 1)
    return max(
        (end - bisect_left(recent, recent[end - 1] - window) for end in ends), default=0
    )
