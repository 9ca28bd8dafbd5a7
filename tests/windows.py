"""Calls in any window of time, against what the operators' rule on limits allows."""

from bisect import bisect_left
from collections.abc import Iterable
from typing import Final

# The rule on limits counts calls in any 4 s.
WINDOW: Final = 4.0


def compute_allowed(limit: float) -> float:
    """Return how many requests the rule allows in a window."""
    return 1.5 * limit * WINDOW + 5


def count_max_in_window(
    times: Iterable[float], since: float, window: float = WINDOW
) -> int:
    """Return the most calls in any window that begins after a moment."""
    recent = sorted(at for at in times if at >= since)
    ends = range(1, len(recent) + 1)
    return max(
        (end - bisect_left(recent, recent[end - 1] - window) for end in ends), default=0
    )
