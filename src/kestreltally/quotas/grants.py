"""Computes the rate and burst that are granted for a quota.

Operators set how far organisations may exceed their quotas. This tolerance is granted
too, which avoids refusals, up to what may be spent before all daemons are informed. For
a large organisation the tolerance is a third of its rate. A small organisation, whose
burst is less than one long prompt, gets several long prompts per window.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Quota, Seconds

# Fraction of the units of a window that is granted as a rate, the rest as burst.
STEADY_FRACTION: Final = 0.7


@dataclass(frozen=True, slots=True)
class Grant:
    """Units per second, and the units on top that may be spent at once."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far organisations may exceed their quotas, over all daemons.

    In any ``window`` they may exceed what the quota allows by the fraction ``overage``
    of it, plus ``slack`` units.
    """

    window: Seconds = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def compute_max_units(self, quota: Quota) -> float:
        """Return the maximum units that may run in a window."""
        allowed = quota.rate * self.window + quota.burst
        return allowed * (1.0 + self.overage) + self.slack

    def compute_grant(self, quota: Quota) -> Grant:
        """Return the grant, which in total never exceeds the units of a window."""
        max_units = self.compute_max_units(quota)
        rate = max(quota.rate, STEADY_FRACTION * max_units / self.window)
        return Grant(rate, max_units - rate * self.window)
