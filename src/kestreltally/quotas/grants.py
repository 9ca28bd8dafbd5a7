"""What is granted of a quota: as much as operators let run, less a margin.

Operators say how far over their quotas organisations may get. Whoever refuses less may
run more: what is tolerated is granted too, up to what may be spent before all daemons
know better. For a large organisation that is a third of its rate; a small one, whose
burst holds less than one long prompt, gets several of them a window.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Quota, Seconds

# This part of what may run in a window is granted evenly, the rest at once.
STEADY_FRACTION: Final = 0.7


@dataclass(frozen=True, slots=True)
class Grant:
    """Units a second, and units on top that may be spent at once."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far over their quotas organisations may get, over all daemons.

    In any ``window`` they may have run ``overage`` of what the quota allows there, and
    ``slack`` units, beyond it.
    """

    window: Seconds = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def compute_max_units(self, quota: Quota) -> float:
        """Return the units that may run in a window."""
        allowed = quota.rate * self.window + quota.burst
        return allowed * (1.0 + self.overage) + self.slack

    def compute_grant(self, quota: Quota) -> Grant:
        """Return what is granted: together it never passes what may run."""
        max_units = self.compute_max_units(quota)
        rate = max(quota.rate, STEADY_FRACTION * max_units / self.window)
        return Grant(rate, max_units - rate * self.window)
